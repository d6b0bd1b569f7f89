package chat

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is a connection to an engine. It carries one exchange at a time.
type conn struct {
	net.Conn
	addr       string
	br         *bufio.Reader
	lastUsed   time.Time
	uses       int           // exchanges before the current one
	reuseDelay time.Duration // after its last exchange it must not be used for this long
	closeOnce  sync.Once
	pool       *pool
	idle       *list.Element // in pool.idle; nil while the connection is in use

	closeAfterUse bool // guarded by pool.mu: its engine left or restarted while the connection was in use
}

// closeReason says why a connection to an engine is closed.
type closeReason string

// The reasons for closing a connection.
const (
	closedUnspecified   closeReason = "not told"
	closedGivenUp       closeReason = "its call was given up"
	closedBeforeRequest closeReason = "it broke before it delivered a request"
	closedNotReusable   closeReason = "its response was not complete, or is its last one"
	closedTooIdle       closeReason = "it was idle for too long"
	closedUnexpected    closeReason = "data, or its end, came behind a response"
	closedForRoom       closeReason = "room was needed"
	closedDistrusted    closeReason = "its engine has left or restarted, or is distrusted"
	closedAtEnd         closeReason = "all idle connections are closed"
)

// Close closes the connection and stops counting it against the pool's limit. It may be called more than once.
func (c *conn) Close() error { return c.closeFor(closedUnspecified) }

// closeFor does what Close does, and logs the reason.
func (c *conn) closeFor(reason closeReason) error {
	var err error
	c.closeOnce.Do(func() {
		c.pool.log.Info("engine connection closed", "engine", c.addr, "reason", string(reason), "uses", c.uses)
		err = c.Conn.Close()
		c.pool.mu.Lock()
		c.pool.total--
		delete(c.pool.inUse, c)
		c.pool.mu.Unlock()
	})
	return err
}

// pool keeps connections to all engines under one common limit. Opening a connection costs the engine work and the
// request time, so the most recently used one is taken first. When the limit is reached, the idle connection that has
// been unused for longest is closed.
type pool struct {
	log           *slog.Logger
	dialTimeout   time.Duration
	idleTimeout   time.Duration // well below the engines' own idle timeout
	maxConns      int           // open at the same time
	releaseConns  int           // additional connections for releases
	lastByteDelay time.Duration // a request's last byte is held back for this long

	mu              sync.Mutex
	total           int
	idle            list.List            // of *conn, most recently used first
	inUse           map[*conn]struct{}   // all open connections that are not idle
	distrustedUntil map[string]time.Time // by address: until when no connection to the engine is used twice
}

// errLimit is returned when no further connection may be opened.
var errLimit = errors.New("the limit of connections to engines is reached")

// connRequirements states which connections may carry a call.
type connRequirements struct {
	isRelease          bool          // the call may use the additional connections as well
	newConn            bool          // only a connection that has carried no request yet
	lastResponseWithin time.Duration // maximum age of the last response on a kept connection; 0: any age
}

// get returns an open connection to an engine: a kept one if possible, else a new one.
func (p *pool) get(ctx context.Context, addr string, need connRequirements) (*conn, error) {
	for !need.newConn {
		c := p.takeIdle(addr, need.lastResponseWithin)
		if c == nil {
			break
		}
		reason := closedTooIdle
		if time.Since(c.lastUsed) < p.idleTimeout {
			if c.usable() {
				c.uses++
				return c, nil
			}
			reason = closedUnexpected
		}
		c.closeFor(reason)
	}
	limit := p.maxConns
	if need.isRelease {
		limit += p.releaseConns
	}
	if !p.reserveConn(limit) {
		return nil, errLimit
	}
	d := net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.total--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, readBufferSize), pool: p}
	p.mu.Lock()
	p.markInUse(c)
	p.mu.Unlock()
	return c, nil
}

