package chat

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// Serve accepts connections until ctx ends or StopListening is called, and returns when all connections are closed.
// When ctx ends, each open request gets the answer that the core has for it by then, or an error response of the
// front.
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
		f.log.Warn("accept", "err", err) // out of file descriptors, or the connection is already gone
		f.conns.makeRoom()
		time.Sleep(time.Millisecond)
	}
}

// stop ends all connections: at once if no request is open, otherwise after the request's answer. finalAnswerTimeout
// limits the wait for answers.
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

// stopTimers stops the timers that stop has started.
func (f *Front) stopTimers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.timers {
		t.Stop()
	}
}

// serveConn serves a new connection in a goroutine of its own, or refuses it if there are too many.
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

// refuse answers a connection with 503 because there are too many. It keeps the connection open briefly, because
// closing it with unread data would reset it, and the response might be lost. If MaxRefusedConns connections are kept
// already, it closes the connection at once.
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

// StopListening accepts the connections that wait in the kernel's queue and then closes the listener. The returned
// channel is closed when this is done.
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

// setListener stores the listener. If StopListening has been called already, it limits the time for accepting.
func (f *Front) setListener(l net.Listener) {
	f.mu.Lock()
	f.listener = l
	stopping := f.stopRequested
	f.mu.Unlock()
	if stopping {
		limitAccept(l)
	}
}

// limitAccept makes a listener time out after finalAcceptTime, which suffices to accept the connections in the
// kernel's queue.
func limitAccept(l net.Listener) {
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(finalAcceptTime))
	}
}

// isStopping reports whether StopListening has been called.
func (f *Front) isStopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopRequested
}
