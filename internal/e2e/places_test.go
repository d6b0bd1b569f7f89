package e2e

import (
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/audit"
	"mintdoor/internal/discovery"
	"mintdoor/internal/router"
	standin "mintdoor/internal/standin/engine"
)

// reservesAlways is the decision module with a reservation at one writer for every request.
type reservesAlways struct {
	router.Decider
	writer decide.ServerID
}

func (m reservesAlways) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	out = m.Decider.Handle(now, ev, out)
	for i := range out {
		if out[i].Kind == decide.Send && ev.Kind == decide.Arrived {
			return append(out, decide.Action{Kind: decide.Reserve, Request: ev.Request, Server: m.writer})
		}
	}
	return out
}

// reserveAt returns a function that adds a reservation at the named engine to a module.
func reserveAt(name string) func(router.Decider) router.Decider {
	e := discovery.Engine{Name: name}
	return func(d router.Decider) router.Decider { return reservesAlways{d, e.ID()} }
}

// With a reservation the KV state moves to the writer when the read ends. A send to that writer uses it. A send to
// another one cancels it, and the prompt is read again, as the KV state is only at the first. Either way the request
// is served and nothing stays held.
func TestReservations(t *testing.T) {
	h := newHarness(t, engineCounts(1, 2), changeSpecs(func(s *standin.Spec) { s.ReadTokensPerSecond = 2000 }))
	r := startBrokenRouter(t, h, reserveAt("d1"), true)
	for range 8 {
		if end := submit(t, r, 0, "price-ask"); end.Kind != router.Served || end.Tokens != 2 {
			t.Errorf("%+v", end)
		}
	}
	reserved, used, cancelled := h.countRecords(audit.Reserved, ""), h.countRecords(audit.ReservationEnded, "taken"), h.countRecords(audit.ReservationEnded, "given up")
	if reserved != 8 || used == 0 || cancelled == 0 || used+cancelled != reserved {
		t.Errorf("%d reservations, %d used, %d cancelled", reserved, used, cancelled)
	}
	h.waitUntilIdle()
	h.checkRules()
}

// If the client leaves during the read, with a reservation, both are released.
func TestReservationOfClientThatLeaves(t *testing.T) {
	h := newHarness(t, changeSpecs(func(s *standin.Spec) { s.ReadTokensPerSecond = 20 }))
	r := startBrokenRouter(t, h, reserveAt("d1"), true)
	q, err := r.Submit(&router.Job{ClientID: "q1/1", ClassName: "price-ask", Prompt: "x", PromptTokens: 1000, Tenant: 99, MaxTokens: 2,
		Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	h.eventually("the reservation is made", func() bool { return h.countRecords(audit.Reserved, "") == 1 })
	q.Abandon()
	h.waitUntilIdle()
	if h.countRecords(audit.ReservationEnded, "given up") != 1 {
		t.Error("the reservation was not cancelled")
	}
}
