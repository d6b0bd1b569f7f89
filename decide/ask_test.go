package decide

import (
	"slices"
	"testing"
)

// sparse is settings of so many routers that each sees little of any reader, and ten readers.
func sparse() (*Settings, []Listing) {
	set := settings()
	set.Routers, set.Probing, set.ProbeCost = 300, true, 0.003
	list := fleet()
	for id := ServerID(3); id <= 10; id++ {
		list = append(list, Listing{Server: id, Kind: 0, Condition: Ready})
	}
	return set, list
}

// probes returns which servers are asked for their load: readers, whose ids are up to 10, and writers.
func probes(acts []Action) (readers, writers []ServerID) {
	for _, a := range acts {
		if a.Kind == Probe && a.Server <= 10 {
			readers = append(readers, a.Server)
		} else if a.Kind == Probe {
			writers = append(writers, a.Server)
		}
	}
	return readers, writers
}

// tells answers a probe with a share of memory and so many thousand tokens that wait.
func (w *world) tells(s ServerID, share, waitingK float64) []Action {
	w.now += 2 * ms
	return w.do(Event{Kind: Probed, Server: s, Outcome: Served, Elapsed: 2 * ms,
		Report: Report{MemoryUse: share, QueuedKTokens: waitingK, Latency: -1}})
}

// silent answers a probe with its time-out.
func (w *world) silent(s ServerID) []Action {
	return w.do(Event{Kind: Probed, Server: s, Outcome: TimedOut, Elapsed: w.r.set.DialTimeout})
}

