package day

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	standin "mintdoor/internal/standin/engine"
)

// lbsimDay is the part of a scenario drawn by the external simulator (lbsim) that can be converted. Its times are in
// microseconds.
type lbsimDay struct {
	Version          int     `json:"v"`
	Family           string  `json:"family"`
	Site             string  `json:"site"`
	Length           float64 `json:"length"`
	Zones            []any   `json:"zones"`
	FrontNotice      float64 `json:"front_notice"`
	DrainGrace       float64 `json:"drain_grace"`
	OverloadMultiple float64 `json:"fall_multiple"`
	OverloadWindow   float64 `json:"fall_for"`
	Traffic          struct {
		Load float64 `json:"load"`
	} `json:"traffic"`
	Clients struct {
		Retries       int     `json:"retries"`
		TryShare      float64 `json:"try_share"`
		Backoff       string  `json:"backoff"`
		BackoffTime   float64 `json:"backoff_us"`
		HonourShare   float64 `json:"honour"`
		MaxRetryAfter float64 `json:"max_retry_after"`
	} `json:"clients"`
	Discovery struct {
		CrashListDelay        float64 `json:"notice"`
		UnresponsiveListDelay float64 `json:"silent_notice"`
		StartListDelay        float64 `json:"add"`
	} `json:"discovery"`
	Classes []struct {
		Name             string  `json:"name"`
		Share            float64 `json:"share"`
		FirstTokenTarget float64 `json:"aim"`
		Deadline         float64 `json:"deadline"`
		Value            float64 `json:"worth"`
		RetryPolicy      string  `json:"effect"`
	} `json:"classes"`
	Tenants []any `json:"tenants"`
	Tiers   []struct {
		InitialCapacity float64 `json:"stated_cold_from"`
		SlowStartTime   float64 `json:"stated_cold"`
		ReportPeriod    float64 `json:"report_period"`
		ReportDelay     float64 `json:"report_delay"`
	} `json:"tiers"`
	Servers []struct {
		Kind int `json:"kind"`
		Cell int `json:"cell"`
	} `json:"servers"`
	Balancers []any `json:"balancers"`
	Faults    []struct {
		Kind     string  `json:"kind"`
		At       float64 `json:"at"`
		Duration float64 `json:"len"`
		Size     float64 `json:"size"`
		Extra    float64 `json:"extra"`
		Targets  []int   `json:"on"`
		Which    int     `json:"which"`
		How      string  `json:"how"`
		Steps    []struct {
			At    float64 `json:"at"`
			Stop  []int   `json:"stop"`
			Start []int   `json:"start"`
		} `json:"steps"`
	} `json:"troubles"`
	Details struct {
		Engines []struct {
			Slots               int     `json:"slots"`
			Queue               int     `json:"queue"`
			Memory              float64 `json:"memory"`
			Block               int     `json:"block"`
			Chunk               int     `json:"chunk"`
			ReadTokensPerSecond float64 `json:"read_per_s"`
			StepMs              float64 `json:"step_ms"`
			PerSequenceMs       float64 `json:"per_seq_ms"`
		} `json:"engines"`
		Roles               []string `json:"roles"`
		PortTokensPerSecond float64  `json:"near"`
		LinkTokensPerSecond float64  `json:"far"`
		HoldTimeout         float64  `json:"release"`
		Resume              bool     `json:"resume"`
		Sessions            []struct {
			FirstTokenTargetPerK float64 `json:"aim_ms_per_k"`
			MaxOutputTokens      int     `json:"max_out"`
			NewTokens            float64 `json:"new_tokens"`
			NewTokensSigma       float64 `json:"new_sigma"`
			OutputTokens         float64 `json:"out_tokens"`
			OutputTokensSigma    float64 `json:"out_sigma"`
			Prefixes             int     `json:"prefixes"`
			PrefixTokens         float64 `json:"prefix_tokens"`
			PrefixShare          float64 `json:"prefix_share"`
			ThinkSeconds         float64 `json:"think_s"`
			Turns                float64 `json:"turns"`
			TokenIntervalMs      float64 `json:"token_ms"`
		} `json:"talks"`
	} `json:"fam"`
}

// MaxSize bounds the size of a converted scenario to what the machine can run.
type MaxSize struct{ Engines, Routers int }

