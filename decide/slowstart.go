package decide

// Slow start of cold servers: the budget of rule 4.

import "math"

// isCold reports whether a server is still in its slow start.
func (r *Router) isCold(s *server) bool {
	return s.startedAt > 0 && r.now-s.startedAt < r.cfg.SlowStartTime
}

// heldBack reports whether slow start forbids a send to a server now.
func (r *Router) heldBack(s *server) bool {
	return r.isCold(s) && r.now-s.coldSentAt < r.slowStartInterval(s.role, s.coldSentWork)
}

// warmCount caches the number of ready servers that are warm. They are counted again when the server list
// changes and when the next cold server becomes warm. The count is needed for each cold server that an event
// considers, and there may be thousands of them.
type warmCount struct {
	n     [Both + 1]int
	until Time // the counts are valid before that
}

// warmServers returns how many servers of a role are warm.
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
			for each := Reader; each <= Both; each++ {
				if s.role&each != 0 {
					r.warm.n[each]++
				}
			}
		}
	}
	return r.warm.n[role]
}

// slowStartInterval returns the time until the next send to a cold server, after one of the given work (1 is
// the mean).
func (r *Router) slowStartInterval(role Role, work float64) Duration {
	window := float64(r.cfg.OverloadWindow) / float64(Second)
	if r.slowStartBudgets[role] == 0 {
		r.slowStartBudgets[role] = r.slowStartBudget(role, window)
	}
	gap := work * window / r.slowStartBudgets[role] * float64(Second)
	return Duration(min(gap, float64(r.cfg.SlowStartTime)))
}

// slowStartBudget returns the work, in multiples of the mean, that this router may send to one cold server of
// a role within the window of rule 4. It is estimated from the successful work that a warm server does for
// this router, or did when there last was one, since all servers may be cold. A router that has seen no
// responses yet sends nothing.
func (r *Router) slowStartBudget(role Role, window float64) float64 {
	st := writing
	if role&Writer == 0 {
		st = reading
	}
	if warm := r.warmServers(role); warm > 0 {
		r.workPerWarm[st] = r.completedWork[st].perSecond(r.now) / float64(warm)
	}
	budget := r.cfg.OverloadMultiple * r.cfg.InitialCapacity * r.workPerWarm[st] * window *
		float64(r.cfg.Routers)
	budget = slowStartMargin * budget * budget / (budget + slowStartDamping) / float64(r.cfg.Routers)
	return max(budget, 1e-9)
}

// workOf returns the mean work of a request's class at a stage: prompt tokens of a read, or the duration of
// an answer.
func (r *Router) workOf(q *request, st stage) float64 {
	if st == reading {
		return r.classWork[q.job.Class].prompt
	}
	return r.classWork[q.job.Class].answerTime
}
