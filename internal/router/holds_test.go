package router

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"
)

// With HoldMode PerRequest, nothing is released while an attempt in flight may still produce a hold that the release
// would drop; when the request is done, one call releases everything.
func TestHoldsPerRequest(t *testing.T) {
	var mu sync.Mutex
	p1, p2, d1 := fleet()[2], fleet()[3], fleet()[0]
	calls := func(f *fakeEngines) (released, calledOff int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.released), f.cancelled
	}
	for _, c := range []struct {
		name                string
		reads               []decide.Outcome // of the first reader, then of the second
		write               decide.Outcome
		released, calledOff int
		later               int // reads that may still finish although the answer has started
	}{
		{"served", []decide.Outcome{decide.ReadDone}, decide.Served, 0, 0, 0},
		{"a read timed out, then served", []decide.Outcome{decide.TimedOut, decide.ReadDone}, decide.Served, 0, 0, 1},
		{"a read timed out, then a stream that broke", []decide.Outcome{decide.TimedOut, decide.ReadDone}, decide.Reset, 0, 0, 1},
		{"a read timed out, and the next refused", []decide.Outcome{decide.TimedOut, decide.Full}, 0, 0, 1, 0},
		// One call releases what both reads have left.
		{"two reads with unknown outcomes", []decide.Outcome{decide.TimedOut, decide.Reset}, 0, 0, 1, 0},
		{"a read reset, then the write failed", []decide.Outcome{decide.Reset, decide.ReadDone}, decide.Error, 0, 1, 0},
		{"read, and the write refused", []decide.Outcome{decide.ReadDone}, decide.Full, 1, 0, 0},
		{"nothing read", []decide.Outcome{decide.Full, decide.ConnectFailed}, 0, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := 0
			fake := &fakeEngines{}
			early := false
			fake.prefill = func(_ context.Context, addr string, q *engine.Call) engine.Result {
				mu.Lock()
				o := c.reads[n]
				n++
				mu.Unlock()
				if r, off := calls(fake); r+off > 0 {
					mu.Lock()
					early = true
					mu.Unlock()
				}
				if o == decide.ReadDone {
					return readDone(addr, q)
				}
				return engine.Result{Outcome: o, Report: engine.NoReport(), Err: errors.New("scripted outcome")}
			}
			fake.decode = func(ctx context.Context, _ string, _ *engine.Call, sink func(string) error) engine.Result {
				if r, off := calls(fake); r+off > 0 {
					mu.Lock()
					early = true
					mu.Unlock()
				}
				if c.write == decide.Served {
					return stream(ctx, sink, 1)
				}
				if c.write == decide.Reset { // after its first token, which releases everything
					sink("a ")
				}
				return engine.Result{Outcome: c.write, Report: engine.NoReport(), Err: errors.New("scripted outcome")}
			}
			module := withModule(func(_ decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
				switch {
				case ev.Kind == decide.Arrived:
					out = append(out, decide.Action{Kind: decide.Send, Request: ev.Request, Server: p1.ID()})
				case ev.Kind != decide.AttemptEnded || ev.Closed:
				case ev.Outcome == decide.ReadDone:
					out = append(out, decide.Action{Kind: decide.Send, Request: ev.Request, Server: d1.ID()})
				case ev.Server == p1.ID() && len(c.reads) > 1: // as the module does before it sends another read
					out = append(out, decide.Action{Kind: decide.Release, Request: ev.Request},
						decide.Action{Kind: decide.Send, Request: ev.Request, Server: p2.ID()})
				default:
					out = append(out, decide.Action{Kind: decide.Fail, Request: ev.Request},
						decide.Action{Kind: decide.Release, Request: ev.Request})
				}
				return out
			})
			g := start(t, fake, func(cfg *Config) { cfg.HoldMode = PerRequest; module(cfg) })
			j := job(0)
			j.Name = "client-1"
			g.all(g.submit(j))
			g.eventually("the request is done", func() bool { return g.Stats().Open == 0 })
			g.eventually("all holds are released", func() bool {
				r, off := calls(fake)
				return r == c.released && off == c.calledOff
			})
			g.stop()
			<-g.Stopped()
			if r, off := calls(fake); r != c.released || off != c.calledOff || fake.cancelledLater != c.later {
				t.Errorf("released %d, cancelled %d, %d that may still finish", r, off, fake.cancelledLater)
			}
			mu.Lock()
			defer mu.Unlock()
			if early {
				t.Error("a hold was released while an attempt was in flight")
			}
			for _, name := range fake.released { // at the engine that holds it, under the name used there
				if name != "kv-client-1" {
					t.Errorf("released %q", name)
				}
			}
		})
	}
}

