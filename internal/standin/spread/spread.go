// Package spread is the stand-in for the plain front layer before the routers: it hands each request to
// the next router in turn and, like the users' own, goes on doing so for a while after one has died.
package spread

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"
)

// Layer spreads requests over routers.
type Layer struct {
	listener net.Listener
	server   *http.Server
	next     atomic.Uint64
	notice   time.Duration

	mu      sync.Mutex
	routers []*target
}

type target struct {
	addr string
	dead time.Time // zero: alive; else it is left out from then on
}

// Start listens on a free port of loopback. notice is how long a dead router still gets requests.
func Start(routers []string, notice time.Duration) (*Layer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("front layer: %w", err)
	}
	l := &Layer{listener: listener, notice: notice}
	for _, r := range routers {
		l.routers = append(l.routers, &target{addr: r})
	}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host = "http", l.pick()
		},
		FlushInterval: -1,
		Transport:     &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second},
		ErrorLog:      slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Front-Layer", "no answer")
			w.WriteHeader(http.StatusBadGateway)
			fmt.Fprint(w, `{"error":"the router did not answer"}`)
		},
	}
	l.server = &http.Server{Handler: proxy, ReadHeaderTimeout: 10 * time.Second,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	return l, nil
}

// Addr is where clients go.
func (l *Layer) Addr() string { return l.listener.Addr().String() }

// Run serves until ctx ends.
func (l *Layer) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- l.server.Serve(l.listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		l.server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// Dead tells that a router has died; it is noticed after a while. Alive takes that back at once.
func (l *Layer) Dead(addr string) { l.mark(addr, time.Now().Add(l.notice)) }

// Alive tells that a router takes requests again.
func (l *Layer) Alive(addr string) { l.mark(addr, time.Time{}) }

func (l *Layer) mark(addr string, dead time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.routers {
		if r.addr == addr {
			r.dead = dead
		}
	}
}

// pick returns the next router in turn that is not known to be dead, or the next if all are.
func (l *Layer) pick() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	n := uint64(len(l.routers))
	first := l.next.Add(1) - 1
	for i := range n {
		if r := l.routers[(first+i)%n]; r.dead.IsZero() || now.Before(r.dead) {
			return r.addr
		}
	}
	return l.routers[first%n].addr
}
