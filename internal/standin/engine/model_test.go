package engine

import (
	"testing"
	"time"

	_ "mintdoor/internal/seeded"

	"pgregory.net/rapid"
)

// start is when the engines start.
var start = time.Unix(1000, 0)

// smallSpec returns the spec of an engine that reads 1,000 tokens per second in chunks of 100, with memory for 1,000
// tokens.
func smallSpec() Spec {
	s := Prefill()
	s.MaxRunning, s.MaxQueued, s.MemoryTokens, s.BlockTokens, s.ReadTokensPerSecond, s.ChunkTokens, s.StepTime, s.StepTimePerWriter =
		2, 1, 1000, 10, 1000, 100, time.Millisecond, 2*time.Millisecond
	return s
}

// runStep runs one step and returns its duration.
func runStep(m *model, now time.Time) time.Duration {
	d, reads := m.planStep(now)
	planned := append([]*seq(nil), m.running...)
	m.finishStep(planned, reads)
	return d
}

// TestReadDuration checks the duration of a read, the memory that its KV state holds, and that the next turn of the
// session reads only what is not cached.
func TestReadDuration(t *testing.T) {
	m := newModel(smallSpec(), start, false)
	s := &seq{promptTokens: 250, sessionID: "a"}
	if err := m.admit(s); err != nil {
		t.Fatal(err)
	}
	total := time.Duration(0)
	for len(s.events) == 0 {
		total += runStep(m, start.Add(total))
	}
	if want := 253 * time.Millisecond; total != want { // 250 tokens, and the base duration of three steps
		t.Errorf("the read took %v, want %v", total, want)
	}
	if m.usedBlocks != 26 { // 251 tokens in blocks of ten, held by the KV state
		t.Errorf("%d blocks are in use, want 26", m.usedBlocks)
	}
	m.freeBlocks(s.blocks)
	// The next turn of the session finds everything cached except its new tokens.
	next := &seq{promptTokens: 300, sessionID: "a"}
	m.admit(next)
	if next.cached != 250 || next.uncached != 50 {
		t.Errorf("%d prompt tokens cached, %d uncached; want 250 and 50", next.cached, next.uncached)
	}
}

// TestWriteDuration checks that writers share the steps, and that a step takes longer for each of them.
func TestWriteDuration(t *testing.T) {
	m := newModel(smallSpec(), start, false)
	a, b := &seq{promptTokens: 10, answerTokens: 3, needsState: true}, &seq{promptTokens: 10, answerTokens: 2, needsState: true}
	m.admit(a)
	m.admit(b)
	if m.busy() {
		t.Error("the model is busy before a KV state has arrived")
	}
	m.stateFetched(a)
	m.stateFetched(b)
	var took []time.Duration
	for m.busy() {
		took = append(took, runStep(m, start))
	}
	want := []time.Duration{5 * time.Millisecond, 5 * time.Millisecond, 3 * time.Millisecond}
	if len(took) != 3 || took[0] != want[0] || took[1] != want[1] || took[2] != want[2] {
		t.Errorf("steps took %v, want %v", took, want)
	}
	if len(a.events) != 3 || len(b.events) != 2 || m.usedBlocks != 0 {
		t.Errorf("%d and %d events, %d blocks in use; want 3, 2 and 0", len(a.events), len(b.events), m.usedBlocks)
	}
}

// TestAdmissionLimitAndPreemption checks the limit of running and queued sequences, and preemption when memory runs
// out.
func TestAdmissionLimitAndPreemption(t *testing.T) {
	m := newModel(smallSpec(), start, false)
	for i, full := range []bool{false, false, false, true} {
		if err := m.admit(&seq{promptTokens: 10, answerTokens: 5}); (err != nil) != full {
			t.Errorf("admit of sequence %d returned %v", i, err)
		}
	}
	// Two long answers do not fit into memory together: the newer is preempted and read again later, and both finish.
	m = newModel(smallSpec(), start, false)
	a, b := &seq{promptTokens: 400, answerTokens: 150, needsState: true},
		&seq{promptTokens: 400, answerTokens: 150, needsState: true}
	m.admit(a)
	m.admit(b)
	m.stateFetched(a)
	m.stateFetched(b)
	preempted := false
	for steps := 0; m.busy(); steps++ {
		runStep(m, start)
		preempted = preempted || len(m.queue) > 0
		if steps > 1000 {
			t.Fatal("the sequences do not finish within 1,000 steps")
		}
	}
	if !preempted || a.written != 150 || b.written != 150 || m.usedBlocks != 0 {
		t.Errorf("preempted: %v; %d and %d tokens written, %d blocks in use", preempted, a.written, b.written, m.usedBlocks)
	}
}

