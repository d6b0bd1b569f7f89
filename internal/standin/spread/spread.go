// Package spread is the stand-in for the plain front layer before the routers: it hands each connection to
// the next router in turn and, like the users' own, goes on doing so for a while after one has died. It
// passes bytes on and looks at none, so a client that wants each request spread opens a connection for each.
package spread

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Balancer spreads connections over routers.
type Balancer struct {
	listener net.Listener
	notice   time.Duration
	work     sync.WaitGroup

	mu      sync.Mutex
	next    uint64
	routers []*target
	conns   map[net.Conn]bool
}

type target struct {
	addr string
	dead time.Time // zero: alive; else it is left out from then on
}

const dialTimeout = time.Second

// Start listens on a free port of loopback. notice is how long a dead router still gets connections.
func Start(routers []string, notice time.Duration) (*Balancer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("front layer: %w", err)
	}
	l := &Balancer{listener: listener, notice: notice, conns: map[net.Conn]bool{}}
	for _, r := range routers {
		l.routers = append(l.routers, &target{addr: r})
	}
	return l, nil
}

// Addr is where clients go.
func (l *Balancer) Addr() string { return l.listener.Addr().String() }

// Run serves until ctx ends, which closes all that is open.
func (l *Balancer) Run(ctx context.Context) error {
	defer l.work.Wait()
	stop := context.AfterFunc(ctx, func() {
		l.listener.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.conns {
			c.Close()
		}
	})
	defer stop()
	for {
		c, err := l.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("front layer: %w", err)
		}
		l.work.Add(1)
		go func() { defer l.work.Done(); l.carry(ctx, c) }()
	}
}

// carry joins a client to a router until either closes.
func (l *Balancer) carry(ctx context.Context, client net.Conn) {
	defer l.track(client)()
	d := net.Dialer{Timeout: dialTimeout}
	router, err := d.DialContext(ctx, "tcp", l.pick())
	if err != nil {
		return // the client sees its connection closed
	}
	defer l.track(router)()
	if ctx.Err() != nil {
		return
	}
	var both sync.WaitGroup
	pass := func(to, from net.Conn) {
		defer both.Done()
		if _, err := io.Copy(to, from); err != nil {
			to.Close() // a reset goes on as a close
			return
		}
		to.(*net.TCPConn).CloseWrite()
	}
	both.Add(2)
	go pass(router, client)
	pass(client, router)
	// A router that has closed reads nothing more, so the client's half is of no use either.
	client.Close()
	both.Wait()
}

// track keeps a connection among those that Run closes; the function returned closes it.
func (l *Balancer) track(c net.Conn) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
		c.Close()
	}
}

// MarkDead tells that a router has died; it is noticed after a while. Alive takes that back at once.
func (l *Balancer) MarkDead(addr string) { l.mark(addr, time.Now().Add(l.notice)) }

// MarkAlive tells that a router takes connections again.
func (l *Balancer) MarkAlive(addr string) { l.mark(addr, time.Time{}) }

func (l *Balancer) mark(addr string, dead time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.routers {
		if r.addr == addr {
			r.dead = dead
		}
	}
}

// pick returns the next router in turn that is not known to be dead, or the next if all are.
func (l *Balancer) pick() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	n := uint64(len(l.routers))
	first := l.next
	l.next++
	for i := range n {
		if r := l.routers[(first+i)%n]; r.dead.IsZero() || now.Before(r.dead) {
			return r.addr
		}
	}
	return l.routers[first%n].addr
}
