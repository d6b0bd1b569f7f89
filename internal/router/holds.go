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

// keeper sees to what engines hold for requests. All but orphaned is called by the loop.
type keeper interface {
	sent(a *attempt)                               // an attempt goes out
	renew(a *attempt)                              // what sent asked for has fallen due
	lost(f *flight, addr string, o decide.Outcome) // a read has ended, and nobody knows what it left there
	ended(a *attempt, res *engine.Result)          // an attempt has ended
	unwanted(f *flight, p *place)                  // a place was given up for another
	lateWord(f *flight, m *message)                // on a place that is not the request's; f is nil when that is over
	release(f *flight)                             // the module lets go of what no attempt waits on
	releaseWhileOut(f *flight)                     // the module lets go of what an attempt at a writer may wait on
	begun(f *flight)                               // the answer has begun
	over(f *flight)                                // nothing more is sent for the request
	orphaned(a *attempt, res *engine.Result)       // an attempt has ended after the loop; nobody else will let go
}

// leased keeps states under leases.
type leased struct{ r *Router }

func (k leased) sent(a *attempt) {
	if a.call.Params.Handle != "" {
		a.renewal = k.r.timers.add(&entry{at: k.r.now + k.every(), renew: a})
	}
}

// every is the time between renewals: two may be lost before the engine lets go.
func (k leased) every() decide.Duration { return max(k.r.cfg.Settings.HoldTimeout/3, 1) }

// renew keeps a state while an attempt at a writer is out and has not begun. An engine lets go of what
// nobody asks for within the time of rule 5, so that a dead router pins nothing; a writer that is silent
// does not claim the state, and the next writer needs it.
func (k leased) renew(a *attempt) {
	f := a.flight
	if a.ended || a.streaming || f.out != a || f.state == nil {
		return
	}
	k.sent(a)
	s := f.state
	k.r.aside("a state was not renewed", f.name, s.Addr, func() error { return k.r.cfg.Engines.Renew(k.r.workCtx, s) })
}

// lost calls the read off: its engine may have finished it in the same moment, and nobody knows that state's
// name.
func (k leased) lost(f *flight, addr string, _ decide.Outcome) { k.r.callOff(addr, f.name) }

func (k leased) unwanted(f *flight, p *place) { k.r.giveUpPlace(f.name, p) }

func (k leased) lateWord(_ *flight, m *message) {
	if m.held {
		k.r.giveUpPlace(m.name, m.place)
	}
}

func (k leased) release(f *flight) {
	using := f.out != nil && !f.out.prefill
	if s := f.state; s != nil && !using {
		f.state = nil
		k.r.letGo(f.name, s)
	}
	if p := f.place; p != nil && !(using && f.out.server == p.server) {
		f.place = nil
		k.r.giveUpPlace(f.name, p)
	}
}

func (k leased) releaseWhileOut(*flight) {} // a lease lasts for as long as the attempt

func (k leased) begun(*flight) {}

func (k leased) ended(*attempt, *engine.Result) {}

func (k leased) over(f *flight) { k.release(f) }

func (k leased) orphaned(a *attempt, res *engine.Result) {
	s := res.State
	if s == nil && a.call.Params.Handle != "" && res.Outcome != decide.Served {
		s = &engine.State{Addr: a.call.Params.Source, Handle: a.call.Params.Handle}
	}
	if s != nil {
		k.r.letGoNow(a.call.Params.Request, s)
	}
	if a.prefill && !answered(res.Outcome) {
		k.r.warn(k.r.cfg.Engines.CancelRead(k.r.workCtx, a.addr, a.call.Params.Request), notCalledOff, a.call.Params.Request, a.addr)
	}
}

// byRequest notes what may be held and lets go of all of it with one call when the request is over.
type byRequest struct{ r *Router }

func (k byRequest) sent(*attempt)                {}
func (k byRequest) renew(*attempt)               {}
func (k byRequest) unwanted(f *flight, _ *place) { f.owed = true }
func (k byRequest) release(f *flight)            { f.owed = f.owed || f.state != nil || f.place != nil }

