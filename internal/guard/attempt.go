package guard

import (
	"strconv"
	"time"

	"mintdoor/decide"
)

// Attempt is one send of a request to an engine. What writes it asks MaySend immediately before the last byte, and tells
// Sent immediately after. Its fields are guarded by the request's lock.
type Attempt struct {
	request *Request
	limits  Limits
	Number  int

	cleared time.Time // MaySend gave leave
	sent    time.Time // the last byte has left
	ended   bool
}

// MaySend asks for leave to write the attempt's last byte; told is how much time its engine is told. Everything that forbids
// it is looked at here, in the last moment: dials and writes take time. The error is a Denial.
func (a *Attempt) MaySend(told time.Duration) error {
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
		err = r.guard.denied(ClientLeft)
	case r.state != Attempting || r.current != a:
		err = r.guard.denied(Answered)
	case withdrawn:
		err = r.guard.denied(Withdrawn)
	case now.After(r.deadline), !a.limits.SendBy.IsZero() && now.After(a.limits.SendBy):
		err = r.guard.denied(TooLate)
	case !r.waits.IsZero() && now.Add(told).Sub(r.waits) > staleSlack:
		err = r.guard.denied(Stale)
	default:
		a.cleared = now
	}
	r.mu.Unlock()
	if err != nil {
		r.record(stepDenied, strconv.Itoa(a.Number), err.Error())
	}
	return err
}

// Connected notes that the attempt has a connection to its engine, which has carried some exchanges before.
func (a *Attempt) Connected(uses int) {
	detail := "new"
	if uses > 0 {
		detail = "used " + strconv.Itoa(uses)
	}
	a.request.record(stepConnected, strconv.Itoa(a.Number), detail)
}

// staleSlack is how much more time than is left an engine may be told when the last byte leaves: what a write usually takes.
const staleSlack = 10 * time.Millisecond

// Sent tells that the attempt's last byte has left, and how much time the engine was told. What is wrong now has happened:
// it counts as a violation.
func (a *Attempt) Sent(told time.Duration) {
	now := time.Now()
	r := a.request
	withdrawnFor, withdrawn := time.Duration(0), false
	if a.limits.WithdrawnFor != nil {
		withdrawnFor, withdrawn = a.limits.WithdrawnFor()
	}
	r.mu.Lock()
	a.sent = now
	cleared, current, left, deadline := a.cleared, r.current, r.left, r.waits
	notAfter, decided := a.limits.SendBy, r.decided
	r.mu.Unlock()
	r.record(stepSent, strconv.Itoa(a.Number), "")
	if cleared.IsZero() {
		r.guard.violated(UnguardedSend, r, "")
		return
	}
	if now.Sub(cleared) > time.Duration(decide.MaxPause) || r.guard.heldUp(cleared, now) {
		return // between its clock and the write; nobody can help that
	}
	late := time.Duration(decide.MaxPause)
	switch {
	case current != nil && current != a:
		r.guard.violated(SecondCopy, r, "")
	case !decided.IsZero() && decided.Before(cleared):
		r.guard.violated(SentAfterAnswer, r, "")
	case !left.IsZero() && now.Sub(left) > time.Duration(decide.ClientLeftGrace):
		r.guard.violated(SentAfterLeave, r, now.Sub(left).String())
	case !notAfter.IsZero() && now.Sub(notAfter) > late:
		r.guard.violated(SentPastWindow, r, now.Sub(notAfter).String())
	case withdrawn && withdrawnFor > a.limits.DrainGrace:
		r.guard.violated(SentToWithdrawn, r, withdrawnFor.String())
	case now.Add(told).Sub(deadline) > time.Duration(decide.DeadlineSlack):
		r.guard.violated(DeadlineOverstated, r, now.Add(told).Sub(deadline).String())
	case !r.guard.taken(r.completedAt()):
		r.guard.violated(SentInShutdown, r, "")
	}
}

// WasSent tells whether the attempt's last byte has left.
func (a *Attempt) WasSent() bool {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return !a.sent.IsZero()
}

// GrantFirstToken asks for leave to pass the attempt's first event on to the client. From then on the answer belongs to it.
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

// End notes how the attempt has ended: its engine has answered, or sees its connection closed.
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

// InFlight tells whether the attempt has begun and not ended.
func (a *Attempt) InFlight() bool {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return !a.ended
}
