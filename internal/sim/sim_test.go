package sim

import (
	"reflect"
	"testing"
	"time"

	"mintdoor/internal/trace"
)

func swing(t testing.TB, s trace.Swing) *trace.Trace {
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
	if len(res.Broken) > 0 || res.WrongRole > 0 || res.Stuck > 0 {
		t.Errorf("broken %v, %d attempts at engines without the role, %d changes that did not end", res.Broken, res.WrongRole, res.Stuck)
	}
	if n := res.Served + res.Refused + res.Failed; n != res.Asked {
		t.Errorf("%d answers to %d requests", n, res.Asked)
	}
	return res
}

// The same run comes out the same.
func TestSameRunTwice(t *testing.T) {
	tr := swing(t, trace.Swing{Shape: "day", Length: 2 * time.Minute, Period: 2 * time.Minute, Seed: 3, MinReadShare: 0.3, MaxReadShare: 0.7, Engines: 6, Load: 0.8})
	var got []*Result
	for range 2 {
		sc := Scene{Engines: 6, Readers: 2, Seed: 5}
		cfg := sc.Config(tr)
		cfg.Roles = sc.Shifting()
		cfg.Troubles = []Trouble{{At: 20 * time.Second, For: 5 * time.Second, Kind: Crash, On: 1}, {At: 50 * time.Second, For: 3 * time.Second, Kind: Kill, On: 2}}
		got = append(got, run(t, cfg))
	}
	if !reflect.DeepEqual(got[0], got[1]) {
		t.Errorf("%+v\n%+v", got[0], got[1])
	}
	if got[0].Served < got[0].Asked/2 {
		t.Errorf("%+v", got[0])
	}
}
