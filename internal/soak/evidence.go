package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// evidence is all that was seen of a run.
type evidence struct {
	began   time.Time
	routers int
	classes []class
	figures figures
	work    standin.Timing
	// readerSlots and writerSlots are how many requests an engine of a role does at once.
	readerSlots, writerSlots int
	asks                     []*ask
	bad                      []badClient
	record                   *standin.Record
	lives                    [][]ProcessRun                // by router
	told                     []map[string]time.Time        // by router and engine: since when it was told that the engine takes nothing new
	starts                   map[string]time.Time          // of engines that were started cold
	paths                    []map[string]*path            // by router and engine
	lags                     []Pause                       // times in which the soak itself did not run
	failed                   []string                      // starts of routers that failed
	slack                    time.Duration                 // for a machine that is too slow
	attempts                 map[string][]*standin.Attempt // by request, in their order
	byID                     map[string]*ask
}

func (e *evidence) index() {
	e.attempts, e.byID = map[string][]*standin.Attempt{}, map[string]*ask{}
	for _, a := range e.asks {
		e.byID[a.id] = a
	}
	for i := range e.record.Attempts {
		a := &e.record.Attempts[i]
		e.attempts[a.Request] = append(e.attempts[a.Request], a)
	}
	for _, list := range e.attempts {
		slices.SortFunc(list, func(a, b *standin.Attempt) int { return a.LastByte.Compare(b.LastByte) })
	}
}

func (e *evidence) at(t time.Time) time.Duration { return t.Sub(e.began).Round(time.Millisecond) }

// lifeAt returns the run of a router's process that was under way at a time; nil if there was none.
func (e *evidence) lifeAt(router int, t time.Time) *ProcessRun {
	for i := range e.lives[router] {
		l := &e.lives[router][i]
		if !t.Before(l.Started) && (l.Exited.IsZero() || t.Before(l.Exited)) {
			return l
		}
	}
	return nil
}

// excused is how much later something may be between two times: for as long as the router's process was kept from running
// beyond its terms, and the soak itself did not run.
func (e *evidence) excused(router int, from, until time.Time) (late time.Duration) {
	late = e.slack
	overlap := func(s Pause) time.Duration {
		end := s.Until
		if end.IsZero() || end.After(until) {
			end = until
		}
		begin := s.From
		if begin.Before(from) {
			begin = from
		}
		return max(end.Sub(begin), 0)
	}
	for i := range e.lives[router] {
		for _, s := range e.lives[router][i].Pauses {
			if s.Until.IsZero() || s.Until.Sub(s.From) > mayBeHeldUp+lagTold {
				late += overlap(s)
			}
		}
	}
	for _, s := range e.lags {
		late += overlap(s)
	}
	return late
}

// lag is how much later than at one time something may be seen at another, as far as the soak itself is to blame.
func (e *evidence) lag(from, until time.Time) time.Duration { return e.slack + e.notRun(from, until) }

// notRun is for how long the soak itself did not run between two times.
func (e *evidence) notRun(from, until time.Time) (sum time.Duration) {
	for _, s := range e.lags {
		if s.Until.After(from) && s.From.Before(until) {
			sum += s.Until.Sub(s.From)
		}
	}
	return sum
}

func (e *evidence) lastWriter(a *ask) *standin.Attempt {
	list := e.attempts[a.id]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Writer {
			return list[i]
		}
	}
	return nil
}

// story tells what is known of a request.
func (e *evidence) story(a *ask) string {
	var b strings.Builder
	c := &e.classes[a.class]
	fmt.Fprintf(&b, "; %s, sent %v, waits %v", c.Repeat, e.at(a.sent), a.left)
	if !a.quit.IsZero() {
		fmt.Fprintf(&b, ", left %v", e.at(a.quit))
	}
	if a.status != 0 {
		fmt.Fprintf(&b, ", status %d at %v", a.status, e.at(a.answered))
	}
	fmt.Fprintf(&b, ", ended %v whole %v", e.at(a.ended), a.whole)
	for _, t := range e.attempts[a.id] {
		fmt.Fprintf(&b, " | %s %v", t.Engine, e.at(t.LastByte))
		if t.Ended.IsZero() {
			b.WriteString(" out")
		} else {
			fmt.Fprintf(&b, " %s %v", t.Outcome, e.at(t.Ended))
		}
	}
	return b.String()
}
