package guard

import (
	"strings"
	"time"
)

// step is a kind of event in the life of a request.
type step uint8

const (
	stepReceived step = iota
	stepComplete
	stepAccepted
	stepAttempt
	stepConnected
	stepSent
	stepDenied
	stepAttemptEnded
	stepFirstToken
	stepClientLeft
	stepDecided
	stepAnswered
	stepClosed
	stepReleased
)

var stepNames = [...]string{
	stepReceived: "received", stepComplete: "complete", stepAccepted: "accepted", stepAttempt: "attempt",
	stepConnected: "connected", stepSent: "sent",
	stepDenied:       "denied",
	stepAttemptEnded: "attempt-ended", stepFirstToken: "first-token", stepClientLeft: "client-left",
	stepDecided: "decided", stepAnswered: "answered", stepClosed: "closed",
	stepReleased: "let-go",
}

// message returns the step's log message. Each step has its own message, so that log sampling doesn't drop the rare
// ones.
func (s step) message() string { return "request " + stepNames[s] }

// event is one step of one request.
type event struct {
	step            step
	at              time.Duration // since the request's first byte
	subject, detail string
}

// maxTrailEvents is the maximum number of events in a trail.
const maxTrailEvents = 64

// trail is the sequence of events of a request. When it is full, a new event replaces the last but one, so that the
// first events and the latest two are kept.
type trail struct {
	events  []event
	dropped int
}

func (t *trail) add(e event) {
	if len(t.events) == maxTrailEvents {
		t.events = append(t.events[:maxTrailEvents-2], t.events[maxTrailEvents-1])
		t.dropped++
	}
	t.events = append(t.events, e)
}

// String returns the trail as one line, with "step(subject detail)+time" for each event.
func (t *trail) String() string {
	var b strings.Builder
	for i := range t.events {
		e := &t.events[i]
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(stepNames[e.step])
		if e.subject != "" || e.detail != "" {
			b.WriteString("(" + strings.TrimSpace(e.subject+" "+e.detail) + ")")
		}
		b.WriteString("+" + e.at.Round(time.Millisecond).String())
	}
	if t.dropped > 0 {
		b.WriteString(" (some left out)")
	}
	return b.String()
}
