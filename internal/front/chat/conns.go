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
	fresh     connState = iota // no byte of its first request has been read
	resting                    // between requests
	receiving                  // a request is coming
	open                       // a request is open
	lingering                  // it has had its last answer, and what still comes is thrown away
	closed
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
	limit   int
	refused int // connections that may linger after a refusal for want of room, beside limit
	tasks   sync.WaitGroup
	seen    atomic.Int64 // times that bytes came while a request was open

	mu        sync.Mutex
	all       map[*conn]struct{}
	waiting   list.List // of *conn: lingering, then fresh and resting, longest in front
	receiving list.List // of *conn, longest in front
	refusing  int       // connections that linger after a refusal
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
	if len(s.all) >= s.limit && !s.evict() {
		return false
	}
	s.all[c] = struct{}{}
	s.enter(c, fresh)
	s.tasks.Add(1)
	return true
}

// enter moves a connection to a state. mu is held.
func (s *conns) enter(c *conn, state connState) {
	switch {
	case c.entry.element == nil:
	case c.entry.state == receiving:
		s.receiving.Remove(c.entry.element)
	default:
		s.waiting.Remove(c.entry.element)
	}
	c.entry = entry{state: state, since: time.Now()}
	switch state {
	case fresh, resting:
		c.entry.element = s.waiting.PushBack(c)
	case lingering:
		c.entry.element = s.waiting.PushFront(c)
	case receiving:
		c.entry.element = s.receiving.PushBack(c)
	}
}

// move moves a connection to a state; false if it is closed.
func (s *conns) move(c *conn, state connState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.entry.state == closed {
		return false
	}
	s.enter(c, state)
	return true
}

// evict closes the connection that has waited for longest. Where all are busy with requests, those that have sent for
// long without an end are to be answered as late, which makes room for others that come. mu is held.
func (s *conns) evict() bool {
	if e := s.waiting.Front(); e != nil {
		s.shut(e.Value.(*conn), "room is needed")
		return true
	}
	for e := s.receiving.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if time.Since(c.entry.since) < c.front.opts.RequestTimeout/2 {
			break
		}
		c.SetReadDeadline(past)
	}
	return false
}

// past is a deadline that is over.
var past = time.Unix(1, 0)

// shut closes a connection; its goroutine ends by itself. mu is held.
func (s *conns) shut(c *conn, reason string) {
	if c.entry.state == closed {
		return
	}
	c.front.opts.Guard.ConnectionClosed(c.RemoteAddr().String(), c.entry.state.String(), reason)
	s.enter(c, closed)
	delete(s.all, c)
	c.Conn.Close()
}

func (s *conns) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
}

// gone: the connection's goroutine ends.
func (s *conns) gone(c *conn) {
	s.mu.Lock()
	s.shut(c, c.ended)
	s.mu.Unlock()
	s.tasks.Done()
}

// refuse counts one more connection that lingers after a refusal; false if there are enough of them.
func (s *conns) refuse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing >= s.refused {
		return false
	}
	s.refusing++
	s.tasks.Add(1)
	return true
}

// refusalOver counts one that refuse has counted off.
func (s *conns) refusalOver() {
	s.mu.Lock()
	s.refusing--
	s.mu.Unlock()
	s.tasks.Done()
}

// closeResting closes those that have been between requests for a time. One that has had none yet brings its first.
func (s *conns) closeResting(restedFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.waiting.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		if c.entry.state == resting && time.Since(c.entry.since) >= restedFor {
			s.shut(c, "shutdown")
		}
	}
}

// expire lets what connections in a state are waiting for be late now.
func (s *conns) expire(state connState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := &s.waiting
	if state == receiving {
		list = &s.receiving
	}
	for e := list.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.entry.state == state {
			c.SetReadDeadline(past)
		}
	}
}

func (s *conns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		s.shut(c, "the router stops at once")
	}
}

func (s *conns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all) + s.refusing
}

func (s *conns) wait() { s.tasks.Wait() }
