// Package guard owns the state of every request of a router process, from its first byte to its last. Fronts, the core
// and the clients of engines ask it before each step that a rule is about: taking a request, beginning an attempt,
// writing an attempt's last byte, answering, closing. It allows or denies the step, keeps a trail of what has happened,
// and counts as violations what has happened all the same.
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
	log        *slog.Logger
	violations [kinds]atomic.Int64
	denials    [denialKinds]atomic.Int64
	// shuttingDown: every step is logged as it happens, since a kill may come before the line of the final answer.
	shuttingDown atomic.Bool

	mu        sync.Mutex
	open      map[*Request]struct{}
	takeUntil time.Time // zero: requests are taken
	heldFrom  time.Time // the process did not run from then ...
	heldUntil time.Time // ... until then
}

// heldUpEffect is how long after a hold-up its effects may show.
const heldUpEffect = time.Second

// New returns a guard that logs to log; nil: nowhere.
func New(log *slog.Logger) *Guard {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Guard{log: log, open: map[*Request]struct{}{}}
}

// Receive begins the state of a request whose first byte has come.
func (g *Guard) Receive() *Request {
	r := &Request{guard: g, received: time.Now()}
	r.record(stepReceived, "", "")
	g.mu.Lock()
	g.open[r] = struct{}{}
	g.mu.Unlock()
	return r
}

// ShutDown notes that the process was told to end: no request that is complete after takeUntil may reach an engine. The open
// requests are logged, and from now on every step.
func (g *Guard) ShutDown(takeUntil time.Time) {
	g.shuttingDown.Store(true)
	g.mu.Lock()
	g.takeUntil = takeUntil
	g.mu.Unlock()
	for _, r := range g.openRequests() {
		name, trail := r.describe()
		g.log.Info("open at the shutdown", "request", name, "trail", trail)
	}
}

// Close notes that the process ends: every request has to be over.
func (g *Guard) Close() {
	for _, r := range g.openRequests() {
		g.violated(UnansweredAtEnd, r, "")
	}
}

// Open tells how many requests are open.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// ProcessPaused notes that the process did not run for some time, until now. What is late for that reason is logged, and not
// counted as a violation.
func (g *Guard) ProcessPaused(late time.Duration) {
	now := time.Now()
	g.mu.Lock()
	g.heldFrom, g.heldUntil = now.Add(-late), now.Add(heldUpEffect)
	g.mu.Unlock()
	g.log.Warn("the process was held up", "for", late)
}

func (g *Guard) openRequests() []*Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := make([]*Request, 0, len(g.open))
	for r := range g.open {
		open = append(open, r)
	}
	return open
}

// taken tells whether a request that was complete at a time may reach an engine.
func (g *Guard) taken(complete time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.takeUntil.IsZero() || !complete.After(g.takeUntil)
}

// heldUp tells whether the process is known not to have run at some time between two instants, or shows it right after.
func (g *Guard) heldUp(from, until time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return from.Before(g.heldUntil) && until.After(g.heldFrom)
}

// remove forgets a request that is over.
func (g *Guard) remove(r *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, r)
}

// ConnectionClosed notes that a client's connection is closed by the router, the state in which it was, and why.
func (g *Guard) ConnectionClosed(client, state, reason string) {
	g.log.Log(context.Background(), g.level(), "connection closed", "client", client, "state", state, "reason", reason)
}

// level is that of the lines about single steps.
func (g *Guard) level() slog.Level {
	if g.shuttingDown.Load() {
		return slog.LevelInfo
	}
	return slog.LevelDebug
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
