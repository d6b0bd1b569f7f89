package roles

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// feed plays arrivals at random with a rate over a time, and returns the time of its end.
func feed(d *Demand, rng *rand.Rand, from, length time.Duration, rate float64, class int, prompt, answer float64) time.Duration {
	gap := distuv.Exponential{Rate: rate, Src: rng}
	p := distuv.LogNormal{Mu: math.Log(prompt) - 0.32, Sigma: 0.8, Src: rng}
	a := distuv.LogNormal{Mu: math.Log(answer) - 0.18, Sigma: 0.6, Src: rng}
	for at := from; ; {
		at += time.Duration(gap.Rand() * 1e9)
		if at > from+length {
			return from + length
		}
		d.Arrived(at, RequestInfo{Class: class})
		d.Read(RequestInfo{Class: class, PromptTokens: p.Rand()})
		d.Written(RequestInfo{Class: class, OutputTokens: a.Rand()})
	}
}

func source(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// The forecast's 90% interval holds the true work about as often as it says.
func TestForecastIsHonest(t *testing.T) {
	inside, n := 0, 0
	for seed := range uint64(200) {
		rng := source(seed)
		d := NewDemand(1, time.Minute)
		now := feed(d, rng, 0, 2*time.Minute, 10, 0, 800, 100)
		for st, w := range d.Forecast(now) {
			truth := []float64{8000, 1000}[st]
			n++
			if math.Abs(w.Mean-truth) < 1.645*w.SD {
				inside++
			}
			if w.SD > truth/2 {
				t.Fatalf("seed %d: %+v is no forecast", seed, w)
			}
		}
	}
	if share := float64(inside) / float64(n); share < 0.85 {
		t.Errorf("the truth lies within the 90%% interval in %.2f of %d", share, n)
	}
}

// Demand is what is asked: whether a request is served, refused or late is not told, and a client's repeats
// do not count again.
func TestRepeatsAreNoDemand(t *testing.T) {
	d := NewDemand(1, time.Minute)
	for i := range 1000 {
		at := time.Duration(i) * 100 * time.Millisecond
		d.Arrived(at, RequestInfo{})
		d.Arrived(at, RequestInfo{Retry: true})
	}
	mean, _ := d.classes[0].long.rate(100 * time.Second)
	if math.Abs(mean-10) > 0.5 {
		t.Errorf("%.1f requests a second, want 10", mean)
	}
}

// A few very long prompts, or one burst, move the forecast by little; a lasting change moves it.
func TestRobustness(t *testing.T) {
	d := NewDemand(1, time.Minute)
	now := feed(d, source(1), 0, 5*time.Minute, 10, 0, 800, 100)
	before := d.Forecast(now)
	for range 5 {
		d.Read(RequestInfo{PromptTokens: 30000})
	}
	if after := d.Forecast(now); after[Prefill].Mean > 1.25*before[Prefill].Mean {
		t.Errorf("five long prompts: %.0f to %.0f", before[Prefill].Mean, after[Prefill].Mean)
	}
	burst := feed(d, source(2), now, 3*time.Second, 30, 0, 800, 100)
	w := d.Forecast(burst)
	if w[Decode].Mean > 1.5*before[Decode].Mean {
		t.Errorf("a burst of 3 s: %.0f to %.0f", before[Decode].Mean, w[Decode].Mean)
	}
	if w[Decode].SD <= before[Decode].SD {
		t.Error("a burst makes the forecast surer")
	}
	lasting := feed(d, source(3), burst, 2*time.Minute, 30, 0, 800, 100)
	if w := d.Forecast(lasting); w[Decode].Mean < 2.3*before[Decode].Mean {
		t.Errorf("three times the traffic for two minutes: %.0f to %.0f", before[Decode].Mean, w[Decode].Mean)
	}
}

// Answers that were cut off count as longer than what was seen of them.
func TestCutAnswers(t *testing.T) {
	rng := source(4)
	draw := distuv.LogNormal{Mu: math.Log(100), Sigma: 0.6, Src: rng}
	var whole, blind, told length
	for range 3000 {
		x := draw.Rand()
		whole.learn(x, false)
		seen := math.Min(x, 120)
		blind.learn(seen, false)
		told.learn(seen, x > 120)
	}
	want, _, _ := whole.mean()
	low, _, _ := blind.mean()
	got, _, _ := told.mean()
	if math.Abs(got-want) > math.Abs(low-want)/2 {
		t.Errorf("mean %.0f; with cut answers %.0f, taken for whole %.0f", want, got, low)
	}
}

func TestNothingSeen(t *testing.T) {
	d := NewDemand(2, time.Minute)
	for _, w := range d.Forecast(0) {
		if math.IsNaN(w.Mean) || math.IsNaN(w.SD) || w.SD < w.Mean/2 {
			t.Errorf("nothing was seen, and the forecast is %+v", w)
		}
	}
	d.Arrived(0, RequestInfo{Class: 9}) // of no class that is known
	d.Read(RequestInfo{Class: -1, PromptTokens: 1})
	d.Arrived(time.Hour, RequestInfo{Class: 1})
	if w := d.Forecast(2 * time.Hour); math.IsNaN(w[Decode].Mean) || w[Decode].Mean > 100 {
		t.Errorf("an hour after the last arrival: %+v", w)
	}
}

// A short horizon holds few arrivals, so chance alone widens its forecast.
func TestShortHorizonIsLessSure(t *testing.T) {
	var w [2]Work
	for i, horizon := range []time.Duration{2 * time.Second, 2 * time.Minute} {
		d := NewDemand(1, horizon)
		w[i] = d.Forecast(feed(d, source(7), 0, 10*time.Minute, 10, 0, 800, 100))[Decode]
	}
	short, long := w[0], w[1]
	if short.SD < 1.5*long.SD {
		t.Errorf("%+v over two seconds, %+v over two minutes", short, long)
	}
}
