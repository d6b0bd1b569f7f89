package config

import (
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"strings"
	"time"

	"mintdoor/decide"
	"mintdoor/roles"
)

// Class is a class of requests and its name.
type Class struct {
	Name string
	decide.Class
	MaxTokens int // output limit of a request that sets none
}

// Kind is a kind of engine and its name.
type Kind struct {
	Name string
	decide.Kind
	// Becomes is the kind that an engine of this kind has after a role change; "" if it can't change its role.
	Becomes  string
	Capacity float64 // tokens per second that it reads or writes
}

// RoleChanges are the settings for changing the roles of engines.
type RoleChanges struct {
	Mode           string // off, dry or on
	PlanInterval   time.Duration
	CheckInterval  time.Duration
	Horizon        time.Duration // a change has to pay within this time
	ChangeCost     time.Duration // work that a change costs, as time of one engine: emptying, changing, slow start
	Confidence     float64
	AgreeingPlans  int // plans in a row that have to agree before a change
	MaxConcurrent  int
	MinEngines     [2]int     // engines of each role, prefill first
	MaxEngines     [2]int     // 0: no limit
	MaxLoad        [2]float64 // fraction of their capacity that engines may use, prefill first
	SlotLength     time.Duration
	EmptyTimeout   time.Duration
	ChangeTimeout  time.Duration
	FailureBackoff time.Duration
}

// Tenant is a tenant and its name.
type Tenant struct {
	Name string
	decide.Tenant
}

// Settings are the settings of a router. They don't change after its start.
type Settings struct {
	// The router itself.
	Name         string
	Listen       string
	Control      string
	Model        string
	ModelVersion string
	Routers      int
	Index        int
	Zone         string
	ListFile     string
	ListInterval time.Duration
	TraceFile    string

	// Limits.
	MaxOpen            int
	MaxConnections     int
	MaxBody            int64
	MaxHeader          int64
	HeaderTimeout      time.Duration
	MaxContext         float64
	BytesPerToken      float64
	StreamBuffer       int
	ClientStallTimeout time.Duration
	StreamIdleTimeout  time.Duration
	DrainTimeout       time.Duration

	// Engines.
	DialTimeout     time.Duration
	MaxEngineConns  int
	ConnIdleTimeout time.Duration
	ReleaseTimeout  time.Duration
	ProbeTimeout    time.Duration
	MaxAttempts     int
	Probing         bool
	MayReserve      bool
	Resume          bool
	DecodeReads     bool
	DefaultClass    string
	DefaultTenant   string
	LogFormat       string
	LogLevel        slog.Level
	LogSample       int
	OverQuotaValue  float64

	// Figures of the five rules.
	AnswerGrace      time.Duration
	DrainGrace       time.Duration
	HoldTimeout      time.Duration
	OverloadMultiple float64
	OverloadWindow   time.Duration
	InitialCapacity  float64
	SlowStartTime    time.Duration
	MaxRetryAfter    time.Duration

	// Costs that the decision module weighs, as fractions of the total value served.
	ProbeCost float64

	RoleChanges RoleChanges
	Classes     []Class
	Kinds       []Kind
	Tenants     []Tenant
}

// Decide returns the settings of the decision module. The function zone numbers the zones by their names.
func (s *Settings) Decide(zone func(string) int) *decide.Settings {
	d := &decide.Settings{
		Routers: s.Routers, Index: s.Index, Zone: zone(s.Zone), OverQuotaValue: s.OverQuotaValue,
		Probing: s.Probing, MayCancel: true, MayReserve: s.MayReserve, Resume: s.Resume,
		WritersRead: s.DecodeReads, MaxAttempts: s.MaxAttempts,
		MaxRetryAfter: decide.Duration(s.MaxRetryAfter), DialTimeout: decide.Duration(s.DialTimeout),
		AnswerGrace: decide.Duration(s.AnswerGrace), DrainGrace: decide.Duration(s.DrainGrace),
		HoldTimeout: decide.Duration(s.HoldTimeout), OverloadMultiple: s.OverloadMultiple,
		OverloadWindow: decide.Duration(s.OverloadWindow), InitialCapacity: s.InitialCapacity,
		SlowStartTime: decide.Duration(s.SlowStartTime), ProbeCost: s.ProbeCost,
	}
	for _, c := range s.Classes {
		d.Classes = append(d.Classes, c.Class)
	}
	for _, k := range s.Kinds {
		d.Kinds = append(d.Kinds, k.Kind)
	}
	for _, t := range s.Tenants {
		d.Tenants = append(d.Tenants, t.Tenant)
	}
	return d
}

