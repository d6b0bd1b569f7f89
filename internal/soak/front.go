package soak

import (
	"math/rand/v2"
	"sync"
)

// front spreads clients over the routers that it takes to be up. It learns late that one is not.
type front struct {
	mu      sync.Mutex
	routers []*Router
	up      []bool
}

func newFront(routers []*Router) *front {
	return &front{routers: routers, up: make([]bool, len(routers))}
}

// notice takes a router in or out.
func (f *front) notice(router int, up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up[router] = up
}

// pick returns a router that is taken to be up; nil if none is.
func (f *front) pick(random *rand.Rand) *Router {
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
