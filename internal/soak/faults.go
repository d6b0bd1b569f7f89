package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
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
	{"role silent", 2, (*injector).silentRole},
	{"slow dials", 5, (*injector).slowDials},
	{"dials that do not come up", 5, (*injector).stalledDials},
	{"engines hang", 8, (*injector).hang},
	{"engines fail", 8, (*injector).sicken},
	{"engine dies", 4, (*injector).die},
	{"engine drains", 6, (*injector).drain},
	{"discovery down", 4, (*injector).discoveryDown},
	{"watches silent", 4, (*injector).silentWatches},
	{"watches reset", 4, (*injector).resetWatches},
	{"bad clients", 6, (*injector).badClients},
	{"crowd", 3, (*injector).crowd},
	{"burst", 4, (*injector).burst},
}

// injector strikes a world with faults and counts what they met. It is safe for concurrent use.
type injector struct {
	world   *World
	traffic *traffic
	front   *front
	kills   time.Duration // after SIGTERM, at the soonest
	ready   time.Duration // within which a router has to be ready

	mu      sync.Mutex
	struck  map[string]int
	busy    map[int]bool // routers whose process ends or starts
	sick    map[string][]*standin.Behaviour
	silent  map[*standin.Proxy]int
	stalled map[*standin.Proxy]int
	slow    map[*standin.Proxy]int
	failed  []string // starts that failed
	broken  error    // of the soak itself
}

func newInjector(w *World, t *traffic, f *front) *injector {
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

// takeRouter picks a router whose process runs and is to go on, and holds it until it is given back; nil if there is none.
func (in *injector) takeRouter(random *rand.Rand) *Router {
	in.mu.Lock()
	defer in.mu.Unlock()
	routers := in.world.Routers
	if 2*len(in.busy) >= len(routers) {
		return nil // the others have to serve
	}
	for _, i := range random.Perm(len(routers)) {
		if !in.busy[i] {
			in.busy[i] = true
			return routers[i]
		}
	}
	return nil
}

func (in *injector) giveBack(r *Router) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.busy, r.Index)
}

func (in *injector) anyRouter(random *rand.Rand) *Router {
	return in.world.Routers[random.IntN(len(in.world.Routers))]
}

// restart starts a router's process anew, and tells the front when it is ready.
func (in *injector) restart(r *Router) {
	err := r.Start()
	if err == nil {
		err = r.AwaitReady(in.ready)
	}
	if err != nil {
		in.mu.Lock()
		in.failed = append(in.failed, err.Error())
		in.mu.Unlock()
		return
	}
	in.front.notice(r.Index, true)
}

// terminate tells a router to end, with clients that send on, and kills it when its time is over.
func (in *injector) terminate(random *rand.Rand) {
	r := in.takeRouter(random)
	if r == nil {
		in.count("SIGTERM, skipped", 1)
		return
	}
	defer in.giveBack(r)
	var beside sync.WaitGroup
	defer beside.Wait()
	killed := make(chan struct{})
	if random.IntN(2) == 0 {
		in.count("engines hang through a shutdown", 1)
		release := in.afflict(in.someEngines(random, 0.5), standin.Behaviour{Hang: true})
		beside.Go(func() {
			<-killed
			release()
		})
	}
	heldUp := time.Duration(0)
	if random.IntN(3) == 0 {
		in.count("SIGTERM taken late", 1)
		heldUp = between(random, millis(20), millis(150))
	}
	in.traffic.aroundShutdown(r, random, func() {
		if heldUp > 0 {
			r.Signal(syscall.SIGSTOP)
		}
		r.Signal(syscall.SIGTERM)
	})
	terminated := time.Now()
	time.Sleep(heldUp)
	r.Signal(syscall.SIGCONT)
	inShutdown := rand.New(rand.NewPCG(random.Uint64(), 3))
	beside.Go(func() { in.troubleInShutdown(r, inShutdown) })
	time.Sleep(between(random, millis(200), millis(400)))
	in.front.notice(r.Index, false)
	select {
	case <-r.Ended():
		in.count("ended before the kill", 1)
	case <-time.After(time.Until(terminated.Add(in.kills + between(random, 0, millis(300))))):
		in.count("killed after SIGTERM", 1)
		r.Signal(syscall.SIGKILL)
		r.Wait()
	}
	close(killed)
	time.Sleep(between(random, millis(50), millis(400)))
	in.restart(r)
}