// releaseWhileOut lets go now. The request's end lets go once more, of whatever the attempt has left.
func (k byRequest) releaseWhileOut(f *flight) {
	f.guarded().Released(time.Duration(k.r.cfg.Settings.HoldTimeout))
	if s := f.state; s != nil {
		k.r.letGo(f.name, s)
		f.state, f.owed = nil, true
	}
}

// lateWord: that a place is not held may mean that its engine does not know.
func (k byRequest) lateWord(f *flight, m *message) {
	if f != nil {
		f.owed = true
	} else {
		k.r.giveUpPlace(m.name, m.place)
	}
}

// lost: a read that its engine has failed has ended, and one call lets go of whatever it has left.
func (k byRequest) lost(f *flight, addr string, o decide.Outcome) {
	if o == decide.Error {
		f.owed = true
		return
	}
	f.lost = addr
}

// ended notes for the guard since when what is held waits for an attempt: from a read's end up to an attempt at a writer that has
// reached it.
func (k byRequest) ended(a *attempt, res *engine.Result) {
	held := a.flight.guarded()
	switch {
	case res.Outcome == decide.Served || a.streaming:
		held.HoldConsumed()
	case res.Outcome == decide.ReadDone:
		held.HoldStarted(time.Now())
	case a.prefill && res.Outcome != decide.Error && !answered(res.Outcome) && a.guarded.WasSent(): // as far as is known it was out
		held.HoldStarted(time.Now())
	case a.guarded.WasSent():
		held.HoldUsed()
	}
}

func (k byRequest) over(f *flight) {
	if f.out != nil {
		return // the loop stops; the attempt is orphaned
	}
	f.guarded().Released(time.Duration(k.r.cfg.Settings.HoldTimeout))
	if f.lost != "" {
		k.r.callOff(f.lost, f.name) // also lets go of what is known, and of what other lost reads have left
		return
	}
	switch {
	case f.state != nil:
		k.r.letGo(f.name, f.state)
	case f.place != nil:
		k.r.letGo(f.name, &engine.State{Addr: f.place.addr, Handle: f.name})
	case f.owed:
		k.r.letGo(f.name, &engine.State{Handle: f.name}) // any engine will do
	}
}

// begun: a first token lets go of all that is held by then. Reads may end yet, as their engines have not seen the ends of their
// connections.
func (k byRequest) begun(f *flight) {
	addr := f.lost
	if addr == "" {
		return
	}
	f.lost = ""
	k.r.aside(notCalledOff, f.name, addr, func() error {
		return k.r.cfg.Engines.CancelReadLater(k.r.workCtx, addr, f.name)
	})
}

func (k byRequest) orphaned(a *attempt, res *engine.Result) {
	if res.Outcome != decide.Served {
		k.r.letGoNow(a.call.Params.Request, &engine.State{Addr: a.addr, Handle: a.call.Params.Request})
	}
}

const (
	notReleased  = "release failed; the engine lets go by itself"
	notCalledOff = "a read was not called off; the engine lets go by itself"
	notGivenUp   = "a place was not given up; the engine lets go by itself"
)

// aside makes a call to an engine beside the loop. What it fails with is said.
func (r *Router) aside(failed, request, addr string, call func() error) {
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		r.warn(call(), failed, request, addr)
	}()
}

func (r *Router) warn(err error, failed, request, addr string) {
	if err != nil {
		r.log.Warn(failed, "request", request, "engine", addr, "err", err)
	}
}

func (r *Router) letGo(request string, s *engine.State) {
	r.count.releases.Add(1)
	r.aside(notReleased, request, s.Addr, func() error { return r.cfg.Engines.Release(r.workCtx, s) })
}

// letGoNow is letGo for those that are beside the loop already.
func (r *Router) letGoNow(request string, s *engine.State) {
	r.count.releases.Add(1)
	r.warn(r.cfg.Engines.Release(r.workCtx, s), notReleased, request, s.Addr)
}

func (r *Router) callOff(addr, request string) {
	r.aside(notCalledOff, request, addr, func() error { return r.cfg.Engines.CancelRead(r.workCtx, addr, request) })
}

func (r *Router) giveUpPlace(request string, p *place) {
	r.aside(notGivenUp, request, p.addr, func() error { return r.cfg.Engines.CancelReservation(r.workCtx, p.addr, request) })
}
