package chat

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// EngineListener is one listener for many engines, so that the number of file descriptors depends on the traffic and
// not on the number of engines. Each engine has its own address in 127.0.0.0/8; the local address of a connection
// identifies the engine.
type EngineListener struct {
	listener   net.Listener
	port       uint16
	goroutines sync.WaitGroup

	mu         sync.Mutex
	engines    map[netip.Addr]*Engine
	lastNumber int // number of the engine that was added last
}

// The second octets of the engines' own addresses, and of the addresses at which routers reach them. The engine's
// number follows in the last two octets.
const (
	engineSubnet = 128
	proxySubnet  = 64
	// maxEngines is how many engines one listener can tell apart.
	maxEngines = 1 << 16
)

// numberedAddr returns the loopback address with the given second octet, and with an engine's number in the last two
// octets.
func numberedAddr(secondOctet, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(secondOctet), byte(number >> 8), byte(number)})
}

// Listeners on all addresses use ports below those that the kernel picks for outgoing connections, because each such
// connection, on any address, takes its port from the kernel's range.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portTries = 200
)

// listenEverywhere listens on all addresses, at a port that is free on each of them.
func listenEverywhere() (l net.Listener, err error) {
	for range portTries {
		l, err = net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			return l, nil
		}
	}
	return nil, err
}

// NewEngineListener starts a listener without engines.
func NewEngineListener() (*EngineListener, error) {
	raw, err := listenEverywhere()
	if err != nil {
		return nil, fmt.Errorf("engine listener: %w", err)
	}
	el := &EngineListener{listener: raw, port: uint16(raw.Addr().(*net.TCPAddr).Port), engines: map[netip.Addr]*Engine{}}
	el.goroutines.Add(1)
	go el.acceptLoop()
	return el, nil
}

// Close closes the listener. All engines have to be killed before.
func (l *EngineListener) Close() {
	l.listener.Close()
	l.goroutines.Wait()
}

// errTooManyEngines is returned when the listener has no addresses left.
var errTooManyEngines = errors.New("engine listener: too many engines")

// add gives an engine its number and address.
func (l *EngineListener) add(e *Engine) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastNumber++; l.lastNumber >= maxEngines {
		return errTooManyEngines
	}
	e.number = l.lastNumber
	e.addr = netip.AddrPortFrom(numberedAddr(engineSubnet, e.number), l.port)
	l.engines[e.addr.Addr()] = e
	return nil
}

// remove removes an engine that was killed. Connections to its address are reset from then on.
func (l *EngineListener) remove(e *Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.engines, e.addr.Addr())
}

// acceptLoop hands each connection to the engine of its local address.
func (l *EngineListener) acceptLoop() {
	defer l.goroutines.Done()
	for {
		c, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l.mu.Lock()
		e := l.engines[localIP(c)]
		l.mu.Unlock()
		if e == nil || !e.serveConn(c) {
			resetConn(c)
		}
	}
}

// localIP returns the address at which a connection was accepted.
func localIP(c net.Conn) netip.Addr {
	tcp, ok := c.LocalAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}
