package roles

// Judge tells when a plan is worth carrying out. What a plan costs is in it already: the time that an engine is
// away is work not done, within the horizon. What is left is chance. The forecast's spread is what earlier
// forecasts were off by, so a mix that swings to and fro within a horizon is foretold at its mean, with a
// spread, and a plan that helps in some of its cases harms in others; a mix that moves slowly is foretold well,
// and a plan helps in nearly all cases in which it matters.
type Judge struct {
	Confidence float64 // for a change to be made, such as 0.9
	// Looks is how many looks in a row have to agree on the role that is short; 0: one. Each look is a draw of
	// the forecast's chance, and one of many is sure by chance alone.
	Looks int

	side float64 // towards which the last looks were sure, and how many
	same int
}

// Verdict is what a judge says of a plan.
type Verdict struct {
	Change     bool
	Confidence float64 // that it serves more, where it makes a difference
	Reason     string
}

// leastSeen is how many horizons have to have been foretold and seen: before that nobody knows how the mix
// moves, and one end of a swing looks like lasting.
const leastSeen = 3

// Look judges a plan that was made by a forecast.
func (j *Judge) Look(p *Plan, demand [stages]Work) Verdict {
	switch {
	case demand[Prefill].Seen < leastSeen || demand[Decode].Seen < leastSeen:
		return Verdict{Reason: "too little was seen of how the mix moves"}
	case len(p.Moves) == 0:
		j.same = 0
		return Verdict{Reason: "no change would serve more"}
	case p.Confidence < j.Confidence:
		j.same = 0
		return Verdict{Confidence: p.Confidence, Reason: "what is coming is not sure enough"}
	}
	if side := p.towards(); side != j.side {
		j.side, j.same = side, 0
	}
	if j.same++; j.same < j.Looks {
		return Verdict{Confidence: p.Confidence, Reason: "it has to be as sure at the next look"}
	}
	return Verdict{Change: true, Confidence: p.Confidence, Reason: "it earns back its cost"}
}

// towards is the role to which a plan moves on the whole: +1 prefill, -1 decode, 0 neither.
func (p *Plan) towards() (side float64) {
	for _, m := range p.Moves {
		if m.To == Prefill {
			side++
		} else {
			side--
		}
	}
	switch {
	case side > 0:
		return 1
	case side < 0:
		return -1
	}
	return 0
}
