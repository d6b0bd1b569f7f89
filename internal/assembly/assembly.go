// Package assembly runs the parts of a router as one group of goroutines with one end. What the parts are is the
// business of those that put a router together: internal/daemon for serve, internal/node for the platform.
package assembly

import (
	"context"
	"log/slog"

	"mintdoor/internal/discovery"
	"mintdoor/internal/router"

	"golang.org/x/sync/errgroup"
)

// Parts is a router with all that surrounds it.
type Parts struct {
	Router *router.Router
	Source discovery.Source
	// Serve takes clients until its context ends, and returns when their connections are closed.
	Serve func(ctx context.Context) error
	// Background run beside, until their context ends.
	Background []func(ctx context.Context) error
	// Drain is called once the drain was asked for. It ends the taking of clients with unlisten when that has
	// come, and tells the router to drain; the group ends with the router. With stop the group ends at once.
	Drain func(ctx context.Context, unlisten, stop func())
	Log   *slog.Logger

	drain chan struct{}
}

// New readies parts for Run and Ask.
func New(p Parts) *Parts {
	p.drain = make(chan struct{}, 1)
	return &p
}

// RequestDrain asks for the drain; more than once is once.
func (p *Parts) RequestDrain() {
	select {
	case p.drain <- struct{}{}:
	default:
	}
}

// Run runs all until ctx ends, which answers what is open at once, or until the drain has done its work.
func (p *Parts) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	serving, unlisten := context.WithCancel(ctx)
	defer unlisten()
	g.Go(func() error { return p.Source.Run(ctx, p.Router.Update) })
	g.Go(func() error {
		defer stop() // nothing else has a use without it
		return p.Router.Run(ctx)
	})
	g.Go(func() error { return p.Serve(serving) })
	for _, run := range p.Background {
		g.Go(func() error { return run(ctx) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-p.drain:
			p.Drain(ctx, unlisten, stop)
		}
		return nil
	})
	err := g.Wait()
	s := p.Router.Stats()
	p.Log.Info("router down", "name", p.Router.Name(), "served", s.Served, "refused", s.Refused, "failed", s.Failed,
		"gone", s.Gone)
	return err
}
