package router

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"

	"github.com/cespare/xxhash/v2"
)

// message reports one occurrence to the loop.
type message struct {
	kind          messageKind
	posted        time.Time
	q             *Request         // arrived, clientLeft, expired
	a             *attempt         // firstToken, attemptEnded
	res           engine.Result    // attemptEnded, probed
	update        discovery.Update // listUpdated
	server        decide.ServerID  // probed, reservationAnswered
	id            decide.RequestID // reservationAnswered
	reservation   *reservation     // reservationAnswered
	name          string           // reservationAnswered
	granted       bool             // reservationAnswered
	elapsed       time.Duration    // probed
	newConnection bool             // probed
	plan          *decide.Shutdown // shuttingDown
}

type messageKind uint8

const (
	arrived messageKind = iota
	clientLeft
	firstToken
	attemptEnded
	listUpdated
	probed
	reservationAnswered
	shuttingDown
	expired
)

func (k messageKind) String() string {
	return [...]string{"arrived", "client left", "first token", "attempt ended", "list", "probe", "place", "shutting down", "expired"}[k]
}

// Run runs the loop until ctx ends, or until Drain was called and no request is open. Requests that are still open
// then get their final answer, attempts are cancelled and holds at engines are released. Run returns nil.
func (r *Router) Run(ctx context.Context) error {
	defer close(r.stopped)
	r.now = r.moduleNow()
	r.module = r.cfg.NewDecider(r.cfg.Settings, r.cfg.Seed, r.now)
	r.notifyModule(&decide.Event{Kind: decide.ListCached, Report: engine.NoReport()})
	wake := time.NewTimer(maxSleep)
	defer wake.Stop()
	drain := r.drain
	for {
		m, event := r.next(wake, &drain, ctx.Done())
		if event == stopRequested {
			r.shutDownNow("the router is stopping")
			return nil
		}
		r.runDueTimers() // due timers first, so that they don't wait behind messages
		if event == gotMessage {
			r.handleTimed(&m)
			r.now = r.moduleNow()
			r.runDueTimers()
		}
		if drain == nil && len(r.table.rows) == 0 && len(r.messages) == 0 && len(r.arrivals) == 0 {
			r.shutDownNow("the router is stopping")
			return nil
		}
	}
}

// next waits for a message or for the next due timer, and updates the clock. Messages about accepted requests come
// before new requests: an overloaded router accepts fewer requests and keeps serving those that it has accepted.
func (r *Router) next(wake *time.Timer, drain *chan struct{}, stop <-chan struct{}) (m message, event loopEvent) {
	select {
	case m = <-r.messages:
		r.now = r.moduleNow()
		return m, gotMessage
	default:
	}
	now := r.moduleNow()
	due := now + decide.Time(maxSleep)
	if at, ok := r.timers.next(); ok {
		due = max(at, now)
	}
	wake.Reset(time.Duration(due - now))
	select {
	case m = <-r.messages:
		event = gotMessage
	case m = <-r.arrivals:
		event = gotMessage
	case <-wake.C:
	case <-*drain:
		*drain = nil
	case <-stop:
		event = stopRequested
	}
	r.updateClock(due)
	return m, event
}

// loopEvent is the reason why next returned.
type loopEvent uint8

const (
	wokeUp loopEvent = iota // a timer is due, or the router drains
	gotMessage
	stopRequested
)

// updateClock sets the loop's time. If due passed more than decide.MaxPause ago, the process was paused, and the
// guard is told so.
func (r *Router) updateClock(due decide.Time) {
	if r.now = r.moduleNow(); r.now-due > decide.MaxPause {
		r.cfg.Guard.ProcessPaused(time.Duration(r.now - due))
	}
}

// runDueTimers handles all timers that are due.
func (r *Router) runDueTimers() {
	for {
		e, ok := r.timers.popDue(r.now)
		if !ok {
			return
		}
		switch {
		case e.attempt != nil:
			if a := e.attempt; !a.streaming && !a.cancelling && !a.ended {
				a.cancelling = true
				a.cancel(engine.ErrTimedOut) // its outcome is reported like that of any other attempt
			}
		case e.renewFor != nil:
			r.holds.renew(e.renewFor)
		case e.row != nil:
			r.answerOverdue(e.row)
		case e.generation == r.generation:
			r.notifyModule(&decide.Event{Kind: decide.Timer, TimerID: e.id, Report: engine.NoReport()})
		}
	}
}

