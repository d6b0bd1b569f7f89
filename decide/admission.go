package decide

// Admission control: what is refused on arrival, and the predicted waits that this depends on.

import "math"

// isOverQuota reports whether this router's part of the tenant's quota is used up. Requests over quota are
// refused first.
func (r *Router) isOverQuota(q *request) bool {
	if q.job.Tenant >= len(r.tenants) || r.cfg.Tenants[q.job.Tenant].RequestsPerSecond <= 0 {
		return false
	}
	t := &r.tenants[q.job.Tenant]
	part := quotaSlack * r.cfg.Tenants[q.job.Tenant].RequestsPerSecond / float64(r.cfg.Routers)
	seconds := float64(r.now-t.updatedAt) / float64(Second)
	t.remaining, t.updatedAt = min(max(t.remaining, -part)+part*seconds, part*quotaBurst), r.now
	return t.remaining < 1
}

// bookedUse estimates the memory use of the writers that are not suspect, assuming that every router has
// booked as much as this one. Unlike reports it shows new load at once. A router with more than its part of
// the traffic overestimates it.
func (r *Router) bookedUse() float64 {
	if r.manyRouters {
		return 0 // the few streams of this router say nothing of those of the others
	}
	booked, memory := 0.0, 0.0
	for _, s := range r.writers {
		if s.ready && !r.isSuspect(s, false) {
			booked += s.bookedTokens
			memory += s.memoryTokens
		}
	}
	if memory <= 0 {
		return 0 // the settings do not say how much memory there is
	}
	return answerGrowth * booked * float64(r.cfg.Routers) / memory
}

// refusalProbability returns the probability with which a request is refused on arrival. An answer that would
// be late takes the capacity of one that could be in time, and full writers do work twice. The estimate can
// be wrong when the typical times come from a few servers only.
func (r *Router) refusalProbability(q *request) float64 {
	reader, writer := r.pickReader(q), r.pickWriter(q, true)
	if reader == nil || writer == nil {
		return 0 // the attempt to send will show it
	}
	wait := r.readWait(q, reader)
	if r.manyRouters && !r.hasFreshReport(reader) { // other readers may have answered more recently
		wait = max(wait,
			(r.medianTime(Reader, r.recentResponseTime)-1)*r.uncachedTokens(q, reader)*r.nsPerToken)
	}
	wait += r.medianTime(Writer, r.recentResponseTime) * firstTokenUnit
	overQuota := r.isOverQuota(q)
	late := wait / (admitShare * float64(r.firstTokenTarget(q)))
	if overQuota {
		late *= overQuotaFactor
	}
	probability := 1 - math.Pow(max(late, 1), -admitPower)
	if writer.memoryUse < 0 {
		return probability
	}
	spare := highValueSpare * r.cfg.Classes[q.job.Class].Value / max(r.maxValue, 1e-9)
	if overQuota {
		spare = -overQuotaRoom
	}
	full := (max(r.projectedUse(writer, q.job.PromptTokens), r.bookedUse()) - refuseFromUse - spare) /
		(refuseAllUse - refuseFromUse)
	return max(probability, min(full, 1))
}

// retention extends a time span for which something learned of a server is kept: the more routers there are,
// the more rarely each of them uses a server.
func (r *Router) retention(span Duration) Duration {
	return max(span, min(span*Duration(r.cfg.Routers)/fewRouters, maxRetention))
}

// readWait predicts how long a request waits in a reader's queue, in ns, without the read itself.
func (r *Router) readWait(q *request, s *server) float64 {
	uncached := r.uncachedTokens(q, s)
	if r.hasFreshReport(s) {
		return (r.backlog(s) + minReadTokens) * r.nsPerToken
	}
	return (r.recentResponseTime(s)*(s.queuedTokens+uncached+minReadTokens) - uncached) * r.nsPerToken
}

// hasFreshReport reports whether the queue that a reader has reported is current and of use. With few routers
// it is not used, as own reads show a queue sooner than late reports do.
func (r *Router) hasFreshReport(s *server) bool {
	return r.manyRouters && s.reportedAt > 0 && r.now-s.reportedAt < reportFreshness
}

// backlog estimates how many tokens wait at a reader.
func (r *Router) backlog(s *server) float64 {
	if !r.hasFreshReport(s) {
		return s.queuedTokens
	}
	return max(s.queuedTokens, s.reportedQueue-float64(r.now-s.reportedAt)/r.nsPerToken)
}

// hasRoom reports whether a reader is below the spillover bound and a request would not be refused for its
// queue.
func (r *Router) hasRoom(q *request, s *server) bool {
	bound := spilloverShare * float64(r.minTarget) / r.nsPerToken
	if !r.hasFreshReport(s) {
		bound /= float64(r.cfg.Routers) // each of the other routers may have as many tokens there
	}
	return r.backlog(s) <= bound && r.readWait(q, s) <= admitShare*float64(r.firstTokenTarget(q))
}

// recentResponseTime returns a server's response time, which decays once it is old: refused requests bring no
// new samples.
func (r *Router) recentResponseTime(s *server) float64 {
	span := r.retention(fadeSpan)
	return s.responseTime * decay(max(0, r.now-s.respondedAt-span), span)
}
