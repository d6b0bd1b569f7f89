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

// fakeEngine is an engine that answers requests with given responses and records request heads, bodies and
// connections.
type fakeEngine struct {
	addr   string
	conns  atomic.Int64
	mu     sync.Mutex
	heads  []*http1.Head
	bodies []string
}

// startFakeEngine starts an engine that answers each request with what answer returns; n is the request's number over
// all connections. With keepOpen a connection stays open for more requests, otherwise it is closed after one
// response.
func startFakeEngine(t *testing.T, keepOpen bool, answer func(n int, h *http1.Head) string) *fakeEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &fakeEngine{addr: l.Addr().String()}
	var work sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	stopped := false
	work.Add(1)
	go func() {
		defer work.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			if stopped {
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
					if _, err := io.WriteString(c, answer(i, h)); err != nil || !keepOpen {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		stopped = true
		for c := range open {
			c.Close()
		}
		mu.Unlock()
		work.Wait()
	})
	return p
}

// alwaysRespond answers every request with s.
func alwaysRespond(s string) func(int, *http1.Head) string {
	return func(int, *http1.Head) string { return s }
}

func (p *fakeEngine) requests() int {
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
	c.connReuseDelay = 0 // connections are reused at once; TestConnectionIsReusedOnlyAfterDelay covers the delay
	t.Cleanup(c.Close)
	return c
}

func request() *engine.Call {
	return &engine.Call{Params: engine.Params{Request: "id1"}, ResponseDeadline: time.Now().Add(time.Minute),
		Message: &engine.Message{Target: "/v1/chat/completions?a=b", Fields: []http1.Field{{Name: "Idempotency-Key", Value: "k7"}}, Body: []byte(`{"x":1}`)}}
}

func response(status string, body string, fields ...string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" +
		strings.Join(append(fields, ""), "\r\n") + "\r\n" + body
}

const unprocessedHeader = "X-Unprocessed: 1"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	eventA     = `data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}` + "\n\n"
	eventB     = `data: {"choices":[{"index":0,"delta":{"content":"zzzz"},"finish_reason":null}]}` + "\n\n"
	eventEnd   = "data: [DONE]\n\n"
	lastChunk  = "0\r\n\r\n"
)

