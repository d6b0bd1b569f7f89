package decide

// The only ways to an attempt (send) and to an answer of this router's own (giveUp); they keep the rules 1 to
// 4, and close keeps rule 5.

import "slices"

// isCandidate tells whether a server may be picked; strict leaves out suspects and those tried already.
func (r *Router) isCandidate(q *request, s *server, st stage, strict bool) bool {
	if !s.ready || r.heldBack(s) {
		return false
	}
	if st == writing && q.needsMixed && s.role != Both && !r.cfg.WritersRead {
		return false // nothing to fetch, and it can't read
	}
	if !strict {
		return true
	}
	if slices.Contains(q.tried, s) && (st == writing || q.stateAt != s) {
		return false
	}
	once := st == writing && r.cfg.Classes[q.job.Class].RetryPolicy == Unsafe
	return !r.isSuspect(s, once)
}

// send is the only way to an attempt. It keeps the rules 1 (nothing after the end, one attempt out at
// a time), 2 (no repeat of what may have run), 3 (no draining server) and 4 (the cold budget).
func (r *Router) send(q *request, s *server, st stage) bool {
	if q.closed || q.sentTo != nil || !s.ready || q.attempts >= r.cfg.MaxAttempts || !r.mayRetry(q, s) ||
		r.heldBack(s) {
		return false
	}
	s.coldSentAt, s.coldSentWork = r.now, r.workOf(q, st)/max(r.meanWork[st], 1)
	if st == reading && q.mayHold {
		r.emit(Action{Kind: Release, Request: q.id})
		q.mayHold = r.cfg.ReleaseAtEnd
	}
	q.stage, q.sentTo, q.sentAt = st, s, r.now
	q.attempts++
	if s.unanswered == 0 {
		s.silentSince = r.now
	}
	s.unanswered++
	if st == reading {
		q.bookedTokens = r.uncachedTokens(q, s)
		s.queuedTokens += q.bookedTokens
		q.expectedTime = r.readTime(s)
		r.probeWriters(q, s)
	} else {
		q.bookedTokens = q.job.PromptTokens
		s.streams++
		s.bookedTokens += q.bookedTokens
		s.sentTokens += q.bookedTokens
		q.expectedTime = firstTokenUnit
	}
	after := r.attemptTimeout(q)
	r.emit(Action{Kind: Send, Request: q.id, Server: s.id, After: after, SendBy: r.retryDeadline(q),
		LastResponseWithin: r.lastResponseWithin(q, after)})
	r.trackUnconfirmed(q)
	return true
}

// mayRetry is rule 2, for reads too: a repeat goes to the group that drops it, and arrives in its window.
func (r *Router) mayRetry(q *request, s *server) bool {
	c := &r.cfg.Classes[q.job.Class]
	if !q.mayHaveRun || c.RetryPolicy == Safe {
		return true
	}
	// The last byte leaves after a dial.
	if c.RetryPolicy == Unsafe || r.now+r.cfg.DialTimeout >= r.retryDeadline(q) {
		return false
	}
	return c.DedupScope == ScopeAll || c.DedupScope == ScopeZone && q.firstRunOn.zone == s.zone ||
		c.DedupScope == ScopeCell && q.firstRunOn.cell == s.cell
}

// giveUp is the only way to a final answer of this router's own: refused where rule 2 lets it promise
// that a retry is harmless, else failed. Rule 1: at once, and once. The reason is for the log.
func (r *Router) giveUp(q *request, reason string) {
	if q.closed {
		return
	}
	c := &r.cfg.Classes[q.job.Class]
	if !q.mayHaveRun || c.RetryPolicy == Safe || c.RetryPolicy == Keyed && c.DedupScope == ScopeAll {
		r.emit(Action{Kind: Refuse, Request: q.id, After: r.retryAfter(), Reason: reason})
	} else {
		r.emit(Action{Kind: Fail, Request: q.id, Reason: reason})
	}
	r.close(q)
}

// close forgets a request. Rule 5: what may still be held for it is let go here, whatever ended it.
func (r *Router) close(q *request) {
	q.closed = true
	if q.mayHold {
		r.emit(Action{Kind: Release, Request: q.id})
		q.mayHold = false
	}
	if q.sentTo == nil {
		delete(r.requests, q.id)
	}
}
