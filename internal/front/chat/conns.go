package chat

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// connState is what a client's connection is doing.
type connState uint8

const (
	stateNew       connState = iota // no byte of its first request has been read
	stateIdle                       // between requests
	stateReceiving                  // a request is coming
	stateOpen                       // a request is open
	stateLingering                  // it has had its last answer, and what still comes is thrown away
	stateClosed
)

func (s connState) String() string {
	return [...]string{"fresh", "resting", "receiving", "open", "lingering", "closed"}[s]
}

// conns is all connections of clients. When there is no room, one on which nothing is owed is closed: a lingering one,
// else the one that has waited for a request for longest (PROTOCOL: a connection between requests may be closed).
// A connection leaves the states fresh and resting before the first byte of its request is read, under the same lock
// as it is closed. So no request is read from a connection that is closed for room, or in a drain: the client sends
// it once more.
type conns struct {
	maxConns       int
	maxRefused     int // connections that may linger after a refusal for want of room, beside limit
	tasks          sync.WaitGroup
	readsWhileOpen atomic.Int64 // times that bytes came while a request was open

	mu           sync.Mutex
	all          map[*conn]struct{}
	evictable    list.List // of *conn: lingering, then fresh and resting, longest in front
	receiving    list.List // of *conn, longest in front
	refusedCount int       // connections that linger after a refusal
}

// entry is a connection's place in conns.
type entry struct {
	state   connState
	since   time.Time     // when the state began
	element *list.Element // in waiting or receiving, as the state says; else nil
}

// add takes a new connection in; false if there is no room for it.
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

// setState moves a connection to a state. mu is held.
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

// transition moves a connection to a state; false if it is closed.
func (s *conns) transition(c *conn, state connState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.entry.state == stateClosed {
		return false
	}
	s.setState(c, state)
	return true
}

// evict closes the connection that has waited for longest. Where all are busy with requests, those that have sent for
// long without an end are to be answered as late, which makes room for others that come. mu is held.
func (s *conns) evict() bool {
	if e := s.evictable.Front(); e != nil {
		s.closeConn(e.Value.(*conn), "room is needed")
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

// pastTime is a deadline that is over.
var pastTime = time.Unix(1, 0)

// closeConn closes a connection; its goroutine ends by itself. mu is held.
func (s *conns) closeConn(c *conn, reason string) {
	if c.entry.state == stateClosed {
		return
	}
	c.front.opts.Guard.ConnectionClosed(c.RemoteAddr().String(), c.entry.state.String(), reason)
	s.setState(c, stateClosed)
	delete(s.all, c)
	c.Conn.Close()
}

func (s *conns) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
}

// remove: the connection's goroutine ends.
func (s *conns) remove(c *conn) {
	s.mu.Lock()
	s.closeConn(c, c.endReason)
	s.mu.Unlock()
	s.tasks.Done()
}

// addRefused counts one more connection that lingers after a refusal; false if there are enough of them.
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

// removeRefused counts one that refuse has counted off.
func (s *conns) removeRefused() {
	s.mu.Lock()
	s.refusedCount--
	s.mu.Unlock()
	s.tasks.Done()
}

// closeIdle closes those that have been between requests for a time. One that has had none yet brings its first.
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

// expireDeadlines lets what connections in a state are waiting for be late now.
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

func (s *conns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		s.closeConn(c, "the router stops at once")
	}
}

func (s *conns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all) + s.refusedCount
}

func (s *conns) wait() { s.tasks.Wait() }
