package sim

import (
	"maps"
	"slices"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	standin "mintdoor/internal/standin/engine"
	"mintdoor/internal/trace"
	"mintdoor/roles"

	"github.com/cespare/xxhash/v2"
)

// simRouter is a simulated router: the decision module and the role manager, with a model of what internal/router and
// internal/shift do around them.
type simRouter struct {
	s             *Sim
	index         int
	up            bool
	generation    int
	module        *decide.Router
	manager       *roles.Manager
	requests      map[decide.RequestID]*request
	lastID        decide.RequestID
	listings      map[int]listing
	unlisted      map[int]bool // engines that the server list does not show
	pendingEvents []decide.Event
	actions       []decide.Action
	handling      bool
}

// listing is how an engine is listed to the decision module.
type listing struct {
	roles.Listing
	drainingSince time.Duration // since when it is draining; 0 if it is not
}

// request is the state of one request at a router.
type request struct {
	router       *simRouter
	id           decide.RequestID
	entry        *trace.Entry
	arrivedAt    time.Duration
	deadline     time.Duration
	inFlight     *attempt
	attempts     int
	answered     bool
	state        *heldState
	firstTokenAt time.Duration
}

// attempt is one attempt of a request at an engine.
type attempt struct {
	request   *request
	engine    *simEngine
	stage     roles.Stage
	number    int
	sentAt    time.Duration
	task      *standin.Task
	from      *heldState // the KV state that it writes from
	state     *heldState // the KV state that it leaves at its reader
	streaming bool
	cancelled bool
	ended     bool
}

// start brings the router up with the current server list and no other state.
func (r *simRouter) start() {
	if r.up {
		return
	}
	r.up = true
	r.generation++
	set := r.s.cfg.Settings
	set.Index = r.index
	r.requests, r.listings, r.unlisted = map[decide.RequestID]*request{}, map[int]listing{}, map[int]bool{}
	r.pendingEvents = nil
	r.module = decide.New(&set, r.s.cfg.Seed*1000+uint64(r.index)*10+uint64(r.generation), moduleTime(r.s.now))
	var servers []decide.Listing
	for _, e := range r.s.engines {
		if !e.up {
			r.unlisted[e.index] = true
			continue
		}
		// The list does not know of role changes.
		r.listings[e.index] = listing{Listing: roles.Listing{Role: e.initialStage, StartedAt: e.startedAt}}
		servers = append(servers, r.listing(e))
	}
	if r.s.cfg.Roles != nil {
		cfg := *r.s.cfg.Roles
		cfg.TurnOrder.Index, cfg.TurnOrder.Routers = r.index, r.s.cfg.Settings.Routers
		r.manager = roles.NewManager(cfg, r.s.wall())
	}
	r.handle(&decide.Event{Kind: decide.ListCached, Servers: servers, Report: engine.NoReport()})
	if r.manager != nil {
		r.updateEngines()
		r.checkRoles(r.generation)
		r.tick(r.generation)
	}
}

// kill stops the router, which loses all its state. Its clients' connections break; engines notice that nobody reads
// from theirs, and release KV states after their own timeout.
func (r *simRouter) kill() {
	if !r.up {
		return
	}
	r.up = false
	r.generation++
	for _, id := range sortedIDs(r.requests) {
		q := r.requests[id]
		q.finish(0)
		if a := q.inFlight; a != nil {
			a.ended = true
			e := a.engine
			r.s.after(r.s.cfg.NetworkDelay, func() { e.leave(a) })
			if h := a.from; h != nil {
				r.s.after(time.Duration(r.s.cfg.Settings.HoldTimeout), h.release)
			}
		}
		if h := q.state; h != nil {
			r.s.after(time.Duration(r.s.cfg.Settings.HoldTimeout), h.release)
		}
	}
	clear(r.requests)
}

// stop takes the router out of the run at its end.
func (r *simRouter) stop() {
	r.up = false
	r.generation++
}

// listing returns an engine as it is listed to the decision module.
func (r *simRouter) listing(e *simEngine) decide.Listing {
	v := r.listings[e.index]
	l := decide.Listing{Server: e.id(), Cell: e.cell, Kind: int(v.Role), Condition: decide.Ready, Weight: 1}
	switch {
	case r.unlisted[e.index]:
		l.Condition = decide.Gone
	case v.Draining:
		l.Condition = decide.Draining
	}
	if !v.StartedAt.IsZero() {
		l.StartedAt = decide.Time(v.StartedAt.UnixNano())
	}
	return l
}

