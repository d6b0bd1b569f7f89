package decide

import "slices"

// Attempts without a response. What servers hold for a request may be held for HoldTimeout. The hold timer
// pauses only while an attempt is in flight, and a send that the network has dropped is not in flight. A read
// may also have ended, with its response lost. That a server accepts a new connection does not prove that an
// old one still works. Therefore
//
//   - a request with a hold is sent only on a connection that is new or has just carried a response
//     (lastResponseWithin);
//   - before the hold timer runs out the server has to prove that it can be reached, by any response or by
//     accepting a new connection. The router goes on waiting for a writer that can be reached but hangs. If
//     the server can't be reached the attempt is cancelled, so that another server gets the request or the
//     hold is released;
//   - a reader that then hangs, or responds without a queue that explains the wait, may have finished the
//     read, and its response is lost: the read is cancelled. It may be repeated, as a read has no effect;
//   - if the request may be retried, the wait for a writer that typically takes less is limited (waitLimit);
//   - when the hold timer runs out the hold is released, even if an attempt at a writer is in flight. If that
//     attempt has reached the writer, the writer has what it needs, or reports that the KV state is missing
//     and has not executed the request.

// unconfirmedAttempt is an attempt in flight without a response yet.
type unconfirmedAttempt struct {
	request  *request
	attempt  int
	probes   int  // reachability probes of its server so far
	probedAt Time // when the last one was sent
	released bool // the request's holds were released
}

// maxReachProbes limits the reachability probes per attempt, as a server that hangs but can be reached could
// be probed without end.
const maxReachProbes = 2

// releaseDeadline returns the latest time at which a hold may be released whose timer started at the given
// time.
func (r *Router) releaseDeadline(since Time) Time { return since + r.cfg.HoldTimeout + holdMargin }

// reachedServer reports whether the attempt in flight has reached its server: the server has responded since
// the last byte left, which a dial may have delayed.
func (r *Router) reachedServer(q *request) bool {
	return q.sentTo.lastResponse > q.sentAt+r.cfg.DialTimeout
}

// responseDeadline returns the time by which the server of the attempt in flight has to respond again.
func (r *Router) responseDeadline(q *request) Time {
	if q.mayHold && !r.reachedServer(q) {
		return r.releaseDeadline(q.holdStart)
	}
	// The attempt may have ended since, and its response may be lost.
	return r.releaseDeadline(max(q.sentAt, q.sentTo.lastResponse))
}

// waitLimit returns the longest wait for an attempt that typically takes less. If the response or the send is
// lost, another attempt can then still reach a server before the hold timer runs out.
func (r *Router) waitLimit() Duration {
	return r.cfg.HoldTimeout + holdMargin - r.cfg.DialTimeout - checkInterval
}

// lastResponseWithin returns the maximum age of the last response on the connection that carries an attempt
// sent now, or 0 if any connection will do. It is limited if the request has a hold, or if the timeout is
// longer than what the attempt may leave behind can be held. A request with a hold older than a dial needs a
// new connection.
func (r *Router) lastResponseWithin(q *request, after Duration) Duration {
	switch {
	case !r.checksLiveness() || !q.mayHold && after <= r.waitLimit():
		return 0
	case q.mayHold && r.now-q.holdStart > r.cfg.DialTimeout:
		return 1
	}
	return r.cfg.DialTimeout
}

// checksLiveness reports whether responses are checked for. If not, every attempt counts as in flight.
func (r *Router) checksLiveness() bool {
	return r.cfg.PauseHoldOnArrival && r.cfg.Probing && r.cfg.MayCancel
}

// updateHold sets the start of the hold timer after an attempt has ended. Only an attempt that reached its
// server has paused the timer. A read without a response may have succeeded, and then its reader holds a KV
// state.
func (r *Router) updateHold(q *request, o Outcome) {
	lost := q.stage == reading && (o == TimedOut || o == Reset || o == Cancelled)
	switch {
	case o == ConnectFailed || o == NotStarted:
	case o == ReadDone || o == Served || !r.checksLiveness():
		q.holdStart = r.now
	case lost && (r.reachedServer(q) || !q.mayHold):
		q.holdStart = q.sentAt // the read may have ended immediately
	case r.reachedServer(q):
		q.holdStart = r.now
	}
	q.mayHold = q.mayHold || lost && r.checksLiveness()
}

// trackUnconfirmed adds the attempt that was just sent to the unconfirmed ones, if something may be held for
// it.
func (r *Router) trackUnconfirmed(q *request) {
	if (q.stage == reading || q.mayHold) && r.checksLiveness() {
		r.unconfirmed = append(r.unconfirmed, unconfirmedAttempt{request: q, attempt: q.attempts - 1})
	}
}

