package chat

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/http1"
)

// startScriptedEngine starts an engine that serves each connection with the test's own function; n is the
// connection's number.
func startScriptedEngine(t *testing.T, serve func(n int, c net.Conn, br *bufio.Reader)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	work.Go(func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer c.Close()
				c.SetDeadline(time.Now().Add(20 * time.Second))
				serve(n, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() { l.Close(); work.Wait() })
	return l.Addr().String()
}

// readRequest reads a whole request. It returns false at the end of the connection.
func readRequest(br *bufio.Reader) bool {
	h, err := http1.ReadHead(br, 1<<16)
	if err != nil {
		return false
	}
	n, _, _ := h.Framing()
	_, err = io.CopyN(io.Discard, br, max(n, 0))
	return err == nil
}

// A second response arrives while the next request is being written, before its last byte. The request has reached no
// engine, so another connection carries it, and the second response is not taken for the request's own.
func TestSecondAnswerBeforeTheLastByte(t *testing.T) {
	requests := make(chan int, 10)
	addr := startScriptedEngine(t, func(n int, c net.Conn, br *bufio.Reader) {
		if n > 0 {
			for readRequest(br) {
				requests <- n
				io.WriteString(c, response("202 x", `{"cached_tokens":7}`))
			}
			return
		}
		readRequest(br)
		io.WriteString(c, response("202 x", `{"cached_tokens":1}`))
		// The head of the next request has arrived, its last byte has not.
		if _, err := http1.ReadHead(br, 1<<16); err != nil {
			t.Error(err)
			return
		}
		io.WriteString(c, response("202 x", `{"cached_tokens":99}`))
		io.Copy(io.Discard, br)
	})
	c := newClient(t, nil)
	if res := c.Prefill(t.Context(), addr, request()); res.CachedTokens != 1 {
		t.Fatalf("first request: %+v", res)
	}
	c.pool.lastByteDelay = 2 * time.Second // until the second response has arrived
	res := c.Prefill(t.Context(), addr, request())
	if res.Outcome != decide.ReadDone || res.CachedTokens != 7 {
		t.Errorf("second request: outcome %d, %g cached tokens, %v", res.Outcome, res.CachedTokens, res.Err)
	}
	if len(requests) != 1 || <-requests != 1 {
		t.Errorf("the second connection did not carry the request exactly once")
	}
}

// A second response may also arrive just after the next request's last byte, when it can't be told from the request's
// own response. A connection is therefore not reused after an attempt for longer than such responses take. The
// connection of a probe needs no such delay.
func TestConnectionIsReusedOnlyAfterDelay(t *testing.T) {
	p := startFakeEngine(t, true, func(_ int, h *http1.Head) string {
		if strings.HasPrefix(h.Line, "GET ") {
			return response("200 OK", `{"x0":0.5}`)
		}
		return response("202 x", `{"cached_tokens":1}`)
	})
	c := newClient(t, nil)
	c.connReuseDelay = 20 * time.Second
	c.Probe(t.Context(), p.addr, false)
	c.Prefill(t.Context(), p.addr, request())
	if n := p.conns.Load(); n != 1 {
		t.Errorf("%d connections for a probe and a read", n)
	}
	c.Prefill(t.Context(), p.addr, request())
	if n := p.conns.Load(); n != 2 || c.pool.idle.Len() != 2 {
		t.Errorf("%d connections for a further read, %d kept", n, c.pool.idle.Len())
	}
	for e := c.pool.idle.Front(); e != nil; e = e.Next() {
		e.Value.(*conn).lastUsed = time.Now().Add(-c.connReuseDelay)
	}
	c.Prefill(t.Context(), p.addr, request())
	if n := p.conns.Load(); n != 2 {
		t.Errorf("%d connections: the kept one was not reused after the delay", n)
	}
}

// Guards against answers that clients got of other requests. After a call that is no attempt, the engine sends the same
// response once more when it has the next request. Either that request goes out on another connection, or the attempt
// fails and is over only when its connection is closed, so that the engine's late response reaches nobody.
func TestSecondAnswerAfterOtherCalls(t *testing.T) {
	calls := map[string]func(*Client, context.Context, string){
		"probe": func(c *Client, ctx context.Context, addr string) { c.Probe(ctx, addr, false) },
		"release": func(c *Client, ctx context.Context, addr string) {
			c.sendRelease(ctx, addr, "id0", false, c.releaseCallTimeout)
		},
		"reservation": func(c *Client, ctx context.Context, addr string) {
			c.Reserve(ctx, addr, &engine.ReservationRequest{Request: "id0"})
		},
	}
	responses := []string{response("200 OK", `{"x0":0.5}`), "HTTP/1.1 204 x\r\n\r\n", response("202 x", `{"cached_tokens":99}`), response("404 x", ""),
		response("409 x", ""), response("410 x", "", unprocessedHeader), response("500 x", ""), response("503 x", "", unprocessedHeader),
		streamHead + chunk(eventB+eventEnd) + lastChunk}
	for name, call := range calls {
		for _, resp := range responses {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %.16q, stream %v", name, resp, stream), func(t *testing.T) {
					closed := make(chan struct{})
					addr := startScriptedEngine(t, func(n int, conn net.Conn, br *bufio.Reader) {
						readRequest(br)
						if n > 0 {
							io.WriteString(conn, ownResponse(stream))
							return
						}
						defer close(closed)
						io.WriteString(conn, resp)
						if readRequest(br) {
							io.WriteString(conn, resp)
							readRequest(br) // until the end of the connection
						}
					})
					c := newClient(t, nil)
					c.releaseCallTimeout = 10 * time.Second
					call(c, t.Context(), addr)
					for i := 0; i < 2; i++ {
						outcome := attemptOf(t, c, addr, stream)
						if outcome == decide.Served || outcome == decide.ReadDone {
							break
						}
						if i > 0 || outcome != decide.Reset {
							t.Fatalf("attempt %d has the outcome %d", i, outcome)
						}
					}
					c.Close()
					<-closed
				})
			}
		}
	}
}

