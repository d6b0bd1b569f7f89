// Package shift carries out role changes. It sits between discovery and the router's core: it asks engines for their
// roles, reports traffic and role states to the decisions in package roles, and carries out the resulting actions. It
// does not decide on roles itself. For the core it is a source of server lists like any other: an engine that is
// changing is listed as draining, and one that has changed is listed under its new kind, as just started.
package shift

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/config"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"
	"mintdoor/internal/metrics"
	"mintdoor/internal/router"
	"mintdoor/roles"

	"golang.org/x/sync/errgroup"
)

// EngineClient is the interface to engines that the driver uses; *engine.Client implements it.
type EngineClient interface {
	Role(ctx context.Context, addr string) (engine.Role, error)
	ChangeRole(ctx context.Context, addr string, q *engine.RoleChange) (engine.Role, bool, error)
	CancelRoleChange(ctx context.Context, addr string, q *engine.RoleChangeCancel) (engine.Role, bool, error)
}

// Driver carries out role changes. It is a discovery.Source that wraps another one, and a router.Observer.
type Driver struct {
	settings *config.Settings
	source   discovery.Source
	engines  EngineClient
	name     string
	log      *slog.Logger
	metrics  *metrics.RoleMetrics // may be nil

	observations chan observation
	dropped      atomic.Int64 // observations dropped because the channel was full
	results      chan result
	lastReport   atomic.Pointer[roles.PlanReport]
	status       atomic.Pointer[Status]

	// The following fields belong to Run's loop.
	manager  *roles.Manager
	list     []discovery.Engine
	byID     map[uint64]*discovery.Engine
	listings map[uint64]roles.Listing
	asking   map[uint64]bool // engines with a role check in flight
	work     sync.WaitGroup
}

// observation is one event of the traffic.
type observation struct {
	kind    uint8
	at      time.Time
	request roles.RequestInfo
}

const (
	observedArrival uint8 = iota
	observedRead
	observedOutput
)

// result is an engine's reply.
type result struct {
	id           uint64
	changeAnswer bool // the answer to a change request
	granted      bool
	role         engine.Role
	err          error
}

// Limits of the driver.
const (
	maxObservations = 8192
	checkInterval   = 100 * time.Millisecond
)

// New returns a driver for settings in which role changes are on or dry.
func New(set *config.Settings, source discovery.Source, engines EngineClient, name string, log *slog.Logger, m *metrics.RoleMetrics) *Driver {
	return &Driver{settings: set, source: source, engines: engines, name: name, log: log, metrics: m,
		observations: make(chan observation, maxObservations), results: make(chan result, 64),
		byID: map[uint64]*discovery.Engine{}, listings: map[uint64]roles.Listing{}, asking: map[uint64]bool{},
		manager: roles.NewManager(set.Roles(), time.Now())}
}

// RequestArrived, PromptRead and AnswerWritten implement router.Observer. They never block: an observation that does
// not fit the channel is dropped and counted.
func (d *Driver) RequestArrived(j *router.Job) {
	d.observe(observation{kind: observedArrival, request: roles.RequestInfo{Class: j.Class, PromptTokens: j.PromptTokens, Retry: j.ClientRetry}})
}

// PromptRead implements router.Observer.
func (d *Driver) PromptRead(j *router.Job, cachedTokens float64) {
	d.observe(observation{kind: observedRead, request: roles.RequestInfo{Class: j.Class, PromptTokens: j.PromptTokens, CachedTokens: cachedTokens}})
}

// AnswerWritten implements router.Observer.
func (d *Driver) AnswerWritten(j *router.Job, tokens int, complete bool) {
	d.observe(observation{kind: observedOutput, request: roles.RequestInfo{Class: j.Class, OutputTokens: float64(tokens), Truncated: !complete}})
}

// RequestDone implements router.Observer.
func (d *Driver) RequestDone(*router.Job) {}

func (d *Driver) observe(o observation) {
	o.at = time.Now()
	select {
	case d.observations <- o:
	default:
		d.dropped.Add(1)
		d.metrics.ObservationDropped()
	}
}

// Status is the state of role changes, for operators.
type Status struct {
	At                  time.Time
	Mode                string
	Plan                roles.PlanReport
	Engines             []EngineStatus
	DroppedObservations int64 `json:"Unseen"` // observations of the traffic dropped because the channel was full
}

// EngineStatus is the status of one engine that can change its role.
type EngineStatus struct {
	Name string
	roles.Status
}

// Status returns the state as of the last periodic check, or nil before the first.
func (d *Driver) Status() *Status { return d.status.Load() }

func (d *Driver) storeStatus(now time.Time) {
	st := &Status{At: now, Mode: d.settings.RoleChanges.Mode, Plan: d.manager.LastReport(), DroppedObservations: d.dropped.Load()}
	list := d.manager.Status(now)
	d.metrics.SetEngines(list)
	for _, e := range list {
		st.Engines = append(st.Engines, EngineStatus{d.nameOf(e.Engine), e})
	}
	d.status.Store(st)
}

