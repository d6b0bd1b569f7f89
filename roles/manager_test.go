package roles

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// site is a number of managers over engines that keep to the protocol, under a traffic that moves. It is
// played in simulated time: each engine changes in some seconds, each router sees a part of the arrivals.
type site struct {
	t        *testing.T
	now      time.Time
	rng      *rand.Rand
	managers []*Manager
	engines  map[uint64]*truth
	ready    map[uint64]time.Time // when a change goes on
	begun    int
	mostAway int
}

func newSite(t *testing.T, routers, readers, writers int, change func(*Config)) *site {
	s := &site{t: t, now: at(0), rng: rand.New(rand.NewPCG(1, 2)), engines: map[uint64]*truth{}, ready: map[uint64]time.Time{}}
	var infos []EngineInfo
	for i := range readers + writers {
		role := Prefill
		if i >= readers {
			role = Decode
		}
		id := uint64(i + 1)
		s.engines[id] = &truth{s: RoleState{Role: role, Epoch: 1}, alive: true}
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

// run plays some time with so many requests a second, of prompts and answers of these means.
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
			if e.s.Phase != Steady {
				away++
			}
			if due, ok := s.ready[id]; ok && !s.now.Before(due) && e.alive {
				if e.s.Phase == Emptying {
					e.s.Phase = Changing
					s.ready[id] = s.now.Add(3 * time.Second)
				} else {
					if e.s.Phase == Changing {
						e.s = RoleState{Role: e.s.To, Epoch: e.s.Epoch + 1, StartedAt: s.now}
					}
					delete(s.ready, id)
				}
			}
		}
		s.mostAway = max(s.mostAway, away)
		for _, m := range s.managers {
			if m == nil {
				continue
			}
			var out []Action
			if s.now.UnixMilli()%1000 == 0 {
				for id := range uint64(len(s.engines)) {
					if e := s.engines[id+1]; e.alive {
						out = m.ObserveState(s.now, id+1, e.s, out)
					}
				}
			}
			s.do(m, m.Tick(s.now, out))
		}
	}
}

func (s *site) do(m *Manager, acts []Action) {
	for _, a := range acts {
		e := s.engines[a.Engine]
		switch a.Kind {
		case RequestChange:
			granted := e.ask(a.To, a.Epoch)
			if granted {
				s.begun++
				s.ready[a.Engine] = s.now.Add(2 * time.Second)
			}
			s.do(m, m.HandleAnswer(s.now, a.Engine, granted, e.s, nil))
		case CancelChange:
			if e.alive && e.s.Phase == Emptying && e.s.Epoch == a.Epoch {
				e.s.Phase = Steady
			}
		}
	}
}

