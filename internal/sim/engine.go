package sim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	standin "mintdoor/internal/standin/engine"
	"mintdoor/roles"
)

// simEngine is a simulated engine: the stand-in's model and the engine's side of role changes.
type simEngine struct {
	s            *Sim
	index        int
	cell         int
	fixed        bool
	up           bool
	generation   int
	core         *standin.Core
	initialStage roles.Stage // role before any change
	roleChange   standin.RoleState
	startedAt    time.Time // time of its last start; zero: long ago
	stepping     bool
	tasks        map[*attempt]bool
	held         map[*heldState]bool
	activeFaults [RestartEngine + 1]int
	downtime     time.Duration
	grantedAt    time.Duration // time at which the change in progress was granted; 0: none is
	advancing    bool
}

// heldState is the KV state of a read, which waits at its engine.
type heldState struct {
	engine     *simEngine
	generation int
	task       *standin.Task
}

func newSimEngine(s *Sim, index int, spec Engine) *simEngine {
	e := &simEngine{s: s, index: index, cell: spec.Cell, fixed: spec.FixedRole, up: true, initialStage: spec.Role, tasks: map[*attempt]bool{}, held: map[*heldState]bool{}}
	e.roleChange.Epoch, e.roleChange.Phase = 1, engine.PhaseSteady
	e.core = standin.NewCore(s.specs[e.initialStage], s.wall(), false)
	return e
}

func (e *simEngine) id() decide.ServerID { return decide.ServerID(e.index + 1) }

// stage returns the engine's current role.
func (e *simEngine) stage() roles.Stage {
	if e.roleChange.Swapped {
		return 1 - e.initialStage
	}
	return e.initialStage
}

// nextStage returns the role that the engine is changing to, or its current role if it is not changing.
func (e *simEngine) nextStage() roles.Stage {
	if e.roleChange.Phase != engine.PhaseSteady {
		return 1 - e.stage()
	}
	return e.stage()
}

// state returns the state that the engine reports.
func (e *simEngine) state() roles.RoleState {
	phases := map[string]roles.Phase{engine.PhaseSteady: roles.Steady, engine.PhaseEmptying: roles.Emptying, engine.PhaseChanging: roles.Changing}
	return roles.RoleState{Role: e.stage(), Epoch: roles.Epoch(e.roleChange.Epoch), To: 1 - e.stage(), Phase: phases[e.roleChange.Phase], StartedAt: e.startedAt}
}

// grant answers a change request and reports whether the change was granted.
func (e *simEngine) grant(epoch uint64, to roles.Stage, notice time.Duration) bool {
	names := [...]string{roles.Prefill: engine.StagePrefill, roles.Decode: engine.StageDecode}
	if !e.up || e.fixed || e.activeFaults[RefuseChange] > 0 || to == e.stage() || !e.roleChange.Grant(e.s.wall(), names[to], epoch, notice) {
		return false
	}
	e.grantedAt = max(e.s.now, 1)
	e.s.res.ChangesBegun++
	away := 0
	for _, v := range e.s.engines {
		if v.grantedAt != 0 {
			away++
		}
	}
	e.s.res.MaxAway = max(e.s.res.MaxAway, away)
	e.s.after(notice, e.advance)
	return true
}

// stay handles the request to cancel the change from the given epoch.
func (e *simEngine) stay(epoch uint64) {
	if e.up && e.roleChange.Cancel(epoch) {
		e.endChange()
	}
}

// endChange adds up the time that a change took.
func (e *simEngine) endChange() {
	if e.grantedAt != 0 {
		e.s.res.AwayTime += e.s.now - e.grantedAt
		e.grantedAt = 0
	}
}

// advance takes a role change to its next phase if possible, and otherwise tries again later.
func (e *simEngine) advance() {
	const retryInterval = 20 * time.Millisecond
	if !e.up || e.advancing {
		return
	}
	generation := e.generation
	switch e.roleChange.Phase {
	case engine.PhaseEmptying:
		if e.roleChange.Begin(e.s.wall(), e.core.Empty() && len(e.tasks) == 0) {
			e.advancing = true
			e.s.after(e.s.cfg.RoleChangeTime, func() {
				e.advancing = false
				if e.generation == generation {
					e.completeChange()
				}
			})
			return
		}
		e.advancing = true
		e.s.after(retryInterval, func() { e.advancing = false; e.advance() })
	case engine.PhaseChanging: // the change hung
		e.completeChange()
	}
}

