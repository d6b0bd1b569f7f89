package chat

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"
	"mintdoor/internal/eventually"
	"mintdoor/internal/guard"
	"mintdoor/internal/router"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// engines read at once and write what write says.
type engines struct {
	mu    sync.Mutex
	calls []*engine.Call
	write func(ctx context.Context, sink func(string) error) engine.Result
}

func (e *engines) Prefill(_ context.Context, addr string, q *engine.Call) engine.Result {
	e.mu.Lock()
	e.calls = append(e.calls, q)
	e.mu.Unlock()
	return engine.Result{Outcome: decide.ReadDone, Report: engine.NoReport(), State: &engine.State{Addr: addr, Handle: q.Params.Request}}
}

func (e *engines) Decode(ctx context.Context, _ string, _ *engine.Call, sink func(string) error) engine.Result {
	return e.write(ctx, sink)
}
func (e *engines) Release(context.Context, *engine.State) error     { return nil }
func (e *engines) Renew(context.Context, *engine.State) error       { return nil }
func (e *engines) CancelRead(context.Context, string, string) error { return nil }
func (e *engines) CancelReadLater(context.Context, string, string) error {
	return nil
}
func (e *engines) CancelReservation(context.Context, string, string) error { return nil }
func (e *engines) EngineListed(string)                                     {}

func (e *engines) ForgetEngine(string) {}
func (e *engines) Probe(context.Context, string, bool) engine.Result {
	return engine.Result{Report: engine.NoReport()}
}
func (e *engines) Reserve(context.Context, string, *engine.ReservationRequest) (bool, error) {
	return false, nil
}

func (e *engines) sent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

const (
	eventA   = "data: {\"a\":1}\n\n"
	eventEnd = "data: [DONE]\n\n"
)

func served(_ context.Context, sink func(string) error) engine.Result {
	sink(eventA)
	sink(eventEnd)
	return engine.Result{Outcome: decide.Served, Report: engine.NoReport(), Tokens: 2}
}

func hangs(ctx context.Context, _ func(string) error) engine.Result {
	<-ctx.Done()
	return engine.Result{Outcome: decide.Cancelled, Report: engine.NoReport(), Err: context.Cause(ctx)}
}

type world struct {
	t       *testing.T
	front   *Front
	router  *router.Router
	engines *engines
	addr    string

	stopFront, stopCore context.CancelFunc
	served              chan struct{} // closed when the front has ended
}

func start(t *testing.T, write func(context.Context, func(string) error) engine.Result, change func(*Options)) *world {
	t.Helper()
	set := &decide.Settings{Routers: 1, MaxAttempts: 6, MayCancel: true, AnswerGrace: 16e6, DrainGrace: 1e9,
		HoldTimeout: 1e9, OverloadMultiple: 2, OverloadWindow: 1e9, InitialCapacity: 0.3, SlowStartTime: 10e9, DialTimeout: 250e6,
		MaxRetryAfter: 500e6, Kinds: []decide.Kind{{Role: decide.Reader}, {Role: decide.Writer, Memory: 1e5}},
		Classes: []decide.Class{{FirstTokenTarget: 1e9, Deadline: 10e9, Value: 1}, {FirstTokenTarget: 1e9, Deadline: 10e9, Value: 1, RetryPolicy: decide.Unsafe}}}
	e := &engines{write: write}
	g := guard.New(slog.New(slog.NewTextHandler(t.Output(), &slog.HandlerOptions{Level: slog.LevelError})))
	r := router.New(router.Config{Name: "r", Settings: set, Kinds: []string{"p", "d"}, Engines: e, HoldMode: router.PerRequest, Guard: g,
		MaxOpen: 8, StreamBuffer: 8, ClientStallTimeout: time.Second, StopTimeout: 10 * time.Second})
	o := Options{Classes: []string{"chat", "book"}, SendRetryAfter: true, MaxConns: 16, MaxBodyMemory: 8 << 20,
		RequestTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, Log: slog.New(slog.DiscardHandler), Guard: g}
	if change != nil {
		change(&o)
	}
	w := &world{t: t, engines: e, router: r, front: New(o, r), served: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.addr = l.Addr().String()
	var frontCtx, coreCtx context.Context
	frontCtx, w.stopFront = context.WithCancel(context.Background())
	coreCtx, w.stopCore = context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); r.Run(coreCtx) }()
	go func() { defer close(w.served); w.front.Serve(frontCtx, l) }()
	r.Update(discovery.Update{Engines: []discovery.Engine{{Name: "d", Addr: "d:1", Kind: "d", State: decide.Ready, Weight: 1},
		{Name: "p", Addr: "p:1", Kind: "p", State: decide.Ready, Weight: 1}}})
	t.Cleanup(func() {
		w.stopFront()
		w.stopCore()
		<-w.served
		<-stopped
		g.Close()
		if n := g.ViolationCount(); n > 0 {
			t.Errorf("violations: %v", g.Violations())
		}
	})
	w.eventually("ready", r.Ready)
	return w
}

