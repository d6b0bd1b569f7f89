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
func (n *simRouter) start() {
	if n.up {
		return
	}
	n.up = true
	n.generation++
	set := n.s.cfg.Settings
	set.Index = n.index
	n.requests, n.listings, n.unlisted = map[decide.RequestID]*request{}, map[int]listing{}, map[int]bool{}
	n.pendingEvents = nil
	n.module = decide.New(&set, n.s.cfg.Seed*1000+uint64(n.index)*10+uint64(n.generation), moduleTime(n.s.now))
	var servers []decide.Listing
	for _, u := range n.s.engines {
		if !u.up {
			n.unlisted[u.index] = true
			continue
		}
		// The list does not know of role changes.
		n.listings[u.index] = listing{Listing: roles.Listing{Role: u.initialStage, StartedAt: u.startedAt}}
		servers = append(servers, n.listing(u))
	}
	if n.s.cfg.Roles != nil {
		cfg := *n.s.cfg.Roles
		cfg.TurnOrder.Index, cfg.TurnOrder.Routers = n.index, n.s.cfg.Settings.Routers
		n.manager = roles.NewManager(cfg, n.s.wall())
	}
	n.handle(&decide.Event{Kind: decide.ListCached, Servers: servers, Report: engine.NoReport()})
	if n.manager != nil {
		n.updateEngines()
		n.checkRoles(n.generation)
		n.tick(n.generation)
	}
}

// kill stops the router, which loses all its state. Its clients' connections break; engines notice that nobody reads
// from theirs, and release KV states after their own timeout.
func (n *simRouter) kill() {
	if !n.up {
		return
	}
	n.up = false
	n.generation++
	for _, id := range sortedIDs(n.requests) {
		f := n.requests[id]
		f.finish(0)
		if a := f.inFlight; a != nil {
			a.ended = true
			u := a.engine
			n.s.after(n.s.cfg.NetworkDelay, func() { u.leave(a) })
			if h := a.from; h != nil {
				n.s.after(time.Duration(n.s.cfg.Settings.HoldTimeout), h.release)
			}
		}
		if h := f.state; h != nil {
			n.s.after(time.Duration(n.s.cfg.Settings.HoldTimeout), h.release)
		}
	}
	clear(n.requests)
}

// stop takes the router out of the run at its end.
func (n *simRouter) stop() {
	n.up = false
	n.generation++
}

