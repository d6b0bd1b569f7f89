package soak

import (
	"context"
	"syscall"
	"time"
)

// throttlePeriod is the period in which a router with a CPU share runs once. It is short compared with
// maxProcessPause, the longest process pause that the rules allow.
const throttlePeriod = 20 * time.Millisecond

// throttle lets every router run for a fraction of the time only, until ctx ends.
func (tb *Testbed) throttle(ctx context.Context, share float64) {
	for _, r := range tb.Routers {
		go r.throttle(ctx, time.Duration(share*float64(throttlePeriod)))
	}
}

// throttle lets the process run for runTime in each throttlePeriod and pauses it for the rest, until ctx ends.
func (r *Router) throttle(ctx context.Context, runTime time.Duration) {
	tick := time.NewTicker(throttlePeriod)
	defer tick.Stop()
	for {
		r.resumeProcess()
		select {
		case <-ctx.Done():
			return
		case <-time.After(runTime):
		}
		r.pauseProcess()
		select {
		case <-ctx.Done():
			r.resumeProcess()
			return
		case <-tick.C:
		}
	}
}

// pauseProcess pauses the process briefly. The invariants make no allowance for it.
func (r *Router) pauseProcess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mayRun() {
		r.cmd.Process.Signal(syscall.SIGSTOP)
	}
}

// resumeProcess ends pauseProcess, unless a fault keeps the process paused.
func (r *Router) resumeProcess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mayRun() {
		r.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// mayRun reports whether the process is alive and no fault keeps it paused. mu is held.
func (r *Router) mayRun() bool {
	if r.run == nil || !r.run.Exited.IsZero() {
		return false
	}
	n := len(r.run.Pauses)
	return n == 0 || !r.run.Pauses[n-1].Until.IsZero()
}