func (w *world) eventually(what string, cond func() bool) {
	w.t.Helper()
	eventually.Is(w.t, what, cond, func() any { return w.router.Stats() })
}

func (w *world) dial() (net.Conn, *bufio.Reader) {
	w.t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

const body = `{"model":"chat","stream":true}`

func message(id string, change ...string) string {
	m := "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: chat\r\n" +
		"X-Session-Key: 7f3a\r\nX-Time-Left-Ms: 4800\r\nX-Facts: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	return strings.NewReplacer(change...).Replace(m)
}

// answer reads an answer whole; its body's error says whether it was.
func answer(t *testing.T, br *bufio.Reader) (*http.Response, string, error) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// A request's way: its meaning, the client's message unchanged to the engine, the events unchanged back, and
// the next on the same connection.
func TestServed(t *testing.T) {
	w := start(t, served, nil)
	c, br := w.dial()
	for i := range 3 {
		io.WriteString(c, message(fmt.Sprint("id", i)))
		resp, got, err := answer(t, br)
		if resp.StatusCode != 200 || got != eventA+eventEnd || err != nil || resp.Header.Get("Content-Type") != "text/event-stream" {
			t.Fatalf("%+v %q %v", resp, got, err)
		}
	}
	q := w.engines.calls[0]
	if q.Params.Request != "id0" || string(q.Message.Body) != body || q.Message.Target != "/v1/chat/completions" ||
		q.Params.PromptTokens != 5120 || q.Params.PrefixTokens != 2048 || q.Params.MaxTokens != 800 ||
		q.Params.SharedPrefix != "5c0f" || q.Params.Session != "7f3a" {
		t.Errorf("%+v", q)
	}
}

// What a client gets that sends what it should not; nothing of it reaches an engine.
func TestBadRequests(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d", len(body))
	w := start(t, served, func(o *Options) { o.MaxBodyMemory = 1 << 20 })
	for _, c := range []struct {
		name, in string
		code     int
	}{
		{"noise", "\x16\x03\x01\x00\x00\r\n\r\n", 400},
		{"endless line", "GET /" + strings.Repeat("x", 1<<16), 413},
		{"endless head", "GET / HTTP/1.1\r\n" + strings.Repeat("X-Y: z\r\n", 10000), 413},
		{"both lengths", message("x", length, length+"\r\nTransfer-Encoding: chunked"), 400},
		{"both lengths, the other way", message("x", length, "Transfer-Encoding: chunked\r\n"+length), 400},
		{"a length twice", message("x", length, length+"\r\n"+length), 400},
		{"negative length", message("x", length, "Content-Length: -1"), 400},
		{"huge length", message("x", length, "Content-Length: 99999999999999999999"), 413},
		{"60 MB said", message("x", length, "Content-Length: 60000000"), 413},
		{"60 MB in chunks", message("x", length, "Transfer-Encoding: chunked", body,
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 20)), 413},
		{"one chunk of 3 GB", message("x", length, "Transfer-Encoding: chunked", body, "c0000000\r\nxx"), 413},
		{"chunk size is noise", message("x", length, "Transfer-Encoding: chunked", body, "zz\r\n"), 400},
		{"no id", message("x", "X-Correlation-Id: x\r\n", ""), 400},
		{"id with a path in it", message("x/../y"), 400},
		{"id too long", message(strings.Repeat("x", 100)), 400},
		{"two ids", message("x", "X-Correlation-Id: x\r\n", "X-Correlation-Id: x\r\nX-Correlation-Id: y\r\n"), 400},
		{"no class", message("x", "X-Service-Class: chat\r\n", ""), 400},
		{"unknown class", message("x", "Class: chat", "Class: chess"), 400},
		{"no deadline", message("x", "X-Time-Left-Ms: 4800\r\n", ""), 400},
		{"deadline is no number", message("x", "4800", "soon"), 400},
		{"deadline is not whole", message("x", "4800", "1e3"), 400},
		{"negative deadline", message("x", "4800", "-5"), 400},
		{"huge deadline", message("x", "4800", "99999999999999999999"), 400},
		{"facts without values", message("x", "max_out=800", "max_out"), 400},
		{"facts that are no lengths", message("x", "prompt_len=5120", "prompt_len=NaN"), 400},
		{"negative facts", message("x", "prefix_len=2048", "prefix_len=-1"), 400},
		{"huge facts", message("x", "max_out=800", "max_out=1e300"), 400},
		{"no JSON", message("x", body, strings.Repeat("{", len(body))), 400},
		{"no body", message("x", length, "Content-Length: 0", body, ""), 400},
		{"another path", message("x", "/v1/chat/completions", "/v1/completions"), 404},
		{"another method", message("x", "POST", "PUT"), 405},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, br := w.dial()
			go func() { // the answer may come before all is sent
				io.WriteString(conn, c.in)
			}()
			resp, err := http.ReadResponse(br, nil)
			if err != nil { // closed with what was sent unread: a reset may overtake the answer
				if c.code == 413 {
					return
				}
				t.Fatal(err)
			}
			if resp.StatusCode != c.code {
				t.Errorf("status %d, want %d", resp.StatusCode, c.code)
			}
			if c.code != 404 && c.code != 405 && !resp.Close {
				t.Error("the connection is not closed")
			}
		})
	}
	if n := w.engines.sent(); n != 0 {
		t.Errorf("%d requests reached an engine", n)
	}
	w.eventually("no body is counted any more", func() bool { return w.front.bodies.Load() == 0 })
}

