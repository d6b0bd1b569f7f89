package decide

// Instants at which a router has to act, with slack for a process that is held up. What writes to sockets
// keeps them: only there it is known when something has left.

// MaxPause is how long a process may be held up between reading its clock and acting, and between a signal and
// its handler.
const MaxPause = 150 * Second / 1000

const (
	// OverdueAfter is how long after its deadline the loop answers a request that the module has not
	// answered, and LostAfter how long after it anybody does who sees that the loop has not. The final answer
	// may come LateAnswer late; a decision that takes its time has to have room before.
	OverdueAfter    = 100 * Second / 1000
	UnansweredAfter = LateAnswerGrace - MaxPause
	// ClientLeftGrace is how long after its client has left an attempt of a request may begin.
	ClientLeftGrace = 100 * Second / 1000
	// LateAnswerGrace is how long after its deadline a final answer may come; it earns nothing then.
	LateAnswerGrace = 500 * Second / 1000
	// HoldSlack is how much longer than the settings say something may be held before the call that lets go
	// of it is made: sockets add 300 ms, and the call takes some of them.
	HoldSlack = 250 * Second / 1000
	// DeadlineSlack is how much more time than its client has left a server may be told.
	DeadlineSlack = 150 * Second / 1000
	// leastTold is the part of what is left that a server is told at the least.
	leastTold = 0.5
)

// AdvertisedTimeLeft is how much time a server is told where so much is left. A request may have been stamped late,
// and its last byte may leave late, by HoldUp each. DeadlineSlack covers one of them.
func AdvertisedTimeLeft(left Duration) Duration {
	return max(left-MaxPause, Duration(leastTold*float64(left)), Second/1000)
}

// repeatUntil is the last instant at which a repeat's last byte may leave; 0 where there is none.
func (r *Router) repeatUntil(q *request) Time {
	c := &r.set.Classes[q.job.Class]
	if !q.mayRun || c.RetryPolicy != Keyed {
		return 0
	}
	return q.runAt + c.DedupWindow - MaxPause
}
