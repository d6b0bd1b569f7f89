// Package roles decides which engines read (prefill) and which write (decode) as the mix of the traffic
// moves. It is free of I/O: the clock comes in with each call, and all randomness hangs on a seed. This
// file estimates the demand, plan.go solves for the best split.
package roles

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Stage is one of the two stages.
type Stage uint8

// The stages.
const (
	Prefill Stage = iota
	Decode
	stages
)

// RequestInfo is one request as it was asked, whatever became of it.
type RequestInfo struct {
	Class        int
	PromptTokens float64 // tokens of the prompt
	CachedTokens float64 // of them, found kept by the engine that read it; negative while not known
	OutputTokens float64 // tokens written; 0 while not known
	Truncated    bool    // the answer was longer than Answer: it was cut off, or the client left
	Retry        bool    // a client's repeat: it is part of a request that was counted
}

// Work is a forecast of one stage's work, in tokens a second.
type Work struct {
	Mean float64
	SD   float64 // of what is not known of the mean, and of its moving
	Seen float64 // horizons of earlier forecasts that could be held against what came
}

// Quantile is the work that is not passed with probability p, in (0, 1).
func (w Work) Quantile(p float64) float64 {
	return math.Max(0, w.Mean+w.SD*distuv.UnitNormal.Quantile(p))
}

// The memories of the estimates.
const (
	// shortSpan and longSpan: how fast a change shows, and what it is held against.
	shortSpan = 20 * time.Second
	longSpan  = 3 * time.Minute
	// sizeWeight is the weight of a new length among about so many of its class.
	sizeWeight = 200.0
	// firstSize stands for a length before any has been seen, firstSpread for its spread (of the logarithm).
	firstSize   = 500.0
	firstSpread = 1.0
	// clipSpread bounds how far, in spreads, one length may move the estimates: a few very long prompts
	// are work, but no reason to change roles.
	clipSpread = 3.0
)

// count is a decaying count of events with its decaying time of watching, so that its rate is right from
// the start.
type count struct {
	span time.Duration
	sum  float64
	seen float64 // seconds
	at   time.Duration
	born bool
}

func (c *count) decay(now time.Duration) {
	if !c.born {
		c.born, c.at = true, now
		return
	}
	passed := max(now-c.at, 0)
	f := math.Exp(-float64(passed) / float64(c.span))
	c.sum *= f
	// The integral of the decay over the time passed, in seconds.
	c.seen = c.seen*f + c.span.Seconds()*(1-f)
	c.at = max(now, c.at)
}

func (c *count) add(now time.Duration, n float64) {
	c.decay(now)
	c.sum += n
}

// rate is the posterior of a Poisson rate under Jeffreys' prior: a Gamma with shape sum+1/2.
func (c *count) rate(now time.Duration) (mean, sd float64) {
	c.decay(now)
	seen := math.Max(c.seen, 1)
	shape := c.sum + 0.5
	return shape / seen, math.Sqrt(shape) / seen
}

// length is a long-tailed length, learnt as a lognormal: mean and spread of its logarithm.
type length struct {
	n       float64
	mu, vsq float64 // of the logarithm
}

func (l *length) sigma() float64 {
	if l.n == 0 {
		return firstSpread
	}
	return math.Sqrt(l.vsq)
}

// learn takes in a length. One that lies far out counts as one that lies as far as may be. A length that
// was cut off counts as the mean of what is beyond it.
func (l *length) learn(x float64, cut bool) {
	y := math.Log(math.Max(x, 1))
	if l.n == 0 {
		l.mu, l.vsq = math.Log(firstSize), firstSpread*firstSpread
	}
	s := math.Max(l.sigma(), 0.1)
	if cut {
		z := (y - l.mu) / s
		y = l.mu + s*beyond(z)
	}
	y = math.Min(math.Max(y, l.mu-clipSpread*s), l.mu+clipSpread*s)
	l.n++
	w := math.Max(1/l.n, 1/sizeWeight)
	if l.n == 1 {
		w = 0.5 // half the guess, half the first one seen
	}
	d := y - l.mu
	l.mu += w * d
	l.vsq += w * (d*d*(1-w) - l.vsq)
}

// beyond is the mean of a standard normal above z (the inverse Mills ratio).
func beyond(z float64) float64 {
	if z > 6 {
		return z + 1/z
	}
	return distuv.UnitNormal.Prob(z) / distuv.UnitNormal.Survival(z)
}

// mean is that of the lognormal; err is the relative error of that mean from the few lengths seen.
func (l *length) mean() (mean, square, err float64) {
	mu, v := l.mu, l.vsq
	if l.n == 0 {
		mu, v = math.Log(firstSize), firstSpread*firstSpread
	}
	v = math.Min(v, 4)
	mean = math.Exp(mu + v/2)
	n := math.Min(math.Max(l.n, 1), sizeWeight)
	// The variance of mu + v/2 over n lengths: v/n + v*v/(2n).
	return mean, mean * mean * math.Exp(v), math.Sqrt(v/n + v*v/(2*n))
}

// class is what is learnt of one class.
type class struct {
	short, long   count
	fresh, answer length
}