// ownResponse returns the response to an attempt.
func ownResponse(stream bool) string {
	if stream {
		return streamHead + chunk(eventA+eventEnd) + lastChunk
	}
	return response("202 x", `{"cached_tokens":7}`)
}

// attemptOf makes an attempt, and checks that nothing but ownResponse is taken for its response, and that its
// connection is closed if it fails.
func attemptOf(t *testing.T, c *Client, addr string, stream bool) decide.Outcome {
	t.Helper()
	var res engine.Result
	if stream {
		res = c.Decode(t.Context(), addr, request(), func(event string) error {
			if event != eventA && event != eventEnd {
				t.Errorf("the client gets %q", event)
			}
			return nil
		})
	} else if res = c.Prefill(t.Context(), addr, request()); res.Outcome == decide.ReadDone && res.CachedTokens != 7 {
		t.Errorf("%g cached tokens", res.CachedTokens)
	}
	if res.Outcome == decide.Reset && c.pool.total != 0 {
		t.Errorf("%d connections are open after a failed attempt", c.pool.total)
	}
	return res.Outcome
}

// An engine leaves, or restarts at its address, while an attempt uses a connection to it. The attempt completes
// normally, and no other attempt uses the connection.
func TestEngineForgottenDuringAttempt(t *testing.T) {
	reading, goOn := make(chan bool), make(chan bool)
	p := startFakeEngine(t, true, func(n int, _ *http1.Head) string {
		if n == 0 {
			reading <- true
			<-goOn
		}
		return response("202 x", `{"cached_tokens":3}`)
	})
	c := newClient(t, nil)
	result := make(chan engine.Result)
	go func() { result <- c.Prefill(t.Context(), p.addr, request()) }()
	<-reading
	c.ForgetEngine(p.addr)
	goOn <- true
	if res := <-result; res.Outcome != decide.ReadDone || res.CachedTokens != 3 {
		t.Errorf("%+v", res)
	}
	if n := c.pool.idle.Len(); n != 0 || c.pool.total != 0 || len(c.pool.inUse) != 0 {
		t.Errorf("%d kept, %d counted, %d in use", n, c.pool.total, len(c.pool.inUse))
	}
	if c.Prefill(t.Context(), p.addr, request()); p.conns.Load() != 2 || c.pool.idle.Len() != 1 {
		t.Errorf("%d connections, %d kept", p.conns.Load(), c.pool.idle.Len())
	}
}

