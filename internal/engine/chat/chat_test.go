package chat

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/http1"
	"mintdoor/internal/platform"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is an engine that answers each request with what answer returns, and notes heads and connections.
type peer struct {
	addr   string
	conns  atomic.Int64
	mu     sync.Mutex
	heads  []*http1.Head
	bodies []string
}

// play listens; answer gets the number of the request over all connections. stay keeps a connection for more
// requests, else it is closed after its answer.
func play(t *testing.T, stay bool, answer func(n int, h *http1.Head) string) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{addr: l.Addr().String()}
	var work sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	ended := false
	work.Add(1)
	go func() {
		defer work.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			if ended {
				c.Close()
			}
			open[c] = true
			mu.Unlock()
			p.conns.Add(1)
			work.Add(1)
			go func() {
				defer work.Done()
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					h, err := http1.ReadHead(br, 1<<16)
					if err != nil {
						return
					}
					n, _, _ := h.Framing()
					body := make([]byte, max(n, 0))
					if _, err := io.ReadFull(br, body); err != nil {
						return
					}
					p.mu.Lock()
					p.heads = append(p.heads, h)
					p.bodies = append(p.bodies, string(body))
					i := len(p.heads) - 1
					p.mu.Unlock()
					if _, err := io.WriteString(c, answer(i, h)); err != nil || !stay {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		ended = true
		for c := range open {
			c.Close()
		}
		mu.Unlock()
		work.Wait()
	})
	return p
}

func always(s string) func(int, *http1.Head) string {
	return func(int, *http1.Head) string { return s }
}

func (p *peer) requests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.heads)
}

func newClient(t *testing.T, change func(*Options)) *Client {
	o := Options{DialTimeout: time.Second, IdleConnTimeout: time.Minute, MaxConns: 10, ReleaseConns: 2,
		StreamIdleTimeout: 10 * time.Second, ReleaseTimeout: 10 * time.Second, ProbeTimeout: 10 * time.Second}
	if change != nil {
		change(&o)
	}
	c := New(o)
	c.restFor = 0 // connections are used again at once; TestConnectionsRest is about the rest
	t.Cleanup(c.Close)
	return c
}

func request() *engine.Call {
	return &engine.Call{Params: engine.Params{Request: "id1"}, ResponseDeadline: time.Now().Add(time.Minute),
		Message: &engine.Message{Target: "/v1/chat/completions?a=b", Fields: []http1.Field{{Name: "Idempotency-Key", Value: "k7"}}, Body: []byte(`{"x":1}`)}}
}

func whole(status string, body string, fields ...string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" +
		strings.Join(append(fields, ""), "\r\n") + "\r\n" + body
}

const unrun = "X-Unprocessed: 1"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	eventA     = `data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}` + "\n\n"
	eventEnd   = "data: [DONE]\n\n"
	lastChunk  = "0\r\n\r\n"
)

