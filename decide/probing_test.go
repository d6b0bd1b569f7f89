package decide

import (
	"slices"
	"testing"
)

// manyRoutersSetup returns settings with so many routers that each sees little of any reader, and a list with ten
// readers.
func manyRoutersSetup() (*Settings, []Listing) {
	set := testSettings()
	set.Routers, set.Probing, set.ProbeCost = 300, true, 0.003
	list := testFleet()
	for id := ServerID(3); id <= 10; id++ {
		list = append(list, Listing{Server: id, Kind: 0, Condition: Ready})
	}
	return set, list
}

// probedServers returns which servers are probed for their load: readers, whose ids are up to 10, and writers.
func probedServers(acts []Action) (readers, writers []ServerID) {
	for _, a := range acts {
		if a.Kind == Probe && a.Server <= 10 {
			readers = append(readers, a.Server)
		} else if a.Kind == Probe {
			writers = append(writers, a.Server)
		}
	}
	return readers, writers
}

// reportLoad answers a probe with a memory use and so many thousand queued tokens.
func (h *harness) reportLoad(s ServerID, memoryUse, queuedK float64) []Action {
	h.now += 2 * ms
	return h.handle(Event{Kind: Probed, Server: s, Outcome: Served, Elapsed: 2 * ms,
		Report: Report{MemoryUse: memoryUse, QueuedKTokens: queuedK, Latency: -1}})
}

// timeOutProbe ends a probe with a timeout.
func (h *harness) timeOutProbe(s ServerID) []Action {
	return h.handle(Event{Kind: Probed, Server: s, Outcome: TimedOut, Elapsed: h.r.cfg.DialTimeout})
}

// reportIdle answers all probes: nothing waits, and little memory is in use.
func (h *harness) reportIdle(acts []Action) (last []Action) {
	readers, writers := probedServers(acts)
	for _, s := range append(writers, readers...) {
		last = h.reportLoad(s, 0.1, 0)
	}
	return last
}

// A reader's queue comes from routers of which this one knows nothing, so the reader is probed before the read.
func TestManyRoutersProbeReaders(t *testing.T) {
	const busy = 50 // thousand tokens: 5 s of reading
	tests := []struct {
		name   string
		queues []float64 // thousand tokens at the first probed readers, in rendezvous order; the others are idle
		probed int
		want   int // index of the probed reader that gets the read; -1: refused
	}{
		{"the preferred reader has room", nil, 2, 0},
		{"the preferred reader has a short queue", []float64{1}, 2, 0},
		{"the preferred reader is busy", []float64{busy}, 2, 1},
		{"two are busy", []float64{busy, busy}, 4, 2},
		{"three are busy", []float64{busy, busy, busy}, 4, 3},
		{"all are busy", []float64{busy, busy, busy, busy, busy, busy, busy, busy}, 8, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(manyRoutersArgs(t))
			_, acts := h.arrive(safeClass)
			var probed []ServerID
			for findAction(acts, Send) == nil && findAction(acts, Refuse) == nil {
				round, writers := probedServers(acts)
				if len(round) == 0 || len(writers) != 0 && len(probed) > 0 {
					t.Fatalf("after %v: %v", probed, acts)
				}
				for _, s := range writers {
					h.reportLoad(s, 0.1, 0)
				}
				probed = append(probed, round...)
				for _, s := range round {
					queue := 0.0
					if i := slices.Index(probed, s); i < len(tt.queues) {
						queue = tt.queues[i]
					}
					acts = h.reportLoad(s, 0, queue)
				}
			}
			if len(probed) != tt.probed {
				t.Fatalf("probed %v, want %d readers", probed, tt.probed)
			}
			if tt.want < 0 {
				if findAction(acts, Refuse) == nil {
					t.Fatalf("got %v, want a refusal", acts)
				}
				return
			}
			if got := h.sentTo(acts); got != probed[tt.want] {
				t.Errorf("read at %d, want %d of %v", got, probed[tt.want], probed)
			}
		})
	}
}

