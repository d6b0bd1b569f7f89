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

// request is a complete one whose client waits for an hour.
func request(g *Guard) *Request {
	r := g.Receive()
	r.Complete("a", time.Now().Add(time.Hour))
	return r
}

// expect checks the counts of one kind of violation, and that there is no other.
func expect(t *testing.T, g *Guard, kind ViolationKind, n int64) {
	t.Helper()
	if got := g.Violations()[kind.String()]; got != n || g.ViolationCount() != n {
		t.Errorf("violations %v, want %d of %v", g.Violations(), n, kind)
	}
}

// begin begins an attempt that has to be allowed.
func begin(t *testing.T, r *Request, l Limits) *Attempt {
	t.Helper()
	a, err := r.BeginAttempt(l)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// What forbids an attempt is seen when it begins and again in the last moment, and neither is a violation.
func TestDenials(t *testing.T) {
	for name, tt := range map[string]struct {
		forbid func(g *Guard, r *Request)
		limits Limits
		want   Denial
		begins bool // it is seen only at the last byte
	}{
		"answered":                      {forbid: func(_ *Guard, r *Request) { r.Decide("failed", "") }, want: Answered},
		"client left":                   {forbid: func(_ *Guard, r *Request) { r.ClientLeft() }, want: ClientLeft},
		"client's connection has ended": {forbid: func(_ *Guard, r *Request) { r.SetClientCheck(func() bool { return true }) }, want: ClientLeft},
		"the shutdown takes nothing":    {forbid: func(g *Guard, _ *Request) { g.ShutDown(time.Now().Add(-time.Hour)) }, want: ShuttingDown},
		"window":                        {limits: Limits{SendBy: time.Now().Add(-time.Hour)}, want: TooLate, begins: true},
		"deadline":                      {forbid: func(_ *Guard, r *Request) { r.LimitDeadline(time.Now().Add(-time.Second)) }, want: TooLate, begins: true},
		"engine withdrawn":              {limits: Limits{WithdrawnFor: func() (time.Duration, bool) { return 0, true }}, want: Withdrawn, begins: true},
	} {
		t.Run(name, func(t *testing.T) {
			if tt.forbid == nil {
				tt.forbid = func(*Guard, *Request) {}
			}
			g := New(nil)
			r := request(g)
			tt.forbid(g, r)
			a, err := r.BeginAttempt(tt.limits)
			if tt.begins && err == nil {
				err = a.MaySend(0)
			}
			if !errors.Is(err, tt.want) {
				t.Errorf("at the begin: %v, want %v", err, tt.want)
			}
			if tt.want == ShuttingDown { // it came in time, as far as its attempt could know
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

// An engine is never told more time than the client has left: what was written too long ago has to be written anew.
func TestStaleTimes(t *testing.T) {
	g := New(nil)
	r := request(g)
	a := begin(t, r, Limits{})
	if err := a.MaySend(2 * time.Hour); !errors.Is(err, Stale) {
		t.Errorf("more than there is: %v", err)
	}
	if err := a.MaySend(time.Minute); err != nil {
		t.Errorf("less than there is: %v", err)
	}
}

// One attempt at a time is out; numbers count all that were asked for.
func TestOneAttemptAtATime(t *testing.T) {
	g := New(nil)
	r := request(g)
	first := begin(t, r, Limits{})
	if a, err := r.BeginAttempt(Limits{}); !errors.Is(err, AnotherInFlight) || a.Number != 1 {
		t.Errorf("beside another: %v, number %d", err, a.Number)
	}
	if a, err := r.SkipAttempt(Limits{}, errors.New("no use")); err == nil || a.Number != 2 {
		t.Errorf("skipped: %v, number %d", err, a.Number)
	}
	first.End("reset", nil)
	second := begin(t, r, Limits{})
	if err := first.MaySend(0); !errors.Is(err, Answered) {
		t.Errorf("the first after its end: %v", err)
	}
	if first.GrantFirstToken() || !second.GrantFirstToken() || second.GrantFirstToken() {
		t.Error("the first token belongs to the attempt that is out, once")
	}
	if a, err := r.BeginAttempt(Limits{}); err == nil {
		t.Errorf("beside a stream attempt %d began", a.Number)
	}
	second.End("served", nil)
	if !r.Decide("served", "") || r.Decide("failed", "") {
		t.Error("the final answer is decided once")
	}
	if a, err := r.BeginAttempt(Limits{}); !errors.Is(err, Answered) {
		t.Errorf("attempt %d after the answer: %v", a.Number, err)
	}
	if g.ViolationCount() != 0 {
		t.Error(g.Violations())
	}
}

// What has happened although a rule forbids it is counted by its kind, with one log line that has the request's id.
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
			a.cleared, r.left = time.Now(), time.Now().Add(-time.Second)
			a.Sent(0)
		},
		SecondCopy: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{})
			a.cleared, r.current = time.Now(), &Attempt{}
			a.Sent(0)
		},
		SentAfterAnswer: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{})
			a.cleared = time.Now()
			r.Decide("failed", "")
			r.decided = time.Now().Add(-time.Second)
			a.Sent(0)
		},
		SentPastWindow: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{SendBy: time.Now().Add(-time.Second)})
			a.cleared = time.Now()
			a.Sent(0)
		},
		SentToWithdrawn: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{DrainGrace: time.Second, WithdrawnFor: func() (time.Duration, bool) { return 2 * time.Second, true }})
			a.cleared = time.Now()
			a.Sent(0)
		},
		SentInShutdown: func(g *Guard, r *Request) {
			a := begin(t, r, Limits{})
			a.cleared = time.Now()
			g.ShutDown(time.Now().Add(-time.Second))
			a.Sent(0)
		},
		DeadlineOverstated: func(_ *Guard, r *Request) {
			a := begin(t, r, Limits{})
			a.cleared = time.Now()
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
				t.Errorf("not logged once with its id: %s", log.String())
			}
		})
	}
	if int(kinds) != len(kindNames) {
		t.Error("a kind has no name")
	}
}

