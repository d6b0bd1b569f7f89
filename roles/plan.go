package roles

import (
	"errors"
	"slices"
	"time"
)

// Engine is an engine as the planner sees it.
type Engine struct {
	ID          uint64
	Kind        int
	Cell        int
	Role        Stage
	Capacity    [stages]float64 // tokens a second in each role; 0: it does not support the role
	Fixed       bool            // it cannot change now: it is draining, cold, changing or unhealthy
	Unavailable bool            // it serves nothing now
	Incoming    bool            // it is changing to Role and serves for the part of the horizon that the change leaves
	HeldTokens  float64         // tokens of KV states, streams and cached prefixes that a change would lose
}

// Costs are the costs of a role change and the bounds of a plan.
type Costs struct {
	Horizon     time.Duration // a plan has to pay within this time
	AwayTime    time.Duration // time lost per change: emptying, changing and slow start, as time at full capacity
	RereadShare float64       // work for each held token that is lost, in tokens to read again; 0 to 1
	// MaxLoad is the highest utilization at which a stage still answers in time. Queueing at readers delays the first
	// token; waiting for a free slot at writers hardly does.
	MaxLoad [stages]float64
	// MaxChanging is how many engines may be changing at once, those that are changing already included.
	MaxChanging int
	MinEngines  [stages]int // minimum number of engines of each role
	MaxEngines  [stages]int // maximum number of engines of each role; 0: no bound
}

// remainingShare is the part of the horizon in which an engine that changes serves.
func (c *Costs) remainingShare() float64 { return 1 - c.AwayTime.Seconds()/c.Horizon.Seconds() }

// SlowStartLoss returns the work that an engine loses while it is cold, as time at full capacity: it starts with a
// part of its capacity, which grows linearly to the whole within slowStartTime.
func SlowStartLoss(initialCapacity float64, slowStartTime time.Duration) time.Duration {
	return time.Duration((1 - initialCapacity) / 2 * float64(slowStartTime))
}

// Plan is the result of planning.
type Plan struct {
	Moves []Move
	// ServedNow and ServedAfter are the expected parts of the work that are served in time without and with the
	// moves, both over the horizon.
	ServedNow   float64 `json:"Now"`
	ServedAfter float64 `json:"Then"`
	// Confidence is the probability that the moves serve more, among the demand cases of the forecast in which they
	// make a difference.
	Confidence float64 `json:"Sure"`
}

// Move is one engine that is to change its role.
type Move struct {
	Engine uint64
	To     Stage
}

// demandCase is one possible demand of both stages, in tokens a second, and its weight.
type demandCase struct{ read, write, weight float64 }

// demandCases turns a forecast into a grid of equally likely cases, since the best split for the mean demand is not
// the best one for an uncertain demand.
func demandCases(w [stages]WorkForecast) []demandCase {
	const n = 5
	out := make([]demandCase, 0, n*n)
	for i := range n {
		for j := range n {
			q := func(k int) float64 { return (float64(k) + 0.5) / n }
			out = append(out, demandCase{w[Prefill].Quantile(q(i)), w[Decode].Quantile(q(j)), 1.0 / (n * n)})
		}
	}
	return out
}