// Every row of the protocol's table of outcomes. Only the engine's X-Unprocessed, or a connection that never
// stood, proves that nothing ran.
func TestOutcomesOfReads(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         decide.Outcome
		noState      bool
	}{
		{"read", whole("202 Accepted", `{"cached_tokens":4096}`), decide.ReadDone, false},
		{"read, after 1xx", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole("202 Accepted", `{"cached_tokens":4096}`), decide.ReadDone, false},
		{"read, report unreadable", whole("202 Accepted", `{"cached_tokens":4096}`, platform.LoadHeader+": {x0"), decide.ReadDone, false},
		{"error", whole("500 x", "no"), decide.Error, false},
		{"full", whole("503 x", "", unrun), decide.Full, false},
		{"too late", whole("504 x", "", unrun), decide.Full, false},
		{"state gone", whole("410 x", "", unrun), decide.Full, true},
		{"503 without the word", whole("503 x", ""), decide.Error, false},
		{"500 with the word", whole("500 x", "", unrun), decide.Error, false},
		{"the word is another", whole("503 x", "", "X-Unprocessed: 0"), decide.Error, false},
		{"closed", "", decide.Reset, false},
		{"noise", "\x00\x01\x02noise\r\n\r\n", decide.Reset, false},
		{"head without end", "HTTP/1.1 202 OK\r\n" + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 100), decide.Reset, false},
		{"1xx without end", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100) + whole("202 x", "{}"), decide.Reset, false},
		{"half a body", "HTTP/1.1 202 x\r\nContent-Length: 500\r\n\r\n{", decide.Reset, false},
		{"no JSON", whole("202 x", "<html>"), decide.Reset, false},
		{"body too large", "HTTP/1.1 202 x\r\nContent-Length: 3000000000\r\n\r\n{", decide.Reset, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := play(t, false, always(c.answer))
			res := newClient(t, nil).Prefill(t.Context(), p.addr, request())
			if res.Outcome != c.want || res.NoState != c.noState || (c.want == decide.ReadDone) != (res.Err == nil) {
				t.Fatalf("outcome %d, no state %v, err %v", res.Outcome, res.NoState, res.Err)
			}
			if c.want == decide.ReadDone && (res.CachedTokens != 4096 || res.State.Addr != p.addr || res.State.Handle != "id1") {
				t.Errorf("%+v", res)
			}
			if p.requests() != 1 {
				t.Errorf("sent %d times", p.requests())
			}
		})
	}
}

func TestOutcomesOfStreams(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         decide.Outcome
		events       int
	}{
		{"served", streamHead + chunk(eventA) + chunk(eventA+eventEnd) + lastChunk, decide.Served, 3},
		{"served, events over chunks", streamHead + chunk(eventA[:9]) + chunk(eventA[9:]+eventEnd) + lastChunk, decide.Served, 2},
		{"served, with a report", streamHead + chunk(eventA+eventEnd) + chunk(loadComment+` {"x0":0.25}`+"\n\n") + lastChunk, decide.Served, 2},
		{"served, report unreadable", streamHead + chunk(eventA+eventEnd) + chunk(loadComment+" {x") + lastChunk, decide.Served, 2},
		{"served, a second answer behind", streamHead + chunk(eventA) + lastChunk + whole("200 OK", "x"), decide.Served, 1},
		{"no last chunk", streamHead + chunk(eventA+eventEnd), decide.Reset, 2},
		{"no event", streamHead + lastChunk, decide.Reset, 0},
		{"broken in an event", streamHead + chunk(eventA) + chunk(eventA[:20]), decide.Reset, 1},
		{"noise for an event", streamHead + chunk("\x00\xffnoise\n\n") + lastChunk, decide.Reset, 0},
		{"no JSON", streamHead + chunk("data: {\n\n") + lastChunk, decide.Reset, 0},
		{"chunk size is noise", streamHead + chunk(eventA) + "zz\r\n" + eventA, decide.Reset, 1},
		{"chunk size is too small", streamHead + chunk(eventA) + "5\r\n" + eventA + "\r\n" + lastChunk, decide.Reset, 1},
		{"chunk of 3 GB", streamHead + chunk(eventA) + "c0000000\r\n" + strings.Repeat("x", 1<<17), decide.Reset, 1},
		{"endless event", streamHead + chunk(": ") + strings.Repeat(chunk(strings.Repeat("x", 1<<14)), 8) + chunk("\n\n"+eventA) + lastChunk, decide.Reset, 0},
		{"not in chunks", whole("200 OK", eventA, "Content-Type: text/event-stream"), decide.Reset, 0},
		{"not a stream", whole("200 OK", "{}", "Content-Type: application/json"), decide.Reset, 0},
		{"state gone", whole("410 x", "", unrun), decide.Full, 0},
		{"error", whole("500 x", ""), decide.Error, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := play(t, false, always(c.answer))
			var got []string
			res := newClient(t, nil).Decode(t.Context(), p.addr, request(), func(e string) error {
				got = append(got, e)
				return nil
			})
			if res.Outcome != c.want || res.Tokens != c.events || len(got) != c.events {
				t.Fatalf("outcome %d, %d events, err %v", res.Outcome, len(got), res.Err)
			}
			for i, e := range got {
				if e != eventA && e != eventEnd {
					t.Errorf("event %d was changed: %q", i, e)
				}
			}
			if c.name == "served, with a report" && res.Report.MemoryUse != 0.25 {
				t.Errorf("%+v", res.Report)
			}
		})
	}
}

