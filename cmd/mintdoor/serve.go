package main

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"runtime/debug"

	"mintdoor/internal/config"
	"mintdoor/internal/daemon"
	"mintdoor/internal/logging"

	"github.com/spf13/cobra"
)

func serveCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:   "serve SETTINGS",
		Short: "Run a router until a signal: the first rejects new requests and drains, the second stops immediately",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := config.Load(args[0])
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("seed") {
				seed = randomSeed()
			}
			if os.Getenv("GOGC") == "" {
				debug.SetGCPercent(gcPercent)
			}
			log := logging.New(os.Stderr, set.LogFormat, set.LogLevel, set.LogSample)
			d, err := daemon.New(set, seed, log, nil)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "listening on %s\n", d.Addr())
			ctx, stop := untilSignal(cmd.Context(), queueSignals(), signalActions{drain: d.Drain, repeatedTerm: true})
			defer stop()
			return d.Run(ctx)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 0, "seed of the router's random choices (default: random at each start)")
	return cmd
}

// gcPercent lets the heap grow to five times the live heap. A router's live heap is a few megabytes, while each
// request allocates tens of kilobytes, so that with the default the garbage collector runs dozens of times per second
// under load, which shows in the slowest answers.
const gcPercent = 400

func randomSeed() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check SETTINGS",
		Short: "Check a settings file and print all errors in it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := config.Load(args[0])
			if err != nil {
				fmt.Fprintln(cmd.ErrOrStderr(), err)
				return errReported
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is sound: model %s on %s, %d classes, %d kinds of engines, %d tenants\n",
				args[0], set.Model, set.Listen, len(set.Classes), len(set.Kinds), len(set.Tenants))
			return nil
		},
	}
}

func configCommand() *cobra.Command {
	var defaults bool
	cmd := &cobra.Command{
		Use:   "config --defaults",
		Short: "Print every setting with its default and its meaning",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !defaults {
				return fmt.Errorf("config: --defaults is required")
			}
			return config.WriteDefaults(cmd.OutOrStdout())
		},
	}
	cmd.Flags().BoolVar(&defaults, "defaults", false, "print every setting with its default")
	return cmd
}
