package soak

// What clients got.

import (
	"fmt"
	"strings"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// answers checks what every client got.
func (e *evidence) answers() (out []Finding) {
	for _, a := range e.asks {
		add := func(rule, format string, args ...any) {
			out = append(out, Finding{Rule: rule, Request: a.id, Router: a.router, At: e.at(a.began),
				Text: strings.TrimSpace(a.note + " " + fmt.Sprintf(format, args...) + e.story(a))})
		}
		if a.wrong != "" {
			add(ruleContent, "%s", a.wrong)
		}
		if a.sent.IsZero() || !a.quit.IsZero() || a.ending == endUnread || a.ending == endNone && !a.whole {
			continue // it was never whole, or nobody is there to get the answer, or the router has not read it
		}
		late := answerLate + socketSlack + e.excused(a.router, a.sent, a.ended)
		switch {
		case e.freed(a):
		case a.status == 0:
			add(ruleLost, "%s", a.ending)
		case a.answered.After(a.deadline().Add(late)):
			add(ruleLost, "answered %v after its deadline", a.answered.Sub(a.deadline()))
		case !a.whole:
			e.cutStream(a, add)
		case a.refused() && e.mayHaveRun(a) && !e.mayRefuse(a):
			add(ruleRefused, "status %d", a.status)
		case a.status == 200 && !e.streamed(a):
			add(ruleContent, "no engine has written this answer to its end")
		}
	}
	return out
}

// freed tells whether a process's end frees a request of its answer: a kill without a word before, or one after
// SIGTERM if the request came soon after that.
func (e *evidence) freed(a *ask) bool {
	l := e.lifeAt(a.router, a.sent)
	if l == nil {
		return true // nobody was there to take it
	}
	end := l.Exited
	if end.IsZero() || a.whole {
		return false
	}
	if l.Killed.IsZero() || !a.ended.IsZero() && a.ended.Before(l.Killed) {
		return false // the process has ended by itself, or the client had its end before
	}
	return l.Terminated.IsZero() || a.sent.Before(l.Terminated.Add(owedAfterTerm))
}

// cutStream checks an answer that was cut off: its engine has to be the one that ended it.
func (e *evidence) cutStream(a *ask, add func(rule, format string, args ...any)) {
	last := e.lastWriter(a)
	switch {
	case last == nil:
		add(ruleContent, "a stream without an attempt at a writer")
	case last.ConnLost:
		e.leftWaiting(a, last, add)
	case last.Outcome == standin.Streamed && !stoppedWriting(a):
		add(ruleLost, "cut off though its engine has written it to its end")
	case last.Outcome == standin.Cancelled && !stoppedWriting(a):
		add(ruleLost, "cut off while its engine was writing")
	default:
		e.leftWaiting(a, last, add)
	}
}

// leftWaiting checks that a client whose stream has stopped is not left to wait.
func (e *evidence) leftWaiting(a *ask, last *standin.Attempt, add func(rule, format string, args ...any)) {
	if len(last.Events) == 0 || len(a.events) == 0 {
		return
	}
	since := a.events[len(a.events)-1]
	if most := brokenWithin + socketSlack + e.excused(a.router, since, a.ended); a.ended.Sub(since) > most {
		add(ruleLost, "its client was left to wait for %v after the last event", a.ended.Sub(since))
	}
}

// stoppedWriting tells whether an answer's events had stopped well before its end.
func stoppedWriting(a *ask) bool {
	const stopped = brokenWithin - 500*time.Millisecond
	return len(a.events) == 0 || a.ended.Sub(a.events[len(a.events)-1]) > stopped
}

func (e *evidence) streamed(a *ask) bool {
	for _, t := range e.attempts[a.id] {
		if t.Writer && t.Outcome == standin.Streamed {
			return true
		}
	}
	return false
}

// mayHaveRun tells whether a request has had an effect, as far as anybody but its engines can know.
func (e *evidence) mayHaveRun(a *ask) bool {
	for _, t := range e.attempts[a.id] {
		if t.Writer && !t.Outcome.NeverExecuted() {
			return true
		}
	}
	return false
}

// mayRefuse tells whether a class's requests may be refused though they may have run.
func (e *evidence) mayRefuse(a *ask) bool { return e.classes[a.class].Repeat != unsafe }

// delays checks that events go out as they come.
func (e *evidence) delays() []Finding {
	streams, delayed := 0, 0
	for _, a := range e.asks {
		t := e.lastWriter(a)
		if a.status != 200 || !a.quit.IsZero() || t == nil {
			continue
		}
		streams++
		for i, at := range a.events {
			if i < len(t.Events) && at.Sub(t.Events[i]) > eventDelay+e.excused(a.router, t.Events[i], at) {
				delayed++
				break
			}
		}
	}
	if float64(delayed) > delayedShare*float64(streams) {
		return []Finding{{Rule: ruleDelay, Text: fmt.Sprintf("in %d of %d streams", delayed, streams)}}
	}
	return nil
}

func (e *evidence) badClients() (out []Finding) {
	for _, b := range e.bad {
		add := func(text string) {
			out = append(out, Finding{Rule: ruleBadClient, Router: b.router, At: e.at(b.began), Text: b.kind + ": " + text})
		}
		late := badWithin + socketSlack + e.excused(b.router, b.began, b.began.Add(b.waited))
		switch {
		case b.served:
			add("served")
		case b.noWord || b.waited > late:
			add(fmt.Sprintf("no word for %v", b.waited))
		}
	}
	return out
}
