// Package daemon puts a router together from its settings: discovery, engines' client, core and fronts,
// each a goroutine of one group with one end.
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

// Version is the program's.
const Version = "0.1.0"

// Daemon is a router with all that surrounds it.
type Daemon struct {
	Router *router.Router

	set      *config.Settings
	log      *slog.Logger
	source   discovery.Source
	engines  *engine.Client
	front    *rest.Front
	shift    *shift.Driver // nil: roles stay as they are
	metrics  *metrics.Set
	recorder *trace.Recorder // nil: nothing is recorded
	listener net.Listener
	control  net.Listener // nil: none
	parts    *assembly.Parts
}

// New listens and puts the parts together; Run starts them. source may be nil: the settings' list file.
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
		StreamBuffer: set.StreamBuffer, ClientStallTimeout: set.ClientStallTimeout, StopTimeout: settle}
	var watch router.Observers
	d.metrics = metrics.New(func() router.Stats { return d.Router.Stats() })
	if set.RoleChanges.Mode != "off" {
		driver := shift.New(set, source, d.engines, set.Name, log, d.metrics.NewRoleMetrics())
		d.shift, d.source, watch = driver, driver, append(watch, driver)
	}
	if set.TraceFile != "" {
		classes := make([]string, len(set.Classes))
		for i, c := range set.Classes {
			classes[i] = c.Name
		}
		d.recorder = trace.NewRecorder(set.TraceFile, classes, log)
		watch = append(watch, d.recorder)
	}
	if len(watch) > 0 {
		cfg.Observer = watch
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
		// Answers that the router gives at its end still have to reach their clients.
		Serve: func(ctx context.Context) error { return d.front.Serve(ctx, d.listener, set.DrainTimeout+settle) }}
	if d.recorder != nil {
		parts.Background = append(parts.Background, d.recorder.Run)
	}
	if d.control != nil {
		parts.Background = append(parts.Background, d.serveControl)
	}
	d.parts = assembly.New(parts)
	return d, nil
}

// settle bounds the wait for attempts and releases at a stop.
const settle = 2 * time.Second

// Addr is where the front listens.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// Drain stops taking requests; Run returns when those that are open have ended, or their time is over.
func (d *Daemon) Drain() { d.parts.RequestDrain() }

// Run runs until ctx ends, which answers what is open at once, or until Drain has done its work.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.engines.Close()
	d.log.Info("router up", "name", d.Router.Name(), "listen", d.Addr(), "model", d.set.Model)
	return d.parts.Run(ctx)
}

// finish takes no more requests and waits for those that are open, as long as the settings let it.
func (d *Daemon) finish(ctx context.Context, unlisten, stop func()) {
	d.log.Info("draining", "open", d.Router.Stats().Open, "within", d.set.DrainTimeout)
	d.Router.Drain()
	unlisten()
	t := time.NewTimer(d.set.DrainTimeout)
	defer t.Stop()
	select {
	case <-d.Router.Stopped():
	case <-t.C:
		d.log.Warn("time to drain is over", "open", d.Router.Stats().Open)
		stop()
	case <-ctx.Done():
	}
}