// Covers every row of the protocol's table of outcomes. Only the engine's X-Unprocessed header, or a connection that
// never came up, proves that nothing was executed.
func TestOutcomesOfReads(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         decide.Outcome
		noState      bool
	}{
		{"read", response("202 Accepted", `{"cached_tokens":4096}`), decide.ReadDone, false},
		{"read, after 1xx", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response("202 Accepted", `{"cached_tokens":4096}`), decide.ReadDone, false},
		{"read, report unreadable", response("202 Accepted", `{"cached_tokens":4096}`, platform.LoadHeader+": {x0"), decide.ReadDone, false},
		{"error", response("500 x", "no"), decide.Error, false},
		{"full", response("503 x", "", unprocessedHeader), decide.Full, false},
		{"too late", response("504 x", "", unprocessedHeader), decide.Full, false},
		{"state gone", response("410 x", "", unprocessedHeader), decide.Full, true},
		{"503 without X-Unprocessed", response("503 x", ""), decide.Error, false},
		{"500 with X-Unprocessed", response("500 x", "", unprocessedHeader), decide.Error, false},
		{"X-Unprocessed has another value", response("503 x", "", "X-Unprocessed: 0"), decide.Error, false},
		{"closed", "", decide.Reset, false},
		{"noise", "\x00\x01\x02noise\r\n\r\n", decide.Reset, false},
		{"endless head", "HTTP/1.1 202 OK\r\n" + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 100), decide.Reset, false},
		{"endless 1xx responses", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100) + response("202 x", "{}"), decide.Reset, false},
		{"half a body", "HTTP/1.1 202 x\r\nContent-Length: 500\r\n\r\n{", decide.Reset, false},
		{"no JSON", response("202 x", "<html>"), decide.Reset, false},
		{"read, to the end of the connection", "HTTP/1.1 202 x\r\nConnection: close\r\n\r\n" + `{"cached_tokens":4096}`, decide.ReadDone, false},
		{"half a body, to the end of the connection", "HTTP/1.1 202 x\r\n\r\n" + `{"cached_tokens":40`, decide.Reset, false},
		{"body without an end", "HTTP/1.1 202 x\r\n\r\n" + `{"cached_tokens":4096}` + strings.Repeat(" ", 2*maxBodySize), decide.Reset, false},
		{"read, in chunks", "HTTP/1.1 202 x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(`{"cached_`) + chunk(`tokens":4096}`) + lastChunk, decide.ReadDone, false},
		{"chunks without the last one", "HTTP/1.1 202 x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(`{"cached_tokens":4096}`), decide.Reset, false},
		{"chunks, HTTP/1.0", "HTTP/1.0 202 x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(`{"cached_tokens":4096}`) + lastChunk, decide.Reset, false},
		{"body longer than its length", "HTTP/1.1 202 x\r\nContent-Length: 15\r\n\r\n" + `{"cached_tokens":4096}`, decide.Reset, false},
		{"body too large", "HTTP/1.1 202 x\r\nContent-Length: 3000000000\r\n\r\n{", decide.Reset, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startFakeEngine(t, false, alwaysRespond(c.answer))
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
		{"served, with a report", streamHead + chunk(eventA+eventEnd) + chunk(loadCommentPrefix+` {"x0":0.25}`+"\n\n") + lastChunk, decide.Served, 2},
		{"served, report unreadable", streamHead + chunk(eventA+eventEnd) + chunk(loadCommentPrefix+" {x") + lastChunk, decide.Served, 2},
		{"served, followed by a second response", streamHead + chunk(eventA+eventEnd) + lastChunk + response("200 OK", "x"), decide.Served, 2},
		{"served, one large chunk", streamHead + chunk(strings.Repeat(eventA, 2000)+eventEnd) + lastChunk, decide.Served, 2001},
		{"served, comments behind [DONE]", streamHead + chunk(eventA+eventEnd+": x\n\n: y\n") + lastChunk, decide.Served, 2},
		{"last chunk without [DONE]", streamHead + chunk(eventA) + lastChunk, decide.Reset, 1},
		{"[DONE] without its blank line", streamHead + chunk(eventA+eventEnd[:len(eventEnd)-1]) + lastChunk, decide.Reset, 1},
		{"[DONE] in a comment", streamHead + chunk(eventA+": [DONE]\n\n") + lastChunk, decide.Reset, 1},
		{"event without its blank line", streamHead + chunk(eventA+eventA[:len(eventA)-1]) + lastChunk, decide.Reset, 1},
		{"event behind [DONE]", streamHead + chunk(eventA+eventEnd) + chunk(eventA) + lastChunk, decide.Reset, 2},
		{"[DONE] twice", streamHead + chunk(eventA+eventEnd+eventEnd) + lastChunk, decide.Reset, 2},
		{"noise behind [DONE]", streamHead + chunk(eventA+eventEnd+"x") + lastChunk, decide.Reset, 2},
		{"size 0 before an event", streamHead + chunk(eventA) + "0\r\n" + eventA + "\r\n" + lastChunk, decide.Reset, 1},
		{"size 0 before a field with CRLF", streamHead + chunk(eventA) + "0\r\ndata: 1\r\n\r\n" + lastChunk, decide.Reset, 1},
		{"no last chunk", streamHead + chunk(eventA+eventEnd), decide.Reset, 2},
		{"no event", streamHead + lastChunk, decide.Reset, 0},
		{"cut off in an event", streamHead + chunk(eventA) + chunk(eventA[:20]), decide.Reset, 1},
		{"random bytes for an event", streamHead + chunk("\x00\xffnoise\n\n") + lastChunk, decide.Reset, 0},
		{"no JSON", streamHead + chunk("data: {\n\n") + lastChunk, decide.Reset, 0},
		{"malformed chunk size", streamHead + chunk(eventA) + "zz\r\n" + eventA, decide.Reset, 1},
		{"chunk size is too small", streamHead + chunk(eventA) + "5\r\n" + eventA + "\r\n" + lastChunk, decide.Reset, 1},
		{"chunk of 3 GB", streamHead + chunk(eventA) + "c0000000\r\n" + strings.Repeat("x", 1<<17), decide.Reset, 1},
		{"endless event", streamHead + chunk(": ") + strings.Repeat(chunk(strings.Repeat("x", 1<<14)), 8) + chunk("\n\n"+eventA) + lastChunk, decide.Reset, 0},
		{"not chunked", response("200 OK", eventA, "Content-Type: text/event-stream"), decide.Reset, 0},
		{"not a stream", response("200 OK", "{}", "Content-Type: application/json"), decide.Reset, 0},
		{"state gone", response("410 x", "", unprocessedHeader), decide.Full, 0},
		{"error", response("500 x", ""), decide.Error, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startFakeEngine(t, false, alwaysRespond(c.answer))
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
					t.Errorf("event %d was modified: %q", i, e)
				}
			}
			if c.name == "served, with a report" && res.Report.MemoryUse != 0.25 {
				t.Errorf("%+v", res.Report)
			}
		})
	}
}

