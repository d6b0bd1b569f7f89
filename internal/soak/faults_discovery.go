package soak

// Discovery faults.

import (
	"math/rand/v2"
	"sync"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// discoveryDown makes all agents unresponsive for a while. Engines begin to drain during that time and right after
// it.
func (in *injector) discoveryDown(random *rand.Rand) {
	if !in.beginCallLoss() {
		in.count("discovery down, skipped", 1)
		return
	}
	in.testbed.Directory.BeginOutage()
	in.log.Info("outage of discovery begins")
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
	in.log.Info("outage of discovery has ended")
	in.endCallLoss()
	time.Sleep(randomDuration(random, 0, millis(600)))
	drain()
}

// hangWatches makes open watches hang, and drains an engine right after.
func (in *injector) hangWatches(random *rand.Rand) {
	if !in.beginCallLoss() {
		in.count("watches silent, skipped", 1)
		return
	}
	for _, r := range in.testbed.Routers {
		if random.IntN(4) > 0 {
			r.CurrentAgent().HangWatches()
		}
	}
	in.endCallLoss()
	time.Sleep(randomDuration(random, 0, millis(800)))
	in.drainOne(random)
}

// resetWatches resets the connections to agents, and drains an engine right after.
func (in *injector) resetWatches(random *rand.Rand) {
	if !in.beginCallLoss() {
		in.count("watches reset, skipped", 1)
		return
	}
	for _, r := range in.testbed.Routers {
		if random.IntN(4) > 0 {
			r.CurrentAgent().ResetWatches()
		}
	}
	in.endCallLoss()
	time.Sleep(randomDuration(random, 0, millis(300)))
	in.drainOne(random)
}

// beginCallLoss announces a fault that makes agents lose calls, until endCallLoss. It returns false during an overload:
// an overloaded agent that has lost calls may take longer for a change than a drain may take to be reported.
func (in *injector) beginCallLoss() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.overloaded {
		return false
	}
	in.callLosses++
	return true
}

// endCallLoss ends what beginCallLoss has begun.
func (in *injector) endCallLoss() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.callLosses--
}

// beginOverload announces an overload of agents, until endOverload. It returns false during a fault that makes agents
// lose calls, and during another overload.
func (in *injector) beginOverload() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.overloaded || in.callLosses > 0 {
		return false
	}
	in.overloaded = true
	return true
}

// endOverload ends what beginOverload has begun.
func (in *injector) endOverload() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.overloaded = false
}

// Delays of overloaded agents. They let a change be reported within maxReportDelay: to an agent that admits few calls,
// two calls in sequence have to get a response, and to one that ignores the others, after these were given up.
const (
	maxAgentDelay         = 4 * time.Second
	maxCrowdedAgentDelay  = 2500 * time.Millisecond
	maxIgnoringAgentDelay = 800 * time.Millisecond
)

// randomOverload draws how an agent is overloaded.
func randomOverload(random *rand.Rand) standin.Overload {
	if random.IntN(2) == 0 {
		return standin.Overload{Delay: randomDuration(random, millis(100), maxAgentDelay)}
	}
	kinds := standin.ExcessKinds()
	o := standin.Overload{MaxCalls: 1 + random.IntN(3), Excess: kinds[random.IntN(len(kinds))]}
	longest := maxCrowdedAgentDelay
	if o.Excess == standin.IgnoreExcess {
		longest = maxIgnoringAgentDelay
	}
	o.Delay = randomDuration(random, millis(100), longest)
	return o
}

// overloadAgents makes the agents of some routers slow or crowded for a while, which may be longer than a drain may take
// to be reported. Engines begin to drain at the start and a while later, and stay up until the end. Some of the routers
// are restarted meanwhile, with the list that they had, or get new configurations with overloaded agents.
func (in *injector) overloadAgents(random *rand.Rand) {
	if !in.beginOverload() {
		in.count("discovery overloaded, skipped", 1)
		return
	}
	defer in.endOverload()
	overload := randomOverload(random)
	if overload.MaxCalls > 0 {
		in.count("agents crowded", 1)
	} else {
		in.count("agents slow", 1)
	}
	var routers []*Router
	for _, r := range in.testbed.Routers {
		if random.IntN(4) > 0 {
			routers = append(routers, r)
			in.log.Info("agent is overloaded", "router", r.Index)
			r.CurrentAgent().SetOverload(overload)
		}
	}
	length := randomDuration(random, millis(3000), millis(14_000))
	in.log.Info("agents are overloaded", "delay", overload.Delay, "calls", overload.MaxCalls, "excess", overload.Excess, "for", length)
	end := time.Now().Add(length)
	var others sync.WaitGroup
	defer others.Wait()
	for range 2 {
		if e := in.claimEngine(random); e != nil {
			in.count("drains at overloaded agents", 1)
			others.Go(func() { in.drainEngineFor(e, time.Until(end)) })
		}
		time.Sleep(randomDuration(random, 0, millis(1500)))
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 5))
		switch random.IntN(4) {
		case 0:
			others.Go(func() { in.changeAgents(faultRandom) })
		case 1:
			others.Go(func() { in.killRouter(faultRandom) })
		}
	}
	time.Sleep(time.Until(end))
	for _, r := range routers {
		for _, a := range in.testbed.agentsOf(r.Index) {
			a.SetOverload(standin.Overload{})
		}
	}
}
