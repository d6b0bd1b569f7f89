package roles

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// score plays a series and returns the mean squared errors of the predictor and of a plain memory of so many
// buckets, and in which part of the cases the truth was within the 90% of the forecast.
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
		came := 0.0
		for _, v := range values[i+1 : i+1+horizon] {
			came += v / float64(horizon)
		}
		mean, square, _ := p.predict()
		mix += (mean - came) * (mean - came)
		simple += (s.once - came) * (s.once - came)
		if math.Abs(mean-came) < 1.645*math.Sqrt(square) {
			inside++
		}
		scored++
	}
	return mix / scored, simple / scored, inside / scored
}

// A slow swing is foretold better than by a short memory, a fast one better than by it too, and steady noise
// about as well as by the best memory there is. The spread is honest in each.
func TestPredictor(t *testing.T) {
	noise := func(sd float64) func() float64 {
		rng := rand.New(rand.NewPCG(3, 4))
		return func() float64 { return sd * rng.NormFloat64() }
	}
	a, b, c := noise(20), noise(20), noise(20)
	for _, tc := range []struct {
		name  string
		f     func(i int) float64
		plain float64
		most  float64 // times the plain memory's error
	}{
		{"a slow swing", func(i int) float64 { return 100 + 50*math.Sin(2*math.Pi*float64(i)/900) + a() }, 16, 0.6},
		{"a swing every ten buckets", func(i int) float64 { return 100 + 50*float64(i/5%2) + b() }, 8, 0.5},
		{"noise around a level", func(i int) float64 { return 100 + c() }, 512, 1.25},
	} {
		mix, plain, inside := score(tc.f, 45, 3000, tc.plain)
		if mix > tc.most*plain || inside < 0.8 {
			t.Errorf("%s: error %.2f, a memory of %.0f has %.2f; the truth is within the 90%% in %.2f", tc.name, mix, tc.plain, plain, inside)
		}
	}
}

// What has just begun makes a forecast less sure, since the ways to foretell disagree.
func TestPredictorDoubtsWhatIsNew(t *testing.T) {
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
		t.Errorf("ten buckets of twice as much: mean %.0f, spread %.1f, in calm times %.1f", mean, math.Sqrt(square), math.Sqrt(calm))
	}
}

// One burst in a calm series leaves the forecast in doubt for a while, not for as long as scores are remembered.
func TestPredictorForgivesOneBurst(t *testing.T) {
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
		t.Errorf("five minutes after a burst the spread is %.1f, before it %.1f", after, before)
	}
}

// Whatever comes in, what comes out is a number, not under nothing, and within what came in but for a trend.
func TestPredictorIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		horizon := rapid.IntRange(1, 50).Draw(t, "horizon")
		p := newPredictor(time.Duration(horizon) * bucket)
		most := 0.0
		for _, v := range rapid.SliceOfN(rapid.Float64Range(0, 1e9), 1, 300).Draw(t, "values") {
			p.add(v)
			most = math.Max(most, v)
			mean, square, horizons := p.predict()
			if math.IsNaN(mean) || mean < 0 || mean > 20*most+1 || math.IsNaN(square) || square < 0 || horizons < 0 {
				t.Fatalf("%v %v %v after %v", mean, square, horizons, v)
			}
		}
	})
}

func BenchmarkForecast(b *testing.B) {
	d := NewDemand(4, 45*time.Second)
	now := feed(d, source(1), 0, 5*time.Minute, 100, 0, 800, 100)
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		d.Arrived(now+time.Duration(i)*10*time.Millisecond, RequestInfo{Class: i % 4})
		if i%500 == 0 {
			d.Forecast(now + time.Duration(i)*10*time.Millisecond)
		}
	}
}
