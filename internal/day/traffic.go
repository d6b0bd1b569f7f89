package day

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// ask is one request of the day, drawn before the day begins: arrivals do not wait for answers.
type ask struct {
	at       time.Duration
	name     string
	class    int
	session  string
	text     string
	prompt   int // tokens
	shared   int // of them, the shared text's
	answer   int
	hint     int
	patience float64
	leaves   bool // it goes away when its patience is over, rather than coming with little time
}

// lognormal draws around a mean; sigma is of the logarithm.
func lognormal(mean, sigma float64, src rand.Source) distuv.LogNormal {
	return distuv.LogNormal{Mu: math.Log(max(mean, 1)) - sigma*sigma/2, Sigma: sigma, Src: src}
}

// draw draws the requests of a scaled script, in order of time.
func (s *Script) draw() []ask {
	src := rand.NewPCG(s.Seed, 0x6d696e74)
	rng := rand.New(src)
	turns, shares := 0.0, 0.0
	for _, c := range s.Classes {
		turns, shares = turns+c.Share*max(c.Turns, 1), shares+c.Share
	}
	// Sessions begin before the day, so that its start is like its middle.
	warm := 3 * s.Classes[0].ThinkTime
	sessions := distuv.Exponential{Rate: s.Rate / (turns / shares), Src: src}
	textLength := make([][]int, len(s.Classes))
	zipf := make([]*rand.Zipf, len(s.Classes))
	for i, c := range s.Classes {
		d := lognormal(c.PrefixTokens, 0.4, src)
		for range max(c.Prefixes, 1) {
			textLength[i] = append(textLength[i], int(d.Rand())+1)
		}
		zipf[i] = rand.NewZipf(rng, 1.1, 1, uint64(max(c.Prefixes, 1)-1))
	}
	var out []ask
	session := 0
	for at := -warm; ; {
		at += time.Duration(sessions.Rand() / s.factor(at, "burst", 1) * 1e9)
		if at >= s.Length {
			break
		}
		session++
		ci := 0
		for pick := rng.Float64() * shares; ci < len(s.Classes)-1 && pick >= s.Classes[ci].Share; ci++ {
			pick -= s.Classes[ci].Share
		}
		c := &s.Classes[ci]
		a := ask{class: ci, session: fmt.Sprintf("s%d", session)}
		if rng.Float64() < c.PrefixShare {
			n := int(zipf[ci].Uint64())
			a.text, a.shared = fmt.Sprintf("%s-text-%d", c.Name, n), textLength[ci][n]
		}
		a.prompt = a.shared
		think := distuv.Exponential{Rate: 1 / max(c.ThinkTime.Seconds(), 1e-3), Src: src}
		fresh, length := lognormal(c.NewTokens, c.NewTokensSigma, src), lognormal(c.OutputTokens, c.OutputTokensSigma, src)
		for turn := at; turn < s.Length; {
			n := int(fresh.Rand()) + 1
			if f := s.tail(turn, ci); f > 1 && rng.Float64() < s.tailShare(turn, ci) {
				n = int(float64(n) * f)
			}
			a.prompt = min(a.prompt+n, s.Prefill.Spec.MaxContextTokens-c.MaxOutputTokens-1)
			a.answer = min(max(int(length.Rand()), 1), c.MaxOutputTokens)
			a.hint = max(int(float64(a.answer)*math.Exp(0.5*rng.NormFloat64())), 1)
			a.at, a.patience, a.leaves = turn, s.Clients.Patience, false
			s.giveUp(&a, rng)
			if turn >= 0 {
				out = append(out, a)
			}
			a.prompt += a.answer
			if rng.Float64() >= 1-1/max(c.Turns, 1) {
				break
			}
			turn += time.Duration(think.Rand()*1e9) + time.Duration(a.answer)*c.TokenIntervalTarget/2
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	for i := range out {
		out[i].name = fmt.Sprintf("q%d", i+1)
	}
	return out
}

// factor is the product of the sizes of a kind of trouble that are on at a time.
func (s *Script) factor(at time.Duration, kind string, f float64) float64 {
	for _, e := range s.Events {
		if e.Kind == kind && at >= e.At && at < e.At+e.Duration && e.Size > 0 {
			f *= e.Size
		}
	}
	return f
}

func (s *Script) tail(at time.Duration, class int) float64 {
	f := 1.0
	for _, e := range s.Events {
		if e.Kind == "heavy_tail" && at >= e.At && at < e.At+e.Duration && (e.Class == "" || e.Class == s.Classes[class].Name) {
			f = max(f, e.Size)
		}
	}
	return f
}

func (s *Script) tailShare(at time.Duration, class int) (share float64) {
	for _, e := range s.Events {
		if e.Kind == "heavy_tail" && at >= e.At && at < e.At+e.Duration && (e.Class == "" || e.Class == s.Classes[class].Name) {
			share = max(share, e.Extra)
		}
	}
	return share
}

// giveUp shortens the patience of some clients: to a part of the aim.
func (s *Script) giveUp(a *ask, rng *rand.Rand) {
	for _, e := range s.Events {
		if e.Kind == "give_up" && a.at >= e.At && a.at < e.At+e.Duration && rng.Float64() < e.Size {
			c := &s.Classes[a.class]
			a.patience = e.Extra * float64(c.FirstTokenTarget) / float64(c.Deadline)
			a.leaves = e.How == "leave"
		}
	}
}
