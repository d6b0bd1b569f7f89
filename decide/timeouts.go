package decide

// Latency targets and attempt timeouts.

// firstTokenTarget returns the target time to a request's first token.
func (r *Router) firstTokenTarget(q *request) Duration {
	c := &r.cfg.Classes[q.job.Class]
	return c.FirstTokenTarget + Duration(float64(c.FirstTokenTargetPerK)*q.job.PromptTokens/thousand)
}

// readTime returns how long a reader should take, in ns, to read the tokens that wait there.
func (r *Router) readTime(s *server) float64 { return (r.backlog(s) + minReadTokens) * r.nsPerToken }

// attemptTimeout returns the timeout of the attempt that is about to be sent: a part of the first-token
// target, but well above the typical time. An attempt at a writer that can't be retried may take until the
// deadline, and so may every attempt once the timeout budget is used up.
func (r *Router) attemptTimeout(q *request) Duration {
	left := q.job.Deadline - r.now
	share, role := readTimeoutShare, Reader
	if q.stage == writing {
		share, role = writeTimeoutShare, Writer
	}
	if q.stage == writing && r.cfg.Classes[q.job.Class].RetryPolicy == Unsafe {
		return max(left, 1)
	}
	expected := r.typicalTime(role, nil) * q.expectedTime
	limit := Duration(max(share*float64(r.firstTokenTarget(q)), timeoutFactor*expected))
	if r.timeoutBudget < 1 {
		limit = left
	}
	// The send may be lost on its way. The wait for a writer that typically takes far less is cut short, so
	// that the holds are not kept beyond their time limit. For readers see checkUnconfirmed.
	maxWait := r.waitLimit()
	if q.stage == writing && r.checksLiveness() && waitFactor*expected <= float64(maxWait) {
		limit = min(limit, maxWait)
	}
	return max(min(limit, left), 1)
}
