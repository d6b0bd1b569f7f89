package soak

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// fault is a kind of fault: how often it is drawn, and what it does. inject returns when the fault is over and
// undone.
type fault struct {
	name   string // printed in the report
	weight int
	inject func(*injector, *rand.Rand)
}

// faults are all kinds of faults. drawFault depends on their order, so that a seed draws the same faults.
var faults = []fault{
	{"SIGTERM", 14, (*injector).terminateRouter},
	{"SIGKILL", 5, (*injector).killRouter},
	{"SIGSTOP, short", 12, (*injector).pauseBriefly},
	{"SIGSTOP, long", 3, (*injector).pauseLong},
	{"SIGHUP", 6, (*injector).changeAgents},
	{"cut", 6, (*injector).resetConnections},
	{"silence", 8, (*injector).dropTraffic},
	{"connections forgotten", 5, (*injector).blackholeConnections},
	{"role silent", 2, (*injector).dropTrafficOfRole},
	{"slow dials", 5, (*injector).delayNewConnections},
	{"dials that do not come up", 5, (*injector).stallDials},
	{"engines hang", 8, (*injector).hangEngines},
	{"engines fail", 8, (*injector).failEngines},
	{"engine dies", 4, (*injector).killEngine},
	{"engine drains", 6, (*injector).drainOne},
	{"release", 1, (*injector).rollingReplacement},
	{"engines vanish", 3, (*injector).loseGroups},
	{"discovery down", 4, (*injector).discoveryDown},
	{"watches silent", 4, (*injector).hangWatches},
	{"watches reset", 4, (*injector).resetWatches},
	{"discovery overloaded", 6, (*injector).overloadAgents},
	{"bad clients", 6, (*injector).badClients},
	{"crowd", 3, (*injector).idleConnections},
	{"burst", 4, (*injector).burst},
}

// injector injects faults into a testbed and counts them. It is safe for concurrent use.
type injector struct {
	testbed      *Testbed
	log          *slog.Logger
	traffic      *traffic
	picker       *routerPicker
	killDelay    time.Duration // minimum time from SIGTERM to SIGKILL
	readyTimeout time.Duration // time within which a router has to be ready
	// firstRevision is that of the list with the first engines; no agent is behind it.
	firstRevision int64

	mu             sync.Mutex
	largeFault     bool // a fault of many engines is in progress
	overloaded     bool // agents are overloaded
	callLosses     int  // faults in progress that make agents lose calls
	faultCounts    map[string]int
	busyRouters    map[int]bool                    // routers whose process is stopping or starting
	behaviours     map[string][]*standin.Behaviour // by engine: the behaviours that faults give it
	dropping       map[*standin.Proxy]int          // number of faults that drop the traffic
	stallingDials  map[*standin.Proxy]int          // number of faults that stall dials
	delaying       map[*standin.Proxy]int          // number of faults that delay new connections
	routerFailures []string                        // failed starts and stops of routers
	injectErr      error                           // an error of the soak itself
}

// newInjector returns an injector that has injected nothing yet.
func newInjector(tb *Testbed, t *traffic, picker *routerPicker, log *slog.Logger) *injector {
	return &injector{testbed: tb, log: log, traffic: t, picker: picker, killDelay: minKillDelay(tb.opts.classes),
		readyTimeout: 30 * time.Second, firstRevision: tb.Directory.Revision(), faultCounts: map[string]int{},
		busyRouters: map[int]bool{}, behaviours: map[string][]*standin.Behaviour{}, dropping: map[*standin.Proxy]int{}, stallingDials: map[*standin.Proxy]int{},
		delaying: map[*standin.Proxy]int{}}
}

// minKillDelay returns the minimum time from SIGTERM to SIGKILL: the longest deadline of a class, at most 3 s, plus
// 700 ms.
func minKillDelay(classes []class) time.Duration {
	longest := time.Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].Deadline)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// run injects random faults at random intervals until ctx ends, and returns when all of them are over.
func (in *injector) run(ctx context.Context, interval time.Duration, seed uint64) {
	var work sync.WaitGroup
	work.Go(func() { in.inject(ctx, seriesFaults, seriesIntervals*interval, seed+seriesSeed) })
	in.inject(ctx, faults, interval, seed)
	work.Wait()
}

// seriesSeed is the difference between the seeds of the two kinds of faults.
const seriesSeed = 1 << 32

// inject does what run does with faults of a table.
func (in *injector) inject(ctx context.Context, table []fault, interval time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	var work sync.WaitGroup
	defer work.Wait()
	for n := uint64(0); ; n++ {
		pause := time.NewTimer(time.Duration(random.ExpFloat64() * float64(interval)))
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
		f := drawFault(random, table)
		faultRandom := rand.New(rand.NewPCG(seed, 10_000+n))
		work.Go(func() {
			in.count(f.name, 1)
			in.log.Info("fault begins", "number", n, "fault", f.name)
			f.inject(in, faultRandom)
			in.log.Info("fault has ended", "number", n, "fault", f.name)
		})
	}
}

// drawFault draws a fault of a table by the weights.
func drawFault(random *rand.Rand, table []fault) *fault {
	sum := 0
	for i := range table {
		sum += table[i].weight
	}
	at := random.IntN(sum)
	for i := range table {
		if at -= table[i].weight; at < 0 {
			return &table[i]
		}
	}
	return &table[0]
}

// count adds to the count of a fault.
func (in *injector) count(name string, n int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faultCounts[name] += n
}

// randomDuration draws a duration between two limits, both included.
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)+1))
}

// millis returns a number of milliseconds as a duration.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// applyFor applies a fault to proxies, except those to which another call applies it already, and reverts it after a
// duration on those to which no other call still applies it.
func (in *injector) applyFor(counts map[*standin.Proxy]int, proxies []*standin.Proxy, d time.Duration,
	apply, revert func(*standin.Proxy) error) {
	in.mu.Lock()
	var first []*standin.Proxy
	for _, p := range proxies {
		if counts[p]++; counts[p] == 1 {
			first = append(first, p)
		}
	}
	in.mu.Unlock()
	in.inParallel(first, apply)
	time.Sleep(d)
	in.mu.Lock()
	var last []*standin.Proxy
	for _, p := range proxies {
		if counts[p]--; counts[p] == 0 {
			delete(counts, p)
			last = append(last, p)
		}
	}
	in.mu.Unlock()
	in.inParallel(last, revert)
}

// inParallel calls do for each proxy concurrently. A failure is an error of the soak itself.
func (in *injector) inParallel(proxies []*standin.Proxy, do func(*standin.Proxy) error) {
	var work sync.WaitGroup
	for _, p := range proxies {
		work.Go(func() {
			if err := do(p); err != nil && !errors.Is(err, net.ErrClosed) {
				in.mu.Lock()
				in.injectErr = err
				in.mu.Unlock()
			}
		})
	}
	work.Wait()
}