// answerOverdue enforces rule 1 (every request is answered in time) as the last resort: whatever the module does, no
// request is left without an answer after its deadline.
func (r *Router) answerOverdue(row *requestRow) {
	if row.answered() || row.inFlight != nil && row.inFlight.streaming {
		return
	}
	r.log.Warn("request overdue", "request", row.name, "attempt out", row.inFlight != nil)
	r.answer(row, Ending{Kind: Failed, Reason: reasonNoAnswer, TimedOut: true})
	r.abandonWork(row)
}

// abandonWork stops all further work for a request that has its final answer.
func (r *Router) abandonWork(row *requestRow) {
	if row.inFlight != nil && !row.inFlight.streaming {
		row.inFlight.cancelling = true
		row.inFlight.cancel(engine.ErrTimedOut)
	}
	r.notifyModule(&decide.Event{Kind: decide.ClientLeft, Request: row.id, Report: engine.NoReport()}, row)
}

// lateThreshold is the time that a message may wait for the loop, and the time that handling it may take, before a
// warning is logged.
const lateThreshold = 50 * time.Millisecond

// handleTimed handles a message and logs a warning if the loop is late.
func (r *Router) handleTimed(m *message) {
	began := time.Now()
	r.handleMessage(m)
	waited, took := began.Sub(m.posted), time.Since(began)
	if waited > lateThreshold || took > lateThreshold {
		r.log.Warn("loop late", "message", m.kind.String(), "waited", waited, "took", took, "behind", len(r.messages))
	}
}

// handleMessage handles a message; most messages become an event for the module.
func (r *Router) handleMessage(m *message) {
	switch m.kind {
	case arrived:
		r.arrive(m.q)
	case clientLeft:
		if row := r.table.byRequest[m.q]; row != nil && !row.answered() {
			streaming := row.inFlight != nil && row.inFlight.streaming
			r.answer(row, Ending{Kind: Gone, Reason: "the client has left"})
			if streaming { // the module leaves running streams alone, but nobody reads this one
				row.inFlight.cancelling = true
				row.inFlight.cancel(engine.ErrCancelled)
			}
			r.notifyModule(&decide.Event{Kind: decide.ClientLeft, Request: row.id, Report: engine.NoReport()}, row)
		}
	case firstToken:
		row := m.a.row
		if !row.acceptFirstToken(m.a) {
			m.a.allowed <- false
			return
		}
		m.a.allowed <- true
		r.holds.answerStarted(row)
		r.timers.remove(m.a.timeoutTimer) // a started stream has neither a timeout nor a deadline
		r.timers.remove(m.a.renewTimer)
		r.timers.remove(row.deadlineTimer)
		r.notifyModule(&decide.Event{Kind: decide.FirstToken, Request: row.id, Server: m.a.server, Attempt: m.a.number,
			Elapsed: r.moduleTime(m.posted) - m.a.sentAt, Report: engine.NoReport()}, row)
	case attemptEnded:
		r.attemptEnded(m)
	case listUpdated:
		r.handleListUpdate(&m.update)
	case probed:
		r.notifyModule(&decide.Event{Kind: decide.Probed, Server: m.server, NewConnection: m.newConnection, Outcome: m.res.Outcome,
			Elapsed: decide.Duration(m.elapsed), Report: m.res.Report})
	case reservationAnswered:
		r.reservationResult(m)
	case shuttingDown:
		r.shutDown(m.plan)
	case expired:
		if row := r.table.byRequest[m.q]; row != nil {
			r.abandonWork(row)
		}
	}
}

// assignName gives a request the name by which engines know it.
func (r *Router) assignName(row *requestRow) {
	if row.name = row.q.job.Name; row.name == "" {
		row.name = r.name + "." + formatID(uint64(row.id))
	}
}

// arrive adds a new request to the table and tells the module.
func (r *Router) arrive(q *Request) {
	row := r.table.add(q)
	r.assignName(row)
	row.guard().Accepted(row.name, q.job.Deadline)
	r.counts.arrived.Add(1)
	if r.cfg.Observer != nil {
		r.cfg.Observer.RequestArrived(&q.job)
	}
	row.deadline = r.moduleTime(q.job.Deadline)
	row.deadlineTimer = r.timers.add(&timer{at: row.deadline + decide.OverdueAfter, row: row})
	r.limitToShutdown(row)
	j := &q.job
	r.log.Debug("request", "request", row.name, "client", j.ClientID, "class", j.ClassName, "tenant", j.TenantName,
		"prompt", j.PromptTokens, "left", j.Deadline.Sub(q.arrivedAt))
	r.notifyModule(&decide.Event{Kind: decide.Arrived, Request: row.id, Report: engine.NoReport(), RouterDelay: r.now - r.moduleTime(q.arrivedAt), Job: decide.Job{
		Class: j.Class, Tenant: j.Tenant, SessionID: hashName(j.Session), PrefixID: hashName(j.SharedPrefix), Deadline: row.deadline,
		LengthHint: decide.Duration(j.LengthHint), PromptTokens: j.PromptTokens, PrefixTokens: j.PrefixTokens,
		MaxOutputTokens: float64(j.MaxTokens), ClientRetry: j.ClientRetry, AfterInterruption: j.AfterInterruption,
	}}, row)
}

