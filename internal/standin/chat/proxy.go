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

// Proxy carries the connections of one router to some engines and injects the faults of a network between them, to all of them
// alike. It has one listener; the local address of a connection tells the engine.
type Proxy struct {
	cluster  *Cluster
	router   int
	listener *net.TCPListener
	port     uint16
	work     sync.WaitGroup
	ended    chan struct{} // closed when the listener is

	mu       sync.Mutex
	engines  map[netip.Addr]netip.AddrPort // by the address at which the router reaches each
	links    map[*link]struct{}
	silent   bool
	silences []Interval
	slow     time.Duration // a new connection carries nothing for so long
	gate     chan struct{} // closed while connections are accepted
	parked   chan struct{} // is closed when nobody accepts any more; nil: that is not waited for
	struck   map[string]int
	closed   bool

	stall   sync.Mutex
	stalls  int        // that are under way
	fillers []net.Conn // fill the queue of the kernel, so that dials do not come up
}

// Interval is a time; it lasts while Until is zero.
type Interval struct{ From, Until time.Time }

// link is a connection through a proxy.
type link struct {
	proxy          *Proxy
	router, engine *net.TCPConn
	passage        *passage
	lost           bool // something was dropped: the connection is of no use any more
	forgotten      bool // it is never reset
}

// copyBuffer is the size of what is carried at a time.
const copyBuffer = 16 << 10

// NewProxy starts a proxy for a router's connections.
func NewProxy(cluster *Cluster, router int) (*Proxy, error) {
	l, err := listenEverywhere()
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{cluster: cluster, router: router, listener: l.(*net.TCPListener), port: uint16(l.Addr().(*net.TCPAddr).Port),
		engines: map[netip.Addr]netip.AddrPort{}, links: map[*link]struct{}{}, gate: make(chan struct{}),
		ended: make(chan struct{}), struck: map[string]int{}}
	close(p.gate)
	p.work.Add(1)
	go p.accept()
	return p, nil
}

// AddEngine puts an engine behind the proxy, and returns where the router reaches it.
func (p *Proxy) AddEngine(e *Engine) string {
	at := numbered(networkNet, e.number)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines[at] = e.addr
	return p.AddrOf(e)
}

// AddrOf is where the router reaches an engine.
func (p *Proxy) AddrOf(e *Engine) string {
	return netip.AddrPortFrom(numbered(networkNet, e.number), p.port).String()
}

// RemoveEngine takes an engine that has ended from behind the proxy.
func (p *Proxy) RemoveEngine(e *Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.engines, numbered(networkNet, e.number))
}

// own is an address of the proxy at which no engine is.
func (p *Proxy) own() string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), p.port).String()
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.stall.Lock()
	for _, c := range p.fillers {
		c.Close()
	}
	p.fillers = nil
	p.mu.Lock()
	p.closed = true
	select {
	case <-p.gate:
	default:
		close(p.gate)
	}
	p.mu.Unlock()
	p.stall.Unlock()
	p.ResetConnections()
	p.work.Wait()
}

// FaultCounts tells how often each fault has met a connection.
func (p *Proxy) FaultCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, n := range p.struck {
		out[k] = n
	}
	return out
}

// ResetConnections resets all connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		p.struck["connections reset"]++
		l.reset()
	}
}

// DropTraffic drops what either side sends, and says nothing of it, until Resume; dials do not come up.
func (p *Proxy) DropTraffic() error {
	p.mu.Lock()
	p.silent = true
	p.silences = append(p.silences, Interval{From: time.Now()})
	p.mu.Unlock()
	return p.StallDials()
}

// RestoreTraffic ends a silence: connections on which something was dropped are reset, all others go on.
func (p *Proxy) RestoreTraffic() error {
	p.mu.Lock()
	p.silent = false
	p.silences[len(p.silences)-1].Until = time.Now()
	for l := range p.links {
		if l.lost && !l.forgotten {
			l.reset()
		}
	}
	p.mu.Unlock()
	return p.ResumeDials()
}

// Outages returns the times in which nothing was carried.
func (p *Proxy) Outages() []Interval {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Interval(nil), p.silences...)
}

// BlackholeConnections makes the connections that stand silent for good, with no error; new ones are not concerned. So does a device on the
// way that has lost its table of connections.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if !l.lost {
			l.lost, l.forgotten = true, true
			l.passage.drop()
			p.struck["connections forgotten"]++
		}
	}
}

// DelayNewConnections makes new connections carry nothing for a while, as a slow handshake would.
func (p *Proxy) DelayNewConnections(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = d
}

// Times of stalled dials.
const (
	fillWithin   = 20 * time.Millisecond // a dial on loopback that takes longer finds the queue full
	takeWithin   = 5 * time.Millisecond  // a connection that waits in the queue is accepted within this
	mostFill     = 64
	usualBacklog = 128
)

// StallDials keeps dials from coming up until LetDials was called as often: nobody accepts, and the kernel's queue of the
// listener is full of connections that this proxy has made itself.
func (p *Proxy) StallDials() error {
	p.stall.Lock()
	defer p.stall.Unlock()
	if p.stalls++; p.stalls > 1 {
		return nil
	}
	p.park()
	if err := p.backlog(0); err != nil {
		return err
	}
	full := false
	for range mostFill {
		c, err := net.DialTimeout("tcp", p.own(), fillWithin)
		full = err != nil
		switch {
		case err == nil:
			p.fillers = append(p.fillers, c)
		case len(p.fillers) > 0:
			return nil // it is full
		default: // of others, who have come before
			p.takeOne()
		}
	}
	if full { // of others, who come as fast as they are taken
		return nil
	}
	return errors.New("proxy: the queue of a listener can't be filled")
}

