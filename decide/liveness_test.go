package decide

import "testing"

// newUnconfirmed starts a request and returns its attempt, at a reader or at a writer, that gets no response. The
// timeout budget is used up, so that the router waits for it until the deadline.
func newUnconfirmed(t *testing.T, class int, writer bool) (h *harness, id RequestID, s ServerID, attempt int) {
	set := testSettings()
	set.Probing, set.PauseHoldOnArrival, set.HoldTimeout = true, true, Second
	h = newHarness(t, set, testFleet())
	h.r.timeoutBudget = 0
	if writer {
		id, s = h.arriveAndRead(class)
		return h, id, s, 1
	}
	id, acts := h.arrive(class)
	return h, id, h.sentTo(acts), 0
}

// awaitReachProbe lets time pass until the router sends a reachability probe, and returns that probe; nil if none
// comes within limit.
func (h *harness) awaitReachProbe(limit Duration) *Action {
	for end := h.now + limit; h.now < end; {
		h.now += checkInterval
		acts := h.handle(Event{Kind: Timer})
		for i := range acts {
			if acts[i].Kind == Probe && acts[i].NewConnection {
				return &acts[i]
			}
		}
	}
	return nil
}

// A server that does not respond gets a reachability probe before the hold times out. If it can't be reached the
// attempt is cancelled in time. The router goes on waiting for a writer that can be reached. A reader that hangs, or
// responds and has no queue, may have finished the read, with its response lost: that read is cancelled, too.
func TestUnresponsiveServers(t *testing.T) {
	for n := range 4 {
		writer, class := n%2 == 1, []int{safeClass, unsafeClass}[n/2]
		for _, o := range []Outcome{ConnectFailed, TimedOut, Served} {
			h, id, s, attempt := newUnconfirmed(t, class, writer)
			start := h.now
			probe := h.awaitReachProbe(2 * Second)
			if probe == nil || probe.Server != s {
				t.Errorf("writer %v: probed %+v", writer, probe)
				continue
			}
			h.now += h.r.cfg.DialTimeout
			acts := h.handle(Event{Kind: Probed, Server: s, NewConnection: true, Outcome: o})
			cancel := findAction(acts, Cancel)
			if (cancel != nil) != (o == ConnectFailed || !writer) {
				t.Errorf("writer %v, outcome %d: %v", writer, o, actionKinds(acts))
			}
			if cancel != nil && (cancel.Request != id || cancel.Attempt != attempt) {
				t.Errorf("writer %v: cancelled %+v", writer, cancel)
			}
			if limit := h.r.cfg.HoldTimeout + 300*ms - MaxPause; cancel != nil && h.now-start > limit {
				t.Errorf("writer %v: cancelled after %d ms, at most %d are allowed", writer, (h.now-start)/ms, limit/ms)
			}
			again := 0
			for cancel == nil && h.awaitReachProbe(5*Second) != nil {
				h.handle(Event{Kind: Probed, Server: s, NewConnection: true, Outcome: o})
				again++
			}
			if again >= maxReachProbes { // the response may be lost later
				t.Errorf("writer %v, outcome %d: probed %d more times", writer, o, again)
			}
		}
	}
}

// A server that has responded since gets no reachability probe for a while, and none after the end of the attempt.
func TestNoReachProbeAfterResponse(t *testing.T) {
	for name, then := range map[string]func(h *harness, id RequestID, s ServerID){
		"probed meanwhile": func(h *harness, _ RequestID, s ServerID) {
			h.handle(Event{Kind: Probed, Server: s, Outcome: Served})
		},
		"another response": func(h *harness, _ RequestID, s ServerID) {
			other, at := h.arriveAndRead(safeClass)
			for n := 0; at != s && n < 10; n++ { // each goes to the writer with the fewest streams
				other, at = h.arriveAndRead(safeClass)
			}
			h.endAttempt(other, 1, s, Full)
		},
		"first token": func(h *harness, id RequestID, s ServerID) {
			h.handle(Event{Kind: FirstToken, Request: id, Server: s, Attempt: 1, Elapsed: ms})
		},
		"client gone": func(h *harness, id RequestID, _ ServerID) { h.handle(Event{Kind: ClientLeft, Request: id}) },
	} {
		t.Run(name, func(t *testing.T) {
			h, id, s, _ := newUnconfirmed(t, safeClass, true)
			h.now += h.r.cfg.DialTimeout + ms // the send may have been delayed by a dial
			then(h, id, s)
			limit := h.r.cfg.HoldTimeout - h.r.cfg.DialTimeout - 2*checkInterval
			if name == "first token" || name == "client gone" {
				limit = 5 * Second
			}
			if probe := h.awaitReachProbe(limit); probe != nil && probe.Server == s {
				t.Errorf("probed %+v", probe)
			}
		})
	}
}

