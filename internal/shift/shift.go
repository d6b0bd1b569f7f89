// Package shift carries out the shifting of roles: it stands between discovery and the router's core, asks
// engines for their roles, tells the decisions in package roles what happens, and carries out what they
// decide. Towards the core it is a source of lists like any other: an engine on its way is listed as
// draining, one that has changed as of its new kind and just started.
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

// EngineClient is what the driver asks of engines; *engine.Client does it.
type EngineClient interface {
	Role(ctx context.Context, addr string) (engine.Role, error)
	ChangeRole(ctx context.Context, addr string, q *engine.RoleChange) (engine.Role, bool, error)
	CancelRoleChange(ctx context.Context, addr string, q *engine.RoleChangeCancel) (engine.Role, bool, error)
}

// Driver shifts roles. It is a discovery.Source over another one, and a router.Observer.
type Driver struct {
	set     *config.Settings
	source  discovery.Source
	engines EngineClient
	name    string
	log     *slog.Logger
	metrics *metrics.RoleMetrics // nil: none

	seen    chan observation
	missed  atomic.Int64 // observations that did not fit
	results chan result
	report  atomic.Pointer[roles.PlanReport]
	status  atomic.Pointer[Status]

	// What follows belongs to Run's loop.
	manager *roles.Manager
	base    []discovery.Engine
	byID    map[uint64]*discovery.Engine
	views   map[uint64]roles.Listing
	asking  map[uint64]bool // a question about its role is out
	work    sync.WaitGroup
}

// observation is one thing seen of the traffic.
type observation struct {
	kind    uint8
	at      time.Time
	arrival roles.RequestInfo
}

const (
	sawArrival uint8 = iota
	sawRead
	sawWritten
)

// result is an engine's word.
type result struct {
	id      uint64
	asked   bool // an answer to a change that was asked for
	granted bool
	role    engine.Role
	err     error
}

// Bounds of the driver.
const (
	maxObservations = 8192
	tickEvery       = 100 * time.Millisecond
)

// New returns a driver for the settings, which have shifting on or dry.
func New(set *config.Settings, source discovery.Source, engines EngineClient, name string, log *slog.Logger, m *metrics.RoleMetrics) *Driver {
	return &Driver{set: set, source: source, engines: engines, name: name, log: log, metrics: m,
		seen: make(chan observation, maxObservations), results: make(chan result, 64),
		byID: map[uint64]*discovery.Engine{}, views: map[uint64]roles.Listing{}, asking: map[uint64]bool{},
		manager: roles.NewManager(set.Roles(), time.Now())}
}

// RequestArrived, Read and Written are the router.Observer. They never block: what does not fit is counted.
func (d *Driver) RequestArrived(j *router.Job) {
	d.observe(observation{kind: sawArrival, arrival: roles.RequestInfo{Class: j.Class, PromptTokens: j.PromptTokens, Retry: j.ClientRetry}})
}

// PromptRead implements router.Observer.
func (d *Driver) PromptRead(j *router.Job, kept float64) {
	d.observe(observation{kind: sawRead, arrival: roles.RequestInfo{Class: j.Class, PromptTokens: j.PromptTokens, CachedTokens: kept}})
}

// AnswerWritten implements router.Observer.
func (d *Driver) AnswerWritten(j *router.Job, tokens int, whole bool) {
	d.observe(observation{kind: sawWritten, arrival: roles.RequestInfo{Class: j.Class, OutputTokens: float64(tokens), Truncated: !whole}})
}

// RequestDone implements router.Observer.
func (d *Driver) RequestDone(*router.Job) {}

func (d *Driver) observe(o observation) {
	o.at = time.Now()
	select {
	case d.seen <- o:
	default:
		d.missed.Add(1)
		d.metrics.ObservationDropped()
	}
}

// Status is the state of shifting, for people.
type Status struct {
	At                  time.Time
	Mode                string
	Plan                roles.PlanReport
	Engines             []EngineStatus
	DroppedObservations int64 // observations of the traffic that did not fit
}

// EngineStatus is one engine that can change.
type EngineStatus struct {
	Name string
	roles.Status
}

