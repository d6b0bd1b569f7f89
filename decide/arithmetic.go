package decide

// Rates, exponential decay and random numbers.

import "math"

// rate measures a rate of events. The weight of an event decays with its age.
type rate struct {
	sum      float64
	from, at Time
}

// add counts n events, or work of that size.
func (c *rate) add(now Time, n float64) {
	if c.sum == 0 {
		c.from = now
	}
	c.sum, c.at = c.sum*decay(now-c.at, rateSpan)+n, now
}

// perSecond returns the rate per second.
func (c *rate) perSecond(now Time) float64 {
	// seen is the weight of the time since the first event. It approaches 1 as the rate gets older.
	seen := max(1-decay(now-c.from, rateSpan), 1/float64(rateSpan/Second))
	return c.sum * decay(now-c.at, rateSpan) / (seen * float64(rateSpan) / float64(Second))
}

// decay returns what remains of a weight of 1 after a time, if it falls to 1/e in span.
func decay(t, span Duration) float64 { return math.Exp(-float64(t) / float64(span)) }

// mix hashes a number with the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// random returns the next number in [0, 1) of the router's own generator (splitmix64).
func (r *Router) random() float64 {
	r.rng += 0x9e3779b97f4a7c15
	return float64(mix(r.rng)>>11) / (1 << 53)
}