// Roles returns the settings for decisions on roles.
func (s *Settings) Roles() roles.Config {
	h := &s.RoleChanges
	return roles.Config{Classes: len(s.Classes), Confidence: h.Confidence, ConsecutivePlans: h.AgreeingPlans, PlanInterval: h.PlanInterval, SlowStartTime: s.SlowStartTime,
		Timeouts:  roles.Timeouts{EmptyTimeout: h.EmptyTimeout, ChangeTimeout: h.ChangeTimeout, Backoff: h.FailureBackoff, CheckInterval: h.CheckInterval, ReplyTimeout: s.ProbeTimeout},
		Costs:     roles.Costs{Horizon: h.Horizon, AwayTime: h.ChangeCost, MaxLoad: h.MaxLoad, MaxChanging: h.MaxConcurrent, MinEngines: h.MinEngines, MaxEngines: h.MaxEngines},
		TurnOrder: roles.TurnOrder{Routers: s.Routers, Index: s.Index, SlotLength: h.SlotLength}, DryRun: h.Mode == "dry"}
}

// ClassIndex returns the index of the class with the given name, or -1.
func (s *Settings) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// TenantIndex returns the index of the tenant with the given name, or -1.
func (s *Settings) TenantIndex(name string) int {
	for i := range s.Tenants {
		if s.Tenants[i].Name == name {
			return i
		}
	}
	return -1
}

// KindIndex returns the index of the kind with the given name, or -1.
func (s *Settings) KindIndex(name string) int {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return i
		}
	}
	return -1
}

// target holds what the directives of the current section set.
type target struct {
	set    *Settings
	class  *Class
	kind   *Kind
	tenant *Tenant
}

// directive is one row of the settings table. The parser, the checks, the defaults and the documentation use nothing
// else.
type directive struct {
	section      string // router, class, kind or tenant
	name         string
	defaultValue string // the default as written in a file; "" if there is none
	required     bool   // the file has to set it
	doc          string
	set          func(t *target, value string) error
}

// setter returns a set function for a directive: it parses the value and stores it in the field that the second
// function returns.
func setter[T any](parse func(string) (T, error), field func(*target) *T) func(*target, string) error {
	return func(t *target, value string) error {
		v, err := parse(value)
		if err == nil {
			*field(t) = v
		}
		return err
	}
}

func plainText(s string) (string, error) { return s, nil }

func parseModuleDuration(s string) (decide.Duration, error) {
	d, err := ParseDuration(s)
	return decide.Duration(d), err
}

// bounded returns a parser that also requires the value to be between low and high.
func bounded[T int | int64 | float64 | time.Duration](parse func(string) (T, error), low, high T) func(string) (T, error) {
	return func(s string) (T, error) {
		v, err := parse(s)
		if err == nil && (v < low || v > high) {
			err = errExpected(s, fmt.Sprintf("%v to %v", low, high))
		}
		return v, err
	}
}

