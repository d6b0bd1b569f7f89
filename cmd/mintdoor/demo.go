package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"mintdoor/internal/config"
	"mintdoor/internal/daemon"
	"mintdoor/internal/kserve"
	"mintdoor/internal/logging"
	standin "mintdoor/internal/standin/engine"
	"mintdoor/internal/standin/fleet"
	"mintdoor/internal/standin/spread"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// demoSettings are the settings of each router of the demo.
const demoSettings = `
list engines.list
list-every 50ms
routers 2
log-level warn
class rate-check
    aim 1s
    deadline 4s
    worth 3
class rule-explain
    aim 1.5s
    deadline 6s
    token-aim 70ms
kind prefill
    role prefill
    memory 240k
kind decode
    role decode
    memory 160k
`

func demoCommand() *cobra.Command {
	var listen string
	var duration time.Duration
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run stand-in engines, two routers and a front layer in one process, and ask them a few questions",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer cancel()
			if duration > 0 {
				ctx, cancel = context.WithTimeout(ctx, duration)
				defer cancel()
			}
			return demo(ctx, cmd.OutOrStdout(), listen)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address of the first router's front")
	cmd.Flags().DurationVar(&duration, "for", 0, "stop after this time; 0: when interrupted")
	return cmd
}

func demo(ctx context.Context, out io.Writer, listen string) (err error) {
	dir, err := os.MkdirTemp("", "mintdoor-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	log := logging.New(os.Stderr, "text", slog.LevelWarn, 20)
	engines, err := fleet.Start(fleet.Config{
		Groups: []fleet.Group{{Prefix: "prefill-", Kind: "prefill", Count: 3, Spec: standin.Prefill()},
			{Prefix: "decode-", Kind: "decode", Count: 4, Spec: standin.Decode()}},
		Cells: []string{"rack-a", "rack-b"}, ListPath: filepath.Join(dir, "engines.list"), LinkTokensPerSecond: 400e3,
		CrashListDelay: 2 * time.Second, UnresponsiveListDelay: 5 * time.Second, StartListDelay: time.Second, Seed: 1, Log: log})
	if err != nil {
		return err
	}
	defer engines.Close()
	for _, m := range engines.Members() {
		fmt.Fprintf(out, "engine   %-10s http://%s\n", m.Name, m.Engine.Addr())
	}
	path := filepath.Join(dir, "router.conf")
	if err := os.WriteFile(path, []byte(demoSettings), 0o600); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	defer func() {
		cancel()
		if e := g.Wait(); err == nil {
			err = e
		}
	}()
	var routers []*daemon.Daemon
	var addrs []string
	for i := range 2 {
		set, err := config.Load(path)
		if err != nil {
			return err
		}
		set.Name, set.Index, set.Listen = fmt.Sprintf("router-%d", i+1), i, "127.0.0.1:0"
		if i == 0 {
			set.Listen = listen
		}
		d, err := daemon.New(set, uint64(i+1), log, nil)
		if err != nil {
			return err
		}
		g.Go(func() error { return d.Run(ctx) })
		routers, addrs = append(routers, d), append(addrs, d.Addr())
		fmt.Fprintf(out, "router   %-10s http://%s\n", set.Name, d.Addr())
	}
	layer, err := spread.Start(addrs, time.Second)
	if err != nil {
		return err
	}
	g.Go(func() error { return layer.Run(ctx) })
	fmt.Fprintf(out, "clients  %-10s http://%s\n\n", "front layer", layer.Addr())
	for _, d := range routers {
		for !d.Router.Ready() {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	for _, question := range []string{"What is the rate of onions in the mandi today?", "When does the auction begin?",
		"Who pays the weighing fee?"} {
		fmt.Fprintf(out, "> %s\n", question)
		err := ask(ctx, out, layer.Addr(), "helpline", &kserve.GenerateRequest{ID: "demo", TextInput: question,
			Parameters: kserve.Parameters{"session": "demo", "max_tokens": 40}})
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "\nTry it yourself:\n\n  curl -N http://%s/v2/models/helpline/generate_stream \\\n"+
		"    -d '{\"id\":\"1\",\"text_input\":\"What is the rate of onions?\",\"parameters\":{\"max_tokens\":20}}'\n\n", addrs[0])
	<-ctx.Done()
	return nil
}
