// Package node puts a router together for the platform: its configuration, its limits, its signals, and the
// core with the platform's front, engines' client and discovery.
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

	signalled    atomic.Pointer[time.Time] // when Drain was first called
	planShutdown func(taken time.Time) router.Shutdown
}

// Times of the transport; every time that decides something is the module's.
const (
	requestWithin = 2 * time.Second // a client's message; bad clients are owed a word within 3 s
	clientIdle    = 6 * time.Second
	clientStall   = 5 * time.Second
	// streamIdle: a client may be left to wait for 5 s on a stream that has stopped (PROTOCOL), and one whose events are
	// still coming may not be cut off; the process may be held up.
	streamIdle  = 5*time.Second - 2*time.Duration(decide.MaxPause)
	idleMargin  = 3 // of this many parts of the engines' idle time one is left unused
	streamParts = 64
	// untoldConnIdle is taken for the engines' idle time where the settings do not tell it.
	untoldConnIdle = 3 * time.Second
	settle         = 2 * time.Second
	leastRelease   = 500 * time.Millisecond // for letting go of what is held, however short the settings' time
	drainLook      = 20 * time.Millisecond  // between two looks at what the drain has to do
	tellEvery      = 500 * time.Millisecond // between two log lines that say that it goes on
	// maxRefused is how many connections are kept for a moment so that a refusal for want of room arrives.
	maxRefused = 8
)

// budget shares out descriptors: a third may hold requests of clients, each of which needs an engine's
// connection too. Both sides get room beside that, and something is left for the list and for releases.
type budget struct{ clients, engines, spare, open int }

func share(sockets int) budget {
	const base = 20 // standard files, poller, listener, discovery, files read now and then
	free := sockets - base
	b := budget{spare: max(free/32, 6)}
	b.engines = free*45/100 - b.spare
	b.clients = free - b.engines - b.spare - maxRefused
	b.open = b.engines - max(b.engines/8, 8) // the rest for probes
	return b
}

// New listens and puts the parts together; Run starts them.
func New(cfg *Config, log *slog.Logger) (*Node, error) { return newNode(cfg, log, nil) }

// newNode is New with another module; nil: the module.
func newNode(cfg *Config, log *slog.Logger,
	decider func(*decide.Settings, uint64, decide.Time) router.Decider) (*Node, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	set := cfg.Settings
	b := share(cfg.Sockets)
	n := &Node{cfg: cfg, log: log, listener: listener}
	n.source = watch.New(cfg.Discovery, set.Kinds, cfg.CachedList, log)
	connIdle := time.Duration(set.ConnIdleTimeout)
	if connIdle == 0 {
		connIdle = untoldConnIdle
	}
	n.engines = engines.New(engines.Options{DialTimeout: time.Duration(set.Decide.DialTimeout),
		IdleConnTimeout: connIdle - connIdle/idleMargin, MaxConns: b.engines, ReleaseConns: b.spare, StreamIdleTimeout: streamIdle,
		ReleaseTimeout: max(2*time.Duration(set.Decide.HoldTimeout), leastRelease), CancelRetryDelay: time.Duration(set.Decide.HoldTimeout), ProbeTimeout: time.Duration(set.Decide.DialTimeout), Log: log})
	zone := ""
	if z := set.Decide.Zone; z < len(set.Zones) {
		zone = set.Zones[z]
	}
	set.Decide.Zone = discovery.LocationNumber(zone) // as the list's zones are numbered
	set.Decide.ReleaseAtEnd = true                   // as router.ByRequest does
	set.Decide.PauseHoldOnArrival = true             // PROTOCOL, 'The rules on sockets'
	n.guard = guard.New(log)
	n.Router = router.New(router.Config{Name: cfg.Name, Settings: set.Decide, Kinds: set.Kinds, Engines: n.engines,
		HoldMode: router.PerRequest, Seed: cfg.Seed, Log: log, Guard: n.guard, MaxOpen: b.open, StreamBuffer: streamParts,
		NewDecider:         decider,
		ClientStallTimeout: clientStall, StopTimeout: settle})
	n.planShutdown = n.Router.ShutDown
	n.front = front.New(front.Options{Classes: set.Classes, Tenants: set.Tenants, SendRetryAfter: set.RetryAfter,
		MaxConns: b.clients, MaxRefusedConns: maxRefused,
		MaxBodyMemory: int64(cfg.MemoryMB * (1 << 20) / 5), RequestTimeout: requestWithin, IdleTimeout: clientIdle, WriteTimeout: clientStall,
		Log: log, Guard: n.guard}, n.Router)
	n.parts = assembly.New(assembly.Parts{Router: n.Router, Source: n.source, Log: log, Drain: n.finish,
		Serve:      func(ctx context.Context) error { return n.front.Serve(ctx, n.listener) },
		Background: []func(context.Context) error{n.engines.Run}})
	return n, nil
}