// Only one open request at a time may have a name. It is free again when that request is done, unless that may have run.
func TestNamesOfOpenRequests(t *testing.T) {
	gate := make(chan bool)
	g := start(t, &fakeEngines{decode: func(ctx context.Context, _ string, _ *engine.Call, sink func(string) error) engine.Result {
		<-gate
		return stream(ctx, sink, 1)
	}}, func(cfg *Config) { cfg.HoldMode = PerRequest })
	j := job(0)
	j.Name = "same"
	first := g.submit(j)
	if _, err := g.Submit(j); !errors.Is(err, ErrDuplicateName) {
		t.Errorf("the second request: %v", err)
	}
	other := job(0)
	other.Name = "other"
	second := g.submit(other)
	close(gate)
	for _, q := range []*Request{first, second} {
		if _, end := g.all(q); end.Kind != Served {
			t.Errorf("%+v", end)
		}
	}
	g.eventually("over", func() bool { return g.Stats().Open == 0 })
	if _, err := g.Submit(j); !errors.Is(err, ErrDuplicateName) {
		t.Errorf("after the first was served: %v", err)
	}
}

// A request whose writers have all refused it has had no effect: its name may come again.
func TestNameOfRequestThatHasNotRunIsFree(t *testing.T) {
	var serves atomic.Bool
	g := start(t, &fakeEngines{decode: func(ctx context.Context, _ string, _ *engine.Call, sink func(string) error) engine.Result {
		if !serves.Load() {
			return engine.Result{Outcome: decide.Full, Report: engine.NoReport()}
		}
		return stream(ctx, sink, 1)
	}}, func(cfg *Config) { cfg.HoldMode = PerRequest })
	j := job(0)
	j.Name = "same"
	if _, end := g.all(g.submit(j)); end.Kind != Refused {
		t.Fatalf("%+v", end)
	}
	g.eventually("over", func() bool { return g.Stats().Open == 0 })
	serves.Store(true)
	q, err := g.Submit(j)
	if err != nil {
		t.Fatalf("after the first was refused: %v", err)
	}
	g.all(q)
}

func TestUsedNamesAreForgotten(t *testing.T) {
	var n nameRegistry
	for i := range maxUsedNames + 1 {
		name := strconv.Itoa(i)
		if !n.claim(name) || n.claim(name) {
			t.Fatal("claimed twice, or never")
		}
		n.release(name, true)
	}
	if !n.claim("0") || n.claim("1") {
		t.Error("the oldest name beyond the limit is not free, or another one is")
	}
	n.used[0].at = time.Now().Add(-time.Duration(decide.UsedNameWindow) - time.Second)
	if !n.claim("1") || n.claim("2") || len(n.used) != maxUsedNames-1 {
		t.Error("a name whose time is over is not free, or another one is")
	}
}

// An engine that has restarted or changed its address is a different process: the client drops what it keeps for the
// old address, and nothing of the other engines.
func TestRestartedEnginesAreForgotten(t *testing.T) {
	fake := &fakeEngines{}
	g := start(t, fake, nil)
	list := fleet()
	list[0].StartedAt = time.UnixMilli(7)
	list[1].Addr = "d2:9"
	list[2].State = decide.Draining
	g.Update(discovery.Update{Engines: list})
	g.eventually("both are forgotten", func() bool {
		fake.mu.Lock()
		defer fake.mu.Unlock()
		return strings.Join(fake.forgotten, " ") == "d1:1 d2:1"
	})
}
