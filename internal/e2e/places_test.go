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

// ahead is the module with a place held ahead at one writer for every request.
type ahead struct {
	router.Decider
	hold decide.ServerID
}

func (m ahead) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	out = m.Decider.Handle(now, ev, out)
	for i := range out {
		if out[i].Kind == decide.Send && ev.Kind == decide.Arrived {
			return append(out, decide.Action{Kind: decide.Reserve, Request: ev.Request, Server: m.hold})
		}
	}
	return out
}

func holdAt(name string) func(router.Decider) router.Decider {
	e := discovery.Engine{Name: name}
	return func(d router.Decider) router.Decider { return ahead{d, e.ID()} }
}

// A place held ahead: the state moves there when it is read. A send there takes it; a send elsewhere gives
// it up, and the prompt is read again, since the state is only there. Either way the request is served and
// nothing stays held.
func TestPlacesAhead(t *testing.T) {
	w := newWorld(t, engines(1, 2), spec(func(s *standin.Spec) { s.ReadTokensPerSecond = 2000 }))
	r := brokenWorld(t, w, holdAt("d1"), true)
	for range 8 {
		if end := submit(t, r, 0, "price-ask"); end.Kind != router.Served || end.Tokens != 2 {
			t.Errorf("%+v", end)
		}
	}
	held, taken, given := w.seen(audit.Reserved, ""), w.seen(audit.ReservationEnded, "taken"), w.seen(audit.ReservationEnded, "given up")
	if held != 8 || taken == 0 || given == 0 || taken+given != held {
		t.Errorf("%d places were held, %d taken, %d given up", held, taken, given)
	}
	w.settled()
	w.kept()
}

// A client that leaves while its prompt is read and a place is held: both are let go.
func TestPlaceOfAClientThatLeaves(t *testing.T) {
	w := newWorld(t, spec(func(s *standin.Spec) { s.ReadTokensPerSecond = 20 }))
	r := brokenWorld(t, w, holdAt("d1"), true)
	q, err := r.Submit(&router.Job{ClientID: "q1/1", ClassName: "price-ask", Prompt: "x", PromptTokens: 1000, Tenant: 99, MaxTokens: 2,
		Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	w.eventually("the place is held", func() bool { return w.seen(audit.Reserved, "") == 1 })
	q.Abandon()
	w.settled()
	if w.seen(audit.ReservationEnded, "given up") != 1 {
		t.Error("the place was not given up")
	}
}