// The router goes on waiting for a reader that reports a queue long enough to explain the wait, and probes it again,
// until the probes of the attempt are used up.
func TestReaderThatExplainsTheWait(t *testing.T) {
	for name, tt := range map[string]struct {
		outcome Outcome
		queuedK float64
		waits   bool
	}{
		"a long queue":  {Served, 10, true},
		"a short queue": {Served, 1, false},
		"untold":        {Served, -1, false},
		"hangs":         {TimedOut, -1, false},
	} {
		t.Run(name, func(t *testing.T) {
			h, _, s, _ := newUnconfirmed(t, safeClass, false)
			start := h.now
			respond := func() []Action {
				probe := h.awaitReachProbe(2 * Second)
				if probe == nil || probe.Server != s {
					t.Fatalf("probed %+v", probe)
				}
				return h.handle(Event{Kind: Probed, Server: s, NewConnection: true, Outcome: tt.outcome,
					Report: Report{MemoryUse: 0.5, QueuedKTokens: tt.queuedK, Latency: -1}})
			}
			if got := findAction(respond(), Cancel) == nil; got != tt.waits {
				t.Errorf("router waits: %v", got)
			}
			if !tt.waits {
				return
			}
			if findAction(respond(), Cancel) != nil {
				t.Error("cancelled at the second response")
			}
			for limit := start + 3*Second; ; {
				h.now += checkInterval
				if findAction(h.handle(Event{Kind: Timer}), Cancel) != nil {
					return
				}
				if h.now > limit {
					t.Fatal("the router still waits after the last probe")
				}
			}
		})
	}
}

// The router waits for a read that should take long, because of its reader's queue, until the reader reports no queue
// any more.
func TestLongReadWithoutQueueIsCancelled(t *testing.T) {
	for queuedK, waits := range map[float64]bool{0: false, 10: true, -1: true} {
		h, id, s, _ := newUnconfirmed(t, safeClass, false)
		h.r.requests[id].expectedTime = float64(Second)
		last := []Action(nil)
		for range maxReachProbes {
			probe := h.awaitReachProbe(3 * Second)
			if probe == nil || probe.Server != s {
				t.Fatalf("probed %+v", probe)
			}
			last = h.handle(Event{Kind: Probed, Server: s, NewConnection: true, Outcome: Served,
				Report: Report{MemoryUse: 0.5, QueuedKTokens: queuedK, Latency: -1}})
		}
		if got := findAction(last, Cancel) == nil; got != waits {
			t.Errorf("queue of %v thousand: router waits: %v", queuedK, got)
		}
	}
}

// The expected time of a read follows the typical time if reads are faster than assumed.
func TestExpectedReadTimeFollowsTypicalTime(t *testing.T) {
	for typical, short := range map[float64]bool{0.3: true, 1: false, 3: false} {
		h, id, _, _ := newUnconfirmed(t, safeClass, false)
		q := h.r.requests[id]
		q.expectedTime = float64(Second)
		for _, s := range h.r.byID {
			s.responses, s.responseTime = minSamples, typical
		}
		h.r.timesSorted = [Both + 1]bool{}
		if got := h.r.isShortRead(q); got != short {
			t.Errorf("typical time %v: short read %v", typical, got)
		}
	}
}

// Responses of a reader to other requests do not delay the reachability probe for a read whose response may be lost.
func TestLostReadAtRespondingReader(t *testing.T) {
	h, id, s, attempt := newUnconfirmed(t, safeClass, false)
	start := h.now
	for h.now < start+2*Second {
		h.now += checkInterval
		h.handle(Event{Kind: Probed, Server: s, Outcome: Served}) // to other requests
		acts := h.handle(Event{Kind: Timer})
		if probe := findAction(acts, Probe); probe != nil && probe.NewConnection {
			acts = h.handle(Event{Kind: Probed, Server: s, NewConnection: true, Outcome: Served})
			if c := findAction(acts, Cancel); c == nil || c.Request != id || c.Attempt != attempt {
				t.Errorf("after the probe: %v", actionKinds(acts))
			}
			if limit := h.r.cfg.HoldTimeout + 300*ms - MaxPause; h.now-start > limit {
				t.Errorf("cancelled after %d ms, at most %d are allowed", (h.now-start)/ms, limit/ms)
			}
			return
		}
	}
	t.Error("no reachability probe was sent")
}

