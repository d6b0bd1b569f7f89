package chat

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"mintdoor/internal/engine"
)

// big is a message with a body of many bytes, more than the connection's buffer takes.
func big(id string) string {
	text := `{"model":"chat","x":"` + strings.Repeat("y", 5*readBuffer) + `"}`
	return message(id, fmt.Sprintf("Content-Length: %d", len(body)), fmt.Sprintf("Content-Length: %d", len(text)), body, text)
}

// gated is a writer that waits for the gate.
func gated(gate chan bool) func(context.Context, func(string) error) engine.Result {
	return func(ctx context.Context, sink func(string) error) engine.Result {
		select {
		case <-gate:
			return served(ctx, sink)
		case <-ctx.Done():
			return hangs(ctx, sink)
		}
	}
}

// A client's leaving stands behind whatever it has sent before, in one piece or in several: it ends the request
// that is open, and nothing of what stands in front of it is begun.
func TestClientLeavesBehindWhatItSent(t *testing.T) {
	for name, pieces := range map[string][]string{
		"half a line":             {"PO"},
		"half a line, in pieces":  {"P", "OS", "T /v1"},
		"a request":               {message("b")},
		"more than the buffer":    {big("b")},
		"many requests in pieces": {message("b"), big("c"), message("d"), "POST"},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, hangs, nil)
			c, _ := w.dial()
			io.WriteString(c, message("a"))
			w.eventually("taken", func() bool { return w.router.Stats().Sends == 2 })
			for _, p := range pieces {
				before := w.front.conns.seen.Load()
				io.WriteString(c, p)
				w.eventually("seen", func() bool { return w.front.conns.seen.Load() > before })
			}
			c.Close()
			w.eventually("gone", func() bool { return w.router.Stats().Gone == 1 && w.router.Stats().Open == 0 })
			w.eventually("closed", func() bool { return w.front.OpenConns() == 0 })
			if n := w.router.Stats().Sends; n != 2 {
				t.Errorf("%d attempts, want the read and the write of the first request", n)
			}
			if n := w.front.bodies.Load(); n != 0 {
				t.Errorf("%d bytes are still counted", n)
			}
		})
	}
}

// What was read ahead is served in its order once the request before it is over.
func TestPipelinedPastTheBuffer(t *testing.T) {
	gate := make(chan bool)
	w := start(t, gated(gate), nil)
	c, br := w.dial()
	io.WriteString(c, message("a")+big("b")+big("c")+message("d", "Class: chat", "Class: chess"))
	w.eventually("read ahead", func() bool { return w.front.bodies.Load() > 0 })
	close(gate)
	for _, want := range []int{200, 200, 200, 400} {
		if resp, _, err := answer(t, br); resp.StatusCode != want || err != nil {
			t.Fatalf("status %d, %v; want %d", resp.StatusCode, err, want)
		}
	}
	w.eventually("counted off", func() bool { return w.front.bodies.Load() == 0 })
}

// A close over bytes that nobody has read resets the connection, and the answer may go with it: the last answer's
// connection is ended for sending first, and what still comes is read and not served.
func TestLastAnswerIsNotReset(t *testing.T) {
	gate := make(chan bool)
	w := start(t, gated(gate), func(o *Options) { o.MaxBodyMemory = 3 * readBuffer })
	c, br := w.dial()
	io.WriteString(c, message("a"))
	w.eventually("taken", func() bool { return w.router.Stats().Sends == 2 })
	w.front.BeginShutdown()
	io.WriteString(c, big("b")) // more than is read ahead: some of it stays unread
	close(gate)
	resp, got, err := answer(t, br)
	if resp.StatusCode != 200 || got != eventA+eventEnd || err != nil {
		t.Fatalf("%+v %q %v", resp, got, err)
	}
	if n, err := io.Copy(io.Discard, br); n != 0 || err != nil {
		t.Errorf("after the answer %d bytes and %v, want the end", n, err)
	}
	c.Close()
	w.eventually("closed", func() bool { return w.front.OpenConns() == 0 })
	if n := w.router.Stats().Sends; n != 2 {
		t.Errorf("%d attempts: what was read after the end was sent on", n)
	}
}

// A connection that lingers is the first to make room.
func TestLingeringMakesRoom(t *testing.T) {
	w := start(t, served, func(o *Options) { o.MaxConns = 1 })
	c, br := w.dial()
	io.WriteString(c, strings.Replace(message("a"), "Host:", "Connection: close\r\nHost:", 1))
	if resp, _, err := answer(t, br); resp.StatusCode != 200 || err != nil {
		t.Fatalf("%d %v", resp.StatusCode, err)
	}
	next, nextBr := w.dial() // the first client has not closed
	io.WriteString(next, message("b"))
	resp, err := http.ReadResponse(nextBr, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("%v %v", resp, err)
	}
}

// Where the bodies have no room left nothing is read ahead, and nothing is counted for it.
func TestNoRoomToReadAhead(t *testing.T) {
	f := New(Options{MaxBodyMemory: readBuffer - 1}, nil)
	c := &conn{front: f}
	if err := c.readAhead(); !errors.Is(err, errNoRoom) {
		t.Errorf("got %v", err)
	}
	if n := f.bodies.Load(); n != 0 || c.room != 0 {
		t.Errorf("%d bytes are counted, %d for this connection", n, c.room)
	}
}
