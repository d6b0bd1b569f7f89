package soak

// Checks of what engines hold.

import (
	"fmt"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// checkHolds checks that no KV state stays held too long. The hold timer runs while no attempt of the request is in
// flight.
func (e *evidence) checkHolds() (out []Finding) {
	for i := range e.record.Holds {
		h := &e.record.Holds[i]
		until := h.Until
		if until.IsZero() {
			until = time.Now()
		}
		idle := e.longestIdle(h.Request, h.From, until)
		rec := e.requestByID[h.Request]
		if rec == nil {
			continue
		}
		limit := e.params.holdTimeout + holdSlack + socketSlack + e.allowance(rec.router, h.From, until)
		if idle > limit && !e.ownerExited(rec, until) && e.reachable(rec.router, until.Add(-limit), until) {
			out = append(out, Finding{Rule: ruleHeldTooLong, Request: h.Request, Router: rec.router, At: e.sinceStart(h.From),
				Text: fmt.Sprintf("held at %s for %v with no attempt in flight", h.Engine, idle) + e.describe(rec)})
		}
	}
	return out
}

// reachability holds the times at which a router could reach an engine: from since on, except during the outages.
type reachability struct {
	since   time.Time
	outages []standin.Interval
}

// reachable reports whether, between two times, the router could reach some engine without interruption for long
// enough to release a hold. Engines that were started after the first time do not count, since the router may not
// know them.
func (e *evidence) reachable(router int, from, until time.Time) bool {
	const enough = 600 * time.Millisecond
	for _, r := range e.reachability[router] {
		at := from
		if r.since.After(from) {
			continue
		}
		for _, outage := range r.outages {
			if outage.Until.IsZero() || outage.Until.After(at) {
				if outage.From.Sub(at) >= enough {
					return true
				}
				if at = outage.Until; outage.Until.IsZero() || at.After(until) {
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

// longestIdle returns the longest time between two times in which no attempt of a request was in flight.
func (e *evidence) longestIdle(request string, from, until time.Time) (longest time.Duration) {
	at := from
	for _, a := range e.attempts[request] {
		end := a.Ended
		if end.IsZero() {
			end = until
		}
		if end.Before(at) {
			continue
		}
		if a.Arrived.After(until) {
			break
		}
		longest = max(longest, a.Arrived.Sub(at)) // an attempt that has not arrived is not in flight here
		at = end
	}
	return max(longest, until.Sub(at))
}

// ownerExited reports whether the process that got the request, and has to release the hold, ended before or within a
// second after until.
func (e *evidence) ownerExited(rec *requestRecord, until time.Time) bool {
	run := e.runAt(rec.router, rec.sentAt)
	return run == nil || !run.Exited.IsZero() && run.Exited.Before(until.Add(time.Second))
}
