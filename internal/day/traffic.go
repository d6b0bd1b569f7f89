package day

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// request is one request of the scenario. All requests are drawn in advance, so arrivals do not wait for answers.
type request struct {
	at           time.Duration
	id           string
	class        int
	session      string
	prefixID     string
	promptTokens int // prompt tokens
	prefixTokens int // tokens of the shared prefix, part of the prompt
	outputTokens int
	lengthHint   int
	patience     float64
	clientLeaves bool // the client leaves when its patience is over, instead of setting a short deadline
}

// lognormal returns a distribution with the given mean; sigma is the standard deviation of the logarithm.
func lognormal(mean, sigma float64, src rand.Source) distuv.LogNormal {
	return distuv.LogNormal{Mu: math.Log(max(mean, 1)) - sigma*sigma/2, Sigma: sigma, Src: src}
}

// draw draws the requests of a scaled script, in order of time.
func (s *Script) draw() []request {
	src := rand.NewPCG(s.Seed, 0x6d696e74)
	rng := rand.New(src)
	turns, shares := 0.0, 0.0
	for _, c := range s.Classes {
		turns, shares = turns+c.Share*max(c.Turns, 1), shares+c.Share
	}
	// Sessions begin before the scenario does, so that its start has the same mix of turns as its middle.
	warm := 3 * s.Classes[0].ThinkTime
	sessions := distuv.Exponential{Rate: s.Rate / (turns / shares), Src: src}
	prefixLength := make([][]int, len(s.Classes))
	zipf := make([]*rand.Zipf, len(s.Classes))
	for i, c := range s.Classes {
		d := lognormal(c.PrefixTokens, 0.4, src)
		for range max(c.Prefixes, 1) {
			prefixLength[i] = append(prefixLength[i], int(d.Rand())+1)
		}
		zipf[i] = rand.NewZipf(rng, 1.1, 1, uint64(max(c.Prefixes, 1)-1))
	}
	var out []request
	session := 0
	for at := -warm; ; {
		at += time.Duration(sessions.Rand() / s.factor(at, "burst", 1) * 1e9)
		if at >= s.Length {
			break
		}
		session++
		classIndex := 0
		for pick := rng.Float64() * shares; classIndex < len(s.Classes)-1 && pick >= s.Classes[classIndex].Share; classIndex++ {
			pick -= s.Classes[classIndex].Share
		}
		c := &s.Classes[classIndex]
		a := request{class: classIndex, session: fmt.Sprintf("s%d", session)}
		if rng.Float64() < c.PrefixShare {
			n := int(zipf[classIndex].Uint64())
			a.prefixID, a.prefixTokens = fmt.Sprintf("%s-text-%d", c.Name, n), prefixLength[classIndex][n]
		}
		a.promptTokens = a.prefixTokens
		think := distuv.Exponential{Rate: 1 / max(c.ThinkTime.Seconds(), 1e-3), Src: src}
		newTokens, outputTokens := lognormal(c.NewTokens, c.NewTokensSigma, src), lognormal(c.OutputTokens, c.OutputTokensSigma, src)
		for turn := at; turn < s.Length; {
			n := int(newTokens.Rand()) + 1
			if f := s.tailFactor(turn, classIndex); f > 1 && rng.Float64() < s.tailShare(turn, classIndex) {
				n = int(float64(n) * f)
			}
			a.promptTokens = min(a.promptTokens+n, s.Prefill.Spec.MaxContextTokens-c.MaxOutputTokens-1)
			a.outputTokens = min(max(int(outputTokens.Rand()), 1), c.MaxOutputTokens)
			a.lengthHint = max(int(float64(a.outputTokens)*math.Exp(0.5*rng.NormFloat64())), 1)
			a.at, a.patience, a.clientLeaves = turn, s.Clients.Patience, false
			s.giveUp(&a, rng)
			if turn >= 0 {
				out = append(out, a)
			}
			a.promptTokens += a.outputTokens
			if rng.Float64() >= 1-1/max(c.Turns, 1) {
				break
			}
			turn += time.Duration(think.Rand()*1e9) + time.Duration(a.outputTokens)*c.TokenIntervalTarget/2
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	for i := range out {
		out[i].id = fmt.Sprintf("q%d", i+1)
	}
	return out
}

// factor returns f multiplied by the sizes of all events of a kind that are active at a time.
func (s *Script) factor(at time.Duration, kind string, f float64) float64 {
	for _, e := range s.Events {
		if e.Kind == kind && at >= e.At && at < e.At+e.Duration && e.Size > 0 {
			f *= e.Size
		}
	}
	return f
}

func (s *Script) tailFactor(at time.Duration, class int) float64 {
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

// giveUp shortens the patience of some clients to a part of the first-token target.
func (s *Script) giveUp(a *request, rng *rand.Rand) {
	for _, e := range s.Events {
		if e.Kind == "give_up" && a.at >= e.At && a.at < e.At+e.Duration && rng.Float64() < e.Size {
			c := &s.Classes[a.class]
			a.patience = e.Extra * float64(c.FirstTokenTarget) / float64(c.Deadline)
			a.clientLeaves = e.How == "leave"
		}
	}
}
