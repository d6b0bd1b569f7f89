package router

import (
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
)

// HoldMode tells how engines hold what waits for a request between its stages.
type HoldMode uint8

const (
	// Leased states have handles of their own and are held for a time that the router renews. Each is let go
	// as soon as the module says so.
	Leased HoldMode = iota
	// PerRequest: all that is held stands under the request's one id until it is let go. Letting go takes
	// whatever is there when the call arrives, also what a later attempt has just read, so it waits until the
	// request is over. Until then an attempt is out, and the time of rule 5 rests.
	PerRequest
)

// holdManager sees to what engines hold for requests. All but orphaned is called by the loop.
type holdManager interface {
	attemptSent(a *attempt)                                   // an attempt goes out
	renew(a *attempt)                                         // what sent asked for has fallen due
	readUnknown(f *requestRow, addr string, o decide.Outcome) // a read has ended, and nobody knows what it left there
	attemptEnded(a *attempt, res *engine.Result)              // an attempt has ended
	reservationReplaced(f *requestRow, p *reservation)        // a place was given up for another
	lateReservation(f *requestRow, m *message)                // on a place that is not the request's; f is nil when that is over
	release(f *requestRow)                                    // the module lets go of what no attempt waits on
	releaseDuringAttempt(f *requestRow)                       // the module lets go of what an attempt at a writer may wait on
	answerStarted(f *requestRow)                              // the answer has begun
	requestDone(f *requestRow)                                // nothing more is sent for the request
	attemptOrphaned(a *attempt, res *engine.Result)           // an attempt has ended after the loop; nobody else will let go
}

// leasedHolds keeps states under leases.
type leasedHolds struct{ r *Router }

func (k leasedHolds) attemptSent(a *attempt) {
	if a.call.Params.Handle != "" {
		a.renewTimer = k.r.timers.add(&timer{at: k.r.now + k.renewInterval(), renewFor: a})
	}
}

// renewInterval is the time between renewals: two may be lost before the engine lets go.
func (k leasedHolds) renewInterval() decide.Duration { return max(k.r.cfg.Settings.HoldTimeout/3, 1) }

// renew keeps a state while an attempt at a writer is out and has not begun. An engine lets go of what
// nobody asks for within the time of rule 5, so that a dead router pins nothing; a writer that is silent
// does not claim the state, and the next writer needs it.
func (k leasedHolds) renew(a *attempt) {
	f := a.row
	if a.ended || a.streaming || f.inFlight != a || f.state == nil {
		return
	}
	k.attemptSent(a)
	s := f.state
	k.r.callInBackground("a state was not renewed", f.name, s.Addr, func() error { return k.r.cfg.Engines.Renew(k.r.workCtx, s) })
}

// readUnknown calls the read off: its engine may have finished it in the same moment, and nobody knows that state's
// name.
func (k leasedHolds) readUnknown(f *requestRow, addr string, _ decide.Outcome) {
	k.r.cancelRead(addr, f.name)
}

func (k leasedHolds) reservationReplaced(f *requestRow, p *reservation) {
	k.r.cancelReservation(f.name, p)
}

func (k leasedHolds) lateReservation(_ *requestRow, m *message) {
	if m.granted {
		k.r.cancelReservation(m.name, m.reservation)
	}
}

func (k leasedHolds) release(f *requestRow) {
	using := f.inFlight != nil && !f.inFlight.prefill
	if s := f.state; s != nil && !using {
		f.state = nil
		k.r.releaseState(f.name, s)
	}
	if p := f.reservation; p != nil && !(using && f.inFlight.server == p.server) {
		f.reservation = nil
		k.r.cancelReservation(f.name, p)
	}
}

func (k leasedHolds) releaseDuringAttempt(*requestRow) {} // a lease lasts for as long as the attempt

func (k leasedHolds) answerStarted(*requestRow) {}

func (k leasedHolds) attemptEnded(*attempt, *engine.Result) {}

func (k leasedHolds) requestDone(f *requestRow) { k.release(f) }

func (k leasedHolds) attemptOrphaned(a *attempt, res *engine.Result) {
	s := res.State
	if s == nil && a.call.Params.Handle != "" && res.Outcome != decide.Served {
		s = &engine.State{Addr: a.call.Params.Source, Handle: a.call.Params.Handle}
	}
	if s != nil {
		k.r.releaseStateSync(a.call.Params.Request, s)
	}
	if a.prefill && !outcomeCertain(res.Outcome) {
		k.r.logFailure(k.r.cfg.Engines.CancelRead(k.r.workCtx, a.addr, a.call.Params.Request), msgReadNotCancelled, a.call.Params.Request, a.addr)
	}
}

// requestHolds notes what may be held and lets go of all of it with one call when the request is over.
type requestHolds struct{ r *Router }

