// Package settings parses the platform's settings of a deployment. The simulator sends them as path=value lines, and
// the configuration file of a running router has them as nested JSON. Both are flattened to the same form and
// converted by the same code, so that they can't differ. The package makes no decisions and reads no files.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"mintdoor/decide"
)

// Deployment holds the parsed settings: those of the decision module, and the names and values that adapters need.
type Deployment struct {
	Decide          *decide.Settings
	Classes         []string        // names of Decide.Classes
	Kinds           []string        // names of Decide.Kinds
	Zones           []string        // by index
	Tenants         []string        // names of Decide.Tenants
	ReportFields    []string        // names of the values in a load report, in order
	RetryAfter      bool            // refusals may carry a Retry-After
	ConnIdleTimeout decide.Duration // engines close a connection that has been idle for this long
}

// ParseLines parses path=value lines.
func ParseLines(text string) (*Deployment, error) {
	p := &pairs{values: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: %q has no '='", i+1, line)
		}
		p.values[path] = strings.TrimSuffix(value, "\r")
	}
	return p.deployment()
}

// ParseJSON parses a nested JSON object.
func ParseJSON(data []byte) (*Deployment, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var v map[string]any
	if err := d.Decode(&v); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p := &pairs{values: map[string]string{}}
	p.flatten("", v)
	return p.deployment()
}

// flatten stores a value under its path, in the simulator's form: the elements of a list of scalars are joined by
// commas, and a list of objects becomes its count and the objects under their indices.
func (p *pairs) flatten(path string, v any) {
	child := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for key, value := range v {
			p.flatten(child(key), value)
		}
	case []any:
		var scalars []string
		objects := 0
		for i, value := range v {
			if o, ok := value.(map[string]any); ok {
				objects++
				p.flatten(child(strconv.Itoa(i)), o)
				continue
			}
			scalars = append(scalars, scalar(value))
		}
		if objects > 0 {
			p.values[child("count")] = strconv.Itoa(len(v))
			return
		}
		p.values[path] = strings.Join(scalars, ",")
	case nil:
	default:
		p.values[path] = scalar(v)
	}
}

// NormalizeName returns a name in the form that settings use: the simulator replaces spaces and commas by '_'. Names
// from other sources, such as headers or discovery's list, are compared in this form.
func NormalizeName(s string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(s) }

func scalar(v any) string {
	switch v := v.(type) {
	case string:
		return NormalizeName(v)
	default: // json.Number and bool are printed as they were written
		return fmt.Sprint(v)
	}
}

// pairs holds the settings by path, and the first error found in them.
type pairs struct {
	values map[string]string
	err    error
}

// deployment converts the settings. Unknown keys are ignored. A required key that is missing, or a malformed value,
// is an error that names the key.
func (p *pairs) deployment() (*Deployment, error) {
	s := &decide.Settings{
		Routers: int(p.atLeast("instances", 1)), Index: int(p.atLeast("index", 0)),
		Zone: int(p.optional("zone", 0)), OverQuotaValue: p.optional("overShareWorth", 1),
		Probing: p.flag("permissions.probing"), MayCancel: p.flag("permissions.mayCancel"),
		MayReserve: p.flag("familyInfo.mayReserve"), Resume: p.flag("familyInfo.resume"),
		WritersRead: p.flag("familyInfo.localRead"), PullMembership: p.values["membershipMode"] == "ask",
		MaxAttempts: int(p.atLeast("permissions.maxAttempts", 1)),
		DialTimeout: decide.Duration(p.atLeast("permissions.dialTimeoutNs", 1)),
		AnswerGrace: p.time("obligations.graceToAnswerNs"), DrainGrace: p.time("obligations.drainGraceNs"),
		AskWithin:        decide.Duration(p.optional("obligations.askWithinNs", 0)),
		HoldTimeout:      p.time("familyInfo.letGoByNs"),
		OverloadMultiple: p.atLeast("obligations.fallMultiple", 0),
		OverloadWindow:   p.time("obligations.overloadForNs"),
		InitialCapacity:  p.atLeast("obligations.startCapacity", 0), SlowStartTime: p.time("obligations.coldNs"),
		ProbeCost: p.optional("fees.probe", 0), WasteCost: p.optional("fees.waste", 0),
		LateFailureCost: p.optional("fees.lateFail", 0), CrossZoneCost: p.optional("fees.crossZone", 0),
		CrossCellCost: p.optional("familyInfo.crossCellPrice", 0),
	}
	d := &Deployment{Decide: s, RetryAfter: p.flag("permissions.retryAfter"),
		ConnIdleTimeout: decide.Duration(p.optional("permissions.connIdleNs", 0)),
		ReportFields:    p.list("feedback.names"), Zones: p.list("dcs"), Kinds: p.list("hostTypes")}
	if d.RetryAfter {
		s.MaxRetryAfter = p.time("permissions.maxRetryAfterNs")
	}
	p.classes(d)
	p.kinds(d)
	for i := range int(p.optional("projects.count", 0)) {
		s.Tenants = append(s.Tenants, decide.Tenant{
			RequestsPerSecond: p.optional(fmt.Sprintf("projects.%d.allowancePerS", i), 0),
		})
		d.Tenants = append(d.Tenants, p.values[fmt.Sprintf("projects.%d.name", i)])
	}
	if p.err != nil {
		return nil, fmt.Errorf("settings: %w", p.err)
	}
	return d, nil
}

