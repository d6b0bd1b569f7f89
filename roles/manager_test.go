package roles

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// site is a number of managers in simulated time, over engines that follow the role-change protocol, with changing
// traffic. Engines take a few seconds for a change, and each router sees a part of the arrivals.
type site struct {
	t            *testing.T
	now          time.Time
	rng          *rand.Rand
	managers     []*Manager
	engines      map[uint64]*fakeEngine
	nextStep     map[uint64]time.Time // time of the next step of a change
	changesBegun int
	maxAway      int
}

func newSite(t *testing.T, routers, readers, writers int, change func(*Config)) *site {
	s := &site{t: t, now: at(0), rng: rand.New(rand.NewPCG(1, 2)), engines: map[uint64]*fakeEngine{}, nextStep: map[uint64]time.Time{}}
	var infos []EngineInfo
	for i := range readers + writers {
		role := Prefill
		if i >= readers {
			role = Decode
		}
		id := uint64(i + 1)
		s.engines[id] = &fakeEngine{state: RoleState{Role: role, Epoch: 1}, alive: true}
		infos = append(infos, EngineInfo{ID: id, Cell: i % 2, Capacity: [stages]float64{10000, 1000}})
	}
	for i := range routers {
		cfg := Config{Classes: 1, Timeouts: limits, Costs: Costs{Horizon: 45 * time.Second, AwayTime: 11 * time.Second, MaxLoad: [stages]float64{0.8, 0.8}, MaxChanging: 2},
			Confidence: 0.85, PlanInterval: 5 * time.Second, SlowStartTime: 13 * time.Second, TurnOrder: TurnOrder{routers, i, 10 * time.Second}}
		if change != nil {
			change(&cfg)
		}
		m := NewManager(cfg, s.now)
		m.UpdateEngines(s.now, infos, nil)
		s.managers = append(s.managers, m)
	}
	return s
}

// run simulates the duration d with the given request rate per second and mean lengths of prompts and answers.
func (s *site) run(d time.Duration, rate, prompt, answer float64) {
	const step = 100 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for range poisson(s.rng, rate*step.Seconds()) {
			m := s.managers[s.rng.IntN(len(s.managers))]
			if m == nil {
				continue
			}
			m.ObserveArrival(s.now, RequestInfo{})
			m.ObserveRead(RequestInfo{PromptTokens: prompt * math.Exp(0.6*s.rng.NormFloat64()-0.18)})
			m.ObserveOutput(RequestInfo{OutputTokens: answer * math.Exp(0.6*s.rng.NormFloat64()-0.18)})
		}
		away := 0
		for id, e := range s.engines {
			if e.state.Phase != Steady {
				away++
			}
			if due, ok := s.nextStep[id]; ok && !s.now.Before(due) && e.alive {
				if e.state.Phase == Emptying {
					e.state.Phase = Changing
					s.nextStep[id] = s.now.Add(3 * time.Second)
				} else {
					if e.state.Phase == Changing {
						e.state = RoleState{Role: e.state.To, Epoch: e.state.Epoch + 1, StartedAt: s.now}
					}
					delete(s.nextStep, id)
				}
			}
		}
		s.maxAway = max(s.maxAway, away)
		for _, m := range s.managers {
			if m == nil {
				continue
			}
			var out []Action
			if s.now.UnixMilli()%1000 == 0 {
				for id := range uint64(len(s.engines)) {
					if e := s.engines[id+1]; e.alive {
						out = m.ObserveState(s.now, id+1, e.state, out)
					}
				}
			}
			s.carryOut(m, m.Tick(s.now, out))
		}
	}
}

func (s *site) carryOut(m *Manager, acts []Action) {
	for _, a := range acts {
		e := s.engines[a.Engine]
		switch a.Kind {
		case RequestChange:
			granted := e.ask(a.To, a.Epoch)
			if granted {
				s.changesBegun++
				s.nextStep[a.Engine] = s.now.Add(2 * time.Second)
			}
			s.carryOut(m, m.HandleAnswer(s.now, a.Engine, granted, e.state, nil))
		case CancelChange:
			if e.alive && e.state.Phase == Emptying && e.state.Epoch == a.Epoch {
				e.state.Phase = Steady
			}
		}
	}
}

