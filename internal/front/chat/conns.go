package chat

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// connState is what a client's connection is doing.
type connState uint8

// The states of a client's connection.
const (
	stateNew       connState = iota // no byte of the first request has been read
	stateIdle                       // between requests
	stateReceiving                  // a request is being received
	stateOpen                       // a request is open
	stateLingering                  // the last answer was sent, and data that still arrives is discarded
	stateClosed
)

// String returns the name of a state for the log.
func (s connState) String() string {
	return [...]string{"fresh", "resting", "receiving", "open", "lingering", "closed"}[s]
}

// conns keeps all client connections. When their limit is reached, it closes a connection on which no answer is due:
// a lingering one, otherwise the one that has waited longest for a request (the protocol allows closing a connection
// between requests).
//
// A connection leaves stateNew and stateIdle before the first byte of its request is read, under the same lock under
// which connections are closed. Therefore no request is ever read from a connection that is closed to make room or
// during a shutdown, and the client can safely send it again.
type conns struct {
	maxConns       int
	maxRefused     int // connections beyond maxConns that may linger after they were refused
	tasks          sync.WaitGroup
	readsWhileOpen atomic.Int64 // number of reads that returned data while a request was open

	mu           sync.Mutex
	all          map[*conn]struct{}
	evictable    list.List // of *conn: lingering ones, then new and idle ones by waiting time, longest first
	receiving    list.List // of *conn, by time in the state, longest first
	refusedCount int       // connections that linger after they were refused
}

// entry is what conns stores for a connection.
type entry struct {
	state   connState
	since   time.Time     // when the state began
	element *list.Element // in evictable or receiving, depending on the state; otherwise nil
}

// add adds a new connection. It returns false if the limit is reached and no other connection can be closed.
func (s *conns) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*conn]struct{}{}
	}
	if len(s.all) >= s.maxConns && !s.evict() {
		return false
	}
	s.all[c] = struct{}{}
	s.setState(c, stateNew)
	s.tasks.Add(1)
	return true
}

// setState sets the state of a connection. The caller holds mu.
func (s *conns) setState(c *conn, state connState) {
	switch {
	case c.entry.element == nil:
	case c.entry.state == stateReceiving:
		s.receiving.Remove(c.entry.element)
	default:
		s.evictable.Remove(c.entry.element)
	}
	c.entry = entry{state: state, since: time.Now()}
	switch state {
	case stateNew, stateIdle:
		c.entry.element = s.evictable.PushBack(c)
	case stateLingering:
		c.entry.element = s.evictable.PushFront(c)
	case stateReceiving:
		c.entry.element = s.receiving.PushBack(c)
	}
}

// transition sets the state of a connection unless it is closed, in which case it returns false.
func (s *conns) transition(c *conn, state connState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.entry.state == stateClosed {
		return false
	}
	s.setState(c, state)
	return true
}

// evict closes the connection that has waited longest and reports whether there was one. If all connections are busy
// with requests, those that have been sending a request for more than half of RequestTimeout get a timeout response,
// which makes room for later connections. The caller holds mu.
func (s *conns) evict() bool {
	if e := s.evictable.Front(); e != nil {
		s.closeConn(e.Value.(*conn), "closed to make room")
		return true
	}
	for e := s.receiving.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if time.Since(c.entry.since) < c.front.opts.RequestTimeout/2 {
			break
		}
		c.SetReadDeadline(pastTime)
	}
	return false
}

// pastTime is a deadline in the past, which interrupts a read at once.
var pastTime = time.Unix(1, 0)

// closeConn closes a connection, which makes its goroutine end. The caller holds mu.
func (s *conns) closeConn(c *conn, reason string) {
	if c.entry.state == stateClosed {
		return
	}
	c.front.opts.Guard.ConnectionClosed(c.RemoteAddr().String(), c.entry.state.String(), reason)
	s.setState(c, stateClosed)
	delete(s.all, c)
	c.Conn.Close()
}

// makeRoom closes a connection if one can be closed.
func (s *conns) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
}

// remove closes a connection whose goroutine ends and stops counting it.
func (s *conns) remove(c *conn) {
	s.mu.Lock()
	s.closeConn(c, c.endReason)
	s.mu.Unlock()
	s.tasks.Done()
}

// addRefused counts one more connection that lingers after it was refused. It returns false if their limit is
// reached.
func (s *conns) addRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedCount >= s.maxRefused {
		return false
	}
	s.refusedCount++
	s.tasks.Add(1)
	return true
}

// removeRefused stops counting a connection that addRefused has counted.
func (s *conns) removeRefused() {
	s.mu.Lock()
	s.refusedCount--
	s.mu.Unlock()
	s.tasks.Done()
}

// closeIdle closes connections that have been between requests for at least idleFor. Connections without any request
// so far stay open, because their first request is about to arrive.
func (s *conns) closeIdle(idleFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.evictable.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		if c.entry.state == stateIdle && time.Since(c.entry.since) >= idleFor {
			s.closeConn(c, "shutdown")
		}
	}
}

// expireDeadlines makes the reads of all connections in a state time out at once. The state is stateNew or
// stateReceiving.
func (s *conns) expireDeadlines(state connState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := &s.evictable
	if state == stateReceiving {
		list = &s.receiving
	}
	for e := list.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.entry.state == state {
			c.SetReadDeadline(pastTime)
		}
	}
}

// closeAll closes all connections.
func (s *conns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		s.closeConn(c, "immediate stop of the router")
	}
}

// count returns the number of open connections, including refused ones that linger.
func (s *conns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all) + s.refusedCount
}

// wait waits until the goroutines of all connections have ended.
func (s *conns) wait() { s.tasks.Wait() }
