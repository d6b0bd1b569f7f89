package soak

// Faults between routers and engines.

import (
	"math/rand/v2"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// someGroups picks a part of the networks, one at least.
func (in *injector) someGroups(random *rand.Rand, most float64) []*group {
	all := append([]*group(nil), in.world.groups...)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := 1 + random.IntN(max(int(most*float64(len(all))), 1))
	return all[:min(n, len(all))]
}

// somePaths picks proxies between some routers and some engines.
func (in *injector) somePaths(random *rand.Rand, routers, engines float64) []*standin.Proxy {
	var out []*standin.Proxy
	chosen := in.someGroups(random, engines)
	for i := range in.world.Routers {
		if random.Float64() >= routers {
			continue
		}
		for _, g := range chosen {
			out = append(out, g.proxies[i])
		}
	}
	return out
}

func (in *injector) cut(random *rand.Rand) {
	for _, p := range in.somePaths(random, random.Float64(), 0.6) {
		p.ResetConnections()
	}
}

func (in *injector) silence(random *rand.Rand) {
	in.beSilent(in.somePaths(random, 0.2+0.8*random.Float64(), 0.4), between(random, millis(300), millis(4000)))
}

// forget makes connections that stand silent for good, with no error; new ones are not concerned.
func (in *injector) forget(random *rand.Rand) {
	for _, p := range in.somePaths(random, 0.2+0.8*random.Float64(), 0.5) {
		p.BlackholeConnections()
	}
}

// silentRole has most engines of a role fall silent together.
func (in *injector) silentRole(random *rand.Rand) {
	writers := random.IntN(2) == 0
	var paths []*standin.Proxy
	for _, g := range in.world.groups {
		if g.writers == writers && random.IntN(5) > 0 {
			paths = append(paths, g.proxies...)
		}
	}
	in.beSilent(paths, between(random, millis(500), millis(1500)))
}

func (in *injector) beSilent(paths []*standin.Proxy, d time.Duration) {
	in.hold(in.silent, paths, d, (*standin.Proxy).DropTraffic, (*standin.Proxy).RestoreTraffic)
}

func (in *injector) slowDials(random *rand.Rand) {
	late := between(random, millis(20), millis(200))
	in.hold(in.slow, in.somePaths(random, 1, 0.5), between(random, millis(1000), millis(4000)),
		func(p *standin.Proxy) error { p.DelayNewConnections(late); return nil },
		func(p *standin.Proxy) error { p.DelayNewConnections(0); return nil })
}

func (in *injector) stalledDials(random *rand.Rand) {
	in.hold(in.stalled, in.somePaths(random, 0.5, 0.4), between(random, millis(300), millis(3000)),
		(*standin.Proxy).StallDials, (*standin.Proxy).ResumeDials)
}
