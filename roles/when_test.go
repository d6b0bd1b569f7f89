package roles

import (
	"math"
	"testing"
	"time"
)

func towards(st Stage, gain float64) *Plan {
	return &Plan{Moves: []Move{{1, st}}, Now: 0.8, Then: 0.8 + gain}
}

func judge() *Judge { return &Judge{Confidence: 0.9, Horizon: 5 * time.Minute} }

// looks plays plans, one every five seconds, until one is let through; it returns after how many, or 0.
func looks(j *Judge, n int, plan func(i int) *Plan) int {
	for i := range n {
		if v := j.Look(time.Duration(i)*5*time.Second, plan(i)); v.Change {
			return i + 1
		}
	}
	return 0
}

func TestWhenToChange(t *testing.T) {
	for _, c := range []struct {
		name string
		plan func(i int) *Plan
		from int // looks after which it changes, at least
		to   int // and at most; 0: never
	}{
		{"a lasting need", func(int) *Plan { return towards(Prefill, 0.1) }, 3, 30},
		{"a lasting need with noise", func(i int) *Plan { return towards(Decode, 0.1+0.02*math.Sin(float64(i)*1.7)) }, 3, 40},
		{"to and fro every few seconds", func(i int) *Plan {
			return towards(Stage(i/2%2), 0.1)
		}, 0, 0},
		{"nothing to gain", func(int) *Plan { return &Plan{Now: 0.9, Then: 0.9} }, 0, 0},
		{"one burst", func(i int) *Plan {
			if i >= 20 && i < 22 {
				return towards(Decode, 0.2)
			}
			return &Plan{Now: 0.95, Then: 0.95}
		}, 0, 0},
	} {
		got := looks(judge(), 720, c.plan) // an hour
		if got < c.from || c.to == 0 && got != 0 || c.to > 0 && (got == 0 || got > c.to) {
			t.Errorf("%s: changed after %d looks, want %d to %d", c.name, got, c.from, c.to)
		}
	}
}

// The first looks never change anything, however great the gain: nothing is known of how it moves.
func TestFirstLooks(t *testing.T) {
	j := judge()
	if v := j.Look(0, towards(Prefill, 0.5)); v.Change || v.Why == "" {
		t.Errorf("%+v", v)
	}
	j = judge()
	looks(j, 100, func(int) *Plan { return towards(Prefill, 0.1) })
	j.Changed()
	if v := j.Look(time.Hour, towards(Prefill, 0.1)); v.Change {
		t.Error("what was learnt of the split before still counts")
	}
}

// After a long swing to one side, a need on the other is not taken up before it has lasted.
func TestTurn(t *testing.T) {
	j := judge()
	for i := range 60 {
		j.Look(time.Duration(i)*5*time.Second, towards(Prefill, 0.05))
	}
	turned := 0
	for i := 60; i < 400 && turned == 0; i++ {
		if v := j.Look(time.Duration(i)*5*time.Second, towards(Decode, 0.1)); v.Change {
			turned = i - 60
		}
	}
	if turned < 20 {
		t.Errorf("it turned after %d looks", turned)
	}
}
