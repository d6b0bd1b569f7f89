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
	kind   messageKind
	posted time.Time
	q      *Request         // arrived, clientLeft, expired
	a      *attempt         // firstToken, attemptEnded
	res    engine.Result    // attemptEnded, probed
	update discovery.Update // listed
	server decide.ServerID  // probed, placed
	id     decide.RequestID // placed
	place  *place           // placed
	name   string           // placed
	held   bool             // placed
	spent  time.Duration    // probed
	fresh  bool             // probed
	plan   *decide.Shutdown // shuttingDown
}

type messageKind uint8

const (
	arrived messageKind = iota
	clientLeft
	firstToken
	attemptEnded
	listed
	probed
	placed
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
	r.now = r.clock()
	r.module = r.cfg.NewDecider(r.cfg.Settings, r.cfg.Seed, r.now)
	r.tell(&decide.Event{Kind: decide.ListCached, Report: engine.NoReport()})
	wake := time.NewTimer(lockedTick)
	defer wake.Stop()
	drain := r.drain
	for {
		m, event := r.next(wake, &drain, ctx.Done())
		if event == stopped {
			r.finish("the router is stopping")
			return nil
		}
		r.fire() // before the message: what is due does not wait behind what comes
		if event == messageCame {
			r.take(&m)
			r.now = r.clock()
			r.fire()
		}
		if drain == nil && len(r.table.rows) == 0 && len(r.mail) == 0 && len(r.arrivals) == 0 {
			r.finish("the router is stopping")
			return nil
		}
	}
}

// next waits for a message, or until something is due, and sets the clock. What concerns requests that were taken comes before
// new ones: a router with more to do than it can takes fewer, and looks after those that it has.
func (r *Router) next(wake *time.Timer, drain *chan struct{}, stop <-chan struct{}) (m message, event loopEvent) {
	select {
	case m = <-r.mail:
		r.now = r.clock()
		return m, messageCame
	default:
	}
	now := r.clock()
	due := now + decide.Time(lockedTick)
	if at, ok := r.timers.next(); ok {
		due = max(at, now)
	}
	wake.Reset(time.Duration(due - now))
	select {
	case m = <-r.mail:
		event = messageCame
	case m = <-r.arrivals:
		event = messageCame
	case <-wake.C:
	case <-*drain:
		*drain = nil
	case <-stop:
		event = stopped
	}
	r.wakeUp(due)
	return m, event
}

// loopEvent is why the loop goes on.
type loopEvent uint8

const (
	wokeUp loopEvent = iota // something is due, or the router drains
	messageCame
	stopped
)

// wakeUp looks at the clock. If something was due long ago the process did not run meanwhile.
func (r *Router) wakeUp(due decide.Time) {
	if r.now = r.clock(); r.now-due > decide.MaxPause {
		r.cfg.Guard.ProcessPaused(time.Duration(r.now - due))
	}
}

// fire handles what has fallen due.
func (r *Router) fire() {
	for {
		e, ok := r.timers.due(r.now)
		if !ok {
			return
		}
		switch {
		case e.attempt != nil:
			if a := e.attempt; !a.streaming && !a.ending && !a.ended {
				a.ending = true
				a.cancel(engine.ErrTimedOut) // its outcome comes as any other
			}
		case e.renew != nil:
			r.keep.renew(e.renew)
		case e.flight != nil:
			r.overdue(e.flight)
		case e.generation == r.generation:
			r.tell(&decide.Event{Kind: decide.Timer, TimerID: e.token, Report: engine.NoReport()})
		}
	}
}

// overdue is the last guard of rule 1: whatever the module does, no request outlives its deadline without
// an answer.
func (r *Router) overdue(f *flight) {
	if f.answered() || f.out != nil && f.out.streaming {
		return
	}
	r.log.Warn("request overdue", "request", f.name, "attempt out", f.out != nil)
	r.answer(f, Ending{Kind: Failed, Reason: noAnswer, TimedOut: true})
	r.drop(f)
}

