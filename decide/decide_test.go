package decide

import (
	"math/rand/v2"
	"reflect"
	"sort"
	"testing"
)

// harness drives one router by hand, with a clock that the tests set.
type harness struct {
	t      *testing.T
	r      *Router
	now    Time
	lastID RequestID
}

const ms = Second / 1000

// The distances of a transfer, as distance returns them.
const (
	sameCell = iota
	sameZone
	otherZone
)

// testSettings returns settings with one class for each retry policy and scope, and with kind 0 for readers and kind
// 1 for writers.
func testSettings() *Settings {
	class := func(rep RetryPolicy, scope DedupScope) Class {
		return Class{FirstTokenTarget: Second, FirstTokenTargetPerK: 40 * ms, Deadline: 4 * Second, TokenIntervalTarget: 60 * ms, Value: 1,
			RetryPolicy: rep, DedupScope: scope, DedupWindow: 2 * Second}
	}
	return &Settings{
		Routers: 2, MayCancel: true, MaxAttempts: 6, MaxRetryAfter: Second / 2,
		Classes: []Class{class(Safe, 0), class(Unsafe, 0), class(Keyed, ScopeAll),
			class(Keyed, ScopeZone), class(Keyed, ScopeCell)},
		Kinds:            []Kind{{Role: Reader, Memory: 200e3}, {Role: Writer, Memory: 150e3}},
		DialTimeout:      250 * ms,
		AnswerGrace:      16 * ms,
		DrainGrace:       Second,
		HoldTimeout:      300 * ms,
		OverloadMultiple: 4,
		OverloadWindow:   2 * Second,
		InitialCapacity:  0.25,
		SlowStartTime:    10 * Second,
	}
}

const (
	safeClass = iota
	unsafeClass
	keyedAll
	keyedZone
	keyedCell
)

// testFleet lists two readers (1, 2) and three writers (11 and 12 in zone and cell 0, 13 in zone and cell 1).
func testFleet() []Listing {
	return []Listing{
		{Server: 1, Kind: 0, Condition: Ready}, {Server: 2, Kind: 0, Condition: Ready},
		{Server: 11, Kind: 1, Condition: Ready}, {Server: 12, Kind: 1, Condition: Ready},
		{Server: 13, Kind: 1, Condition: Ready, Zone: 1, Cell: 1},
	}
}

func newHarness(t *testing.T, set *Settings, list []Listing) *harness {
	h := &harness{t: t, now: 1000 * Second}
	h.r = New(set, 7, h.now)
	h.handle(Event{Kind: ListCached, Servers: list})
	return h
}

// handle passes an event to the router. An empty report becomes one that reports nothing.
func (h *harness) handle(ev Event) []Action {
	if ev.Report == (Report{}) {
		ev.Report = Report{MemoryUse: -1, QueuedKTokens: -1, Latency: -1}
	}
	h.r.timesSorted = [Both + 1]bool{} // tests set response times directly
	return h.r.Handle(h.now, &ev, nil)
}

// arrive starts a request and returns its id and the router's actions.
func (h *harness) arrive(class int) (RequestID, []Action) {
	h.lastID++
	return h.lastID, h.handle(Event{Kind: Arrived, Request: h.lastID, Job: Job{Class: class, SessionID: uint64(h.lastID),
		PrefixID: 99, PromptTokens: 1000, PrefixTokens: 800, MaxOutputTokens: 100, Deadline: h.now + 4*Second}})
}

// endAttempt ends an attempt after 50 ms.
func (h *harness) endAttempt(id RequestID, attempt int, s ServerID, o Outcome) []Action {
	h.now += 50 * ms
	return h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: attempt, Server: s, Outcome: o, Elapsed: 50 * ms})
}

// arriveAndRead starts a request, ends its read, and returns its id and the writer it is sent to.
func (h *harness) arriveAndRead(class int) (RequestID, ServerID) {
	h.t.Helper()
	id, acts := h.arrive(class)
	reader := h.sentTo(acts)
	return id, h.sentTo(h.endAttempt(id, 0, reader, ReadDone))
}

// sentTo returns the server of the first Send, which has to exist.
func (h *harness) sentTo(acts []Action) ServerID {
	h.t.Helper()
	a := findAction(acts, Send)
	if a == nil {
		h.t.Fatalf("no send in %+v", acts)
	}
	return a.Server
}

// findAction returns the first action of a kind, or nil.
func findAction(acts []Action, k ActionKind) *Action {
	for i := range acts {
		if acts[i].Kind == k {
			return &acts[i]
		}
	}
	return nil
}

func actionKinds(acts []Action) []ActionKind {
	out := []ActionKind{}
	for _, a := range acts {
		out = append(out, a.Kind)
	}
	return out
}

// Rules 1 and 2: after each outcome at a writer a request is sent on, refused or failed as its class allows. It never
// stays without an answer.
func TestOutcomesAtWriter(t *testing.T) {
	tests := []struct {
		name    string
		class   int
		outcome Outcome
		late    Duration // time until the outcome
		want    ActionKind
	}{
		{"safe error", safeClass, Error, 0, Send},
		{"safe reset", safeClass, Reset, 0, Send},
		{"safe timeout", safeClass, TimedOut, 0, Send},
		{"safe full", safeClass, Full, 0, Send},
		{"safe cancelled", safeClass, Cancelled, 0, Send},
		{"safe connect", safeClass, ConnectFailed, 0, Send},
		{"safe not started", safeClass, NotStarted, 0, Refuse},
		{"safe at the deadline", safeClass, TimedOut, 4 * Second, Refuse},
		{"unsafe full", unsafeClass, Full, 0, Send},
		{"unsafe connect", unsafeClass, ConnectFailed, 0, Send},
		{"unsafe not started", unsafeClass, NotStarted, 0, Refuse},
		{"unsafe error", unsafeClass, Error, 0, Fail},
		{"unsafe reset", unsafeClass, Reset, 0, Fail},
		{"unsafe timeout", unsafeClass, TimedOut, 0, Fail},
		{"unsafe cancelled", unsafeClass, Cancelled, 0, Fail},
		{"unsafe at the deadline", unsafeClass, TimedOut, 4 * Second, Fail},
		{"keyed error", keyedAll, Error, 0, Send},
		{"keyed past its window", keyedAll, TimedOut, 2 * Second, Refuse},
		{"keyed by zone past its window", keyedZone, TimedOut, 2 * Second, Fail},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), testFleet())
			id, writer := h.arriveAndRead(tt.class)
			h.now += tt.late
			ev := Event{Kind: AttemptEnded, Request: id, Attempt: 1, Server: writer, Outcome: tt.outcome,
				Elapsed: tt.late + ms}
			acts := h.handle(ev)
			if findAction(acts, tt.want) == nil {
				t.Fatalf("got %v, want a %v", acts, tt.want)
			}
			answers := 0
			for _, a := range acts {
				if a.Kind == Refuse || a.Kind == Fail {
					answers++
				}
			}
			if sent := findAction(acts, Send) != nil; sent == (answers > 0) || answers > 1 {
				t.Errorf("want either one send or one answer, got %v", actionKinds(acts))
			}
			if answers == 1 && findAction(acts, Release) == nil {
				t.Errorf("the KV state was not released: %v", actionKinds(acts))
			}
		})
	}
}

