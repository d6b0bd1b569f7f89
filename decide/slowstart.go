package decide

// Cold servers: the budget of rule 4.

import "math"

// cold tells whether a server may still be warming up.
func (r *Router) cold(s *server) bool { return s.since > 0 && r.now-s.since < r.set.SlowStartTime }

// spared tells whether a cold server has to be left alone for now.
func (r *Router) spared(s *server) bool {
	return r.cold(s) && r.now-s.coldAt < r.coldGap(s.role, s.coldWork)
}

// warmCount counts the ready servers that are not cold. They are counted anew at a change of the list, and
// when the next one has become warm: each cold server that an event looks at asks for the count, and cold
// ones may be thousands.
type warmCount struct {
	n     [Both + 1]int
	until Time // the counts hold before that
}

// warmOf tells how many servers of a role are warm.
func (r *Router) warmOf(role Role) int {
	if r.now >= r.warm.until {
		r.warm = warmCount{until: math.MaxInt64}
		for _, s := range r.order {
			if !s.ready {
				continue
			}
			if r.cold(s) {
				r.warm.until = min(r.warm.until, s.since+r.set.SlowStartTime)
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

// coldGap is the time to the next send to a cold server after one of the given work (1 is the mean). The
// budget is guessed from the work that a warm one does for this router (no failures), or did when
// the last was there: all may be cold. A router that has not seen answers yet sends nothing.
func (r *Router) coldGap(role Role, work float64) Duration {
	window := float64(r.set.OverloadWindow) / float64(Second)
	if r.coldRate[role] == 0 {
		r.coldRate[role] = r.coldBudget(role, window)
	}
	gap := work * window / r.coldRate[role] * float64(Second)
	return Duration(min(gap, float64(r.set.SlowStartTime)))
}

// coldBudget is what this router may send to one cold server of a role in the window of rule 4, in mean work.
func (r *Router) coldBudget(role Role, window float64) float64 {
	st := writing
	if role&Writer == 0 {
		st = reading
	}
	if warm := r.warmOf(role); warm > 0 {
		r.perWarm[st] = r.dones[st].perSecond(r.now) / float64(warm)
	}
	budget := r.set.OverloadMultiple * r.set.InitialCapacity * r.perWarm[st] * window * float64(r.set.Routers)
	budget = coldMargin * budget * budget / (budget + coldChance) / float64(r.set.Routers)
	return max(budget, 1e-9)
}

func (r *Router) workOf(q *request, st stage) float64 {
	if st == reading {
		return r.work[q.job.Class].prompt
	}
	return r.work[q.job.Class].answer
}
