package soak

// Network faults between routers and engines.

import (
	"math/rand/v2"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// pickGroups picks a random subset of the networks: at least one, and at most a fraction.
func (in *injector) pickGroups(random *rand.Rand, maxFraction float64) []*engineGroup {
	all := append([]*engineGroup(nil), in.testbed.groups...)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := 1 + random.IntN(max(int(maxFraction*float64(len(all))), 1))
	return all[:min(n, len(all))]
}

// pickProxies picks the proxies between random routers, each with a probability, and a random subset of the networks.
func (in *injector) pickProxies(random *rand.Rand, routerOdds, maxGroupFraction float64) []*standin.Proxy {
	var out []*standin.Proxy
	chosen := in.pickGroups(random, maxGroupFraction)
	for i := range in.testbed.Routers {
		if random.Float64() >= routerOdds {
			continue
		}
		for _, g := range chosen {
			out = append(out, g.proxies[i])
		}
	}
	return out
}

// resetConnections resets all connections of some proxies.
func (in *injector) resetConnections(random *rand.Rand) {
	for _, p := range in.pickProxies(random, random.Float64(), 0.6) {
		p.ResetConnections()
	}
}

// dropTraffic drops the traffic of some proxies for a while.
func (in *injector) dropTraffic(random *rand.Rand) {
	in.dropTrafficFor(in.pickProxies(random, 0.2+0.8*random.Float64(), 0.4), randomDuration(random, millis(300), millis(4000)))
}

// blackholeConnections drops all data of open connections for good, without any error. New connections are not
// affected.
func (in *injector) blackholeConnections(random *rand.Rand) {
	for _, p := range in.pickProxies(random, 0.2+0.8*random.Float64(), 0.5) {
		p.BlackholeConnections()
	}
}

// dropTrafficOfRole drops the traffic of most engines of a role at the same time.
func (in *injector) dropTrafficOfRole(random *rand.Rand) {
	writers := random.IntN(2) == 0
	var proxies []*standin.Proxy
	for _, g := range in.testbed.groups {
		if g.writers == writers && random.IntN(5) > 0 {
			proxies = append(proxies, g.proxies...)
		}
	}
	in.dropTrafficFor(proxies, randomDuration(random, millis(500), millis(1500)))
}

// dropTrafficFor drops the traffic of proxies for a duration.
func (in *injector) dropTrafficFor(proxies []*standin.Proxy, d time.Duration) {
	in.applyFor(in.dropping, proxies, d, (*standin.Proxy).DropTraffic, (*standin.Proxy).RestoreTraffic)
}

// delayNewConnections delays the data of new connections for a while.
func (in *injector) delayNewConnections(random *rand.Rand) {
	delay := randomDuration(random, millis(20), millis(200))
	in.applyFor(in.delaying, in.pickProxies(random, 1, 0.5), randomDuration(random, millis(1000), millis(4000)),
		func(p *standin.Proxy) error { p.DelayNewConnections(delay); return nil },
		func(p *standin.Proxy) error { p.DelayNewConnections(0); return nil })
}

// stallDials keeps dials from completing for a while.
func (in *injector) stallDials(random *rand.Rand) {
	in.applyFor(in.stallingDials, in.pickProxies(random, 0.5, 0.4), randomDuration(random, millis(300), millis(3000)),
		(*standin.Proxy).StallDials, (*standin.Proxy).ResumeDials)
}
