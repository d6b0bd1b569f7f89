// Package node assembles a router for the platform: its configuration, its resource limits and its shutdown, and the
// router with the platform's front, engine client and discovery. It makes no routing decisions.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/assembly"
	"mintdoor/internal/discovery"
	"mintdoor/internal/discovery/watch"
	engines "mintdoor/internal/engine/chat"
	front "mintdoor/internal/front/chat"
	"mintdoor/internal/guard"
	"mintdoor/internal/router"
)

// Node is a router on the platform.
type Node struct {
	Router *router.Router

	cfg      *Config
	log      *slog.Logger
	source   *watch.Source
	engines  *engines.Client
	front    *front.Front
	listener net.Listener
	parts    *assembly.Parts
	guard    *guard.Guard

	signalledAt  atomic.Pointer[time.Time] // when Drain was first called
	planShutdown func(signalledAt time.Time) router.Shutdown
}

// Timeouts and limits of the transport. All times that affect routing decisions are set by the decision module.
const (
	// requestTimeout is the time that a client has for sending a message; a malformed one has to be answered within
	// 3 s.
	requestTimeout     = 2 * time.Second
	clientIdleTimeout  = 6 * time.Second
	clientStallTimeout = 5 * time.Second
	// streamIdleTimeout is how long a stream may go without an event. The platform's protocol lets a client wait at
	// most 5 s on a stream that has stopped, and forbids ending a stream whose events are still coming. The margin of
	// twice decide.MaxPause allows for pauses of the process.
	streamIdleTimeout = 5*time.Second - 2*time.Duration(decide.MaxPause)
	idleMarginParts   = 3 // 1/idleMarginParts of the engines' idle timeout is left as a margin
	streamBuffer      = 64
	streamMemoryParts = 10 // 1/streamMemoryParts of the memory may be taken by events that wait for their clients
	// defaultConnIdle is the engines' idle timeout if the settings don't specify it.
	defaultConnIdle = 3 * time.Second
	stopTimeout     = 2 * time.Second
	// minReleaseTimeout is the least time for a call that releases a hold, however short the hold timeout in the
	// settings is.
	minReleaseTimeout  = 500 * time.Millisecond
	drainCheckInterval = 20 * time.Millisecond  // between two checks of what the drain has to do
	drainLogInterval   = 500 * time.Millisecond // between two log lines that show that the drain continues
	// maxRefused is how many connections beyond the connection limit are kept open for a moment, so that their clients
	// receive the refusal.
	maxRefused = 8
)

// budget divides the file descriptors. A third may belong to client connections with open requests, each of which
// also needs a connection to an engine. Both sides get some room beyond that, and the rest is for discovery and
// releases.
type budget struct{ clients, engines, spare, open int }

// splitSockets divides the given number of file descriptors.
func splitSockets(sockets int) budget {
	// base is for standard files, poller, listener, discovery, and files that are read occasionally.
	const base = 20
	free := sockets - base
	b := budget{spare: max(free/32, 6)}
	b.engines = free*45/100 - b.spare
	b.clients = free - b.engines - b.spare - maxRefused
	b.open = b.engines - max(b.engines/8, 8) // the rest is for probes
	return b
}

// New opens the listener and assembles the router; Run starts it.
func New(cfg *Config, log *slog.Logger) (*Node, error) { return newNode(cfg, log, nil) }

