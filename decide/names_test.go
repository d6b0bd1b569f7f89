package decide

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// numbering maps the numbers by which the settings and the server list refer to things to other numbers.
type numbering struct{ class, kind, zone, cell, tenant func(int) int }

func identity(n int) int { return n }

// permutation returns a function that maps n to perm[n].
func permutation(perm ...int) func(int) int { return func(n int) int { return perm[n] } }

// numberedDeployment returns a deployment with two classes, three kinds, two zones, four cells and two tenants, under
// the given numbers.
func numberedDeployment(by numbering, routers int) (*Settings, []Listing) {
	set := testSettings()
	set.Routers, set.Probing, set.ProbeCost = routers, true, 0.002
	classes := []Class{set.Classes[safeClass], set.Classes[unsafeClass]}
	classes[1].Value, classes[1].FirstTokenTarget = 3, 2*Second
	kinds := []Kind{{Role: Reader, Memory: 200e3}, {Role: Writer, Memory: 150e3}, {Role: Both, Memory: 100e3}}
	tenants := []Tenant{{RequestsPerSecond: 40}, {RequestsPerSecond: 8}}
	set.Classes, set.Kinds, set.Tenants = make([]Class, 2), make([]Kind, 3), make([]Tenant, 2)
	for i := range classes {
		set.Classes[by.class(i)] = classes[i]
	}
	for i := range kinds {
		set.Kinds[by.kind(i)] = kinds[i]
	}
	for i := range tenants {
		set.Tenants[by.tenant(i)] = tenants[i]
	}
	set.Zone = by.zone(0)
	var list []Listing
	for id := range 24 {
		list = append(list, Listing{Server: ServerID(id + 1), Kind: by.kind(id % 3), Zone: by.zone(id % 4 / 2),
			Cell: by.cell(id % 4), Condition: Ready})
	}
	return set, list
}

// runScenario runs random traffic through a router and returns all its actions. What the servers respond depends only
// on the order of the actions.
func runScenario(by numbering, routers int) []Action {
	set, list := numberedDeployment(by, routers)
	rng := rand.New(rand.NewPCG(3, uint64(routers)))
	now := 1000 * Second
	r := New(set, 11, now)
	var all []Action
	type event struct {
		at Time
		ev Event
	}
	var due []event
	do := func(ev Event) {
		ev.Report.Latency = -1
		if ev.Kind != Probed {
			ev.Report.MemoryUse, ev.Report.QueuedKTokens = -1, -1
		}
		acts := r.Handle(now, &ev, nil)
		for _, a := range acts {
			after := Duration(rng.IntN(200)) * ms
			switch a.Kind {
			case Send:
				kind := r.servers[a.Server].role
				out := Event{Kind: AttemptEnded, Request: a.Request, Server: a.Server, Attempt: r.requests[a.Request].attempts - 1,
					Elapsed: after}
				switch n := rng.IntN(10); {
				case n == 0:
					out.Outcome = []Outcome{Error, Full, TimedOut, ConnectFailed, Reset}[rng.IntN(5)]
				case kind == Reader:
					out.Outcome = ReadDone
				default:
					due = append(due, event{now + after/2, Event{Kind: FirstToken, Request: a.Request, Server: a.Server,
						Attempt: out.Attempt, Elapsed: after / 2}})
					out.Outcome, out.Closed = Served, true
				}
				due = append(due, event{now + after, out})
			case Probe:
				due = append(due, event{now + after/10, Event{Kind: Probed, Server: a.Server, Elapsed: after / 10,
					Report: Report{MemoryUse: rng.Float64(), QueuedKTokens: 20 * rng.Float64()}}})
			}
		}
		all = append(all, acts...)
	}
	do(Event{Kind: ListCached, Servers: list})
	for id := RequestID(1); id < 800; id++ {
		now += Duration(rng.IntN(20)) * ms
		for len(due) > 0 {
			first := 0
			for i := range due {
				if due[i].at < due[first].at {
					first = i
				}
			}
			e := due[first]
			if e.at > now {
				break
			}
			due = append(due[:first], due[first+1:]...)
			do(e.ev)
		}
		if id%8 == 0 {
			do(Event{Kind: Timer})
		}
		if id%100 == 0 {
			l := list[rng.IntN(len(list))]
			l.StartedAt = now
			do(Event{Kind: ListChanged, Servers: []Listing{l}})
		}
		do(Event{Kind: Arrived, Request: id, Job: Job{Class: by.class(rng.IntN(2)), Tenant: by.tenant(rng.IntN(2)),
			SessionID: uint64(rng.IntN(50) + 1), PrefixID: uint64(rng.IntN(9)), PromptTokens: 100 + 4000*rng.Float64(),
			PrefixTokens: 80, MaxOutputTokens: 300, Deadline: now + 4*Second}})
	}
	return all
}

// Decisions do not depend on what classes, kinds, zones, cells or tenants are called, nor on their order in the
// settings: the same traffic under other numbers leads to the same decisions.
func TestNumberingDoesNotMatter(t *testing.T) {
	for _, routers := range []int{3, 60} {
		plain := numbering{identity, identity, identity, identity, identity}
		want := runScenario(plain, routers)
		sends, refusals, probes := 0, 0, 0
		for _, a := range want {
			switch a.Kind {
			case Send:
				sends++
			case Refuse:
				refusals++
			case Probe:
				probes++
			}
		}
		if sends < 400 || refusals < 10 || probes < 10 {
			t.Fatalf("%d routers: %d sends, %d refusals and %d probes are too few", routers, sends, refusals, probes)
		}
		for name, change := range map[string]func(*numbering){
			"classes": func(n *numbering) { n.class = permutation(1, 0) },
			"kinds":   func(n *numbering) { n.kind = permutation(2, 0, 1) },
			"zones":   func(n *numbering) { n.zone = permutation(77, 5) },
			"cells":   func(n *numbering) { n.cell = permutation(9, 1000, 3, 40) },
			"tenants": func(n *numbering) { n.tenant = permutation(1, 0) },
		} {
			t.Run(fmt.Sprintf("%d routers/%s", routers, name), func(t *testing.T) {
				by := plain
				change(&by)
				got := runScenario(by, routers)
				for i := range want {
					if i >= len(got) || !reflect.DeepEqual(got[i], want[i]) {
						t.Fatalf("action %d of %d differs", i, len(want))
					}
				}
				if len(got) != len(want) {
					t.Errorf("%d actions, want %d", len(got), len(want))
				}
			})
		}
	}
}
