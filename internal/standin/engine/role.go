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

// roleState is the engine's standing; it outlives the process, as a setting on disk would. The server's
// lock guards it.
type roleState struct {
	epoch uint64
	phase string
	to    string
	since time.Time
	swap  bool // it does the work of Config.Other
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
	if s.cfg.Other == nil {
		return nil
	}
	if s.role.swap {
		return &s.cfg.Spec
	}
	return s.cfg.Other
}

func (s *Server) standing() engine.Role {
	r := engine.Role{Role: stageOf(s.spec.Load()), Epoch: s.role.epoch, Phase: s.role.phase, Since: s.since, Other: s.cfg.Other != nil}
	if r.Phase != engine.PhaseSteady {
		r.To = s.role.to
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
	grant := to != nil && stageOf(to) == q.To && s.role.epoch == q.Epoch && s.role.phase == engine.PhaseSteady && s.life == l &&
		s.faults.largest("role_refuse", -1, time.Now()) < 0
	if grant {
		s.role.phase, s.role.to = engine.PhaseEmptying, q.To
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
	var q engine.RoleStay
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &q); err != nil {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
		return
	}
	s := l.s
	s.mu.Lock()
	taken := s.role.phase == engine.PhaseEmptying && s.role.epoch == q.Epoch && s.life == l
	if taken {
		s.role.phase = engine.PhaseSteady
	}
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
		if s.life != l || s.role.phase != engine.PhaseEmptying || s.role.epoch != epoch {
			s.mu.Unlock()
			return // it died, or was asked to stay
		}
		if len(l.model.running)+len(l.model.queue)+len(l.states)+len(l.places)+len(l.reads) == 0 {
			s.role.phase = engine.PhaseChanging
			s.mu.Unlock()
			break
		}
		s.mu.Unlock()
	}
	pause(l.ctx, s.cfg.Change)
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
	s.role.phase = engine.PhaseSteady
	if s.faults.largest("role_old", -1, now) >= 0 {
		return
	}
	s.spec.Store(s.other())
	s.role.swap = !s.role.swap
	s.role.epoch++
	s.since = now
	old := l.model
	l.model = newModel(*s.spec.Load(), now, true)
	if s.cfg.Keeps {
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