// completeChange ends a role change.
func (e *simEngine) completeChange() {
	switch {
	case e.roleChange.Phase != engine.PhaseChanging || e.activeFaults[HangInChange] > 0:
		return
	case e.activeFaults[DieInChange] > 0:
		e.crash(e.downtime)
		return
	case e.activeFaults[ReturnInOldRole] > 0:
		e.roleChange.End(false)
		e.endChange()
		return
	}
	e.roleChange.End(true)
	e.endChange()
	e.s.res.ChangesDone++
	e.startedAt = e.s.wall()
	e.core = e.core.AfterRoleChange(e.s.specs[e.stage()], e.s.wall(), e.s.cfg.KeepsPrefixCache)
	spec := e.s.specs[e.stage()]
	e.s.res.SlowStartLoss += roles.SlowStartLoss(spec.InitialCapacity, spec.SlowStartTime)
	e.s.recordSplit()
}

// crash stops the engine and restarts it later: cold, in the role that it last had.
func (e *simEngine) crash(downtime time.Duration) {
	if !e.up {
		return
	}
	e.up = false
	e.generation++
	e.stepping = false
	e.advancing = false
	if e.roleChange.Phase != engine.PhaseSteady {
		e.roleChange.End(false)
	}
	e.endChange()
	attempts := slices.SortedFunc(maps.Keys(e.tasks), func(a, b *attempt) int {
		return cmp.Or(a.request.router.index-b.request.router.index, cmp.Compare(a.request.id, b.request.id), a.number-b.number)
	})
	for _, a := range attempts {
		e.s.after(e.s.cfg.NetworkDelay, func() { a.end(decide.Reset, engine.NoReport(), false, 0) })
	}
	clear(e.tasks)
	clear(e.held)
	generation := e.generation
	if downtime > 0 {
		e.s.after(e.s.cfg.CrashListDelay, func() {
			if e.generation == generation && !e.up {
				e.s.setListed(e, false)
			}
		})
	}
	e.s.after(downtime, func() {
		e.up, e.startedAt = true, e.s.wall()
		e.core = standin.NewCore(e.s.specs[e.stage()], e.s.wall(), true)
		e.s.after(e.s.cfg.StartListDelay, func() {
			if e.up && e.generation == generation {
				e.s.setListed(e, true)
			}
		})
	})
}

// nextStep starts the engine's next step, if there is one.
func (e *simEngine) nextStep() {
	if e.stepping || !e.up {
		return
	}
	d := e.core.Step(e.s.wall())
	if d == 0 {
		return
	}
	e.stepping = true
	core, generation := e.core, e.generation
	e.s.after(d, func() {
		if e.generation != generation {
			return
		}
		core.Finish()
		e.stepping = false
		e.nextStep()
	})
}

