// Package sim plays a trace in simulated time. It uses the same decision module, role decisions and engine model as
// the runs on sockets, but no sockets and no waiting, so its results are simulated figures. A run uses one goroutine,
// one clock and one seed, and is reproducible.
package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mintdoor/decide"
	standin "mintdoor/internal/standin/engine"
	"mintdoor/internal/trace"
	"mintdoor/roles"
)

// Engine is one engine of a run.
type Engine struct {
	Cell      int
	Role      roles.Stage
	FixedRole bool // it supports only this role
}

// SplitStep is a split of the engines that is carried out at a fixed time, whatever the traffic.
type SplitStep struct {
	At      time.Duration
	Readers int
}

// Fault is a fault of an engine or a router, for a limited time.
type Fault struct {
	At, Duration time.Duration
	Kind         FaultKind
	Target       int // index of the engine or router
}

// FaultKind is a kind of fault.
type FaultKind uint8

// The kinds of faults.
const (
	CrashEngine     FaultKind = iota // an engine dies and restarts cold after Duration
	RefuseChange                     // an engine grants no change
	HangInChange                     // a change does not end
	DieInChange                      // an engine dies at the end of a change and restarts after Duration
	ReturnInOldRole                  // an engine comes back from a change in its old role
	HideRole                         // an engine does not report its role
	KillRouter                       // a router dies and restarts after Duration
	RestartEngine                    // an engine dies and restarts at once, without a change of the list
)

// Config configures a run.
type Config struct {
	Seed                uint64
	Settings            decide.Settings // its kinds are roles.Prefill and roles.Decode; Index is set for each router
	Weights             []float64       // parts of the traffic by router; nil: equal
	Engines             []Engine
	Prefill             standin.Spec
	Decode              standin.Spec
	RoleChangeTime      time.Duration // duration of a role change
	KeepsPrefixCache    bool          // an engine keeps its prefix cache over a role change
	Roles               *roles.Config // nil: roles do not change and are not checked; TurnOrder is set for each router
	CheckInterval       time.Duration // between two role checks
	Schedule            []SplitStep   // splits carried out at fixed times by asking the engines; requires Roles
	NetworkDelay        time.Duration // one way
	LinkTokensPerSecond float64       // tokens a second out of a cell; 0: no limit
	CrashListDelay      time.Duration // time until the list shows a crash
	StartListDelay      time.Duration // time until the list shows a start
	Faults              []Fault
	Trace               *trace.Trace
	MaxOutputTokens     int
	DefaultOutputTokens int           // output tokens of an answer whose length the trace does not know
	DrainSlack          time.Duration // tolerance beyond the drain grace, for attempts on their way
}

// Result is the result of a run. All figures are simulated.
type Result struct {
	Requests, Served, InTime, Late, Refused, Failed int
	Service                                         float64 // value delivered in time divided by the value requested
	ServiceByInterval                               []float64
	ChangesDone, ChangesBegun                       int           // changes that were completed, and granted
	AwayTime                                        time.Duration // engine time in changes, from grant to return
	// Engine time lost to slow start after changes, as time at full capacity.
	SlowStartLoss time.Duration
	// Attempts that reached an engine that does not serve the stage.
	WrongRoleAttempts int
	RejectedInChange  int      // attempts that reached an engine in a change
	Violations        []string // violations of rules
	UnfinishedChanges int      // changes that had not ended when the run did
	MaxAway           int
	Splits            []SplitStep // number of readers after each change
}

// event is something that happens at a time. Events of the same time happen in the order in which they were
// scheduled.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// Sim is a run in progress.
type Sim struct {
	cfg          Config
	now          time.Duration
	queue        []event // a heap ordered by time
	seq          uint64
	rng          *rand.Rand
	engines      []*simEngine
	routers      []*simRouter
	res          Result
	links        map[int]time.Duration // time at which the link of a cell becomes free
	intervals    []interval            // service over time
	end          time.Duration
	openRequests int
	specs        [roles.Decode + 1]standin.Spec
}

// interval is the service of one part of the run.
type interval struct{ delivered, requested float64 }

// base is the wall time at which runs begin; the turn order depends on it.
var base = time.Unix(1_700_000_000, 0)

