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
	"syscall"
	"time"

	"mintdoor/internal/platform"
	standin "mintdoor/internal/standin/chat"

	"golang.org/x/sys/unix"
)

// Times of clients.
const (
	dialWithin = 2 * time.Second
	// answerSlack is how long beyond the deadline a client waits for a word, to tell a late answer from none.
	answerSlack = 3 * time.Second
	// streamSilence is how long a client waits for the next event of a stream.
	streamSilence = 8 * time.Second
	// resetShows is how long after the end of a connection a reset may show behind it.
	resetShows = 100 * time.Millisecond
)

// conn is a client's connection to a router.
type conn struct {
	*net.TCPConn
	br     *bufio.Reader
	router int
	uses   int
}

func dial(r *Router) (*conn, error) {
	c, err := net.DialTimeout("tcp", r.Addr, dialWithin)
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: c.(*net.TCPConn), br: bufio.NewReader(c), router: r.Index}, nil
}

// manner is how a client behaves with one request.
type manner struct {
	pieces    int           // the request is written in so many pieces ...
	pause     time.Duration // ... with so much time between them
	leaves    time.Duration // the client leaves so long after its last byte; 0: it stays
	byReset   bool          // with a reset
	halfClose bool          // with the end of its sending only
	behind    string        // is written behind the request before the client leaves
}

// question is what a client asks.
type question struct {
	id    string
	class *class
	index int // of the class
	left  time.Duration
	key   string // session
}

func (q *question) text(random *rand.Rand) string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":100,"messages":[{"role":"user","content":%q}]}`,
		strings.Repeat("x", random.IntN(2000)))
	head := "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: origin.svc\r\n" + platform.IDHeader + ": " + q.id + "\r\n" +
		platform.ClassHeader + ": " + q.class.Name + "\r\n" + platform.SessionHeader + ": " + q.key + "\r\n" +
		fmt.Sprintf("%s: %d\r\n", platform.TimeLeftHeader, q.left.Milliseconds()) +
		fmt.Sprintf("%s: prefix=%x,prompt_len=%d,prefix_len=200,max_out=100\r\n", platform.FactsHeader, random.IntN(8), 300+random.IntN(1500))
	if q.class.Repeat == keyed {
		head += "Idempotency-Key: " + q.id + "\r\n"
	}
	if random.IntN(4) == 0 { // a legal form as good as the other
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// exchange sends a request on a connection and reads its answer. It reports whether the connection can be used again.
func (c *conn) exchange(q *question, m *manner, random *rand.Rand, log *askLog) (*ask, bool) {
	a := &ask{id: q.id, class: q.index, router: c.router, left: q.left, first: c.uses == 0, began: time.Now()}
	c.uses++
	defer log.add(a)
	if !c.write(q.text(random), m) {
		a.ending, a.ended = endUnread, time.Now()
		return a, false
	}
	a.sent = time.Now()
	if m.leaves > 0 {
		stop := time.AfterFunc(m.leaves, func() { c.leave(m) })
		defer stop.Stop()
	}
	reuse := c.read(a)
	if m.leaves > 0 && time.Since(a.sent) >= m.leaves {
		if quit := a.sent.Add(m.leaves); a.ended.IsZero() || !a.whole || quit.Before(a.ended) {
			a.quit = quit
		}
		return a, false
	}
	return a, reuse
}

// leave ends the connection in the client's way.
func (c *conn) leave(m *manner) {
	if m.behind != "" {
		c.SetWriteDeadline(time.Now().Add(time.Millisecond))
		io.WriteString(c, m.behind)
	}
	switch {
	case m.halfClose:
		c.CloseWrite()
	case m.byReset:
		c.SetLinger(0)
		c.Close()
	default:
		c.Close()
	}
}

func (c *conn) write(text string, m *manner) bool {
	n := max(m.pieces, 1)
	for i := range n {
		piece := text[len(text)*i/n : len(text)*(i+1)/n]
		if _, err := io.WriteString(c, piece); err != nil {
			return false
		}
		if i < n-1 {
			time.Sleep(m.pause)
		}
	}
	return true
}

// read reads the answer to a request that was written whole.
func (c *conn) read(a *ask) bool {
	defer func() { a.ended = time.Now() }()
	c.SetReadDeadline(a.deadline().Add(answerSlack))
	if _, err := c.br.Peek(1); err != nil {
		a.ending = c.endedBy(err)
		return false
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		a.ending, a.wrong = endBroken, "the head is malformed: "+err.Error()
		return false
	}
	a.status, a.answered = resp.StatusCode, time.Now()
	if resp.StatusCode != http.StatusOK {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			a.ending = endBroken
			return false
		}
		a.whole = true
		return !resp.Close
	}
	if err := c.stream(a, resp.Body); err != nil {
		a.ending = endBroken
		return false
	}
	a.whole = true
	return !resp.Close
}

// stream reads the events of an answer to its end, and checks that they are one engine's for this request.
func (c *conn) stream(a *ask, body io.Reader) error {
	lines := bufio.NewReader(body)
	engine, done := "", false
	for n := 0; ; {
		c.SetReadDeadline(time.Now().Add(streamSilence))
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			if !done {
				a.wrong = "the answer is whole without its last event"
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
		a.events = append(a.events, time.Now())
		if data == standin.LastEvent {
			done = true
			continue
		}
		request, from, number, ok := standin.ParseEvent(data)
		switch {
		case !ok || request != a.id || number != n || done:
			a.wrong = fmt.Sprintf("event %d is %.80q", n, data)
		case engine != "" && from != engine:
			a.wrong = fmt.Sprintf("events of %s and %s", engine, from)
		}
		engine = from
		n++
	}
}

// endedBy tells how a connection ended on which no byte of an answer has come.
func (c *conn) endedBy(err error) ending {
	var t net.Error
	switch {
	case errors.As(err, &t) && t.Timeout():
		return endTimeout
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return endUnread
	case !errors.Is(err, io.EOF):
		return endNone // closed on this side
	}
	// The router has ended its sending. If it left the request unread, a reset comes behind.
	for until := time.Now().Add(resetShows); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if c.wasReset() {
			return endUnread
		}
	}
	return endClosed
}

// wasReset tells whether the connection is over in both directions.
func (c *conn) wasReset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	const tcpClose = 7 // TCP_CLOSE of the kernel's states
	over := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		over = err == nil && info.State == tcpClose
	})
	return over
}

// stands tells whether nothing has come on a connection that rests.
func (c *conn) stands() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	stands := false
	raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stands = errors.Is(err, syscall.EAGAIN)
	})
	return stands
}
