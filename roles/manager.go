package roles

import (
	"maps"
	"math"
	"slices"
	"time"
)

// TurnOrder gives the right to begin changes to one router at a time, without communication between routers: wall
// time is divided into slots, and in each slot one router may begin changes, by its index. The other routers see what
// it begins before their own turn if they check the engines' roles at least four times a slot and clocks differ by
// less than a quarter of a slot, because a router begins changes only in the middle half of its slot. The slots of a
// dead router pass unused.
type TurnOrder struct {
	Routers    int
	Index      int
	SlotLength time.Duration
}

// Allows reports whether it is this router's turn at a point of wall time.
func (t TurnOrder) Allows(now time.Time) bool {
	if t.Routers <= 1 || t.SlotLength <= 0 {
		return true
	}
	at := now.UnixNano()
	slot := int64(t.SlotLength)
	into := at % slot
	return (at/slot)%int64(t.Routers) == int64(t.Index) && into >= slot/4 && into < slot-slot/4
}

// EngineInfo is what discovery and the settings tell about an engine.
type EngineInfo struct {
	ID         uint64
	Kind       int
	Cell       int
	Role       Stage           // as listed
	Capacity   [stages]float64 // tokens a second by role; 0: it does not support the role
	Draining   bool            // it is listed as draining, for a reason other than a role change
	Unhealthy  bool            // it is considered to be failing
	HeldTokens float64         // tokens of holds and cached prefixes that a change would lose
}

// Config is the configuration of a Manager.
type Config struct {
	Classes          int
	Timeouts         Timeouts
	Costs            Costs
	Confidence       float64 // required confidence that a change pays; in (0.5, 1)
	ConsecutivePlans int     // number of plans in a row that have to agree; 0: one
	PlanInterval     time.Duration
	SlowStartTime    time.Duration // an engine does not change again while it is cold
	TurnOrder        TurnOrder
	DryRun           bool // plan and report, but change nothing
}

// PlanReport is a plan and its evaluation, for operators.
type PlanReport struct {
	At           time.Time
	Demand       [stages]WorkForecast // of all routers together
	Plan         Plan
	Verdict      Verdict
	ChangesBegun int `json:"Begun"`
	Err          error
}

// Manager combines the demand estimate, the planner, the plan evaluator and the role tracker. Times are passed in and
// actions are returned. It is not safe for concurrent use.
type Manager struct {
	cfg            Config
	start          time.Time
	demand         *DemandEstimator
	evaluator      PlanEvaluator
	tracker        *RoleTracker
	infos          map[uint64]*EngineInfo
	nextPlan       time.Time
	waitingForTurn bool // it has a plan that pays, and it is another router's turn
	last           PlanReport
}

// NewManager returns a Manager that knows no engines and has observed no traffic.
func NewManager(cfg Config, now time.Time) *Manager {
	return &Manager{cfg: cfg, start: now, demand: NewDemandEstimator(cfg.Classes, cfg.Costs.Horizon), tracker: NewRoleTracker(cfg.Timeouts),
		evaluator: PlanEvaluator{Confidence: cfg.Confidence, ConsecutivePlans: cfg.ConsecutivePlans}, infos: map[uint64]*EngineInfo{}, nextPlan: now.Add(cfg.PlanInterval)}
}

// ObserveArrival, ObserveRead and ObserveOutput record the traffic that this router sees.
func (m *Manager) ObserveArrival(now time.Time, a RequestInfo) {
	m.demand.ObserveArrival(now.Sub(m.start), a)
}

// ObserveRead records a finished read.
func (m *Manager) ObserveRead(a RequestInfo) { m.demand.ObserveRead(a) }

// ObserveOutput records the length of an answer, as far as it is known.
func (m *Manager) ObserveOutput(a RequestInfo) { m.demand.ObserveOutput(a) }

// UpdateEngines takes the list of all engines. Engines that are missing from it have been removed.
func (m *Manager) UpdateEngines(now time.Time, list []EngineInfo, out []Action) []Action {
	seen := make(map[uint64]*EngineInfo, len(list))
	for i := range list {
		info := list[i]
		seen[info.ID] = &info
	}
	for _, id := range slices.Sorted(maps.Keys(m.infos)) {
		if seen[id] == nil {
			m.tracker.Remove(now, id)
		}
	}
	m.infos = seen
	for i := range list {
		out = m.tracker.AddListed(list[i].ID, list[i].Role, out)
	}
	return out
}

// ObserveState handles the state that an engine reports.
func (m *Manager) ObserveState(now time.Time, id uint64, s RoleState, out []Action) []Action {
	if m.infos[id] == nil {
		return out
	}
	return m.tracker.ObserveState(now, id, s, out)
}

// HandleAnswer handles the engine's answer to RequestChange.
func (m *Manager) HandleAnswer(now time.Time, id uint64, granted bool, s RoleState, out []Action) []Action {
	return m.tracker.HandleAnswer(now, id, granted, s, out)
}

// TakeResults returns the changes that have ended since the last call.
func (m *Manager) TakeResults() []ChangeResult { return m.tracker.TakeResults() }

// LastReport returns the last plan and its evaluation.
func (m *Manager) LastReport() PlanReport { return m.last }

// Tick handles deadlines and plans when the plan interval is over, or when this router's turn has come and a plan
// that pays is waiting for it. It is meant to be called several times a second.
func (m *Manager) Tick(now time.Time, out []Action) []Action {
	out = m.tracker.Tick(now, out)
	if now.Before(m.nextPlan) && !(m.waitingForTurn && m.cfg.TurnOrder.Allows(now)) {
		return out
	}
	m.nextPlan = now.Add(m.cfg.PlanInterval)
	return m.plan(now, out)
}

