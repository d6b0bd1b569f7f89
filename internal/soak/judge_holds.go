package soak

// What is held at engines.

import (
	"fmt"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// holds checks that nothing stays held: the time runs while no attempt of the request is out.
func (e *evidence) holds() (out []Finding) {
	for i := range e.record.Holds {
		h := &e.record.Holds[i]
		until := h.Until
		if until.IsZero() {
			until = time.Now()
		}
		idle := e.idle(h.Request, h.From, until)
		a := e.byID[h.Request]
		if a == nil {
			continue
		}
		limit := e.figures.letGo + holdSlack + socketSlack + e.excused(a.router, h.From, until)
		if idle > limit && !e.ownerDied(a, until) && e.reachable(a.router, until.Add(-limit), until) {
			out = append(out, Finding{Rule: rulePinned, Request: h.Request, Router: a.router, At: e.at(h.From),
				Text: fmt.Sprintf("held at %s for %v with no attempt out", h.Engine, idle) + e.story(a)})
		}
	}
	return out
}

// path is how a router reaches an engine: from when on, and in which times not.
type path struct {
	since time.Time
	gaps  []standin.Interval
}

// reachable tells whether a router could reach an engine that it may have known, for long enough to let go of something.
func (e *evidence) reachable(router int, from, until time.Time) bool {
	const enough = 600 * time.Millisecond
	for _, p := range e.paths[router] {
		at := from
		if p.since.After(from) {
			continue
		}
		for _, g := range p.gaps {
			if g.Until.IsZero() || g.Until.After(at) {
				if g.From.Sub(at) >= enough {
					return true
				}
				if at = g.Until; g.Until.IsZero() || at.After(until) {
					at = until
				}
			}
		}
		if until.Sub(at) >= enough {
			return true
		}
	}
	return false
}

// idle is the longest time between two times in which no attempt of a request was out.
func (e *evidence) idle(request string, from, until time.Time) (longest time.Duration) {
	at := from
	for _, t := range e.attempts[request] {
		end := t.Ended
		if end.IsZero() {
			end = until
		}
		if end.Before(at) {
			continue
		}
		if t.Arrived.After(until) {
			break
		}
		longest = max(longest, t.Arrived.Sub(at)) // a send that has not arrived is not out
		at = end
	}
	return max(longest, until.Sub(at))
}

// ownerDied tells whether the process that has to let go was killed.
func (e *evidence) ownerDied(a *ask, until time.Time) bool {
	l := e.lifeAt(a.router, a.sent)
	return l == nil || !l.Exited.IsZero() && l.Exited.Before(until.Add(time.Second))
}