// ResumeDials ends StallDials.
func (p *Proxy) ResumeDials() error {
	p.stall.Lock()
	defer p.stall.Unlock()
	if p.stalls--; p.stalls > 0 {
		return nil
	}
	for _, c := range p.fillers {
		c.Close()
	}
	p.fillers = nil
	err := p.backlog(usualBacklog)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		close(p.gate)
	}
	return err
}

// park waits until nobody accepts.
func (p *Proxy) park() {
	p.mu.Lock()
	p.gate, p.parked = make(chan struct{}), make(chan struct{})
	parked := p.parked
	p.struck["dials stalled"]++
	p.mu.Unlock()
	p.listener.SetDeadline(time.Unix(1, 0))
	select {
	case <-parked:
	case <-p.ended:
	}
	p.listener.SetDeadline(time.Time{})
}

// takeOne accepts a connection that waits in the queue, while nobody else does.
func (p *Proxy) takeOne() {
	p.listener.SetDeadline(time.Now().Add(takeWithin))
	defer p.listener.SetDeadline(time.Time{})
	if c, err := p.listener.AcceptTCP(); err == nil {
		p.serve(c)
	}
}

// backlog sets the length of the kernel's queue of connections that nobody has accepted.
func (p *Proxy) backlog(n int) error {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listen error
	if err := raw.Control(func(fd uintptr) { listen = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listen
}

func (p *Proxy) accept() {
	defer p.work.Done()
	defer close(p.ended)
	for {
		p.mu.Lock()
		gate, parked := p.gate, p.parked
		p.parked = nil
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
			continue // the client has left the queue, or nobody is to accept
		}
		p.serve(c)
	}
}

func (p *Proxy) serve(c *net.TCPConn) {
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		p.carry(c)
	}()
}

// carry joins a router's connection to one to the engine.
func (p *Proxy) carry(router *net.TCPConn) {
	defer router.Close()
	p.mu.Lock()
	to, known := p.engines[localIP(router)]
	p.mu.Unlock()
	if !known {
		router.SetLinger(0) // nobody is there: as near to a refusal as can be had
		return
	}
	// The engine tells routers apart by the address that the connection comes from.
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: RouterIP(p.router)}, Timeout: time.Second}
	c, err := d.DialContext(context.Background(), "tcp", to.String())
	if err != nil {
		router.SetLinger(0)
		return
	}
	engine := c.(*net.TCPConn)
	defer engine.Close()
	of := ends{from: engine.LocalAddr().String(), engine: engine.RemoteAddr().String()}
	l := &link{proxy: p, router: router, engine: engine, passage: p.cluster.newPassage(of)}
	defer p.cluster.forgetPassage(of, l.passage)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.links[l] = struct{}{}
	slow := p.slow
	if slow > 0 {
		p.struck["slow starts"]++
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		l.copy(engine, router, true, slow)
	}()
	l.copy(router, engine, false, 0)
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copyQueue is how many pieces may wait behind a delay.
const copyQueue = 64

// piece is what was read at a time; err ends the direction.
type piece struct {
	data []byte
	err  error
}

// copy carries bytes one way until either side ends, the first ones after a delay. What comes in a silence is dropped.
func (l *link) copy(to, from *net.TCPConn, fromRouter bool, delay time.Duration) {
	pieces := make(chan piece, copyQueue)
	done := make(chan struct{})
	defer close(done)
	l.proxy.work.Add(1)
	go func() {
		defer l.proxy.work.Done()
		l.take(from, fromRouter, pieces, done)
	}()
	for first := true; ; first = false {
		p := <-pieces
		if first {
			time.Sleep(delay)
		}
		if len(p.data) > 0 && l.passes() {
			if _, err := to.Write(p.data); err != nil {
				l.end(from, err)
				return
			}
		}
		if p.err == nil {
			continue
		}
		if l.passes() {
			l.end(to, p.err)
		}
		return
	}
}

// take reads what comes from one side, and notes it when it comes.
func (l *link) take(from *net.TCPConn, fromRouter bool, pieces chan<- piece, done <-chan struct{}) {
	for {
		buf := make([]byte, copyBuffer)
		n, err := from.Read(buf)
		switch {
		case n > 0 && fromRouter:
			l.passage.sent()
		case n > 0:
			l.passage.received()
		}
		if err != nil && fromRouter {
			l.passage.end()
		}
		select {
		case pieces <- piece{buf[:n], err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
	}
}

// end passes the end of one side on to the other: a reset as a reset, an end of sending as such.
func (l *link) end(to *net.TCPConn, err error) {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		to.SetLinger(0)
		to.Close()
		return
	}
	to.CloseWrite()
}

// passes tells whether the network carries anything now; if not, the connection is lost.
func (l *link) passes() bool {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	if l.proxy.silent && !l.lost {
		l.lost = true
		l.passage.drop()
		l.proxy.struck["connections silent"]++
	}
	return !l.lost
}

// reset resets both sides.
func (l *link) reset() {
	l.passage.drop()
	l.router.SetLinger(0)
	l.engine.SetLinger(0)
	l.router.Close()
	l.engine.Close()
}

// RouterIP is the address from which a proxy connects to engines for a router.
func RouterIP(router int) net.IP { return net.IPv4(127, 30, byte(router>>8), byte(router&0xff)) }

// routerOf is RouterIP's other way round.
func routerOf(addr net.Addr) int {
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
