package roles

import (
	"testing"
)

func scored(horizons float64) [stages]WorkForecast {
	return [stages]WorkForecast{{ScoredHorizons: horizons}, {ScoredHorizons: horizons}}
}

func planTo(st Stage, sure float64) *Plan {
	return &Plan{Moves: []Move{{1, st}}, ServedNow: 0.8, ServedAfter: 0.9, Confidence: sure}
}

func TestEvaluate(t *testing.T) {
	for _, c := range []struct {
		name             string
		consecutivePlans int
		seen             float64
		plans            []*Plan
		want             bool // change in the verdict on the last plan
	}{
		{"sure", 1, 9, []*Plan{planTo(Prefill, 0.95)}, true},
		{"not sure", 1, 9, []*Plan{planTo(Prefill, 0.7)}, false},
		{"nothing to move", 1, 9, []*Plan{{ServedNow: 0.9, ServedAfter: 0.9}}, false},
		{"confident after too few scored horizons", 1, 1, []*Plan{planTo(Prefill, 1)}, false},
		{"two plans required, first of them", 2, 9, []*Plan{planTo(Prefill, 0.95)}, false},
		{"two plans required, both agree", 2, 9, []*Plan{planTo(Prefill, 0.95), planTo(Prefill, 0.95)}, true},
		{"two plans required, opposite directions", 2, 9, []*Plan{planTo(Prefill, 0.95), planTo(Decode, 0.95)}, false},
		{"two plans required, interrupted by one that is not confident", 2, 9, []*Plan{planTo(Prefill, 0.95), planTo(Prefill, 0.5), planTo(Prefill, 0.95)}, false},
	} {
		evaluator := PlanEvaluator{Confidence: 0.9, ConsecutivePlans: c.consecutivePlans}
		var v Verdict
		for _, p := range c.plans {
			v = evaluator.Evaluate(p, scored(c.seen))
		}
		if v.Change != c.want || v.Reason == "" {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

// The confidence in a change counts only the demand cases in which the change makes a difference.
func TestChangeConfidence(t *testing.T) {
	cases := []demandCase{{100, 10, 0.25}, {100, 20, 0.25}, {200, 10, 0.25}, {1, 1, 0.25}}
	for _, c := range []struct {
		now, then [stages]float64
		want      float64
	}{
		// Helps in the third case; both capacities serve the others in full.
		{[stages]float64{100, 20}, [stages]float64{200, 20}, 1},
		{[stages]float64{100, 20}, [stages]float64{200, 15}, 0.5}, // helps in the third case and harms in the second
		{[stages]float64{200, 20}, [stages]float64{100, 20}, 0},
		{[stages]float64{200, 20}, [stages]float64{300, 30}, 0}, // no difference
	} {
		if got := changeConfidence(c.now, c.then, [stages]float64{1, 1}, cases); got != c.want {
			t.Errorf("%v to %v: %.2f, want %.2f", c.now, c.then, got, c.want)
		}
	}
}
