package guard

import (
	"strconv"
	"sync"
	"time"
)

// Request is one request of a client, from its first byte until its connection is done with it. It is safe for
// concurrent use.
type Request struct {
	guard    *Guard
	received time.Time

	mu    sync.Mutex
	name  string
	trail trail
}

// Complete notes that the request's last byte was read, and until when its client waits.
func (r *Request) Complete(name string, deadline time.Time) {
	r.mu.Lock()
	r.name = name
	r.mu.Unlock()
	r.note(stepComplete, "", "waits "+time.Until(deadline).Round(time.Millisecond).String())
}

// Accepted notes that the core has taken the request, and the name by which engines know it.
func (r *Request) Accepted(name string) {
	r.mu.Lock()
	r.name = name
	r.mu.Unlock()
	r.note(stepAccepted, "", "")
}

// Attempt notes that an attempt begins.
func (r *Request) Attempt(number int, engine, stage string, within time.Duration) {
	r.note(stepAttempt, strconv.Itoa(number)+" "+stage+" "+engine, "within "+within.Round(time.Millisecond).String())
}

// AttemptEnded notes how an attempt has ended.
func (r *Request) AttemptEnded(number int, outcome string, err error) {
	if err != nil {
		outcome += ": " + err.Error()
	}
	r.note(stepAttemptEnded, strconv.Itoa(number), outcome)
}

// FirstToken notes that an attempt's answer has begun and belongs to the client.
func (r *Request) FirstToken(number int) { r.note(stepFirstToken, strconv.Itoa(number), "") }

// ClientLeft notes that the client has gone.
func (r *Request) ClientLeft() { r.note(stepClientLeft, "", "") }

// Decided notes the final answer that the core has given, with its reason.
func (r *Request) Decided(ending, reason string) { r.note(stepDecided, ending, reason) }

// Answered notes that the final answer was written to the client, or its first event; what is its status.
func (r *Request) Answered(what string) { r.note(stepAnswered, what, "") }

// Closed notes that the connection is done with the request.
func (r *Request) Closed(reason string) {
	r.note(stepClosed, "", reason)
	r.guard.remove(r)
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

func (r *Request) note(s step, subject, detail string) {
	e := event{step: s, at: time.Since(r.received), subject: subject, detail: detail}
	r.mu.Lock()
	r.trail.add(e)
	name := r.name
	r.mu.Unlock()
	r.guard.logStep(name, &e)
}
