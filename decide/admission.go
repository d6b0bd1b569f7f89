package decide

// What is refused at its arrival, and the waits that this is judged by.

import "math"

// excess: this router's part of a tenant's share is used up; traffic beyond is the first to go.
func (r *Router) excess(q *request) bool {
	if q.job.Tenant >= len(r.tenants) || r.set.Tenants[q.job.Tenant].RequestsPerSecond <= 0 {
		return false
	}
	t := &r.tenants[q.job.Tenant]
	part := shareSlack * r.set.Tenants[q.job.Tenant].RequestsPerSecond / float64(r.set.Routers)
	seconds := float64(r.now-t.at) / float64(Second)
	t.left, t.at = min(max(t.left, -part)+part*seconds, part*shareBurst), r.now
	return t.left < 1
}

// books is the share of the sound writers' memory that is held if every router holds as much as this one.
// It shows at once what reports tell late; it may harm a router with more than its part of the traffic.
func (r *Router) books() float64 {
	if r.many {
		return 0 // this router's few streams tell nothing of the others'
	}
	booked, memory := 0.0, 0.0
	for _, s := range r.writers {
		if s.ready && !r.suspect(s, false) {
			booked += s.booked
			memory += s.memory
		}
	}
	if memory <= 0 {
		return 0 // the settings do not tell it
	}
	return answerGrowth * booked * float64(r.set.Routers) / memory
}

// refusal is how likely a request is to be refused at its arrival: what would come late takes the place of
// what could come in time, and full writers work twice. It may harm when a few servers make the usual times.
func (r *Router) refusal(q *request) float64 {
	reader, writer := r.pickReader(q), r.pickWriter(q, true)
	if reader == nil || writer == nil {
		return 0 // sending will find out
	}
	wait := r.readWait(q, reader)
	if r.many && !r.told(reader) { // it may not have been heard lately, others of its pool have
		wait = max(wait, (r.median(Reader, r.recent)-1)*r.fresh(q, reader)*r.pace)
	}
	wait += r.median(Writer, r.recent) * writeExpected
	excess := r.excess(q)
	late := wait / (admitShare * float64(r.aim(q)))
	if excess {
		late *= excessTimes
	}
	chance := 1 - math.Pow(max(late, 1), -admitPower)
	if writer.share < 0 {
		return chance
	}
	spare := fullSpare * r.set.Classes[q.job.Class].Value / max(r.mostWorth, 1e-9)
	if excess {
		spare = -excessRoom
	}
	full := (max(r.footprint(writer, q.job.PromptTokens), r.books()) - fullLow - spare) / (fullHigh - fullLow)
	return max(chance, min(full, 1))
}

// remembered stretches a memory of single servers: the more routers, the rarer each uses one.
func (r *Router) remembered(span Duration) Duration {
	return max(span, min(span*Duration(r.set.Routers)/fewRouters, longMemory))
}

// readWait is how long a request should wait in a reader's queue, beyond its own bare read.
func (r *Router) readWait(q *request, s *server) float64 {
	fresh := r.fresh(q, s)
	if r.told(s) {
		return (r.backlog(s) + paceTokens) * r.pace
	}
	return (r.recent(s)*(s.waiting+fresh+paceTokens) - fresh) * r.pace
}

// told tells whether a reader's own word on its queue is news. Few routers know it from their own reads.
func (r *Router) told(s *server) bool { return r.many && s.toldAt > 0 && r.now-s.toldAt < askFresh }

// backlog is how many tokens wait at a reader, as far as this router can tell.
func (r *Router) backlog(s *server) float64 {
	if !r.told(s) {
		return s.waiting
	}
	return max(s.waiting, s.queue-float64(r.now-s.toldAt)/r.pace)
}

// hasRoom tells whether a reader is under the spill bound and would not have a request refused.
func (r *Router) hasRoom(q *request, s *server) bool {
	bound := spillShare * float64(r.leastAim) / r.pace
	if !r.told(s) {
		bound /= float64(r.set.Routers) // as many may wait there for each of the others
	}
	return r.backlog(s) <= bound && r.readWait(q, s) <= admitShare*float64(r.aim(q))
}

// recent is a server's answer time, faded once it is old: what is refused brings no news.
func (r *Router) recent(s *server) float64 {
	span := r.remembered(fadeSpan)
	return s.answer * decay(max(0, r.now-s.answered-span), span)
}
