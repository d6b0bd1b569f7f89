package engine

import (
	"testing"
	"time"

	_ "mintdoor/internal/seeded"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// small is an engine that reads 1,000 tokens a second in chunks of 100, with room for 1,000 tokens.
func small() Spec {
	s := Prefill()
	s.MaxRunning, s.MaxQueued, s.MemoryTokens, s.BlockTokens, s.ReadTokensPerSecond, s.ChunkTokens, s.StepTime, s.StepTimePerWriter = 2, 1, 1000, 10, 1000, 100, time.Millisecond, 2*time.Millisecond
	return s
}

// advance runs one step and returns how long it took.
func advance(m *model, now time.Time) time.Duration {
	d, reads := m.step(now)
	planned := append([]*seq(nil), m.running...)
	m.finish(planned, reads)
	return d
}

func TestReadTakesItsTime(t *testing.T) {
	m := newModel(small(), start, false)
	s := &seq{prompt: 250, session: "a"}
	if err := m.admit(s); err != nil {
		t.Fatal(err)
	}
	total := time.Duration(0)
	for len(s.events) == 0 {
		total += advance(m, start.Add(total))
	}
	if want := 253 * time.Millisecond; total != want { // 250 tokens, and three steps of their own
		t.Errorf("it took %v, want %v", total, want)
	}
	if m.used != 26 { // 251 tokens in blocks of ten: they wait with the state
		t.Errorf("%d blocks are held", m.used)
	}
	m.free(s.blocks)
	// The next turn of the session finds all but its new tokens kept.
	next := &seq{prompt: 300, session: "a"}
	m.admit(next)
	if next.kept != 250 || next.fresh != 50 {
		t.Errorf("%d kept, %d to read", next.kept, next.fresh)
	}
}

func TestWriteTakesItsTime(t *testing.T) {
	m := newModel(small(), start, false)
	a, b := &seq{prompt: 10, answer: 3, wantsState: true}, &seq{prompt: 10, answer: 2, wantsState: true}
	m.admit(a)
	m.admit(b)
	if m.busy() {
		t.Error("busy before a state has come")
	}
	m.fetched(a)
	m.fetched(b)
	var took []time.Duration
	for m.busy() {
		took = append(took, advance(m, start))
	}
	want := []time.Duration{5 * time.Millisecond, 5 * time.Millisecond, 3 * time.Millisecond}
	if len(took) != 3 || took[0] != want[0] || took[1] != want[1] || took[2] != want[2] {
		t.Errorf("steps took %v, want %v", took, want)
	}
	if len(a.events) != 3 || len(b.events) != 2 || m.used != 0 {
		t.Errorf("%d and %d tokens, %d blocks left", len(a.events), len(b.events), m.used)
	}
}

func TestBoundsAndPreemption(t *testing.T) {
	m := newModel(small(), start, false)
	for i, full := range []bool{false, false, false, true} {
		if err := m.admit(&seq{prompt: 10, answer: 5}); (err != nil) != full {
			t.Errorf("admit %d: %v", i, err)
		}
	}
	// Two long answers do not fit together: the newer is put back and read anew later, and both end.
	m = newModel(small(), start, false)
	a, b := &seq{prompt: 400, answer: 150, wantsState: true}, &seq{prompt: 400, answer: 150, wantsState: true}
	m.admit(a)
	m.admit(b)
	m.fetched(a)
	m.fetched(b)
	putBack := false
	for steps := 0; m.busy(); steps++ {
		advance(m, start)
		putBack = putBack || len(m.queue) > 0
		if steps > 1000 {
			t.Fatal("it never ends")
		}
	}
	if !putBack || a.written != 150 || b.written != 150 || m.used != 0 {
		t.Errorf("put back: %v; %d and %d written, %d blocks left", putBack, a.written, b.written, m.used)
	}
}

func TestColdAndFall(t *testing.T) {
	m := newModel(small(), start, true)
	if got := m.share(start); got != m.spec.InitialCapacity {
		t.Errorf("it starts at %v", got)
	}
	if m.share(start.Add(m.spec.SlowStartTime/2)) <= m.spec.InitialCapacity || m.share(start.Add(m.spec.SlowStartTime)) != 1 {
		t.Error("it does not warm up")
	}
	cold, _ := m.step(start)
	warm, _ := newModel(small(), start, false).step(start)
	if cold <= warm {
		t.Errorf("a cold step takes %v, a warm one %v", cold, warm)
	}
	// 0.3 of 1,000 tokens a second, four times, for two seconds, and two sends: 2,400 + 4,000 tokens of work.
	for i := range 4 {
		if m.weigh(start); m.fallen != (i == 3) {
			t.Errorf("fallen after %d sends of 2,000: %v", i+1, m.fallen)
		}
	}
	m = newModel(small(), start, false)
	for range 100 {
		m.weigh(start)
	}
	if m.fallen {
		t.Error("a warm engine fell")
	}
}

// Under random arrivals, ends and departures no block is lost or counted twice, and the bounds hold.
func TestBlocksAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(small(), start, false)
		var all []*seq
		held := 0
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				s := &seq{prompt: rapid.IntRange(1, 300).Draw(t, "prompt"), answer: rapid.IntRange(0, 40).Draw(t, "answer"),
					session: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "session")}
				if m.admit(s) == nil {
					all = append(all, s)
				}
			},
			"step": func(t *rapid.T) {
				if m.busy() {
					advance(m, start)
				}
				for _, s := range all {
					if s.answer == 0 && !s.gone && len(s.events) == 1 { // read: its state waits
						<-s.events
						held += s.blocks
						s.gone = true
					}
				}
			},
			"leave": func(t *rapid.T) {
				if len(all) > 0 {
					m.leave(all[rapid.IntRange(0, len(all)-1).Draw(t, "which")])
				}
			},
			"release": func(t *rapid.T) {
				if held > 0 {
					m.free(held)
					held = 0
				}
			},
			"": func(t *rapid.T) {
				sum := held
				for _, s := range m.running {
					sum += s.blocks
				}
				for _, s := range all {
					if s.answer == 0 && !s.gone && len(s.events) == 1 {
						sum += s.blocks
					}
				}
				if sum != m.used || m.used+m.cached > m.total() || m.used < 0 || m.cached < 0 || len(m.running) > m.spec.MaxRunning {
					t.Fatalf("%d blocks in use by count, %d by sum; %d cached of %d", m.used, sum, m.cached, m.total())
				}
			},
		})
	})
}

