package guard

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"mintdoor/decide"
	_ "mintdoor/internal/seeded"

	"pgregory.net/rapid"
)

// request returns a complete request whose client waits for an hour.
func request(g *Guard) *Request {
	r := g.Receive()
	r.Complete("a", time.Now().Add(time.Hour))
	return r
}

// expect checks the number of violations of one kind, and that there are no violations of other kinds.
func expect(t *testing.T, g *Guard, kind ViolationKind, n int64) {
	t.Helper()
	if got := g.Violations()[kind.String()]; got != n || g.ViolationCount() != n {
		t.Errorf("violations %v, want %d of %v", g.Violations(), n, kind)
	}
}

// begin starts an attempt that the guard has to allow.
func begin(t *testing.T, r *Request, l Limits) *Attempt {
	t.Helper()
	a, err := r.BeginAttempt(l)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Conditions that forbid an attempt are checked when it starts and again before its last byte, and neither denial
// counts as a violation.
func TestDenials(t *testing.T) {
	for name, tt := range map[string]struct {
		forbid         func(g *Guard, r *Request)
		limits         Limits
		want           Denial
		onlyAtLastByte bool // the condition is only checked at the last byte
	}{
		"answered":                          {forbid: func(_ *Guard, r *Request) { r.Decide("failed", "") }, want: Answered},
		"client left":                       {forbid: func(_ *Guard, r *Request) { r.ClientLeft() }, want: ClientLeft},
		"client's connection has ended":     {forbid: func(_ *Guard, r *Request) { r.SetClientCheck(func() bool { return true }) }, want: ClientLeft},
		"shutdown accepts no more requests": {forbid: func(g *Guard, _ *Request) { g.ShutDown(time.Now().Add(-time.Hour)) }, want: ShuttingDown},
		"window":                            {limits: Limits{SendBy: time.Now().Add(-time.Hour)}, want: TooLate, onlyAtLastByte: true},
		"deadline":                          {forbid: func(_ *Guard, r *Request) { r.LimitDeadline(time.Now().Add(-time.Second)) }, want: TooLate, onlyAtLastByte: true},
		"engine withdrawn":                  {limits: Limits{WithdrawnFor: func() (time.Duration, bool) { return 0, true }}, want: Withdrawn, onlyAtLastByte: true},
	} {
		t.Run(name, func(t *testing.T) {
			if tt.forbid == nil {
				tt.forbid = func(*Guard, *Request) {}
			}
			g := New(nil)
			r := request(g)
			tt.forbid(g, r)
			a, err := r.BeginAttempt(tt.limits)
			if tt.onlyAtLastByte && err == nil {
				err = a.MaySend(0)
			}
			if !errors.Is(err, tt.want) {
				t.Errorf("when it starts: %v, want %v", err, tt.want)
			}
			if tt.want == ShuttingDown { // the request arrived in time, as far as its attempt could know
				return
			}
			g = New(nil)
			r = request(g)
			a = begin(t, r, tt.limits)
			tt.forbid(g, r)
			if err := a.MaySend(0); !errors.Is(err, tt.want) {
				t.Errorf("at the last byte: %v, want %v", err, tt.want)
			}
			if n := g.ViolationCount(); n != 0 || g.Denials()[denialNames[tt.want]] == 0 {
				t.Errorf("%d violations; denials %v", n, g.Denials())
			}
		})
	}
}

// An engine is never told more time than the client has left: a request that was written too long ago has to be
// written again.
func TestAdvertisedTimeIsNotOutdated(t *testing.T) {
	g := New(nil)
	r := request(g)
	a := begin(t, r, Limits{})
	if err := a.MaySend(2 * time.Hour); !errors.Is(err, Stale) {
		t.Errorf("more time than is left: %v", err)
	}
	if err := a.MaySend(time.Minute); err != nil {
		t.Errorf("less time than is left: %v", err)
	}
}

// Only one attempt is in flight at a time; attempt numbers count all attempts that were asked for.
func TestOneAttemptAtATime(t *testing.T) {
	g := New(nil)
	r := request(g)
	first := begin(t, r, Limits{})
	if a, err := r.BeginAttempt(Limits{}); !errors.Is(err, AnotherInFlight) || a.Number != 1 {
		t.Errorf("while another is in flight: %v, number %d", err, a.Number)
	}
	if a, err := r.SkipAttempt(Limits{}, errors.New("not worth starting")); err == nil || a.Number != 2 {
		t.Errorf("skipped: %v, number %d", err, a.Number)
	}
	first.End("reset", nil)
	second := begin(t, r, Limits{})
	if err := first.MaySend(0); !errors.Is(err, Answered) {
		t.Errorf("the first attempt after its end: %v", err)
	}
	if first.GrantFirstToken() || !second.GrantFirstToken() || second.GrantFirstToken() {
		t.Error("the first token was not granted exactly once, to the attempt in flight")
	}
	if a, err := r.BeginAttempt(Limits{}); err == nil {
		t.Errorf("attempt %d started during a stream", a.Number)
	}
	second.End("served", nil)
	if !r.Decide("served", "") || r.Decide("failed", "") {
		t.Error("the final answer was not decided exactly once")
	}
	if a, err := r.BeginAttempt(Limits{}); !errors.Is(err, Answered) {
		t.Errorf("attempt %d after the answer: %v", a.Number, err)
	}
	if g.ViolationCount() != 0 {
		t.Error(g.Violations())
	}
}

// A forbidden step that happened is counted under its kind, and logged in one line with the request's id.
func TestViolations(t *testing.T) {
	late := time.Duration(decide.LateAnswerGrace) + time.Second
	for kind, do := range map[ViolationKind]func(*Guard, *Request){
		ClosedUnanswered: func(_ *Guard, r *Request) { r.Closed("") },
		SecondAnswer: func(_ *Guard, r *Request) {
			r.BeginAnswer("200")
			if r.BeginAnswer("500") {
				t.Error("a second answer was allowed")
			}
		},
		LateAnswer: func(_ *Guard, r *Request) {
			r.Complete("a", time.Now().Add(-late))
			r.BeginAnswer("200")
		},
		UnansweredAtEnd: func(g *Guard, _ *Request) { g.Close() },
		UnguardedSend:   func(_ *Guard, r *Request) { begin(t, r, Limits{}).Sent(0) },
		SentAfterLeave: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{})
			a.allowedAt, r.leftAt = time.Now(), time.Now().Add(-time.Second)
			a.Sent(0)
		},
		SecondCopy: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{})
			a.allowedAt, r.current = time.Now(), &Attempt{}
			a.Sent(0)
		},
		SentAfterAnswer: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{})
			a.allowedAt = time.Now()
			r.Decide("failed", "")
			r.decidedAt = time.Now().Add(-time.Second)
			a.Sent(0)
		},
		SentPastWindow: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{SendBy: time.Now().Add(-time.Second)})
			a.allowedAt = time.Now()
			a.Sent(0)
		},
		SentToWithdrawn: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{DrainGrace: time.Second, WithdrawnFor: func() (time.Duration, bool) { return 2 * time.Second, true }})
			a.allowedAt = time.Now()
			a.Sent(0)
		},
		SentInShutdown: func(g *Guard, r *Request) {
			a := begin(t, r, Limits{})
			a.allowedAt = time.Now()
			g.ShutDown(time.Now().Add(-time.Second))
			a.Sent(0)
		},
		DeadlineOverstated: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{})
			a.allowedAt = time.Now()
			a.Sent(2 * time.Hour)
		},
		HeldTooLong: func(_ *Guard, r *Request) {
			r.HoldStarted(time.Now().Add(-2 * time.Second))
			r.Released(time.Second)
			r.Released(time.Second) // nothing is held any more
		},
	} {
		t.Run(kind.String(), func(t *testing.T) {
			var log strings.Builder
			g := New(slog.New(slog.NewTextHandler(&log, nil)))
			do(g, request(g))
			expect(t, g, kind, 1)
			line := `msg="rule violated" kind=` + kind.String() + ` request=a `
			if strings.Count(log.String(), line) != 1 {
				t.Errorf("not logged exactly once with its id: %s", log.String())
			}
		})
	}
	if int(violationKinds) != len(kindNames) {
		t.Error("a violation kind has no name")
	}
}

