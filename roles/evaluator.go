package roles

// PlanEvaluator decides whether a plan is worth carrying out. The cost of the change is already part of the plan, as
// the time in which an engine is away counts as lost work within the horizon. What remains is uncertainty, measured
// by the errors of past forecasts. A mix that alternates within a horizon is forecast at its mean with a large
// standard deviation, so that a plan helps in some of the cases and harms in others. A mix that moves slowly is
// forecast precisely, and a plan helps in nearly all cases in which it makes a difference.
type PlanEvaluator struct {
	Confidence float64 // required for a change, for example 0.9
	// ConsecutivePlans is how many plans in a row have to agree on the role that is short; 0: one. Each evaluation is
	// a random sample of the forecast, and among many samples one passes by chance alone.
	ConsecutivePlans int

	direction float64 // the role that the last confident plans agree on, as in netDirection
	agreed    int     // the number of these plans
}

// Verdict is the result of an evaluation.
type Verdict struct {
	Change     bool
	Confidence float64 // that the plan serves more, where it makes a difference
	Reason     string  `json:"Why"`
}

// minHorizons is how many horizons of the forecast have to be scored before any change. With fewer it is unknown how
// the mix moves, and one extreme of an alternating mix looks like a lasting change.
const minHorizons = 3

// Evaluate decides on a plan made from a forecast of the demand.
func (e *PlanEvaluator) Evaluate(p *Plan, demand [stages]WorkForecast) Verdict {
	switch {
	case demand[Prefill].ScoredHorizons < minHorizons || demand[Decode].ScoredHorizons < minHorizons:
		return Verdict{Reason: "too little was seen of how the mix moves"}
	case len(p.Moves) == 0:
		e.agreed = 0
		return Verdict{Reason: "no change would serve more"}
	case p.Confidence < e.Confidence:
		e.agreed = 0
		return Verdict{Confidence: p.Confidence, Reason: "what is coming is not sure enough"}
	}
	if side := p.netDirection(); side != e.direction {
		e.direction, e.agreed = side, 0
	}
	if e.agreed++; e.agreed < e.ConsecutivePlans {
		return Verdict{Confidence: p.Confidence, Reason: "it has to be as sure at the next look"}
	}
	return Verdict{Change: true, Confidence: p.Confidence, Reason: "it earns back its cost"}
}

// netDirection returns the role to which a plan moves engines on balance: +1 for prefill, -1 for decode, 0 for
// neither.
func (p *Plan) netDirection() (side float64) {
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