func (s *site) readers() (n int) {
	for _, e := range s.engines {
		if e.state.Role == Prefill {
			n++
		}
	}
	return n
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for p := rng.Float64(); p > math.Exp(-mean); n++ {
		p *= rng.Float64()
	}
	return n
}

// Three routers that each see a part of the traffic follow a slow change of the mix in both directions, and never
// more engines are away at once than allowed.
func TestSlowMixChangeIsFollowed(t *testing.T) {
	s := newSite(t, 3, 6, 6, nil)
	// 40,000 tokens to read and 4,000 to write a second, which six readers and six writers serve
	s.run(5*time.Minute, 40, 1000, 100)
	if s.changesBegun != 0 {
		t.Errorf("%d changes while the split fits the mix", s.changesBegun)
	}
	s.run(15*time.Minute, 40, 1600, 50) // 64,000 and 2,000
	up := s.readers()
	if up < 8 {
		t.Errorf("%d readers after fifteen minutes of long prompts, want 8", up)
	}
	s.run(20*time.Minute, 40, 500, 150) // 20,000 and 6,000
	if down := s.readers(); down > 5 {
		t.Errorf("%d readers after twenty minutes of long answers, want at most 5", down)
	}
	if s.maxAway > 2 {
		t.Errorf("%d engines were away at once, want at most 2", s.maxAway)
	}
	if s.changesBegun > 14 {
		t.Errorf("%d changes were begun, want at most 14", s.changesBegun)
	}
}

// A mix that alternates every few seconds causes next to no changes in an hour.
func TestFastAlternatingMixIsIgnored(t *testing.T) {
	s := newSite(t, 3, 6, 6, nil)
	for range 360 {
		s.run(5*time.Second, 40, 1600, 50)
		s.run(5*time.Second, 40, 400, 150)
	}
	if s.changesBegun > 2 {
		t.Errorf("%d changes in an hour, want at most 2", s.changesBegun)
	}
}

// Neither overload of both stages nor idleness is a reason to change, and a dry run changes nothing.
func TestNoChangeWithoutGain(t *testing.T) {
	s := newSite(t, 2, 6, 6, nil)
	s.run(10*time.Minute, 120, 1000, 100)
	s.run(10*time.Minute, 1, 1600, 50)
	if s.changesBegun != 0 {
		t.Errorf("%d changes under overload and idleness, want none", s.changesBegun)
	}
	dry := newSite(t, 1, 6, 6, func(c *Config) { c.DryRun = true })
	dry.run(10*time.Minute, 40, 1800, 40)
	if r := dry.managers[0].LastReport(); dry.changesBegun != 0 || len(r.Plan.Moves) == 0 || !r.Verdict.Change {
		t.Errorf("dry run: %d changes; last plan %+v", dry.changesBegun, r)
	}
}

// When one of three routers dies during a change it has begun, the change completes and the others go on.
func TestRouterDiesDuringChange(t *testing.T) {
	s := newSite(t, 3, 6, 6, nil)
	s.run(5*time.Minute, 40, 1000, 100)
	for i := 0; s.changesBegun == 0 && i < 600; i++ {
		s.run(time.Second, 40, 1600, 50)
	}
	if s.changesBegun == 0 {
		t.Fatal("no change was begun")
	}
	for i, m := range s.managers {
		if m.last.ChangesBegun > 0 {
			s.managers[i] = nil
		}
	}
	s.run(15*time.Minute, 60, 1600, 50) // the dead router's part of the traffic is not observed
	if n := s.readers(); n < 7 {
		t.Errorf("%d readers, want at least 7", n)
	}
	for id, e := range s.engines {
		if e.state.Phase != Steady {
			t.Errorf("engine %d is left in phase %v", id, e.state.Phase)
		}
	}
}

