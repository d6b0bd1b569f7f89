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

// UseTrace puts a recorded trace in the place of the drawn traffic. Its classes are those of the script by name.
func (s *Script) UseTrace(t *trace.Trace) error {
	for _, name := range t.Classes {
		if !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == name }) {
			return fmt.Errorf("the trace has a class %q, which the script has not", name)
		}
	}
	s.Trace, s.Length = t, t.Length()+time.Second
	return nil
}

// recorded are the requests of the trace, at the speed of a scaled script.
func (s *Script) recorded() []ask {
	class := make([]int, len(s.Trace.Classes))
	for i, name := range s.Trace.Classes {
		class[i] = slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
	}
	const unknown = 100 // tokens of an answer that nobody saw
	out := make([]ask, 0, len(s.Trace.Entries))
	for i := range s.Trace.Entries {
		e := &s.Trace.Entries[i]
		c := &s.Classes[class[e.Class]]
		a := ask{at: time.Duration(float64(e.At) / s.Speed), name: fmt.Sprintf("q%d", i+1), class: class[e.Class], session: fmt.Sprintf("s%d", i+1),
			text: e.PrefixID, prompt: min(max(e.PromptTokens, 1), s.Prefill.Spec.MaxContextTokens-c.MaxOutputTokens-1), shared: e.PrefixTokens, answer: e.OutputTokens, patience: 1}
		if a.answer == 0 {
			a.answer = unknown
		}
		a.answer = min(a.answer, c.MaxOutputTokens)
		a.shared = min(a.shared, a.prompt)
		a.hint = a.answer
		out = append(out, a)
	}
	return out
}

// requests are those of a scaled script's day, drawn or recorded.
func (s *Script) requests() []ask {
	if s.Trace != nil {
		return s.recorded()
	}
	return s.draw()
}

// groups are the engines of a scaled script.
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

// shiftSettings are the routers' settings for engines that change roles, of a scaled script. Times are those of
// the defaults, at the script's speed.
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

// shift are the defaults of shifting roles, at the speed of a scaled script.
func (s *Script) shift() config.RoleChanges {
	h := config.Defaults().RoleChanges
	for _, d := range []*time.Duration{&h.PlanInterval, &h.CheckInterval, &h.SlotLength, &h.Horizon, &h.ChangeCost, &h.EmptyTimeout, &h.ChangeTimeout, &h.FailureBackoff} {
		*d = time.Duration(float64(*d) / s.Speed)
	}
	return h
}

// split asks engines for a split, as somebody would who knows the traffic: those that can go without leaving
// the last of their role in a cell, in order.
func (p *player) split(ctx context.Context, readers int) {
	c := engine.New(engine.Options{DialTimeout: time.Second, MaxConns: 4, ProbeTimeout: time.Second})
	defer c.Close()
	type one struct {
		m    *fleet.Member
		role engine.Role
	}
	var all []one
	now := 0
	left := map[string]int{} // by cell and role
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
		left[m.Cell+" "+r.Role]++
		all = append(all, one{m, r})
	}
	from, to, n := engine.StagePrefill, engine.StageDecode, now-readers
	if n < 0 {
		from, to, n = to, from, -n
	}
	limits := roles.Timeouts{CheckInterval: p.s.shift().CheckInterval, ReplyTimeout: config.Defaults().ProbeTimeout} // as the routers announce a change
	for _, e := range all {
		key := e.m.Cell + " " + from
		if n == 0 || e.role.Role != from || e.role.Phase != engine.PhaseSteady || left[key] < 2 {
			continue
		}
		_, granted, err := c.ChangeRole(ctx, e.m.Engine.Addr(), &engine.RoleChange{To: to, Epoch: e.role.Epoch, Router: "split",
			NoticeMillis: float64(limits.NoticePeriod()) / 1e6})
		if err == nil && granted {
			left[key]--
			n--
		}
	}
	if n > 0 {
		p.o.Log.Warn("split", "readers", readers, "not changed", n)
	}
}
