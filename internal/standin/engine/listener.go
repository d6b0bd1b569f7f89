package engine

import (
	"net"
	"sync"
	"time"
)

// listener tracks its connections, so that a crash can reset them, and delays the first read of new ones during the
// fault handshake_slow.
type listener struct {
	net.Listener
	process    *process
	resetConns bool // set under the server's lock before closeConns

	mu    sync.Mutex
	conns map[*conn]bool
}

// conn is a connection whose first read may be delayed.
type conn struct {
	net.Conn
	listener  *listener
	readDelay time.Duration
	once      sync.Once
}

// Accept returns the next connection, with the read delay of the present faults.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := l.process.server
	s.mu.Lock()
	delay := s.faults.maxSize("handshake_slow", 0, time.Now())
	s.mu.Unlock()
	c := &conn{Conn: raw, listener: l, readDelay: time.Duration(delay * float64(time.Second))}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c, nil
}

// Read waits for the read delay before the first read.
func (c *conn) Read(b []byte) (int, error) {
	c.once.Do(func() { sleep(c.listener.process.ctx, c.readDelay) })
	return c.Conn.Read(b)
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// closeConns closes all open connections, with a reset if resetConns is set.
func (l *listener) closeConns() {
	l.mu.Lock()
	all := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		if t, ok := c.Conn.(*net.TCPConn); ok && l.resetConns {
			t.SetLinger(0) // send RST instead of FIN
		}
		c.Close()
	}
}
