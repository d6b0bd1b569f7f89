package guard

import (
	"strconv"
	"sync"
	"time"

	"mintdoor/decide"
)

// State is the phase that a request is in.
type State uint8

// The states of a request, in the order in which they follow each other; only Waiting and Attempting alternate.
const (
	Receiving  State = iota // its bytes are arriving
	Waiting                 // it is complete, and no attempt is in flight
	Attempting              // an attempt is in flight, and its answer has not started
	Streaming               // the answer has started and goes to the client; nothing more is sent to engines
	Decided                 // the final answer is known; a cancelled attempt may still be in flight
	Closed                  // the connection has finished with it
)

// Request is the state of one client request. Whoever takes a step asks for permission here first. It is safe for
// concurrent use.
type Request struct {
	guard    *Guard
	received time.Time

	mu             sync.Mutex
	name           string
	trail          trail
	state          State
	completeAt     time.Time // its last byte was read
	clientDeadline time.Time // when its client stops waiting; zero: unknown
	deadline       time.Time // the client's deadline, or earlier during a shutdown
	decidedAt      time.Time // the final answer is known
	answeredAt     time.Time // the final answer, or its first event, is written to the client
	leftAt         time.Time // its client is known to have left
	clientGone     func() bool
	attempts       int
	current        *Attempt // the attempt in flight, or nil
	// holdStart is the hold timer start: since then, engines may hold something for the request while no attempt is
	// in flight. Zero means that nothing is held.
	holdStart time.Time
}

// Complete records that the request's last byte was read, and when its client stops waiting.
func (r *Request) Complete(name string, deadline time.Time) {
	now := time.Now()
	r.mu.Lock()
	r.name, r.completeAt, r.clientDeadline, r.deadline = name, now, deadline, deadline
	r.state = max(r.state, Waiting)
	r.mu.Unlock()
	r.record(stepComplete, "", "waits "+deadline.Sub(now).Round(time.Millisecond).String())
}

// SetClientCheck sets a function that asks the client's connection whether the client has left. The function must not
// block.
func (r *Request) SetClientCheck(check func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clientGone = check
}

// Accepted records that the router has accepted the request, the name by which engines know it, and its deadline.
func (r *Request) Accepted(name string, deadline time.Time) {
	r.mu.Lock()
	r.name, r.clientDeadline, r.deadline = name, deadline, deadline
	if r.completeAt.IsZero() {
		r.completeAt = time.Now()
	}
	r.state = max(r.state, Waiting)
	r.mu.Unlock()
	r.record(stepAccepted, "", "")
}

// LimitDeadline moves the deadline to an earlier instant. Later instants are ignored.
func (r *Request) LimitDeadline(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if deadline.Before(r.deadline) {
		r.deadline = deadline
	}
}

// ClientLeft records that the client has left. Nothing is sent for the request any more.
func (r *Request) ClientLeft() {
	r.mu.Lock()
	if !r.leftAt.IsZero() || r.state == Closed {
		r.mu.Unlock()
		return
	}
	r.leftAt = time.Now()
	r.mu.Unlock()
	r.record(stepClientLeft, "", "")
}

// hasLeft reports whether the client has left. If there is a check for the connection itself, hasLeft uses it.
func (r *Request) hasLeft() bool {
	r.mu.Lock()
	left, gone := !r.leftAt.IsZero(), r.clientGone
	r.mu.Unlock()
	if left || gone == nil || !gone() {
		return left
	}
	r.ClientLeft()
	return true
}

// Decide asks for permission to give the final answer. Only the first caller gets it.
func (r *Request) Decide(ending, reason string) bool {
	r.mu.Lock()
	if !r.decidedAt.IsZero() {
		r.mu.Unlock()
		return false
	}
	r.state, r.decidedAt = max(r.state, Decided), time.Now()
	r.mu.Unlock()
	r.record(stepDecided, ending, reason)
	return true
}

// Expire asks for permission to give the final answer to a request whose time is over and whose answer has not
// started.
func (r *Request) Expire(reason string) bool {
	r.mu.Lock()
	if !r.decidedAt.IsZero() || r.state >= Streaming {
		r.mu.Unlock()
		return false
	}
	r.state, r.decidedAt = Decided, time.Now()
	r.mu.Unlock()
	r.record(stepDecided, "expired", reason)
	return true
}

// IsDecided reports whether the final answer is known.
func (r *Request) IsDecided() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.decidedAt.IsZero()
}

