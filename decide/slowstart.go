package decide

// Cold servers: the budget of rule 4.

import "math"

// isCold tells whether a server may still be warming up.
func (r *Router) isCold(s *server) bool {
	return s.startedAt > 0 && r.now-s.startedAt < r.cfg.SlowStartTime
}

// heldBack tells whether a cold server has to be left alone for now.
func (r *Router) heldBack(s *server) bool {
	return r.isCold(s) && r.now-s.coldSentAt < r.slowStartInterval(s.role, s.coldSentWork)
}

// warmCount counts the ready servers that are not cold. They are counted anew at a change of the list, and
// when the next one has become warm: each cold server that an event looks at asks for the count, and cold
// ones may be thousands.
type warmCount struct {
	n     [Both + 1]int
	until Time // the counts hold before that
}

// warmServers tells how many servers of a role are warm.
func (r *Router) warmServers(role Role) int {
	if r.now >= r.warm.until {
		r.warm = warmCount{until: math.MaxInt64}
		for _, s := range r.byID {
			if !s.ready {
				continue
			}
			if r.isCold(s) {
				r.warm.until = min(r.warm.until, s.startedAt+r.cfg.SlowStartTime)
				continue
			}
			for of := Reader; of <= Both; of++ {
				if s.role&of != 0 {
					r.warm.n[of]++
				}
			}
		}
	}
	return r.warm.n[role]
}

// slowStartInterval is the time to the next send to a cold server after one of the given work (1 is the mean). The
// budget is guessed from the work that a warm one does for this router (no failures), or did when
// the last was there: all may be cold. A router that has not seen answers yet sends nothing.
func (r *Router) slowStartInterval(role Role, work float64) Duration {
	window := float64(r.cfg.OverloadWindow) / float64(Second)
	if r.slowStartBudgets[role] == 0 {
		r.slowStartBudgets[role] = r.slowStartBudget(role, window)
	}
	gap := work * window / r.slowStartBudgets[role] * float64(Second)
	return Duration(min(gap, float64(r.cfg.SlowStartTime)))
}

// slowStartBudget is what this router may send to one cold server of a role in the window of rule 4, in mean work.
func (r *Router) slowStartBudget(role Role, window float64) float64 {
	st := writing
	if role&Writer == 0 {
		st = reading
	}
	if warm := r.warmServers(role); warm > 0 {
		r.workPerWarm[st] = r.completedWork[st].perSecond(r.now) / float64(warm)
	}
	budget := r.cfg.OverloadMultiple * r.cfg.InitialCapacity * r.workPerWarm[st] * window * float64(r.cfg.Routers)
	budget = slowStartMargin * budget * budget / (budget + slowStartDamping) / float64(r.cfg.Routers)
	return max(budget, 1e-9)
}

func (r *Router) workOf(q *request, st stage) float64 {
	if st == reading {
		return r.classWork[q.job.Class].prompt
	}
	return r.classWork[q.job.Class].answerTime
}
