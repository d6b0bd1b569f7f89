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

// Class is one class of requests with its name.
type Class struct {
	Name string
	decide.Class
	MaxTokens int // output limit of a request that names none
}

// Kind is one kind of engine with its name.
type Kind struct {
	Name string
	decide.Kind
	Becomes  string  // the kind that an engine of this one is after a change of role; "" it can't change
	Capacity float64 // tokens a second that it reads, or writes
}

// RoleChanges is how roles of engines are shifted.
type RoleChanges struct {
	Mode           string // off, dry or on
	PlanInterval   time.Duration
	CheckInterval  time.Duration
	Horizon        time.Duration
	ChangeCost     time.Duration
	Confidence     float64
	AgreeingPlans  int
	MaxConcurrent  int
	MinEngines     [2]int     // engines of each role, prefill first
	MaxEngines     [2]int     // 0: no bound
	MaxLoad        [2]float64 // prefill, decode
	SlotLength     time.Duration
	EmptyTimeout   time.Duration
	ChangeTimeout  time.Duration
	FailureBackoff time.Duration
}

// Tenant is one tenant with its name.
type Tenant struct {
	Name string
	decide.Tenant
}

// Settings is everything that a router is told at its start. It is not changed afterwards.
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

	// Bounds.
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

	// Towards engines.
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

	// The rules' figures.
	AnswerGrace      time.Duration
	DrainGrace       time.Duration
	HoldTimeout      time.Duration
	OverloadMultiple float64
	OverloadWindow   time.Duration
	InitialCapacity  float64
	SlowStartTime    time.Duration
	MaxRetryAfter    time.Duration

	// Fees of the module, in parts of the result.
	ProbeCost float64

	RoleChanges RoleChanges
	Classes     []Class
	Kinds       []Kind
	Tenants     []Tenant
}

// Decide returns the decision module's part of the settings.
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

// Roles returns the settings of the decisions on roles.
func (s *Settings) Roles() roles.Config {
	h := &s.RoleChanges
	return roles.Config{Classes: len(s.Classes), Confidence: h.Confidence, ConsecutivePlans: h.AgreeingPlans, PlanInterval: h.PlanInterval, SlowStartTime: s.SlowStartTime,
		Timeouts:  roles.Timeouts{EmptyTimeout: h.EmptyTimeout, ChangeTimeout: h.ChangeTimeout, Backoff: h.FailureBackoff, CheckInterval: h.CheckInterval, ReplyTimeout: s.ProbeTimeout},
		Costs:     roles.Costs{Horizon: h.Horizon, AwayTime: h.ChangeCost, MaxLoad: h.MaxLoad, MaxChanging: h.MaxConcurrent, MinEngines: h.MinEngines, MaxEngines: h.MaxEngines},
		TurnOrder: roles.TurnOrder{Routers: s.Routers, Index: s.Index, SlotLength: h.SlotLength}, DryRun: h.Mode == "dry"}
}

// ClassIndex returns the index of a class by name, or -1.
func (s *Settings) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// TenantIndex returns the index of a tenant by name, or -1.
func (s *Settings) TenantIndex(name string) int {
	for i := range s.Tenants {
		if s.Tenants[i].Name == name {
			return i
		}
	}
	return -1
}

// KindIndex returns the index of a kind by name, or -1.
func (s *Settings) KindIndex(name string) int {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return i
		}
	}
	return -1
}

// target is where a directive of the present section writes.
type target struct {
	set    *Settings
	class  *Class
	kind   *Kind
	tenant *Tenant
}

// directive is one row of the table of settings: everything that the parser, the check, the defaults and
// the page know of it.
type directive struct {
	section string // router, class, kind or tenant
	name    string
	def     string // the default as it would be written; "" where there is none
	must    bool   // has to be given
	doc     string
	put     func(t *target, value string) error
}

// into makes a put of a reader and a place.
func into[T any](read func(string) (T, error), place func(*target) *T) func(*target, string) error {
	return func(t *target, value string) error {
		v, err := read(value)
		if err == nil {
			*place(t) = v
		}
		return err
	}
}

func text(s string) (string, error) { return s, nil }

func span(s string) (decide.Duration, error) {
	d, err := ParseDuration(s)
	return decide.Duration(d), err
}

