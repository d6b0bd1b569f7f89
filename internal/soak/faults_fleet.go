package soak

// Faults of many engines at once. They strike where engines are many, one at a time.

import (
	"math/rand/v2"
	"time"

	standin "mintdoor/internal/standin/chat"
)

const (
	// manyEngines is from how many engines on faults of many strike.
	manyEngines = 100
	// releaseSteps is in how many steps engines are replaced.
	releaseSteps = 8
)

// beginLarge tells whether a fault of many engines may begin.
func (in *injector) beginLarge() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.large || len(in.world.Engines()) < manyEngines {
		return false
	}
	in.large = true
	return true
}

func (in *injector) endLarge() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.large = false
}

// release replaces up to half of the engines, in steps: each drains, and a cold one comes for it.
func (in *injector) release(random *rand.Rand) {
	if !in.beginLarge() {
		in.count("release, skipped", 1)
		return
	}
	defer in.endLarge()
	leaving := in.claimSome(in.someEngines(random, 0.5))
	in.count("engines replaced in releases", len(leaving))
	size := (len(leaving) + releaseSteps - 1) / releaseSteps
	for len(leaving) > 0 {
		step := leaving[:min(size, len(leaving))]
		leaving = leaving[len(step):]
		in.world.DrainEngines(ids(step)...)
		in.replaceAll(step)
		time.Sleep(between(random, millis(100), millis(800)))
		time.AfterFunc(between(random, millis(2500), millis(4000)), func() { in.takeAway(step) })
	}
	time.Sleep(millis(5000))
}

// vanish has all engines of some networks fall silent, as in a zone that is lost. The list tells it later, and later yet cold
// ones come for them.
func (in *injector) vanish(random *rand.Rand) {
	if !in.beginLarge() {
		in.count("engines vanish, skipped", 1)
		return
	}
	defer in.endLarge()
	lost := map[*group]bool{}
	var paths []*standin.Proxy
	for _, g := range in.someGroups(random, 0.4) {
		lost[g] = true
		paths = append(paths, g.proxies...)
	}
	var engines []*standin.Engine
	for _, e := range in.world.Engines() {
		if lost[in.world.groupOfEngine(e.ID())] {
			engines = append(engines, e)
		}
	}
	told := make(chan struct{})
	listedAfter := between(random, millis(1000), millis(4000))
	go func() {
		defer close(told)
		time.Sleep(listedAfter)
		engines = in.claimSome(engines)
		in.takeAway(engines)
	}()
	in.beSilent(paths, listedAfter+between(random, millis(500), millis(2500)))
	<-told
	in.count("engines vanished", len(engines))
	in.replaceAll(engines)
}

// claimSome claims engines that are to go, as long as enough of their role stay.
func (in *injector) claimSome(engines []*standin.Engine) (claimed []*standin.Engine) {
	for _, e := range engines {
		if in.world.ReadyEngines(e.Writer()) > leastOfRole && in.world.ClaimForRemoval(e.ID()) {
			claimed = append(claimed, e)
		}
	}
	return claimed
}

// takeAway takes engines off the list and ends them.
func (in *injector) takeAway(engines []*standin.Engine) {
	in.world.UnlistEngines(ids(engines)...)
	for _, e := range engines {
		in.world.RemoveEngine(e.ID())
	}
}

// replaceAll starts a cold engine for each of some, and lists them in one change.
func (in *injector) replaceAll(engines []*standin.Engine) {
	now := time.Now().UnixMilli()
	for _, writers := range []bool{false, true} {
		n := 0
		for _, e := range engines {
			if e.Writer() == writers {
				n++
			}
		}
		if n > 0 && in.world.AddEngines(n, writers, now) == nil {
			in.count("engines started cold", n)
		}
	}
}

func ids(engines []*standin.Engine) (out []string) {
	for _, e := range engines {
		out = append(out, e.ID())
	}
	return out
}
