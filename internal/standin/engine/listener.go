package engine

import (
	"net"
	"sync"
	"time"
)

// listener keeps its connections, so that a crash can reset them, and delays new ones on command.
type listener struct {
	net.Listener
	life  *life
	reset bool // set under the server's lock before closeAll

	mu    sync.Mutex
	conns map[*conn]bool
}

// conn is a connection whose first read may wait.
type conn struct {
	net.Conn
	l    *listener
	wait time.Duration
	once sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := l.life.s
	s.mu.Lock()
	wait := s.faults.largest("handshake_slow", 0, time.Now())
	s.mu.Unlock()
	c := &conn{Conn: raw, l: l, wait: time.Duration(wait * float64(time.Second))}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c, nil
}

func (c *conn) Read(b []byte) (int, error) {
	c.once.Do(func() { pause(c.l.life.ctx, c.wait) })
	return c.Conn.Read(b)
}

func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// closeAll resets what is open.
func (l *listener) closeAll() {
	l.mu.Lock()
	all := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		if t, ok := c.Conn.(*net.TCPConn); ok && l.reset {
			t.SetLinger(0) // RST rather than FIN
		}
		c.Close()
	}
}
