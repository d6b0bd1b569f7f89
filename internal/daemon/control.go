package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// ControlAddr returns the address that the control server listens on, or "" if there is none.
func (d *Daemon) ControlAddr() string {
	if d.control == nil {
		return ""
	}
	return d.control.Addr().String()
}

// serveControl serves the router's state as JSON and its metrics in Prometheus' text format. It reads snapshots only,
// so that no query delays a routing decision.
func (d *Daemon) serveControl(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, d.Router.Stats()) })
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET /roles", func(w http.ResponseWriter, r *http.Request) {
		if d.shift == nil {
			http.Error(w, `{"error":"roles are not shifted here (setting shift)"}`, http.StatusNotFound)
			return
		}
		writeJSON(w, d.shift.Status())
	})
	const timeout = 5 * time.Second
	s := &http.Server{Handler: mux, ReadTimeout: timeout, WriteTimeout: timeout, MaxHeaderBytes: 8 << 10}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(d.control); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// writeJSON answers with a value as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