// A stream that stops, or brings no event any more, is a broken one after a time, wherever it stops.
func TestStreamsThatStop(t *testing.T) {
	for name, after := range map[string]string{
		"between events": "", "in a chunk": "50\r\ndata: ", "in a chunk's size": "5", "with comments alone": strings.Repeat(chunk(": x\n\n"), 3),
	} {
		t.Run(name, func(t *testing.T) {
			p := play(t, true, always(streamHead+chunk(eventA)+after))
			c := newClient(t, func(o *Options) { o.StreamIdleTimeout = 20 * time.Millisecond })
			res := c.Decode(t.Context(), p.addr, request(), func(string) error { return nil })
			if res.Outcome != decide.Reset || res.Tokens != 1 || c.pool.idle.Len() != 0 {
				t.Errorf("%+v, %d kept", res, c.pool.idle.Len())
			}
		})
	}
}

// A drip of comments is no life: without an event it ends as one that stopped.
func TestDripOfComments(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, streamHead+chunk(eventA))
		for err == nil { // until the client closes
			time.Sleep(time.Millisecond)
			_, err = io.WriteString(conn, chunk(": x\n\n"))
		}
	}()
	c := newClient(t, func(o *Options) { o.StreamIdleTimeout = 50 * time.Millisecond })
	res := c.Decode(t.Context(), l.Addr().String(), request(), func(string) error { return nil })
	if res.Outcome != decide.Reset || res.Tokens != 1 {
		t.Errorf("%+v", res)
	}
	<-done
}

// What the engine gets is the client's own, and the time for which the router waits.
func TestPassedOnUnchanged(t *testing.T) {
	p := play(t, true, always(whole("202 x", `{"cached_tokens":0}`)))
	c := newClient(t, nil)
	c.Prefill(t.Context(), p.addr, request())
	h := p.heads[0]
	id, _ := h.Get(platform.IDHeader)
	left, _ := h.Get(platform.TimeLeftHeader)
	if key, n := h.Get("Idempotency-Key"); key != "k7" || n != 1 {
		t.Errorf("%d idempotency keys, %q", n, key)
	}
	if n, err := strconv.Atoi(left); h.Line != "POST /v1/chat/completions?a=b HTTP/1.1" || id != "id1" ||
		p.bodies[0] != `{"x":1}` || err != nil || n < 1 || n > 60000 {
		t.Errorf("%+v %q", h, p.bodies[0])
	}
}

// A connection is kept after a whole answer only, and one that its engine has closed, or on which something
// came unasked, gets no request.
func TestConnectionsKept(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		stay         bool
		conns        int64
	}{
		{"kept", whole("202 x", `{}`), true, 1},
		{"closed by the engine", whole("202 x", `{}`), false, 3},
		{"said to be closed", whole("202 x", `{}`, "Connection: close"), true, 3},
		{"something behind", whole("202 x", `{}`) + "more", true, 3},
		{"1xx in front", "HTTP/1.1 100 x\r\n\r\n" + whole("202 x", `{}`), true, 3},
		{"no JSON", whole("202 x", `<`), true, 1},
		{"an error", whole("500 x", "oh"), true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := play(t, c.stay, always(c.answer))
			cl := newClient(t, nil)
			for range 3 {
				cl.Prefill(t.Context(), p.addr, request())
				if !c.stay { // until the close has come
					for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
						conn := cl.pool.take(p.addr, 0)
						if conn == nil {
							break
						}
						sound := conn.sound()
						used := conn.used
						cl.pool.put(conn)
						conn.used = used
						if !sound {
							break
						}
						time.Sleep(time.Millisecond)
					}
				}
			}
			if n := p.conns.Load(); n != c.conns || p.requests() != 3 {
				t.Errorf("%d connections, %d requests", n, p.requests())
			}
		})
	}
}

