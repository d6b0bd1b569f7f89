package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"mintdoor/decide"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startFakeEngine answers each connection's first request with some bytes, and keeps it open or closes it.
func startFakeEngine(t *testing.T, answer string, keepOpen bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	end := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for { // read the head; the body is small and arrives with it
				line, err := r.ReadString('\n')
				if err != nil || line == "\r\n" {
					break
				}
			}
			c.Write([]byte(answer))
			if keepOpen {
				<-end
			}
			c.Close()
		}
	}()
	t.Cleanup(func() { close(end); l.Close(); <-done })
	return l.Addr().String()
}

func newClient(t *testing.T, change func(*Options)) *Client {
	o := Options{DialTimeout: time.Second, MaxConns: 10, IdleConnTimeout: time.Second, StreamIdleTimeout: 100 * time.Millisecond,
		ReleaseTimeout: 100 * time.Millisecond, ProbeTimeout: 100 * time.Millisecond}
	if change != nil {
		change(&o)
	}
	c := New(o)
	t.Cleanup(c.Close)
	return c
}

// okResponse returns a 200 response with a body.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// refusal returns a 503 response that names the reason of a refusal.
func refusal(reason string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nKv-Refused: " + reason + "\r\nContent-Length: 0\r\n\r\n"
}

const readResponse = `{"id":"a","parameters":{"kv_handle":"h","kv_source":"x:1","kv_tokens":9,"kept_tokens":4}}`

// An engine's behavior determines the outcome of an attempt: only its own statement, or a connection that never came
// up, proves that nothing was executed.
func TestOutcomesOfReads(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         decide.Outcome
		noState      bool
	}{
		{"read", okResponse(readResponse), decide.ReadDone, false},
		{"full", refusal(RefusedFull), decide.Full, false},
		{"draining", refusal(RefusedDraining), decide.Full, false},
		{"no state", refusal(RefusedNoState), decide.Full, true},
		{"503 from an intermediary", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", decide.Error, false},
		{"503 with an unknown reason", refusal("tired"), decide.Error, false},
		{"500 with a reason", strings.Replace(refusal(RefusedFull), "503", "500", 1), decide.Error, false},
		{"wrong id", okResponse(strings.Replace(readResponse, `"a"`, `"b"`, 1)), decide.Error, false},
		{"no handle", okResponse(`{"id":"a","parameters":{}}`), decide.Error, false},
		{"two answers", okResponse(readResponse + readResponse), decide.Error, false},
		{"no JSON", okResponse("<html>"), decide.Error, false},
		{"half an answer", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"id\":", decide.Reset, false},
		{"closed", "", decide.Reset, false},
		{"not HTTP", "hello\r\n\r\n", decide.Reset, false},
		{"endless headers", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 100), decide.Reset, false},
	} {
		res := newClient(t, nil).Prefill(t.Context(), startFakeEngine(t, c.answer, false), &Call{ID: "a", Model: "m", Prompt: "x"})
		if res.Outcome != c.want || res.NoState != c.noState || (res.Outcome == decide.ReadDone) != (res.Err == nil) {
			t.Errorf("%s: outcome %d (no state %v), err %v; want %d", c.name, res.Outcome, res.NoState, res.Err, c.want)
		}
		if c.want == decide.ReadDone && (*res.State != State{"x:1", "h", 9} || res.CachedTokens != 4) {
			t.Errorf("%s: %+v", c.name, res)
		}
	}
}

func TestOutcomesOfStreams(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	token := `data: {"id":"a","text_output":"t"}` + "\n\n"
	end := `data: {"id":"a","text_output":"","details":{"finish_reason":"stop"},"parameters":{"kv_cache_utilization":0.5}}` + "\n\n"
	for _, c := range []struct {
		name, answer string
		keepOpen     bool
		want         decide.Outcome
		tokens       int
	}{
		{"served", head + token + token + end, false, decide.Served, 2},
		{"served, connection stays open", head + token + end, true, decide.Served, 1},
		{"two final events", head + token + end + end, false, decide.Served, 1},
		{"no final event", head + token, false, decide.Reset, 1},
		{"half an event", head + token + "data: {", false, decide.Reset, 1},
		{"no further event", head + token, true, decide.Reset, 1},
		{"no JSON", head + "data: x\n\n", false, decide.Error, 0},
		{"wrong id", head + strings.Replace(token, `"a"`, `"b"`, 1), false, decide.Error, 0},
		{"an error event", head + token + `data: {"id":"a","error":"out of memory"}` + "\n\n", false, decide.Error, 1},
		{"no text", head + `data: {"id":"a"}` + "\n\n", false, decide.Error, 0},
		{"an endless event", head + "data: " + strings.Repeat("x", 1<<17) + "\n\n", false, decide.Error, 0},
		{"full", refusal(RefusedFull), false, decide.Full, 0},
	} {
		n := 0
		res := newClient(t, nil).Decode(t.Context(), startFakeEngine(t, c.answer, c.keepOpen), &Call{ID: "a", Model: "m"},
			func(string) error { n++; return nil })
		if res.Outcome != c.want || res.Tokens != c.tokens || n != c.tokens {
			t.Errorf("%s: outcome %d, %d tokens, err %v; want %d and %d", c.name, res.Outcome, n, res.Err, c.want, c.tokens)
		}
		if c.want == decide.Served && (res.FinishReason != "stop" || res.Report.MemoryUse != 0.5) {
			t.Errorf("%s: %+v", c.name, res)
		}
	}
}