// within makes a reader that also keeps a value in bounds.
func within[T int | int64 | float64 | time.Duration](read func(string) (T, error), low, high T) func(string) (T, error) {
	return func(s string) (T, error) {
		v, err := read(s)
		if err == nil && (v < low || v > high) {
			err = expected(s, fmt.Sprintf("%v to %v", low, high))
		}
		return v, err
	}
}

var directives = []directive{
	{"router", "name", "router", false, "name of this router in logs and in ids sent to engines",
		into(text, func(t *target) *string { return &t.set.Name })},
	{"router", "listen", "127.0.0.1:8080", false, "address of the KServe V2 front",
		into(ParseAddress, func(t *target) *string { return &t.set.Listen })},
	{"router", "control", "", false, "address for 'mintdoor roles' and the like, on loopback; empty: none",
		into(func(s string) (string, error) {
			if s == "" {
				return "", nil
			}
			return ParseAddress(s)
		}, func(t *target) *string { return &t.set.Control })},
	{"router", "model", "helpline", false, "name of the model that is served",
		into(text, func(t *target) *string { return &t.set.Model })},
	{"router", "model-version", "1", false, "its version",
		into(text, func(t *target) *string { return &t.set.ModelVersion })},
	{"router", "routers", "1", false, "how many routers share the engines; bounds what each may send",
		into(within(ParseCount, 1, 100000), func(t *target) *int { return &t.set.Routers })},
	{"router", "index", "0", false, "which of them this one is, from 0",
		into(ParseCount, func(t *target) *int { return &t.set.Index })},
	{"router", "zone", "", false, "zone (hall) of this router",
		into(text, func(t *target) *string { return &t.set.Zone })},
	{"router", "list", "", true, "file with the list of engines",
		into(text, func(t *target) *string { return &t.set.ListFile })},
	{"router", "list-every", "200ms", false, "how often the list is looked at for changes",
		into(within(ParseDuration, time.Millisecond, time.Minute), func(t *target) *time.Duration { return &t.set.ListInterval })},

	{"router", "record", "", false, "file for a trace of the traffic: lengths and times, no texts; empty: none",
		into(text, func(t *target) *string { return &t.set.TraceFile })},

	{"router", "max-open", "20000", false, "requests that may be open at once; more are refused at the door",
		into(within(ParseCount, 1, 1e6), func(t *target) *int { return &t.set.MaxOpen })},
	{"router", "max-connections", "20000", false, "client connections that may be open at once",
		into(within(ParseCount, 1, 1e6), func(t *target) *int { return &t.set.MaxConnections })},
	{"router", "max-body", "1MiB", false, "bytes of a request's body",
		into(within(ParseSize, 1<<10, 1<<30), func(t *target) *int64 { return &t.set.MaxBody })},
	{"router", "max-header", "16KiB", false, "bytes of a request's headers",
		into(within(ParseSize, 1<<10, 1<<20), func(t *target) *int64 { return &t.set.MaxHeader })},
	{"router", "header-within", "5s", false, "time for a client to send its headers",
		into(within(ParseDuration, 10*time.Millisecond, time.Minute), func(t *target) *time.Duration { return &t.set.HeaderTimeout })},
	{"router", "max-context", "32k", false, "tokens of prompt and answer that an engine can hold",
		into(ParseTokens, func(t *target) *float64 { return &t.set.MaxContext })},
	{"router", "bytes-per-token", "4", false, "guess of a prompt's tokens where the client does not tell them",
		into(within(ParseNumber, 0.1, 1000), func(t *target) *float64 { return &t.set.BytesPerToken })},
	{"router", "stream-parts", "64", false, "tokens held for a client that reads slowly, before its engine waits",
		into(within(ParseCount, 1, 4096), func(t *target) *int { return &t.set.StreamBuffer })},
	{"router", "client-stall", "10s", false, "a client that takes nothing for so long has left",
		into(within(ParseDuration, 10*time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.ClientStallTimeout })},
	{"router", "stream-idle", "10s", false, "a stream without a token for so long is broken",
		into(within(ParseDuration, 10*time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.StreamIdleTimeout })},
	{"router", "drain-limit", "30s", false, "time for open requests at a stop, before they are failed",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.DrainTimeout })},

	{"router", "dial-timeout", "250ms", false, "a connection to an engine has to stand within this",
		into(within(ParseDuration, time.Millisecond, time.Minute), func(t *target) *time.Duration { return &t.set.DialTimeout })},
	{"router", "engine-connections", "512", false, "connections to one engine at most; more count as not connected",
		into(within(ParseCount, 1, 1e6), func(t *target) *int { return &t.set.MaxEngineConns })},
	{"router", "connection-idle", "15s", false, "an idle connection to an engine is closed after this",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.ConnIdleTimeout })},
	{"router", "release-within", "250ms", false, "time for an engine to take a release",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.ReleaseTimeout })},
	{"router", "probe-within", "250ms", false, "time for an engine to answer a probe",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.ProbeTimeout })},
	{"router", "attempts", "6", false, "attempts for a request at most, both stages together",
		into(within(ParseCount, 1, 64), func(t *target) *int { return &t.set.MaxAttempts })},
	{"router", "probing", "off", false, "probe engines; for those that tell their load only so",
		into(ParseSwitch, func(t *target) *bool { return &t.set.Probing })},
	{"router", "probe-fee", "0.0026", false, "price of one probe a request, as a part of the result; paces probes",
		into(ParseNumber, func(t *target) *float64 { return &t.set.ProbeCost })},
	{"router", "places-ahead", "on", false, "engines can hold a place for a request ahead",
		into(ParseSwitch, func(t *target) *bool { return &t.set.MayReserve })},
	{"router", "resume", "off", false, "a broken stream can be resumed elsewhere by its client",
		into(ParseSwitch, func(t *target) *bool { return &t.set.Resume })},
	{"router", "decode-reads", "off", false, "a decode engine reads a prompt itself when no state waits",
		into(ParseSwitch, func(t *target) *bool { return &t.set.DecodeReads })},
	{"router", "default-class", "", false, "class of a request that names none; empty: the first",
		into(text, func(t *target) *string { return &t.set.DefaultClass })},
	{"router", "default-tenant", "", false, "tenant of a request that names none; empty: none",
		into(text, func(t *target) *string { return &t.set.DefaultTenant })},
	{"router", "over-share-worth", "0.1", false, "worth of a request beyond its tenant's share, as part of the usual",
		into(within(ParseNumber, 0, 1), func(t *target) *float64 { return &t.set.OverQuotaValue })},
	{"router", "log-format", "text", false, "text or json",
		into(func(s string) (string, error) { return ParseChoice(s, "text", "json") },
			func(t *target) *string { return &t.set.LogFormat })},
	{"router", "log-level", "info", false, "debug, info, warn or error",
		into(func(s string) (slog.Level, error) {
			var l slog.Level
			if _, err := ParseChoice(s, "debug", "info", "warn", "error"); err != nil {
				return l, err
			}
			return l, l.UnmarshalText([]byte(s))
		}, func(t *target) *slog.Level { return &t.set.LogLevel })},
	{"router", "log-sample", "100", false, "lines a second of one kind that are written; more are counted",
		into(within(ParseCount, 1, 1e6), func(t *target) *int { return &t.set.LogSample })},

	{"router", "answer-grace", "16ms", false, "rule 1: a final answer may come so long after the deadline",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.AnswerGrace })},
	{"router", "drain-grace", "1s", false, "rule 3: nothing new to an engine so long after the list drains it",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.DrainGrace })},
	{"router", "let-go-within", "300ms", false, "rule 5: a held state is used or let go within this",
		into(within(ParseDuration, time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.HoldTimeout })},
	{"router", "fall-multiple", "3", false, "rule 4: a cold engine falls when sent this multiple of its capacity",
		into(within(ParseNumber, 1, 1000), func(t *target) *float64 { return &t.set.OverloadMultiple })},
	{"router", "fall-within", "2s", false, "rule 4: for this long",
		into(within(ParseDuration, time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.OverloadWindow })},
	{"router", "start-capacity", "0.25", false, "part of its capacity with which an engine starts",
		into(within(ParseNumber, 0.001, 1), func(t *target) *float64 { return &t.set.InitialCapacity })},
	{"router", "cold-for", "13s", false, "an engine is warm after this",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.SlowStartTime })},
	{"router", "retry-after", "500ms", false, "longest time that clients are told to stay away; 0s: no advice",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.MaxRetryAfter })},

	{"router", "shift", "off", false, "shift roles of engines that can do both: off, dry (only say what would be done) or on",
		into(func(s string) (string, error) { return ParseChoice(s, "off", "dry", "on") }, func(t *target) *string { return &t.set.RoleChanges.Mode })},
	{"router", "shift-every", "5s", false, "time between plans",
		into(within(ParseDuration, 10*time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.RoleChanges.PlanInterval })},
	{"router", "shift-look", "1s", false, "how often engines are asked for their role; at most a quarter of shift-slot",
		into(within(ParseDuration, time.Millisecond, time.Minute), func(t *target) *time.Duration { return &t.set.RoleChanges.CheckInterval })},
	{"router", "shift-horizon", "45s", false, "a change has to pay within this; about four times shift-away",
		into(within(ParseDuration, time.Second, 24*time.Hour), func(t *target) *time.Duration { return &t.set.RoleChanges.Horizon })},
	{"router", "shift-away", "11s", false, "work that a change costs, as an engine's time: emptying, changing, coldness",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.RoleChanges.ChangeCost })},
	{"router", "shift-confidence", "0.85", false, "with which a change has to pay",
		into(within(ParseNumber, 0.5, 0.999), func(t *target) *float64 { return &t.set.RoleChanges.Confidence })},
	{"router", "shift-looks", "1", false, "plans in a row that have to agree before a change",
		into(within(ParseCount, 1, 1000), func(t *target) *int { return &t.set.RoleChanges.AgreeingPlans })},
	{"router", "shift-least-prefill", "1", false, "prefill engines that stay at least, of those that can change",
		into(within(ParseCount, 1, 100000), func(t *target) *int { return &t.set.RoleChanges.MinEngines[0] })},
	{"router", "shift-least-decode", "1", false, "decode engines that stay at least, of those that can change",
		into(within(ParseCount, 1, 100000), func(t *target) *int { return &t.set.RoleChanges.MinEngines[1] })},
	{"router", "shift-most-prefill", "0", false, "prefill engines at most, of those that can change; 0: no bound",
		into(within(ParseCount, 0, 100000), func(t *target) *int { return &t.set.RoleChanges.MaxEngines[0] })},
	{"router", "shift-most-decode", "0", false, "decode engines at most, of those that can change; 0: no bound",
		into(within(ParseCount, 0, 100000), func(t *target) *int { return &t.set.RoleChanges.MaxEngines[1] })},
	{"router", "shift-at-once", "2", false, "engines that may be away for a change at once, over all routers",
		into(within(ParseCount, 1, 10000), func(t *target) *int { return &t.set.RoleChanges.MaxConcurrent })},
	{"router", "shift-load-prefill", "0.75", false, "part of their capacity to which prefill engines may be used and still answer in time",
		into(within(ParseNumber, 0.05, 1), func(t *target) *float64 { return &t.set.RoleChanges.MaxLoad[0] })},
	{"router", "shift-load-decode", "0.87", false, "the same of decode engines",
		into(within(ParseNumber, 0.05, 1), func(t *target) *float64 { return &t.set.RoleChanges.MaxLoad[1] })},
	{"router", "shift-slot", "10s", false, "routers take turns in beginning changes, in slots of this length; the same at all",
		into(within(ParseDuration, 400*time.Millisecond, time.Hour), func(t *target) *time.Duration { return &t.set.RoleChanges.SlotLength })},
	{"router", "shift-empty", "30s", false, "time for an engine to become empty, before the change is taken back",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.RoleChanges.EmptyTimeout })},
	{"router", "shift-change", "1m", false, "time for the change itself",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.RoleChanges.ChangeTimeout })},
	{"router", "shift-rest", "30s", false, "an engine whose change failed is left alone for this; longer with each failure",
		into(ParseDuration, func(t *target) *time.Duration { return &t.set.RoleChanges.FailureBackoff })},

	{"class", "aim", "1s", false, "first token wanted within this",
		into(span, func(t *target) *decide.Duration { return &t.class.FirstTokenTarget })},
	{"class", "aim-per-1000", "40ms", false, "and so much more for each thousand prompt tokens",
		into(span, func(t *target) *decide.Duration { return &t.class.FirstTokenTargetPerK })},
	{"class", "deadline", "4s", false, "given up after this without a first token, where the client tells no deadline",
		into(span, func(t *target) *decide.Duration { return &t.class.Deadline })},
	{"class", "token-aim", "60ms", false, "wanted time between tokens",
		into(span, func(t *target) *decide.Duration { return &t.class.TokenIntervalTarget })},
	{"class", "worth", "1", false, "worth of a request in time",
		into(ParseNumber, func(t *target) *float64 { return &t.class.Value })},
	{"class", "late-worth", "0.2", false, "part of its worth when it is late",
		into(within(ParseNumber, 0, 1), func(t *target) *float64 { return &t.class.LateValue })},
	{"class", "repeat", "safe", false, "safe, keyed or unsafe: what a repeat does after an attempt that may have run",
		into(func(s string) (decide.RetryPolicy, error) {
			_, err := ParseChoice(s, "safe", "keyed", "unsafe")
			return map[string]decide.RetryPolicy{"safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}[s], err
		}, func(t *target) *decide.RetryPolicy { return &t.class.RetryPolicy })},
	{"class", "scope", "all", false, "keyed: engines that drop repeats: all, or those of one zone or cell",
		into(func(s string) (decide.DedupScope, error) {
			_, err := ParseChoice(s, "all", "zone", "cell")
			return map[string]decide.DedupScope{"zone": decide.ScopeZone, "cell": decide.ScopeCell}[s], err
		}, func(t *target) *decide.DedupScope { return &t.class.DedupScope })},
	{"class", "window", "5s", false, "keyed: how long repeats are dropped",
		into(span, func(t *target) *decide.Duration { return &t.class.DedupWindow })},
	{"class", "max-tokens", "500", false, "output limit of a request that names none",
		into(within(ParseCount, 1, 1e6), func(t *target) *int { return &t.class.MaxTokens })},

	{"kind", "role", "", true, "prefill, decode or both",
		into(func(s string) (decide.Role, error) {
			_, err := ParseChoice(s, "prefill", "decode", "both")
			return map[string]decide.Role{"prefill": decide.Reader, "decode": decide.Writer, "both": decide.Both}[s], err
		}, func(t *target) *decide.Role { return &t.kind.Role })},
	{"kind", "memory", "0", false, "tokens that fit into its memory; 0: not told",
		into(ParseTokens, func(t *target) *float64 { return &t.kind.Memory })},

	{"kind", "becomes", "", false, "kind that an engine of this one is after a change of role",
		into(text, func(t *target) *string { return &t.kind.Becomes })},
	{"kind", "capacity", "0", false, "tokens a second that it reads, or writes; for shifting roles",
		into(ParseTokens, func(t *target) *float64 { return &t.kind.Capacity })},

	{"tenant", "rate", "0/s", false, "requests a second within its share, over all routers; 0/s: not told",
		into(ParseRate, func(t *target) *float64 { return &t.tenant.RequestsPerSecond })},
}

