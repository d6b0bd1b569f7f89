// Package day plays a scripted scenario: traffic drawn in advance, faults at fixed times, several routers that are
// killed and restarted, and finally an audit of what crossed the sockets. Engines are stand-ins; routers are started
// by the caller.
package day

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/audit"
	"mintdoor/internal/config"
	standin "mintdoor/internal/standin/engine"
	"mintdoor/internal/trace"
)

// Class is one class of requests and the shape of its traffic.
type Class struct {
	Name                 string
	Share                float64 // fraction of the sessions
	Value                float64
	FirstTokenTarget     time.Duration
	FirstTokenTargetPerK time.Duration
	Deadline             time.Duration
	TokenIntervalTarget  time.Duration
	RetryPolicy          string  // safe, keyed or unsafe
	NewTokens            float64 // mean number of new prompt tokens of a turn
	NewTokensSigma       float64
	OutputTokens         float64 // mean
	OutputTokensSigma    float64
	MaxOutputTokens      int
	Turns                float64 // mean number of turns of a session
	ThinkTime            time.Duration
	Prefixes             int     // number of shared prefixes
	PrefixTokens         float64 // mean
	PrefixShare          float64 // fraction of the sessions that begin with a shared prefix
}

// Clients is the behaviour of the clients.
type Clients struct {
	Retries     int
	Backoff     time.Duration
	HonourShare float64 // fraction of the clients that follow Retry-After
	Patience    float64 // a client gives up a try after this part of the class's deadline
}

// Group is a number of engines of the same kind.
type Group struct {
	Prefix string
	Count  int
	Spec   standin.Spec
}

// Event is a fault or another change at a time of the scenario. Targets are the names of engines or routers; empty:
// all.
type Event struct {
	At       time.Duration
	Kind     string
	Duration time.Duration
	Size     float64
	Extra    float64
	Class    string
	How      string
	Targets  []string
	Line     int
}

// otherKinds are the kinds of events that are not faults of single engines, and what their size and extra mean.
var otherKinds = map[string]string{
	"burst":         "rate times size",
	"heavy_tail":    "prompts size times as long, for the share extra of a class",
	"give_up":       "a share (size) of the clients has only a part (extra) of its patience (how: leave or short)",
	"balancer_roll": "the routers named by on are killed and restarted after the time",
	"drain":         "the engines named by on are listed as draining for the time",
	"unlist":        "the engines named by on are removed from the list for the time",
	"split":         "engines are asked to change roles until size engines prefill, whatever the traffic",
}

// Script is a scenario.
type Script struct {
	File    string
	Length  time.Duration
	Seed    uint64
	Speed   float64 // factor by which the scenario runs faster than its own times
	Routers int
	Rate    float64 // requests a second, over all routers
	Load    float64 // requested part of the engines' capacity; sets Rate if that is 0

	Cells int
	// LinkTokensPerSecond is the rate at which KV states leave a cell; 0: the engines' own rate.
	LinkTokensPerSecond                                                float64
	CrashListDelay, UnresponsiveListDelay, StartListDelay, FrontNotice time.Duration
	Clients                                                            Clients
	Classes                                                            []Class
	Prefill, Decode                                                    Group
	Events                                                             []Event

	AnswerGrace, DrainGrace, HoldTimeout time.Duration
	OverloadMultiple                     float64
	OverloadWindow                       time.Duration
	InitialCapacity                      float64
	SlowStartTime                        time.Duration
	MaxRetryAfter                        time.Duration
	Resume                               bool

	// A recorded trace that replaces the drawn traffic, and role changes of the engines.
	TraceFile      string
	Trace          *trace.Trace
	RoleChangeTime time.Duration // duration of a role change; 0: every engine has one role
	ShiftMode      string        // off, dry or on

	Notes []string // what could not be converted from a scenario of lbsim
}