// FromLbsim converts a scenario drawn by lbsim to a script of at most the given size. The script's Notes list what
// could not be converted.
func FromLbsim(path string, size MaxSize) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var d lbsimDay
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if d.Family != "twostage" || len(d.Details.Engines) < 2 || len(d.Classes) == 0 || len(d.Servers) == 0 || len(d.Tiers) == 0 ||
		len(d.Details.Sessions) < len(d.Classes) {
		return nil, fmt.Errorf("%s: found a scenario of family %q, expected one with readers and writers as lbsim draws it", path, d.Family)
	}
	us := func(f float64) time.Duration { return time.Duration(f * 1000).Round(time.Millisecond) }
	s := DefaultScript()
	s.File, s.Length, s.Load = path, us(d.Length), d.Traffic.Load
	s.FrontNotice, s.DrainGrace, s.OverloadMultiple, s.OverloadWindow = us(d.FrontNotice), us(d.DrainGrace), d.OverloadMultiple, us(d.OverloadWindow)
	s.CrashListDelay, s.UnresponsiveListDelay, s.StartListDelay = us(d.Discovery.CrashListDelay), us(d.Discovery.UnresponsiveListDelay), us(d.Discovery.StartListDelay)
	s.HoldTimeout, s.Resume, s.LinkTokensPerSecond = us(d.Details.HoldTimeout), d.Details.Resume, d.Details.LinkTokensPerSecond
	s.InitialCapacity, s.SlowStartTime = d.Tiers[0].InitialCapacity, us(d.Tiers[0].SlowStartTime)
	s.MaxRetryAfter = us(d.Clients.MaxRetryAfter)
	s.Clients = Clients{Retries: d.Clients.Retries, Backoff: us(d.Clients.BackoffTime), HonourShare: d.Clients.HonourShare, Patience: d.Clients.TryShare}
	if d.Clients.Backoff == "none" {
		s.Clients.Backoff = 0
	}
	s.Routers = max(min(len(d.Balancers), size.Routers), 1)
	cells := map[int]bool{}
	counts := [2]int{}
	for _, v := range d.Servers {
		cells[v.Cell] = true
		counts[min(v.Kind, 1)]++
	}
	scale := min(float64(size.Engines)/float64(len(d.Servers)), 1)
	s.Prefill.Count = max(int(float64(counts[0])*scale+0.5), 1)
	s.Decode.Count = max(int(float64(counts[1])*scale+0.5), 1)
	s.Cells = max(min(len(cells), s.Prefill.Count), 1)
	for i, g := range []*Group{&s.Prefill, &s.Decode} {
		e := d.Details.Engines[i]
		sp := &g.Spec
		sp.MaxRunning, sp.MaxQueued, sp.MemoryTokens, sp.BlockTokens, sp.ChunkTokens = e.Slots, e.Queue, int(e.Memory), max(e.Block, 1), e.Chunk
		sp.ReadTokensPerSecond, sp.StepTime, sp.StepTimePerWriter = e.ReadTokensPerSecond, us(e.StepMs*1000), time.Duration(e.PerSequenceMs*1e6)
		sp.PortTokensPerSecond = d.Details.PortTokensPerSecond
		sp.ReportInterval, sp.ReportDelay = us(d.Tiers[0].ReportPeriod), us(d.Tiers[0].ReportDelay)
	}
	for i, c := range d.Classes {
		t := d.Details.Sessions[i]
		k := defaultClass(c.Name)
		k.Share, k.Value, k.FirstTokenTarget, k.Deadline, k.RetryPolicy = c.Share, c.Value, us(c.FirstTokenTarget), us(c.Deadline), c.RetryPolicy
		k.FirstTokenTargetPerK, k.TokenIntervalTarget, k.MaxOutputTokens = us(t.FirstTokenTargetPerK*1000), us(t.TokenIntervalMs*1000), t.MaxOutputTokens
		k.NewTokens, k.NewTokensSigma, k.OutputTokens, k.OutputTokensSigma = t.NewTokens, t.NewTokensSigma, t.OutputTokens, t.OutputTokensSigma
		k.Prefixes, k.PrefixTokens, k.PrefixShare = max(int(float64(t.Prefixes)*scale), 1), t.PrefixTokens, t.PrefixShare
		k.Turns, k.ThinkTime = t.Turns, us(t.ThinkSeconds*1e6)
		s.Classes = append(s.Classes, k)
	}
	s.note("%d engines of %d, %d routers of %d; the load stays the same part of what the engines can do", s.Prefill.Count+s.Decode.Count,
		len(d.Servers), s.Routers, len(d.Balancers))
	s.note("noise of the network and of load reports, single engines' speeds, the shape of the traffic: steady arrivals at random instead")
	if len(d.Zones) > 1 {
		s.note("%d halls are one, so no delay between halls", len(d.Zones))
	}
	if len(d.Tenants) > 0 {
		s.note("%d tenants and their shares", len(d.Tenants))
	}
	s.convertFaults(&d, counts)
	return &s, nil
}