// An endless response, whichever part of it is endless, ends with the attempt's timeout, and its connection is not
// kept.
func TestEndlessResponsesTimeOut(t *testing.T) {
	for name, c := range map[string]struct {
		start, repeat string
		stream        bool
		want          decide.Outcome
	}{
		"in the status line":  {"HTTP/1.1 202 ", "x", false, decide.TimedOut},
		"in the head":         {"HTTP/1.1 202 x\r\nX: ", "y", false, decide.TimedOut},
		"in a read's body":    {"HTTP/1.1 202 x\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n", false, decide.TimedOut},
		"in a refusal's body": {"HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 60000\r\n\r\n", "x", false, decide.Full},
		"in a chunk's size":   {streamHead, "0", true, decide.TimedOut},
		"in a chunk":          {streamHead + "ffff\r\ndata: ", "x", true, decide.TimedOut},
		"in comments":         {streamHead, chunk(": x\n\n"), true, decide.TimedOut},
		"in an event":         {streamHead, chunk("data: 1\n"), true, decide.TimedOut},
		"in 1xx answers":      {"", "HTTP/1.1 100 x\r\n\r\n", false, decide.Reset}, // by the limit on their number
	} {
		t.Run(name, func(t *testing.T) {
			requested := make(chan bool)
			addr := startScriptedEngine(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				readRequest(br)
				_, err := io.WriteString(conn, c.start)
				close(requested)
				for err == nil { // until the client closes the connection
					time.Sleep(time.Millisecond)
					_, err = io.WriteString(conn, c.repeat)
				}
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			go func() {
				<-requested
				time.Sleep(20 * time.Millisecond) // let some of the response arrive first
				if c.want != decide.Reset {       // the limit on 1xx responses ends the attempt by itself
					cancel(engine.ErrTimedOut)
				}
			}()
			cl := newClient(t, nil)
			var res engine.Result
			if c.stream {
				res = cl.Decode(ctx, addr, request(), func(string) error { return nil })
			} else {
				res = cl.Prefill(ctx, addr, request())
			}
			if res.Outcome != c.want || cl.pool.idle.Len() != 0 || cl.pool.total != 0 {
				t.Errorf("outcome %d, %v; %d kept of %d", res.Outcome, res.Err, cl.pool.idle.Len(), cl.pool.total)
			}
		})
	}
}

// A zone is cut off: the engine that holds a KV state and those with the latest responses are unresponsive, and
// calling them one after the other would take longer than the KV state may be held. The running engine is called in
// time, and no call stays in flight.
func TestReleaseWithManyUnresponsiveEngines(t *testing.T) {
	var silent []string
	for range 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0") // connections are accepted by the kernel, and nothing answers
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		silent = append(silent, l.Addr().String())
	}
	p := startFakeEngine(t, true, alwaysRespond("HTTP/1.1 204 x\r\n\r\n"))
	c := newClient(t, func(o *Options) { o.ReleaseTimeout = 8 * time.Second })
	c.releaseCallTimeout = 2 * time.Second // five calls in a row would take longer
	c.lastResponse[p.addr] = time.Now().Add(-time.Second)
	for _, addr := range silent {
		c.lastResponse[addr] = time.Now()
	}
	if err := c.Release(t.Context(), &engine.State{Addr: silent[0], Handle: "id1"}); err != nil {
		t.Error(err)
	}
	if n := p.requests(); n != 1 {
		t.Errorf("%d calls to the running engine, want 1", n)
	}
	if c.pool.total > 1 || len(c.pool.inUse) != 0 {
		t.Errorf("%d connections are open, %d in use", c.pool.total, len(c.pool.inUse))
	}
}

// Guards against release calls that are given up and repeated without end at engines that are all slow. Each of them gets
// the release, but takes longer for the response than a call waited for, so that the release went on until its timeout.
func TestReleaseAtSlowEngines(t *testing.T) {
	c := newClient(t, nil)
	c.releaseCallTimeout = 40 * time.Millisecond
	var engines []*fakeEngine
	for range 20 {
		p := startFakeEngine(t, true, func(int, *http1.Head) string {
			time.Sleep(3 * c.releaseCallTimeout)
			return "HTTP/1.1 204 x\r\n\r\n"
		})
		c.lastResponse[p.addr] = time.Now()
		engines = append(engines, p)
	}
	if err := c.Release(t.Context(), &engine.State{Addr: engines[0].addr, Handle: "id1"}); err != nil {
		t.Error(err)
	}
	calls := 0
	for _, p := range engines {
		calls += p.requests()
	}
	if limit := 4 * maxHedgesPerRelease; calls > limit {
		t.Errorf("%d calls for one release, at most %d", calls, limit)
	}
}

