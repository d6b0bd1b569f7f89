package chat

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"mintdoor/internal/engine"
	"mintdoor/internal/http1"
)

// waitForState waits until some connection is in a state and returns that connection.
func (tf *testFront) waitForState(state connState) *conn {
	tf.t.Helper()
	var found *conn
	tf.eventually("a connection in the state", func() bool {
		s := &tf.front.conns
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.all {
			if c.entry.state == state {
				found = c
				return true
			}
		}
		return false
	})
	return found
}

// readToEnd reads until a connection ends and returns the data.
func readToEnd(t *testing.T, br *bufio.Reader) string {
	t.Helper()
	b, err := io.ReadAll(br)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection did not end: %v", err)
	}
	return string(b)
}

// A request arrives on an idle connection at the moment when the connection is closed, to make room or for a
// shutdown. The request is not read, so the client can safely send it again, and it does not reach an engine.
func TestRequestArrivesWhileConnectionCloses(t *testing.T) {
	for name, closeIt := range map[string]func(*conns, *conn){
		"for the shutdown": func(s *conns, c *conn) { s.closeConn(c, "shutdown") },
		"to make room":     func(s *conns, _ *conn) { s.evict() },
	} {
		t.Run(name, func(t *testing.T) {
			tf := startFront(t, writeAnswer, nil)
			client, br := tf.dial()
			io.WriteString(client, message("a"))
			if resp, _, err := readAnswer(t, br); resp.StatusCode != 200 || err != nil {
				t.Fatal(resp.StatusCode, err)
			}
			c := tf.waitForState(stateIdle)
			s := &tf.front.conns
			s.mu.Lock() // the front sees that data has arrived but can't read it
			io.WriteString(client, message("b"))
			closeIt(s, c)
			s.mu.Unlock()
			// Closing with unread data resets the connection; a normal end would mean that the data was read.
			if b, err := br.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got %q, %v, want a reset", b, err)
			}
			tf.eventually("closed", func() bool { return tf.front.OpenConns() == 0 })
			if n := tf.engines.sent(); n != 1 {
				t.Errorf("%d requests reached an engine, want only the first", n)
			}
		})
	}
}

// A request that is partly received when the shutdown begins is read to its end and answered as the last one on its
// connection.
func TestRequestInPiecesDuringShutdown(t *testing.T) {
	request := message("b")
	for name, cut := range map[string]int{
		"one byte": 1, "half a head": 80, "all but the last byte": len(request) - 1, "head without body": strings.Index(request, "\r\n\r\n") + 4,
	} {
		t.Run(name, func(t *testing.T) {
			tf := startFront(t, writeAnswer, nil)
			client, br := tf.dial()
			io.WriteString(client, message("a"))
			readAnswer(t, br)
			tf.waitForState(stateIdle)
			io.WriteString(client, request[:cut])
			tf.waitForState(stateReceiving)
			tf.front.BeginShutdown()
			tf.front.CloseIdle(0)
			tf.front.RefuseUnused()
			tf.front.CloseIdle(0)
			io.WriteString(client, request[cut:])
			resp, got, err := readAnswer(t, br)
			if resp.StatusCode != 200 || !resp.Close || got != eventA+eventEnd || err != nil {
				t.Errorf("%+v %q %v", resp, got, err)
			}
			if got := readToEnd(t, br); got != "" {
				t.Errorf("data after the response: %q", got)
			}
		})
	}
}

// Connections that wait in the kernel's queue when the listener is to close are accepted. A request that was sent
// already gets its answer, and so does one that is sent later. Later connections are refused by the kernel.
func TestStopListeningServesQueuedConnections(t *testing.T) {
	tf := startFront(t, writeAnswer, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c, bufio.NewReader(c)
	}
	early, earlyBr := dial()
	io.WriteString(early, message("a"))
	late, lateBr := dial()
	front := New(tf.front.opts, tf.router)
	stopped := front.StopListening()
	done := make(chan error)
	go func() { done <- front.Serve(t.Context(), l) }()
	<-stopped
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection was accepted after the listener was closed")
	}
	io.WriteString(late, message("b"))
	for name, br := range map[string]*bufio.Reader{"early": earlyBr, "late": lateBr} {
		if resp, got, err := readAnswer(t, br); resp.StatusCode != 200 || got != eventA+eventEnd || err != nil {
			t.Errorf("%s: %+v %q %v", name, resp, got, err)
		}
	}
	early.Close()
	late.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A connection without any request when no new connections are accepted gets a refusal, so that its client moves to
