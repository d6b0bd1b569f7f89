package chat

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/http1"
)

// scripted is an engine whose every connection is served by the test's own function; the connections are numbered.
func scripted(t *testing.T, serve func(n int, c net.Conn, br *bufio.Reader)) (addr string) {
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

// readRequest reads a request whole; false at the connection's end.
func readRequest(br *bufio.Reader) bool {
	h, err := http1.ReadHead(br, 1<<16)
	if err != nil {
		return false
	}
	n, _, _ := h.Framing()
	_, err = io.CopyN(io.Discard, br, max(n, 0))
	return err == nil
}

// A second answer that comes while the next request is written, before its last byte: the request has reached nobody,
// so another connection carries it, and the second answer is not taken for its own.
func TestSecondAnswerBeforeTheLastByte(t *testing.T) {
	requests := make(chan int, 10)
	addr := scripted(t, func(n int, c net.Conn, br *bufio.Reader) {
		if n > 0 {
			for readRequest(br) {
				requests <- n
				io.WriteString(c, whole("202 x", `{"cached_tokens":7}`))
			}
			return
		}
		readRequest(br)
		io.WriteString(c, whole("202 x", `{"cached_tokens":1}`))
		if _, err := http1.ReadHead(br, 1<<16); err != nil { // the next request's head has come, its last byte not
			t.Error(err)
			return
		}
		io.WriteString(c, whole("202 x", `{"cached_tokens":99}`))
		io.Copy(io.Discard, br)
	})
	c := newClient(t, nil)
	if res := c.Prefill(t.Context(), addr, request()); res.CachedTokens != 1 {
		t.Fatalf("the first: %+v", res)
	}
	c.pool.standsAfter = 2 * time.Second // until the second answer has come
	res := c.Prefill(t.Context(), addr, request())
	if res.Outcome != decide.ReadDone || res.CachedTokens != 7 {
		t.Errorf("the second: outcome %d, %g kept, %v", res.Outcome, res.CachedTokens, res.Err)
	}
	if len(requests) != 1 || <-requests != 1 {
		t.Errorf("the second connection did not carry it once")
	}
}

// A second answer may also come a moment after the request's last byte, and nothing tells it from the request's own.
// So a connection rests after an attempt for longer than such answers take; a probe's needs no rest.
func TestConnectionsRest(t *testing.T) {
	p := play(t, true, always(whole("202 x", `{"x0":0.5}`)))
	c := newClient(t, nil)
	c.restFor = 20 * time.Second
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
		e.Value.(*conn).used = time.Now().Add(-c.restFor)
	}
	c.Prefill(t.Context(), p.addr, request())
	if n := p.conns.Load(); n != 2 {
		t.Errorf("%d connections: one that has rested was not used again", n)
	}
}

// An engine leaves, or starts anew at its address, while an attempt has its connection: that attempt ends as it ends,
// and the connection is used by no other.
func TestForgottenWhileOut(t *testing.T) {
	reading, goOn := make(chan bool), make(chan bool)
	p := play(t, true, func(n int, _ *http1.Head) string {
		if n == 0 {
			reading <- true
			<-goOn
		}
		return whole("202 x", `{"cached_tokens":3}`)
	})
	c := newClient(t, nil)
	ended := make(chan engine.Result)
	go func() { ended <- c.Prefill(t.Context(), p.addr, request()) }()
	<-reading
	c.ForgetEngine(p.addr)
	goOn <- true
	if res := <-ended; res.Outcome != decide.ReadDone || res.CachedTokens != 3 {
		t.Errorf("%+v", res)
	}
	if n := c.pool.idle.Len(); n != 0 || c.pool.total != 0 || len(c.pool.out) != 0 {
		t.Errorf("%d kept, %d counted, %d out", n, c.pool.total, len(c.pool.out))
	}
	if c.Prefill(t.Context(), p.addr, request()); p.conns.Load() != 2 || c.pool.idle.Len() != 1 {
		t.Errorf("%d connections, %d kept", p.conns.Load(), c.pool.idle.Len())
	}
}