// A release that no engine accepts ends with its timeout and leaves no connection open.
func TestReleaseTimesOutWithoutEngines(t *testing.T) {
	c := newClient(t, func(o *Options) { o.ReleaseTimeout = 100 * time.Millisecond })
	for _, addr := range []string{"", "127.0.0.1:1"} {
		if err := c.Release(t.Context(), &engine.State{Addr: addr, Handle: "id1"}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%q: %v", addr, err)
		}
	}
	if c.pool.total != 0 {
		t.Errorf("%d connections are open", c.pool.total)
	}
}

// If the network is cut, the close of a read's connection may not reach its engine. The read succeeds after the first
// release call, and the second call releases the KV state that it left.
func TestReadThatEndsAfterItsCancellationIsReleased(t *testing.T) {
	held, calls := false, 0
	var mu sync.Mutex
	p := startFakeEngine(t, true, func(_ int, h *http1.Head) string {
		mu.Lock()
		defer mu.Unlock()
		calls++
		held = calls == 1 // the read succeeds right after the first call
		return "HTTP/1.1 204 x\r\n\r\n"
	})
	c := newClient(t, func(o *Options) { o.CancelRetryDelay = time.Millisecond })
	if err := c.CancelRead(t.Context(), p.addr, "id1"); err != nil {
		t.Error(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if held || calls < 2 || calls > maxCancelCalls {
		t.Errorf("held %v after %d calls", held, calls)
	}
}

// A read was cancelled at an engine that is cut off by the network or hangs: the close of its connection has not
// arrived, and the read may end at any time. Its holds are released repeatedly, at an engine that can be reached. The
// calls go on after the read's engine has responded to others, because it may respond to them while the read still
// hangs.
func TestCancelReadIsRepeated(t *testing.T) {
	for name, cancelRead := range map[string]func(c *Client, ctx context.Context, addr string) error{
		"request is over": func(c *Client, ctx context.Context, addr string) error { return c.CancelRead(ctx, addr, "id1") },
		"answer has begun": func(c *Client, ctx context.Context, addr string) error {
			return c.CancelReadLater(ctx, addr, "id1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := startFakeEngine(t, true, alwaysRespond("HTTP/1.1 204 x\r\n\r\n"))
			closed, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr := closed.Addr().String()
			closed.Close() // nothing listens there
			c := newClient(t, func(o *Options) { o.CancelRetryDelay = time.Millisecond })
			c.lastResponse[p.addr], c.lastResponse[addr] = time.Now(), time.Now().Add(time.Hour)
			if err := cancelRead(c, t.Context(), addr); err != nil {
				t.Error(err)
			}
			if n := p.requests(); n != maxCancelCalls {
				t.Errorf("%d calls, want %d", n, maxCancelCalls)
			}
		})
	}
}

// A cancelled attempt is in flight until its engine has seen the connection close, which takes the network's latency.
// Its outcome must come later than that, or else a refusal to the client, which has a shorter way, would overtake the
// end of an attempt that may have executed.
func TestOutcomeWaitsForConnectionClose(t *testing.T) {
	for cause, want := range map[error]decide.Outcome{engine.ErrTimedOut: decide.TimedOut, engine.ErrCancelled: decide.Cancelled} {
		requested, closed := make(chan bool), make(chan bool, 1)
		addr := startScriptedEngine(t, func(_ int, _ net.Conn, br *bufio.Reader) {
			readRequest(br)
			close(requested)
			br.ReadByte()
			closed <- true
		})
		c := newClient(t, nil)
		c.closeDelay = 100 * time.Millisecond
		ctx, cancel := context.WithCancelCause(t.Context())
		given := make(chan time.Time, 1)
		go func() {
			<-requested
			given <- time.Now()
			cancel(cause)
		}()
		res := c.Prefill(ctx, addr, request())
		if waited := time.Since(<-given); res.Outcome != want || waited < c.closeDelay {
			t.Errorf("outcome %d %v after the cancellation, %v", res.Outcome, waited, res.Err)
		}
		<-closed
	}
}

// The same holds for an attempt whose response is malformed, or stops in a refusal, while its connection stays open.
func TestMalformedResponseOutcomeWaitsForConnectionClose(t *testing.T) {
	for name, answer := range map[string]string{
		"noise": "\x00noise\r\n\r\n", "a read without its body": "HTTP/1.1 202 x\r\nContent-Length: 999999\r\n\r\n{",
		"an error with a malformed length": "HTTP/1.1 500 x\r\nContent-Length: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			answered, closed := make(chan time.Time, 1), make(chan bool, 1)
			addr := startScriptedEngine(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				readRequest(br)
				answered <- time.Now()
				io.WriteString(conn, answer)
				br.ReadByte()
				closed <- true
			})
			c := newClient(t, nil)
			c.closeDelay = 100 * time.Millisecond
			res := c.Prefill(t.Context(), addr, request())
			if waited := time.Since(<-answered); res.Err == nil || waited < c.closeDelay {
				t.Errorf("outcome %d %v after the response, %v", res.Outcome, waited, res.Err)
			}
			<-closed
		})
	}
}

