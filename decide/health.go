package decide

// Outlier ejection: symptoms, leaving out, the way back in.

import "slices"

// suspect: a server keeps silent while attempts wait, or is benched; what is sent once is no trial.
func (r *Router) suspect(s *server, once bool) bool {
	if s.pending > 0 && float64(r.now-s.quietFrom) > r.quietLimit(s) {
		return true
	}
	return s.bench > 0 && (once || r.now < s.until || s.pending > 0)
}

func (r *Router) quietLimit(s *server) float64 {
	expect := writeExpected
	if s.role == Reader {
		expect = r.readTime(s)
	}
	return max(quietTypical*r.usual(s.role, s)*expect, quietFloor*float64(r.leastAim))
}

func (r *Router) timeOf(s *server, role Role) bool {
	return s.role&role != 0 && s.ready && (s.answers >= slowSamples || r.many && s.answers > 0)
}

// usual is the median answer time of the servers of a role, without one of them. The order of the times is
// kept while none changes: it is asked for every server that an event looks at.
func (r *Router) usual(role Role, but *server) float64 {
	if !r.timed[role] {
		r.timed[role], r.times[role] = true, r.times[role][:0]
		for _, s := range r.order {
			if r.timeOf(s, role) {
				r.times[role] = append(r.times[role], s.answer)
			}
		}
		slices.Sort(r.times[role])
	}
	times := r.times[role]
	n, gap := len(times), len(times)
	if but != nil && n > 0 && r.timeOf(but, role) {
		gap, _ = slices.BinarySearch(times, but.answer)
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

func (r *Router) median(role Role, of func(*server) float64) float64 {
	var times []float64
	for _, s := range r.order {
		if r.timeOf(s, role) {
			times = append(times, of(s))
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// learn takes in an answer time. The ordered times are kept up to date, as sorting all of them anew after
// each answer takes long where servers are many.
func (r *Router) learn(s *server, spent float64) {
	r.dropTime(s)
	if s.answers == 0 {
		s.answer = spent
	}
	s.answer += answerGain * (spent - s.answer)
	s.answers++
	s.answered = r.now
	r.addTime(s)
}

// dropTime takes a server's answer time out of the ordered ones. It has to be called before the time changes.
func (r *Router) dropTime(s *server) {
	for role := Reader; role <= Both; role++ {
		if r.timed[role] && r.timeOf(s, role) {
			at, _ := slices.BinarySearch(r.times[role], s.answer)
			r.times[role] = slices.Delete(r.times[role], at, at+1)
		}
	}
}

// addTime puts it back.
func (r *Router) addTime(s *server) {
	for role := Reader; role <= Both; role++ {
		if r.timed[role] && r.timeOf(s, role) {
			at, _ := slices.BinarySearch(r.times[role], s.answer)
			r.times[role] = slices.Insert(r.times[role], at, s.answer)
		}
	}
}

// good: a server has answered in so much time. A benched one is back if that is no longer slow.
func (r *Router) good(q *request, s *server, spent float64) {
	if mean, work := &r.meanWork[q.stage], r.workOf(q, q.stage); !r.cold(s) {
		if *mean == 0 {
			*mean = work
		}
		*mean += mixGain * (work - *mean)
		r.dones[q.stage].add(r.now, work/max(*mean, 1))
		r.coldRate = [Both + 1]float64{}
		r.coldGap(s.role, 1) // notes what a warm one does
	}
	s.failing *= 1 - failGain
	usual := r.usual(s.role, s)
	if s.bench > 0 {
		r.dropTime(s)
		s.answer = spent
		r.addTime(s)
	}
	r.learn(s, spent)
	slow := usual > 0 && s.answer > slowTimes*usual
	switch {
	case slow && s.answers >= slowSamples:
		r.benchIt(s, false)
	case s.bench > 0:
		s.bench, s.failing = 0, failAfterTrial
	}
}

// bad: an attempt at a server has failed. With many routers the next one here would tell too late.
func (r *Router) bad(s *server, dead bool) {
	s.failing += failGain * (1 - s.failing)
	if dead || s.failing > failLimit || s.bench > 0 || r.many {
		r.benchIt(s, dead)
	}
}

// benchIt leaves a server out for a while, longer each time that its trial fails.
func (r *Router) benchIt(s *server, dead bool) {
	if s.bench > 0 && r.now < s.until {
		return
	}
	sound := r.count(s.role, func(t *server) bool { return t.bench == 0 })
	if !dead && s.bench == 0 && 2*(sound-1) < r.count(s.role, func(*server) bool { return true }) {
		return // when half of a pool looks bad it is load, and leaving servers out makes it worse
	}
	s.bench = min(max(2*s.bench, r.remembered(firstBench)), r.remembered(longestBench))
	s.until = r.now + s.bench
}

// count tells how many ready servers of a role are as wanted.
func (r *Router) count(role Role, wanted func(*server) bool) (n int) {
	for _, s := range r.order {
		if s.ready && s.role&role != 0 && wanted(s) {
			n++
		}
	}
	return n
}
