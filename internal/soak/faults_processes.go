package soak

// Signals to routers.

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	standin "mintdoor/internal/standin/chat"
)

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
	case <-time.After(time.Until(terminated.Add(in.kills))):
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
		switch random.IntN(3) {
		case 0:
			in.count("held up in a shutdown", 1)
			in.pause(r, between(random, millis(20), millis(150)))
		case 1:
			in.count("SIGHUP in a shutdown", 1)
			in.move(r)
		default:
			in.count("SIGTERM in a shutdown", 1)
			r.terminateAgain()
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

// noSignalBefore is how long a process was ready before it gets SIGHUP.
const noSignalBefore = time.Second

// move tells a router of a new agent; the old one takes no new connection, and ends a while later.
func (in *injector) move(r *Router) {
	if !r.readyFor(noSignalBefore) {
		return
	}
	a, err := in.world.NewAgent(r.Index)
	if err != nil {
		return
	}
	old := r.CurrentAgent()
	if r.UseAgent(a) != nil {
		return
	}
	old.StopAccepting()
	time.AfterFunc(oldAgent, old.Close)
}
