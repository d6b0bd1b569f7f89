package sim

import (
	"testing"
	"time"

	"mintdoor/internal/trace"

	_ "mintdoor/internal/seeded"

	"pgregory.net/rapid"
)

// frequentChanges returns a run in which roles change as often as possible: short horizons, short turns, an
// alternating mix.
func frequentChanges(tr *trace.Trace, engines, readers, routers int, seed uint64) Config {
	sc := Scenario{Engines: engines, Readers: readers, Routers: routers, Seed: seed, MaxAway: 2}
	cfg := sc.Config(tr)
	cfg.Roles = sc.RoleConfig()
	cfg.CheckInterval, cfg.RoleChangeTime = 250*time.Millisecond, 300*time.Millisecond
	cfg.Prefill.SlowStartTime, cfg.Decode.SlowStartTime = 2*time.Second, 2*time.Second
	cfg.Settings.SlowStartTime = 2.4e9
	r := cfg.Roles
	r.Costs.Horizon, r.Costs.AwayTime, r.PlanInterval, r.SlowStartTime, r.Confidence = 4*time.Second, 900*time.Millisecond, 500*time.Millisecond, 2400*time.Millisecond, 0.6
	r.Timeouts.EmptyTimeout, r.Timeouts.ChangeTimeout, r.Timeouts.Backoff, r.TurnOrder.SlotLength = 5*time.Second, 3*time.Second, time.Second, time.Second
	return cfg
}

// Whatever the demand, the faults and the delays: no engine is sent work of a role that it has left or does not have,
// every change ends, every request has one answer, and the five rules are kept.
func TestNoWorkInLeftRole(t *testing.T) {
	changes, begun, runs := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(4, 7).Draw(t, "engines")
		routers := rapid.IntRange(1, 3).Draw(t, "routers")
		seed := rapid.Uint64Range(1, 1<<30).Draw(t, "seed")
		shapes := []string{"day", "steps", "flicker", "gusts", "ramps"}
		sw := trace.Swing{Shape: rapid.SampledFrom(shapes).Draw(t, "shape"), Length: 30 * time.Second,
			Period: time.Duration(rapid.IntRange(5, 45).Draw(t, "period")) * time.Second, Seed: seed, MinReadShare: 0.2, MaxReadShare: 0.8, Engines: engines,
			Load: rapid.Float64Range(0.3, 1.3).Draw(t, "load"), ReadPerS: 17500, WritePerS: 3000}
		tr, err := sw.Generate()
		if err != nil {
			t.Fatal(err)
		}
		cfg := frequentChanges(tr, engines, rapid.IntRange(1, engines-1).Draw(t, "readers"), routers, seed)
		for range routers {
			cfg.Weights = append(cfg.Weights, rapid.Float64Range(0.1, 1).Draw(t, "weight"))
		}
		hiddenRoles := 0
		for range rapid.IntRange(0, 8).Draw(t, "troubles") {
			fault := Fault{At: time.Duration(rapid.IntRange(0, 29000).Draw(t, "at")) * time.Millisecond,
				Duration: time.Duration(rapid.IntRange(1, 8000).Draw(t, "for")) * time.Millisecond, Kind: FaultKind(rapid.IntRange(int(CrashEngine), int(RestartEngine)).Draw(t, "kind"))}
			if fault.Target = rapid.IntRange(0, engines-1).Draw(t, "on"); fault.Kind == KillRouter {
				fault.Target %= routers
			}
			if fault.Kind == HideRole {
				if hiddenRoles++; 2*hiddenRoles > engines { // engines stay trusted while most are unresponsive
					continue
				}
			}
			cfg.Faults = append(cfg.Faults, fault)
		}
		res, err := Run(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if len(res.Violations) > 0 || res.WrongRoleAttempts > 0 || res.UnfinishedChanges > 0 {
			t.Fatalf("violations %v, %d attempts at engines without the role, %d changes that did not end; faults %+v", res.Violations, res.WrongRoleAttempts,
				res.UnfinishedChanges, cfg.Faults)
		}
		if n := res.Served + res.Refused + res.Failed; n != res.Requests {
			t.Fatalf("%d answers to %d requests", n, res.Requests)
		}
		changes, begun, runs = changes+res.ChangesDone, begun+res.ChangesBegun, runs+1
	})
	t.Logf("%d runs, %d changes begun, %d done", runs, begun, changes)
	if changes < runs/4 || begun == changes {
		t.Errorf("%d changes begun and %d done in %d runs: too few changes for the test to be meaningful", begun, changes, runs)
	}
}
