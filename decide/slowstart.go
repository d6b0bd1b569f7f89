package decide

// Cold servers: the budget of rule 4.

// cold tells whether a server may still be warming up.
func (r *Router) cold(s *server) bool { return s.since > 0 && r.now-s.since < r.set.ColdFor }

// spared tells whether a cold server has to be left alone for now.
func (r *Router) spared(s *server) bool {
	return r.cold(s) && r.now-s.coldAt < r.coldGap(s.role, s.coldWork)
}

// coldGap is the time to the next send to a cold server after one of the given work (1 is the mean). The
// budget is guessed from the work that a warm one does for this router (no failures), or did when
// the last was there: all may be cold. A router that has not seen answers yet sends nothing.
func (r *Router) coldGap(role Role, work float64) Duration {
	st := writing
	if role&Writer == 0 {
		st = reading
	}
	if warm := r.count(role, func(s *server) bool { return !r.cold(s) }); warm > 0 {
		r.perWarm[st] = r.dones[st].perSecond(r.now) / float64(warm)
	}
	window := float64(r.set.OverloadFor) / float64(Second)
	budget := r.set.FallMultiple * r.set.StartCapacity * r.perWarm[st] * window * float64(r.set.Routers)
	budget = coldMargin * budget * budget / (budget + coldChance) / float64(r.set.Routers)
	gap := work * window / max(budget, 1e-9) * float64(Second)
	return Duration(min(gap, float64(r.set.ColdFor)))
}

func (r *Router) workOf(q *request, st stage) float64 {
	if st == reading {
		return r.work[q.job.Class].prompt
	}
	return r.work[q.job.Class].answer
}
