package chat

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"mintdoor/internal/http1"
)

// clientWatcher notices when a client leaves while its request is open. The close of a connection stands behind whatever the
// client has sent, so the watcher reads on: first it keeps what it reads, and behind maxReadAhead it discards it.
type clientWatcher struct {
	conn     *conn
	stopping chan struct{} // closed by stop
	stopOnce sync.Once
	done     chan struct{} // closed when nothing is read any more
	left     bool
}

// watchClient starts a goroutine that reads ahead on the connection and calls onLeave when the client has closed it, or has
// sent more than any client may send before it has its answer.
func (c *conn) watchClient(onLeave func()) *clientWatcher {
	w := &clientWatcher{conn: c, stopping: make(chan struct{}), done: make(chan struct{})}
	c.SetReadDeadline(time.Time{})
	c.front.conns.tasks.Add(1)
	go func() {
		defer c.front.conns.tasks.Done()
		defer close(w.done)
		if w.left = w.awaitLeave(); w.left {
			onLeave()
		}
	}()
	return w
}

// awaitLeave reads ahead until the client leaves or the watch is stopped. It reports whether the client has left.
func (w *clientWatcher) awaitLeave() bool {
	c := w.conn
	for {
		err := c.readOn()
		switch {
		case err == nil:
			c.front.conns.readsWhileOpen.Add(1)
		case errors.Is(err, errNoBodyMemory):
			if c.clientGone() {
				return true
			}
			if !w.pause(bodyMemoryRetryInterval) {
				return false
			}
		case errors.Is(err, errReadAheadFull), errors.Is(err, errOverrun):
			return w.discardUntilLeave()
		default:
			return !isTimeout(err)
		}
	}
}

// discardUntilLeave is awaitLeave for a client that has sent more than is kept. Its connection takes no request behind
// what is kept.
func (w *clientWatcher) discardUntilLeave() bool {
	c := w.conn
	c.overrun = true
	b := make([]byte, discardBufferSize)
	for discarded := 0; discarded < maxDiscard; {
		n, err := c.Conn.Read(b)
		if err != nil {
			return !isTimeout(err)
		}
		discarded += n
		c.front.conns.readsWhileOpen.Add(1)
		if !w.pause(discardInterval) {
			return false
		}
	}
	return true
}

// pause waits for a duration. It returns false if the watch is stopped.
func (w *clientWatcher) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.stopping:
		return false
	case <-timer.C:
		return true
	}
}

// stop ends the watch and reports whether the client is still connected.
func (w *clientWatcher) stop(c *conn) bool {
	w.stopOnce.Do(func() { close(w.stopping) })
	c.SetReadDeadline(pastTime)
	<-w.done
	c.SetReadDeadline(time.Time{})
	return !w.left
}

// isTimeout reports whether an error means that a deadline has passed.
func isTimeout(err error) bool { return os.IsTimeout(err) }

var (
	// errReadAheadFull is returned when a connection has as much data as is kept for it while a request is open.
	errReadAheadFull = errors.New("the read-ahead is full")
	// errOverrun is returned behind the data that was kept, if the data that followed was discarded.
	errOverrun = fmt.Errorf("%w: too much data behind an open request", http1.ErrTooLarge)
)

// readOn reads data into br, or into readAheadData if br is full.
func (c *conn) readOn() error {
	if n := c.br.Buffered(); n < c.br.Size() {
		_, err := c.br.Peek(n + 1)
		return err
	}
	return c.readAhead()
}

// readAhead reads data for which br has no room into readAheadData. It fails with errReadAheadFull at its own limit, and with
// errNoBodyMemory at the common limit on memory for bodies.
func (c *conn) readAhead() error {
	switch {
	case c.overrun:
		return errReadAheadFull
	case len(c.readAheadData) == cap(c.readAheadData):
		if err := c.growReadAhead(); err != nil {
			return err
		}
	}
	n, err := c.Conn.Read(c.readAheadData[len(c.readAheadData):cap(c.readAheadData)])
	c.readAheadData = c.readAheadData[:len(c.readAheadData)+n]
	return err
}

// growReadAhead makes room in readAheadData.
func (c *conn) growReadAhead() error {
	n := len(c.readAheadData)
	newCap := min(max(2*n, readBufferSize), maxReadAhead)
	if n >= newCap {
		return errReadAheadFull
	}
	growth := int64(newCap) - c.readAheadMemory
	if c.front.bodyMemory.Add(growth) > c.front.opts.MaxBodyMemory {
		c.front.bodyMemory.Add(-growth)
		return errNoBodyMemory
	}
	c.readAheadMemory = int64(newCap) // dropReadAhead returns it
	c.readAheadData = append(make([]byte, 0, newCap), c.readAheadData...)
	return nil
}

// dropReadAhead discards the data that was read ahead and returns its memory to the common limit.
func (c *conn) dropReadAhead() {
	c.front.bodyMemory.Add(-c.readAheadMemory)
	c.readAheadData, c.readAheadMemory = nil, 0
}