// another router. The client may have written a request at that moment, and the refusal still arrives.
func TestUnusedConnectionsAreRefusedAtShutdown(t *testing.T) {
	tf := startFront(t, writeAnswer, nil)
	_, unusedBr := tf.dial()
	tf.waitForState(stateNew)
	tf.front.BeginShutdown()
	tf.front.RefuseUnused()
	if resp, _, err := readAnswer(t, unusedBr); resp.StatusCode != 503 || !resp.Close || err != nil {
		t.Errorf("%+v %v", resp, err)
	}
	if tf.engines.sent() != 0 {
		t.Error("a request reached an engine")
	}
}

// An answer that began before the shutdown has no Connection: close. A request that the client sends right after it
// is answered rather than read and discarded. Once the connection has been idle for a while it is closed without a
// response.
func TestRequestAfterAnswerFromBeforeShutdown(t *testing.T) {
	gate := make(chan bool)
	tf := startFront(t, writeAfter(gate), nil)
	c, br := tf.dial()
	io.WriteString(c, message("a"))
	gate <- true // its first event
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.Close {
		t.Fatalf("%+v %v", resp, err)
	}
	tf.front.BeginShutdown()
	close(gate)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	tf.waitForState(stateIdle)
	tf.front.CloseIdle(time.Hour) // the connection has not been idle for that long
	io.WriteString(c, message("b"))
	if resp, got, err := readAnswer(t, br); resp.StatusCode != 200 || !resp.Close || got != eventA+eventEnd || err != nil {
		t.Errorf("%+v %q %v", resp, got, err)
	}
	tf.eventually("the connection is closed", func() bool { return tf.front.OpenConns() == 0 })
}

// A request that is still incomplete when the router stops waiting for it is refused, even if its last byte arrives
// at that moment.
func TestIncompleteRequestsAreRefusedAtShutdown(t *testing.T) {
	tf := startFront(t, writeAnswer, nil)
	c, br := tf.dial()
	request := message("a")
	io.WriteString(c, request[:len(request)-1])
	tf.waitForState(stateReceiving)
	tf.front.BeginShutdown()
	tf.front.RefuseUnused() // does not affect a connection that is receiving a request
	tf.front.RefuseIncomplete()
	if resp, _, err := readAnswer(t, br); resp.StatusCode != 503 || !resp.Close || err != nil {
		t.Errorf("%+v %v", resp, err)
	}
	io.WriteString(c, request[len(request)-1:])
	if b, err := io.ReadAll(br); len(b) > 0 || err != nil {
		t.Errorf("data after the refusal: %q, %v", b, err)
	}
	if tf.engines.sent() != 0 {
		t.Error("a request reached an engine")
	}
}

// A refusal because of too many connections arrives although the request is never read: the connection is not closed
// with unread data. Only a limited number of connections is kept for this.
func TestConnectionRefusalIsDelivered(t *testing.T) {
	gate := make(chan bool)
	tf := startFront(t, writeAfter(gate), func(o *Options) { o.MaxConns, o.MaxRefusedConns = 1, 1 })
	tf.front.lingerTimeout = time.Minute
	open, openBr := tf.dial()
	io.WriteString(open, message("a"))
	tf.eventually("taken", func() bool { return tf.router.Stats().Sends == 2 })
	s := &tf.front.conns
	s.mu.Lock() // the next connection is not refused before everything is written
	second, br := tf.dial()
	io.WriteString(second, bigMessage("b"))
	s.mu.Unlock()
	if resp, _, err := readAnswer(t, br); resp.StatusCode != 503 || !resp.Close || err != nil {
		t.Errorf("%+v %v", resp, err)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("after the refusal: %v", err)
	}
	tf.eventually("the refused connection lingers", func() bool { return tf.front.OpenConns() == 2 })
	_, thirdBr := tf.dial() // beyond MaxRefusedConns: closed at once
	readToEnd(t, thirdBr)
	if n := tf.front.OpenConns(); n > 2 {
		t.Errorf("%d connections", n)
	}
	second.Close()
	tf.eventually("one connection is left", func() bool { return tf.front.OpenConns() == 1 })
	close(gate)
	if resp, _, err := readAnswer(t, openBr); resp.StatusCode != 200 || err != nil {
		t.Errorf("open request: %+v %v", resp, err)
	}
}

