package roles

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Judge tells when a plan is worth carrying out. A plan says what the forecast of one moment would gain; the
// judge keeps how that gain has moved from plan to plan, towards which role, and lets a change through only
// when what it would earn over the horizon is above nothing with the stated confidence. A mix that swings
// to and fro gains now on one side, now on the other: its mean is small, its spread large, and nothing is
// changed. A slow swing shows the same side again and again.
type Judge struct {
	Confidence float64       // for a change to be made, such as 0.9
	Horizon    time.Duration // over which a change has to pay; gains are remembered as long

	mean, vari float64 // of the signed gain: over 0 towards prefill
	weight     float64 // plans that the memory holds
	at         time.Duration
	seen       bool
}

// Verdict is what a judge says of a plan.
type Verdict struct {
	Change     bool
	Confidence float64 // that the gain is no chance
	Why        string
}

// towards is the role to which a plan moves on the whole: +1 prefill, -1 decode, 0 neither.
func (p *Plan) towards() float64 {
	sum := 0
	for _, m := range p.Moves {
		if m.To == Prefill {
			sum++
		} else {
			sum--
		}
	}
	switch {
	case sum > 0:
		return 1
	case sum < 0:
		return -1
	}
	return 0
}

// Look takes in the plan of a moment and judges it. now does not go back.
func (j *Judge) Look(now time.Duration, p *Plan) Verdict {
	gain := p.towards() * (p.Then - p.Now)
	j.learn(now, gain)
	if len(p.Moves) == 0 {
		return Verdict{Why: "no change would serve more"}
	}
	side := p.towards()
	if side == 0 { // as many each way, as after a cell has died: no swing of the mix can undo it
		return Verdict{Change: true, Confidence: 1, Why: "moves in both ways, at once"}
	}
	c := j.confidence(side)
	if c < j.Confidence {
		return Verdict{Confidence: c, Why: "the mix moves to and fro, or too little was seen of it"}
	}
	return Verdict{Change: true, Confidence: c, Why: "it earns back its cost"}
}

// learn takes in a signed gain. The memory fades over the horizon.
func (j *Judge) learn(now time.Duration, gain float64) {
	if j.seen && now > j.at {
		j.weight *= math.Exp(-float64(now-j.at) / float64(j.Horizon))
	}
	j.seen, j.at = true, max(now, j.at)
	j.weight++
	d := gain - j.mean
	j.mean += d / j.weight
	j.vari += (d*(gain-j.mean) - j.vari) / j.weight
}

// confidence is how sure it is that the gain towards a side, over a horizon to come, will be over nothing.
// What was seen over the last horizon is one draw of what may come, so its whole spread counts, not the
// error of its mean; and of few plans less is known.
func (j *Judge) confidence(side float64) float64 {
	mean := side * j.mean
	if j.weight < 2 || mean <= 0 {
		return 0
	}
	spread := math.Sqrt(j.vari)
	if spread == 0 {
		return 1 - 1/(1+j.weight)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: math.Max(j.weight-1, 1)}
	return t.CDF(mean / (spread * math.Sqrt(1+1/j.weight)))
}

// Changed tells that a plan is being carried out: what was learnt was of another split.
func (j *Judge) Changed() { j.mean, j.vari, j.weight, j.seen = 0, 0, 0, false }