// Run implements discovery.Source.
func (d *Driver) Run(ctx context.Context, notify func(discovery.Update)) error {
	g, ctx := errgroup.WithContext(ctx)
	updates := make(chan discovery.Update)
	g.Go(func() error {
		return d.source.Run(ctx, func(u discovery.Update) {
			select {
			case updates <- u:
			case <-ctx.Done():
			}
		})
	})
	g.Go(func() error {
		defer d.work.Wait()
		d.loop(ctx, updates, notify)
		return nil
	})
	return g.Wait()
}

// loop owns the manager: it handles list updates, observations, replies of engines and the periodic checks until ctx
// ends.
func (d *Driver) loop(ctx context.Context, updates <-chan discovery.Update, notify func(discovery.Update)) {
	tick, roleCheck := time.NewTicker(checkInterval), time.NewTicker(d.settings.RoleChanges.CheckInterval)
	defer tick.Stop()
	defer roleCheck.Stop()
	for {
		var actions []roles.Action
		changed := false
		now := time.Now()
		select {
		case <-ctx.Done():
			return
		case u := <-updates:
			if u.Err != nil {
				notify(u)
				continue
			}
			actions = d.updateList(ctx, u.Engines)
			changed = true
		case o := <-d.observations:
			d.handleObservation(&o)
			continue
		case r := <-d.results:
			actions = d.handleReply(now, &r)
		case <-roleCheck.C:
			for id, e := range d.byID {
				d.ask(ctx, id, e.Addr, nil)
			}
		case <-tick.C:
			actions = d.manager.Tick(now, nil)
			d.reportPlan(time.Since(now))
			d.storeStatus(now)
		}
		for i := range actions {
			changed = d.carryOut(ctx, &actions[i]) || changed
		}
		for _, e := range d.manager.TakeResults() {
			d.metrics.ChangeEnded(&e, roles.SlowStartLoss(d.settings.InitialCapacity, d.settings.SlowStartTime).Seconds())
			level := slog.LevelInfo
			if !e.Succeeded {
				level = slog.LevelWarn
			}
			d.log.Log(ctx, level, "role change ended", "engine", d.nameOf(e.Engine), "to", stageName(e.To), "done", e.Succeeded, "why", e.Reason, "took", e.Elapsed)
		}
		if changed {
			notify(discovery.Update{Engines: d.overlay(), At: now})
		}
	}
}

func (d *Driver) handleObservation(o *observation) {
	switch o.kind {
	case observedArrival:
		d.manager.ObserveArrival(o.at, o.request)
	case observedRead:
		d.manager.ObserveRead(o.request)
	case observedOutput:
		d.manager.ObserveOutput(o.request)
	}
}

// updateList takes a list from the wrapped source.
func (d *Driver) updateList(ctx context.Context, list []discovery.Engine) []roles.Action {
	d.list = list
	clear(d.byID)
	var infos []roles.EngineInfo
	for i := range d.list {
		e := &d.list[i]
		k := d.settings.KindIndex(e.Kind)
		if k < 0 || d.settings.Kinds[k].Becomes == "" {
			continue
		}
		id := uint64(e.ID())
		d.byID[id] = e
		kind, other := &d.settings.Kinds[k], &d.settings.Kinds[d.settings.KindIndex(d.settings.Kinds[k].Becomes)]
		info := roles.EngineInfo{ID: id, Kind: min(k, d.settings.KindIndex(other.Name)), Cell: discovery.LocationNumber(e.Cell), Role: stageOf(kind), Draining: e.State != decide.Ready}
		info.Capacity[stageOf(kind)], info.Capacity[stageOf(other)] = kind.Capacity, other.Capacity
		infos = append(infos, info)
	}
	actions := d.manager.UpdateEngines(time.Now(), infos, nil)
	for id := range d.listings {
		if d.byID[id] == nil {
			delete(d.listings, id)
		}
	}
	for id, e := range d.byID {
		d.ask(ctx, id, e.Addr, nil)
	}
	return actions
}

func stageOf(k *config.Kind) roles.Stage {
	if k.Role == decide.Reader {
		return roles.Prefill
	}
	return roles.Decode
}

func stageName(s roles.Stage) string {
	if s == roles.Prefill {
		return engine.StagePrefill
	}
	return engine.StageDecode
}