// A connection that is receiving a request is not closed to make room; a new connection is refused instead. Only a
// client that has been sending a request for long gets a timeout response.
func TestIncomingRequestsAreNotEvicted(t *testing.T) {
	tf := startFront(t, writeAnswer, func(o *Options) { o.MaxConns, o.MaxRefusedConns = 1, 4 })
	slow, slowBr := tf.dial()
	m := message("a")
	io.WriteString(slow, m[:100])
	c := tf.waitForState(stateReceiving)
	other, otherBr := tf.dial()
	io.WriteString(other, message("b"))
	if resp, _, _ := readAnswer(t, otherBr); resp.StatusCode != 503 {
		t.Errorf("new connection: status %d", resp.StatusCode)
	}
	io.WriteString(slow, m[100:])
	if resp, got, err := readAnswer(t, slowBr); resp.StatusCode != 200 || got != eventA+eventEnd || err != nil {
		t.Fatalf("slow client: %+v %q %v", resp, got, err)
	}
	tf.waitForState(stateIdle)
	io.WriteString(slow, m[:100])
	tf.waitForState(stateReceiving)
	s := &tf.front.conns
	s.mu.Lock()
	c.entry.since = time.Now().Add(-tf.front.opts.RequestTimeout) // the client has been sending for long
	s.mu.Unlock()
	third, _ := tf.dial()
	io.WriteString(third, message("c"))
	if resp, _, err := readAnswer(t, slowBr); resp.StatusCode != 408 || err != nil {
		t.Errorf("endless request: %+v %v", resp, err)
	}
}

// A client leaves while its request's body is read, with a close or a reset. Its request is not started.
func TestClientLeavesDuringBody(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"by a close":  func(c *net.TCPConn) { c.Close() },
		"half closed": func(c *net.TCPConn) { c.CloseWrite() },
		"by a reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			tf := startFront(t, writeAnswer, nil)
			c, _ := tf.dial()
			m := message("a")
			io.WriteString(c, m[:len(m)-1])
			tf.waitForState(stateReceiving)
			leave(c.(*net.TCPConn))
			tf.eventually("closed", func() bool { return tf.front.OpenConns() == 0 })
			if n := tf.engines.sent(); n != 0 {
				t.Errorf("%d requests reached an engine", n)
			}
		})
	}
}

// A client leaves while its request is open, with a close or a reset, before or at the moment of the first event. The
// attempt is cancelled and no further attempt starts.
func TestClientLeavesDuringOpenRequest(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"half closed": func(c *net.TCPConn) { c.CloseWrite() },
		"by a reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for stage, event := range map[string]bool{"before the first event": false, "with the first event": true} {
			t.Run(name+", "+stage, func(t *testing.T) {
				writing := make(chan bool)
				tf := startFront(t, func(ctx context.Context, sink func(string) error) engine.Result {
					writing <- true
					if event {
						<-writing
						sink(eventA)
					}
					return hang(ctx, sink)
				}, nil)
				c, _ := tf.dial()
				io.WriteString(c, message("a"))
				<-writing
				leave(c.(*net.TCPConn))
				if event {
					writing <- true
				}
				tf.eventually("gone", func() bool { return tf.router.Stats().Gone == 1 && tf.router.Stats().Open == 0 })
				tf.eventually("closed", func() bool { return tf.front.OpenConns() == 0 })
				if n := tf.router.Stats().Sends; n != 2 {
					t.Errorf("%d attempts", n)
				}
			})
		}
	}
}

