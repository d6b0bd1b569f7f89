package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// signalQueues hold the signals that wait to be handled. Signals that end the router have their own queue, so that
// any number of reloads in a row neither displaces nor delays them.
type signalQueues struct {
	ends chan os.Signal
	// reloads holds at most one signal, which stands for all that arrive meanwhile: the file is read after the signal
	// is taken from the queue.
	reloads chan os.Signal
}

// endQueueSize is how many signals that end the router can wait: at least a first one, and one that ends the router
// immediately.
const endQueueSize = 4

// queueSignals queues SIGINT, SIGTERM and the signals that reload from now on. Without it, such a signal would end
// the program.
func queueSignals(reloading ...os.Signal) *signalQueues {
	q := &signalQueues{ends: make(chan os.Signal, endQueueSize), reloads: make(chan os.Signal, 1)}
	signal.Notify(q.ends, syscall.SIGINT, syscall.SIGTERM)
	if len(reloading) > 0 {
		signal.Notify(q.reloads, reloading...)
	}
	return q
}

// signalActions are the actions of a router on signals.
type signalActions struct {
	drain  func() // at the first SIGINT or SIGTERM
	reload func() // at SIGHUP, if it is queued
	// repeatedTerm makes a SIGTERM during the drain end the router immediately, as SIGINT does. Without it the drain
	// continues: whoever sends SIGTERM twice still expects the answers, and can use SIGKILL to end the router.
	repeatedTerm bool
}

// untilSignal returns a context for a router that runs until a signal ends it. The returned function ends the
// context, and returns when no action is running any more.
func untilSignal(ctx context.Context, queues *signalQueues, do signalActions) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	work.Go(func() {
		defer signal.Stop(queues.ends)
		handleEndSignals(ctx, cancel, queues.ends, do)
	})
	work.Go(func() {
		defer signal.Stop(queues.reloads)
		for {
			select {
			case <-ctx.Done():
				return
			case <-queues.reloads:
				do.reload()
			}
		}
	})
	return ctx, func() {
		cancel()
		work.Wait()
	}
}

// handleEndSignals handles the signals that end the router, until one ends it immediately.
func handleEndSignals(ctx context.Context, cancel context.CancelFunc, ends <-chan os.Signal, do signalActions) {
	for draining := false; ; {
		select {
		case <-ctx.Done():
			return
		case s := <-ends:
			switch {
			case !draining:
				draining = true
				do.drain()
			case s == syscall.SIGINT || do.repeatedTerm:
				cancel()
				return
			}
		}
	}
}
