package roles

import (
	"testing"
	"time"

	_ "mintdoor/internal/seeded"

	"pgregory.net/rapid"
)

var limits = Timeouts{AskTimeout: time.Second, EmptyTimeout: 10 * time.Second, ChangeTimeout: 20 * time.Second, Backoff: 5 * time.Second}

var t0 = time.Unix(1000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// newTracker returns a tracker that knows engine 1 as a reader at epoch 3.
func newTracker(t *testing.T) *RoleTracker {
	tracker := NewRoleTracker(limits)
	out := tracker.ObserveState(t0, 1, RoleState{Role: Prefill, Epoch: 3, StartedAt: at(-100)}, nil)
	if len(out) != 1 || out[0].Kind != UpdateListing || out[0].Listing != (Listing{Role: Prefill, StartedAt: at(-100)}) {
		t.Fatalf("%+v", out)
	}
	return tracker
}

func singleResult(t *testing.T, tracker *RoleTracker) ChangeResult {
	t.Helper()
	e := tracker.TakeResults()
	if len(e) != 1 {
		t.Fatalf("%d changes ended, want 1: %+v", len(e), e)
	}
	return e[0]
}

func TestRoleChange(t *testing.T) {
	tracker := newTracker(t)
	out, err := tracker.BeginChange(at(0), 1, Decode, nil)
	if err != nil || len(out) != 2 || out[0].Listing != (Listing{Role: Prefill, Draining: true, StartedAt: at(-100)}) ||
		out[1].Kind != RequestChange || out[1].To != Decode || out[1].Epoch != 3 {
		t.Fatalf("%v %+v", err, out)
	}
	if tracker.CanChange(1) || tracker.ChangingEngines() != 1 {
		t.Error("the engine can begin another change during a change")
	}
	tracker.HandleAnswer(at(0.1), 1, true, RoleState{}, nil)
	tracker.ObserveState(at(0.2), 1, RoleState{Role: Prefill, Epoch: 3, To: Decode, Phase: Emptying, StartedAt: at(-100)}, nil)
	tracker.ObserveState(at(4), 1, RoleState{Role: Prefill, Epoch: 3, To: Decode, Phase: Changing, StartedAt: at(-100)}, nil)
	out = tracker.ObserveState(at(9), 1, RoleState{Role: Decode, Epoch: 4, StartedAt: at(9)}, nil)
	if len(out) != 1 || out[0].Listing != (Listing{Role: Decode, StartedAt: at(9)}) {
		t.Errorf("actions after the change: %+v, want a cold writer", out)
	}
	if e := singleResult(t, tracker); !e.Succeeded || e.Elapsed != 9*time.Second {
		t.Errorf("%+v", e)
	}
	if !tracker.CanChange(1) || tracker.ChangingEngines() != 0 {
		t.Error("the engine cannot change again after its change")
	}
	// A report from before the change is ignored.
	if out = tracker.ObserveState(at(10), 1, RoleState{Role: Prefill, Epoch: 3, StartedAt: at(-100)}, nil); len(out) != 0 {
		t.Errorf("%+v", out)
	}
}

// Whichever step of a change fails, the change ends with the reason, the engine is listed with its actual role and
// state, and a backoff follows.
func TestFailedChanges(t *testing.T) {
	old := RoleState{Role: Prefill, Epoch: 3, StartedAt: at(-100)}
	emptying := RoleState{Role: Prefill, Epoch: 3, To: Decode, Phase: Emptying, StartedAt: at(-100)}
	changing := RoleState{Role: Prefill, Epoch: 3, To: Decode, Phase: Changing, StartedAt: at(-100)}
	restarted := RoleState{Role: Prefill, Epoch: 3, StartedAt: at(2)}
	other := RoleState{Role: Prefill, Epoch: 5, StartedAt: at(2)}
	for _, c := range []struct {
		name    string
		play    func(tracker *RoleTracker)
		reason  string
		listing Listing
	}{
		{"engine refuses", func(tracker *RoleTracker) { tracker.HandleAnswer(at(0.1), 1, false, old, nil) }, "the engine refused: it is at another epoch or in another change",
			Listing{Role: Prefill, StartedAt: at(-100)}},
		{"engine refuses after another change", func(tracker *RoleTracker) { tracker.HandleAnswer(at(0.1), 1, false, other, nil) },
			"the engine refused: it is at another epoch or in another change", Listing{Role: Prefill, StartedAt: at(2)}},
		{"no answer", func(tracker *RoleTracker) { tracker.Tick(at(1), nil) }, "no answer to the change request", Listing{Role: Prefill, StartedAt: at(-100)}},
		{"engine restarts while emptying", func(tracker *RoleTracker) {
			tracker.HandleAnswer(at(0.1), 1, true, old, nil)
			tracker.ObserveState(at(1), 1, emptying, nil)
			tracker.ObserveState(at(2), 1, restarted, nil)
		}, "the engine restarted in its old role", Listing{Role: Prefill, StartedAt: at(2)}},
		{"engine cancels by itself", func(tracker *RoleTracker) {
			tracker.HandleAnswer(at(0.1), 1, true, old, nil)
			tracker.ObserveState(at(1), 1, emptying, nil)
			tracker.ObserveState(at(2), 1, old, nil)
		}, "the engine stayed in its old role", Listing{Role: Prefill, StartedAt: at(-100)}},
		{"engine neither finishes its work nor cancels", func(tracker *RoleTracker) {
			tracker.HandleAnswer(at(0.1), 1, true, old, nil)
			tracker.ObserveState(at(1), 1, emptying, nil)
			tracker.Tick(at(11), nil)
			tracker.Tick(at(13), nil)
		}, "the engine neither finishes its work nor cancels the change", Listing{Role: Prefill, Draining: true, StartedAt: at(-100)}},
		{"change hangs", func(tracker *RoleTracker) {
			tracker.HandleAnswer(at(0.1), 1, true, old, nil)
			tracker.ObserveState(at(1), 1, changing, nil)
			tracker.Tick(at(22), nil)
		}, "the change timed out", Listing{Role: Prefill, Draining: true, StartedAt: at(-100)}},
		{"engine comes back in its old role", func(tracker *RoleTracker) {
			tracker.HandleAnswer(at(0.1), 1, true, old, nil)
			tracker.ObserveState(at(1), 1, changing, nil)
			tracker.ObserveState(at(2), 1, old, nil)
		}, "the engine came back in its old role", Listing{Role: Prefill, StartedAt: at(-100)}},
		{"engine comes back in another role", func(tracker *RoleTracker) {
			tracker.HandleAnswer(at(0.1), 1, true, old, nil)
			tracker.ObserveState(at(1), 1, changing, nil)
			tracker.ObserveState(at(2), 1, other, nil)
		}, "the engine came back in another role", Listing{Role: Prefill, StartedAt: at(2)}},
		{"change is cancelled", func(tracker *RoleTracker) {
			tracker.HandleAnswer(at(0.1), 1, true, old, nil)
			tracker.ObserveState(at(1), 1, emptying, nil)
			if out := tracker.Cancel(1, "half of the readers died", nil); len(out) != 1 || out[0].Kind != CancelChange || out[0].Epoch != 3 {
				panic(out)
			}
			tracker.ObserveState(at(2), 1, old, nil)
		}, "the change was cancelled", Listing{Role: Prefill, StartedAt: at(-100)}},
		{"engine is removed", func(tracker *RoleTracker) { tracker.Remove(at(2), 1) }, "the engine was removed from the list", Listing{}},
	} {
		tracker := newTracker(t)
		tracker.BeginChange(at(0), 1, Decode, nil)
		c.play(tracker)
		e := tracker.TakeResults()
		if len(e) != 1 || e[0].Succeeded || e[0].Reason != c.reason {
			t.Errorf("%s: %+v", c.name, e)
		}
		if tracker.ChangingEngines() != 0 {
			t.Errorf("%s: the change is still in progress", c.name)
		}
		if ch := tracker.engines[1]; ch != nil && ch.listing != c.listing {
			t.Errorf("%s: listed as %+v, want %+v", c.name, ch.listing, c.listing)
		}
		if c.reason != "the change was cancelled" && tracker.CanChange(1) {
			t.Errorf("%s: no backoff after a failure", c.name)
		}
		tracker.Tick(at(200), nil)
		if ch := tracker.engines[1]; ch != nil && ch.state.Phase == Steady && !tracker.CanChange(1) {
			t.Errorf("%s: the backoff never ends", c.name)
		}
	}
}

// A router that starts during a change tracks it like one of its own.
func TestChangeBegunByAnotherRouter(t *testing.T) {
	tracker := NewRoleTracker(limits)
	out := tracker.ObserveState(at(0), 1, RoleState{Role: Prefill, Epoch: 3, To: Decode, Phase: Changing, StartedAt: at(-100)}, nil)
	if len(out) != 1 || !out[0].Listing.Draining || tracker.ChangingEngines() != 1 {
		t.Errorf("%+v", out)
	}
	tracker.ObserveState(at(3), 1, RoleState{Role: Decode, Epoch: 4, StartedAt: at(3)}, nil)
	if e := singleResult(t, tracker); !e.Succeeded {
		t.Errorf("%+v", e)
	}
}

// fakeEngine is an engine that grants one change from its epoch and refuses all others.
type fakeEngine struct {
	state RoleState
	alive bool
}

func (e *fakeEngine) ask(to Stage, from Epoch) bool {
	if !e.alive || e.state.Phase != Steady || e.state.Epoch != from || e.state.Role == to {
		return false
	}
	e.state.Phase, e.state.To = Emptying, to
	return true
}

// With random routers, crashes, losses and delays: an engine changes only from the epoch in the request, a router
// never lists it as ready in a role other than the last one reported, and once everything is quiet every change has
// ended and every router knows the engine's role.
func TestRoutersAgreeAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := t0
		e := &fakeEngine{state: RoleState{Role: Prefill, Epoch: 1, StartedAt: at(-100)}, alive: true}
		routers := make([]*RoleTracker, 3)
		listings := make([]Listing, 3)
		begun, ended := make([]int, 3), make([]int, 3)
		var messages []func() // in flight: delivered in any order, or never
		var do func(i int, acts []Action)
		do = func(i int, acts []Action) {
			for _, a := range acts {
				switch a.Kind {
				case UpdateListing:
					listings[i] = a.Listing
				case RequestChange:
					messages = append(messages, func() {
						granted := e.ask(a.To, a.Epoch)
						s := e.state
						r := routers[i]
						messages = append(messages, func() {
							if routers[i] == r {
								do(i, r.HandleAnswer(now, 1, granted, s, nil))
							}
						})
					})
				case CancelChange:
					messages = append(messages, func() {
						if e.alive && e.state.Phase == Emptying && e.state.Epoch == a.Epoch {
							e.state.Phase = Steady
						}
					})
				}
			}
		}
		check := func(i int, s RoleState) {
			do(i, routers[i].ObserveState(now, 1, s, nil))
			c := routers[i].engines[1]
			if !listings[i].Draining && (c.state.Phase != Steady || listings[i].Role != c.state.Role) {
				t.Fatalf("router %d lists the engine as %+v, but its last report is %+v", i, listings[i], c.state)
			}
		}
		restart := func(i int) {
			routers[i] = NewRoleTracker(limits)
			begun[i], ended[i] = 0, 0
			check(i, e.state)
		}
		for i := range routers {
			restart(i)
		}
		which := func() int { return rapid.IntRange(0, 2).Draw(t, "router") }
		tick := func() {
			for i, r := range routers {
				do(i, r.Tick(now, nil))
				for range r.TakeResults() {
					ended[i]++
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				i := which()
				to := Stage(rapid.IntRange(0, 1).Draw(t, "to"))
				if out, err := routers[i].BeginChange(now, 1, to, nil); err == nil {
					begun[i]++
					do(i, out)
					if !listings[i].Draining {
						t.Fatal("the decision module can still send to an engine that is asked to change")
					}
				}
			},
			"mail": func(t *rapid.T) {
				if len(messages) > 0 {
					k := rapid.IntRange(0, len(messages)-1).Draw(t, "which")
					m := messages[k]
					messages = append(messages[:k], messages[k+1:]...)
					if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
						m()
					}
				}
			},
			"look": func(t *rapid.T) {
				if e.alive {
					check(which(), e.state)
				}
			},
			"engine goes on": func(t *rapid.T) {
				switch {
				case !e.alive:
				case e.state.Phase == Emptying:
					e.state.Phase = Changing
				case e.state.Phase == Changing:
					e.state = RoleState{Role: e.state.To, Epoch: e.state.Epoch + 1, StartedAt: now}
				}
			},
			"engine dies": func(t *rapid.T) { e.alive = false },
			"engine restarts": func(t *rapid.T) {
				if !e.alive {
					e.alive = true
					e.state = RoleState{Role: e.state.Role, Epoch: e.state.Epoch, StartedAt: now}
				}
			},
			"router restarts": func(t *rapid.T) { restart(which()) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
				tick()
			},
			"call off": func(t *rapid.T) { i := which(); do(i, routers[i].Cancel(1, "", nil)) },
		})
		// Quiet phase: messages in flight are lost, the engine is up and completes its change, and all routers check
		// its role.
		messages = nil
		now = now.Add(time.Millisecond)
		if !e.alive {
			e.state = RoleState{Role: e.state.Role, Epoch: e.state.Epoch, StartedAt: now}
		} else if e.state.Phase != Steady {
			e.state = RoleState{Role: e.state.To, Epoch: e.state.Epoch + 1, StartedAt: now}
		}
		for range 20 {
			now = now.Add(10 * time.Second)
			for i := range routers {
				check(i, e.state)
			}
			tick()
			messages = nil
		}
		for i, r := range routers {
			if r.ChangingEngines() != 0 || !r.CanChange(1) {
				t.Fatalf("router %d is left at step %v", i, r.engines[1].step)
			}
			if listings[i] != (Listing{Role: e.state.Role, StartedAt: e.state.StartedAt}) {
				t.Fatalf("router %d lists the engine as %+v, its state is %+v", i, listings[i], e.state)
			}
			if ended[i] < begun[i] {
				t.Fatalf("router %d began %d changes and %d ended", i, begun[i], ended[i])
			}
		}
	})
}

