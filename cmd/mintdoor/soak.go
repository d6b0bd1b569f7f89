package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"mintdoor/internal/soak"

	"github.com/spf13/cobra"
)

// errViolated ends the command when an invariant was violated.
var errViolated = errors.New("an invariant was violated")

func soakCommand() *cobra.Command {
	o := soak.Options{}
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run router processes under random, overlapping faults, and check invariants from outside",
		Long: "Runs router processes (mintdoor node) over loopback with stand-in engines, discovery and proxies, injects random,\n" +
			"overlapping faults, and checks invariants by what clients, engines and discovery have seen.\n" +
			"docs/operate/soak.md describes the faults and the invariants.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.Program = soak.Program{Path: self, Args: []string{"node"}}
			if o.ConfigDir, err = os.MkdirTemp("", "mintdoor-soak-"); err != nil {
				return err
			}
			defer os.RemoveAll(o.ConfigDir)
			if o.LogDir != "" {
				if err := os.MkdirAll(o.LogDir, 0o755); err != nil {
					return err
				}
				faults, err := os.Create(filepath.Join(o.LogDir, "faults.log"))
				if err != nil {
					return err
				}
				defer faults.Close()
				o.Log = slog.New(slog.NewTextHandler(faults, nil))
			}
			o.Progress, o.CheckMemory = cmd.ErrOrStderr(), true
			report, err := soak.Run(cmd.Context(), o)
			if err != nil {
				return fmt.Errorf("soak: %w", err)
			}
			report.Print(cmd.OutOrStdout())
			if len(report.Findings) > 0 {
				return errViolated
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the random faults and clients")
	f.IntVar(&o.Routers, "routers", 24, "number of router processes")
	f.IntVar(&o.Readers, "readers", 8, "number of engines that read (prefill)")
	f.IntVar(&o.Writers, "writers", 10, "number of engines that write (decode)")
	f.DurationVar(&o.Length, "length", time.Minute, "time during which faults are injected")
	f.Float64Var(&o.RequestsPerSecond, "rate", 4, "mean requests per second to one router")
	f.DurationVar(&o.FaultInterval, "every", 150*time.Millisecond, "mean time between two faults")
	f.DurationVar(&o.Slack, "slack", 0, "tolerance added to every time limit, for a slow machine")
	f.Float64Var(&o.CPUShare, "share", 0, "fraction of a core that each router may use; 0: a whole core")
	f.StringVar(&o.LogDir, "logs", "", "folder in which to keep the logs of routers and faults")
	return c
}
