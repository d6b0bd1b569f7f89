package roles

import (
	"testing"
)

func seen(horizons float64) [stages]Work { return [stages]Work{{Seen: horizons}, {Seen: horizons}} }

func towards(st Stage, sure float64) *Plan {
	return &Plan{Moves: []Move{{1, st}}, ServedNow: 0.8, ServedAfter: 0.9, Confidence: sure}
}

func TestWhenToChange(t *testing.T) {
	for _, c := range []struct {
		name  string
		looks int
		seen  float64
		plans []*Plan
		want  bool // of the last
	}{
		{"sure", 1, 9, []*Plan{towards(Prefill, 0.95)}, true},
		{"not sure", 1, 9, []*Plan{towards(Prefill, 0.7)}, false},
		{"nothing to move", 1, 9, []*Plan{{ServedNow: 0.9, ServedAfter: 0.9}}, false},
		{"sure, of what was hardly seen", 1, 1, []*Plan{towards(Prefill, 1)}, false},
		{"two looks, the first", 2, 9, []*Plan{towards(Prefill, 0.95)}, false},
		{"two looks, both", 2, 9, []*Plan{towards(Prefill, 0.95), towards(Prefill, 0.95)}, true},
		{"two looks, one each way", 2, 9, []*Plan{towards(Prefill, 0.95), towards(Decode, 0.95)}, false},
		{"two looks, one between that was not sure", 2, 9, []*Plan{towards(Prefill, 0.95), towards(Prefill, 0.5), towards(Prefill, 0.95)}, false},
	} {
		j := Judge{Confidence: 0.9, Looks: c.looks}
		var v Verdict
		for _, p := range c.plans {
			v = j.Look(p, seen(c.seen))
		}
		if v.Change != c.want || v.Reason == "" {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

// How sure a plan is counts the cases in which it matters, and no others.
func TestSure(t *testing.T) {
	cases := []scenario{{100, 10, 0.25}, {100, 20, 0.25}, {200, 10, 0.25}, {1, 1, 0.25}}
	for _, c := range []struct {
		now, then [stages]float64
		want      float64
	}{
		{[stages]float64{100, 20}, [stages]float64{200, 20}, 1},   // helps in the third, the others have enough
		{[stages]float64{100, 20}, [stages]float64{200, 15}, 0.5}, // helps in the third, harms in the second
		{[stages]float64{200, 20}, [stages]float64{100, 20}, 0},
		{[stages]float64{200, 20}, [stages]float64{300, 30}, 0}, // no difference
	} {
		if got := sure(c.now, c.then, [stages]float64{1, 1}, cases); got != c.want {
			t.Errorf("%v to %v: %.2f, want %.2f", c.now, c.then, got, c.want)
		}
	}
}
