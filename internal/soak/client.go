package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"mintdoor/internal/platform"
	standin "mintdoor/internal/standin/chat"

	"golang.org/x/sys/unix"
)

// Timeouts of clients.
const (
	dialTimeout = 2 * time.Second
	// answerSlack is how long after the deadline a client still waits, to tell a late answer from none.
	answerSlack = 3 * time.Second
	// streamReadTimeout is how long a client waits for the next event of a stream.
	streamReadTimeout = 8 * time.Second
	// resetWait is how long after the end of a connection a reset may follow.
	resetWait = 100 * time.Millisecond
	// trailingTimeout is how long a client writes behind its request before it leaves.
	trailingTimeout = 50 * time.Millisecond
)

// conn is a client's connection to a router.
type conn struct {
	*net.TCPConn
	br     *bufio.Reader
	router int
	uses   int

	readPause time.Duration // after each event

	left   chan struct{} // closed when the client has left
	leftAt atomic.Pointer[time.Time]
}

// whenLeft waits until the client has left, and returns when that was.
func (c *conn) whenLeft() time.Time {
	<-c.left
	return *c.leftAt.Load()
}

// dial connects to a router.
func dial(r *Router) (*conn, error) {
	c, err := net.DialTimeout("tcp", r.Addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: c.(*net.TCPConn), br: bufio.NewReader(c), router: r.Index, left: make(chan struct{})}, nil
}

// clientBehaviour is how a client behaves with one request.
type clientBehaviour struct {
	pieces       int           // the request is written in this many pieces ...
	pause        time.Duration // ... with this pause between them
	readPause    time.Duration // after each event of the answer
	leaveAfter   time.Duration // the client leaves this long after its last byte; 0: it stays
	leaveByReset bool          // leaves with a reset
	halfClose    bool          // leaves by closing only its sending direction
	trailing     string        // written after the request before the client leaves
}

// clientRequest is a request that a client sends.
type clientRequest struct {
	id       string
	class    *class
	index    int // index of the class in the settings
	timeLeft time.Duration
	key      string // session key
}

