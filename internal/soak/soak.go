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

// Options are how a soak is run.
type Options struct {
	Program           Program
	ConfigDir         string // for configuration files; must exist
	LogDir            string // folder for the routers' logs; "": none are kept
	Seed              uint64
	Routers           int
	Readers           int
	Writers           int
	Length            time.Duration // in which faults strike
	RequestsPerSecond float64       // requests a second of one router, in the mean
	FaultInterval     time.Duration // between two faults, in the mean
	// Slack is added to every time that the invariants allow, for a machine that is too slow for the run.
	Slack time.Duration
	// CPUShare is the part of a core that each router has; 0 is a whole one.
	CPUShare float64
	Log      *slog.Logger
	Progress io.Writer // progress for people; nil: none
}

// Times of a run.
const (
	startWithin = 60 * time.Second
	// lagLook and lagTold: the soak looks at its own clock so often, and notes when it ran so much later.
	lagLook = 10 * time.Millisecond
	lagTold = 20 * time.Millisecond
	tellAll = 5 * time.Second // between two words on the progress
)

// usualWork is what engines take: a stream takes about a second.
var usualWork = standin.Timing{ReadTime: 40 * time.Millisecond, FirstTokenTime: 30 * time.Millisecond, EventInterval: 60 * time.Millisecond, EventsPerStream: 14}

// Run runs a soak and judges it. The error tells that it could not be run; what the routers did wrong is in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	w, err := NewTestbed(TestbedOptions{Program: o.Program, ConfigDir: o.ConfigDir, LogDir: o.LogDir, Routers: o.Routers, Readers: o.Readers, Writers: o.Writers,
		Timing: usualWork, Seed: o.Seed})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	lags := watchOwnClock()
	f := newFront(w.Routers)
	if err := startAll(w, f); err != nil {
		return nil, err
	}
	log := &askLog{}
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
	work.Go(func() { tellProgress(struckCtx, o.Progress, began, log) })
	in.run(struckCtx, o.FaultInterval, o.Seed)
	endTraffic()
	work.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	endAll(w, in)
	if in.broken != nil {
		return nil, fmt.Errorf("a fault could not be injected: %w", in.broken)
	}
	e := &evidence{began: began, routers: o.Routers, classes: w.opts.classes, figures: w.opts.figures, work: w.opts.Timing,
		readerSlots: w.opts.slots(false), writerSlots: w.opts.slots(true), asks: log.list, bad: log.bad,
		record: w.Cluster.Record(), starts: w.starts, failed: in.failed, lags: lags(), slack: o.Slack}
	for _, r := range w.Routers {
		e.lives = append(e.lives, r.Runs())
		e.told = append(e.told, toldOfDrains(w.agentsOf(r.Index)))
		e.paths = append(e.paths, w.pathsOf(r.Index))
	}
	if e.record.Overflow {
		return nil, errors.New("the run was too long: its record is not whole")
	}
	e.index()
	report := newReport(&o, e, in.allStruck())
	report.Findings = judge(e)
	return report, nil
}

// startAll starts all routers and waits until they are ready.
func startAll(w *Testbed, f *front) error {
	for _, r := range w.Routers {
		if err := r.Start(); err != nil {
			return err
		}
	}
	for _, r := range w.Routers {
		if err := r.AwaitReady(startWithin); err != nil {
			return err
		}
		f.notice(r.Index, true)
	}
	return nil
}

// endAll tells all routers to end; each has to do so by itself, as no client is left.
func endAll(w *Testbed, in *injector) {
	for _, r := range w.Routers {
		r.Signal(syscall.SIGTERM)
	}
	for _, r := range w.Routers {
		select {
		case <-r.Ended():
		case <-time.After(2 * in.kills):
			in.mu.Lock()
			in.failed = append(in.failed, fmt.Sprintf("router %d did not end though no client was left", r.Index))
			in.mu.Unlock()
		}
	}
}

// watchOwnClock notes the times in which this process did not run. The function that it returns ends that and returns them.
func watchOwnClock() func() []Pause {
	done, ended := make(chan struct{}), make(chan struct{})
	var lags []Pause
	go func() {
		defer close(ended)
		tick := time.NewTicker(lagLook)
		defer tick.Stop()
		for last := time.Now(); ; {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			now := time.Now()
			if now.Sub(last) > lagLook+lagTold {
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

func tellProgress(ctx context.Context, out io.Writer, began time.Time, log *askLog) {
	tick := time.NewTicker(tellAll)
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

// allStruck adds up how often each fault was injected, and what the stand-ins have counted.
func (in *injector) allStruck() map[string]int {
	in.mu.Lock()
	defer in.mu.Unlock()
	out := map[string]int{}
	add := func(counts map[string]int) {
		for k, n := range counts {
			out[k] += n
		}
	}
	add(in.struck)
	in.world.mu.Lock()
	defer in.world.mu.Unlock()
	for _, e := range in.world.all {
		add(e.FaultCounts())
	}
	for _, g := range in.world.groups {
		for _, p := range g.proxies {
			add(p.FaultCounts())
		}
	}
	for _, of := range in.world.agents {
		for _, a := range of {
			add(a.FaultCounts())
		}
	}
	return out
}
