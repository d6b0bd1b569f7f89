package chat

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// Serve takes connections until ctx ends, or until StopListening; it returns when all of them are closed. When ctx ends,
// what is open gets the answer that the core has for it then, or a word of the front.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	asking, endAsking := context.WithCancel(context.WithoutCancel(ctx))
	defer endAsking()
	stop := context.AfterFunc(ctx, func() { f.end(l, endAsking) })
	defer stop()
	defer f.stopTimers()
	defer f.conns.wait()
	defer close(f.stopListened)
	f.listenOn(l)
	for {
		nc, err := l.Accept()
		if err == nil {
			f.take(asking, nc)
			continue
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case f.stopsListening() && isTimeout(err):
			l.Close()
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("front: %w", err)
		}
		f.log.Warn("accept", "err", err) // out of descriptors, or the connection is gone already
		f.conns.makeRoom()
		time.Sleep(time.Millisecond)
	}
}

// end ends all connections: at once where no request is open, else after its answer.
func (f *Front) end(l net.Listener, endAsking func()) {
	l.Close()
	f.BeginShutdown()
	f.conns.closeResting(0)
	f.conns.expire(fresh)
	f.conns.expire(receiving)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timers = append(f.timers, time.AfterFunc(f.endWithin, endAsking), time.AfterFunc(2*f.endWithin, f.conns.closeAll))
}

func (f *Front) stopTimers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.timers {
		t.Stop()
	}
}

// take serves a new connection, or refuses it.
func (f *Front) take(ctx context.Context, nc net.Conn) {
	c := &conn{Conn: nc, front: f, began: time.Now()}
	c.SetReadDeadline(c.began.Add(f.opts.RequestTimeout))
	if !f.conns.add(c) {
		f.refuse(nc)
		return
	}
	go func() {
		defer f.conns.gone(c)
		c.serve(ctx)
	}()
}

// refuse tells a client that there is no room for its connection. The connection is kept for a moment, as a close over
// unread bytes would reset it, and the answer might go with it; beyond MaxRefused at a time it is closed at once.
func (f *Front) refuse(nc net.Conn) {
	nc.SetWriteDeadline(time.Now().Add(refuseWithin))
	nc.Write(f.answer(503, "text/plain", []byte("too many connections\n"), 0, true))
	if !f.conns.refuse() {
		nc.Close()
		return
	}
	go func() {
		defer f.conns.refusalOver()
		defer nc.Close()
		f.discard(nc, nc)
	}()
}

// StopListening takes the connections that wait in the kernel's queue and closes the listener; then the channel that it
// returns is closed.
func (f *Front) StopListening() <-chan struct{} {
	f.mu.Lock()
	f.stopping = true
	l := f.listener
	f.mu.Unlock()
	if l != nil {
		expireAccept(l)
	}
	return f.stopListened
}

// listenOn notes the listener, which may have to stop already.
func (f *Front) listenOn(l net.Listener) {
	f.mu.Lock()
	f.listener = l
	stopping := f.stopping
	f.mu.Unlock()
	if stopping {
		expireAccept(l)
	}
}

// expireAccept lets a listener take what waits in the kernel's queue and no more.
func expireAccept(l net.Listener) {
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(lastAccept))
	}
}

func (f *Front) stopsListening() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}
