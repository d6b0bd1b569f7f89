package engine

import (
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
)

// Core is the stand-in's model without sockets, for simulated time. It is the same model that runs behind the
// sockets; the caller passes the time. It is not safe for concurrent use. The callbacks of a Task are called from
// within Core's methods and must not call Core.
type Core struct {
	model        *model
	planned      []*seq
	plannedReads []int
	reports      []loadSample
}

// Task is a read or an answer in a Core.
type Task struct {
	PromptTokens, SharedTokens int                    // tokens
	SessionID, PrefixID        string                 // keys in the prefix cache
	AnswerTokens               int                    // tokens to write; 0: a read, whose KV state stays until Remove
	NeedsState                 bool                   // an answer that cannot begin before StateFetched
	OnAdmitted                 func()                 // called when the task has a slot and memory
	OnRead                     func(cached int)       // called when a read has finished
	OnToken                    func(first, last bool) // called at the first and at the last token of an answer

	seq seq
}

// NewCore returns an engine that starts at a time, either cold or warm.
func NewCore(spec Spec, now time.Time, cold bool) *Core {
	c := &Core{model: newModel(spec, now, cold)}
	c.Report(now)
	return c
}

// AfterRoleChange returns the engine after a role change: cold, without tasks, and without cached prefixes unless it
// keeps its prefix cache.
func (c *Core) AfterRoleChange(spec Spec, now time.Time, keepsCache bool) *Core {
	n := NewCore(spec, now, true)
	if keepsCache {
		n.model.cache, n.model.lru, n.model.cachedBlocks = c.model.cache, c.model.lru, c.model.cachedBlocks
	}
	return n
}

// SetSlowdown makes everything that the engine does slower by a factor.
func (c *Core) SetSlowdown(factor float64) { c.model.slowdown = factor }

// CountSend counts a send against the slow-start budget of a cold engine (the slow-start rule) and reports whether
// the engine has failed under overload.
func (c *Core) CountSend(now time.Time) bool {
	c.model.countSend(now)
	return c.model.overloaded
}

// Admit adds a task. It returns false if slots and queue are full.
func (c *Core) Admit(t *Task) bool {
	t.seq = seq{promptTokens: max(t.PromptTokens, 1), sharedTokens: t.SharedTokens, sessionID: t.SessionID, prefixID: t.PrefixID,
		answerTokens: t.AnswerTokens, needsState: t.NeedsState}
	t.seq.hooks = &hooks{admitted: t.OnAdmitted, event: func(e event) {
		switch {
		case t.AnswerTokens == 0:
			t.OnRead(t.seq.cached)
		case e.token == 1 || e.last:
			t.OnToken(e.token == 1, e.last)
		}
	}}
	return c.model.admit(&t.seq) == nil
}

// StateFetched marks that an answer's KV state has arrived.
func (c *Core) StateFetched(t *Task) { c.model.stateFetched(&t.seq) }

// Remove takes a task out, queued or running, and frees a read's KV state.
func (c *Core) Remove(t *Task) { c.model.remove(&t.seq) }

// RecordLatency records how long a read or a first token took, for the load report.
func (c *Core) RecordLatency(d time.Duration) { c.model.recordLatency(d) }

// Step plans a step and returns its duration, or 0 if there is nothing to do. Finish has to follow.
func (c *Core) Step(now time.Time) time.Duration {
	if !c.model.busy() {
		return 0
	}
	var d time.Duration
	d, c.plannedReads = c.model.planStep(now)
	c.planned = append(c.planned[:0], c.model.running...)
	return d
}

// Finish applies the planned step.
func (c *Core) Finish() { c.model.finishStep(c.planned, c.plannedReads) }

// Empty reports whether nothing runs, waits or is held.
func (c *Core) Empty() bool {
	return c.model.usedBlocks == 0 && len(c.model.queue) == 0 && len(c.model.running) == 0
}

// TaskCount returns how many tasks run or wait.
func (c *Core) TaskCount() int { return len(c.model.queue) + len(c.model.running) }

// Report returns the engine's load report: a sample that is at least ReportDelay old, if there is one.
func (c *Core) Report(now time.Time) decide.Report {
	spec := &c.model.spec
	if n := len(c.reports); n == 0 || now.Sub(c.reports[n-1].at) >= spec.ReportInterval {
		memoryUse, queuedTokens, latency := c.model.load()
		c.reports = append(c.reports, loadSample{now,
			engine.LoadReport{MemoryUse: &memoryUse, QueuedTokens: &queuedTokens, LatencyMillis: &latency}})
	}
	for len(c.reports) > 1 && now.Sub(c.reports[1].at) >= spec.ReportDelay {
		c.reports = c.reports[1:]
	}
	return c.reports[0].load.Report()
}

// Capacity returns the tokens per second that an engine of the spec reads, or writes with all slots in use.
func (s *Spec) Capacity() float64 { return s.capacity() }
