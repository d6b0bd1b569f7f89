package soak

import (
	"math/rand/v2"
	"sync"
)

// routerPicker spreads clients over the routers that it considers up. It learns with a delay that a router is down.
type routerPicker struct {
	mu      sync.Mutex
	routers []*Router
	up      []bool
}

// newRouterPicker returns a picker that considers all routers down.
func newRouterPicker(routers []*Router) *routerPicker {
	return &routerPicker{routers: routers, up: make([]bool, len(routers))}
}

// setUp marks a router as up or down.
func (p *routerPicker) setUp(router int, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up[router] = up
}

// pick returns a random router that is considered up, or nil if there is none.
func (p *routerPicker) pick(random *rand.Rand) *Router {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.routers)
	for _, i := range random.Perm(n) {
		if p.up[i] {
			return p.routers[i]
		}
	}
	return nil
}
