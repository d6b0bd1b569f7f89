package chat

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// EngineListener is one listener for many engines, so that descriptors follow the traffic and not the number of engines. Each
// engine has an address of its own in 127.0.0.0/8; the local address of a connection tells whose it is.
type EngineListener struct {
	listener net.Listener
	port     uint16
	work     sync.WaitGroup

	mu      sync.Mutex
	engines map[netip.Addr]*Engine
	last    int // number of the engine that was added last
}

// The second octets of the addresses of engines, and of those at which routers reach them; the engine's number follows.
const (
	machinesNet = 128
	networkNet  = 64
	// maxEngines is how many engines one listener can tell apart.
	maxEngines = 1 << 16
)

// numbered is the address of an engine in a range.
func numbered(secondOctet, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(secondOctet), byte(number >> 8), byte(number)})
}

// The ports of listeners on all addresses lie under those that the kernel picks for connections: each of these, on any address,
// takes its port from them.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portTries = 200
)

// listenEverywhere listens on all addresses, at a port that is free on each.
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
	l, err := listenEverywhere()
	if err != nil {
		return nil, fmt.Errorf("machines: %w", err)
	}
	m := &EngineListener{listener: l, port: uint16(l.Addr().(*net.TCPAddr).Port), engines: map[netip.Addr]*Engine{}}
	m.work.Add(1)
	go m.accept()
	return m, nil
}

// Close ends the listener. The engines have to be killed before.
func (m *EngineListener) Close() {
	m.listener.Close()
	m.work.Wait()
}

var errTooManyEngines = errors.New("machines: too many engines")

// add gives an engine its number.
func (m *EngineListener) add(e *Engine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.last++; m.last >= maxEngines {
		return errTooManyEngines
	}
	e.number = m.last
	e.addr = netip.AddrPortFrom(numbered(machinesNet, e.number), m.port)
	m.engines[e.addr.Addr()] = e
	return nil
}

// remove forgets an engine that has died; connections to it are reset from then on.
func (m *EngineListener) remove(e *Engine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.engines, e.addr.Addr())
}

func (m *EngineListener) accept() {
	defer m.work.Done()
	for {
		c, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		m.mu.Lock()
		e := m.engines[localIP(c)]
		m.mu.Unlock()
		if e == nil || !e.take(c) {
			reset(c)
		}
	}
}

// localIP is the address at which a connection was accepted.
func localIP(c net.Conn) netip.Addr {
	tcp, ok := c.LocalAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}