// Rule 2: a keyed request that may have executed is retried only within the scope that drops its duplicates.
func TestKeyedRetryStaysInScope(t *testing.T) {
	for _, class := range []int{keyedZone, keyedCell} {
		h := newHarness(t, testSettings(), testFleet())
		id, writer := h.arriveAndRead(class)
		if writer == 13 {
			t.Fatal("the first attempt went to the far writer")
		}
		second := h.sentTo(h.endAttempt(id, 1, writer, Error))
		if second != 11 && second != 12 || second == writer {
			t.Errorf("class %d: second attempt went from %d to %d", class, writer, second)
		}
	}
}

// Rule 2: a read has no effect, so the read of an unsafe request may be retried after any outcome.
func TestReadOfUnsafeIsRetried(t *testing.T) {
	for _, o := range []Outcome{Error, Reset, TimedOut, ConnectFailed, Full, Cancelled} {
		h := newHarness(t, testSettings(), testFleet())
		id, acts := h.arrive(unsafeClass)
		first := h.sentTo(acts)
		if second := h.sentTo(h.endAttempt(id, 0, first, o)); second == first {
			t.Errorf("outcome %d: read again at the same server", o)
		}
	}
}

// If a writer reports that the KV state is missing, the request is read again.
func TestMissingStateIsReadAgain(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	id, writer := h.arriveAndRead(unsafeClass)
	acts := h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: 1, Server: writer, Outcome: Full, NoState: true})
	if s := h.sentTo(acts); s != 1 && s != 2 {
		t.Errorf("sent to %d, want a reader", s)
	}
}

// Rule 5: whatever ends a request, its holds are released.
func TestHoldsAreReleasedAtEnd(t *testing.T) {
	t.Run("client leaves during the read, which then ends", func(t *testing.T) {
		h := newHarness(t, testSettings(), testFleet())
		id, acts := h.arrive(safeClass)
		reader := h.sentTo(acts)
		if acts := h.handle(Event{Kind: ClientLeft, Request: id}); findAction(acts, Cancel) == nil {
			t.Errorf("the read was not cancelled: %v", actionKinds(acts))
		}
		acts = h.handle(Event{Kind: AttemptEnded, Request: id, Server: reader, Outcome: ReadDone, Closed: true})
		if findAction(acts, Release) == nil || findAction(acts, Send) != nil {
			t.Errorf("want only a release, got %v", actionKinds(acts))
		}
	})
	t.Run("client leaves during the write", func(t *testing.T) {
		h := newHarness(t, testSettings(), testFleet())
		id, writer := h.arriveAndRead(safeClass)
		h.handle(Event{Kind: ClientLeft, Request: id})
		acts := h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: 1, Server: writer, Outcome: Cancelled, Closed: true})
		if findAction(acts, Release) == nil {
			t.Errorf("the KV state was not released: %v", actionKinds(acts))
		}
		if len(h.r.requests) != 0 {
			t.Errorf("%d requests are still known", len(h.r.requests))
		}
	})
	t.Run("no writer is left", func(t *testing.T) {
		h := newHarness(t, testSettings(), testFleet())
		id, acts := h.arrive(safeClass)
		reader := h.sentTo(acts)
		h.handle(Event{Kind: ListChanged, Servers: []Listing{{Server: 11, Kind: 1}, {Server: 12, Kind: 1},
			{Server: 13, Kind: 1, Condition: Draining}}})
		acts = h.endAttempt(id, 0, reader, ReadDone)
		if findAction(acts, Refuse) == nil || findAction(acts, Release) == nil {
			t.Errorf("want refusal and release, got %v", actionKinds(acts))
		}
	})
}

// Rule 3: nothing is sent to a server once a list says that it is draining or removed.
func TestDrainingServersGetNothing(t *testing.T) {
	for _, kind := range []EventKind{ListChanged, ListFull, ListCached} {
		h := newHarness(t, testSettings(), testFleet())
		list := testFleet()
		list[0].Condition, list[2].Condition = Draining, Draining
		if kind == ListFull {
			list = append(list[1:2], list[3:]...) // absent from a full list: removed
		}
		h.handle(Event{Kind: kind, Servers: list})
		for range 20 {
			id, acts := h.arrive(safeClass)
			reader := h.sentTo(acts)
			writer := h.sentTo(h.endAttempt(id, 0, reader, ReadDone))
			if reader == 1 || writer == 11 {
				t.Fatalf("list kind %d: sent to reader %d, writer %d", kind, reader, writer)
			}
		}
	}
}

// Rule 4: a cold server gets no more than this router's share of its slow-start budget in any window.
func TestColdServerGetsLimitedSends(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	for range 300 { // warm traffic that sets the rates: 20 requests per second
		h.serve()
	}
	h.handle(Event{Kind: ListChanged, Servers: []Listing{{Server: 12, Kind: 1, Condition: Ready, StartedAt: h.now}}})
	var cold []Time
	warm := 0
	for range 190 {
		if h.serve() == 12 {
			cold = append(cold, h.now)
		} else {
			warm++
		}
	}
	if len(cold) == 0 {
		t.Error("the cold server got no work")
	}
	// This router sends 10 requests per second to each of two warm writers. The budget of a window is four times a
	// quarter of a warm server's work; this router's share of it is as much as it sends to a warm one.
	for i := range cold {
		n := 0
		for j := i; j < len(cold) && cold[j]-cold[i] < 2*Second; j++ {
			n++
		}
		if n > 20 {
			t.Fatalf("%d sends to a cold server within a window", n)
		}
	}
	if warm == 0 {
		t.Error("the warm servers got no work")
	}
}

