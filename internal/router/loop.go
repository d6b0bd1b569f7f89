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

// message is something that has happened, on its way to the loop.
type message struct {
	kind          messageKind
	posted        time.Time
	q             *Request         // arrived, clientLeft, expired
	a             *attempt         // firstToken, attemptEnded
	res           engine.Result    // attemptEnded, probed
	update        discovery.Update // listed
	server        decide.ServerID  // probed, placed
	id            decide.RequestID // placed
	reservation   *reservation     // placed
	name          string           // placed
	granted       bool             // placed
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

// Run runs the loop until ctx ends, or until Drain was called and no request is open. Whatever is open
// then gets its answer, attempts are called off and what is held at engines is let go. It returns nil.
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
		r.runDueTimers() // before the message: what is due does not wait behind what comes
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

// next waits for a message, or until something is due, and sets the clock. What concerns requests that were taken comes before
// new ones: a router with more to do than it can takes fewer, and looks after those that it has.
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

// loopEvent is why the loop goes on.
type loopEvent uint8

const (
	wokeUp loopEvent = iota // something is due, or the router drains
	gotMessage
	stopRequested
)

// updateClock looks at the clock. If something was due long ago the process did not run meanwhile.
func (r *Router) updateClock(due decide.Time) {
	if r.now = r.moduleNow(); r.now-due > decide.MaxPause {
		r.cfg.Guard.ProcessPaused(time.Duration(r.now - due))
	}
}

// runDueTimers handles what has fallen due.
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
				a.cancel(engine.ErrTimedOut) // its outcome comes as any other
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

// answerOverdue is the last guard of rule 1: whatever the module does, no request outlives its deadline without
// an answer.
func (r *Router) answerOverdue(f *requestRow) {
	if f.answered() || f.inFlight != nil && f.inFlight.streaming {
		return
	}
	r.log.Warn("request overdue", "request", f.name, "attempt out", f.inFlight != nil)
	r.answer(f, Ending{Kind: Failed, Reason: reasonNoAnswer, TimedOut: true})
	r.abandonWork(f)
}

// abandonWork has nothing more done for a request that has its answer.
func (r *Router) abandonWork(f *requestRow) {
	if f.inFlight != nil && !f.inFlight.streaming {
		f.inFlight.cancelling = true
		f.inFlight.cancel(engine.ErrTimedOut)
	}
	r.notifyModule(&decide.Event{Kind: decide.ClientLeft, Request: f.id, Report: engine.NoReport()}, f)
}

// Of a message that has waited for the loop for lateAfter, or has taken it as long, a line is logged.
const lateThreshold = 50 * time.Millisecond

// handleTimed handles a message, and tells when the loop is late.
func (r *Router) handleTimed(m *message) {
	began := time.Now()
	r.handleMessage(m)
	waited, took := began.Sub(m.posted), time.Since(began)
	if waited > lateThreshold || took > lateThreshold {
		r.log.Warn("loop late", "message", m.kind.String(), "waited", waited, "took", took, "behind", len(r.messages))
	}
}

// handleMessage turns a message into the module's event.
func (r *Router) handleMessage(m *message) {
	switch m.kind {
	case arrived:
		r.arrive(m.q)
	case clientLeft:
		if f := r.table.byRequest[m.q]; f != nil && !f.answered() {
			streaming := f.inFlight != nil && f.inFlight.streaming
			r.answer(f, Ending{Kind: Gone, Reason: "the client has left"})
			if streaming { // the module leaves running streams alone; nobody reads this one
				f.inFlight.cancelling = true
				f.inFlight.cancel(engine.ErrCancelled)
			}
			r.notifyModule(&decide.Event{Kind: decide.ClientLeft, Request: f.id, Report: engine.NoReport()}, f)
		}
	case firstToken:
		f := m.a.row
		if !f.acceptFirstToken(m.a) {
			m.a.allowed <- false
			return
		}
		m.a.allowed <- true
		r.holds.answerStarted(f)
		r.timers.remove(m.a.timeoutTimer) // a stream that has begun has no time-out and no deadline
		r.timers.remove(m.a.renewTimer)
		r.timers.remove(f.deadlineTimer)
		r.notifyModule(&decide.Event{Kind: decide.FirstToken, Request: f.id, Server: m.a.server, Attempt: m.a.number,
			Elapsed: r.moduleTime(m.posted) - m.a.sentAt, Report: engine.NoReport()}, f)
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
		if f := r.table.byRequest[m.q]; f != nil {
			r.abandonWork(f)
		}
	}
}

// assignName gives a request the name by which engines know it.
func (r *Router) assignName(f *requestRow) {
	if f.name = f.q.job.Name; f.name == "" {
		f.name = r.name + "." + formatID(uint64(f.id))
	}
}

func (r *Router) arrive(q *Request) {
	f := r.table.add(q)
	r.assignName(f)
	f.guard().Accepted(f.name, q.job.Deadline)
	r.counts.arrived.Add(1)
	if r.cfg.Observer != nil {
		r.cfg.Observer.RequestArrived(&q.job)
	}
	f.deadline = r.moduleTime(q.job.Deadline)
	f.deadlineTimer = r.timers.add(&timer{at: f.deadline + decide.OverdueAfter, row: f})
	r.limitToShutdown(f)
	j := &q.job
	r.log.Debug("request", "request", f.name, "client", j.ClientID, "class", j.ClassName, "tenant", j.TenantName,
		"prompt", j.PromptTokens, "left", j.Deadline.Sub(q.arrivedAt))
	r.notifyModule(&decide.Event{Kind: decide.Arrived, Request: f.id, Report: engine.NoReport(), RouterDelay: r.now - r.moduleTime(q.arrivedAt), Job: decide.Job{
		Class: j.Class, Tenant: j.Tenant, SessionID: hashName(j.Session), PrefixID: hashName(j.SharedPrefix), Deadline: f.deadline,
		LengthHint: decide.Duration(j.LengthHint), PromptTokens: j.PromptTokens, PrefixTokens: j.PrefixTokens,
		MaxOutputTokens: float64(j.MaxTokens), ClientRetry: j.ClientRetry, AfterInterruption: j.AfterInterruption,
	}}, f)
}

// recordEnd books in the row that an attempt has ended.
func (r *Router) recordEnd(a *attempt, res *engine.Result) {
	a.ended = true
	a.guard.End(outcomeName(res.Outcome), res.Err)
	a.row.endAttempt(a, res)
	if a.prefill && !outcomeCertain(res.Outcome) {
		r.holds.readUnknown(a.row, a.addr, res.Outcome)
	}
	r.holds.attemptEnded(a, res)
}

// attemptEnded books an attempt's outcome and tells it. The module hears of it also when the request has
// its answer already, since its books still hold the attempt.
func (r *Router) attemptEnded(m *message) {
	a, res := m.a, &m.res
	f := a.row
	r.timers.remove(a.timeoutTimer)
	r.timers.remove(a.renewTimer)
	r.recordEnd(a, res)
	if o := r.cfg.Observer; o != nil {
		if res.Outcome == decide.ReadDone {
			o.PromptRead(&f.q.job, res.CachedTokens)
		} else if a.streaming {
			o.AnswerWritten(&f.q.job, res.Tokens, res.Outcome == decide.Served)
		}
	}
	if a.streaming {
		r.endStream(f, a, res)
	} else if res.Outcome == decide.Served { // an answer without a token
		r.answer(f, Ending{Kind: Served, FinishReason: res.FinishReason})
	}
	r.notifyModule(&decide.Event{Kind: decide.AttemptEnded, Request: f.id, Server: a.server, Attempt: a.number,
		Outcome: res.Outcome, Closed: f.answered(), NoState: res.NoState, CachedTokens: res.CachedTokens,
		Elapsed: r.moduleTime(m.posted) - a.sentAt, Report: res.Report}, f)
}

// endStream answers a request whose answer had begun: nothing can be tried again.
func (r *Router) endStream(f *requestRow, a *attempt, res *engine.Result) {
	e := Ending{Kind: Failed, Tokens: res.Tokens, Reason: "the stream broke"}
	switch {
	case res.Outcome == decide.Served:
		e = Ending{Kind: Served, Tokens: res.Tokens, FinishReason: res.FinishReason}
	case res.Err == errStalled:
		e.Kind, e.Reason = Gone, errStalled.Error()
	}
	r.answer(f, e)
}

// handleListUpdate takes in a list, or word that there is none to be had.
func (r *Router) handleListUpdate(u *discovery.Update) {
	if u.Err != nil {
		if !r.listFailing {
			r.log.Warn("discovery fails; the last list stays", "err", u.Err)
		}
		r.listFailing = true
		r.notifyModule(&decide.Event{Kind: decide.ListFailed, Report: engine.NoReport()})
		return
	}
	if r.listFailing {
		r.log.Info("discovery answers again")
	}
	r.listFailing = false
	changes := discovery.Diff(r.list, u.Engines)
	if len(changes) == 0 {
		return
	}
	r.list = u.Engines
	ready := int64(0)
	for i := range changes {
		e := &changes[i]
		if e.State == decide.Gone {
			if old := r.servers[e.ID()]; old != nil {
				old.withdraw(r.now)
			}
			delete(r.servers, e.ID())
			r.cfg.Engines.ForgetEngine(e.Addr)
			continue
		}
		s := &server{name: e.Name, addr: e.Addr, since: e.StartedAt}
		if old := r.servers[e.ID()]; old != nil {
			anew := old.addr != e.Addr || !old.since.Equal(e.StartedAt)
			if anew {
				r.cfg.Engines.ForgetEngine(old.addr) // its connections belong to a process that is no more
			}
			if anew || e.State != decide.Ready {
				old.withdraw(r.now)
			}
		}
		if k := r.kindIndex(e.Kind); k >= 0 {
			s.role = r.cfg.Settings.Kinds[k].Role
		}
		r.servers[e.ID()] = s
		r.cfg.Engines.EngineListed(e.Addr)
	}
	for i := range r.list {
		if r.list[i].State == decide.Ready {
			ready++
		}
	}
	r.counts.engines.Store(ready)
	r.log.Info("list of engines", "changes", len(changes), "listed", len(r.list), "ready", ready)
	r.notifyModule(&decide.Event{Kind: decide.ListChanged, Servers: r.moduleListings(changes), Report: engine.NoReport()})
}

func (r *Router) kindIndex(name string) int {
	for i, k := range r.cfg.Kinds {
		if k == name {
			return i
		}
	}
	return -1
}

// moduleListings puts engines into the module's terms.
func (r *Router) moduleListings(list []discovery.Engine) []decide.Listing {
	out := make([]decide.Listing, 0, len(list))
	for i := range list {
		e := &list[i]
		l := decide.Listing{Server: e.ID(), Zone: discovery.LocationNumber(e.Zone), Cell: discovery.LocationNumber(e.Cell),
			Kind: r.kindIndex(e.Kind), Condition: e.State, Weight: e.Weight}
		if l.Kind < 0 {
			continue // of a kind that the settings do not know: nobody could say what it can do
		}
		if !e.StartedAt.IsZero() {
			l.StartedAt = decide.Time(e.StartedAt.UnixNano())
		}
		out = append(out, l)
	}
	return out
}

// notifyModule gives the module an event and carries out its actions, and so on with the events that the actions
// bring about by themselves. Rows that are over afterwards leave the table.
func (r *Router) notifyModule(ev *decide.Event, flights ...*requestRow) {
	r.touched = append(r.touched, flights...)
	r.handleEvent(ev)
	for len(r.queuedEvents) > 0 {
		next := r.queuedEvents[0]
		r.queuedEvents = r.queuedEvents[1:]
		r.handleEvent(&next)
	}
	for _, f := range r.touched {
		r.removeIfDone(f)
	}
	r.touched = r.touched[:0]
}

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

// callModule runs the module. A panic in it must not take down the streams that run: it is logged with its
// event, and a new module goes on from the last list.
func (r *Router) callModule(ev *decide.Event) (out []decide.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			r.counts.panics.Add(1)
			r.log.Error("decision module panicked; it is started anew", "panic", fmt.Sprint(p),
				"event", fmt.Sprintf("%+v", *ev), "stack", string(debug.Stack()))
			out, ok = nil, false
			r.restartModule()
		}
	}()
	r.actions = r.module.Handle(r.now, ev, r.actions[:0])
	return r.actions, true
}

