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

// follow returns a follower that knows engine 1 as a reader at epoch 3.
func follow(t *testing.T) *Follower {
	f := NewFollower(limits)
	out := f.Seen(t0, 1, RoleState{Role: Prefill, Epoch: 3, StartedAt: at(-100)}, nil)
	if len(out) != 1 || out[0].Kind != UpdateListing || out[0].Listing != (Listing{Role: Prefill, StartedAt: at(-100)}) {
		t.Fatalf("%+v", out)
	}
	return f
}

func last(t *testing.T, f *Follower) ChangeResult {
	t.Helper()
	e := f.Ended()
	if len(e) != 1 {
		t.Fatalf("%d changes have ended, want 1: %+v", len(e), e)
	}
	return e[0]
}

func TestWayOfAChange(t *testing.T) {
	f := follow(t)
	out, err := f.Begin(at(0), 1, Decode, nil)
	if err != nil || len(out) != 2 || out[0].Listing != (Listing{Role: Prefill, Draining: true, StartedAt: at(-100)}) ||
		out[1].Kind != RequestChange || out[1].To != Decode || out[1].Epoch != 3 {
		t.Fatalf("%v %+v", err, out)
	}
	if f.May(1) || f.Away() != 1 {
		t.Error("it may change while it changes")
	}
	f.Answered(at(0.1), 1, true, RoleState{}, nil)
	f.Seen(at(0.2), 1, RoleState{Role: Prefill, Epoch: 3, To: Decode, Phase: Emptying, StartedAt: at(-100)}, nil)
	f.Seen(at(4), 1, RoleState{Role: Prefill, Epoch: 3, To: Decode, Phase: Changing, StartedAt: at(-100)}, nil)
	out = f.Seen(at(9), 1, RoleState{Role: Decode, Epoch: 4, StartedAt: at(9)}, nil)
	if len(out) != 1 || out[0].Listing != (Listing{Role: Decode, StartedAt: at(9)}) {
		t.Errorf("it is to come back as a cold writer: %+v", out)
	}
	if e := last(t, f); !e.Succeeded || e.Elapsed != 9*time.Second {
		t.Errorf("%+v", e)
	}
	if !f.May(1) || f.Away() != 0 {
		t.Error("it is not free again")
	}
	// A word from before is passed over.
	if out = f.Seen(at(10), 1, RoleState{Role: Prefill, Epoch: 3, StartedAt: at(-100)}, nil); len(out) != 0 {
		t.Errorf("%+v", out)
	}
}