// listing returns an engine as it is listed to the decision module.
func (n *simRouter) listing(u *simEngine) decide.Listing {
	v := n.listings[u.index]
	l := decide.Listing{Server: u.id(), Cell: u.cell, Kind: int(v.Role), Condition: decide.Ready, Weight: 1}
	switch {
	case n.unlisted[u.index]:
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
func (s *Sim) setListed(u *simEngine, listed bool) {
	for _, n := range s.routers {
		if !n.up {
			continue
		}
		wasUnlisted := n.unlisted[u.index]
		n.unlisted[u.index] = !listed
		if v := n.listings[u.index]; listed && wasUnlisted {
			// The list doesn't show role changes.
			n.listings[u.index] = listing{Listing: roles.Listing{Role: u.initialStage, StartedAt: u.startedAt}}
		} else if listed && u.startedAt.After(v.StartedAt) { // it stayed listed, so its last reported role counts
			v.StartedAt = u.startedAt
			n.listings[u.index] = v
		}
		n.updateEngines()
		n.handle(&decide.Event{Kind: decide.ListChanged, Servers: []decide.Listing{n.listing(u)}, Report: engine.NoReport()})
	}
}

// updateEngines passes the listed engines to the role manager.
func (n *simRouter) updateEngines() {
	if n.manager == nil {
		return
	}
	var list []roles.EngineInfo
	for _, u := range n.s.engines {
		if u.fixed || n.unlisted[u.index] {
			continue
		}
		list = append(list, roles.EngineInfo{ID: uint64(u.id()), Cell: u.cell, Role: u.initialStage,
			Capacity: [2]float64{roles.Prefill: n.s.cfg.Prefill.Capacity(), roles.Decode: n.s.cfg.Decode.Capacity()}})
	}
	n.carryOut(n.manager.UpdateEngines(n.s.wall(), list, nil))
}

// checkRoles asks every engine for its role, at regular intervals.
func (n *simRouter) checkRoles(generation int) {
	if n.generation != generation {
		return
	}
	net := n.s.cfg.NetworkDelay
	for _, u := range n.s.engines {
		if u.fixed || n.unlisted[u.index] {
			continue
		}
		n.s.after(net, func() {
			if !u.up || u.activeFaults[HideRole] > 0 {
				return
			}
			state := u.state()
			n.s.after(net, func() {
				if n.generation == generation {
					n.carryOut(n.manager.ObserveState(n.s.wall(), uint64(u.id()), state, nil))
				}
			})
		})
	}
	n.s.after(n.s.cfg.CheckInterval, func() { n.checkRoles(generation) })
}

func (n *simRouter) tick(generation int) {
	const tickInterval = 100 * time.Millisecond
	if n.generation != generation {
		return
	}
	n.carryOut(n.manager.Tick(n.s.wall(), nil))
	n.s.after(tickInterval, func() { n.tick(generation) })
}

// carryOut carries out the role manager's actions.
func (n *simRouter) carryOut(actions []roles.Action) {
	generation, net := n.generation, n.s.cfg.NetworkDelay
	for _, a := range actions {
		u := n.s.engines[a.Engine-1]
		switch a.Kind {
		case roles.UpdateListing:
			v := listing{Listing: a.Listing}
			if old := n.listings[u.index]; a.Listing.Draining {
				if v.drainingSince = old.drainingSince; !old.Draining {
					v.drainingSince = n.s.now
				}
			}
			n.listings[u.index] = v
			n.handle(&decide.Event{Kind: decide.ListChanged, Servers: []decide.Listing{n.listing(u)}, Report: engine.NoReport()})
		case roles.RequestChange:
			n.s.after(net, func() {
				if !u.up || u.activeFaults[HideRole] > 0 {
					return
				}
				granted := u.grant(uint64(a.Epoch), a.To, a.Notice)
				state := u.state()
				n.s.after(net, func() {
					if n.generation == generation {
						n.carryOut(n.manager.HandleAnswer(n.s.wall(), a.Engine, granted, state, nil))
					}
				})
			})
		case roles.CancelChange:
			n.s.after(net, func() { u.stay(uint64(a.Epoch)) })
		}
	}
	if n.manager != nil {
		n.manager.TakeResults()
	}
}

// arrive handles a new request.
func (n *simRouter) arrive(e *trace.Entry) {
	n.lastID++
	c := &n.s.cfg.Settings.Classes[e.Class]
	f := &request{router: n, id: n.lastID, entry: e, arrivedAt: n.s.now, deadline: n.s.now + time.Duration(c.Deadline)}
	n.requests[f.id] = f
	n.s.openRequests++
	if n.manager != nil {
		n.manager.ObserveArrival(n.s.wall(), roles.RequestInfo{Class: e.Class, PromptTokens: float64(e.PromptTokens)})
	}
	n.s.after(f.deadline-n.s.now, func() {
		if f.answered || f.inFlight != nil && f.inFlight.streaming {
			return
		}
		f.finish(0)
		if n.requests[f.id] == f {
			n.handle(&decide.Event{Kind: decide.ClientLeft, Request: f.id, Report: engine.NoReport()})
			n.forget(f)
		}
	})
	var prefixID uint64
	if e.PrefixID != "" {
		prefixID = max(xxhash.Sum64String(e.PrefixID), 1)
	}
	n.handle(&decide.Event{Kind: decide.Arrived, Request: f.id, Report: engine.NoReport(), Job: decide.Job{Class: e.Class, Tenant: 1 << 20,
		PrefixID: prefixID, SessionID: uint64(f.id) | 1<<63, Deadline: moduleTime(f.deadline), PromptTokens: float64(e.PromptTokens), PrefixTokens: float64(e.PrefixTokens),
		MaxOutputTokens: float64(n.s.cfg.MaxOutputTokens)}})
	n.forget(f)
}

// handle passes an event to the decision module and carries out its actions.
func (n *simRouter) handle(ev *decide.Event) {
	n.pendingEvents = append(n.pendingEvents, *ev)
	if n.handling {
		return
	}
	n.handling = true
	for len(n.pendingEvents) > 0 {
		next := n.pendingEvents[0]
		n.pendingEvents = n.pendingEvents[1:]
		n.actions = n.module.Handle(moduleTime(n.s.now), &next, n.actions[:0])
		for i := range n.actions {
			n.carryOutAction(&n.actions[i])
		}
	}
	n.handling = false
}

// carryOutAction carries out one action of the decision module.
func (n *simRouter) carryOutAction(a *decide.Action) {
	s := n.s
	if a.Kind == decide.SetTimer {
		generation, token := n.generation, a.TimerID
		s.after(time.Duration(a.After), func() {
			if n.generation == generation {
				n.handle(&decide.Event{Kind: decide.Timer, TimerID: token, Report: engine.NoReport()})
			}
		})
		return
	}
	f := n.requests[a.Request]
	if f == nil {
		return
	}
	switch a.Kind {
	case decide.Send:
		n.send(f, a)
	case decide.Cancel:
		if o := f.inFlight; o != nil && o.number == a.Attempt && !o.streaming && !o.cancelled {
			o.cancel(decide.Cancelled)
		}
	case decide.Refuse:
		if !f.answered {
			s.res.Refused++
			f.close()
		}
	case decide.Fail:
		f.finish(0)
	case decide.Release:
		n.release(f)
	}
}

func (n *simRouter) release(f *request) {
	if h := f.state; h != nil && (f.inFlight == nil || f.inFlight.stage == roles.Prefill) {
		f.state = nil
		n.s.after(n.s.cfg.NetworkDelay, h.release)
	}
}

// forget removes a request that is over.
func (n *simRouter) forget(f *request) {
	if f.answered && f.inFlight == nil && n.requests[f.id] == f {
		n.release(f)
		delete(n.requests, f.id)
	}
}

// send starts an attempt that the decision module has decided on, and checks rules 2 and 3.
func (n *simRouter) send(f *request, act *decide.Action) {
	s := n.s
	i := int(act.Server) - 1
	v, known := n.listings[i]
	if f.answered || f.inFlight != nil || !known || n.unlisted[i] || s.now >= f.deadline || f.attempts >= s.cfg.Settings.MaxAttempts {
		if f.inFlight != nil {
			s.addViolation("rule 2: request %d has two attempts in flight", f.id)
		}
		number := f.attempts
		f.attempts++
		n.pendingEvents = append(n.pendingEvents, decide.Event{Kind: decide.AttemptEnded, Request: f.id, Server: act.Server, Attempt: number, Outcome: decide.NotStarted,
			Closed: f.answered, Report: engine.NoReport()})
		return
	}
	if grace := time.Duration(s.cfg.Settings.DrainGrace); v.Draining && v.drainingSince > 0 && s.now-v.drainingSince > grace+s.cfg.DrainSlack {
		s.addViolation("rule 3: sent to engine %d, which is draining for %v", i, s.now-v.drainingSince)
	}
	a := &attempt{request: f, engine: s.engines[i], stage: v.Role, number: f.attempts, sentAt: s.now}
	if a.stage == roles.Decode {
		a.from = f.state
	}
	f.inFlight = a
	f.attempts++
	at := f.deadline
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
	f := a.request
	if a.ended || a.cancelled || f.answered || f.inFlight != a {
		return
	}
	n := f.router
	a.streaming = true
	f.state = nil
	f.firstTokenAt = n.s.now
	n.handle(&decide.Event{Kind: decide.FirstToken, Request: f.id, Server: a.engine.id(), Attempt: a.number, Elapsed: decide.Duration(n.s.now - a.sentAt),
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
	f, n, s := a.request, a.request.router, a.request.router.s
	f.inFlight = nil
	e := f.entry
	switch {
	case outcome == decide.ReadDone:
		f.state = a.state
		if n.manager != nil {
			n.manager.ObserveRead(roles.RequestInfo{Class: e.Class, PromptTokens: float64(e.PromptTokens), CachedTokens: cachedTokens})
		}
	case outcome == decide.Served || noState:
		f.state = nil
	}
	if a.streaming {
		if n.manager != nil {
			n.manager.ObserveOutput(roles.RequestInfo{Class: e.Class, OutputTokens: float64(s.outputTokens(e.OutputTokens)), Truncated: outcome != decide.Served})
		}
		if outcome == decide.Served {
			c := &s.cfg.Settings.Classes[e.Class]
			value := c.Value
			target := time.Duration(c.FirstTokenTarget) + time.Duration(float64(c.FirstTokenTargetPerK)*float64(e.PromptTokens)/1000)
			if f.firstTokenAt-f.arrivedAt > target {
				value *= c.LateValue
				s.res.Late++
			} else {
				s.res.InTime++
			}
			s.res.Served++
			f.finish(value)
		} else {
			f.finish(0)
		}
	}
	n.handle(&decide.Event{Kind: decide.AttemptEnded, Request: f.id, Server: a.engine.id(), Attempt: a.number, Outcome: outcome, Closed: f.answered,
		NoState: noState, CachedTokens: cachedTokens, Elapsed: decide.Duration(s.now - a.sentAt), Report: report})
	n.forget(f)
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
