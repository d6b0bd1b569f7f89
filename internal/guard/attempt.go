package guard

import (
	"strconv"
	"time"

	"mintdoor/decide"
)

// Attempt is one send of a request to an engine. The code that writes the request to the engine asks MaySend
// immediately before the last byte, and calls Sent immediately after it. The fields are guarded by the request's
// lock.
type Attempt struct {
	request *Request
	limits  Limits
	Number  int

	allowedAt time.Time // MaySend allowed the send; zero: not yet
	sentAt    time.Time // the last byte was written; zero: not yet
	ended     bool
}

// MaySend asks for permission to write the attempt's last byte; advertised is the remaining time that the engine is
// told. Everything that forbids the send is checked here, at the last moment, because dials and writes take time. The
// error is a Denial.
func (a *Attempt) MaySend(advertised time.Duration) error {
	r := a.request
	left := r.hasLeft()
	withdrawn := false
	if a.limits.WithdrawnFor != nil {
		_, withdrawn = a.limits.WithdrawnFor()
	}
	r.mu.Lock()
	now := time.Now()
	var err error
	switch {
	case left:
		err = r.guard.deny(ClientLeft)
	case r.state != Attempting || r.current != a:
		err = r.guard.deny(Answered)
	case withdrawn:
		err = r.guard.deny(Withdrawn)
	case now.After(r.deadline), !a.limits.SendBy.IsZero() && now.After(a.limits.SendBy):
		err = r.guard.deny(TooLate)
	case !r.clientDeadline.IsZero() && now.Add(advertised).Sub(r.clientDeadline) > staleTolerance:
		err = r.guard.deny(Stale)
	default:
		a.allowedAt = now
	}
	r.mu.Unlock()
	if err != nil {
		r.record(stepDenied, strconv.Itoa(a.Number), err.Error())
	}
	return err
}

// Connected records that the attempt has a connection to its engine; uses is the number of exchanges that the
// connection has carried before.
func (a *Attempt) Connected(uses int) {
	detail := "new"
	if uses > 0 {
		detail = "used " + strconv.Itoa(uses)
	}
	a.request.record(stepConnected, strconv.Itoa(a.Number), detail)
}

// staleTolerance is by how much the time that an engine is told may exceed the time left when the last byte is
// written. It covers the usual duration of a write.
const staleTolerance = 10 * time.Millisecond

// Sent records that the attempt's last byte was written; advertised is the remaining time that the engine was told.
// The send has happened, so whatever is wrong with it counts as a violation.
func (a *Attempt) Sent(advertised time.Duration) {
	now := time.Now()
	r := a.request
	withdrawnFor, withdrawn := time.Duration(0), false
	if a.limits.WithdrawnFor != nil {
		withdrawnFor, withdrawn = a.limits.WithdrawnFor()
	}
	r.mu.Lock()
	a.sentAt = now
	allowed, current, left, deadline := a.allowedAt, r.current, r.leftAt, r.clientDeadline
	sendBy, decided := a.limits.SendBy, r.decidedAt
	r.mu.Unlock()
	r.record(stepSent, strconv.Itoa(a.Number), "")
	if allowed.IsZero() {
		r.guard.recordViolation(UnguardedSend, r, "")
		return
	}
	if now.Sub(allowed) > time.Duration(decide.MaxPause) || r.guard.pausedBetween(allowed, now) {
		return // a pause between reading the clock and the write can't be prevented
	}
	late := time.Duration(decide.MaxPause)
	switch {
	case current != nil && current != a:
		r.guard.recordViolation(SecondCopy, r, "")
	case !decided.IsZero() && decided.Before(allowed):
		r.guard.recordViolation(SentAfterAnswer, r, "")
	case !left.IsZero() && now.Sub(left) > time.Duration(decide.ClientLeftGrace):
		r.guard.recordViolation(SentAfterLeave, r, now.Sub(left).String())
	case !sendBy.IsZero() && now.Sub(sendBy) > late:
		r.guard.recordViolation(SentPastWindow, r, now.Sub(sendBy).String())
	case withdrawn && withdrawnFor > a.limits.DrainGrace:
		r.guard.recordViolation(SentToWithdrawn, r, withdrawnFor.String())
	case now.Add(advertised).Sub(deadline) > time.Duration(decide.DeadlineSlack):
		r.guard.recordViolation(DeadlineOverstated, r, now.Add(advertised).Sub(deadline).String())
	case !r.guard.accepts(r.completedAt()):
		r.guard.recordViolation(SentInShutdown, r, "")
	}
}

// WasSent reports whether the attempt's last byte was written.
func (a *Attempt) WasSent() bool {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return !a.sentAt.IsZero()
}

// GrantFirstToken asks for permission to pass the attempt's first event on to the client. From then on the answer
// belongs to this attempt.
func (a *Attempt) GrantFirstToken() bool {
	r := a.request
	r.mu.Lock()
	ok := r.state == Attempting && r.current == a
	if ok {
		r.state = Streaming
	}
	r.mu.Unlock()
	if ok {
		r.record(stepFirstToken, strconv.Itoa(a.Number), "")
	}
	return ok
}

// End records how the attempt has ended: its engine has answered or sees the connection closed.
func (a *Attempt) End(outcome string, err error) {
	r := a.request
	r.mu.Lock()
	if a.ended {
		r.mu.Unlock()
		return
	}
	a.ended = true
	if r.current == a {
		r.current = nil
	}
	if r.state == Attempting {
		r.state = Waiting
	}
	r.mu.Unlock()
	if err != nil {
		outcome += ": " + err.Error()
	}
	r.record(stepAttemptEnded, strconv.Itoa(a.Number), outcome)
}

// InFlight reports whether the attempt has started and not ended.
func (a *Attempt) InFlight() bool {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return !a.ended
}