// DefaultScript returns a scenario without faults, of a size that one machine can run.
func DefaultScript() Script {
	return Script{
		Length: time.Minute, Seed: 1, Speed: 1, Routers: 3, Cells: 2, LinkTokensPerSecond: 300e3, Load: 0.5,
		CrashListDelay: 2 * time.Second, UnresponsiveListDelay: 5 * time.Second, StartListDelay: time.Second, FrontNotice: 1500 * time.Millisecond,
		Clients: Clients{Retries: 1, Backoff: 100 * time.Millisecond, HonourShare: 0.7, Patience: 1},
		Prefill: Group{Prefix: "p", Count: 4, Spec: standin.Prefill()}, Decode: Group{Prefix: "d", Count: 6, Spec: standin.Decode()},
		AnswerGrace: 16 * time.Millisecond, DrainGrace: time.Second, HoldTimeout: 300 * time.Millisecond,
		OverloadMultiple: 4, OverloadWindow: 2 * time.Second, InitialCapacity: 0.26, SlowStartTime: 13 * time.Second,
		MaxRetryAfter: 500 * time.Millisecond,
	}
}

func defaultClass(name string) Class {
	return Class{Name: name, Share: 1, Value: 1, FirstTokenTarget: time.Second, FirstTokenTargetPerK: 40 * time.Millisecond, Deadline: 4 * time.Second,
		TokenIntervalTarget: 60 * time.Millisecond, RetryPolicy: "safe", NewTokens: 300, NewTokensSigma: 0.8, OutputTokens: 100, OutputTokensSigma: 0.6, MaxOutputTokens: 500,
		Turns: 2, ThinkTime: 3 * time.Second, Prefixes: 20, PrefixTokens: 2000, PrefixShare: 0.8}
}

// Load reads a script from a file.
func Load(path string) (*Script, error) {
	lines, errs := config.ReadLines(path)
	if lines == nil && len(errs) > 0 {
		return nil, errs
	}
	return build(path, lines, errs)
}

// Parse reads a script from a text.
func Parse(file, text string) (*Script, error) {
	lines, errs := config.ParseLines(file, text)
	return build(file, lines, errs)
}

// field is a word of a script and the function that sets its value.
type field struct {
	name string
	set  func(string) error
}

func parseNumber(p *float64) func(string) error {
	return func(s string) (err error) { *p, err = config.ParseNumber(s); return }
}

func parseTokens(p *float64) func(string) error {
	return func(s string) (err error) { *p, err = config.ParseTokens(s); return }
}

func parseDuration(p *time.Duration) func(string) error {
	return func(s string) (err error) { *p, err = config.ParseDuration(s); return }
}

func parseCount(p *int) func(string) error {
	return func(s string) (err error) { *p, err = config.ParseCount(s); return }
}