// setListed reports to all routers that an engine was added to the server list or removed from it.
func (s *Sim) setListed(e *simEngine, listed bool) {
	for _, r := range s.routers {
		if !r.up {
			continue
		}
		wasUnlisted := r.unlisted[e.index]
		r.unlisted[e.index] = !listed
		if v := r.listings[e.index]; listed && wasUnlisted {
			// The list doesn't show role changes.
			r.listings[e.index] = listing{Listing: roles.Listing{Role: e.initialStage, StartedAt: e.startedAt}}
		} else if listed && e.startedAt.After(v.StartedAt) { // it stayed listed, so its last reported role counts
			v.StartedAt = e.startedAt
			r.listings[e.index] = v
		}
		r.updateEngines()
		r.handle(&decide.Event{Kind: decide.ListChanged, Servers: []decide.Listing{r.listing(e)}, Report: engine.NoReport()})
	}
}

// updateEngines passes the listed engines to the role manager.
func (r *simRouter) updateEngines() {
	if r.manager == nil {
		return
	}
	var list []roles.EngineInfo
	for _, e := range r.s.engines {
		if e.fixed || r.unlisted[e.index] {
			continue
		}
		list = append(list, roles.EngineInfo{ID: uint64(e.id()), Cell: e.cell, Role: e.initialStage,
			Capacity: [2]float64{roles.Prefill: r.s.cfg.Prefill.Capacity(), roles.Decode: r.s.cfg.Decode.Capacity()}})
	}
	r.carryOut(r.manager.UpdateEngines(r.s.wall(), list, nil))
}

// checkRoles asks every engine for its role, at regular intervals.
func (r *simRouter) checkRoles(generation int) {
	if r.generation != generation {
		return
	}
	net := r.s.cfg.NetworkDelay
	for _, e := range r.s.engines {
		if e.fixed || r.unlisted[e.index] {
			continue
		}
		r.s.after(net, func() {
			if !e.up || e.activeFaults[HideRole] > 0 {
				return
			}
			state := e.state()
			r.s.after(net, func() {
				if r.generation == generation {
					r.carryOut(r.manager.ObserveState(r.s.wall(), uint64(e.id()), state, nil))
				}
			})
		})
	}
	r.s.after(r.s.cfg.CheckInterval, func() { r.checkRoles(generation) })
}

func (r *simRouter) tick(generation int) {
	const tickInterval = 100 * time.Millisecond
	if r.generation != generation {
		return
	}
	r.carryOut(r.manager.Tick(r.s.wall(), nil))
	r.s.after(tickInterval, func() { r.tick(generation) })
}

// carryOut carries out the role manager's actions.
func (r *simRouter) carryOut(actions []roles.Action) {
	generation, net := r.generation, r.s.cfg.NetworkDelay
	for _, a := range actions {
		e := r.s.engines[a.Engine-1]
		switch a.Kind {
		case roles.UpdateListing:
			v := listing{Listing: a.Listing}
			if old := r.listings[e.index]; a.Listing.Draining {
				if v.drainingSince = old.drainingSince; !old.Draining {
					v.drainingSince = r.s.now
				}
			}
			r.listings[e.index] = v
			r.handle(&decide.Event{Kind: decide.ListChanged, Servers: []decide.Listing{r.listing(e)}, Report: engine.NoReport()})
		case roles.RequestChange:
			r.s.after(net, func() {
				if !e.up || e.activeFaults[HideRole] > 0 {
					return
				}
				granted := e.grant(uint64(a.Epoch), a.To, a.Notice)
				state := e.state()
				r.s.after(net, func() {
					if r.generation == generation {
						r.carryOut(r.manager.HandleAnswer(r.s.wall(), a.Engine, granted, state, nil))
					}
				})
			})
		case roles.CancelChange:
			r.s.after(net, func() { e.stay(uint64(a.Epoch)) })
		}
	}
	if r.manager != nil {
		r.manager.TakeResults()
	}
}

