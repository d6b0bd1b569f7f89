package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"syscall"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// Options are the options of a soak run.
type Options struct {
	Program           Program
	ConfigDir         string // folder for the routers' configuration files; must exist
	LogDir            string // folder for the routers' logs; "": no logs are kept
	Seed              uint64
	Routers           int
	Readers           int
	Writers           int
	Length            time.Duration // how long faults are injected
	RequestsPerSecond float64       // mean request rate per router
	FaultInterval     time.Duration // mean time between two faults
	// Slack is added to every time that the invariants allow, for a machine that is too slow for the run.
	Slack time.Duration
	// CPUShare is the fraction of a CPU core that each router gets; 0 means a whole core.
	CPUShare float64
	Log      *slog.Logger
	Progress io.Writer // progress messages for a person; nil: none
}

// Durations of a run.
const (
	startTimeout = 60 * time.Second
	// The soak checks its own clock every pauseCheckInterval, and records a pause of its own process if a check is
	// late by more than pauseThreshold.
	pauseCheckInterval = 10 * time.Millisecond
	pauseThreshold     = 20 * time.Millisecond
	progressInterval   = 5 * time.Second // between two progress messages
)

// engineTiming is how long engines take. A stream takes about a second.
var engineTiming = standin.Timing{ReadTime: 40 * time.Millisecond, FirstTokenTime: 30 * time.Millisecond, EventInterval: 60 * time.Millisecond, EventsPerStream: 14}

// Run runs a soak and evaluates it. An error means that the soak could not be run; violations by the routers are in
// the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	w, err := NewTestbed(TestbedOptions{Program: o.Program, ConfigDir: o.ConfigDir, LogDir: o.LogDir, Routers: o.Routers, Readers: o.Readers, Writers: o.Writers,
		Timing: engineTiming, Seed: o.Seed})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	lags := watchOwnPauses()
	f := newRouterPicker(w.Routers)
	if err := startRouters(w, f); err != nil {
		return nil, err
	}
	log := &requestLog{}
	t := newTraffic(w, f, log, o.RequestsPerSecond*float64(o.Routers), o.Seed)
	in := newInjector(w, t, f)
	if o.CPUShare > 0 {
		throttled, endThrottle := context.WithCancel(ctx)
		defer endThrottle()
		w.throttle(throttled, o.CPUShare)
	}
	began := time.Now()
	trafficCtx, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var work sync.WaitGroup
	work.Go(func() { t.run(trafficCtx) })
	struckCtx, endFaults := context.WithTimeout(ctx, o.Length)
	defer endFaults()
	work.Go(func() { printProgress(struckCtx, o.Progress, began, log) })
	in.run(struckCtx, o.FaultInterval, o.Seed)
	endTraffic()
	work.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	stopRouters(w, in)
	if in.injectErr != nil {
		return nil, fmt.Errorf("a fault could not be injected: %w", in.injectErr)
	}
	e := &evidence{began: began, routers: o.Routers, classes: w.opts.classes, params: w.opts.params, timing: w.opts.Timing,
		readerSlots: w.opts.slots(false), writerSlots: w.opts.slots(true), requests: log.list, badClients: log.bad,
		record: w.Cluster.Record(), coldStarts: w.coldStarts, failedStarts: in.failedStarts, soakPauses: lags(), slack: o.Slack}
	for _, r := range w.Routers {
		e.runs = append(e.runs, r.Runs())
		e.drainsReported = append(e.drainsReported, drainReports(w.agentsOf(r.Index)))
		e.reachability = append(e.reachability, w.reachabilityOf(r.Index))
	}
	if e.record.Overflow {
		return nil, errors.New("the run was too long: its record is incomplete")
	}
	e.index()
	report := newReport(&o, e, in.allFaultCounts())
	report.Findings = evaluate(e)
	return report, nil
}

// startRouters starts all routers and waits until they are ready.
func startRouters(w *Testbed, f *routerPicker) error {
	for _, r := range w.Routers {
		if err := r.Start(); err != nil {
			return err
		}
	}
	for _, r := range w.Routers {
		if err := r.AwaitReady(startTimeout); err != nil {
			return err
		}
		f.setUp(r.Index, true)
	}
	return nil
}

// stopRouters sends SIGTERM to all routers. Each has to end by itself, since no client is left.
func stopRouters(w *Testbed, in *injector) {
	for _, r := range w.Routers {
		r.Signal(syscall.SIGTERM)
	}
	for _, r := range w.Routers {
		select {
		case <-r.Ended():
		case <-time.After(2 * in.killDelay):
			in.mu.Lock()
			in.failedStarts = append(in.failedStarts, fmt.Sprintf("router %d did not end although no client was left", r.Index))
			in.mu.Unlock()
		}
	}
}

// watchOwnPauses records the intervals in which this process did not run. The returned function ends that and returns
// the intervals.
func watchOwnPauses() func() []Pause {
	done, ended := make(chan struct{}), make(chan struct{})
	var lags []Pause
	go func() {
		defer close(ended)
		tick := time.NewTicker(pauseCheckInterval)
		defer tick.Stop()
		for last := time.Now(); ; {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			now := time.Now()
			if now.Sub(last) > pauseCheckInterval+pauseThreshold {
				lags = append(lags, Pause{From: last, Until: now})
			}
			last = now
		}
	}()
	return func() []Pause {
		close(done)
		<-ended
		return lags
	}
}

// printProgress prints the number of requests at each progress interval.
func printProgress(ctx context.Context, out io.Writer, began time.Time, log *requestLog) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			log.mu.Lock()
			n := len(log.list)
			log.mu.Unlock()
			fmt.Fprintf(out, "%v: %d requests\n", time.Since(began).Round(time.Second), n)
		}
	}
}

// allFaultCounts sums how often each fault was injected and how often the stand-ins have applied it.
func (in *injector) allFaultCounts() map[string]int {
	in.mu.Lock()
	defer in.mu.Unlock()
	out := map[string]int{}
	add := func(counts map[string]int) {
		for k, n := range counts {
			out[k] += n
		}
	}
	add(in.faultCounts)
	in.testbed.mu.Lock()
	defer in.testbed.mu.Unlock()
	for _, e := range in.testbed.allEngines {
		add(e.FaultCounts())
	}
	for _, g := range in.testbed.groups {
		for _, p := range g.proxies {
			add(p.FaultCounts())
		}
	}
	for _, of := range in.testbed.agents {
		for _, a := range of {
			add(a.FaultCounts())
		}
	}
	return out
}