// recordEnd records in the request's row that an attempt has ended.
func (r *Router) recordEnd(a *attempt, res *engine.Result) {
	a.ended = true
	ended := outcomeName(res.Outcome)
	if res.Detail != "" {
		ended += ", " + res.Detail
	}
	a.guard.End(ended, res.Err)
	a.row.endAttempt(a, res)
	if !a.prefill && (a.streaming || a.guard.WasSent() && !outcomeCertain(res.Outcome)) {
		a.row.mayHaveRun = true
	}
	if a.prefill && !outcomeCertain(res.Outcome) {
		r.holds.readUnknown(a.row, a.addr, res.Outcome)
	}
	r.holds.attemptEnded(a, res)
}

// attemptEnded records an attempt's outcome and reports it to the module. The module is told even if the request
// already has its final answer, since it still counts the attempt as in flight.
func (r *Router) attemptEnded(m *message) {
	a, res := m.a, &m.res
	row := a.row
	r.timers.remove(a.timeoutTimer)
	r.timers.remove(a.renewTimer)
	r.recordEnd(a, res)
	if o := r.cfg.Observer; o != nil {
		if res.Outcome == decide.ReadDone {
			o.PromptRead(&row.q.job, res.CachedTokens)
		} else if a.streaming {
			o.AnswerWritten(&row.q.job, res.Tokens, res.Outcome == decide.Served)
		}
	}
	if a.streaming {
		r.endStream(row, a, res)
	} else if res.Outcome == decide.Served { // an answer without a token
		r.answer(row, Ending{Kind: Served, FinishReason: res.FinishReason})
	}
	r.notifyModule(&decide.Event{Kind: decide.AttemptEnded, Request: row.id, Server: a.server, Attempt: a.number,
		Outcome: res.Outcome, Closed: row.answered(), NoState: res.NoState, CachedTokens: res.CachedTokens,
		Elapsed: r.moduleTime(m.posted) - a.sentAt, Report: res.Report}, row)
}

// endStream answers a request whose stream had started. Such a request is never retried.
func (r *Router) endStream(row *requestRow, a *attempt, res *engine.Result) {
	e := Ending{Kind: Failed, Tokens: res.Tokens, Reason: "the stream broke"}
	switch {
	case res.Outcome == decide.Served:
		e = Ending{Kind: Served, Tokens: res.Tokens, FinishReason: res.FinishReason}
	case res.Err == errStalled:
		e.Kind, e.Reason = Gone, errStalled.Error()
	}
	r.answer(row, e)
}

// notifyModule passes an event to the module and carries out the resulting actions, then does the same for events
// that those actions cause immediately. Afterwards it removes rows that are done from the table.
func (r *Router) notifyModule(ev *decide.Event, rows ...*requestRow) {
	r.touched = append(r.touched, rows...)
	r.handleEvent(ev)
	for len(r.queuedEvents) > 0 {
		next := r.queuedEvents[0]
		r.queuedEvents = r.queuedEvents[1:]
		r.handleEvent(&next)
	}
	for _, row := range r.touched {
		r.removeIfDone(row)
	}
	r.touched = r.touched[:0]
}

// handleEvent passes one event to the module and carries out the resulting actions.
func (r *Router) handleEvent(ev *decide.Event) {
	r.counts.events.Add(1)
	actions, ok := r.callModule(ev)
	if !ok {
		return
	}
	for i := range actions {
		r.execute(&actions[i])
	}
}

// callModule runs the module. A panic in the module must not end running streams: it is logged with the event that
// caused it, and a new module continues with the last server list.
func (r *Router) callModule(ev *decide.Event) (out []decide.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			r.counts.panics.Add(1)
			r.log.Error("decision module panicked; starting a new one", "panic", fmt.Sprint(p),
				"event", fmt.Sprintf("%+v", *ev), "stack", string(debug.Stack()))
			out, ok = nil, false
			r.restartModule()
		}
	}()
	r.actions = r.module.Handle(r.now, ev, r.actions[:0])
	return r.actions, true
}

