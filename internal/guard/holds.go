package guard

import (
	"time"

	"mintdoor/decide"
)

// Holds of a request have a time limit, like its answer: they have to be used or released within it. The hold timer
// is paused while an attempt is in flight that has reached its engine, as far as the router can know that.

// HoldStarted starts the hold timer at since: engines may hold something for the request, and no attempt has been in
// flight since then. Before that, an attempt was in flight.
func (r *Request) HoldStarted(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdStart = since
}

// HoldUsed restarts the hold timer, since an attempt was using the holds until now.
func (r *Request) HoldUsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.holdStart.IsZero() {
		r.holdStart = time.Now()
	}
}

// HoldConsumed stops the hold timer, since nothing is held any more.
func (r *Request) HoldConsumed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdStart = time.Time{}
}

// Released records that the router now releases all holds. Their timer must not exceed limit by more than
// decide.HoldSlack.
func (r *Request) Released(limit time.Duration) {
	now := time.Now()
	r.mu.Lock()
	since := r.holdStart
	r.holdStart = time.Time{}
	r.mu.Unlock()
	if since.IsZero() {
		return
	}
	held := now.Sub(since)
	r.record(stepReleased, "", "held "+held.Round(time.Millisecond).String())
	if held > limit+time.Duration(decide.HoldSlack) && !r.guard.pausedBetween(since, now) {
		r.guard.recordViolation(HeldTooLong, r, held.String())
	}
}
