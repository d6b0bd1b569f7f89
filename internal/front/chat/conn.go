package chat

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"mintdoor/internal/front"
	"mintdoor/internal/guard"
	"mintdoor/internal/http1"
	"mintdoor/internal/platform"
	"mintdoor/internal/router"

	"golang.org/x/sys/unix"
)

// conn is a client's connection. Its fields are its goroutine's, but for those of conns.
type conn struct {
	net.Conn
	front *Front
	began time.Time // when it was accepted
	br    *bufio.Reader
	ahead []byte // what br had no room for while a request was open
	room  int64  // that ahead takes of the room for bodies
	entry entry  // of conns
	whole bool   // the last answer was written to its end

	request *guard.Request // the one that is open; nil between requests
	ended   string         // why its goroutine ends
}

// Read is br's source: first what was read ahead.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.ahead) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.dropAhead()
	}
	return n, nil
}

func (c *conn) serve(ctx context.Context) {
	f := c.front
	c.br = bufio.NewReaderSize(c, readBuffer)
	defer c.dropAhead()
	defer c.linger()
	defer c.recovered()
	for first := true; ; first = false {
		if !first && !c.rest() {
			return
		}
		if err := c.awaitRequest(); err != nil {
			c.ended = "no request: " + err.Error()
			if c.whole = false; first {
				c.unreadable(err)
			}
			return // it has left, or rested for long: nothing can be lost any more
		}
		if !f.conns.move(c, receiving) {
			return
		}
		within := time.Now().Add(f.opts.RequestTimeout)
		if first { // what was waited for counts, but bytes that have come get time to be read
			within = latest(c.began.Add(f.opts.RequestTimeout), time.Now().Add(f.opts.RequestTimeout/4))
		}
		c.SetReadDeadline(within)
		c.request = f.opts.Guard.Receive()
		more := c.takeRequest(ctx)
		c.ended = c.end(more)
		c.request.Closed(c.ended)
		if c.request = nil; !more {
			return
		}
	}
}

// recovered answers a request whose handling has panicked; other connections go on.
func (c *conn) recovered() {
	p := recover()
	if p == nil {
		return
	}
	c.front.log.Error("a connection's goroutine panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
	if c.request == nil {
		return
	}
	if c.request.State() < guard.Streaming {
		c.say(500, "internal error of the router", 0, true)
	}
	c.request.Closed("panic")
}

// rest begins the wait for a further request; false if the connection is to end now. In a shutdown it rests too: a
// request that comes is refused, where an end of sending would cross it, and what is read and thrown away is lost.
func (c *conn) rest() bool {
	c.SetReadDeadline(time.Now().Add(c.front.opts.IdleTimeout))
	return c.front.conns.move(c, resting)
}

// awaitRequest waits until something can be read, and reads nothing: see conns.
func (c *conn) awaitRequest() error {
	if c.br.Buffered() > 0 || len(c.ahead) > 0 {
		return nil
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var b [1]byte
	return raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
}

// clientGone asks the connection whether its client has ended it, also while another goroutine reads from it. It does not
// block. An end may stand behind bytes that nobody has read yet.
func (c *conn) clientGone() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	raw.Control(func(fd uintptr) { // with an error the connection is closed on this side
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			gone = endIsBehind(int(fd))
		case err == nil:
			gone = true
		default:
			gone = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		}
	})
	return gone
}

// endIsBehind tells whether the peer's end stands behind bytes that wait to be read.
func endIsBehind(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// dropAhead gives back the room of what was read ahead.
func (c *conn) dropAhead() {
	c.front.bodies.Add(-c.room)
	c.ahead, c.room = nil, 0
}

// linger ends a connection after an answer.
func (c *conn) linger() {
	if c.whole && c.front.conns.move(c, lingering) {
		c.front.discard(c.Conn, c.br)
	}
}

// discard ends a connection for sending; what still comes is read by r and thrown away, for a close over unread bytes
// resets the connection, and an answer that its client has not read goes with it.
func (f *Front) discard(nc net.Conn, r io.Reader) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	nc.SetReadDeadline(time.Now().Add(f.lingerFor))
	io.CopyN(io.Discard, r, lingerBytes)
}

// end says how a request has ended for its connection.
func (c *conn) end(more bool) string {
	switch {
	case more:
		return "the connection rests"
	case c.whole:
		return "last answer on the connection"
	}
	return "the answer is not whole"
}