// servedShare returns the part of the work that a capacity is expected to serve in time. A request needs both stages,
// so the scarcer one limits it.
func servedShare(cap, load [stages]float64, cases []demandCase) float64 {
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

// changeConfidence returns, among the demand cases in which two capacities serve different amounts, the part in which
// the second one serves more.
func changeConfidence(now, then, load [stages]float64, cases []demandCase) float64 {
	more, less := 0.0, 0.0
	for i := range cases {
		a, b := servedShare(now, load, cases[i:i+1])/cases[i].weight, servedShare(then, load, cases[i:i+1])/cases[i].weight
		// Differences this small are rounding errors.
		const epsilon = 1e-9
		switch {
		case b > a+epsilon:
			more += cases[i].weight
		case b < a-epsilon:
			less += cases[i].weight
		}
	}
	if more == 0 {
		return 0
	}
	return more / (more + less)
}

// group is a set of interchangeable engines: of the same kind, cell and role, and free to change.
type group struct {
	role     Stage
	cell     int
	maxMoves int       // number of engines of this cell and role, of all kinds, that may move away
	members  []*Engine // ordered by what they lose in a change, least first
}

// option is one choice of moves from the groups searched so far.
type option struct {
	capacity   [stages]float64
	moved      [stages]int // engines moved away from each role
	movedHere  int         // engines of the last group's cell and role among them
	previous   int         // index in the previous layer of the option that this one extends
	taken      int         // engines moved from the last group
	lostTokens float64     // held tokens lost
}

// ErrHorizon is returned for costs that leave nothing of the horizon.
var ErrHorizon = errors.New("roles: the time lost by a change is not less than the horizon")

// Solve finds the split of the engines that is expected to serve the most work over the horizon. It is a dynamic
// program over groups of interchangeable engines: for each number of moves and each step of the readers' capacity, it
// keeps the option with the highest capacity of the writers. Losses by moving are subtracted from the capacity. The
// result depends only on the arguments, not on the order of the engines.
func Solve(engines []Engine, demand [stages]WorkForecast, costs Costs) (Plan, error) {
	if costs.AwayTime >= costs.Horizon || costs.Horizon <= 0 {
		return Plan{}, ErrHorizon
	}
	cases := demandCases(demand)
	groups, fixed, count, moves := groupEngines(engines, costs)
	base := fixed
	for _, g := range groups {
		for _, e := range g.members {
			base[e.Role] += e.Capacity[e.Role]
		}
	}
	plan := Plan{ServedNow: servedShare(base, costs.MaxLoad, cases)}
	plan.ServedAfter = plan.ServedNow
	if moves <= 0 {
		return plan, nil
	}
	layers := search(groups, base, count, moves, costs)
	last := layers[len(layers)-1]
	best := -1
	for i, o := range last {
		got := servedShare(o.capacity, costs.MaxLoad, cases)
		// A plan that gains no more than a rounding error is not better, nor is an equal one with more moves.
		const epsilon = 1e-9
		if got > plan.ServedAfter+epsilon {
			best, plan.ServedAfter = i, got
		}
	}
	if best >= 0 {
		plan.Confidence = changeConfidence(base, last[best].capacity, costs.MaxLoad, cases)
	}
	for layer := len(layers) - 1; layer > 0 && best >= 0; layer-- {
		o := layers[layer][best]
		for _, e := range groups[layer-1].members[:o.taken] {
			plan.Moves = append(plan.Moves, Move{e.ID, 1 - e.Role})
		}
		best = o.previous
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

// groupEngines puts the engines that can change into groups and adds up the capacity of the others. It also returns
// the number of engines of each role and how many more moves are allowed.
func groupEngines(engines []Engine, costs Costs) (groups []group, fixed [stages]float64, count [stages]int, moves int) {
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
		case a.HeldTokens != b.HeldTokens:
			if a.HeldTokens < b.HeldTokens {
				return -1
			}
			return 1
		case a.ID < b.ID:
			return -1
		}
		return 1
	})
	available := map[[2]int]int{} // available engines by cell and role
	moves = costs.MaxChanging
	for _, e := range sorted {
		if e.Unavailable {
			moves--
			continue
		}
		if e.Incoming {
			moves--
			count[e.Role]++
			continue
		}
		count[e.Role]++
		available[[2]int{e.Cell, int(e.Role)}]++
	}
	for _, e := range sorted {
		if e.Unavailable {
			continue
		}
		if e.Incoming {
			fixed[e.Role] += e.Capacity[e.Role] * costs.remainingShare()
			continue
		}
		if e.Fixed || e.Capacity[1-e.Role] <= 0 {
			fixed[e.Role] += e.Capacity[e.Role]
			continue
		}
		n := len(groups)
		if n == 0 || groups[n-1].role != e.Role || groups[n-1].cell != e.Cell || groups[n-1].members[0].Kind != e.Kind {
			groups = append(groups, group{role: e.Role, cell: e.Cell})
			n++
		}
		groups[n-1].members = append(groups[n-1].members, e)
	}
	// The last available engine of a role stays in its cell, since otherwise all KV states would have to cross the
	// cell's link.
	for i := range groups {
		groups[i].maxMoves = available[[2]int{groups[i].cell, int(groups[i].role)}] - 1
	}
	return groups, fixed, count, moves
}

