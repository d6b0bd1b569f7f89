package decide

// What is refused at its arrival, and the waits that this is judged by.

import "math"

// isOverQuota: this router's part of a tenant's share is used up; traffic beyond is the first to go.
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

// bookedUse is the share of the sound writers' memory that is held if every router holds as much as this one.
// It shows at once what reports tell late; it may harm a router with more than its part of the traffic.
func (r *Router) bookedUse() float64 {
	if r.manyRouters {
		return 0 // this router's few streams tell nothing of the others'
	}
	booked, memory := 0.0, 0.0
	for _, s := range r.writers {
		if s.ready && !r.isSuspect(s, false) {
			booked += s.bookedTokens
			memory += s.memoryTokens
		}
	}
	if memory <= 0 {
		return 0 // the settings do not tell it
	}
	return answerGrowth * booked * float64(r.cfg.Routers) / memory
}

// refusalProbability is how likely a request is to be refused at its arrival: what would come late takes the place of
// what could come in time, and full writers work twice. It may harm when a few servers make the usual times.
func (r *Router) refusalProbability(q *request) float64 {
	reader, writer := r.pickReader(q), r.pickWriter(q, true)
	if reader == nil || writer == nil {
		return 0 // sending will find out
	}
	wait := r.readWait(q, reader)
	if r.manyRouters && !r.hasFreshReport(reader) { // it may not have been heard lately, others of its pool have
		wait = max(wait, (r.medianTime(Reader, r.recentResponseTime)-1)*r.uncachedTokens(q, reader)*r.nsPerToken)
	}
	wait += r.medianTime(Writer, r.recentResponseTime) * firstTokenUnit
	excess := r.isOverQuota(q)
	late := wait / (admitShare * float64(r.firstTokenTarget(q)))
	if excess {
		late *= overQuotaFactor
	}
	chance := 1 - math.Pow(max(late, 1), -admitPower)
	if writer.memoryUse < 0 {
		return chance
	}
	spare := highValueSpare * r.cfg.Classes[q.job.Class].Value / max(r.maxValue, 1e-9)
	if excess {
		spare = -overQuotaRoom
	}
	full := (max(r.projectedUse(writer, q.job.PromptTokens), r.bookedUse()) - refuseFromUse - spare) / (refuseAllUse - refuseFromUse)
	return max(chance, min(full, 1))
}

// retention stretches a memory of single servers: the more routers, the rarer each uses one.
func (r *Router) retention(span Duration) Duration {
	return max(span, min(span*Duration(r.cfg.Routers)/fewRouters, maxRetention))
}

// readWait is how long a request should wait in a reader's queue, beyond its own bare read.
func (r *Router) readWait(q *request, s *server) float64 {
	fresh := r.uncachedTokens(q, s)
	if r.hasFreshReport(s) {
		return (r.backlog(s) + minReadTokens) * r.nsPerToken
	}
	return (r.recentResponseTime(s)*(s.queuedTokens+fresh+minReadTokens) - fresh) * r.nsPerToken
}

// hasFreshReport tells whether a reader's own word on its queue is news. Few routers know it from their own reads.
func (r *Router) hasFreshReport(s *server) bool {
	return r.manyRouters && s.reportedAt > 0 && r.now-s.reportedAt < reportFreshness
}

// backlog is how many tokens wait at a reader, as far as this router can tell.
func (r *Router) backlog(s *server) float64 {
	if !r.hasFreshReport(s) {
		return s.queuedTokens
	}
	return max(s.queuedTokens, s.reportedQueue-float64(r.now-s.reportedAt)/r.nsPerToken)
}

// hasRoom tells whether a reader is under the spill bound and would not have a request refused.
func (r *Router) hasRoom(q *request, s *server) bool {
	bound := spilloverShare * float64(r.minTarget) / r.nsPerToken
	if !r.hasFreshReport(s) {
		bound /= float64(r.cfg.Routers) // as many may wait there for each of the others
	}
	return r.backlog(s) <= bound && r.readWait(q, s) <= admitShare*float64(r.firstTokenTarget(q))
}

// recentResponseTime is a server's answer time, faded once it is old: what is refused brings no news.
func (r *Router) recentResponseTime(s *server) float64 {
	span := r.retention(fadeSpan)
	return s.responseTime * decay(max(0, r.now-s.respondedAt-span), span)
}