// If all writers of a fleet are replaced at once, all are cold, and there is no warm one to estimate the budget from.
// The last estimate is then used: the new writers get work, and no more than their budget in any window.
func TestAllColdServersGetBudget(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	for range 300 {
		h.serve() // 20 per second on three writers
	}
	h.handle(Event{Kind: ListChanged, Servers: []Listing{
		{Server: 11, Kind: 1, Condition: Gone}, {Server: 12, Kind: 1, Condition: Gone}, {Server: 13, Kind: 1, Condition: Gone},
		{Server: 21, Kind: 1, Condition: Ready, StartedAt: h.now}, {Server: 22, Kind: 1, Condition: Ready, StartedAt: h.now}}})
	began := h.now
	cold := map[ServerID][]Time{}
	for h.now-began < 9*Second {
		h.now += 10 * ms
		id, acts := h.arrive(safeClass)
		reader := findAction(acts, Send)
		if reader == nil {
			continue
		}
		h.now += 25 * ms
		acts = h.handle(Event{Kind: AttemptEnded, Request: id, Server: reader.Server, Outcome: ReadDone, Elapsed: 25 * ms, CachedTokens: 800})
		if a := findAction(acts, Send); a != nil {
			cold[a.Server] = append(cold[a.Server], h.now)
			h.now += 10 * ms
			h.handle(Event{Kind: FirstToken, Request: id, Attempt: 1, Server: a.Server, Elapsed: 10 * ms})
			h.now += 15 * ms // as long as before: the duration of an answer is its work
			h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: 1, Server: a.Server, Outcome: Served, Elapsed: 25 * ms, Closed: true})
		}
	}
	// A warm writer handled a third of 20 requests per second for this router. With two routers and a budget of four
	// times a quarter of that, each router may send about 13 in 2 s.
	for s, sends := range cold {
		n, last := 0, 0
		for i, at := range sends {
			for sends[n] < at-2*Second {
				n++
			}
			last = max(last, i-n+1)
		}
		if last > 14 {
			t.Errorf("%d sends to the cold writer %d within a window", last, s)
		}
	}
	if late := h.now - 4*Second; len(cold) != 2 || cold[21][len(cold[21])-1] < late || cold[22][len(cold[22])-1] < late {
		t.Errorf("the cold writers got too little: %d and %d sends", len(cold[21]), len(cold[22]))
	}
}

// serve runs one request to its end within 50 ms and returns its writer.
func (h *harness) serve() ServerID {
	h.t.Helper()
	id, acts := h.arrive(safeClass)
	reader := h.sentTo(acts)
	h.now += 25 * ms
	acts = h.handle(Event{Kind: AttemptEnded, Request: id, Server: reader, Outcome: ReadDone, Elapsed: 25 * ms, CachedTokens: 800})
	writer := h.sentTo(acts)
	h.now += 10 * ms
	h.handle(Event{Kind: FirstToken, Request: id, Attempt: 1, Server: writer, Elapsed: 10 * ms})
	h.now += 15 * ms
	h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: 1, Server: writer, Outcome: Served, Elapsed: 25 * ms, Closed: true})
	return writer
}

// After any outcome of an attempt its bookings are removed.
func TestBookingsAreRemoved(t *testing.T) {
	for _, o := range []Outcome{Served, Error, Full, TimedOut, ConnectFailed, Reset, Cancelled, NotStarted} {
		h := newHarness(t, testSettings(), testFleet())
		id, writer := h.arriveAndRead(unsafeClass)
		h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: 1, Server: writer, Outcome: o, Closed: true})
		for _, s := range h.r.byID {
			if s.streams != 0 || s.bookedTokens != 0 || s.unanswered != 0 || s.queuedTokens != 0 {
				t.Errorf("outcome %d left %+v", o, s)
			}
		}
		if len(h.r.requests) != 0 {
			t.Errorf("outcome %d: %d requests are still known", o, len(h.r.requests))
		}
	}
}

// Events about unknown or closed requests and unknown servers change nothing.
func TestUnknownEventsAreIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	h.serve()
	for _, ev := range []Event{
		{Kind: AttemptEnded, Request: 1, Attempt: 0, Server: 1, Outcome: ReadDone, Closed: true},
		{Kind: AttemptEnded, Request: 77, Server: 1, Outcome: Served}, {Kind: AttemptEnded, Request: 77, Server: 500},
		{Kind: FirstToken, Request: 1, Attempt: 1, Server: 11}, {Kind: FirstToken, Request: 77},
		{Kind: ClientLeft, Request: 1}, {Kind: ClientLeft, Request: 77}, {Kind: Timer, TimerID: 12345},
		{Kind: Probed, Server: 500}, {Kind: ReservationAnswer, Request: 77}, {Kind: PeerMessage},
	} {
		for _, a := range h.handle(ev) {
			if a.Kind != SetTimer {
				t.Errorf("%+v led to %+v", ev, a)
			}
		}
	}
}

// Without servers, or without readers, requests are refused immediately.
func TestNoServersRefuses(t *testing.T) {
	for name, list := range map[string][]Listing{"none": nil, "writers only": testFleet()[2:]} {
		h := newHarness(t, testSettings(), list)
		if _, acts := h.arrive(safeClass); findAction(acts, Refuse) == nil {
			t.Errorf("%s: got %v", name, actionKinds(acts))
		}
	}
}

// The order of the choice of a writer: enough memory, then fewest own streams, then lowest booked cost, or else
// lowest projected use.
func TestWriterChoice(t *testing.T) {
	type state struct {
		streams     int
		booked, use float64
	}
	tests := []struct {
		name string
		at   [3]state // servers 11, 12 and 13; 13 is in another zone
		want ServerID
	}{
		{"fewest streams", [3]state{{5, 0, 0.1}, {3, 9000, 0.1}, {9, 0, 0.1}}, 12},
		{"lowest cost among equals", [3]state{{3, 9000, 0.1}, {3, 1000, 0.1}, {9, 0, 0.1}}, 12},
		{"full ones are skipped", [3]state{{9, 9000, 0.5}, {0, 0, 0.97}, {0, 0, 0.97}}, 11},
		{"none fits: lowest projected use", [3]state{{0, 0, 0.99}, {50, 9000, 0.95}, {0, 0, 0.97}}, 12},
		{"no reports: memory is not compared", [3]state{{4, 0, -1}, {2, 0, -1}, {9, 0, -1}}, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), testFleet())
			id, acts := h.arrive(safeClass)
			for i, st := range tt.at {
				s := h.r.servers[ServerID(11+i)]
				s.streams, s.bookedTokens, s.memoryUse = st.streams, st.booked, st.use
			}
			if got := h.sentTo(h.endAttempt(id, 0, h.sentTo(acts), ReadDone)); got != tt.want {
				t.Errorf("picked %d, want %d", got, tt.want)
			}
		})
	}
}

