package soak

// Faults of discovery.

import (
	"math/rand/v2"
	"sync"
	"time"
)

// discoveryDown has all agents silent for a while. Engines begin to drain in that time and right after it.
func (in *injector) discoveryDown(random *rand.Rand) {
	in.world.Directory.BeginOutage()
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
	in.world.Directory.EndOutage()
	time.Sleep(between(random, 0, millis(600)))
	drain()
}

// silentWatches has open watches fall silent, and an engine drain right after.
func (in *injector) silentWatches(random *rand.Rand) {
	for _, r := range in.world.Routers {
		if random.IntN(4) > 0 {
			r.CurrentAgent().HangWatches()
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