// build makes a script of the lines of a file. All errors are collected, those of reading the file included.
func build(file string, lines []config.Line, errs config.Errors) (*Script, error) {
	s := DefaultScript()
	s.File = file
	seed := func(v string) error { n, err := config.ParseCount(v); s.Seed = uint64(n); return err }
	top := []field{
		{"length", parseDuration(&s.Length)}, {"seed", seed}, {"speed", parseNumber(&s.Speed)}, {"routers", parseCount(&s.Routers)},
		{"rate", func(v string) (err error) { s.Rate, err = config.ParseRate(v); return }}, {"load", parseNumber(&s.Load)},
		{"cells", parseCount(&s.Cells)}, {"link", parseTokens(&s.LinkTokensPerSecond)}, {"notice", parseDuration(&s.CrashListDelay)}, {"silent-notice", parseDuration(&s.UnresponsiveListDelay)},
		{"add", parseDuration(&s.StartListDelay)}, {"front-notice", parseDuration(&s.FrontNotice)},
		{"answer-grace", parseDuration(&s.AnswerGrace)}, {"drain-grace", parseDuration(&s.DrainGrace)}, {"let-go-within", parseDuration(&s.HoldTimeout)},
		{"fall-multiple", parseNumber(&s.OverloadMultiple)}, {"fall-within", parseDuration(&s.OverloadWindow)}, {"start-capacity", parseNumber(&s.InitialCapacity)},
		{"cold-for", parseDuration(&s.SlowStartTime)}, {"retry-after", parseDuration(&s.MaxRetryAfter)},
		{"trace", func(v string) error { s.TraceFile = v; return nil }}, {"change", parseDuration(&s.RoleChangeTime)},
		{"shift", func(v string) (err error) { s.ShiftMode, err = config.ParseChoice(v, "off", "dry", "on"); return }},
	}
	for i := range lines {
		l := &lines[i]
		switch l.Name() {
		case "class":
			if len(l.Words) < 2 {
				errs.Add(l, "class has no name, expected 'class NAME ...'")
				continue
			}
			c := defaultClass(l.Words[1].Text)
			pairs(l, 2, &errs, []field{{"share", parseNumber(&c.Share)}, {"worth", parseNumber(&c.Value)}, {"aim", parseDuration(&c.FirstTokenTarget)}, {"aim-per-1000", parseDuration(&c.FirstTokenTargetPerK)},
				{"deadline", parseDuration(&c.Deadline)}, {"token-aim", parseDuration(&c.TokenIntervalTarget)},
				{"repeat", func(v string) (err error) {
					c.RetryPolicy, err = config.ParseChoice(v, "safe", "keyed", "unsafe")
					return
				}},
				{"new", parseTokens(&c.NewTokens)}, {"answer", parseTokens(&c.OutputTokens)}, {"max-tokens", parseCount(&c.MaxOutputTokens)}, {"turns", parseNumber(&c.Turns)},
				{"think", parseDuration(&c.ThinkTime)}, {"texts", parseCount(&c.Prefixes)}, {"text-tokens", parseTokens(&c.PrefixTokens)}, {"text-share", parseNumber(&c.PrefixShare)}})
			s.Classes = append(s.Classes, c)
		case "clients":
			c := &s.Clients
			pairs(l, 1, &errs, []field{{"retries", parseCount(&c.Retries)}, {"backoff", parseDuration(&c.Backoff)}, {"honour", parseNumber(&c.HonourShare)},
				{"patience", parseNumber(&c.Patience)}})
		case "prefill", "decode":
			g := &s.Prefill
			if l.Name() == "decode" {
				g = &s.Decode
			}
			memory, readPerS := float64(g.Spec.MemoryTokens), g.Spec.ReadTokensPerSecond
			pairs(l, 1, &errs, []field{{"count", parseCount(&g.Count)}, {"slots", parseCount(&g.Spec.MaxRunning)}, {"queue", parseCount(&g.Spec.MaxQueued)},
				{"memory", parseTokens(&memory)}, {"read", parseTokens(&readPerS)}, {"step", parseDuration(&g.Spec.StepTime)}, {"per-sequence", parseDuration(&g.Spec.StepTimePerWriter)}})
			g.Spec.MemoryTokens, g.Spec.ReadTokensPerSecond = int(memory), readPerS
		case "at":
			if e, ok := event(l, &errs); ok {
				s.Events = append(s.Events, e)
			}
		default:
			pairs(l, 0, &errs, top)
		}
	}
	whole := &config.Line{File: file}
	if len(s.Classes) == 0 {
		errs.Add(whole, "no class is given, expected at least one line 'class NAME ...'")
	}
	if s.Speed <= 0 || s.Length <= 0 || s.Routers < 1 || s.Prefill.Count < 1 || s.Decode.Count < 1 || s.Cells < 1 {
		errs.Add(whole, "speed, length, routers, cells and the counts of engines must be over 0")
	}
	if s.ShiftMode != "off" && s.ShiftMode != "" && s.RoleChangeTime <= 0 {
		errs.Add(whole, "shift is %s, but engines cannot change roles: expected 'change TIME'", s.ShiftMode)
	}
	if s.TraceFile != "" {
		path := s.TraceFile
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(file), path)
		}
		t, err := trace.Load(path)
		if err != nil {
			errs.Add(whole, "%v", err)
		} else if err := s.UseTrace(t); err != nil {
			errs.Add(whole, "%v", err)
		}
	}
	s.checkEvents(file, &errs)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// pairs reads the words of a line from index from on as pairs of names and values.
