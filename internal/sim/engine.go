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

func newSimEngine(s *Sim, index int, e Engine) *simEngine {
	u := &simEngine{s: s, index: index, cell: e.Cell, fixed: e.FixedRole, up: true, initialStage: e.Role, tasks: map[*attempt]bool{}, held: map[*heldState]bool{}}
	u.roleChange.Epoch, u.roleChange.Phase = 1, engine.PhaseSteady
	u.core = standin.NewCore(s.specs[u.initialStage], s.wall(), false)
	return u
}

func (u *simEngine) id() decide.ServerID { return decide.ServerID(u.index + 1) }

// stage returns the engine's current role.
func (u *simEngine) stage() roles.Stage {
	if u.roleChange.Swapped {
		return 1 - u.initialStage
	}
	return u.initialStage
}

// nextStage returns the role that the engine is changing to, or its current role if it is not changing.
func (u *simEngine) nextStage() roles.Stage {
	if u.roleChange.Phase != engine.PhaseSteady {
		return 1 - u.stage()
	}
	return u.stage()
}

// state returns the state that the engine reports.
func (u *simEngine) state() roles.RoleState {
	phases := map[string]roles.Phase{engine.PhaseSteady: roles.Steady, engine.PhaseEmptying: roles.Emptying, engine.PhaseChanging: roles.Changing}
	return roles.RoleState{Role: u.stage(), Epoch: roles.Epoch(u.roleChange.Epoch), To: 1 - u.stage(), Phase: phases[u.roleChange.Phase], StartedAt: u.startedAt}
}

// grant answers a change request and reports whether the change was granted.
func (u *simEngine) grant(epoch uint64, to roles.Stage, notice time.Duration) bool {
	names := [...]string{roles.Prefill: engine.StagePrefill, roles.Decode: engine.StageDecode}
	if !u.up || u.fixed || u.activeFaults[RefuseChange] > 0 || to == u.stage() || !u.roleChange.Grant(u.s.wall(), names[to], epoch, notice) {
		return false
	}
	u.grantedAt = max(u.s.now, 1)
	u.s.res.ChangesBegun++
	away := 0
	for _, v := range u.s.engines {
		if v.grantedAt != 0 {
			away++
		}
	}
	u.s.res.MaxAway = max(u.s.res.MaxAway, away)
	u.s.after(notice, u.advance)
	return true
}

// stay handles the request to cancel the change from the given epoch.
func (u *simEngine) stay(epoch uint64) {
	if u.up && u.roleChange.Cancel(epoch) {
		u.endChange()
	}
}

// endChange adds up the time that a change took.
func (u *simEngine) endChange() {
	if u.grantedAt != 0 {
		u.s.res.AwayTime += u.s.now - u.grantedAt
		u.grantedAt = 0
	}
}

// advance takes a role change to its next phase if possible, and otherwise tries again later.
func (u *simEngine) advance() {
	const retryInterval = 20 * time.Millisecond
	if !u.up || u.advancing {
		return
	}
	generation := u.generation
	switch u.roleChange.Phase {
	case engine.PhaseEmptying:
		if u.roleChange.Begin(u.s.wall(), u.core.Empty() && len(u.tasks) == 0) {
			u.advancing = true
			u.s.after(u.s.cfg.RoleChangeTime, func() {
				u.advancing = false
				if u.generation == generation {
					u.completeChange()
				}
			})
			return
		}
		u.advancing = true
		u.s.after(retryInterval, func() { u.advancing = false; u.advance() })
	case engine.PhaseChanging: // the change hung
		u.completeChange()
	}
}

// completeChange ends a role change.
func (u *simEngine) completeChange() {
	switch {
	case u.roleChange.Phase != engine.PhaseChanging || u.activeFaults[HangInChange] > 0:
		return
	case u.activeFaults[DieInChange] > 0:
		u.crash(u.downtime)
		return
	case u.activeFaults[ReturnInOldRole] > 0:
		u.roleChange.End(false)
		u.endChange()
		return
	}
	u.roleChange.End(true)
	u.endChange()
	u.s.res.ChangesDone++
	u.startedAt = u.s.wall()
	u.core = u.core.AfterRoleChange(u.s.specs[u.stage()], u.s.wall(), u.s.cfg.KeepsPrefixCache)
	spec := u.s.specs[u.stage()]
	u.s.res.SlowStartLoss += roles.SlowStartLoss(spec.InitialCapacity, spec.SlowStartTime)
	u.s.recordSplit()
}

