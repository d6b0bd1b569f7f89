package router

import (
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
)

// HoldMode tells how engines keep the holds of a request between its stages.
type HoldMode uint8

const (
	// Leased means that each KV state has its own handle and is held for a time that the router renews. It is
	// released as soon as the module asks for it.
	Leased HoldMode = iota
	// PerRequest means that everything an engine holds is filed under the request's id until it is released. A
	// release drops whatever exists when the call arrives, including what a later attempt has just read, so it is
	// sent only when the request is done. Until then an attempt is in flight and the hold timer is paused (rule 5).
	PerRequest
)

// holdManager takes care of what engines hold for requests. All methods except attemptOrphaned are called by the
// loop.
type holdManager interface {
	// attemptSent is called when an attempt starts.
	attemptSent(a *attempt)
	// renew is called when the renewal that attemptSent scheduled is due.
	renew(a *attempt)
	// readUnknown is called when a read has ended with an unknown outcome and may have left a KV state at addr.
	readUnknown(row *requestRow, addr string, o decide.Outcome)
	// attemptEnded is called when an attempt has ended.
	attemptEnded(a *attempt, res *engine.Result)
	// reservationReplaced is called when a reservation was given up for another.
	reservationReplaced(row *requestRow, p *reservation)
	// lateReservation is called for an answer about a reservation that the request no longer has, or that was not
	// granted; row is nil if the request is done.
	lateReservation(row *requestRow, m *message)
	// release is called when the module releases the holds that no attempt needs.
	release(row *requestRow)
	// releaseDuringAttempt is called when the module releases holds that an attempt at a writer may need.
	releaseDuringAttempt(row *requestRow)
	// answerStarted is called when the answer has started.
	answerStarted(row *requestRow)
	// requestDone is called when nothing more is sent for the request.
	requestDone(row *requestRow)
	// attemptOrphaned is called for an attempt that has ended after the loop; nothing else will release its holds.
	attemptOrphaned(a *attempt, res *engine.Result)
}

// leasedHolds implements holdManager for leased KV states.
type leasedHolds struct{ r *Router }

func (k leasedHolds) attemptSent(a *attempt) {
	if a.call.Params.Handle != "" {
		a.renewTimer = k.r.timers.add(&timer{at: k.r.now + k.renewInterval(), renewFor: a})
	}
}

// renewInterval returns the time between renewals. Two renewals in a row may be lost before the engine drops the KV
// state.
func (k leasedHolds) renewInterval() decide.Duration { return max(k.r.cfg.Settings.HoldTimeout/3, 1) }

// renew extends the lease of a KV state while an attempt at a writer is in flight and has not produced a token. An
// engine drops what nobody asks for within the hold timeout (rule 5), so that a router that died doesn't occupy its
// memory. An unresponsive writer doesn't claim the KV state, and the next writer needs it.
func (k leasedHolds) renew(a *attempt) {
	row := a.row
	if a.ended || a.streaming || row.inFlight != a || row.state == nil {
		return
	}
	k.attemptSent(a)
	s := row.state
	k.r.callInBackground("lease of a KV state was not renewed", row.name, s.Addr, func() error { return k.r.cfg.Engines.Renew(k.r.workCtx, s) })
}

// readUnknown cancels the read: its engine may have finished it at the same moment, and the name of the resulting KV
// state is unknown.
func (k leasedHolds) readUnknown(row *requestRow, addr string, _ decide.Outcome) {
	k.r.cancelRead(addr, row.name)
}

func (k leasedHolds) reservationReplaced(row *requestRow, p *reservation) {
	k.r.cancelReservation(row.name, p)
}

func (k leasedHolds) lateReservation(_ *requestRow, m *message) {
	if m.granted {
		k.r.cancelReservation(m.name, m.reservation)
	}
}

func (k leasedHolds) release(row *requestRow) {
	using := row.inFlight != nil && !row.inFlight.prefill
	if s := row.state; s != nil && !using {
		row.state = nil
		k.r.releaseState(row.name, s)
	}
	if p := row.reservation; p != nil && !(using && row.inFlight.server == p.server) {
		row.reservation = nil
		k.r.cancelReservation(row.name, p)
	}
}

func (k leasedHolds) releaseDuringAttempt(*requestRow) {} // a lease lasts as long as the attempt

func (k leasedHolds) answerStarted(*requestRow) {}

func (k leasedHolds) attemptEnded(*attempt, *engine.Result) {}

func (k leasedHolds) requestDone(row *requestRow) { k.release(row) }

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

// requestHolds implements holdManager for holds per request. It records what may be held and releases all of it with
// one call when the request is done.
type requestHolds struct{ r *Router }