// Every router reads requests with the same prefix at the same server, until too much waits there.
func TestReaderChoice(t *testing.T) {
	list := []Listing{}
	for i := range 8 {
		list = append(list, Listing{Server: ServerID(i + 1), Condition: Ready})
	}
	preferred := func(seed uint64) (ServerID, *harness) {
		h := newHarness(t, testSettings(), list)
		h.r.rng = seed
		_, acts := h.arrive(safeClass)
		return h.sentTo(acts), h
	}
	a, h := preferred(1)
	if b, _ := preferred(2); a != b {
		t.Errorf("two routers read one prefix at %d and %d", a, b)
	}
	h.r.servers[a].queuedTokens = 1e9
	_, acts := h.arrive(safeClass)
	next := h.sentTo(acts)
	if next == a {
		t.Error("no spillover from a reader above the bound")
	}
	for _, s := range h.r.byID {
		s.queuedTokens = 2e9
	}
	h.r.servers[5].queuedTokens = 1e9
	if _, acts := h.arrive(safeClass); h.sentTo(acts) != 5 {
		t.Error("with all above the bound the reader with the fewest waiting tokens was not picked")
	}
}

// A server that fails or stops responding is ejected, recovers after a successful trial request, and a router always
// has a candidate.
func TestHealth(t *testing.T) {
	t.Run("failed connect", func(t *testing.T) {
		h := newHarness(t, testSettings(), testFleet())
		id, writer := h.arriveAndRead(safeClass)
		h.endAttempt(id, 1, writer, ConnectFailed)
		s := h.r.servers[writer]
		if !h.r.isSuspect(s, false) {
			t.Error("not ejected")
		}
		h.now = s.ejectedUntil
		h.r.now = h.now
		if h.r.isSuspect(s, false) || !h.r.isSuspect(s, true) {
			t.Error("want a trial request to be allowed, but not one that can't be retried")
		}
	})
	t.Run("silence", func(t *testing.T) {
		h := newHarness(t, testSettings(), testFleet())
		_, writer := h.arriveAndRead(unsafeClass)
		h.now += Second
		for range 3 {
			if _, other := h.arriveAndRead(safeClass); other == writer {
				t.Fatal("sent to an unresponsive writer while others respond")
			}
		}
	})
	t.Run("all ejected", func(t *testing.T) {
		h := newHarness(t, testSettings(), testFleet())
		for _, s := range h.r.byID {
			s.ejection, s.ejectedUntil = maxEjection, h.now+maxEjection
		}
		_, acts := h.arrive(safeClass)
		h.sentTo(acts)
	})
}

// A long prompt gets enough time to be read: a timeout would only have it read again elsewhere.
func TestLongPromptTimeout(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	for range 20 {
		h.serve()
	}
	h.lastID++
	acts := h.handle(Event{Kind: Arrived, Request: h.lastID, Job: Job{SessionID: 5, PromptTokens: 30000,
		Deadline: h.now + 6*Second}})
	if a := findAction(acts, Send); a == nil || float64(a.After) < 30000*h.r.nsPerToken {
		t.Errorf("got %+v at %v ns per token", a, h.r.nsPerToken)
	}
}

// The same events lead to the same actions, whatever other instances do in between.
func TestDeterminism(t *testing.T) {
	run := func(other bool) (all []Action) {
		h := newHarness(t, testSettings(), testFleet())
		o := newHarness(t, testSettings(), testFleet())
		for i := range 200 {
			if other {
				o.serve()
			}
			id, acts := h.arrive(i % 2)
			all = append(all, acts...)
			reader := findAction(acts, Send)
			if reader == nil {
				continue
			}
			acts = h.endAttempt(id, 0, reader.Server, []Outcome{ReadDone, ReadDone, Error, TimedOut}[i%4])
			all = append(all, acts...)
			if a := findAction(acts, Send); a != nil && i%3 == 0 {
				all = append(all, h.endAttempt(id, 1, a.Server, Error)...)
			}
		}
		return all
	}
	first, again, mixed := run(false), run(false), run(true)
	if len(first) < 400 || !reflect.DeepEqual(first, again) || !reflect.DeepEqual(first, mixed) {
		t.Error("the same events led to different actions")
	}
}

// Under overload requests are refused on arrival instead of failing late, and classes of lower value first.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	refused := func(class int, memoryUse float64) (n int) {
		set := testSettings()
		set.Classes[1] = set.Classes[0]
		set.Classes[1].Value = 3
		h := newHarness(t, set, testFleet())
		for _, s := range h.r.byID {
			s.memoryUse = memoryUse
		}
		for range 100 {
			h.r.servers[11].sentTokens, h.r.servers[12].sentTokens, h.r.servers[13].sentTokens = 0, 0, 0
			if _, acts := h.arrive(class); findAction(acts, Refuse) != nil {
				n++
			}
		}
		return n
	}
	if n := refused(0, 0.5); n != 0 {
		t.Errorf("%d refused while writers have free memory", n)
	}
	low, high := refused(0, 0.93), refused(1, 0.93)
	if low == 0 || high >= low {
		t.Errorf("with writers nearly full, %d of lower and %d of higher value were refused", low, high)
	}
}

// A writer in another zone needs fewer streams than a near one to be picked, and still fewer while transfers there
// are slow. The memory of congestion decays.
func TestCongestedLinksAreAvoided(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	h.r.recordTransfer(sameCell, 50*ms)
	normal := h.r.transferPenalty(otherZone)
	if h.r.transferPenalty(sameCell) != 0 || h.r.transferPenalty(sameZone) <= 0 || normal <= h.r.transferPenalty(sameZone) {
		t.Errorf("penalties %v, %v, %v", h.r.transferPenalty(sameCell), h.r.transferPenalty(sameZone), normal)
	}
	for range 10 {
		h.r.recordTransfer(otherZone, 2*Second)
	}
	congested := h.r.transferPenalty(otherZone)
	h.r.now += 10 * congestionSpan
	if congested < 4*normal || h.r.transferPenalty(otherZone) > 1.1*normal {
		t.Errorf("normal %v, congested %v, later %v", normal, congested, h.r.transferPenalty(otherZone))
	}
}

// Requests over their tenant's quota are refused first when capacity is short, and only then, as when the traffic of
// one tenant suddenly grows to four times as much.
func TestOverQuotaIsRefusedFirst(t *testing.T) {
	refused := func(tenant int, memoryUse float64) (n int) {
		set := testSettings()
		set.Tenants = []Tenant{{RequestsPerSecond: 1000}, {RequestsPerSecond: 2}}
		h := newHarness(t, set, testFleet())
		for _, s := range h.r.byID {
			s.memoryUse = memoryUse
		}
		for range 100 {
			h.now += 10 * ms
			h.r.servers[11].sentTokens, h.r.servers[12].sentTokens, h.r.servers[13].sentTokens = 0, 0, 0
			h.lastID++
			if findAction(h.handle(Event{Kind: Arrived, Request: h.lastID, Job: Job{Tenant: tenant, SessionID: uint64(h.lastID),
				PromptTokens: 1000, Deadline: h.now + 4*Second}}), Refuse) != nil {
				n++
			}
		}
		return n
	}
	if n := refused(1, 0.3); n != 0 {
		t.Errorf("%d over quota refused while there is capacity", n)
	}
	if in, over := refused(0, 0.85), refused(1, 0.85); in != 0 || over < 50 {
		t.Errorf("with little free memory, %d within and %d over quota were refused", in, over)
	}
}

