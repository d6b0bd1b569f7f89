package soak

import (
	"time"

	"mintdoor/internal/discovery/watch"
)

// config is the configuration file of a router on the platform.
type config struct {
	Name      string     `json:"name"`
	Listen    string     `json:"listen"`
	Discovery string     `json:"discovery"`
	Seed      string     `json:"seed"`
	Limits    limits     `json:"limits"`
	Known     watch.List `json:"known"`
	Settings  settings   `json:"settings"`
}

// limits are the resource limits of a router.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// settings are the platform's settings. The JSON keys are the platform's.
type settings struct {
	Instances   int         `json:"instances"`
	Index       int         `json:"index"`
	Zone        int         `json:"zone"`
	Zones       []string    `json:"dcs"`
	Kinds       []string    `json:"hostTypes"`
	Membership  string      `json:"membershipMode"`
	Feedback    feedback    `json:"feedback"`
	Family      family      `json:"familyInfo"`
	Costs       costs       `json:"fees"`
	Obligations obligations `json:"obligations"`
	Permissions permissions `json:"permissions"`
	Classes     []class     `json:"requestClasses"`
}

// feedback says how routers get the engines' load reports, and the names of their values.
type feedback struct {
	How   string   `json:"how"`
	Names []string `json:"names"`
}

// family are the settings of a two-stage engine family, by engine kind or by class.
type family struct {
	HoldTimeout                time.Duration   `json:"letGoByNs"`
	Roles                      []string        `json:"kindRole"`
	TokensByKind               []int           `json:"tokensByKind"`
	TokenIntervalTargets       []time.Duration `json:"tokenAimNs"`
	FirstTokenTargetPerKMicros []int           `json:"aimUsPer1000PromptTokens"`
}

// costs are the costs that a router weighs against its value of a request.
type costs struct {
	Probe float64 `json:"probe"`
}

// obligations are the times and limits that a router has to keep.
type obligations struct {
	AnswerGrace      time.Duration `json:"graceToAnswerNs"`
	DrainGrace       time.Duration `json:"drainGraceNs"`
	OverloadMultiple float64       `json:"fallMultiple"`
	OverloadWindow   time.Duration `json:"overloadForNs"`
	InitialCapacity  float64       `json:"startCapacity"`
	SlowStartTime    time.Duration `json:"coldNs"`
}

// permissions are what a router is allowed to do.
type permissions struct {
	Probing       bool          `json:"probing"`
	MayCancel     bool          `json:"mayCancel"`
	MaxAttempts   int           `json:"maxAttempts"`
	DialTimeout   time.Duration `json:"dialTimeoutNs"`
	RetryAfter    bool          `json:"retryAfter"`
	MaxRetryAfter time.Duration `json:"maxRetryAfterNs"`
	ConnIdle      time.Duration `json:"connIdleNs"`
}

// class is a request class, with the keys of the settings.
type class struct {
	Name             string        `json:"name"`
	FirstTokenTarget time.Duration `json:"aimNs"`
	Deadline         time.Duration `json:"deadlineNs"`
	Value            float64       `json:"value"`
	RetryPolicy      string        `json:"repeat"`
	DedupScope       string        `json:"keyScope,omitempty"`
	DedupWindow      time.Duration `json:"windowNs,omitempty"`
}

// The retry policies of request classes.
const (
	retrySafe   = "safe"
	retryKeyed  = "keyed"
	retryUnsafe = "unsafe"
)

// The names in lists and settings.
const (
	zoneName   = "a"
	readerKind = "prefill"
	writerKind = "decode"
)

// ruleParams are the values of the settings that the invariants depend on.
type ruleParams struct {
	holdTimeout, drainGrace, dialTimeout, slowStartTime, overloadWindow time.Duration
	overloadMultiple, initialCapacity                                   float64
	maxAttempts                                                         int
}

// defaultRuleParams returns the values of a usual run.
func defaultRuleParams() ruleParams {
	return ruleParams{holdTimeout: time.Second, drainGrace: time.Second, dialTimeout: 250 * time.Millisecond,
		slowStartTime: 6 * time.Second, overloadWindow: time.Second, overloadMultiple: 2.5, initialCapacity: 0.3, maxAttempts: 6}
}

// defaultClasses returns one class of each retry policy.
func defaultClasses() []class {
	return []class{
		{Name: "price-ask", FirstTokenTarget: 800 * time.Millisecond, Deadline: 2500 * time.Millisecond, Value: 1,
			RetryPolicy: retrySafe},
		{Name: "pen-booking", FirstTokenTarget: 1200 * time.Millisecond, Deadline: 4 * time.Second, Value: 3, RetryPolicy: retryUnsafe},
		{Name: "stall-order", FirstTokenTarget: time.Second, Deadline: 3 * time.Second, Value: 2,
			RetryPolicy: retryKeyed, DedupScope: "all", DedupWindow: 1500 * time.Millisecond},
	}
}

// settingsFor returns the settings of one router.
func settingsFor(routers, index int, classes []class, params ruleParams) settings {
	s := settings{
		Instances: routers, Index: index, Zones: []string{zoneName}, Kinds: []string{readerKind, writerKind}, Membership: "push",
		Feedback: feedback{How: "pull", Names: []string{"lat_ms", "x0", "x1"}},
		Family: family{HoldTimeout: params.holdTimeout, Roles: []string{"read", "write"}, TokensByKind: []int{240_000, 160_000},
			TokenIntervalTargets: make([]time.Duration, len(classes)), FirstTokenTargetPerKMicros: make([]int, len(classes))},
		Costs: costs{Probe: 0.0026},
		Obligations: obligations{AnswerGrace: 16 * time.Millisecond, DrainGrace: params.drainGrace, OverloadMultiple: params.overloadMultiple,
			OverloadWindow: params.overloadWindow, InitialCapacity: params.initialCapacity, SlowStartTime: params.slowStartTime},
		Permissions: permissions{Probing: true, MayCancel: true, MaxAttempts: params.maxAttempts, DialTimeout: params.dialTimeout,
			RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond, ConnIdle: 5 * time.Second},
		Classes: classes,
	}
	for i := range classes {
		s.Family.TokenIntervalTargets[i] = 60 * time.Millisecond
		s.Family.FirstTokenTargetPerKMicros[i] = 40_000
	}
	return s
}