// crash stops the engine and restarts it later: cold, in the role that it last had.
func (u *simEngine) crash(downtime time.Duration) {
	if !u.up {
		return
	}
	u.up = false
	u.generation++
	u.stepping = false
	u.advancing = false
	if u.roleChange.Phase != engine.PhaseSteady {
		u.roleChange.End(false)
	}
	u.endChange()
	attempts := slices.SortedFunc(maps.Keys(u.tasks), func(a, b *attempt) int {
		return cmp.Or(a.request.router.index-b.request.router.index, cmp.Compare(a.request.id, b.request.id), a.number-b.number)
	})
	for _, a := range attempts {
		u.s.after(u.s.cfg.NetworkDelay, func() { a.end(decide.Reset, engine.NoReport(), false, 0) })
	}
	clear(u.tasks)
	clear(u.held)
	generation := u.generation
	if downtime > 0 {
		u.s.after(u.s.cfg.CrashListDelay, func() {
			if u.generation == generation && !u.up {
				u.s.setListed(u, false)
			}
		})
	}
	u.s.after(downtime, func() {
		u.up, u.startedAt = true, u.s.wall()
		u.core = standin.NewCore(u.s.specs[u.stage()], u.s.wall(), true)
		u.s.after(u.s.cfg.StartListDelay, func() {
			if u.up && u.generation == generation {
				u.s.setListed(u, true)
			}
		})
	})
}

// nextStep starts the engine's next step, if there is one.
func (u *simEngine) nextStep() {
	if u.stepping || !u.up {
		return
	}
	d := u.core.Step(u.s.wall())
	if d == 0 {
		return
	}
	u.stepping = true
	core, generation := u.core, u.generation
	u.s.after(d, func() {
		if u.generation != generation {
			return
		}
		core.Finish()
		u.stepping = false
		u.nextStep()
	})
}

// enter handles an attempt that arrives at the engine.
func (u *simEngine) enter(a *attempt) {
	s := u.s
	if a.ended || a.cancelled {
		return // cancelled before it arrived
	}
	if !u.up {
		s.after(s.cfg.NetworkDelay, func() { a.end(decide.ConnectFailed, engine.NoReport(), false, 0) })
		return
	}
	if u.core.CountSend(s.wall()) {
		s.addViolation("rule 4: engine %d failed under overload while it was cold", u.index)
		u.crash(5 * time.Second)
		return
	}
	reject := func(noState bool) {
		report := u.core.Report(s.wall())
		s.after(s.cfg.NetworkDelay, func() { a.end(decide.Full, report, noState, 0) })
	}
	if u.roleChange.Phase != engine.PhaseSteady {
		s.res.RejectedInChange++
		if u.roleChange.Phase == engine.PhaseChanging {
			s.res.WrongRoleAttempts++ // it has left the role
		}
		reject(false)
		return
	}
	if u.stage() != a.stage {
		s.res.WrongRoleAttempts++
		reject(false)
		return
	}
	arrivedAt := s.now
	e := a.request.entry
	a.task = &standin.Task{PromptTokens: e.PromptTokens, SharedTokens: e.PrefixTokens, PrefixID: e.PrefixID}
	generation := u.generation
	if a.stage == roles.Prefill {
		a.task.OnRead = func(cachedTokens int) {
			u.core.RecordLatency(s.now - arrivedAt)
			h := &heldState{u, generation, a.task}
			u.held[h] = true
			delete(u.tasks, a)
			report := u.core.Report(s.wall())
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
		a.task.AnswerTokens = s.outputTokens(e.OutputTokens)
		a.task.OnAdmitted = func() { s.after(0, func() { u.fetch(a) }) }
		a.task.OnToken = func(first, last bool) {
			if first {
				u.core.RecordLatency(s.now - arrivedAt)
				report := u.core.Report(s.wall())
				s.after(s.cfg.NetworkDelay, func() { a.firstToken(report) })
			}
			if last {
				delete(u.tasks, a)
				report := u.core.Report(s.wall())
				s.after(s.cfg.NetworkDelay, func() { a.end(decide.Served, report, false, 0) })
			}
		}
	}
	if !u.core.Admit(a.task) {
		reject(false)
		return
	}
	u.tasks[a] = true
	u.nextStep()
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
func (u *simEngine) fetch(a *attempt) {
	s, generation := u.s, u.generation
	if !u.tasks[a] {
		return
	}
	if !a.from.waiting() {
		u.leave(a)
		report := u.core.Report(s.wall())
		s.after(s.cfg.NetworkDelay, func() { a.end(decide.Full, report, true, 0) })
		return
	}
	tokens := float64(a.request.entry.PromptTokens)
	d := s.cfg.NetworkDelay*2 + seconds(tokens/s.cfg.Decode.PortTokensPerSecond)
	if from := a.from.engine.cell; from != u.cell && s.cfg.LinkTokensPerSecond > 0 {
		free := max(s.links[from], s.now) + seconds(tokens/s.cfg.LinkTokensPerSecond)
		s.links[from] = free
		d = max(d, free-s.now)
	}
	h := a.from
	s.after(d, func() {
		if u.generation != generation || !u.tasks[a] {
			return
		}
		if !h.waiting() {
			u.leave(a)
			report := u.core.Report(s.wall())
			s.after(s.cfg.NetworkDelay, func() { a.end(decide.Full, report, true, 0) })
			return
		}
		h.release()
		u.core.StateFetched(a.task)
		u.nextStep()
	})
}

func seconds(x float64) time.Duration { return time.Duration(x * 1e9) }

// leave removes an attempt from the engine.
func (u *simEngine) leave(a *attempt) {
	if u.tasks[a] {
		delete(u.tasks, a)
		u.core.Remove(a.task)
		u.nextStep()
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
