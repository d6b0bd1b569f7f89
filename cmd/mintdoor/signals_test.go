package main

import (
	"context"
	"os"
	"syscall"
	"testing"
)

// What ends a router at once and what does not: a second SIGTERM ends it only where that is wanted, SIGHUP never, a
// second SIGINT always. Each signal is taken once, in its order, also those that came before the router ran.
func TestSignals(t *testing.T) {
	hup, term, interrupt := syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT
	for name, c := range map[string]struct {
		signals      []os.Signal
		repeatedTerm bool
		drains       int
		reloads      int
		ended        bool
	}{
		"reload":                          {[]os.Signal{hup, hup}, false, 0, 2, false},
		"drain":                           {[]os.Signal{term}, true, 1, 0, false},
		"drain, reload":                   {[]os.Signal{term, hup}, true, 1, 1, false},
		"SIGTERM twice, patient":          {[]os.Signal{term, term, hup}, false, 1, 1, false},
		"SIGTERM twice":                   {[]os.Signal{term, term}, true, 1, 0, true},
		"SIGTERM and SIGINT, patient":     {[]os.Signal{term, interrupt}, false, 1, 0, true},
		"SIGINT twice":                    {[]os.Signal{interrupt, interrupt}, false, 1, 0, true},
		"SIGTERM twice, SIGINT, patient":  {[]os.Signal{term, term, interrupt}, false, 1, 0, true},
		"reload before and in the drain ": {[]os.Signal{hup, term, hup}, false, 1, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			queues := &signalQueues{ends: make(chan os.Signal, 4), reloads: make(chan os.Signal, 4)}
			for _, s := range c.signals {
				if s == hup {
					queues.reloads <- s
				} else {
					queues.ends <- s
				}
			}
			var drains, reloads int // each is its goroutine's until it has been seen
			seen := make(chan bool, 10)
			ctx, stop := untilSignal(context.Background(), queues, signalActions{repeatedTerm: c.repeatedTerm,
				drain: func() { drains++; seen <- true }, reload: func() { reloads++; seen <- true }})
			defer stop()
			for range c.drains + c.reloads {
				<-seen
			}
			if c.ended {
				<-ctx.Done()
			} else if ctx.Err() != nil {
				t.Error("it was ended")
			}
			if drains != c.drains || reloads != c.reloads {
				t.Errorf("%d drains, %d reloads", drains, reloads)
			}
		})
	}
}

// A reload that takes long, with more signals to reload behind it, does not hold up the end.
func TestReloadsDoNotDelayDrain(t *testing.T) {
	queues := takeSignals(syscall.SIGHUP)
	reloading, drained := make(chan bool), make(chan bool)
	ctx, stop := untilSignal(context.Background(), queues, signalActions{
		drain:  func() { close(drained) },
		reload: func() { reloading <- true; <-drained },
	})
	defer stop()
	for range 20 {
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
	}
	<-reloading
	for range 20 {
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	<-drained
	<-reloading // one that came in the first one's time
	if ctx.Err() != nil {
		t.Error("it was ended")
	}
}
