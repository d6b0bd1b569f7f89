package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"mintdoor/internal/shift"
	"mintdoor/roles"

	"github.com/spf13/cobra"
)

func rolesCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "roles",
		Short: "Show the planned engine roles, the role changes in progress, and why an engine is not changed now",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client := &http.Client{Timeout: 5 * time.Second}
			resp, err := client.Get("http://" + addr + "/roles")
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
			if err != nil {
				return err
			}
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s: %s", resp.Status, body)
			}
			var st *shift.Status
			if err := json.Unmarshal(body, &st); err != nil || st == nil {
				return fmt.Errorf("the router at %s has no plan yet (%v)", addr, err)
			}
			return printRoles(cmd.OutOrStdout(), st)
		},
	}
	cmd.Flags().StringVar(&addr, "control", "127.0.0.1:8081", "control address of the router")
	return cmd
}

var stageNames = map[roles.Stage]string{roles.Prefill: "prefill", roles.Decode: "decode"}

func printRoles(out io.Writer, st *shift.Status) error {
	p := &st.Plan
	fmt.Fprintf(out, "shift %s; asked a second: %.0f +- %.0f tokens to read, %.0f +- %.0f to write\n", st.Mode, p.Demand[roles.Prefill].Mean,
		p.Demand[roles.Prefill].SD, p.Demand[roles.Decode].Mean, p.Demand[roles.Decode].SD)
	fmt.Fprintf(out, "expected to be served in time: %.3f, with %d changes %.3f; confidence %.2f: %s\n\n", p.Plan.ServedNow, len(p.Plan.Moves), p.Plan.ServedAfter,
		p.Verdict.Confidence, p.Verdict.Reason)
	planned := map[uint64]string{}
	for _, m := range p.Plan.Moves {
		planned[m.Engine] = stageNames[m.To]
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "engine\trole\tepoch\tstep\tplanned\twhy not now")
	for _, e := range st.Engines {
		role := "?"
		if e.Known {
			role = stageNames[e.State.Role]
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\n", e.Name, role, e.State.Epoch, e.Step, planned[e.Engine], e.BlockedReason)
	}
	return t.Flush()
}