// Four of the six readers die while another reader is changing to a writer: the change is cancelled.
func TestObsoleteChangeIsCancelled(t *testing.T) {
	s := newSite(t, 1, 6, 6, func(c *Config) { c.Timeouts.EmptyTimeout = time.Hour; c.Costs.MaxChanging = 1 })
	s.run(2*time.Minute, 40, 500, 100)
	for i := 0; s.changesBegun == 0 && i < 900; i++ {
		s.run(time.Second, 40, 900, 165) // 36,000 and 6,600: one more writer would help
	}
	if s.changesBegun != 1 {
		t.Fatalf("%d changes were begun, want 1", s.changesBegun)
	}
	var moving uint64
	for id, e := range s.engines {
		if e.state.Phase == Emptying {
			moving = id
			s.nextStep[id] = s.now.Add(time.Hour) // emptying takes long
		}
	}
	var left []EngineInfo
	dead := 0
	for id := range uint64(12) {
		info := *s.managers[0].infos[id+1]
		if e := s.engines[id+1]; e.state.Role == Prefill && id+1 != moving && dead < 4 {
			e.alive = false
			dead++
			continue
		}
		left = append(left, info)
	}
	s.managers[0].UpdateEngines(s.now, left, nil)
	s.run(30*time.Second, 40, 900, 165)
	if e := s.engines[moving]; e.state.Phase != Steady || e.state.Role != Prefill {
		t.Errorf("the state of the cancelled engine is %+v", e.state)
	}
	found := false
	for _, e := range s.managers[0].TakeResults() {
		found = found || e.Reason == "the change was cancelled"
	}
	if !found {
		t.Error("no change result reports the cancellation")
	}
}

func TestTurnOrder(t *testing.T) {
	turns := []TurnOrder{{3, 0, 10 * time.Second}, {3, 1, 10 * time.Second}, {3, 2, 10 * time.Second}}
	allowed := make([]int, 3)
	for ms := 0; ms < 60000; ms += 100 {
		now := t0.Add(time.Duration(ms) * time.Millisecond)
		n := 0
		for i, turn := range turns {
			// The clocks differ by up to a fifth of a slot from the reference.
			if turn.Allows(now.Add(time.Duration(i-1) * 2 * time.Second)) {
				allowed[i]++
				n++
			}
		}
		if n > 1 {
			t.Fatalf("%d routers are allowed to begin changes at %v", n, now)
		}
	}
	if allowed[0] == 0 || allowed[1] == 0 || allowed[2] == 0 {
		t.Errorf("allowed checks by router: %v", allowed)
	}
	if !(TurnOrder{}).Allows(t0) {
		t.Error("a single router has to wait for its turn")
	}
}

// An engine that is still cold does not change again, however unbalanced the demand is.
func TestColdEnginesDoNotChange(t *testing.T) {
	s := newSite(t, 1, 6, 6, func(c *Config) { c.SlowStartTime = time.Hour })
	for _, e := range s.engines {
		e.state.StartedAt = s.now
	}
	s.run(15*time.Minute, 40, 1800, 40)
	if s.changesBegun != 0 {
		t.Errorf("%d cold engines were changed", s.changesBegun)
	}
}

// A router whose plans never coincide with its turn plans again when its turn comes.
func TestPlanWaitsForTurn(t *testing.T) {
	// Slots of five seconds and plans every ten: each plan is made at the start of the other router's slot.
	s := newSite(t, 2, 6, 6, func(c *Config) { c.PlanInterval, c.TurnOrder.SlotLength = 10*time.Second, 5*time.Second })
	for i := range s.managers {
		s.managers[i].cfg.TurnOrder.Index = 1
		s.managers[i].nextPlan = s.now.Add(10 * time.Second)
		if i > 0 {
			s.managers[i] = nil
		}
	}
	if s.now.UnixNano()%int64(10*time.Second) != 0 {
		t.Fatal("the plans can coincide with the router's turn")
	}
	s.run(15*time.Minute, 40, 1800, 40)
	if s.changesBegun == 0 {
		t.Errorf("no change was begun: %+v", s.managers[0].LastReport().Verdict)
	}
}
