// Package roles decides which engines read (prefill) and which write (decode) as the mix of the traffic changes: it
// estimates the demand of each stage (demand.go, predict.go), plans the split of the engines (plan.go), decides
// whether the plan is worth its cost (evaluator.go), and tracks role changes (change.go); manager.go combines them.
// It does no I/O: the time is passed in with each call, and carrying out the changes is up to the caller.
package roles

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Stage is one of the two stages of a request.
type Stage uint8

// The stages.
const (
	Prefill Stage = iota
	Decode
	stages
)

// RequestInfo is what is known of one request, whatever its outcome.
type RequestInfo struct {
	Class        int
	PromptTokens float64
	CachedTokens float64 // prompt tokens found in the prefix cache of the engine that read it; negative while unknown
	OutputTokens float64 // tokens written; 0 while unknown
	Truncated    bool    // the answer would have been longer: it was cut off, or the client left
	Retry        bool    // a client's retry of a request that has been counted already
}

// WorkForecast is a forecast of one stage's work, in tokens a second.
type WorkForecast struct {
	Mean           float64
	SD             float64 // covers the uncertainty of the mean and its changes over the horizon
	ScoredHorizons float64 `json:"Seen"` // number of horizons whose forecasts could be compared with the actual work
}

// Quantile returns the work that is not exceeded with probability p, in (0, 1).
func (w WorkForecast) Quantile(p float64) float64 {
	return math.Max(0, w.Mean+w.SD*distuv.UnitNormal.Quantile(p))
}

// Constants of the estimates.
const (
	// shortTimeConstant sets how fast a change of the rate shows, longTimeConstant the average that it is compared
	// with.
	shortTimeConstant = 20 * time.Second
	longTimeConstant  = 3 * time.Minute
	// maxSamples bounds the weight of the old lengths of a class: a new one weighs at least 1/maxSamples.
	maxSamples = 200.0
	// defaultLength is the length assumed, in tokens, before any has been observed, and defaultSigma the standard
	// deviation of its logarithm.
	defaultLength = 500.0
	defaultSigma  = 1.0
	// clipSigmas bounds how far, in standard deviations, a single length can move the estimates: a few very long
	// prompts are work, but no reason to change roles.
	clipSigmas = 3.0
)

// decayingCount is a count of events that decays exponentially, together with the observation time, which decays the
// same way, so that the rate is right from the start.
type decayingCount struct {
	timeConstant time.Duration
	sum          float64
	seconds      float64 // decayed observation time in seconds
	updatedAt    time.Duration
	started      bool
}

func (c *decayingCount) decay(now time.Duration) {
	if !c.started {
		c.started, c.updatedAt = true, now
		return
	}
	passed := max(now-c.updatedAt, 0)
	f := math.Exp(-float64(passed) / float64(c.timeConstant))
	c.sum *= f
	// The integral of the decay over the time passed, in seconds.
	c.seconds = c.seconds*f + c.timeConstant.Seconds()*(1-f)
	c.updatedAt = max(now, c.updatedAt)
}

func (c *decayingCount) add(now time.Duration, n float64) {
	c.decay(now)
	c.sum += n
}

// rate returns the posterior mean and standard deviation of a Poisson rate under Jeffreys' prior: a Gamma
// distribution with shape sum+1/2.
func (c *decayingCount) rate(now time.Duration) (mean, sd float64) {
	c.decay(now)
	seconds := math.Max(c.seconds, 1)
	shape := c.sum + 0.5
	return shape / seconds, math.Sqrt(shape) / seconds
}

// lengthEstimate estimates a long-tailed length in tokens as a lognormal distribution.
type lengthEstimate struct {
	n            float64
	mu, variance float64 // mean and variance of the logarithm
}

func (l *lengthEstimate) sigma() float64 {
	if l.n == 0 {
		return defaultSigma
	}
	return math.Sqrt(l.variance)
}

