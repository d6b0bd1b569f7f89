package soak

// What engines were sent.

import (
	"fmt"
	"math"
	"slices"
	"time"

	"mintdoor/internal/discovery/watch"
	standin "mintdoor/internal/standin/chat"
)

// attemptsOfRequests checks the attempts of every request against each other and against their client.
func (e *evidence) attemptsOfRequests() (out []Finding) {
	if e.record.UnexpectedCalls > 0 {
		out = append(out, Finding{Rule: ruleUnknown, Text: fmt.Sprintf("%d calls", e.record.UnexpectedCalls)})
	}
	for id, list := range e.attempts {
		a := e.byID[id]
		add := func(t *standin.Attempt, rule, format string, args ...any) {
			f := Finding{Rule: rule, Request: id, Router: t.Router, At: e.at(t.LastByte), Text: fmt.Sprintf(format, args...)}
			if a != nil {
				f.Text += e.story(a)
			}
			out = append(out, f)
		}
		if a == nil {
			add(list[0], ruleUnknown, "an attempt for a request that no client sent")
			continue
		}
		for i, t := range list {
			if i > 0 {
				e.besideOthers(list[:i], t, a, add)
			}
			if limit := a.quit.Add(leaveGrace + socketSlack + e.lag(a.quit, t.LastByte)); !a.quit.IsZero() && t.LastByte.After(limit) {
				add(t, ruleLeft, "an attempt began %v after its client had left", t.LastByte.Sub(a.quit))
			}
			if a.sent.IsZero() {
				continue
			}
			if over := t.LastByte.Add(t.TimeLeft).Sub(a.deadline()); over > deadlineSlack+e.excused(a.router, a.sent, t.LastByte) {
				add(t, ruleDeadline, "an engine was told %v more than the client had left", over)
			}
		}
	}
	return out
}

// closeIsSeen is how long the close of a connection may take to be seen by the proxy.
const closeIsSeen = 20 * time.Millisecond

// besideOthers checks an attempt against the earlier ones of its request.
func (e *evidence) besideOthers(earlier []*standin.Attempt, t *standin.Attempt, a *ask, add func(t *standin.Attempt, rule, format string, args ...any)) {
	c := &e.classes[a.class]
	for _, before := range earlier {
		if before.Ended.IsZero() || before.Ended.After(t.LastByte.Add(closeIsSeen+e.notRun(t.LastByte, before.Ended))) {
			add(t, ruleSecondCopy, "sent to %s while an attempt at %s was out", t.Engine, before.Engine)
		}
		if !before.Writer || !t.Writer || before.Outcome.NeverExecuted() || t.Outcome.NeverExecuted() {
			continue
		}
		switch {
		case c.Repeat == unsafe:
			add(t, ruleDuplicate, "ran at %s (%s) and at %s (%s)", before.Engine, before.Outcome, t.Engine, t.Outcome)
		case c.Repeat == keyed && t.Arrived.Sub(before.Arrived) > c.Window+socketSlack+e.lag(before.Arrived, t.Arrived):
			add(t, ruleDuplicate, "repeated %v after its first run, over its window of %v", t.Arrived.Sub(before.Arrived), c.Window)
		}
	}
}

// drains checks that nothing is sent to engines that drain or are gone, once their routers were told.
func (e *evidence) drains() (out []Finding) {
	for i := range e.record.Attempts {
		t := &e.record.Attempts[i]
		if t.Router < 0 || t.Router >= len(e.told) {
			continue
		}
		since, known := e.told[t.Router][t.Engine]
		if !known {
			continue
		}
		limit := since.Add(e.figures.drainGrace + socketSlack)
		if t.FirstByte.After(limit.Add(e.excused(t.Router, since, t.FirstByte))) {
			out = append(out, Finding{Rule: ruleDrain, Request: t.Request, Router: t.Router, At: e.at(t.FirstByte),
				Text: fmt.Sprintf("sent to %s %v after it was told", t.Engine, t.FirstByte.Sub(since))})
		}
	}
	return out
}

// toldOfDrains tells since when a router knows of engines that take nothing new, by what its agents have written to
// it.
func toldOfDrains(agents []*standin.Agent) map[string]time.Time {
	out := map[string]time.Time{}
	for _, a := range agents {
		for _, t := range a.Notifications() {
			if t.Member.Phase == watch.Up {
				continue
			}
			at := t.At
			if latest := t.ListedAt.Add(told); latest.Before(at) {
				at = latest
			}
			if before, known := out[t.Member.ID]; !known || at.Before(before) {
				out[t.Member.ID] = at
			}
		}
	}
	return out
}

// slowStarts checks what engines were sent in their first seconds, over all routers.
func (e *evidence) slowStarts() (out []Finding) {
	byEngine := map[string][]*standin.Attempt{}
	for i := range e.record.Attempts {
		t := &e.record.Attempts[i]
		byEngine[t.Engine] = append(byEngine[t.Engine], t)
	}
	for id, start := range e.starts {
		sent := byEngine[id]
		slices.SortFunc(sent, func(a, b *standin.Attempt) int { return a.Arrived.Compare(b.Arrived) })
		for i := range sent {
			until := sent[i].Arrived
			if until.Sub(start) > e.figures.cold {
				break
			}
			n := 0
			for j := i; j >= 0 && until.Sub(sent[j].Arrived) <= e.figures.overload; j-- {
				n++
			}
			allowed := e.figures.fallMultiple * e.figures.startCapacity * e.capacity(sent[i].Writer) * e.figures.overload.Seconds()
			if most := coldLimit(allowed); float64(n) > most {
				out = append(out, Finding{Rule: ruleSlowStart, Router: sent[i].Router, At: e.at(until),
					Text: fmt.Sprintf("%d sends to %s within %v of its first %v; at most %.1f", n, id, e.figures.overload, until.Sub(start), most)})
				break
			}
		}
	}
	return out
}

// coldLimit is how many requests a cold engine bears that is allowed n.
func coldLimit(n float64) float64 {
	const manyAllowed = 30
	if n < manyAllowed {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// capacity is how many requests a second a warm engine of a role can do.
func (e *evidence) capacity(writer bool) float64 {
	if writer {
		return float64(e.writerSlots) / (e.work.FirstTokenTime + time.Duration(e.work.EventsPerStream-1)*e.work.EventInterval).Seconds()
	}
	return float64(e.readerSlots) / e.work.ReadTime.Seconds()
}
