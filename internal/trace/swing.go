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

// Swing is traffic whose mix moves between two classes: one that is mostly reading (rate questions: long
// prompts, short answers) and one that is mostly writing. Its load, as a part of what the engines can do with
// the best split of each moment, is held steady, so that what changes is the split that the moment wants.
type Swing struct {
	Shape  string // one of Shapes
	Length time.Duration
	Seed   uint64
	// Period is the time of a swing to and fro.
	Period time.Duration
	// MinReadShare and High are the parts of the work, as engines' time, that are reading.
	MinReadShare, MaxReadShare float64
	// ReadPerS and WritePerS are the tokens a second of one engine, Engines how many there are, Load the part
	// of their time that is asked for.
	ReadPerS, WritePerS float64
	Engines             int
	Load                float64
}

// kinds of requests of a swing: means of fresh prompt tokens, of the shared text before them, and of answers.
var swingClasses = []struct {
	name                  string
	fresh, shared, answer float64
	texts                 int
	spread                float64
}{
	{"rate-check", 1500, 600, 50, 12, 0.6},
	{"rule-explain", 350, 500, 190, 6, 0.6},
}

// Shapes are the shapes of swings with what they are.
var Shapes = map[string]string{
	"day":     "a sine: the mix moves slowly there and back",
	"ramps":   "straight up, a rest, straight down, a rest",
	"steps":   "four levels, each held for a quarter of the period",
	"market":  "two humps of different height in each period",
	"flicker": "from one end to the other and back every few seconds",
	"gusts":   "a level drawn anew every few seconds",
	"burst":   "steady, but for one burst of reading in the middle, a thirtieth of the length",
}

// reading is the part of the work that is reading, from 0 (Low) to 1 (High).
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
		hump := func(mid, width, height float64) float64 { d := (x - mid) / width; return height * math.Exp(-d*d) }
		return math.Min(hump(0.3, 0.1, 1)+hump(0.7, 0.12, 0.7), 1)
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

// Generate draws a trace of the swing. The same swing gives the same trace.
func (s *Swing) Generate() (*Trace, error) {
	if Shapes[s.Shape] == "" {
		var names []string
		for name := range Shapes {
			names = append(names, name)
		}
		slices.Sort(names)
		return nil, fmt.Errorf("swing: there is no shape %q, expected one of %s", s.Shape, strings.Join(names, ", "))
	}
	if s.Length <= 0 || s.Period <= 0 || s.Engines < 1 || s.Load <= 0 || s.ReadPerS <= 0 || s.WritePerS <= 0 || s.MinReadShare < 0 || s.MaxReadShare > 1 || s.MinReadShare > s.MaxReadShare {
		return nil, fmt.Errorf("swing: %+v: times, engines, load and paces must be over 0, and low and high in order from 0 to 1", *s)
	}
	src := rand.NewPCG(s.Seed, 0x7377696e67)
	rng := rand.New(src)
	gusts := make([]float64, 997)
	for i := range gusts {
		gusts[i] = rng.Float64()
	}
	t := &Trace{}
	var fresh, answer []distuv.LogNormal
	var texts [][]int
	for _, c := range swingClasses {
		t.Classes = append(t.Classes, c.name)
		logn := func(mean, sigma float64) distuv.LogNormal {
			return distuv.LogNormal{Mu: math.Log(mean) - sigma*sigma/2, Sigma: sigma, Src: src}
		}
		fresh, answer = append(fresh, logn(c.fresh, c.spread)), append(answer, logn(c.answer, c.spread))
		var lengths []int
		shared := logn(c.shared, 0.3)
		for range c.texts {
			lengths = append(lengths, int(shared.Rand())+1)
		}
		texts = append(texts, lengths)
	}
	// Engines' seconds that a request of each class reads and writes. A shared text is mostly kept.
	const missed = 0.05
	var read, write [2]float64
	for i, c := range swingClasses {
		read[i], write[i] = (c.fresh+missed*c.shared)/s.ReadPerS, c.answer/s.WritePerS
	}
	rates := func(at time.Duration) (a, b float64) {
		want := s.MinReadShare + (s.MaxReadShare-s.MinReadShare)*s.reading(at, gusts)
		// a*read0+b*read1 = want*work and a*write0+b*write1 = (1-want)*work.
		work := s.Load * float64(s.Engines)
		det := read[0]*write[1] - read[1]*write[0]
		a = (want*work*write[1] - (1-want)*work*read[1]) / det
		b = ((1-want)*work*read[0] - want*work*write[0]) / det
		return max(a, 0), max(b, 0)
	}
	most := 0.0
	for at := time.Duration(0); at < s.Length; at += max(s.Period/200, time.Millisecond) {
		a, b := rates(at)
		most = max(most, a+b)
	}
	// Arrivals of a changing rate: drawn at the highest, and let through by the present one.
	gap := distuv.Exponential{Rate: most, Src: src}
	for at := time.Duration(gap.Rand() * 1e9); at < s.Length; at += time.Duration(gap.Rand() * 1e9) {
		if len(t.Entries) >= MaxEntries {
			return nil, fmt.Errorf("swing: more than %d requests", MaxEntries)
		}
		a, b := rates(at)
		u := rng.Float64() * most
		if u >= a+b {
			continue
		}
		c := 0
		if u >= a {
			c = 1
		}
		text := rng.IntN(len(texts[c]))
		e := Entry{At: at, Class: c, PrefixTokens: texts[c][text], PrefixID: fmt.Sprintf("%s-%d", t.Classes[c], text+1),
			OutputTokens: min(max(int(answer[c].Rand()), 1), 1000)}
		e.PromptTokens = e.PrefixTokens + min(max(int(fresh[c].Rand()), 1), 12000)
		t.Entries = append(t.Entries, e)
	}
	return t, nil
}
