package chat

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"mintdoor/internal/engine"
)

// bigMessage returns a request with a body that is larger than the connection's buffer.
func bigMessage(id string) string {
	text := `{"model":"chat","x":"` + strings.Repeat("y", 5*readBufferSize) + `"}`
	return message(id, fmt.Sprintf("Content-Length: %d", len(body)), fmt.Sprintf("Content-Length: %d", len(text)), body, text)
}

// writeAfter returns a write function that writes its answer after a value arrives from gate.
func writeAfter(gate chan bool) func(context.Context, func(string) error) engine.Result {
	return func(ctx context.Context, sink func(string) error) engine.Result {
		select {
		case <-gate:
			return writeAnswer(ctx, sink)
		case <-ctx.Done():
			return hang(ctx, sink)
		}
	}
}

// A client leaves after it has sent further data, in one piece or in several. The open request ends, and none of the
// requests in that data is started.
func TestClientLeavesAfterFurtherData(t *testing.T) {
	for name, pieces := range map[string][]string{
		"half a line":             {"PO"},
		"half a line, in pieces":  {"P", "OS", "T /v1"},
		"a request":               {message("b")},
		"more than the buffer":    {bigMessage("b")},
		"many requests in pieces": {message("b"), bigMessage("c"), message("d"), "POST"},
		"more than is kept":       {strings.Repeat(bigMessage("b"), maxReadAhead/len(bigMessage("b"))+2)},
	} {
		t.Run(name, func(t *testing.T) {
			tf := startFront(t, hang, nil)
			c, _ := tf.dial()
			io.WriteString(c, message("a"))
			tf.eventually("taken", func() bool { return tf.router.Stats().Sends == 2 })
			for _, p := range pieces {
				before := tf.front.conns.readsWhileOpen.Load()
				io.WriteString(c, p)
				tf.eventually("seen", func() bool { return tf.front.conns.readsWhileOpen.Load() > before })
			}
			c.Close()
			tf.eventually("gone", func() bool { return tf.router.Stats().Gone == 1 && tf.router.Stats().Open == 0 })
			tf.eventually("closed", func() bool { return tf.front.OpenConns() == 0 })
			if n := tf.router.Stats().Sends; n != 2 {
				t.Errorf("%d attempts, want the read and the write of the first request", n)
			}
			if n := tf.front.bodyMemory.Load(); n != 0 {
				t.Errorf("%d bytes still count towards the memory limit", n)
			}
		})
	}
}

// Requests that were read ahead are served in order once the request before them has ended.
func TestPipelinedPastTheBuffer(t *testing.T) {
	gate := make(chan bool)
	tf := startFront(t, writeAfter(gate), nil)
	c, br := tf.dial()
	io.WriteString(c, message("a")+bigMessage("b")+bigMessage("c")+message("d", "Class: chat", "Class: chess"))
	tf.eventually("read ahead", func() bool { return tf.front.bodyMemory.Load() > 0 })
	close(gate)
	for _, want := range []int{200, 200, 200, 400} {
		if resp, _, err := readAnswer(t, br); resp.StatusCode != want || err != nil {
			t.Fatalf("status %d, %v; want %d", resp.StatusCode, err, want)
		}
	}
	tf.eventually("memory returned", func() bool { return tf.front.bodyMemory.Load() == 0 })
}

// Closing a connection with unread data resets it, and the answer may be lost. After the last answer the connection
// is therefore first closed for sending, and data that still arrives is read but not served.
func TestLastAnswerIsNotReset(t *testing.T) {
	gate := make(chan bool)
	tf := startFront(t, writeAfter(gate), func(o *Options) { o.MaxBodyMemory = 3 * readBufferSize })
	c, br := tf.dial()
	io.WriteString(c, message("a"))
	tf.eventually("taken", func() bool { return tf.router.Stats().Sends == 2 })
	tf.front.BeginShutdown()
	io.WriteString(c, bigMessage("b")) // larger than the read-ahead: some of it stays unread
	close(gate)
	resp, got, err := readAnswer(t, br)
	if resp.StatusCode != 200 || got != eventA+eventEnd || err != nil {
		t.Fatalf("%+v %q %v", resp, got, err)
	}
	if n, err := io.Copy(io.Discard, br); n != 0 || err != nil {
		t.Errorf("after the answer %d bytes and %v, want EOF", n, err)
	}
	c.Close()
	tf.eventually("closed", func() bool { return tf.front.OpenConns() == 0 })
	if n := tf.router.Stats().Sends; n != 2 {
		t.Errorf("%d attempts: a request read after the last answer was served", n)
	}
}

// A lingering connection is the first one that is closed to make room.
func TestLingeringConnectionIsEvictedFirst(t *testing.T) {
	tf := startFront(t, writeAnswer, func(o *Options) { o.MaxConns = 1 })
	c, br := tf.dial()
	io.WriteString(c, strings.Replace(message("a"), "Host:", "Connection: close\r\nHost:", 1))
	if resp, _, err := readAnswer(t, br); resp.StatusCode != 200 || err != nil {
		t.Fatalf("%d %v", resp.StatusCode, err)
	}
	// The client can read the end of its answer before the connection's goroutine begins to linger.
	tf.eventually("the connection lingers", func() bool {
		tf.front.conns.mu.Lock()
		defer tf.front.conns.mu.Unlock()
		return tf.front.conns.evictable.Len() == 1
	})
	next, nextBr := tf.dial() // the first client has not closed its connection
	io.WriteString(next, message("b"))
	resp, err := http.ReadResponse(nextBr, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("%v %v", resp, err)
	}
}

