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

// attempt is one send of a request to an engine. The fields after the blank line belong to the loop.
type attempt struct {
	row     *requestRow
	server  decide.ServerID
	addr    string
	call    engine.Call
	prefill bool
	ctx     context.Context
	allowed chan bool // the loop's answer on whether the first token may be passed on

	number       int
	guard        *guard.Attempt
	sentAt       decide.Time
	cancel       context.CancelCauseFunc
	timeoutTimer *timer // fires when the attempt times out
	renewTimer   *timer // fires when the lease of its KV state is due for renewal
	streaming    bool   // its first token was passed on
	cancelling   bool   // it was cancelled; its outcome has not arrived yet
	ended        bool
}

var (
	errPanicked  = errors.New("internal error in the engine client")
	errStalled   = errors.New("the client does not read")
	errNotWanted = errors.New("the answer is no longer wanted")
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
	row := r.table.rows[a.Request]
	if row == nil {
		return // the request is done: it has no holds, and no answer is due
	}
	r.touched = append(r.touched, row)
	switch a.Kind {
	case decide.Cancel:
		if o := row.inFlight; o != nil && o.number == a.Attempt && !o.streaming && !o.cancelling {
			o.cancelling = true
			o.cancel(engine.ErrCancelled)
		}
	case decide.Refuse:
		r.answer(row, Ending{Kind: Refused, RetryAfter: time.Duration(a.After), Reason: "refused: " + a.Reason})
	case decide.Fail:
		r.answer(row, Ending{Kind: Failed, TimedOut: row.lastTimedOut, Reason: "failed: " + a.Reason})
	case decide.Release:
		if a.DuringAttempt {
			r.holds.releaseDuringAttempt(row)
		} else {
			r.holds.release(row)
		}
	case decide.Move:
		if row.inFlight != nil && row.inFlight.streaming && !row.answered() {
			r.answer(row, Ending{Kind: Moved, Reason: "go on elsewhere"})
			row.inFlight.cancelling = true
			row.inFlight.cancel(engine.ErrCancelled)
		}
	case decide.Reserve:
		r.reserve(row, a.Server)
	}
}

// send starts an attempt. If the attempt may not start, the module is told that it was not started, in the same way
// as of any other outcome.
func (r *Router) send(act *decide.Action) {
	row := r.table.rows[act.Request]
	s := r.servers[act.Server]
	if row == nil {
		return
	}
	r.touched = append(r.touched, row)
	at := row.deadline
	if act.After != 0 {
		at = min(at, r.now+act.After)
	}
	guardAttempt, err := r.beginAttempt(act, row, s, at)
	if err != nil {
		r.queuedEvents = append(r.queuedEvents, decide.Event{Kind: decide.AttemptEnded, Request: row.id, Server: act.Server,
			Attempt: guardAttempt.Number, Outcome: decide.NotStarted, Closed: row.answered(), Report: engine.NoReport()})
		return
	}
	a := &attempt{row: row, server: act.Server, addr: s.addr, prefill: s.role == decide.Reader,
		allowed: make(chan bool, 1), sentAt: r.now, number: guardAttempt.Number, guard: guardAttempt}
	a.ctx, a.cancel = context.WithCancelCause(r.workCtx)
	row.inFlight = a
	a.timeoutTimer = r.timers.add(&timer{at: at, attempt: a})
	r.fillCall(a, row)
	a.call.LastResponseWithin = time.Duration(act.LastResponseWithin)
	r.holds.attemptSent(a)
	r.counts.sends.Add(1)
	r.work.Add(1)
	go r.runAttempt(a)
}

var (
	errServerGone      = errors.New("the engine was removed from the server list")
	errDeadlinePassed  = errors.New("the deadline has passed")
	errTooManyAttempts = errors.New("the maximum number of attempts is used up")
)

// beginAttempt asks the guard for permission to start an attempt at an engine; the attempt times out at the time at.
// If beginAttempt returns an error, the attempt must not start.
func (r *Router) beginAttempt(act *decide.Action, row *requestRow, s *server, at decide.Time) (*guard.Attempt, error) {
	limits := guard.Limits{Timeout: time.Duration(at - r.now), DrainGrace: time.Duration(r.cfg.Settings.DrainGrace)}
	if act.SendBy != 0 {
		limits.SendBy = r.wallTime(act.SendBy)
	}
	switch {
	case s == nil:
		return row.guard().SkipAttempt(limits, errServerGone)
	case r.now >= row.deadline:
		return row.guard().SkipAttempt(limits, errDeadlinePassed)
	case row.guard().Attempts() >= r.cfg.Settings.MaxAttempts:
		return row.guard().SkipAttempt(limits, errTooManyAttempts)
	}
	limits.Engine, limits.Stage = s.name, engine.StageDecode
	if s.role == decide.Reader {
		limits.Stage = engine.StagePrefill
	}
	limits.WithdrawnFor = func() (time.Duration, bool) { return s.withdrawnFor(r.moduleNow()) }
	return row.guard().BeginAttempt(limits)
}

