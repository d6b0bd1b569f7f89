package soak

import (
	"slices"
	"testing"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// runStart is the start of the run.
var runStart = time.Unix(1_000_000, 0)

// after returns the instant some milliseconds after the start of the run.
func after(ms int) time.Time { return runStart.Add(time.Duration(ms) * time.Millisecond) }

// validEvidence returns a run of one router and one request of a class that violates no rule: read, written and
// served.
func validEvidence(class int) *evidence {
	rec := &requestRecord{id: "q", class: class, timeLeft: 2 * time.Second, startedAt: after(0), sentAt: after(0), status: 200, answeredAt: after(200),
		events: []time.Time{after(200), after(300)}, complete: true, endedAt: after(400)}
	read := standin.Attempt{Request: "q", Engine: "p", FirstByte: after(1), LastByte: after(3), Arrived: after(3), TimeLeft: time.Second,
		Outcome: standin.Read, Ended: after(100)}
	write := standin.Attempt{Request: "q", Engine: "d", Writer: true, FirstByte: after(101), LastByte: after(103), Arrived: after(103),
		TimeLeft: time.Second, Events: []time.Time{after(199), after(299)}, Outcome: standin.Streamed, Ended: after(399)}
	return &evidence{startedAt: runStart, routers: 1, classes: defaultClasses(), params: defaultRuleParams(), timing: engineTiming,
		readerSlots: maxReaderSlots, writerSlots: maxWriterSlots, requests: []*requestRecord{rec},
		record: &standin.Record{Attempts: []standin.Attempt{read, write},
			Holds: []standin.Hold{{Request: "q", Engine: "p", From: after(100), Until: after(198)}}},
		runs:           [][]ProcessRun{{{Started: after(-1000), Ready: after(-500), Terminated: after(5000), Exited: after(6000)}}},
		drainsReported: []map[string]time.Time{{}}, coldStarts: map[string]time.Time{},
		reachability: []map[string]*reachability{{"p": {since: after(-1000)}, "d": {since: after(-1000)}}}}
}

// The indices of the classes in defaultClasses, by retry policy.
const (
	classSafe = iota
	classUnsafe
	classKeyed
)

// writerAttempt returns a further attempt at a writer.
func writerAttempt(from int, outcome standin.Outcome) standin.Attempt {
	return standin.Attempt{Request: "q", Engine: "d2", Writer: true, FirstByte: after(from), LastByte: after(from), Arrived: after(from),
		TimeLeft: 100 * time.Millisecond, Outcome: outcome, Ended: after(from + 50)}
}

// TestEvaluate checks that evidence that violates one rule leads to findings of that rule only, and that evidence
// just within a rule's limit leads to none.
func TestEvaluate(t *testing.T) {
	for name, tt := range map[string]struct {
		class  int
		change func(e *evidence, rec *requestRecord, read, write *standin.Attempt)
		want   string // the violated rule; "": none
	}{
		"sound": {change: func(*evidence, *requestRecord, *standin.Attempt, *standin.Attempt) {}},
		"cut off after a stall, read slowly": {change: func(_ *evidence, rec *requestRecord, _, write *standin.Attempt) {
			rec.readsSlowly, rec.complete, rec.ending, rec.endedAt = true, false, endBroken, after(5000)
			rec.events = []time.Time{after(200), after(1000)}
			write.Outcome, write.Ended = standin.Cancelled, after(5000)
		}},
		"cut off while its events came, read slowly": {change: func(_ *evidence, rec *requestRecord, _, write *standin.Attempt) {
			rec.readsSlowly, rec.complete, rec.ending, rec.endedAt = true, false, endBroken, after(4000)
			rec.events = []time.Time{after(200), after(1000)}
			write.Outcome, write.Ended = standin.Cancelled, after(4000)
		}, want: ruleLost},
		"memory over the limit": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) {
			e.memoryLimit, e.runs[0][0].PeakMemory = 100, 101
		}, want: ruleMemory},
		"memory at the limit": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) {
			e.memoryLimit, e.runs[0][0].PeakMemory = 100, 100
		}},
		"no answer": {change: func(_ *evidence, rec *requestRecord, _, _ *standin.Attempt) {
			rec.status, rec.complete, rec.ending, rec.endedAt = 0, false, endTimeout, after(5400)
		}, want: ruleLost},
		"closed without an answer": {change: func(_ *evidence, rec *requestRecord, _, _ *standin.Attempt) {
			rec.status, rec.complete, rec.ending = 0, false, endClosed
		}, want: ruleLost},
		"reset before the request was read": {change: func(e *evidence, rec *requestRecord, _, _ *standin.Attempt) {
			rec.status, rec.complete, rec.ending = 0, false, endUnread
		}},
		"a late answer": {change: func(_ *evidence, rec *requestRecord, _, _ *standin.Attempt) { rec.answeredAt = after(2600) }, want: ruleLost},
		"an answer just after its deadline": {change: func(_ *evidence, rec *requestRecord, _, _ *standin.Attempt) {
			rec.answeredAt = after(2500)
		}},
		"a late answer of a process that was paused": {change: func(e *evidence, rec *requestRecord, _, _ *standin.Attempt) {
			rec.answeredAt, rec.endedAt = after(2600), after(2700)
			e.runs[0][0].Pauses = []Pause{{after(500), after(1000)}}
		}},
		"killed with an open request": {change: func(e *evidence, rec *requestRecord, _, _ *standin.Attempt) {
			rec.status, rec.complete, rec.ending, rec.endedAt = 0, false, endClosed, after(151)
			e.runs[0][0] = ProcessRun{Started: after(-1000), Killed: after(150), Exited: after(150), Signaled: true}
		}},
		"killed with a request that came late after SIGTERM": {change: func(e *evidence, rec *requestRecord, _, _ *standin.Attempt) {
			rec.status, rec.complete, rec.ending, rec.endedAt = 0, false, endClosed, after(2951)
			e.runs[0][0] = ProcessRun{Started: after(-1000), Terminated: after(-750), Killed: after(2950), Exited: after(2950), Signaled: true}
		}, want: ruleLost},
		"killed with a request that came soon after SIGTERM": {change: func(e *evidence, rec *requestRecord, _, _ *standin.Attempt) {
			rec.status, rec.complete, rec.ending, rec.endedAt = 0, false, endClosed, after(3051)
			e.runs[0][0] = ProcessRun{Started: after(-1000), Terminated: after(-650), Killed: after(3050), Exited: after(3050), Signaled: true}
		}},
		"cut off while the engine wrote": {change: func(_ *evidence, rec *requestRecord, _, write *standin.Attempt) {
			rec.complete, rec.ending, write.Outcome = false, endBroken, standin.Cancelled
		}, want: ruleLost},
		"cut off after the engine had finished": {change: func(_ *evidence, rec *requestRecord, _, _ *standin.Attempt) {
			rec.complete, rec.ending = false, endBroken
		}, want: ruleLost},
		"cut off by the engine": {change: func(_ *evidence, rec *requestRecord, _, write *standin.Attempt) {
			rec.complete, rec.ending, write.Outcome = false, endBroken, standin.ConnReset
		}},
		"client kept waiting after its stream broke": {change: func(_ *evidence, rec *requestRecord, _, write *standin.Attempt) {
			rec.complete, rec.ending, rec.endedAt, write.Outcome = false, endBroken, after(5500), standin.ConnReset
		}, want: ruleLost},
		"served without an engine's answer": {change: func(_ *evidence, _ *requestRecord, _, write *standin.Attempt) { write.Outcome = standin.Failed }, want: ruleContent},
		"wrong events": {change: func(_ *evidence, rec *requestRecord, _, _ *standin.Attempt) {
			rec.contentError = "events of two engines"
		}, want: ruleContent},
		"refused after an execution": {class: classUnsafe, change: func(_ *evidence, rec *requestRecord, _, write *standin.Attempt) {
			rec.status, write.Outcome = 429, standin.ConnReset
		}, want: ruleRefusedAfterRun},
		"refused and never executed": {class: classUnsafe, change: func(_ *evidence, rec *requestRecord, _, write *standin.Attempt) {
			rec.status, write.Outcome = 429, standin.Refused
		}},
		"two executions": {class: classUnsafe, change: func(e *evidence, _ *requestRecord, _, write *standin.Attempt) {
			write.Outcome, write.Ended = standin.ConnReset, after(110)
			e.record.Attempts = append(e.record.Attempts, writerAttempt(120, standin.Streamed))
		}, want: ruleDuplicate},
		"a retry within the deduplication window": {class: classKeyed, change: func(e *evidence, _ *requestRecord, _, write *standin.Attempt) {
			write.Outcome, write.Ended = standin.ConnReset, after(110)
			e.record.Attempts = append(e.record.Attempts, writerAttempt(120, standin.Streamed))
		}},
		"a retry after the deduplication window": {class: classKeyed, change: func(e *evidence, rec *requestRecord, _, write *standin.Attempt) {
			write.Outcome, write.Ended = standin.ConnReset, after(110)
			e.record.Attempts = append(e.record.Attempts, writerAttempt(1700, standin.Streamed))
		}, want: ruleDuplicate},
		"a second copy": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) {
			e.record.Attempts = append(e.record.Attempts, writerAttempt(300, standin.Refused))
		}, want: ruleSecondCopy},
		"sent after the client left": {change: func(_ *evidence, rec *requestRecord, _, write *standin.Attempt) {
			rec.leftAt, write.LastByte = after(100), after(260)
		}, want: ruleSentAfterLeft},
		"sent just after the client left": {change: func(_ *evidence, rec *requestRecord, _, write *standin.Attempt) {
			rec.leftAt, write.LastByte = after(100), after(190)
		}},
		"deadline overstated": {change: func(_ *evidence, _ *requestRecord, read, _ *standin.Attempt) { read.TimeLeft = 2160 * time.Millisecond },
			want: ruleDeadline},
		"sent to a draining engine": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) {
			e.drainsReported[0]["d"] = after(-1000)
		}, want: ruleSentToDraining},
		"sent within the drain grace": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) { e.drainsReported[0]["d"] = after(-900) }},
		"a cold engine overloaded": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) {
			e.coldStarts["d2"] = after(1000)
			for i := range 60 {
				e.record.Attempts = append(e.record.Attempts, standin.Attempt{Request: "q", Engine: "d2", Writer: true, FirstByte: after(2000 + i),
					LastByte: after(2000 + i), Arrived: after(2000 + i), Outcome: standin.Refused, Ended: after(2000 + i)})
			}
		}, want: ruleSlowStart},
		"held too long": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) { e.record.Holds[0].Until = after(2500) }, want: ruleHeldTooLong},
		"held while no engine was reachable": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) {
			e.record.Holds[0].Until = after(2500)
			for _, p := range e.reachability[0] {
				p.outages = []standin.Interval{{From: after(300), Until: after(2400)}}
			}
		}},
		"a bad client without a response": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) {
			e.badClients = []badClient{{kind: "noise", startedAt: after(0), waited: 3200 * time.Millisecond}}
		}, want: ruleBadClient},
		"ended without a signal": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) {
			e.runs[0][0].Terminated = time.Time{}
		}, want: ruleProcess},
		"a violation in the process's own log": {change: func(e *evidence, _ *requestRecord, _, _ *standin.Attempt) {
			e.runs[0][0].Violations = []string{"rule violated"}
		}, want: ruleGuard},
		"events forwarded late": {change: func(_ *evidence, rec *requestRecord, _, _ *standin.Attempt) { rec.events[1] = after(700) }, want: ruleEventsLate},
	} {
		t.Run(name, func(t *testing.T) {
			e := validEvidence(tt.class)
			tt.change(e, e.requests[0], &e.record.Attempts[0], &e.record.Attempts[1])
			e.index()
			var rules []string
			for _, f := range evaluate(e) {
				if !slices.Contains(rules, f.Rule) {
					rules = append(rules, f.Rule)
				}
			}
			want := []string{tt.want}
			if tt.want == "" {
				want = nil
			}
			if !slices.Equal(rules, want) {
				t.Errorf("found %q, want %q", rules, want)
			}
		})
	}
}