// If the memory for bodies is used up, nothing is read ahead and no memory is counted for it.
func TestReadAheadWithoutBodyMemory(t *testing.T) {
	f := New(Options{MaxBodyMemory: readBufferSize - 1}, nil)
	c := &conn{front: f}
	if err := c.readAhead(); !errors.Is(err, errNoBodyMemory) {
		t.Errorf("got %v", err)
	}
	if n := f.bodyMemory.Load(); n != 0 || c.readAheadMemory != 0 {
		t.Errorf("%d bytes are counted, %d for this connection", n, c.readAheadMemory)
	}
}

// Of requests behind an open one those that are kept are answered. Behind them comes an error, and nothing that was discarded is
// taken for a request.
func TestRequestsBehindTheReadAheadAreNotServed(t *testing.T) {
	gate := make(chan bool)
	tf := startFront(t, writeAfter(gate), nil)
	c, br := tf.dial()
	io.WriteString(c, message("open"))
	sent := make(chan int)
	go func() {
		n := 0
		for size := 0; size < 2*maxReadAhead; n++ {
			text := strings.Replace(bigMessage(fmt.Sprintf("b%d", n)), "Class: chat", "Class: chess", 1) // a quick answer
			text = strings.Replace(text, "POST /v1/chat/completions", "GET /nowhere", 1)
			size += len(text)
			io.WriteString(c, text)
		}
		sent <- n
	}()
	n := <-sent // all of it is read, though the request is open
	close(gate)
	answered := 0
	if resp, _, err := readAnswer(t, br); resp.StatusCode != 200 || err != nil {
		t.Fatalf("%+v %v", resp, err)
	}
	for ; ; answered++ {
		resp, _, err := readAnswer(t, br)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == 413 {
			break
		}
		if resp.StatusCode != 404 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("after the error: %v, want EOF", err)
	}
	if answered == 0 || answered >= n {
		t.Errorf("%d of %d requests were answered", answered, n)
	}
	tf.eventually("memory returned", func() bool { return tf.front.bodyMemory.Load() == 0 })
}

// A client that goes on sending without end behind its open request counts as having left.
func TestEndlessDataBehindAnOpenRequest(t *testing.T) {
	tf := startFront(t, hang, nil)
	c, _ := tf.dial()
	io.WriteString(c, message("a"))
	for data := make([]byte, 1<<16); ; {
		if _, err := c.Write(data); err != nil {
			break
		}
	}
	tf.eventually("gone", func() bool { return tf.router.Stats().Gone == 1 && tf.front.OpenConns() == 0 })
}

// A close behind data for which there was no memory is seen when there is some again.
func TestClientLeavesWhileBodyMemoryIsUsedUp(t *testing.T) {
	tf := startFront(t, hang, nil)
	limit := tf.front.opts.MaxBodyMemory
	c, _ := tf.dial()
	io.WriteString(c, message("a"))
	tf.eventually("taken", func() bool { return tf.router.Stats().Sends == 2 })
	tf.front.bodyMemory.Add(limit)
	io.WriteString(c, bigMessage("b"))
	c.Close()
	tf.front.bodyMemory.Add(-limit)
	tf.eventually("gone", func() bool { return tf.router.Stats().Gone == 1 && tf.front.OpenConns() == 0 })
}

// A request at the end of the data that is kept is served like any other.
func TestLastRequestOfTheReadAheadIsServed(t *testing.T) {
	gate := make(chan bool, 2)
	tf := startFront(t, writeAfter(gate), nil)
	c, br := tf.dial()
	io.WriteString(c, message("open"))
	tf.eventually("taken", func() bool { return tf.router.Stats().Sends == 2 })
	last := message("last")
	kept, fillers := fillReadAhead(maxReadAhead + readBufferSize - len(last))
	io.WriteString(c, kept+last+strings.Repeat("x", 8*maxReadAhead))
	gate <- true
	for i, want := range append([]int{200}, slices.Repeat([]int{404}, fillers)...) {
		if resp, _, err := readAnswer(t, br); err != nil || resp.StatusCode != want {
			t.Fatalf("answer %d: %+v, %v; want %d", i, resp, err, want)
		}
	}
	before := tf.front.conns.readsWhileOpen.Load()
	tf.eventually("the last one is taken", func() bool { return tf.router.Stats().Sends == 4 })
	tf.eventually("the rest is read", func() bool {
		return tf.front.conns.readsWhileOpen.Load() > before || tf.router.Stats().Gone > 0
	})
	gate <- true
	for _, want := range []int{200, 413} {
		if resp, _, err := readAnswer(t, br); err != nil || resp.StatusCode != want {
			t.Fatalf("%+v, %v; want %d", resp, err, want)
		}
	}
}

// fillReadAhead returns n requests of the given size in all that no engine gets.
func fillReadAhead(size int) (text string, n int) {
	const largest = 100_000
	head := "GET /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: %07d\r\n\r\n"
	for ; size > 0; n++ {
		part := size
		if size >= 2*largest {
			part = largest
		}
		body := part - len(fmt.Sprintf(head, 0))
		text += fmt.Sprintf(head, body) + strings.Repeat("x", body)
		size -= part
	}
	return text, n
}