// restartModule puts a new module in the place of one that panicked. What the old one was busy with is answered
// as failed and let go; streams that have begun need no decision and run on.
func (r *Router) restartModule() {
	r.queuedEvents = nil
	for _, f := range r.table.rows {
		if f.inFlight != nil && f.inFlight.streaming {
			continue
		}
		r.answer(f, Ending{Kind: Failed, Reason: "internal error of the router"})
		if f.inFlight != nil {
			f.inFlight.cancelling = true
			f.inFlight.cancel(engine.ErrCancelled)
		}
		r.touched = append(r.touched, f)
	}
	r.generation++
	r.module = r.cfg.NewDecider(r.cfg.Settings, r.cfg.Seed+uint64(r.generation), r.now)
	r.queuedEvents = append(r.queuedEvents, decide.Event{Kind: decide.ListCached, Servers: r.moduleListings(r.list),
		Report: engine.NoReport()})
}

// removeIfDone removes a row that is over. What the module has not let go is let go here.
func (r *Router) removeIfDone(f *requestRow) {
	if !f.done() || r.table.rows[f.id] != f {
		return
	}
	r.holds.requestDone(f)
	r.timers.remove(f.deadlineTimer)
	r.table.remove(f)
	r.releaseName(f.q.job.Name)
	r.counts.open.Add(-1)
	f.q.closeGuard("over")
	if r.cfg.Observer != nil {
		r.cfg.Observer.RequestDone(&f.q.job)
	}
}