// What this router has booked counts before reports show it, or else the writers that remain beside a slow zone fill
// up between two reports.
func TestOwnBookingsCountBeforeReports(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	for _, s := range h.r.byID {
		s.memoryUse = 0.1
		if s.role == Writer {
			s.bookedTokens = 0.6 * s.memoryTokens
		}
	}
	if _, acts := h.arrive(safeClass); findAction(acts, Refuse) == nil {
		t.Errorf("two routers with 0.6 of the writers' memory booked each: got %v", actionKinds(acts))
	}
}

// Many timeouts show a shortage of servers. Requests then wait in the queues instead of being read twice.
func TestTimeoutBudget(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	var timeouts []Duration
	for range 4 {
		id, acts := h.arrive(safeClass)
		a := findAction(acts, Send)
		if a == nil {
			t.Fatalf("refused after %d timeouts", len(timeouts))
		}
		timeouts = append(timeouts, a.After)
		h.handle(Event{Kind: AttemptEnded, Request: id, Server: a.Server, Outcome: TimedOut, Elapsed: a.After})
		h.handle(Event{Kind: ClientLeft, Request: id})
		for _, s := range h.r.byID {
			s.responses, s.ejection = 0, 0 // or else the recorded times would lead to refusals
			s.responseTime = 0
		}
	}
	if first, last := timeouts[0], timeouts[len(timeouts)-1]; first >= 3*Second || last < 4*Second-ms {
		t.Errorf("timeouts went from %v to %v", first, last)
	}
}

// A reader that returns errors quickly is not ejected and keeps its prefix cache, as the errors cost little time. A
// writer that fails is ejected.
func TestErrorsEjectWritersOnly(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	id, acts := h.arrive(safeClass)
	reader := h.r.servers[h.sentTo(acts)]
	for range 5 {
		h.endAttempt(id, 0, reader.id, Error)
		h.handle(Event{Kind: ClientLeft, Request: id})
		id, acts = h.arrive(safeClass)
		if h.sentTo(acts) != reader.id {
			t.Fatal("the preferred reader was skipped because of errors")
		}
	}
	for range 2 {
		id, writer := h.arriveAndRead(unsafeClass)
		h.endAttempt(id, 1, writer, Error)
	}
	if n := h.r.countServers(Writer, func(s *server) bool { return s.failureRate > 0 }); n == 0 {
		t.Error("errors of writers were not counted")
	}
}

// A reader with few own tokens waiting but long response times is skipped before anything is refused, or else the
// requests of one slow preferred reader are refused while other readers are idle.
func TestSlowReaderIsSkipped(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	_, acts := h.arrive(safeClass)
	slow := h.r.servers[h.sentTo(acts)]
	slow.responseTime, slow.responses, slow.respondedAt = 100, minSamples, h.now
	for range 20 {
		_, acts := h.arrive(safeClass)
		if a := findAction(acts, Send); a == nil || a.Server == slow.id {
			t.Fatalf("got %+v with an idle reader next to a slow one", acts)
		}
		h.r.servers[1].queuedTokens, h.r.servers[2].queuedTokens = 0, 0
	}
}

// A router that starts while servers are cold sends to them as soon as it knows its traffic, not only when they are
// warm. It must not keep to an interval that was set when it knew of no traffic.
func TestNewRouterUsesColdServers(t *testing.T) {
	list := testFleet()
	for i := range list {
		if list[i].Server == 12 {
			list[i].StartedAt = 999 * Second
		}
	}
	h := newHarness(t, testSettings(), list)
	first := Time(0)
	for range 100 {
		if h.serve() == 12 && first == 0 {
			first = h.now
		}
	}
	if first == 0 || first-1000*Second > 3*Second {
		t.Errorf("the cold writer was first used at %v s", float64(first)/1e9-1000)
	}
}

// An attempt counts as lost if its server has responded to later ones meanwhile. A loss says nothing of the server
// and its queue and must not count against it, as when a fifth of all messages is lost.
func TestLostAttemptDoesNotCountAsSlow(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	for range 10 {
		h.serve()
	}
	id, acts := h.arrive(safeClass)
	s := h.r.servers[h.sentTo(acts)]
	h.now += 10 * ms
	h.serve() // the reader answers a later one
	before, budget := s.responseTime, h.r.timeoutBudget
	h.now += Second
	if acts := h.handle(Event{Kind: AttemptEnded, Request: id, Server: s.id, Outcome: TimedOut, Elapsed: Second}); findAction(acts, Send) == nil {
		t.Errorf("not retried: %v", actionKinds(acts))
	}
	if s.responseTime != before || h.r.timeoutBudget != budget || s.failureRate > 0.01 {
		t.Errorf("response time %v -> %v, timeout budget %v -> %v, failure rate %v", before, s.responseTime, budget, h.r.timeoutBudget, s.failureRate)
	}
}

// If typical response times are short and a server has responded since the send, the attempt counts as lost, as when
// a tenth of all messages is lost. If responses are slow everywhere it does not.
func TestLossWithShortResponseTimes(t *testing.T) {
	for _, tt := range []struct {
		answer float64
		lost   bool
	}{{1, true}, {2 * calmFactor, false}} {
		h := newHarness(t, testSettings(), testFleet())
		first, acts := h.arrive(safeClass)
		s := h.r.servers[h.sentTo(acts)]
		h.now += ms
		second, acts := h.arrive(safeClass)
		if h.sentTo(acts) != s.id {
			t.Fatal("one prefix was read at two servers")
		}
		h.now += 10 * ms
		h.handle(Event{Kind: AttemptEnded, Request: first, Server: s.id, Outcome: ReadDone, Elapsed: 11 * ms, CachedTokens: 800})
		for _, o := range h.r.byID {
			o.responseTime, o.responses = tt.answer, minSamples
		}
		budget := h.r.timeoutBudget
		h.now += Second
		h.handle(Event{Kind: AttemptEnded, Request: second, Server: s.id, Outcome: TimedOut, Elapsed: Second + 10*ms})
		if lost := h.r.timeoutBudget == budget; lost != tt.lost {
			t.Errorf("typical time %v: counted as lost: %v", tt.answer, lost)
		}
	}
}