// When the hold times out it is released, even if a writer may still have the request: whether the send has reached
// the writer is unknown. A writer that finds no KV state has not executed the request, which is then read again.
func TestHoldIsReleasedDuringWrite(t *testing.T) {
	h, id, s, _ := newUnconfirmed(t, unsafeClass, true)
	start := h.now
	var release *Action
	for h.now < start+2*Second {
		h.now += checkInterval
		acts := h.handle(Event{Kind: Timer})
		if findAction(acts, Cancel) != nil {
			t.Fatal("the attempt at the writer was cancelled")
		}
		if probe := findAction(acts, Probe); probe != nil && probe.NewConnection {
			h.handle(Event{Kind: Probed, Server: s, NewConnection: true, Outcome: TimedOut}) // it hangs
		}
		if r := findAction(acts, Release); r != nil {
			if release != nil {
				t.Error("released twice")
			}
			release = r
			if limit := h.r.cfg.HoldTimeout + 300*ms - MaxPause; h.now-start > limit {
				t.Errorf("released after %d ms, at most %d are allowed", (h.now-start)/ms, limit/ms)
			}
		}
	}
	if release == nil || release.Request != id || !release.DuringAttempt {
		t.Fatalf("released %+v", release)
	}
	h.now += ms
	acts := h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: 1, Server: s, Outcome: Full, NoState: true, Elapsed: Second})
	if again := findAction(acts, Send); again == nil || h.r.servers[again.Server].role != Reader {
		t.Errorf("after a writer that found no KV state: %v", actionKinds(acts))
	}
}

// Requests with holds are sent on connections with a recent response, and the wait for a writer is limited so that a
// lost send does not make a hold time out. If responses typically take that long the wait is not limited.
func TestWaitForLostSendsIsLimited(t *testing.T) {
	set := testSettings()
	set.Probing, set.PauseHoldOnArrival, set.HoldTimeout = true, true, Second
	for name, tt := range map[string]struct {
		responseTime float64 // typical, as a ratio to the expected time
		budget       float64 // of timeouts
		limited      bool    // the wait for the writer
	}{
		"quick responses":                   {1, 2, true},
		"quick responses, no more timeouts": {1, 0, true},
		"slow responses":                    {12, 2, false},
		"slow responses, no more timeouts":  {12, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, set, testFleet())
			h.r.timeoutBudget = tt.budget
			for _, s := range h.r.byID {
				s.responses, s.responseTime = minSamples, tt.responseTime
			}
			id, acts := h.arrive(safeClass)
			read := findAction(acts, Send)
			limit := set.HoldTimeout + 300*ms - MaxPause - set.DialTimeout
			if long := read.After > limit; long != (read.LastResponseWithin == set.DialTimeout) || !long && read.LastResponseWithin != 0 {
				t.Errorf("a read with a timeout of %d ms requires a response within %d", read.After/ms, read.LastResponseWithin)
			}
			write := findAction(h.endAttempt(id, 0, read.Server, ReadDone), Send)
			if write.LastResponseWithin != set.DialTimeout {
				t.Errorf("a request with a hold was sent on any connection: %+v", write)
			}
			if got := write.After <= limit; got != tt.limited {
				t.Errorf("the timeout of the write is %d ms", write.After/ms)
			}
		})
	}
}

// A read with an unknown end may have ended as soon as it was sent.
func TestHoldOfLostReadStartsAtSend(t *testing.T) {
	h, id, s, _ := newUnconfirmed(t, safeClass, false)
	start := h.now
	h.now += 500 * ms
	// The server can be reached, but the response is lost all the same.
	h.handle(Event{Kind: Probed, Server: s, NewConnection: true, Outcome: Served})
	h.endAttempt(id, 0, s, TimedOut)
	if q := h.r.requests[id]; q == nil || q.holdStart != start {
		t.Errorf("wrong start of the hold timer: %+v", q)
	}
}