// answer gives a request its final answer, if it has none yet.
func (r *Router) answer(f *requestRow, e Ending) {
	e.Attempts = f.guard().Attempts()
	if !f.answer(e) {
		return
	}
	f.q.watchdog.Stop()
	r.counts.ended[e.Kind].Add(1)
	if r.log.Enabled(context.Background(), slog.LevelInfo) {
		j := &f.q.job
		attrs := []any{"request", f.name, "client", j.ClientID, "class", j.ClassName, "ending", e.Kind.String(),
			"after", time.Duration(r.now - r.moduleTime(f.q.arrivedAt)), "attempts", e.Attempts, "tokens", e.Tokens}
		if e.Reason != "" {
			attrs = append(attrs, "reason", e.Reason)
		}
		if f.lastErr != nil && e.Kind == Failed {
			attrs = append(attrs, "last", f.lastErr)
		}
		attrs = append(attrs, "trail", f.guard().Trail())
		r.log.Info("answer", attrs...)
	}
}

// shutDownNow answers all that is open and lets go of all that is held. After it no message is taken.
func (r *Router) shutDownNow(reason string) {
	r.closing.Store(true)
	close(r.quit)
	r.now = r.moduleNow()
	r.drainMessages()
	for _, f := range r.table.rows {
		r.answer(f, Ending{Kind: Failed, Reason: reason})
		if f.inFlight != nil {
			f.inFlight.cancel(engine.ErrCancelled)
		}
		r.holds.requestDone(f)
		r.releaseName(f.q.job.Name)
		r.counts.open.Add(-1)
		f.q.closeGuard("the router has stopped")
	}
	r.table = newTable()
	// Attempts end at once when called off; releases are bounded by the client's time for them.
	settled := make(chan struct{})
	go func() { r.work.Wait(); close(settled) }()
	select {
	case <-settled:
	case <-time.After(r.cfg.StopTimeout):
		r.cancelWork()
		<-settled
	}
	for len(r.messages) > 0 { // posted in the moment of quit
		if m := <-r.messages; m.kind == attemptEnded {
			r.holds.attemptOrphaned(m.a, &m.res)
		}
	}
	r.cancelWork()
}

// drainMessages takes what was posted before quit.
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

// hashName maps a session's or a text's name to the module's number; 0 is none.
func hashName(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(xxhash.Sum64String(name), 1)
}
