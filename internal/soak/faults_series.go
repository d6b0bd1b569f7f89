package soak

// Faults that come in series. They are drawn apart from the others, so that seeds draw the same of those.

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// seriesFaults are the kinds of faults that are drawn apart.
var seriesFaults = []fault{
	{"SIGTERM in series", 4, (*injector).terminateInSeries},
	{"signals in series", 6, (*injector).signalInSeries},
	{"streams spoilt", 8, (*injector).spoilStreams},
	{"flood", 5, (*injector).floodRouter},
}

// seriesIntervals is how many times longer the mean time between two of these faults is.
const seriesIntervals = 5

// terminateInSeries tells one router after another to end, the next one before the one before has ended.
func (in *injector) terminateInSeries(random *rand.Rand) {
	var work sync.WaitGroup
	defer work.Wait()
	for range 2 + random.IntN(3) {
		own := rand.New(rand.NewPCG(random.Uint64(), 5))
		work.Go(func() { in.terminateRouter(own) })
		time.Sleep(randomDuration(random, 0, millis(900)))
	}
}

// signalInSeries sends a router several signals in quick succession, and then half of the times SIGTERM.
func (in *injector) signalInSeries(random *rand.Rand) {
	r := in.claimRouter(random)
	if r == nil {
		in.count("signals in series, skipped", 1)
		return
	}
	defer in.releaseRouter(r)
	for range 3 + random.IntN(6) {
		switch random.IntN(4) {
		case 0:
			in.changeAgent(r, func(*standin.Agent) {})
		case 1:
			in.pauseRouter(r, randomDuration(random, millis(1), millis(100)))
		default:
			if r.readyFor(minReadyBeforeSIGHUP) {
				r.Signal(syscall.SIGHUP) // the configuration is as it was
			}
		}
		time.Sleep(randomDuration(random, 0, millis(30)))
	}
	if random.IntN(2) == 0 {
		in.count("signals in series, then SIGTERM", 1)
		in.terminate(r, random)
	}
}

// spoilStreams makes up to 40% of the engines spoil a third of their streams.
func (in *injector) spoilStreams(random *rand.Rand) {
	revert := in.applyBehaviour(in.pickEngines(random, 0.4), standin.Behaviour{MalformedStream: 0.3})
	time.Sleep(randomDuration(random, millis(1000), millis(4000)))
	revert()
}

// floodRouter adds a client that sends small requests at full speed on one connection.
func (in *injector) floodRouter(random *rand.Rand) {
	r := in.picker.pick(random)
	if r == nil {
		return
	}
	length := randomDuration(random, millis(300), millis(2000))
	in.traffic.spawn(func(random *rand.Rand) { in.traffic.flood(r, length, random) })
	time.Sleep(length)
}