// An answer that does not end, wherever it goes on, ends with the attempt's time; nothing of it is kept.
func TestAnswersWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct {
		start, more string
		stream      bool
		want        decide.Outcome
	}{
		"in the status line":  {"HTTP/1.1 202 ", "x", false, decide.TimedOut},
		"in the head":         {"HTTP/1.1 202 x\r\nX: ", "y", false, decide.TimedOut},
		"in a read's body":    {"HTTP/1.1 202 x\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n", false, decide.TimedOut},
		"in a refusal's body": {"HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 60000\r\n\r\n", "x", false, decide.Full},
		"in a chunk's size":   {streamHead, "0", true, decide.TimedOut},
		"in a chunk":          {streamHead + "ffff\r\ndata: ", "x", true, decide.TimedOut},
		"in comments":         {streamHead, chunk(": x\n\n"), true, decide.TimedOut},
		"in an event":         {streamHead, chunk("data: 1\n"), true, decide.TimedOut},
		"in 1xx answers":      {"", "HTTP/1.1 100 x\r\n\r\n", false, decide.Reset}, // by their number
	} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan bool)
			addr := scripted(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				readRequest(br)
				_, err := io.WriteString(conn, c.start)
				close(asked)
				for err == nil { // until the client closes
					time.Sleep(time.Millisecond)
					_, err = io.WriteString(conn, c.more)
				}
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			go func() {
				<-asked
				time.Sleep(20 * time.Millisecond) // some of it comes first
				cancel(engine.ErrTimedOut)
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

// A zone is cut off: the engine that holds a state and those that answered last are silent, and a call to each in turn
// would take longer than the state may be held. The one that runs is asked in time, and none is asked without end.
func TestReleaseWithManySilentEngines(t *testing.T) {
	var silent []string
	for range 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0") // connections come up, and nothing answers
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		silent = append(silent, l.Addr().String())
	}
	p := play(t, true, always("HTTP/1.1 204 x\r\n\r\n"))
	c := newClient(t, func(o *Options) { o.ReleaseTimeout = 8 * time.Second })
	c.firstTry = 2 * time.Second // five in turn would take longer
	c.heard[p.addr] = time.Now().Add(-time.Second)
	for _, addr := range silent {
		c.heard[addr] = time.Now()
	}
	if err := c.Release(t.Context(), &engine.State{Addr: silent[0], Handle: "id1"}); err != nil {
		t.Error(err)
	}
	if n := p.requests(); n != 1 {
		t.Errorf("%d calls at the engine that runs", n)
	}
	if c.pool.total > 1 || len(c.pool.out) != 0 {
		t.Errorf("%d connections are open, %d out", c.pool.total, len(c.pool.out))
	}
}

// Where no engine takes a release it ends with its time, and leaves nothing behind.
func TestReleaseThatNobodyTakes(t *testing.T) {
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

// The closing of a read's connection may not reach its engine, where the network is cut: the read ends well after the
// first call that lets go, and what it left is taken by the second.
func TestReadEndsAfterItWasCalledOff(t *testing.T) {
	held, calls := false, 0
	var mu sync.Mutex
	p := play(t, true, func(_ int, h *http1.Head) string {
		mu.Lock()
		defer mu.Unlock()
		calls++
		held = calls == 1 // the read ends well right after the first call
		return "HTTP/1.1 204 x\r\n\r\n"
	})
	c := newClient(t, func(o *Options) { o.CancelRetryDelay = time.Millisecond })
	if err := c.CancelRead(t.Context(), p.addr, "id1"); err != nil {
		t.Error(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if held || calls < 2 || calls > maxCallOffs {
		t.Errorf("held %v after %d calls", held, calls)
	}
}

// A read was given up at an engine that the network has cut off, or that hangs: its connection's end has not come there, and the
// read may end at any time. It is let go again and again, at an engine that can be reached, also after that one was heard:
// others may hear an engine while a read hangs there.
func TestCalledOffAgainAndAgain(t *testing.T) {
	for name, callOff := range map[string]func(c *Client, ctx context.Context, addr string) error{
		"the request is over": func(c *Client, ctx context.Context, addr string) error { return c.CancelRead(ctx, addr, "id1") },
		"the answer has begun": func(c *Client, ctx context.Context, addr string) error {
			return c.CancelReadLater(ctx, addr, "id1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := play(t, true, always("HTTP/1.1 204 x\r\n\r\n"))
			gone, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr := gone.Addr().String()
			gone.Close() // nobody answers there
			c := newClient(t, func(o *Options) { o.CancelRetryDelay = time.Millisecond })
			c.heard[p.addr], c.heard[addr] = time.Now(), time.Now().Add(time.Hour)
			if err := callOff(c, t.Context(), addr); err != nil {
				t.Error(err)
			}
			if n := p.requests(); n != maxCallOffs {
				t.Errorf("%d calls, want %d", n, maxCallOffs)
			}
		})
	}
}

// An attempt that is given up is out until its engine has seen the connection closed, which takes the network's time.
// Its outcome comes later than that: a refusal to the client, on a shorter way, would overtake the end of an attempt
// that may have run.
func TestOutcomeDoesNotOvertakeTheClose(t *testing.T) {
	for cause, want := range map[error]decide.Outcome{engine.ErrTimedOut: decide.TimedOut, engine.ErrCancelled: decide.Cancelled} {
		asked, closed := make(chan bool), make(chan bool, 1)
		addr := scripted(t, func(_ int, _ net.Conn, br *bufio.Reader) {
			readRequest(br)
			close(asked)
			br.ReadByte()
			closed <- true
		})
		c := newClient(t, nil)
		c.closeArrives = 100 * time.Millisecond
		ctx, cancel := context.WithCancelCause(t.Context())
		given := make(chan time.Time, 1)
		go func() {
			<-asked
			given <- time.Now()
			cancel(cause)
		}()
		res := c.Prefill(ctx, addr, request())
		if waited := time.Since(<-given); res.Outcome != want || waited < c.closeArrives {
			t.Errorf("outcome %d %v after it was given up, %v", res.Outcome, waited, res.Err)
		}
		<-closed
	}
}

// The same holds for an attempt whose answer can't be read, or breaks off in a refusal, while its connection stands.
func TestSpoiltAnswersOutcomeDoesNotOvertakeTheClose(t *testing.T) {
	for name, answer := range map[string]string{
		"noise": "\x00noise\r\n\r\n", "a read without an account": "HTTP/1.1 202 x\r\nContent-Length: 999999\r\n\r\n{",
		"an error of a length that is noise": "HTTP/1.1 500 x\r\nContent-Length: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			answered, closed := make(chan time.Time, 1), make(chan bool, 1)
			addr := scripted(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				readRequest(br)
				answered <- time.Now()
				io.WriteString(conn, answer)
				br.ReadByte()
				closed <- true
			})
			c := newClient(t, nil)
			c.closeArrives = 100 * time.Millisecond
			res := c.Prefill(t.Context(), addr, request())
			if waited := time.Since(<-answered); res.Err == nil || waited < c.closeArrives {
				t.Errorf("outcome %d %v after the answer, %v", res.Outcome, waited, res.Err)
			}
			<-closed
		})
	}
}

// A reset on a kept connection: before the request's last byte nothing ran and another connection carries it; at the
// last byte, or long after, the request may have run and is sent on no other.
func TestResetOfAKeptConnection(t *testing.T) {
	for name, c := range map[string]struct {
		bytes   int64 // of the second request's body that are read before the reset
		later   bool  // the reset comes after an answer has begun
		want    decide.Outcome
		carried int // requests that reached the engine whole after the first
	}{
		"before the last byte": {6, false, decide.ReadDone, 1},
		"at the last byte":     {7, false, decide.Reset, 1},
		"long after":           {7, true, decide.Reset, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			whole7 := 0
			addr := scripted(t, func(n int, conn net.Conn, br *bufio.Reader) {
				if !readRequest(br) {
					return
				}
				if n > 0 {
					mu.Lock()
					whole7++
					mu.Unlock()
				}
				io.WriteString(conn, whole("202 x", "{}"))
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
					whole7++
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
			cl.pool.standsAfter = 2 * time.Millisecond
			if c.bytes < 7 {
				cl.pool.standsAfter = 2 * time.Second // until the reset has come
			}
			res := cl.Prefill(t.Context(), addr, request())
			cl.Close()
			mu.Lock()
			defer mu.Unlock()
			if res.Outcome != c.want || whole7 != c.carried {
				t.Errorf("outcome %d, %v; it reached the engine %d times", res.Outcome, res.Err, whole7)
			}
		})
	}
}

// A connection that comes up only after its dial was given up carries nothing, and is closed.
func TestDialThatComesUpLate(t *testing.T) {
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
	l, err := net.FileListener(file) // what waits is taken now
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(3 * time.Second)) // a connection's first try again is after a second
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
