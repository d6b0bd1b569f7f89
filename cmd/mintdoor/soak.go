package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"mintdoor/internal/soak"

	"github.com/spf13/cobra"
)

// errViolated ends the command when an invariant did not hold.
var errViolated = errors.New("an invariant was violated")

func soakCommand() *cobra.Command {
	o := soak.Options{}
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run real routers of the platform under random, overlapping faults, and judge them from outside",
		Long: "Runs router processes (mintdoor node) over loopback among stand-in engines, discovery and proxies, strikes them with\n" +
			"random faults that overlap, and checks invariants by what clients, engines and discovery have seen.\n" +
			"docs/operate/soak.md tells what the faults and the invariants are.",
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
			}
			o.Progress = cmd.ErrOrStderr()
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
	f.Uint64Var(&o.Seed, "seed", 1, "draws the faults and the clients")
	f.IntVar(&o.Routers, "routers", 24, "router processes")
	f.IntVar(&o.Readers, "readers", 8, "engines that read")
	f.IntVar(&o.Writers, "writers", 10, "engines that write")
	f.DurationVar(&o.Length, "length", time.Minute, "time in which faults strike")
	f.Float64Var(&o.RequestsPerSecond, "rate", 4, "requests a second of one router, in the mean")
	f.DurationVar(&o.FaultInterval, "every", 150*time.Millisecond, "time between two faults, in the mean")
	f.DurationVar(&o.Slack, "slack", 0, "added to every time that is allowed, on a machine that is too slow")
	f.Float64Var(&o.CPUShare, "share", 0, "part of a core that each router has; 0: a whole one")
	f.StringVar(&o.LogDir, "logs", "", "folder that keeps the routers' logs")
	return c
}