// directives is the table of all settings, in the order in which WriteDefaults prints them.
var directives = []directive{
	{"router", "name", "router", false, "name of this router in logs and in ids sent to engines",
		setter(plainText, func(t *target) *string { return &t.set.Name })},
	{"router", "listen", "127.0.0.1:8080", false, "address of the KServe V2 front",
		setter(ParseAddress, func(t *target) *string { return &t.set.Listen })},
	{"router", "control", "", false, "loopback address for 'mintdoor roles' and other control requests; empty: none",
		setter(func(s string) (string, error) {
			if s == "" {
				return "", nil
			}
			return ParseAddress(s)
		}, func(t *target) *string { return &t.set.Control })},
	{"router", "model", "helpline", false, "name of the model that is served",
		setter(plainText, func(t *target) *string { return &t.set.Model })},
	{"router", "model-version", "1", false, "version of that model",
		setter(plainText, func(t *target) *string { return &t.set.ModelVersion })},
	{"router", "routers", "1", false, "number of routers that share the engines; bounds the load that each may send",
		setter(bounded(ParseCount, 1, 100000), func(t *target) *int { return &t.set.Routers })},
	{"router", "index", "0", false, "index of this router among them, from 0",
		setter(ParseCount, func(t *target) *int { return &t.set.Index })},
	{"router", "zone", "", false, "zone (hall) of this router",
		setter(plainText, func(t *target) *string { return &t.set.Zone })},
	{"router", "list", "", true, "file with the list of engines",
		setter(plainText, func(t *target) *string { return &t.set.ListFile })},
	{"router", "list-every", "200ms", false, "how often the list is checked for changes",
		setter(bounded(ParseDuration, time.Millisecond, time.Minute), func(t *target) *time.Duration { return &t.set.ListInterval })},

	{"router", "record", "", false, "file for a trace of the traffic: lengths and times, no texts; empty: none",
		setter(plainText, func(t *target) *string { return &t.set.TraceFile })},

	{"router", "max-open", "20000", false, "maximum number of open requests; further ones are refused on arrival",
		setter(bounded(ParseCount, 1, 1e6), func(t *target) *int { return &t.set.MaxOpen })},
	{"router", "max-connections", "20000", false, "maximum number of open client connections",
		setter(bounded(ParseCount, 1, 1e6), func(t *target) *int { return &t.set.MaxConnections })},
	{"router", "max-body", "1MiB", false, "maximum size of a request's body",
		setter(bounded(ParseSize, 1<<10, 1<<30), func(t *target) *int64 { return &t.set.MaxBody })},
	{"router", "max-header", "16KiB", false, "maximum size of a request's headers",
		setter(bounded(ParseSize, 1<<10, 1<<20), func(t *target) *int64 { return &t.set.MaxHeader })},
	{"router", "header-within", "5s", false, "time for a client to send its headers",
		setter(bounded(ParseDuration, 10*time.Millisecond, time.Minute), func(t *target) *time.Duration { return &t.set.HeaderTimeout })},
	{"router", "max-context", "32k", false, "maximum tokens of prompt and answer together that an engine can hold",
		setter(ParseTokens, func(t *target) *float64 { return &t.set.MaxContext })},
	{"router", "bytes-per-token", "4", false, "bytes per prompt token, to estimate prompts whose client gives no token count",
		setter(bounded(ParseNumber, 0.1, 1000), func(t *target) *float64 { return &t.set.BytesPerToken })},
	{"router", "stream-parts", "64", false, "tokens buffered for a client that reads slowly, before its engine is made to wait",
		setter(bounded(ParseCount, 1, 4096), func(t *target) *int { return &t.set.StreamBuffer })},
	{"router", "client-stall", "10s", false, "a client that accepts no data for this long is treated as gone",
		setter(bounded(ParseDuration, 10*time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.ClientStallTimeout })},
	{"router", "stream-idle", "10s", false, "a stream without a token for this long is treated as broken",
		setter(bounded(ParseDuration, 10*time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.StreamIdleTimeout })},
	{"router", "drain-limit", "30s", false, "time for open requests to finish when the router stops, before they are failed",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.DrainTimeout })},

	{"router", "dial-timeout", "250ms", false, "time for a connection to an engine to be established",
		setter(bounded(ParseDuration, time.Millisecond, time.Minute), func(t *target) *time.Duration { return &t.set.DialTimeout })},
	{"router", "engine-connections", "512", false, "maximum connections to one engine; an attempt beyond it counts as not connected",
		setter(bounded(ParseCount, 1, 1e6), func(t *target) *int { return &t.set.MaxEngineConns })},
	{"router", "connection-idle", "15s", false, "idle time after which a connection to an engine is closed",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.ConnIdleTimeout })},
	{"router", "release-within", "250ms", false, "time for an engine to accept a release",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.ReleaseTimeout })},
	{"router", "probe-within", "250ms", false, "time for an engine to answer a probe",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.ProbeTimeout })},
	{"router", "attempts", "6", false, "maximum number of attempts per request, both stages together",
		setter(bounded(ParseCount, 1, 64), func(t *target) *int { return &t.set.MaxAttempts })},
	{"router", "probing", "off", false, "probe engines; for engines that report their load only when probed",
		setter(ParseSwitch, func(t *target) *bool { return &t.set.Probing })},
	{"router", "probe-fee", "0.0026", false, "cost of one probe per request, as a fraction of the total value served; limits the probe rate",
		setter(ParseNumber, func(t *target) *float64 { return &t.set.ProbeCost })},
	{"router", "places-ahead", "on", false, "engines can reserve memory for a request before its read ends",
		setter(ParseSwitch, func(t *target) *bool { return &t.set.MayReserve })},
	{"router", "resume", "off", false, "clients can resume an interrupted stream elsewhere",
		setter(ParseSwitch, func(t *target) *bool { return &t.set.Resume })},
	{"router", "decode-reads", "off", false, "a decode engine reads the prompt itself if no KV state is available",
		setter(ParseSwitch, func(t *target) *bool { return &t.set.DecodeReads })},
	{"router", "default-class", "", false, "class of a request that names none; empty: the first",
		setter(plainText, func(t *target) *string { return &t.set.DefaultClass })},
	{"router", "default-tenant", "", false, "tenant of a request that names none; empty: none",
		setter(plainText, func(t *target) *string { return &t.set.DefaultTenant })},
	{"router", "over-share-worth", "0.1", false, "value of a request over its tenant's quota, as a fraction of its usual value",
		setter(bounded(ParseNumber, 0, 1), func(t *target) *float64 { return &t.set.OverQuotaValue })},
	{"router", "log-format", "text", false, "text or json",
		setter(func(s string) (string, error) { return ParseChoice(s, "text", "json") },
			func(t *target) *string { return &t.set.LogFormat })},
	{"router", "log-level", "info", false, "debug, info, warn or error",
		setter(func(s string) (slog.Level, error) {
			var l slog.Level
			if _, err := ParseChoice(s, "debug", "info", "warn", "error"); err != nil {
				return l, err
			}
			return l, l.UnmarshalText([]byte(s))
		}, func(t *target) *slog.Level { return &t.set.LogLevel })},
	{"router", "log-sample", "100", false, "maximum log lines per second for one message; further ones are only counted",
		setter(bounded(ParseCount, 1, 1e6), func(t *target) *int { return &t.set.LogSample })},

	{"router", "answer-grace", "16ms", false, "rule 1: how long after the deadline a final answer may still come",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.AnswerGrace })},
	{"router", "drain-grace", "1s", false, "rule 3: how long an engine that is listed as draining may still get new requests",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.DrainGrace })},
	{"router", "let-go-within", "300ms", false, "rule 5: time within which a held KV state must be used or released",
		setter(bounded(ParseDuration, time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.HoldTimeout })},
	{"router", "fall-multiple", "3", false, "rule 4: a cold engine fails when it is sent this multiple of its capacity",
		setter(bounded(ParseNumber, 1, 1000), func(t *target) *float64 { return &t.set.OverloadMultiple })},
	{"router", "fall-within", "2s", false, "rule 4: time for which it has to be sent that much before it fails",
		setter(bounded(ParseDuration, time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.OverloadWindow })},
	{"router", "start-capacity", "0.25", false, "fraction of its capacity with which a cold engine starts",
		setter(bounded(ParseNumber, 0.001, 1), func(t *target) *float64 { return &t.set.InitialCapacity })},
	{"router", "cold-for", "13s", false, "slow-start time after which an engine is warm",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.SlowStartTime })},
	{"router", "retry-after", "500ms", false, "longest retry delay that clients are told; 0s: none is told",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.MaxRetryAfter })},

	{"router", "shift", "off", false, "change the roles of engines that support both: off, dry (only report the plans) or on",
		setter(func(s string) (string, error) { return ParseChoice(s, "off", "dry", "on") }, func(t *target) *string { return &t.set.RoleChanges.Mode })},
	{"router", "shift-every", "5s", false, "time between plans",
		setter(bounded(ParseDuration, 10*time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.RoleChanges.PlanInterval })},
	{"router", "shift-look", "1s", false, "how often engines are asked for their role; at most a quarter of shift-slot",
		setter(bounded(ParseDuration, time.Millisecond, time.Minute), func(t *target) *time.Duration { return &t.set.RoleChanges.CheckInterval })},
	{"router", "shift-horizon", "45s", false, "time within which a role change has to pay off; about four times shift-away",
		setter(bounded(ParseDuration, time.Second, 24*time.Hour), func(t *target) *time.Duration { return &t.set.RoleChanges.Horizon })},
	{"router", "shift-away", "11s", false, "work that a change costs, as time of one engine: emptying, changing, slow start",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.RoleChanges.ChangeCost })},
	{"router", "shift-confidence", "0.85", false, "required confidence that a change pays off",
		setter(bounded(ParseNumber, 0.5, 0.999), func(t *target) *float64 { return &t.set.RoleChanges.Confidence })},
	{"router", "shift-looks", "1", false, "plans in a row that have to agree before a change",
		setter(bounded(ParseCount, 1, 1000), func(t *target) *int { return &t.set.RoleChanges.AgreeingPlans })},
	{"router", "shift-least-prefill", "1", false, "minimum number of prefill engines among those that can change",
		setter(bounded(ParseCount, 1, 100000), func(t *target) *int { return &t.set.RoleChanges.MinEngines[0] })},
	{"router", "shift-least-decode", "1", false, "minimum number of decode engines among those that can change",
		setter(bounded(ParseCount, 1, 100000), func(t *target) *int { return &t.set.RoleChanges.MinEngines[1] })},
	{"router", "shift-most-prefill", "0", false, "maximum number of prefill engines among those that can change; 0: no limit",
		setter(bounded(ParseCount, 0, 100000), func(t *target) *int { return &t.set.RoleChanges.MaxEngines[0] })},
	{"router", "shift-most-decode", "0", false, "maximum number of decode engines among those that can change; 0: no limit",
		setter(bounded(ParseCount, 0, 100000), func(t *target) *int { return &t.set.RoleChanges.MaxEngines[1] })},
	{"router", "shift-at-once", "2", false, "maximum number of engines changing at once, over all routers",
		setter(bounded(ParseCount, 1, 10000), func(t *target) *int { return &t.set.RoleChanges.MaxConcurrent })},
	{"router", "shift-load-prefill", "0.75", false, "highest fraction of their capacity at which prefill engines still answer in time",
		setter(bounded(ParseNumber, 0.05, 1), func(t *target) *float64 { return &t.set.RoleChanges.MaxLoad[0] })},
	{"router", "shift-load-decode", "0.87", false, "highest fraction of their capacity at which decode engines still answer in time",
		setter(bounded(ParseNumber, 0.05, 1), func(t *target) *float64 { return &t.set.RoleChanges.MaxLoad[1] })},
	{"router", "shift-slot", "10s", false, "length of the time slots in which routers take turns to begin changes; equal at all routers",
		setter(bounded(ParseDuration, 400*time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.RoleChanges.SlotLength })},
	{"router", "shift-empty", "30s", false, "time for an engine to finish its work, before the change is cancelled",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.RoleChanges.EmptyTimeout })},
	{"router", "shift-change", "1m", false, "time for the change itself",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.RoleChanges.ChangeTimeout })},
	{"router", "shift-rest", "30s", false, "backoff of an engine whose change failed; longer with each failure in a row",
		setter(ParseDuration, func(t *target) *time.Duration { return &t.set.RoleChanges.FailureBackoff })},

	{"class", "aim", "1s", false, "latency target of the first token",
		setter(parseModuleDuration, func(t *target) *decide.Duration { return &t.class.FirstTokenTarget })},
	{"class", "aim-per-1000", "40ms", false, "added to that target per 1000 prompt tokens",
		setter(parseModuleDuration, func(t *target) *decide.Duration { return &t.class.FirstTokenTargetPerK })},
	{"class", "deadline", "4s", false, "a request without a first token is given up after this, if its client sets no deadline",
		setter(parseModuleDuration, func(t *target) *decide.Duration { return &t.class.Deadline })},
	{"class", "token-aim", "60ms", false, "target for the time between tokens",
		setter(parseModuleDuration, func(t *target) *decide.Duration { return &t.class.TokenIntervalTarget })},
	{"class", "worth", "1", false, "value of a request that is answered in time",
		setter(ParseNumber, func(t *target) *float64 { return &t.class.Value })},
	{"class", "late-worth", "0.2", false, "fraction of its value if the answer is late",
		setter(bounded(ParseNumber, 0, 1), func(t *target) *float64 { return &t.class.LateValue })},
	{"class", "repeat", "safe", false, "safe, keyed or unsafe: what a retry does after an attempt that may have executed",
		setter(func(s string) (decide.RetryPolicy, error) {
			_, err := ParseChoice(s, "safe", "keyed", "unsafe")
			return map[string]decide.RetryPolicy{"safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}[s], err
		}, func(t *target) *decide.RetryPolicy { return &t.class.RetryPolicy })},
	{"class", "scope", "all", false, "keyed: engines that drop duplicates of a request: all, or those of one zone or cell",
		setter(func(s string) (decide.DedupScope, error) {
			_, err := ParseChoice(s, "all", "zone", "cell")
			return map[string]decide.DedupScope{"zone": decide.ScopeZone, "cell": decide.ScopeCell}[s], err
		}, func(t *target) *decide.DedupScope { return &t.class.DedupScope })},
	{"class", "window", "5s", false, "keyed: how long engines drop duplicates",
		setter(parseModuleDuration, func(t *target) *decide.Duration { return &t.class.DedupWindow })},
	{"class", "max-tokens", "500", false, "output limit in tokens of a request that sets none",
		setter(bounded(ParseCount, 1, 1e6), func(t *target) *int { return &t.class.MaxTokens })},

	{"kind", "role", "", true, "prefill, decode or both",
		setter(func(s string) (decide.Role, error) {
			_, err := ParseChoice(s, "prefill", "decode", "both")
			return map[string]decide.Role{"prefill": decide.Reader, "decode": decide.Writer, "both": decide.Both}[s], err
		}, func(t *target) *decide.Role { return &t.kind.Role })},
	{"kind", "memory", "0", false, "tokens that fit into the memory of an engine; 0: unknown",
		setter(ParseTokens, func(t *target) *float64 { return &t.kind.Memory })},

	{"kind", "becomes", "", false, "kind that an engine of this kind has after a role change",
		setter(plainText, func(t *target) *string { return &t.kind.Becomes })},
	{"kind", "capacity", "0", false, "tokens per second that an engine reads or writes; needed for role changes",
		setter(ParseTokens, func(t *target) *float64 { return &t.kind.Capacity })},

	{"tenant", "rate", "0/s", false, "quota in requests per second, over all routers; 0/s: unknown",
		setter(ParseRate, func(t *target) *float64 { return &t.tenant.RequestsPerSecond })},
}