// Status returns the state as of the last tick, or nil before the first.
func (d *Driver) Status() *Status { return d.status.Load() }

func (d *Driver) keepStatus(now time.Time) {
	st := &Status{At: now, Mode: d.set.RoleChanges.Mode, Plan: d.manager.LastReport(), DroppedObservations: d.missed.Load()}
	list := d.manager.Status(now)
	d.metrics.SetEngines(list)
	for _, e := range list {
		st.Engines = append(st.Engines, EngineStatus{d.nameOf(e.Engine), e})
	}
	d.status.Store(st)
}

// Run implements discovery.Source.
func (d *Driver) Run(ctx context.Context, tell func(discovery.Update)) error {
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
		d.loop(ctx, updates, tell)
		return nil
	})
	return g.Wait()
}

func (d *Driver) loop(ctx context.Context, updates <-chan discovery.Update, tell func(discovery.Update)) {
	tick, look := time.NewTicker(tickEvery), time.NewTicker(d.set.RoleChanges.CheckInterval)
	defer tick.Stop()
	defer look.Stop()
	for {
		var acts []roles.Action
		changed := false
		now := time.Now()
		select {
		case <-ctx.Done():
			return
		case u := <-updates:
			if u.Err != nil {
				tell(u)
				continue
			}
			acts = d.listed(ctx, u.Engines)
			changed = true
		case o := <-d.seen:
			d.take(&o)
			continue
		case r := <-d.results:
			acts = d.answered(now, &r)
		case <-look.C:
			for id, e := range d.byID {
				d.ask(ctx, id, e.Addr, nil)
			}
		case <-tick.C:
			acts = d.manager.Tick(now, nil)
			d.tellPlan(time.Since(now))
			d.keepStatus(now)
		}
		for i := range acts {
			changed = d.carry(ctx, &acts[i]) || changed
		}
		for _, e := range d.manager.TakeResults() {
			d.metrics.ChangeEnded(&e, roles.SlowStartLoss(d.set.InitialCapacity, d.set.SlowStartTime).Seconds())
			level := slog.LevelInfo
			if !e.Succeeded {
				level = slog.LevelWarn
			}
			d.log.Log(ctx, level, "change of role ended", "engine", d.nameOf(e.Engine), "to", stageName(e.To), "done", e.Succeeded, "why", e.Reason, "took", e.Elapsed)
		}
		if changed {
			tell(discovery.Update{Engines: d.overlay(), At: now})
		}
	}
}

func (d *Driver) take(o *observation) {
	switch o.kind {
	case sawArrival:
		d.manager.ObserveArrival(o.at, o.arrival)
	case sawRead:
		d.manager.ObserveRead(o.arrival)
	case sawWritten:
		d.manager.ObserveOutput(o.arrival)
	}
}

