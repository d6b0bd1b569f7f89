package router

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"strconv"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/guard"
)

// attempt is one send of a request. Its fields below the line belong to the loop.
type attempt struct {
	flight  *flight
	server  decide.ServerID
	addr    string
	call    engine.Call
	prefill bool
	ctx     context.Context
	granted chan bool // the loop's word on the first token

	number    int
	guarded   *guard.Attempt
	sentAt    decide.Time
	cancel    context.CancelCauseFunc
	limit     *entry // its time-out
	renewal   *entry // the next renewal of its state
	streaming bool   // its first token was let through
	ending    bool   // it was called off; its outcome is on the way
	ended     bool
}

var (
	errPanicked = errors.New("internal error of the engines' client")
	errStalled  = errors.New("the client does not read")
	errDenied   = errors.New("the answer is not wanted any more")
)

// carry carries out one action of the module.
func (r *Router) carry(a *decide.Action) {
	switch a.Kind {
	case decide.Send:
		r.send(a)
		return
	case decide.SetTimer:
		r.timers.add(&entry{at: r.now + a.After, token: a.TimerID, generation: r.generation})
		return
	case decide.Probe:
		r.probe(a.Server, a.NewConnection)
		return
	case decide.WatchList:
		if r.cfg.WatchList != nil {
			r.cfg.WatchList()
		}
		return
	case decide.Note:
		r.log.Info("module", "note", a.Reason)
		return
	}
	f := r.table.rows[a.Request]
	if f == nil {
		return // it is over; nothing is held and nothing is owed
	}
	r.touched = append(r.touched, f)
	switch a.Kind {
	case decide.Cancel:
		if o := f.out; o != nil && o.number == a.Attempt && !o.streaming && !o.ending {
			o.ending = true
			o.cancel(engine.ErrCancelled)
		}
	case decide.Refuse:
		r.answer(f, Ending{Kind: Refused, RetryAfter: time.Duration(a.After), Reason: "refused: " + a.Reason})
	case decide.Fail:
		r.answer(f, Ending{Kind: Failed, TimedOut: f.late, Reason: "failed: " + a.Reason})
	case decide.Release:
		if a.DuringAttempt {
			r.keep.releaseWhileOut(f)
		} else {
			r.keep.release(f)
		}
	case decide.Move:
		if f.out != nil && f.out.streaming && !f.answered() {
			r.answer(f, Ending{Kind: Moved, Reason: "go on elsewhere"})
			f.out.ending = true
			f.out.cancel(engine.ErrCancelled)
		}
	case decide.Reserve:
		r.reserve(f, a.Server)
	}
}

// send starts an attempt. One that may not start is moot, and the module hears so like of any outcome.
func (r *Router) send(act *decide.Action) {
	f := r.table.rows[act.Request]
	s := r.servers[act.Server]
	if f == nil {
		return
	}
	r.touched = append(r.touched, f)
	at := f.deadline
	if act.After != 0 {
		at = min(at, r.now+act.After)
	}
	guarded, err := r.begin(act, f, s, at)
	if err != nil {
		r.later = append(r.later, decide.Event{Kind: decide.AttemptEnded, Request: f.id, Server: act.Server,
			Attempt: guarded.Number, Outcome: decide.NotStarted, Closed: f.answered(), Report: engine.NoReport()})
		return
	}
	a := &attempt{flight: f, server: act.Server, addr: s.addr, prefill: s.role == decide.Reader,
		granted: make(chan bool, 1), sentAt: r.now, number: guarded.Number, guarded: guarded}
	a.ctx, a.cancel = context.WithCancelCause(r.workCtx)
	f.out = a
	a.limit = r.timers.add(&entry{at: at, attempt: a})
	r.fill(a, f)
	a.call.LastResponseWithin = time.Duration(act.LastResponseWithin)
	r.keep.sent(a)
	r.count.sends.Add(1)
	r.work.Add(1)
	go r.run(a)
}

var (
	errNoServer    = errors.New("the engine has left the list")
	errNoTime      = errors.New("the deadline has passed")
	errAllAttempts = errors.New("there were as many attempts as there may be")
)

// begin asks the guard for an attempt at an engine, which is given up at some time. With an error it may not start.
func (r *Router) begin(act *decide.Action, f *flight, s *server, at decide.Time) (*guard.Attempt, error) {
	limits := guard.Limits{Timeout: time.Duration(at - r.now), DrainGrace: time.Duration(r.cfg.Settings.DrainGrace)}
	if act.SendBy != 0 {
		limits.SendBy = r.wall(act.SendBy)
	}
	switch {
	case s == nil:
		return f.guarded().SkipAttempt(limits, errNoServer)
	case r.now >= f.deadline:
		return f.guarded().SkipAttempt(limits, errNoTime)
	case f.guarded().Attempts() >= r.cfg.Settings.MaxAttempts:
		return f.guarded().SkipAttempt(limits, errAllAttempts)
	}
	limits.Engine, limits.Stage = s.name, engine.StageDecode
	if s.role == decide.Reader {
		limits.Stage = engine.StagePrefill
	}
	limits.WithdrawnFor = func() (time.Duration, bool) { return s.withdrawnFor(r.clock()) }
	return f.guarded().BeginAttempt(limits)
}

