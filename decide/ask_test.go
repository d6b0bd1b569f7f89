package decide

import (
	"testing"
)

// sparse is settings of so many routers that each sees little of any reader, and six readers.
func sparse() (*Settings, []Listing) {
	set := settings()
	set.Routers, set.Probing, set.ProbeFee = 300, true, 0.003
	list := fleet()
	for id := ServerID(3); id <= 6; id++ {
		list = append(list, Listing{Server: id, Kind: 0, Condition: Ready})
	}
	return set, list
}

// probes returns which servers are asked for their load.
func probes(acts []Action) (out []ServerID) {
	for _, a := range acts {
		if a.Kind == Probe {
			out = append(out, a.Server)
		}
	}
	return out
}

// tells answers a probe with so many thousand tokens that wait.
func (w *world) tells(s ServerID, waitingK float64) []Action {
	w.now += 2 * ms
	return w.do(Event{Kind: Probed, Server: s, Outcome: Served, Spent: 2 * ms,
		Report: Report{MemoryShare: -1, WaitingK: waitingK, Latency: -1}})
}

// A reader's queue is made by routers of which this one hears nothing: it is asked for before the read.
func TestReadersAreAskedByManyRouters(t *testing.T) {
	const crowd = 50 // thousand tokens: 5 s of reading
	tests := []struct {
		name   string
		queues [4]float64 // of the readers asked, in the order of the walk
		asked  int
		want   int // which of them gets the read; -1: refused
	}{
		{"the home has room", [4]float64{0, 0}, 2, 0},
		{"the home is a little busy", [4]float64{1, 0}, 2, 0},
		{"the home is crowded", [4]float64{crowd, 0}, 2, 1},
		{"two are crowded", [4]float64{crowd, crowd, 0, 0}, 4, 2},
		{"three are crowded", [4]float64{crowd, crowd, crowd, 0}, 4, 3},
		{"all are crowded", [4]float64{crowd, crowd, crowd, crowd}, 4, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(sparseOf(t))
			_, acts := w.arrive(safe)
			var asked []ServerID
			for len(probes(acts)) > 0 {
				if find(acts, Send) != nil {
					t.Fatalf("sent before the answers: %v", acts)
				}
				round := probes(acts)
				asked = append(asked, round...)
				for _, s := range round {
					for i, a := range asked {
						if a == s {
							acts = w.tells(s, tt.queues[i])
						}
					}
				}
			}
			if len(asked) != tt.asked {
				t.Fatalf("asked %v, want %d readers", asked, tt.asked)
			}
			if tt.want < 0 {
				if find(acts, Refuse) == nil {
					t.Fatalf("got %v, want a refusal", acts)
				}
				return
			}
			if got := w.sent(acts); got != asked[tt.want] {
				t.Errorf("read at %d, want %d of %v", got, asked[tt.want], asked)
			}
		})
	}
}

func sparseOf(t *testing.T) (*testing.T, *Settings, []Listing) {
	set, list := sparse()
	return t, set, list
}

// A reader that does not answer costs a probe's time-out and no more, and the other one asked gets the read.
func TestSilentReadersAreNotWaitedFor(t *testing.T) {
	w := newWorld(sparseOf(t))
	_, acts := w.arrive(safe)
	asked := probes(acts)
	if len(asked) != 2 {
		t.Fatalf("asked %v, want two", asked)
	}
	w.tells(asked[1], 0)
	acts = w.do(Event{Kind: Probed, Server: asked[0], Outcome: TimedOut, Spent: 250 * ms})
	if got := w.sent(acts); got != asked[1] {
		t.Errorf("read at %d, want the one that answered, %d", got, asked[1])
	}
}

// One answer serves all requests that wait for it, and what it told is not asked for again at once.
func TestOneAnswerServesManyRequests(t *testing.T) {
	w := newWorld(sparseOf(t))
	_, first := w.arrive(safe) // of one shared text, so of one home
	_, second := w.arrive(safe)
	asked := probes(first)
	if len(asked) != 2 || len(probes(second)) != 0 || find(second, Send) != nil {
		t.Fatalf("first %v, second %v: want two probes, then none", first, second)
	}
	w.tells(asked[0], 0)
	sends := 0
	for _, a := range w.tells(asked[1], 0) {
		if a.Kind == Send {
			sends++
		}
	}
	if sends != 2 {
		t.Errorf("%d reads began, want 2", sends)
	}
	if _, acts := w.arrive(safe); len(probes(acts)) != 0 {
		t.Errorf("asked again at once: %v", acts)
	}
}

// Rule 1 and the client's leave: who has gone while a reader was asked gets no attempt.
func TestNothingIsSentForWhoLeftWhileReadersWereAsked(t *testing.T) {
	w := newWorld(sparseOf(t))
	id, acts := w.arrive(safe)
	asked := probes(acts)
	w.do(Event{Kind: ClientGone, Request: id})
	for _, s := range asked {
		if acts := w.tells(s, 50); len(acts) != 0 { // crowded: for who waits, others would be asked
			t.Fatalf("got %v for a client that has left", acts)
		}
	}
}

// Few routers know the queues from their own reads, and where probes are dear or not allowed nobody asks.
func TestWhoAsksNoReaders(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"few routers": func(s *Settings) { s.Routers = 3 },
		"no probes":   func(s *Settings) { s.Probing = false },
		"dear probes": func(s *Settings) { s.ProbeFee = 0.1 },
	} {
		set, list := sparse()
		change(set)
		w := newWorld(t, set, list)
		if _, acts := w.arrive(safe); find(acts, Send) == nil {
			t.Errorf("%s: got %v, want a read at once", name, acts)
		}
	}
}

// One stream of one router among hundreds says nothing of what the writers hold.
func TestOwnBooksOfOneAmongManyRefuseNothing(t *testing.T) {
	set, list := sparse()
	set.Probing = false
	w := newWorld(t, set, list)
	for _, s := range []ServerID{11, 12, 13} {
		w.do(Event{Kind: Probed, Server: s, Outcome: Served, Report: Report{MemoryShare: 0.1, WaitingK: -1, Latency: -1}})
	}
	w.read(safe) // 1,000 tokens; times 300 routers two thirds of the writers' memory
	w.read(safe)
	for range 20 {
		if _, acts := w.arrive(safe); find(acts, Refuse) != nil {
			t.Fatalf("refused: %v", acts)
		}
	}
}
