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
	row     *requestRow
	server  decide.ServerID
	addr    string
	call    engine.Call
	prefill bool
	ctx     context.Context
	allowed chan bool // the loop's word on the first token

	number       int
	guard        *guard.Attempt
	sentAt       decide.Time
	cancel       context.CancelCauseFunc
	timeoutTimer *timer // its time-out
	renewTimer   *timer // the next renewal of its state
	streaming    bool   // its first token was let through
	cancelling   bool   // it was called off; its outcome is on the way
	ended        bool
}

var (
	errPanicked  = errors.New("internal error of the engines' client")
	errStalled   = errors.New("the client does not read")
	errNotWanted = errors.New("the answer is not wanted any more")
)

// execute carries out one action of the module.
func (r *Router) execute(a *decide.Action) {
	switch a.Kind {
	case decide.Send:
		r.send(a)
		return
	case decide.SetTimer:
		r.timers.add(&timer{at: r.now + a.After, id: a.TimerID, generation: r.generation})
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
		if o := f.inFlight; o != nil && o.number == a.Attempt && !o.streaming && !o.cancelling {
			o.cancelling = true
			o.cancel(engine.ErrCancelled)
		}
	case decide.Refuse:
		r.answer(f, Ending{Kind: Refused, RetryAfter: time.Duration(a.After), Reason: "refused: " + a.Reason})
	case decide.Fail:
		r.answer(f, Ending{Kind: Failed, TimedOut: f.lastTimedOut, Reason: "failed: " + a.Reason})
	case decide.Release:
		if a.DuringAttempt {
			r.holds.releaseDuringAttempt(f)
		} else {
			r.holds.release(f)
		}
	case decide.Move:
		if f.inFlight != nil && f.inFlight.streaming && !f.answered() {
			r.answer(f, Ending{Kind: Moved, Reason: "go on elsewhere"})
			f.inFlight.cancelling = true
			f.inFlight.cancel(engine.ErrCancelled)
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
	guarded, err := r.beginAttempt(act, f, s, at)
	if err != nil {
		r.queuedEvents = append(r.queuedEvents, decide.Event{Kind: decide.AttemptEnded, Request: f.id, Server: act.Server,
			Attempt: guarded.Number, Outcome: decide.NotStarted, Closed: f.answered(), Report: engine.NoReport()})
		return
	}
	a := &attempt{row: f, server: act.Server, addr: s.addr, prefill: s.role == decide.Reader,
		allowed: make(chan bool, 1), sentAt: r.now, number: guarded.Number, guard: guarded}
	a.ctx, a.cancel = context.WithCancelCause(r.workCtx)
	f.inFlight = a
	a.timeoutTimer = r.timers.add(&timer{at: at, attempt: a})
	r.fillCall(a, f)
	a.call.LastResponseWithin = time.Duration(act.LastResponseWithin)
	r.holds.attemptSent(a)
	r.counts.sends.Add(1)
	r.work.Add(1)
	go r.runAttempt(a)
}

var (
	errServerGone      = errors.New("the engine has left the list")
	errDeadlinePassed  = errors.New("the deadline has passed")
	errTooManyAttempts = errors.New("there were as many attempts as there may be")
)

// beginAttempt asks the guard for an attempt at an engine, which is given up at some time. With an error it may not start.
func (r *Router) beginAttempt(act *decide.Action, f *requestRow, s *server, at decide.Time) (*guard.Attempt, error) {
	limits := guard.Limits{Timeout: time.Duration(at - r.now), DrainGrace: time.Duration(r.cfg.Settings.DrainGrace)}
	if act.SendBy != 0 {
		limits.SendBy = r.wallTime(act.SendBy)
	}
	switch {
	case s == nil:
		return f.guard().SkipAttempt(limits, errServerGone)
	case r.now >= f.deadline:
		return f.guard().SkipAttempt(limits, errDeadlinePassed)
	case f.guard().Attempts() >= r.cfg.Settings.MaxAttempts:
		return f.guard().SkipAttempt(limits, errTooManyAttempts)
	}
	limits.Engine, limits.Stage = s.name, engine.StageDecode
	if s.role == decide.Reader {
		limits.Stage = engine.StagePrefill
	}
	limits.WithdrawnFor = func() (time.Duration, bool) { return s.withdrawnFor(r.moduleNow()) }
	return f.guard().BeginAttempt(limits)
}

// fillCall makes what the attempt carries.
func (r *Router) fillCall(a *attempt, f *requestRow) {
	j := &f.q.job
	a.call = engine.Call{ID: f.name + "." + strconv.Itoa(a.number), Model: r.cfg.Model, Message: j.Message,
		NonIdempotent:    !a.prefill && r.cfg.Settings.Classes[j.Class].RetryPolicy == decide.Unsafe,
		Gate:             a.guard,
		ResponseDeadline: r.wallTime(a.timeoutTimer.at), Params: engine.Params{
			Stage: engine.StageDecode, Request: f.name, Client: j.ClientID, Class: j.ClassName, Tenant: j.TenantName,
			Session: j.Session, SharedText: j.SharedPrefix, PromptTokens: j.PromptTokens,
			SharedTokens: j.PrefixTokens, MaxTokens: j.MaxTokens,
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
	if p := f.reservation; p != nil && !a.prefill && p.server != a.server {
		f.reservation = nil // a send to another writer gives the place up
		r.holds.reservationReplaced(f, p)
	}
}

// runAttempt carries out an attempt. It is a goroutine of its own.
func (r *Router) runAttempt(a *attempt) {
	defer r.work.Done()
	defer a.cancel(nil)
	res := r.callEngine(a)
	if !r.post(message{kind: attemptEnded, a: a, res: res}) {
		r.holds.attemptOrphaned(a, &res)
	}
}

// callEngine makes an attempt's call. A panic in it fails that attempt alone: nobody knows whether it ran.
func (r *Router) callEngine(a *attempt) (res engine.Result) {
	defer func() {
		if p := recover(); p != nil {
			r.counts.panics.Add(1)
			r.log.Error("an attempt panicked", "request", a.row.name, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			res = engine.Result{Outcome: decide.Reset, Report: engine.NoReport(), Err: errPanicked}
		}
	}()
	if a.prefill {
		return r.cfg.Engines.Prefill(a.ctx, a.addr, &a.call)
	}
	return r.cfg.Engines.Decode(a.ctx, a.addr, &a.call, r.tokenSink(a))
}

// outcomeCertain tells whether the engine has said how an attempt ended, or never heard of it.
func outcomeCertain(o decide.Outcome) bool {
	return o == decide.ReadDone || o == decide.Full || o == decide.ConnectFailed || o == decide.NotStarted
}

// tokenSink hands tokens on to the request's front. The first asks the loop, so that a first token and a
// time-out at the same moment can't both win.
func (r *Router) tokenSink(a *attempt) func(string) error {
	begun := false
	q := a.row.q
	return func(text string) error {
		if !begun {
			if !r.post(message{kind: firstToken, a: a}) {
				return errNotWanted
			}
			select {
			case ok := <-a.allowed:
				if !ok {
					return errNotWanted
				}
			case <-r.quit:
				return errNotWanted
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
		r.queuedEvents = append(r.queuedEvents, decide.Event{Kind: decide.Probed, Server: id, NewConnection: fresh, Outcome: decide.ConnectFailed,
			Report: engine.NoReport()})
		return
	}
	r.counts.probes.Add(1)
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		began := time.Now()
		res := r.cfg.Engines.Probe(r.workCtx, s.addr, fresh)
		if fresh {
			r.log.Info("engine checked", "engine", s.name, "outcome", outcomeName(res.Outcome), "after", time.Since(began))
		}
		r.post(message{kind: probed, server: id, newConnection: fresh, res: res, elapsed: time.Since(began)})
	}()
}

// reserve asks for a place ahead, while the request is read.
func (r *Router) reserve(f *requestRow, id decide.ServerID) {
	s := r.servers[id]
	if s == nil || f.inFlight == nil || !f.inFlight.prefill || f.answered() {
		return // as the module's interface has it: no answer then
	}
	if f.reservation != nil {
		r.holds.reservationReplaced(f, f.reservation)
	}
	p := &reservation{server: id, addr: s.addr}
	f.reservation = p
	ask := &engine.ReservationRequest{Request: f.name, Tokens: f.q.job.PromptTokens, Source: f.inFlight.addr,
		HoldMillis: float64(r.cfg.Settings.HoldTimeout) / 1e6}
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		held, err := r.cfg.Engines.Reserve(r.workCtx, p.addr, ask)
		if err != nil {
			r.log.Debug("no answer to a place asked for", "request", ask.Request, "err", err)
		}
		if !r.post(message{kind: reservationAnswered, id: f.id, reservation: p, name: ask.Request, server: id, granted: held}) && held {
			r.cfg.Engines.CancelReservation(r.workCtx, p.addr, ask.Request)
		}
	}()
}

func (r *Router) reservationResult(m *message) {
	f := r.table.rows[m.id]
	if f == nil || f.reservation != m.reservation { // given up meanwhile; the first word may have come too early
		r.holds.lateReservation(f, m)
		return
	}
	if m.reservation.confirmed = m.granted; !m.granted {
		f.reservation = nil
		r.holds.lateReservation(f, m)
	}
	if f.inFlight != nil && f.inFlight.prefill {
		r.notifyModule(&decide.Event{Kind: decide.ReservationAnswer, Request: f.id, Server: m.server, Attempt: f.inFlight.number,
			Granted: m.granted, Report: engine.NoReport()}, f)
	}
}

func formatID(n uint64) string { return strconv.FormatUint(n, 36) }

func outcomeName(o decide.Outcome) string {
	return [...]string{"served", "read", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}[o]
}