// One kept connection that its engine resets puts the others in doubt; what may be sent once never goes on a
// kept one.
func TestDoubtOfKeptConnections(t *testing.T) {
	p := play(t, true, always(whole("202 x", "{}")))
	c := newClient(t, nil)
	c.Prefill(t.Context(), p.addr, request())
	once := request()
	once.NonIdempotent = true
	if c.pool.idle.Len() != 1 {
		t.Fatal("nothing was kept")
	}
	kept := c.pool.idle.Front().Value.(*conn)
	x := &exchange{client: c, ctx: t.Context(), conn: kept}
	if x.doubted(); len(c.pool.doubt) != 0 {
		t.Error("a fresh connection's end put others in doubt")
	}
	kept.uses = 1
	x.doubted()
	if c.pool.idle.Len() != 0 {
		t.Error("kept connections stayed")
	}
	c.Probe(t.Context(), p.addr, false)
	if c.pool.idle.Len() != 0 {
		t.Error("one was kept in doubt")
	}
	c.pool.doubt[p.addr] = time.Now().Add(-time.Second)
	c.pool.expire()
	if len(c.pool.doubt) != 0 {
		t.Error("the doubt never ends")
	}
	c.Probe(t.Context(), p.addr, false)
	before := p.conns.Load()
	c.Prefill(t.Context(), p.addr, once)
	if n := p.conns.Load(); n != before+1 {
		t.Errorf("%d connections more for what may be sent once", n-before)
	}
}

// A connection that breaks before the request's last byte has brought none: another carries it, and the engine
// gets it once. One that breaks after it is a reset.
func TestBrokenBeforeTheLastByte(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  int // bytes of the body that are read before the reset
		resets int // connections that are reset so
		want   decide.Outcome
	}{
		{"once", 6, 1, decide.ReadDone}, {"twice", 0, 2, decide.ReadDone}, {"always", 6, 99, decide.ConnectFailed},
		{"after the last byte", 7, 1, decide.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			served := 0
			done := make(chan struct{})
			go func() {
				defer close(done)
				for n := 0; ; n++ {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					br := bufio.NewReader(conn)
					http1.ReadHead(br, 1<<16)
					if n < c.resets {
						io.CopyN(io.Discard, br, int64(c.after))
						conn.(*net.TCPConn).SetLinger(0)
						conn.Close()
						continue
					}
					io.CopyN(io.Discard, br, 7)
					served++
					io.WriteString(conn, whole("202 x", "{}"))
					conn.Close()
				}
			}()
			cl := newClient(t, nil)
			cl.pool.standsAfter = time.Second // until the reset has come
			if c.after == 7 {
				cl.pool.standsAfter = time.Millisecond
			}
			res := cl.Prefill(t.Context(), l.Addr().String(), request())
			l.Close()
			<-done
			if res.Outcome != c.want || served > 1 {
				t.Errorf("outcome %d, %v, served %d times", res.Outcome, res.Err, served)
			}
		})
	}
}

// An attempt that is given up closes its connection, and its cause is its outcome.
func TestGivenUp(t *testing.T) {
	for _, c := range []struct {
		cause error
		want  decide.Outcome
	}{{engine.ErrTimedOut, decide.TimedOut}, {engine.ErrCancelled, decide.Cancelled}} {
		heard := make(chan bool)
		closed := make(chan error, 1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			br := bufio.NewReader(conn)
			http1.ReadHead(br, 1<<16)
			io.CopyN(io.Discard, br, 7)
			close(heard)
			_, err = br.ReadByte()
			closed <- err
		}()
		ctx, cancel := context.WithCancelCause(t.Context())
		go func() { <-heard; cancel(c.cause) }()
		res := newClient(t, nil).Prefill(ctx, l.Addr().String(), request())
		if res.Outcome != c.want {
			t.Errorf("%v: outcome %d, %v", c.cause, res.Outcome, res.Err)
		}
		if err := <-closed; err == nil {
			t.Error("the connection stayed open")
		}
		l.Close()
	}
}