// enter handles an attempt that arrives at the engine.
func (e *simEngine) enter(a *attempt) {
	s := e.s
	if a.ended || a.cancelled {
		return // cancelled before it arrived
	}
	if !e.up {
		s.after(s.cfg.NetworkDelay, func() { a.end(decide.ConnectFailed, engine.NoReport(), false, 0) })
		return
	}
	if e.core.CountSend(s.wall()) {
		s.addViolation("rule 4: engine %d failed under overload while it was cold", e.index)
		e.crash(5 * time.Second)
		return
	}
	reject := func(noState bool) {
		report := e.core.Report(s.wall())
		s.after(s.cfg.NetworkDelay, func() { a.end(decide.Full, report, noState, 0) })
	}
	if e.roleChange.Phase != engine.PhaseSteady {
		s.res.RejectedInChange++
		if e.roleChange.Phase == engine.PhaseChanging {
			s.res.WrongRoleAttempts++ // it has left the role
		}
		reject(false)
		return
	}
	if e.stage() != a.stage {
		s.res.WrongRoleAttempts++
		reject(false)
		return
	}
	arrivedAt := s.now
	entry := a.request.entry
	a.task = &standin.Task{PromptTokens: entry.PromptTokens, SharedTokens: entry.PrefixTokens, PrefixID: entry.PrefixID}
	generation := e.generation
	if a.stage == roles.Prefill {
		a.task.OnRead = func(cachedTokens int) {
			e.core.RecordLatency(s.now - arrivedAt)
			h := &heldState{e, generation, a.task}
			e.held[h] = true
			delete(e.tasks, a)
			report := e.core.Report(s.wall())
			s.after(s.cfg.NetworkDelay, func() {
				if a.ended || a.cancelled { // cancelled in the meantime
					h.release()
					return
				}
				a.state = h
				a.end(decide.ReadDone, report, false, float64(cachedTokens))
			})
		}
	} else {
		if !a.from.waiting() {
			reject(true)
			return
		}
		a.task.NeedsState = true
		a.task.AnswerTokens = s.outputTokens(entry.OutputTokens)
		a.task.OnAdmitted = func() { s.after(0, func() { e.fetch(a) }) }
		a.task.OnToken = func(first, last bool) {
			if first {
				e.core.RecordLatency(s.now - arrivedAt)
				report := e.core.Report(s.wall())
				s.after(s.cfg.NetworkDelay, func() { a.firstToken(report) })
			}
			if last {
				delete(e.tasks, a)
				report := e.core.Report(s.wall())
				s.after(s.cfg.NetworkDelay, func() { a.end(decide.Served, report, false, 0) })
			}
		}
	}
	if !e.core.Admit(a.task) {
		reject(false)
		return
	}
	e.tasks[a] = true
	e.nextStep()
}

// outputTokens returns the length of an answer.
func (s *Sim) outputTokens(known int) int {
	if known <= 0 {
		known = s.cfg.DefaultOutputTokens
	}
	return min(max(known, 1), max(s.cfg.MaxOutputTokens, 1))
}

// fetch transfers an answer's KV state to the engine: over the engine's port, and over the cell's link if the state
// is in another cell.
func (e *simEngine) fetch(a *attempt) {
	s, generation := e.s, e.generation
	if !e.tasks[a] {
		return
	}
	if !a.from.waiting() {
		e.leave(a)
		report := e.core.Report(s.wall())
		s.after(s.cfg.NetworkDelay, func() { a.end(decide.Full, report, true, 0) })
		return
	}
	tokens := float64(a.request.entry.PromptTokens)
	d := s.cfg.NetworkDelay*2 + seconds(tokens/s.cfg.Decode.PortTokensPerSecond)
	if from := a.from.engine.cell; from != e.cell && s.cfg.LinkTokensPerSecond > 0 {
		free := max(s.links[from], s.now) + seconds(tokens/s.cfg.LinkTokensPerSecond)
		s.links[from] = free
		d = max(d, free-s.now)
	}
	h := a.from
	s.after(d, func() {
		if e.generation != generation || !e.tasks[a] {
			return
		}
		if !h.waiting() {
			e.leave(a)
			report := e.core.Report(s.wall())
			s.after(s.cfg.NetworkDelay, func() { a.end(decide.Full, report, true, 0) })
			return
		}
		h.release()
		e.core.StateFetched(a.task)
		e.nextStep()
	})
}

func seconds(x float64) time.Duration { return time.Duration(x * 1e9) }

// leave removes an attempt from the engine.
func (e *simEngine) leave(a *attempt) {
	if e.tasks[a] {
		delete(e.tasks, a)
		e.core.Remove(a.task)
		e.nextStep()
	}
}

// waiting reports whether the state still waits at its engine.
func (h *heldState) waiting() bool {
	return h != nil && h.engine.up && h.engine.generation == h.generation && h.engine.held[h]
}

// release releases the state; calling it again has no effect.
func (h *heldState) release() {
	if !h.waiting() {
		return
	}
	delete(h.engine.held, h)
	h.engine.core.Remove(h.task)
	h.engine.nextStep()
}
