package roles

import (
	"maps"
	"math"
	"slices"
	"time"
)

// TurnOrder shares out the right to begin changes among routers that do not talk: time is cut into slots, and in
// each slot one router may begin, by its index. What it begins is seen by the others before their turn, if
// they look at the engines' roles at least four times a slot and clocks differ by less than a quarter of
// one: a router begins only in the middle half of its slot. The turn of a dead router passes unused.
type TurnOrder struct {
	Routers    int
	Index      int
	SlotLength time.Duration
}

// Allows tells whether it is this router's turn at a point of wall time.
func (t TurnOrder) Allows(now time.Time) bool {
	if t.Routers <= 1 || t.SlotLength <= 0 {
		return true
	}
	at := now.UnixNano()
	slot := int64(t.SlotLength)
	into := at % slot
	return (at/slot)%int64(t.Routers) == int64(t.Index) && into >= slot/4 && into < slot-slot/4
}

// EngineInfo is what discovery and the settings tell of an engine.
type EngineInfo struct {
	ID         uint64
	Kind       int
	Cell       int
	Role       Stage           // by the list
	Capacity   [stages]float64 // tokens a second by role; 0: it can't
	Draining   bool            // somebody else drains it
	Unhealthy  bool            // it is held to be failing
	HeldTokens float64         // tokens that a change would lose
}

// Config is what a Manager works by.
type Config struct {
	Classes          int
	Timeouts         Timeouts
	Costs            Costs
	Confidence       float64       // with which a change has to pay, in (0.5, 1)
	ConsecutivePlans int           // plans in a row that have to agree; 0: one
	PlanInterval     time.Duration // between plans
	SlowStartTime    time.Duration // an engine is not changed again before it is warm
	TurnOrder        TurnOrder
	DryRun           bool // plan and tell, change nothing
}

// PlanReport is a plan as it was judged, for people.
type PlanReport struct {
	At           time.Time
	Demand       [stages]Work // over all routers
	Plan         Plan
	Verdict      Verdict
	ChangesBegun int
	Err          error
}

// Manager ties demand, planner, judge and follower together. Times come in, actions go out; it is not safe
// for concurrent use.
type Manager struct {
	cfg    Config
	start  time.Time
	demand *Demand
	judge  Judge
	follow *Follower
	infos  map[uint64]*EngineInfo
	next   time.Time
	waits  bool // for its turn, with a plan that pays
	last   PlanReport
}

// NewManager returns a Manager that has seen nothing.
func NewManager(cfg Config, now time.Time) *Manager {
	return &Manager{cfg: cfg, start: now, demand: NewDemand(cfg.Classes, cfg.Costs.Horizon), follow: NewFollower(cfg.Timeouts),
		judge: Judge{Confidence: cfg.Confidence, Looks: cfg.ConsecutivePlans}, infos: map[uint64]*EngineInfo{}, next: now.Add(cfg.PlanInterval)}
}

// ObserveArrival, Read and Written take in what this router sees of the traffic.
func (m *Manager) ObserveArrival(now time.Time, a RequestInfo) { m.demand.Arrived(now.Sub(m.start), a) }

// ObserveRead takes in a finished read.
func (m *Manager) ObserveRead(a RequestInfo) { m.demand.Read(a) }

// ObserveOutput takes in an answer, as far as it is known.
func (m *Manager) ObserveOutput(a RequestInfo) { m.demand.Written(a) }

// UpdateEngines takes in all engines that there are. Those that are not among them are gone.
func (m *Manager) UpdateEngines(now time.Time, list []EngineInfo, out []Action) []Action {
	seen := make(map[uint64]*EngineInfo, len(list))
	for i := range list {
		info := list[i]
		seen[info.ID] = &info
	}
	for _, id := range slices.Sorted(maps.Keys(m.infos)) {
		if seen[id] == nil {
			m.follow.Gone(now, id)
		}
	}
	m.infos = seen
	for i := range list {
		out = m.follow.Listed(list[i].ID, list[i].Role, out)
	}
	return out
}

// ObserveState takes in an engine's word on its role.
func (m *Manager) ObserveState(now time.Time, id uint64, s RoleState, out []Action) []Action {
	if m.infos[id] == nil {
		return out
	}
	return m.follow.Seen(now, id, s, out)
}

// HandleAnswer takes in an engine's answer to Ask.
func (m *Manager) HandleAnswer(now time.Time, id uint64, granted bool, s RoleState, out []Action) []Action {
	return m.follow.Answered(now, id, granted, s, out)
}

// TakeResults returns the changes that have ended since the last call.
func (m *Manager) TakeResults() []ChangeResult { return m.follow.Ended() }

// LastReport returns the last plan as it was judged.
func (m *Manager) LastReport() PlanReport { return m.last }

// Tick looks after deadlines, and plans when it is time, or when its turn has come for a plan that pays. It is
// to be called some times a second.
func (m *Manager) Tick(now time.Time, out []Action) []Action {
	out = m.follow.Tick(now, out)
	if now.Before(m.next) && !(m.waits && m.cfg.TurnOrder.Allows(now)) {
		return out
	}
	m.next = now.Add(m.cfg.PlanInterval)
	return m.plan(now, out)
}