// troubleInShutdown holds a router up, and gives it new configurations, while it ends.
func (in *injector) troubleInShutdown(r *Router, random *rand.Rand) {
	for range random.IntN(4) {
		time.Sleep(between(random, 0, millis(900)))
		if random.IntN(2) == 0 {
			in.count("held up in a shutdown", 1)
			in.pause(r, between(random, millis(20), millis(150)))
		} else {
			in.count("SIGHUP in a shutdown", 1)
			in.move(r)
		}
	}
}

// kill kills a router at once.
func (in *injector) kill(random *rand.Rand) {
	r := in.takeRouter(random)
	if r == nil {
		in.count("SIGKILL, skipped", 1)
		return
	}
	defer in.giveBack(r)
	r.Signal(syscall.SIGKILL)
	r.Wait()
	time.Sleep(between(random, millis(100), millis(1500)))
	in.front.notice(r.Index, false)
	time.Sleep(between(random, millis(50), millis(500)))
	in.restart(r)
}

func (in *injector) pause(r *Router, d time.Duration) {
	r.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	r.Signal(syscall.SIGCONT)
}

// holdUp keeps a router from running for as long as its rules have to bear.
func (in *injector) holdUp(random *rand.Rand) {
	for range 1 + random.IntN(5) {
		in.pause(in.anyRouter(random), between(random, millis(10), millis(150)))
		time.Sleep(between(random, 0, millis(500)))
	}
}

// stop keeps a router from running for longer. What is late for that reason is excused, what is wrong is not.
func (in *injector) stop(random *rand.Rand) {
	in.pause(in.anyRouter(random), between(random, millis(300), millis(1500)))
}

// reload gives a router new configurations, several in quick succession some times.
func (in *injector) reload(random *rand.Rand) {
	r := in.anyRouter(random)
	for range 1 + random.IntN(3) {
		in.move(r)
		time.Sleep(between(random, 0, millis(120)))
	}
}

// oldAgent is how long an agent goes on with its open calls after a router was told of another.
const oldAgent = 1500 * time.Millisecond

// move tells a router of a new agent; the old one takes no new connection, and ends a while later.
func (in *injector) move(r *Router) {
	a, err := in.world.NewAgent(r.Index)
	if err != nil {
		return
	}
	old := r.CurrentAgent()
	if r.Move(a) != nil {
		return
	}
	old.Retire()
	time.AfterFunc(oldAgent, old.Close)
}

// someEngines picks a part of the engines, one at least.
func (in *injector) someEngines(random *rand.Rand, most float64) []*standin.Engine {
	all := in.world.Engines()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := 1 + random.IntN(max(int(most*float64(len(all))), 1))
	return all[:min(n, len(all))]
}

// afflict has engines behave in some way until the function that it returns is called. What several faults ask of one
// engine is added.
func (in *injector) afflict(engines []*standin.Engine, b standin.Behaviour) (release func()) {
	for _, e := range engines {
		in.mu.Lock()
		in.sick[e.ID()] = append(in.sick[e.ID()], &b)
		e.Behave(sum(in.sick[e.ID()]))
		in.mu.Unlock()
	}
	return func() {
		for _, e := range engines {
			in.mu.Lock()
			in.sick[e.ID()] = slices.DeleteFunc(in.sick[e.ID()], func(of *standin.Behaviour) bool { return of == &b })
			e.Behave(sum(in.sick[e.ID()]))
			in.mu.Unlock()
		}
	}
}

