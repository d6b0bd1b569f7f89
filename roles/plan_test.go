package roles

import (
	"errors"
	"fmt"
	"math"
	"math/bits"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func work(read, write float64) [stages]WorkForecast {
	return [stages]WorkForecast{{Mean: read, SD: read / 20, ScoredHorizons: 9}, {Mean: write, SD: write / 20, ScoredHorizons: 9}}
}

func costs() Costs {
	return Costs{Horizon: 5 * time.Minute, AwayTime: 30 * time.Second, RereadShare: 0.5, MaxLoad: [stages]float64{0.8, 0.8}, MaxChanging: 3}
}

// fleet returns engines that support both roles, in two cells.
func fleet(readers, writers int) (out []Engine) {
	for i := range readers + writers {
		e := Engine{ID: uint64(i + 1), Cell: i % 2, Role: Prefill, Capacity: [stages]float64{10000, 1000}}
		if i >= readers {
			e.Role = Decode
		}
		out = append(out, e)
	}
	return out
}

func TestPlanFollowsDemand(t *testing.T) {
	for _, c := range []struct {
		name        string
		read, write float64
		moves       int
		to          Stage
	}{
		{"balanced", 40000, 4000, 0, 0},
		{"readers short", 70000, 2000, 3, Prefill},
		{"writers short", 20000, 7500, 3, Decode},
		{"a little more reading", 47000, 3000, 1, Prefill},
		{"both short: no change helps", 200000, 20000, 0, 0},
		{"idle", 100, 10, 0, 0},
		{"nothing", 0, 0, 0, 0},
	} {
		p, err := Solve(fleet(6, 6), work(c.read, c.write), costs())
		if err != nil {
			t.Fatal(err)
		}
		ok := len(p.Moves) == c.moves && (c.moves == 0) == (p.ServedAfter == p.ServedNow)
		for _, m := range p.Moves {
			ok = ok && m.To == c.to
		}
		if !ok {
			t.Errorf("%s: %+v", c.name, p)
		}
	}
}

func TestPlanRespectsBounds(t *testing.T) {
	c := costs()
	c.MinEngines[Decode] = 5
	if p, _ := Solve(fleet(6, 6), work(90000, 500), c); len(p.Moves) != 1 {
		t.Errorf("at least five writers: %+v", p)
	}
	c = costs()
	c.MaxEngines[Prefill] = 8
	if p, _ := Solve(fleet(6, 6), work(90000, 500), c); len(p.Moves) != 2 {
		t.Errorf("at most eight readers: %+v", p)
	}
	// An engine that serves nothing counts as changing.
	f := fleet(6, 6)
	f[0].Unavailable, f[1].Unavailable = true, true
	if p, _ := Solve(f, work(90000, 500), costs()); len(p.Moves) != 1 {
		t.Errorf("with two engines unavailable: %+v", p)
	}
	// The last writer of a cell stays.
	f = fleet(2, 2)
	if p, _ := Solve(f, work(90000, 10), costs()); len(p.Moves) != 0 {
		t.Errorf("with one writer in each cell: %+v", p)
	}
	// Fixed engines and those of only one role do not move. Of the others, the engine that loses least does.
	f = fleet(6, 6)
	for i := range f {
		f[i].HeldTokens = float64(100 * (20 - i))
	}
	f[11].Fixed = true
	f[10].Capacity[Prefill] = 0
	c = costs()
	c.MaxChanging = 1
	if p, _ := Solve(f, work(90000, 500), c); len(p.Moves) != 1 || p.Moves[0] != (Move{10, Prefill}) {
		t.Errorf("%+v", p)
	}
	for i := range f {
		f[i].Fixed = true
	}
	if p, _ := Solve(f, work(90000, 500), costs()); len(p.Moves) != 0 {
		t.Errorf("with all engines fixed: %+v", p)
	}
	c.AwayTime = c.Horizon
	if _, err := Solve(f, work(1, 1), c); !errors.Is(err, ErrHorizon) {
		t.Error(err)
	}
}

// A change that costs more time than it gains is not planned.
func TestPlanAccountsForCost(t *testing.T) {
	c := costs()
	demand := work(50000, 5000) // one more reader gains as much as one writer less loses
	f := fleet(6, 6)
	for i := range f {
		f[i].HeldTokens = 1e6 // tokens that would have to be read again
	}
	c.AwayTime = 5 * time.Second
	cheap, _ := Solve(f, work(52000, 3700), c)
	c.AwayTime = 280 * time.Second
	costly, _ := Solve(f, work(52000, 3700), c)
	if len(cheap.Moves) == 0 || len(costly.Moves) != 0 {
		t.Errorf("with a low cost: %+v, with a high cost: %+v", cheap, costly)
	}
	if p, _ := Solve(fleet(6, 6), demand, costs()); len(p.Moves) != 0 {
		t.Errorf("without a gain: %+v", p)
	}
}

// The search finds the best of all subsets of moves of small fleets, up to the steps of capacity that it
// distinguishes.
func TestPlanIsOptimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "engines")
		var f []Engine
		for i := range n {
			f = append(f, Engine{ID: uint64(i + 1), Kind: rapid.IntRange(0, 1).Draw(t, "kind"), Cell: rapid.IntRange(0, 1).Draw(t, "cell"),
				Role: Stage(rapid.IntRange(0, 1).Draw(t, "role")), Fixed: rapid.Bool().Draw(t, "fixed")})
			f[i].Capacity = [2][stages]float64{{10000, 1000}, {16000, 800}}[f[i].Kind]
		}
		demand := work(rapid.Float64Range(0, 120000).Draw(t, "read"), rapid.Float64Range(0, 9000).Draw(t, "write"))
		c := costs()
		c.MaxChanging = rapid.IntRange(0, 4).Draw(t, "changes")
		p, err := Solve(f, demand, c)
		if err != nil {
			t.Fatal(err)
		}
		best := bruteForce(f, demand, c)
		if p.ServedAfter < best-0.01 || p.ServedAfter > best+1e-9 || len(p.Moves) > c.MaxChanging {
			t.Fatalf("found %.4f with %v, the best is %.4f", p.ServedAfter, p.Moves, best)
		}
	})
}

