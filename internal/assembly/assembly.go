// Package assembly runs the components of a router as one group of goroutines that ends as a whole. It doesn't choose
// the components: internal/daemon does for 'mintdoor serve', and internal/node for the platform.
package assembly

import (
	"context"
	"log/slog"

	"mintdoor/internal/discovery"
	"mintdoor/internal/router"

	"golang.org/x/sync/errgroup"
)

// Parts is a router with the components that surround it.
type Parts struct {
	Router *router.Router
	Source discovery.Source
	// Serve accepts clients until its context ends, and returns when their connections are closed.
	Serve func(ctx context.Context) error
	// Background functions run alongside until their context ends.
	Background []func(ctx context.Context) error
	// Drain is called once a drain was requested. It calls unlisten when the front should accept no more clients, and
	// tells the router to drain; the group ends with the router. Calling stop ends the group immediately.
	Drain func(ctx context.Context, unlisten, stop func())
	Log   *slog.Logger

	drain chan struct{}
}

// New prepares parts for Run and RequestDrain.
func New(p Parts) *Parts {
	p.drain = make(chan struct{}, 1)
	return &p
}

// RequestDrain requests the drain. Further calls have no effect.
func (p *Parts) RequestDrain() {
	select {
	case p.drain <- struct{}{}:
	default:
	}
}

// Run runs all components until ctx ends, in which case open requests are answered immediately, or until the drain is
// complete.
func (p *Parts) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	serving, unlisten := context.WithCancel(ctx)
	defer unlisten()
	g.Go(func() error { return p.Source.Run(ctx, p.Router.Update) })
	g.Go(func() error {
		defer stop() // the other components are useless without the router
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
