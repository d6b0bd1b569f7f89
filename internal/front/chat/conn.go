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

// conn is a client's connection. Its fields belong to the goroutine that serves it, except entry, which belongs to
// conns.
type conn struct {
	net.Conn
	front           *Front
	accepted        time.Time // when it was accepted
	br              *bufio.Reader
	readAheadData   []byte // data read while a request was open for which br had no room
	readAheadMemory int64  // bytes of the memory for bodies that readAheadData takes
	overrun         bool   // data behind readAheadData was discarded
	entry           entry  // guarded by conns.mu
	complete        bool   // the last answer was written completely

	request   *guard.Request // the open request; nil between requests
	endReason string         // why the serving goroutine ends
}

// Read is the source of br. It returns the data that was read ahead first.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(c.readAheadData) == 0 && c.overrun:
		return 0, errOverrun
	case len(c.readAheadData) == 0:
		return c.Conn.Read(p)
	}
	n := copy(p, c.readAheadData)
	if c.readAheadData = c.readAheadData[n:]; len(c.readAheadData) == 0 {
		c.dropReadAhead()
	}
	return n, nil
}

// serve reads requests from the connection and answers them, until the connection ends.
func (c *conn) serve(ctx context.Context) {
	f := c.front
	c.br = bufio.NewReaderSize(c, readBufferSize)
	defer c.dropReadAhead()
	defer c.linger()
	defer c.recoverPanic()
	var begun time.Time // the last request
	for first := true; ; first = false {
		if !first && !c.beginIdle() {
			return
		}
		time.Sleep(minRequestInterval - time.Since(begun))
		if err := c.awaitRequest(); err != nil {
			c.endReason = "no request: " + err.Error()
			if c.complete = false; first {
				c.respondUnreadable(err)
			}
			return // the client has left or was idle for too long: no request can be lost
		}
		if !f.conns.transition(c, stateReceiving) {
			return
		}
		deadline := time.Now().Add(f.opts.RequestTimeout)
		if first { // the time since the accept counts, but data that has arrived gets time to be read
			deadline = latest(c.accepted.Add(f.opts.RequestTimeout), time.Now().Add(f.opts.RequestTimeout/4))
		}
		c.SetReadDeadline(deadline)
		begun = time.Now()
		c.request = f.opts.Guard.Receive()
		reusable := c.takeRequest(ctx)
		c.endReason = c.describeEnd(reusable)
		c.request.Closed(c.endReason)
		if c.request = nil; !reusable {
			return
		}
	}
}

// recoverPanic answers a request whose handling has panicked. Other connections are not affected.
func (c *conn) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	c.front.log.Error("the goroutine of a connection panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
	if c.request == nil {
		return
	}
	if c.request.State() < guard.Streaming {
		c.respond(500, "internal error of the router", 0, true)
	}
	c.request.Closed("panic")
}

// beginIdle begins the wait for another request. It returns false if the connection is to end now. A connection
// becomes idle during a shutdown as well, so that a request that still arrives gets a response. If the router closed
// the connection for sending instead, a request could cross this close, be read and discarded, and so be lost.
func (c *conn) beginIdle() bool {
	c.SetReadDeadline(time.Now().Add(c.front.opts.IdleTimeout))
	return c.front.conns.transition(c, stateIdle)
}

// awaitRequest waits until data can be read, without reading it. The type conns says why.
func (c *conn) awaitRequest() error {
	if c.br.Buffered() > 0 || len(c.readAheadData) > 0 || c.overrun {
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

// clientGone reports whether the client has closed the connection. It does not block and may be called while another
// goroutine reads from the connection. The close may come after data that has not been read yet.
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
	raw.Control(func(fd uintptr) { // an error means that the connection is closed on this side
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			gone = peerClosed(int(fd))
		case err == nil:
			gone = true
		default:
			gone = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		}
	})
	return gone
}

// peerClosed reports whether the peer has closed the connection after data that is still unread.
func peerClosed(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// linger ends a connection after a complete answer without resetting it.
func (c *conn) linger() {
	if c.complete && c.front.conns.transition(c, stateLingering) {
		var rest io.Reader = c.br
		if c.overrun {
			rest = c.Conn
		}
		c.front.discard(c.Conn, rest)
	}
}

// discard closes a connection for sending, then reads and discards what still arrives through r: closing a connection
// with unread data resets it, and an answer that the client has not read yet would be lost.
func (f *Front) discard(nc net.Conn, r io.Reader) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	nc.SetReadDeadline(time.Now().Add(f.lingerTimeout))
	io.CopyN(io.Discard, r, maxLingerBytes)
}