// TestSlowStartAndOverload checks that a cold engine is slower, warms up, and fails if it is sent too much.
func TestSlowStartAndOverload(t *testing.T) {
	m := newModel(smallSpec(), start, true)
	if got := m.capacityFraction(start); got != m.spec.InitialCapacity {
		t.Errorf("a cold engine starts with capacity fraction %v", got)
	}
	if m.capacityFraction(start.Add(m.spec.SlowStartTime/2)) <= m.spec.InitialCapacity ||
		m.capacityFraction(start.Add(m.spec.SlowStartTime)) != 1 {
		t.Error("the engine does not warm up")
	}
	cold, _ := m.planStep(start)
	warm, _ := newModel(smallSpec(), start, false).planStep(start)
	if cold <= warm {
		t.Errorf("a cold step takes %v, a warm one %v", cold, warm)
	}
	// 0.3 of 1,000 tokens per second, times four, for two seconds, plus two sends: 2,400 + 4,000 tokens of work.
	for i := range 4 {
		if m.countSend(start); m.overloaded != (i == 3) {
			t.Errorf("overloaded after %d sends of 2,000 tokens: %v", i+1, m.overloaded)
		}
	}
	m = newModel(smallSpec(), start, false)
	for range 100 {
		m.countSend(start)
	}
	if m.overloaded {
		t.Error("a warm engine failed under overload")
	}
}

// TestBlocksAreConserved checks that under random arrivals, completions and removals no block is lost or counted
// twice, and that the limits hold.
func TestBlocksAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(smallSpec(), start, false)
		var all []*seq
		held := 0
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				s := &seq{promptTokens: rapid.IntRange(1, 300).Draw(t, "prompt"), answerTokens: rapid.IntRange(0, 40).Draw(t, "answer"),
					sessionID: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "session")}
				if m.admit(s) == nil {
					all = append(all, s)
				}
			},
			"step": func(t *rapid.T) {
				if m.busy() {
					runStep(m, start)
				}
				for _, s := range all {
					if s.answerTokens == 0 && !s.removed && len(s.events) == 1 { // an ended read
						<-s.events
						held += s.blocks
						s.removed = true
					}
				}
			},
			"leave": func(t *rapid.T) {
				if len(all) > 0 {
					m.remove(all[rapid.IntRange(0, len(all)-1).Draw(t, "which")])
				}
			},
			"release": func(t *rapid.T) {
				if held > 0 {
					m.freeBlocks(held)
					held = 0
				}
			},
			"": func(t *rapid.T) {
				sum := held
				for _, s := range m.running {
					sum += s.blocks
				}
				for _, s := range all {
					if s.answerTokens == 0 && !s.removed && len(s.events) == 1 {
						sum += s.blocks
					}
				}
				if sum != m.usedBlocks || m.usedBlocks+m.cachedBlocks > m.totalBlocks() || m.usedBlocks < 0 ||
					m.cachedBlocks < 0 || len(m.running) > m.spec.MaxRunning {
					t.Fatalf("%d blocks in use by the model's count, %d by sum; %d cached of %d in total",
						m.usedBlocks, sum, m.cachedBlocks, m.totalBlocks())
				}
			},
		})
	})
}

// TestFaultSet checks that invalid faults are rejected, and how overlapping faults combine.
func TestFaultSet(t *testing.T) {
	for _, f := range []Fault{{Kind: "nonsense", Duration: 1}, {Kind: "slow"}, {Kind: "slow", Duration: 1, Size: -1},
		{Kind: "class_fail", Duration: 1, Mode: "x"}} {
		if f.Check() == nil {
			t.Errorf("invalid fault %+v was accepted", f)
		}
	}
	var fs faultSet
	fs.add(Fault{Kind: "slow", Duration: time.Second, Size: 3}, start)
	fs.add(Fault{Kind: "ageing", Duration: 10 * time.Second, Size: 5}, start)
	if got := fs.slowdown(start.Add(500 * time.Millisecond)); got != 3 {
		t.Errorf("slowdown of overlapping faults is %v, want 3", got)
	}
	if got := fs.slowdown(start.Add(5 * time.Second)); got != 3 { // half of the fault's duration: 1 + 4/2
		t.Errorf("slowdown of an ageing engine is %v, want 3", got)
	}
	fs.add(Fault{Kind: "pauses", Duration: 10 * time.Second, Size: 0.3}, start)
	if d := fs.pauseLeft(start.Add(2100 * time.Millisecond)); d != 200*time.Millisecond {
		t.Errorf("the engine pauses for %v, want 200ms", d)
	}
	if d := fs.pauseLeft(start.Add(2500 * time.Millisecond)); d != 0 {
		t.Errorf("the engine pauses for %v, want 0", d)
	}
	fs.clear("")
	if fs.slowdown(start) != 1 {
		t.Error("a fault continues after it was cleared")
	}
}
