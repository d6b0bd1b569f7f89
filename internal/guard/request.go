package guard

import (
	"strconv"
	"sync"
	"time"

	"mintdoor/decide"
)

// State is where a request stands.
type State uint8

// The states of a request, in the only order in which they follow each other; Waiting and Attempting take turns.
const (
	Receiving  State = iota // its bytes are coming
	Waiting                 // it is complete, and no attempt is out
	Attempting              // an attempt is out, whose answer has not begun
	Streaming               // the answer has begun: it belongs to the client, and nothing more is sent
	Decided                 // the final answer is known; an attempt that was called off may be out yet
	Closed                  // its connection is done with it
)

// Request is the state of one request of a client. Each step is asked for here by whoever takes it. It is safe for
// concurrent use.
type Request struct {
	guard    *Guard
	received time.Time

	mu       sync.Mutex
	name     string
	trail    trail
	state    State
	complete time.Time // its last byte was read
	waits    time.Time // until when its client waits; zero: not known
	deadline time.Time // waits, or earlier in a shutdown
	decided  time.Time // the final answer is known
	answered time.Time // the final answer, or its first event, goes to the client
	left     time.Time // its client is known to have gone
	gone     func() bool
	attempts int
	current  *Attempt // the one that is out
	// heldSince is since when engines may hold something for the request with no attempt out; zero: they hold nothing.
	heldSince time.Time
}

// Complete notes that the request's last byte was read, and until when its client waits.
func (r *Request) Complete(name string, deadline time.Time) {
	now := time.Now()
	r.mu.Lock()
	r.name, r.complete, r.waits, r.deadline = name, now, deadline, deadline
	r.state = max(r.state, Waiting)
	r.mu.Unlock()
	r.record(stepComplete, "", "waits "+deadline.Sub(now).Round(time.Millisecond).String())
}

// SetClientCheck gives the guard a way to ask the client's connection whether the client has gone. gone must not block.
func (r *Request) SetClientCheck(gone func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = gone
}

// Accepted notes that the core has taken the request, the name by which engines know it and its deadline.
func (r *Request) Accepted(name string, deadline time.Time) {
	r.mu.Lock()
	r.name, r.waits, r.deadline = name, deadline, deadline
	if r.complete.IsZero() {
		r.complete = time.Now()
	}
	r.state = max(r.state, Waiting)
	r.mu.Unlock()
	r.record(stepAccepted, "", "")
}

// LimitDeadline moves the deadline to an earlier instant.
func (r *Request) LimitDeadline(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if deadline.Before(r.deadline) {
		r.deadline = deadline
	}
}

// ClientLeft notes that the client has gone. Nothing is sent for it any more.
func (r *Request) ClientLeft() {
	r.mu.Lock()
	if !r.left.IsZero() || r.state == Closed {
		r.mu.Unlock()
		return
	}
	r.left = time.Now()
	r.mu.Unlock()
	r.record(stepClientLeft, "", "")
}

// hasLeft tells whether the client has gone; it asks the connection itself, where that can be asked.
func (r *Request) hasLeft() bool {
	r.mu.Lock()
	left, gone := !r.left.IsZero(), r.gone
	r.mu.Unlock()
	if left || gone == nil || !gone() {
		return left
	}
	r.ClientLeft()
	return true
}

// Decide asks for leave to give the final answer; only the first to ask gets it.
func (r *Request) Decide(ending, reason string) bool {
	r.mu.Lock()
	if !r.decided.IsZero() {
		r.mu.Unlock()
		return false
	}
	r.state, r.decided = max(r.state, Decided), time.Now()
	r.mu.Unlock()
	r.record(stepDecided, ending, reason)
	return true
}

// Expire asks for leave to give the final answer to a request whose answer has not begun, since its time is over.
func (r *Request) Expire(reason string) bool {
	r.mu.Lock()
	if !r.decided.IsZero() || r.state >= Streaming {
		r.mu.Unlock()
		return false
	}
	r.state, r.decided = Decided, time.Now()
	r.mu.Unlock()
	r.record(stepDecided, "expired", reason)
	return true
}