// Nothing ran where no connection came up, also for want of room.
func TestNeverConnected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	if res := newClient(t, nil).Prefill(t.Context(), addr, request()); res.Outcome != decide.ConnectFailed {
		t.Errorf("refused: %d %v", res.Outcome, res.Err)
	}
	p := play(t, true, always(whole("202 x", "{}")))
	res := newClient(t, func(o *Options) { o.MaxConns = 0 }).Prefill(t.Context(), p.addr, request())
	if res.Outcome != decide.ConnectFailed || !errors.Is(res.Err, errLimit) || p.requests() != 0 {
		t.Errorf("no room: %d %v", res.Outcome, res.Err)
	}
}

// The bound holds over all engines: the connection unused for longest makes room, and a release finds some
// even when attempts hold all.
func TestBoundOfConnections(t *testing.T) {
	c := newClient(t, func(o *Options) { o.MaxConns, o.ReleaseConns = 2, 1 })
	answer := always(whole("202 x", "{}"))
	var peers []*peer
	for range 3 {
		p := play(t, true, answer)
		peers = append(peers, p)
		c.Prefill(t.Context(), p.addr, request())
	}
	if n := c.pool.idle.Len(); n != 2 || c.pool.total != 2 {
		t.Errorf("%d idle of %d", n, c.pool.total)
	}
	if got := c.pool.take(peers[0].addr, 0); got != nil {
		t.Error("the oldest stayed")
	}
	a, b := c.pool.take(peers[1].addr, 0), c.pool.take(peers[2].addr, 0)
	if res := c.Prefill(t.Context(), peers[0].addr, request()); res.Outcome != decide.ConnectFailed {
		t.Errorf("over the bound: %d", res.Outcome)
	}
	if err := c.Release(t.Context(), &engine.State{Addr: peers[0].addr, Handle: "id1"}); err != nil {
		t.Errorf("a release: %v", err)
	}
	a.Close()
	b.Close()
}

// A release that its engine does not hear is taken to another that answers.
func TestReleaseElsewhere(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close() // connections come up in the kernel's queue, and nothing answers
	p := play(t, true, func(_ int, h *http1.Head) string {
		if strings.HasPrefix(h.Line, "DELETE ") {
			return "HTTP/1.1 204 No Content\r\n\r\n"
		}
		return whole("202 x", "{}")
	})
	c := newClient(t, nil)
	c.Prefill(t.Context(), p.addr, request())
	if err := c.Release(t.Context(), &engine.State{Addr: silent.Addr().String(), Handle: "id1"}); err != nil {
		t.Fatal(err)
	}
	if h := p.heads[1]; h.Line != "DELETE /v1/holds/id1 HTTP/1.1" {
		t.Errorf("%+v", h)
	}
	if err := c.CancelRead(t.Context(), p.addr, "id2"); err != nil || p.heads[2].Line != "DELETE /v1/holds/id2 HTTP/1.1" {
		t.Errorf("%v", err)
	}
}

// A read that was given up is called off only when it has had time to end: a call that overtakes the closing of
// its connection finds nothing, and what the read then leaves stays.
func TestCallOffWaitsForTheReadsEnd(t *testing.T) {
	p := play(t, true, always("HTTP/1.1 204 x\r\n\r\n"))
	c := newClient(t, nil)
	c.readEnds = time.Hour
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := c.CancelRead(ctx, p.addr, "id1"); err == nil || p.requests() != 0 {
		t.Errorf("%v, %d calls", err, p.requests())
	}
}

