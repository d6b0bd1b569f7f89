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
	for _, rec := range e.requests {
		add := func(rule, format string, args ...any) {
			out = append(out, Finding{Rule: rule, Request: rec.id, Router: rec.router, At: e.sinceStart(rec.startedAt),
				Text: strings.TrimSpace(rec.note + " " + fmt.Sprintf(format, args...) + e.describe(rec))})
		}
		if rec.contentError != "" {
			add(ruleContent, "%s", rec.contentError)
		}
		if rec.sentAt.IsZero() || !rec.leftAt.IsZero() || rec.ending == endUnread || rec.ending == endNone && !rec.complete {
			continue // it was never sent completely, or the client has left, or the router has not read it
		}
		tolerance := answerTolerance + socketSlack + e.allowance(rec.router, rec.sentAt, rec.endedAt)
		switch {
		case e.excusedByExit(rec):
		case rec.status == 0:
			add(ruleLost, "%s", rec.ending)
		case rec.answeredAt.After(rec.deadline().Add(tolerance)):
			add(ruleLost, "answered %v after the deadline", rec.answeredAt.Sub(rec.deadline()))
		case !rec.complete:
			e.checkCutStream(rec, add)
		case rec.refused() && e.mayHaveExecuted(rec) && !e.mayRefuse(rec):
			add(ruleRefusedAfterRun, "status %d", rec.status)
		case rec.status == 200 && !e.servedByEngine(rec):
			add(ruleContent, "no engine has written this answer to its end")
		}
	}
	return out
}

// excusedByExit reports whether the end of a process excuses a missing answer: the process was killed without a
// SIGTERM before, or it was killed after SIGTERM and the request was sent before answerDueWindow had passed since
// SIGTERM.
func (e *evidence) excusedByExit(rec *requestRecord) bool {
	run := e.runAt(rec.router, rec.sentAt)
	if run == nil {
		return true // no process was there to accept it
	}
	end := run.Exited
	if end.IsZero() || rec.complete {
		return false
	}
	if run.Killed.IsZero() || !rec.endedAt.IsZero() && rec.endedAt.Before(run.Killed) {
		return false // the process has ended by itself, or the client's connection had ended before the kill
	}
	return run.Terminated.IsZero() || rec.sentAt.Before(run.Terminated.Add(answerDueWindow))
}

// checkCutStream checks an answer that was cut off: only the engine may have ended it early, not the router.
func (e *evidence) checkCutStream(rec *requestRecord, add func(rule, format string, args ...any)) {
	last := e.lastWriter(rec)
	switch {
	case last == nil:
		add(ruleContent, "the answer is a stream but there was no attempt at a writer")
	case last.ConnLost:
		e.checkStalledStream(rec, last, add)
	case last.Outcome == standin.Streamed && !eventsStopped(rec, last):
		add(ruleLost, "cut off although its engine has written it to its end")
	case last.Outcome == standin.Cancelled && !eventsStopped(rec, last):
		add(ruleLost, "cut off while its engine was writing")
	default:
		e.checkStalledStream(rec, last, add)
	}
}

// checkStalledStream checks that a client whose stream has stopped does not wait too long.
func (e *evidence) checkStalledStream(rec *requestRecord, last *standin.Attempt, add func(rule, format string, args ...any)) {
	if len(last.Events) == 0 || len(rec.events) == 0 {
		return
	}
	since := lastEventAt(rec, last)
	if limit := brokenStreamTimeout + socketSlack + e.allowance(rec.router, since, rec.endedAt); rec.endedAt.Sub(since) > limit {
		add(ruleLost, "the client had to wait for %v after the last event", rec.endedAt.Sub(since))
	}
}

// eventsStopped reports whether the events of an answer had stopped well before its end.
func eventsStopped(rec *requestRecord, last *standin.Attempt) bool {
	const stopped = brokenStreamTimeout - 500*time.Millisecond
	return len(rec.events) == 0 || rec.endedAt.Sub(lastEventAt(rec, last)) > stopped
}

// lastEventAt returns when the last event that a client has received came, or was written if the client reads slowly.
func lastEventAt(rec *requestRecord, last *standin.Attempt) time.Time {
	if n := len(rec.events); rec.readsSlowly && n <= len(last.Events) {
		return last.Events[n-1]
	}
	return rec.events[len(rec.events)-1]
}

// servedByEngine reports whether an engine has written an answer to the request to its end.
func (e *evidence) servedByEngine(rec *requestRecord) bool {
	for _, a := range e.attempts[rec.id] {
		if a.Writer && a.Outcome == standin.Streamed {
			return true
		}
	}
	return false
}

// mayHaveExecuted reports whether the request may have had an effect: it had an attempt at a writer whose outcome
// does not prove the contrary to anybody but the engine.
func (e *evidence) mayHaveExecuted(rec *requestRecord) bool {
	for _, a := range e.attempts[rec.id] {
		if a.Writer && !a.Outcome.NeverExecuted() {
			return true
		}
	}
	return false
}

// mayRefuse reports whether requests of the class may be refused although they may have been executed.
func (e *evidence) mayRefuse(rec *requestRecord) bool {
	return e.classes[rec.class].RetryPolicy != retryUnsafe
}

// checkDelays checks that the routers forward events as they come.
func (e *evidence) checkDelays() []Finding {
	streams, delayed := 0, 0
	for _, rec := range e.requests {
		a := e.lastWriter(rec)
		if rec.status != 200 || !rec.leftAt.IsZero() || a == nil || rec.readsSlowly {
			continue
		}
		streams++
		for i, at := range rec.events {
			if i < len(a.Events) && at.Sub(a.Events[i]) > maxEventDelay+e.allowance(rec.router, a.Events[i], at) {
				delayed++
				break
			}
		}
	}
	if float64(delayed) > maxDelayedShare*float64(streams) {
		return []Finding{{Rule: ruleEventsLate, Text: fmt.Sprintf("in %d of %d streams", delayed, streams)}}
	}
	return nil
}

// checkBadClients checks that bad clients get an error or a close in time, and are not served.
func (e *evidence) checkBadClients() (out []Finding) {
	for _, b := range e.badClients {
		add := func(text string) {
			out = append(out, Finding{Rule: ruleBadClient, Router: b.router, At: e.sinceStart(b.startedAt), Text: b.kind + ": " + text})
		}
		limit := badClientTimeout + socketSlack + e.allowance(b.router, b.startedAt, b.startedAt.Add(b.waited))
		switch {
		case b.served:
			add("served")
		case b.noResponse || b.waited > limit:
			add(fmt.Sprintf("no response for %v", b.waited))
		}
	}
	return out
}
