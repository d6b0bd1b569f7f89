package roles

import (
	"errors"
	"slices"
	"time"
)

// Engine is an engine as the planner sees it.
type Engine struct {
	ID     uint64
	Kind   int
	Cell   int
	Role   Stage
	Cap    [stages]float64 // tokens a second that it does in each role; 0: it can't
	Fixed  bool            // it may not change, or not now: it is draining, cold, changing or not sound
	Absent bool            // it does no work now
	Coming bool            // it is on its way into Role, and is there for what a change leaves of the horizon
	Held   float64         // tokens of states, streams and kept texts that a change would lose
}

// Costs are what a change costs, and bounds of a plan.
type Costs struct {
	Horizon  time.Duration // over which a plan has to pay
	AwayTime time.Duration // of a change: drained, changed, and what coldness takes, as full time lost
	Reread   float64       // work a token held that is lost, in tokens to read; 0 to 1
	// MaxLoad is the part of its capacity to which a stage may be used and still answer in time. A queue of readers
	// shows in the first token, one of writers at a free place hardly.
	MaxLoad [stages]float64
	// MaxChanging is how many engines may be away at once; those that are away already count.
	MaxChanging int
	MinEngines  [stages]int // engines of each role, at least
	MaxEngines  [stages]int // and at most; 0: no bound
}

// left is the part of the horizon that a change leaves of an engine.
func (c *Costs) left() float64 { return 1 - c.AwayTime.Seconds()/c.Horizon.Seconds() }

// SlowStartLoss is the work that an engine lacks while it is cold, as full time: it starts with a part of its capacity
// and has all of it after coldFor, growing evenly.
func SlowStartLoss(start float64, coldFor time.Duration) time.Duration {
	return time.Duration((1 - start) / 2 * float64(coldFor))
}

// Plan is what the planner has found.
type Plan struct {
	Moves []Move
	// ServedNow and Then are the parts of the work that is expected to be served without and with the moves,
	// both over the horizon.
	ServedNow, ServedAfter float64
	// Confidence is how sure it is that the moves serve more, among the cases of the forecast in which they make a
	// difference.
	Confidence float64
}

// Move is one engine that is to change.
type Move struct {
	Engine uint64
	To     Stage
}

// scenario is one case of the demand with its weight.
type scenario struct{ read, write, weight float64 }

// scenarios spreads a forecast over a grid of equal chances: the best split for the mean is not the best
// for what may come.
func scenarios(w [stages]Work) []scenario {
	const n = 5
	out := make([]scenario, 0, n*n)
	for i := range n {
		for j := range n {
			q := func(k int) float64 { return (float64(k) + 0.5) / n }
			out = append(out, scenario{w[Prefill].Quantile(q(i)), w[Decode].Quantile(q(j)), 1.0 / (n * n)})
		}
	}
	return out
}

// served is the part of the work that a capacity is expected to serve in time. A request needs both stages,
// so the weaker one bounds it.
func served(cap, load [stages]float64, cases []scenario) float64 {
	sum := 0.0
	for _, c := range cases {
		part := 1.0
		if c.read > 0 {
			part = min(part, load[Prefill]*cap[Prefill]/c.read)
		}
		if c.write > 0 {
			part = min(part, load[Decode]*cap[Decode]/c.write)
		}
		sum += c.weight * part
	}
	return sum
}

// sure is the part of the cases, of those in which two capacities differ, in which the second serves more.
func sure(now, then, load [stages]float64, cases []scenario) float64 {
	more, less := 0.0, 0.0
	for i := range cases {
		a, b := served(now, load, cases[i:i+1])/cases[i].weight, served(then, load, cases[i:i+1])/cases[i].weight
		// What rounding makes is no difference.
		const least = 1e-9
		switch {
		case b > a+least:
			more += cases[i].weight
		case b < a-least:
			less += cases[i].weight
		}
	}
	if more == 0 {
		return 0
	}
	return more / (more + less)
}

