// Package swing measures shifted roles: a recorded swing of the mix is played in simulated time with every
// fixed split, with an oracle that knows the trace, and with roles shifted by what the routers see.
package swing

import (
	"math"
	"time"

	"mintdoor/internal/sim"
	"mintdoor/internal/trace"
)

// Pace is what one engine does in each role, in tokens a second, and what a change costs it.
type Pace struct {
	Read, Write float64
	Away        time.Duration // announced, changed and cold, as full time lost
}

// missed is the part of shared texts that is read all the same, as in trace.Swing.
const missed = 0.05

// work sums up the tokens that are asked in each window.
func work(t *trace.Trace, window time.Duration) (read, write, asked []float64) {
	n := int(t.Length()/window) + 1
	read, write, asked = make([]float64, n), make([]float64, n), make([]float64, n)
	for i := range t.Entries {
		e := &t.Entries[i]
		k := int(e.At / window)
		read[k] += float64(e.PromptTokens) - (1-missed)*float64(e.PrefixTokens)
		write[k] += float64(e.OutputTokens)
		asked[k]++
	}
	return read, write, asked
}

// Mean is the fixed split of the trace's mean work: readers among so many engines.
func Mean(t *trace.Trace, engines int, p Pace) int {
	read, write, _ := work(t, t.Length()+1)
	r, w := read[0]/p.Read, write[0]/p.Write
	return min(max(int(math.Round(float64(engines)*r/(r+w))), 1), engines-1)
}

// Oracle finds the splits over time that serve most of a trace that is known as a whole, and the split to
// begin with. It is a dynamic program over windows and numbers of readers: an engine that changes is away
// for its window. load is the part of its time to which an engine may be used; away bounds how many engines
// change in one window.
func Oracle(t *trace.Trace, engines int, p Pace, load float64, away int) (first int, steps []sim.Step) {
	window := max(p.Away, time.Second)
	read, write, asked := work(t, window)
	span := window.Seconds()
	part := func(k, readers, writers int) float64 {
		used := max(read[k]/(float64(readers)*p.Read*span), write[k]/(float64(writers)*p.Write*span))
		// Where all is served, the split that leaves more room is the better one: queues are shorter.
		const room = 0.05
		return min(1, load/max(used, 1e-9)) - room*math.Pow(min(used, 1), 4)
	}
	const idle = 1e-4 // of a window's requests: a change that brings nothing is not made
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
				v := value[n] + asked[k]*(part(k, min(n, to), engines-max(n, to))-idle*float64(moved))
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
			steps = append(steps, sim.Step{At: time.Duration(k) * window, Readers: splits[k]})
		}
	}
	return splits[0], steps
}
