package decide

// Time limits of a router, with margins for pauses of the process. The code that writes to sockets enforces
// them, as only that code knows when something has been sent.

// MaxPause is the longest pause of the process that is allowed for between reading the clock and acting, and
// between a signal and its handler.
const MaxPause = 150 * Second / 1000

const (
	// OverdueAfter is how long after its deadline the event loop answers a request that the module has not
	// answered. UnansweredAfter is how long after it any other code does that finds the request unanswered by
	// the loop. Both are shorter than LateAnswerGrace, so that a slow decision still has time.
	OverdueAfter    = 100 * Second / 1000
	UnansweredAfter = LateAnswerGrace - MaxPause
	// ClientLeftGrace is how long after a client has left an attempt of its request may still begin.
	ClientLeftGrace = 100 * Second / 1000
	// UsedNameWindow is how long after the end of a request that may have run no other one of its name is
	// accepted. Clients name each request anew.
	UsedNameWindow = 60 * Second
	// LateAnswerGrace is how long after its deadline a final answer may come. It has no value then.
	LateAnswerGrace = 500 * Second / 1000
	// HoldSlack is how much longer than HoldTimeout something may be held before the call that releases it is
	// made: sockets add 300 ms to the limit, and the call takes part of them.
	HoldSlack = 250 * Second / 1000
	// DeadlineSlack is how much more time than the client has left may be advertised to a server.
	DeadlineSlack = 150 * Second / 1000
	// minAdvertisedShare is the least part of the remaining time that is advertised to a server.
	minAdvertisedShare = 0.5
)

// AdvertisedTimeLeft returns how much time a server is told that a request has left. The arrival of the
// request may have been recorded late, and its last byte may leave late, by up to MaxPause each.
// DeadlineSlack covers one of the two.
func AdvertisedTimeLeft(left Duration) Duration {
	return max(left-MaxPause, Duration(minAdvertisedShare*float64(left)), Second/1000)
}

// retryDeadline returns the latest time at which the last byte of a keyed retry may leave; 0 if there is no
// limit.
func (r *Router) retryDeadline(q *request) Time {
	c := &r.cfg.Classes[q.job.Class]
	if !q.mayHaveRun || c.RetryPolicy != Keyed {
		return 0
	}
	return q.firstRunAt + c.DedupWindow - MaxPause
}
