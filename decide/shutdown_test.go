package decide

import "testing"

// The plan holds for every class mix, however late the signal was taken and however long the process is held up between
// its clock and its act: nothing that has to be answered is taken, and what is given up is answered before the kill.
func TestPlanShutdown(t *testing.T) {
	const taken = 1000 * Second
	for _, longest := range []Duration{500 * ms, Second, 3 * Second, 12 * Second} {
		plan := PlanShutdown(taken, []Class{{Deadline: longest / 2}, {Deadline: longest}})
		for _, late := range []Duration{0, MaxPause} {
			signalled := taken - late
			killed := signalled + min(longest, 3*Second) + 700*ms
			if owed := signalled + 700*ms; plan.AcceptUntil >= owed {
				t.Errorf("longest deadline %v: taken until %v after what has to be answered", longest, plan.AcceptUntil-owed)
			}
			if plan.AnswerBy+MaxPause >= killed || plan.GiveUpBy >= plan.AnswerBy {
				t.Errorf("longest deadline %v: %v are left after the last answer", longest, killed-plan.AnswerBy)
			}
			if plan.ListenUntil+MaxPause >= killed || plan.ListenUntil <= signalled+400*ms+MaxPause {
				t.Errorf("longest deadline %v: it listens until %v after the signal", longest, plan.ListenUntil-signalled)
			}
		}
		if plan.AcceptUntil < taken+400*ms {
			t.Errorf("longest deadline %v: it takes nothing from %v on", longest, plan.AcceptUntil-taken)
		}
	}
}

// shutDown tells a world's router to end.
func (w *world) shutDown() *Shutdown {
	plan := PlanShutdown(w.now, w.r.set.Classes)
	w.do(Event{Kind: ShuttingDown, Shutdown: &plan})
	return &plan
}

// What comes late, or should not be answered to its end before the kill, is refused at once, and its client may go
// elsewhere at once.
func TestRefusedInAShutdown(t *testing.T) {
	for class := range settings().Classes {
		w := newWorld(t, settings(), fleet())
		plan := w.shutDown()
		if _, acts := w.arrive(class); find(acts, Send) == nil {
			t.Errorf("class %d: refused at the shutdown's begin", class)
		}
		w.now = plan.AcceptUntil + 1
		_, acts := w.arrive(class)
		if a := find(acts, Refuse); a == nil || a.After != 0 || find(acts, Send) != nil {
			t.Errorf("class %d: %+v", class, acts)
		}
		w = newWorld(t, settings(), fleet())
		w.r.work[class].answer = float64(10 * Second)
		w.shutDown()
		if _, acts := w.arrive(class); find(acts, Refuse) == nil || find(acts, Send) != nil {
			t.Errorf("class %d with long answers: %+v", class, acts)
		}
	}
}

// A request that was being read at the signal goes to a writer only if its answer should end before the kill. If not it
// is given up, and what is held for it is let go.
func TestNoWriterInAShutdown(t *testing.T) {
	for _, long := range []bool{false, true} {
		w := newWorld(t, settings(), fleet())
		id, acts := w.arrive(unsafeClass)
		reader := w.sent(acts)
		w.shutDown()
		if long {
			w.r.work[unsafeClass].answer = float64(5 * Second)
		}
		acts = w.end(id, 0, reader, ReadDone)
		if (find(acts, Send) != nil) == long || (find(acts, Refuse) != nil) != long || (find(acts, Release) != nil) != long {
			t.Errorf("long answers %v: %+v", long, acts)
		}
	}
}

// No attempt is given more time than is left until what has not begun is given up.
func TestTimeOutsInAShutdown(t *testing.T) {
	w := newWorld(t, settings(), fleet())
	w.r.again = 0 // time-outs reach to the deadline
	id, acts := w.arrive(safe)
	reader := w.sent(acts)
	w.now += Second
	plan := w.shutDown()
	a := find(w.end(id, 0, reader, ReadDone), Send)
	if a == nil || w.now+a.After > plan.GiveUpBy {
		t.Errorf("%+v, given up in %v", a, plan.GiveUpBy-w.now)
	}
	again := *plan
	again.GiveUpBy += Second
	w.do(Event{Kind: ShuttingDown, Shutdown: &again})
	if w.r.shutdown.GiveUpBy != plan.GiveUpBy {
		t.Error("a second signal changes the plan")
	}
}
