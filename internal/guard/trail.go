package guard

import (
	"strings"
	"time"
)

// step is one kind of thing that happens to a request.
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
	stepLetGo
)

var stepNames = [...]string{
	stepReceived: "received", stepComplete: "complete", stepAccepted: "accepted", stepAttempt: "attempt",
	stepConnected: "connected", stepSent: "sent",
	stepDenied:       "denied",
	stepAttemptEnded: "attempt-ended", stepFirstToken: "first-token", stepClientLeft: "client-left",
	stepDecided: "decided", stepAnswered: "answered", stepClosed: "closed",
	stepLetGo: "let-go",
}

// message is the step's log message. Each step has its own, so that sampling keeps the rare ones.
func (s step) message() string { return "request " + stepNames[s] }

// event is a step of one request.
type event struct {
	step            step
	at              time.Duration // since the request's first byte
	subject, detail string
}

// maxTrailEvents bounds the events that a trail keeps.
const maxTrailEvents = 64

// trail is what happened to a request. When it is full, the event before the last gives way to the newest one.
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

// String writes a trail on one line, as "step(subject detail)+time" each.
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