// What waits behind a message that can't be read is not taken for a request.
func TestNothingBehindBadInput(t *testing.T) {
	w := start(t, served, nil)
	c, br := w.dial()
	length := fmt.Sprintf("Content-Length: %d", len(body))
	io.WriteString(c, message("x", length, length+"\r\nTransfer-Encoding: chunked")+message("hidden"))
	if resp, _, _ := answer(t, br); resp.StatusCode != 400 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if b, _ := io.ReadAll(br); len(b) > 0 {
		t.Errorf("more came: %q", b)
	}
	if w.engines.sent() != 0 {
		t.Error("the hidden request reached an engine")
	}
}

// Half a request, or none, is closed in time.
func TestSilence(t *testing.T) {
	for _, in := range []string{"", "POST /v1", "POST / HTTP/1.1\r\nHost: x\r\n", message("x")[:250]} {
		w := start(t, served, func(o *Options) { o.RequestTimeout = 20 * time.Millisecond })
		c, br := w.dial()
		io.WriteString(c, in)
		if resp, err := http.ReadResponse(br, nil); err == nil && resp.StatusCode != 408 {
			t.Errorf("%q: %d", in, resp.StatusCode)
		}
		io.Copy(io.Discard, br) // to its end
		w.eventually("closed", func() bool { return w.front.OpenConns() == 0 })
	}
}