// group is engines that are alike: of one kind, cell and role, and free to change.
type group struct {
	role    Stage
	cell    int
	may     int       // of its cell and role, all kinds together, may go
	members []*Engine // those that lose least first
}

// option is a way to take some moves from the groups so far.
type option struct {
	cap   [stages]float64
	moved [stages]int // engines moved away from each role
	here  int         // of them, of the cell and role of the last group
	last  int         // index of the option that it goes on from, among the groups before
	take  int         // engines taken of the last group
	lost  float64     // tokens held that are lost
}

// ErrHorizon is returned for costs that leave nothing of a horizon.
var ErrHorizon = errors.New("roles: a change must take less than the horizon")

// Solve finds the split of the engines that is expected to serve most over the horizon. It is a dynamic
// program over groups of alike engines: for each number of moves and each capacity of readers, in steps,
// it keeps the most that the writers could do. What is lost by moving is part of the capacity. The result
// hangs on the arguments alone, not on the order of the engines.
func Solve(engines []Engine, demand [stages]Work, costs Costs) (Plan, error) {
	if costs.AwayTime >= costs.Horizon || costs.Horizon <= 0 {
		return Plan{}, ErrHorizon
	}
	cases := scenarios(demand)
	groups, fixed, count, moves := arrange(engines, costs)
	base := fixed
	for _, g := range groups {
		for _, e := range g.members {
			base[e.Role] += e.Cap[e.Role]
		}
	}
	plan := Plan{ServedNow: served(base, costs.MaxLoad, cases)}
	plan.ServedAfter = plan.ServedNow
	if moves <= 0 {
		return plan, nil
	}
	layers := search(groups, base, count, moves, costs)
	last := layers[len(layers)-1]
	best := -1
	for i, o := range last {
		got := served(o.cap, costs.MaxLoad, cases)
		// An equal plan with more moves, or one that is better by no more than rounding, is no better.
		const least = 1e-9
		if got > plan.ServedAfter+least {
			best, plan.ServedAfter = i, got
		}
	}
	if best >= 0 {
		plan.Confidence = sure(base, last[best].cap, costs.MaxLoad, cases)
	}
	for layer := len(layers) - 1; layer > 0 && best >= 0; layer-- {
		o := layers[layer][best]
		for _, e := range groups[layer-1].members[:o.take] {
			plan.Moves = append(plan.Moves, Move{e.ID, 1 - e.Role})
		}
		best = o.last
	}
	slices.SortFunc(plan.Moves, func(a, b Move) int {
		switch {
		case a.Engine < b.Engine:
			return -1
		case a.Engine > b.Engine:
			return 1
		}
		return 0
	})
	return plan, nil
}

// arrange puts the engines that may change into groups, and sums up the others. It returns how many
// engines of each role there are, and how many more moves are allowed.
func arrange(engines []Engine, costs Costs) (groups []group, fixed [stages]float64, count [stages]int, moves int) {
	sorted := make([]*Engine, len(engines))
	for i := range engines {
		sorted[i] = &engines[i]
	}
	slices.SortFunc(sorted, func(a, b *Engine) int {
		switch {
		case a.Cell != b.Cell:
			return a.Cell - b.Cell
		case a.Role != b.Role:
			return int(a.Role) - int(b.Role)
		case a.Kind != b.Kind:
			return a.Kind - b.Kind
		case a.Held != b.Held:
			if a.Held < b.Held {
				return -1
			}
			return 1
		case a.ID < b.ID:
			return -1
		}
		return 1
	})
	sound := map[[2]int]int{} // by cell and role
	moves = costs.MaxChanging
	for _, e := range sorted {
		if e.Absent {
			moves--
			continue
		}
		if e.Coming {
			moves--
			count[e.Role]++
			continue
		}
		count[e.Role]++
		sound[[2]int{e.Cell, int(e.Role)}]++
	}
	for _, e := range sorted {
		if e.Absent {
			continue
		}
		if e.Coming {
			fixed[e.Role] += e.Cap[e.Role] * costs.left()
			continue
		}
		if e.Fixed || e.Cap[1-e.Role] <= 0 {
			fixed[e.Role] += e.Cap[e.Role]
			continue
		}
		n := len(groups)
		if n == 0 || groups[n-1].role != e.Role || groups[n-1].cell != e.Cell || groups[n-1].members[0].Kind != e.Kind {
			groups = append(groups, group{role: e.Role, cell: e.Cell})
			n++
		}
		groups[n-1].members = append(groups[n-1].members, e)
	}
	// The last sound engine of a role stays in its cell: states would all have to cross its link.
	for i := range groups {
		groups[i].may = sound[[2]int{groups[i].cell, int(groups[i].role)}] - 1
	}
	return groups, fixed, count, moves
}

