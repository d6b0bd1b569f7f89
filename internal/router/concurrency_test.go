package router

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"
)

// A client may leave while the loop is busy with its request, so that the message about it waits behind the module's
// decision. The attempt that the module decides on must not start then.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	p1 := fleet()[2]
	deciding, left := make(chan bool), make(chan bool)
	outcomes := make(chan decide.Outcome, 10)
	g := start(t, &fakeEngines{}, withModule(func(_ decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
		switch ev.Kind {
		case decide.Arrived:
			deciding <- true
			<-left
			out = append(out, decide.Action{Kind: decide.Send, Request: ev.Request, Server: p1.ID()})
		case decide.AttemptEnded:
			outcomes <- ev.Outcome
		}
		return out
	}))
	q := g.submit(job(0))
	<-deciding
	abandoned := make(chan bool)
	go func() { q.Abandon(); close(abandoned) }()
	<-abandoned // queued behind the decision
	close(left)
	if o := <-outcomes; o != decide.NotStarted {
		t.Errorf("outcome %d, want not started", o)
	}
	if _, end := g.all(q); end.Kind != Gone {
		t.Errorf("%+v", end)
	}
	g.eventually("the row is removed", func() bool { return g.Stats().Open == 0 })
	if n := g.Stats().Sends; n != 0 {
		t.Errorf("%d attempts started", n)
	}
}

// A failure of discovery is logged once when it begins and once when it ends, however many calls fail in between.
func TestDiscoveryFailingIsLoggedOnce(t *testing.T) {
	var log syncBuffer
	g := start(t, &fakeEngines{}, func(c *Config) { c.Log = slog.New(slog.NewTextHandler(&log, nil)) })
	for range 2 {
		for range 20 {
			g.Update(discovery.Update{Err: errors.New("silent")})
		}
		g.Update(discovery.Update{Engines: fleet()})
	}
	g.eventually("both failures are over", func() bool { return strings.Count(log.String(), "discovery answers again") == 2 })
	if n := strings.Count(log.String(), "discovery fails"); n != 2 {
		t.Errorf("logged %d times:\n%s", n, log.String())
	}
	if n := g.Stats().Engines; n != 4 {
		t.Errorf("%d engines are left of the last server list", n)
	}
}

// A writer may fetch a KV state although its attempt was given up; the next writer then reports that the state is
// gone. Some engine still holds it, and it has to be released when the request is done.
func TestStateFetchedByWriterAfterTimeout(t *testing.T) {
	p1, d1, d2 := fleet()[2], fleet()[0], fleet()[1]
	fake := &fakeEngines{decode: func(_ context.Context, addr string, _ *engine.Call, _ func(string) error) engine.Result {
		if addr == d1.Addr {
			return engine.Result{Outcome: decide.TimedOut, Report: engine.NoReport(), Err: engine.ErrTimedOut}
		}
		return engine.Result{Outcome: decide.Full, NoState: true, Report: engine.NoReport(), Err: errors.New("410")}
	}}
	module := withModule(func(_ decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
		send := func(e discovery.Engine) []decide.Action {
			return append(out, decide.Action{Kind: decide.Send, Request: ev.Request, Server: e.ID()})
		}
		switch {
		case ev.Kind == decide.Arrived:
			return send(p1)
		case ev.Kind != decide.AttemptEnded || ev.Closed:
			return out
		case ev.Outcome == decide.ReadDone:
			return send(d1)
		case ev.Outcome == decide.TimedOut:
			return send(d2)
		}
		return append(out, decide.Action{Kind: decide.Refuse, Request: ev.Request},
			decide.Action{Kind: decide.Release, Request: ev.Request})
	})
	g := start(t, fake, func(cfg *Config) { cfg.HoldMode = PerRequest; module(cfg) })
	j := job(0)
	j.Name = "client-1"
	if _, end := g.all(g.submit(j)); end.Kind != Refused || end.Attempts != 3 {
		t.Errorf("%+v", end)
	}
	g.eventually("the state is released", func() bool { return len(fake.releasedStates()) == 1 })
	if got := fake.releasedStates()[0]; got != "client-1" {
		t.Errorf("released %q", got)
	}
}

// syncBuffer is a log that a test can read while it is written.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// A shutdown limits the time of open and new requests: no attempt and no engine gets more time than is left until the
// router gives up, and requests whose answer has not started by then are answered, even if the module does nothing.
func TestShutdownLimitsOpenRequests(t *testing.T) {
	p1 := fleet()[2]
	calls := make(chan *engine.Call, 10)
	fake := &fakeEngines{prefill: func(ctx context.Context, _ string, q *engine.Call) engine.Result {
		calls <- q
		return wait(ctx)
	}}
	g := start(t, fake, withModule(func(_ decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
		if ev.Kind == decide.Arrived {
			out = append(out, decide.Action{Kind: decide.Send, Request: ev.Request, Server: p1.ID()})
		}
		return out
	}))
	long := job(0)
	long.Deadline = time.Now().Add(time.Hour)
	before := g.submit(long)
	<-calls
	plan := g.ShutDown(time.Now().Add(-3 * time.Second))
	after := g.submit(long)
	if q := <-calls; q.ResponseDeadline.After(plan.GiveUpBy) {
		t.Errorf("an engine was told %v more than the time left", q.ResponseDeadline.Sub(plan.GiveUpBy))
	}
	for _, q := range []*Request{before, after} {
		if _, end := g.all(q); end.Kind != Failed || !end.TimedOut {
			t.Errorf("%+v", end)
		}
	}
	if now := time.Now(); now.Before(plan.GiveUpBy) {
		t.Errorf("answered %v too early", plan.GiveUpBy.Sub(now))
	}
	g.eventually("the rows are removed", func() bool { return g.Stats().Open == 0 })
}