// engines are the planner's view: what each engine says of its role, and what may be done to it.
func (m *Manager) engines(now time.Time) []Engine {
	out := make([]Engine, 0, len(m.infos))
	for _, id := range slices.Sorted(maps.Keys(m.infos)) {
		info, c := m.infos[id], m.follow.list[id]
		if c == nil || !c.known {
			continue // it has not said what it does
		}
		e := Engine{ID: id, Kind: info.Kind, Cell: info.Cell, Role: c.now.Role, Cap: info.Capacity, Held: info.HeldTokens}
		e.Absent = info.Unhealthy || info.Draining || c.doubt
		if !e.Absent && (c.now.Phase != Steady || c.step == asking) {
			e.Coming, e.Role = true, c.to
		}
		cold := !c.now.StartedAt.IsZero() && now.Sub(c.now.StartedAt) < m.cfg.SlowStartTime
		e.Fixed = cold || !m.follow.May(id)
		out = append(out, e)
	}
	return out
}

func (m *Manager) plan(now time.Time, out []Action) []Action {
	// Each router sees its part of the traffic; the front layer spreads it evenly but for chance, which the
	// forecast's own spread grows with.
	all := math.Max(float64(m.cfg.TurnOrder.Routers), 1)
	demand := m.demand.Forecast(now.Sub(m.start))
	for st := range demand {
		demand[st].Mean *= all
		demand[st].SD *= all
	}
	engines := m.engines(now)
	p, err := Solve(engines, demand, m.cfg.Costs)
	m.last = PlanReport{At: now, Demand: demand, Plan: p, Err: err}
	if err != nil {
		return out
	}
	m.last.Verdict = m.judge.Look(&p, demand)
	out = m.callOff(engines, demand, out)
	m.waits = m.last.Verdict.Change && !m.cfg.DryRun && !m.cfg.TurnOrder.Allows(now)
	if !m.last.Verdict.Change || m.cfg.DryRun || m.waits {
		return out
	}
	for _, mv := range p.Moves {
		next, err := m.follow.Begin(now, mv.Engine, mv.To, out)
		if err != nil {
			m.last.Err = err
			continue
		}
		out = next
		m.last.ChangesBegun++
	}
	return out
}

// callOff takes back changes that are still emptying when they have lost their sense: when the work would
// be served better with the engine where it was, as after half of its role's engines have died.
func (m *Manager) callOff(engines []Engine, demand [stages]Work, out []Action) []Action {
	cases := scenarios(demand)
	var cap [stages]float64
	for i := range engines {
		e := &engines[i]
		switch {
		case e.Coming:
			cap[e.Role] += e.Cap[e.Role] * m.cfg.Costs.left()
		case !e.Absent:
			cap[e.Role] += e.Cap[e.Role]
		}
	}
	for i := range engines {
		e := &engines[i]
		c := m.follow.list[e.ID]
		if !e.Coming || c.step != asking && c.step != emptying || c.now.Phase == Changing {
			continue
		}
		back := cap
		back[e.Role] -= e.Cap[e.Role] * m.cfg.Costs.left()
		back[1-e.Role] += e.Cap[1-e.Role]
		// As sure as a change has to be, and worth more than the change was expected to bring, else plans chase
		// each other.
		const least = 0.05
		if served(back, m.cfg.Costs.MaxLoad, cases) > served(cap, m.cfg.Costs.MaxLoad, cases)+least &&
			sure(cap, back, m.cfg.Costs.MaxLoad, cases) >= m.cfg.Confidence {
			out = m.follow.CallOff(e.ID, "the work is where the engine was", out)
		}
	}
	return out
}

// Status is one engine as a Manager sees it, for people.
type Status struct {
	Engine          uint64
	Known           bool // it has said what it does
	State           RoleState
	Step            string // of a change that is followed: idle, asking, emptying, changing, resting
	ChangeStartedAt time.Time
	BlockedReason   string // why it would not be changed now; "" it could be
}

// Status returns all engines, by number.
func (m *Manager) Status(now time.Time) []Status {
	out := make([]Status, 0, len(m.infos))
	for _, id := range slices.Sorted(maps.Keys(m.infos)) {
		st := Status{Engine: id, Step: idle.String()}
		c := m.follow.list[id]
		if c != nil && c.known {
			st.Known, st.State, st.Step, st.ChangeStartedAt = true, c.now, c.step.String(), c.began
		}
		switch {
		case !st.Known:
			st.BlockedReason = "it has not said what it does"
		case c.doubt:
			st.BlockedReason = "it does not tell its role any more"
		case c.step == resting:
			st.BlockedReason = "a change of it failed; it rests until " + c.by.UTC().Format(time.TimeOnly)
		case c.step != idle || c.now.Phase != Steady:
			st.BlockedReason = "it is on its way"
		case m.infos[id].Draining:
			st.BlockedReason = "it is draining"
		case !c.now.StartedAt.IsZero() && now.Sub(c.now.StartedAt) < m.cfg.SlowStartTime:
			st.BlockedReason = "it is cold"
		}
		out = append(out, st)
	}
	return out
}
