// Package sim plays a trace in simulated time: the same decision module, the same decisions on roles and the
// same engine model as behind sockets, without sockets and without waiting. What it yields are simulated
// figures. One goroutine, one clock, one seed: the same run each time.
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
	Cell  int
	Role  roles.Stage
	Fixed bool // it has only this role
}

// Step is a split that is carried out at a time, whatever the traffic.
type Step struct {
	At      time.Duration
	Readers int
}

// Trouble strikes something for a while.
type Trouble struct {
	At, For time.Duration
	Kind    TroubleKind
	On      int // engine or router
}

// TroubleKind is a kind of trouble.
type TroubleKind uint8

// The kinds of trouble.
const (
	Crash   TroubleKind = iota // an engine dies, and is back after For, cold
	Refuse                     // it grants no change
	Hang                       // a change does not end
	Die                        // it dies at the end of a change, and is back after For
	Old                        // it comes back in its old role
	Mute                       // it does not tell its role
	Kill                       // a router dies, and is back after For
	Restart                    // an engine dies and is back at once, without a word of the list
)

// Config is a run.
type Config struct {
	Seed       uint64
	Settings   decide.Settings // its kinds are those of roles.Prefill and roles.Decode; Index is set by router
	Weights    []float64       // parts of the traffic by router; nil: equal
	Engines    []Engine
	Prefill    standin.Spec
	Decode     standin.Spec
	Change     time.Duration // an engine takes for a change
	Keeps      bool          // it keeps its texts over one
	Roles      *roles.Config // nil: roles stay, and nobody asks for them; Turn is set by router
	Look       time.Duration // between askings for roles
	Schedule   []Step        // a split by the clock, carried out by asking the engines; Roles has to be set
	Net        time.Duration // one way
	Link       float64       // tokens a second out of a cell; 0: no bound
	Silent     time.Duration // until the list knows of a crash
	Add        time.Duration // until it knows of a start
	Troubles   []Trouble
	Trace      *trace.Trace
	MaxAnswer  int           // tokens
	Unknown    int           // tokens of an answer that the trace does not know
	CheckDelay time.Duration // beyond the drain's grace, for what is on its way
}

// Result is what a run came to. All figures are simulated.
type Result struct {
	Asked, Served, InTime, Late, Refused, Failed int
	Service                                      float64 // worth in time over worth asked
	Parts                                        []float64
	Changes, Begun                               int           // changes that were carried through, and granted
	Away                                         time.Duration // engines' time in changes, from grant to return
	ColdLost                                     time.Duration // and what coldness took after them, as full time
	WrongRole                                    int           // attempts that reached an engine that does not do the stage
	Turned                                       int           // that reached one on its way
	Broken                                       []string      // rules that were broken
	Stuck                                        int           // changes that had not ended when the run had
	MostAway                                     int
	Splits                                       []Step // the split as it was, by change
}

// event is something to happen. Events of one time happen in the order in which they were made.
type event struct {
	at   time.Duration
	seq  uint64
	what func()
}

// Sim is a run under way.
type Sim struct {
	cfg   Config
	now   time.Duration
	queue []event // a heap
	seq   uint64
	rng   *rand.Rand
	units []*unit
	nodes []*node
	res   Result
	links map[int]time.Duration // when the link of a cell is free
	parts []part                // service over time
	end   time.Duration
	open  int
	calls [roles.Decode + 1]standin.Spec
}

// part is the service of a part of the run.
type part struct{ got, asked float64 }

// base is the wall time at which runs begin; turns hang on it.
var base = time.Unix(1_700_000_000, 0)

func (s *Sim) wall() time.Time { return base.Add(s.now) }

// module is a time as the decision module has it.
func module(d time.Duration) decide.Time { return decide.Time(base.UnixNano()) + decide.Time(d) }

// after makes something happen later.
func (s *Sim) after(d time.Duration, what func()) {
	s.seq++
	s.queue = append(s.queue, event{s.now + max(d, 0), s.seq, what})
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
		return nil, fmt.Errorf("sim: a schedule needs roles that are followed")
	}
	if cfg.Roles != nil {
		r := *cfg.Roles
		r.Timeouts.CheckInterval, r.Timeouts.ReplyTimeout = cfg.Look, 2*cfg.Net
		cfg.Roles = &r
	}
	s := &Sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x73696d)), links: map[int]time.Duration{}}
	s.calls = [...]standin.Spec{roles.Prefill: cfg.Prefill, roles.Decode: cfg.Decode}
	const partsOf = 60
	s.parts = make([]part, partsOf)
	s.end = cfg.Trace.Length() + time.Second
	for i, e := range cfg.Engines {
		s.units = append(s.units, newUnit(s, i, e))
	}
	for i := range cfg.Settings.Routers {
		n := &node{s: s, index: i}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	s.noteSplit()
	for i := range cfg.Troubles {
		t := &cfg.Troubles[i]
		s.after(t.At, func() { s.strike(t) })
	}
	for i := range cfg.Schedule {
		step := &cfg.Schedule[i]
		s.after(step.At, func() { s.split(step.Readers) })
	}
	s.arrival(0)
	for len(s.queue) > 0 {
		e := s.pop()
		s.now = e.at
		e.what()
		if s.now > s.end && s.open == 0 {
			break
		}
		if s.now > s.end+time.Hour {
			return nil, fmt.Errorf("sim: %d requests are open an hour after the end", s.open)
		}
	}
	s.finish()
	return &s.res, nil
}

