package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// fault is a kind of fault: how often it is drawn, and what it does. strike returns when the fault is over and undone.
type fault struct {
	name   string
	weight int
	strike func(*injector, *rand.Rand)
}

// faults are all kinds, in the order in which they are drawn.
var faults = []fault{
	{"SIGTERM", 14, (*injector).terminate},
	{"SIGKILL", 5, (*injector).kill},
	{"SIGSTOP, short", 12, (*injector).holdUp},
	{"SIGSTOP, long", 3, (*injector).stop},
	{"SIGHUP", 6, (*injector).reload},
	{"cut", 6, (*injector).cut},
	{"silence", 8, (*injector).silence},
	{"connections forgotten", 5, (*injector).forget},
	{"role silent", 2, (*injector).silentRole},
	{"slow dials", 5, (*injector).slowDials},
	{"dials that do not come up", 5, (*injector).stalledDials},
	{"engines hang", 8, (*injector).hang},
	{"engines fail", 8, (*injector).sicken},
	{"engine dies", 4, (*injector).die},
	{"engine drains", 6, (*injector).drain},
	{"release", 1, (*injector).release},
	{"engines vanish", 3, (*injector).vanish},
	{"discovery down", 4, (*injector).discoveryDown},
	{"watches silent", 4, (*injector).silentWatches},
	{"watches reset", 4, (*injector).resetWatches},
	{"bad clients", 6, (*injector).badClients},
	{"crowd", 3, (*injector).crowd},
	{"burst", 4, (*injector).burst},
}

// injector strikes a world with faults and counts what they met. It is safe for concurrent use.
type injector struct {
	world   *Testbed
	traffic *traffic
	front   *front
	kills   time.Duration // after SIGTERM, at the soonest
	ready   time.Duration // within which a router has to be ready

	mu      sync.Mutex
	large   bool // a fault of many engines is under way
	struck  map[string]int
	busy    map[int]bool // routers whose process ends or starts
	sick    map[string][]*standin.Behaviour
	silent  map[*standin.Proxy]int
	stalled map[*standin.Proxy]int
	slow    map[*standin.Proxy]int
	failed  []string // starts that failed
	broken  error    // of the soak itself
}

func newInjector(w *Testbed, t *traffic, f *front) *injector {
	return &injector{world: w, traffic: t, front: f, kills: killAfter(w.opts.classes), ready: 30 * time.Second, struck: map[string]int{},
		busy: map[int]bool{}, sick: map[string][]*standin.Behaviour{}, silent: map[*standin.Proxy]int{}, stalled: map[*standin.Proxy]int{},
		slow: map[*standin.Proxy]int{}}
}

// killAfter is the soonest time after SIGTERM at which a router is killed.
func killAfter(classes []class) time.Duration {
	longest := time.Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].Deadline)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// run strikes with faults at random until ctx ends, and returns when all of them are over.
func (in *injector) run(ctx context.Context, every time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	var work sync.WaitGroup
	defer work.Wait()
	for n := uint64(0); ; n++ {
		pause := time.NewTimer(time.Duration(random.ExpFloat64() * float64(every)))
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
		f := draw(random)
		own := rand.New(rand.NewPCG(seed, 10_000+n))
		work.Go(func() {
			in.count(f.name, 1)
			f.strike(in, own)
		})
	}
}

func draw(random *rand.Rand) *fault {
	sum := 0
	for i := range faults {
		sum += faults[i].weight
	}
	at := random.IntN(sum)
	for i := range faults {
		if at -= faults[i].weight; at < 0 {
			return &faults[i]
		}
	}
	return &faults[0]
}

func (in *injector) count(what string, n int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.struck[what] += n
}

// between draws a time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// hold applies something to paths that no other fault applies already, and takes it back after a while.
func (in *injector) hold(held map[*standin.Proxy]int, paths []*standin.Proxy, d time.Duration, begin, end func(*standin.Proxy) error) {
	in.mu.Lock()
	var fresh []*standin.Proxy
	for _, p := range paths {
		if held[p]++; held[p] == 1 {
			fresh = append(fresh, p)
		}
	}
	in.mu.Unlock()
	in.atOnce(fresh, begin)
	time.Sleep(d)
	in.mu.Lock()
	var last []*standin.Proxy
	for _, p := range paths {
		if held[p]--; held[p] == 0 {
			delete(held, p)
			last = append(last, p)
		}
	}
	in.mu.Unlock()
	in.atOnce(last, end)
}

// atOnce does something to all of some proxies side by side. What fails is a fault of the soak's own.
func (in *injector) atOnce(proxies []*standin.Proxy, do func(*standin.Proxy) error) {
	var work sync.WaitGroup
	for _, p := range proxies {
		work.Go(func() {
			if err := do(p); err != nil && !errors.Is(err, net.ErrClosed) {
				in.mu.Lock()
				in.broken = err
				in.mu.Unlock()
			}
		})
	}
	work.Wait()
}