// BeginAnswer asks for permission to write the final answer, or its first event, to the client; status is the
// answer's status. Permission is given once.
func (r *Request) BeginAnswer(status string) bool {
	now := time.Now()
	r.mu.Lock()
	second := !r.answeredAt.IsZero()
	if !second {
		r.answeredAt = now
	}
	deadline := r.clientDeadline
	late := !deadline.IsZero() && now.Sub(deadline) > time.Duration(decide.LateAnswerGrace)
	r.mu.Unlock()
	r.record(stepAnswered, status, "")
	switch {
	case second:
		r.guard.recordViolation(SecondAnswer, r, status)
	case late && r.leftAt.IsZero() && !r.guard.pausedBetween(deadline, now):
		r.guard.recordViolation(LateAnswer, r, now.Sub(deadline).String())
	}
	return !second
}

// Finish records that a request without a connection of its own is over: its caller has the final answer.
func (r *Request) Finish(reason string) {
	r.mu.Lock()
	if r.answeredAt.IsZero() && !r.decidedAt.IsZero() {
		r.answeredAt = time.Now()
	}
	r.mu.Unlock()
	r.Closed(reason)
}

// Closed records that the connection has finished with the request.
func (r *Request) Closed(reason string) {
	r.mu.Lock()
	if r.state == Closed {
		r.mu.Unlock()
		return
	}
	r.state = Closed
	lost := r.answeredAt.IsZero() && r.leftAt.IsZero()
	r.mu.Unlock()
	r.record(stepClosed, "", reason)
	if lost {
		r.guard.recordViolation(ClosedUnanswered, r, reason)
	}
	r.guard.remove(r)
}

// State returns the request's current state.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Attempts returns the number of attempts, including denied and skipped ones.
func (r *Request) Attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}

// Trail returns the request's event trail as one line.
func (r *Request) Trail() string {
	_, text := r.describe()
	return text
}

// describe returns the request's name and its event trail.
func (r *Request) describe() (name, trail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.name, r.trail.String()
}

// record adds a step to the event trail and logs it.
func (r *Request) record(s step, subject, detail string) {
	e := event{step: s, at: time.Since(r.received), subject: subject, detail: detail}
	r.mu.Lock()
	r.trail.add(e)
	name := r.name
	r.mu.Unlock()
	r.guard.logStep(name, &e)
}

// Limits holds the conditions for sending an attempt's last byte, and what the event trail says about the attempt.
type Limits struct {
	Engine, Stage string        // for the event trail
	Timeout       time.Duration // the attempt's timeout, for the event trail
	SendBy        time.Time     // end of the window in which engines drop retries; zero: none
	DrainGrace    time.Duration // how long after its withdrawal an engine may still get an attempt
	// WithdrawnFor returns for how long the engine has been draining or removed, and whether it is. Nil means that
	// the engine always accepts attempts.
	WithdrawnFor func() (time.Duration, bool)
}

// SkipAttempt counts an attempt that is not worth starting for the given reason, and returns that reason as the
// error.
func (r *Request) SkipAttempt(l Limits, reason error) (*Attempt, error) {
	r.mu.Lock()
	a := &Attempt{request: r, limits: l, Number: r.attempts}
	r.attempts++
	r.mu.Unlock()
	r.record(stepDenied, strconv.Itoa(a.Number), reason.Error())
	return a, reason
}

// BeginAttempt asks for permission to start an attempt. The attempt is counted and numbered whether or not it is
// allowed.
func (r *Request) BeginAttempt(l Limits) (*Attempt, error) {
	left := r.hasLeft()
	accepted := r.guard.accepts(r.completedAt())
	r.mu.Lock()
	a := &Attempt{request: r, limits: l, Number: r.attempts}
	r.attempts++
	var err error
	switch {
	case r.state >= Decided:
		err = r.guard.deny(Answered)
	case r.current != nil || r.state != Waiting:
		err = r.guard.deny(AnotherInFlight)
	case left:
		err = r.guard.deny(ClientLeft)
	case !accepted:
		err = r.guard.deny(ShuttingDown)
	default:
		r.state, r.current = Attempting, a
	}
	r.mu.Unlock()
	if err != nil {
		r.record(stepDenied, strconv.Itoa(a.Number)+" "+l.Stage+" "+l.Engine, err.Error())
		return a, err
	}
	r.record(stepAttempt, strconv.Itoa(a.Number)+" "+l.Stage+" "+l.Engine, "within "+l.Timeout.Round(time.Millisecond).String())
	return a, nil
}

func (r *Request) completedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeAt
}
