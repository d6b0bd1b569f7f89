package sim

import (
	"time"

	"mintdoor/decide"
	"mintdoor/internal/config"
	standin "mintdoor/internal/standin/engine"
	"mintdoor/internal/trace"
	"mintdoor/roles"
)

// Scenario is the standard run that experiments and tests start from: engines that all support both stages, in two
// cells, behind three routers.
type Scenario struct {
	Engines int
	Readers int // initial number of readers
	Routers int // 0: 3
	Seed    uint64
	// MaxAway is how many engines may be away at once; 0: a tenth, but at least 2.
	MaxAway int
}

// Config returns the configuration of a run that plays a trace.
func (s Scenario) Config(t *trace.Trace) Config {
	if s.Routers == 0 {
		s.Routers = 3
	}
	if s.MaxAway == 0 {
		s.MaxAway = max(s.Engines/10, 2)
	}
	read, write := standin.Prefill(), standin.Decode()
	const slowStartTime = 13 * time.Second
	for _, spec := range []*standin.Spec{&read, &write} {
		spec.SlowStartTime, spec.MeanPromptTokens, spec.MeanAnswerTokens = slowStartTime*9/10, 1000, 100
	}
	class := func(value float64) decide.Class {
		return decide.Class{FirstTokenTarget: decide.Second, FirstTokenTargetPerK: 40e6, Deadline: 4 * decide.Second, TokenIntervalTarget: 60e6, Value: value, LateValue: 0.2}
	}
	c := Config{Seed: s.Seed, Prefill: read, Decode: write, RoleChangeTime: 2 * time.Second, CheckInterval: time.Second, NetworkDelay: 300 * time.Microsecond,
		LinkTokensPerSecond: 600e3, CrashListDelay: 3 * time.Second, StartListDelay: time.Second, MaxOutputTokens: 1000, DefaultOutputTokens: 100, DrainSlack: 10 * time.Millisecond, Trace: t}
	c.Settings = decide.Settings{Routers: s.Routers, Classes: []decide.Class{class(3), class(1)}, MayCancel: true, MaxAttempts: 6,
		MaxRetryAfter: decide.Second / 2, DialTimeout: decide.Second / 4, AnswerGrace: 16e6, DrainGrace: decide.Second, HoldTimeout: 300e6,
		OverloadMultiple: read.OverloadMultiple, OverloadWindow: decide.Duration(read.OverloadWindow), InitialCapacity: read.InitialCapacity * 0.87,
		SlowStartTime: decide.Duration(slowStartTime), OverQuotaValue: 0.1, ProbeCost: 0.0026,
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

// RoleConfig returns the configuration of role decisions for a run with role changes: the program's defaults.
func (s Scenario) RoleConfig() *roles.Config {
	away := s.MaxAway
	if away == 0 {
		away = max(s.Engines/10, 2)
	}
	c := config.Defaults().Roles()
	c.Classes, c.Costs.MaxChanging = 2, away
	return &c
}
