package swing

import (
	"testing"
	"time"

	"mintdoor/internal/trace"
)

// On a trace that needs many readers first and many writers later, the oracle begins with many readers and changes
// once.
func TestOracle(t *testing.T) {
	tr := &trace.Trace{Classes: []string{"a"}}
	for i := range 12000 {
		e := trace.Entry{At: time.Duration(i) * 50 * time.Millisecond, PromptTokens: 4000, OutputTokens: 20}
		if i >= 6000 {
			e.PromptTokens, e.OutputTokens = 400, 500
		}
		tr.Entries = append(tr.Entries, e)
	}
	// The first half is the work of 4.6 readers, the second of 3.3 writers.
	p := EngineRates{ReadPerS: 17500, WritePerS: 3000, AwayTime: 10 * time.Second}
	first, steps := Oracle(tr, 8, p, 0.9, 4)
	if first < 5 || len(steps) == 0 || len(steps) > 3 || steps[len(steps)-1].Readers > 4 {
		t.Errorf("from %d readers %+v", first, steps)
	}
	for _, s := range steps {
		if s.At < 4*time.Minute || s.At > 5*time.Minute+20*time.Second {
			t.Errorf("the split changes at %v, the mix at 5m", s.At)
		}
	}
	if n := MeanSplit(tr, 8, p); n < 3 || n > 5 {
		t.Errorf("the split for the mean work has %d readers", n)
	}
}

// A small comparison: role changes close most of the gap to the oracle when the mix changes slowly, and do next to
// nothing when it alternates quickly.
func TestCompare(t *testing.T) {
	if testing.Short() {
		t.Skip("plays some twenty simulated runs")
	}
	slow := Experiment{Swing: trace.Swing{Shape: "day", Length: 8 * time.Minute, Period: 12 * time.Minute, MinReadShare: 0.25, MaxReadShare: 0.75}, Engines: 6,
		Seeds: []uint64{1}, Load: 0.75}
	rows, err := slow.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r := &rows[0]
	t.Logf("%+v", *r)
	if r.GapClosed() < 0.5 || r.Changes == 0 || len(r.Violations) > 0 || r.WrongRoleAttempts > 0 || r.UnfinishedChanges > 0 {
		t.Errorf("gap closed %.2f, %d changes, violations %v", r.GapClosed(), r.Changes, r.Violations)
	}
	fast := slow
	fast.Swing.Shape, fast.Swing.Period = "flicker", 8*time.Second
	if rows, err = fast.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	if r := &rows[0]; r.Changes > 2 || r.ShiftService < r.MeanSplitService-0.01 || len(r.Violations) > 0 {
		t.Errorf("fast alternating mix: %+v", *r)
	}
}
