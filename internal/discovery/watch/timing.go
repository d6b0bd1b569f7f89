package watch

import (
	"math/rand/v2"
	"time"
)

// Limits on the times of calls.
const (
	watchTimeout = time.Second            // a watch waits this long for a change, so that a broken one is noticed soon
	watchSlack   = 500 * time.Millisecond // a watch is late this long after watchTimeout, if the agent is not slow
	// hedgeInterval is how long calls may get no response before another one is made in parallel, and
	// lateHedgeInterval the same after maxEarlyHedges of them. An agent may drop calls that arrive while discovery is
	// down, and what the agent learns when discovery returns counts as reported to the router at that moment.
	hedgeInterval     = 250 * time.Millisecond
	lateHedgeInterval = 2 * hedgeInterval
	maxEarlyHedges    = 3
	maxHedgeInterval  = time.Second // at a slow agent
	maxCalls          = 7           // in flight
	evenSpacingAge    = 6 * time.Second
	// roundTimeout is the time of a round, after which all its calls are given up: calls that an agent has forgotten may
	// count against its limit of open calls. It is doubled after each round without a response, up to
	// maxFirstRoundTimeout, or maxRoundTimeout once the agent has responded.
	roundTimeout    = 5900 * time.Millisecond
	maxRoundTimeout = 2 * roundTimeout
	// maxFirstRoundTimeout is the time of every round while no engine is known. It leaves time for another one before
	// the router has to be ready, 30 s after its start.
	maxFirstRoundTimeout = 27 * time.Second
	// overdueTimeout is how long a call may get no response if the agent rejects others: a call that it has forgotten may
	// be what keeps them out. It is at least overdueSlack longer than the agent needs, firstOverdueTimeout while no engine
	// is known, and half as long again after the first such call.
	overdueTimeout      = 3 * time.Second
	overdueSlack        = 750 * time.Millisecond
	firstOverdueTimeout = 11 * time.Second
	dialTimeout         = 1500 * time.Millisecond
	firstPause          = 50 * time.Millisecond  // before the round after a failed one; doubled after each failure ...
	maxPause            = 250 * time.Millisecond // ... up to this
	jitter              = 0.2                    // random fraction added to pauses and hedge intervals; see withJitter
	// startTimeout is how long the first call may take before the cached list is used.
	startTimeout = 500 * time.Millisecond
	// overlapLatency is the latency above which two calls, one after the other, would report a change too late. Calls
	// are then kept in flight beside a watch.
	overlapLatency = 2500 * time.Millisecond
	// maxSerialLatency is the same for a single response, of which it may not be known how long it took: two of them
	// still let a drain be known within its grace.
	maxSerialLatency = 3400 * time.Millisecond
)

// timing is the times of a source's calls. Tests shorten them.
type timing struct {
	watchTimeout, watchSlack, roundTimeout, startTimeout, hedgeInterval, lateHedgeInterval time.Duration
}

// defaultTiming returns the constants of the same names.
func defaultTiming() timing {
	return timing{watchTimeout: watchTimeout, watchSlack: watchSlack, roundTimeout: roundTimeout, startTimeout: startTimeout,
		hedgeInterval: hedgeInterval, lateHedgeInterval: lateHedgeInterval}
}

// latency estimates how long an agent takes for a response, beside the time for which a watch waits.
type latency struct {
	known          bool
	last, previous time.Duration // of the last two responses
}

// estimate returns the estimated latency, 0 if it is not known. A single slow response does not raise it.
func (l *latency) estimate() time.Duration { return min(l.last, l.previous) }

// add adds the latency of a response.
func (l *latency) add(d time.Duration) {
	l.previous = l.last
	if !l.known {
		l.previous = d
	}
	l.last, l.known = d, true
}

// lateAfter returns the time after which a watch without a response is late.
func (t *timing) lateAfter(estimate time.Duration) time.Duration {
	if estimate > overlapLatency {
		return t.watchTimeout + 2*t.watchSlack
	}
	return t.watchTimeout + estimate + t.watchSlack
}

// hedgeIntervalOf returns the time from one call of a round to the next. calls is the number of calls of the round, and
// rejected how many of them failed while others were in flight: an agent that rejects calls is not helped by more.
func (t *timing) hedgeIntervalOf(estimate time.Duration, calls, rejected int) time.Duration {
	interval := t.hedgeInterval
	if calls > maxEarlyHedges {
		interval = t.lateHedgeInterval
	}
	interval = max(interval, min(estimate+estimate/2, maxHedgeInterval))
	for ; rejected > 0 && interval < t.roundTimeout; rejected-- {
		interval *= 2
	}
	return interval
}

// roundTimeoutOf returns the time of a round after a number of rounds without a response. It is long enough for a
// response to the call that is made when a watch is late.
func (t *timing) roundTimeoutOf(estimate time.Duration, failedRounds int, hasResponded bool) time.Duration {
	longest := maxFirstRoundTimeout
	if hasResponded {
		longest = maxRoundTimeout
	}
	timeout := t.roundTimeout
	for ; failedRounds > 0 && timeout < longest; failedRounds-- {
		timeout *= 2
	}
	return max(min(timeout, longest), t.lateAfter(estimate)+estimate+overdueSlack)
}

// overdueAfter returns the time after which a call is overdue at an agent that rejects others. overdueCalls is the
// number of calls that were overdue since the last response: the agent may have become slower.
func (t *timing) overdueAfter(c *call, estimate time.Duration, engineKnown bool, overdueCalls int) time.Duration {
	timeout := overdueTimeout
	if !engineKnown {
		timeout = firstOverdueTimeout
	}
	if overdueCalls > 0 {
		timeout += timeout / 2
	}
	return max(timeout, c.wait+estimate+overdueSlack)
}

// withJitter lengthens a duration by a random fraction, up to jitter, so that routers do not call in step.
func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*rand.Float64()))
}
