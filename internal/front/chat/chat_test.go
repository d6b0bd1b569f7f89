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

// fakeEngines read every prompt at once and write answers with the function write.
type fakeEngines struct {
	mu    sync.Mutex
	calls []*engine.Call
	write func(ctx context.Context, sink func(string) error) engine.Result
}

func (e *fakeEngines) Prefill(_ context.Context, addr string, q *engine.Call) engine.Result {
	e.mu.Lock()
	e.calls = append(e.calls, q)
	e.mu.Unlock()
	return engine.Result{Outcome: decide.ReadDone, Report: engine.NoReport(), State: &engine.State{Addr: addr, Handle: q.Params.Request}}
}

func (e *fakeEngines) Decode(ctx context.Context, _ string, _ *engine.Call, sink func(string) error) engine.Result {
	return e.write(ctx, sink)
}
func (e *fakeEngines) Release(context.Context, *engine.State) error     { return nil }
func (e *fakeEngines) Renew(context.Context, *engine.State) error       { return nil }
func (e *fakeEngines) CancelRead(context.Context, string, string) error { return nil }
func (e *fakeEngines) CancelReadLater(context.Context, string, string) error {
	return nil
}
func (e *fakeEngines) CancelReservation(context.Context, string, string) error { return nil }
func (e *fakeEngines) EngineListed(string)                                     {}

func (e *fakeEngines) ForgetEngine(string) {}
func (e *fakeEngines) Probe(context.Context, string, bool) engine.Result {
	return engine.Result{Report: engine.NoReport()}
}
func (e *fakeEngines) Reserve(context.Context, string, *engine.ReservationRequest) (bool, error) {
	return false, nil
}

func (e *fakeEngines) sent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

const (
	eventA   = "data: {\"a\":1}\n\n"
	eventEnd = "data: [DONE]\n\n"
)

// writeAnswer writes a complete answer of two events.
func writeAnswer(_ context.Context, sink func(string) error) engine.Result {
	sink(eventA)
	sink(eventEnd)
	return engine.Result{Outcome: decide.Served, Report: engine.NoReport(), Tokens: 2}
}

// hang writes nothing until its attempt is cancelled.
func hang(ctx context.Context, _ func(string) error) engine.Result {
	<-ctx.Done()
	return engine.Result{Outcome: decide.Cancelled, Report: engine.NoReport(), Err: context.Cause(ctx)}
}

// testFront is a front with a router and fake engines behind it.
type testFront struct {
	t       *testing.T
	front   *Front
	router  *router.Router
	engines *fakeEngines
	addr    string

	stopFront, stopCore context.CancelFunc
	served              chan struct{} // closed when Serve has returned
}

// startFront starts a front whose engines write answers with write. change may be nil.
func startFront(t *testing.T, write func(context.Context, func(string) error) engine.Result, change func(*Options)) *testFront {
	t.Helper()
	set := &decide.Settings{Routers: 1, MaxAttempts: 6, MayCancel: true, AnswerGrace: 16e6, DrainGrace: 1e9,
		HoldTimeout: 1e9, OverloadMultiple: 2, OverloadWindow: 1e9, InitialCapacity: 0.3, SlowStartTime: 10e9, DialTimeout: 250e6,
		MaxRetryAfter: 500e6, Kinds: []decide.Kind{{Role: decide.Reader}, {Role: decide.Writer, Memory: 1e5}},
		Classes: []decide.Class{{FirstTokenTarget: 1e9, Deadline: 10e9, Value: 1}, {FirstTokenTarget: 1e9, Deadline: 10e9, Value: 1, RetryPolicy: decide.Unsafe}}}
	e := &fakeEngines{write: write}
	g := guard.New(slog.New(slog.NewTextHandler(t.Output(), &slog.HandlerOptions{Level: slog.LevelError})))
	r := router.New(router.Config{Name: "r", Settings: set, Kinds: []string{"p", "d"}, Engines: e, HoldMode: router.PerRequest, Guard: g,
		MaxOpen: 8, StreamBuffer: 8, ClientStallTimeout: time.Second, StopTimeout: 10 * time.Second})
	o := Options{Classes: []string{"chat", "book"}, SendRetryAfter: true, MaxConns: 16, MaxBodyMemory: 8 << 20,
		RequestTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, Log: slog.New(slog.DiscardHandler), Guard: g}
	if change != nil {
		change(&o)
	}
	tf := &testFront{t: t, engines: e, router: r, front: New(o, r), served: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tf.addr = l.Addr().String()
	var frontCtx, coreCtx context.Context
	frontCtx, tf.stopFront = context.WithCancel(context.Background())
	coreCtx, tf.stopCore = context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); r.Run(coreCtx) }()
	go func() { defer close(tf.served); tf.front.Serve(frontCtx, l) }()
	r.Update(discovery.Update{Engines: []discovery.Engine{{Name: "d", Addr: "d:1", Kind: "d", State: decide.Ready, Weight: 1},
		{Name: "p", Addr: "p:1", Kind: "p", State: decide.Ready, Weight: 1}}})
	t.Cleanup(func() {
		tf.stopFront()
		tf.stopCore()
		<-tf.served
		<-stopped
		g.Close()
		if n := g.ViolationCount(); n > 0 {
			t.Errorf("violations: %v", g.Violations())
		}
	})
	tf.eventually("ready", r.Ready)
	return tf
}