// manyRoutersArgs returns manyRoutersSetup as the arguments of newHarness.
func manyRoutersArgs(t *testing.T) (*testing.T, *Settings, []Listing) {
	set, list := manyRoutersSetup()
	return t, set, list
}

// Two writers near the preferred reader are probed together with the readers. Admission and the choice use their
// reports, and the one with less memory in use comes first. Without a report everything goes on as usual.
func TestWritersAreProbedWithReaders(t *testing.T) {
	for _, tt := range []struct {
		name string
		uses [2]float64 // memory use of the probed writers; negative: no response
		want func(probed []ServerID, got ServerID) bool
	}{
		{"the first uses less", [2]float64{0.2, 0.6}, func(p []ServerID, got ServerID) bool { return got == p[0] }},
		{"the second uses less", [2]float64{0.6, 0.2}, func(p []ServerID, got ServerID) bool { return got == p[1] }},
		{"the first is full", [2]float64{0.99, 0.85}, func(p []ServerID, got ServerID) bool { return got == p[1] }},
		{"both are full", [2]float64{0.99, 0.99}, nil},
		{"neither responds", [2]float64{-1, -1}, func(p []ServerID, got ServerID) bool { return got != 0 }},
		{"one responds", [2]float64{-1, 0.5}, func(p []ServerID, got ServerID) bool { return got == p[1] }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(manyRoutersArgs(t))
			id, acts := h.arrive(safeClass)
			readers, probed := probedServers(acts)
			if len(probed) != 2 || probed[0] == probed[1] {
				t.Fatalf("probed %v, want two writers", probed)
			}
			for _, s := range readers {
				h.reportLoad(s, 0, 0)
			}
			for i, s := range probed {
				if tt.uses[i] < 0 {
					acts = h.timeOutProbe(s)
				} else {
					acts = h.reportLoad(s, tt.uses[i], 0)
				}
			}
			if tt.want == nil {
				if findAction(acts, Refuse) == nil {
					t.Errorf("got %v, want a refusal", acts)
				}
				return
			}
			if got := h.sentTo(h.endAttempt(id, 0, h.sentTo(acts), ReadDone)); !tt.want(probed, got) {
				t.Errorf("written at %d, probed %v", got, probed)
			}
		})
	}
}

// Tokens that a writer reports as waiting count like memory in use.
func TestReportedQueueCountsAsMemory(t *testing.T) {
	h := newHarness(manyRoutersArgs(t))
	_, acts := h.arrive(safeClass)
	readers, writers := probedServers(acts)
	for _, s := range readers {
		h.reportLoad(s, 0, 0)
	}
	for _, s := range writers {
		acts = h.reportLoad(s, 0.5, 75) // half of 150 thousand
	}
	if findAction(acts, Refuse) == nil {
		t.Errorf("got %v, want a refusal", acts)
	}
}

// When the read goes to another cell than that of the preferred reader, writers of that cell are probed during the
// read.
func TestWritersAreProbedNearTheRead(t *testing.T) {
	set, list := manyRoutersSetup()
	for i := range list {
		if list[i].Server <= 10 {
			list[i].Cell = int(list[i].Server) // each in its own cell
		} else {
			list[i].Cell = 0
		}
	}
	h := newHarness(t, set, list)
	_, acts := h.arrive(safeClass)
	readers, writers := probedServers(acts)
	for _, s := range writers {
		h.reportLoad(s, 0.1, 0)
	}
	h.reportLoad(readers[0], 0, 50)
	acts = h.reportLoad(readers[1], 0, 0)
	if got := h.sentTo(acts); got != readers[1] {
		t.Fatalf("read at %d, want %d", got, readers[1])
	}
	if _, again := probedServers(acts); len(again) == 0 {
		t.Errorf("no writer is probed: %v", acts)
	}
}

