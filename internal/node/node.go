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
	arrivals time.Duration
}

// Times of the transport; every time that decides something is the module's.
const (
	requestWithin = 2 * time.Second // a client's message; bad clients are owed a word within 3 s
	clientIdle    = 6 * time.Second
	clientStall   = 5 * time.Second
	streamIdle    = 4 * time.Second // a client may be left to wait for 5 s on a stream that has stopped (PROTOCOL)
	idleMargin    = 3               // of this many parts of the engines' idle time one is left unused
	streamParts   = 64
	// untoldConnIdle is taken for the engines' idle time where the settings do not tell it.
	untoldConnIdle = 3 * time.Second
	settle         = 2 * time.Second
	leastRelease   = 500 * time.Millisecond // for letting go of what is held, however short the settings' time
	// arrivals is how long after SIGTERM new connections keep coming; a connection in the kernel's queue
	// counts as taken, so the listener stays open longer.
	arrivals = time.Second
	// tellEvery is how often the drain logs that it goes on.
	tellEvery = 500 * time.Millisecond
	// After SIGTERM the platform kills a router no sooner than its longest deadline, taken as killDeadline where it is
	// longer, plus killGrace. What comes later than killGrace after SIGTERM has to be answered by then (PROTOCOL,
	// 'Figures'); killMargin is left for the answer's way.
	killDeadline = 3 * time.Second
	killGrace    = 700 * time.Millisecond
	killMargin   = 150 * time.Millisecond
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
	n := &Node{cfg: cfg, log: log, listener: listener, arrivals: arrivals}
	n.source = watch.New(cfg.Discovery, set.Kinds, cfg.Known, log)
	connIdle := time.Duration(set.ConnIdle)
	if connIdle == 0 {
		connIdle = untoldConnIdle
	}
	n.engines = engines.New(engines.Options{DialTimeout: time.Duration(set.Decide.DialTimeout),
		ConnIdle: connIdle - connIdle/idleMargin, MaxConns: b.engines, SpareConns: b.spare, StreamIdle: streamIdle,
		ReleaseWithin: max(2*time.Duration(set.Decide.LetGoWithin), leastRelease), CallOffAgain: time.Duration(set.Decide.LetGoWithin), ProbeWithin: time.Duration(set.Decide.DialTimeout)})
	zone := ""
	if z := set.Decide.Zone; z < len(set.Zones) {
		zone = set.Zones[z]
	}
	set.Decide.Zone = discovery.Number(zone) // as the list's zones are numbered
	n.guard = guard.New(log)
	n.Router = router.New(router.Config{Name: cfg.Name, Settings: set.Decide, Kinds: set.Kinds, Engines: n.engines,
		Holds: router.ByRequest, Seed: cfg.Seed, Log: log, Guard: n.guard, MaxOpen: b.open, StreamParts: streamParts,
		NewDecider:  decider,
		ClientStall: clientStall, Settle: settle})
	n.front = front.New(front.Options{Classes: set.Classes, Tenants: set.Tenants, RetryAfter: set.RetryAfter,
		MaxConns: b.clients, MaxRefused: maxRefused,
		BodyBytes: int64(cfg.MemoryMB * (1 << 20) / 5), Within: requestWithin, Idle: clientIdle, Stall: clientStall,
		Log: log, Guard: n.guard}, n.Router)
	n.parts = assembly.New(assembly.Parts{Router: n.Router, Source: n.source, Log: log, Drain: n.finish,
		Serve:  func(ctx context.Context) error { return n.front.Serve(ctx, n.listener) },
		Others: []func(context.Context) error{n.engines.Run}})
	return n, nil
}

// Limit sets the runtime's bounds from the configuration.
func (c *Config) Limit() {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(c.MemoryMB * (1 << 20) * 6 / 10))
}

// Addr is where the front listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Drain lets clients go elsewhere: what comes is still answered, each on the last use of its connection, and
// Run returns when nothing is open any more.
func (n *Node) Drain() { n.parts.Ask() }

// Reload reads the configuration anew. Only discovery can move while a router runs; with an error all stays
// as it is.
func (n *Node) Reload() {
	c, err := Load(os.Getenv)
	if err != nil {
		n.log.Error("the new configuration is not taken", "err", err)
		return
	}
	n.source.Move(c.Discovery)
}

// Run runs until ctx ends, which answers what is open at once, or until Drain has done its work.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("router up", "name", n.Router.Name(), "listen", n.Addr(), "sockets", n.cfg.Sockets,
		"memory_mb", n.cfg.MemoryMB)
	return n.parts.Run(ctx)
}

// killedAfter is the soonest time after SIGTERM at which the platform may kill the router.
func killedAfter(classes []decide.Class) time.Duration {
	longest := time.Duration(0)
	for i := range classes {
		longest = max(longest, time.Duration(classes[i].Deadline))
	}
	return min(longest, killDeadline) + killGrace
}

// finish answers what is open and what still comes, each on the last use of its connection. The listener is open until
// nothing has been open for a moment, as new connections come for a while.
func (n *Node) finish(ctx context.Context, unlisten, _ func()) {
	began := time.Now()
	n.log.Info("draining", "open", n.Router.Stats().Open, "connections", n.front.Conns())
	n.guard.ShutDown()
	n.front.AnswerBy(began.Add(killGrace), began.Add(killedAfter(n.cfg.Settings.Decide.Classes)-killMargin))
	look := time.NewTicker(n.arrivals / 20)
	defer look.Stop()
	listening, asked, told := true, false, began
	var unlistened <-chan struct{} // nil but for the time between StopListening and its end
	for listening || n.front.Conns() > 0 {
		n.front.Last() // also those that came to rest meanwhile
		if time.Since(began) >= n.arrivals {
			n.front.ExpireFresh()
			if !asked && n.front.Conns() == 0 {
				unlistened, asked = n.front.StopListening(), true
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-unlistened:
			listening, unlistened = false, nil
		case <-look.C:
		}
		if time.Since(told) >= tellEvery { // shows that the process is alive
			told = time.Now()
			n.log.Info("still draining", "since", told.Sub(began), "open", n.guard.Open(), "connections", n.front.Conns())
		}
	}
	unlisten()
	n.Router.Drain()
}
