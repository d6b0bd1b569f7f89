package soak

// Engine faults.

import (
	"math/rand/v2"
	"slices"
	"time"

	standin "mintdoor/internal/standin/chat"
)

// pickEngines picks a random subset of the engines: at least one, and at most a fraction.
func (in *injector) pickEngines(random *rand.Rand, maxFraction float64) []*standin.Engine {
	all := in.testbed.Engines()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := 1 + random.IntN(max(int(maxFraction*float64(len(all))), 1))
	return all[:min(n, len(all))]
}

// applyBehaviour gives engines a behaviour until the returned function is called. The behaviours that several faults
// give one engine are combined.
func (in *injector) applyBehaviour(engines []*standin.Engine, b standin.Behaviour) (revert func()) {
	for _, e := range engines {
		in.mu.Lock()
		in.behaviours[e.ID()] = append(in.behaviours[e.ID()], &b)
		e.SetBehaviour(combineBehaviours(in.behaviours[e.ID()]))
		in.mu.Unlock()
	}
	return func() {
		for _, e := range engines {
			in.mu.Lock()
			in.behaviours[e.ID()] = slices.DeleteFunc(in.behaviours[e.ID()], func(of *standin.Behaviour) bool { return of == &b })
			e.SetBehaviour(combineBehaviours(in.behaviours[e.ID()]))
			in.mu.Unlock()
		}
	}
}

// combineBehaviours returns the worst of each part of several behaviours.
func combineBehaviours(all []*standin.Behaviour) (out standin.Behaviour) {
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
		out.DuplicateReply = max(out.DuplicateReply, b.DuplicateReply)
		out.InterimResponse = max(out.InterimResponse, b.InterimResponse)
		out.CloseAfterAnswer = max(out.CloseAfterAnswer, b.CloseAfterAnswer)
		out.Slowdown = max(out.Slowdown, b.Slowdown)
		out.StreamFault = max(out.StreamFault, b.StreamFault)
		out.StreamFaultAt = max(out.StreamFaultAt, b.StreamFaultAt)
		out.StreamForm = max(out.StreamForm, b.StreamForm)
	}
	return out
}

// hangEngines makes up to half of the engines hang.
func (in *injector) hangEngines(random *rand.Rand) {
	revert := in.applyBehaviour(in.pickEngines(random, 0.5), standin.Behaviour{Hang: true})
	time.Sleep(randomDuration(random, millis(300), millis(4000)))
	revert()
}

// failEngines makes up to 30% of the engines fail in random ways.
func (in *injector) failEngines(random *rand.Rand) {
	odds := func() float64 {
		if random.IntN(3) > 0 {
			return 0
		}
		return 0.5 * random.Float64()
	}
	revert := in.applyBehaviour(in.pickEngines(random, 0.3), standin.Behaviour{Refuse: odds(), Fail: odds(), ResetAtStart: odds(),
		ResetInStream: odds(), MalformedAnswer: odds(), MalformedStream: odds(), EndlessHeader: odds() / 2, DuplicateAnswer: odds(),
		InterimResponse: odds(), CloseAfterAnswer: 2 * odds(), Slowdown: 1 + 4*odds(), DuplicateReply: odds()})
	time.Sleep(randomDuration(random, millis(500), millis(5000)))
	revert()
}

// minEnginesPerRole is how many engines of a role are always kept.
const minEnginesPerRole = 3

// claimEngine picks an engine that may be removed, and claims it so that no other fault removes it. It returns nil if
// too few of its role would be left, or if it is claimed already.
func (in *injector) claimEngine(random *rand.Rand) *standin.Engine {
	all := in.testbed.Engines()
	e := all[random.IntN(len(all))]
	if in.testbed.ReadyEngines(e.Writer()) <= minEnginesPerRole || !in.testbed.ClaimForRemoval(e.ID()) {
		return nil
	}
	return e
}

// startReplacement starts a cold engine in place of one that was removed.
func (in *injector) startReplacement(writer bool) {
	if err := in.testbed.AddEngines(1, writer, time.Now().UnixMilli()); err == nil {
		in.count("engines started cold", 1)
	}
}

// killEngine kills an engine, which leaves the list later, and replaces it.
func (in *injector) killEngine(random *rand.Rand) {
	e := in.claimEngine(random)
	if e == nil {
		in.count("engine dies, skipped", 1)
		return
	}
	e.Kill()
	time.Sleep(randomDuration(random, millis(300), millis(3000)))
	in.testbed.UnlistEngines(e.ID())
	time.Sleep(randomDuration(random, millis(200), millis(1000)))
	in.testbed.RemoveEngine(e.ID())
	in.startReplacement(e.Writer())
}

// drainOne drains an engine, removes it and replaces it.
func (in *injector) drainOne(random *rand.Rand) {
	e := in.claimEngine(random)
	if e == nil {
		in.count("engine drains, skipped", 1)
		return
	}
	in.drainEngine(e, random)
}

// drainEngine drains a claimed engine, removes it after a random time and replaces it.
func (in *injector) drainEngine(e *standin.Engine, random *rand.Rand) {
	in.drainEngineFor(e, randomDuration(random, millis(2500), millis(6000)))
}

// drainEngineFor drains a claimed engine, removes it after a duration and replaces it.
func (in *injector) drainEngineFor(e *standin.Engine, d time.Duration) {
	in.testbed.DrainEngines(e.ID())
	time.Sleep(d)
	in.testbed.UnlistEngines(e.ID())
	time.Sleep(millis(500))
	in.testbed.RemoveEngine(e.ID())
	in.startReplacement(e.Writer())
}
