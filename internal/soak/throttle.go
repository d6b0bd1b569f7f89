package soak

import (
	"context"
	"syscall"
	"time"
)

// throttlePeriod is the time in which a router with a part of a core runs once. It is short against what a process may be held
// up.
const throttlePeriod = 20 * time.Millisecond

// throttle has every router run for a part of the time only, until ctx ends.
func (w *Testbed) throttle(ctx context.Context, share float64) {
	for _, r := range w.Routers {
		go r.throttle(ctx, time.Duration(share*float64(throttlePeriod)))
	}
}

func (r *Router) throttle(ctx context.Context, runs time.Duration) {
	tick := time.NewTicker(throttlePeriod)
	defer tick.Stop()
	for {
		r.runOn()
		select {
		case <-ctx.Done():
			return
		case <-time.After(runs):
		}
		r.hold()
		select {
		case <-ctx.Done():
			r.runOn()
			return
		case <-tick.C:
		}
	}
}

// hold stops the process for a moment, which no rule excuses.
func (r *Router) hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs() {
		r.cmd.Process.Signal(syscall.SIGSTOP)
	}
}

// runOn ends hold, unless a fault keeps the process from running.
func (r *Router) runOn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs() {
		r.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// runs tells whether the process runs and no fault keeps it from that. mu is held.
func (r *Router) runs() bool {
	if r.life == nil || !r.life.Exited.IsZero() {
		return false
	}
	n := len(r.life.Pauses)
	return n == 0 || !r.life.Pauses[n-1].Until.IsZero()
}