// Without readers a server of kind Both also reads, in an attempt that may execute the request (rule 2). A writer
// that can't read gets nothing.
func TestMixedServersReadWithoutReaders(t *testing.T) {
	set := testSettings()
	set.Kinds = append(set.Kinds, Kind{Role: Both, Memory: 150e3})
	list := append(testFleet()[2:], Listing{Server: 21, Kind: 2, Condition: Ready},
		Listing{Server: 22, Kind: 2, Condition: Ready})
	for _, tt := range []struct {
		class int
		want  ActionKind
	}{{safeClass, Send}, {unsafeClass, Fail}} {
		h := newHarness(t, set, list)
		id, acts := h.arrive(tt.class)
		s := h.sentTo(acts)
		if s != 21 && s != 22 {
			t.Fatalf("sent to %d", s)
		}
		if acts := h.endAttempt(id, 0, s, Error); findAction(acts, tt.want) == nil {
			t.Errorf("class %d: got %v", tt.class, actionKinds(acts))
		}
	}
}

// Rule 2: after an attempt that may have executed a keyed request, not even a reader outside its scope gets the
// request.
func TestKeyedIsNotReadOutsideScope(t *testing.T) {
	list := testFleet()
	list[0].Zone, list[1].Zone = 1, 1 // both readers are in another zone than the first writers
	h := newHarness(t, testSettings(), list)
	id, acts := h.arrive(keyedZone)
	reader := h.sentTo(acts)
	writer := h.sentTo(h.endAttempt(id, 0, reader, ReadDone))
	h.now += ms
	h.handle(Event{Kind: ListChanged, Servers: []Listing{{Server: reader, Zone: 1}}}) // its KV state is lost
	acts = h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: 1, Server: writer, Outcome: Reset})
	if a := findAction(acts, Send); a != nil && h.r.servers[a.Server].zone != h.r.servers[writer].zone {
		t.Errorf("sent from writer %d to %d", writer, a.Server)
	}
}

// A failed watch of the server list is repeated, but not immediately.
func TestFailedWatchIsRepeated(t *testing.T) {
	set := testSettings()
	set.PullMembership = true
	h := newHarness(t, set, testFleet())
	if acts := h.handle(Event{Kind: ListFailed}); findAction(acts, WatchList) != nil {
		t.Error("the watch was repeated immediately")
	}
	watches := 0
	for range 200 {
		h.now += checkInterval
		if findAction(h.handle(Event{Kind: Timer}), WatchList) != nil {
			watches++
		}
	}
	if watches != 1 {
		t.Errorf("watched %d times", watches)
	}
}

// Rules 1, 2 and 5 for every class, stage, outcome and time: either one send or one answer follows, as the class
// allows, and an answer leaves nothing held.
func TestEveryOutcomeOfEveryClass(t *testing.T) {
	for class := safeClass; class <= keyedCell; class++ {
		for o := ReadDone; o <= NotStarted; o++ { // Served always ends a request
			for _, late := range []Duration{ms, testSettings().Classes[0].DedupWindow - testSettings().DialTimeout, testSettings().Classes[0].DedupWindow + ms, 4 * Second} {
				for _, atWriter := range []bool{false, true} {
					if atWriter && o == ReadDone {
						continue
					}
					h := newHarness(t, testSettings(), testFleet())
					id, acts := h.arrive(class)
					s := h.sentTo(acts)
					attempt := 0
					if atWriter {
						s, attempt = h.sentTo(h.endAttempt(id, 0, s, ReadDone)), 1
					}
					h.now += late
					acts = h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: attempt, Server: s, Outcome: o, Elapsed: late})
					send, refuse, fail := findAction(acts, Send), findAction(acts, Refuse), findAction(acts, Fail)
					n := 0
					for _, a := range []*Action{send, refuse, fail} {
						if a != nil {
							n++
						}
					}
					if n != 1 {
						t.Fatalf("class %d, outcome %d, writer %v, after %v: %v", class, o, atWriter, late, actionKinds(acts))
					}
					ran := atWriter && o != Full && o != ConnectFailed && o != NotStarted && o != ReadDone
					rep, scope := h.r.cfg.Classes[class].RetryPolicy, h.r.cfg.Classes[class].DedupScope
					switch {
					case ran && rep == Unsafe && fail == nil,
						ran && rep == Keyed && send != nil && late+h.r.cfg.DialTimeout >= h.r.cfg.Classes[class].DedupWindow,
						ran && rep == Keyed && refuse != nil && scope != ScopeAll:
						t.Errorf("class %d, outcome %d after %v: %v breaks rule 2", class, o, late, actionKinds(acts))
					case ran && rep == Keyed && send != nil && scope == ScopeZone &&
						h.r.servers[send.Server].zone != h.r.servers[s].zone:
						t.Errorf("class %d: sent to another zone", class)
					case send == nil && (atWriter || o == ReadDone) && findAction(acts, Release) == nil:
						t.Errorf("class %d, outcome %d: answered without a release", class, o)
					}
				}
			}
		}
	}
}

// Requests earn the probes: with hundreds of routers and a large fleet the cost of probes per request must not grow.
func TestProbesAreEarned(t *testing.T) {
	set := testSettings()
	set.Routers, set.Probing, set.ProbeCost = 200, true, 0.005
	list := []Listing{}
	for id := ServerID(1); id <= 60; id++ {
		list = append(list, Listing{Server: id, Kind: int(id) % 2, Condition: Ready})
	}
	h := newHarness(t, set, list)
	probes, reachProbes, requests := 0, 0, 0
	for i := 0; i < 600; i++ { // one minute
		h.now += 100 * ms
		if i%20 == 0 {
			h.arrive(safeClass)
			requests++
		}
		for _, a := range h.handle(Event{Kind: Timer}) {
			if a.Kind != Probe {
				continue
			}
			if a.NewConnection {
				reachProbes++
			} else {
				probes++
			}
			h.handle(Event{Kind: Probed, Server: a.Server, NewConnection: a.NewConnection, Outcome: Served})
		}
	}
	// No request is ever answered here, and the reader of each gets a few reachability probes.
	if reachProbes > maxReachProbes*requests {
		t.Errorf("%d reachability probes for %d requests without an answer", reachProbes, requests)
	}
	if cost := float64(probes) * set.ProbeCost / float64(requests); probes == 0 || cost > 1.2*maxProbeCost {
		t.Errorf("%d probes for %d requests cost %.4f, allowed %.4f", probes, requests, cost, maxProbeCost)
	}
}

// When a fleet collapses under load most sends fail. They must not count as capacity when a slow-start budget is
// estimated.
func TestFailedSendsAddNoSlowStartBudget(t *testing.T) {
	interval := func(o Outcome) Duration {
		h := newHarness(t, testSettings(), testFleet())
		for i := 0; i < 50; i++ {
			id, acts := h.arrive(safeClass)
			h.endAttempt(id, 0, h.sentTo(acts), o)
			h.handle(Event{Kind: ClientLeft, Request: id})
		}
		return h.r.slowStartInterval(Reader, 1)
	}
	if done, failed := interval(ReadDone), interval(Full); done >= failed || failed != testSettings().SlowStartTime {
		t.Errorf("interval after reads %d, after failures %d: failures must not add to the budget", done, failed)
	}
}

