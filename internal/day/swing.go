package day

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"mintdoor/internal/config"
	"mintdoor/internal/engine"
	"mintdoor/internal/standin/fleet"
	"mintdoor/internal/trace"
	"mintdoor/roles"
)

// UseTrace replaces the drawn traffic by a recorded trace. The classes of the trace are matched with the script's by
// name.
func (s *Script) UseTrace(t *trace.Trace) error {
	for _, name := range t.Classes {
		if !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == name }) {
			return fmt.Errorf("the trace has a class %q, which the script has not", name)
		}
	}
	s.Trace, s.Length = t, t.Length()+time.Second
	return nil
}

// recordedRequests returns the requests of the trace, at the speed of a scaled script.
func (s *Script) recordedRequests() []request {
	class := make([]int, len(s.Trace.Classes))
	for i, name := range s.Trace.Classes {
		class[i] = slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
	}
	const defaultOutputTokens = 100 // output tokens assumed for an answer of unknown length
	out := make([]request, 0, len(s.Trace.Entries))
	for i := range s.Trace.Entries {
		e := &s.Trace.Entries[i]
		c := &s.Classes[class[e.Class]]
		a := request{at: time.Duration(float64(e.At) / s.Speed), id: fmt.Sprintf("q%d", i+1), class: class[e.Class], session: fmt.Sprintf("s%d", i+1),
			prefixID: e.PrefixID, promptTokens: min(max(e.PromptTokens, 1), s.Prefill.Spec.MaxContextTokens-c.MaxOutputTokens-1), prefixTokens: e.PrefixTokens, outputTokens: e.OutputTokens, patience: 1}
		if a.outputTokens == 0 {
			a.outputTokens = defaultOutputTokens
		}
		a.outputTokens = min(a.outputTokens, c.MaxOutputTokens)
		a.prefixTokens = min(a.prefixTokens, a.promptTokens)
		a.lengthHint = a.outputTokens
		out = append(out, a)
	}
	return out
}

// requests returns the requests of a scaled script, drawn or recorded.
func (s *Script) requests() []request {
	if s.Trace != nil {
		return s.recordedRequests()
	}
	return s.draw()
}

// groups returns the engines of a scaled script.
func (s *Script) groups() []fleet.Group {
	read, write := s.Prefill.Spec, s.Decode.Spec
	out := []fleet.Group{{Prefix: s.Prefill.Prefix, Kind: "prefill", Count: s.Prefill.Count, Spec: read},
		{Prefix: s.Decode.Prefix, Kind: "decode", Count: s.Decode.Count, Spec: write}}
	if s.RoleChangeTime > 0 {
		out[0].OtherRole, out[1].OtherRole = &write, &read
		out[0].RoleChangeTime, out[1].RoleChangeTime = s.RoleChangeTime, s.RoleChangeTime
	}
	return out
}

// shiftSettings returns the routers' settings for role changes, for a scaled script: the default times, divided by
// the script's speed.
func (s *Script) shiftSettings() string {
	if s.RoleChangeTime <= 0 {
		return ""
	}
	mode := s.ShiftMode
	if mode == "" {
		mode = "off"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "shift %s\n", mode)
	h := s.shift()
	for _, d := range []struct {
		name string
		at   time.Duration
	}{{"shift-every", h.PlanInterval}, {"shift-look", h.CheckInterval}, {"shift-slot", h.SlotLength}, {"shift-horizon", h.Horizon}, {"shift-away", h.ChangeCost},
		{"shift-empty", h.EmptyTimeout}, {"shift-change", h.ChangeTimeout}, {"shift-rest", h.FailureBackoff}} {
		fmt.Fprintf(&b, "%s %v\n", d.name, d.at.Round(time.Millisecond))
	}
	return b.String()
}

// shift returns the default settings of role changes, at the speed of a scaled script.
func (s *Script) shift() config.RoleChanges {
	h := config.Defaults().RoleChanges
	for _, d := range []*time.Duration{&h.PlanInterval, &h.CheckInterval, &h.SlotLength, &h.Horizon, &h.ChangeCost, &h.EmptyTimeout, &h.ChangeTimeout, &h.FailureBackoff} {
		*d = time.Duration(float64(*d) / s.Speed)
	}
	return h
}

// split asks engines to change roles until the given number of them are readers, as an operator who knows the traffic
// could do. It takes engines in order, except for the last one of a role in a cell.
func (p *player) split(ctx context.Context, readers int) {
	c := engine.New(engine.Options{DialTimeout: time.Second, MaxConns: 4, ProbeTimeout: time.Second})
	defer c.Close()
	type engineRole struct {
		member *fleet.Member
		role   engine.Role
	}
	var all []engineRole
	now := 0
	remaining := map[string]int{} // by cell and role
	for _, m := range p.fleet.Members() {
		r, err := c.Role(ctx, m.Engine.Addr())
		if err != nil {
			continue
		}
		if r.Phase != engine.PhaseSteady {
			r.Role = r.To
		}
		if r.Role == engine.StagePrefill {
			now++
		}
		remaining[m.Cell+" "+r.Role]++
		all = append(all, engineRole{m, r})
	}
	from, to, n := engine.StagePrefill, engine.StageDecode, now-readers
	if n < 0 {
		from, to, n = to, from, -n
	}
	// The same notice period as the routers use.
	timeouts := roles.Timeouts{CheckInterval: p.script.shift().CheckInterval, ReplyTimeout: config.Defaults().ProbeTimeout}
	for _, e := range all {
		key := e.member.Cell + " " + from
		if n == 0 || e.role.Role != from || e.role.Phase != engine.PhaseSteady || remaining[key] < 2 {
			continue
		}
		_, granted, err := c.ChangeRole(ctx, e.member.Engine.Addr(), &engine.RoleChange{To: to, Epoch: e.role.Epoch, Router: "split",
			NoticeMillis: float64(timeouts.NoticePeriod()) / 1e6})
		if err == nil && granted {
			remaining[key]--
			n--
		}
	}
	if n > 0 {
		p.options.Log.Warn("split", "readers", readers, "not changed", n)
	}
}