// takeRequest takes one request and answers it. It reports whether the connection can take another.
func (c *conn) takeRequest(ctx context.Context) bool {
	f := c.front
	c.whole = false
	head, err := http1.ReadHead(c.br, maxHead)
	if err != nil {
		return c.unreadable(err)
	}
	method, target, old, err := head.RequestLine()
	if err != nil {
		return c.unreadable(err)
	}
	closes := old || head.WantsClose()
	body, err := c.body(head)
	defer f.bodies.Add(-int64(cap(body)))
	if err != nil {
		return c.unreadable(err)
	}
	if !f.conns.move(c, open) {
		return false
	}
	path, _, _ := strings.Cut(target, "?")
	switch {
	case path == platform.ReadyPath && method == "GET":
		if f.core.Ready() && !f.last.Load() {
			return c.say(200, "", 0, closes)
		}
		return c.say(503, "not ready", 0, closes)
	case path != platform.ChatPath:
		return c.say(404, "no such path", 0, closes)
	case method != "POST":
		return c.say(405, "POST only", 0, closes)
	}
	job, bad := f.job(head, target, body, time.Now())
	if bad != nil {
		if bad.Kind == front.BadRequest {
			f.log.Info("bad request", "client", c.RemoteAddr().String(), "reason", bad.Text)
		}
		return c.fail(bad, true)
	}
	job.Guard = c.request
	c.request.SetClientCheck(c.clientGone)
	c.request.Complete(job.Name, job.Deadline)
	q, err := f.core.Submit(job)
	if err != nil {
		if errors.Is(err, router.ErrDuplicateName) {
			return c.fail(&front.Error{Kind: front.BadRequest, Text: err.Error()}, true)
		}
		return c.fail(front.SubmitError(err), closes)
	}
	return c.hand(ctx, q, closes)
}

// unreadable answers what can't be read and has the connection closed: nobody knows where a next request
// would begin.
func (c *conn) unreadable(err error) bool {
	code, text := 400, err.Error()
	var late net.Error
	switch {
	case errors.Is(err, io.EOF):
		if c.request != nil {
			c.request.ClientLeft()
		}
		return false
	case errors.Is(err, net.ErrClosed):
		return false
	case errors.Is(err, errNoRoom):
		code = 503
	case errors.Is(err, http1.ErrTooLarge):
		code = 413
	case errors.As(err, &late) && late.Timeout():
		code, text = 408, "the request did not end in time"
		if c.front.last.Load() { // a client that has sent it meanwhile may send it elsewhere
			code, text = 503, "the router is stopping"
		}
	}
	c.front.log.Info("unreadable request", "client", c.RemoteAddr().String(), "err", err)
	return c.say(code, text, 0, true)
}

var errNoRoom = errors.New("no room for a body")

// body reads a body. What it takes is counted among the bodies of all; the caller counts it off. The room
// grows as bytes come, whatever length is claimed.
func (c *conn) body(h *http1.Head) ([]byte, error) {
	length, chunked, err := h.Framing()
	if err != nil {
		return nil, err
	}
	if length > MaxBody {
		return nil, fmt.Errorf("%w: body of %d bytes", http1.ErrTooLarge, length)
	}
	if length == 0 || length == http1.UnknownLength && !chunked {
		return nil, nil
	}
	if v, n := h.Get("Expect"); n > 0 {
		if !strings.EqualFold(v, "100-continue") {
			return nil, fmt.Errorf("%w: Expect", http1.ErrMalformed)
		}
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	var r io.Reader
	most := int64(MaxBody) + 1
	if chunked {
		r = http1.NewChunkedReader(c.br, MaxBody)
	} else {
		r = io.LimitReader(c.br, length)
		most = length
	}
	var b []byte
	for {
		if len(b) == cap(b) {
			grown := min(max(2*int64(cap(b)), 8<<10), most)
			if grown == int64(cap(b)) {
				break // as much as there may be
			}
			if c.front.bodies.Add(grown-int64(cap(b))) > c.front.opts.MaxBodyMemory {
				c.front.bodies.Add(int64(cap(b)) - grown)
				return b, errNoRoom
			}
			b = append(make([]byte, 0, grown), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return b, err
		}
	}
	switch {
	case len(b) > MaxBody:
		return b, fmt.Errorf("%w: body", http1.ErrTooLarge)
	case !chunked && int64(len(b)) < length:
		return b, io.ErrUnexpectedEOF
	}
	return b, nil
}
