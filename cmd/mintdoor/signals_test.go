package main

import (
	"context"
	"os"
	"syscall"
	"testing"
)

// A second SIGTERM ends a router immediately only if repeatedTerm is set, a second SIGINT always does, and SIGHUP
// never does. Each signal is handled once and in order, including signals that arrived before the router ran.
func TestSignals(t *testing.T) {
	hup, term, interrupt := syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT
	for name, c := range map[string]struct {
		signals      []os.Signal
		repeatedTerm bool
		drains       int
		reloads      int
		ended        bool
	}{
		"reload":                              {[]os.Signal{hup, hup}, false, 0, 2, false},
		"drain":                               {[]os.Signal{term}, true, 1, 0, false},
		"drain, reload":                       {[]os.Signal{term, hup}, true, 1, 1, false},
		"SIGTERM twice, without repeatedTerm": {[]os.Signal{term, term, hup}, false, 1, 1, false},
		"SIGTERM twice":                       {[]os.Signal{term, term}, true, 1, 0, true},
		"SIGTERM and SIGINT, without repeatedTerm": {[]os.Signal{term, interrupt}, false, 1, 0, true},
		"SIGINT twice": {[]os.Signal{interrupt, interrupt}, false, 1, 0, true},
		"SIGTERM twice, SIGINT, without repeatedTerm": {[]os.Signal{term, term, interrupt}, false, 1, 0, true},
		"reload before and during the drain":          {[]os.Signal{hup, term, hup}, false, 1, 2, false},
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
			var drains, reloads int // each is used only by its goroutine until it was seen
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
				t.Error("the context was ended")
			}
			if drains != c.drains || reloads != c.reloads {
				t.Errorf("%d drains, %d reloads", drains, reloads)
			}
		})
	}
}

// A reload that takes long, with more reload signals waiting behind it, doesn't delay the drain.
func TestReloadsDoNotDelayDrain(t *testing.T) {
	queues := queueSignals(syscall.SIGHUP)
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
	<-reloading // a reload that was requested during the first one
	if ctx.Err() != nil {
		t.Error("the context was ended")
	}
}
