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
	Version    int     `json:"v"`
	Family     string  `json:"family"`
	Site       string  `json:"site"`
	Length     float64 `json:"length"`
	Zones      []any   `json:"zones"`
	Notice     float64 `json:"front_notice"`
	DrainGrace float64 `json:"drain_grace"`
	FallTimes  float64 `json:"fall_multiple"`
	FallFor    float64 `json:"fall_for"`
	Traffic    struct {
		Load float64 `json:"load"`
	} `json:"traffic"`
	Clients struct {
		Retries  int     `json:"retries"`
		TryShare float64 `json:"try_share"`
		Backoff  string  `json:"backoff"`
		Wait     float64 `json:"backoff_us"`
		Honour   float64 `json:"honour"`
		MaxRetry float64 `json:"max_retry_after"`
	} `json:"clients"`
	Discovery struct {
		Notice float64 `json:"notice"`
		Silent float64 `json:"silent_notice"`
		Add    float64 `json:"add"`
	} `json:"discovery"`
	Classes []struct {
		Name     string  `json:"name"`
		Share    float64 `json:"share"`
		Aim      float64 `json:"aim"`
		Deadline float64 `json:"deadline"`
		Worth    float64 `json:"worth"`
		Effect   string  `json:"effect"`
	} `json:"classes"`
	Tenants []any `json:"tenants"`
	Tiers   []struct {
		StartCapacity float64 `json:"stated_cold_from"`
		ColdFor       float64 `json:"stated_cold"`
		ReportPeriod  float64 `json:"report_period"`
		ReportDelay   float64 `json:"report_delay"`
	} `json:"tiers"`
	Servers []struct {
		Kind int `json:"kind"`
		Cell int `json:"cell"`
	} `json:"servers"`
	Balancers []any `json:"balancers"`
	Troubles  []struct {
		Kind  string  `json:"kind"`
		At    float64 `json:"at"`
		For   float64 `json:"len"`
		Size  float64 `json:"size"`
		Extra float64 `json:"extra"`
		On    []int   `json:"on"`
		Which int     `json:"which"`
		How   string  `json:"how"`
		Steps []struct {
			At    float64 `json:"at"`
			Stop  []int   `json:"stop"`
			Start []int   `json:"start"`
		} `json:"steps"`
	} `json:"troubles"`
	Fam struct {
		Engines []struct {
			Slots    int     `json:"slots"`
			Queue    int     `json:"queue"`
			Memory   float64 `json:"memory"`
			Block    int     `json:"block"`
			Chunk    int     `json:"chunk"`
			ReadPerS float64 `json:"read_per_s"`
			Step     float64 `json:"step_ms"`
			PerSeq   float64 `json:"per_seq_ms"`
		} `json:"engines"`
		Roles   []string `json:"roles"`
		Near    float64  `json:"near"`
		Far     float64  `json:"far"`
		Release float64  `json:"release"`
		Resume  bool     `json:"resume"`
		Talks   []struct {
			AimPerK   float64 `json:"aim_ms_per_k"`
			MaxOut    int     `json:"max_out"`
			New       float64 `json:"new_tokens"`
			NewSigma  float64 `json:"new_sigma"`
			Out       float64 `json:"out_tokens"`
			OutSigma  float64 `json:"out_sigma"`
			Texts     int     `json:"prefixes"`
			TextToks  float64 `json:"prefix_tokens"`
			TextShare float64 `json:"prefix_share"`
			Think     float64 `json:"think_s"`
			Turns     float64 `json:"turns"`
			TokenMS   float64 `json:"token_ms"`
		} `json:"talks"`
	} `json:"fam"`
}

// MaxSize is the largest scenario that the machine can run.
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
	if d.Family != "twostage" || len(d.Fam.Engines) < 2 || len(d.Classes) == 0 || len(d.Servers) == 0 || len(d.Tiers) == 0 ||
		len(d.Fam.Talks) < len(d.Classes) {
		return nil, fmt.Errorf("%s: found a scenario of family %q, expected one with readers and writers as lbsim draws it", path, d.Family)
	}
	us := func(f float64) time.Duration { return time.Duration(f * 1000).Round(time.Millisecond) }
	s := DefaultScript()
	s.File, s.Length, s.Load = path, us(d.Length), d.Traffic.Load
	s.FrontNotice, s.DrainGrace, s.OverloadMultiple, s.OverloadWindow = us(d.Notice), us(d.DrainGrace), d.FallTimes, us(d.FallFor)
	s.CrashListDelay, s.UnresponsiveListDelay, s.StartListDelay = us(d.Discovery.Notice), us(d.Discovery.Silent), us(d.Discovery.Add)
	s.HoldTimeout, s.Resume, s.LinkTokensPerSecond = us(d.Fam.Release), d.Fam.Resume, d.Fam.Far
	s.InitialCapacity, s.SlowStartTime = d.Tiers[0].StartCapacity, us(d.Tiers[0].ColdFor)
	s.MaxRetryAfter = us(d.Clients.MaxRetry)
	s.Clients = Clients{Retries: d.Clients.Retries, Backoff: us(d.Clients.Wait), HonourShare: d.Clients.Honour, Patience: d.Clients.TryShare}
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
		e := d.Fam.Engines[i]
		sp := &g.Spec
		sp.MaxRunning, sp.MaxQueued, sp.MemoryTokens, sp.BlockTokens, sp.ChunkTokens = e.Slots, e.Queue, int(e.Memory), max(e.Block, 1), e.Chunk
		sp.ReadTokensPerSecond, sp.StepTime, sp.StepTimePerWriter = e.ReadPerS, us(e.Step*1000), time.Duration(e.PerSeq*1e6)
		sp.PortTokensPerSecond = d.Fam.Near
		sp.ReportInterval, sp.ReportDelay = us(d.Tiers[0].ReportPeriod), us(d.Tiers[0].ReportDelay)
	}
	for i, c := range d.Classes {
		t := d.Fam.Talks[i]
		k := defaultClass(c.Name)
		k.Share, k.Value, k.FirstTokenTarget, k.Deadline, k.RetryPolicy = c.Share, c.Worth, us(c.Aim), us(c.Deadline), c.Effect
		k.FirstTokenTargetPerK, k.TokenIntervalTarget, k.MaxOutputTokens = us(t.AimPerK*1000), us(t.TokenMS*1000), t.MaxOut
		k.NewTokens, k.NewTokensSigma, k.OutputTokens, k.OutputTokensSigma = t.New, t.NewSigma, t.Out, t.OutSigma
		k.Prefixes, k.PrefixTokens, k.PrefixShare = max(int(float64(t.Texts)*scale), 1), t.TextToks, t.TextShare
		k.Turns, k.ThinkTime = t.Turns, us(t.Think*1e6)
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
	seen := [2]int{}
	for i, v := range d.Servers {
		k := min(v.Kind, 1)
		g := []Group{s.Prefill, s.Decode}[k]
		engineNames[i] = fmt.Sprintf("%s%d", g.Prefix, seen[k]*g.Count/max(counts[k], 1)+1)
		seen[k]++
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
	for _, t := range d.Troubles {
		e := Event{At: us(t.At), Kind: t.Kind, Duration: us(t.For), Size: t.Size, Extra: t.Extra, Targets: targets(t.On), How: t.How}
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
			// A pause of so many ms every Extra seconds, as a fraction of the time.
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