func (s *Script) note(format string, args ...any) {
	s.Notes = append(s.Notes, fmt.Sprintf(format, args...))
}

// convertFaults converts the simulator's faults to events on engines of the same kind and at about the same position
// among them.
func (s *Script) convertFaults(d *lbsimDay, counts [2]int) {
	engineNames := make([]string, len(d.Servers)) // engine that stands for each of the simulator's servers
	position := [2]int{}
	for i, v := range d.Servers {
		k := min(v.Kind, 1)
		g := []Group{s.Prefill, s.Decode}[k]
		engineNames[i] = fmt.Sprintf("%s%d", g.Prefix, position[k]*g.Count/max(counts[k], 1)+1)
		position[k]++
	}
	targets := func(list []int) (names []string) {
		for _, i := range list {
			if i < len(engineNames) && !slices.Contains(names, engineNames[i]) {
				names = append(names, engineNames[i])
			}
		}
		// Affect the same share of the engines as the simulator does, since several of its servers may map to one
		// engine.
		if want := max((len(list)*(s.Prefill.Count+s.Decode.Count)+len(engineNames)/2)/max(len(engineNames), 1), 1); len(names) > want {
			names = names[:want]
		}
		return names
	}
	us := func(f float64) time.Duration { return time.Duration(f * 1000).Round(time.Millisecond) }
	for _, t := range d.Faults {
		e := Event{At: us(t.At), Kind: t.Kind, Duration: us(t.Duration), Size: t.Size, Extra: t.Extra, Targets: targets(t.Targets), How: t.How}
		switch t.Kind {
		case "throttle", "class_fail", "heavy_tail":
			if t.How == "tenant" {
				s.note("%s of one tenant is one of a class", t.Kind)
			}
			if t.Kind == "throttle" {
				e.Size, e.How = 1-t.Size, "" // the simulator gives the share that is admitted
			}
			e.Class = d.Classes[min(t.Which, len(d.Classes)-1)].Name
		case "pauses":
			// Size is the length of a pause in ms and Extra the seconds between pauses; the script has the paused
			// fraction of the time.
			e.Size = min(t.Size/1000/max(t.Extra, 1e-3), 0.9)
		case "handshake_slow":
			e.Size = t.Size / 1000
			s.note("handshake_slow: failing connects; new connections only wait")
		case "preempt":
			for _, st := range t.Steps {
				s.Events = append(s.Events, Event{At: us(st.At), Kind: "preempt", Duration: us(t.Extra * 1e6), Size: t.Size, Targets: targets(st.Stop)})
			}
			s.note("preempt: the machines that come back keep their names and addresses")
			continue
		case "balancer_roll":
			for i, st := range t.Steps {
				if i >= s.Routers {
					break
				}
				s.Events = append(s.Events, Event{At: us(st.At), Kind: "balancer_roll", Duration: us(max(t.Extra, 0.2) * 1e6), Targets: []string{routerName(i)}})
			}
			s.note("balancer_roll: one router at each step, up to all %d", s.Routers)
			continue
		case "slow", "fast_errors", "crash", "vanish", "report_late", "origin_slow", "ageing", "burst", "give_up":
		default:
			if standin.FaultKinds[t.Kind] == "" && otherKinds[t.Kind] == "" {
				s.note("%s, which the stand-ins can't play", t.Kind)
				continue
			}
		}
		if t.Kind == "origin_slow" {
			e.Targets = nil
		}
		s.Events = append(s.Events, e)
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At - b.At) })
}
