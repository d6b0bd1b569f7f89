// Package guard owns the state of every request of a router process, from its first byte to its last. Fronts, the
// router and engine clients ask it before each step that one of the five rules covers: accepting a request, starting
// an attempt, writing an attempt's last byte, answering, closing. It allows or denies the step, keeps an event trail
// per request, and counts a forbidden step that happened nevertheless as a violation. It doesn't choose engines and
// does no I/O.
package guard

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Guard tracks the open requests of one process. Create it with New. It is safe for concurrent use.
type Guard struct {
	log        *slog.Logger
	violations [violationKinds]atomic.Int64
	denials    [denialKinds]atomic.Int64
	// shuttingDown makes every step be logged as it happens, since the process may be killed before it logs the final
	// answer.
	shuttingDown atomic.Bool

	mu          sync.Mutex
	open        map[*Request]struct{}
	acceptUntil time.Time // zero: requests are accepted
	pausedFrom  time.Time // start of the last known pause of the process
	pausedUntil time.Time // end of the pause, plus pauseAftermath
}

// pauseAftermath is how long after a pause of the process its effects may still show.
const pauseAftermath = time.Second

// New returns a guard that logs to log; with nil it logs nothing.
func New(log *slog.Logger) *Guard {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Guard{log: log, open: map[*Request]struct{}{}}
}

// Receive creates the state of a request whose first byte has arrived.
func (g *Guard) Receive() *Request {
	r := &Request{guard: g, received: time.Now()}
	r.record(stepReceived, "", "")
	g.mu.Lock()
	g.open[r] = struct{}{}
	g.mu.Unlock()
	return r
}

// ShutDown records that the process was asked to shut down: no request that is complete only after acceptUntil may
// reach an engine. The open requests are logged, and from now on every step is logged as well.
func (g *Guard) ShutDown(acceptUntil time.Time) {
	g.shuttingDown.Store(true)
	g.mu.Lock()
	g.acceptUntil = acceptUntil
	g.mu.Unlock()
	for _, r := range g.openRequests() {
		name, trail := r.describe()
		g.log.Info("request open at shutdown", "request", name, "trail", trail)
	}
}

// Close records that the process ends. Every request that is still open counts as a violation.
func (g *Guard) Close() {
	for _, r := range g.openRequests() {
		g.recordViolation(UnansweredAtEnd, r, "")
	}
}

// Open returns the number of open requests.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// ProcessPaused records that the process didn't run for the given time until now. The pause is logged, and steps that
// are late because of it are not counted as violations.
func (g *Guard) ProcessPaused(duration time.Duration) {
	now := time.Now()
	g.mu.Lock()
	g.pausedFrom, g.pausedUntil = now.Add(-duration), now.Add(pauseAftermath)
	g.mu.Unlock()
	g.log.Warn("the process was held up", "for", duration)
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

// accepts reports whether a request that was complete at the given time may reach an engine.
func (g *Guard) accepts(complete time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acceptUntil.IsZero() || !complete.After(g.acceptUntil)
}

// pausedBetween reports whether the process is known to have been paused between two instants, or shortly before
// them.
func (g *Guard) pausedBetween(from, until time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return from.Before(g.pausedUntil) && until.After(g.pausedFrom)
}

// remove drops a request that is closed.
func (g *Guard) remove(r *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, r)
}

// ConnectionClosed logs that the router closes a client's connection, with the connection's state and the reason.
func (g *Guard) ConnectionClosed(client, state, reason string) {
	g.log.Log(context.Background(), g.level(), "connection closed", "client", client, "state", state, "reason", reason)
}

// level returns the log level for single steps.
func (g *Guard) level() slog.Level {
	if g.shuttingDown.Load() {
		return slog.LevelInfo
	}
	return slog.LevelDebug
}

// logStep logs a step of the request with the given name.
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
