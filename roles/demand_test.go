package roles

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// feedTraffic adds random arrivals at the given rate for a time, with their reads and answers, and returns the end of
// that time.
func feedTraffic(d *DemandEstimator, rng *rand.Rand, from, length time.Duration, rate float64, class int, prompt, answer float64) time.Duration {
	gap := distuv.Exponential{Rate: rate, Src: rng}
	p := distuv.LogNormal{Mu: math.Log(prompt) - 0.32, Sigma: 0.8, Src: rng}
	a := distuv.LogNormal{Mu: math.Log(answer) - 0.18, Sigma: 0.6, Src: rng}
	for at := from; ; {
		at += time.Duration(gap.Rand() * 1e9)
		if at > from+length {
			return from + length
		}
		d.ObserveArrival(at, RequestInfo{Class: class})
		d.ObserveRead(RequestInfo{Class: class, PromptTokens: p.Rand()})
		d.ObserveOutput(RequestInfo{Class: class, OutputTokens: a.Rand()})
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// The 90% interval of the forecast contains the actual work about as often as it claims.
func TestForecastInterval(t *testing.T) {
	inside, n := 0, 0
	for seed := range uint64(200) {
		rng := newRand(seed)
		d := NewDemandEstimator(1, time.Minute)
		now := feedTraffic(d, rng, 0, 2*time.Minute, 10, 0, 800, 100)
		for st, w := range d.Forecast(now) {
			actual := []float64{8000, 1000}[st]
			n++
			if math.Abs(w.Mean-actual) < 1.645*w.SD {
				inside++
			}
			if w.SD > actual/2 {
				t.Fatalf("seed %d: standard deviation of %+v exceeds half of the actual work", seed, w)
			}
		}
	}
	if share := float64(inside) / float64(n); share < 0.85 {
		t.Errorf("the 90%% interval contains the actual work in a share of %.2f of %d forecasts", share, n)
	}
}

// Demand counts requests by their arrival, independent of their outcome, and clients' retries do not count again.
func TestRetriesAreNotDemand(t *testing.T) {
	d := NewDemandEstimator(1, time.Minute)
	for i := range 1000 {
		at := time.Duration(i) * 100 * time.Millisecond
		d.ObserveArrival(at, RequestInfo{})
		d.ObserveArrival(at, RequestInfo{Retry: true})
	}
	mean, _ := d.classes[0].longRate.rate(100 * time.Second)
	if math.Abs(mean-10) > 0.5 {
		t.Errorf("%.1f requests a second, want 10", mean)
	}
}

// A few very long prompts, or one short burst, change the forecast by little; a lasting change of the rate changes
// it.
func TestForecastIsRobust(t *testing.T) {
	d := NewDemandEstimator(1, time.Minute)
	now := feedTraffic(d, newRand(1), 0, 5*time.Minute, 10, 0, 800, 100)
	before := d.Forecast(now)
	for range 5 {
		d.ObserveRead(RequestInfo{PromptTokens: 30000})
	}
	if after := d.Forecast(now); after[Prefill].Mean > 1.25*before[Prefill].Mean {
		t.Errorf("forecast after five long prompts: %.0f to %.0f", before[Prefill].Mean, after[Prefill].Mean)
	}
	burst := feedTraffic(d, newRand(2), now, 3*time.Second, 30, 0, 800, 100)
	w := d.Forecast(burst)
	if w[Decode].Mean > 1.5*before[Decode].Mean {
		t.Errorf("forecast after a burst of 3 s: %.0f to %.0f", before[Decode].Mean, w[Decode].Mean)
	}
	if w[Decode].SD <= before[Decode].SD {
		t.Error("a burst does not raise the standard deviation of the forecast")
	}
	lasting := feedTraffic(d, newRand(3), burst, 2*time.Minute, 30, 0, 800, 100)
	if w := d.Forecast(lasting); w[Decode].Mean < 2.3*before[Decode].Mean {
		t.Errorf("forecast after two minutes of three times the traffic: %.0f to %.0f", before[Decode].Mean, w[Decode].Mean)
	}
}

// A truncated answer counts as longer than its observed part.
func TestTruncatedAnswers(t *testing.T) {
	rng := newRand(4)
	draw := distuv.LogNormal{Mu: math.Log(100), Sigma: 0.6, Src: rng}
	var whole, naive, truncated lengthEstimate
	for range 3000 {
		x := draw.Rand()
		whole.observe(x, false)
		seen := math.Min(x, 120)
		naive.observe(seen, false)
		truncated.observe(seen, x > 120)
	}
	want, _, _ := whole.mean()
	low, _, _ := naive.mean()
	got, _, _ := truncated.mean()
	if math.Abs(got-want) > math.Abs(low-want)/2 {
		t.Errorf("mean %.0f; estimated from truncated answers %.0f, or %.0f if they are taken as complete", want, got, low)
	}
}

func TestForecastWithoutObservations(t *testing.T) {
	d := NewDemandEstimator(2, time.Minute)
	for _, w := range d.Forecast(0) {
		if math.IsNaN(w.Mean) || math.IsNaN(w.SD) || w.SD < w.Mean/2 {
			t.Errorf("forecast without observations: %+v", w)
		}
	}
	d.ObserveArrival(0, RequestInfo{Class: 9}) // an unknown class
	d.ObserveRead(RequestInfo{Class: -1, PromptTokens: 1})
	d.ObserveArrival(time.Hour, RequestInfo{Class: 1})
	if w := d.Forecast(2 * time.Hour); math.IsNaN(w[Decode].Mean) || w[Decode].Mean > 100 {
		t.Errorf("forecast an hour after the last arrival: %+v", w)
	}
}

// A short horizon has few arrivals, so their randomness makes its forecast less certain.
func TestShortHorizonIsLessCertain(t *testing.T) {
	var w [2]WorkForecast
	for i, horizon := range []time.Duration{2 * time.Second, 2 * time.Minute} {
		d := NewDemandEstimator(1, horizon)
		w[i] = d.Forecast(feedTraffic(d, newRand(7), 0, 10*time.Minute, 10, 0, 800, 100))[Decode]
	}
	short, long := w[0], w[1]
	if short.SD < 1.5*long.SD {
		t.Errorf("%+v over two seconds, %+v over two minutes", short, long)
	}
}
