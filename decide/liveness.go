package decide

import "slices"

// Waits without a sign. What is held for a request may be held for a time, which rests only while an attempt
// is out; and a send that the network has dropped is not out. A read may have ended, too, though its answer
// was dropped. That a server takes a new connection does not show that an old one still carries anything. So
//
//   - what is held goes out only on a connection that is new, or has just brought an answer (heardWithin);
//   - before the time is over the server has to show that it can be reached, by an answer to whatever, or by
//     taking a new connection. A writer that is reached and hangs is waited for. At a server that is not, the
//     attempt is called off, so that another gets the request, or what is held is let go;
//   - a reader that hangs then, or answers and has no queue that explains the wait, may have read, and the
//     answer is lost: the read is called off. It may be made again, which has no effect;
//   - no writer that usually takes less is waited for beyond that time, if the request may be sent again
//     (waitLimit);
//   - when the time is over what is held is let go, though an attempt at a writer may be out. If it has come
//     there the writer has what it needs, or says that the state is gone and has not run the request.

// unconfirmedAttempt is an attempt that waits for a sign.
type unconfirmedAttempt struct {
	request  *request
	attempt  int
	probes   int  // how often its server was asked for one
	probedAt Time // when it was asked last
	released bool // what is held was let go
}

// maxReachProbes bounds what an attempt may cost: a server that hangs and can be reached is not asked for ever.
const maxReachProbes = 2

// releaseDeadline is the last instant at which what is held since a time may be let go.
func (r *Router) releaseDeadline(since Time) Time { return since + r.cfg.HoldTimeout + holdMargin }

// reachedServer tells whether the attempt that is out has come to its server: that gave a sign after the last byte
// had left, be it after a dial.
func (r *Router) reachedServer(q *request) bool {
	return q.sentTo.lastResponse > q.sentAt+r.cfg.DialTimeout
}

// responseDeadline is when the server of the attempt that is out has to have given its next sign.
func (r *Router) responseDeadline(q *request) Time {
	if q.mayHold && !r.reachedServer(q) {
		return r.releaseDeadline(q.holdStart)
	}
	// It may have ended since, and its answer be lost.
	return r.releaseDeadline(max(q.sentAt, q.sentTo.lastResponse))
}

// waitLimit is how long an attempt may be waited for where it usually takes less: if its answer is lost, or
// the send is, another attempt has to arrive while what is held may be held yet.
func (r *Router) waitLimit() Duration {
	return r.cfg.HoldTimeout + holdMargin - r.cfg.DialTimeout - checkInterval
}

// lastResponseWithin bounds the age of the connection for an attempt that is sent now: where something is held
// already, or the attempt is waited for for longer than what it may leave behind may be held. What has been
// held for a while goes out on a new one.
func (r *Router) lastResponseWithin(q *request, after Duration) Duration {
	switch {
	case !r.checksLiveness() || !q.mayHold && after <= r.waitLimit():
		return 0
	case q.mayHold && r.now-q.holdStart > r.cfg.DialTimeout:
		return 1
	}
	return r.cfg.DialTimeout
}

// checksLiveness tells whether signs are looked for. Where they are not, every attempt counts as out.
func (r *Router) checksLiveness() bool {
	return r.cfg.PauseHoldOnArrival && r.cfg.Probing && r.cfg.MayCancel
}

// updateHold notes since when what may be held for a request waits for an attempt, once the one that was out
// has ended. Only one that has come to its server was out. A read that is not heard of may have ended well.
func (r *Router) updateHold(q *request, o Outcome) {
	lost := q.stage == reading && (o == TimedOut || o == Reset || o == Cancelled)
	switch {
	case o == ConnectFailed || o == NotStarted:
	case o == ReadDone || o == Served || !r.checksLiveness():
		q.holdStart = r.now
	case lost && (r.reachedServer(q) || !q.mayHold):
		q.holdStart = q.sentAt // it may have ended at once
	case r.reachedServer(q):
		q.holdStart = r.now
	}
	q.mayHold = q.mayHold || lost && r.checksLiveness()
}

// trackUnconfirmed has an attempt that was just sent watched, if something may be held for it.
func (r *Router) trackUnconfirmed(q *request) {
	if (q.stage == reading || q.mayHold) && r.checksLiveness() {
		r.unconfirmed = append(r.unconfirmed, unconfirmedAttempt{request: q, attempt: q.attempts - 1})
	}
}

// checkUnconfirmed asks the servers of attempts whose time is nearly over. A read whose reader was asked often
// enough is called off.
func (r *Router) checkUnconfirmed() {
	r.unconfirmed = slices.DeleteFunc(r.unconfirmed, func(u unconfirmedAttempt) bool { return !r.isUnconfirmed(u) })
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

// releaseInTime lets go of what is held for an attempt at a writer, when the time for that is nearly over.
func (r *Router) releaseInTime(u *unconfirmedAttempt) {
	q := u.request
	if q.stage != writing || !q.mayHold || u.released || r.now+checkInterval < r.releaseDeadline(q.holdStart) {
		return
	}
	u.released = true
	q.stateAt, q.mayHold = nil, false
	r.emit(Action{Kind: Release, Request: q.id, DuringAttempt: true})
}

// probeDue tells whether the time by which an attempt's server has to give a sign is nearly over. That it gave one
// to others does not show that a read's answer is not lost: its reader is asked all the same.
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

// isAnswerLost tells whether a check of a reader shows that the answer to a read is lost. At one that hangs it may
// have been before: the read is better made elsewhere. A read that should take long, as its reader had much
// to do, is lost when that tells of no queue any more.
func (r *Router) isAnswerLost(q *request, check *Event) bool {
	waited := r.now - q.sentAt
	if q.stage != reading || waited < r.waitLimit()-checkInterval {
		return false
	}
	if check.Outcome == Served && check.Report.QueuedKTokens >= 0 && float64(waited) >= waitFactor*r.expectedReadTime(q) {
		return !r.explainsWait(&check.Report)
	}
	suspicious := check.Outcome == TimedOut || check.Outcome == Served && !r.explainsWait(&check.Report)
	return suspicious && r.isShortRead(q)
}

// isShortRead tells whether an attempt is a read that should take far less than what it leaves may be held.
func (r *Router) isShortRead(q *request) bool {
	return q.stage == reading && waitFactor*r.expectedReadTime(q) <= float64(r.waitLimit())
}

// explainsWait tells whether a reader's report explainsWait why a read takes so long: by a queue that takes so long.
func (r *Router) explainsWait(rep *Report) bool {
	return 2*rep.QueuedKTokens*thousand*r.nsPerToken >= float64(r.waitLimit())
}

func (r *Router) cancelAttempt(u *unconfirmedAttempt) {
	r.emit(Action{Kind: Cancel, Request: u.request.id, Attempt: u.attempt})
}

// isUnconfirmed tells whether an attempt is out that has not begun to answer.
func (r *Router) isUnconfirmed(u unconfirmedAttempt) bool {
	q := u.request
	return !q.closed && q.sentTo != nil && q.stage != streaming && q.attempts-1 == u.attempt
}

// recordReachability takes in whether a server can be recordReachability. The attempts that wait at one that can't are called off,
// and so are those whose time is nearly over at one that answers and does not say why they take so long.
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

// expectedReadTime is how long a read should take: by what waits at its reader, and no more than is usual where reads
// are quicker than that.
func (r *Router) expectedReadTime(q *request) float64 {
	if usual := r.typicalTime(Reader, nil); usual > 0 {
		return min(usual, 1) * q.expectedTime
	}
	return q.expectedTime
}
