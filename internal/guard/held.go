package guard

import (
	"time"

	"mintdoor/decide"
)

// What engines hold for a request between its stages is owed like an answer: it is to be used, or let go of, within a time. The
// time rests while an attempt is out that has reached its engine, for as much as a router can know of that.

// HoldStarted notes that engines may hold something for the request, and that no attempt was out since a time. An attempt was before.
func (r *Request) HoldStarted(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldSince = since
}

// HoldUsed notes that what is held was with an attempt up to now: its time begins anew.
func (r *Request) HoldUsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.heldSince.IsZero() {
		r.heldSince = time.Now()
	}
}

// HoldConsumed notes that nothing is held any more.
func (r *Request) HoldConsumed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldSince = time.Time{}
}

// Released notes that the router now lets go of all that is held, which it has to do within a time.
func (r *Request) Released(within time.Duration) {
	now := time.Now()
	r.mu.Lock()
	since := r.heldSince
	r.heldSince = time.Time{}
	r.mu.Unlock()
	if since.IsZero() {
		return
	}
	held := now.Sub(since)
	r.record(stepLetGo, "", "held "+held.Round(time.Millisecond).String())
	if held > within+time.Duration(decide.HoldSlack) && !r.guard.heldUp(since, now) {
		r.guard.violated(HeldTooLong, r, held.String())
	}
}
