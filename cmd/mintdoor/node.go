package main

import (
	"log/slog"
	"os"
	"syscall"

	"mintdoor/internal/logging"
	"mintdoor/internal/node"

	"github.com/spf13/cobra"
)

func nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run a router on the platform, as the variables PROXY_CONFIG and others tell, until a signal",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := takeSignals(syscall.SIGHUP)
			cfg, err := node.Load(os.Getenv)
			if err != nil {
				return err
			}
			cfg.ApplyLimits()
			n, err := node.New(cfg, logging.New(os.Stderr, "text", slog.LevelInfo, nodeLogSample))
			if err != nil {
				return err
			}
			ctx, stop := untilSignal(cmd.Context(), signals, signalActions{drain: n.Drain, reload: n.Reload})
			defer stop()
			return n.Run(ctx)
		},
	}
}

// nodeLogSample is how many lines a second of one message are written.
const nodeLogSample = 50
