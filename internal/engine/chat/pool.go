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
	addr string
	br   *bufio.Reader
	used time.Time
	uses int           // exchanges before the one under way
	rest time.Duration // after its last exchange it is not used for so long
	once sync.Once
	pool *pool
	idle *list.Element // in pool.idle; nil while it is out

	forgotten bool // under pool.mu: its engine left or started anew while it was out
}

// Close closes the connection and gives its descriptor back to the pool. It may be called more than once.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		err = c.Conn.Close()
		c.pool.mu.Lock()
		c.pool.total--
		delete(c.pool.out, c)
		c.pool.mu.Unlock()
	})
	return err
}

// pool keeps connections for all engines under one bound. Opening one costs its engine work and the request
// time, so the one used last is taken first; the one unused for longest makes room.
type pool struct {
	dialTimeout time.Duration
	keep        time.Duration // well under the engines' time for idle connections
	most        int           // open at once
	spare       int           // more for what has to be let go
	standsAfter time.Duration // a request's last byte is held back for so long

	mu    sync.Mutex
	total int
	idle  list.List            // of *conn, used last in front
	out   map[*conn]struct{}   // those that are not idle
	doubt map[string]time.Time // until when no connection to an engine is used twice
}

var errLimit = errors.New("limit of connections to engines is reached")

// wanted tells which connections will do for a call.
type wanted struct {
	urgent      bool          // it has more room
	fresh       bool          // only one that has carried nothing yet
	heardWithin time.Duration // a kept one only if an answer has come on it so recently; 0: any
}

// get returns a connection that stands.
func (p *pool) get(ctx context.Context, addr string, w wanted) (*conn, error) {
	for !w.fresh {
		c := p.take(addr, w.heardWithin)
		if c == nil {
			break
		}
		if time.Since(c.used) < p.keep && c.sound() {
			c.uses++
			return c, nil
		}
		c.Close()
	}
	most := p.most
	if w.urgent {
		most += p.spare
	}
	if !p.reserve(most) {
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
	c := &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, readBuffer), pool: p}
	p.mu.Lock()
	p.lend(c)
	p.mu.Unlock()
	return c, nil
}

// lend notes that a connection is out. mu is held.
func (p *pool) lend(c *conn) {
	if p.out == nil {
		p.out = map[*conn]struct{}{}
	}
	p.out[c] = struct{}{}
}

// reserve counts one more connection, and closes the idle one unused for longest when it must.
func (p *pool) reserve(most int) bool {
	p.mu.Lock()
	if p.total < most {
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
	p.drop(c)
	p.total++
	p.mu.Unlock()
	c.Close() // counts down
	return true
}

// drop takes an idle connection out of the list.
func (p *pool) drop(c *conn) {
	p.idle.Remove(c.idle)
	c.idle = nil
}

// take returns an idle connection to an address, the one used last of those that have rested; nil if there is none. Of those
// that will do, none was used longer ago than heardWithin, if that is not 0.
func (p *pool) take(addr string, heardWithin time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		age := time.Since(c.used)
		if heardWithin > 0 && age > heardWithin {
			return nil // the others have rested for longer
		}
		if c.addr == addr && age >= c.rest {
			p.drop(c)
			p.lend(c)
			return c
		}
	}
	return nil
}

// put keeps a connection whose last exchange was whole.
func (p *pool) put(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	if c.forgotten || c.used.Before(p.doubt[c.addr]) {
		p.mu.Unlock()
		c.Close()
		return
	}
	delete(p.out, c)
	c.idle = p.idle.PushFront(c)
	p.mu.Unlock()
}

// distrust: an engine has reset a connection that was kept. It may have closed others without a word, so for a
// while each of its connections is used once.
func (p *pool) distrust(addr string) {
	p.mu.Lock()
	if p.doubt == nil {
		p.doubt = map[string]time.Time{}
	}
	p.doubt[addr] = time.Now().Add(doubtFor)
	p.mu.Unlock()
	p.forget(addr)
}

// forget closes the idle connections to an address, or all with "". Those that are out are closed after their exchange:
// what listens there now, if anything, is another process.
func (p *pool) forget(addr string) {
	p.mu.Lock()
	for c := range p.out {
		c.forgotten = c.forgotten || addr == "" || c.addr == addr
	}
	p.mu.Unlock()
	p.sweep(func(c *conn) bool { return addr == "" || c.addr == addr })
}

// expire closes those that an engine may close soon.
func (p *pool) expire() {
	p.sweep(func(c *conn) bool { return time.Since(c.used) >= p.keep })
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, until := range p.doubt {
		if time.Now().After(until) {
			delete(p.doubt, addr)
		}
	}
}

func (p *pool) sweep(which func(*conn) bool) {
	var gone []*conn
	p.mu.Lock()
	for e := p.idle.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		if which(c) {
			p.drop(c)
			gone = append(gone, c)
		}
	}
	p.mu.Unlock()
	for _, c := range gone {
		c.Close()
	}
}

// sound tells whether an idle connection still stands and is silent. A request written to one that its
// engine has closed would end as a reset, of which nobody knows whether it ran.
func (c *conn) sound() bool {
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