// sum adds up behaviours.
func sum(all []*standin.Behaviour) (out standin.Behaviour) {
	for _, b := range all {
		out.Hang = out.Hang || b.Hang
		out.TurnAway = max(out.TurnAway, b.TurnAway)
		out.Fail = max(out.Fail, b.Fail)
		out.ResetAtStart = max(out.ResetAtStart, b.ResetAtStart)
		out.ResetInStream = max(out.ResetInStream, b.ResetInStream)
		out.SpoilAtStart = max(out.SpoilAtStart, b.SpoilAtStart)
		out.SpoilInStream = max(out.SpoilInStream, b.SpoilInStream)
		out.Endless = max(out.Endless, b.Endless)
		out.SecondAnswer = max(out.SecondAnswer, b.SecondAnswer)
		out.Interim = max(out.Interim, b.Interim)
		out.CloseIdle = max(out.CloseIdle, b.CloseIdle)
		out.Slowness = max(out.Slowness, b.Slowness)
	}
	return out
}

func (in *injector) hang(random *rand.Rand) {
	release := in.afflict(in.someEngines(random, 0.5), standin.Behaviour{Hang: true})
	time.Sleep(between(random, millis(300), millis(4000)))
	release()
}

// sicken has a few engines fail in random ways.
func (in *injector) sicken(random *rand.Rand) {
	share := func() float64 {
		if random.IntN(3) > 0 {
			return 0
		}
		return 0.5 * random.Float64()
	}
	release := in.afflict(in.someEngines(random, 0.3), standin.Behaviour{TurnAway: share(), Fail: share(), ResetAtStart: share(),
		ResetInStream: share(), SpoilAtStart: share(), SpoilInStream: share(), Endless: share() / 2, SecondAnswer: share(),
		Interim: share(), CloseIdle: 2 * share(), Slowness: 1 + 4*share()})
	time.Sleep(between(random, millis(500), millis(5000)))
	release()
}

// somePaths picks proxies between some routers and some engines.
func (in *injector) somePaths(random *rand.Rand, routers, engines float64) []*standin.Proxy {
	var out []*standin.Proxy
	chosen := in.someEngines(random, engines)
	for i := range in.world.Routers {
		if random.Float64() >= routers {
			continue
		}
		for _, e := range chosen {
			if p := in.world.Proxy(i, e.ID()); p != nil {
				out = append(out, p)
			}
		}
	}
	return out
}

func (in *injector) cut(random *rand.Rand) {
	for _, p := range in.somePaths(random, random.Float64(), 0.6) {
		p.Reset()
	}
}

func (in *injector) silence(random *rand.Rand) {
	in.beSilent(in.somePaths(random, 0.2+0.8*random.Float64(), 0.4), between(random, millis(300), millis(4000)))
}

// silentRole has most engines of a role fall silent together.
func (in *injector) silentRole(random *rand.Rand) {
	writers := random.IntN(2) == 0
	var paths []*standin.Proxy
	for _, e := range in.world.Engines() {
		if e.Writer() != writers || random.IntN(5) == 0 {
			continue
		}
		for i := range in.world.Routers {
			if p := in.world.Proxy(i, e.ID()); p != nil {
				paths = append(paths, p)
			}
		}
	}
	in.beSilent(paths, between(random, millis(500), millis(1500)))
}

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

func (in *injector) beSilent(paths []*standin.Proxy, d time.Duration) {
	in.hold(in.silent, paths, d, (*standin.Proxy).Silence, (*standin.Proxy).Resume)
}

func (in *injector) slowDials(random *rand.Rand) {
	late := between(random, millis(20), millis(200))
	in.hold(in.slow, in.somePaths(random, 1, 0.5), between(random, millis(1000), millis(4000)),
		func(p *standin.Proxy) error { p.SlowStart(late); return nil },
		func(p *standin.Proxy) error { p.SlowStart(0); return nil })
}