// arrive handles a new request.
func (r *simRouter) arrive(e *trace.Entry) {
	r.lastID++
	c := &r.s.cfg.Settings.Classes[e.Class]
	q := &request{router: r, id: r.lastID, entry: e, arrivedAt: r.s.now, deadline: r.s.now + time.Duration(c.Deadline)}
	r.requests[q.id] = q
	r.s.openRequests++
	if r.manager != nil {
		r.manager.ObserveArrival(r.s.wall(), roles.RequestInfo{Class: e.Class, PromptTokens: float64(e.PromptTokens)})
	}
	r.s.after(q.deadline-r.s.now, func() {
		if q.answered || q.inFlight != nil && q.inFlight.streaming {
			return
		}
		q.finish(0)
		if r.requests[q.id] == q {
			r.handle(&decide.Event{Kind: decide.ClientLeft, Request: q.id, Report: engine.NoReport()})
			r.forget(q)
		}
	})
	var prefixID uint64
	if e.PrefixID != "" {
		prefixID = max(xxhash.Sum64String(e.PrefixID), 1)
	}
	r.handle(&decide.Event{Kind: decide.Arrived, Request: q.id, Report: engine.NoReport(), Job: decide.Job{Class: e.Class, Tenant: 1 << 20,
		PrefixID: prefixID, SessionID: uint64(q.id) | 1<<63, Deadline: moduleTime(q.deadline), PromptTokens: float64(e.PromptTokens), PrefixTokens: float64(e.PrefixTokens),
		MaxOutputTokens: float64(r.s.cfg.MaxOutputTokens)}})
	r.forget(q)
}

// handle passes an event to the decision module and carries out its actions.
func (r *simRouter) handle(ev *decide.Event) {
	r.pendingEvents = append(r.pendingEvents, *ev)
	if r.handling {
		return
	}
	r.handling = true
	for len(r.pendingEvents) > 0 {
		next := r.pendingEvents[0]
		r.pendingEvents = r.pendingEvents[1:]
		r.actions = r.module.Handle(moduleTime(r.s.now), &next, r.actions[:0])
		for i := range r.actions {
			r.carryOutAction(&r.actions[i])
		}
	}
	r.handling = false
}

// carryOutAction carries out one action of the decision module.
func (r *simRouter) carryOutAction(a *decide.Action) {
	s := r.s
	if a.Kind == decide.SetTimer {
		generation, token := r.generation, a.TimerID
		s.after(time.Duration(a.After), func() {
			if r.generation == generation {
				r.handle(&decide.Event{Kind: decide.Timer, TimerID: token, Report: engine.NoReport()})
			}
		})
		return
	}
	q := r.requests[a.Request]
	if q == nil {
		return
	}
	switch a.Kind {
	case decide.Send:
		r.send(q, a)
	case decide.Cancel:
		if o := q.inFlight; o != nil && o.number == a.Attempt && !o.streaming && !o.cancelled {
			o.cancel(decide.Cancelled)
		}
	case decide.Refuse:
		if !q.answered {
			s.res.Refused++
			q.close()
		}
	case decide.Fail:
		q.finish(0)
	case decide.Release:
		r.release(q)
	}
}

func (r *simRouter) release(q *request) {
	if h := q.state; h != nil && (q.inFlight == nil || q.inFlight.stage == roles.Prefill) {
		q.state = nil
		r.s.after(r.s.cfg.NetworkDelay, h.release)
	}
}

// forget removes a request that is over.
func (r *simRouter) forget(q *request) {
	if q.answered && q.inFlight == nil && r.requests[q.id] == q {
		r.release(q)
		delete(r.requests, q.id)
	}
}

// send starts an attempt that the decision module has decided on, and checks rules 2 and 3.
func (r *simRouter) send(q *request, act *decide.Action) {
	s := r.s
	i := int(act.Server) - 1
	v, known := r.listings[i]
	if q.answered || q.inFlight != nil || !known || r.unlisted[i] || s.now >= q.deadline || q.attempts >= s.cfg.Settings.MaxAttempts {
		if q.inFlight != nil {
			s.addViolation("rule 2: request %d has two attempts in flight", q.id)
		}
		number := q.attempts
		q.attempts++
		r.pendingEvents = append(r.pendingEvents, decide.Event{Kind: decide.AttemptEnded, Request: q.id, Server: act.Server, Attempt: number, Outcome: decide.NotStarted,
			Closed: q.answered, Report: engine.NoReport()})
		return
	}
	if grace := time.Duration(s.cfg.Settings.DrainGrace); v.Draining && v.drainingSince > 0 && s.now-v.drainingSince > grace+s.cfg.DrainSlack {
		s.addViolation("rule 3: sent to engine %d, which is draining for %v", i, s.now-v.drainingSince)
	}
	a := &attempt{request: q, engine: s.engines[i], stage: v.Role, number: q.attempts, sentAt: s.now}
	if a.stage == roles.Decode {
		a.from = q.state
	}
	q.inFlight = a
	q.attempts++
	at := q.deadline
	if act.After != 0 {
		at = min(at, s.now+time.Duration(act.After))
	}
	s.after(at-s.now, func() {
		if !a.streaming && !a.cancelled && !a.ended {
			a.cancel(decide.TimedOut)
		}
	})
	s.after(s.cfg.NetworkDelay, func() { a.engine.enter(a) })
}