func (s *Sim) wall() time.Time { return base.Add(s.now) }

// moduleTime converts a time of the run to the decision module's time.
func moduleTime(d time.Duration) decide.Time { return decide.Time(base.UnixNano()) + decide.Time(d) }

// after schedules an event.
func (s *Sim) after(d time.Duration, run func()) {
	s.seq++
	s.queue = append(s.queue, event{s.now + max(d, 0), s.seq, run})
	for i := len(s.queue) - 1; i > 0; {
		p := (i - 1) / 2
		if !s.less(i, p) {
			break
		}
		s.queue[i], s.queue[p] = s.queue[p], s.queue[i]
		i = p
	}
}

func (s *Sim) less(i, j int) bool {
	a, b := &s.queue[i], &s.queue[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (s *Sim) pop() event {
	first := s.queue[0]
	n := len(s.queue) - 1
	s.queue[0] = s.queue[n]
	s.queue[n] = event{}
	s.queue = s.queue[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && s.less(c+1, c) {
			c++
		}
		if !s.less(c, i) {
			break
		}
		s.queue[i], s.queue[c] = s.queue[c], s.queue[i]
		i = c
	}
	return first
}

// Run plays a run to its end.
func Run(cfg Config) (*Result, error) {
	switch {
	case cfg.Trace == nil || len(cfg.Trace.Entries) == 0:
		return nil, fmt.Errorf("sim: the trace is empty")
	case cfg.Settings.Routers < 1 || len(cfg.Engines) < 2:
		return nil, fmt.Errorf("sim: %d routers and %d engines, expected at least 1 and 2", cfg.Settings.Routers, len(cfg.Engines))
	case len(cfg.Trace.Classes) > len(cfg.Settings.Classes):
		return nil, fmt.Errorf("sim: the trace has %d classes, the settings %d", len(cfg.Trace.Classes), len(cfg.Settings.Classes))
	case cfg.Schedule != nil && cfg.Roles == nil:
		return nil, fmt.Errorf("sim: a schedule requires Roles")
	}
	if cfg.Roles != nil {
		r := *cfg.Roles
		r.Timeouts.CheckInterval, r.Timeouts.ReplyTimeout = cfg.CheckInterval, 2*cfg.NetworkDelay
		cfg.Roles = &r
	}
	s := &Sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x73696d)), links: map[int]time.Duration{}}
	s.specs = [...]standin.Spec{roles.Prefill: cfg.Prefill, roles.Decode: cfg.Decode}
	const intervals = 60
	s.intervals = make([]interval, intervals)
	s.end = cfg.Trace.Length() + time.Second
	for i, e := range cfg.Engines {
		s.engines = append(s.engines, newSimEngine(s, i, e))
	}
	for i := range cfg.Settings.Routers {
		r := &simRouter{s: s, index: i}
		s.routers = append(s.routers, r)
		r.start()
	}
	s.recordSplit()
	for i := range cfg.Faults {
		t := &cfg.Faults[i]
		s.after(t.At, func() { s.inject(t) })
	}
	for i := range cfg.Schedule {
		step := &cfg.Schedule[i]
		s.after(step.At, func() { s.split(step.Readers) })
	}
	s.scheduleArrival(0)
	for len(s.queue) > 0 {
		e := s.pop()
		s.now = e.at
		e.run()
		if s.now > s.end && s.openRequests == 0 {
			break
		}
		if s.now > s.end+time.Hour {
			return nil, fmt.Errorf("sim: %d requests are open an hour after the end", s.openRequests)
		}
	}
	s.finish()
	return &s.res, nil
}

// scheduleArrival schedules the arrival of request i of the trace, which in turn schedules the next one.
func (s *Sim) scheduleArrival(i int) {
	if i == len(s.cfg.Trace.Entries) {
		return
	}
	e := &s.cfg.Trace.Entries[i]
	s.after(e.At-s.now, func() {
		s.scheduleArrival(i + 1)
		s.res.Requests++
		s.intervalOf(e.At).requested += s.cfg.Settings.Classes[e.Class].Value
		if r := s.pickRouter(); r != nil {
			r.arrive(e)
		} else {
			s.res.Failed++
		}
	})
}

