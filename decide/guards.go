package decide

// The only ways to an attempt (send) and to an answer of this router's own (giveUp); they keep the rules 1 to
// 4, and close keeps rule 5.

import "slices"

// candidate tells whether a server may be picked; strict leaves out suspects and those tried already.
func (r *Router) candidate(q *request, s *server, st stage, strict bool) bool {
	if !s.ready || r.spared(s) {
		return false
	}
	if st == writing && q.alone && s.role != Both && !r.set.WritersRead {
		return false // nothing to fetch, and it can't read
	}
	if !strict {
		return true
	}
	if slices.Contains(q.tried, s) && (st == writing || q.state != s) {
		return false
	}
	once := st == writing && r.set.Classes[q.job.Class].RetryPolicy == Unsafe
	return !r.suspect(s, once)
}

// send is the only way to an attempt. It keeps the rules 1 (nothing after the end, one attempt out at
// a time), 2 (no repeat of what may have run), 3 (no draining server) and 4 (the cold budget).
func (r *Router) send(q *request, s *server, st stage) bool {
	if q.closed || q.out != nil || !s.ready || q.attempts >= r.set.MaxAttempts || !r.mayRepeat(q, s) ||
		r.spared(s) {
		return false
	}
	s.coldAt, s.coldWork = r.now, r.workOf(q, st)/max(r.meanWork[st], 1)
	if st == reading && q.mayHold {
		r.act(Action{Kind: Release, Request: q.id})
		q.mayHold = r.set.ReleaseAtEnd
	}
	q.stage, q.out, q.sentAt = st, s, r.now
	q.attempts++
	if s.pending == 0 {
		s.quietFrom = r.now
	}
	s.pending++
	if st == reading {
		q.tokens = r.fresh(q, s)
		s.waiting += q.tokens
		q.expect = r.readTime(s)
		r.askWriters(q, s)
	} else {
		q.tokens = q.job.PromptTokens
		s.streams++
		s.booked += q.tokens
		s.sent += q.tokens
		q.expect = writeExpected
	}
	after := r.capFor(q)
	r.act(Action{Kind: Send, Request: q.id, Server: s.id, After: after, SendBy: r.repeatUntil(q),
		LastResponseWithin: r.heardWithin(q, after)})
	r.watchWait(q)
	return true
}

// mayRepeat is rule 2, for reads too: a repeat goes to the group that drops it, and arrives in its window.
func (r *Router) mayRepeat(q *request, s *server) bool {
	c := &r.set.Classes[q.job.Class]
	if !q.mayRun || c.RetryPolicy == Safe {
		return true
	}
	// The last byte leaves after a dial.
	if c.RetryPolicy == Unsafe || r.now+r.set.DialTimeout >= r.repeatUntil(q) {
		return false
	}
	return c.DedupScope == ScopeAll || c.DedupScope == ScopeZone && q.runOn.zone == s.zone ||
		c.DedupScope == ScopeCell && q.runOn.cell == s.cell
}

// giveUp is the only way to a final answer of this router's own: refused where rule 2 lets it promise
// that a retry is harmless, else failed. Rule 1: at once, and once. The reason is for the log.
func (r *Router) giveUp(q *request, reason string) {
	if q.closed {
		return
	}
	c := &r.set.Classes[q.job.Class]
	if !q.mayRun || c.RetryPolicy == Safe || c.RetryPolicy == Keyed && c.DedupScope == ScopeAll {
		r.act(Action{Kind: Refuse, Request: q.id, After: r.retryAfter(), Reason: reason})
	} else {
		r.act(Action{Kind: Fail, Request: q.id, Reason: reason})
	}
	r.close(q)
}

// close forgets a request. Rule 5: what may still be held for it is let go here, whatever ended it.
func (r *Router) close(q *request) {
	q.closed = true
	if q.mayHold {
		r.act(Action{Kind: Release, Request: q.id})
		q.mayHold = false
	}
	if q.out == nil {
		delete(r.requests, q.id)
	}
}
