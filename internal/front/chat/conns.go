package chat

import (
	"container/list"
	"sync"
	"sync/atomic"
)

// conns is all connections of clients. Those without an open request stand in a list by how long they have
// been so; when there is no room, the one that has been for longest is closed (a connection between
// requests may be closed at any time).
type conns struct {
	most  int
	tasks sync.WaitGroup
	seen  atomic.Int64 // times that bytes came while a request was open

	mu      sync.Mutex
	all     map[*conn]struct{}
	waiting list.List // of *conn, longest in front
}

// entry is a connection's place in conns.
type entry struct {
	at     *list.Element // in waiting; nil while a request is open
	kept   bool          // it has had a request
	closed bool
}

// add takes a new connection in; false if there is no room for it.
func (s *conns) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*conn]struct{}{}
	}
	if len(s.all) >= s.most && !s.evict() {
		return false
	}
	s.all[c] = struct{}{}
	c.entry.at = s.waiting.PushBack(c)
	s.tasks.Add(1)
	return true
}

// evict closes the connection that has waited for longest.
func (s *conns) evict() bool {
	e := s.waiting.Front()
	if e == nil {
		return false
	}
	s.shut(e.Value.(*conn))
	return true
}

// shut closes a connection; its goroutine ends by itself. mu is held.
func (s *conns) shut(c *conn) {
	if c.entry.closed {
		return
	}
	c.entry.closed = true
	if c.entry.at != nil {
		s.waiting.Remove(c.entry.at)
		c.entry.at = nil
	}
	delete(s.all, c)
	c.Conn.Close()
}

func (s *conns) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
}

// busy: a request of this connection is open.
func (s *conns) busy(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.entry.at != nil {
		s.waiting.Remove(c.entry.at)
		c.entry.at = nil
	}
}

// idle: it is over.
func (s *conns) idle(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.entry.closed && c.entry.at == nil {
		c.entry.at, c.entry.kept = s.waiting.PushBack(c), true
	}
}

// ending: the connection has had its last answer and only lingers. It is the first to make room, and not one
// that rests between requests.
func (s *conns) ending(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.entry.at != nil {
		s.waiting.Remove(c.entry.at)
	}
	if c.entry.at, c.entry.kept = nil, false; !c.entry.closed {
		c.entry.at = s.waiting.PushFront(c)
	}
}

// gone: the connection's goroutine ends.
func (s *conns) gone(c *conn) {
	s.mu.Lock()
	s.shut(c)
	s.mu.Unlock()
	s.tasks.Done()
}

// closeIdle closes those between requests. One that has had none yet brings its first.
func (s *conns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.waiting.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		if c.entry.kept {
			s.shut(c)
		}
	}
}

func (s *conns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		s.shut(c)
	}
}

func (s *conns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

func (s *conns) wait() { s.tasks.Wait() }