// drop has nothing more done for a request that has its answer.
func (r *Router) drop(f *flight) {
	if f.out != nil && !f.out.streaming {
		f.out.ending = true
		f.out.cancel(engine.ErrTimedOut)
	}
	r.tell(&decide.Event{Kind: decide.ClientLeft, Request: f.id, Report: engine.NoReport()}, f)
}

// Of a message that has waited for the loop for lateAfter, or has taken it as long, a line is logged.
const lateAfter = 50 * time.Millisecond

// take handles a message, and tells when the loop is late.
func (r *Router) take(m *message) {
	began := time.Now()
	r.takeIn(m)
	waited, took := began.Sub(m.posted), time.Since(began)
	if waited > lateAfter || took > lateAfter {
		r.log.Warn("loop late", "message", m.kind.String(), "waited", waited, "took", took, "behind", len(r.mail))
	}
}

// takeIn turns a message into the module's event.
func (r *Router) takeIn(m *message) {
	switch m.kind {
	case arrived:
		r.arrive(m.q)
	case clientLeft:
		if f := r.table.byQ[m.q]; f != nil && !f.answered() {
			streaming := f.out != nil && f.out.streaming
			r.answer(f, Ending{Kind: Gone, Reason: "the client has left"})
			if streaming { // the module leaves running streams alone; nobody reads this one
				f.out.ending = true
				f.out.cancel(engine.ErrCancelled)
			}
			r.tell(&decide.Event{Kind: decide.ClientLeft, Request: f.id, Report: engine.NoReport()}, f)
		}
	case firstToken:
		f := m.a.flight
		if !f.grant(m.a) {
			m.a.granted <- false
			return
		}
		m.a.granted <- true
		r.keep.begun(f)
		r.timers.remove(m.a.limit) // a stream that has begun has no time-out and no deadline
		r.timers.remove(m.a.renewal)
		r.timers.remove(f.guard)
		r.tell(&decide.Event{Kind: decide.FirstToken, Request: f.id, Server: m.a.server, Attempt: m.a.number,
			Elapsed: r.at(m.posted) - m.a.sentAt, Report: engine.NoReport()}, f)
	case attemptEnded:
		r.attemptEnded(m)
	case listed:
		r.listed(&m.update)
	case probed:
		r.tell(&decide.Event{Kind: decide.Probed, Server: m.server, NewConnection: m.fresh, Outcome: m.res.Outcome,
			Elapsed: decide.Duration(m.spent), Report: m.res.Report})
	case placed:
		r.placed(m)
	case shuttingDown:
		r.shutDown(m.plan)
	case expired:
		if f := r.table.byQ[m.q]; f != nil {
			r.drop(f)
		}
	}
}

// naming gives a request the name by which engines know it.
func (r *Router) naming(f *flight) {
	if f.name = f.q.job.Name; f.name == "" {
		f.name = r.name + "." + formatID(uint64(f.id))
	}
}

func (r *Router) arrive(q *Request) {
	f := r.table.add(q)
	r.naming(f)
	f.guarded().Accepted(f.name, q.job.Deadline)
	r.count.arrived.Add(1)
	if r.cfg.Observer != nil {
		r.cfg.Observer.RequestArrived(&q.job)
	}
	f.deadline = r.at(q.job.Deadline)
	f.guard = r.timers.add(&entry{at: f.deadline + decide.OverdueAfter, flight: f})
	r.boundByShutdown(f)
	j := &q.job
	r.log.Debug("request", "request", f.name, "client", j.ClientID, "class", j.ClassName, "tenant", j.TenantName,
		"prompt", j.PromptTokens, "left", j.Deadline.Sub(q.arrived))
	r.tell(&decide.Event{Kind: decide.Arrived, Request: f.id, Report: engine.NoReport(), RouterDelay: r.now - r.at(q.arrived), Job: decide.Job{
		Class: j.Class, Tenant: j.Tenant, SessionID: key(j.Session), PrefixID: key(j.SharedPrefix), Deadline: f.deadline,
		LengthHint: decide.Duration(j.LengthHint), PromptTokens: j.PromptTokens, PrefixTokens: j.PrefixTokens,
		MaxOutputTokens: float64(j.MaxTokens), ClientRetry: j.ClientRetry, AfterInterruption: j.AfterInterruption,
	}}, f)
}

