package soak

// Faults of many engines at once. They are injected only if there are many engines, and one at a time.

import (
	"math/rand/v2"
	"time"

	standin "mintdoor/internal/standin/chat"
)

const (
	// minEnginesForLargeFault is the minimum number of engines for these faults.
	minEnginesForLargeFault = 100
	// rolloutSteps is the number of steps in which engines are replaced.
	rolloutSteps = 8
)

// beginLarge reports whether a fault of many engines may begin, and marks it as begun.
func (in *injector) beginLarge() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.largeFault || len(in.testbed.Engines()) < minEnginesForLargeFault {
		return false
	}
	in.largeFault = true
	return true
}

// endLarge marks the end of a fault of many engines.
func (in *injector) endLarge() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.largeFault = false
}

// rollingReplacement replaces up to half of the engines in steps, as the release of a new version does: each drains,
// and a cold one replaces it.
func (in *injector) rollingReplacement(random *rand.Rand) {
	if !in.beginLarge() {
		in.count("release, skipped", 1)
		return
	}
	defer in.endLarge()
	leaving := in.claimEngines(in.pickEngines(random, 0.5))
	in.count("engines replaced in releases", len(leaving))
	size := (len(leaving) + rolloutSteps - 1) / rolloutSteps
	for len(leaving) > 0 {
		step := leaving[:min(size, len(leaving))]
		leaving = leaving[len(step):]
		in.testbed.DrainEngines(engineIDs(step)...)
		in.startReplacements(step)
		time.Sleep(randomDuration(random, millis(100), millis(800)))
		time.AfterFunc(randomDuration(random, millis(2500), millis(4000)), func() { in.removeEngines(step) })
	}
	time.Sleep(millis(5000))
}

// loseGroups drops the traffic of all engines of some networks, as in the loss of a zone. The list reports it with a
// delay, and cold engines replace the lost ones after a further delay.
func (in *injector) loseGroups(random *rand.Rand) {
	if !in.beginLarge() {
		in.count("engines vanish, skipped", 1)
		return
	}
	defer in.endLarge()
	lost := map[*engineGroup]bool{}
	var proxies []*standin.Proxy
	for _, g := range in.pickGroups(random, 0.4) {
		lost[g] = true
		proxies = append(proxies, g.proxies...)
	}
	var engines []*standin.Engine
	for _, e := range in.testbed.Engines() {
		if lost[in.testbed.groupOfEngine(e.ID())] {
			engines = append(engines, e)
		}
	}
	unlisted := make(chan struct{})
	unlistDelay := randomDuration(random, millis(1000), millis(4000))
	go func() {
		defer close(unlisted)
		time.Sleep(unlistDelay)
		engines = in.claimEngines(engines)
		in.removeEngines(engines)
	}()
	in.dropTrafficFor(proxies, unlistDelay+randomDuration(random, millis(500), millis(2500)))
	<-unlisted
	in.count("engines vanished", len(engines))
	in.startReplacements(engines)
}

// claimEngines claims engines that are to be removed, as long as enough of their role are left.
func (in *injector) claimEngines(engines []*standin.Engine) (claimed []*standin.Engine) {
	for _, e := range engines {
		if in.testbed.ReadyEngines(e.Writer()) > minEnginesPerRole && in.testbed.ClaimForRemoval(e.ID()) {
			claimed = append(claimed, e)
		}
	}
	return claimed
}

// removeEngines takes engines off the list and stops them.
func (in *injector) removeEngines(engines []*standin.Engine) {
	in.testbed.UnlistEngines(engineIDs(engines)...)
	for _, e := range engines {
		in.testbed.RemoveEngine(e.ID())
	}
}

// startReplacements starts a cold engine for each of the given ones, and lists those of each role in one change.
func (in *injector) startReplacements(engines []*standin.Engine) {
	now := time.Now().UnixMilli()
	for _, writers := range []bool{false, true} {
		n := 0
		for _, e := range engines {
			if e.Writer() == writers {
				n++
			}
		}
		if n > 0 && in.testbed.AddEngines(n, writers, now) == nil {
			in.count("engines started cold", n)
		}
	}
}

// engineIDs returns the ids of engines.
func engineIDs(engines []*standin.Engine) (out []string) {
	for _, e := range engines {
		out = append(out, e.ID())
	}
	return out
}
