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

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type settings struct {
	Instances   int         `json:"instances"`
	Index       int         `json:"index"`
	Zone        int         `json:"zone"`
	Zones       []string    `json:"dcs"`
	Kinds       []string    `json:"hostTypes"`
	Membership  string      `json:"membershipMode"`
	Feedback    feedback    `json:"feedback"`
	Family      family      `json:"familyInfo"`
	Fees        fees        `json:"fees"`
	Obligations obligations `json:"obligations"`
	Permissions permissions `json:"permissions"`
	Classes     []class     `json:"requestClasses"`
}

type feedback struct {
	How   string   `json:"how"`
	Names []string `json:"names"`
}

type family struct {
	LetGoBy       time.Duration   `json:"letGoByNs"`
	Roles         []string        `json:"kindRole"`
	TokensByKind  []int           `json:"tokensByKind"`
	TokenAims     []time.Duration `json:"tokenAimNs"`
	AimPerKMicros []int           `json:"aimUsPer1000PromptTokens"`
}

type fees struct {
	Probe float64 `json:"probe"`
}

type obligations struct {
	AnswerGrace   time.Duration `json:"graceToAnswerNs"`
	DrainGrace    time.Duration `json:"drainGraceNs"`
	FallMultiple  float64       `json:"fallMultiple"`
	OverloadFor   time.Duration `json:"overloadForNs"`
	StartCapacity float64       `json:"startCapacity"`
	Cold          time.Duration `json:"coldNs"`
}

type permissions struct {
	Probing       bool          `json:"probing"`
	MayCancel     bool          `json:"mayCancel"`
	MaxAttempts   int           `json:"maxAttempts"`
	DialTimeout   time.Duration `json:"dialTimeoutNs"`
	RetryAfter    bool          `json:"retryAfter"`
	MaxRetryAfter time.Duration `json:"maxRetryAfterNs"`
	ConnIdle      time.Duration `json:"connIdleNs"`
}

// class is a class of requests, in the settings' form.
type class struct {
	Name     string        `json:"name"`
	Aim      time.Duration `json:"aimNs"`
	Deadline time.Duration `json:"deadlineNs"`
	Value    float64       `json:"value"`
	Repeat   string        `json:"repeat"`
	Scope    string        `json:"keyScope,omitempty"`
	Window   time.Duration `json:"windowNs,omitempty"`
}

// The effects of a repeated request.
const (
	safe   = "safe"
	keyed  = "keyed"
	unsafe = "unsafe"
)

// The names in lists and settings.
const (
	zoneName   = "a"
	readerKind = "prefill"
	writerKind = "decode"
)

// figures are the settings' figures that the invariants are about.
type figures struct {
	letGo, drainGrace, dialTimeout, cold, overload time.Duration
	fallMultiple, startCapacity                    float64
	maxAttempts                                    int
}

func defaultFigures() figures {
	return figures{letGo: time.Second, drainGrace: time.Second, dialTimeout: 250 * time.Millisecond, cold: 6 * time.Second,
		overload: time.Second, fallMultiple: 2.5, startCapacity: 0.3, maxAttempts: 6}
}

func defaultClasses() []class {
	return []class{
		{Name: "price-ask", Aim: 800 * time.Millisecond, Deadline: 2500 * time.Millisecond, Value: 1, Repeat: safe},
		{Name: "pen-booking", Aim: 1200 * time.Millisecond, Deadline: 4 * time.Second, Value: 3, Repeat: unsafe},
		{Name: "stall-order", Aim: time.Second, Deadline: 3 * time.Second, Value: 2, Repeat: keyed, Scope: "all", Window: 1500 * time.Millisecond},
	}
}

// settingsFor makes the settings of one router.
func settingsFor(routers, index int, classes []class, f figures) settings {
	s := settings{
		Instances: routers, Index: index, Zones: []string{zoneName}, Kinds: []string{readerKind, writerKind}, Membership: "push",
		Feedback: feedback{How: "pull", Names: []string{"lat_ms", "x0", "x1"}},
		Family: family{LetGoBy: f.letGo, Roles: []string{"read", "write"}, TokensByKind: []int{240_000, 160_000},
			TokenAims: make([]time.Duration, len(classes)), AimPerKMicros: make([]int, len(classes))},
		Fees: fees{Probe: 0.0026},
		Obligations: obligations{AnswerGrace: 16 * time.Millisecond, DrainGrace: f.drainGrace, FallMultiple: f.fallMultiple,
			OverloadFor: f.overload, StartCapacity: f.startCapacity, Cold: f.cold},
		Permissions: permissions{Probing: true, MayCancel: true, MaxAttempts: f.maxAttempts, DialTimeout: f.dialTimeout,
			RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond, ConnIdle: 5 * time.Second},
		Classes: classes,
	}
	for i := range classes {
		s.Family.TokenAims[i] = 60 * time.Millisecond
		s.Family.AimPerKMicros[i] = 40_000
	}
	return s
}
