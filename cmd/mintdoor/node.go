package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"mintdoor/internal/logging"
	"mintdoor/internal/node"

	"github.com/spf13/cobra"
)

func nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run a router on the platform, as the variables PROXY_CONFIG and others tell, until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// Before anything else: a signal that nobody takes would end the program.
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
			defer signal.Stop(signals)
			cfg, err := node.Load(os.Getenv)
			if err != nil {
				return err
			}
			cfg.Limit()
			n, err := node.New(cfg, logging.New(os.Stderr, "text", slog.LevelInfo, nodeLogSample))
			if err != nil {
				return err
			}
			ctx, cancel := context.WithCancel(cmd.Context())
			defer cancel()
			go func() {
				for {
					select {
					case <-ctx.Done():
						return
					case s := <-signals:
						if s == syscall.SIGHUP {
							n.Reload()
						} else {
							n.Drain()
						}
					}
				}
			}()
			return n.Run(ctx)
		},
	}
}

// nodeLogSample is how many lines a second of one message are written.
const nodeLogSample = 50
