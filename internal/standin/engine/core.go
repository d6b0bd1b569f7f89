package engine

import (
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
)

// Core is the stand-in's model without sockets, for simulated time: the one that runs behind the sockets, told
// the time by its caller. It is not safe for concurrent use. What Task says that it calls is called from within
// Core's methods and may not call back.
type Core struct {
	m       *model
	planned []*seq
	reads   []int
	reports []report
}

// Task is a read or an answer in a Core.
type Task struct {
	Prompt, Shared int    // tokens
	Session, Text  string // keys of what may be kept
	Answer         int    // tokens to write; 0: a read, whose state stays until Free
	State          bool   // an answer that waits for its state: Fetched lets it begin
	Granted        func() // it has a slot and memory
	Read           func(kept int)
	Token          func(first, last bool)

	q seq
}

// NewCore returns an engine that starts at a time, cold or long since warm.
func NewCore(spec Spec, now time.Time, cold bool) *Core {
	c := &Core{m: newModel(spec, now, cold)}
	c.Report(now)
	return c
}

// Next is the engine after a change of role: cold, and empty unless it keeps its texts.
func (c *Core) Next(spec Spec, now time.Time, keeps bool) *Core {
	n := NewCore(spec, now, true)
	if keeps {
		n.m.cache, n.m.lru, n.m.cached = c.m.cache, c.m.lru, c.m.cached
	}
	return n
}

// Slow makes all that the engine does so many times slower.
func (c *Core) Slow(times float64) { c.m.slow = times }

// Weigh counts a send against the budget of a cold engine (rule 4) and tells whether it fell by it.
func (c *Core) Weigh(now time.Time) bool {
	c.m.weigh(now)
	return c.m.fallen
}

// Admit takes a task in, or tells that slots and queue are full.
func (c *Core) Admit(t *Task) bool {
	t.q = seq{prompt: max(t.Prompt, 1), shared: t.Shared, session: t.Session, text: t.Text, answer: t.Answer, wantsState: t.State}
	t.q.hooks = &hooks{granted: t.Granted, event: func(e event) {
		switch {
		case t.Answer == 0:
			t.Read(t.q.kept)
		case e.token == 1 || e.last:
			t.Token(e.token == 1, e.last)
		}
	}}
	return c.m.admit(&t.q) == nil
}

// Fetched tells that an answer's state has come.
func (c *Core) Fetched(t *Task) { c.m.fetched(&t.q) }

// Leave takes a task out, wherever it is, and frees a read's state.
func (c *Core) Leave(t *Task) { c.m.leave(&t.q) }

// Waited takes in how long a read or a first token took, for the load report.
func (c *Core) Waited(d time.Duration) { c.m.waited(d) }

// Step plans a step and returns how long it takes; 0: there is nothing to do. Finish has to follow.
func (c *Core) Step(now time.Time) time.Duration {
	if !c.m.busy() {
		return 0
	}
	var d time.Duration
	d, c.reads = c.m.step(now)
	c.planned = append(c.planned[:0], c.m.running...)
	return d
}

// Finish applies the step that was planned.
func (c *Core) Finish() { c.m.finish(c.planned, c.reads) }

// Empty tells whether nothing runs, waits or is held.
func (c *Core) Empty() bool { return c.m.used == 0 && len(c.m.queue) == 0 && len(c.m.running) == 0 }

// Load is how many tasks run and wait.
func (c *Core) Load() int { return len(c.m.queue) + len(c.m.running) }

// Report is what the engine tells of its load: a sample of some time ago.
func (c *Core) Report(now time.Time) decide.Report {
	spec := &c.m.spec
	if n := len(c.reports); n == 0 || now.Sub(c.reports[n-1].at) >= spec.ReportEvery {
		share, waiting, latency := c.m.load()
		c.reports = append(c.reports, report{now, engine.LoadReport{MemoryUse: &share, QueuedTokens: &waiting, LatencyMillis: &latency}})
	}
	for len(c.reports) > 1 && now.Sub(c.reports[1].at) >= spec.ReportDelay {
		c.reports = c.reports[1:]
	}
	return c.reports[0].load.Report()
}

// Capacity is the tokens a second that an engine of the spec reads, or writes with all slots in use.
func (s *Spec) Capacity() float64 { return s.capacity() }
