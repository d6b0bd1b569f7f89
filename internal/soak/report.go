package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Report is the result of a soak.
type Report struct {
	Seed        uint64
	Routers     int
	Length      time.Duration
	Requests    Counts
	FaultCounts map[string]int // how often each fault was injected or applied, by name
	PeakMemory  int64          // the most that any process had, in bytes
	SoakPaused  time.Duration  // total time in which the soak itself did not run
	Findings    []Finding
}

// Counts are the numbers of requests by result, and of attempts, probes, bad clients and processes. CrossedClose is
// the number of requests that the router had not read when it closed their connections.
type Counts struct {
	Sent, Served, Refused, Failed, ClientLeft, CrossedClose, CutOff, Unanswered int
	Attempts, Probes, BadClients, Processes                                     int
}

// newReport counts the requests of a run by their results.
func newReport(o *Options, e *evidence, faultCounts map[string]int) *Report {
	r := &Report{Seed: o.Seed, Routers: o.Routers, Length: o.Length, FaultCounts: faultCounts}
	c := &r.Requests
	c.Attempts, c.Probes, c.BadClients = len(e.record.Attempts), e.record.Probes, len(e.badClients)
	for _, runs := range e.runs {
		c.Processes += len(runs)
		for i := range runs {
			r.PeakMemory = max(r.PeakMemory, runs[i].PeakMemory)
		}
	}
	for _, pause := range e.soakPauses {
		r.SoakPaused += pause.Until.Sub(pause.From)
	}
	for _, rec := range e.requests {
		c.Sent++
		if !rec.leftAt.IsZero() {
			c.ClientLeft++
			r.countLeft(e, rec)
		}
		switch {
		case !rec.leftAt.IsZero():
		case rec.ending == endUnread:
			c.CrossedClose++
		case rec.status == 0:
			c.Unanswered++
		case rec.refused():
			c.Refused++
		case rec.status != 200:
			c.Failed++
		case !rec.complete:
			c.CutOff++
		default:
			c.Served++
		}
		if rec.note != "" {
			faultCounts[rec.note]++
		}
	}
	return r
}

// countLeft counts a client that left. Its leaving has an effect only if an attempt was in flight at that time, which
// is counted as well.
func (r *Report) countLeft(e *evidence, rec *requestRecord) {
	r.FaultCounts["clients left"]++
	for _, a := range e.attempts[rec.id] {
		if a.LastByte.Before(rec.leftAt) && (a.Ended.IsZero() || a.Ended.After(rec.leftAt)) {
			r.FaultCounts["clients left an attempt in flight"]++
			return
		}
	}
}

// maxFindings is how many findings are printed.
const maxFindings = 40

// Print prints the report for a person.
func (r *Report) Print(out io.Writer) {
	c := &r.Requests
	fmt.Fprintf(out, "soak: seed %d, %d routers (%d processes), up to %d MB, %v, the soak itself did not run for %v\n", r.Seed,
		r.Routers, c.Processes, r.PeakMemory>>20, r.Length, r.SoakPaused)
	fmt.Fprintf(out, "requests: %d sent, %d served, %d refused, %d failed, %d cut off by their engines, %d left by their clients, "+
		"%d crossed a close, %d without an answer; %d attempts, %d probes, %d bad clients\n",
		c.Sent, c.Served, c.Refused, c.Failed, c.CutOff, c.ClientLeft, c.CrossedClose, c.Unanswered, c.Attempts, c.Probes, c.BadClients)
	fmt.Fprintln(out, "faults, and what they met:")
	for _, name := range slices.Sorted(maps.Keys(r.FaultCounts)) {
		fmt.Fprintf(out, "  %6d  %s\n", r.FaultCounts[name], name)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintln(out, "no invariant was violated")
		return
	}
	counts := map[string]int{}
	for _, f := range r.Findings {
		counts[f.Rule]++
	}
	fmt.Fprintf(out, "VIOLATED, %d times:\n", len(r.Findings))
	for _, rule := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "  %6d  %s\n", counts[rule], rule)
	}
	for _, f := range r.Findings[:min(len(r.Findings), maxFindings)] {
		fmt.Fprintf(out, "  %v router %d request %s: %s: %s\n", f.At, f.Router, f.Request, f.Rule, f.Text)
	}
}