// listed takes in a list of the source.
func (d *Driver) listed(ctx context.Context, list []discovery.Engine) []roles.Action {
	d.base = list
	clear(d.byID)
	var infos []roles.EngineInfo
	for i := range d.base {
		e := &d.base[i]
		k := d.set.KindIndex(e.Kind)
		if k < 0 || d.set.Kinds[k].Becomes == "" {
			continue
		}
		id := uint64(e.ID())
		d.byID[id] = e
		kind, other := &d.set.Kinds[k], &d.set.Kinds[d.set.KindIndex(d.set.Kinds[k].Becomes)]
		info := roles.EngineInfo{ID: id, Kind: min(k, d.set.KindIndex(other.Name)), Cell: discovery.LocationNumber(e.Cell), Role: stageOf(kind), Draining: e.State != decide.Ready}
		info.Capacity[stageOf(kind)], info.Capacity[stageOf(other)] = kind.Capacity, other.Capacity
		infos = append(infos, info)
	}
	acts := d.manager.UpdateEngines(time.Now(), infos, nil)
	for id := range d.views {
		if d.byID[id] == nil {
			delete(d.views, id)
		}
	}
	for id, e := range d.byID {
		d.ask(ctx, id, e.Addr, nil)
	}
	return acts
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

// ask asks an engine for its role, or for a change of it. One question about a role is out at a time.
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
		r := result{id: id, asked: change != nil}
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

func (d *Driver) answered(now time.Time, r *result) []roles.Action {
	if !r.asked {
		delete(d.asking, r.id)
	}
	if r.err != nil || d.byID[r.id] == nil {
		return nil // no word: the deadlines see to it
	}
	s, ok := standing(&r.role)
	if !ok {
		return nil
	}
	if r.asked {
		return d.manager.HandleAnswer(now, r.id, r.granted, s, nil)
	}
	return d.manager.ObserveState(now, r.id, s, nil)
}

// standing turns an engine's word into the decisions' terms.
func standing(r *engine.Role) (roles.RoleState, bool) {
	stages := map[string]roles.Stage{engine.StagePrefill: roles.Prefill, engine.StageDecode: roles.Decode}
	phases := map[string]roles.Phase{engine.PhaseSteady: roles.Steady, engine.PhaseEmptying: roles.Emptying, engine.PhaseChanging: roles.Changing}
	role, ok := stages[r.Role]
	phase, known := phases[r.Phase]
	return roles.RoleState{Role: role, Epoch: roles.Epoch(r.Epoch), To: stages[r.To], Phase: phase, StartedAt: r.Since}, ok && known
}

// carry carries out an action and tells whether the list has changed.
func (d *Driver) carry(ctx context.Context, a *roles.Action) bool {
	e := d.byID[a.Engine]
	if e == nil {
		return false
	}
	switch a.Kind {
	case roles.UpdateListing:
		d.views[a.Engine] = a.Listing
		return true
	case roles.RequestChange:
		d.log.Info("change of role asked for", "engine", e.Name, "to", stageName(a.To), "epoch", a.Epoch)
		d.ask(ctx, a.Engine, e.Addr, &engine.RoleChange{To: stageName(a.To), Epoch: uint64(a.Epoch), Router: d.name,
			NoticeMillis: float64(a.Notice) / 1e6})
	case roles.CancelChange:
		d.log.Info("change of role called back", "engine", e.Name, "why", a.Reason)
		addr, epoch := e.Addr, uint64(a.Epoch)
		d.work.Add(1)
		go func() {
			defer d.work.Done()
			// What comes of it is seen at the next look.
			if _, _, err := d.engines.CancelRoleChange(ctx, addr, &engine.RoleChangeCancel{Epoch: epoch}); err != nil {
				d.log.Warn("call back failed", "engine", addr, "err", err)
			}
		}()
	}
	return false
}

// overlay is the source's list with the engines' own words on their roles.
func (d *Driver) overlay() []discovery.Engine {
	out := make([]discovery.Engine, len(d.base))
	copy(out, d.base)
	for i := range out {
		e := &out[i]
		v, ok := d.views[uint64(e.ID())]
		if !ok {
			continue
		}
		kind := &d.set.Kinds[d.set.KindIndex(e.Kind)]
		if stageOf(kind) != v.Role {
			e.Kind = kind.Becomes // the list shows the old role for a while
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

// tellPlan logs a plan that would move something, once.
func (d *Driver) tellPlan(took time.Duration) {
	r := d.manager.LastReport()
	if last := d.report.Load(); last != nil && last.At.Equal(r.At) {
		return
	}
	d.report.Store(&r)
	d.metrics.PlanMade(&r, took.Seconds())
	if r.Err != nil {
		d.log.Error("plan of roles", "err", r.Err)
	}
	if len(r.Plan.Moves) == 0 {
		return
	}
	d.log.Info("plan of roles", "read/s", int(r.Demand[roles.Prefill].Mean), "write/s", int(r.Demand[roles.Decode].Mean), "moves", len(r.Plan.Moves),
		"served", r.Plan.ServedNow, "then", r.Plan.ServedAfter, "confidence", r.Verdict.Confidence, "why", r.Verdict.Reason, "begun", r.ChangesBegun,
		"dry", d.set.RoleChanges.Mode == "dry", "unseen", d.missed.Load())
}

func (d *Driver) nameOf(id uint64) string {
	if e := d.byID[id]; e != nil {
		return e.Name
	}
	return "gone"
}
