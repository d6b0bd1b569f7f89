package decide

// What a router still takes on once it was told to end. The platform kills it some time after that, and a
// request that came late and has no whole answer then is lost. A stream that has begun can't be hurried: so
// what may not end in time is not begun.

// Terms of a planned restart (PROTOCOL, 'Figures'): new connections come for up to shutdownArrivals after the
// signal. The process is killed no sooner than its longest deadline, taken as shutdownLongest where that is
// longer, plus shutdownGrace. What comes later than shutdownGrace has to be answered by then.
const (
	shutdownArrivals = 400 * Second / 1000
	shutdownLongest  = 3 * Second
	shutdownGrace    = 700 * Second / 1000
	// shutdownMargin is left beside HoldUp for timers that fire late and for an answer's way to its client.
	shutdownMargin = 50 * Second / 1000
	// shutdownRest is how long a connection rests after an answer before a shutdown closes it: the answer is
	// read meanwhile, and a client that sends its next request at once is answered.
	shutdownRest = 100 * Second / 1000
)

// Shutdown is a router's plan for its end.
type Shutdown struct {
	AcceptUntil Time     // a request that is complete later is refused
	ListenUntil Time     // the listener closes then
	GiveUpBy    Time     // a request whose answer has not begun is given up then
	AnswerBy    Time     // the last guard: whatever has not begun is answered then
	LingerFor   Duration // of a connection after an answer
}

// PlanShutdown plans the end of a router that has taken the signal at a time. The signal itself may have come
// HoldUp earlier.
func PlanShutdown(taken Time, classes []Class) Shutdown {
	longest := Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].Deadline)
	}
	killed := taken - MaxPause + min(longest, shutdownLongest) + shutdownGrace
	answerBy := killed - MaxPause - shutdownMargin
	return Shutdown{
		AcceptUntil: taken - MaxPause + shutdownGrace - shutdownMargin,
		ListenUntil: taken + shutdownArrivals + 2*MaxPause,
		GiveUpBy:    answerBy - shutdownMargin,
		AnswerBy:    answerBy,
		LingerFor:   shutdownRest,
	}
}

// shutDown takes in that the router is to end: nothing is waited for beyond what is left to it.
func (r *Router) shutDown(plan *Shutdown) {
	if r.shutdown != nil {
		return
	}
	r.shutdown = plan
	for _, q := range r.requests {
		q.job.Deadline = min(q.job.Deadline, plan.GiveUpBy)
	}
}

// tooLate tells whether a request comes too late in a shutdown to be taken.
func (r *Router) tooLate() bool { return r.shutdown != nil && r.now > r.shutdown.AcceptUntil }

// endsInTime tells whether what a writer is sent now should be answered to its end before the router is
// killed: such answers took less in the mean. Where that is not so, its client does better to go elsewhere
// at once, and an effect that nobody hears of is spared.
func (r *Router) endsInTime(q *request) bool {
	if r.shutdown == nil {
		return true
	}
	usual := r.usual(Writer, nil)*writeExpected + r.work[q.job.Class].answer
	return r.now+Duration(usual) <= r.shutdown.AnswerBy
}

// retryAfter is how long a refused client should stay away: from a router that ends, it may go elsewhere now.
func (r *Router) retryAfter() Duration {
	if r.shutdown != nil {
		return 0
	}
	return r.set.MaxRetryAfter
}
