package swing

import (
	"testing"
	"time"

	"mintdoor/internal/trace"
)

// Oracle and mean are what they are called: on a trace that needs many readers first and many writers later,
// the oracle begins with many readers and changes once.
func TestOracleKnowsTheTrace(t *testing.T) {
	tr := &trace.Trace{Classes: []string{"a"}}
	for i := range 12000 {
		e := trace.Entry{At: time.Duration(i) * 50 * time.Millisecond, PromptTokens: 4000, OutputTokens: 20}
		if i >= 6000 {
			e.PromptTokens, e.OutputTokens = 400, 500
		}
		tr.Entries = append(tr.Entries, e)
	}
	p := Pace{Read: 17500, Write: 3000, Away: 10 * time.Second} // first 4.6 readers' work, then 3.3 writers'
	first, steps := Oracle(tr, 8, p, 0.9, 4)
	if first < 5 || len(steps) == 0 || len(steps) > 3 || steps[len(steps)-1].Readers > 4 {
		t.Errorf("from %d readers %+v", first, steps)
	}
	for _, s := range steps {
		if s.At < 4*time.Minute || s.At > 5*time.Minute+20*time.Second {
			t.Errorf("it changes at %v, the mix at 5m", s.At)
		}
	}
	if n := Mean(tr, 8, p); n < 3 || n > 5 {
		t.Errorf("the mean's split has %d readers", n)
	}
}

// The whole comparison, small: a slow swing is followed for the most part of the way to the oracle, a fast
// one is left alone.
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
		t.Errorf("way %.2f, %d changes, broken %v", r.GapClosed(), r.Changes, r.Violations)
	}
	fast := slow
	fast.Swing.Shape, fast.Swing.Period = "flicker", 8*time.Second
	if rows, err = fast.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	if r := &rows[0]; r.Changes > 2 || r.ShiftService < r.MeanSplitService-0.01 || len(r.Violations) > 0 {
		t.Errorf("a fast swing: %+v", *r)
	}
}