// idle answers all probes: nothing waits, and little is held.
func (w *world) idle(acts []Action) (last []Action) {
	readers, writers := probes(acts)
	for _, s := range append(writers, readers...) {
		last = w.tells(s, 0.1, 0)
	}
	return last
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
				round, writers := probes(acts)
				if len(round) == 0 || len(writers) != 0 && len(asked) > 0 {
					t.Fatalf("after %v: %v", asked, acts)
				}
				for _, s := range writers {
					w.tells(s, 0.1, 0)
				}
				asked = append(asked, round...)
				for _, s := range round {
					queue := 0.0
					if i := slices.Index(asked, s); i < len(tt.busy) {
						queue = tt.busy[i]
					}
					acts = w.tells(s, 0, queue)
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

// Two writers near the home are asked with the readers: the refusal and the pick go by their word, the one that
// holds less first; without an answer all goes on as ever.
func TestWritersAreAskedWithTheReaders(t *testing.T) {
	for _, tt := range []struct {
		name   string
		shares [2]float64 // of the writers asked; negative: no answer
		want   func(asked []ServerID, got ServerID) bool
	}{
		{"the first holds less", [2]float64{0.2, 0.6}, func(a []ServerID, got ServerID) bool { return got == a[0] }},
		{"the second holds less", [2]float64{0.6, 0.2}, func(a []ServerID, got ServerID) bool { return got == a[1] }},
		{"the first is full", [2]float64{0.99, 0.85}, func(a []ServerID, got ServerID) bool { return got == a[1] }},
		{"both are full", [2]float64{0.99, 0.99}, nil},
		{"neither answers", [2]float64{-1, -1}, func(a []ServerID, got ServerID) bool { return got != 0 }},
		{"one answers", [2]float64{-1, 0.5}, func(a []ServerID, got ServerID) bool { return got == a[1] }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(sparseOf(t))
			id, acts := w.arrive(safe)
			readers, asked := probes(acts)
			if len(asked) != 2 || asked[0] == asked[1] {
				t.Fatalf("asked %v, want two writers", asked)
			}
			for _, s := range readers {
				w.tells(s, 0, 0)
			}
			for i, s := range asked {
				if tt.shares[i] < 0 {
					acts = w.silent(s)
				} else {
					acts = w.tells(s, tt.shares[i], 0)
				}
			}
			if tt.want == nil {
				if find(acts, Refuse) == nil {
					t.Errorf("got %v, want a refusal", acts)
				}
				return
			}
			if got := w.sent(w.end(id, 0, w.sent(acts), ReadDone)); !tt.want(asked, got) {
				t.Errorf("written at %d, asked %v", got, asked)
			}
		})
	}
}

// What waits at a writer by its own word fills it as what it holds does.
func TestAWritersQueueFillsIt(t *testing.T) {
	w := newWorld(sparseOf(t))
	_, acts := w.arrive(safe)
	readers, writers := probes(acts)
	for _, s := range readers {
		w.tells(s, 0, 0)
	}
	for _, s := range writers {
		acts = w.tells(s, 0.5, 75) // half of 150 thousand
	}
	if find(acts, Refuse) == nil {
		t.Errorf("got %v, want a refusal", acts)
	}
}

// When the read goes to another cell than the home's, writers of that cell are asked while it reads.
func TestWritersAreAskedWhereTheReadIs(t *testing.T) {
	set, list := sparse()
	for i := range list {
		if list[i].Server <= 10 {
			list[i].Cell = int(list[i].Server) // each by itself
		} else {
			list[i].Cell = 0
		}
	}
	w := newWorld(t, set, list)
	_, acts := w.arrive(safe)
	readers, writers := probes(acts)
	for _, s := range writers {
		w.tells(s, 0.1, 0)
	}
	w.tells(readers[0], 0, 50)
	acts = w.tells(readers[1], 0, 0)
	if got := w.sent(acts); got != readers[1] {
		t.Fatalf("read at %d, want %d", got, readers[1])
	}
	if _, again := probes(acts); len(again) == 0 {
		t.Errorf("no writer is asked: %v", acts)
	}
}

// A reader that does not answer costs a probe's time-out and no more, and the other one asked gets the read.
func TestSilentReadersAreNotWaitedFor(t *testing.T) {
	w := newWorld(sparseOf(t))
	_, acts := w.arrive(safe)
	asked, writers := probes(acts)
	if len(asked) != 2 {
		t.Fatalf("asked %v, want two", asked)
	}
	for _, s := range append(writers, asked[1]) {
		w.tells(s, 0.1, 0)
	}
	acts = w.silent(asked[0])
	if got := w.sent(acts); got != asked[1] {
		t.Errorf("read at %d, want the one that answered, %d", got, asked[1])
	}
}

// One answer serves all requests that wait for it, and what it told is not asked for again at once.
func TestOneAnswerServesManyRequests(t *testing.T) {
	w := newWorld(sparseOf(t))
	_, first := w.arrive(safe) // of one shared text, so of one home
	_, second := w.arrive(safe)
	again, _ := probes(second)
	if asked, _ := probes(first); len(asked) != 2 || len(again) != 0 || find(second, Send) != nil {
		t.Fatalf("first %v, second %v: want two readers asked, then none", first, second)
	}
	w.idle(second)
	sends := 0
	for _, a := range w.idle(first) {
		if a.Kind == Send {
			sends++
		}
	}
	if sends != 2 {
		t.Errorf("%d reads began, want 2", sends)
	}
	_, acts := w.arrive(safe)
	if again, _ := probes(acts); len(again) != 0 {
		t.Errorf("asked again at once: %v", acts)
	}
}

// A busy router asks the same readers again and again; a request waits for what was asked for it, and no longer.
func TestNoRequestWaitsForWhatOthersAsk(t *testing.T) {
	w := newWorld(sparseOf(t))
	first, acts := w.arrive(safe)
	asked, writers := probes(acts)
	for _, s := range append(writers, asked[0]) {
		w.tells(s, 0.1, 0)
	}
	w.now += 2 * askFresh // the other is silent, and what this one told is no news any more
	_, acts = w.arrive(safe)
	if again, _ := probes(acts); !slices.Contains(again, asked[0]) {
		t.Fatalf("the second request asks %v, want %d again", again, asked[0])
	}
	acts = w.silent(asked[1])
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
	round, writers := probes(acts)
	w.now += w.r.set.DialTimeout + ms
	for _, s := range append(writers, round...) {
		acts = w.silent(s)
	}
	if len(round) != 2 || find(acts, Send) == nil {
		t.Errorf("after %v were silent: %v, want a read", round, acts)
	}
	acts = w.do(Event{Kind: Arrived, Request: 99, Job: Job{Class: safe, SessionID: 5, PrefixID: 98, PromptTokens: 1000,
		Deadline: w.now + w.r.set.DialTimeout}})
	if find(acts, Send) == nil {
		t.Errorf("with little time left: %v, want a read at once", acts)
	}
}

// Rule 5: a connection that does not come up claims no state. Before what is held would stay too long the request
// is given up, and its state let go; nothing has run, so it is refused, also where nothing may be repeated.
func TestStatesAreNotHeldOverDeadConnections(t *testing.T) {
	for _, tt := range []struct {
		letGo Duration
		tries int // of writers, each with the dial's time-out
	}{{1000 * ms, 4}, {800 * ms, 3}, {500 * ms, 2}, {300 * ms, 1}, {200 * ms, 1}} {
		set := settings()
		set.HoldTimeout = tt.letGo
		list := fleet()
		for id := ServerID(14); id < 20; id++ {
			list = append(list, Listing{Server: id, Kind: 1, Condition: Ready})
		}
		w := newWorld(t, set, list)
		id, writer := w.read(unsafeClass)
		held := w.now
		for n := 1; ; n++ {
			w.now += set.DialTimeout
			acts := w.do(Event{Kind: AttemptEnded, Request: id, Attempt: n, Server: writer, Outcome: ConnectFailed,
				Elapsed: set.DialTimeout})
			if a := find(acts, Send); a != nil {
				writer = a.Server
				continue
			}
			if n != tt.tries || find(acts, Refuse) == nil || find(acts, Release) == nil {
				t.Errorf("held for %d ms at the most: after %d tries %v, want a refusal and a release after %d", tt.letGo/ms, n, acts, tt.tries)
			}
			// The slack of the sockets, less what the process may be held up.
			if most := tt.letGo + 300*ms - MaxPause; w.now-held > most {
				t.Errorf("held for %d ms, at most %d are allowed", (w.now-held)/ms, most/ms)
			}
			break
		}
	}
}

// Rule 1 and the client's leave: who has gone while a reader was asked gets no attempt.
func TestNothingIsSentForWhoLeftWhileReadersWereAsked(t *testing.T) {
	w := newWorld(sparseOf(t))
	id, acts := w.arrive(safe)
	asked, writers := probes(acts)
	w.do(Event{Kind: ClientLeft, Request: id})
	for _, s := range append(writers, asked...) {
		if acts := w.tells(s, 0.1, 50); len(acts) != 0 { // crowded: for who waits, others would be asked
			t.Fatalf("got %v for a client that has left", acts)
		}
	}
}

// Few routers know the queues from their own reads, and where probes are dear or not allowed nobody asks.
func TestWhoAsksNoReaders(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"few routers": func(s *Settings) { s.Routers = 3 },
		"no probes":   func(s *Settings) { s.Probing = false },
		"dear probes": func(s *Settings) { s.ProbeCost = 0.1 },
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
		w.do(Event{Kind: Probed, Server: s, Outcome: Served, Report: Report{MemoryUse: 0.1, QueuedKTokens: -1, Latency: -1}})
	}
	w.read(safe) // 1,000 tokens; times 300 routers two thirds of the writers' memory
	w.read(safe)
	for range 20 {
		if _, acts := w.arrive(safe); find(acts, Refuse) != nil {
			t.Fatalf("refused: %v", acts)
		}
	}
}

// Up to eight routers go by what they read themselves: a reader's report is the same to all, and late.
func TestFewRoutersDoNotAsk(t *testing.T) {
	for routers, asks := range map[int]bool{1: false, 6: false, 8: false, 9: true, 300: true} {
		set, list := sparse()
		set.Routers = routers
		w := newWorld(t, set, list)
		_, acts := w.arrive(safe)
		readers, _ := probes(acts)
		if (len(readers) > 0) != asks || (find(acts, Send) == nil) != asks {
			t.Errorf("%d routers: %d readers asked, %v", routers, len(readers), kinds(acts))
		}
	}
}
