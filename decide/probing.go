package decide

// Asking servers for their load: before a pick, where routers are many, and at a pace set by the price of
// probes.

import "slices"

// asks tells whether servers are asked before they are picked: by many routers, where it is cheap.
func (r *Router) asks() bool { return r.many && r.set.Probing && r.set.ProbeCost*askMost <= askPoints }

// askWriters asks writers near a reader, so that the refusal and the pick go by what they say then.
func (r *Router) askWriters(q *request, from *server) {
	if !r.asks() || q.from != nil && q.from.cell == from.cell {
		return
	}
	q.from = from
	q.asked = slices.DeleteFunc(q.asked, func(s *server) bool { return s.role != Reader })
	for range askPair {
		if s := r.pickWriter(q, false); s != nil {
			q.asked = append(q.asked, s)
			r.probe(s)
		}
	}
}

// ask asks the next readers of the walk from a key's home for their load, and tells whether the request has
// to wait for an answer. No second time-out is waited for, and none by who has little time left.
func (r *Router) ask(q *request) bool {
	roomy := func(s *server) bool { return s.role == Reader && r.told(s) && r.hasRoom(q, s) }
	if !r.asks() || r.now-q.arrived > r.set.DialTimeout || q.job.Deadline-r.now < 2*r.set.DialTimeout ||
		slices.ContainsFunc(q.asked, roomy) {
		return false
	}
	walk := r.nextInWalk(q)
	waits := false
	if len(walk) > 0 && len(q.asked) == 0 {
		r.askWriters(q, walk[0])
	}
	for _, s := range walk[:max(0, min(askPair+askMost-len(q.asked), len(walk)))] {
		q.asked = append(q.asked, s)
		if !r.told(s) {
			waits = true
			r.probe(s)
		}
	}
	if q.askAt = r.now; waits {
		r.asking = append(r.asking, q)
	}
	return waits
}

// nextInWalk returns the next askPair readers of the walk from a key's home that were not asked yet.
func (r *Router) nextInWalk(q *request) []*server {
	next := make([]*server, 0, askPair+1)
	for _, s := range r.readers {
		near := q.nearness(s)
		if len(next) == askPair && near <= q.nearness(next[askPair-1]) || slices.Contains(q.asked, s) ||
			!r.candidate(q, s, reading, true) {
			continue
		}
		at := len(next)
		for at > 0 && near > q.nearness(next[at-1]) {
			at--
		}
		next = slices.Insert(next, at, s)
		next = next[:min(len(next), askPair)]
	}
	return next
}

func (r *Router) probe(s *server) {
	if !s.probing {
		s.probing, s.probedAt = true, r.now
		r.act(Action{Kind: Probe, Server: s.id})
	}
}

// heard goes on with the requests that wait for no answer any more.
func (r *Router) heard() {
	waiting := r.asking
	r.asking = nil
	for _, q := range waiting {
		if slices.ContainsFunc(q.asked, func(s *server) bool { return s.probing && s.probedAt <= q.askAt }) {
			r.asking = append(r.asking, q)
		} else if !q.closed && !r.ask(q) {
			r.admit(q)
		}
	}
}

// tick looks after what no event brings up.
func (r *Router) tick() {
	r.act(Action{Kind: SetTimer, After: tickEvery})
	if r.unwatched && r.random() < watchChance {
		r.unwatched = false
		r.act(Action{Kind: WatchList})
	}
	if !r.set.Probing {
		return
	}
	r.lookAtWaits()
	for ; r.probes >= 1; r.probes-- {
		var next *server
		for _, s := range r.order {
			if s.ready && !s.probing && (next == nil || s.probedAt < next.probedAt) {
				next = s
			}
		}
		if next == nil || r.now-next.probedAt < probeFastest {
			return
		}
		r.probe(next)
	}
}

func (r *Router) probed(ev *Event) {
	s := r.servers[ev.Server]
	if s == nil {
		return
	}
	if !ev.NewConnection {
		s.probing = false
	}
	r.reached(s, ev)
	if ev.Outcome == Served {
		r.report(s, ev.Report)
	} else {
		r.bad(s, ev.Outcome == ConnectFailed)
	}
	r.heard()
}

// report takes in a load report. One that repeats the last share is the old one told again.
func (r *Router) report(s *server, rep Report) {
	if rep.MemoryUse >= 0 && rep.MemoryUse != s.share {
		s.share, s.sent = rep.MemoryUse, 0
	}
	if rep.QueuedKTokens >= 0 || rep.MemoryUse >= 0 {
		s.queue, s.toldAt = max(0, rep.QueuedKTokens)*thousand, r.now
	}
}