// A reader that does not respond costs no more than the timeout of a probe, and the other probed reader gets the
// read.
func TestUnresponsiveReaderIsSkipped(t *testing.T) {
	h := newHarness(manyRoutersArgs(t))
	_, acts := h.arrive(safeClass)
	probed, writers := probedServers(acts)
	if len(probed) != 2 {
		t.Fatalf("probed %v, want two", probed)
	}
	for _, s := range append(writers, probed[1]) {
		h.reportLoad(s, 0.1, 0)
	}
	acts = h.timeOutProbe(probed[0])
	if got := h.sentTo(acts); got != probed[1] {
		t.Errorf("read at %d, want the one that responded, %d", got, probed[1])
	}
}

// One report serves all requests that wait for it, and is not requested again immediately.
func TestOneReportServesManyRequests(t *testing.T) {
	h := newHarness(manyRoutersArgs(t))
	_, first := h.arrive(safeClass) // with the same prefix, thus the same preferred reader
	_, second := h.arrive(safeClass)
	again, _ := probedServers(second)
	if probed, _ := probedServers(first); len(probed) != 2 || len(again) != 0 || findAction(second, Send) != nil {
		t.Fatalf("first %v, second %v: want two readers probed, then none", first, second)
	}
	h.reportIdle(second)
	sends := 0
	for _, a := range h.reportIdle(first) {
		if a.Kind == Send {
			sends++
		}
	}
	if sends != 2 {
		t.Errorf("%d reads started, want 2", sends)
	}
	_, acts := h.arrive(safeClass)
	if again, _ := probedServers(acts); len(again) != 0 {
		t.Errorf("probed again immediately: %v", acts)
	}
}

// A busy router probes the same readers again and again. A request waits only for the probes sent for it.
func TestRequestWaitsOnlyForItsProbes(t *testing.T) {
	h := newHarness(manyRoutersArgs(t))
	first, acts := h.arrive(safeClass)
	probed, writers := probedServers(acts)
	for _, s := range append(writers, probed[0]) {
		h.reportLoad(s, 0.1, 0)
	}
	h.now += 2 * reportFreshness // the other one does not respond, and the report of this one is outdated
	_, acts = h.arrive(safeClass)
	if again, _ := probedServers(acts); !slices.Contains(again, probed[0]) {
		t.Fatalf("the second request probes %v, want %d again", again, probed[0])
	}
	acts = h.timeOutProbe(probed[1])
	for _, a := range acts {
		if a.Kind == Send && a.Request == first {
			return
		}
	}
	t.Errorf("got %v: the first request waits for the probe of the second", acts)
}

// Unresponsive readers cost one timeout, however many there are, and none if the client has little time left.
func TestUnresponsiveReadersCostOneTimeout(t *testing.T) {
	h := newHarness(manyRoutersArgs(t))
	_, acts := h.arrive(safeClass)
	round, writers := probedServers(acts)
	h.now += h.r.cfg.DialTimeout + ms
	for _, s := range append(writers, round...) {
		acts = h.timeOutProbe(s)
	}
	if len(round) != 2 || findAction(acts, Send) == nil {
		t.Errorf("after %v did not respond: %v, want a read", round, acts)
	}
	acts = h.handle(Event{Kind: Arrived, Request: 99, Job: Job{Class: safeClass, SessionID: 5, PrefixID: 98, PromptTokens: 1000,
		Deadline: h.now + h.r.cfg.DialTimeout}})
	if findAction(acts, Send) == nil {
		t.Errorf("with little time left: %v, want a read immediately", acts)
	}
}

