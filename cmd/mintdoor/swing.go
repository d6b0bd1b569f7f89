package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"mintdoor/internal/day"
	"mintdoor/internal/swing"
	"mintdoor/internal/trace"

	"github.com/spf13/cobra"
)

// swingFlags are the flags of a generated trace.
type swingFlags struct {
	shape          string
	length, period time.Duration
	low, high      float64
	load           float64
	engines        int
	read, write    float64
}

func (f *swingFlags) add(cmd *cobra.Command) {
	fl := cmd.Flags()
	fl.DurationVar(&f.length, "length", 20*time.Minute, "length of the trace")
	fl.DurationVar(&f.period, "period", 20*time.Minute, "period of the change of the mix")
	fl.Float64Var(&f.low, "low", 0.25, "smallest fraction of the work that is reading")
	fl.Float64Var(&f.high, "high", 0.75, "largest fraction of the work that is reading")
	fl.Float64Var(&f.load, "load", 0.75, "fraction of the engines' capacity that is requested")
	fl.IntVar(&f.engines, "engines", 12, "engines")
	f.read, f.write = swing.StandardRates()
}

func (f *swingFlags) swing(shape string, seed uint64) trace.Swing {
	return trace.Swing{Shape: shape, Length: f.length, Period: f.period, MinReadShare: f.low, MaxReadShare: f.high, Load: f.load, Engines: f.engines, Seed: seed,
		ReadPerS: f.read, WritePerS: f.write}
}

func traceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "trace", Short: "Generate and show traces of traffic"}
	var f swingFlags
	var seed uint64
	mk := &cobra.Command{
		Use:   "make SHAPE FILE",
		Short: "Generate a trace with a changing mix of reading and writing: day, ramps, steps, market, flicker, gusts or burst",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			s := f.swing(args[0], seed)
			t, err := s.Generate()
			if err != nil {
				return err
			}
			if err := trace.Save(args[1], t); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d requests in %v\n", args[1], len(t.Entries), t.Length().Round(time.Second))
			return nil
		},
	}
	f.add(mk)
	mk.Flags().Float64Var(&f.read, "read", f.read, "tokens per second that an engine reads")
	mk.Flags().Float64Var(&f.write, "write", f.write, "tokens per second that an engine writes")
	mk.Flags().Uint64Var(&seed, "seed", 1, "seed")
	show := &cobra.Command{
		Use:   "show FILE",
		Short: "Print the number of requests, their mean lengths and classes for each tenth of a trace",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := trace.Load(args[0])
			if err != nil && (t == nil || !errors.Is(err, trace.ErrTruncated)) {
				return err
			}
			if err != nil {
				fmt.Fprintln(cmd.ErrOrStderr(), err)
			}
			return showTrace(cmd.OutOrStdout(), t)
		},
	}
	cmd.AddCommand(mk, show)
	return cmd
}

// showTrace prints the requests of a trace and their means in ten parts.
func showTrace(out io.Writer, t *trace.Trace) error {
	const parts = 10
	type sum struct {
		n, known       int
		prompt, answer float64
		classes        []int
	}
	sums := make([]sum, parts)
	for i := range t.Entries {
		e := &t.Entries[i]
		s := &sums[min(int(int64(e.At)*parts/int64(t.Length()+1)), parts-1)]
		if s.classes == nil {
			s.classes = make([]int, len(t.Classes))
		}
		s.n++
		s.classes[e.Class]++
		s.prompt += float64(e.PromptTokens)
		if e.OutputTokens > 0 {
			s.known++
			s.answer += float64(e.OutputTokens)
		}
	}
	fmt.Fprintf(out, "%d requests in %v, classes %s\n\n", len(t.Entries), t.Length().Round(time.Millisecond), strings.Join(t.Classes, ", "))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "from\trequests\tprompt\tanswer\t%s\t\n", strings.Join(t.Classes, "\t"))
	for i, s := range sums {
		if s.n == 0 {
			continue
		}
		fmt.Fprintf(w, "%v\t%d\t%.0f\t%.0f\t", (t.Length() * time.Duration(i) / parts).Round(time.Second), s.n, s.prompt/float64(s.n),
			s.answer/max(float64(s.known), 1))
		for _, n := range s.classes {
			fmt.Fprintf(w, "%.2f\t", float64(n)/float64(s.n))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func swingCommand() *cobra.Command {
	var f swingFlags
	var shapes string
	var seeds []uint
	var every int
	var verbose bool
	cmd := &cobra.Command{
		Use:   "swing",
		Short: "Compare role changes in simulated time with fixed splits and with an oracle that knows the trace",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "simulated: %d engines, %v with a period of %v, load %.2f, seeds %v\n", f.engines, f.length, f.period, f.load, seeds)
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "swing\tbest fixed\tmean's split\toracle\tshifted\tway\tchanges\tengine-s away\tcold\trules")
			for _, shape := range strings.Split(shapes, ",") {
				e := swing.Experiment{Swing: f.swing(shape, 0), Engines: f.engines, Load: f.load, SplitInterval: every}
				for _, s := range seeds {
					e.Seeds = append(e.Seeds, uint64(s))
				}
				rows, err := e.Run(cmd.Context())
				if err != nil {
					return err
				}
				var best, mean, oracle, shift, gapClosed, changes, away, cold []float64
				rules := "kept"
				for _, r := range rows {
					best, mean, oracle, shift = append(best, r.BestFixedService), append(mean, r.MeanSplitService), append(oracle, r.OracleService), append(shift, r.ShiftService)
					if w := r.GapClosed(); !math.IsNaN(w) {
						gapClosed = append(gapClosed, w)
					}
					changes = append(changes, float64(r.Changes))
					away, cold = append(away, r.AwayTime.Seconds()), append(cold, r.SlowStartLoss.Seconds())
					if len(r.Violations) > 0 || r.WrongRoleAttempts > 0 || r.UnfinishedChanges > 0 {
						rules = fmt.Sprintf("BROKEN: %v, %d of a role that was left, %d stuck", r.Violations, r.WrongRoleAttempts, r.UnfinishedChanges)
					}
					if verbose {
						fmt.Fprintf(out, "%s seed %d: %v\n", shape, r.Seed, r.Result.Splits)
					}
				}
				cell := func(v []float64, digits int) string {
					if len(v) == 0 {
						return "-"
					}
					m, h := day.ConfidenceInterval(v)
					return fmt.Sprintf("%.*f +- %.*f", digits, m, digits, h)
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", shape, cell(best, 4), cell(mean, 4), cell(oracle, 4), cell(shift, 4), cell(gapClosed, 2),
					cell(changes, 1), cell(away, 0), cell(cold, 0), rules)
				w.Flush()
			}
			return nil
		},
	}
	f.add(cmd)
	fl := cmd.Flags()
	fl.StringVar(&shapes, "shapes", "day,ramps,steps,market,flicker,gusts", "shapes of the traces, separated by commas")
	fl.UintSliceVar(&seeds, "seeds", []uint{1, 2, 3, 4, 5}, "seeds, separated by commas")
	fl.IntVar(&every, "every", 1, "step between the fixed splits that are tried, in engines")
	fl.BoolVar(&verbose, "verbose", false, "print when the split changed")
	return cmd
}