// sections are the words that begin a section and take its name.
var sections = []string{"class", "kind", "tenant"}

// Load reads and checks a settings file. Every error of the file comes back at once, as Errors.
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

// Parse reads settings from a text; the list's path stays as it is written.
func Parse(file, text string) (*Settings, error) {
	lines, errs := ParseLines(file, text)
	s, wrong := build(file, lines)
	if err := append(errs, wrong...).Err(); err != nil {
		return nil, err
	}
	return s, nil
}

type given struct {
	line  *Line
	scope string // section and name, for doubles
}

// Defaults returns the settings of a file that says nothing. Classes, kinds and tenants are none.
func Defaults() *Settings {
	s := &Settings{}
	defaults(&target{set: s}, "router")
	return s
}

func build(file string, lines []Line) (*Settings, Errors) {
	var errs Errors
	s := &Settings{}
	now := target{set: s}
	defaults(&now, "router")
	section, scope := "router", "router"
	seen := map[string]given{}
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
				errs.Add(l, "%s stands twice, first at %s:%d", scope, first.line.File, first.line.Number)
			}
			seen[scope] = given{line: l}
			open = append(open, opened{section, scope, l})
			begin(s, &now, section, strings.TrimPrefix(scope, section+" "))
			continue
		}
		if l.Name() == "router" && len(l.Words) == 1 {
			section, scope = "router", "router"
			continue
		}
		d := find(section, l.Name())
		if d == nil {
			errs.Add(l, "%s", unknown(section, l.Name()))
			continue
		}
		if len(l.Words) != 2 {
			errs.Add(l, "%s has %d values, expected one: %s", d.name, len(l.Words)-1, d.doc)
			continue
		}
		key := scope + "/" + d.name
		if first, ok := seen[key]; ok {
			errs.Add(l, "%s stands twice in %s, first at %s:%d", d.name, scope, first.line.File, first.line.Number)
			continue
		}
		seen[key] = given{line: l}
		if err := d.put(&now, l.Words[1].Text); err != nil {
			errs.Add(l, "%s: %v", d.name, err)
		}
	}
	whole := &Line{File: file}
	for _, d := range directives {
		if !d.must {
			continue
		}
		if d.section == "router" {
			if _, ok := seen["router/"+d.name]; !ok {
				errs.Add(whole, "%s is missing, expected: %s", d.name, d.doc)
			}
			continue
		}
		for _, o := range open {
			if _, ok := seen[o.scope+"/"+d.name]; o.section == d.section && !ok {
				errs.Add(o.line, "%s has no %s, expected: %s", o.scope, d.name, d.doc)
			}
		}
	}
	errs = append(errs, s.check(whole, seen)...)
	return s, errs
}

