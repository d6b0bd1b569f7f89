package decide

import (
	"slices"
	"testing"
)

// sparse is settings of so many routers that each sees little of any reader, and ten readers.
func sparse() (*Settings, []Listing) {
	set := settings()
	set.Routers, set.Probing, set.ProbeFee = 300, true, 0.003
	list := fleet()
	for id := ServerID(3); id <= 10; id++ {
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
		name  string
		busy  []float64 // thousand tokens at the first readers asked, in the order of the walk; the rest idle
		asked int
		want  int // which of them gets the read; -1: refused
	}{
		{"the home has room", nil, 2, 0},
		{"the home is a little busy", []float64{1}, 2, 0},
		{"the home is crowded", []float64{crowd}, 2, 1},
		{"two are crowded", []float64{crowd, crowd}, 4, 2},
		{"three are crowded", []float64{crowd, crowd, crowd}, 4, 3},
		{"all are crowded", []float64{crowd, crowd, crowd, crowd, crowd, crowd, crowd, crowd}, 8, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(sparseOf(t))
			_, acts := w.arrive(safe)
			var asked []ServerID
			for find(acts, Send) == nil && find(acts, Refuse) == nil {
				round := probes(acts)
				if len(round) == 0 {
					t.Fatalf("nothing goes on after %v", asked)
				}
				asked = append(asked, round...)
				for _, s := range round {
					queue := 0.0
					if i := slices.Index(asked, s); i < len(tt.busy) {
						queue = tt.busy[i]
					}
					acts = w.tells(s, queue)
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

// heard answers all probes that are out, each with a share of memory and the tokens that wait.
func (w *world) heard(acts []Action, share func(ServerID) float64) (last []Action) {
	for _, s := range probes(acts) {
		w.now += 2 * ms
		last = w.do(Event{Kind: Probed, Server: s, Outcome: Served, Spent: 2 * ms,
			Report: Report{MemoryShare: share(s), WaitingK: 0, Latency: -1}})
	}
	return last
}

// While a prompt is read, two writers are asked, and the pick goes to the one that holds less; one that is full
// gets nothing while others may fit; without an answer the pick goes on as ever.
func TestWritersAreAskedWhileAPromptIsRead(t *testing.T) {
	idle := func(ServerID) float64 { return 0 }
	for _, tt := range []struct {
		name   string
		shares [2]float64 // of the writers asked; negative: no answer
		want   func(asked []ServerID, got ServerID) bool
	}{
		{"the first holds less", [2]float64{0.2, 0.6}, func(a []ServerID, got ServerID) bool { return got == a[0] }},
		{"the second holds less", [2]float64{0.6, 0.2}, func(a []ServerID, got ServerID) bool { return got == a[1] }},
		{"the first is full", [2]float64{0.99, 0.85}, func(a []ServerID, got ServerID) bool { return got == a[1] }},
		{"both are full", [2]float64{0.99, 0.99}, func(a []ServerID, got ServerID) bool { return !slices.Contains(a, got) }},
		{"neither answers", [2]float64{-1, -1}, func(a []ServerID, got ServerID) bool { return got != 0 }},
		{"one answers", [2]float64{-1, 0.5}, func(a []ServerID, got ServerID) bool { return got == a[1] }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(sparseOf(t))
			id, acts := w.arrive(safe)
			acts = w.heard(acts, idle)
			reader := w.sent(acts)
			asked := probes(acts)
			if len(asked) != 2 || asked[0] == asked[1] || asked[0] < 11 || asked[1] < 11 {
				t.Fatalf("asked %v while reading, want two writers", asked)
			}
			for i, s := range asked {
				if tt.shares[i] >= 0 {
					w.heard([]Action{{Kind: Probe, Server: s}}, func(ServerID) float64 { return tt.shares[i] })
				}
			}
			if got := w.sent(w.end(id, 0, reader, ReadDone)); !tt.want(asked, got) {
				t.Errorf("written at %d, asked %v", got, asked)
			}
		})
	}
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

// A busy router asks the same readers again and again; a request waits for what was asked for it, and no longer.
func TestNoRequestWaitsForWhatOthersAsk(t *testing.T) {
	w := newWorld(sparseOf(t))
	first, acts := w.arrive(safe)
	asked := probes(acts)
	w.tells(asked[0], 0)
	w.now += 2 * askFresh // the other is silent, and what this one told is no news any more
	if _, acts := w.arrive(safe); !slices.Contains(probes(acts), asked[0]) {
		t.Fatalf("the second request asks %v, want %d again", probes(acts), asked[0])
	}
	acts = w.do(Event{Kind: Probed, Server: asked[1], Outcome: TimedOut, Spent: 250 * ms})
	for _, a := range acts {
		if a.Kind == Send && a.Request == first {
			return
		}
	}
	t.Errorf("got %v: the first request waits for the second's answer", acts)
}

// Silent readers cost one time-out, however many there are, and nothing where the client has little time left.
func TestSilentReadersCostOneTimeOut(t *testing.T) {
	w := newWorld(sparseOf(t))
	_, acts := w.arrive(safe)
	round := probes(acts)
	w.now += w.r.set.DialTimeout + ms
	for _, s := range round {
		acts = w.do(Event{Kind: Probed, Server: s, Outcome: TimedOut, Spent: w.r.set.DialTimeout})
	}
	if len(round) != 2 || find(acts, Send) == nil {
		t.Errorf("after %v were silent: %v, want a read", round, acts)
	}
	acts = w.do(Event{Kind: Arrived, Request: 99, Job: Job{Class: safe, Session: 5, Text: 98, Prompt: 1000,
		Deadline: w.now + w.r.set.DialTimeout}})
	if find(acts, Send) == nil {
		t.Errorf("with little time left: %v, want a read at once", acts)
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