// steps is how finely the search tells capacities of readers apart.
const steps = 256

// mostBack bounds how many engines one plan moves against its own direction, as from one kind or cell to
// another. More of them are a thing for the next plan; each would double the search at large sizes.
const mostBack = 4

// search runs through the groups. Each layer holds, for a number of moves and a step of the readers'
// capacity, the option with the most writers' capacity.
func search(groups []group, base [stages]float64, count [stages]int, moves int, costs Costs) [][]option {
	here := costs.left()
	most := base[Prefill]
	for _, g := range groups {
		if g.role == Decode {
			for _, e := range g.members {
				most += e.Cap[Prefill]
			}
		}
	}
	width := max(most/steps, 1e-9)
	layers := [][]option{{{cap: base}}}
	type place struct {
		moved [stages]int
		here  int
		step  int
	}
	for gi := range groups {
		g := &groups[gi]
		before := layers[len(layers)-1]
		at := map[place]int{}
		// Moves from a cell and role matter to the search only while groups of the same follow.
		more := gi+1 < len(groups) && groups[gi+1].cell == g.cell && groups[gi+1].role == g.role
		var next []option
		for i, o := range before {
			o.last, o.take = i, 0
			if gi == 0 || groups[gi-1].cell != g.cell || groups[gi-1].role != g.role {
				o.here = 0
			}
			for take := 0; ; take++ {
				p := place{o.moved, 0, int(o.cap[Prefill] / width)}
				if more {
					p.here = o.here
				}
				if j, ok := at[p]; !ok {
					at[p] = len(next)
					next = append(next, o)
				} else if better(&o, &next[j]) {
					next[j] = o
				}
				if take == len(g.members) || o.moved[0]+o.moved[1] == moves || o.here >= g.may || !within(&o, g.role, count, costs) ||
					o.moved[g.role] >= mostBack && o.moved[1-g.role] > mostBack {
					break
				}
				e := g.members[take]
				o.take = take + 1
				o.moved[g.role]++
				o.here++
				o.cap[g.role] -= e.Cap[g.role]
				o.cap[1-g.role] += e.Cap[1-g.role] * here
				// What is lost has to be read again, within the horizon.
				o.cap[Prefill] -= costs.Reread * e.Held / costs.Horizon.Seconds()
				o.lost += e.Held
			}
		}
		layers = append(layers, next)
	}
	return layers
}

// better compares two options of the same number of moves and about the same readers' capacity.
func better(a, b *option) bool {
	if a.cap[Decode] != b.cap[Decode] {
		return a.cap[Decode] > b.cap[Decode]
	}
	return a.cap[Prefill] > b.cap[Prefill]
}

// within tells whether one more engine of a role may go.
func within(o *option, from Stage, count [stages]int, costs Costs) bool {
	left := count[from] - o.moved[from] + o.moved[1-from] - 1
	grown := count[1-from] - o.moved[1-from] + o.moved[from] + 1
	if left < costs.MinEngines[from] || costs.MaxEngines[1-from] > 0 && grown > costs.MaxEngines[1-from] {
		return false
	}
	return left > 0
}
