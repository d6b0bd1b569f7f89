package decide

// Asking servers for their load: before a pick, where routers are many, and at a pace set by the price of
// probes.

import "slices"

// probesBeforeRouting tells whether servers are asked before they are picked: by many routers, where it is cheap.
func (r *Router) probesBeforeRouting() bool {
	return r.manyRouters && r.cfg.Probing && r.cfg.ProbeCost*maxProbedReaders <= maxRoutingProbeCost
}

// probeWriters asks writers near a reader, so that the refusal and the pick go by what they say then.
func (r *Router) probeWriters(q *request, from *server) {
	if !r.probesBeforeRouting() || q.probedNear != nil && q.probedNear.cell == from.cell {
		return
	}
	q.probedNear = from
	q.probed = slices.DeleteFunc(q.probed, func(s *server) bool { return s.role != Reader })
	for range probePair {
		if s := r.pickWriter(q, false); s != nil {
			q.probed = append(q.probed, s)
			r.probe(s)
		}
	}
}

// probeReaders asks the next readers of the walk from a key's home for their load, and tells whether the request has
// to wait for an answer. No second time-out is waited for, and none by who has little time left.
func (r *Router) probeReaders(q *request) bool {
	roomy := func(s *server) bool { return s.role == Reader && r.hasFreshReport(s) && r.hasRoom(q, s) }
	if !r.probesBeforeRouting() || r.now-q.arrivedAt > r.cfg.DialTimeout || q.job.Deadline-r.now < 2*r.cfg.DialTimeout ||
		slices.ContainsFunc(q.probed, roomy) {
		return false
	}
	walk := r.nextToProbe(q)
	waits := false
	if len(walk) > 0 && len(q.probed) == 0 {
		r.probeWriters(q, walk[0])
	}
	for _, s := range walk[:max(0, min(probePair+maxProbedReaders-len(q.probed), len(walk)))] {
		q.probed = append(q.probed, s)
		if !r.hasFreshReport(s) {
			waits = true
			r.probe(s)
		}
	}
	if q.probesSentAt = r.now; waits {
		r.awaitingProbes = append(r.awaitingProbes, q)
	}
	return waits
}

// nextToProbe returns the next askPair readers of the walk from a key's home that were not asked yet.
func (r *Router) nextToProbe(q *request) []*server {
	next := make([]*server, 0, probePair+1)
	for _, s := range r.readers {
		near := q.rendezvousScore(s)
		if len(next) == probePair && near <= q.rendezvousScore(next[probePair-1]) || slices.Contains(q.probed, s) ||
			!r.isCandidate(q, s, reading, true) {
			continue
		}
		at := len(next)
		for at > 0 && near > q.rendezvousScore(next[at-1]) {
			at--
		}
		next = slices.Insert(next, at, s)
		next = next[:min(len(next), probePair)]
	}
	return next
}

func (r *Router) probe(s *server) {
	if !s.probeInFlight {
		s.probeInFlight, s.probedAt = true, r.now
		r.emit(Action{Kind: Probe, Server: s.id})
	}
}

// resumeProbed goes on with the requests that wait for no answer any more.
func (r *Router) resumeProbed() {
	waiting := r.awaitingProbes
	r.awaitingProbes = nil
	for _, q := range waiting {
		if slices.ContainsFunc(q.probed, func(s *server) bool { return s.probeInFlight && s.probedAt <= q.probesSentAt }) {
			r.awaitingProbes = append(r.awaitingProbes, q)
		} else if !q.closed && !r.probeReaders(q) {
			r.admit(q)
		}
	}
}

// periodicCheck looks after what no event brings up.
func (r *Router) periodicCheck() {
	r.emit(Action{Kind: SetTimer, After: checkInterval})
	if r.watchFailed && r.random() < watchChance {
		r.watchFailed = false
		r.emit(Action{Kind: WatchList})
	}
	if !r.cfg.Probing {
		return
	}
	r.checkUnconfirmed()
	for ; r.probeBudget >= 1; r.probeBudget-- {
		var next *server
		for _, s := range r.byID {
			if s.ready && !s.probeInFlight && (next == nil || s.probedAt < next.probedAt) {
				next = s
			}
		}
		if next == nil || r.now-next.probedAt < minProbeInterval {
			return
		}
		r.probe(next)
	}
}

func (r *Router) probeEnded(ev *Event) {
	s := r.servers[ev.Server]
	if s == nil {
		return
	}
	if !ev.NewConnection {
		s.probeInFlight = false
	}
	r.recordReachability(s, ev)
	if ev.Outcome == Served {
		r.recordReport(s, ev.Report)
	} else {
		r.recordFailure(s, ev.Outcome == ConnectFailed)
	}
	r.resumeProbed()
}

// recordReport takes in a load recordReport. One that repeats the last share is the old one told again.
func (r *Router) recordReport(s *server, rep Report) {
	if rep.MemoryUse >= 0 && rep.MemoryUse != s.memoryUse {
		s.memoryUse, s.sentTokens = rep.MemoryUse, 0
	}
	if rep.QueuedKTokens >= 0 || rep.MemoryUse >= 0 {
		s.reportedQueue, s.reportedAt = max(0, rep.QueuedKTokens)*thousand, r.now
	}
}