// ApplyLimits sets the runtime's bounds from the configuration.
func (c *Config) ApplyLimits() {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(c.MemoryMB * (1 << 20) * 6 / 10))
}

// Addr is where the front listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Drain lets clients go elsewhere: what comes is still answered, each on the last use of its connection, and
// Run returns when nothing is open any more. The first call counts as the instant of the signal.
func (n *Node) Drain() {
	now := time.Now()
	n.signalled.CompareAndSwap(nil, &now)
	n.parts.RequestDrain()
}

// Reload reads the configuration anew. Only discovery can move while a router runs; with an error all stays
// as it is.
func (n *Node) Reload() {
	c, err := Load(os.Getenv)
	if err != nil {
		n.log.Error("the new configuration is not taken", "err", err)
		return
	}
	n.source.SetAddr(c.Discovery)
}

// Run runs until ctx ends, which answers what is open at once, or until Drain has done its work.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("router up", "name", n.Router.Name(), "listen", n.Addr(), "sockets", n.cfg.Sockets,
		"memory_mb", n.cfg.MemoryMB)
	err := n.parts.Run(ctx)
	n.guard.Close()
	n.log.Info("guard", "violations", n.guard.ViolationCount(), "by_kind", n.guard.Violations(), "denials", n.guard.Denials())
	return err
}

// finish answers what is open and what still comes, each on the last use of its connection, as the router's plan has it. It
// returns when no connection is left, however long streams run: to end them earlier would lose them.
func (n *Node) finish(ctx context.Context, unlisten, _ func()) {
	taken := n.signalled.Load()
	plan := n.planShutdown(*taken)
	n.log.Info("draining", "open", n.Router.Stats().Open, "connections", n.front.OpenConns(), "taken", time.Since(*taken))
	n.guard.ShutDown(plan.AcceptUntil)
	n.front.BeginShutdown()
	look := time.NewTicker(drainLook)
	defer look.Stop()
	told := time.Now()
	listening, asked := true, false
	var stopped <-chan struct{} // nil but for the time between StopListening and its end
	for listening || n.front.OpenConns() > 0 {
		now := time.Now()
		n.front.CloseIdle(plan.LingerFor)
		if now.After(plan.AcceptUntil) {
			n.front.RefuseUnused()
		}
		if now.After(plan.GiveUpBy) {
			n.front.RefuseIncomplete()
		}
		if now.After(plan.ListenUntil) && !asked {
			stopped, asked = n.front.StopListening(), true
		}
		if now.Sub(told) >= tellEvery { // shows that the process is alive
			told = now
			n.log.Info("still draining", "since", now.Sub(*taken), "open", n.guard.Open(), "connections", n.front.OpenConns())
		}
		select {
		case <-ctx.Done():
			return
		case <-stopped:
			listening, stopped = false, nil
		case <-look.C:
		}
	}
	unlisten()
	n.Router.Drain()
}
