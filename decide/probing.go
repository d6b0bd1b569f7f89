package decide

// Load probes: before routing, if there are many routers, and otherwise at a rate that is limited by their
// cost.

import "slices"

// probesBeforeRouting reports whether servers are probed before one is picked: with many routers, if probes
// are cheap.
func (r *Router) probesBeforeRouting() bool {
	return r.manyRouters && r.cfg.Probing && r.cfg.ProbeCost*maxProbedReaders <= maxRoutingProbeCost
}

// probeWriters probes probePair writers near a reader, so that admission and the choice of a writer use their
// current load.
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

// probeReaders probes the next readers in the rendezvous order of the request's prefix, and reports whether
// the request has to wait for their responses. A request that has already waited for one timeout, or has
// little time left, does not wait.
func (r *Router) probeReaders(q *request) bool {
	hasRoom := func(s *server) bool { return s.role == Reader && r.hasFreshReport(s) && r.hasRoom(q, s) }
	if !r.probesBeforeRouting() || r.now-q.arrivedAt > r.cfg.DialTimeout ||
		q.job.Deadline-r.now < 2*r.cfg.DialTimeout || slices.ContainsFunc(q.probed, hasRoom) {
		return false
	}
	next := r.nextToProbe(q)
	waits := false
	if len(next) > 0 && len(q.probed) == 0 {
		r.probeWriters(q, next[0])
	}
	for _, s := range next[:max(0, min(probePair+maxProbedReaders-len(q.probed), len(next)))] {
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

// nextToProbe returns the next probePair readers, in the rendezvous order of the request's prefix, that were
// not yet probed for it.
func (r *Router) nextToProbe(q *request) []*server {
	next := make([]*server, 0, probePair+1)
	for _, s := range r.readers {
		score := q.rendezvousScore(s)
		if len(next) == probePair && score <= q.rendezvousScore(next[probePair-1]) ||
			slices.Contains(q.probed, s) || !r.isCandidate(q, s, reading, true) {
			continue
		}
		at := len(next)
		for at > 0 && score > q.rendezvousScore(next[at-1]) {
			at--
		}
		next = slices.Insert(next, at, s)
		next = next[:min(len(next), probePair)]
	}
	return next
}

// probe sends a load probe to a server, unless one is in flight.
func (r *Router) probe(s *server) {
	if !s.probeInFlight {
		s.probeInFlight, s.probedAt = true, r.now
		r.emit(Action{Kind: Probe, Server: s.id})
	}
}

// resumeProbed continues with the requests that no longer wait for a probe.
func (r *Router) resumeProbed() {
	waiting := r.awaitingProbes
	r.awaitingProbes = nil
	for _, q := range waiting {
		if slices.ContainsFunc(q.probed,
			func(s *server) bool { return s.probeInFlight && s.probedAt <= q.probesSentAt }) {
			r.awaitingProbes = append(r.awaitingProbes, q)
		} else if !q.closed && !r.probeReaders(q) {
			r.admit(q)
		}
	}
}

// periodicCheck does what no event triggers: it repeats a failed watch, checks unconfirmed attempts and sends
// the probes that the budget allows.
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

// probeEnded processes the outcome of a probe.
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

// recordReport processes a load report. If the memory use is unchanged, the report counts as a repetition of
// the last one, and the tokens sent since that are still added to it.
func (r *Router) recordReport(s *server, rep Report) {
	if rep.MemoryUse >= 0 && rep.MemoryUse != s.memoryUse {
		s.memoryUse, s.sentTokens = rep.MemoryUse, 0
	}
	if rep.QueuedKTokens >= 0 || rep.MemoryUse >= 0 {
		s.reportedQueue, s.reportedAt = max(0, rep.QueuedKTokens)*thousand, r.now
	}
}