// fillCall sets the request that the attempt sends to its engine.
func (r *Router) fillCall(a *attempt, row *requestRow) {
	j := &row.q.job
	a.call = engine.Call{ID: row.name + "." + strconv.Itoa(a.number), Model: r.cfg.Model, Message: j.Message,
		NonIdempotent:    !a.prefill && r.cfg.Settings.Classes[j.Class].RetryPolicy == decide.Unsafe,
		Gate:             a.guard,
		ResponseDeadline: r.wallTime(a.timeoutTimer.at), Params: engine.Params{
			Stage: engine.StageDecode, Request: row.name, Client: j.ClientID, Class: j.ClassName, Tenant: j.TenantName,
			Session: j.Session, SharedPrefix: j.SharedPrefix, PromptTokens: j.PromptTokens,
			PrefixTokens: j.PrefixTokens, MaxTokens: j.MaxTokens,
			HoldMillis: float64(r.cfg.Settings.HoldTimeout) / 1e6,
		}}
	switch {
	case a.prefill:
		a.call.Params.Stage, a.call.Prompt = engine.StagePrefill, j.Prompt
	case row.state != nil:
		a.call.Params.Handle, a.call.Params.Source = row.state.Handle, row.state.Addr
	default:
		a.call.Prompt = j.Prompt // the engine does the read itself
	}
	if p := row.reservation; p != nil && !a.prefill && p.server != a.server {
		row.reservation = nil // a send to another writer cancels the reservation
		r.holds.reservationReplaced(row, p)
	}
}

// runAttempt carries out an attempt in its own goroutine.
func (r *Router) runAttempt(a *attempt) {
	defer r.work.Done()
	defer a.cancel(nil)
	res := r.callEngine(a)
	if !r.post(message{kind: attemptEnded, a: a, res: res}) {
		r.holds.attemptOrphaned(a, &res)
	}
}

// callEngine makes an attempt's call. A panic in the call fails only that attempt; whether the engine executed it is
// then unknown.
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

// outcomeCertain reports whether the outcome shows what the engine did: the engine has reported the end of the
// attempt, or never received the attempt.
func outcomeCertain(o decide.Outcome) bool {
	return o == decide.ReadDone || o == decide.Full || o == decide.ConnectFailed || o == decide.NotStarted
}

// tokenSink returns a function that passes tokens on to the request's front. The first token needs the loop's
// permission, so that a first token and a timeout at the same moment can't both take effect.
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
		return q.tokens.add(a.ctx, text, r.cfg.ClientStallTimeout)
	}
}

// probe asks an engine for its load.
func (r *Router) probe(id decide.ServerID, newConnection bool) {
	s := r.servers[id]
	if s == nil {
		r.queuedEvents = append(r.queuedEvents, decide.Event{Kind: decide.Probed, Server: id, NewConnection: newConnection, Outcome: decide.ConnectFailed,
			Report: engine.NoReport()})
		return
	}
	r.counts.probes.Add(1)
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		began := time.Now()
		res := r.cfg.Engines.Probe(r.workCtx, s.addr, newConnection)
		if newConnection {
			r.log.Info("engine probed on a new connection", "engine", s.name, "outcome", outcomeName(res.Outcome), "after", time.Since(began))
		}
		r.post(message{kind: probed, server: id, newConnection: newConnection, res: res, elapsed: time.Since(began)})
	}()
}

// reserve requests a reservation at a writer while the request is being read.
func (r *Router) reserve(row *requestRow, id decide.ServerID) {
	s := r.servers[id]
	if s == nil || row.inFlight == nil || !row.inFlight.prefill || row.answered() {
		return // the module's interface defines no event for this case
	}
	if row.reservation != nil {
		r.holds.reservationReplaced(row, row.reservation)
	}
	p := &reservation{server: id, addr: s.addr}
	row.reservation = p
	ask := &engine.ReservationRequest{Request: row.name, Tokens: row.q.job.PromptTokens, Source: row.inFlight.addr,
		HoldMillis: float64(r.cfg.Settings.HoldTimeout) / 1e6}
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		granted, err := r.cfg.Engines.Reserve(r.workCtx, p.addr, ask)
		if err != nil {
			r.log.Debug("reservation request got no answer", "request", ask.Request, "err", err)
		}
		if !r.post(message{kind: reservationAnswered, id: row.id, reservation: p, name: ask.Request, server: id, granted: granted}) && granted {
			r.cfg.Engines.CancelReservation(r.workCtx, p.addr, ask.Request)
		}
	}()
}

// reservationResult handles an engine's answer to a reservation request.
func (r *Router) reservationResult(m *message) {
	row := r.table.rows[m.id]
	// If the reservation was cancelled in the meantime, the cancellation may have reached the engine before it.
	if row == nil || row.reservation != m.reservation {
		r.holds.lateReservation(row, m)
		return
	}
	if m.reservation.confirmed = m.granted; !m.granted {
		row.reservation = nil
		r.holds.lateReservation(row, m)
	}
	if row.inFlight != nil && row.inFlight.prefill {
		r.notifyModule(&decide.Event{Kind: decide.ReservationAnswer, Request: row.id, Server: m.server, Attempt: row.inFlight.number,
			Granted: m.granted, Report: engine.NoReport()}, row)
	}
}

func formatID(n uint64) string { return strconv.FormatUint(n, 36) }

func outcomeName(o decide.Outcome) string {
	return [...]string{"served", "read", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}[o]
}