// Events reach the client as the engine has written them, in each form that server-sent events may have.
func TestEventsArePassedOnUnchanged(t *testing.T) {
	for name, event := range map[string]string{
		"CRLF": "data: {\"a\":1}\r\n\r\n", "no space": "data:{\"a\":1}\n\n", "data in two lines": "data: {\"a\":\ndata: 1}\n\n",
		"further fields": "event: message\nid: 4\nretry: 10\ndata: 1\n\n", "comment in the event": ": x\ndata: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 7, 1000} { // of the chunks
				answer := streamHead
				for text := event + event + "id: 5\n\n" + eventEnd; text != ""; text = text[min(size, len(text)):] {
					answer += chunk(text[:min(size, len(text))])
				}
				p := startFakeEngine(t, false, alwaysRespond(answer+lastChunk))
				got := ""
				res := newClient(t, nil).Decode(t.Context(), p.addr, request(), func(e string) error {
					got += e
					return nil
				})
				if res.Outcome != decide.Served || got != event+event+eventEnd {
					t.Errorf("chunks of %d bytes: outcome %d, %v, %q", size, res.Outcome, res.Err, got)
				}
			}
		})
	}
}

// A stream that stalls, or delivers no further event, counts as broken after StreamIdleTimeout, wherever it stops.
func TestStalledStreamIsReset(t *testing.T) {
	for name, after := range map[string]string{
		"between events": "", "in a chunk": "50\r\ndata: ", "in a chunk's size": "5", "with comments only": strings.Repeat(chunk(": x\n\n"), 3),
	} {
		t.Run(name, func(t *testing.T) {
			p := startFakeEngine(t, true, alwaysRespond(streamHead+chunk(eventA)+after))
			c := newClient(t, func(o *Options) { o.StreamIdleTimeout = 20 * time.Millisecond })
			res := c.Decode(t.Context(), p.addr, request(), func(string) error { return nil })
			if res.Outcome != decide.Reset || res.Tokens != 1 || c.pool.idle.Len() != 0 {
				t.Errorf("%+v, %d kept", res, c.pool.idle.Len())
			}
		})
	}
}

