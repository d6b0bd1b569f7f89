package decide

// Aims and time-outs.

// aim is the time within which a request's first token is wanted.
func (r *Router) aim(q *request) Duration {
	c := &r.set.Classes[q.job.Class]
	return c.FirstTokenTarget + Duration(float64(c.FirstTokenTargetPerK)*q.job.PromptTokens/thousand)
}

// readTime is how long the own tokens that wait at a reader should take to read.
func (r *Router) readTime(s *server) float64 { return (r.backlog(s) + paceTokens) * r.pace }

// capFor is a time-out: a share of the aim, well over the usual; what can't be repeated waits to the end.
func (r *Router) capFor(q *request) Duration {
	left := q.job.Deadline - r.now
	share, role := readCap, Reader
	if q.stage == writing {
		share, role = writeCap, Writer
	}
	if q.stage == writing && r.set.Classes[q.job.Class].RetryPolicy == Unsafe {
		return max(left, 1)
	}
	expected := r.usual(role, nil) * q.expect
	limit := Duration(max(share*float64(r.aim(q)), capTypical*expected))
	if r.again < 1 {
		limit = left
	}
	// The send may be lost on its way. A writer that usually takes far less is not waited for so long that
	// what is held is held for too long; for readers see lookAtWaits.
	most := r.waitLimit()
	if q.stage == writing && r.seeks() && waitTypical*expected <= float64(most) {
		limit = min(limit, most)
	}
	return max(min(limit, left), 1)
}
