package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"mintdoor/internal/front"
	"mintdoor/internal/kserve"

	"github.com/spf13/cobra"
)

func askCommand() *cobra.Command {
	var (
		addr, model, class, tenant, session string
		maxTokens                           int
		timeout                             time.Duration
	)
	cmd := &cobra.Command{
		Use:   "ask QUESTION",
		Short: "Ask a router and print the answer as it streams",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p := kserve.Parameters{}
			for name, v := range map[string]string{front.ParamClass: class, front.ParamTenant: tenant, front.ParamSession: session} {
				if v != "" {
					p[name] = v
				}
			}
			if maxTokens > 0 {
				p[front.ParamMaxTokens] = maxTokens
			}
			if timeout > 0 {
				p[front.ParamDeadline] = timeout.Milliseconds()
			}
			return ask(cmd.Context(), cmd.OutOrStdout(), addr, model, &kserve.GenerateRequest{ID: "ask",
				TextInput: strings.Join(args, " "), Parameters: p})
		},
	}
	f := cmd.Flags()
	f.StringVar(&addr, "addr", "127.0.0.1:8080", "address of the router")
	f.StringVar(&model, "model", "helpline", "model to ask")
	f.StringVar(&class, "class", "", "class of the request")
	f.StringVar(&tenant, "tenant", "", "tenant of the request")
	f.StringVar(&session, "session", "", "session of the request")
	f.IntVar(&maxTokens, "max-tokens", 0, "output limit in tokens; 0: that of the class")
	f.DurationVar(&timeout, "within", 0, "deadline for the first token; 0: that of the class")
	return cmd
}

// ask sends a question to a router and streams the answer to out.
func ask(ctx context.Context, out io.Writer, addr, model string, q *kserve.GenerateRequest) error {
	body, err := json.Marshal(q)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v2/models/"+model+"/generate_stream",
		bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var e kserve.ErrorResponse
		if kserve.Decode(io.LimitReader(resp.Body, 1<<16), &e) != nil {
			e.Error = "the router gave no reason"
		}
		if after := resp.Header.Get("Retry-After"); after != "" {
			e.Error += " (retry after " + after + " s)"
		}
		return fmt.Errorf("%s: %s", resp.Status, e.Error)
	}
	events := kserve.NewEventReader(resp.Body, 1<<20)
	for {
		data, err := events.Next()
		if err != nil {
			return fmt.Errorf("the answer was interrupted: %w", err)
		}
		var ev kserve.GenerateResponse
		if err := json.Unmarshal(data, &ev); err != nil {
			return err
		}
		switch {
		case ev.Error != "":
			fmt.Fprintln(out)
			return fmt.Errorf("the answer was interrupted: %s", ev.Error)
		case ev.Details != nil:
			fmt.Fprintf(out, "\n[%s]\n", ev.Details.FinishReason)
			return nil
		}
		fmt.Fprint(out, ev.TextOutput)
	}
}