func (tf *testFront) eventually(what string, cond func() bool) {
	tf.t.Helper()
	eventually.Is(tf.t, what, cond, func() any { return tf.router.Stats() })
}

func (tf *testFront) dial() (net.Conn, *bufio.Reader) {
	tf.t.Helper()
	c, err := net.Dial("tcp", tf.addr)
	if err != nil {
		tf.t.Fatal(err)
	}
	tf.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

const body = `{"model":"chat","stream":true}`

// message returns a valid request with the given id; change holds pairs of old and new texts to replace in it.
func message(id string, change ...string) string {
	m := "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: chat\r\n" +
		"X-Session-Key: 7f3a\r\nX-Time-Left-Ms: 4800\r\nX-Facts: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	return strings.NewReplacer(change...).Replace(m)
}

// readAnswer reads a whole response. The error is that of reading the body.
func readAnswer(t *testing.T, br *bufio.Reader) (*http.Response, string, error) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// A request is decoded, its message reaches the engine unchanged, the events reach the client unchanged, and the next
// request is served on the same connection.
func TestServed(t *testing.T) {
	tf := startFront(t, writeAnswer, nil)
	c, br := tf.dial()
	for i := range 3 {
		io.WriteString(c, message(fmt.Sprint("id", i)))
		resp, got, err := readAnswer(t, br)
		if resp.StatusCode != 200 || got != eventA+eventEnd || err != nil || resp.Header.Get("Content-Type") != "text/event-stream" {
			t.Fatalf("%+v %q %v", resp, got, err)
		}
	}
	q := tf.engines.calls[0]
	if q.Params.Request != "id0" || string(q.Message.Body) != body || q.Message.Target != "/v1/chat/completions" ||
		q.Params.PromptTokens != 5120 || q.Params.PrefixTokens != 2048 || q.Params.MaxTokens != 800 ||
		q.Params.SharedPrefix != "5c0f" || q.Params.Session != "7f3a" {
		t.Errorf("%+v", q)
	}
}

// Malformed requests get the right status, and none of them reaches an engine.
func TestBadRequests(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d", len(body))
	tf := startFront(t, writeAnswer, func(o *Options) { o.MaxBodyMemory = 1 << 20 })
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
		{"60 MB announced", message("x", length, "Content-Length: 60000000"), 413},
		{"60 MB in chunks", message("x", length, "Transfer-Encoding: chunked", body,
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 20)), 413},
		{"one chunk of 3 GB", message("x", length, "Transfer-Encoding: chunked", body, "c0000000\r\nxx"), 413},
		{"malformed chunk size", message("x", length, "Transfer-Encoding: chunked", body, "zz\r\n"), 400},
		{"no id", message("x", "X-Correlation-Id: x\r\n", ""), 400},
		{"id with a path in it", message("x/../y"), 400},
		{"id too long", message(strings.Repeat("x", 100)), 400},
		{"two ids", message("x", "X-Correlation-Id: x\r\n", "X-Correlation-Id: x\r\nX-Correlation-Id: y\r\n"), 400},
		{"no class", message("x", "X-Service-Class: chat\r\n", ""), 400},
		{"unknown class", message("x", "Class: chat", "Class: chess"), 400},
		{"no deadline", message("x", "X-Time-Left-Ms: 4800\r\n", ""), 400},
		{"deadline is not a number", message("x", "4800", "soon"), 400},
		{"deadline is not an integer", message("x", "4800", "1e3"), 400},
		{"negative deadline", message("x", "4800", "-5"), 400},
		{"huge deadline", message("x", "4800", "99999999999999999999"), 400},
		{"facts without values", message("x", "max_out=800", "max_out"), 400},
		{"facts that are not lengths", message("x", "prompt_len=5120", "prompt_len=NaN"), 400},
		{"negative facts", message("x", "prefix_len=2048", "prefix_len=-1"), 400},
		{"huge facts", message("x", "max_out=800", "max_out=1e300"), 400},
		{"no JSON", message("x", body, strings.Repeat("{", len(body))), 400},
		{"no body", message("x", length, "Content-Length: 0", body, ""), 400},
		{"another path", message("x", "/v1/chat/completions", "/v1/completions"), 404},
		{"another method", message("x", "POST", "PUT"), 405},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, br := tf.dial()
			go func() { // the response may arrive before everything is sent
				io.WriteString(conn, c.in)
			}()
			resp, err := http.ReadResponse(br, nil)
			if err != nil { // the connection was closed with unread data: a reset may overtake the response
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
	if n := tf.engines.sent(); n != 0 {
		t.Errorf("%d requests reached an engine", n)
	}
	tf.eventually("no body counts towards the memory limit", func() bool { return tf.front.bodyMemory.Load() == 0 })
}

// Data after a malformed request is not taken for another request.
func TestNoRequestIsReadAfterMalformedOne(t *testing.T) {
	tf := startFront(t, writeAnswer, nil)
	c, br := tf.dial()
	length := fmt.Sprintf("Content-Length: %d", len(body))
	io.WriteString(c, message("x", length, length+"\r\nTransfer-Encoding: chunked")+message("hidden"))
	if resp, _, _ := readAnswer(t, br); resp.StatusCode != 400 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if b, _ := io.ReadAll(br); len(b) > 0 {
		t.Errorf("data after the response: %q", b)
	}
	if tf.engines.sent() != 0 {
		t.Error("the hidden request reached an engine")
	}
}

// A connection with an incomplete request, or none, is closed after RequestTimeout.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	for _, in := range []string{"", "POST /v1", "POST / HTTP/1.1\r\nHost: x\r\n", message("x")[:250]} {
		tf := startFront(t, writeAnswer, func(o *Options) { o.RequestTimeout = 20 * time.Millisecond })
		c, br := tf.dial()
		io.WriteString(c, in)
		if resp, err := http.ReadResponse(br, nil); err == nil && resp.StatusCode != 408 {
			t.Errorf("%q: %d", in, resp.StatusCode)
		}
		io.Copy(io.Discard, br) // until the connection ends
		tf.eventually("closed", func() bool { return tf.front.OpenConns() == 0 })
	}
}