// Valid forms of a request are served like the plain form, also when they arrive in small pieces.
func TestValidMessageFormsInPieces(t *testing.T) {
	tf := startFront(t, writeAnswer, nil)
	plain, requests := message("ID"), 0
	for name, m := range map[string]string{
		"plain":                plain,
		"lower case names":     strings.NewReplacer("X-Correlation-Id", "x-correlation-id", "Content-Length", "content-length").Replace(plain),
		"no space, two spaces": strings.NewReplacer("Class: chat", "Class:chat", "Host: ", "Host:  \t ").Replace(plain),
		"blank line before":    "\r\n" + plain,
		"bare line feeds":      strings.ReplaceAll(plain, "\r\n", "\n"),
		"chunks": strings.Replace(strings.Replace(plain, "Content-Length: 30", "Transfer-Encoding: chunked", 1), body,
			"5;x=y\r\n"+body[:5]+"\r\n019\r\n"+body[5:]+"\r\n0\r\nTrailer: x\r\n\r\n", 1),
		"a query":                strings.Replace(plain, "completions HTTP", "completions?a=b HTTP", 1),
		"an absolute target":     strings.Replace(plain, "POST /v1", "POST http://origin.svc/v1", 1),
		"two Connection headers": strings.Replace(plain, "Host:", "Connection: keep-alive\r\nConnection: x\r\nHost:", 1),
	} {
		for _, size := range []int{1, 7, len(m)} {
			t.Run(name, func(t *testing.T) {
				c, br := tf.dial()
				c.(*net.TCPConn).SetNoDelay(true)
				requests++
				m := strings.Replace(m, ": ID", ": id"+strconv.Itoa(requests), 1)
				for len(m) > 0 {
					n := min(size, len(m))
					io.WriteString(c, m[:n])
					m = m[n:]
				}
				if resp, got, err := readAnswer(t, br); resp.StatusCode != 200 || got != eventA+eventEnd || err != nil {
					t.Errorf("%+v %q %v", resp, got, err)
				}
			})
		}
	}
}

// The option "close" counts in every Connection header and at every position.
func TestCloseInASecondHeader(t *testing.T) {
	tf := startFront(t, writeAnswer, nil)
	c, br := tf.dial()
	io.WriteString(c, strings.Replace(message("a"), "Host:", "Connection: x\r\nConnection: y, Close\r\nHost:", 1))
	if resp, _, err := readAnswer(t, br); resp.StatusCode != 200 || !resp.Close || err != nil {
		t.Errorf("%+v %v", resp, err)
	}
}

// A tenant that a client names is looked up in the settings. An unknown tenant has no quota.
func TestTenants(t *testing.T) {
	f := New(Options{Classes: []string{"chat"}, Tenants: []string{"", "stall-a", "stall-b"}, Log: slog.New(slog.DiscardHandler)}, nil)
	for header, want := range map[string]int{"X-Account: stall-b\r\n": 2, "X-Account: other\r\n": -1, "": -1} {
		m := strings.Replace(message("a"), "Host:", header+"Host:", 1)
		h, err := http1.ReadHead(bufio.NewReader(strings.NewReader(m)), maxHeadSize)
		if err != nil {
			t.Fatal(err)
		}
		j, bad := f.job(h, "/v1/chat/completions", []byte(body), time.Now())
		if bad != nil {
			t.Fatal(bad)
		}
		if want < 0 {
			if j.Tenant < 3 {
				t.Errorf("%q: tenant %d", header, j.Tenant)
			}
		} else if j.Tenant != want || j.TenantName != "stall-b" {
			t.Errorf("%q: tenant %d", header, j.Tenant)
		}
	}
}

