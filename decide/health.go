package decide

// Outlier ejection: symptoms, leaving out, the way back in.

import "slices"

// isSuspect: a server keeps silent while attempts wait, or is benched; what is sent once is no trial.
func (r *Router) isSuspect(s *server, once bool) bool {
	if s.unanswered > 0 && float64(r.now-s.silentSince) > r.silenceLimit(s) {
		return true
	}
	return s.ejection > 0 && (once || r.now < s.ejectedUntil || s.unanswered > 0)
}

func (r *Router) silenceLimit(s *server) float64 {
	expect := firstTokenUnit
	if s.role == Reader {
		expect = r.readTime(s)
	}
	return max(silenceFactor*r.typicalTime(s.role, s)*expect, minSilenceShare*float64(r.minTarget))
}

func (r *Router) hasResponseTime(s *server, role Role) bool {
	return s.role&role != 0 && s.ready && (s.responses >= minSamples || r.manyRouters && s.responses > 0)
}

// typicalTime is the median answer time of the servers of a role, without one of them. The order of the times is
// kept while none changes: it is asked for every server that an event looks at.
func (r *Router) typicalTime(role Role, but *server) float64 {
	if !r.timesSorted[role] {
		r.timesSorted[role], r.sortedTimes[role] = true, r.sortedTimes[role][:0]
		for _, s := range r.byID {
			if r.hasResponseTime(s, role) {
				r.sortedTimes[role] = append(r.sortedTimes[role], s.responseTime)
			}
		}
		slices.Sort(r.sortedTimes[role])
	}
	times := r.sortedTimes[role]
	n, gap := len(times), len(times)
	if but != nil && n > 0 && r.hasResponseTime(but, role) {
		gap, _ = slices.BinarySearch(times, but.responseTime)
		n--
	}
	switch {
	case n == 0:
		return 0
	case gap <= n/2:
		return times[min(n/2+1, len(times)-1)]
	}
	return times[n/2]
}

func (r *Router) medianTime(role Role, of func(*server) float64) float64 {
	var times []float64
	for _, s := range r.byID {
		if r.hasResponseTime(s, role) {
			times = append(times, of(s))
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// recordTime takes in an answer time. The ordered times are kept up to date, as sorting all of them anew after
// each answer takes long where servers are many.
func (r *Router) recordTime(s *server, spent float64) {
	r.removeTime(s)
	if s.responses == 0 {
		s.responseTime = spent
	}
	s.responseTime += averageGain * (spent - s.responseTime)
	s.responses++
	s.respondedAt = r.now
	r.insertTime(s)
}

// removeTime takes a server's answer time out of the ordered ones. It has to be called before the time changes.
func (r *Router) removeTime(s *server) {
	for role := Reader; role <= Both; role++ {
		if r.timesSorted[role] && r.hasResponseTime(s, role) {
			at, _ := slices.BinarySearch(r.sortedTimes[role], s.responseTime)
			r.sortedTimes[role] = slices.Delete(r.sortedTimes[role], at, at+1)
		}
	}
}

// insertTime puts it back.
func (r *Router) insertTime(s *server) {
	for role := Reader; role <= Both; role++ {
		if r.timesSorted[role] && r.hasResponseTime(s, role) {
			at, _ := slices.BinarySearch(r.sortedTimes[role], s.responseTime)
			r.sortedTimes[role] = slices.Insert(r.sortedTimes[role], at, s.responseTime)
		}
	}
}

// recordSuccess: a server has answered in so much time. A benched one is back if that is no longer slow.
func (r *Router) recordSuccess(q *request, s *server, spent float64) {
	if mean, work := &r.meanWork[q.stage], r.workOf(q, q.stage); !r.isCold(s) {
		if *mean == 0 {
			*mean = work
		}
		*mean += meanWorkGain * (work - *mean)
		r.completedWork[q.stage].add(r.now, work/max(*mean, 1))
		r.slowStartBudgets = [Both + 1]float64{}
		r.slowStartInterval(s.role, 1) // notes what a warm one does
	}
	s.failureRate *= 1 - failureGain
	usual := r.typicalTime(s.role, s)
	if s.ejection > 0 {
		r.removeTime(s)
		s.responseTime = spent
		r.insertTime(s)
	}
	r.recordTime(s, spent)
	slow := usual > 0 && s.responseTime > slowFactor*usual
	switch {
	case slow && s.responses >= minSamples:
		r.eject(s, false)
	case s.ejection > 0:
		s.ejection, s.failureRate = 0, failureAfterTrial
	}
}

// recordFailure: an attempt at a server has failed. With many routers the next one here would tell too late.
func (r *Router) recordFailure(s *server, dead bool) {
	s.failureRate += failureGain * (1 - s.failureRate)
	if dead || s.failureRate > failureLimit || s.ejection > 0 || r.manyRouters {
		r.eject(s, dead)
	}
}

// eject leaves a server out for a while, longer each time that its trial fails.
func (r *Router) eject(s *server, dead bool) {
	if s.ejection > 0 && r.now < s.ejectedUntil {
		return
	}
	sound := r.countServers(s.role, func(t *server) bool { return t.ejection == 0 })
	if !dead && s.ejection == 0 && 2*(sound-1) < r.countServers(s.role, func(*server) bool { return true }) {
		return // when half of a pool looks bad it is load, and leaving servers out makes it worse
	}
	s.ejection = min(max(2*s.ejection, r.retention(minEjection)), r.retention(maxEjection))
	s.ejectedUntil = r.now + s.ejection
}

// countServers tells how many ready servers of a role are as wanted.
func (r *Router) countServers(role Role, wanted func(*server) bool) (n int) {
	for _, s := range r.byID {
		if s.ready && s.role&role != 0 && wanted(s) {
			n++
		}
	}
	return n
}