// With many routers hardly any router has two streams at one writer. A writer in another zone must be used before
// that.
func TestFarWritersAreUsedByManyRouters(t *testing.T) {
	set := testSettings()
	set.Routers = 100
	h := newHarness(t, set, testFleet())
	far := 0
	for i := 0; i < 3; i++ {
		if _, s := h.arriveAndRead(safeClass); s == 13 {
			far++
		}
	}
	if far != 1 {
		t.Errorf("%d of three streams went to the far writer, want one", far)
	}
}

// One cell has three readers and one writer, the next one reader and three writers. With many routers the KV states
// of the first cell must not all go to its one writer, and those of the second must not leave it.
func TestCrowdedCellSendsStatesAway(t *testing.T) {
	set := testSettings()
	set.Routers = 200
	list := []Listing{}
	for i, kind := range []int{0, 0, 0, 1, 0, 1, 1, 1} {
		list = append(list, Listing{Server: ServerID(i + 1), Kind: kind, Cell: i / 4, Condition: Ready})
	}
	h := newHarness(t, set, list)
	sent := [2][2]int{}
	for i := 0; i < 300; i++ {
		q := &request{job: Job{PromptTokens: 1000}, stateAt: h.r.servers[ServerID(1+i%2*4)]}
		sent[q.stateAt.cell][h.r.pickWriter(q, true).cell]++
	}
	if kept := sent[0][0]; kept < 30 || kept > 75 {
		t.Errorf("the crowded cell kept %d of 150 KV states, want about a third", kept)
	}
	if sent[1][0] != 0 {
		t.Errorf("%d KV states went into the crowded cell", sent[1][0])
	}
}

// With many routers each uses a server so rarely that what it learns there must be kept longer. The shared prefix is
// typically cached there already, by the reads of other routers.
func TestRareUseIsRemembered(t *testing.T) {
	for _, c := range []struct {
		routers  int
		slow     bool
		uncached float64
	}{{2, false, 1000}, {200, true, 200}} {
		set := testSettings()
		set.Routers = c.routers
		h := newHarness(t, set, testFleet())
		s := h.r.servers[1]
		s.responseTime, s.responses, s.respondedAt = 10, 1, h.now
		h.now += 10 * Second
		// The other reader finds the prefix cached each time, though this router has not sent it there.
		for i := 0; i < 60; i++ {
			id, acts := h.arrive(safeClass)
			reader := h.sentTo(acts)
			h.r.servers[reader].cachedTokens = map[uint64]float64{}
			h.now += 20 * ms
			h.handle(Event{Kind: AttemptEnded, Request: id, Server: reader, Outcome: ReadDone, CachedTokens: 800, Elapsed: 20 * ms})
			h.handle(Event{Kind: ClientLeft, Request: id})
		}
		s.responseTime, s.respondedAt = 10, h.now-10*Second
		if got := h.r.recentResponseTime(s) > 1; got != c.slow {
			t.Errorf("%d routers: slow response still counts after 10 s: %v", c.routers, got)
		}
		q := &request{prefixKey: 5, job: Job{PrefixID: 5, PromptTokens: 1000, PrefixTokens: 800}}
		if got := h.r.uncachedTokens(q, s); got < c.uncached || got > c.uncached+10 {
			t.Errorf("%d routers: %g tokens taken as uncached, want %g", c.routers, got, c.uncached)
		}
	}
}

// With many routers a router sends to a server every half minute: the first failure must count.
func TestFirstFailureCountsWithManyRouters(t *testing.T) {
	for routers, ejected := range map[int]bool{2: false, 200: true} {
		set := testSettings()
		set.Routers = routers
		h := newHarness(t, set, testFleet())
		id, writer := h.arriveAndRead(safeClass)
		h.endAttempt(id, 1, writer, Error)
		if got := h.r.isSuspect(h.r.servers[writer], false); got != ejected {
			t.Errorf("%d routers: ejected after one error: %v", routers, got)
		}
	}
}

// With many routers no server responds to one router four times a minute: one response of each must do for the
// typical time.
func TestTypicalTimeWithManyRouters(t *testing.T) {
	for routers, want := range map[int]float64{2: 0, 200: 6} {
		set := testSettings()
		set.Routers = routers
		h := newHarness(t, set, testFleet())
		for _, id := range []ServerID{11, 12, 13} {
			h.r.recordTime(h.r.servers[id], 6)
		}
		if got := h.r.typicalTime(Writer, nil); got != want {
			t.Errorf("%d routers: typical time %g after one response of each, want %g", routers, got, want)
		}
	}
}

// If the picked reader has never responded and the other readers respond ten times too late, that counts with many
// routers.
func TestUnknownReaderIsJudgedByOthers(t *testing.T) {
	refusal := func(routers int) float64 {
		set := testSettings()
		set.Routers = routers
		h := newHarness(t, set, testFleet())
		h.r.recordTime(h.r.servers[2], 40)
		h.r.recordTime(h.r.servers[2], 40)
		q := &request{prefixKey: 1, job: Job{PrefixID: 1, PromptTokens: 1000}}
		for key := uint64(1); h.r.pickReader(q).id != 1; key++ {
			q.prefixKey = key
		}
		return h.r.refusalProbability(q)
	}
	if few, many := refusal(2), refusal(200); few != 0 || many < 0.5 {
		t.Errorf("refused with probability %g by one of two routers, %g by one of 200", few, many)
	}
}

// Unknown classes and kinds, hundreds of servers and routers, and servers that are removed and return under the same
// id stop no router, and nothing is sent where it must not be.
func TestUnusualFleets(t *testing.T) {
	set := testSettings()
	set.Routers = 400
	list := []Listing{{Server: 9999, Kind: 7, Condition: Ready}}
	for id := ServerID(1); id <= 500; id++ {
		list = append(list, Listing{Server: id, Kind: int(id) % 2, Cell: int(id) / 6, Condition: Ready})
	}
	h := newHarness(t, set, list)
	h.lastID++
	odd := h.handle(Event{Kind: Arrived, Request: h.lastID, Job: Job{Class: 99, PromptTokens: 10, Deadline: h.now + Second}})
	if len(odd) != 1 || odd[0].Kind != Fail {
		t.Errorf("an unknown class got %+v, want one failure", odd)
	}
	for i := 0; i < 100; i++ {
		if _, s := h.arriveAndRead(safeClass); s == 9999 {
			t.Fatal("sent to a server of unknown kind")
		}
	}
	h.handle(Event{Kind: ListChanged, Servers: []Listing{{Server: 1, Kind: 1, Condition: Gone}}})
	for i := 0; i < 300; i++ {
		if _, s := h.arriveAndRead(safeClass); s == 1 {
			t.Fatal("sent to a removed server")
		}
	}
	h.handle(Event{Kind: ListChanged, Servers: []Listing{{Server: 1, Kind: 1, Condition: Ready, StartedAt: h.now}}})
	if s := h.r.servers[1]; !s.ready || !h.r.isCold(s) || s.ejection != 0 {
		t.Errorf("returned under the same id: ready %v, cold %v, ejection %d", s.ready, h.r.isCold(s), s.ejection)
	}
}