// A request whose client has gone, one that was answered, and one without a connection of its own are closed without a
// violation.
func TestClosedWithoutViolation(t *testing.T) {
	g := New(nil)
	r := request(g)
	r.ClientLeft()
	r.Closed("")
	r = request(g)
	r.Decide("failed", "")
	r.ClientLeft() // in the moment of the answer
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

// What is late since the process did not run is no violation of its own making.
func TestHeldUp(t *testing.T) {
	g := New(nil)
	r := g.Receive()
	r.Complete("a", time.Now().Add(-2*time.Second))
	g.ProcessPaused(3 * time.Second)
	r.BeginAnswer("504")
	r = request(g)
	a := begin(t, r, Limits{SendBy: time.Now().Add(-time.Second)})
	a.cleared = time.Now().Add(-time.Second)
	a.Sent(0)
	if g.ViolationCount() != 0 {
		t.Error(g.Violations())
	}
}

// What is held counts from the last attempt that was out, and not beyond its use.
func TestHeldInTime(t *testing.T) {
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

// A request whose time is over gets its final answer from whoever sees that first, unless its answer has begun.
func TestExpire(t *testing.T) {
	g := New(nil)
	r := request(g)
	a := begin(t, r, Limits{})
	if !r.Expire("late") || r.Expire("late") || r.Decide("served", "") || a.GrantFirstToken() {
		t.Error("more than one answer was allowed")
	}
	if err := a.MaySend(0); !errors.Is(err, Answered) {
		t.Errorf("sent after the answer: %v", err)
	}
	r = request(g)
	if begin(t, r, Limits{}).GrantFirstToken(); r.Expire("late") {
		t.Error("an answer that had begun has expired")
	}
}

// A trail keeps its first and its last events and says that some are left out.
func TestTrailIsBounded(t *testing.T) {
	g := New(nil)
	r := request(g)
	for range 10 * maxTrail {
		begin(t, r, Limits{Engine: "e"}).End("reset", nil)
	}
	r.Decide("failed", "no engine answered")
	text := r.Trail()
	if len(r.trail.events) > maxTrail || !strings.HasPrefix(text, "received") || !strings.Contains(text, "decided(failed no engine answered)") ||
		!strings.Contains(text, "left out") {
		t.Error(text)
	}
}

// Whatever the order of its steps, a request has one final answer, one attempt out at a time, nothing sent after the answer
// or the leaving, and no violation as long as those who act ask first.
func TestStepsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New(nil)
		r := g.Receive()
		var out *Attempt
		answers, decisions, left, closed := 0, 0, false, false
		t.Repeat(map[string]func(*rapid.T){
			"complete": func(*rapid.T) { r.Complete("a", time.Now().Add(time.Hour)) },
			"begin": func(t *rapid.T) {
				a, err := r.BeginAttempt(Limits{})
				if err == nil && (out != nil || decisions > 0 || left || closed) {
					t.Fatalf("an attempt was allowed: out %v, decided %d, left %v, closed %v", out != nil, decisions, left, closed)
				}
				if err == nil {
					out = a
				}
			},
			"send": func(t *rapid.T) {
				if out == nil {
					t.Skip()
				}
				if err := out.MaySend(0); err == nil {
					if decisions > 0 || left || closed {
						t.Fatal("a last byte was allowed")
					}
					out.Sent(0)
				}
			},
			"grant": func(t *rapid.T) {
				if out != nil && out.GrantFirstToken() && (decisions > 0 || closed) {
					t.Fatal("a first token was allowed")
				}
			},
			"end": func(*rapid.T) {
				if out != nil {
					out.End("reset", nil)
					out = nil
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
