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
	// CheckMemory makes the memory limit of the routers' configuration an invariant. A program with the race detector
	// needs several times the memory.
	CheckMemory bool
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
var engineTiming = standin.Timing{ReadTime: 40 * time.Millisecond, FirstTokenTime: 30 * time.Millisecond,
	EventInterval: 60 * time.Millisecond, EventsPerStream: 14}

// unusualStreams is the probability that an engine writes a stream in an unusual form.
const unusualStreams = 0.3

// Run runs a soak and evaluates it. An error means that the soak could not be run; violations by the routers are in
// the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	tb, err := NewTestbed(TestbedOptions{Program: o.Program, ConfigDir: o.ConfigDir, LogDir: o.LogDir,
		Routers: o.Routers, Readers: o.Readers, Writers: o.Writers,
		Timing: engineTiming, VaryStreams: unusualStreams, Seed: o.Seed, Log: o.Log})
	if err != nil {
		return nil, err
	}
	defer tb.Close()
	ownPauses := watchOwnPauses()
	picker := newRouterPicker(tb.Routers)
	if err := startRouters(tb, picker); err != nil {
		return nil, err
	}
	log := &requestLog{}
	t := newTraffic(tb, picker, log, o.RequestsPerSecond*float64(o.Routers), o.Seed)
	in := newInjector(tb, t, picker, o.Log)
	if o.CPUShare > 0 {
		throttleCtx, endThrottle := context.WithCancel(ctx)
		defer endThrottle()
		tb.throttle(throttleCtx, o.CPUShare)
	}
	start := time.Now()
	trafficCtx, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	if hasCrowd(o.Seed) {
		in.count("crowd: clients that stay", t.startCrowd(trafficCtx))
	}
	var work sync.WaitGroup
	work.Go(func() { t.run(trafficCtx) })
	faultCtx, endFaults := context.WithTimeout(ctx, o.Length)
	defer endFaults()
	work.Go(func() { printProgress(faultCtx, o.Progress, start, log) })
	work.Go(func() { tb.watchMemory(trafficCtx) })
	in.run(faultCtx, o.FaultInterval, o.Seed)
	endTraffic()
	work.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	stopRouters(tb, in)
	if in.injectErr != nil {
		return nil, fmt.Errorf("a fault could not be injected: %w", in.injectErr)
	}
	e := &evidence{startedAt: start, routers: o.Routers, classes: tb.opts.classes, params: tb.opts.params, timing: tb.opts.Timing,
		readerSlots: tb.opts.slots(false), writerSlots: tb.opts.slots(true), requests: log.list, badClients: log.bad,
		record: tb.Cluster.Record(), coldStarts: tb.coldStarts, routerFailures: in.routerFailures, soakPauses: ownPauses(), slack: o.Slack}
	if o.CheckMemory {
		e.memoryLimit = routerMemoryMB << 20
	}
	for _, r := range tb.Routers {
		e.runs = append(e.runs, r.Runs())
		e.drainsReported = append(e.drainsReported, drainReports(tb.agentsOf(r.Index), tb.Directory.Withdrawals(), tb.disturbancesOf(r)))
		e.reachability = append(e.reachability, tb.reachabilityOf(r.Index))
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
func startRouters(tb *Testbed, picker *routerPicker) error {
	for _, r := range tb.Routers {
		if err := r.Start(); err != nil {
			return err
		}
	}
	for _, r := range tb.Routers {
		if err := r.AwaitReady(startTimeout); err != nil {
			return err
		}
		picker.setUp(r.Index, true)
	}
	return nil
}

// stopRouters sends SIGTERM to all routers. Each has to end by itself, since no client is left.
func stopRouters(tb *Testbed, in *injector) {
	for _, r := range tb.Routers {
		r.Signal(syscall.SIGTERM)
	}
	for _, r := range tb.Routers {
		select {
		case <-r.Ended():
		case <-time.After(2 * in.killDelay):
			in.mu.Lock()
			in.routerFailures = append(in.routerFailures, fmt.Sprintf("router %d did not end although no client was left", r.Index))
			in.mu.Unlock()
		}
	}
}

// watchOwnPauses records the intervals in which this process did not run. The returned function ends that and returns
// the intervals.
func watchOwnPauses() func() []Pause {
	done, ended := make(chan struct{}), make(chan struct{})
	var pauses []Pause
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
				pauses = append(pauses, Pause{From: last, Until: now})
			}
			last = now
		}
	}()
	return func() []Pause {
		close(done)
		<-ended
		return pauses
	}
}

// printProgress prints the number of requests at each progress interval.
func printProgress(ctx context.Context, out io.Writer, start time.Time, log *requestLog) {
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
			fmt.Fprintf(out, "%v: %d requests\n", time.Since(start).Round(time.Second), n)
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
	for _, agents := range in.testbed.agents {
		for _, a := range agents {
			add(a.FaultCounts())
		}
	}
	return out
}
