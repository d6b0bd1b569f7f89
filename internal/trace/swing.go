package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Swing is generated traffic whose mix moves between two classes: one that is mostly reading (rate questions with
// long prompts and short answers) and one that is mostly writing. Its load is constant, as a part of what the engines
// can do with the best split at each moment, so that only the best split changes.
type Swing struct {
	Shape  string // one of the keys of Shapes
	Length time.Duration
	Seed   uint64
	// Period is the duration of one oscillation of the mix.
	Period time.Duration
	// MinReadShare and MaxReadShare bound the part of the work, in engine time, that is reading.
	MinReadShare, MaxReadShare float64
	// ReadPerS and WritePerS are the tokens that one engine reads and writes a second, Engines is the number of
	// engines, and Load the requested part of their time.
	ReadPerS, WritePerS float64
	Engines             int
	Load                float64
}

// swingClasses are the classes of a swing's requests, with the mean tokens of the uncached prompt, of the shared
// prefix before it, and of the answer.
var swingClasses = []struct {
	name                     string
	uncached, prefix, answer float64
	prefixes                 int
	sigma                    float64
}{
	{"rate-check", 1500, 600, 50, 12, 0.6},
	{"rule-explain", 350, 500, 190, 6, 0.6},
}

// Shapes are the shapes of a swing and their descriptions.
var Shapes = map[string]string{
	"day":     "a sine: the mix changes slowly in both directions",
	"ramps":   "linear up, constant, linear down, constant",
	"steps":   "four levels, each held for a quarter of the period",
	"market":  "two peaks of different height in each period",
	"flicker": "alternates between both extremes every few seconds",
	"gusts":   "a new random level every few seconds",
	"burst":   "constant except for one burst of reading in the middle, for a thirtieth of the length",
}

// reading returns the part of the work that is reading, from 0 (MinReadShare) to 1 (MaxReadShare).
func (s *Swing) reading(at time.Duration, gusts []float64) float64 {
	x := math.Mod(at.Seconds()/s.Period.Seconds(), 1)
	switch s.Shape {
	case "day":
		return 0.5 - 0.5*math.Cos(2*math.Pi*x)
	case "ramps":
		switch {
		case x < 0.3:
			return x / 0.3
		case x < 0.5:
			return 1
		case x < 0.8:
			return 1 - (x-0.5)/0.3
		}
		return 0
	case "steps":
		return [...]float64{0.1, 0.6, 1, 0.4}[int(4*x)]
	case "market":
		peak := func(mid, width, height float64) float64 { d := (x - mid) / width; return height * math.Exp(-d*d) }
		return math.Min(peak(0.3, 0.1, 1)+peak(0.7, 0.12, 0.7), 1)
	case "flicker":
		if x < 0.5 {
			return 0
		}
		return 1
	case "gusts":
		return gusts[int(at/s.Period)%len(gusts)]
	}
	from := s.Length / 2
	if at >= from && at < from+s.Length/30 {
		return 1
	}
	return 0.4
}

// Generate draws a trace of the swing. The same swing always gives the same trace.
func (s *Swing) Generate() (*Trace, error) {
	if Shapes[s.Shape] == "" {
		var names []string
		for name := range Shapes {
			names = append(names, name)
		}
		slices.Sort(names)
		return nil, fmt.Errorf("swing: unknown shape %q, expected one of %s", s.Shape, strings.Join(names, ", "))
	}
	if s.Length <= 0 || s.Period <= 0 || s.Engines < 1 || s.Load <= 0 || s.ReadPerS <= 0 || s.WritePerS <= 0 || s.MinReadShare < 0 || s.MaxReadShare > 1 || s.MinReadShare > s.MaxReadShare {
		return nil, fmt.Errorf("swing: %+v: length, period, engines, load and read and write rates must be over 0, and 0 <= low <= high <= 1", *s)
	}
	src := rand.NewPCG(s.Seed, 0x7377696e67)
	rng := rand.New(src)
	gusts := make([]float64, 997)
	for i := range gusts {
		gusts[i] = rng.Float64()
	}
	t := &Trace{}
	var uncached, answer []distuv.LogNormal
	var prefixLengths [][]int
	for _, c := range swingClasses {
		t.Classes = append(t.Classes, c.name)
		logn := func(mean, sigma float64) distuv.LogNormal {
			return distuv.LogNormal{Mu: math.Log(mean) - sigma*sigma/2, Sigma: sigma, Src: src}
		}
		uncached, answer = append(uncached, logn(c.uncached, c.sigma)), append(answer, logn(c.answer, c.sigma))
		var lengths []int
		prefixLength := logn(c.prefix, 0.3)
		for range c.prefixes {
			lengths = append(lengths, int(prefixLength.Rand())+1)
		}
		prefixLengths = append(prefixLengths, lengths)
	}
	// The engine time in seconds that a request of each class takes to read and to write. A shared prefix is mostly
	// cached.
	const missShare = 0.05
	var read, write [2]float64
	for i, c := range swingClasses {
		read[i], write[i] = (c.uncached+missShare*c.prefix)/s.ReadPerS, c.answer/s.WritePerS
	}
	rates := func(at time.Duration) (a, b float64) {
		readShare := s.MinReadShare + (s.MaxReadShare-s.MinReadShare)*s.reading(at, gusts)
		// Solves a*read[0]+b*read[1] = readShare*work and a*write[0]+b*write[1] = (1-readShare)*work for the rates a and
		// b.
		work := s.Load * float64(s.Engines)
		det := read[0]*write[1] - read[1]*write[0]
		a = (readShare*work*write[1] - (1-readShare)*work*read[1]) / det
		b = ((1-readShare)*work*read[0] - readShare*work*write[0]) / det
		return max(a, 0), max(b, 0)
	}
	maxRate := 0.0
	for at := time.Duration(0); at < s.Length; at += max(s.Period/200, time.Millisecond) {
		a, b := rates(at)
		maxRate = max(maxRate, a+b)
	}
	// Arrivals are drawn at the highest rate and thinned to the current one.
	gap := distuv.Exponential{Rate: maxRate, Src: src}
	for at := time.Duration(gap.Rand() * 1e9); at < s.Length; at += time.Duration(gap.Rand() * 1e9) {
		if len(t.Entries) >= MaxEntries {
			return nil, fmt.Errorf("swing: more than %d requests", MaxEntries)
		}
		a, b := rates(at)
		u := rng.Float64() * maxRate
		if u >= a+b {
			continue
		}
		c := 0
		if u >= a {
			c = 1
		}
		prefix := rng.IntN(len(prefixLengths[c]))
		e := Entry{At: at, Class: c, PrefixTokens: prefixLengths[c][prefix], PrefixID: fmt.Sprintf("%s-%d", t.Classes[c], prefix+1),
			OutputTokens: min(max(int(answer[c].Rand()), 1), 1000)}
		e.PromptTokens = e.PrefixTokens + min(max(int(uncached[c].Rand()), 1), 12000)
		t.Entries = append(t.Entries, e)
	}
	return t, nil
}