// sections are the directives that begin a section; their value is the section's name.
var sections = []string{"class", "kind", "tenant"}

// Load reads and checks a settings file. It returns all errors in the file at once, as Errors.
func Load(path string) (*Settings, error) {
	lines, errs := ReadLines(path)
	if lines == nil && len(errs) > 0 {
		return nil, errs
	}
	s, wrong := build(path, lines)
	if err := append(errs, wrong...).Err(); err != nil {
		return nil, err
	}
	for _, p := range []*string{&s.ListFile, &s.TraceFile} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return s, nil
}

// Parse parses settings from a text. Unlike Load, it doesn't make the paths in it relative to the file.
func Parse(file, text string) (*Settings, error) {
	lines, errs := ParseLines(file, text)
	s, wrong := build(file, lines)
	if err := append(errs, wrong...).Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// occurrence is the first place of a section or directive in the file.
type occurrence struct {
	line  *Line
	scope string // section and name, to find duplicates
}

// Defaults returns the settings of an empty file. They have no classes, kinds or tenants.
func Defaults() *Settings {
	s := &Settings{}
	setDefaults(&target{set: s}, "router")
	return s
}

// build makes settings from the lines of a file and checks them.
func build(file string, lines []Line) (*Settings, Errors) {
	var errs Errors
	s := &Settings{}
	current := target{set: s}
	setDefaults(&current, "router")
	section, scope := "router", "router"
	seen := map[string]occurrence{}
	type opened struct {
		section, scope string
		line           *Line
	}
	var open []opened
	for i := range lines {
		l := &lines[i]
		if contains(sections, l.Name()) {
			section = l.Name()
			if len(l.Words) != 2 {
				errs.Add(l, "%s has %d values, expected its name", section, len(l.Words)-1)
				scope = fmt.Sprintf("%s line %d", section, l.Number)
			} else {
				scope = section + " " + l.Words[1].Text
			}
			if first, ok := seen[scope]; ok {
				errs.Add(l, "%s is given twice, first at %s:%d", scope, first.line.File, first.line.Number)
			}
			seen[scope] = occurrence{line: l}
			open = append(open, opened{section, scope, l})
			beginSection(s, &current, section, strings.TrimPrefix(scope, section+" "))
			continue
		}
		if l.Name() == "router" && len(l.Words) == 1 {
			section, scope = "router", "router"
			continue
		}
		d := findDirective(section, l.Name())
		if d == nil {
			errs.Add(l, "%s", unknownDirective(section, l.Name()))
			continue
		}
		if len(l.Words) != 2 {
			errs.Add(l, "%s has %d values, expected one: %s", d.name, len(l.Words)-1, d.doc)
			continue
		}
		key := scope + "/" + d.name
		if first, ok := seen[key]; ok {
			errs.Add(l, "%s is given twice in %s, first at %s:%d", d.name, scope, first.line.File, first.line.Number)
			continue
		}
		seen[key] = occurrence{line: l}
		if err := d.set(&current, l.Words[1].Text); err != nil {
			errs.Add(l, "%s: %v", d.name, err)
		}
	}
	fileLine := &Line{File: file}
	for _, d := range directives {
		if !d.required {
			continue
		}
		if d.section == "router" {
			if _, ok := seen["router/"+d.name]; !ok {
				errs.Add(fileLine, "%s is missing, expected: %s", d.name, d.doc)
			}
			continue
		}
		for _, o := range open {
			if _, ok := seen[o.scope+"/"+d.name]; o.section == d.section && !ok {
				errs.Add(o.line, "%s has no %s, expected: %s", o.scope, d.name, d.doc)
			}
		}
	}
	errs = append(errs, s.check(fileLine, seen)...)
	return s, errs
}

// check finds errors that involve several lines.
func (s *Settings) check(fileLine *Line, seen map[string]occurrence) (errs Errors) {
	at := func(key string) *Line { // where a directive is given, or the file as a whole
		if g, ok := seen[key]; ok {
			return g.line
		}
		return fileLine
	}
	if len(s.Classes) == 0 {
		errs.Add(fileLine, "no class is given, expected at least one section 'class NAME'")
	}
	roles := decide.Role(0)
	for _, k := range s.Kinds {
		roles |= k.Role
	}
	if roles != decide.Both {
		errs.Add(fileLine, "the kinds of engines can't do both stages, expected sections 'kind NAME' with prefill and decode, or both")
	}
	if s.Index >= s.Routers {
		errs.Add(at("router/index"), "index: found %d, expected less than routers, %d", s.Index, s.Routers)
	}
	if s.DefaultClass != "" && s.ClassIndex(s.DefaultClass) < 0 {
		errs.Add(at("router/default-class"), "default-class: found %q, expected the name of a class", s.DefaultClass)
	}
	if s.DefaultTenant != "" && s.TenantIndex(s.DefaultTenant) < 0 {
		errs.Add(at("router/default-tenant"), "default-tenant: found %q, expected the name of a tenant", s.DefaultTenant)
	}
	errs = append(errs, s.checkRoleChanges(at)...)
	for _, c := range s.Classes {
		if c.Deadline < c.FirstTokenTarget {
			errs.Add(at("class "+c.Name), "class %s: its deadline %v is shorter than its aim %v", c.Name,
				time.Duration(c.Deadline), time.Duration(c.FirstTokenTarget))
		}
	}
	return errs
}

// checkRoleChanges checks the kinds that engines can change between.
func (s *Settings) checkRoleChanges(at func(string) *Line) (errs Errors) {
	pairs := 0
	for _, k := range s.Kinds {
		if k.Becomes == "" {
			continue
		}
		pairs++
		l := at("kind " + k.Name + "/becomes")
		i := s.KindIndex(k.Becomes)
		switch {
		case i < 0:
			errs.Add(l, "becomes: found %q, expected the name of a kind", k.Becomes)
		case s.Kinds[i].Becomes != k.Name:
			errs.Add(l, "becomes: kind %s does not become %s in turn, expected 'becomes %s' there", k.Becomes, k.Name, k.Name)
		case k.Role == decide.Both || s.Kinds[i].Role == decide.Both || k.Role == s.Kinds[i].Role:
			errs.Add(l, "becomes: kinds %s and %s have to be one of prefill and one of decode", k.Name, k.Becomes)
		}
		if k.Capacity <= 0 && s.RoleChanges.Mode != "off" {
			errs.Add(l, "kind %s has no capacity, expected tokens per second, which plans need", k.Name)
		}
	}
	if s.RoleChanges.Mode != "off" {
		if pairs == 0 {
			errs.Add(at("router/shift"), "shift: no kind becomes another, expected 'becomes NAME' in two kinds")
		}
		if s.RoleChanges.ChangeCost >= s.RoleChanges.Horizon {
			errs.Add(at("router/shift-away"), "shift-away: found %v, expected less than shift-horizon, %v", s.RoleChanges.ChangeCost, s.RoleChanges.Horizon)
		}
		for i, role := range []string{"prefill", "decode"} {
			if limit := s.RoleChanges.MaxEngines[i]; limit > 0 && limit < s.RoleChanges.MinEngines[i] {
				errs.Add(at("router/shift-most-"+role), "shift-most-%s: found %d, expected at least shift-least-%s, %d", role, limit, role, s.RoleChanges.MinEngines[i])
			}
		}
		if 4*s.RoleChanges.CheckInterval > s.RoleChanges.SlotLength {
			errs.Add(at("router/shift-look"), "shift-look: found %v, expected at most a quarter of shift-slot, %v", s.RoleChanges.CheckInterval, s.RoleChanges.SlotLength)
		}
	}
	return errs
}

// beginSection adds a class, kind or tenant with the defaults of its section, and makes t point to it.
func beginSection(s *Settings, t *target, section, name string) {
	t.class, t.kind, t.tenant = nil, nil, nil
	switch section {
	case "class":
		s.Classes = append(s.Classes, Class{Name: name})
		t.class = &s.Classes[len(s.Classes)-1]
	case "kind":
		s.Kinds = append(s.Kinds, Kind{Name: name})
		t.kind = &s.Kinds[len(s.Kinds)-1]
	case "tenant":
		s.Tenants = append(s.Tenants, Tenant{Name: name})
		t.tenant = &s.Tenants[len(s.Tenants)-1]
	}
	setDefaults(t, section)
}

func setDefaults(t *target, section string) {
	for _, d := range directives {
		if d.section == section && d.defaultValue != "" {
			if err := d.set(t, d.defaultValue); err != nil {
				panic(fmt.Sprintf("config: default of %s: %v", d.name, err)) // an error in the table
			}
		}
	}
}

// findDirective returns the directive of a section with the given name, or nil.
func findDirective(section, name string) *directive {
	for i := range directives {
		if directives[i].section == section && directives[i].name == name {
			return &directives[i]
		}
	}
	return nil
}

// unknownDirective returns the error text for a directive that the section doesn't have.
func unknownDirective(section, name string) string {
	known := append([]string{"include", "router"}, sections...)
	for _, d := range directives {
		if d.section == section {
			known = append(known, d.name)
		} else if d.name == name {
			return fmt.Sprintf("found %q in section %s, expected it in section %s", name, section, d.section)
		}
	}
	if n := nearest(name, known); n != "" {
		return fmt.Sprintf("found %q, expected perhaps %q", name, n)
	}
	return fmt.Sprintf("found %q, expected a directive of section %s ('mintdoor config --defaults' lists them)", name, section)
}

// WriteDefaults writes every directive with its default and its meaning, in the format of a settings file.
func WriteDefaults(w io.Writer) error {
	section := ""
	for _, d := range directives {
		if d.section != section {
			section = d.section
			head := section
			if section != "router" {
				head += " NAME"
			}
			if _, err := fmt.Fprintf(w, "\n%s\n", head); err != nil {
				return err
			}
		}
		value := d.defaultValue
		mark := ""
		switch {
		case d.required:
			value, mark = "?", " (must be given)"
		case value == "":
			value = `""`
		}
		if _, err := fmt.Fprintf(w, "    %-20s %-16s # %s%s\n", d.name, value, d.doc, mark); err != nil {
			return err
		}
	}
	return nil
}
