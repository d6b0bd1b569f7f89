// Package guard owns the state of every request of a router process, from its first byte to its last. Fronts, the core
// and the clients of engines report each step here, so that one place knows where a request stands and how it came
// there.
package guard

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Guard knows the open requests of one process. Make it with New. It is safe for concurrent use.
type Guard struct {
	log *slog.Logger
	// shuttingDown: every step is logged as it happens, since a kill may come before the line of the final answer.
	shuttingDown atomic.Bool

	mu   sync.Mutex
	open map[*Request]struct{}
}

// New returns a guard that logs to log; nil: nowhere.
func New(log *slog.Logger) *Guard {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Guard{log: log, open: map[*Request]struct{}{}}
}

// Receive notes that a request begins to come.
func (g *Guard) Receive() *Request {
	r := &Request{guard: g, received: time.Now()}
	r.note(stepReceived, "", "")
	g.mu.Lock()
	g.open[r] = struct{}{}
	g.mu.Unlock()
	return r
}

// ShutDown notes that the process was told to end: the open requests are logged, and from now on every step.
func (g *Guard) ShutDown() {
	g.shuttingDown.Store(true)
	g.mu.Lock()
	open := make([]*Request, 0, len(g.open))
	for r := range g.open {
		open = append(open, r)
	}
	g.mu.Unlock()
	for _, r := range open {
		name, trail := r.describe()
		g.log.Info("open at the shutdown", "request", name, "trail", trail)
	}
}

// Open tells how many requests are open.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// remove forgets a request that is over.
func (g *Guard) remove(r *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, r)
}

// level is that of the lines about single steps.
func (g *Guard) level() slog.Level {
	if g.shuttingDown.Load() {
		return slog.LevelInfo
	}
	return slog.LevelDebug
}

// ConnectionClosed notes that a client's connection is closed by the router, the state in which it was, and why.
func (g *Guard) ConnectionClosed(client, state, reason string) {
	g.log.Log(context.Background(), g.level(), "connection closed", "client", client, "state", state, "reason", reason)
}

func (g *Guard) logStep(name string, e *event) {
	level := g.level()
	if !g.log.Enabled(context.Background(), level) {
		return
	}
	attrs := []slog.Attr{slog.String("request", name), slog.Duration("after", e.at)}
	if e.subject != "" {
		attrs = append(attrs, slog.String("subject", e.subject))
	}
	if e.detail != "" {
		attrs = append(attrs, slog.String("detail", e.detail))
	}
	g.log.LogAttrs(context.Background(), level, e.step.message(), attrs...)
}