// The cause with which the caller cancels an attempt determines its outcome. Before a connection is established
// nothing can have been executed.
func TestOutcomesOfCancelledAttempts(t *testing.T) {
	addr := startFakeEngine(t, "", true)
	for cause, want := range map[error]decide.Outcome{ErrTimedOut: decide.TimedOut, ErrCancelled: decide.Cancelled} {
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(50*time.Millisecond, func() { cancel(cause) })
		if res := newClient(t, nil).Prefill(ctx, addr, &Call{ID: "a", Model: "m"}); res.Outcome != want {
			t.Errorf("%v: outcome %d, want %d (%v)", cause, res.Outcome, want, res.Err)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	l.Close()
	if res := newClient(t, nil).Prefill(t.Context(), closed, &Call{ID: "a", Model: "m"}); res.Outcome != decide.ConnectFailed {
		t.Errorf("refused: %d (%v)", res.Outcome, res.Err)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(ErrTimedOut)
	if res := newClient(t, nil).Prefill(ctx, closed, &Call{ID: "a", Model: "m"}); res.Outcome != decide.ConnectFailed {
		t.Errorf("timed out before a connection was established: %d (%v)", res.Outcome, res.Err)
	}
	c := newClient(t, func(o *Options) { o.MaxConns = 1 })
	busy, stop := context.WithCancelCause(t.Context())
	done := make(chan Result, 1)
	go func() { done <- c.Prefill(busy, addr, &Call{ID: "a", Model: "m"}) }()
	for open := false; !open; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		open = c.conns[addr] != nil && c.conns[addr].Load() == 1
		c.mu.Unlock()
	}
	if res := c.Prefill(t.Context(), addr, &Call{ID: "b", Model: "m"}); res.Outcome != decide.ConnectFailed || !errors.Is(res.Err, errLimit) {
		t.Errorf("over the connection limit: %d (%v)", res.Outcome, res.Err)
	}
	stop(ErrCancelled)
	<-done
}

func TestReleaseIsRetried(t *testing.T) {
	if err := newClient(t, nil).Release(t.Context(), &State{Addr: startFakeEngine(t, "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", false), Handle: "h"}); err != nil {
		t.Errorf("release of a KV state that is gone: %v", err)
	}
	start := time.Now()
	if err := newClient(t, nil).Release(t.Context(), &State{Addr: startFakeEngine(t, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", false), Handle: "h"}); err == nil {
		t.Error("a release succeeded at an engine that fails")
	}
	if time.Since(start) < 50*time.Millisecond {
		t.Error("the release was not retried")
	}
}

func TestLoadReports(t *testing.T) {
	half, k := 0.5, 1500.0
	r := &LoadReport{MemoryUse: &half, QueuedTokens: &k}
	want := decide.Report{MemoryUse: 0.5, QueuedKTokens: 1.5, Latency: -1}
	if got := ParseLoadHeader(r.Header()); got != want || r.Report() != want {
		t.Errorf("%q is %+v", r.Header(), got)
	}
	for value, want := range map[string]decide.Report{
		`JSON {"named_metrics":{"latency_ms":20}}`:                         {MemoryUse: -1, QueuedKTokens: -1, Latency: 20},
		`TEXT named_metrics.kv_cache_utilization=NaN, latency_ms=x, cpu=1`: NoReport(),
		`TEXT named_metrics.kv_cache_utilization=-1`:                       NoReport(),
		`BIN xyz`: NoReport(),
		``:        NoReport(),
	} {
		if got := ParseLoadHeader(value); got != want {
			t.Errorf("%q is %+v, want %+v", value, got, want)
		}
	}
}