// observe adds a length. An outlier counts as a length at the clipping bound. A truncated length counts as the mean
// of all that are longer.
func (l *lengthEstimate) observe(x float64, truncated bool) {
	y := math.Log(math.Max(x, 1))
	if l.n == 0 {
		l.mu, l.variance = math.Log(defaultLength), defaultSigma*defaultSigma
	}
	s := math.Max(l.sigma(), 0.1)
	if truncated {
		z := (y - l.mu) / s
		y = l.mu + s*tailMean(z)
	}
	y = math.Min(math.Max(y, l.mu-clipSigmas*s), l.mu+clipSigmas*s)
	l.n++
	w := math.Max(1/l.n, 1/maxSamples)
	if l.n == 1 {
		w = 0.5 // half the default, half the first observation
	}
	d := y - l.mu
	l.mu += w * d
	l.variance += w * (d*d*(1-w) - l.variance)
}

// tailMean returns the mean of a standard normal distribution above z (the inverse Mills ratio).
func tailMean(z float64) float64 {
	if z > 6 {
		return z + 1/z
	}
	return distuv.UnitNormal.Prob(z) / distuv.UnitNormal.Survival(z)
}

// mean returns the mean and the mean square of the lognormal distribution, and the relative standard error of the
// mean that results from the few lengths observed.
func (l *lengthEstimate) mean() (mean, square, err float64) {
	mu, v := l.mu, l.variance
	if l.n == 0 {
		mu, v = math.Log(defaultLength), defaultSigma*defaultSigma
	}
	v = math.Min(v, 4)
	mean = math.Exp(mu + v/2)
	n := math.Min(math.Max(l.n, 1), maxSamples)
	// The variance of mu + v/2 over n lengths: v/n + v*v/(2n).
	return mean, mean * mean * math.Exp(v), math.Sqrt(v/n + v*v/(2*n))
}

// classStats is what has been observed of one request class.
type classStats struct {
	shortRate, longRate decayingCount
	uncached, output    lengthEstimate
}

// DemandEstimator estimates the work requested of each stage. It counts requested work, not completed work: requests
// that were refused or answered late count as much as those that were served. It is not safe for concurrent use.
type DemandEstimator struct {
	classes []classStats
	horizon time.Duration
	// Work by bucket, and its forecast.
	bucketEnd  time.Duration // end of the last bucket
	arrivals   []float64     // by class, in the current bucket
	predictors [stages]*predictor
	// The dispersion of arrivals is measured over windows: 1 is Poisson, more is bursty.
	window         time.Duration
	windowStart    time.Duration
	windowArrivals float64
	mean, variance float64
	windows        float64
}

// dispersionWindow is the window over which arrivals are counted to distinguish bursty from steady traffic.
const dispersionWindow = 2 * time.Second

// NewDemandEstimator returns an estimator for the given number of classes that forecasts over horizon.
func NewDemandEstimator(classes int, horizon time.Duration) *DemandEstimator {
	d := &DemandEstimator{classes: make([]classStats, classes), window: dispersionWindow, horizon: max(horizon, bucket), arrivals: make([]float64, classes)}
	for i := range d.classes {
		d.classes[i].shortRate.timeConstant, d.classes[i].longRate.timeConstant = shortTimeConstant, longTimeConstant
	}
	for st := range d.predictors {
		d.predictors[st] = newPredictor(d.horizon)
	}
	return d
}

// ObserveArrival counts a request at its arrival. now must not go back between calls.
func (d *DemandEstimator) ObserveArrival(now time.Duration, a RequestInfo) {
	if a.Class < 0 || a.Class >= len(d.classes) || a.Retry {
		return
	}
	d.advance(now)
	c := &d.classes[a.Class]
	c.shortRate.add(now, 1)
	c.longRate.add(now, 1)
	d.windowArrivals++
	d.arrivals[a.Class]++
}

// ObserveRead records how many uncached tokens of a prompt had to be read.
func (d *DemandEstimator) ObserveRead(a RequestInfo) {
	if a.Class >= 0 && a.Class < len(d.classes) && a.PromptTokens > 0 {
		d.classes[a.Class].uncached.observe(math.Max(a.PromptTokens-math.Max(a.CachedTokens, 0), 1), false)
	}
}