// capacitySteps is the number of steps in which the search distinguishes capacities of readers.
const capacitySteps = 256

// maxReverseMoves bounds how many engines one plan moves in the opposite direction, for example to exchange engines
// of different kinds or cells. Further ones are left to the next plan, since each would double the search at large
// sizes.
const maxReverseMoves = 4

// search goes through the groups. For each number of moves and each step of the readers' capacity, a layer holds the
// option with the highest capacity of the writers.
func search(groups []group, base [stages]float64, count [stages]int, moves int, costs Costs) [][]option {
	remaining := costs.remainingShare()
	maxReading := base[Prefill]
	for _, g := range groups {
		if g.role == Decode {
			for _, e := range g.members {
				maxReading += e.Capacity[Prefill]
			}
		}
	}
	width := max(maxReading/capacitySteps, 1e-9)
	layers := [][]option{{{capacity: base}}}
	type key struct {
		moved [stages]int
		here  int
		step  int
	}
	for gi := range groups {
		g := &groups[gi]
		before := layers[len(layers)-1]
		at := map[key]int{}
		// Moves from a cell and role matter to the search only while further groups of that cell and role follow.
		more := gi+1 < len(groups) && groups[gi+1].cell == g.cell && groups[gi+1].role == g.role
		var next []option
		for i, o := range before {
			o.previous, o.taken = i, 0
			if gi == 0 || groups[gi-1].cell != g.cell || groups[gi-1].role != g.role {
				o.movedHere = 0
			}
			for take := 0; ; take++ {
				p := key{o.moved, 0, int(o.capacity[Prefill] / width)}
				if more {
					p.here = o.movedHere
				}
				if j, ok := at[p]; !ok {
					at[p] = len(next)
					next = append(next, o)
				} else if better(&o, &next[j]) {
					next[j] = o
				}
				if take == len(g.members) || o.moved[0]+o.moved[1] == moves || o.movedHere >= g.maxMoves || !canMove(&o, g.role, count, costs) ||
					o.moved[g.role] >= maxReverseMoves && o.moved[1-g.role] > maxReverseMoves {
					break
				}
				e := g.members[take]
				o.taken = take + 1
				o.moved[g.role]++
				o.movedHere++
				o.capacity[g.role] -= e.Capacity[g.role]
				o.capacity[1-g.role] += e.Capacity[1-g.role] * remaining
				// The lost tokens have to be read again within the horizon.
				o.capacity[Prefill] -= costs.RereadShare * e.HeldTokens / costs.Horizon.Seconds()
				o.lostTokens += e.HeldTokens
			}
		}
		layers = append(layers, next)
	}
	return layers
}

// better reports whether a is better than b, for options with equal moves and about equal capacity of the readers.
func better(a, b *option) bool {
	if a.capacity[Decode] != b.capacity[Decode] {
		return a.capacity[Decode] > b.capacity[Decode]
	}
	return a.capacity[Prefill] > b.capacity[Prefill]
}

// canMove reports whether one more engine may leave a role.
func canMove(o *option, from Stage, count [stages]int, costs Costs) bool {
	left := count[from] - o.moved[from] + o.moved[1-from] - 1
	grown := count[1-from] - o.moved[1-from] + o.moved[from] + 1
	if left < costs.MinEngines[from] || costs.MaxEngines[1-from] > 0 && grown > costs.MaxEngines[1-from] {
		return false
	}
	return left > 0
}