// A request with the id of an open request is refused, and the open request continues. Nor does one with the id of a request
// run that has run.
func TestIDOfAnOpenRequest(t *testing.T) {
	proceed := make(chan bool)
	tf := startFront(t, func(ctx context.Context, sink func(string) error) engine.Result {
		sink(eventA)
		<-proceed
		sink(eventEnd)
		return engine.Result{Outcome: decide.Served, Report: engine.NoReport(), Tokens: 2}
	}, nil)
	c, br := tf.dial()
	io.WriteString(c, message("same"))
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.ReadFull(resp.Body, make([]byte, len(eventA)))
	c2, br2 := tf.dial()
	io.WriteString(c2, message("same"))
	if resp, _, _ := readAnswer(t, br2); resp.StatusCode != 400 {
		t.Errorf("second request: status %d", resp.StatusCode)
	}
	close(proceed)
	if b, err := io.ReadAll(resp.Body); string(b) != eventEnd || err != nil {
		t.Errorf("first request: %q %v", b, err)
	}
	c3, br3 := tf.dial()
	tf.eventually("the first request has ended", func() bool { return tf.router.Stats().Open == 0 })
	io.WriteString(c3, message("same"))
	if resp, _, _ := readAnswer(t, br3); resp.StatusCode != 400 {
		t.Errorf("third request: status %d", resp.StatusCode)
	}
	if n := tf.router.Stats().Sends; n != 2 {
		t.Errorf("%d attempts, want the read and the write of the first request", n)
	}
}

// When an engine's stream breaks, the client's stream ends at once and without the last chunk.
func TestBrokenStream(t *testing.T) {
	tf := startFront(t, func(_ context.Context, sink func(string) error) engine.Result {
		sink(eventA)
		return engine.Result{Outcome: decide.Reset, Report: engine.NoReport(), Tokens: 1, Err: io.ErrUnexpectedEOF}
	}, nil)
	c, br := tf.dial()
	io.WriteString(c, message("x"))
	if _, got, err := readAnswer(t, br); got != eventA || err != io.ErrUnexpectedEOF {
		t.Errorf("%q %v", got, err)
	}
}

// When a client leaves, its request ends.
func TestClientLeaves(t *testing.T) {
	tf := startFront(t, hang, nil)
	c, _ := tf.dial()
	io.WriteString(c, message("x"))
	tf.eventually("taken", func() bool { return tf.router.Stats().Sends > 1 })
	c.Close()
	tf.eventually("gone", func() bool { return tf.router.Stats().Gone == 1 && tf.router.Stats().Open == 0 })
}

// Pipelined requests are answered in order.
func TestPipelined(t *testing.T) {
	tf := startFront(t, writeAnswer, nil)
	c, br := tf.dial()
	io.WriteString(c, message("a")+message("b", "Class: chat", "Class: chess")+message("c"))
	for _, want := range []int{200, 400} {
		if resp, _, _ := readAnswer(t, br); resp.StatusCode != want {
			t.Errorf("status %d, want %d", resp.StatusCode, want)
		}
	}
	if b, _ := io.ReadAll(br); len(b) > 0 {
		t.Errorf("%q", b)
	}
}