// The id of an open request is refused, and the open one goes on.
func TestIDOfAnOpenRequest(t *testing.T) {
	go1 := make(chan bool)
	w := start(t, func(ctx context.Context, sink func(string) error) engine.Result {
		sink(eventA)
		<-go1
		sink(eventEnd)
		return engine.Result{Outcome: decide.Served, Report: engine.NoReport(), Tokens: 2}
	}, nil)
	c, br := w.dial()
	io.WriteString(c, message("same"))
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.ReadFull(resp.Body, make([]byte, len(eventA)))
	c2, br2 := w.dial()
	io.WriteString(c2, message("same"))
	if resp, _, _ := answer(t, br2); resp.StatusCode != 400 {
		t.Errorf("the second: %d", resp.StatusCode)
	}
	close(go1)
	if b, err := io.ReadAll(resp.Body); string(b) != eventEnd || err != nil {
		t.Errorf("the first: %q %v", b, err)
	}
	c3, br3 := w.dial() // over, so the id is anybody's
	w.eventually("it is over", func() bool { return w.router.Stats().Open == 0 })
	io.WriteString(c3, message("same"))
	if resp, _, _ := answer(t, br3); resp.StatusCode != 200 {
		t.Errorf("the third: %d", resp.StatusCode)
	}
}

// A stream that breaks ends without the last chunk, at once.
func TestBrokenStream(t *testing.T) {
	w := start(t, func(_ context.Context, sink func(string) error) engine.Result {
		sink(eventA)
		return engine.Result{Outcome: decide.Reset, Report: engine.NoReport(), Tokens: 1, Err: io.ErrUnexpectedEOF}
	}, nil)
	c, br := w.dial()
	io.WriteString(c, message("x"))
	if _, got, err := answer(t, br); got != eventA || err != io.ErrUnexpectedEOF {
		t.Errorf("%q %v", got, err)
	}
}

// A client that leaves takes its request with it, before and in its stream.
func TestClientLeaves(t *testing.T) {
	w := start(t, hangs, nil)
	c, _ := w.dial()
	io.WriteString(c, message("x"))
	w.eventually("taken", func() bool { return w.router.Stats().Sends > 1 })
	c.Close()
	w.eventually("gone", func() bool { return w.router.Stats().Gone == 1 && w.router.Stats().Open == 0 })
}

// Requests sent at once are answered in their order.
func TestPipelined(t *testing.T) {
	w := start(t, served, nil)
	c, br := w.dial()
	io.WriteString(c, message("a")+message("b", "Class: chat", "Class: chess")+message("c"))
	for _, want := range []int{200, 400} {
		if resp, _, _ := answer(t, br); resp.StatusCode != want {
			t.Errorf("status %d, want %d", resp.StatusCode, want)
		}
	}
	if b, _ := io.ReadAll(br); len(b) > 0 {
		t.Errorf("%q", b)
	}
}