func pairs(l *config.Line, from int, errs *config.Errors, fields []field) {
	words := l.Words[from:]
	for len(words) > 0 {
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == words[0].Text })
		if i < 0 {
			names := make([]string, len(fields))
			for j, f := range fields {
				names[j] = f.name
			}
			errs.Add(l, "found %q, expected one of %s", words[0].Text, strings.Join(names, ", "))
			return
		}
		if len(words) < 2 {
			errs.Add(l, "%s has no value", words[0].Text)
			return
		}
		if err := fields[i].set(words[1].Text); err != nil {
			errs.Add(l, "%s: %v", fields[i].name, err)
		}
		words = words[2:]
	}
}

// event reads 'at TIME KIND [on a,b] [for TIME] [size N] [extra N] [class NAME] [how WORD]'.
func event(l *config.Line, errs *config.Errors) (Event, bool) {
	e := Event{Line: l.Number}
	if len(l.Words) < 3 {
		errs.Add(l, "at has %d values, expected a time and a kind of fault", len(l.Words)-1)
		return e, false
	}
	var err error
	if e.At, err = config.ParseDuration(l.Words[1].Text); err != nil {
		errs.Add(l, "at: %v", err)
	}
	e.Kind = l.Words[2].Text
	pairs(l, 3, errs, []field{
		{"on", func(v string) error { e.Targets = strings.Split(v, ","); return nil }},
		{"for", parseDuration(&e.Duration)}, {"size", parseNumber(&e.Size)}, {"extra", parseNumber(&e.Extra)},
		{"class", func(v string) error { e.Class = v; return nil }}, {"how", func(v string) error { e.How = v; return nil }}})
	return e, true
}

func (s *Script) checkEvents(file string, errs *config.Errors) {
	for i := range s.Events {
		e := &s.Events[i]
		l := &config.Line{File: file, Number: e.Line}
		if standin.FaultKinds[e.Kind] == "" && otherKinds[e.Kind] == "" {
			errs.Add(l, "unknown fault %q", e.Kind)
		}
		if e.Duration <= 0 && e.Kind != "split" {
			errs.Add(l, "%s has no 'for', expected how long it lasts", e.Kind)
		}
		if e.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == e.Class }) {
			errs.Add(l, "unknown class %q", e.Class)
		}
		for _, name := range e.Targets {
			if !slices.Contains(s.targets(e.Kind), name) {
				errs.Add(l, "%s cannot be injected into %q, expected one of %s", e.Kind, name, strings.Join(s.targets(e.Kind), ", "))
			}
		}
	}
}

// targets returns the names that an event of a kind can apply to.
func (s *Script) targets(kind string) (names []string) {
	if kind == "balancer_roll" {
		for i := range s.Routers {
			names = append(names, routerName(i))
		}
		return names
	}
	for _, g := range []Group{s.Prefill, s.Decode} {
		for i := range g.Count {
			names = append(names, fmt.Sprintf("%s%d", g.Prefix, i+1))
		}
	}
	return names
}

func routerName(i int) string { return fmt.Sprintf("r%d", i+1) }

// scaled returns a copy of the script in which all times are divided by its speed.
func (s *Script) scaled() *Script {
	c := *s
	c.Events, c.Classes = slices.Clone(s.Events), slices.Clone(s.Classes)
	f := func(ds ...*time.Duration) {
		for _, d := range ds {
			*d = time.Duration(float64(*d) / s.Speed)
		}
	}
	f(&c.Length, &c.CrashListDelay, &c.UnresponsiveListDelay, &c.StartListDelay, &c.FrontNotice, &c.Clients.Backoff, &c.OverloadWindow, &c.SlowStartTime, &c.MaxRetryAfter,
		&c.DrainGrace, &c.RoleChangeTime)
	for i := range c.Events {
		f(&c.Events[i].At, &c.Events[i].Duration)
		switch c.Events[i].Kind { // kinds whose size is a time
		case "preempt", "handshake_slow", "report_late":
			c.Events[i].Size /= s.Speed
		}
	}
	for i := range c.Classes {
		k := &c.Classes[i]
		f(&k.FirstTokenTarget, &k.FirstTokenTargetPerK, &k.Deadline, &k.TokenIntervalTarget, &k.ThinkTime)
	}
	c.Prefill.Spec.SpeedUp(s.Speed)
	c.Decode.Spec.SpeedUp(s.Speed)
	c.LinkTokensPerSecond *= s.Speed
	c.Rate = s.rate() * s.Speed
	for _, g := range []*Group{&c.Prefill, &c.Decode} {
		g.Spec.OverloadMultiple, g.Spec.OverloadWindow = c.OverloadMultiple, c.OverloadWindow
		g.Spec.InitialCapacity, g.Spec.SlowStartTime = min(c.InitialCapacity*1.15, 1), c.SlowStartTime*9/10
		g.Spec.MeanPromptTokens, g.Spec.MeanAnswerTokens = s.means()
	}
	return &c
}