// describeEnd returns what the end of a request means for its connection. reusable reports whether the connection can
// take another request.
func (c *conn) describeEnd(reusable bool) string {
	switch {
	case reusable:
		return "the connection is idle"
	case c.complete:
		return "last answer on the connection"
	}
	return "the answer is incomplete"
}

// takeRequest reads one request and answers it. It reports whether the connection can take another request.
func (c *conn) takeRequest(ctx context.Context) bool {
	f := c.front
	c.complete = false
	head, err := http1.ReadHead(c.br, maxHeadSize)
	if err != nil {
		return c.respondUnreadable(err)
	}
	method, target, http10, err := head.RequestLine()
	if err != nil {
		return c.respondUnreadable(err)
	}
	closeAfter := http10 || head.WantsClose()
	body, err := c.readBody(head)
	defer f.bodyMemory.Add(-int64(cap(body)))
	if err != nil {
		return c.respondUnreadable(err)
	}
	if !f.conns.transition(c, stateOpen) {
		return false
	}
	path, _, _ := strings.Cut(target, "?")
	switch {
	case path == platform.ReadyPath && method == "GET":
		if f.core.Ready() && !f.closing.Load() {
			return c.respond(200, "", 0, closeAfter)
		}
		return c.respond(503, "not ready", 0, closeAfter)
	case path != platform.ChatPath:
		return c.respond(404, "no such path", 0, closeAfter)
	case method != "POST":
		return c.respond(405, "POST only", 0, closeAfter)
	}
	job, jobErr := f.job(head, target, body, time.Now())
	if jobErr != nil {
		if jobErr.Kind == front.BadRequest {
			f.log.Info("bad request", "client", c.RemoteAddr().String(), "reason", jobErr.Text)
		}
		return c.respondError(jobErr, true)
	}
	job.Guard = c.request
	c.request.SetClientCheck(c.clientGone)
	c.request.Complete(job.Name, job.Deadline)
	q, err := f.core.Submit(job)
	if err != nil {
		if errors.Is(err, router.ErrDuplicateName) {
			return c.respondError(&front.Error{Kind: front.BadRequest, Text: err.Error()}, true)
		}
		return c.respondError(front.SubmitError(err), closeAfter)
	}
	return c.streamAnswer(ctx, q, closeAfter)
}

// respondUnreadable answers a request that can't be read, after which the connection is closed because it is unknown
// where the next request would begin. It returns false, since the connection can't take another request.
func (c *conn) respondUnreadable(err error) bool {
	code, text := 400, err.Error()
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF):
		if c.request != nil {
			c.request.ClientLeft()
		}
		return false
	case errors.Is(err, net.ErrClosed):
		return false
	case errors.Is(err, errNoBodyMemory):
		code = 503
	case errors.Is(err, http1.ErrTooLarge):
		code = 413
	case errors.As(err, &netErr) && netErr.Timeout():
		code, text = 408, "the request did not end in time"
		if c.front.closing.Load() { // the client may have sent the rest meanwhile and may retry elsewhere
			code, text = 503, "the router is stopping"
		}
	}
	c.front.log.Info("unreadable request", "client", c.RemoteAddr().String(), "err", err)
	return c.respond(code, text, 0, true)
}

// errNoBodyMemory is returned when a limit on the memory for request bodies is reached.
var errNoBodyMemory = errors.New("no room for a body")

// readBody reads a request body. Its memory counts towards the common limit, and the caller subtracts it afterwards.
// The buffer grows as data arrives, whatever length the client has announced.
func (c *conn) readBody(h *http1.Head) ([]byte, error) {
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
	maxLen := int64(MaxBody) + 1
	if chunked {
		r = http1.NewChunkedReader(c.br, MaxBody)
	} else {
		r = io.LimitReader(c.br, length)
		maxLen = length
	}
	var b []byte
	for {
		if len(b) == cap(b) {
			newCap := min(max(2*int64(cap(b)), 8<<10), maxLen)
			if newCap == int64(cap(b)) {
				break // the maximum size is reached
			}
			if c.front.bodyMemory.Add(newCap-int64(cap(b))) > c.front.opts.MaxBodyMemory {
				c.front.bodyMemory.Add(int64(cap(b)) - newCap)
				return b, errNoBodyMemory
			}
			b = append(make([]byte, 0, newCap), b...)
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
