package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"mintdoor/internal/audit"
	"mintdoor/internal/config"
	"mintdoor/internal/day"
	"mintdoor/internal/logging"

	"github.com/spf13/cobra"
)

func dayCommand() *cobra.Command {
	var (
		from, write, records string
		seeds                []uint
		speed                float64
		size                 day.MaxSize
		slack                time.Duration
	)
	cmd := &cobra.Command{
		Use:   "day [SCRIPT]",
		Short: "Run a scenario of faults with stand-in engines and router processes, and check the five rules",
		Long: "Run a scenario of traffic and faults. Without a script, the built-in scenario with every kind of fault is run.\n" +
			"--from runs a scenario that the external simulator has drawn ('lbsim draw'), and prints what was not carried over.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			script, err := dayScript(args, from, size)
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("speed") {
				script.Speed = speed
			}
			out := cmd.OutOrStdout()
			for _, n := range script.Notes {
				fmt.Fprintln(out, "not carried over:", n)
			}
			if write != "" {
				return script.Write(write)
			}
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer cancel()
			if len(seeds) == 0 {
				seeds = []uint{uint(script.Seed)}
			}
			return runDays(ctx, out, script, seeds, slack, records)
		},
	}
	f := cmd.Flags()
	f.StringVar(&from, "from", "", "scenario file of the external simulator (lbsim)")
	f.StringVar(&write, "write", "", "write the script to this file instead of running it")
	f.StringVar(&records, "records", "", "write the records of clients and engines to this file (.zst: compressed)")
	f.UintSliceVar(&seeds, "seeds", nil, "run once with each of these seeds")
	f.Float64Var(&speed, "speed", 1, "speed-up factor over the times of the script")
	f.IntVar(&size.Engines, "engines", 10, "with --from: maximum number of engines")
	f.IntVar(&size.Routers, "routers", 3, "with --from: maximum number of routers")
	f.DurationVar(&slack, "slack", 150*time.Millisecond, "tolerance added to the rules' time limits, for sockets and a busy machine")
	return cmd
}

func dayScript(args []string, from string, size day.MaxSize) (*day.Script, error) {
	switch {
	case from != "" && len(args) > 0:
		return nil, fmt.Errorf("day: give either a script or --from, not both")
	case from != "":
		return day.FromLbsim(from, size)
	case len(args) > 0:
		return day.Load(args[0])
	}
	return day.Parse("built-in day", day.BuiltInScript)
}

func runDays(ctx context.Context, out io.Writer, script *day.Script, seeds []uint, slack time.Duration, recordsFile string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	log := logging.New(os.Stderr, "text", slog.LevelWarn, 20)
	var service []float64
	failed := false
	for _, seed := range seeds {
		dir, err := os.MkdirTemp("", "mintdoor-day-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		script.Seed = uint64(seed)
		logs, err := os.Create(filepath.Join(dir, "routers.log"))
		if err != nil {
			return err
		}
		defer logs.Close()
		res, err := day.Run(ctx, script, day.Options{StartRouter: processes(self, logs), Dir: dir, Slack: slack, Log: log, Progress: out})
		if err != nil {
			return err
		}
		if err := res.Report.Print(out); err != nil {
			return err
		}
		if why := res.InvalidReason(); why != "" {
			fmt.Fprintln(out, "void:", why)
			failed = true
		}
		service = append(service, res.Report.Service)
		failed = failed || !res.Report.Passed()
		if recordsFile != "" {
			name := recordsFile
			if len(seeds) > 1 {
				name = strings.Replace(recordsFile, ".", fmt.Sprintf("-%d.", seed), 1)
			}
			if err := audit.Write(name, res.Records); err != nil {
				return err
			}
		}
		fmt.Fprintln(out)
	}
	if len(seeds) > 1 {
		mean, half := day.ConfidenceInterval(service)
		fmt.Fprintf(out, "service over %d seeds: %.3f +- %.3f (95%%)\n", len(seeds), mean, half)
	}
	if failed {
		return errReported
	}
	return nil
}

// process is a router that runs in its own process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// processes returns a function that starts routers as processes of this program.
func processes(self string, logs io.Writer) func(string) (day.Process, error) {
	return func(settings string) (day.Process, error) {
		cmd := exec.Command(self, "serve", settings)
		cmd.Env = append(os.Environ(), "MINTDOOR_MAIN=1")
		cmd.Stderr = logs
		stdout, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		p := &process{cmd: cmd, done: make(chan struct{})}
		line, err := bufio.NewReader(stdout).ReadString('\n')
		go func() { cmd.Wait(); close(p.done) }()
		if err != nil || !strings.HasPrefix(line, "listening") {
			p.Kill()
			return nil, fmt.Errorf("the router did not start: %q", line)
		}
		return p, nil
	}
}

// Kill ends the process like a crash.
func (p *process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Stop lets the router drain, and kills it if that takes longer than 5 s.
func (p *process) Stop() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(5 * time.Second):
		p.Kill()
	}
}

func auditCommand() *cobra.Command {
	var settings string
	var slack, notice time.Duration
	cmd := &cobra.Command{
		Use:   "audit RECORDS",
		Short: "Check the five rules against the records of clients and engines",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := config.Load(settings)
			if err != nil {
				return err
			}
			records, err := audit.Read(args[0])
			if err != nil {
				return err
			}
			rules := audit.Rules{AnswerGrace: set.AnswerGrace, DrainGrace: set.DrainGrace, ListInterval: set.ListInterval,
				OverloadMultiple: set.OverloadMultiple, OverloadWindow: set.OverloadWindow, HoldTimeout: set.HoldTimeout, FailoverTime: notice,
				Slack: slack, DedupWindows: map[string]time.Duration{}}
			for _, c := range set.Classes {
				rules.DedupWindows[c.Name] = time.Duration(c.DedupWindow)
			}
			rep := audit.Check(records, 0, rules)
			if err := rep.Print(cmd.OutOrStdout()); err != nil {
				return err
			}
			if !rep.Passed() {
				return errReported
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&settings, "settings", "", "settings file of the routers, for the rules' limits")
	cmd.Flags().DurationVar(&slack, "slack", 150*time.Millisecond, "tolerance added to the rules' time limits, for sockets and a busy machine")
	cmd.Flags().DurationVar(&notice, "front-notice", 2*time.Second, "how long the front layer continues to send to a dead router")
	cmd.MarkFlagRequired("settings")
	return cmd
}