// Each step's failure has its exit: the change ends, with its reason, the engine is listed as what it is,
// and it rests.
func TestFailuresOfAChange(t *testing.T) {
	old := RoleState{Role: Prefill, Epoch: 3, StartedAt: at(-100)}
	empty := RoleState{Role: Prefill, Epoch: 3, To: Decode, Phase: Emptying, StartedAt: at(-100)}
	busy := RoleState{Role: Prefill, Epoch: 3, To: Decode, Phase: Changing, StartedAt: at(-100)}
	anew := RoleState{Role: Prefill, Epoch: 3, StartedAt: at(2)}
	other := RoleState{Role: Prefill, Epoch: 5, StartedAt: at(2)}
	for _, c := range []struct {
		name string
		play func(f *Follower)
		why  string
		view Listing
	}{
		{"it refuses", func(f *Follower) { f.Answered(at(0.1), 1, false, old, nil) }, "the engine refused: it is at another epoch, or busy with another change",
			Listing{Role: Prefill, StartedAt: at(-100)}},
		{"it refuses, for it has changed meanwhile", func(f *Follower) { f.Answered(at(0.1), 1, false, other, nil) },
			"the engine refused: it is at another epoch, or busy with another change", Listing{Role: Prefill, StartedAt: at(2)}},
		{"no answer", func(f *Follower) { f.Tick(at(1), nil) }, "no answer to the question", Listing{Role: Prefill, StartedAt: at(-100)}},
		{"it dies while it empties, and is started anew", func(f *Follower) {
			f.Answered(at(0.1), 1, true, old, nil)
			f.Seen(at(1), 1, empty, nil)
			f.Seen(at(2), 1, anew, nil)
		}, "it was started anew in its old role", Listing{Role: Prefill, StartedAt: at(2)}},
		{"it changes its mind", func(f *Follower) {
			f.Answered(at(0.1), 1, true, old, nil)
			f.Seen(at(1), 1, empty, nil)
			f.Seen(at(2), 1, old, nil)
		}, "it went on in its old role", Listing{Role: Prefill, StartedAt: at(-100)}},
		{"it does not empty, nor stay", func(f *Follower) {
			f.Answered(at(0.1), 1, true, old, nil)
			f.Seen(at(1), 1, empty, nil)
			f.Tick(at(11), nil)
			f.Tick(at(13), nil)
		}, "it neither empties nor stays", Listing{Role: Prefill, Draining: true, StartedAt: at(-100)}},
		{"it hangs in the change", func(f *Follower) {
			f.Answered(at(0.1), 1, true, old, nil)
			f.Seen(at(1), 1, busy, nil)
			f.Tick(at(22), nil)
		}, "the change takes too long", Listing{Role: Prefill, Draining: true, StartedAt: at(-100)}},
		{"it comes back in its old role", func(f *Follower) {
			f.Answered(at(0.1), 1, true, old, nil)
			f.Seen(at(1), 1, busy, nil)
			f.Seen(at(2), 1, old, nil)
		}, "it came back in its old role", Listing{Role: Prefill, StartedAt: at(-100)}},
		{"it comes back in another role", func(f *Follower) {
			f.Answered(at(0.1), 1, true, old, nil)
			f.Seen(at(1), 1, busy, nil)
			f.Seen(at(2), 1, other, nil)
		}, "it came back in another role", Listing{Role: Prefill, StartedAt: at(2)}},
		{"it is called back", func(f *Follower) {
			f.Answered(at(0.1), 1, true, old, nil)
			f.Seen(at(1), 1, empty, nil)
			if out := f.CallOff(1, "half of the readers died", nil); len(out) != 1 || out[0].Kind != CancelChange || out[0].Epoch != 3 {
				panic(out)
			}
			f.Seen(at(2), 1, old, nil)
		}, "called back", Listing{Role: Prefill, StartedAt: at(-100)}},
		{"it is gone", func(f *Follower) { f.Gone(at(2), 1) }, "it is gone", Listing{}},
	} {
		f := follow(t)
		f.Begin(at(0), 1, Decode, nil)
		c.play(f)
		e := f.Ended()
		if len(e) != 1 || e[0].Succeeded || e[0].Reason != c.why {
			t.Errorf("%s: %+v", c.name, e)
		}
		if f.Away() != 0 {
			t.Errorf("%s: the change goes on", c.name)
		}
		if ch := f.list[1]; ch != nil && ch.view != c.view {
			t.Errorf("%s: listed as %+v, want %+v", c.name, ch.view, c.view)
		}
		if c.why != "called back" && f.May(1) {
			t.Errorf("%s: no rest", c.name)
		}
		f.Tick(at(200), nil)
		if ch := f.list[1]; ch != nil && ch.now.Phase == Steady && !f.May(1) {
			t.Errorf("%s: it rests for ever", c.name)
		}
	}
}

// A router that starts while a change is half made follows it as if it were its own.
func TestChangeOfAnotherRouter(t *testing.T) {
	f := NewFollower(limits)
	out := f.Seen(at(0), 1, RoleState{Role: Prefill, Epoch: 3, To: Decode, Phase: Changing, StartedAt: at(-100)}, nil)
	if len(out) != 1 || !out[0].Listing.Draining || f.Away() != 1 {
		t.Errorf("%+v", out)
	}
	f.Seen(at(3), 1, RoleState{Role: Decode, Epoch: 4, StartedAt: at(3)}, nil)
	if e := last(t, f); !e.Succeeded {
		t.Errorf("%+v", e)
	}
}

// truth is an engine: it grants one change from its epoch, and refuses all else.
type truth struct {
	s     RoleState
	alive bool
}