// restartModule replaces a module that panicked. Requests that the old module was working on are answered as failed
// and their holds released; started streams need no decisions and continue.
func (r *Router) restartModule() {
	r.queuedEvents = nil
	for _, row := range r.table.rows {
		if row.inFlight != nil && row.inFlight.streaming {
			continue
		}
		r.answer(row, Ending{Kind: Failed, Reason: "internal error of the router"})
		if row.inFlight != nil {
			row.inFlight.cancelling = true
			row.inFlight.cancel(engine.ErrCancelled)
		}
		r.touched = append(r.touched, row)
	}
	r.generation++
	r.module = r.cfg.NewDecider(r.cfg.Settings, r.cfg.Seed+uint64(r.generation), r.now)
	r.queuedEvents = append(r.queuedEvents, decide.Event{Kind: decide.ListCached, Servers: r.moduleListings(r.list),
		Report: engine.NoReport()})
}

// removeIfDone removes a row that is done, and releases any holds that the module has not released.
func (r *Router) removeIfDone(row *requestRow) {
	if !row.done() || r.table.rows[row.id] != row {
		return
	}
	r.holds.requestDone(row)
	r.timers.remove(row.deadlineTimer)
	r.table.remove(row)
	r.names.release(row.q.job.Name, row.mayHaveRun)
	r.counts.open.Add(-1)
	row.q.closeGuard("over")
	if r.cfg.Observer != nil {
		r.cfg.Observer.RequestDone(&row.q.job)
	}
}

// answer gives a request its final answer, unless it already has one.
func (r *Router) answer(row *requestRow, e Ending) {
	e.Attempts = row.guard().Attempts()
	if !row.answer(e) {
		return
	}
	row.q.watchdog.Stop()
	r.counts.ended[e.Kind].Add(1)
	if r.log.Enabled(context.Background(), slog.LevelInfo) {
		j := &row.q.job
		attrs := []any{"request", row.name, "client", j.ClientID, "class", j.ClassName, "ending", e.Kind.String(),
			"after", time.Duration(r.now - r.moduleTime(row.q.arrivedAt)), "attempts", e.Attempts, "tokens", e.Tokens}
		if e.Reason != "" {
			attrs = append(attrs, "reason", e.Reason)
		}
		if row.lastErr != nil && e.Kind == Failed {
			attrs = append(attrs, "last", row.lastErr)
		}
		attrs = append(attrs, "trail", row.guard().Trail())
		r.log.Info("answer", attrs...)
	}
}

// shutDownNow answers all open requests and releases all holds. The loop handles no messages afterwards.
func (r *Router) shutDownNow(reason string) {
	r.closing.Store(true)
	close(r.quit)
	r.now = r.moduleNow()
	r.drainMessages()
	for _, row := range r.table.rows {
		r.answer(row, Ending{Kind: Failed, Reason: reason})
		if row.inFlight != nil {
			row.inFlight.cancel(engine.ErrCancelled)
		}
		r.holds.requestDone(row)
		r.names.release(row.q.job.Name, row.mayHaveRun)
		r.counts.open.Add(-1)
		row.q.closeGuard("the router has stopped")
	}
	r.table = newTable()
	// Attempts end immediately when cancelled; releases are bounded by the engine client's timeout for them.
	settled := make(chan struct{})
	go func() { r.work.Wait(); close(settled) }()
	select {
	case <-settled:
	case <-time.After(r.cfg.StopTimeout):
		r.cancelWork()
		<-settled
	}
	for len(r.messages) > 0 { // posted while quit was being closed
		if m := <-r.messages; m.kind == attemptEnded {
			r.holds.attemptOrphaned(m.a, &m.res)
		}
	}
	r.cancelWork()
}

// drainMessages handles the messages that were posted before quit was closed.
func (r *Router) drainMessages() {
	for {
		select {
		case m := <-r.arrivals:
			r.assignName(r.table.add(m.q))
		case m := <-r.messages:
			switch m.kind {
			case firstToken:
				m.a.allowed <- false
			case attemptEnded:
				r.recordEnd(m.a, &m.res)
				if m.a.streaming {
					r.endStream(m.a.row, m.a, &m.res)
				}
			}
		default:
			return
		}
	}
}

// hashName maps the name of a session or a shared prefix to the number that the module uses; 0 means none.
func hashName(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(xxhash.Sum64String(name), 1)
}