// means returns the mean uncached prompt tokens and the mean output tokens of a request.
func (s *Script) means() (read, answer float64) {
	share := 0.0
	for _, c := range s.Classes {
		// A turn reads its new tokens and the previous answer; a shared prefix is mostly cached.
		weight := c.Share * max(c.Turns, 1)
		const missShare = 0.2
		read += weight * (c.NewTokens + c.OutputTokens*(1-1/max(c.Turns, 1)) + missShare*c.PrefixShare*c.PrefixTokens)
		answer += weight * c.OutputTokens
		share += weight
	}
	return read / share, answer / share
}

// rate returns the script's request rate, or the one that uses the part Load of the engines' capacity.
func (s *Script) rate() float64 {
	if s.Rate > 0 {
		return s.Rate
	}
	read, answer := s.means()
	readers := s.Prefill.Spec.ReadTokensPerSecond * float64(s.Prefill.Count) / read
	step := s.Decode.Spec.StepTime + time.Duration(s.Decode.Spec.MaxRunning)*s.Decode.Spec.StepTimePerWriter
	writers := float64(s.Decode.Spec.MaxRunning) / step.Seconds() * float64(s.Decode.Count) / answer
	// A writer's memory may hold fewer streams than it has slots.
	streamTokens := 0.0
	for _, c := range s.Classes {
		streamTokens = max(streamTokens, c.PrefixShare*c.PrefixTokens+c.NewTokens*c.Turns+c.OutputTokens)
	}
	streams := min(float64(s.Decode.Spec.MaxRunning), float64(s.Decode.Spec.MemoryTokens)/streamTokens)
	writers = min(writers, streams/(answer*step.Seconds())*float64(s.Decode.Count))
	return s.Load * min(readers, writers)
}

// RouterSettings returns the settings file of router i, for a scaled script.
func (s *Script) RouterSettings(i int, listen, list string) string {
	var b strings.Builder
	line := func(name string, v any) { fmt.Fprintf(&b, "%s %v\n", name, v) }
	line("name", routerName(i))
	line("listen", listen)
	line("list", `"`+list+`"`)
	line("list-every", listEvery)
	line("routers", s.Routers)
	line("index", i)
	line("log-level", "warn")
	line("max-context", s.Prefill.Spec.MaxContextTokens)
	line("answer-grace", s.AnswerGrace)
	line("drain-grace", s.DrainGrace)
	line("let-go-within", s.HoldTimeout)
	line("fall-multiple", s.OverloadMultiple)
	line("fall-within", s.OverloadWindow)
	line("start-capacity", s.InitialCapacity)
	line("cold-for", s.SlowStartTime)
	line("retry-after", s.MaxRetryAfter)
	line("drain-limit", 2*time.Second)
	if s.Resume {
		line("resume", "on")
	}
	for _, c := range s.Classes {
		line("class", `"`+c.Name+`"`)
		line("  aim", c.FirstTokenTarget)
		line("  aim-per-1000", c.FirstTokenTargetPerK)
		line("  deadline", c.Deadline)
		line("  token-aim", c.TokenIntervalTarget)
		line("  worth", c.Value)
		line("  repeat", c.RetryPolicy)
		line("  max-tokens", c.MaxOutputTokens)
	}
	for _, g := range []Group{s.Prefill, s.Decode} {
		kind, role := "prefill", "prefill"
		if g.Spec.Role == decide.Writer {
			kind, role = "decode", "decode"
		}
		line("kind", kind)
		line("  role", role)
		line("  memory", g.Spec.MemoryTokens)
		if s.RoleChangeTime > 0 {
			line("  becomes", map[string]string{"prefill": "decode", "decode": "prefill"}[kind])
			line("  capacity", int(g.Spec.Capacity()))
		}
	}
	return s.shiftSettings() + b.String()
}

