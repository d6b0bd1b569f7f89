package sim

import (
	"time"

	"mintdoor/decide"
	"mintdoor/internal/config"
	standin "mintdoor/internal/standin/engine"
	"mintdoor/internal/trace"
	"mintdoor/roles"
)

// Scene is the standard run that experiments and tests begin from: engines that can all do both stages, in
// two cells, behind three routers.
type Scene struct {
	Engines int
	Readers int // at the start
	Routers int // 0: 3
	Seed    uint64
	// Away is how many engines may be away at once; 0: a tenth, at least 2.
	Away int
}

// Config returns the run of a trace.
func (s Scene) Config(t *trace.Trace) Config {
	if s.Routers == 0 {
		s.Routers = 3
	}
	if s.Away == 0 {
		s.Away = max(s.Engines/10, 2)
	}
	read, write := standin.Prefill(), standin.Decode()
	const coldFor = 13 * time.Second
	for _, spec := range []*standin.Spec{&read, &write} {
		spec.SlowStartTime, spec.MeanPromptTokens, spec.MeanAnswerTokens = coldFor*9/10, 1000, 100
	}
	class := func(worth float64) decide.Class {
		return decide.Class{FirstTokenTarget: decide.Second, FirstTokenTargetPerK: 40e6, Deadline: 4 * decide.Second, TokenIntervalTarget: 60e6, Value: worth, LateValue: 0.2}
	}
	c := Config{Seed: s.Seed, Prefill: read, Decode: write, Change: 2 * time.Second, Look: time.Second, Net: 300 * time.Microsecond,
		Link: 600e3, Silent: 3 * time.Second, Add: time.Second, MaxAnswer: 1000, Unknown: 100, CheckDelay: 10 * time.Millisecond, Trace: t}
	c.Settings = decide.Settings{Routers: s.Routers, Classes: []decide.Class{class(3), class(1)}, MayCancel: true, MaxAttempts: 6,
		MaxRetryAfter: decide.Second / 2, DialTimeout: decide.Second / 4, AnswerGrace: 16e6, DrainGrace: decide.Second, HoldTimeout: 300e6,
		OverloadMultiple: read.OverloadMultiple, OverloadWindow: decide.Duration(read.OverloadWindow), InitialCapacity: read.InitialCapacity * 0.87,
		SlowStartTime: decide.Duration(coldFor), OverQuotaValue: 0.1, ProbeCost: 0.0026,
		Kinds: []decide.Kind{roles.Prefill: {Role: decide.Reader, Memory: float64(read.MemoryTokens)}, roles.Decode: {Role: decide.Writer, Memory: float64(write.MemoryTokens)}}}
	for i := range s.Engines {
		role := roles.Decode
		if i < s.Readers {
			role = roles.Prefill
		}
		c.Engines = append(c.Engines, Engine{Cell: i % 2, Role: role})
	}
	return c
}

// Shifting returns the settings of the decisions on roles that a run with shifting has: the program's defaults.
func (s Scene) Shifting() *roles.Config {
	away := s.Away
	if away == 0 {
		away = max(s.Engines/10, 2)
	}
	c := config.Defaults().Roles()
	c.Classes, c.Costs.MaxChanging = 2, away
	return &c
}
