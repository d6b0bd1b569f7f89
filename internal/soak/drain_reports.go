package soak

// When drains count as reported to a router.

import (
	"slices"
	"time"

	"mintdoor/internal/discovery/watch"
	standin "mintdoor/internal/standin/chat"
)

// drainReports returns when each drain or removal of an engine counts as reported to a router: when one of its agents
// has written it to the router, but at the latest maxReportDelay after discovery had it and could be reached. So a
// router that hears no agent does not escape the rule.
func drainReports(agents []*standin.Agent, withdrawals []standin.Notification, disturbances []standin.Interval) map[string]time.Time {
	out := map[string]time.Time{}
	add := func(engine string, at time.Time) {
		if before, known := out[engine]; !known || at.Before(before) {
			out[engine] = at
		}
	}
	for _, w := range withdrawals {
		add(w.Member.ID, latestReport(w.ListedAt, disturbances))
	}
	for _, a := range agents {
		for _, n := range a.Notifications() {
			if n.Member.Phase != watch.Up {
				add(n.Member.ID, n.At)
			}
		}
	}
	return out
}

// latestReport returns when a change counts as reported at the latest: maxReportDelay after it was listed and the last
// disturbance before that had ended.
func latestReport(listedAt time.Time, disturbances []standin.Interval) time.Time {
	at := listedAt.Add(maxReportDelay)
	for _, d := range disturbances {
		if !d.From.Before(at) {
			break
		}
		if until := d.Until.Add(maxReportDelay); until.After(at) {
			at = until
		}
	}
	return at
}

// disturbancesOf returns the intervals in which a router could not reach discovery, in the order of their beginnings:
// outages, and the instants in which its process or one of its agents was started. An overloaded agent can be reached.
func (tb *Testbed) disturbancesOf(r *Router) []standin.Interval {
	out := tb.Directory.Outages()
	add := func(at time.Time) { out = append(out, standin.Interval{From: at, Until: at}) }
	for _, a := range tb.agentsOf(r.Index) {
		add(a.StartedAt())
	}
	for _, run := range r.Runs() {
		add(run.Started)
	}
	slices.SortFunc(out, func(a, b standin.Interval) int { return a.From.Compare(b.From) })
	return out
}