// bruteForce returns the served share of the best of all subsets of moves.
func bruteForce(f []Engine, demand [stages]WorkForecast, c Costs) float64 {
	cases := demandCases(demand)
	remaining := 1 - c.AwayTime.Seconds()/c.Horizon.Seconds()
	best := 0.0
	for set := range 1 << len(f) {
		if bits.OnesCount(uint(set)) > c.MaxChanging {
			continue
		}
		var cap [stages]float64
		left := map[[2]int]int{}
		was := map[[2]int]bool{}
		ok, total, had := true, [stages]int{}, [stages]int{}
		for i := range f {
			e := &f[i]
			key := [2]int{e.Cell, int(e.Role)}
			was[key] = true
			had[e.Role]++
			if set>>i&1 == 0 {
				cap[e.Role] += e.Capacity[e.Role]
				left[key]++
				total[e.Role]++
				continue
			}
			ok = ok && !e.Fixed && e.Capacity[1-e.Role] > 0
			cap[1-e.Role] += e.Capacity[1-e.Role] * remaining
			total[1-e.Role]++
		}
		for key := range was { // engines that change are cold, so the last available one has to stay
			ok = ok && left[key] > 0
		}
		for st := range had {
			ok = ok && (had[st] == 0 || total[st] > 0)
		}
		if ok {
			best = math.Max(best, servedShare(cap, c.MaxLoad, cases))
		}
	}
	return best
}

// The order of the engines does not matter: routers that know the same engines make the same plan.
func TestPlanIgnoresEngineOrder(t *testing.T) {
	f := fleet(8, 8)
	reversed := make([]Engine, 0, len(f))
	for i := range f {
		reversed = append(reversed, f[len(f)-1-i])
	}
	a, _ := Solve(f, work(110000, 3000), costs())
	b, _ := Solve(reversed, work(110000, 3000), costs())
	if fmt.Sprint(a) != fmt.Sprint(b) || len(a.Moves) == 0 {
		t.Errorf("plans differ, or are empty: %+v and %+v", a, b)
	}
}

func BenchmarkSolve(b *testing.B) {
	for _, n := range []int{50, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var f []Engine
			for i := range n {
				f = append(f, Engine{ID: uint64(i + 1), Kind: i % 2, Cell: i / 6, Role: Stage(i / 2 % 2), Capacity: [stages]float64{10000, 1000}})
			}
			c := costs()
			c.MaxChanging = n / 10
			for b.Loop() {
				if _, err := Solve(f, work(float64(n)*7000, float64(n)*200), c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
