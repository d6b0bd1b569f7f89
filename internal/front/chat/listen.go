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
	requestCtx, cancelRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRequests()
	stop := context.AfterFunc(ctx, func() { f.stop(l, cancelRequests) })
	defer stop()
	defer f.stopTimers()
	defer f.conns.wait()
	defer close(f.listenerStopped)
	f.setListener(l)
	for {
		nc, err := l.Accept()
		if err == nil {
			f.serveConn(requestCtx, nc)
			continue
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case f.isStopping() && isTimeout(err):
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

// stop ends all connections: at once where no request is open, else after its answer.
func (f *Front) stop(l net.Listener, cancelRequests func()) {
	l.Close()
	f.BeginShutdown()
	f.conns.closeIdle(0)
	f.conns.expireDeadlines(stateNew)
	f.conns.expireDeadlines(stateReceiving)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timers = append(f.timers, time.AfterFunc(f.finalAnswerTimeout, cancelRequests), time.AfterFunc(2*f.finalAnswerTimeout, f.conns.closeAll))
}

func (f *Front) stopTimers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.timers {
		t.Stop()
	}
}

// serveConn serves a new connection, or refuses it.
func (f *Front) serveConn(ctx context.Context, nc net.Conn) {
	c := &conn{Conn: nc, front: f, accepted: time.Now()}
	c.SetReadDeadline(c.accepted.Add(f.opts.RequestTimeout))
	if !f.conns.add(c) {
		f.refuse(nc)
		return
	}
	go func() {
		defer f.conns.remove(c)
		c.serve(ctx)
	}()
}

// refuse tells a client that there is no room for its connection. The connection is kept for a moment, as a close over
// unread bytes would reset it, and the answer might go with it; beyond MaxRefused at a time it is closed at once.
func (f *Front) refuse(nc net.Conn) {
	nc.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	nc.Write(f.response(503, "text/plain", []byte("too many connections\n"), 0, true))
	if !f.conns.addRefused() {
		nc.Close()
		return
	}
	go func() {
		defer f.conns.removeRefused()
		defer nc.Close()
		f.discard(nc, nc)
	}()
}

// StopListening takes the connections that wait in the kernel's queue and closes the listener; then the channel that it
// returns is closed.
func (f *Front) StopListening() <-chan struct{} {
	f.mu.Lock()
	f.stopRequested = true
	l := f.listener
	f.mu.Unlock()
	if l != nil {
		limitAccept(l)
	}
	return f.listenerStopped
}

// setListener notes the listener, which may have to stop already.
func (f *Front) setListener(l net.Listener) {
	f.mu.Lock()
	f.listener = l
	stopping := f.stopRequested
	f.mu.Unlock()
	if stopping {
		limitAccept(l)
	}
}

// limitAccept lets a listener take what waits in the kernel's queue and no more.
func limitAccept(l net.Listener) {
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(finalAcceptTime))
	}
}

func (f *Front) isStopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopRequested
}