// checkUnconfirmed probes the servers of attempts whose response is nearly overdue. A read whose reader has
// already been probed maxReachProbes times is cancelled.
func (r *Router) checkUnconfirmed() {
	r.unconfirmed = slices.DeleteFunc(r.unconfirmed,
		func(u unconfirmedAttempt) bool { return !r.isUnconfirmed(u) })
	for i := range r.unconfirmed {
		u := &r.unconfirmed[i]
		r.releaseInTime(u)
		s := u.request.sentTo
		switch {
		case s.reachProbe || !r.probeDue(u):
		case u.probes < maxReachProbes:
			s.reachProbe = true
			u.probes++
			u.probedAt = r.now
			r.emit(Action{Kind: Probe, Server: s.id, NewConnection: true})
		case r.isShortRead(u.request):
			r.cancelAttempt(u)
		}
	}
}

// releaseInTime releases the hold of an attempt at a writer when the hold timer has nearly run out.
func (r *Router) releaseInTime(u *unconfirmedAttempt) {
	q := u.request
	if q.stage != writing || !q.mayHold || u.released ||
		r.now+checkInterval < r.releaseDeadline(q.holdStart) {
		return
	}
	u.released = true
	q.stateAt, q.mayHold = nil, false
	r.emit(Action{Kind: Release, Request: q.id, DuringAttempt: true})
}

// probeDue reports whether the response of an attempt's server is nearly overdue. For a short read responses
// to other attempts do not count, as they do not prove that the response to this one is not lost.
func (r *Router) probeDue(u *unconfirmedAttempt) bool {
	q := u.request
	by := r.responseDeadline(q)
	if r.isShortRead(q) {
		by = r.releaseDeadline(max(q.sentAt, u.probedAt))
		if q.mayHold && u.probes == 0 {
			by = min(by, r.responseDeadline(q))
		}
	}
	return r.now+r.cfg.DialTimeout+checkInterval >= by
}

// isAnswerLost reports whether a reachability probe of a reader shows that the response to a read is lost. If
// the reader hangs, the response may have been lost before, and the read is better repeated elsewhere. A read
// that was expected to take long, because of the reader's queue, is lost when the reader reports no such
// queue any more.
func (r *Router) isAnswerLost(q *request, probe *Event) bool {
	waited := r.now - q.sentAt
	if q.stage != reading || waited < r.waitLimit()-checkInterval {
		return false
	}
	if probe.Outcome == Served && probe.Report.QueuedKTokens >= 0 &&
		float64(waited) >= waitFactor*r.expectedReadTime(q) {
		return !r.explainsWait(&probe.Report)
	}
	suspicious := probe.Outcome == TimedOut || probe.Outcome == Served && !r.explainsWait(&probe.Report)
	return suspicious && r.isShortRead(q)
}

// isShortRead reports whether an attempt is a read that should take far less time than its KV state may be
// held.
func (r *Router) isShortRead(q *request) bool {
	return q.stage == reading && waitFactor*r.expectedReadTime(q) <= float64(r.waitLimit())
}

// explainsWait reports whether a reader reports a queue that is long enough to explain why a read takes so
// long.
func (r *Router) explainsWait(rep *Report) bool {
	return 2*rep.QueuedKTokens*thousand*r.nsPerToken >= float64(r.waitLimit())
}

// cancelAttempt cancels an unconfirmed attempt.
func (r *Router) cancelAttempt(u *unconfirmedAttempt) {
	r.emit(Action{Kind: Cancel, Request: u.request.id, Attempt: u.attempt})
}

// isUnconfirmed reports whether an attempt is still in flight and has no first token.
func (r *Router) isUnconfirmed(u unconfirmedAttempt) bool {
	q := u.request
	return !q.closed && q.sentTo != nil && q.stage != streaming && q.attempts-1 == u.attempt
}

// recordReachability processes the outcome of a probe. If the server can't be reached all its unconfirmed
// attempts are cancelled. After a reachability probe, so are the reads whose response is nearly overdue
// without an explanation.
func (r *Router) recordReachability(s *server, ev *Event) {
	s.reachProbe = false
	for i := range r.unconfirmed {
		u := &r.unconfirmed[i]
		if !r.isUnconfirmed(*u) || u.request.sentTo != s {
			continue
		}
		if ev.Outcome == ConnectFailed || ev.NewConnection && r.isAnswerLost(u.request, ev) {
			r.cancelAttempt(u)
		}
	}
	if ev.Outcome == Served || ev.NewConnection && ev.Outcome != ConnectFailed {
		s.lastResponse = r.now
	}
}

// expectedReadTime returns how long a read should take, in ns: the time computed from its reader's queue, or
// less where reads typically take less than computed.
func (r *Router) expectedReadTime(q *request) float64 {
	if typical := r.typicalTime(Reader, nil); typical > 0 {
		return min(typical, 1) * q.expectedTime
	}
	return q.expectedTime
}
