package chat

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Proxy forwards the connections of one router to several engines, and injects network faults that affect all of
// these engines alike. It has one listener; the local address of a connection identifies the engine.
type Proxy struct {
	cluster    *Cluster
	router     int
	listener   *net.TCPListener
	port       uint16
	goroutines sync.WaitGroup
	acceptDone chan struct{} // closed when the accept loop has ended

	mu           sync.Mutex
	engines      map[netip.Addr]netip.AddrPort // by the address at which the router reaches each engine
	conns        map[*proxyConn]struct{}
	dropping     bool
	outages      []Interval
	newConnDelay time.Duration // new connections carry nothing for this long
	acceptGate   chan struct{} // closed while connections are accepted
	acceptParked chan struct{} // closed when the accept loop has stopped accepting; nil: nothing waits for that
	faultCounts  map[string]int
	closed       bool

	stallMu    sync.Mutex
	stallCount int        // stalls in progress
	fillers    []net.Conn // connections that fill the kernel's accept queue, so that dials do not complete
}

// Interval is a time span. It has not ended while Until is zero.
type Interval struct{ From, Until time.Time }

// proxyConn is a connection through a proxy.
type proxyConn struct {
	proxy          *Proxy
	router, engine *net.TCPConn
	record         *connRecord
	lost           bool // data was dropped: the connection cannot be used any more
	blackholed     bool // it is dropped for good and never reset
}

// copyBufferBytes is the size of the buffer for one read.
const copyBufferBytes = 16 << 10

// NewProxy starts a proxy for a router's connections.
func NewProxy(cluster *Cluster, router int) (*Proxy, error) {
	l, err := listenEverywhere()
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{cluster: cluster, router: router, listener: l.(*net.TCPListener), port: uint16(l.Addr().(*net.TCPAddr).Port),
		engines: map[netip.Addr]netip.AddrPort{}, conns: map[*proxyConn]struct{}{}, acceptGate: make(chan struct{}),
		acceptDone: make(chan struct{}), faultCounts: map[string]int{}}
	close(p.acceptGate)
	p.goroutines.Add(1)
	go p.acceptLoop()
	return p, nil
}

// AddEngine adds an engine, and returns the address at which the router reaches it.
func (p *Proxy) AddEngine(e *Engine) string {
	at := numberedAddr(proxySubnet, e.number)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines[at] = e.addr
	return p.AddrOf(e)
}

// AddrOf returns the address at which the router reaches an engine.
func (p *Proxy) AddrOf(e *Engine) string {
	return netip.AddrPortFrom(numberedAddr(proxySubnet, e.number), p.port).String()
}

// RemoveEngine removes an engine that has ended.
func (p *Proxy) RemoveEngine(e *Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.engines, numberedAddr(proxySubnet, e.number))
}

// unassignedAddr returns an address of the proxy that belongs to no engine.
func (p *Proxy) unassignedAddr() string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), p.port).String()
}

// Close closes the proxy and all its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.stallMu.Lock()
	for _, c := range p.fillers {
		c.Close()
	}
	p.fillers = nil
	p.mu.Lock()
	p.closed = true
	select {
	case <-p.acceptGate:
	default:
		close(p.acceptGate)
	}
	p.mu.Unlock()
	p.stallMu.Unlock()
	p.ResetConnections()
	p.goroutines.Wait()
}

// FaultCounts returns how often each fault has met a connection.
func (p *Proxy) FaultCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, n := range p.faultCounts {
		out[k] = n
	}
	return out
}

// ResetConnections resets all connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.faultCounts["connections reset"]++
		c.resetBoth()
	}
}

// DropTraffic drops all data in both directions without any error until RestoreTraffic, and keeps dials from
// completing.
func (p *Proxy) DropTraffic() error {
	p.mu.Lock()
	p.dropping = true
	p.outages = append(p.outages, Interval{From: time.Now()})
	p.mu.Unlock()
	return p.StallDials()
}

// RestoreTraffic ends DropTraffic. Connections that have lost data are reset; the others continue.
func (p *Proxy) RestoreTraffic() error {
	p.mu.Lock()
	p.dropping = false
	p.outages[len(p.outages)-1].Until = time.Now()
	for c := range p.conns {
		if c.lost && !c.blackholed {
			c.resetBoth()
		}
	}
	p.mu.Unlock()
	return p.ResumeDials()
}