// A request whose client has left, one that was answered, and one without a connection of its own are closed without
// a violation.
func TestClosedWithoutViolation(t *testing.T) {
	g := New(nil)
	r := request(g)
	r.ClientLeft()
	r.Closed("")
	r = request(g)
	r.Decide("failed", "")
	r.ClientLeft() // while the answer is decided
	r.Closed("")
	r = request(g)
	r.BeginAnswer("503")
	r.Closed("")
	r.Closed("again")
	r = request(g)
	r.Decide("served", "")
	r.Finish("")
	g.Close()
	if g.ViolationCount() != 0 || g.Open() != 0 {
		t.Errorf("%v, %d open", g.Violations(), g.Open())
	}
}

// Steps that are late because the process was paused are not counted as violations.
func TestProcessPause(t *testing.T) {
	g := New(nil)
	r := g.Receive()
	r.Complete("a", time.Now().Add(-2*time.Second))
	g.ProcessPaused(3 * time.Second)
	r.BeginAnswer("504")
	r = request(g)
	a := begin(t, r, Limits{SendBy: time.Now().Add(-time.Second)})
	a.allowedAt = time.Now().Add(-time.Second)
	a.Sent(0)
	if g.ViolationCount() != 0 {
		t.Error(g.Violations())
	}
}