// An engine gets no work before it has reported its own role, because the server list may be outdated.
func TestListedEngineDrainsUntilItReports(t *testing.T) {
	tracker := NewRoleTracker(limits)
	out := tracker.AddListed(1, Prefill, nil)
	if len(out) != 1 || !out[0].Listing.Draining {
		t.Fatalf("%+v", out)
	}
	if out = tracker.AddListed(1, Prefill, nil); len(out) != 0 {
		t.Errorf("listed again without a change: %+v", out)
	}
	if out = tracker.ObserveState(at(1), 1, RoleState{Role: Prefill, Epoch: 1}, nil); len(out) != 1 || out[0].Listing != (Listing{Role: Prefill}) {
		t.Errorf("%+v", out)
	}
	if out = tracker.AddListed(1, Decode, nil); len(out) != 0 {
		t.Errorf("the list overrules the engine's own report: %+v", out)
	}
}

// A later start takes precedence over the epoch, since an engine that was set up again counts its epochs from 1.
// Reports that were overtaken on their way are still ignored.
func TestReportsOutOfOrder(t *testing.T) {
	tracker := newTracker(t)
	if out := tracker.ObserveState(at(1), 1, RoleState{Role: Decode, Epoch: 1, StartedAt: at(-1)}, nil); len(out) != 1 || out[0].Listing.Role != Decode {
		t.Errorf("after the engine was set up again: %+v", out)
	}
	for _, old := range []RoleState{{Role: Prefill, Epoch: 1, StartedAt: at(-2)}, {Role: Prefill, Epoch: 0, StartedAt: at(-1)}} {
		if out := tracker.ObserveState(at(2), 1, old, nil); len(out) != 0 {
			t.Errorf("outdated report %+v was accepted: %+v", old, out)
		}
	}
}

