package main

import (
	"strings"
	"testing"
	"time"

	"mintdoor/internal/soak"
)

// A short soak with a fixed seed: real router processes under faults that overlap keep every rule, as seen from outside and by
// their own checks. The times that are allowed are longer here, for a machine that is busy with other tests.
func TestSoak(t *testing.T) {
	playSoak(t, soak.Options{Seed: 1, Routers: 5, Readers: 4, Writers: 5, Length: 12 * time.Second, RequestsPerSecond: 4, FaultInterval: 250 * time.Millisecond,
		Slack: 2 * time.Second})
}

// The same with thousands of engines (incident 2): what a router decides may not take so long that time-outs, releases and
// answers come late behind it.
func TestSoakOfThousandsOfEngines(t *testing.T) {
	playSoak(t, soak.Options{Seed: 90211, Routers: 3, Readers: 1400, Writers: 1800, Length: 15 * time.Second, RequestsPerSecond: 12,
		FaultInterval: 300 * time.Millisecond, Slack: 2 * time.Second})
}

func playSoak(t *testing.T, o soak.Options) {
	t.Helper()
	o.Program, o.ConfigDir, o.LogDir = platformRouter(), t.TempDir(), t.TempDir()
	report, err := soak.Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	report.Print(&text)
	if len(report.Findings) > 0 {
		t.Error(text.String())
	}
	t.Log(text.String())
	const leastKinds, leastServed = 8, 20 // a soak in which nothing struck, or nothing was served, shows nothing
	if len(report.FaultCounts) < leastKinds || report.Requests.Served < leastServed {
		t.Errorf("too little has happened:\n%s", text.String())
	}
}