// Silent connections beyond the bound make room for others, longest silent first; requests that are open stay.
func TestCrowdOfConnections(t *testing.T) {
	go1 := make(chan bool)
	w := start(t, func(ctx context.Context, sink func(string) error) engine.Result {
		<-go1
		return served(ctx, sink)
	}, func(o *Options) { o.MaxConns = 4 })
	c, br := w.dial()
	io.WriteString(c, message("x"))
	w.eventually("taken", func() bool { return w.router.Stats().Sends > 1 })
	for range 50 {
		w.dial()
	}
	w.eventually("bounded", func() bool { return w.front.OpenConns() <= 4 })
	late, lateBr := w.dial()
	io.WriteString(late, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, _, _ := answer(t, lateBr); resp.StatusCode != 200 {
		t.Errorf("a late one: %d", resp.StatusCode)
	}
	close(go1)
	if resp, got, err := answer(t, br); resp.StatusCode != 200 || got != eventA+eventEnd || err != nil {
		t.Errorf("the open one: %q %v", got, err)
	}
}

// Bodies are bounded together: what is over gets a 503, not memory.
func TestBoundOfBodies(t *testing.T) {
	w := start(t, served, func(o *Options) { o.MaxBodyMemory = 20 << 10 })
	c, br := w.dial()
	big := `{"x":"` + strings.Repeat("y", 100<<10) + `"}`
	io.WriteString(c, message("x", fmt.Sprintf("Content-Length: %d", len(body)), fmt.Sprintf("Content-Length: %d", len(big)), body, big))
	if resp, err := http.ReadResponse(br, nil); err == nil && resp.StatusCode != 503 {
		t.Errorf("status %d", resp.StatusCode)
	}
	w.eventually("counted off", func() bool { return w.front.bodies.Load() == 0 })
}

// Refusals name a time; where the settings do not allow it, none.
func TestRefused(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		w := start(t, func(context.Context, func(string) error) engine.Result {
			return engine.Result{Outcome: decide.Full, Report: engine.NoReport()}
		}, func(o *Options) { o.SendRetryAfter = allowed })
		c, br := w.dial()
		io.WriteString(c, message("x"))
		resp, _, _ := answer(t, br)
		want := ""
		if allowed {
			want = "0.500"
		}
		if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != want || resp.Close {
			t.Errorf("%+v", resp)
		}
	}
}

// Before the end, answers close their connections, and connections between requests are closed; new ones are
// still answered.
func TestShutDown(t *testing.T) {
	w := start(t, served, nil)
	idle, idleBr := w.dial()
	io.WriteString(idle, message("a"))
	answer(t, idleBr)
	fresh, freshBr := w.dial()
	w.eventually("both are there", func() bool { return w.front.OpenConns() == 2 })
	w.eventually("one is between requests", func() bool {
		w.front.conns.mu.Lock()
		defer w.front.conns.mu.Unlock()
		for e := w.front.conns.waiting.Front(); e != nil; e = e.Next() {
			if e.Value.(*conn).entry.state == resting {
				return true
			}
		}
		return false
	})
	w.front.BeginShutdown()
	w.front.CloseIdle(0)
	if _, err := idleBr.ReadByte(); err != io.EOF {
		t.Errorf("the idle one: %v", err)
	}
	io.WriteString(fresh, message("b"))
	resp, got, err := answer(t, freshBr)
	if resp.StatusCode != 200 || !resp.Close || got != eventA+eventEnd || err != nil {
		t.Errorf("the fresh one: %+v %q %v", resp, got, err)
	}
	c, br := w.dial()
	io.WriteString(c, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, _, _ := answer(t, br); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("/up: %d", resp.StatusCode)
	}
	w.eventually("all are closed", func() bool { return w.front.OpenConns() == 0 })
}

// Each event goes out as it comes.
func TestEventsAsTheyCome(t *testing.T) {
	go1 := make(chan bool)
	w := start(t, func(_ context.Context, sink func(string) error) engine.Result {
		for range 3 {
			sink(eventA)
			<-go1
		}
		return engine.Result{Outcome: decide.Served, Report: engine.NoReport(), Tokens: 3}
	}, nil)
	c, br := w.dial()
	io.WriteString(c, message("x"))
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		b := make([]byte, len(eventA))
		if _, err := io.ReadFull(resp.Body, b); err != nil || !bytes.Equal(b, []byte(eventA)) {
			t.Fatalf("%q %v", b, err)
		}
		go1 <- true
	}
	if b, err := io.ReadAll(resp.Body); len(b) > 0 || err != nil {
		t.Errorf("%q %v", b, err)
	}
}