// Outages returns the intervals in which traffic was dropped.
func (p *Proxy) Outages() []Interval {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Interval(nil), p.outages...)
}

// BlackholeConnections drops all data of the open connections for good, without any error. New connections are not
// affected. A device on the path that has lost its connection table behaves like this.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if !c.lost {
			c.lost, c.blackholed = true, true
			c.record.recordLoss()
			p.faultCounts["connections forgotten"]++
		}
	}
}

// DelayNewConnections makes new connections carry nothing for a duration, as after a slow handshake.
func (p *Proxy) DelayNewConnections(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newConnDelay = d
}

// Durations and sizes of stalled dials.
const (
	fillDialTimeout  = 20 * time.Millisecond // a dial on loopback that takes longer has found the queue full
	acceptOneTimeout = 5 * time.Millisecond  // a connection that waits in the queue is accepted within this time
	maxFillers       = 64
	defaultBacklog   = 128
)

// StallDials keeps dials from completing until ResumeDials has been called as often as StallDials. The proxy stops
// accepting and fills the kernel's accept queue of its listener with connections of its own.
func (p *Proxy) StallDials() error {
	p.stallMu.Lock()
	defer p.stallMu.Unlock()
	if p.stallCount++; p.stallCount > 1 {
		return nil
	}
	p.parkAcceptLoop()
	if err := p.setBacklog(0); err != nil {
		return err
	}
	full := false
	for range maxFillers {
		c, err := net.DialTimeout("tcp", p.unassignedAddr(), fillDialTimeout)
		full = err != nil
		switch {
		case err == nil:
			p.fillers = append(p.fillers, c)
		case len(p.fillers) > 0:
			return nil // the queue is full
		default: // the queue is full of connections of others that came before
			p.acceptOne()
		}
	}
	if full { // full of connections of others, which come as fast as they are accepted
		return nil
	}
	return errors.New("proxy: the accept queue of the listener cannot be filled")
}

// ResumeDials ends StallDials.
func (p *Proxy) ResumeDials() error {
	p.stallMu.Lock()
	defer p.stallMu.Unlock()
	if p.stallCount--; p.stallCount > 0 {
		return nil
	}
	for _, c := range p.fillers {
		c.Close()
	}
	p.fillers = nil
	err := p.setBacklog(defaultBacklog)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		close(p.acceptGate)
	}
	return err
}

// parkAcceptLoop stops the accept loop and waits until it has stopped.
func (p *Proxy) parkAcceptLoop() {
	p.mu.Lock()
	p.acceptGate, p.acceptParked = make(chan struct{}), make(chan struct{})
	parked := p.acceptParked
	p.faultCounts["dials stalled"]++
	p.mu.Unlock()
	p.listener.SetDeadline(time.Unix(1, 0))
	select {
	case <-parked:
	case <-p.acceptDone:
	}
	p.listener.SetDeadline(time.Time{})
}

// acceptOne accepts one connection from the queue while the accept loop is parked.
func (p *Proxy) acceptOne() {
	p.listener.SetDeadline(time.Now().Add(acceptOneTimeout))
	defer p.listener.SetDeadline(time.Time{})
	if c, err := p.listener.AcceptTCP(); err == nil {
		p.forwardInBackground(c)
	}
}

// setBacklog sets the length of the kernel's accept queue.
func (p *Proxy) setBacklog(n int) error {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// acceptLoop accepts connections while the gate is open.
func (p *Proxy) acceptLoop() {
	defer p.goroutines.Done()
	defer close(p.acceptDone)
	for {
		p.mu.Lock()
		gate, parked := p.acceptGate, p.acceptParked
		p.acceptParked = nil
		p.mu.Unlock()
		if parked != nil {
			close(parked)
		}
		<-gate
		c, err := p.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the client has left the queue, or the loop is to be parked
		}
		p.forwardInBackground(c)
	}
}

// forwardInBackground forwards a connection in its own goroutine.
func (p *Proxy) forwardInBackground(c *net.TCPConn) {
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		p.forward(c)
	}()
}