// takeBack books in the row that an attempt has ended.
func (r *Router) takeBack(a *attempt, res *engine.Result) {
	a.ended = true
	a.guarded.End(outcomeName(res.Outcome), res.Err)
	a.flight.end(a, res)
	if a.prefill && !answered(res.Outcome) {
		r.keep.lost(a.flight, a.addr, res.Outcome)
	}
	r.keep.ended(a, res)
}

// attemptEnded books an attempt's outcome and tells it. The module hears of it also when the request has
// its answer already, since its books still hold the attempt.
func (r *Router) attemptEnded(m *message) {
	a, res := m.a, &m.res
	f := a.flight
	r.timers.remove(a.limit)
	r.timers.remove(a.renewal)
	r.takeBack(a, res)
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
	r.tell(&decide.Event{Kind: decide.AttemptEnded, Request: f.id, Server: a.server, Attempt: a.number,
		Outcome: res.Outcome, Closed: f.answered(), NoState: res.NoState, CachedTokens: res.CachedTokens,
		Elapsed: r.at(m.posted) - a.sentAt, Report: res.Report}, f)
}

// endStream answers a request whose answer had begun: nothing can be tried again.
func (r *Router) endStream(f *flight, a *attempt, res *engine.Result) {
	e := Ending{Kind: Failed, Tokens: res.Tokens, Reason: "the stream broke"}
	switch {
	case res.Outcome == decide.Served:
		e = Ending{Kind: Served, Tokens: res.Tokens, FinishReason: res.FinishReason}
	case res.Err == errStalled:
		e.Kind, e.Reason = Gone, errStalled.Error()
	}
	r.answer(f, e)
}

