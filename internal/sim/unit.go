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

// unit is an engine: the stand-in's model, and its side of changes of role.
type unit struct {
	s        *Sim
	index    int
	cell     int
	fixed    bool
	up       bool
	life     int
	core     *standin.Core
	first    roles.Stage // its role before any change
	turns    standin.RoleState
	since    time.Time // of its last start; zero: long ago
	stepping bool
	tasks    map[*attempt]bool
	held     map[*held]bool
	faults   [Restart + 1]int
	dieFor   time.Duration
	granted  time.Duration // when the change under way was; 0: none is
	looking  bool
}

// held is a read state that waits at its engine.
type held struct {
	u    *unit
	life int
	task *standin.Task
}

func newUnit(s *Sim, index int, e Engine) *unit {
	u := &unit{s: s, index: index, cell: e.Cell, fixed: e.Fixed, up: true, first: e.Role, tasks: map[*attempt]bool{}, held: map[*held]bool{}}
	u.turns.Epoch, u.turns.Phase = 1, engine.PhaseSteady
	u.core = standin.NewCore(s.calls[u.first], s.wall(), false)
	return u
}

func (u *unit) id() decide.ServerID { return decide.ServerID(u.index + 1) }

// stage is the role that it has, will the one that it has or is on its way to.
func (u *unit) stage() roles.Stage {
	if u.turns.Swapped {
		return 1 - u.first
	}
	return u.first
}

func (u *unit) will() roles.Stage {
	if u.turns.Phase != engine.PhaseSteady {
		return 1 - u.stage()
	}
	return u.stage()
}

// standing is its word on its role.
func (u *unit) standing() roles.RoleState {
	phases := map[string]roles.Phase{engine.PhaseSteady: roles.Steady, engine.PhaseEmptying: roles.Emptying, engine.PhaseChanging: roles.Changing}
	return roles.RoleState{Role: u.stage(), Epoch: roles.Epoch(u.turns.Epoch), To: 1 - u.stage(), Phase: phases[u.turns.Phase], StartedAt: u.since}
}

// grant answers an asking for a change.
func (u *unit) grant(epoch uint64, to roles.Stage, notice time.Duration) bool {
	names := [...]string{roles.Prefill: engine.StagePrefill, roles.Decode: engine.StageDecode}
	if !u.up || u.fixed || u.faults[Refuse] > 0 || to == u.stage() || !u.turns.Grant(u.s.wall(), names[to], epoch, notice) {
		return false
	}
	u.granted = max(u.s.now, 1)
	u.s.res.Begun++
	away := 0
	for _, v := range u.s.units {
		if v.granted != 0 {
			away++
		}
	}
	u.s.res.MostAway = max(u.s.res.MostAway, away)
	u.s.after(notice, u.look)
	return true
}

func (u *unit) stay(epoch uint64) {
	if u.up && u.turns.Cancel(epoch) {
		u.ended()
	}
}

// ended counts the time that a change took.
func (u *unit) ended() {
	if u.granted != 0 {
		u.s.res.Away += u.s.now - u.granted
		u.granted = 0
	}
}

// look goes on with a change, if it can.
func (u *unit) look() {
	const again = 20 * time.Millisecond
	if !u.up || u.looking {
		return
	}
	life := u.life
	switch u.turns.Phase {
	case engine.PhaseEmptying:
		if u.turns.Begin(u.s.wall(), u.core.Empty() && len(u.tasks) == 0) {
			u.looking = true
			u.s.after(u.s.cfg.Change, func() {
				u.looking = false
				if u.life == life {
					u.change()
				}
			})
			return
		}
		u.looking = true
		u.s.after(again, func() { u.looking = false; u.look() })
	case engine.PhaseChanging: // it hung
		u.change()
	}
}

// change is the end of a change.
func (u *unit) change() {
	switch {
	case u.turns.Phase != engine.PhaseChanging || u.faults[Hang] > 0:
		return
	case u.faults[Die] > 0:
		u.crash(u.dieFor)
		return
	case u.faults[Old] > 0:
		u.turns.End(false)
		u.ended()
		return
	}
	u.turns.End(true)
	u.ended()
	u.s.res.Changes++
	u.since = u.s.wall()
	u.core = u.core.AfterRoleChange(u.s.calls[u.stage()], u.s.wall(), u.s.cfg.Keeps)
	spec := u.s.calls[u.stage()]
	u.s.res.ColdLost += roles.SlowStartLoss(spec.InitialCapacity, spec.SlowStartTime)
	u.s.noteSplit()
}

// crash takes the engine down, and brings it up later: cold, in the role that it last had.
func (u *unit) crash(back time.Duration) {
	if !u.up {
		return
	}
	u.up = false
	u.life++
	u.stepping = false
	u.looking = false
	if u.turns.Phase != engine.PhaseSteady {
		u.turns.End(false)
	}
	u.ended()
	out := slices.SortedFunc(maps.Keys(u.tasks), func(a, b *attempt) int {
		return cmp.Or(a.f.n.index-b.f.n.index, cmp.Compare(a.f.id, b.f.id), a.number-b.number)
	})
	for _, a := range out {
		u.s.after(u.s.cfg.Net, func() { a.over(decide.Reset, engine.NoReport(), false, 0) })
	}
	clear(u.tasks)
	clear(u.held)
	life := u.life
	if back > 0 {
		u.s.after(u.s.cfg.Silent, func() {
			if u.life == life && !u.up {
				u.s.listed(u, false)
			}
		})
	}
	u.s.after(back, func() {
		u.up, u.since = true, u.s.wall()
		u.core = standin.NewCore(u.s.calls[u.stage()], u.s.wall(), true)
		u.s.after(u.s.cfg.Add, func() {
			if u.up && u.life == life {
				u.s.listed(u, true)
			}
		})
	})
}

