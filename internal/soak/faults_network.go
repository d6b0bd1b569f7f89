package soak

// Faults between routers and engines.

import (
	"math/rand/v2"
	"time"

	standin "mintdoor/internal/standin/chat"
)

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
