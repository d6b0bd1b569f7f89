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

// node is a router: the decision module, the manager of roles, and what internal/router and internal/shift
// are around them.
type node struct {
	s       *Sim
	index   int
	up      bool
	life    int
	module  *decide.Router
	manager *roles.Manager
	flights map[decide.RequestID]*flight
	last    decide.RequestID
	views   map[int]view
	gone    map[int]bool // engines that the list does not show
	later   []decide.Event
	acts    []decide.Action
	telling bool
}

// view is how an engine is listed to the module.
type view struct {
	roles.Listing
	drained time.Duration // since when it is draining; 0: it is not
}

// flight is a request at a router.
type flight struct {
	n        *node
	id       decide.RequestID
	entry    *trace.Entry
	asked    time.Duration
	deadline time.Duration
	out      *attempt
	sends    int
	answered bool
	state    *held
	began    time.Duration
}

// attempt is one send.
type attempt struct {
	f         *flight
	u         *unit
	stage     roles.Stage
	number    int
	sentAt    time.Duration
	task      *standin.Task
	from      *held // the state that it writes from
	state     *held // that it leaves
	streaming bool
	ending    bool
	ended     bool
}

// start brings the router up: with the list as it is, and nothing else known.
func (n *node) start() {
	if n.up {
		return
	}
	n.up = true
	n.life++
	set := n.s.cfg.Settings
	set.Index = n.index
	n.flights, n.views, n.gone = map[decide.RequestID]*flight{}, map[int]view{}, map[int]bool{}
	n.later = nil
	n.module = decide.New(&set, n.s.cfg.Seed*1000+uint64(n.index)*10+uint64(n.life), module(n.s.now))
	var servers []decide.Listing
	for _, u := range n.s.units {
		if !u.up {
			n.gone[u.index] = true
			continue
		}
		n.views[u.index] = view{Listing: roles.Listing{Role: u.first, StartedAt: u.since}} // the list knows of no changes
		servers = append(servers, n.listing(u))
	}
	if n.s.cfg.Roles != nil {
		cfg := *n.s.cfg.Roles
		cfg.TurnOrder.Index, cfg.TurnOrder.Routers = n.index, n.s.cfg.Settings.Routers
		n.manager = roles.NewManager(cfg, n.s.wall())
	}
	n.tell(&decide.Event{Kind: decide.ListCached, Servers: servers, Report: engine.NoReport()})
	if n.manager != nil {
		n.infos()
		n.look(n.life)
		n.tick(n.life)
	}
}

// kill takes the router down with all that it knows. Its clients see their connections break; engines notice
// that nobody reads, and let states go by their own lease.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.up = false
	n.life++
	for _, id := range sortedIDs(n.flights) {
		f := n.flights[id]
		f.finish(0)
		if a := f.out; a != nil {
			a.ended = true
			u := a.u
			n.s.after(n.s.cfg.Net, func() { u.leave(a) })
			if h := a.from; h != nil {
				n.s.after(time.Duration(n.s.cfg.Settings.HoldTimeout), h.free)
			}
		}
		if h := f.state; h != nil {
			n.s.after(time.Duration(n.s.cfg.Settings.HoldTimeout), h.free)
		}
	}
	clear(n.flights)
}

// stop ends the run for a router.
func (n *node) stop() {
	n.up = false
	n.life++
}

func (n *node) listing(u *unit) decide.Listing {
	v := n.views[u.index]
	l := decide.Listing{Server: u.id(), Cell: u.cell, Kind: int(v.Role), Condition: decide.Ready, Weight: 1}
	switch {
	case n.gone[u.index]:
		l.Condition = decide.Gone
	case v.Draining:
		l.Condition = decide.Draining
	}
	if !v.StartedAt.IsZero() {
		l.StartedAt = decide.Time(v.StartedAt.UnixNano())
	}
	return l
}

// listed tells all routers that an engine has come or gone.
func (s *Sim) listed(u *unit, there bool) {
	for _, n := range s.nodes {
		if !n.up {
			continue
		}
		was := n.gone[u.index]
		n.gone[u.index] = !there
		if v := n.views[u.index]; there && was {
			n.views[u.index] = view{Listing: roles.Listing{Role: u.first, StartedAt: u.since}} // the list knows of no changes
		} else if there && u.since.After(v.StartedAt) { // it never left the list: what it said itself still counts
			v.StartedAt = u.since
			n.views[u.index] = v
		}
		n.infos()
		n.tell(&decide.Event{Kind: decide.ListChanged, Servers: []decide.Listing{n.listing(u)}, Report: engine.NoReport()})
	}
}

// infos tells the manager which engines there are.
func (n *node) infos() {
	if n.manager == nil {
		return
	}
	var list []roles.EngineInfo
	for _, u := range n.s.units {
		if u.fixed || n.gone[u.index] {
			continue
		}
		list = append(list, roles.EngineInfo{ID: uint64(u.id()), Cell: u.cell, Role: u.first,
			Capacity: [2]float64{roles.Prefill: n.s.cfg.Prefill.Capacity(), roles.Decode: n.s.cfg.Decode.Capacity()}})
	}
	n.carry(n.manager.UpdateEngines(n.s.wall(), list, nil))
}