// Rule 5: an attempt that fails to connect does not use the hold. Before the hold lasts too long the request is given
// up and the hold released. As nothing has executed, the request is refused, even if it can't be retried.
func TestHoldIsReleasedAfterFailedConnects(t *testing.T) {
	for _, tt := range []struct {
		holdTimeout Duration
		attempts    int // at writers, each with the timeout of a dial
	}{{1000 * ms, 4}, {800 * ms, 3}, {500 * ms, 2}, {300 * ms, 1}, {200 * ms, 1}} {
		set := testSettings()
		set.HoldTimeout = tt.holdTimeout
		list := testFleet()
		for id := ServerID(14); id < 20; id++ {
			list = append(list, Listing{Server: id, Kind: 1, Condition: Ready})
		}
		h := newHarness(t, set, list)
		id, writer := h.arriveAndRead(unsafeClass)
		holdStart := h.now
		for n := 1; ; n++ {
			h.now += set.DialTimeout
			acts := h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: n, Server: writer, Outcome: ConnectFailed,
				Elapsed: set.DialTimeout})
			if a := findAction(acts, Send); a != nil {
				writer = a.Server
				continue
			}
			if n != tt.attempts || findAction(acts, Refuse) == nil || findAction(acts, Release) == nil {
				t.Errorf("hold timeout of %d ms: after %d attempts %v, want a refusal and a release after %d",
					tt.holdTimeout/ms, n, acts, tt.attempts)
			}
			// What sockets add to the limit, less the longest pause of the process.
			if limit := tt.holdTimeout + 300*ms - MaxPause; h.now-holdStart > limit {
				t.Errorf("held for %d ms, at most %d are allowed", (h.now-holdStart)/ms, limit/ms)
			}
			break
		}
	}
}

// Rule 1: if the client leaves while readers are probed, the request gets no attempt.
func TestNoSendAfterClientLeftDuringProbes(t *testing.T) {
	h := newHarness(manyRoutersArgs(t))
	id, acts := h.arrive(safeClass)
	probed, writers := probedServers(acts)
	h.handle(Event{Kind: ClientLeft, Request: id})
	for _, s := range append(writers, probed...) {
		// A queue this long would lead to more probes for a request that still waits.
		if acts := h.reportLoad(s, 0.1, 50); len(acts) != 0 {
			t.Fatalf("got %v for a client that has left", acts)
		}
	}
}

// Few routers know the queues from their own reads, and if probes are expensive or not allowed no router sends them.
func TestNoProbesBeforeRouting(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"few routers":      func(s *Settings) { s.Routers = 3 },
		"no probes":        func(s *Settings) { s.Probing = false },
		"expensive probes": func(s *Settings) { s.ProbeCost = 0.1 },
	} {
		set, list := manyRoutersSetup()
		change(set)
		h := newHarness(t, set, list)
		if _, acts := h.arrive(safeClass); findAction(acts, Send) == nil {
			t.Errorf("%s: got %v, want a read immediately", name, acts)
		}
	}
}

// One stream of one router among hundreds says nothing of the writers' memory use.
func TestOwnBookingsDoNotCountWithManyRouters(t *testing.T) {
	set, list := manyRoutersSetup()
	set.Probing = false
	h := newHarness(t, set, list)
	for _, s := range []ServerID{11, 12, 13} {
		h.handle(Event{Kind: Probed, Server: s, Outcome: Served, Report: Report{MemoryUse: 0.1, QueuedKTokens: -1, Latency: -1}})
	}
	h.arriveAndRead(safeClass) // 1,000 tokens; for 300 routers that would be two thirds of the writers' memory
	h.arriveAndRead(safeClass)
	for range 20 {
		if _, acts := h.arrive(safeClass); findAction(acts, Refuse) != nil {
			t.Fatalf("refused: %v", acts)
		}
	}
}

// Up to eight routers use what they read themselves: a reader's report is the same for all routers, and late.
func TestFewRoutersDoNotProbe(t *testing.T) {
	for routers, probes := range map[int]bool{1: false, 6: false, 8: false, 9: true, 300: true} {
		set, list := manyRoutersSetup()
		set.Routers = routers
		h := newHarness(t, set, list)
		_, acts := h.arrive(safeClass)
		readers, _ := probedServers(acts)
		if (len(readers) > 0) != probes || (findAction(acts, Send) == nil) != probes {
			t.Errorf("%d routers: %d readers probed, %v", routers, len(readers), actionKinds(acts))
		}
	}
}