// Comments do not count as events: a stream that delivers only comments ends like one that has stalled.
func TestCommentsDoNotKeepStreamOpen(t *testing.T) {
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
		for err == nil { // until the client closes the connection
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

// The engine gets the client's request unchanged, plus the time for which the router waits.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	p := startFakeEngine(t, true, alwaysRespond(response("202 x", `{"cached_tokens":0}`)))
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

// A connection is kept only after a complete response. A connection that its engine has closed, or on which
// unexpected data has arrived, gets no request.
func TestConnectionReuse(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		keepOpen     bool
		conns        int64
	}{
		{"kept", response("202 x", `{}`), true, 1},
		{"closed by the engine", response("202 x", `{}`), false, 3},
		{"with Connection: close", response("202 x", `{}`, "Connection: close"), true, 3},
		{"data after the response", response("202 x", `{}`) + "more", true, 3},
		{"chunked", "HTTP/1.1 202 x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("{}") + lastChunk, true, 1},
		{"1xx response first", "HTTP/1.1 100 x\r\n\r\n" + response("202 x", `{}`), true, 3},
		{"no JSON", response("202 x", `<`), true, 1},
		{"an error", response("500 x", "oh"), true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startFakeEngine(t, c.keepOpen, alwaysRespond(c.answer))
			cl := newClient(t, nil)
			for range 3 {
				cl.Prefill(t.Context(), p.addr, request())
				if !c.keepOpen { // wait until the close has arrived
					for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
						conn := cl.pool.takeIdle(p.addr, 0)
						if conn == nil {
							break
						}
						usable := conn.usable()
						used := conn.lastUsed
						cl.pool.put(conn)
						conn.lastUsed = used
						if !usable {
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

// A response that announces a body where none may be has an end that nobody knows: its connection is not kept, nor one on which
// bytes have come behind a response.
func TestConnectionWithUnknownEndOfResponseIsNotKept(t *testing.T) {
	for answer, kept := range map[string]int{
		"HTTP/1.1 204 x\r\n\r\n":                               1,
		"HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n":          1,
		"HTTP/1.1 204 x\r\nContent-Length: 5\r\n\r\n":          0,
		"HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\n\r\n": 0,
		"HTTP/1.1 204 x\r\n\r\nmore":                           0,
	} {
		p := startFakeEngine(t, true, alwaysRespond(answer))
		c := newClient(t, nil)
		if err := c.sendRelease(t.Context(), p.addr, "id1", false, time.Minute); err != nil || c.pool.idle.Len() != kept {
			t.Errorf("%q: %v, %d connections kept, want %d", answer, err, c.pool.idle.Len(), kept)
		}
	}
}

// After an engine has reset one kept connection, its other kept connections are not reused. A request that must not
// be sent twice never goes on a kept connection.
func TestResetOfKeptConnectionDistrustsTheOthers(t *testing.T) {
	p := startFakeEngine(t, true, alwaysRespond(response("202 x", "{}")))
	c := newClient(t, nil)
	c.Prefill(t.Context(), p.addr, request())
	once := request()
	once.NonIdempotent = true
	if c.pool.idle.Len() != 1 {
		t.Fatal("no connection was kept")
	}
	kept := c.pool.idle.Front().Value.(*conn)
	x := &exchange{client: c, ctx: t.Context(), conn: kept}
	if x.distrustConn(); len(c.pool.distrustedUntil) != 0 {
		t.Error("the reset of a new connection caused others to be distrusted")
	}
	kept.uses = 1
	x.distrustConn()
	if c.pool.idle.Len() != 0 {
		t.Error("kept connections were not closed")
	}
	c.Probe(t.Context(), p.addr, false)
	if c.pool.idle.Len() != 0 {
		t.Error("a connection to a distrusted engine was kept")
	}
	c.pool.distrustedUntil[p.addr] = time.Now().Add(-time.Second)
	c.pool.closeExpired()
	if len(c.pool.distrustedUntil) != 0 {
		t.Error("the distrust never ends")
	}
	c.Probe(t.Context(), p.addr, false)
	before := p.conns.Load()
	c.Prefill(t.Context(), p.addr, once)
	if n := p.conns.Load(); n != before+1 {
		t.Errorf("%d new connections for a request that must not be sent twice, want 1", n-before)
	}
}

// A connection that breaks before the request's last byte has delivered no request: another connection carries it,
// and the engine gets it once. A break after the last byte is a reset.
func TestConnectionBrokenBeforeLastByteIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  int // bytes of the body that are read before the reset
		resets int // number of connections that are reset this way
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
					io.WriteString(conn, response("202 x", "{}"))
					conn.Close()
				}
			}()
			cl := newClient(t, nil)
			cl.pool.lastByteDelay = time.Second // until the reset has arrived
			if c.after == 7 {
				cl.pool.lastByteDelay = time.Millisecond
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

// A cancelled attempt closes its connection, and the cause of the cancellation determines its outcome.
func TestCancelledAttemptClosesConnection(t *testing.T) {
	for _, c := range []struct {
		cause error
		want  decide.Outcome
	}{{engine.ErrTimedOut, decide.TimedOut}, {engine.ErrCancelled, decide.Cancelled}} {
		received := make(chan bool)
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
			close(received)
			_, err = br.ReadByte()
			closed <- err
		}()
		ctx, cancel := context.WithCancelCause(t.Context())
		go func() { <-received; cancel(c.cause) }()
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

// Nothing is executed if no connection comes up, also when the connection limit prevents it.
func TestFailedConnect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	if res := newClient(t, nil).Prefill(t.Context(), addr, request()); res.Outcome != decide.ConnectFailed {
		t.Errorf("refused: %d %v", res.Outcome, res.Err)
	}
	p := startFakeEngine(t, true, alwaysRespond(response("202 x", "{}")))
	res := newClient(t, func(o *Options) { o.MaxConns = 0 }).Prefill(t.Context(), p.addr, request())
	if res.Outcome != decide.ConnectFailed || !errors.Is(res.Err, errLimit) || p.requests() != 0 {
		t.Errorf("limit reached: %d %v", res.Outcome, res.Err)
	}
}

// The limit holds for all engines together: the connection unused for longest is closed to make room, and a release
// gets a connection even when attempts use all others.
func TestConnectionLimit(t *testing.T) {
	c := newClient(t, func(o *Options) { o.MaxConns, o.ReleaseConns = 2, 1 })
	answer := alwaysRespond(response("202 x", "{}"))
	var engines []*fakeEngine
	for range 3 {
		p := startFakeEngine(t, true, answer)
		engines = append(engines, p)
		c.Prefill(t.Context(), p.addr, request())
	}
	if n := c.pool.idle.Len(); n != 2 || c.pool.total != 2 {
		t.Errorf("%d idle of %d", n, c.pool.total)
	}
	if got := c.pool.takeIdle(engines[0].addr, 0); got != nil {
		t.Error("the oldest connection was not closed")
	}
	a, b := c.pool.takeIdle(engines[1].addr, 0), c.pool.takeIdle(engines[2].addr, 0)
	if res := c.Prefill(t.Context(), engines[0].addr, request()); res.Outcome != decide.ConnectFailed {
		t.Errorf("over the limit: %d", res.Outcome)
	}
	if err := c.Release(t.Context(), &engine.State{Addr: engines[0].addr, Handle: "id1"}); err != nil {
		t.Errorf("a release: %v", err)
	}
	a.Close()
	b.Close()
}

// A release that its own engine does not answer is sent to another engine that responds.
func TestReleaseAtAnotherEngine(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close() // connections are accepted by the kernel, and nothing answers
	p := startFakeEngine(t, true, func(_ int, h *http1.Head) string {
		if strings.HasPrefix(h.Line, "DELETE ") {
			return "HTTP/1.1 204 No Content\r\n\r\n"
		}
		return response("202 x", "{}")
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

// A cancelled read is released only after it has had time to end: a release that overtakes the close of the read's
// connection finds nothing, and the KV state that the read then leaves is never released.
func TestCancelReadWaitsForReadToEnd(t *testing.T) {
	p := startFakeEngine(t, true, alwaysRespond("HTTP/1.1 204 x\r\n\r\n"))
	c := newClient(t, nil)
	c.readEndDelay = time.Hour
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := c.CancelRead(ctx, p.addr, "id1"); err == nil || p.requests() != 0 {
		t.Errorf("%v, %d calls", err, p.requests())
	}
}

func TestProbesAndReservations(t *testing.T) {
	answers := map[string]string{
		"GET /metrics/load HTTP/1.1":  response("200 OK", `{"latency_ms":12,"x0":0.5,"x1":3}`),
		"POST /v1/holds/yes HTTP/1.1": response("200 OK", ""),
		"POST /v1/holds/no HTTP/1.1":  response("409 x", ""),
		"POST /v1/holds/who HTTP/1.1": "HTTP/1.1 204 x\r\n\r\n",
	}
	p := startFakeEngine(t, true, func(_ int, h *http1.Head) string { return answers[h.Line] })
	c := newClient(t, nil)
	if r := c.Probe(t.Context(), p.addr, false); r.Outcome != decide.Served || r.Report != (decide.Report{MemoryUse: 0.5, QueuedKTokens: 3, Latency: 12}) {
		t.Errorf("%+v", r)
	}
	for name, want := range map[string]bool{"yes": true, "no": false, "who": false} {
		if held, err := c.Reserve(t.Context(), p.addr, &engine.ReservationRequest{Request: name}); held != want || err != nil {
			t.Errorf("%s: %v %v", name, held, err)
		}
	}
	for _, answer := range []string{response("503 x", ""), response("200 OK", "nonsense")} {
		q := startFakeEngine(t, true, alwaysRespond(answer))
		if r := c.Probe(t.Context(), q.addr, false); r.Report != engine.NoReport() || (r.Outcome == decide.Served) != strings.Contains(answer, "200") {
			t.Errorf("%q: %+v", answer, r)
		}
	}
}

// Everything stored for an engine is dropped when it leaves, even if its last response came after it was forgotten.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	c := newClient(t, nil)
	for i := range 50 {
		addr := fmt.Sprintf("10.0.0.%d:1", i)
		c.lastResponse[addr] = time.Now()
		c.pool.distrust(addr)
		c.ForgetEngine(addr)
		c.lastResponse[addr] = time.Now()
	}
	for addr := range c.pool.distrustedUntil {
		c.pool.distrustedUntil[addr] = time.Now().Add(-time.Millisecond)
	}
	c.expire(time.Now())
	if len(c.lastResponse) != 50 || len(c.pool.distrustedUntil) != 0 {
		t.Errorf("%d responses stored, %d engines distrusted", len(c.lastResponse), len(c.pool.distrustedUntil))
	}
	if c.expire(time.Now().Add(2 * lastResponseTTL)); len(c.lastResponse) != 0 {
		t.Errorf("%d responses stored", len(c.lastResponse))
	}
}

// A call that requires a recent response on its connection gets a new connection if the kept ones have been idle for
// longer.
func TestLastResponseWithin(t *testing.T) {
	p := startFakeEngine(t, true, alwaysRespond(response("202 x", `{}`)))
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

// The holds at an engine that is gone are released at another engine in the server list, even if none has ever
// responded.
func TestReleaseAtListedEngineWithoutResponses(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := closed.Addr().String()
	closed.Close() // nothing listens there
	p := startFakeEngine(t, true, alwaysRespond("HTTP/1.1 204 x\r\n\r\n"))
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