// A kept connection is reset. Before the request's last byte nothing was executed, and another connection carries the
// request. At the last byte, or long after it, the request may have executed, and it is not sent on another
// connection.
func TestResetOfKeptConnection(t *testing.T) {
	for name, c := range map[string]struct {
		bytes   int64 // of the second request's body that are read before the reset
		later   bool  // the reset comes after a response has begun
		want    decide.Outcome
		carried int // complete requests that reached the engine after the first one
	}{
		"before the last byte": {6, false, decide.ReadDone, 1},
		"at the last byte":     {7, false, decide.Reset, 1},
		"long after":           {7, true, decide.Reset, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			received := 0
			addr := startScriptedEngine(t, func(n int, conn net.Conn, br *bufio.Reader) {
				if !readRequest(br) {
					return
				}
				if n > 0 {
					mu.Lock()
					received++
					mu.Unlock()
				}
				io.WriteString(conn, response("202 x", "{}"))
				if n > 0 {
					br.ReadByte()
					return
				}
				if _, err := http1.ReadHead(br, 1<<16); err != nil {
					t.Error(err)
					return
				}
				if got, _ := io.CopyN(io.Discard, br, c.bytes); got == 7 {
					mu.Lock()
					received++
					mu.Unlock()
				}
				if c.later {
					io.WriteString(conn, "HTTP/1.1 202 x\r\nContent-Length: 100\r\n\r\n{")
				}
				conn.(*net.TCPConn).SetLinger(0)
			})
			cl := newClient(t, nil)
			if res := cl.Prefill(t.Context(), addr, request()); res.Outcome != decide.ReadDone {
				t.Fatalf("%+v", res)
			}
			cl.pool.lastByteDelay = 2 * time.Millisecond
			if c.bytes < 7 {
				cl.pool.lastByteDelay = 2 * time.Second // until the reset has arrived
			}
			res := cl.Prefill(t.Context(), addr, request())
			cl.Close()
			mu.Lock()
			defer mu.Unlock()
			if res.Outcome != c.want || received != c.carried {
				t.Errorf("outcome %d, %v; it reached the engine %d times", res.Outcome, res.Err, received)
			}
		})
	}
}

// A connection that comes up only after its dial has timed out carries no request and is closed.
func TestLateDialCarriesNoRequest(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil { // a queue of one: dials beyond it do not come up
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	c := newClient(t, func(o *Options) { o.DialTimeout = 50 * time.Millisecond })
	for { // fill the queue
		conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			break
		}
		defer conn.Close()
	}
	res := c.Prefill(t.Context(), addr, request())
	if res.Outcome != decide.ConnectFailed || c.pool.total != 0 {
		t.Fatalf("outcome %d, %v, %d connections", res.Outcome, res.Err, c.pool.total)
	}
	l, err := net.FileListener(file) // the waiting connections are accepted now
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(3 * time.Second)) // the kernel retries after a second
	for {
		conn, err := l.Accept()
		if err != nil {
			break
		}
		conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if b, _ := io.ReadAll(conn); len(b) > 0 {
			t.Errorf("a connection carried %q", b)
		}
		conn.Close()
	}
}
