package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// evidence is everything that was recorded of a run.
type evidence struct {
	startedAt time.Time
	routers   int
	classes   []class
	params    ruleParams
	timing    standin.Timing
	// readerSlots and writerSlots are how many requests an engine of a role processes at once.
	readerSlots, writerSlots int
	requests                 []*requestRecord
	badClients               []badClient
	record                   *standin.Record
	runs                     [][]ProcessRun                // by router
	drainsReported           []map[string]time.Time        // by router and engine: when a drain was reported
	coldStarts               map[string]time.Time          // start times of the engines that were started cold
	reachability             []map[string]*reachability    // by router and engine
	soakPauses               []Pause                       // intervals in which the soak itself did not run
	routerFailures           []string                      // failed starts and stops of routers
	slack                    time.Duration                 // added to every allowed time, for a slow machine
	memoryLimit              int64                         // of each process, in bytes; 0: none
	attempts                 map[string][]*standin.Attempt // by request, in the order of their last bytes
	requestByID              map[string]*requestRecord
}

// index fills the maps from requests to their attempts and records.
func (e *evidence) index() {
	e.attempts, e.requestByID = map[string][]*standin.Attempt{}, map[string]*requestRecord{}
	for _, rec := range e.requests {
		e.requestByID[rec.id] = rec
	}
	for i := range e.record.Attempts {
		a := &e.record.Attempts[i]
		e.attempts[a.Request] = append(e.attempts[a.Request], a)
	}
	for _, list := range e.attempts {
		slices.SortFunc(list, func(a, b *standin.Attempt) int { return a.LastByte.Compare(b.LastByte) })
	}
}

// sinceStart returns the time since the start of the run, in whole milliseconds.
func (e *evidence) sinceStart(t time.Time) time.Duration {
	return t.Sub(e.startedAt).Round(time.Millisecond)
}

// runAt returns the run of a router's process that was in progress at a time, or nil if there was none.
func (e *evidence) runAt(router int, t time.Time) *ProcessRun {
	for i := range e.runs[router] {
		run := &e.runs[router][i]
		if !t.Before(run.Started) && (run.Exited.IsZero() || t.Before(run.Exited)) {
			return run
		}
	}
	return nil
}

// allowance returns the extra time that is allowed for something that happens between two times: the slack, the time
// within pauses of the router's process that were longer than the rules allow, and the time in which the soak itself
// did not run.
func (e *evidence) allowance(router int, from, until time.Time) (allowed time.Duration) {
	allowed = e.slack
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
	for i := range e.runs[router] {
		for _, s := range e.runs[router][i].Pauses {
			if s.Until.IsZero() || s.Until.Sub(s.From) > maxProcessPause+pauseThreshold {
				allowed += overlap(s)
			}
		}
	}
	for _, s := range e.soakPauses {
		allowed += overlap(s)
	}
	return allowed
}

// soakAllowance returns the extra time that is allowed between two times where only the soak itself can be late: the
// slack, and the pauses of the soak.
func (e *evidence) soakAllowance(from, until time.Time) time.Duration {
	return e.slack + e.soakPausedFor(from, until)
}

// soakPausedFor returns the total length of the soak's own pauses that overlap the interval between two times. Parts
// of these pauses outside the interval are included.
func (e *evidence) soakPausedFor(from, until time.Time) (sum time.Duration) {
	for _, s := range e.soakPauses {
		if s.Until.After(from) && s.From.Before(until) {
			sum += s.Until.Sub(s.From)
		}
	}
	return sum
}

// lastWriter returns the last attempt of a request at a writer, or nil.
func (e *evidence) lastWriter(rec *requestRecord) *standin.Attempt {
	list := e.attempts[rec.id]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Writer {
			return list[i]
		}
	}
	return nil
}

// describe returns what is known of a request, for a finding.
func (e *evidence) describe(rec *requestRecord) string {
	var b strings.Builder
	c := &e.classes[rec.class]
	fmt.Fprintf(&b, "; retry policy %s, sent at %v, deadline after %v", c.RetryPolicy, e.sinceStart(rec.sentAt), rec.timeLeft)
	if !rec.leftAt.IsZero() {
		fmt.Fprintf(&b, ", client left at %v", e.sinceStart(rec.leftAt))
	}
	if rec.status != 0 {
		fmt.Fprintf(&b, ", status %d at %v", rec.status, e.sinceStart(rec.answeredAt))
	}
	fmt.Fprintf(&b, ", ended at %v, complete: %v", e.sinceStart(rec.endedAt), rec.complete)
	for _, a := range e.attempts[rec.id] {
		fmt.Fprintf(&b, " | %s %v", a.Engine, e.sinceStart(a.LastByte))
		if a.Ended.IsZero() {
			b.WriteString(" in flight")
		} else {
			fmt.Fprintf(&b, " %s %v", a.Outcome, e.sinceStart(a.Ended))
		}
	}
	return b.String()
}