// markInUse records that a connection is in use. The caller holds mu.
func (p *pool) markInUse(c *conn) {
	if p.inUse == nil {
		p.inUse = map[*conn]struct{}{}
	}
	p.inUse[c] = struct{}{}
}

// reserveConn counts one more connection and reports whether the limit allows it. At the limit it closes the idle
// connection that has been unused for longest to make room.
func (p *pool) reserveConn(limit int) bool {
	p.mu.Lock()
	if p.total < limit {
		p.total++
		p.mu.Unlock()
		return true
	}
	e := p.idle.Back()
	if e == nil {
		p.mu.Unlock()
		return false
	}
	c := e.Value.(*conn)
	p.removeIdle(c)
	p.total++
	p.mu.Unlock()
	c.closeFor(closedForRoom) // also decrements total
	return true
}

// removeIdle takes a connection out of the list of idle ones. The caller holds mu.
func (p *pool) removeIdle(c *conn) {
	p.idle.Remove(c.idle)
	c.idle = nil
}

// takeIdle returns the most recently used idle connection to an address whose reuse delay is over, or nil if there is
// none. If lastResponseWithin is not 0, it returns no connection that was last used longer ago than that.
func (p *pool) takeIdle(addr string, lastResponseWithin time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		age := time.Since(c.lastUsed)
		if lastResponseWithin > 0 && age > lastResponseWithin {
			return nil // the others have been idle for longer
		}
		if c.addr == addr && age >= c.reuseDelay {
			p.removeIdle(c)
			p.markInUse(c)
			return c
		}
	}
	return nil
}

// put keeps a connection whose last exchange was complete, unless its engine was forgotten or is distrusted.
func (p *pool) put(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	if c.closeAfterUse || c.lastUsed.Before(p.distrustedUntil[c.addr]) {
		p.mu.Unlock()
		c.closeFor(closedDistrusted)
		return
	}
	delete(p.inUse, c)
	c.idle = p.idle.PushFront(c)
	p.mu.Unlock()
}

// distrust handles an engine that has reset a kept connection. It may have closed others without notice, so the idle
// connections are closed, and for distrustDuration each connection to the engine is used only once.
func (p *pool) distrust(addr string) {
	p.mu.Lock()
	if p.distrustedUntil == nil {
		p.distrustedUntil = map[string]time.Time{}
	}
	p.distrustedUntil[addr] = time.Now().Add(distrustDuration)
	p.mu.Unlock()
	p.closeConns(addr)
}

// closeConns closes the idle connections to an address, or to all addresses if addr is "". Connections in use are
// closed after their exchange, because whatever listens at the address now, if anything, is another process.
func (p *pool) closeConns(addr string) {
	p.mu.Lock()
	for c := range p.inUse {
		c.closeAfterUse = c.closeAfterUse || addr == "" || c.addr == addr
	}
	p.mu.Unlock()
	reason := closedDistrusted
	if addr == "" {
		reason = closedAtEnd
	}
	p.closeIdleIf(reason, func(c *conn) bool { return addr == "" || c.addr == addr })
}

// closeExpired closes idle connections that their engines may close soon and drops outdated entries of
// distrustedUntil.
func (p *pool) closeExpired() {
	p.closeIdleIf(closedTooIdle, func(c *conn) bool { return time.Since(c.lastUsed) >= p.idleTimeout })
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, until := range p.distrustedUntil {
		if time.Now().After(until) {
			delete(p.distrustedUntil, addr)
		}
	}
}

// closeIdleIf closes the idle connections for which match returns true.
func (p *pool) closeIdleIf(reason closeReason, match func(*conn) bool) {
	var closing []*conn
	p.mu.Lock()
	for e := p.idle.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		if match(c) {
			p.removeIdle(c)
			closing = append(closing, c)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.closeFor(reason)
	}
}

// usable reports whether an idle connection is still open and has no unread data. A request written to a connection
// that its engine has closed would end in a reset, and it would be unknown whether the request was executed.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false // data arrived after the end of the last response
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	ok := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return ok && err == nil
}