// newNode is New with a different decision module; with nil it uses the real one.
func newNode(cfg *Config, log *slog.Logger,
	decider func(*decide.Settings, uint64, decide.Time) router.Decider) (*Node, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	set := cfg.Settings
	b := splitSockets(cfg.Sockets)
	n := &Node{cfg: cfg, log: log, listener: listener}
	n.source = watch.New(cfg.Discovery, set.Kinds, cfg.CachedList, log)
	connIdle := time.Duration(set.ConnIdleTimeout)
	if connIdle == 0 {
		connIdle = defaultConnIdle
	}
	n.engines = engines.New(engines.Options{DialTimeout: time.Duration(set.Decide.DialTimeout),
		IdleConnTimeout: connIdle - connIdle/idleMarginParts, MaxConns: b.engines, ReleaseConns: b.spare, StreamIdleTimeout: streamIdleTimeout,
		ReleaseTimeout: max(2*time.Duration(set.Decide.HoldTimeout), minReleaseTimeout), CancelRetryDelay: time.Duration(set.Decide.HoldTimeout), ProbeTimeout: time.Duration(set.Decide.DialTimeout), Log: log})
	zone := ""
	if z := set.Decide.Zone; z < len(set.Zones) {
		zone = set.Zones[z]
	}
	set.Decide.Zone = discovery.LocationNumber(zone) // numbered as in the server list
	set.Decide.ReleaseAtEnd = true                   // as router.PerRequest does
	set.Decide.PauseHoldOnArrival = true             // as the platform's protocol requires on sockets
	n.guard = guard.New(log)
	n.Router = router.New(router.Config{Name: cfg.Name, Settings: set.Decide, Kinds: set.Kinds, Engines: n.engines,
		HoldMode: router.PerRequest, Seed: cfg.Seed, Log: log, Guard: n.guard, MaxOpen: b.open, StreamBuffer: streamBuffer,
		StreamMemory:       int64(cfg.MemoryMB * (1 << 20) / streamMemoryParts),
		NewDecider:         decider,
		ClientStallTimeout: clientStallTimeout, StopTimeout: stopTimeout})
	n.planShutdown = n.Router.ShutDown
	n.front = front.New(front.Options{Classes: set.Classes, Tenants: set.Tenants, SendRetryAfter: set.RetryAfter,
		MaxConns: b.clients, MaxRefusedConns: maxRefused,
		MaxBodyMemory: int64(cfg.MemoryMB * (1 << 20) / 5), RequestTimeout: requestTimeout, IdleTimeout: clientIdleTimeout, WriteTimeout: clientStallTimeout,
		Log: log, Guard: n.guard}, n.Router)
	n.parts = assembly.New(assembly.Parts{Router: n.Router, Source: n.source, Log: log, Drain: n.finish,
		Serve:      func(ctx context.Context) error { return n.front.Serve(ctx, n.listener) },
		Background: []func(context.Context) error{n.engines.Run}})
	return n, nil
}

// ApplyLimits sets the runtime's limits: one core, and a soft memory limit of 60 % of the configured memory.
func (c *Config) ApplyLimits() {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(c.MemoryMB * (1 << 20) * 6 / 10))
}

// Addr returns the address that the front listens on.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Drain starts the drain: new requests are still answered, but each answer closes its connection so that clients go
// elsewhere. Run returns when nothing is open any more. The first call counts as the time of the signal.
func (n *Node) Drain() {
	now := time.Now()
	n.signalledAt.CompareAndSwap(nil, &now)
	n.parts.RequestDrain()
}

// Reload reads the configuration again. Only the address of discovery can change while a router runs. If the
// configuration has an error, nothing changes.
func (n *Node) Reload() {
	c, err := Load(os.Getenv)
	if err != nil {
		n.log.Error("new configuration not taken", "err", err)
		return
	}
	n.source.SetAddr(c.Discovery)
}

// Run runs until ctx ends, in which case open requests are answered immediately, or until the drain is complete.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("router up", "name", n.Router.Name(), "listen", n.Addr(), "sockets", n.cfg.Sockets,
		"memory_mb", n.cfg.MemoryMB)
	err := n.parts.Run(ctx)
	n.guard.Close()
	n.log.Info("guard", "violations", n.guard.ViolationCount(), "by_kind", n.guard.Violations(), "denials", n.guard.Denials())
	return err
}

// finish carries out the drain. It answers open and new requests according to the router's shutdown plan, and closes
// each connection after its answer. It returns when no connection is left, however long streams run, because ending
// them earlier would lose them.
func (n *Node) finish(ctx context.Context, unlisten, _ func()) {
	signalledAt := n.signalledAt.Load()
	plan := n.planShutdown(*signalledAt)
	n.log.Info("draining", "open", n.Router.Stats().Open, "connections", n.front.OpenConns(), "taken", time.Since(*signalledAt))
	n.guard.ShutDown(plan.AcceptUntil)
	n.front.BeginShutdown()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	loggedAt := time.Now()
	listening, stopping := true, false
	var stopped <-chan struct{} // nil except between StopListening and its end
	for listening || n.front.OpenConns() > 0 {
		now := time.Now()
		n.front.CloseIdle(plan.LingerFor)
		if now.After(plan.AcceptUntil) {
			n.front.RefuseUnused()
		}
		if now.After(plan.GiveUpBy) {
			n.front.RefuseIncomplete()
		}
		if now.After(plan.ListenUntil) && !stopping {
			stopped, stopping = n.front.StopListening(), true
		}
		if now.Sub(loggedAt) >= drainLogInterval { // shows that the process is alive
			loggedAt = now
			n.log.Info("still draining", "since", now.Sub(*signalledAt), "open", n.guard.Open(), "connections", n.front.OpenConns())
		}
		select {
		case <-ctx.Done():
			return
		case <-stopped:
			listening, stopped = false, nil
		case <-ticker.C:
		}
	}
	unlisten()
	n.Router.Drain()
}