// look asks every engine for its role, now and then.
func (n *node) look(life int) {
	if n.life != life {
		return
	}
	net := n.s.cfg.Net
	for _, u := range n.s.units {
		if u.fixed || n.gone[u.index] {
			continue
		}
		n.s.after(net, func() {
			if !u.up || u.faults[Mute] > 0 {
				return
			}
			word := u.standing()
			n.s.after(net, func() {
				if n.life == life {
					n.carry(n.manager.ObserveState(n.s.wall(), uint64(u.id()), word, nil))
				}
			})
		})
	}
	n.s.after(n.s.cfg.Look, func() { n.look(life) })
}

func (n *node) tick(life int) {
	const every = 100 * time.Millisecond
	if n.life != life {
		return
	}
	n.carry(n.manager.Tick(n.s.wall(), nil))
	n.s.after(every, func() { n.tick(life) })
}

// carry carries out what the manager decides.
func (n *node) carry(acts []roles.Action) {
	life, net := n.life, n.s.cfg.Net
	for _, a := range acts {
		u := n.s.units[a.Engine-1]
		switch a.Kind {
		case roles.UpdateListing:
			v := view{Listing: a.Listing}
			if old := n.views[u.index]; a.Listing.Draining {
				if v.drained = old.drained; !old.Draining {
					v.drained = n.s.now
				}
			}
			n.views[u.index] = v
			n.tell(&decide.Event{Kind: decide.ListChanged, Servers: []decide.Listing{n.listing(u)}, Report: engine.NoReport()})
		case roles.RequestChange:
			n.s.after(net, func() {
				if !u.up || u.faults[Mute] > 0 {
					return
				}
				granted := u.grant(uint64(a.Epoch), a.To, a.Notice)
				word := u.standing()
				n.s.after(net, func() {
					if n.life == life {
						n.carry(n.manager.HandleAnswer(n.s.wall(), a.Engine, granted, word, nil))
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

// arrive takes a request in.
func (n *node) arrive(e *trace.Entry) {
	n.last++
	c := &n.s.cfg.Settings.Classes[e.Class]
	f := &flight{n: n, id: n.last, entry: e, asked: n.s.now, deadline: n.s.now + time.Duration(c.Deadline)}
	n.flights[f.id] = f
	n.s.open++
	if n.manager != nil {
		n.manager.ObserveArrival(n.s.wall(), roles.RequestInfo{Class: e.Class, PromptTokens: float64(e.PromptTokens)})
	}
	n.s.after(f.deadline-n.s.now, func() {
		if f.answered || f.out != nil && f.out.streaming {
			return
		}
		f.finish(0)
		if n.flights[f.id] == f {
			n.tell(&decide.Event{Kind: decide.ClientLeft, Request: f.id, Report: engine.NoReport()})
			n.settle(f)
		}
	})
	var text uint64
	if e.PrefixID != "" {
		text = max(xxhash.Sum64String(e.PrefixID), 1)
	}
	n.tell(&decide.Event{Kind: decide.Arrived, Request: f.id, Report: engine.NoReport(), Job: decide.Job{Class: e.Class, Tenant: 1 << 20,
		PrefixID: text, SessionID: uint64(f.id) | 1<<63, Deadline: module(f.deadline), PromptTokens: float64(e.PromptTokens), PrefixTokens: float64(e.PrefixTokens),
		MaxOutputTokens: float64(n.s.cfg.MaxAnswer)}})
	n.settle(f)
}

// tell gives the module an event and carries out its actions.
func (n *node) tell(ev *decide.Event) {
	n.later = append(n.later, *ev)
	if n.telling {
		return
	}
	n.telling = true
	for len(n.later) > 0 {
		next := n.later[0]
		n.later = n.later[1:]
		n.acts = n.module.Handle(module(n.s.now), &next, n.acts[:0])
		for i := range n.acts {
			n.act(&n.acts[i])
		}
	}
	n.telling = false
}

func (n *node) act(a *decide.Action) {
	s := n.s
	if a.Kind == decide.SetTimer {
		life, token := n.life, a.TimerID
		s.after(time.Duration(a.After), func() {
			if n.life == life {
				n.tell(&decide.Event{Kind: decide.Timer, TimerID: token, Report: engine.NoReport()})
			}
		})
		return
	}
	f := n.flights[a.Request]
	if f == nil {
		return
	}
	switch a.Kind {
	case decide.Send:
		n.send(f, a)
	case decide.Cancel:
		if o := f.out; o != nil && o.number == a.Attempt && !o.streaming && !o.ending {
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

func (n *node) release(f *flight) {
	if h := f.state; h != nil && (f.out == nil || f.out.stage == roles.Prefill) {
		f.state = nil
		n.s.after(n.s.cfg.Net, h.free)
	}
}

// settle forgets a request that is over.
func (n *node) settle(f *flight) {
	if f.answered && f.out == nil && n.flights[f.id] == f {
		n.release(f)
		delete(n.flights, f.id)
	}
}

func (n *node) send(f *flight, act *decide.Action) {
	s := n.s
	i := int(act.Server) - 1
	v, known := n.views[i]
	if f.answered || f.out != nil || !known || n.gone[i] || s.now >= f.deadline || f.sends >= s.cfg.Settings.MaxAttempts {
		if f.out != nil {
			s.broken("rule 2: request %d has two attempts out", f.id)
		}
		number := f.sends
		f.sends++
		n.later = append(n.later, decide.Event{Kind: decide.AttemptEnded, Request: f.id, Server: act.Server, Attempt: number, Outcome: decide.NotStarted,
			Closed: f.answered, Report: engine.NoReport()})
		return
	}
	if grace := time.Duration(s.cfg.Settings.DrainGrace); v.Draining && v.drained > 0 && s.now-v.drained > grace+s.cfg.CheckDelay {
		s.broken("rule 3: sent to engine %d, which is draining for %v", i, s.now-v.drained)
	}
	a := &attempt{f: f, u: s.units[i], stage: v.Role, number: f.sends, sentAt: s.now}
	if a.stage == roles.Decode {
		a.from = f.state
	}
	f.out = a
	f.sends++
	at := f.deadline
	if act.After != 0 {
		at = min(at, s.now+time.Duration(act.After))
	}
	s.after(at-s.now, func() {
		if !a.streaming && !a.ending && !a.ended {
			a.cancel(decide.TimedOut)
		}
	})
	s.after(s.cfg.Net, func() { a.u.enter(a) })
}

// cancel calls an attempt off: the engine hears of it, and lets go of what it has read.
func (a *attempt) cancel(why decide.Outcome) {
	a.ending = true
	s := a.f.n.s
	s.after(s.cfg.Net, func() { a.u.leave(a) })
	s.after(2*s.cfg.Net, func() { a.over(why, engine.NoReport(), false, 0) })
}

// begun takes in the first token.
func (a *attempt) begun(report decide.Report) {
	f := a.f
	if a.ended || a.ending || f.answered || f.out != a {
		return
	}
	n := f.n
	a.streaming = true
	f.state = nil
	f.began = n.s.now
	n.tell(&decide.Event{Kind: decide.FirstToken, Request: f.id, Server: a.u.id(), Attempt: a.number, Elapsed: decide.Duration(n.s.now - a.sentAt),
		Report: engine.NoReport()})
}

// over takes in an attempt's end.
func (a *attempt) over(out decide.Outcome, report decide.Report, noState bool, kept float64) {
	if a.ended {
		if a.state != nil {
			a.state.free()
		}
		return
	}
	a.ended = true
	f, n, s := a.f, a.f.n, a.f.n.s
	f.out = nil
	e := f.entry
	switch {
	case out == decide.ReadDone:
		f.state = a.state
		if n.manager != nil {
			n.manager.ObserveRead(roles.RequestInfo{Class: e.Class, PromptTokens: float64(e.PromptTokens), CachedTokens: kept})
		}
	case out == decide.Served || noState:
		f.state = nil
	}
	if a.streaming {
		if n.manager != nil {
			n.manager.ObserveOutput(roles.RequestInfo{Class: e.Class, OutputTokens: float64(s.answer(e.OutputTokens)), Truncated: out != decide.Served})
		}
		if out == decide.Served {
			c := &s.cfg.Settings.Classes[e.Class]
			worth := c.Value
			aim := time.Duration(c.FirstTokenTarget) + time.Duration(float64(c.FirstTokenTargetPerK)*float64(e.PromptTokens)/1000)
			if f.began-f.asked > aim {
				worth *= c.LateValue
				s.res.Late++
			} else {
				s.res.InTime++
			}
			s.res.Served++
			f.finish(worth)
		} else {
			f.finish(0)
		}
	}
	n.tell(&decide.Event{Kind: decide.AttemptEnded, Request: f.id, Server: a.u.id(), Attempt: a.number, Outcome: out, Closed: f.answered,
		NoState: noState, CachedTokens: kept, Elapsed: decide.Duration(s.now - a.sentAt), Report: report})
	n.settle(f)
}

// finish gives the final answer: worth is over 0 for one that was served.
func (f *flight) finish(worth float64) {
	if f.answered {
		return
	}
	s := f.n.s
	if worth > 0 {
		s.partOf(f.asked).got += worth
	} else {
		s.res.Failed++
	}
	if s.now > f.deadline+time.Duration(s.cfg.Settings.AnswerGrace) && f.began == 0 {
		s.broken("rule 1: request %d was answered %v after its deadline", f.id, s.now-f.deadline)
	}
	f.close()
}

func (f *flight) close() {
	f.answered = true
	f.n.s.open--
}

func sortedIDs(m map[decide.RequestID]*flight) []decide.RequestID {
	return slices.Sorted(maps.Keys(m))
}