func (in *injector) stalledDials(random *rand.Rand) {
	in.hold(in.stalled, in.somePaths(random, 0.5, 0.4), between(random, millis(300), millis(3000)),
		(*standin.Proxy).StallDials, (*standin.Proxy).LetDials)
}

// retire picks an engine that may go, and holds the others; nil if its role would run short.
func (in *injector) retire(random *rand.Rand) *standin.Engine {
	const leastOfRole = 3
	all := in.world.Engines()
	e := all[random.IntN(len(all))]
	if in.world.Ready(e.Writer()) <= leastOfRole || !in.world.Claim(e.ID()) {
		return nil
	}
	return e
}

// replace starts a new engine in the place of one that has gone.
func (in *injector) replace(writer bool) {
	if _, err := in.world.AddEngine(writer, time.Now().UnixMilli()); err == nil {
		in.count("engines started cold", 1)
	}
}

func (in *injector) die(random *rand.Rand) {
	e := in.retire(random)
	if e == nil {
		in.count("engine dies, skipped", 1)
		return
	}
	e.Kill()
	time.Sleep(between(random, millis(300), millis(3000)))
	in.world.TakeOff(e.ID())
	time.Sleep(between(random, millis(200), millis(1000)))
	in.world.RemoveEngine(e.ID())
	in.replace(e.Writer())
}

func (in *injector) drain(random *rand.Rand) {
	e := in.retire(random)
	if e == nil {
		in.count("engine drains, skipped", 1)
		return
	}
	in.drainEngine(e, random)
}

func (in *injector) drainEngine(e *standin.Engine, random *rand.Rand) {
	in.world.BeginDrain(e.ID())
	time.Sleep(between(random, millis(2500), millis(6000)))
	in.world.TakeOff(e.ID())
	time.Sleep(millis(500))
	in.world.RemoveEngine(e.ID())
	in.replace(e.Writer())
}

// discoveryDown has all agents silent for a while. Engines begin to drain in that time and right after it.
func (in *injector) discoveryDown(random *rand.Rand) {
	in.world.Directory.Down()
	var beside sync.WaitGroup
	defer beside.Wait()
	drain := func() {
		if e := in.retire(random); e != nil {
			in.count("drains around an outage of discovery", 1)
			own := rand.New(rand.NewPCG(random.Uint64(), 4))
			beside.Go(func() { in.drainEngine(e, own) })
		}
	}
	down := between(random, millis(500), millis(5000))
	time.Sleep(down / 2)
	drain()
	time.Sleep(down / 2)
	in.world.Directory.Up()
	time.Sleep(between(random, 0, millis(600)))
	drain()
}

// silentWatches has open watches fall silent, and an engine drain right after.
func (in *injector) silentWatches(random *rand.Rand) {
	for _, r := range in.world.Routers {
		if random.IntN(4) > 0 {
			r.CurrentAgent().SilenceWatches()
		}
	}
	time.Sleep(between(random, 0, millis(800)))
	in.drain(random)
}

func (in *injector) resetWatches(random *rand.Rand) {
	for _, r := range in.world.Routers {
		if random.IntN(4) > 0 {
			r.CurrentAgent().ResetWatches()
		}
	}
	time.Sleep(between(random, 0, millis(300)))
	in.drain(random)
}

func (in *injector) badClients(random *rand.Rand) {
	n := 5 + random.IntN(30)
	in.count("bad clients sent", n)
	for range n {
		if r := in.front.pick(random); r != nil {
			in.traffic.spawn(func(random *rand.Rand) { in.traffic.misbehave(r, random) })
		}
	}
}

func (in *injector) crowd(random *rand.Rand) {
	if r := in.front.pick(random); r != nil {
		in.count("idle connections opened", in.traffic.crowd(r, 50+random.IntN(250), between(random, millis(500), millis(4000))))
	}
}

func (in *injector) burst(random *rand.Rand) {
	n := 20 + random.IntN(100)
	in.count("requests in bursts", n)
	for range n {
		in.traffic.spawn(func(random *rand.Rand) { in.traffic.visit(random) })
	}
}