// Demand estimates the work that is asked of each stage, not what was done: what was refused or came late
// counts as much as what was served. It is not safe for concurrent use.
type Demand struct {
	classes []class
	horizon time.Duration
	// Work by bucket, and what is foretold of it.
	at      time.Duration // the end of the last bucket
	arrived []float64     // by class, in the present bucket
	predict [stages]*predictor
	// The dispersion of arrivals is learnt over windows: 1 is Poisson, more is bursty.
	window     time.Duration
	windowFrom time.Duration
	inWindow   float64
	mean, vari float64
	windows    float64
}

// dispersionWindow is the window over which bursts are told from a steady stream.
const dispersionWindow = 2 * time.Second

// NewDemand returns a Demand for so many classes, that forecasts over a horizon.
func NewDemand(classes int, horizon time.Duration) *Demand {
	d := &Demand{classes: make([]class, classes), window: dispersionWindow, horizon: max(horizon, bucket), arrived: make([]float64, classes)}
	for i := range d.classes {
		d.classes[i].short.span, d.classes[i].long.span = shortSpan, longSpan
	}
	for st := range d.predict {
		d.predict[st] = newPredictor(d.horizon)
	}
	return d
}

// Arrived takes in a request at its arrival. now does not go back.
func (d *Demand) Arrived(now time.Duration, a RequestInfo) {
	if a.Class < 0 || a.Class >= len(d.classes) || a.Retry {
		return
	}
	d.roll(now)
	c := &d.classes[a.Class]
	c.short.add(now, 1)
	c.long.add(now, 1)
	d.inWindow++
	d.arrived[a.Class]++
}

// Read takes in what had to be read of a prompt.
func (d *Demand) Read(a RequestInfo) {
	if a.Class >= 0 && a.Class < len(d.classes) && a.PromptTokens > 0 {
		d.classes[a.Class].fresh.learn(math.Max(a.PromptTokens-math.Max(a.CachedTokens, 0), 1), false)
	}
}

// Written takes in how long an answer was, as far as it is known.
func (d *Demand) Written(a RequestInfo) {
	if a.Class >= 0 && a.Class < len(d.classes) && a.OutputTokens > 0 {
		d.classes[a.Class].answer.learn(a.OutputTokens, a.Truncated)
	}
}

// roll closes the windows and buckets that have passed.
func (d *Demand) roll(now time.Duration) {
	const gain, most = 0.05, 64
	for i := 0; now-d.windowFrom >= d.window; i++ {
		if i == most { // after a long silence the windows between say nothing new
			d.windowFrom = now
			break
		}
		d.windows++
		w := math.Max(1/d.windows, gain)
		delta := d.inWindow - d.mean
		d.mean += w * delta
		d.vari += w * (delta*delta*(1-w) - d.vari)
		d.inWindow = 0
		d.windowFrom += d.window
	}
	const mostBuckets = 1200 // of silence that are told one by one
	for i := 0; now-d.at >= bucket; i++ {
		if i == mostBuckets {
			d.at = now
			break
		}
		var work [stages]float64
		for c := range d.classes {
			// A request counts with the mean lengths of its class, which are surer than its own.
			for st, l := range [stages]*length{&d.classes[c].fresh, &d.classes[c].answer} {
				mean, _, _ := l.mean()
				work[st] += d.arrived[c] * mean / bucket.Seconds()
			}
			d.arrived[c] = 0
		}
		for st := range work {
			d.predict[st].add(work[st])
		}
		d.at += bucket
	}
}

// dispersion is the variance of arrivals in a window over their mean, at least 1.
func (d *Demand) dispersion() float64 {
	if d.windows < 5 || d.mean <= 0 {
		return 1
	}
	return math.Max(d.vari/d.mean, 1)
}

// Forecast is the work asked of each stage over the horizon that begins now. Its spread is what forecasts were
// off by so far, and while few could be held against what came, what is not known of rates and lengths, the
// chance of the horizon's own arrivals, and how far the last moments lie from the last minutes.
func (d *Demand) Forecast(now time.Duration) (out [stages]Work) {
	d.roll(now)
	disp := d.dispersion()
	h := d.horizon.Seconds()
	var mean, variance, lengths [stages]float64
	for i := range d.classes {
		c := &d.classes[i]
		short, shortSD := c.short.rate(now)
		long, longSD := c.long.rate(now)
		// Weighed by their precision; a burst that is over weighs little against the minutes before.
		sv, lv := shortSD*shortSD*disp, longSD*longSD*disp
		drift := short - long
		lv += drift * drift / 2 // the long view is stale by as much as the two differ
		wl := sv / (sv + lv)
		rate := wl*long + (1-wl)*short
		rateVar := wl*wl*lv + (1-wl)*(1-wl)*sv
		for st, l := range [stages]*length{&c.fresh, &c.answer} {
			size, square, err := l.mean()
			mean[st] += rate * size
			// The rate's, and the compound Poisson chance of the horizon itself.
			variance[st] += rateVar*size*size + disp*rate*square/h
			lengths[st] += rate * rate * size * size * err * err
		}
	}
	for st := range out {
		told, square, horizons := d.predict[st].predict()
		// Errors of overlapping horizons hang together: so many horizons are so many draws, and the first few
		// are weighed against what theory says.
		const theory = 1.0
		w := horizons / (horizons + theory)
		out[st].Seen = horizons
		out[st].Mean = w*told + (1-w)*mean[st]
		out[st].SD = math.Sqrt(w*square + (1-w)*variance[st] + lengths[st])
	}
	return out
}
