package engine

import (
	"net/http"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/kserve"
)

// Changes of role. The engine grants one change at a time, from the epoch that was asked from, and carries
// it through by itself: it takes nothing new, waits until what runs and what it holds has ended, changes,
// and comes back cold and under the next epoch.

// RoleState is an engine's side of its changes of role, without clock or sockets: it outlives the process, as a
// setting on disk would. It is not safe for concurrent use.
type RoleState struct {
	Epoch   uint64
	Phase   string // one of engine.PhaseSteady and its like
	To      string // the stage that it changes to
	Swapped bool   // it does the work of its other role
	until   time.Time
}

// Grant grants a change from an epoch, if the engine is steady and at that epoch. It takes nothing new from
// then on, and does not change before notice has passed, so that every router can have seen it on its way.
func (t *RoleState) Grant(now time.Time, to string, epoch uint64, notice time.Duration) bool {
	if t.Phase != engine.PhaseSteady || t.Epoch != epoch {
		return false
	}
	t.Phase, t.To, t.until = engine.PhaseEmptying, to, now.Add(notice)
	return true
}

// Cancel takes a granted change back, while the engine is emptying.
func (t *RoleState) Cancel(epoch uint64) bool {
	if t.Phase != engine.PhaseEmptying || t.Epoch != epoch {
		return false
	}
	t.Phase = engine.PhaseSteady
	return true
}

// Begin begins the change itself, if the engine is empty and notice has passed.
func (t *RoleState) Begin(now time.Time, empty bool) bool {
	if t.Phase != engine.PhaseEmptying || !empty || now.Before(t.until) {
		return false
	}
	t.Phase = engine.PhaseChanging
	return true
}

// End ends the change: in the new role, or for a failure in the old one.
func (t *RoleState) End(done bool) {
	t.Phase = engine.PhaseSteady
	if done {
		t.Epoch++
		t.Swapped = !t.Swapped
	}
}

func stageOf(spec *Spec) string {
	switch spec.Role {
	case decide.Reader:
		return engine.StagePrefill
	case decide.Writer:
		return engine.StageDecode
	}
	return "both"
}

// other is the spec of the role that the engine does not have now, or nil.
func (s *Server) other() *Spec {
	if s.cfg.OtherRole == nil {
		return nil
	}
	if s.role.Swapped {
		return &s.cfg.Spec
	}
	return s.cfg.OtherRole
}

func (s *Server) standing() engine.Role {
	r := engine.Role{Role: stageOf(s.spec.Load()), Epoch: s.role.Epoch, Phase: s.role.Phase, Since: s.since, CanChange: s.cfg.OtherRole != nil}
	if r.Phase != engine.PhaseSteady {
		r.To = s.role.To
	}
	return r
}

func (l *life) tellRole(w http.ResponseWriter, r *http.Request) {
	l.s.mu.Lock()
	standing := l.s.standing()
	l.s.mu.Unlock()
	writeJSON(w, http.StatusOK, standing)
}

func (l *life) changeRole(w http.ResponseWriter, r *http.Request) {
	var q engine.RoleChange
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &q); err != nil {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
		return
	}
	s := l.s
	s.mu.Lock()
	to := s.other()
	now := time.Now()
	grant := to != nil && stageOf(to) == q.To && s.life == l && s.faults.largest("role_refuse", -1, now) < 0 &&
		s.role.Grant(now, q.To, q.Epoch, time.Duration(min(max(q.NoticeMillis, 0), engine.MaxNoticeMillis)*1e6))
	if grant {
		s.log.Info("role", "to", q.To, "epoch", q.Epoch, "asked by", q.Router)
		s.work.Add(1)
		go func() { defer s.work.Done(); l.change(q.Epoch) }()
	}
	standing := s.standing()
	s.mu.Unlock()
	answerRole(w, grant, standing)
}

func answerRole(w http.ResponseWriter, granted bool, standing engine.Role) {
	code := http.StatusOK
	if !granted {
		code = http.StatusConflict
	}
	writeJSON(w, code, standing)
}

func (l *life) stay(w http.ResponseWriter, r *http.Request) {
	var q engine.RoleChangeCancel
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &q); err != nil {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
		return
	}
	s := l.s
	s.mu.Lock()
	taken := s.life == l && s.role.Cancel(q.Epoch)
	standing := s.standing()
	s.mu.Unlock()
	answerRole(w, taken, standing)
}

// change carries a granted change through.
func (l *life) change(epoch uint64) {
	const look = 5 * time.Millisecond
	s := l.s
	for { // until it is empty
		pause(l.ctx, look)
		s.mu.Lock()
		if s.life != l || s.role.Phase != engine.PhaseEmptying || s.role.Epoch != epoch {
			s.mu.Unlock()
			return // it died, or was asked to stay
		}
		if s.role.Begin(time.Now(), len(l.model.running)+len(l.model.queue)+len(l.states)+len(l.places)+len(l.reads) == 0) {
			s.mu.Unlock()
			break
		}
		s.mu.Unlock()
	}
	pause(l.ctx, s.cfg.RoleChangeTime)
	for { // a hanging change goes on when the fault is over
		s.mu.Lock()
		hangs := s.faults.largest("role_hang", -1, time.Now()) >= 0
		s.mu.Unlock()
		if !hangs || l.ctx.Err() != nil {
			break
		}
		pause(l.ctx, look)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.life != l {
		return
	}
	if back := s.faults.largest("role_die", -1, now); back >= 0 {
		s.crashLocked(time.Duration(back * float64(time.Second)))
		return
	}
	done := s.faults.largest("role_old", -1, now) < 0
	if done {
		s.spec.Store(s.other())
	}
	s.role.End(done)
	if !done {
		return
	}
	s.since = now
	old := l.model
	l.model = newModel(*s.spec.Load(), now, true)
	if s.cfg.KeepsPrefixCache {
		l.model.cache, l.model.lru, l.model.cached = old.cache, old.lru, old.cached
	}
	l.reports = nil
	l.sample(now)
	s.recordStart(now, true)
	if s.onStart != nil {
		s.onStart(now)
	}
	l.signal()
}

// Reinstall sets the engine up anew, as after the loss of its disk: it restarts at once, in its first role and at its
// first epoch.
func (s *Server) Reinstall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked(time.Millisecond)
	s.role = RoleState{Epoch: 1, Phase: engine.PhaseSteady}
	s.spec.Store(&s.cfg.Spec)
}