// wireText returns the HTTP request.
func (r *clientRequest) wireText(random *rand.Rand) string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":100,"messages":[{"role":"user","content":%q}]}`,
		strings.Repeat("x", random.IntN(2000)))
	head := "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: origin.svc\r\n" + platform.IDHeader + ": " + r.id + "\r\n" +
		platform.ClassHeader + ": " + r.class.Name + "\r\n" + platform.SessionHeader + ": " + r.key + "\r\n" +
		fmt.Sprintf("%s: %d\r\n", platform.TimeLeftHeader, r.timeLeft.Milliseconds()) +
		fmt.Sprintf("%s: prefix=%x,prompt_len=%d,prefix_len=200,max_out=100\r\n", platform.FactsHeader,
			random.IntN(8), 300+random.IntN(1500))
	if r.class.RetryPolicy == retryKeyed {
		head += "Idempotency-Key: " + r.id + "\r\n"
	}
	if random.IntN(4) == 0 { // routers have to accept both ways of framing a body
		const form = "Transfer-Encoding: chunked\r\n\r\n%s%s\r\n%s\r\n%s"
		size := []string{"%x", "%08X", "%x;a=b", "%x ; c=\"d;e\""}[random.IntN(4)]
		end := []string{"0\r\n\r\n", "000;f\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n"}[random.IntN(3)]
		half := len(body) / 2
		first := fmt.Sprintf(size+"\r\n%s\r\n", half, body[:half])
		return head + fmt.Sprintf(form, first, fmt.Sprintf(size, len(body)-half), body[half:], end)
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// exchange sends a request on the connection and reads its answer. It reports whether the connection can be used
// again.
func (c *conn) exchange(req *clientRequest, behaviour *clientBehaviour, random *rand.Rand, log *requestLog) (*requestRecord, bool) {
	rec := &requestRecord{id: req.id, class: req.index, router: c.router, timeLeft: req.timeLeft,
		firstOnConn: c.uses == 0, startedAt: time.Now()}
	c.uses++
	defer log.add(rec)
	if !c.write(req.wireText(random), behaviour) {
		rec.ending, rec.endedAt = endUnread, time.Now()
		return rec, false
	}
	rec.sentAt, rec.readsSlowly = time.Now(), behaviour.readPause > 0
	c.readPause = behaviour.readPause
	if behaviour.leaveAfter > 0 {
		stop := time.AfterFunc(behaviour.leaveAfter, func() { c.leave(behaviour) })
		defer stop.Stop()
	}
	reuse := c.read(rec)
	if behaviour.leaveAfter > 0 && time.Since(rec.sentAt) >= behaviour.leaveAfter {
		if left := c.whenLeft(); rec.endedAt.IsZero() || !rec.complete || left.Before(rec.endedAt) {
			rec.leftAt = left
		}
		return rec, false
	}
	return rec, reuse
}

// leave ends the connection in the way that the behaviour says.
func (c *conn) leave(behaviour *clientBehaviour) {
	if behaviour.trailing != "" {
		c.SetWriteDeadline(time.Now().Add(trailingTimeout))
		io.WriteString(c, behaviour.trailing)
	}
	defer close(c.left)
	defer c.leftAt.Store(new(time.Now()))
	switch {
	case behaviour.halfClose:
		c.CloseWrite()
	case behaviour.leaveByReset:
		c.SetLinger(0)
		c.Close()
	default:
		c.Close()
	}
}

// write writes the request in pieces. It returns false if the connection fails.
func (c *conn) write(text string, behaviour *clientBehaviour) bool {
	n := max(behaviour.pieces, 1)
	for i := range n {
		piece := text[len(text)*i/n : len(text)*(i+1)/n]
		if _, err := io.WriteString(c, piece); err != nil {
			return false
		}
		if i < n-1 {
			time.Sleep(behaviour.pause)
		}
	}
	return true
}

// read reads the answer to a request that was written completely.
func (c *conn) read(rec *requestRecord) bool {
	defer func() { rec.endedAt = time.Now() }()
	c.SetReadDeadline(rec.deadline().Add(answerSlack))
	if _, err := c.br.Peek(1); err != nil {
		rec.ending = c.endingOf(err)
		return false
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		rec.ending, rec.contentError = endBroken, "the response header is malformed: "+err.Error()
		return false
	}
	rec.status, rec.answeredAt = resp.StatusCode, time.Now()
	if resp.StatusCode != http.StatusOK {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			rec.ending = endBroken
			return false
		}
		rec.complete = true
		return !resp.Close
	}
	if err := c.stream(rec, resp.Body); err != nil {
		rec.ending = endBroken
		return false
	}
	rec.complete = true
	return !resp.Close
}

// stream reads the events of an answer to its end. It checks that they are complete and in order, belong to this
// request, and come from one engine.
func (c *conn) stream(rec *requestRecord, body io.Reader) error {
	lines := bufio.NewReader(body)
	engine, done := "", false
	for n := 0; ; {
		c.SetReadDeadline(time.Now().Add(streamReadTimeout))
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			if !done {
				rec.contentError = "the answer is complete but its last event is missing"
			}
			return nil
		}
		if err != nil {
			return err
		}
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		rec.events = append(rec.events, time.Now())
		time.Sleep(c.readPause)
		if data == standin.LastEvent {
			done = true
			continue
		}
		request, from, number, ok := standin.ParseEvent(data)
		switch {
		case !ok || request != rec.id || number != n || done:
			rec.contentError = fmt.Sprintf("event %d is %.80q", n, data)
		case engine != "" && from != engine:
			rec.contentError = fmt.Sprintf("events of %s and %s", engine, from)
		}
		engine = from
		n++
	}
}

// endingOf returns how a connection ended whose read failed with err before any byte of an answer.
func (c *conn) endingOf(err error) ending {
	var t net.Error
	switch {
	case errors.As(err, &t) && t.Timeout():
		return endTimeout
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return endUnread
	case !errors.Is(err, io.EOF):
		return endNone // closed by the client itself
	}
	// The router has closed its sending direction. If it left the request unread, a reset follows.
	for until := time.Now().Add(resetWait); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if c.wasReset() {
			return endUnread
		}
	}
	return endClosed
}

// wasReset reports whether the kernel has closed the connection in both directions, as it does after a reset.
func (c *conn) wasReset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	const tcpClose = 7 // TCP_CLOSE of the kernel's connection states
	closed := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClose
	})
	return closed
}

// isIdleOpen reports whether an idle connection is still open and has received nothing.
func (c *conn) isIdleOpen() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return open
}