const listEvery = 50 * time.Millisecond

// AuditRules returns the limits that the audit checks the run of a scaled script against.
func (s *Script) AuditRules(slack time.Duration) audit.Rules {
	return audit.Rules{AnswerGrace: s.AnswerGrace, DrainGrace: s.DrainGrace, ListInterval: listEvery, OverloadMultiple: s.OverloadMultiple,
		OverloadWindow: s.OverloadWindow, HoldTimeout: s.HoldTimeout, FailoverTime: s.FrontNotice, Slack: slack}
}

// Write writes the script in the form that Parse reads.
func (s *Script) Write(path string) error {
	var b strings.Builder
	for _, n := range s.Notes {
		fmt.Fprintf(&b, "# not carried over: %s\n", n)
	}
	fmt.Fprintf(&b, "length %v\nseed %d\nspeed %v\nrouters %d\nload %v\ncells %d\nlink %.0f\n", s.Length, s.Seed, s.Speed, s.Routers, s.Load,
		s.Cells, s.LinkTokensPerSecond)
	fmt.Fprintf(&b, "notice %v\nsilent-notice %v\nadd %v\nfront-notice %v\n", s.CrashListDelay, s.UnresponsiveListDelay, s.StartListDelay, s.FrontNotice)
	fmt.Fprintf(&b, "answer-grace %v\ndrain-grace %v\nlet-go-within %v\nfall-multiple %v\nfall-within %v\nstart-capacity %v\ncold-for %v\nretry-after %v\n",
		s.AnswerGrace, s.DrainGrace, s.HoldTimeout, s.OverloadMultiple, s.OverloadWindow, s.InitialCapacity, s.SlowStartTime, s.MaxRetryAfter)
	if s.TraceFile != "" {
		fmt.Fprintf(&b, "trace %q\n", s.TraceFile)
	}
	if s.RoleChangeTime > 0 {
		fmt.Fprintf(&b, "change %v\n", s.RoleChangeTime)
	}
	if s.ShiftMode != "" {
		fmt.Fprintf(&b, "shift %s\n", s.ShiftMode)
	}
	fmt.Fprintf(&b, "clients retries %d backoff %v honour %v patience %v\n", s.Clients.Retries, s.Clients.Backoff, s.Clients.HonourShare, s.Clients.Patience)
	for _, g := range []struct {
		name string
		Group
	}{{"prefill", s.Prefill}, {"decode", s.Decode}} {
		p := g.Spec
		fmt.Fprintf(&b, "%s count %d slots %d queue %d memory %d read %.0f step %v per-sequence %v\n", g.name, g.Count, p.MaxRunning, p.MaxQueued, p.MemoryTokens,
			p.ReadTokensPerSecond, p.StepTime, p.StepTimePerWriter)
	}
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "class %q share %v worth %v aim %v aim-per-1000 %v deadline %v token-aim %v repeat %s new %.0f answer %.0f max-tokens %d turns %.2f think %v texts %d text-tokens %.0f text-share %.2f\n",
			c.Name, c.Share, c.Value, c.FirstTokenTarget, c.FirstTokenTargetPerK, c.Deadline, c.TokenIntervalTarget, c.RetryPolicy, c.NewTokens, c.OutputTokens, c.MaxOutputTokens, c.Turns, c.ThinkTime, c.Prefixes, c.PrefixTokens, c.PrefixShare)
	}
	for _, e := range s.Events {
		fmt.Fprintf(&b, "at %v %s for %v size %v extra %v", e.At, e.Kind, e.Duration, e.Size, e.Extra)
		if len(e.Targets) > 0 {
			fmt.Fprintf(&b, " on %s", strings.Join(e.Targets, ","))
		}
		if e.Class != "" {
			fmt.Fprintf(&b, " class %q", e.Class)
		}
		if e.How != "" {
			fmt.Fprintf(&b, " how %s", e.How)
		}
		b.WriteByte('\n')
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
