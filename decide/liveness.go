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

// unsure is an attempt that waits for a sign.
type unsure struct {
	request *request
	attempt int
	asked   int  // how often its server was asked for one
	askedAt Time // when it was asked last
	let     bool // what is held was let go
}

// mostAsked bounds what an attempt may cost: a server that hangs and can be reached is not asked for ever.
const mostAsked = 2

// heldUntil is the last instant at which what is held since a time may be let go.
func (r *Router) heldUntil(since Time) Time { return since + r.set.HoldTimeout + holdSlack }

// arrived tells whether the attempt that is out has come to its server: that gave a sign after the last byte
// had left, be it after a dial.
func (r *Router) arrived(q *request) bool { return q.out.heardAt > q.sentAt+r.set.DialTimeout }

// signBy is when the server of the attempt that is out has to have given its next sign.
func (r *Router) signBy(q *request) Time {
	if q.mayHold && !r.arrived(q) {
		return r.heldUntil(q.heldAt)
	}
	// It may have ended since, and its answer be lost.
	return r.heldUntil(max(q.sentAt, q.out.heardAt))
}

// waitLimit is how long an attempt may be waited for where it usually takes less: if its answer is lost, or
// the send is, another attempt has to arrive while what is held may be held yet.
func (r *Router) waitLimit() Duration {
	return r.set.HoldTimeout + holdSlack - r.set.DialTimeout - tickEvery
}

// heardWithin bounds the age of the connection for an attempt that is sent now: where something is held
// already, or the attempt is waited for for longer than what it may leave behind may be held. What has been
// held for a while goes out on a new one.
func (r *Router) heardWithin(q *request, after Duration) Duration {
	switch {
	case !r.seeks() || !q.mayHold && after <= r.waitLimit():
		return 0
	case q.mayHold && r.now-q.heldAt > r.set.DialTimeout:
		return 1
	}
	return r.set.DialTimeout
}

// seeks tells whether signs are looked for. Where they are not, every attempt counts as out.
func (r *Router) seeks() bool { return r.set.PauseHoldOnArrival && r.set.Probing && r.set.MayCancel }

// noteHeld notes since when what may be held for a request waits for an attempt, once the one that was out
// has ended. Only one that has come to its server was out. A read that is not heard of may have ended well.
func (r *Router) noteHeld(q *request, o Outcome) {
	lost := q.stage == reading && (o == TimedOut || o == Reset || o == Cancelled)
	switch {
	case o == ConnectFailed || o == NotStarted:
	case o == ReadDone || o == Served || !r.seeks():
		q.heldAt = r.now
	case lost && (r.arrived(q) || !q.mayHold):
		q.heldAt = q.sentAt // it may have ended at once
	case r.arrived(q):
		q.heldAt = r.now
	}
	q.mayHold = q.mayHold || lost && r.seeks()
}

// watchWait has an attempt that was just sent watched, if something may be held for it.
func (r *Router) watchWait(q *request) {
	if (q.stage == reading || q.mayHold) && r.seeks() {
		r.unsure = append(r.unsure, unsure{request: q, attempt: q.attempts - 1})
	}
}

// lookAtWaits asks the servers of attempts whose time is nearly over. A read whose reader was asked often
// enough is called off.
func (r *Router) lookAtWaits() {
	r.unsure = slices.DeleteFunc(r.unsure, func(u unsure) bool { return !r.isUnsure(u) })
	for i := range r.unsure {
		u := &r.unsure[i]
		r.letGoInTime(u)
		s := u.request.out
		switch {
		case s.checking || !r.due(u):
		case u.asked < mostAsked:
			s.checking = true
			u.asked++
			u.askedAt = r.now
			r.act(Action{Kind: Probe, Server: s.id, NewConnection: true})
		case r.isQuickRead(u.request):
			r.callOff(u)
		}
	}
}

// letGoInTime lets go of what is held for an attempt at a writer, when the time for that is nearly over.
func (r *Router) letGoInTime(u *unsure) {
	q := u.request
	if q.stage != writing || !q.mayHold || u.let || r.now+tickEvery < r.heldUntil(q.heldAt) {
		return
	}
	u.let = true
	q.state, q.mayHold = nil, false
	r.act(Action{Kind: Release, Request: q.id, DuringAttempt: true})
}

// due tells whether the time by which an attempt's server has to give a sign is nearly over. That it gave one
// to others does not show that a read's answer is not lost: its reader is asked all the same.
func (r *Router) due(u *unsure) bool {
	q := u.request
	by := r.signBy(q)
	if r.isQuickRead(q) {
		by = r.heldUntil(max(q.sentAt, u.askedAt))
		if q.mayHold && u.asked == 0 {
			by = min(by, r.signBy(q))
		}
	}
	return r.now+r.set.DialTimeout+tickEvery >= by
}

// isLost tells whether a check of a reader shows that the answer to a read is lost. At one that hangs it may
// have been before: the read is better made elsewhere. A read that should take long, as its reader had much
// to do, is lost when that tells of no queue any more.
func (r *Router) isLost(q *request, check *Event) bool {
	waited := r.now - q.sentAt
	if q.stage != reading || waited < r.waitLimit()-tickEvery {
		return false
	}
	if check.Outcome == Served && check.Report.QueuedKTokens >= 0 && float64(waited) >= waitTypical*r.expected(q) {
		return !r.explains(&check.Report)
	}
	suspicious := check.Outcome == TimedOut || check.Outcome == Served && !r.explains(&check.Report)
	return suspicious && r.isQuickRead(q)
}

// isQuickRead tells whether an attempt is a read that should take far less than what it leaves may be held.
func (r *Router) isQuickRead(q *request) bool {
	return q.stage == reading && waitTypical*r.expected(q) <= float64(r.waitLimit())
}

// explains tells whether a reader's report explains why a read takes so long: by a queue that takes so long.
func (r *Router) explains(rep *Report) bool {
	return 2*rep.QueuedKTokens*thousand*r.pace >= float64(r.waitLimit())
}

func (r *Router) callOff(u *unsure) {
	r.act(Action{Kind: Cancel, Request: u.request.id, Attempt: u.attempt})
}

// isUnsure tells whether an attempt is out that has not begun to answer.
func (r *Router) isUnsure(u unsure) bool {
	q := u.request
	return !q.closed && q.out != nil && q.stage != streaming && q.attempts-1 == u.attempt
}

// reached takes in whether a server can be reached. The attempts that wait at one that can't are called off,
// and so are those whose time is nearly over at one that answers and does not say why they take so long.
func (r *Router) reached(s *server, ev *Event) {
	s.checking = false
	for i := range r.unsure {
		u := &r.unsure[i]
		if !r.isUnsure(*u) || u.request.out != s {
			continue
		}
		if ev.Outcome == ConnectFailed || ev.NewConnection && r.isLost(u.request, ev) {
			r.callOff(u)
		}
	}
	if ev.Outcome == Served || ev.NewConnection && ev.Outcome != ConnectFailed {
		s.heardAt = r.now
	}
}

// expected is how long a read should take: by what waits at its reader, and no more than is usual where reads
// are quicker than that.
func (r *Router) expected(q *request) float64 {
	if usual := r.usual(Reader, nil); usual > 0 {
		return min(usual, 1) * q.expect
	}
	return q.expect
}
