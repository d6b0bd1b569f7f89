package soak

// Process faults: signals to routers.

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// claimRouter picks a router whose process no other fault stops or starts, and claims it until releaseRouter. It
// returns nil if half of the routers are claimed.
func (in *injector) claimRouter(random *rand.Rand) *Router {
	in.mu.Lock()
	defer in.mu.Unlock()
	routers := in.testbed.Routers
	if 2*len(in.busyRouters) >= len(routers) {
		return nil // the others have to serve
	}
	for _, i := range random.Perm(len(routers)) {
		if !in.busyRouters[i] {
			in.busyRouters[i] = true
			return routers[i]
		}
	}
	return nil
}

// releaseRouter ends the claim of a router.
func (in *injector) releaseRouter(r *Router) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.busyRouters, r.Index)
}

// anyRouter returns a random router.
func (in *injector) anyRouter(random *rand.Rand) *Router {
	return in.testbed.Routers[random.IntN(len(in.testbed.Routers))]
}

// restart starts a router's process again, and marks the router as up when it is ready.
func (in *injector) restart(r *Router) {
	err := r.Start()
	if err == nil {
		err = r.AwaitReady(in.readyTimeout)
	}
	if err != nil {
		in.mu.Lock()
		in.routerFailures = append(in.routerFailures, err.Error())
		in.mu.Unlock()
		return
	}
	in.picker.setUp(r.Index, true)
}

// terminateRouter sends SIGTERM to a router while clients continue to send, and kills it if it has not ended after
// killDelay.
func (in *injector) terminateRouter(random *rand.Rand) {
	r := in.claimRouter(random)
	if r == nil {
		in.count("SIGTERM, skipped", 1)
		return
	}
	defer in.releaseRouter(r)
	in.terminate(r, random)
}

// terminate does the same to a claimed router.
func (in *injector) terminate(r *Router, random *rand.Rand) {
	var background sync.WaitGroup
	defer background.Wait()
	killed := make(chan struct{})
	if random.IntN(2) == 0 {
		in.count("engines hang through a shutdown", 1)
		revert := in.applyBehaviour(in.pickEngines(random, 0.5), standin.Behaviour{Hang: true})
		background.Go(func() {
			<-killed
			revert()
		})
	}
	pauseTime := time.Duration(0)
	if random.IntN(3) == 0 {
		in.count("SIGTERM taken late", 1)
		pauseTime = randomDuration(random, millis(20), millis(150))
	}
	in.traffic.sendAroundShutdown(r, random, func() {
		if pauseTime > 0 {
			r.Signal(syscall.SIGSTOP)
		}
		r.Signal(syscall.SIGTERM)
	})
	terminated := time.Now()
	time.Sleep(pauseTime)
	r.Signal(syscall.SIGCONT)
	shutdownRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
	background.Go(func() { in.injectDuringShutdown(r, shutdownRandom) })
	time.Sleep(randomDuration(random, millis(200), millis(400)))
	in.picker.setUp(r.Index, false)
	select {
	case <-r.Ended():
		in.count("ended before the kill", 1)
	case <-time.After(time.Until(terminated.Add(in.killDelay))):
		in.count("killed after SIGTERM", 1)
		r.Signal(syscall.SIGKILL)
		r.Wait()
	}
	close(killed)
	time.Sleep(randomDuration(random, millis(50), millis(400)))
	in.restart(r)
}

// injectDuringShutdown pauses a router, changes its configuration and repeats SIGTERM while it shuts down.
func (in *injector) injectDuringShutdown(r *Router, random *rand.Rand) {
	for range random.IntN(4) {
		time.Sleep(randomDuration(random, 0, millis(900)))
		switch random.IntN(3) {
		case 0:
			in.count("held up in a shutdown", 1)
			in.pauseRouter(r, randomDuration(random, millis(20), millis(150)))
		case 1:
			in.count("SIGHUP in a shutdown", 1)
			in.changeAgent(r, func(*standin.Agent) {})
		default:
			in.count("SIGTERM in a shutdown", 1)
			r.terminateAgain()
		}
	}
}

