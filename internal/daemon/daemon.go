// Package daemon assembles a router from its settings: discovery, engine client, router and fronts, each a goroutine
// of one group that ends as a whole. It makes no routing decisions and knows nothing of the platform; see package
// node for that.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"mintdoor/internal/assembly"
	"mintdoor/internal/config"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"
	"mintdoor/internal/front/rest"
	"mintdoor/internal/metrics"
	"mintdoor/internal/router"
	"mintdoor/internal/shift"
	"mintdoor/internal/trace"
)

// Version is the version of the program.
const Version = "0.1.0"

// Daemon is a router with the components that surround it.
type Daemon struct {
	Router *router.Router

	set      *config.Settings
	log      *slog.Logger
	source   discovery.Source
	engines  *engine.Client
	front    *rest.Front
	shift    *shift.Driver // nil: roles don't change
	metrics  *metrics.Set
	recorder *trace.Recorder // nil: no trace is recorded
	listener net.Listener
	control  net.Listener // nil: no control server
	parts    *assembly.Parts
}

// New opens the listeners and assembles the components; Run starts them. If source is nil, the server list comes from
// the file named in the settings.
func New(set *config.Settings, seed uint64, log *slog.Logger, source discovery.Source) (*Daemon, error) {
	listener, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	kinds := make([]string, len(set.Kinds))
	for i, k := range set.Kinds {
		kinds[i] = k.Name
	}
	if source == nil {
		source = &discovery.File{Path: set.ListFile, Interval: set.ListInterval, Kinds: kinds}
	}
	d := &Daemon{set: set, log: log, source: source, listener: listener}
	d.engines = engine.New(engine.Options{DialTimeout: set.DialTimeout, IdleConnTimeout: set.ConnIdleTimeout,
		MaxConns: set.MaxEngineConns, StreamIdleTimeout: set.StreamIdleTimeout, ReleaseTimeout: set.ReleaseTimeout,
		ProbeTimeout: set.ProbeTimeout})
	cfg := router.Config{Name: set.Name, Model: set.Model, Settings: set.Decide(discovery.LocationNumber),
		Kinds: kinds, Engines: d.engines, Seed: seed, Log: log, MaxOpen: set.MaxOpen,
		StreamBuffer: set.StreamBuffer, ClientStallTimeout: set.ClientStallTimeout, StopTimeout: stopTimeout}
	var observers router.Observers
	d.metrics = metrics.New(func() router.Stats { return d.Router.Stats() })
	if set.RoleChanges.Mode != "off" {
		driver := shift.New(set, source, d.engines, set.Name, log, d.metrics.NewRoleMetrics())
		d.shift, d.source, observers = driver, driver, append(observers, driver)
	}
	if set.TraceFile != "" {
		classes := make([]string, len(set.Classes))
		for i, c := range set.Classes {
			classes[i] = c.Name
		}
		d.recorder = trace.NewRecorder(set.TraceFile, classes, log)
		observers = append(observers, d.recorder)
	}
	if len(observers) > 0 {
		cfg.Observer = observers
	}
	d.Router = router.New(cfg)
	if set.Control != "" {
		if d.control, err = net.Listen("tcp", set.Control); err != nil {
			listener.Close()
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	d.front = rest.New(set, d.Router, log, Version)
	parts := assembly.Parts{Router: d.Router, Source: d.source, Log: log, Drain: d.finish,
		// The answers that the router gives when it stops still have to reach their clients.
		Serve: func(ctx context.Context) error { return d.front.Serve(ctx, d.listener, set.DrainTimeout+stopTimeout) }}
	if d.recorder != nil {
		parts.Background = append(parts.Background, d.recorder.Run)
	}
	if d.control != nil {
		parts.Background = append(parts.Background, d.serveControl)
	}
	d.parts = assembly.New(parts)
	return d, nil
}

// stopTimeout bounds the wait for attempts and releases when the router stops.
const stopTimeout = 2 * time.Second

// Addr returns the address that the front listens on.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// Drain makes the router reject new requests; Run returns when the open ones have ended or the drain timeout has
// passed.
func (d *Daemon) Drain() { d.parts.RequestDrain() }

// Run runs until ctx ends, in which case open requests are answered immediately, or until the drain is complete.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.engines.Close()
	d.log.Info("router up", "name", d.Router.Name(), "listen", d.Addr(), "model", d.set.Model)
	return d.parts.Run(ctx)
}

// finish rejects new requests and waits for the open ones, up to the drain timeout of the settings.
func (d *Daemon) finish(ctx context.Context, unlisten, stop func()) {
	d.log.Info("draining", "open", d.Router.Stats().Open, "within", d.set.DrainTimeout)
	d.Router.Drain()
	unlisten()
	t := time.NewTimer(d.set.DrainTimeout)
	defer t.Stop()
	select {
	case <-d.Router.Stopped():
	case <-t.C:
		d.log.Warn("drain timeout has passed; stopping", "open", d.Router.Stats().Open)
		stop()
	case <-ctx.Done():
	}
}