func (s *Sim) intervalOf(at time.Duration) *interval {
	return &s.intervals[min(int(int64(at)*int64(len(s.intervals))/int64(s.end)), len(s.intervals)-1)]
}

// pickRouter is the front layer: it picks a running router at random by weight.
func (s *Sim) pickRouter() *simRouter {
	sum := 0.0
	weight := func(i int) float64 {
		if !s.routers[i].up {
			return 0
		}
		if s.cfg.Weights == nil {
			return 1
		}
		return s.cfg.Weights[i]
	}
	for i := range s.routers {
		sum += weight(i)
	}
	x := s.rng.Float64() * sum
	for i, r := range s.routers {
		if w := weight(i); w > 0 {
			if x -= w; x < 0 {
				return r
			}
		}
	}
	return nil
}

func (s *Sim) addViolation(format string, args ...any) {
	const maxViolations = 20
	if len(s.res.Violations) < maxViolations {
		s.res.Violations = append(s.res.Violations, fmt.Sprintf("%v: %s", s.now, fmt.Sprintf(format, args...)))
	}
}

// recordSplit records the current split.
func (s *Sim) recordSplit() {
	readers := 0
	for _, e := range s.engines {
		if e.stage() == roles.Prefill {
			readers++
		}
	}
	s.res.Splits = append(s.res.Splits, SplitStep{s.now, readers})
}

// finish checks what remains and sums up the results.
func (s *Sim) finish() {
	for _, r := range s.routers {
		r.stop()
	}
	for end := s.now + time.Minute; len(s.queue) > 0 && s.queue[0].at < end; {
		e := s.pop()
		s.now = e.at
		e.run()
	}
	delivered, requested := 0.0, 0.0
	for _, p := range s.intervals {
		delivered, requested = delivered+p.delivered, requested+p.requested
		s.res.ServiceByInterval = append(s.res.ServiceByInterval, p.delivered/max(p.requested, 1e-9))
	}
	s.res.Service = delivered / max(requested, 1e-9)
	for _, e := range s.engines {
		if e.up && !e.core.Empty() {
			s.addViolation("rule 5: engine %d still holds something at the end", e.index)
		}
		if e.grantedAt != 0 {
			s.res.UnfinishedChanges++
		}
	}
}

// inject begins a fault and schedules its end.
func (s *Sim) inject(fault *Fault) {
	if fault.Kind == KillRouter {
		r := s.routers[fault.Target%len(s.routers)]
		r.kill()
		s.after(fault.Duration, r.start)
		return
	}
	e := s.engines[fault.Target%len(s.engines)]
	switch fault.Kind {
	case CrashEngine:
		e.crash(fault.Duration)
	case RestartEngine:
		e.crash(0)
	default:
		e.activeFaults[fault.Kind]++
		e.downtime = fault.Duration
		s.after(fault.Duration, func() { e.activeFaults[fault.Kind]--; e.advance() })
	}
}

// split asks engines to change roles until the given number read. Engines with the least load go first, and the last
// one of a role in a cell stays.
func (s *Sim) split(readers int) {
	now := 0
	for _, e := range s.engines {
		if e.nextStage() == roles.Prefill {
			now++
		}
	}
	from, n := roles.Prefill, now-readers
	if n < 0 {
		from, n = roles.Decode, -n
	}
	for ; n > 0; n-- {
		var best *simEngine
		for _, e := range s.engines {
			if e.fixed || !e.up || e.nextStage() != from || e.grantedAt != 0 || s.lastOfRole(e) {
				continue
			}
			if best == nil || e.core.TaskCount() < best.core.TaskCount() {
				best = e
			}
		}
		if best == nil {
			return
		}
		best.grant(best.roleChange.Epoch, 1-from, s.cfg.Roles.Timeouts.NoticePeriod())
	}
}

func (s *Sim) lastOfRole(e *simEngine) bool {
	for _, v := range s.engines {
		if v != e && v.up && v.cell == e.cell && v.nextStage() == e.nextStage() && v.grantedAt == 0 {
			return false
		}
	}
	return true
}