// kick starts the engine's next step, if there is one.
func (u *unit) kick() {
	if u.stepping || !u.up {
		return
	}
	d := u.core.Step(u.s.wall())
	if d == 0 {
		return
	}
	u.stepping = true
	core, life := u.core, u.life
	u.s.after(d, func() {
		if u.life != life {
			return
		}
		core.Finish()
		u.stepping = false
		u.kick()
	})
}

// enter takes an attempt in at the engine's door.
func (u *unit) enter(a *attempt) {
	s := u.s
	if a.ended || a.ending {
		return // called off on its way
	}
	if !u.up {
		s.after(s.cfg.Net, func() { a.over(decide.ConnectFailed, engine.NoReport(), false, 0) })
		return
	}
	if u.core.CountSend(s.wall()) {
		s.broken("rule 4: engine %d was pushed over while it was cold", u.index)
		u.crash(5 * time.Second)
		return
	}
	turn := func(noState bool) {
		report := u.core.Report(s.wall())
		s.after(s.cfg.Net, func() { a.over(decide.Full, report, noState, 0) })
	}
	if u.turns.Phase != engine.PhaseSteady {
		s.res.Turned++
		if u.turns.Phase == engine.PhaseChanging {
			s.res.WrongRole++ // it has left the role
		}
		turn(false)
		return
	}
	if u.stage() != a.stage {
		s.res.WrongRole++
		turn(false)
		return
	}
	began := s.now
	e := a.f.entry
	a.task = &standin.Task{PromptTokens: e.PromptTokens, SharedTokens: e.PrefixTokens, PrefixID: e.PrefixID}
	life := u.life
	if a.stage == roles.Prefill {
		a.task.OnRead = func(kept int) {
			u.core.RecordLatency(s.now - began)
			h := &held{u, life, a.task}
			u.held[h] = true
			delete(u.tasks, a)
			report := u.core.Report(s.wall())
			s.after(s.cfg.Net, func() {
				if a.ended || a.ending { // given up meanwhile: it is called off
					h.free()
					return
				}
				a.state = h
				a.over(decide.ReadDone, report, false, float64(kept))
			})
		}
	} else {
		if !a.from.there() {
			turn(true)
			return
		}
		a.task.NeedsState = true
		a.task.AnswerTokens = s.answer(e.OutputTokens)
		a.task.OnAdmitted = func() { s.after(0, func() { u.fetch(a) }) }
		a.task.OnToken = func(first, last bool) {
			if first {
				u.core.RecordLatency(s.now - began)
				report := u.core.Report(s.wall())
				s.after(s.cfg.Net, func() { a.begun(report) })
			}
			if last {
				delete(u.tasks, a)
				report := u.core.Report(s.wall())
				s.after(s.cfg.Net, func() { a.over(decide.Served, report, false, 0) })
			}
		}
	}
	if !u.core.Admit(a.task) {
		turn(false)
		return
	}
	u.tasks[a] = true
	u.kick()
}

// answer is how long an answer is.
func (s *Sim) answer(known int) int {
	if known <= 0 {
		known = s.cfg.Unknown
	}
	return min(max(known, 1), max(s.cfg.MaxAnswer, 1))
}

// fetch moves an answer's state to the engine: over its port, and over the cell's link if it comes from another.
func (u *unit) fetch(a *attempt) {
	s, life := u.s, u.life
	if !u.tasks[a] {
		return
	}
	if !a.from.there() {
		u.leave(a)
		report := u.core.Report(s.wall())
		s.after(s.cfg.Net, func() { a.over(decide.Full, report, true, 0) })
		return
	}
	tokens := float64(a.f.entry.PromptTokens)
	d := s.cfg.Net*2 + seconds(tokens/s.cfg.Decode.PortTokensPerSecond)
	if from := a.from.u.cell; from != u.cell && s.cfg.Link > 0 {
		free := max(s.links[from], s.now) + seconds(tokens/s.cfg.Link)
		s.links[from] = free
		d = max(d, free-s.now)
	}
	h := a.from
	s.after(d, func() {
		if u.life != life || !u.tasks[a] {
			return
		}
		if !h.there() {
			u.leave(a)
			report := u.core.Report(s.wall())
			s.after(s.cfg.Net, func() { a.over(decide.Full, report, true, 0) })
			return
		}
		h.free()
		u.core.StateFetched(a.task)
		u.kick()
	})
}

func seconds(x float64) time.Duration { return time.Duration(x * 1e9) }

// leave takes an attempt out.
func (u *unit) leave(a *attempt) {
	if u.tasks[a] {
		delete(u.tasks, a)
		u.core.Remove(a.task)
		u.kick()
	}
}

// there tells whether a state still waits.
func (h *held) there() bool { return h != nil && h.u.up && h.u.life == h.life && h.u.held[h] }

// free lets a state go; again is nothing.
func (h *held) free() {
	if !h.there() {
		return
	}
	delete(h.u.held, h)
	h.u.core.Remove(h.task)
	h.u.kick()
}
