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
	PromptTokens, SharedTokens int    // tokens
	SessionID, PrefixID        string // keys of what may be kept
	AnswerTokens               int    // tokens to write; 0: a read, whose state stays until Free
	NeedsState                 bool   // an answer that waits for its state: Fetched lets it begin
	OnAdmitted                 func() // it has a slot and memory
	OnRead                     func(kept int)
	OnToken                    func(first, last bool)

	q seq
}

// NewCore returns an engine that starts at a time, cold or long since warm.
func NewCore(spec Spec, now time.Time, cold bool) *Core {
	c := &Core{m: newModel(spec, now, cold)}
	c.Report(now)
	return c
}

// AfterRoleChange is the engine after a change of role: cold, and empty unless it keeps its texts.
func (c *Core) AfterRoleChange(spec Spec, now time.Time, keeps bool) *Core {
	n := NewCore(spec, now, true)
	if keeps {
		n.m.cache, n.m.lru, n.m.cached = c.m.cache, c.m.lru, c.m.cached
	}
	return n
}

// SetSlowdown makes all that the engine does so many times slower.
func (c *Core) SetSlowdown(times float64) { c.m.slow = times }

// CountSend counts a send against the budget of a cold engine (rule 4) and tells whether it fell by it.
func (c *Core) CountSend(now time.Time) bool {
	c.m.weigh(now)
	return c.m.fallen
}

// Admit takes a task in, or tells that slots and queue are full.
func (c *Core) Admit(t *Task) bool {
	t.q = seq{prompt: max(t.PromptTokens, 1), shared: t.SharedTokens, session: t.SessionID, text: t.PrefixID, answer: t.AnswerTokens, wantsState: t.NeedsState}
	t.q.hooks = &hooks{granted: t.OnAdmitted, event: func(e event) {
		switch {
		case t.AnswerTokens == 0:
			t.OnRead(t.q.kept)
		case e.token == 1 || e.last:
			t.OnToken(e.token == 1, e.last)
		}
	}}
	return c.m.admit(&t.q) == nil
}

// StateFetched tells that an answer's state has come.
func (c *Core) StateFetched(t *Task) { c.m.fetched(&t.q) }

// Remove takes a task out, wherever it is, and frees a read's state.
func (c *Core) Remove(t *Task) { c.m.leave(&t.q) }

// RecordLatency takes in how long a read or a first token took, for the load report.
func (c *Core) RecordLatency(d time.Duration) { c.m.waited(d) }

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

// TaskCount is how many tasks run and wait.
func (c *Core) TaskCount() int { return len(c.m.queue) + len(c.m.running) }

// Report is what the engine tells of its load: a sample of some time ago.
func (c *Core) Report(now time.Time) decide.Report {
	spec := &c.m.spec
	if n := len(c.reports); n == 0 || now.Sub(c.reports[n-1].at) >= spec.ReportInterval {
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