// Settings replace spaces and commas in names by '_', while clients send the original names.
func TestNamesAreNormalizedAsInSettings(t *testing.T) {
	f := New(Options{Classes: []string{"chat", "price_ask"}, Tenants: []string{"stall__a"}, Log: slog.New(slog.DiscardHandler)}, nil)
	m := message("a", "Class: chat", "Class: price ask\r\nX-Account: stall, a")
	h, err := http1.ReadHead(bufio.NewReader(strings.NewReader(m)), maxHeadSize)
	if err != nil {
		t.Fatal(err)
	}
	j, bad := f.job(h, "/v1/chat/completions", []byte(body), time.Now())
	if bad != nil || j.Class != 1 || j.Tenant != 0 {
		t.Errorf("%+v %v", j, bad)
	}
}

// Header fields for the engine, such as an idempotency key, are forwarded. Fields of the connection, of the message
// framing and of the router are not.
func TestForwardedHeaderFields(t *testing.T) {
	tf := startFront(t, writeAnswer, nil)
	c, br := tf.dial()
	io.WriteString(c, strings.Replace(message("a"), "Host:", "Idempotency-Key: ff4d\r\nAccept-Encoding: gzip\r\nX-Hop: 1\r\n"+
		"Connection: keep-alive, X-Hop\r\nKeep-Alive: 5\r\nX-Own: a\r\nX-Own: b\r\nHost:", 1))
	if resp, _, err := readAnswer(t, br); resp.StatusCode != 200 || err != nil {
		t.Fatal(resp.StatusCode, err)
	}
	var got []string
	for _, f := range tf.engines.calls[0].Message.Fields {
		got = append(got, f.Name+": "+f.Value)
	}
	want := "Idempotency-Key: ff4d, X-Own: a, X-Own: b, X-Service-Class: chat, X-Session-Key: 7f3a, " +
		"X-Facts: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800"
	if strings.Join(got, ", ") != want {
		t.Errorf("forwarded %q, want %q", got, want)
	}
}

// Serve's context ends while one request is open, one is partly received and one connection is new. The open request
// gets its answer, the others get a refusal, and no connection is closed without a response.
func TestAnswersWhenContextEnds(t *testing.T) {
	for name, coreEnds := range map[string]bool{"with the core": true, "before the core": false} {
		t.Run(name, func(t *testing.T) {
			tf := startFront(t, hang, nil)
			tf.front.finalAnswerTimeout = 50 * time.Millisecond
			openConn, openBr := tf.dial()
			io.WriteString(openConn, message("a"))
			tf.waitForState(stateOpen)
			partial, partialBr := tf.dial()
			io.WriteString(partial, message("b")[:40])
			tf.waitForState(stateReceiving)
			_, newBr := tf.dial()
			tf.waitForState(stateNew)
			tf.stopFront()
			if coreEnds {
				tf.stopCore()
			}
			for what, want := range map[string]struct {
				br   *bufio.Reader
				code int
			}{"open": {openBr, 500}, "coming": {partialBr, 503}, "fresh": {newBr, 503}} {
				if resp, _, err := readAnswer(t, want.br); resp.StatusCode != want.code || err != nil {
					t.Errorf("%s: %+v %v", what, resp, err)
				}
				if got := readToEnd(t, want.br); got != "" {
					t.Errorf("%s: %q after the response", what, got)
				}
			}
			<-tf.served
		})
	}
}

// A client that floods its connection leaves the processor to others: its requests are answered, but not one right behind the
// other.
func TestRequestsOnOneConnectionAreSpaced(t *testing.T) {
	const requests = 21
	tf := startFront(t, writeAnswer, nil)
	c, br := tf.dial()
	start := time.Now()
	io.WriteString(c, strings.Repeat("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", requests))
	for range requests {
		if resp, _, err := readAnswer(t, br); resp.StatusCode != 404 || err != nil {
			t.Fatalf("%+v %v", resp, err)
		}
	}
	if took, least := time.Since(start), (requests-1)*minRequestInterval; took < least {
		t.Errorf("%d requests were answered within %v, want at least %v", requests, took, least)
	}
}