// check looks at what no single line can show.
func (s *Settings) check(whole *Line, seen map[string]given) (errs Errors) {
	at := func(key string) *Line {
		if g, ok := seen[key]; ok {
			return g.line
		}
		return whole
	}
	if len(s.Classes) == 0 {
		errs.Add(whole, "no class is given, expected at least one section 'class NAME'")
	}
	roles := decide.Role(0)
	for _, k := range s.Kinds {
		roles |= k.Role
	}
	if roles != decide.Both {
		errs.Add(whole, "the kinds of engines can't do both stages, expected sections 'kind NAME' with prefill and decode, or both")
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
	errs = append(errs, s.checkShift(at)...)
	for _, c := range s.Classes {
		if c.Deadline < c.FirstTokenTarget {
			errs.Add(at("class "+c.Name), "class %s: its deadline %v is under its aim %v", c.Name,
				time.Duration(c.Deadline), time.Duration(c.FirstTokenTarget))
		}
	}
	return errs
}

// checkShift looks at the kinds that become one another.
func (s *Settings) checkShift(at func(string) *Line) (errs Errors) {
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
			errs.Add(l, "becomes: kind %s does not become %s again, expected 'becomes %s' there", k.Becomes, k.Name, k.Name)
		case k.Role == decide.Both || s.Kinds[i].Role == decide.Both || k.Role == s.Kinds[i].Role:
			errs.Add(l, "becomes: kinds %s and %s have to be one of prefill and one of decode", k.Name, k.Becomes)
		}
		if k.Capacity <= 0 && s.RoleChanges.Mode != "off" {
			errs.Add(l, "kind %s has no capacity, expected tokens a second, to plan by", k.Name)
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
			if most := s.RoleChanges.MaxEngines[i]; most > 0 && most < s.RoleChanges.MinEngines[i] {
				errs.Add(at("router/shift-most-"+role), "shift-most-%s: found %d, expected at least shift-least-%s, %d", role, most, role, s.RoleChanges.MinEngines[i])
			}
		}
		if 4*s.RoleChanges.CheckInterval > s.RoleChanges.SlotLength {
			errs.Add(at("router/shift-look"), "shift-look: found %v, expected at most a quarter of shift-slot, %v", s.RoleChanges.CheckInterval, s.RoleChanges.SlotLength)
		}
	}
	return errs
}

func begin(s *Settings, t *target, section, name string) {
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
	defaults(t, section)
}

func defaults(t *target, section string) {
	for _, d := range directives {
		if d.section == section && d.def != "" {
			if err := d.put(t, d.def); err != nil {
				panic(fmt.Sprintf("config: default of %s: %v", d.name, err)) // a slip in the table
			}
		}
	}
}

func find(section, name string) *directive {
	for i := range directives {
		if directives[i].section == section && directives[i].name == name {
			return &directives[i]
		}
	}
	return nil
}

func unknown(section, name string) string {
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

// WriteDefaults prints every setting with its default and its meaning, as a file that could be read.
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
		value := d.def
		mark := ""
		switch {
		case d.must:
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
