// Package swing measures the benefit of role changes: it plays generated traffic with a changing mix in simulated
// time with every fixed split, with an oracle that knows the trace, and with roles changed by what the routers see.
package swing

import (
	"math"
	"time"

	"mintdoor/internal/sim"
	"mintdoor/internal/trace"
)

// EngineRates is the throughput of one engine in each role, in tokens a second, and the cost of a role change.
type EngineRates struct {
	ReadPerS, WritePerS float64
	AwayTime            time.Duration // notice period, change and slow start, as time at full capacity lost
}

// missShare is the fraction of the shared prefixes' tokens that is not found in the cache, as in trace.Swing.
const missShare = 0.05

// work adds up the tokens and the requests in each window.
func work(t *trace.Trace, window time.Duration) (read, write, requests []float64) {
	n := int(t.Length()/window) + 1
	read, write, requests = make([]float64, n), make([]float64, n), make([]float64, n)
	for i := range t.Entries {
		e := &t.Entries[i]
		k := int(e.At / window)
		read[k] += float64(e.PromptTokens) - (1-missShare)*float64(e.PrefixTokens)
		write[k] += float64(e.OutputTokens)
		requests[k]++
	}
	return read, write, requests
}

// MeanSplit returns the number of readers in the best fixed split for the mean work of the trace.
func MeanSplit(t *trace.Trace, engines int, p EngineRates) int {
	read, write, _ := work(t, t.Length()+1)
	r, w := read[0]/p.ReadPerS, write[0]/p.WritePerS
	return min(max(int(math.Round(float64(engines)*r/(r+w))), 1), engines-1)
}

// Oracle returns the splits over time that serve the most of a trace known in advance, and the number of readers to
// begin with. It is a dynamic program over windows and numbers of readers, in which an engine that changes serves
// nothing for one window. load is the highest utilization of an engine; away bounds how many engines change in one
// window.
func Oracle(t *trace.Trace, engines int, p EngineRates, load float64, away int) (first int, steps []sim.SplitStep) {
	window := max(p.AwayTime, time.Second)
	read, write, requests := work(t, window)
	span := window.Seconds()
	score := func(k, readers, writers int) float64 {
		utilization := max(read[k]/(float64(readers)*p.ReadPerS*span), write[k]/(float64(writers)*p.WritePerS*span))
		// If all work is served, the split with more spare capacity is better, because its queues are shorter.
		const spareWeight = 0.05
		return min(1, load/max(utilization, 1e-9)) - spareWeight*math.Pow(min(utilization, 1), 4)
	}
	const changeCost = 1e-4 // cost of a change in requests of a window, so that a change without a gain is not made
	value := make([]float64, engines)
	next := make([]float64, engines)
	from := make([][]int, len(read))
	for k := range read {
		from[k] = make([]int, engines)
		for to := 1; to < engines; to++ {
			next[to] = math.Inf(-1)
			for n := max(to-away, 1); n <= min(to+away, engines-1); n++ {
				if k == 0 && n != to {
					continue
				}
				moved := to - n
				if moved < 0 {
					moved = -moved
				}
				v := value[n] + requests[k]*(score(k, min(n, to), engines-max(n, to))-changeCost*float64(moved))
				if v > next[to] || v == next[to] && n == to {
					next[to], from[k][to] = v, n
				}
			}
		}
		value, next = next, value
	}
	best := 1
	for n := 1; n < engines; n++ {
		if value[n] > value[best] {
			best = n
		}
	}
	splits := make([]int, len(read))
	for k, n := len(read)-1, best; k >= 0; k-- {
		splits[k] = n
		n = from[k][n]
	}
	for k := 1; k < len(splits); k++ {
		if splits[k] != splits[k-1] {
			steps = append(steps, sim.SplitStep{At: time.Duration(k) * window, Readers: splits[k]})
		}
	}
	return splits[0], steps
}
