package engine

import (
	"net/http"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/kserve"
)

// Role changes. The engine grants one change at a time, and only if the request names its current epoch. It performs
// the change by itself: it accepts nothing new, waits until all running work and all holds have ended, changes its
// role, and restarts cold in the next epoch.

// RoleState is an engine's state machine for role changes, without clock or sockets. It outlives the process, as a
// setting on disk would. It is not safe for concurrent use.
type RoleState struct {
	Epoch     uint64
	Phase     string    // engine.PhaseSteady or another engine.Phase constant
	To        string    // the stage that it changes to
	Swapped   bool      // it has its other role, not its first
	notBefore time.Time // the earliest time of the change itself
}

// Grant grants a role change if the engine is steady and at the given epoch. From then on the engine accepts nothing
// new, and it does not change before notice has passed, so that every router can have seen the coming change.
func (r *RoleState) Grant(now time.Time, to string, epoch uint64, notice time.Duration) bool {
	if r.Phase != engine.PhaseSteady || r.Epoch != epoch {
		return false
	}
	r.Phase, r.To, r.notBefore = engine.PhaseEmptying, to, now.Add(notice)
	return true
}

// Cancel cancels a granted change while the engine is emptying.
func (r *RoleState) Cancel(epoch uint64) bool {
	if r.Phase != engine.PhaseEmptying || r.Epoch != epoch {
		return false
	}
	r.Phase = engine.PhaseSteady
	return true
}

// Begin starts the change itself if the engine is empty and the notice has passed.
func (r *RoleState) Begin(now time.Time, empty bool) bool {
	if r.Phase != engine.PhaseEmptying || !empty || now.Before(r.notBefore) {
		return false
	}
	r.Phase = engine.PhaseChanging
	return true
}

// End ends the change, either in the new role or, after a failure, in the old one.
func (r *RoleState) End(done bool) {
	r.Phase = engine.PhaseSteady
	if done {
		r.Epoch++
		r.Swapped = !r.Swapped
	}
}

// stageName returns the name of a spec's stage, as engines report it.
func stageName(spec *Spec) string {
	switch spec.Role {
	case decide.Reader:
		return engine.StagePrefill
	case decide.Writer:
		return engine.StageDecode
	}
	return "both"
}

// otherSpec returns the spec of the role that the engine does not have now, or nil.
func (s *Server) otherSpec() *Spec {
	if s.cfg.OtherRole == nil {
		return nil
	}
	if s.roleState.Swapped {
		return &s.cfg.Spec
	}
	return s.cfg.OtherRole
}

// roleStatus returns the engine's role as it is reported to routers. s.mu is held.
func (s *Server) roleStatus() engine.Role {
	r := engine.Role{Role: stageName(s.spec.Load()), Epoch: s.roleState.Epoch, Phase: s.roleState.Phase,
		Since: s.coldStart, CanChange: s.cfg.OtherRole != nil}
	if r.Phase != engine.PhaseSteady {
		r.To = s.roleState.To
	}
	return r
}

// getRole answers with the engine's role.
func (proc *process) getRole(w http.ResponseWriter, r *http.Request) {
	proc.server.mu.Lock()
	status := proc.server.roleStatus()
	proc.server.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// changeRole grants or refuses a role change.
func (proc *process) changeRole(w http.ResponseWriter, r *http.Request) {
	var q engine.RoleChange
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &q); err != nil {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
		return
	}
	s := proc.server
	s.mu.Lock()
	to := s.otherSpec()
	now := time.Now()
	granted := to != nil && stageName(to) == q.To && s.process == proc && s.faults.maxSize("role_refuse", -1, now) < 0 &&
		s.roleState.Grant(now, q.To, q.Epoch, time.Duration(min(max(q.NoticeMillis, 0), engine.MaxNoticeMillis)*1e6))
	if granted {
		s.log.Info("role", "to", q.To, "epoch", q.Epoch, "asked by", q.Router)
		s.goroutines.Add(1)
		go func() { defer s.goroutines.Done(); proc.runRoleChange(q.Epoch) }()
	}
	status := s.roleStatus()
	s.mu.Unlock()
	writeRole(w, granted, status)
}

// writeRole answers with the engine's role, and with status 409 if the request was refused.
func writeRole(w http.ResponseWriter, granted bool, status engine.Role) {
	code := http.StatusOK
	if !granted {
		code = http.StatusConflict
	}
	writeJSON(w, code, status)
}

// cancelRoleChange cancels a granted role change at a router's request.
func (proc *process) cancelRoleChange(w http.ResponseWriter, r *http.Request) {
	var q engine.RoleChangeCancel
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &q); err != nil {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
		return
	}
	s := proc.server
	s.mu.Lock()
	cancelled := s.process == proc && s.roleState.Cancel(q.Epoch)
	status := s.roleStatus()
	s.mu.Unlock()
	writeRole(w, cancelled, status)
}

// runRoleChange performs a granted role change.
func (proc *process) runRoleChange(epoch uint64) {
	const checkInterval = 5 * time.Millisecond
	s := proc.server
	for { // until it is empty
		sleep(proc.ctx, checkInterval)
		s.mu.Lock()
		if s.process != proc || s.roleState.Phase != engine.PhaseEmptying || s.roleState.Epoch != epoch {
			s.mu.Unlock()
			return // it died, or the change was cancelled
		}
		if s.roleState.Begin(time.Now(), len(proc.model.running)+len(proc.model.queue)+len(proc.states)+len(proc.reservations)+len(proc.reads) == 0) {
			s.mu.Unlock()
			break
		}
		s.mu.Unlock()
	}
	sleep(proc.ctx, s.cfg.RoleChangeTime)
	for { // a hanging change continues when the fault ends
		s.mu.Lock()
		hangs := s.faults.maxSize("role_hang", -1, time.Now()) >= 0
		s.mu.Unlock()
		if !hangs || proc.ctx.Err() != nil {
			break
		}
		sleep(proc.ctx, checkInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.process != proc {
		return
	}
	if restartAfter := s.faults.maxSize("role_die", -1, now); restartAfter >= 0 {
		s.crashLocked(time.Duration(restartAfter * float64(time.Second)))
		return
	}
	done := s.faults.maxSize("role_old", -1, now) < 0
	if done {
		s.spec.Store(s.otherSpec())
	}
	s.roleState.End(done)
	if !done {
		return
	}
	s.coldStart = now
	old := proc.model
	proc.model = newModel(*s.spec.Load(), now, true)
	if s.cfg.KeepsPrefixCache {
		proc.model.cache, proc.model.lru, proc.model.cachedBlocks = old.cache, old.lru, old.cachedBlocks
	}
	proc.reports = nil
	proc.sampleLoad(now)
	s.recordStart(now, true)
	if s.onStart != nil {
		s.onStart(now)
	}
	proc.wakeModel()
}

// Reinstall resets the engine as after the loss of its disk: it restarts at once, in its first role and at its first
// epoch.
func (s *Server) Reinstall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked(time.Millisecond)
	s.roleState = RoleState{Epoch: 1, Phase: engine.PhaseSteady}
	s.spec.Store(&s.cfg.Spec)
}
