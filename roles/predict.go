package roles

import (
	"math"
	"time"
)

// predictor forecasts the mean of a series over the next horizon. It combines several simple methods, with long and
// short memories and with and without a trend: it scores each by comparing its forecast of one horizon ago with the
// actual values, and weights the methods by their scores. So it follows a slowly changing mix, does not react to one
// that alternates every few seconds, and needs no configuration for either. Its uncertainty is its own past error.
// One value is added per bucket.
type predictor struct {
	smooth  [smoothers]smoother
	memory  [smoothers]float64 // time constants in buckets
	horizon int                // in buckets
	n       int                // buckets added so far

	values    []float64 // ring buffer of the last horizon
	sum       float64   // of values
	forecasts [][methods + 1]float64
	loss      [methods + 1]float64 // decayed squared errors of the methods; the last is the combined forecast's
	weight    float64              // decayed number of scores
}

// bucket is the interval of the values in a series.
const bucket = time.Second

const (
	// The shortest memory of a smoother is a sixth of the horizon, and each further one is twice the one before.
	smoothers      = 7
	shortestMemory = 1.0 / 6
	minMemory      = 4.0 // lower bound of a memory, in buckets
	// Each smoother gives two forecasts: its level, and its level with its trend.
	methods = 2 * smoothers
	// The scores decay over scoreMemory buckets, or over horizonsKept horizons if these are longer.
	scoreMemory  = 600.0
	horizonsKept = 10.0
	// maxErrorRatio bounds one squared error, as a multiple of the mean squared error.
	maxErrorRatio = 9.0
	// sharpness is the exponent by which a worse score reduces a method's weight.
	sharpness = 4.0
)

// smoother computes the level and the trend of a series by Brown's double exponential smoothing. Both are unbiased
// from the first value on, since values before it have no weight.
type smoother struct{ once, twice, onceWeight, twiceWeight float64 }

func (s *smoother) add(y, memory float64) {
	keep := 1 - 1/memory
	s.onceWeight = keep*s.onceWeight + 1
	s.once += (y - s.once) / s.onceWeight
	s.twiceWeight = keep*s.twiceWeight + 1
	s.twice += (s.once - s.twice) / s.twiceWeight
}

// level returns the level and the trend, the latter per bucket.
func (s *smoother) level(memory float64) (level, trend float64) {
	if s.onceWeight < memory/2 { // too few values to distinguish a trend from noise
		return s.once, 0
	}
	return 2*s.once - s.twice, (s.once - s.twice) / (memory - 1)
}

func newPredictor(horizon time.Duration) *predictor {
	n := max(int(horizon/bucket), 1)
	p := &predictor{horizon: n, values: make([]float64, n), forecasts: make([][methods + 1]float64, n)}
	memory := math.Max(shortestMemory*float64(n), minMemory)
	for i := range p.memory {
		p.memory[i] = memory
		memory *= 2
	}
	return p
}

// add adds the next bucket's value.
func (p *predictor) add(y float64) {
	at := p.n % p.horizon
	p.sum += y - p.values[at]
	p.values[at] = y
	if p.n >= p.horizon {
		// The forecasts made one horizon ago were for the buckets that end with this one.
		actual := p.sum / float64(p.horizon)
		decay := 1 - 1/math.Max(scoreMemory, horizonsKept*float64(p.horizon))
		p.weight = decay*p.weight + 1
		for i, f := range p.forecasts[at] {
			squaredError := (f - actual) * (f - actual)
			if meanError := p.loss[i] / (p.weight - 1); p.weight > 2*float64(p.horizon) && meanError > 0 {
				// A single burst does not raise the error for long; repeated ones do.
				squaredError = math.Min(squaredError, maxErrorRatio*meanError)
			}
			p.loss[i] = decay*p.loss[i] + squaredError
		}
	}
	for i := range p.smooth {
		p.smooth[i].add(y, p.memory[i])
	}
	p.n++
	p.forecasts[at] = p.forecastAll()
}

// forecastAll returns the forecast of each method and, as the last element, the combined one.
func (p *predictor) forecastAll() (out [methods + 1]float64) {
	ahead := float64(p.horizon+1) / 2
	for i := range p.smooth {
		level, trend := p.smooth[i].level(p.memory[i])
		out[2*i] = p.smooth[i].once
		out[2*i+1] = math.Max(level+trend*ahead, 0)
	}
	best := math.Inf(1)
	for _, l := range p.loss[:methods] {
		best = math.Min(best, l)
	}
	sum, weights := 0.0, 0.0
	for i, f := range out[:methods] {
		w := 1.0
		if p.weight > 0 {
			// A score is the mean over few horizons, so two close scores say little about which method is better.
			floor := best*0.05 + 1e-9
			w = math.Pow((best+floor)/(p.loss[i]+floor), sharpness)
		} else if i%2 == 1 {
			w = 0 // trends have no weight before they have been scored
		}
		sum += w * f
		weights += w
	}
	out[methods] = sum / weights
	return out
}

// disagreement returns the weighted variance of the methods' current forecasts. A method that was worse while the
// series was steady may be the better one after a change that has just begun, so the weights depend only mildly on
// the scores. It is zero when all methods agree.
func (p *predictor) disagreement() (square float64) {
	now := &p.forecasts[(p.n-1)%p.horizon]
	best := math.Inf(1)
	for _, l := range p.loss[:methods] {
		best = math.Min(best, l)
	}
	weights := 0.0
	for i, f := range now[:methods] {
		w := (best + 1e-9) / (p.loss[i] + 1e-9)
		weights += w
		square += w * (f - now[methods]) * (f - now[methods])
	}
	return square / weights
}

// predict returns the combined forecast, its expected squared error, and the number of horizons over which the error
// was measured. The expected error is the past error plus the current disagreement of the methods.
func (p *predictor) predict() (mean, square, horizons float64) {
	if p.n == 0 {
		return 0, 0, 0
	}
	mean = p.forecasts[(p.n-1)%p.horizon][methods]
	if p.weight > 0 {
		square = p.loss[methods]/p.weight + p.disagreement()
	}
	return mean, square, p.weight / float64(p.horizon)
}