// killRouter kills a router at once.
func (in *injector) killRouter(random *rand.Rand) {
	r := in.claimRouter(random)
	if r == nil {
		in.count("SIGKILL, skipped", 1)
		return
	}
	defer in.releaseRouter(r)
	r.Signal(syscall.SIGKILL)
	r.Wait()
	time.Sleep(randomDuration(random, millis(100), millis(1500)))
	in.picker.setUp(r.Index, false)
	time.Sleep(randomDuration(random, millis(50), millis(500)))
	in.restart(r)
}

// pauseRouter pauses a router's process for a duration.
func (in *injector) pauseRouter(r *Router, d time.Duration) {
	r.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	r.Signal(syscall.SIGCONT)
}

// pauseBriefly pauses routers for times that are within the limit that the rules allow.
func (in *injector) pauseBriefly(random *rand.Rand) {
	for range 1 + random.IntN(5) {
		in.pauseRouter(in.anyRouter(random), randomDuration(random, millis(10), millis(150)))
		time.Sleep(randomDuration(random, 0, millis(500)))
	}
}

// pauseLong pauses a router for longer than the rules allow. Delays for that reason are excused, wrong results are
// not.
func (in *injector) pauseLong(random *rand.Rand) {
	in.pauseRouter(in.anyRouter(random), randomDuration(random, millis(300), millis(1500)))
}

// changeAgents gives a router new configurations, sometimes several in quick succession, or one with an agent that is
// behind the one before.
func (in *injector) changeAgents(random *rand.Rand) {
	r := in.anyRouter(random)
	if in.beginCallLoss() { // an agent that is behind is not overloaded as well: changes would be reported too late
		defer in.endCallLoss()
		if random.IntN(2) == 0 {
			in.changeToAgentBehind(r, random)
			return
		}
	}
	for range 1 + random.IntN(3) {
		in.changeAgent(r, func(*standin.Agent) {})
		time.Sleep(randomDuration(random, 0, millis(120)))
	}
}

// maxMoveLag is how long after a new configuration an agent may be behind the one before. Everything counts as reported
// 4 s after SIGHUP, which a busy machine may deliver late.
const maxMoveLag = 3800 * time.Millisecond

// changeToAgentBehind drains an engine, and then configures a router with an agent that does not know of the drain, nor of
// what happened just before it.
func (in *injector) changeToAgentBehind(r *Router, random *rand.Rand) {
	before := max(in.testbed.Directory.Revision()-int64(random.IntN(4)), in.firstRevision)
	length := randomDuration(random, millis(500), maxMoveLag)
	if e := in.claimEngine(random); e != nil {
		in.count("drains before an agent is behind", 1)
		var drain sync.WaitGroup
		defer drain.Wait()
		drainLength := length + randomDuration(random, millis(1000), millis(3000))
		drain.Go(func() { in.drainEngineFor(e, drainLength) })
	}
	time.Sleep(randomDuration(random, millis(50), millis(1500)))
	in.log.Info("agent is behind", "router", r.Index, "revision", before, "for", length)
	in.count("agents behind", 1)
	in.changeAgent(r, func(a *standin.Agent) { a.StayBehind(before, length) })
	time.Sleep(length)
}

// oldAgentLifetime is how long an agent continues its open calls after the router was configured with another one.
const oldAgentLifetime = 1500 * time.Millisecond

// minReadyBeforeSIGHUP is how long a process must have been ready before it gets SIGHUP.
const minReadyBeforeSIGHUP = time.Second

// changeAgent configures a router with a new agent, after prepare was called with it. The old agent accepts no new
// connections, and ends a while later.
func (in *injector) changeAgent(r *Router, prepare func(*standin.Agent)) {
	if !r.readyFor(minReadyBeforeSIGHUP) {
		return
	}
	a, err := in.testbed.NewAgent(r.Index)
	if err != nil {
		return
	}
	old := r.CurrentAgent()
	if o := old.Overload(); o != (standin.Overload{}) {
		a.SetOverload(o)
	}
	prepare(a)
	if r.UseAgent(a) != nil {
		return
	}
	old.StopAccepting()
	time.AfterFunc(oldAgentLifetime, old.Close)
}