// An engine whose last report is too old gets no work, as another router may have changed its role. If most engines
// are unresponsive, the network path is the likely fault, and all stay trusted.
func TestOldReportsAreDistrusted(t *testing.T) {
	l := limits
	l.CheckInterval, l.ReplyTimeout = time.Second, 100*time.Millisecond
	tracker := NewRoleTracker(l)
	for id := range uint64(4) {
		tracker.ObserveState(at(0), id, RoleState{Role: Prefill, Epoch: 1}, nil)
	}
	report := func(s float64, ids ...uint64) (out []Action) {
		for _, id := range ids {
			out = tracker.ObserveState(at(s), id, RoleState{Role: Prefill, Epoch: 1}, out)
		}
		return tracker.Tick(at(s), out)
	}
	if out := report(3.9, 0, 1, 2); len(out) != 0 {
		t.Errorf("%+v", out)
	}
	out := report(4, 0, 1, 2)
	if len(out) != 1 || out[0].Engine != 3 || !out[0].Listing.Draining || tracker.CanChange(3) {
		t.Errorf("%+v", out)
	}
	if out := report(5, 0, 1, 2, 3); len(out) != 1 || out[0].Listing.Draining || !tracker.CanChange(3) {
		t.Errorf("after a new report: %+v", out)
	}
	if out := report(20, 0); len(out) != 0 {
		t.Errorf("with most engines unresponsive: %+v", out)
	}
	if n := l.NoticePeriod(); n <= l.maxStateAge()+l.ReplyTimeout {
		t.Errorf("the notice period is %v, reports are trusted for %v", n, l.maxStateAge())
	}
}