// When the connection limit is reached, idle connections are closed to make room, those idle for longest first. Open
// requests are not affected.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	proceed := make(chan bool)
	tf := startFront(t, func(ctx context.Context, sink func(string) error) engine.Result {
		<-proceed
		return writeAnswer(ctx, sink)
	}, func(o *Options) { o.MaxConns = 4 })
	c, br := tf.dial()
	io.WriteString(c, message("x"))
	tf.eventually("taken", func() bool { return tf.router.Stats().Sends > 1 })
	for range 50 {
		tf.dial()
	}
	tf.eventually("bounded", func() bool { return tf.front.OpenConns() <= 4 })
	late, lateBr := tf.dial()
	io.WriteString(late, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, _, _ := readAnswer(t, lateBr); resp.StatusCode != 200 {
		t.Errorf("late connection: status %d", resp.StatusCode)
	}
	close(proceed)
	if resp, got, err := readAnswer(t, br); resp.StatusCode != 200 || got != eventA+eventEnd || err != nil {
		t.Errorf("open request: %q %v", got, err)
	}
}

// All bodies together have a memory limit: a request beyond it gets a 503 and no memory.
func TestBodyMemoryLimit(t *testing.T) {
	tf := startFront(t, writeAnswer, func(o *Options) { o.MaxBodyMemory = 20 << 10 })
	c, br := tf.dial()
	big := `{"x":"` + strings.Repeat("y", 100<<10) + `"}`
	io.WriteString(c, message("x", fmt.Sprintf("Content-Length: %d", len(body)), fmt.Sprintf("Content-Length: %d", len(big)), body, big))
	if resp, err := http.ReadResponse(br, nil); err == nil && resp.StatusCode != 503 {
		t.Errorf("status %d", resp.StatusCode)
	}
	tf.eventually("no body counts towards the memory limit", func() bool { return tf.front.bodyMemory.Load() == 0 })
}

// Refusals have a Retry-After header only if the settings allow it.
func TestRefusalRetryAfter(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		tf := startFront(t, func(context.Context, func(string) error) engine.Result {
			return engine.Result{Outcome: decide.Full, Report: engine.NoReport()}
		}, func(o *Options) { o.SendRetryAfter = allowed })
		c, br := tf.dial()
		io.WriteString(c, message("x"))
		resp, _, _ := readAnswer(t, br)
		want := ""
		if allowed {
			want = "0.500"
		}
		if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != want || resp.Close {
			t.Errorf("%+v", resp)
		}
	}
}

// During a shutdown answers close their connections and idle connections are closed. Requests on new connections are
// still answered.
func TestBeginShutdown(t *testing.T) {
	tf := startFront(t, writeAnswer, nil)
	idle, idleBr := tf.dial()
	io.WriteString(idle, message("a"))
	readAnswer(t, idleBr)
	fresh, freshBr := tf.dial()
	tf.eventually("both are connected", func() bool { return tf.front.OpenConns() == 2 })
	tf.eventually("one is idle", func() bool {
		tf.front.conns.mu.Lock()
		defer tf.front.conns.mu.Unlock()
		for e := tf.front.conns.evictable.Front(); e != nil; e = e.Next() {
			if e.Value.(*conn).entry.state == stateIdle {
				return true
			}
		}
		return false
	})
	tf.front.BeginShutdown()
	tf.front.CloseIdle(0)
	if _, err := idleBr.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	io.WriteString(fresh, message("b"))
	resp, got, err := readAnswer(t, freshBr)
	if resp.StatusCode != 200 || !resp.Close || got != eventA+eventEnd || err != nil {
		t.Errorf("new connection: %+v %q %v", resp, got, err)
	}
	c, br := tf.dial()
	io.WriteString(c, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, _, _ := readAnswer(t, br); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("/up: %d", resp.StatusCode)
	}
	tf.eventually("all are closed", func() bool { return tf.front.OpenConns() == 0 })
}

// Each event is forwarded as soon as it arrives.
func TestEventsAreForwardedImmediately(t *testing.T) {
	proceed := make(chan bool)
	tf := startFront(t, func(_ context.Context, sink func(string) error) engine.Result {
		for range 3 {
			sink(eventA)
			<-proceed
		}
		return engine.Result{Outcome: decide.Served, Report: engine.NoReport(), Tokens: 3}
	}, nil)
	c, br := tf.dial()
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
		proceed <- true
	}
	if b, err := io.ReadAll(resp.Body); len(b) > 0 || err != nil {
		t.Errorf("%q %v", b, err)
	}
}
