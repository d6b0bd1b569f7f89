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
	Seed     uint64
	Routers  int
	Length   time.Duration
	Requests Counts
	Struck   map[string]int // how often each fault was injected, and what it met
	Lags     time.Duration  // in which the soak itself did not run
	Findings []Finding
}

// Counts are requests by what their clients got.
type Counts struct {
	Sent, Served, Refused, Failed, Left, Crossed, Cut, None int
	Attempts, Probes, BadClients, Processes                 int
}

func newReport(o *Options, e *evidence, struck map[string]int) *Report {
	r := &Report{Seed: o.Seed, Routers: o.Routers, Length: o.Length, Struck: struck}
	c := &r.Requests
	c.Attempts, c.Probes, c.BadClients = len(e.record.Attempts), e.record.Probes, len(e.bad)
	for _, lives := range e.lives {
		c.Processes += len(lives)
	}
	for _, s := range e.lags {
		r.Lags += s.Until.Sub(s.From)
	}
	for _, a := range e.asks {
		c.Sent++
		if !a.quit.IsZero() {
			c.Left++
			r.met(e, a)
		}
		switch {
		case !a.quit.IsZero():
		case a.ending == endUnread:
			c.Crossed++
		case a.status == 0:
			c.None++
		case a.refused():
			c.Refused++
		case a.status != 200:
			c.Failed++
		case !a.whole:
			c.Cut++
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
	r.Struck["clients left"]++
	for _, t := range e.attempts[a.id] {
		if t.LastByte.Before(a.quit) && (t.Ended.IsZero() || t.Ended.After(a.quit)) {
			r.Struck["clients left an attempt that was out"]++
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
		r.Length, r.Lags)
	fmt.Fprintf(out, "requests: %d sent, %d served, %d refused, %d failed, %d cut off by their engines, %d left by their clients, "+
		"%d crossed a close, %d without an answer; %d attempts, %d probes, %d bad clients\n",
		c.Sent, c.Served, c.Refused, c.Failed, c.Cut, c.Left, c.Crossed, c.None, c.Attempts, c.Probes, c.BadClients)
	fmt.Fprintln(out, "faults, and what they met:")
	for _, name := range slices.Sorted(maps.Keys(r.Struck)) {
		fmt.Fprintf(out, "  %6d  %s\n", r.Struck[name], name)
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
