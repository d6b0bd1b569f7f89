package chat

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is a connection to an engine. One exchange at a time travels on it.
type conn struct {
	net.Conn
	addr       string
	br         *bufio.Reader
	lastUsed   time.Time
	uses       int           // exchanges before the one under way
	reuseDelay time.Duration // after its last exchange it is not used for so long
	closeOnce  sync.Once
	pool       *pool
	idle       *list.Element // in pool.idle; nil while it is out

	closeAfterUse bool // under pool.mu: its engine left or started anew while it was out
}

// Close closes the connection and gives its descriptor back to the pool. It may be called more than once.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.mu.Lock()
		c.pool.total--
		delete(c.pool.inUse, c)
		c.pool.mu.Unlock()
	})
	return err
}

// pool keeps connections for all engines under one bound. Opening one costs its engine work and the request
// time, so the one used last is taken first; the one unused for longest makes room.
type pool struct {
	dialTimeout   time.Duration
	idleTimeout   time.Duration // well under the engines' time for idle connections
	maxConns      int           // open at once
	releaseConns  int           // more for what has to be let go
	lastByteDelay time.Duration // a request's last byte is held back for so long

	mu              sync.Mutex
	total           int
	idle            list.List            // of *conn, used last in front
	inUse           map[*conn]struct{}   // those that are not idle
	distrustedUntil map[string]time.Time // until when no connection to an engine is used twice
}

var errLimit = errors.New("limit of connections to engines is reached")

// connRequirements tells which connections will do for a call.
type connRequirements struct {
	urgent             bool          // it has more room
	newConn            bool          // only one that has carried nothing yet
	lastResponseWithin time.Duration // a kept one only if an answer has come on it so recently; 0: any
}

// get returns a connection that stands.
func (p *pool) get(ctx context.Context, addr string, w connRequirements) (*conn, error) {
	for !w.newConn {
		c := p.takeIdle(addr, w.lastResponseWithin)
		if c == nil {
			break
		}
		if time.Since(c.lastUsed) < p.idleTimeout && c.usable() {
			c.uses++
			return c, nil
		}
		c.Close()
	}
	limit := p.maxConns
	if w.urgent {
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

// markInUse notes that a connection is out. mu is held.
func (p *pool) markInUse(c *conn) {
	if p.inUse == nil {
		p.inUse = map[*conn]struct{}{}
	}
	p.inUse[c] = struct{}{}
}

// reserveConn counts one more connection, and closes the idle one unused for longest when it must.
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
	c.Close() // counts down
	return true
}

// removeIdle takes an idle connection out of the list.
func (p *pool) removeIdle(c *conn) {
	p.idle.Remove(c.idle)
	c.idle = nil
}

// takeIdle returns an idle connection to an address, the one used last of those that have rested; nil if there is none. Of those
// that will do, none was used longer ago than heardWithin, if that is not 0.
func (p *pool) takeIdle(addr string, lastResponseWithin time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		age := time.Since(c.lastUsed)
		if lastResponseWithin > 0 && age > lastResponseWithin {
			return nil // the others have rested for longer
		}
		if c.addr == addr && age >= c.reuseDelay {
			p.removeIdle(c)
			p.markInUse(c)
			return c
		}
	}
	return nil
}

// put keeps a connection whose last exchange was whole.
func (p *pool) put(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	if c.closeAfterUse || c.lastUsed.Before(p.distrustedUntil[c.addr]) {
		p.mu.Unlock()
		c.Close()
		return
	}
	delete(p.inUse, c)
	c.idle = p.idle.PushFront(c)
	p.mu.Unlock()
}

// distrust: an engine has reset a connection that was kept. It may have closed others without a word, so for a
// while each of its connections is used once.
func (p *pool) distrust(addr string) {
	p.mu.Lock()
	if p.distrustedUntil == nil {
		p.distrustedUntil = map[string]time.Time{}
	}
	p.distrustedUntil[addr] = time.Now().Add(distrustDuration)
	p.mu.Unlock()
	p.closeConns(addr)
}

// closeConns closes the idle connections to an address, or all with "". Those that are out are closed after their exchange:
// what listens there now, if anything, is another process.
func (p *pool) closeConns(addr string) {
	p.mu.Lock()
	for c := range p.inUse {
		c.closeAfterUse = c.closeAfterUse || addr == "" || c.addr == addr
	}
	p.mu.Unlock()
	p.closeIdleIf(func(c *conn) bool { return addr == "" || c.addr == addr })
}

// closeExpired closes those that an engine may close soon.
func (p *pool) closeExpired() {
	p.closeIdleIf(func(c *conn) bool { return time.Since(c.lastUsed) >= p.idleTimeout })
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, until := range p.distrustedUntil {
		if time.Now().After(until) {
			delete(p.distrustedUntil, addr)
		}
	}
}

func (p *pool) closeIdleIf(match func(*conn) bool) {
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
		c.Close()
	}
}

// usable tells whether an idle connection still stands and is silent. A request written to one that its
// engine has closed would end as a reset, of which nobody knows whether it ran.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false // something came after the last answer's end
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