func (k requestHolds) attemptSent(*attempt)                                {}
func (k requestHolds) renew(*attempt)                                      {}
func (k requestHolds) reservationReplaced(row *requestRow, _ *reservation) { row.releasePending = true }
func (k requestHolds) release(row *requestRow) {
	row.releasePending = row.releasePending || row.state != nil || row.reservation != nil
}

// releaseDuringAttempt releases the holds immediately. At the end of the request they are released once more, for
// whatever the attempt has left.
func (k requestHolds) releaseDuringAttempt(row *requestRow) {
	row.guard().Released(time.Duration(k.r.cfg.Settings.HoldTimeout))
	if s := row.state; s != nil {
		k.r.releaseState(row.name, s)
		row.state, row.releasePending = nil, true
	}
}

// lateReservation notes a pending release even if the reservation was not granted: a negative answer may mean that
// the engine doesn't know whether it holds the reservation.
func (k requestHolds) lateReservation(row *requestRow, m *message) {
	if row != nil {
		row.releasePending = true
	} else {
		k.r.cancelReservation(m.name, m.reservation)
	}
}

// readUnknown notes a pending release if the engine has failed the read, since that read has ended and one call
// releases whatever it has left. After other outcomes the read itself has to be cancelled.
func (k requestHolds) readUnknown(row *requestRow, addr string, o decide.Outcome) {
	if o == decide.Error {
		row.releasePending = true
		return
	}
	row.unknownRead = addr
}

// attemptEnded tells the guard from when on the holds wait for an attempt. They wait from the end of a read until an
// attempt has reached a writer.
func (k requestHolds) attemptEnded(a *attempt, res *engine.Result) {
	g := a.row.guard()
	switch {
	case res.Outcome == decide.Served || a.streaming:
		g.HoldConsumed()
	case res.Outcome == decide.ReadDone:
		g.HoldStarted(time.Now())
	case a.prefill && res.Outcome != decide.Error && !outcomeCertain(res.Outcome) && a.guard.WasSent():
		g.HoldStarted(time.Now()) // as far as the router knows, the read was in flight until now
	case a.guard.WasSent():
		g.HoldUsed()
	}
}

func (k requestHolds) requestDone(row *requestRow) {
	if row.inFlight != nil {
		return // the loop stops; attemptOrphaned releases the holds
	}
	row.guard().Released(time.Duration(k.r.cfg.Settings.HoldTimeout))
	if row.unknownRead != "" {
		// This also releases the known holds and those of other reads with unknown outcomes.
		k.r.cancelRead(row.unknownRead, row.name)
		return
	}
	switch {
	case row.state != nil:
		k.r.releaseState(row.name, row.state)
	case row.reservation != nil:
		k.r.releaseState(row.name, &engine.State{Addr: row.reservation.addr, Handle: row.name})
	case row.releasePending:
		k.r.releaseState(row.name, &engine.State{Handle: row.name}) // any engine accepts this call
	}
}

// answerStarted cancels a read with an unknown outcome. A first token releases everything that is held by then, but
// such reads may still finish, as their engines may not have noticed that the connections were closed.
func (k requestHolds) answerStarted(row *requestRow) {
	addr := row.unknownRead
	if addr == "" {
		return
	}
	row.unknownRead = ""
	k.r.callInBackground(msgReadNotCancelled, row.name, addr, func() error {
		return k.r.cfg.Engines.CancelReadLater(k.r.workCtx, addr, row.name)
	})
}

func (k requestHolds) attemptOrphaned(a *attempt, res *engine.Result) {
	if res.Outcome != decide.Served {
		k.r.releaseStateSync(a.call.Params.Request, &engine.State{Addr: a.addr, Handle: a.call.Params.Request})
	}
}

const (
	msgNotReleased             = "release failed; the engine will release the hold itself"
	msgReadNotCancelled        = "a read was not cancelled; the engine will release its KV state itself"
	msgReservationNotCancelled = "a reservation was not cancelled; the engine will release it itself"
)

// callInBackground makes a call to an engine outside the loop and logs its error.
func (r *Router) callInBackground(failed, request, addr string, call func() error) {
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		r.logFailure(call(), failed, request, addr)
	}()
}

// logFailure logs the error of a call to an engine, if there is one.
func (r *Router) logFailure(err error, failed, request, addr string) {
	if err != nil {
		r.log.Warn(failed, "request", request, "engine", addr, "err", err)
	}
}

// releaseState releases a KV state or another hold of a request in the background.
func (r *Router) releaseState(request string, s *engine.State) {
	r.counts.releases.Add(1)
	r.callInBackground(msgNotReleased, request, s.Addr, func() error { return r.cfg.Engines.Release(r.workCtx, s) })
}

// releaseStateSync is releaseState for callers that run outside the loop already.
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
