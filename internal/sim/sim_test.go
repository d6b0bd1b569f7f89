package sim

import (
	"reflect"
	"testing"
	"time"

	"mintdoor/internal/trace"
)

func generate(t testing.TB, s trace.Swing) *trace.Trace {
	t.Helper()
	s.ReadPerS, s.WritePerS = 17500, 3000
	out, err := s.Generate()
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func run(t testing.TB, cfg Config) *Result {
	t.Helper()
	res, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Violations) > 0 || res.WrongRoleAttempts > 0 || res.UnfinishedChanges > 0 {
		t.Errorf("violations %v, %d attempts at engines without the role, %d changes that did not end", res.Violations, res.WrongRoleAttempts, res.UnfinishedChanges)
	}
	if n := res.Served + res.Refused + res.Failed; n != res.Requests {
		t.Errorf("%d answers to %d requests", n, res.Requests)
	}
	return res
}

// A run with the same configuration and seed has the same result.
func TestRunIsReproducible(t *testing.T) {
	tr := generate(t, trace.Swing{Shape: "day", Length: 2 * time.Minute, Period: 2 * time.Minute, Seed: 3, MinReadShare: 0.3, MaxReadShare: 0.7, Engines: 6, Load: 0.8})
	var got []*Result
	for range 2 {
		sc := Scenario{Engines: 6, Readers: 2, Seed: 5}
		cfg := sc.Config(tr)
		cfg.Roles = sc.RoleConfig()
		cfg.Faults = []Fault{{At: 20 * time.Second, Duration: 5 * time.Second, Kind: CrashEngine, Target: 1}, {At: 50 * time.Second, Duration: 3 * time.Second, Kind: KillRouter, Target: 2}}
		got = append(got, run(t, cfg))
	}
	if !reflect.DeepEqual(got[0], got[1]) {
		t.Errorf("%+v\n%+v", got[0], got[1])
	}
	if got[0].Served < got[0].Requests/2 {
		t.Errorf("%+v", got[0])
	}
}
