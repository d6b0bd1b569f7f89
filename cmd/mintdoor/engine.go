package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/logging"
	standin "mintdoor/internal/standin/engine"

	"github.com/spf13/cobra"
)

func engineCommand() *cobra.Command {
	var (
		name, listen, role, cell string
		seed                     uint64
		cold                     bool
		slots, queue, memory     int
		read, speed              float64
		duration                 time.Duration
	)
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in engine that reads or writes at the speed of a simple performance model",
		Long: "Run a stand-in engine. It speaks the engines' protocol (docs/engine-protocol.md) and simulates faults that\n" +
			"are posted to /control/fault, such as {\"kind\":\"slow\",\"for\":5000000000,\"size\":4}.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var spec standin.Spec
			switch role {
			case "prefill":
				spec = standin.Prefill()
			case "decode":
				spec = standin.Decode()
			case "both":
				spec = standin.Decode()
				spec.Role = decide.Both
			default:
				return fmt.Errorf("engine: found role %q, expected prefill, decode or both", role)
			}
			if speed <= 0 {
				return fmt.Errorf("engine: found speed %v, expected more than 0", speed)
			}
			set := func(flag string, put func()) {
				if cmd.Flags().Changed(flag) {
					put()
				}
			}
			set("slots", func() { spec.MaxRunning = slots })
			set("queue", func() { spec.MaxQueued = queue })
			set("memory", func() { spec.MemoryTokens = memory })
			set("read", func() { spec.ReadTokensPerSecond = read })
			spec.SpeedUp(speed)
			log := logging.New(os.Stderr, "text", slog.LevelInfo, 100)
			e := standin.New(standin.Config{Name: name, Addr: listen, Cell: cell, Spec: spec, Seed: seed, StartCold: cold, Log: log}, nil)
			if err := e.Start(); err != nil {
				return err
			}
			defer e.Close()
			fmt.Fprintf(cmd.OutOrStdout(), "engine %s (%s) listening on %s\n", name, role, e.Addr())
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer cancel()
			if duration > 0 {
				ctx, cancel = context.WithTimeout(ctx, duration)
				defer cancel()
			}
			<-ctx.Done()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&name, "name", "engine", "name of the engine")
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&role, "role", "both", "prefill, decode or both")
	f.StringVar(&cell, "cell", "", "cell (rack) of the engine")
	f.Uint64Var(&seed, "seed", 1, "seed of its random choices")
	f.BoolVar(&cold, "cold", false, "start cold, as after a restart")
	f.IntVar(&slots, "slots", 0, "maximum number of running requests (default: that of the role)")
	f.IntVar(&queue, "queue", 0, "maximum number of queued requests (default: that of the role)")
	f.IntVar(&memory, "memory", 0, "memory in tokens (default: that of the role)")
	f.Float64Var(&read, "read", 0, "prompt tokens read per second (default: that of the role)")
	f.Float64Var(&speed, "speed", 1, "speed-up factor over the performance model")
	f.DurationVar(&duration, "for", 0, "stop after this time; 0: at a signal")
	return cmd
}
