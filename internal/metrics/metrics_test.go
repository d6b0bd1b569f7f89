package metrics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mintdoor/internal/router"
	"mintdoor/roles"
)

func TestMetrics(t *testing.T) {
	s := New(func() router.Stats { return router.Stats{Served: 7, Refused: 2, Open: 3, Engines: 12} })
	m := s.NewRoleMetrics()
	m.ChangeEnded(&roles.ChangeResult{To: roles.Decode, Succeeded: true, Elapsed: 6 * time.Second}, 4)
	m.ChangeEnded(&roles.ChangeResult{To: roles.Prefill, Elapsed: 2 * time.Second}, 4)
	m.PlanMade(&roles.PlanReport{Plan: roles.Plan{ServedNow: 0.8, ServedAfter: 0.9}, Verdict: roles.Verdict{Confidence: 0.7}}, 0.002)
	m.SetEngines([]roles.Status{{Known: true, State: roles.RoleState{Role: roles.Decode}, Step: "idle"}, {Step: "idle"}})
	m.ObservationDropped()
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body, err := io.ReadAll(w.Result().Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`mintdoor_requests_total{ending="served"} 7`, `mintdoor_requests_total{ending="refused"} 2`, `mintdoor_requests_open 3`,
		`mintdoor_engines_ready 12`, `mintdoor_role_changes_total{result="done",to="decode"} 1`,
		`mintdoor_role_changes_total{result="done",to="prefill"} 0`, `mintdoor_role_changes_total{result="failed",to="prefill"} 1`,
		`mintdoor_role_engine_seconds_lost_total{by="away",to="decode"} 6`, `mintdoor_role_engine_seconds_lost_total{by="cold",to="decode"} 4`,
		`mintdoor_role_engine_seconds_lost_total{by="away",to="prefill"} 2`, `mintdoor_role_engines{role="decode",step="idle"} 1`,
		`mintdoor_role_plan_served_ratio{roles="planned"} 0.9`, `mintdoor_role_plan_confidence 0.7`, `mintdoor_role_unseen_total 1`,
	} {
		if !strings.Contains(string(body), want+"\n") {
			t.Errorf("%s is missing", want)
		}
	}
	if strings.Contains(string(body), `by="cold",to="prefill"`) {
		t.Error("a failed change has a slow-start cost")
	}
	var none *RoleMetrics // metrics are disabled
	none.ChangeEnded(&roles.ChangeResult{}, 0)
	none.ObservationDropped()
	none.SetEngines(nil)
	none.PlanMade(&roles.PlanReport{}, 0)
}
