package roles

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// score feeds a series to a predictor and to a simple average with a memory of the given number of buckets. It
// returns the mean squared errors of both, and the share of the actual values within the predictor's 90% interval.
func score(f func(i int) float64, horizon, n int, plain float64) (mix, simple, inside float64) {
	p := newPredictor(time.Duration(horizon) * bucket)
	values := make([]float64, n+horizon)
	for i := range values {
		values[i] = f(i)
	}
	var s smoother
	scored := 0.0
	for i := range n {
		p.add(values[i])
		s.add(values[i], plain)
		if i < n/3 {
			continue
		}
		actual := 0.0
		for _, v := range values[i+1 : i+1+horizon] {
			actual += v / float64(horizon)
		}
		mean, square, _ := p.predict()
		mix += (mean - actual) * (mean - actual)
		simple += (s.once - actual) * (s.once - actual)
		if math.Abs(mean-actual) < 1.645*math.Sqrt(square) {
			inside++
		}
		scored++
	}
	return mix / scored, simple / scored, inside / scored
}

// Both a slow and a fast oscillation are forecast better than by a simple average, and noise around a constant level
// about as well as by the best simple average. The 90% interval is realistic in each case.
func TestPredictor(t *testing.T) {
	noise := func(sd float64) func() float64 {
		rng := rand.New(rand.NewPCG(3, 4))
		return func() float64 { return sd * rng.NormFloat64() }
	}
	a, b, c := noise(20), noise(20), noise(20)
	for _, tc := range []struct {
		name          string
		f             func(i int) float64
		plain         float64
		maxErrorRatio float64 // upper bound of the error, as a multiple of the simple average's
	}{
		{"a slow oscillation", func(i int) float64 { return 100 + 50*math.Sin(2*math.Pi*float64(i)/900) + a() }, 16, 0.6},
		{"an oscillation of ten buckets", func(i int) float64 { return 100 + 50*float64(i/5%2) + b() }, 8, 0.5},
		{"noise around a level", func(i int) float64 { return 100 + c() }, 512, 1.25},
	} {
		mix, plain, inside := score(tc.f, 45, 3000, tc.plain)
		if mix > tc.maxErrorRatio*plain || inside < 0.8 {
			t.Errorf("%s: error %.2f, a simple average over %.0f buckets has %.2f; the 90%% interval contains the actual value in %.2f", tc.name, mix, tc.plain, plain, inside)
		}
	}
}

// A sudden change of the series raises the expected error, because the methods of the forecast disagree.
func TestPredictorErrorRisesAfterChange(t *testing.T) {
	p := newPredictor(45 * bucket)
	rng := rand.New(rand.NewPCG(5, 6))
	for range 1000 {
		p.add(100 + 10*rng.NormFloat64())
	}
	_, calm, _ := p.predict()
	for range 10 {
		p.add(200 + 10*rng.NormFloat64())
	}
	if mean, square, _ := p.predict(); square < 9*calm || mean < 105 {
		t.Errorf("after ten buckets of twice the level: mean %.0f, expected error %.1f, before them %.1f", mean, math.Sqrt(square), math.Sqrt(calm))
	}
}

// One burst in a steady series raises the expected error for a while only, not for as long as the scores are
// remembered.
func TestPredictorErrorRecoversAfterBurst(t *testing.T) {
	p := newPredictor(45 * bucket)
	rng := rand.New(rand.NewPCG(7, 8))
	calm := func(n int) float64 {
		for range n {
			p.add(100 + 10*rng.NormFloat64())
		}
		_, square, _ := p.predict()
		return math.Sqrt(square)
	}
	before := calm(1000)
	for range 20 {
		p.add(300)
	}
	if after := calm(300); after > 4*before {
		t.Errorf("expected error five minutes after a burst %.1f, before it %.1f", after, before)
	}
}

// For any input, the forecast is a number, not negative, and at most the highest input plus what a trend can add.
func TestPredictorStaysInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		horizon := rapid.IntRange(1, 50).Draw(t, "horizon")
		p := newPredictor(time.Duration(horizon) * bucket)
		maxValue := 0.0
		for _, v := range rapid.SliceOfN(rapid.Float64Range(0, 1e9), 1, 300).Draw(t, "values") {
			p.add(v)
			maxValue = math.Max(maxValue, v)
			mean, square, horizons := p.predict()
			if math.IsNaN(mean) || mean < 0 || mean > 20*maxValue+1 || math.IsNaN(square) || square < 0 || horizons < 0 {
				t.Fatalf("%v %v %v after %v", mean, square, horizons, v)
			}
		}
	})
}

func BenchmarkForecast(b *testing.B) {
	d := NewDemandEstimator(4, 45*time.Second)
	now := feedTraffic(d, newRand(1), 0, 5*time.Minute, 100, 0, 800, 100)
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		d.ObserveArrival(now+time.Duration(i)*10*time.Millisecond, RequestInfo{Class: i % 4})
		if i%500 == 0 {
			d.Forecast(now + time.Duration(i)*10*time.Millisecond)
		}
	}
}
