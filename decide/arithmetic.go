package decide

// Rates, decay and random numbers.

import "math"

// rate counts what happens, older events less.
type rate struct {
	sum      float64
	from, at Time
}

func (c *rate) add(now Time, n float64) {
	if c.sum == 0 {
		c.from = now
	}
	c.sum, c.at = c.sum*decay(now-c.at, rateSpan)+n, now
}

func (c *rate) perSecond(now Time) float64 {
	seen := max(1-decay(now-c.from, rateSpan), 1/float64(rateSpan/Second)) // the part that was lived through
	return c.sum * decay(now-c.at, rateSpan) / (seen * float64(rateSpan) / float64(Second))
}

// decay is what is left of a weight after a time.
func decay(t, span Duration) float64 { return math.Exp(-float64(t) / float64(span)) }

// mix scrambles a number (the finisher of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// random is the next number in [0, 1) of this router's own source.
func (r *Router) random() float64 {
	r.rng += 0x9e3779b97f4a7c15
	return float64(mix(r.rng)>>11) / (1 << 53)
}