func TestFaults(t *testing.T) {
	for _, f := range []Fault{{Kind: "nonsense", Duration: 1}, {Kind: "slow"}, {Kind: "slow", Duration: 1, Size: -1}, {Kind: "class_fail", Duration: 1, Mode: "x"}} {
		if f.Check() == nil {
			t.Errorf("%+v was taken", f)
		}
	}
	var fs faults
	fs.add(Fault{Kind: "slow", Duration: time.Second, Size: 3}, start)
	fs.add(Fault{Kind: "ageing", Duration: 10 * time.Second, Size: 5}, start)
	if got := fs.factor(start.Add(500 * time.Millisecond)); got != 3 {
		t.Errorf("overlapping: %v", got)
	}
	if got := fs.factor(start.Add(5 * time.Second)); got != 3 { // half of its life: 1 + 4/2
		t.Errorf("ageing: %v", got)
	}
	fs.add(Fault{Kind: "pauses", Duration: 10 * time.Second, Size: 0.3}, start)
	if d := fs.pause(start.Add(2100 * time.Millisecond)); d != 200*time.Millisecond {
		t.Errorf("it stands still for %v", d)
	}
	if d := fs.pause(start.Add(2500 * time.Millisecond)); d != 0 {
		t.Errorf("it stands still for %v", d)
	}
	fs.clear("")
	if fs.factor(start) != 1 {
		t.Error("cleared faults go on")
	}
}
