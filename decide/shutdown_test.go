package decide

import "testing"

// The schedule holds for every mix of classes, however late the signal is received and however long the process
// pauses between reading the clock and acting: no request that has to be answered before the kill is accepted, and
// what is given up is answered before it.
func TestPlanShutdown(t *testing.T) {
	const received = 1000 * Second
	for _, longest := range []Duration{500 * ms, Second, 3 * Second, 12 * Second} {
		plan := PlanShutdown(received, []Class{{Deadline: longest / 2}, {Deadline: longest}})
		for _, late := range []Duration{0, MaxPause} {
			signalled := received - late
			killed := signalled + min(longest, 3*Second) + 700*ms
			if due := signalled + 700*ms; plan.AcceptUntil >= due {
				t.Errorf("longest deadline %v: accepts until %v after requests have to be answered", longest, plan.AcceptUntil-due)
			}
			if plan.AnswerBy+MaxPause >= killed || plan.GiveUpBy >= plan.AnswerBy {
				t.Errorf("longest deadline %v: only %v are left after the last answer", longest, killed-plan.AnswerBy)
			}
			if plan.ListenUntil+MaxPause >= killed || plan.ListenUntil <= signalled+400*ms+MaxPause {
				t.Errorf("longest deadline %v: listens until %v after the signal", longest, plan.ListenUntil-signalled)
			}
		}
		if plan.AcceptUntil < received+400*ms {
			t.Errorf("longest deadline %v: accepts nothing after %v", longest, plan.AcceptUntil-received)
		}
	}
}

// shutDown starts the shutdown of the router and returns its schedule.
func (h *harness) shutDown() *Shutdown {
	plan := PlanShutdown(h.now, h.r.cfg.Classes)
	h.handle(Event{Kind: ShuttingDown, Shutdown: &plan})
	return &plan
}

// What arrives late, or should not be answered to its end before the kill, is refused immediately, and its client may
// go to another router immediately.
func TestShutdownRefusesLateRequests(t *testing.T) {
	for class := range testSettings().Classes {
		h := newHarness(t, testSettings(), testFleet())
		plan := h.shutDown()
		if _, acts := h.arrive(class); findAction(acts, Send) == nil {
			t.Errorf("class %d: refused at the start of the shutdown", class)
		}
		h.now = plan.AcceptUntil + 1
		_, acts := h.arrive(class)
		if a := findAction(acts, Refuse); a == nil || a.After != 0 || findAction(acts, Send) != nil {
			t.Errorf("class %d: %+v", class, acts)
		}
		h = newHarness(t, testSettings(), testFleet())
		h.r.classWork[class].answerTime = float64(10 * Second)
		h.shutDown()
		if _, acts := h.arrive(class); findAction(acts, Refuse) == nil || findAction(acts, Send) != nil {
			t.Errorf("class %d with long answers: %+v", class, acts)
		}
	}
}

// A request whose read is under way at the signal goes to a writer only if its answer should end before the kill.
// Otherwise it is given up, and its hold is released.
func TestShutdownStartsNoLongWrite(t *testing.T) {
	for _, long := range []bool{false, true} {
		h := newHarness(t, testSettings(), testFleet())
		id, acts := h.arrive(unsafeClass)
		reader := h.sentTo(acts)
		h.shutDown()
		if long {
			h.r.classWork[unsafeClass].answerTime = float64(5 * Second)
		}
		acts = h.endAttempt(id, 0, reader, ReadDone)
		if (findAction(acts, Send) != nil) == long || (findAction(acts, Refuse) != nil) != long || (findAction(acts, Release) != nil) != long {
			t.Errorf("long answers %v: %+v", long, acts)
		}
	}
}

// The timeout of an attempt ends no later than the time at which requests without an answer are given up.
func TestTimeoutsDuringShutdown(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet())
	h.r.timeoutBudget = 0 // timeouts last until the deadline
	id, acts := h.arrive(safeClass)
	reader := h.sentTo(acts)
	h.now += Second
	plan := h.shutDown()
	a := findAction(h.endAttempt(id, 0, reader, ReadDone), Send)
	if a == nil || h.now+a.After > plan.GiveUpBy {
		t.Errorf("%+v, requests are given up in %v", a, plan.GiveUpBy-h.now)
	}
	again := *plan
	again.GiveUpBy += Second
	h.handle(Event{Kind: ShuttingDown, Shutdown: &again})
	if h.r.shutdown.GiveUpBy != plan.GiveUpBy {
		t.Error("a second signal changed the schedule")
	}
}