// The hold timer starts at the end of the last attempt in flight, and stops when the holds are used up.
func TestHoldTimer(t *testing.T) {
	g := New(nil)
	for _, do := range []func(r *Request){
		func(r *Request) { r.HoldStarted(time.Now().Add(-time.Second)) },
		func(r *Request) {
			r.HoldStarted(time.Now().Add(-time.Hour))
			r.HoldUsed()
		},
		func(r *Request) {
			r.HoldStarted(time.Now().Add(-time.Hour))
			r.HoldConsumed()
		},
		func(r *Request) { r.HoldUsed() },
	} {
		r := request(g)
		do(r)
		r.Released(time.Second)
	}
	if g.ViolationCount() != 0 {
		t.Error(g.Violations())
	}
}

// A request whose time is over gets its final answer from whoever notices first, unless its answer has started.
func TestExpire(t *testing.T) {
	g := New(nil)
	r := request(g)
	a := begin(t, r, Limits{})
	if !r.Expire("late") || r.Expire("late") || r.Decide("served", "") || a.GrantFirstToken() {
		t.Error("more than one answer was allowed")
	}
	if err := a.MaySend(0); !errors.Is(err, Answered) {
		t.Errorf("after the answer: %v", err)
	}
	r = request(g)
	if begin(t, r, Limits{}).GrantFirstToken(); r.Expire("late") {
		t.Error("a request expired after its answer had started")
	}
}

// A full event trail keeps its first and last events and says that some are left out.
func TestTrailIsBounded(t *testing.T) {
	g := New(nil)
	r := request(g)
	for range 10 * maxTrailEvents {
		begin(t, r, Limits{Engine: "e"}).End("reset", nil)
	}
	r.Decide("failed", "no engine answered")
	text := r.Trail()
	if len(r.trail.events) > maxTrailEvents || !strings.HasPrefix(text, "received") || !strings.Contains(text, "decided(failed no engine answered)") ||
		!strings.Contains(text, "left out") {
		t.Error(text)
	}
}

// In any order of steps, a request has one final answer, one attempt in flight at a time, nothing sent after the
// answer or after its client has left, and no violation as long as every step is asked for first.
func TestStepsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New(nil)
		r := g.Receive()
		var inFlight *Attempt
		answers, decisions, left, closed := 0, 0, false, false
		t.Repeat(map[string]func(*rapid.T){
			"complete": func(*rapid.T) { r.Complete("a", time.Now().Add(time.Hour)) },
			"begin": func(t *rapid.T) {
				a, err := r.BeginAttempt(Limits{})
				if err == nil && (inFlight != nil || decisions > 0 || left || closed) {
					t.Fatalf("an attempt was allowed: in flight %v, decisions %d, left %v, closed %v", inFlight != nil, decisions, left, closed)
				}
				if err == nil {
					inFlight = a
				}
			},
			"send": func(t *rapid.T) {
				if inFlight == nil {
					t.Skip()
				}
				if err := inFlight.MaySend(0); err == nil {
					if decisions > 0 || left || closed {
						t.Fatal("a last byte was allowed")
					}
					inFlight.Sent(0)
				}
			},
			"grant": func(t *rapid.T) {
				if inFlight != nil && inFlight.GrantFirstToken() && (decisions > 0 || closed) {
					t.Fatal("a first token was allowed")
				}
			},
			"end": func(*rapid.T) {
				if inFlight != nil {
					inFlight.End("reset", nil)
					inFlight = nil
				}
			},
			"decide": func(*rapid.T) {
				if r.Decide("failed", "") {
					decisions++
				}
			},
			"leave": func(*rapid.T) {
				r.ClientLeft()
				left = true
			},
			"answer": func(*rapid.T) {
				if answers == 0 && r.BeginAnswer("500") {
					answers++
				}
			},
			"close": func(*rapid.T) {
				if answers > 0 || left {
					r.Closed("")
					closed = true
				}
			},
			"": func(t *rapid.T) {
				if decisions > 1 || g.ViolationCount() > 0 {
					t.Fatalf("%d final answers, violations %v", decisions, g.Violations())
				}
			},
		})
	})
}
