package soak

// Checks of what clients received.

import (
	"fmt"
	"strings"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// checkAnswers checks what every client received.
func (e *evidence) checkAnswers() (out []Finding) {
	for _, a := range e.requests {
		add := func(rule, format string, args ...any) {
			out = append(out, Finding{Rule: rule, Request: a.id, Router: a.router, At: e.sinceStart(a.startedAt),
				Text: strings.TrimSpace(a.note + " " + fmt.Sprintf(format, args...) + e.describe(a))})
		}
		if a.contentError != "" {
			add(ruleContent, "%s", a.contentError)
		}
		if a.sentAt.IsZero() || !a.leftAt.IsZero() || a.ending == endUnread || a.ending == endNone && !a.complete {
			continue // it was never sent completely, or the client has left, or the router has not read it
		}
		late := answerTolerance + socketSlack + e.allowance(a.router, a.sentAt, a.endedAt)
		switch {
		case e.excusedByExit(a):
		case a.status == 0:
			add(ruleLost, "%s", a.ending)
		case a.answeredAt.After(a.deadline().Add(late)):
			add(ruleLost, "answered %v after the deadline", a.answeredAt.Sub(a.deadline()))
		case !a.complete:
			e.checkCutStream(a, add)
		case a.refused() && e.mayHaveExecuted(a) && !e.mayRefuse(a):
			add(ruleRefused, "status %d", a.status)
		case a.status == 200 && !e.servedByEngine(a):
			add(ruleContent, "no engine has written this answer to its end")
		}
	}
	return out
}

// excusedByExit reports whether the end of a process excuses a missing answer: the process was killed without a
// SIGTERM before, or it was killed after SIGTERM and the request came soon after that signal.
func (e *evidence) excusedByExit(a *requestRecord) bool {
	l := e.runAt(a.router, a.sentAt)
	if l == nil {
		return true // no process was there to accept it
	}
	end := l.Exited
	if end.IsZero() || a.complete {
		return false
	}
	if l.Killed.IsZero() || !a.endedAt.IsZero() && a.endedAt.Before(l.Killed) {
		return false // the process has ended by itself, or the client's connection had ended before the kill
	}
	return l.Terminated.IsZero() || a.sentAt.Before(l.Terminated.Add(answerDueWindow))
}

// checkCutStream checks an answer that was cut off: its engine has to be the one that ended it.
func (e *evidence) checkCutStream(a *requestRecord, add func(rule, format string, args ...any)) {
	last := e.lastWriter(a)
	switch {
	case last == nil:
		add(ruleContent, "the answer is a stream but there was no attempt at a writer")
	case last.ConnLost:
		e.checkStalledStream(a, last, add)
	case last.Outcome == standin.Streamed && !eventsStopped(a):
		add(ruleLost, "cut off although its engine has written it to its end")
	case last.Outcome == standin.Cancelled && !eventsStopped(a):
		add(ruleLost, "cut off while its engine was writing")
	default:
		e.checkStalledStream(a, last, add)
	}
}

// checkStalledStream checks that a client whose stream has stopped does not wait too long.
func (e *evidence) checkStalledStream(a *requestRecord, last *standin.Attempt, add func(rule, format string, args ...any)) {
	if len(last.Events) == 0 || len(a.events) == 0 {
		return
	}
	since := a.events[len(a.events)-1]
	if most := brokenStreamTimeout + socketSlack + e.allowance(a.router, since, a.endedAt); a.endedAt.Sub(since) > most {
		add(ruleLost, "the client had to wait for %v after the last event", a.endedAt.Sub(since))
	}
}

// eventsStopped reports whether the events of an answer had stopped well before its end.
func eventsStopped(a *requestRecord) bool {
	const stopped = brokenStreamTimeout - 500*time.Millisecond
	return len(a.events) == 0 || a.endedAt.Sub(a.events[len(a.events)-1]) > stopped
}

// servedByEngine reports whether an engine has written an answer to the request to its end.
func (e *evidence) servedByEngine(a *requestRecord) bool {
	for _, t := range e.attempts[a.id] {
		if t.Writer && t.Outcome == standin.Streamed {
			return true
		}
	}
	return false
}

// mayHaveExecuted reports whether the request may have had an effect, as far as anybody but its engines can know.
func (e *evidence) mayHaveExecuted(a *requestRecord) bool {
	for _, t := range e.attempts[a.id] {
		if t.Writer && !t.Outcome.NeverRan() {
			return true
		}
	}
	return false
}

// mayRefuse reports whether requests of the class may be refused although they may have been executed.
func (e *evidence) mayRefuse(a *requestRecord) bool {
	return e.classes[a.class].RetryPolicy != retryUnsafe
}

// checkDelays checks that the routers forward events as they come.
func (e *evidence) checkDelays() []Finding {
	streams, delayed := 0, 0
	for _, a := range e.requests {
		t := e.lastWriter(a)
		if a.status != 200 || !a.leftAt.IsZero() || t == nil {
			continue
		}
		streams++
		for i, at := range a.events {
			if i < len(t.Events) && at.Sub(t.Events[i]) > maxEventDelay+e.allowance(a.router, t.Events[i], at) {
				delayed++
				break
			}
		}
	}
	if float64(delayed) > maxDelayedShare*float64(streams) {
		return []Finding{{Rule: ruleDelay, Text: fmt.Sprintf("in %d of %d streams", delayed, streams)}}
	}
	return nil
}

// checkBadClients checks that bad clients get an error or a close in time, and are not served.
func (e *evidence) checkBadClients() (out []Finding) {
	for _, b := range e.badClients {
		add := func(text string) {
			out = append(out, Finding{Rule: ruleBadClient, Router: b.router, At: e.sinceStart(b.began), Text: b.kind + ": " + text})
		}
		late := badClientTimeout + socketSlack + e.allowance(b.router, b.began, b.began.Add(b.waited))
		switch {
		case b.served:
			add("served")
		case b.noResponse || b.waited > late:
			add(fmt.Sprintf("no response for %v", b.waited))
		}
	}
	return out
}