// ObserveOutput records the length of an answer, as far as it is known.
func (d *DemandEstimator) ObserveOutput(a RequestInfo) {
	if a.Class >= 0 && a.Class < len(d.classes) && a.OutputTokens > 0 {
		d.classes[a.Class].output.observe(a.OutputTokens, a.Truncated)
	}
}

// advance closes the windows and buckets that have passed.
func (d *DemandEstimator) advance(now time.Duration) {
	const gain, maxWindows = 0.05, 64
	for i := 0; now-d.windowStart >= d.window; i++ {
		if i == maxWindows { // after a long silence the windows in between carry no new information
			d.windowStart = now
			break
		}
		d.windows++
		w := math.Max(1/d.windows, gain)
		delta := d.windowArrivals - d.mean
		d.mean += w * delta
		d.variance += w * (delta*delta*(1-w) - d.variance)
		d.windowArrivals = 0
		d.windowStart += d.window
	}
	const maxBuckets = 1200 // of silence that are processed one by one
	for i := 0; now-d.bucketEnd >= bucket; i++ {
		if i == maxBuckets {
			d.bucketEnd = now
			break
		}
		var work [stages]float64
		for c := range d.classes {
			// A request counts with the mean lengths of its class, which are known better than its own.
			for st, l := range [stages]*lengthEstimate{&d.classes[c].uncached, &d.classes[c].output} {
				mean, _, _ := l.mean()
				work[st] += d.arrivals[c] * mean / bucket.Seconds()
			}
			d.arrivals[c] = 0
		}
		for st := range work {
			d.predictors[st].add(work[st])
		}
		d.bucketEnd += bucket
	}
}

// dispersion returns the variance of the arrivals in a window divided by their mean, at least 1.
func (d *DemandEstimator) dispersion() float64 {
	if d.windows < 5 || d.mean <= 0 {
		return 1
	}
	return math.Max(d.variance/d.mean, 1)
}

// Forecast returns the work requested of each stage over the horizon that begins now. Its standard deviation is the
// error of past forecasts. While few of these could be compared with the actual work, it comes from the uncertainty
// of rates and lengths, the randomness of arrivals within the horizon, and the difference between the recent and the
// long-term rate.
func (d *DemandEstimator) Forecast(now time.Duration) (out [stages]WorkForecast) {
	d.advance(now)
	dispersion := d.dispersion()
	h := d.horizon.Seconds()
	var mean, variance, lengths [stages]float64
	for i := range d.classes {
		c := &d.classes[i]
		short, shortSD := c.shortRate.rate(now)
		long, longSD := c.longRate.rate(now)
		// Weighted by precision, so that a burst that is over has little weight against the minutes before it.
		sv, lv := shortSD*shortSD*dispersion, longSD*longSD*dispersion
		drift := short - long
		lv += drift * drift / 2 // the long-term rate is outdated by as much as the two differ
		wl := sv / (sv + lv)
		rate := wl*long + (1-wl)*short
		rateVar := wl*wl*lv + (1-wl)*(1-wl)*sv
		for st, l := range [stages]*lengthEstimate{&c.uncached, &c.output} {
			size, square, err := l.mean()
			mean[st] += rate * size
			// The variance of the rate, and the compound Poisson variance of the horizon itself.
			variance[st] += rateVar*size*size + dispersion*rate*square/h
			lengths[st] += rate * rate * size * size * err * err
		}
	}
	for st := range out {
		forecast, square, horizons := d.predictors[st].predict()
		// Errors of overlapping horizons are correlated, so the number of horizons, not of forecasts, is the number
		// of independent samples; the first few are weighted against the theoretical variance.
		const theoryWeight = 1.0
		w := horizons / (horizons + theoryWeight)
		out[st].ScoredHorizons = horizons
		out[st].Mean = w*forecast + (1-w)*mean[st]
		out[st].SD = math.Sqrt(w*square + (1-w)*variance[st] + lengths[st])
	}
	return out
}
