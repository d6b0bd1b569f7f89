package soak

// Client faults.

import (
	"math/rand/v2"
)

// badClients adds clients that send invalid requests.
func (in *injector) badClients(random *rand.Rand) {
	n := 5 + random.IntN(30)
	in.count("bad clients sent", n)
	for range n {
		if r := in.picker.pick(random); r != nil {
			in.traffic.spawn(func(random *rand.Rand) { in.traffic.runBadClient(r, random) })
		}
	}
}

// idleConnections opens many idle connections to one router.
func (in *injector) idleConnections(random *rand.Rand) {
	if r := in.picker.pick(random); r != nil {
		in.count("idle connections opened", in.traffic.openIdleConns(r, 50+random.IntN(250),
			randomDuration(random, millis(500), millis(4000))))
	}
}

// burst adds a surge of requests.
func (in *injector) burst(random *rand.Rand) {
	n := 20 + random.IntN(100)
	in.count("requests in bursts", n)
	for range n {
		in.traffic.spawn(func(random *rand.Rand) { in.traffic.runClient(random) })
	}
}