// Removed servers are forgotten, or else the replaced servers of a year would fill the memory. A server whose attempt
// has no outcome yet is not forgotten.
func TestRemovedServersAreForgotten(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	_, writer := h.arriveAndRead(safeClass) // its attempt at the writer is in flight
	for i := range 50 {
		id := ServerID(1000 + i)
		h.now += forgetAfter / 4
		h.handle(Event{Kind: ListChanged, Servers: []Listing{{Server: id, Kind: 0, Condition: Ready}}})
		h.handle(Event{Kind: ListChanged, Servers: []Listing{{Server: id, Kind: 0, Condition: Gone}}})
	}
	if n, limit := len(h.r.byID), len(testFleet())+5; n > limit || len(h.r.servers) != n {
		t.Errorf("%d servers (%d by id) are known, want at most %d", n, len(h.r.servers), limit)
	}
	var all []Listing
	for _, l := range testFleet() {
		l.Condition = Gone
		all = append(all, l)
	}
	h.handle(Event{Kind: ListChanged, Servers: all})
	h.now += 2 * forgetAfter
	h.handle(Event{Kind: ListChanged})
	if len(h.r.byID) != 1 || h.r.servers[writer] == nil {
		t.Errorf("%d servers are known, want the one writer with an attempt in flight", len(h.r.byID))
	}
}

// If the settings do not give the writers' memory, own bookings say nothing of how full they are.
func TestUnknownMemoryIsNotFull(t *testing.T) {
	set := testSettings()
	set.Kinds[1].Memory = 0
	h := newHarness(t, set, testFleet())
	for _, s := range []ServerID{11, 12, 13} {
		h.handle(Event{Kind: Probed, Server: s, Report: Report{MemoryUse: 0.1, QueuedKTokens: -1, Latency: -1}})
	}
	h.arriveAndRead(safeClass) // one stream is booked
	if _, acts := h.arrive(safeClass); findAction(acts, Refuse) != nil {
		t.Error("a request was refused although the writers' memory is unknown")
	}
}

// The median without one server is that of the other servers' times, whatever was computed before.
func TestTypicalTimeIsMedianOfOthers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		r := New(&Settings{Routers: 1}, 1, 0)
		for i := range 1 + rng.IntN(9) {
			s := &server{id: ServerID(i), role: Role(1 + rng.IntN(3)), ready: rng.IntN(4) > 0, responses: minSamples, responseTime: float64(rng.IntN(5))}
			r.byID = append(r.byID, s)
		}
		for range 5 {
			r.recordTime(r.byID[rng.IntN(len(r.byID))], float64(rng.IntN(5)))
			for role := Reader; role <= Both; role++ {
				for _, but := range append([]*server{nil}, r.byID...) {
					var times []float64
					for _, s := range r.byID {
						if s != but && s.role&role != 0 && s.ready && s.responses >= minSamples {
							times = append(times, s.responseTime)
						}
					}
					want := 0.0
					if len(times) > 0 {
						sort.Float64s(times)
						want = times[len(times)/2]
					}
					if got := r.typicalTime(role, but); got != want {
						t.Fatalf("median %v, want %v of %v", got, want, times)
					}
				}
			}
		}
	}
}

// A server that refuses what its peers accept is ejected, like one that fails, or else engines that answer 503 after
// 0.2 s are tried again and again. If all refuse, the cause is load, and more than half of them stay in use. A
// missing KV state says nothing of the server.
func TestRefusingServerIsEjected(t *testing.T) {
	ejected := func(h *harness) int {
		return h.r.countServers(Writer, func(s *server) bool { return h.r.isSuspect(s, false) })
	}
	h := newHarness(t, testSettings(), testFleet())
	full := &Event{Kind: AttemptEnded, Outcome: Full}
	for range 4 {
		id, writer := h.arriveAndRead(safeClass)
		for n := 1; n < 4; n++ {
			h.now += 10 * ms
			ev := *full
			ev.Request, ev.Attempt, ev.Server = id, n, writer
			a := findAction(h.handle(ev), Send)
			if a == nil {
				break
			}
			writer = a.Server
		}
		h.handle(Event{Kind: ClientLeft, Request: id})
	}
	if n := ejected(h); n > 1 {
		t.Errorf("%d of 3 writers are ejected when all are full", n)
	}

	h = newHarness(t, testSettings(), testFleet())
	refused := 0
	for range 30 {
		id, writer := h.arriveAndRead(safeClass)
		if writer == 12 {
			refused++
			writer = h.sentTo(h.endAttempt(id, 1, 12, Full))
			h.handle(Event{Kind: FirstToken, Request: id, Attempt: 2, Server: writer, Elapsed: 20 * ms})
			h.endAttempt(id, 2, writer, Served)
			continue
		}
		h.handle(Event{Kind: FirstToken, Request: id, Attempt: 1, Server: writer, Elapsed: 20 * ms})
		h.endAttempt(id, 1, writer, Served)
	}
	if refused < 2 || refused > 8 {
		t.Errorf("tried %d times of 30, though it refuses everything", refused)
	}

	h = newHarness(t, testSettings(), testFleet())
	for range 3 {
		id, writer := h.arriveAndRead(safeClass)
		h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: 1, Server: writer, Outcome: Full, NoState: true})
		h.handle(Event{Kind: ClientLeft, Request: id})
	}
	if n := ejected(h); n != 0 {
		t.Errorf("%d writers are ejected for missing KV states", n)
	}
}

// A request that has waited for the router itself for longer than a process pause is refused: those already accepted
// come first.
func TestRequestDelayedByRouterIsRefused(t *testing.T) {
	for waited, refused := range map[Duration]bool{0: false, MaxPause: false, maxRouterDelay: false, maxRouterDelay + ms: true} {
		h := newHarness(t, testSettings(), testFleet())
		acts := h.handle(Event{Kind: Arrived, Request: 1, RouterDelay: waited, Job: Job{PromptTokens: 1000, Deadline: h.now + 4*Second}})
		if got := findAction(acts, Refuse) != nil; got != refused {
			t.Errorf("after %d ms: %v", waited/ms, actionKinds(acts))
		}
	}
}
