package soak

// Faults of engines.

import (
	"math/rand/v2"
	"slices"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// someEngines picks a part of the engines, one at least.
func (in *injector) someEngines(random *rand.Rand, most float64) []*standin.Engine {
	all := in.world.Engines()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := 1 + random.IntN(max(int(most*float64(len(all))), 1))
	return all[:min(n, len(all))]
}

// afflict has engines behave in some way until the function that it returns is called. What several faults ask of one
// engine is added.
func (in *injector) afflict(engines []*standin.Engine, b standin.Behaviour) (release func()) {
	for _, e := range engines {
		in.mu.Lock()
		in.sick[e.ID()] = append(in.sick[e.ID()], &b)
		e.SetBehaviour(sum(in.sick[e.ID()]))
		in.mu.Unlock()
	}
	return func() {
		for _, e := range engines {
			in.mu.Lock()
			in.sick[e.ID()] = slices.DeleteFunc(in.sick[e.ID()], func(of *standin.Behaviour) bool { return of == &b })
			e.SetBehaviour(sum(in.sick[e.ID()]))
			in.mu.Unlock()
		}
	}
}

// sum adds up behaviours.
func sum(all []*standin.Behaviour) (out standin.Behaviour) {
	for _, b := range all {
		out.Hang = out.Hang || b.Hang
		out.Refuse = max(out.Refuse, b.Refuse)
		out.Fail = max(out.Fail, b.Fail)
		out.ResetAtStart = max(out.ResetAtStart, b.ResetAtStart)
		out.ResetInStream = max(out.ResetInStream, b.ResetInStream)
		out.MalformedAnswer = max(out.MalformedAnswer, b.MalformedAnswer)
		out.MalformedStream = max(out.MalformedStream, b.MalformedStream)
		out.EndlessHeader = max(out.EndlessHeader, b.EndlessHeader)
		out.DuplicateAnswer = max(out.DuplicateAnswer, b.DuplicateAnswer)
		out.InterimResponse = max(out.InterimResponse, b.InterimResponse)
		out.CloseAfterAnswer = max(out.CloseAfterAnswer, b.CloseAfterAnswer)
		out.Slowdown = max(out.Slowdown, b.Slowdown)
	}
	return out
}

func (in *injector) hang(random *rand.Rand) {
	release := in.afflict(in.someEngines(random, 0.5), standin.Behaviour{Hang: true})
	time.Sleep(between(random, millis(300), millis(4000)))
	release()
}

// sicken has a few engines fail in random ways.
func (in *injector) sicken(random *rand.Rand) {
	share := func() float64 {
		if random.IntN(3) > 0 {
			return 0
		}
		return 0.5 * random.Float64()
	}
	release := in.afflict(in.someEngines(random, 0.3), standin.Behaviour{Refuse: share(), Fail: share(), ResetAtStart: share(),
		ResetInStream: share(), MalformedAnswer: share(), MalformedStream: share(), EndlessHeader: share() / 2, DuplicateAnswer: share(),
		InterimResponse: share(), CloseAfterAnswer: 2 * share(), Slowdown: 1 + 4*share()})
	time.Sleep(between(random, millis(500), millis(5000)))
	release()
}

// leastOfRole is how many engines of a role stay.
const leastOfRole = 3

// retire picks an engine that may go, and holds the others; nil if its role would run short.
func (in *injector) retire(random *rand.Rand) *standin.Engine {
	all := in.world.Engines()
	e := all[random.IntN(len(all))]
	if in.world.ReadyEngines(e.Writer()) <= leastOfRole || !in.world.ClaimForRemoval(e.ID()) {
		return nil
	}
	return e
}

// replace starts a new engine in the place of one that has gone.
func (in *injector) replace(writer bool) {
	if err := in.world.AddEngines(1, writer, time.Now().UnixMilli()); err == nil {
		in.count("engines started cold", 1)
	}
}

func (in *injector) die(random *rand.Rand) {
	e := in.retire(random)
	if e == nil {
		in.count("engine dies, skipped", 1)
		return
	}
	e.Kill()
	time.Sleep(between(random, millis(300), millis(3000)))
	in.world.UnlistEngines(e.ID())
	time.Sleep(between(random, millis(200), millis(1000)))
	in.world.RemoveEngine(e.ID())
	in.replace(e.Writer())
}

func (in *injector) drain(random *rand.Rand) {
	e := in.retire(random)
	if e == nil {
		in.count("engine drains, skipped", 1)
		return
	}
	in.drainEngine(e, random)
}

func (in *injector) drainEngine(e *standin.Engine, random *rand.Rand) {
	in.world.DrainEngines(e.ID())
	time.Sleep(between(random, millis(2500), millis(6000)))
	in.world.UnlistEngines(e.ID())
	time.Sleep(millis(500))
	in.world.RemoveEngine(e.ID())
	in.replace(e.Writer())
}