// classes converts the classes of requests.
func (p *pairs) classes(d *Deployment) {
	s := d.Decide
	n := int(p.atLeast("requestClasses.count", 1))
	perK, token := p.numbers("familyInfo.aimUsPer1000PromptTokens"), p.numbers("familyInfo.tokenAimNs")
	for i := 0; i < n && p.err == nil; i++ {
		at := func(key string) string { return fmt.Sprintf("requestClasses.%d.%s", i, key) }
		c := decide.Class{
			FirstTokenTarget: p.time(at("aimNs")), Deadline: p.time(at("deadlineNs")),
			Value: p.optional(at("value"), 1), LateValue: p.optional(at("lateWorth"), 0),
			DedupWindow: decide.Duration(p.optional(at("windowNs"), 0)),
		}
		if i < len(perK) {
			c.FirstTokenTargetPerK = decide.Duration(perK[i] * 1000)
		}
		if i < len(token) {
			c.TokenIntervalTarget = decide.Duration(token[i])
		}
		switch v := p.values[at("repeat")]; v {
		case "safe":
		case "keyed":
			c.RetryPolicy = decide.Keyed
		case "unsafe":
			c.RetryPolicy = decide.Unsafe
		default:
			p.fail(at("repeat"), v)
		}
		switch v := p.values[at("keyScope")]; v {
		case "all":
		case "zone":
			c.DedupScope = decide.ScopeZone
		case "cell":
			c.DedupScope = decide.ScopeCell
		default:
			if c.RetryPolicy == decide.Keyed {
				p.fail(at("keyScope"), v)
			}
		}
		s.Classes = append(s.Classes, c)
		d.Classes = append(d.Classes, p.values[at("name")])
	}
}

// kinds converts the kinds of servers.
func (p *pairs) kinds(d *Deployment) {
	s := d.Decide
	memory := p.numbers("familyInfo.tokensByKind")
	roles := p.list("familyInfo.kindRole")
	if len(roles) == 0 {
		p.fail("familyInfo.kindRole", "")
	}
	for i, role := range roles {
		var k decide.Kind
		switch role {
		case "read":
			k.Role = decide.Reader
		case "write":
			k.Role = decide.Writer
		case "both":
			k.Role = decide.Both
		default:
			p.fail("familyInfo.kindRole", role)
		}
		if i < len(memory) {
			k.Memory = memory[i]
		}
		s.Kinds = append(s.Kinds, k)
	}
	if len(d.Kinds) > 0 && len(roles) != len(d.Kinds) && p.err == nil {
		p.err = fmt.Errorf("familyInfo.kindRole has %d roles, hostTypes %d kinds", len(roles), len(d.Kinds))
	}
}

// fail notes that the value of a path is missing or malformed, unless an error was noted before.
func (p *pairs) fail(path, value string) {
	if p.err != nil {
		return
	}
	if _, ok := p.values[path]; !ok {
		p.err = fmt.Errorf("%s is missing", path)
		return
	}
	p.err = fmt.Errorf("%s has the malformed value %q", path, value)
}

// optional returns a number, or def if the key is missing.
func (p *pairs) optional(path string, def float64) float64 {
	v, ok := p.values[path]
	if !ok {
		return def
	}
	return p.number(path, v)
}

// number parses v, which is a path's value or part of it.
func (p *pairs) number(path, v string) float64 {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		p.fail(path, p.values[path])
		return 0
	}
	return f
}

// atLeast returns a required number, which must not be less than low.
func (p *pairs) atLeast(path string, low float64) float64 {
	f := p.optional(path, math.Inf(-1))
	if f < low {
		p.fail(path, p.values[path])
	}
	return f
}

func (p *pairs) time(path string) decide.Duration { return decide.Duration(p.atLeast(path, 0)) }

func (p *pairs) flag(path string) bool {
	v, ok := p.values[path]
	if ok && v != "true" && v != "false" {
		p.fail(path, v)
	}
	return v == "true"
}

func (p *pairs) list(path string) []string {
	if p.values[path] == "" {
		return nil
	}
	return strings.Split(p.values[path], ",")
}

func (p *pairs) numbers(path string) []float64 {
	var out []float64
	for _, v := range p.list(path) {
		out = append(out, p.number(path, v))
	}
	return out
}

// ParseReport returns the load report with the given values. A value that is missing or out of range counts as not
// reported.
func ParseReport(value func(name string) (float64, bool)) decide.Report {
	get := func(names ...string) float64 {
		for _, name := range names {
			if f, ok := value(name); ok && f >= 0 && f < 1e12 { // not NaN
				return f
			}
		}
		return -1
	}
	return decide.Report{MemoryUse: get("x0"), QueuedKTokens: get("x1"), Latency: get("lat_ms", "latency_ms")}
}