// planEngines returns the engines as the planner sees them: the role that each reports, and whether it can change.
func (m *Manager) planEngines(now time.Time) []Engine {
	out := make([]Engine, 0, len(m.infos))
	for _, id := range slices.Sorted(maps.Keys(m.infos)) {
		info, c := m.infos[id], m.tracker.engines[id]
		if c == nil || !c.known {
			continue // it has not reported its role
		}
		e := Engine{ID: id, Kind: info.Kind, Cell: info.Cell, Role: c.state.Role, Capacity: info.Capacity, HeldTokens: info.HeldTokens}
		e.Unavailable = info.Unhealthy || info.Draining || c.unresponsive
		if !e.Unavailable && (c.state.Phase != Steady || c.step == asking) {
			e.Incoming, e.Role = true, c.target
		}
		cold := !c.state.StartedAt.IsZero() && now.Sub(c.state.StartedAt) < m.cfg.SlowStartTime
		e.Fixed = cold || !m.tracker.CanChange(id)
		out = append(out, e)
	}
	return out
}

// plan makes and evaluates a plan, cancels obsolete changes, and begins the changes of the plan if it is this
// router's turn.
func (m *Manager) plan(now time.Time, out []Action) []Action {
	// Each router sees a part of the traffic. The front layer spreads requests evenly, apart from random variation,
	// which is part of the forecast's standard deviation and is scaled with it.
	routers := math.Max(float64(m.cfg.TurnOrder.Routers), 1)
	demand := m.demand.Forecast(now.Sub(m.start))
	for st := range demand {
		demand[st].Mean *= routers
		demand[st].SD *= routers
	}
	engines := m.planEngines(now)
	p, err := Solve(engines, demand, m.cfg.Costs)
	m.last = PlanReport{At: now, Demand: demand, Plan: p, Err: err}
	if err != nil {
		return out
	}
	m.last.Verdict = m.evaluator.Evaluate(&p, demand)
	out = m.cancelObsoleteChanges(engines, demand, out)
	m.waitingForTurn = m.last.Verdict.Change && !m.cfg.DryRun && !m.cfg.TurnOrder.Allows(now)
	if !m.last.Verdict.Change || m.cfg.DryRun || m.waitingForTurn {
		return out
	}
	for _, mv := range p.Moves {
		next, err := m.tracker.BeginChange(now, mv.Engine, mv.To, out)
		if err != nil {
			m.last.Err = err
			continue
		}
		out = next
		m.last.ChangesBegun++
	}
	return out
}

// cancelObsoleteChanges cancels changes that are still emptying and no longer worthwhile, because more work would be
// served with the engine in its old role, for example after half of the engines of that role have died.
func (m *Manager) cancelObsoleteChanges(engines []Engine, demand [stages]WorkForecast, out []Action) []Action {
	cases := demandCases(demand)
	var capacity [stages]float64
	for i := range engines {
		e := &engines[i]
		switch {
		case e.Incoming:
			capacity[e.Role] += e.Capacity[e.Role] * m.cfg.Costs.remainingShare()
		case !e.Unavailable:
			capacity[e.Role] += e.Capacity[e.Role]
		}
	}
	for i := range engines {
		e := &engines[i]
		c := m.tracker.engines[e.ID]
		if !e.Incoming || c.step != asking && c.step != emptying || c.state.Phase == Changing {
			continue
		}
		reverted := capacity
		reverted[e.Role] -= e.Capacity[e.Role] * m.cfg.Costs.remainingShare()
		reverted[1-e.Role] += e.Capacity[1-e.Role]
		// Cancelling takes the same confidence as a change, and has to gain more than the change itself was expected
		// to gain; otherwise plans would alternate between changing and cancelling.
		const minGain = 0.05
		if servedShare(reverted, m.cfg.Costs.MaxLoad, cases) > servedShare(capacity, m.cfg.Costs.MaxLoad, cases)+minGain &&
			changeConfidence(capacity, reverted, m.cfg.Costs.MaxLoad, cases) >= m.cfg.Confidence {
			out = m.tracker.Cancel(e.ID, "more work would be served with the engine in its old role", out)
		}
	}
	return out
}

// Status is one engine as a Manager sees it, for operators.
type Status struct {
	Engine          uint64
	Known           bool      // it has reported its role
	State           RoleState `json:"Now"`
	Step            string    // of the tracked change: idle, asking, emptying, changing, resting
	ChangeStartedAt time.Time `json:"Since"`
	BlockedReason   string    `json:"WhyNot"` // why it would not be changed now; "" if it could be
}

// Status returns the status of all engines, ordered by ID.
func (m *Manager) Status(now time.Time) []Status {
	out := make([]Status, 0, len(m.infos))
	for _, id := range slices.Sorted(maps.Keys(m.infos)) {
		st := Status{Engine: id, Step: idle.String()}
		c := m.tracker.engines[id]
		if c != nil && c.known {
			st.Known, st.State, st.Step, st.ChangeStartedAt = true, c.state, c.step.String(), c.startedAt
		}
		switch {
		case !st.Known:
			st.BlockedReason = "it has not said what it does"
		case c.unresponsive:
			st.BlockedReason = "it does not tell its role any more"
		case c.step == backingOff:
			st.BlockedReason = "a change of it failed; it rests until " + c.deadline.UTC().Format(time.TimeOnly)
		case c.step != idle || c.state.Phase != Steady:
			st.BlockedReason = "it is on its way"
		case m.infos[id].Draining:
			st.BlockedReason = "it is draining"
		case !c.state.StartedAt.IsZero() && now.Sub(c.state.StartedAt) < m.cfg.SlowStartTime:
			st.BlockedReason = "it is cold"
		}
		out = append(out, st)
	}
	return out
}
