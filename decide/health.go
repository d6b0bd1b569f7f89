package decide

// Outlier ejection: its symptoms, the ejection of servers, and their recovery.

import "slices"

// isSuspect reports whether a server is unresponsive while attempts wait for it, or ejected. When its
// ejection is over it may get one trial request, and is suspect again while that is unanswered. With noTrial
// it stays suspect until it recovers: an attempt that can't be retried is not used as a trial.
func (r *Router) isSuspect(s *server, noTrial bool) bool {
	if s.unanswered > 0 && float64(r.now-s.silentSince) > r.silenceLimit(s) {
		return true
	}
	return s.ejection > 0 && (noTrial || r.now < s.ejectedUntil || s.unanswered > 0)
}

// silenceLimit returns how long attempts may wait for a server without any response, in ns, before it is
// suspect.
func (r *Router) silenceLimit(s *server) float64 {
	expected := firstTokenUnit
	if s.role == Reader {
		expected = r.readTime(s)
	}
	return max(silenceFactor*r.typicalTime(s.role, s)*expected, minSilenceShare*float64(r.minTarget))
}

// hasResponseTime reports whether a server counts for the response times of a role: it is ready and has
// responded often enough.
func (r *Router) hasResponseTime(s *server, role Role) bool {
	return s.role&role != 0 && s.ready && (s.responses >= minSamples || r.manyRouters && s.responses > 0)
}

// typicalTime returns the median response time of the servers of a role, except one of them if that is not
// nil; 0 if there is none. The sorted times are kept, because the median is needed for every server that an
// event considers.
func (r *Router) typicalTime(role Role, except *server) float64 {
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
	if except != nil && n > 0 && r.hasResponseTime(except, role) {
		gap, _ = slices.BinarySearch(times, except.responseTime)
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

// medianTime returns the median of a time of the servers of a role; 0 if there is none.
func (r *Router) medianTime(role Role, timeOf func(*server) float64) float64 {
	var times []float64
	for _, s := range r.byID {
		if r.hasResponseTime(s, role) {
			times = append(times, timeOf(s))
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// recordTime adds a response time, as a ratio to the expected time, to a server's average. It updates the
// sorted times in place, as sorting them again after each response takes long with many servers.
func (r *Router) recordTime(s *server, ratio float64) {
	r.removeTime(s)
	if s.responses == 0 {
		s.responseTime = ratio
	}
	s.responseTime += averageGain * (ratio - s.responseTime)
	s.responses++
	s.respondedAt = r.now
	r.insertTime(s)
}

// removeTime removes a server's response time from the sorted times. It has to be called before the time
// changes.
func (r *Router) removeTime(s *server) {
	for role := Reader; role <= Both; role++ {
		if r.timesSorted[role] && r.hasResponseTime(s, role) {
			at, _ := slices.BinarySearch(r.sortedTimes[role], s.responseTime)
			r.sortedTimes[role] = slices.Delete(r.sortedTimes[role], at, at+1)
		}
	}
}

// insertTime inserts a server's response time into the sorted times, after it has changed.
func (r *Router) insertTime(s *server) {
	for role := Reader; role <= Both; role++ {
		if r.timesSorted[role] && r.hasResponseTime(s, role) {
			at, _ := slices.BinarySearch(r.sortedTimes[role], s.responseTime)
			r.sortedTimes[role] = slices.Insert(r.sortedTimes[role], at, s.responseTime)
		}
	}
}

// recordSuccess records that a server has answered an attempt, in a time given as a ratio to the expected
// time. An ejected server recovers unless the answer was slow.
func (r *Router) recordSuccess(q *request, s *server, ratio float64) {
	if mean, work := &r.meanWork[q.stage], r.workOf(q, q.stage); !r.isCold(s) {
		if *mean == 0 {
			*mean = work
		}
		*mean += meanWorkGain * (work - *mean)
		r.completedWork[q.stage].add(r.now, work/max(*mean, 1))
		r.slowStartBudgets = [Both + 1]float64{}
		r.slowStartInterval(s.role, 1) // updates workPerWarm
	}
	s.failureRate *= 1 - failureGain
	typical := r.typicalTime(s.role, s)
	if s.ejection > 0 {
		r.removeTime(s)
		s.responseTime = ratio
		r.insertTime(s)
	}
	r.recordTime(s, ratio)
	slow := typical > 0 && s.responseTime > slowFactor*typical
	switch {
	case slow && s.responses >= minSamples:
		r.eject(s, false)
	case s.ejection > 0:
		s.ejection, s.failureRate = 0, failureAfterTrial
	}
}

// recordFailure records that an attempt at a server has failed. With many routers the first failure ejects
// the server, since the next attempt of this router would come too late to confirm it.
func (r *Router) recordFailure(s *server, unreachable bool) {
	s.failureRate += failureGain * (1 - s.failureRate)
	if unreachable || s.failureRate > failureLimit || s.ejection > 0 || r.manyRouters {
		r.eject(s, unreachable)
	}
}

// eject excludes a server for a while, which doubles each time that its trial request fails.
func (r *Router) eject(s *server, unreachable bool) {
	if s.ejection > 0 && r.now < s.ejectedUntil {
		return
	}
	healthy := r.countServers(s.role, func(t *server) bool { return t.ejection == 0 })
	if !unreachable && s.ejection == 0 &&
		2*(healthy-1) < r.countServers(s.role, func(*server) bool { return true }) {
		return // if half of the servers seem to fail the cause is load, and ejecting more makes it worse
	}
	s.ejection = min(max(2*s.ejection, r.retention(minEjection)), r.retention(maxEjection))
	s.ejectedUntil = r.now + s.ejection
}

// countServers returns how many ready servers of a role match.
func (r *Router) countServers(role Role, match func(*server) bool) (n int) {
	for _, s := range r.byID {
		if s.ready && s.role&role != 0 && match(s) {
			n++
		}
	}
	return n
}
