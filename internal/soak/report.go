package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Report is what a soak has found.
type Report struct {
	Seed        uint64
	Routers     int
	Length      time.Duration
	Requests    Counts
	FaultCounts map[string]int // how often each fault was injected, and what it met
	SoakPaused  time.Duration  // in which the soak itself did not run
	Findings    []Finding
}

// Counts are requests by what their clients got.
type Counts struct {
	Sent, Served, Refused, Failed, ClientLeft, CrossedClose, CutOff, Unanswered int
	Attempts, Probes, BadClients, Processes                                     int
}

func newReport(o *Options, e *evidence, struck map[string]int) *Report {
	r := &Report{Seed: o.Seed, Routers: o.Routers, Length: o.Length, FaultCounts: struck}
	c := &r.Requests
	c.Attempts, c.Probes, c.BadClients = len(e.record.Attempts), e.record.Probes, len(e.bad)
	for _, lives := range e.lives {
		c.Processes += len(lives)
	}
	for _, s := range e.lags {
		r.SoakPaused += s.Until.Sub(s.From)
	}
	for _, a := range e.asks {
		c.Sent++
		if !a.quit.IsZero() {
			c.ClientLeft++
			r.met(e, a)
		}
		switch {
		case !a.quit.IsZero():
		case a.ending == endUnread:
			c.CrossedClose++
		case a.status == 0:
			c.Unanswered++
		case a.refused():
			c.Refused++
		case a.status != 200:
			c.Failed++
		case !a.whole:
			c.CutOff++
		default:
			c.Served++
		}
		if a.note != "" {
			struck[a.note]++
		}
	}
	return r
}

// met counts what a leaving client left behind: its leaving strikes only where an attempt was out or would have come.
func (r *Report) met(e *evidence, a *ask) {
	r.FaultCounts["clients left"]++
	for _, t := range e.attempts[a.id] {
		if t.LastByte.Before(a.quit) && (t.Ended.IsZero() || t.Ended.After(a.quit)) {
			r.FaultCounts["clients left an attempt that was out"]++
			return
		}
	}
}

// maxFindings is how many findings are written out.
const maxFindings = 40

// Print writes a report for people.
func (r *Report) Print(out io.Writer) {
	c := &r.Requests
	fmt.Fprintf(out, "soak: seed %d, %d routers (%d processes), %v, the soak itself did not run for %v\n", r.Seed, r.Routers, c.Processes,
		r.Length, r.SoakPaused)
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