// ask asks an engine for its role or, if change is not nil, to change it. One role check per engine is in flight at a
// time.
func (d *Driver) ask(ctx context.Context, id uint64, addr string, change *engine.RoleChange) {
	if change == nil {
		if d.asking[id] {
			return
		}
		d.asking[id] = true
	}
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		r := result{id: id, changeAnswer: change != nil}
		if change != nil {
			r.role, r.granted, r.err = d.engines.ChangeRole(ctx, addr, change)
		} else {
			r.role, r.err = d.engines.Role(ctx, addr)
		}
		select {
		case d.results <- r:
		case <-ctx.Done():
		}
	}()
}

// handleReply passes an engine's reply to the manager and returns the resulting actions.
func (d *Driver) handleReply(now time.Time, r *result) []roles.Action {
	if !r.changeAnswer {
		delete(d.asking, r.id)
	}
	if r.err != nil || d.byID[r.id] == nil {
		return nil // without a reply, the deadlines of the change apply
	}
	s, ok := roleStateOf(&r.role)
	if !ok {
		return nil
	}
	if r.changeAnswer {
		return d.manager.HandleAnswer(now, r.id, r.granted, s, nil)
	}
	return d.manager.ObserveState(now, r.id, s, nil)
}

// roleStateOf converts an engine's reply to the terms of package roles.
func roleStateOf(r *engine.Role) (roles.RoleState, bool) {
	stages := map[string]roles.Stage{engine.StagePrefill: roles.Prefill, engine.StageDecode: roles.Decode}
	phases := map[string]roles.Phase{engine.PhaseSteady: roles.Steady, engine.PhaseEmptying: roles.Emptying, engine.PhaseChanging: roles.Changing}
	role, ok := stages[r.Role]
	phase, known := phases[r.Phase]
	return roles.RoleState{Role: role, Epoch: roles.Epoch(r.Epoch), To: stages[r.To], Phase: phase, StartedAt: r.Since}, ok && known
}

// carryOut carries out an action and reports whether the list has changed.
func (d *Driver) carryOut(ctx context.Context, a *roles.Action) bool {
	e := d.byID[a.Engine]
	if e == nil {
		return false
	}
	switch a.Kind {
	case roles.UpdateListing:
		d.listings[a.Engine] = a.Listing
		return true
	case roles.RequestChange:
		d.log.Info("role change requested", "engine", e.Name, "to", stageName(a.To), "epoch", a.Epoch)
		d.ask(ctx, a.Engine, e.Addr, &engine.RoleChange{To: stageName(a.To), Epoch: uint64(a.Epoch), Router: d.name,
			NoticeMillis: float64(a.Notice) / 1e6})
	case roles.CancelChange:
		d.log.Info("role change cancelled", "engine", e.Name, "why", a.Reason)
		addr, epoch := e.Addr, uint64(a.Epoch)
		d.work.Add(1)
		go func() {
			defer d.work.Done()
			// The next role check shows the result.
			if _, _, err := d.engines.CancelRoleChange(ctx, addr, &engine.RoleChangeCancel{Epoch: epoch}); err != nil {
				d.log.Warn("cancelling the role change failed", "engine", addr, "err", err)
			}
		}()
	}
	return false
}

// overlay returns the wrapped source's list with the roles that the engines report.
func (d *Driver) overlay() []discovery.Engine {
	out := make([]discovery.Engine, len(d.list))
	copy(out, d.list)
	for i := range out {
		e := &out[i]
		v, ok := d.listings[uint64(e.ID())]
		if !ok {
			continue
		}
		kind := &d.settings.Kinds[d.settings.KindIndex(e.Kind)]
		if stageOf(kind) != v.Role {
			e.Kind = kind.Becomes // the list still shows the old role
		}
		if v.Draining {
			e.State = decide.Draining
		}
		if v.StartedAt.After(e.StartedAt) {
			e.StartedAt = v.StartedAt
		}
	}
	return out
}

// reportPlan records a new plan in the metrics and logs it, once, if it would move engines.
func (d *Driver) reportPlan(took time.Duration) {
	r := d.manager.LastReport()
	if last := d.lastReport.Load(); last != nil && last.At.Equal(r.At) {
		return
	}
	d.lastReport.Store(&r)
	d.metrics.PlanMade(&r, took.Seconds())
	if r.Err != nil {
		d.log.Error("planning roles failed", "err", r.Err)
	}
	if len(r.Plan.Moves) == 0 {
		return
	}
	d.log.Info("role plan", "read/s", int(r.Demand[roles.Prefill].Mean), "write/s", int(r.Demand[roles.Decode].Mean), "moves", len(r.Plan.Moves),
		"served", r.Plan.ServedNow, "then", r.Plan.ServedAfter, "confidence", r.Verdict.Confidence, "why", r.Verdict.Reason, "begun", r.ChangesBegun,
		"dry", d.settings.RoleChanges.Mode == "dry", "unseen", d.dropped.Load())
}

func (d *Driver) nameOf(id uint64) string {
	if e := d.byID[id]; e != nil {
		return e.Name
	}
	return "gone"
}