func (s *site) readers() (n int) {
	for _, e := range s.engines {
		if e.s.Role == Prefill {
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

// A slow swing of the mix is followed, there and back, by three routers that each see a part of it; at no
// moment are more engines away than is allowed.
func TestSlowSwingIsFollowed(t *testing.T) {
	s := newSite(t, 3, 6, 6, nil)
	s.run(5*time.Minute, 40, 1000, 100) // 40,000 to read and 4,000 to write: six and six carry it
	if s.begun != 0 {
		t.Errorf("%d changes in a mix that fits", s.begun)
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
	if s.mostAway > 2 {
		t.Errorf("%d engines were away at once, two may be", s.mostAway)
	}
	if s.begun > 14 {
		t.Errorf("%d changes were begun", s.begun)
	}
}

// A mix that swings to and fro every few seconds changes nothing in an hour, or next to nothing.
func TestFastSwingIsNot(t *testing.T) {
	s := newSite(t, 3, 6, 6, nil)
	for range 360 {
		s.run(5*time.Second, 40, 1600, 50)
		s.run(5*time.Second, 40, 400, 150)
	}
	if s.begun > 2 {
		t.Errorf("%d changes in an hour", s.begun)
	}
}

// Overload of both stages, and idleness, are no reason to change; nor is a dry run to do anything.
func TestNothingThatDoesNotHelp(t *testing.T) {
	s := newSite(t, 2, 6, 6, nil)
	s.run(10*time.Minute, 120, 1000, 100)
	s.run(10*time.Minute, 1, 1600, 50)
	if s.begun != 0 {
		t.Errorf("%d changes", s.begun)
	}
	dry := newSite(t, 1, 6, 6, func(c *Config) { c.DryRun = true })
	dry.run(10*time.Minute, 40, 1800, 40)
	if r := dry.managers[0].LastReport(); dry.begun != 0 || len(r.Plan.Moves) == 0 || !r.Verdict.Change {
		t.Errorf("%d changes; last plan %+v", dry.begun, r)
	}
}

// One of three routers dies while its change is under way: the change ends, and the others go on.
func TestRouterDiesInAChange(t *testing.T) {
	s := newSite(t, 3, 6, 6, nil)
	s.run(5*time.Minute, 40, 1000, 100)
	for i := 0; s.begun == 0 && i < 600; i++ {
		s.run(time.Second, 40, 1600, 50)
	}
	if s.begun == 0 {
		t.Fatal("no change was begun")
	}
	for i, m := range s.managers {
		if m.last.ChangesBegun > 0 {
			s.managers[i] = nil
		}
	}
	s.run(15*time.Minute, 60, 1600, 50) // the dead one's part of the traffic goes unseen
	if n := s.readers(); n < 7 {
		t.Errorf("%d readers", n)
	}
	for id, e := range s.engines {
		if e.s.Phase != Steady {
			t.Errorf("engine %d is left %v", id, e.s.Phase)
		}
	}
}

// Half of the readers die while a reader is on its way to write: it is called back.
func TestChangeIsCalledBack(t *testing.T) {
	s := newSite(t, 1, 6, 6, func(c *Config) { c.Timeouts.EmptyTimeout = time.Hour; c.Costs.MaxChanging = 1 })
	s.run(2*time.Minute, 40, 500, 100)
	for i := 0; s.begun == 0 && i < 900; i++ {
		s.run(time.Second, 40, 900, 165) // 36,000 and 6,600: a writer more would help
	}
	if s.begun != 1 {
		t.Fatalf("%d changes were begun", s.begun)
	}
	var moving uint64
	for id, e := range s.engines {
		if e.s.Phase == Emptying {
			moving = id
			s.ready[id] = s.now.Add(time.Hour) // it empties slowly
		}
	}
	var left []EngineInfo
	dead := 0
	for id := range uint64(12) {
		info := *s.managers[0].infos[id+1]
		if e := s.engines[id+1]; e.s.Role == Prefill && id+1 != moving && dead < 4 {
			e.alive = false
			dead++
			continue
		}
		left = append(left, info)
	}
	s.managers[0].UpdateEngines(s.now, left, nil)
	s.run(30*time.Second, 40, 900, 165)
	if e := s.engines[moving]; e.s.Phase != Steady || e.s.Role != Prefill {
		t.Errorf("it is %+v", e.s)
	}
	found := false
	for _, e := range s.managers[0].TakeResults() {
		found = found || e.Reason == "called back"
	}
	if !found {
		t.Error("nobody said so")
	}
}

func TestTurns(t *testing.T) {
	turns := []TurnOrder{{3, 0, 10 * time.Second}, {3, 1, 10 * time.Second}, {3, 2, 10 * time.Second}}
	had := make([]int, 3)
	for ms := 0; ms < 60000; ms += 100 {
		now := t0.Add(time.Duration(ms) * time.Millisecond)
		n := 0
		for i, turn := range turns {
			// Clocks that are off by up to a fifth of a slot.
			if turn.Allows(now.Add(time.Duration(i-1) * 2 * time.Second)) {
				had[i]++
				n++
			}
		}
		if n > 1 {
			t.Fatalf("%d routers have their turn at %v", n, now)
		}
	}
	if had[0] == 0 || had[1] == 0 || had[2] == 0 {
		t.Errorf("turns %v", had)
	}
	if !(TurnOrder{}).Allows(t0) {
		t.Error("a router alone waits for its turn")
	}
}

// An engine that is still cold is not changed again, however great the need.
func TestColdEnginesStay(t *testing.T) {
	s := newSite(t, 1, 6, 6, func(c *Config) { c.SlowStartTime = time.Hour })
	for _, e := range s.engines {
		e.s.StartedAt = s.now
	}
	s.run(15*time.Minute, 40, 1800, 40)
	if s.begun != 0 {
		t.Errorf("%d cold engines were changed", s.begun)
	}
}

// A router whose plans never fall into its turn plans again when the turn comes.
func TestPlanThatWaitsForItsTurn(t *testing.T) {
	// Slots of five seconds and plans every ten: each plan is made at the start of the other router's slot.
	s := newSite(t, 2, 6, 6, func(c *Config) { c.PlanInterval, c.TurnOrder.SlotLength = 10*time.Second, 5*time.Second })
	for i := range s.managers {
		s.managers[i].cfg.TurnOrder.Index = 1
		s.managers[i].next = s.now.Add(10 * time.Second)
		if i > 0 {
			s.managers[i] = nil
		}
	}
	if s.now.UnixNano()%int64(10*time.Second) != 0 {
		t.Fatal("the test's plans may fall into the turn")
	}
	s.run(15*time.Minute, 40, 1800, 40)
	if s.begun == 0 {
		t.Errorf("no change was begun: %+v", s.managers[0].LastReport().Verdict)
	}
}