// fill makes what the attempt carries.
func (r *Router) fill(a *attempt, f *flight) {
	j := &f.q.job
	a.call = engine.Call{ID: f.name + "." + strconv.Itoa(a.number), Model: r.cfg.Model, Message: j.Message,
		NonIdempotent:    !a.prefill && r.cfg.Settings.Classes[j.Class].RetryPolicy == decide.Unsafe,
		Gate:             a.guarded,
		ResponseDeadline: r.wall(a.limit.at), Params: engine.Params{
			Stage: engine.StageDecode, Request: f.name, Client: j.ClientID, Class: j.ClassName, Tenant: j.TenantName,
			Session: j.Session, SharedPrefix: j.SharedPrefix, PromptTokens: j.PromptTokens,
			PrefixTokens: j.PrefixTokens, MaxTokens: j.MaxTokens,
			HoldMillis: float64(r.cfg.Settings.HoldTimeout) / 1e6,
		}}
	switch {
	case a.prefill:
		a.call.Params.Stage, a.call.Prompt = engine.StagePrefill, j.Prompt
	case f.state != nil:
		a.call.Params.Handle, a.call.Params.Source = f.state.Handle, f.state.Addr
	default:
		a.call.Prompt = j.Prompt // the engine reads by itself
	}
	if p := f.place; p != nil && !a.prefill && p.server != a.server {
		f.place = nil // a send to another writer gives the place up
		r.keep.unwanted(f, p)
	}
}

// run carries out an attempt. It is a goroutine of its own.
func (r *Router) run(a *attempt) {
	defer r.work.Done()
	defer a.cancel(nil)
	res := r.callEngine(a)
	if !r.post(message{kind: attemptEnded, a: a, res: res}) {
		r.keep.orphaned(a, &res)
	}
}

// callEngine makes an attempt's call. A panic in it fails that attempt alone: nobody knows whether it ran.
func (r *Router) callEngine(a *attempt) (res engine.Result) {
	defer func() {
		if p := recover(); p != nil {
			r.count.panics.Add(1)
			r.log.Error("an attempt panicked", "request", a.flight.name, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			res = engine.Result{Outcome: decide.Reset, Report: engine.NoReport(), Err: errPanicked}
		}
	}()
	if a.prefill {
		return r.cfg.Engines.Prefill(a.ctx, a.addr, &a.call)
	}
	return r.cfg.Engines.Decode(a.ctx, a.addr, &a.call, r.sink(a))
}

// answered tells whether the engine has said how an attempt ended, or never heard of it.
func answered(o decide.Outcome) bool {
	return o == decide.ReadDone || o == decide.Full || o == decide.ConnectFailed || o == decide.NotStarted
}

// sink hands tokens on to the request's front. The first asks the loop, so that a first token and a
// time-out at the same moment can't both win.
func (r *Router) sink(a *attempt) func(string) error {
	begun := false
	q := a.flight.q
	return func(text string) error {
		if !begun {
			if !r.post(message{kind: firstToken, a: a}) {
				return errDenied
			}
			select {
			case ok := <-a.granted:
				if !ok {
					return errDenied
				}
			case <-r.quit:
				return errDenied
			}
			begun = true
		}
		select {
		case q.parts <- text:
			return nil
		default:
		}
		stall := time.NewTimer(r.cfg.ClientStallTimeout)
		defer stall.Stop()
		select {
		case q.parts <- text:
			return nil
		case <-a.ctx.Done():
			return context.Cause(a.ctx)
		case <-stall.C:
			return errStalled
		}
	}
}

// probe asks an engine for its load.
func (r *Router) probe(id decide.ServerID, fresh bool) {
	s := r.servers[id]
	if s == nil {
		r.later = append(r.later, decide.Event{Kind: decide.Probed, Server: id, NewConnection: fresh, Outcome: decide.ConnectFailed,
			Report: engine.NoReport()})
		return
	}
	r.count.probes.Add(1)
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		began := time.Now()
		res := r.cfg.Engines.Probe(r.workCtx, s.addr, fresh)
		if fresh {
			r.log.Info("engine checked", "engine", s.name, "outcome", outcomeName(res.Outcome), "after", time.Since(began))
		}
		r.post(message{kind: probed, server: id, fresh: fresh, res: res, spent: time.Since(began)})
	}()
}

// reserve asks for a place ahead, while the request is read.
func (r *Router) reserve(f *flight, id decide.ServerID) {
	s := r.servers[id]
	if s == nil || f.out == nil || !f.out.prefill || f.answered() {
		return // as the module's interface has it: no answer then
	}
	if f.place != nil {
		r.keep.unwanted(f, f.place)
	}
	p := &place{server: id, addr: s.addr}
	f.place = p
	ask := &engine.ReservationRequest{Request: f.name, Tokens: f.q.job.PromptTokens, Source: f.out.addr,
		HoldMillis: float64(r.cfg.Settings.HoldTimeout) / 1e6}
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		held, err := r.cfg.Engines.Reserve(r.workCtx, p.addr, ask)
		if err != nil {
			r.log.Debug("no answer to a place asked for", "request", ask.Request, "err", err)
		}
		if !r.post(message{kind: placed, id: f.id, place: p, name: ask.Request, server: id, held: held}) && held {
			r.cfg.Engines.CancelReservation(r.workCtx, p.addr, ask.Request)
		}
	}()
}

func (r *Router) placed(m *message) {
	f := r.table.rows[m.id]
	if f == nil || f.place != m.place { // given up meanwhile; the first word may have come too early
		r.keep.lateWord(f, m)
		return
	}
	if m.place.held = m.held; !m.held {
		f.place = nil
		r.keep.lateWord(f, m)
	}
	if f.out != nil && f.out.prefill {
		r.tell(&decide.Event{Kind: decide.ReservationAnswer, Request: f.id, Server: m.server, Attempt: f.out.number,
			Granted: m.held, Report: engine.NoReport()}, f)
	}
}

func formatID(n uint64) string { return strconv.FormatUint(n, 36) }

func outcomeName(o decide.Outcome) string {
	return [...]string{"served", "read", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}[o]
}
