package soak

// Checks of what engines were sent.

import (
	"fmt"
	"math"
	"slices"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// checkAttempts checks the attempts of every request against each other and against their client.
func (e *evidence) checkAttempts() (out []Finding) {
	if e.record.UnexpectedCalls > 0 {
		out = append(out, Finding{Rule: ruleUnexpectedCall, Text: fmt.Sprintf("%d calls", e.record.UnexpectedCalls)})
	}
	for id, list := range e.attempts {
		rec := e.requestByID[id]
		add := func(a *standin.Attempt, rule, format string, args ...any) {
			f := Finding{Rule: rule, Request: id, Router: a.Router, At: e.sinceStart(a.LastByte), Text: fmt.Sprintf(format, args...)}
			if rec != nil {
				f.Text += e.describe(rec)
			}
			out = append(out, f)
		}
		if rec == nil {
			add(list[0], ruleUnexpectedCall, "an attempt for a request that no client sent")
			continue
		}
		for i, a := range list {
			if i > 0 {
				e.checkAgainstEarlier(list[:i], a, rec, add)
			}
			if limit := rec.leftAt.Add(clientLeftGrace + socketSlack + e.soakAllowance(rec.leftAt, a.LastByte)); !rec.leftAt.IsZero() && a.LastByte.After(limit) {
				add(a, ruleSentAfterLeft, "an attempt began %v after the client had left", a.LastByte.Sub(rec.leftAt))
			}
			if rec.sentAt.IsZero() {
				continue
			}
			if over := a.LastByte.Add(a.TimeLeft).Sub(rec.deadline()); over > deadlineTolerance+e.allowance(rec.router, rec.sentAt, a.LastByte) {
				add(a, ruleDeadline, "the deadline advertised to the engine was %v after the client's", over)
			}
		}
	}
	return out
}

// closeDetectionDelay is how long it may take until the proxy detects the close of a connection.
const closeDetectionDelay = 20 * time.Millisecond

// checkAgainstEarlier checks an attempt against the earlier ones of its request.
func (e *evidence) checkAgainstEarlier(earlier []*standin.Attempt, a *standin.Attempt, rec *requestRecord,
	add func(a *standin.Attempt, rule, format string, args ...any)) {
	c := &e.classes[rec.class]
	for _, before := range earlier {
		if before.Ended.IsZero() || before.Ended.After(a.LastByte.Add(closeDetectionDelay+e.soakPausedFor(a.LastByte, before.Ended))) {
			add(a, ruleSecondCopy, "sent to %s while an attempt at %s was in flight", a.Engine, before.Engine)
		}
		if !before.Writer || !a.Writer || before.Outcome.NeverExecuted() || a.Outcome.NeverExecuted() {
			continue
		}
		switch {
		case c.RetryPolicy == retryUnsafe:
			add(a, ruleDuplicate, "executed at %s (%s) and at %s (%s)", before.Engine, before.Outcome, a.Engine, a.Outcome)
		case c.RetryPolicy == retryKeyed && a.Arrived.Sub(before.Arrived) > c.DedupWindow+socketSlack+e.soakAllowance(before.Arrived, a.Arrived):
			add(a, ruleDuplicate, "retried %v after the first execution, over the deduplication window of %v",
				a.Arrived.Sub(before.Arrived), c.DedupWindow)
		}
	}
}

// checkDrains checks that nothing is sent to engines that drain or were removed, once that was reported to the router
// and the drain grace has passed.
func (e *evidence) checkDrains() (out []Finding) {
	for i := range e.record.Attempts {
		a := &e.record.Attempts[i]
		if a.Router < 0 || a.Router >= len(e.drainsReported) {
			continue
		}
		since, known := e.drainsReported[a.Router][a.Engine]
		if !known {
			continue
		}
		limit := since.Add(e.params.drainGrace + socketSlack)
		if a.FirstByte.After(limit.Add(e.allowance(a.Router, since, a.FirstByte))) {
			out = append(out, Finding{Rule: ruleSentToDraining, Request: a.Request, Router: a.Router, At: e.sinceStart(a.FirstByte),
				Text: fmt.Sprintf("sent to %s %v after the drain was reported to the router", a.Engine, a.FirstByte.Sub(since))})
		}
	}
	return out
}

// checkSlowStarts checks what engines were sent by all routers during their slow start.
func (e *evidence) checkSlowStarts() (out []Finding) {
	byEngine := map[string][]*standin.Attempt{}
	for i := range e.record.Attempts {
		a := &e.record.Attempts[i]
		byEngine[a.Engine] = append(byEngine[a.Engine], a)
	}
	for id, start := range e.coldStarts {
		sent := byEngine[id]
		slices.SortFunc(sent, func(a, b *standin.Attempt) int { return a.Arrived.Compare(b.Arrived) })
		for i := range sent {
			until := sent[i].Arrived
			if until.Sub(start) > e.params.slowStartTime {
				break
			}
			n := 0
			for j := i; j >= 0 && until.Sub(sent[j].Arrived) <= e.params.overloadWindow; j-- {
				n++
			}
			allowed := e.params.overloadMultiple * e.params.initialCapacity * e.capacity(sent[i].Writer) * e.params.overloadWindow.Seconds()
			if limit := maxColdSends(allowed); float64(n) > limit {
				out = append(out, Finding{Rule: ruleSlowStart, Router: sent[i].Router, At: e.sinceStart(until),
					Text: fmt.Sprintf("%d sends to %s within %v of its first %v; at most %.1f", n, id,
						e.params.overloadWindow, until.Sub(start), limit)})
				break
			}
		}
	}
	return out
}

// maxColdSends returns how many sends to a cold engine are tolerated if n are allowed. The margin is for chance: two
// or three standard deviations of a Poisson count, and as many sends.
func maxColdSends(n float64) float64 {
	const manyAllowed = 30
	if n < manyAllowed {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// capacity returns how many requests per second a warm engine of a role can process.
func (e *evidence) capacity(writer bool) float64 {
	if writer {
		return float64(e.writerSlots) / (e.timing.FirstTokenTime + time.Duration(e.timing.EventsPerStream-1)*e.timing.EventInterval).Seconds()
	}
	return float64(e.readerSlots) / e.timing.ReadTime.Seconds()
}