// listed takes in a list, or word that there is none to be had.
func (r *Router) listed(u *discovery.Update) {
	if u.Err != nil {
		if !r.listFailing {
			r.log.Warn("discovery fails; the last list stays", "err", u.Err)
		}
		r.listFailing = true
		r.tell(&decide.Event{Kind: decide.ListFailed, Report: engine.NoReport()})
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
		if k := r.kind(e.Kind); k >= 0 {
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
	r.count.engines.Store(ready)
	r.log.Info("list of engines", "changes", len(changes), "listed", len(r.list), "ready", ready)
	r.tell(&decide.Event{Kind: decide.ListChanged, Servers: r.listings(changes), Report: engine.NoReport()})
}

func (r *Router) kind(name string) int {
	for i, k := range r.cfg.Kinds {
		if k == name {
			return i
		}
	}
	return -1
}

// listings puts engines into the module's terms.
func (r *Router) listings(list []discovery.Engine) []decide.Listing {
	out := make([]decide.Listing, 0, len(list))
	for i := range list {
		e := &list[i]
		l := decide.Listing{Server: e.ID(), Zone: discovery.LocationNumber(e.Zone), Cell: discovery.LocationNumber(e.Cell),
			Kind: r.kind(e.Kind), Condition: e.State, Weight: e.Weight}
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

// tell gives the module an event and carries out its actions, and so on with the events that the actions
// bring about by themselves. Rows that are over afterwards leave the table.
func (r *Router) tell(ev *decide.Event, flights ...*flight) {
	r.touched = append(r.touched, flights...)
	r.handle(ev)
	for len(r.later) > 0 {
		next := r.later[0]
		r.later = r.later[1:]
		r.handle(&next)
	}
	for _, f := range r.touched {
		r.settle(f)
	}
	r.touched = r.touched[:0]
}

func (r *Router) handle(ev *decide.Event) {
	r.count.events.Add(1)
	actions, ok := r.call(ev)
	if !ok {
		return
	}
	for i := range actions {
		r.carry(&actions[i])
	}
}

// call runs the module. A panic in it must not take down the streams that run: it is logged with its
// event, and a new module goes on from the last list.
func (r *Router) call(ev *decide.Event) (out []decide.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			r.count.panics.Add(1)
			r.log.Error("decision module panicked; it is started anew", "panic", fmt.Sprint(p),
				"event", fmt.Sprintf("%+v", *ev), "stack", string(debug.Stack()))
			out, ok = nil, false
			r.restart()
		}
	}()
	r.actions = r.module.Handle(r.now, ev, r.actions[:0])
	return r.actions, true
}

// restart puts a new module in the place of one that panicked. What the old one was busy with is answered
// as failed and let go; streams that have begun need no decision and run on.
func (r *Router) restart() {
	r.later = nil
	for _, f := range r.table.rows {
		if f.out != nil && f.out.streaming {
			continue
		}
		r.answer(f, Ending{Kind: Failed, Reason: "internal error of the router"})
		if f.out != nil {
			f.out.ending = true
			f.out.cancel(engine.ErrCancelled)
		}
		r.touched = append(r.touched, f)
	}
	r.generation++
	r.module = r.cfg.NewDecider(r.cfg.Settings, r.cfg.Seed+uint64(r.generation), r.now)
	r.later = append(r.later, decide.Event{Kind: decide.ListCached, Servers: r.listings(r.list),
		Report: engine.NoReport()})
}

// settle removes a row that is over. What the module has not let go is let go here.
func (r *Router) settle(f *flight) {
	if !f.over() || r.table.rows[f.id] != f {
		return
	}
	r.keep.over(f)
	r.timers.remove(f.guard)
	r.table.remove(f)
	r.unclaim(f.q.job.Name)
	r.count.open.Add(-1)
	f.q.closeGuarded("over")
	if r.cfg.Observer != nil {
		r.cfg.Observer.RequestDone(&f.q.job)
	}
}

// answer gives a request its final answer, if it has none yet.
func (r *Router) answer(f *flight, e Ending) {
	e.Attempts = f.guarded().Attempts()
	if !f.answer(e) {
		return
	}
	f.q.watchdog.Stop()
	r.count.ended[e.Kind].Add(1)
	if r.log.Enabled(context.Background(), slog.LevelInfo) {
		j := &f.q.job
		attrs := []any{"request", f.name, "client", j.ClientID, "class", j.ClassName, "ending", e.Kind.String(),
			"after", time.Duration(r.now - r.at(f.q.arrived)), "attempts", e.Attempts, "tokens", e.Tokens}
		if e.Reason != "" {
			attrs = append(attrs, "reason", e.Reason)
		}
		if f.lastErr != nil && e.Kind == Failed {
			attrs = append(attrs, "last", f.lastErr)
		}
		attrs = append(attrs, "trail", f.guarded().Trail())
		r.log.Info("answer", attrs...)
	}
}

// finish answers all that is open and lets go of all that is held. After it no message is taken.
func (r *Router) finish(reason string) {
	r.closing.Store(true)
	close(r.quit)
	r.now = r.clock()
	r.takeLast()
	for _, f := range r.table.rows {
		r.answer(f, Ending{Kind: Failed, Reason: reason})
		if f.out != nil {
			f.out.cancel(engine.ErrCancelled)
		}
		r.keep.over(f)
		r.unclaim(f.q.job.Name)
		r.count.open.Add(-1)
		f.q.closeGuarded("the router has stopped")
	}
	r.table = newTable()
	// Attempts end at once when called off; releases are bounded by the client's time for them.
	settled := make(chan struct{})
	go func() { r.work.Wait(); close(settled) }()
	select {
	case <-settled:
	case <-time.After(r.cfg.StopTimeout):
		r.endWork()
		<-settled
	}
	for len(r.mail) > 0 { // posted in the moment of quit
		if m := <-r.mail; m.kind == attemptEnded {
			r.keep.orphaned(m.a, &m.res)
		}
	}
	r.endWork()
}

// takeLast takes what was posted before quit.
func (r *Router) takeLast() {
	for {
		select {
		case m := <-r.arrivals:
			r.naming(r.table.add(m.q))
		case m := <-r.mail:
			switch m.kind {
			case firstToken:
				m.a.granted <- false
			case attemptEnded:
				r.takeBack(m.a, &m.res)
				if m.a.streaming {
					r.endStream(m.a.flight, m.a, &m.res)
				}
			}
		default:
			return
		}
	}
}

// key maps a session's or a text's name to the module's number; 0 is none.
func key(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(xxhash.Sum64String(name), 1)
}