func (k requestHolds) attemptSent(*attempt)                              {}
func (k requestHolds) renew(*attempt)                                    {}
func (k requestHolds) reservationReplaced(f *requestRow, _ *reservation) { f.releasePending = true }
func (k requestHolds) release(f *requestRow) {
	f.releasePending = f.releasePending || f.state != nil || f.reservation != nil
}

// releaseDuringAttempt lets go now. The request's end lets go once more, of whatever the attempt has left.
func (k requestHolds) releaseDuringAttempt(f *requestRow) {
	f.guard().Released(time.Duration(k.r.cfg.Settings.HoldTimeout))
	if s := f.state; s != nil {
		k.r.releaseState(f.name, s)
		f.state, f.releasePending = nil, true
	}
}

// lateReservation: that a place is not held may mean that its engine does not know.
func (k requestHolds) lateReservation(f *requestRow, m *message) {
	if f != nil {
		f.releasePending = true
	} else {
		k.r.cancelReservation(m.name, m.reservation)
	}
}

// readUnknown: a read that its engine has failed has ended, and one call lets go of whatever it has left.
func (k requestHolds) readUnknown(f *requestRow, addr string, o decide.Outcome) {
	if o == decide.Error {
		f.releasePending = true
		return
	}
	f.unknownRead = addr
}

// attemptEnded notes for the guard since when what is held waits for an attempt: from a read's end up to an attempt at a writer that has
// reached it.
func (k requestHolds) attemptEnded(a *attempt, res *engine.Result) {
	held := a.row.guard()
	switch {
	case res.Outcome == decide.Served || a.streaming:
		held.HoldConsumed()
	case res.Outcome == decide.ReadDone:
		held.HoldStarted(time.Now())
	case a.prefill && res.Outcome != decide.Error && !outcomeCertain(res.Outcome) && a.guard.WasSent(): // as far as is known it was out
		held.HoldStarted(time.Now())
	case a.guard.WasSent():
		held.HoldUsed()
	}
}

func (k requestHolds) requestDone(f *requestRow) {
	if f.inFlight != nil {
		return // the loop stops; the attempt is orphaned
	}
	f.guard().Released(time.Duration(k.r.cfg.Settings.HoldTimeout))
	if f.unknownRead != "" {
		k.r.cancelRead(f.unknownRead, f.name) // also lets go of what is known, and of what other lost reads have left
		return
	}
	switch {
	case f.state != nil:
		k.r.releaseState(f.name, f.state)
	case f.reservation != nil:
		k.r.releaseState(f.name, &engine.State{Addr: f.reservation.addr, Handle: f.name})
	case f.releasePending:
		k.r.releaseState(f.name, &engine.State{Handle: f.name}) // any engine will do
	}
}

// answerStarted: a first token lets go of all that is held by then. Reads may end yet, as their engines have not seen the ends of their
// connections.
func (k requestHolds) answerStarted(f *requestRow) {
	addr := f.unknownRead
	if addr == "" {
		return
	}
	f.unknownRead = ""
	k.r.callInBackground(msgReadNotCancelled, f.name, addr, func() error {
		return k.r.cfg.Engines.CancelReadLater(k.r.workCtx, addr, f.name)
	})
}

func (k requestHolds) attemptOrphaned(a *attempt, res *engine.Result) {
	if res.Outcome != decide.Served {
		k.r.releaseStateSync(a.call.Params.Request, &engine.State{Addr: a.addr, Handle: a.call.Params.Request})
	}
}

const (
	msgNotReleased             = "release failed; the engine lets go by itself"
	msgReadNotCancelled        = "a read was not called off; the engine lets go by itself"
	msgReservationNotCancelled = "a place was not given up; the engine lets go by itself"
)

// callInBackground makes a call to an engine beside the loop. What it fails with is said.
func (r *Router) callInBackground(failed, request, addr string, call func() error) {
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		r.logFailure(call(), failed, request, addr)
	}()
}

func (r *Router) logFailure(err error, failed, request, addr string) {
	if err != nil {
		r.log.Warn(failed, "request", request, "engine", addr, "err", err)
	}
}

func (r *Router) releaseState(request string, s *engine.State) {
	r.counts.releases.Add(1)
	r.callInBackground(msgNotReleased, request, s.Addr, func() error { return r.cfg.Engines.Release(r.workCtx, s) })
}

// releaseStateSync is letGo for those that are beside the loop already.
func (r *Router) releaseStateSync(request string, s *engine.State) {
	r.counts.releases.Add(1)
	r.logFailure(r.cfg.Engines.Release(r.workCtx, s), msgNotReleased, request, s.Addr)
}

func (r *Router) cancelRead(addr, request string) {
	r.callInBackground(msgReadNotCancelled, request, addr, func() error { return r.cfg.Engines.CancelRead(r.workCtx, addr, request) })
}

func (r *Router) cancelReservation(request string, p *reservation) {
	r.callInBackground(msgReservationNotCancelled, request, p.addr, func() error { return r.cfg.Engines.CancelReservation(r.workCtx, p.addr, request) })
}
