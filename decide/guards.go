package decide

// Every attempt starts in send, and every answer of the router itself is made by giveUp; these two keep rules
// 1 to 4. Every request ends in close, which keeps rule 5.

import "slices"

// isCandidate reports whether a server may be picked. If strict, suspect servers and those that the request
// has already tried are excluded.
func (r *Router) isCandidate(q *request, s *server, st stage, strict bool) bool {
	if !s.ready || r.heldBack(s) {
		return false
	}
	if st == writing && q.needsMixed && s.role != Both && !r.cfg.WritersRead {
		return false // there is no KV state to fetch, and it can't read
	}
	if !strict {
		return true
	}
	if slices.Contains(q.tried, s) && (st == writing || q.stateAt != s) {
		return false
	}
	noTrial := st == writing && r.cfg.Classes[q.job.Class].RetryPolicy == Unsafe
	return !r.isSuspect(s, noTrial)
}

// send starts an attempt. It returns false if the request has used up its attempts or a rule forbids the
// attempt: rule 1 (the request is closed), rule 2 (an attempt is in flight, or the request may have executed
// and can't be retried there), rule 3 (the server is not ready) or rule 4 (the slow-start budget is used up).
// No attempt starts anywhere else.
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

// mayRetry reports whether rule 2 allows an attempt at a server, reads included: a retry of a request that
// may have executed goes only to the servers that drop duplicates, and arrives within their window.
func (r *Router) mayRetry(q *request, s *server) bool {
	c := &r.cfg.Classes[q.job.Class]
	if !q.mayHaveRun || c.RetryPolicy == Safe {
		return true
	}
	// The last byte may leave as late as a dial takes.
	if c.RetryPolicy == Unsafe || r.now+r.cfg.DialTimeout >= r.retryDeadline(q) {
		return false
	}
	return c.DedupScope == ScopeAll || c.DedupScope == ScopeZone && q.firstRunOn.zone == s.zone ||
		c.DedupScope == ScopeCell && q.firstRunOn.cell == s.cell
}

// giveUp answers a request without a server: it refuses the request if rule 2 lets it promise that a retry is
// harmless, and fails it otherwise. As rule 1 demands, it answers immediately and only once. The reason is
// for the log. The router makes final answers of its own nowhere else, except for requests of an unknown
// class.
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

// close ends a request. Whatever ended it, anything that may still be held for it is released here (rule 5).
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
