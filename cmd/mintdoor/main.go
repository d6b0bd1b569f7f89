// Command mintdoor is the router and its tools. 'mintdoor help' lists the sub-commands. This package parses flags and
// reads settings; the work is done in the internal packages.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"mintdoor/internal/daemon"

	"github.com/spf13/cobra"
)

// errReported ends the program with status 1 when the error has been printed already.
var errReported = errors.New("")

func main() {
	if err := command().ExecuteContext(context.Background()); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(os.Stderr, "mintdoor:", err)
		}
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "mintdoor",
		Short:         "Router for language-model serving with prefill and decode on separate engines",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       daemon.Version,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(serveCommand(), checkCommand(), configCommand(), engineCommand(), demoCommand(), askCommand(),
		nodeCommand(), soakCommand(), dayCommand(), auditCommand(), rolesCommand(), traceCommand(), swingCommand(),
		versionCommand())
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "mintdoor", daemon.Version) },
	}
}
