package decide

// What a router still accepts after it was told to shut down. The platform kills the process some time later,
// and a request that has no complete answer by then is lost. A stream that has begun can't be sped up, so an
// answer that may not end in time is not begun.

// Conditions of a planned restart, from the protocol's specification: new connections arrive for up to
// shutdownArrivals after the signal. The process is killed no sooner after it than its longest deadline,
// limited to shutdownMaxDeadline, plus shutdownGrace. A request that arrives later than shutdownGrace after
// the signal has to be answered before the kill.
const (
	shutdownArrivals    = 400 * Second / 1000
	shutdownMaxDeadline = 3 * Second
	shutdownGrace       = 700 * Second / 1000
	// shutdownMargin is allowed, in addition to MaxPause, for timers that fire late and for the transfer of
	// an answer to its client.
	shutdownMargin = 50 * Second / 1000
	// shutdownLinger is how long a connection stays open after an answer before a shutdown closes it.
	// Meanwhile the client reads the answer, and a request that it sends immediately afterwards is answered.
	shutdownLinger = 100 * Second / 1000
)

// Shutdown is the schedule of a router's shutdown.
type Shutdown struct {
	AcceptUntil Time     // requests that are complete later are refused
	ListenUntil Time     // when the listener closes
	GiveUpBy    Time     // when requests whose answer has not begun are given up
	AnswerBy    Time     // last resort: when everything whose answer has not begun is answered
	LingerFor   Duration // how long a connection stays open after an answer
}

// PlanShutdown returns the schedule of a router that has received the signal at the given time. The signal
// itself may have been sent up to MaxPause earlier.
func PlanShutdown(received Time, classes []Class) Shutdown {
	longest := Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].Deadline)
	}
	killed := received - MaxPause + min(longest, shutdownMaxDeadline) + shutdownGrace
	answerBy := killed - MaxPause - shutdownMargin
	return Shutdown{
		AcceptUntil: received - MaxPause + shutdownGrace - shutdownMargin,
		ListenUntil: received + shutdownArrivals + 2*MaxPause,
		GiveUpBy:    answerBy - shutdownMargin,
		AnswerBy:    answerBy,
		LingerFor:   shutdownLinger,
	}
}

// shutDown starts the shutdown. Deadlines of open requests are shortened to the time at which requests are
// given up.
func (r *Router) shutDown(plan *Shutdown) {
	if r.shutdown != nil {
		return
	}
	r.shutdown = plan
	for _, q := range r.requests {
		q.job.Deadline = min(q.job.Deadline, plan.GiveUpBy)
	}
}

// pastAcceptance reports whether a request arrives too late in a shutdown to be accepted.
func (r *Router) pastAcceptance() bool { return r.shutdown != nil && r.now > r.shutdown.AcceptUntil }

// endsInTime reports whether an answer that a writer begins now should end before the router is killed,
// judging by the mean duration of such answers. If not, it is better for the client to go to another router
// immediately, and no request is executed whose result nobody receives.
func (r *Router) endsInTime(q *request) bool {
	if r.shutdown == nil {
		return true
	}
	expected := r.typicalTime(Writer, nil)*firstTokenUnit + r.classWork[q.job.Class].answerTime
	return r.now+Duration(expected) <= r.shutdown.AnswerBy
}

// retryAfter returns the Retry-After of a refusal. During a shutdown it is 0, as the client may go to another
// router immediately.
func (r *Router) retryAfter() Duration {
	if r.shutdown != nil {
		return 0
	}
	return r.cfg.MaxRetryAfter
}
