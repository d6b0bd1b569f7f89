package main

import (
	"strings"
	"testing"
	"time"

	"mintdoor/internal/soak"
)

// A short soak with a fixed seed: router processes under overlapping faults keep every rule, as observed from outside
// and by their own checks. The times allowed are longer here, because the machine may be busy with other tests.
func TestSoak(t *testing.T) {
	runSoak(t, soak.Options{Seed: 1, Routers: 5, Readers: 4, Writers: 5, Length: 12 * time.Second, RequestsPerSecond: 4, FaultInterval: 250 * time.Millisecond,
		Slack: 2 * time.Second})
}

// The same soak with thousands of engines: a router's decisions must not take so long that timeouts, releases and
// answers are late because of them.
func TestSoakOfThousandsOfEngines(t *testing.T) {
	runSoak(t, soak.Options{Seed: 90211, Routers: 3, Readers: 1400, Writers: 1800, Length: 15 * time.Second, RequestsPerSecond: 12,
		FaultInterval: 300 * time.Millisecond, Slack: 2 * time.Second})
}

func runSoak(t *testing.T, o soak.Options) {
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
	const minKinds, minServed = 8, 20 // a soak without faults, or without served requests, tests nothing
	if len(report.FaultCounts) < minKinds || report.Requests.Served < minServed {
		t.Errorf("too few faults or served requests:\n%s", text.String())
	}
}