// forward joins a router's connection with a new connection to the engine.
func (p *Proxy) forward(router *net.TCPConn) {
	defer router.Close()
	p.mu.Lock()
	to, known := p.engines[localIP(router)]
	p.mu.Unlock()
	if !known {
		router.SetLinger(0) // no engine is there: a reset is as close to a refused connection as possible
		return
	}
	// The engine tells routers apart by the source address of the connection.
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: RouterIP(p.router)}, Timeout: time.Second}
	raw, err := d.DialContext(context.Background(), "tcp", to.String())
	if err != nil {
		router.SetLinger(0)
		return
	}
	engine := raw.(*net.TCPConn)
	defer engine.Close()
	addrs := connAddrs{from: engine.LocalAddr().String(), engine: engine.RemoteAddr().String()}
	conn := &proxyConn{proxy: p, router: router, engine: engine, record: p.cluster.addConn(addrs)}
	defer p.cluster.removeConn(addrs, conn.record)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.conns[conn] = struct{}{}
	delay := p.newConnDelay
	if delay > 0 {
		p.faultCounts["slow starts"]++
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		conn.copyOneWay(engine, router, true, delay)
	}()
	conn.copyOneWay(router, engine, false, 0)
	both.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// copyQueueLength is how many chunks may wait for the delay of a new connection.
const copyQueueLength = 64

// chunk is the result of one read. With a non-nil err it is the last one of its direction.
type chunk struct {
	data []byte
	err  error
}

// copyOneWay copies bytes in one direction until either side ends, and delays the first chunk. Chunks that come while
// traffic is dropped are lost.
func (c *proxyConn) copyOneWay(to, from *net.TCPConn, fromRouter bool, delay time.Duration) {
	chunks := make(chan chunk, copyQueueLength)
	done := make(chan struct{})
	defer close(done)
	c.proxy.goroutines.Add(1)
	go func() {
		defer c.proxy.goroutines.Done()
		c.readChunks(from, fromRouter, chunks, done)
	}()
	for first := true; ; first = false {
		ch := <-chunks
		if first {
			time.Sleep(delay)
		}
		if len(ch.data) > 0 && c.passesTraffic() {
			if _, err := to.Write(ch.data); err != nil {
				c.propagateClose(from, err)
				return
			}
		}
		if ch.err == nil {
			continue
		}
		if c.passesTraffic() {
			c.propagateClose(to, ch.err)
		}
		return
	}
}

// readChunks reads from one side and records when the bytes came.
func (c *proxyConn) readChunks(from *net.TCPConn, fromRouter bool, chunks chan<- chunk, done <-chan struct{}) {
	for {
		buf := make([]byte, copyBufferBytes)
		n, err := from.Read(buf)
		switch {
		case n > 0 && fromRouter:
			c.record.recordSent()
		case n > 0:
			c.record.recordReceived()
		}
		if err != nil && fromRouter {
			c.record.recordClose()
		}
		select {
		case chunks <- chunk{buf[:n], err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
	}
}

// propagateClose passes the end of one side on to the other: a reset as a reset, a half-close as a half-close.
func (c *proxyConn) propagateClose(to *net.TCPConn, err error) {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		to.SetLinger(0)
		to.Close()
		return
	}
	to.CloseWrite()
}

// passesTraffic reports whether the connection can carry data now. If traffic is dropped now, the connection is lost
// from then on.
func (c *proxyConn) passesTraffic() bool {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	if c.proxy.dropping && !c.lost {
		c.lost = true
		c.record.recordLoss()
		c.proxy.faultCounts["connections silent"]++
	}
	return !c.lost
}

// resetBoth resets the connections to both sides.
func (c *proxyConn) resetBoth() {
	c.record.recordLoss()
	c.router.SetLinger(0)
	c.engine.SetLinger(0)
	c.router.Close()
	c.engine.Close()
}

// RouterIP returns the address from which a proxy connects to engines for a router.
func RouterIP(router int) net.IP { return net.IPv4(127, 30, byte(router>>8), byte(router&0xff)) }

// routerNumber is the inverse of RouterIP. It returns -1 for an address that is not IPv4.
func routerNumber(addr net.Addr) int {
	tcp, ok := addr.(*net.TCPAddr)
	if !ok {
		return -1
	}
	ip := tcp.IP.To4()
	if ip == nil {
		return -1
	}
	return int(ip[2])<<8 | int(ip[3])
}
