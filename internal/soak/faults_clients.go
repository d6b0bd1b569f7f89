package soak

// Faults of clients.

import (
	"math/rand/v2"
)

func (in *injector) badClients(random *rand.Rand) {
	n := 5 + random.IntN(30)
	in.count("bad clients sent", n)
	for range n {
		if r := in.front.pick(random); r != nil {
			in.traffic.spawn(func(random *rand.Rand) { in.traffic.misbehave(r, random) })
		}
	}
}

func (in *injector) crowd(random *rand.Rand) {
	if r := in.front.pick(random); r != nil {
		in.count("idle connections opened", in.traffic.crowd(r, 50+random.IntN(250), between(random, millis(500), millis(4000))))
	}
}

func (in *injector) burst(random *rand.Rand) {
	n := 20 + random.IntN(100)
	in.count("requests in bursts", n)
	for range n {
		in.traffic.spawn(func(random *rand.Rand) { in.traffic.visit(random) })
	}
}