func (e *truth) ask(to Stage, from Epoch) bool {
	if !e.alive || e.s.Phase != Steady || e.s.Epoch != from || e.s.Role == to {
		return false
	}
	e.s.Phase, e.s.To = Emptying, to
	return true
}

// Random routers, deaths, losses and delays: an engine changes only from the epoch that was asked from, a
// router never lists it as ready for a role other than the one that it last heard of, and when all is quiet
// every change has ended and every router knows the truth.
func TestManyRoutersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := t0
		e := &truth{s: RoleState{Role: Prefill, Epoch: 1, StartedAt: at(-100)}, alive: true}
		routers := make([]*Follower, 3)
		views := make([]Listing, 3)
		begun, ended := make([]int, 3), make([]int, 3)
		var mail []func() // on its way: it comes in any order, or never
		var do func(i int, acts []Action)
		do = func(i int, acts []Action) {
			for _, a := range acts {
				switch a.Kind {
				case UpdateListing:
					views[i] = a.Listing
				case RequestChange:
					mail = append(mail, func() {
						granted := e.ask(a.To, a.Epoch)
						s := e.s
						r := routers[i]
						mail = append(mail, func() {
							if routers[i] == r {
								do(i, r.Answered(now, 1, granted, s, nil))
							}
						})
					})
				case CancelChange:
					mail = append(mail, func() {
						if e.alive && e.s.Phase == Emptying && e.s.Epoch == a.Epoch {
							e.s.Phase = Steady
						}
					})
				}
			}
		}
		look := func(i int, s RoleState) {
			do(i, routers[i].Seen(now, 1, s, nil))
			c := routers[i].list[1]
			if !views[i].Draining && (c.now.Phase != Steady || views[i].Role != c.now.Role) {
				t.Fatalf("router %d lists it as %+v and has heard %+v", i, views[i], c.now)
			}
		}
		fresh := func(i int) {
			routers[i] = NewFollower(limits)
			begun[i], ended[i] = 0, 0
			look(i, e.s)
		}
		for i := range routers {
			fresh(i)
		}
		which := func() int { return rapid.IntRange(0, 2).Draw(t, "router") }
		tick := func() {
			for i, r := range routers {
				do(i, r.Tick(now, nil))
				for range r.Ended() {
					ended[i]++
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				i := which()
				to := Stage(rapid.IntRange(0, 1).Draw(t, "to"))
				if out, err := routers[i].Begin(now, 1, to, nil); err == nil {
					begun[i]++
					do(i, out)
					if !views[i].Draining {
						t.Fatal("the module may still send to an engine that is to change")
					}
				}
			},
			"mail": func(t *rapid.T) {
				if len(mail) > 0 {
					k := rapid.IntRange(0, len(mail)-1).Draw(t, "which")
					m := mail[k]
					mail = append(mail[:k], mail[k+1:]...)
					if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
						m()
					}
				}
			},
			"look": func(t *rapid.T) {
				if e.alive {
					look(which(), e.s)
				}
			},
			"engine goes on": func(t *rapid.T) {
				switch {
				case !e.alive:
				case e.s.Phase == Emptying:
					e.s.Phase = Changing
				case e.s.Phase == Changing:
					e.s = RoleState{Role: e.s.To, Epoch: e.s.Epoch + 1, StartedAt: now}
				}
			},
			"engine dies": func(t *rapid.T) { e.alive = false },
			"engine restarts": func(t *rapid.T) {
				if !e.alive {
					e.alive = true
					e.s = RoleState{Role: e.s.Role, Epoch: e.s.Epoch, StartedAt: now}
				}
			},
			"router restarts": func(t *rapid.T) { fresh(which()) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
				tick()
			},
			"call off": func(t *rapid.T) { i := which(); do(i, routers[i].CallOff(1, "", nil)) },
		})
		// Quiet: the mail is lost, the engine lives and ends what it began, and everybody looks.
		mail = nil
		now = now.Add(time.Millisecond)
		if !e.alive {
			e.s = RoleState{Role: e.s.Role, Epoch: e.s.Epoch, StartedAt: now}
		} else if e.s.Phase != Steady {
			e.s = RoleState{Role: e.s.To, Epoch: e.s.Epoch + 1, StartedAt: now}
		}
		for range 20 {
			now = now.Add(10 * time.Second)
			for i := range routers {
				look(i, e.s)
			}
			tick()
			mail = nil
		}
		for i, r := range routers {
			if r.Away() != 0 || !r.May(1) {
				t.Fatalf("router %d is left at step %v", i, r.list[1].step)
			}
			if views[i] != (Listing{Role: e.s.Role, StartedAt: e.s.StartedAt}) {
				t.Fatalf("router %d lists it as %+v, it is %+v", i, views[i], e.s)
			}
			if ended[i] < begun[i] {
				t.Fatalf("router %d began %d changes and %d have ended", i, begun[i], ended[i])
			}
		}
	})
}

