// Package spread is the stand-in for the front layer, the plain load balancer in front of the routers. It hands each
// connection to the next router in turn and, as the users' own front layer does, continues to do so for a while after
// a router has died. It forwards bytes without parsing them, so a client that wants each request balanced has to open
// a connection for each.
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
	listener       net.Listener
	detectionDelay time.Duration
	goroutines     sync.WaitGroup

	mu      sync.Mutex
	next    uint64
	routers []*target
	conns   map[net.Conn]bool
}

// target is one router.
type target struct {
	addr      string
	avoidFrom time.Time // zero: the router is alive; otherwise it gets no connections from this time on
}

// dialTimeout limits a dial to a router.
const dialTimeout = time.Second

// Start listens on a free loopback port. detectionDelay is how long a dead router still gets connections.
func Start(routers []string, detectionDelay time.Duration) (*Balancer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("front layer: %w", err)
	}
	b := &Balancer{listener: listener, detectionDelay: detectionDelay, conns: map[net.Conn]bool{}}
	for _, r := range routers {
		b.routers = append(b.routers, &target{addr: r})
	}
	return b, nil
}

// Addr returns the address that clients connect to.
func (b *Balancer) Addr() string { return b.listener.Addr().String() }

// Run serves until ctx ends, and then closes all connections.
func (b *Balancer) Run(ctx context.Context) error {
	defer b.goroutines.Wait()
	stop := context.AfterFunc(ctx, func() {
		b.listener.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		for c := range b.conns {
			c.Close()
		}
	})
	defer stop()
	for {
		c, err := b.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("front layer: %w", err)
		}
		b.goroutines.Add(1)
		go func() { defer b.goroutines.Done(); b.forward(ctx, c) }()
	}
}

// forward joins a client's connection with one to a router until either side closes.
func (b *Balancer) forward(ctx context.Context, client net.Conn) {
	defer b.trackConn(client)()
	d := net.Dialer{Timeout: dialTimeout}
	router, err := d.DialContext(ctx, "tcp", b.pickRouter())
	if err != nil {
		return // the client sees its connection closed
	}
	defer b.trackConn(router)()
	if ctx.Err() != nil {
		return
	}
	var both sync.WaitGroup
	pass := func(to, from net.Conn) {
		defer both.Done()
		if _, err := io.Copy(to, from); err != nil {
			to.Close() // a reset is passed on as a close
			return
		}
		to.(*net.TCPConn).CloseWrite()
	}
	both.Add(2)
	go pass(router, client)
	pass(client, router)
	// A router that has closed its side reads nothing more, so the client's connection is closed as well.
	client.Close()
	both.Wait()
}

// trackConn adds a connection to those that Run closes at its end. The returned function closes it and removes it.
func (b *Balancer) trackConn(c net.Conn) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = true
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.conns, c)
		c.Close()
	}
}

// MarkDead reports that a router has died, which takes effect after the detection delay. MarkAlive reverts it at
// once.
func (b *Balancer) MarkDead(addr string) { b.setAvoidFrom(addr, time.Now().Add(b.detectionDelay)) }

// MarkAlive reports that a router accepts connections again.
func (b *Balancer) MarkAlive(addr string) { b.setAvoidFrom(addr, time.Time{}) }

// setAvoidFrom sets from when on a router gets no connections; zero: it gets them.
func (b *Balancer) setAvoidFrom(addr string, from time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.routers {
		if r.addr == addr {
			r.avoidFrom = from
		}
	}
}

// pickRouter returns the next router in turn that is not known to be dead, or just the next one if all are.
func (b *Balancer) pickRouter() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	n := uint64(len(b.routers))
	first := b.next
	b.next++
	for i := range n {
		if r := b.routers[(first+i)%n]; r.avoidFrom.IsZero() || now.Before(r.avoidFrom) {
			return r.addr
		}
	}
	return b.routers[first%n].addr
}