// IsDecided tells whether the final answer is known.
func (r *Request) IsDecided() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.decided.IsZero()
}

// BeginAnswer asks for leave to write the final answer, or its first event, to the client; what is its status. It is given
// once.
func (r *Request) BeginAnswer(what string) bool {
	now := time.Now()
	r.mu.Lock()
	second := !r.answered.IsZero()
	if !second {
		r.answered = now
	}
	deadline := r.waits
	late := !deadline.IsZero() && now.Sub(deadline) > time.Duration(decide.LateAnswerGrace)
	r.mu.Unlock()
	r.record(stepAnswered, what, "")
	switch {
	case second:
		r.guard.violated(SecondAnswer, r, what)
	case late && r.left.IsZero() && !r.guard.heldUp(deadline, now):
		r.guard.violated(LateAnswer, r, now.Sub(deadline).String())
	}
	return !second
}

// Finish notes that a request without a connection of its own is over: whoever asked for it has its final answer.
func (r *Request) Finish(reason string) {
	r.mu.Lock()
	if r.answered.IsZero() && !r.decided.IsZero() {
		r.answered = time.Now()
	}
	r.mu.Unlock()
	r.Closed(reason)
}

// Closed notes that the connection is done with the request.
func (r *Request) Closed(reason string) {
	r.mu.Lock()
	if r.state == Closed {
		r.mu.Unlock()
		return
	}
	r.state = Closed
	lost := r.answered.IsZero() && r.left.IsZero()
	r.mu.Unlock()
	r.record(stepClosed, "", reason)
	if lost {
		r.guard.violated(ClosedUnanswered, r, reason)
	}
	r.guard.remove(r)
}

// State returns where the request stands.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Attempts tells how many attempts have begun.
func (r *Request) Attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}

// Trail tells what has happened to the request so far, on one line.
func (r *Request) Trail() string {
	_, text := r.describe()
	return text
}

func (r *Request) describe() (name, trail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.name, r.trail.String()
}

// record adds a step to the trail.
func (r *Request) record(s step, subject, detail string) {
	e := event{step: s, at: time.Since(r.received), subject: subject, detail: detail}
	r.mu.Lock()
	r.trail.add(e)
	name := r.name
	r.mu.Unlock()
	r.guard.logStep(name, &e)
}

// Limits bound when an attempt's last byte may leave.
type Limits struct {
	Engine, Stage string        // for the trail
	Timeout       time.Duration // its time-out, for the trail
	SendBy        time.Time     // end of the window for repeats; zero: none
	DrainGrace    time.Duration
	// WithdrawnFor tells for how long the engine has taken nothing new; false: it takes requests. nil: it always does.
	WithdrawnFor func() (time.Duration, bool)
}

// SkipAttempt counts an attempt that has no use for some reason, and returns that.
func (r *Request) SkipAttempt(l Limits, reason error) (*Attempt, error) {
	r.mu.Lock()
	a := &Attempt{request: r, limits: l, Number: r.attempts}
	r.attempts++
	r.mu.Unlock()
	r.record(stepDenied, strconv.Itoa(a.Number), reason.Error())
	return a, reason
}

// BeginAttempt asks for leave to begin an attempt. It counts as an attempt, allowed or not, and has its number.
func (r *Request) BeginAttempt(l Limits) (*Attempt, error) {
	left := r.hasLeft()
	taken := r.guard.taken(r.completedAt())
	r.mu.Lock()
	a := &Attempt{request: r, limits: l, Number: r.attempts}
	r.attempts++
	var err error
	switch {
	case r.state >= Decided:
		err = r.guard.denied(Answered)
	case r.current != nil || r.state != Waiting:
		err = r.guard.denied(AnotherInFlight)
	case left:
		err = r.guard.denied(ClientLeft)
	case !taken:
		err = r.guard.denied(ShuttingDown)
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
	return r.complete
}
