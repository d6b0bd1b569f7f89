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

// Experiment is one swing at one size, over some seeds.
type Experiment struct {
	Swing   trace.Swing // its seed is set by seed; paces and engines too
	Engines int
	Seeds   []uint64
	Load    float64
	// SplitInterval bounds the fixed splits that are tried: each so many engines; 0: each.
	SplitInterval int
	Keeps         bool
	// Change adjusts the decisions on roles; nil: as the standard scene has them.
	Change func(*roles.Config)
}

// Row is one seed's figures; all are simulated.
type Row struct {
	Seed                                                            uint64
	BestFixedReaders                                                int // readers of the best fixed split
	BestFixedService, MeanSplitService, OracleService, ShiftService float64
	MeanSplit                                                       int
	Changes, OracleChanges                                          int
	AwayTime, SlowStartLoss                                         time.Duration // engines' time lost to changes
	Violations                                                      []string
	WrongRoleAttempts, UnfinishedChanges, MaxAway                   int
	Result                                                          *sim.Result // of shifting
}

// GapClosed is how far shifting has come from the best fixed split to the oracle: 1 is all the way. It is not a number
// where the oracle is no better than the split.
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

// pace is what an engine of the standard scene does.
func pace(cfg *sim.Config) Pace {
	limits := roles.Timeouts{CheckInterval: cfg.Look, ReplyTimeout: 2 * cfg.Net}
	return Pace{Read: cfg.Prefill.Capacity(), Write: cfg.Decode.Capacity(), Away: limits.NoticePeriod() + cfg.Change + roles.SlowStartLoss(cfg.Prefill.InitialCapacity, cfg.Prefill.SlowStartTime)}
}

func (e *Experiment) seed(ctx context.Context, seed uint64, row *Row) error {
	scene := sim.Scene{Engines: e.Engines, Seed: seed}
	base := scene.Config(nil)
	p := pace(&base)
	sw := e.Swing
	sw.Seed, sw.Engines, sw.Load, sw.ReadPerS, sw.WritePerS = seed, e.Engines, e.Load, p.Read, p.Write
	t, err := sw.Generate()
	if err != nil {
		return err
	}
	row.Seed, row.MeanSplit = seed, Mean(t, e.Engines, p)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	play := func(readers int, change func(*sim.Config), take func(*sim.Result)) {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			s := scene
			s.Readers = readers
			cfg := s.Config(t)
			cfg.Keeps = e.Keeps
			if change != nil {
				change(&cfg)
			}
			res, err := sim.Run(cfg)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			for _, b := range res.Broken {
				row.Violations = append(row.Violations, fmt.Sprintf("%d readers: %s", readers, b))
			}
			row.WrongRoleAttempts += res.WrongRole
			row.UnfinishedChanges += res.Stuck
			take(res)
			return nil
		})
	}
	for _, n := range e.splits(t, p, row.MeanSplit) {
		play(n, nil, func(r *sim.Result) {
			if r.Service > row.BestFixedService {
				row.BestFixedService, row.BestFixedReaders = r.Service, n
			}
			if n == row.MeanSplit {
				row.MeanSplitService = r.Service
			}
		})
	}
	loads := []float64{0.75, 0.85, 0.95}
	if e.Engines > many { // a run takes minutes, and the best of them differs little
		loads = loads[1:2]
	}
	for _, load := range loads {
		first, steps := Oracle(t, e.Engines, p, load, max(e.Engines/6, 2))
		play(first, func(c *sim.Config) {
			c.Roles = scene.Shifting()
			c.Roles.DryRun = true
			c.Schedule = steps
			if c.Schedule == nil {
				c.Schedule = []sim.Step{}
			}
		}, func(r *sim.Result) {
			if r.Service > row.OracleService {
				row.OracleService, row.OracleChanges = r.Service, r.Changes
			}
		})
	}
	play(row.MeanSplit, func(c *sim.Config) {
		c.Roles = scene.Shifting()
		if e.Change != nil {
			e.Change(c.Roles)
		}
	}, func(r *sim.Result) {
		row.ShiftService, row.Changes, row.AwayTime, row.SlowStartLoss, row.MaxAway, row.Result = r.Service, r.Changes, r.Away, r.ColdLost, r.MostAway, r
	})
	if err := g.Wait(); err != nil {
		return err
	}
	// An oracle may leave the split alone: it knows the best one too.
	row.OracleService = max(row.OracleService, row.BestFixedService)
	slices.Sort(row.Violations)
	return nil
}

// many engines make the oracle's loads one.
const many = 50

// splits are the fixed splits that are tried: all, or some around the mean's.
func (e *Experiment) splits(t *trace.Trace, p Pace, mean int) []int {
	every := max(e.SplitInterval, 1)
	var out []int
	for n := mean % every; n < e.Engines; n += every {
		// Far from the mean none is best; what is tried is a quarter of the engines each way.
		if n >= 1 && n >= mean-e.Engines/4 && n <= mean+e.Engines/4 {
			out = append(out, n)
		}
	}
	return out
}

// StandardRates is what one engine of the standard scene reads and writes, in tokens a second.
func StandardRates() (read, write float64) {
	cfg := sim.Scene{Engines: 2}.Config(nil)
	p := pace(&cfg)
	return p.Read, p.Write
}
