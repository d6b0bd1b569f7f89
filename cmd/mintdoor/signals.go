package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// takeSignals has SIGINT, SIGTERM and others wait from now on: one that nobody takes would end the program.
func takeSignals(others ...os.Signal) chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, append(others, syscall.SIGINT, syscall.SIGTERM)...)
	return signals
}

// untilSignal returns a context for a router that runs until a signal: the first SIGINT or SIGTERM drains, the
// second ends the context. SIGHUP, if it is taken, reloads.
func untilSignal(ctx context.Context, signals chan os.Signal, drain, reload func()) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer signal.Stop(signals)
		for draining := false; ; {
			select {
			case <-ctx.Done():
				return
			case s := <-signals:
				switch {
				case s == syscall.SIGHUP:
					reload()
				case draining:
					cancel()
					return
				default:
					draining = true
					drain()
				}
			}
		}
	}()
	return ctx, cancel
}
