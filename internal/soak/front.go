package soak

import (
	"math/rand/v2"
	"sync"
)

// routerPicker spreads clients over the routers that it considers up. It is told with a delay that a router is down.
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
func (f *routerPicker) setUp(router int, up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up[router] = up
}

// pick returns a random router that is considered up, or nil if there is none.
func (f *routerPicker) pick(random *rand.Rand) *Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.routers)
	for _, i := range random.Perm(n) {
		if f.up[i] {
			return f.routers[i]
		}
	}
	return nil
}