func TestProbesAndPlaces(t *testing.T) {
	answers := map[string]string{
		"GET /metrics/load HTTP/1.1":  whole("200 OK", `{"latency_ms":12,"x0":0.5,"x1":3}`),
		"POST /v1/holds/yes HTTP/1.1": whole("200 OK", ""),
		"POST /v1/holds/no HTTP/1.1":  whole("409 x", ""),
		"POST /v1/holds/who HTTP/1.1": "HTTP/1.1 204 x\r\n\r\n",
	}
	p := play(t, true, func(_ int, h *http1.Head) string { return answers[h.Line] })
	c := newClient(t, nil)
	if r := c.Probe(t.Context(), p.addr, false); r.Outcome != decide.Served || r.Report != (decide.Report{MemoryUse: 0.5, QueuedKTokens: 3, Latency: 12}) {
		t.Errorf("%+v", r)
	}
	for name, want := range map[string]bool{"yes": true, "no": false, "who": false} {
		if held, err := c.Reserve(t.Context(), p.addr, &engine.ReservationRequest{Request: name}); held != want || err != nil {
			t.Errorf("%s: %v %v", name, held, err)
		}
	}
	for _, answer := range []string{whole("503 x", ""), whole("200 OK", "nonsense")} {
		q := play(t, true, always(answer))
		if r := c.Probe(t.Context(), q.addr, false); r.Report != engine.NoReport() || (r.Outcome == decide.Served) != strings.Contains(answer, "200") {
			t.Errorf("%q: %+v", answer, r)
		}
	}
}

// What is kept by engine is gone with the engine, also when its last answer came after the word of its end.
func TestNothingIsKeptOfEnginesThatLeft(t *testing.T) {
	c := newClient(t, nil)
	for i := range 50 {
		addr := fmt.Sprintf("10.0.0.%d:1", i)
		c.heard[addr] = time.Now()
		c.pool.distrust(addr)
		c.ForgetEngine(addr)
		c.heard[addr] = time.Now()
	}
	for addr := range c.pool.doubt {
		c.pool.doubt[addr] = time.Now().Add(-time.Millisecond)
	}
	c.expire(time.Now())
	if len(c.heard) != 50 || len(c.pool.doubt) != 0 {
		t.Errorf("%d heard, %d doubted", len(c.heard), len(c.pool.doubt))
	}
	if c.expire(time.Now().Add(2 * heardFor)); len(c.heard) != 0 {
		t.Errorf("%d heard", len(c.heard))
	}
}

// A call that asks for a connection that was heard lately gets a new one where the kept ones have rested for longer.
func TestConnectionsHeardLately(t *testing.T) {
	p := play(t, true, always(whole("202 x", `{}`)))
	cl := newClient(t, nil)
	q := request()
	for i, within := range []time.Duration{0, time.Hour, time.Nanosecond, 0} {
		q.LastResponseWithin = within
		if res := cl.Prefill(t.Context(), p.addr, q); res.Outcome != decide.ReadDone {
			t.Fatalf("call %d: %+v", i, res)
		}
	}
	if n := p.conns.Load(); n != 2 {
		t.Errorf("%d connections were made, want 2", n)
	}
}

// What is held at an engine that is gone is let go at another that is listed, also when none was ever heard.
func TestReleaseAtAnEngineNeverHeard(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := gone.Addr().String()
	gone.Close() // nobody answers there
	p := play(t, true, always("HTTP/1.1 204 x\r\n\r\n"))
	c := newClient(t, nil)
	c.EngineListed(addr)
	c.EngineListed(p.addr)
	if err := c.Release(t.Context(), &engine.State{Addr: addr, Handle: "id1"}); err != nil {
		t.Error(err)
	}
	c.ForgetEngine(p.addr)
	if len(c.listed) != 1 {
		t.Errorf("%d engines are listed", len(c.listed))
	}
}
