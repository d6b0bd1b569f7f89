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
		Short: "Run a router on the platform, configured by PROXY_CONFIG and other variables, until a signal",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := queueSignals(syscall.SIGHUP)
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

// nodeLogSample is the maximum number of log lines per second for one message.
const nodeLogSample = 50