// An engine of the list gets no work before it has said what it does: the list may be behind.
func TestListedUntilItSpeaks(t *testing.T) {
	f := NewFollower(limits)
	out := f.Listed(1, Prefill, nil)
	if len(out) != 1 || !out[0].Listing.Draining {
		t.Fatalf("%+v", out)
	}
	if out = f.Listed(1, Prefill, nil); len(out) != 0 {
		t.Errorf("told again: %+v", out)
	}
	if out = f.Seen(at(1), 1, RoleState{Role: Prefill, Epoch: 1}, nil); len(out) != 1 || out[0].Listing != (Listing{Role: Prefill}) {
		t.Errorf("%+v", out)
	}
	if out = f.Listed(1, Decode, nil); len(out) != 0 {
		t.Errorf("its own word is overruled: %+v", out)
	}
}

// A later start comes before the epoch: an engine that was set up anew counts from 1 again. What was overtaken
// is passed over all the same.
func TestWordsInDisorder(t *testing.T) {
	f := follow(t)
	if out := f.Seen(at(1), 1, RoleState{Role: Decode, Epoch: 1, StartedAt: at(-1)}, nil); len(out) != 1 || out[0].Listing.Role != Decode {
		t.Errorf("set up anew: %+v", out)
	}
	for _, old := range []RoleState{{Role: Prefill, Epoch: 1, StartedAt: at(-2)}, {Role: Prefill, Epoch: 0, StartedAt: at(-1)}} {
		if out := f.Seen(at(2), 1, old, nil); len(out) != 0 {
			t.Errorf("%+v was believed: %+v", old, out)
		}
	}
}

// An engine whose word is too old gets no work, as another router may have changed it; where most are silent
// it is the way to them that fails, and none is doubted.
func TestOldWordsAreDoubted(t *testing.T) {
	l := limits
	l.CheckInterval, l.ReplyTimeout = time.Second, 100*time.Millisecond
	f := NewFollower(l)
	for id := range uint64(4) {
		f.Seen(at(0), id, RoleState{Role: Prefill, Epoch: 1}, nil)
	}
	speak := func(s float64, ids ...uint64) (out []Action) {
		for _, id := range ids {
			out = f.Seen(at(s), id, RoleState{Role: Prefill, Epoch: 1}, out)
		}
		return f.Tick(at(s), out)
	}
	if out := speak(3.9, 0, 1, 2); len(out) != 0 {
		t.Errorf("%+v", out)
	}
	out := speak(4, 0, 1, 2)
	if len(out) != 1 || out[0].Engine != 3 || !out[0].Listing.Draining || f.May(3) {
		t.Errorf("%+v", out)
	}
	if out := speak(5, 0, 1, 2, 3); len(out) != 1 || out[0].Listing.Draining || !f.May(3) {
		t.Errorf("it speaks again: %+v", out)
	}
	if out := speak(20, 0); len(out) != 0 {
		t.Errorf("most are silent: %+v", out)
	}
	if n := l.NoticePeriod(); n <= l.doubt()+l.ReplyTimeout {
		t.Errorf("a change is announced for %v, a word believed for %v", n, l.doubt())
	}
}
