package swing

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"
	"time"

	"mintdoor/internal/sim"
	"mintdoor/internal/trace"
	"mintdoor/roles"

	"golang.org/x/sync/errgroup"
)

// Experiment is one swing at one number of engines, over several seeds.
type Experiment struct {
	Swing   trace.Swing // seed, rates and engines are set for each run
	Engines int
	Seeds   []uint64
	Load    float64
	// SplitInterval limits the fixed splits that are tried to every SplitInterval-th number of readers; 0: all.
	SplitInterval    int
	KeepsPrefixCache bool
	// AdjustRoles adjusts the configuration of the role decisions; nil: the standard scenario's.
	AdjustRoles func(*roles.Config)
}

// Row is the result for one seed. All figures are simulated.
type Row struct {
	Seed                                                            uint64
	BestFixedReaders                                                int // readers of the best fixed split
	BestFixedService, MeanSplitService, OracleService, ShiftService float64
	MeanSplitReaders                                                int
	Changes, OracleChanges                                          int
	AwayTime, SlowStartLoss                                         time.Duration // engine time lost to changes
	Violations                                                      []string
	WrongRoleAttempts, UnfinishedChanges, MaxAway                   int
	Result                                                          *sim.Result // of the run with role changes
}

// GapClosed returns which part of the gap between the best fixed split and the oracle is closed by role changes, with
// 1 for all of it. It is NaN if the oracle is no better than the best fixed split.
func (r *Row) GapClosed() float64 {
	if r.OracleService <= r.BestFixedService {
		return math.NaN()
	}
	return (r.ShiftService - r.BestFixedService) / (r.OracleService - r.BestFixedService)
}

// Run plays all seeds.
func (e *Experiment) Run(ctx context.Context) ([]Row, error) {
	rows := make([]Row, len(e.Seeds))
	for i, seed := range e.Seeds {
		if err := e.seed(ctx, seed, &rows[i]); err != nil {
			return nil, fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return rows, nil
}

// engineRates returns the rates of an engine of the standard scenario.
func engineRates(cfg *sim.Config) EngineRates {
	timeouts := roles.Timeouts{CheckInterval: cfg.CheckInterval, ReplyTimeout: 2 * cfg.NetworkDelay}
	return EngineRates{ReadPerS: cfg.Prefill.Capacity(), WritePerS: cfg.Decode.Capacity(), AwayTime: timeouts.NoticePeriod() + cfg.RoleChangeTime + roles.SlowStartLoss(cfg.Prefill.InitialCapacity, cfg.Prefill.SlowStartTime)}
}

// seed plays all runs of one seed and fills in its row.
func (e *Experiment) seed(ctx context.Context, seed uint64, row *Row) error {
	scenario := sim.Scenario{Engines: e.Engines, Seed: seed}
	base := scenario.Config(nil)
	rates := engineRates(&base)
	swing := e.Swing
	swing.Seed, swing.Engines, swing.Load, swing.ReadPerS, swing.WritePerS = seed, e.Engines, e.Load, rates.ReadPerS, rates.WritePerS
	t, err := swing.Generate()
	if err != nil {
		return err
	}
	row.Seed, row.MeanSplitReaders = seed, MeanSplit(t, e.Engines, rates)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	run := func(readers int, change func(*sim.Config), record func(*sim.Result)) {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			s := scenario
			s.Readers = readers
			cfg := s.Config(t)
			cfg.KeepsPrefixCache = e.KeepsPrefixCache
			if change != nil {
				change(&cfg)
			}
			res, err := sim.Run(cfg)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			for _, b := range res.Violations {
				row.Violations = append(row.Violations, fmt.Sprintf("%d readers: %s", readers, b))
			}
			row.WrongRoleAttempts += res.WrongRoleAttempts
			row.UnfinishedChanges += res.UnfinishedChanges
			record(res)
			return nil
		})
	}
	for _, n := range e.splits(t, rates, row.MeanSplitReaders) {
		run(n, nil, func(r *sim.Result) {
			if r.Service > row.BestFixedService {
				row.BestFixedService, row.BestFixedReaders = r.Service, n
			}
			if n == row.MeanSplitReaders {
				row.MeanSplitService = r.Service
			}
		})
	}
	loads := []float64{0.75, 0.85, 0.95}
	if e.Engines > manyEngines { // a run takes minutes, and the oracle loads differ little
		loads = loads[1:2]
	}
	for _, load := range loads {
		first, steps := Oracle(t, e.Engines, rates, load, max(e.Engines/6, 2))
		run(first, func(c *sim.Config) {
			c.Roles = scenario.RoleConfig()
			c.Roles.DryRun = true
			c.Schedule = steps
			if c.Schedule == nil {
				c.Schedule = []sim.SplitStep{}
			}
		}, func(r *sim.Result) {
			if r.Service > row.OracleService {
				row.OracleService, row.OracleChanges = r.Service, r.ChangesDone
			}
		})
	}
	run(row.MeanSplitReaders, func(c *sim.Config) {
		c.Roles = scenario.RoleConfig()
		if e.AdjustRoles != nil {
			e.AdjustRoles(c.Roles)
		}
	}, func(r *sim.Result) {
		row.ShiftService, row.Changes, row.AwayTime, row.SlowStartLoss, row.MaxAway, row.Result = r.Service, r.ChangesDone, r.AwayTime, r.SlowStartLoss, r.MaxAway, r
	})
	if err := g.Wait(); err != nil {
		return err
	}
	// An oracle can also leave the split alone, and it knows the best fixed one.
	row.OracleService = max(row.OracleService, row.BestFixedService)
	slices.Sort(row.Violations)
	return nil
}

// manyEngines is the number of engines above which the oracle is tried with one load only.
const manyEngines = 50

// splits returns the fixed splits that are tried: all of them, or some around that of the mean work.
func (e *Experiment) splits(t *trace.Trace, p EngineRates, mean int) []int {
	every := max(e.SplitInterval, 1)
	var out []int
	for n := mean % every; n < e.Engines; n += every {
		// No split far from the mean's is the best, so only those within a quarter of the engines of it are tried.
		if n >= 1 && n >= mean-e.Engines/4 && n <= mean+e.Engines/4 {
			out = append(out, n)
		}
	}
	return out
}

// StandardRates returns what one engine of the standard scenario reads and writes, in tokens a second.
func StandardRates() (read, write float64) {
	cfg := sim.Scenario{Engines: 2}.Config(nil)
	p := engineRates(&cfg)
	return p.ReadPerS, p.WritePerS
}