// cancel cancels an attempt: the engine is notified and releases what it has read.
func (a *attempt) cancel(outcome decide.Outcome) {
	a.cancelled = true
	s := a.request.router.s
	s.after(s.cfg.NetworkDelay, func() { a.engine.leave(a) })
	s.after(2*s.cfg.NetworkDelay, func() { a.end(outcome, engine.NoReport(), false, 0) })
}

// firstToken handles the first token of an attempt.
func (a *attempt) firstToken(report decide.Report) {
	q := a.request
	if a.ended || a.cancelled || q.answered || q.inFlight != a {
		return
	}
	r := q.router
	a.streaming = true
	q.state = nil
	q.firstTokenAt = r.s.now
	r.handle(&decide.Event{Kind: decide.FirstToken, Request: q.id, Server: a.engine.id(), Attempt: a.number, Elapsed: decide.Duration(r.s.now - a.sentAt),
		Report: engine.NoReport()})
}

// end handles the end of an attempt.
func (a *attempt) end(outcome decide.Outcome, report decide.Report, noState bool, cachedTokens float64) {
	if a.ended {
		if a.state != nil {
			a.state.release()
		}
		return
	}
	a.ended = true
	q, r, s := a.request, a.request.router, a.request.router.s
	q.inFlight = nil
	e := q.entry
	switch {
	case outcome == decide.ReadDone:
		q.state = a.state
		if r.manager != nil {
			r.manager.ObserveRead(roles.RequestInfo{Class: e.Class, PromptTokens: float64(e.PromptTokens), CachedTokens: cachedTokens})
		}
	case outcome == decide.Served || noState:
		q.state = nil
	}
	if a.streaming {
		if r.manager != nil {
			r.manager.ObserveOutput(roles.RequestInfo{Class: e.Class, OutputTokens: float64(s.outputTokens(e.OutputTokens)), Truncated: outcome != decide.Served})
		}
		if outcome == decide.Served {
			c := &s.cfg.Settings.Classes[e.Class]
			value := c.Value
			target := time.Duration(c.FirstTokenTarget) + time.Duration(float64(c.FirstTokenTargetPerK)*float64(e.PromptTokens)/1000)
			if q.firstTokenAt-q.arrivedAt > target {
				value *= c.LateValue
				s.res.Late++
			} else {
				s.res.InTime++
			}
			s.res.Served++
			q.finish(value)
		} else {
			q.finish(0)
		}
	}
	r.handle(&decide.Event{Kind: decide.AttemptEnded, Request: q.id, Server: a.engine.id(), Attempt: a.number, Outcome: outcome, Closed: q.answered,
		NoState: noState, CachedTokens: cachedTokens, Elapsed: decide.Duration(s.now - a.sentAt), Report: report})
	r.forget(q)
}

// finish gives a request its final answer; value is over 0 if it was served.
func (r *request) finish(value float64) {
	if r.answered {
		return
	}
	s := r.router.s
	if value > 0 {
		s.intervalOf(r.arrivedAt).delivered += value
	} else {
		s.res.Failed++
	}
	if s.now > r.deadline+time.Duration(s.cfg.Settings.AnswerGrace) && r.firstTokenAt == 0 {
		s.addViolation("rule 1: request %d was answered %v after its deadline", r.id, s.now-r.deadline)
	}
	r.close()
}

func (r *request) close() {
	r.answered = true
	r.router.s.openRequests--
}

func sortedIDs(m map[decide.RequestID]*request) []decide.RequestID {
	return slices.Sorted(maps.Keys(m))
}