// arrival lets a request of the trace come, and the next be waited for.
func (s *Sim) arrival(i int) {
	if i == len(s.cfg.Trace.Entries) {
		return
	}
	e := &s.cfg.Trace.Entries[i]
	s.after(e.At-s.now, func() {
		s.arrival(i + 1)
		s.res.Asked++
		s.partOf(e.At).asked += s.cfg.Settings.Classes[e.Class].Value
		if n := s.pick(); n != nil {
			n.arrive(e)
		} else {
			s.res.Failed++
		}
	})
}

func (s *Sim) partOf(at time.Duration) *part {
	return &s.parts[min(int(int64(at)*int64(len(s.parts))/int64(s.end)), len(s.parts)-1)]
}

// pick is the front layer: a router that is up, by its weight.
func (s *Sim) pick() *node {
	sum := 0.0
	weight := func(i int) float64 {
		if !s.nodes[i].up {
			return 0
		}
		if s.cfg.Weights == nil {
			return 1
		}
		return s.cfg.Weights[i]
	}
	for i := range s.nodes {
		sum += weight(i)
	}
	x := s.rng.Float64() * sum
	for i, n := range s.nodes {
		if w := weight(i); w > 0 {
			if x -= w; x < 0 {
				return n
			}
		}
	}
	return nil
}

func (s *Sim) broken(format string, args ...any) {
	const most = 20
	if len(s.res.Broken) < most {
		s.res.Broken = append(s.res.Broken, fmt.Sprintf("%v: %s", s.now, fmt.Sprintf(format, args...)))
	}
}

// noteSplit keeps the split as it is now.
func (s *Sim) noteSplit() {
	readers := 0
	for _, u := range s.units {
		if u.stage() == roles.Prefill {
			readers++
		}
	}
	s.res.Splits = append(s.res.Splits, Step{s.now, readers})
}

// finish checks what is left, and sums up.
func (s *Sim) finish() {
	for _, n := range s.nodes {
		n.stop()
	}
	for end := s.now + time.Minute; len(s.queue) > 0 && s.queue[0].at < end; {
		e := s.pop()
		s.now = e.at
		e.what()
	}
	got, asked := 0.0, 0.0
	for _, p := range s.parts {
		got, asked = got+p.got, asked+p.asked
		s.res.Parts = append(s.res.Parts, p.got/max(p.asked, 1e-9))
	}
	s.res.Service = got / max(asked, 1e-9)
	for _, u := range s.units {
		if u.up && !u.core.Empty() {
			s.broken("rule 5: engine %d still holds something", u.index)
		}
		if u.granted != 0 {
			s.res.Stuck++
		}
	}
}

// strike begins a trouble and ends it.
func (s *Sim) strike(t *Trouble) {
	if t.Kind == Kill {
		n := s.nodes[t.On%len(s.nodes)]
		n.kill()
		s.after(t.For, n.start)
		return
	}
	u := s.units[t.On%len(s.units)]
	switch t.Kind {
	case Crash:
		u.crash(t.For)
	case Restart:
		u.crash(0)
	default:
		u.faults[t.Kind]++
		u.dieFor = t.For
		s.after(t.For, func() { u.faults[t.Kind]--; u.look() })
	}
}

// split asks engines for a split. Those that carry least go first; the last of a role in a cell stays.
func (s *Sim) split(readers int) {
	now := 0
	for _, u := range s.units {
		if u.will() == roles.Prefill {
			now++
		}
	}
	from, n := roles.Prefill, now-readers
	if n < 0 {
		from, n = roles.Decode, -n
	}
	for ; n > 0; n-- {
		var best *unit
		for _, u := range s.units {
			if u.fixed || !u.up || u.will() != from || u.granted != 0 || s.lastOf(u) {
				continue
			}
			if best == nil || u.core.TaskCount() < best.core.TaskCount() {
				best = u
			}
		}
		if best == nil {
			return
		}
		best.grant(best.turns.Epoch, 1-from, s.cfg.Roles.Timeouts.NoticePeriod())
	}
}

func (s *Sim) lastOf(u *unit) bool {
	for _, v := range s.units {
		if v != u && v.up && v.cell == u.cell && v.will() == u.will() && v.granted == 0 {
			return false
		}
	}
	return true
}
