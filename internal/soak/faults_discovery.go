package soak

// Discovery faults.

import (
	"math/rand/v2"
	"sync"
	"time"
)

// discoveryDown makes all agents unresponsive for a while. Engines begin to drain during that time and right after
// it.
func (in *injector) discoveryDown(random *rand.Rand) {
	in.testbed.Directory.BeginOutage()
	var drains sync.WaitGroup
	defer drains.Wait()
	drain := func() {
		if e := in.claimEngine(random); e != nil {
			in.count("drains around an outage of discovery", 1)
			drainRandom := rand.New(rand.NewPCG(random.Uint64(), 4))
			drains.Go(func() { in.drainEngine(e, drainRandom) })
		}
	}
	outage := randomDuration(random, millis(500), millis(5000))
	time.Sleep(outage / 2)
	drain()
	time.Sleep(outage / 2)
	in.testbed.Directory.EndOutage()
	time.Sleep(randomDuration(random, 0, millis(600)))
	drain()
}

// hangWatches makes open watches hang, and drains an engine right after.
func (in *injector) hangWatches(random *rand.Rand) {
	for _, r := range in.testbed.Routers {
		if random.IntN(4) > 0 {
			r.CurrentAgent().HangWatches()
		}
	}
	time.Sleep(randomDuration(random, 0, millis(800)))
	in.drainOne(random)
}

// resetWatches resets the connections to agents, and drains an engine right after.
func (in *injector) resetWatches(random *rand.Rand) {
	for _, r := range in.testbed.Routers {
		if random.IntN(4) > 0 {
			r.CurrentAgent().ResetWatches()
		}
	}
	time.Sleep(randomDuration(random, 0, millis(300)))
	in.drainOne(random)
}
