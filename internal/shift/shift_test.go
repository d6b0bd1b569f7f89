package shift

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/config"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedEngines is an EngineClient whose engines report the role that the test sets.
type scriptedEngines struct {
	mu   sync.Mutex
	role engine.Role
}

func (w *scriptedEngines) setRole(r engine.Role) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.role = r
}

func (w *scriptedEngines) Role(context.Context, string) (engine.Role, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.role, nil
}

func (w *scriptedEngines) ChangeRole(context.Context, string, *engine.RoleChange) (engine.Role, bool, error) {
	return w.role, false, nil
}

func (w *scriptedEngines) CancelRoleChange(context.Context, string, *engine.RoleChangeCancel) (engine.Role, bool, error) {
	return w.role, false, nil
}

// staticSource is a source whose list never changes.
type staticSource []discovery.Engine

func (s staticSource) Run(ctx context.Context, notify func(discovery.Update)) error {
	notify(discovery.Update{Engines: s})
	<-ctx.Done()
	return nil
}

// The role that an engine reports takes precedence over the list: it is listed as draining while it is changing, and
// afterwards under the other kind as just started, however long the list shows the old role.
func TestReportedRoleOverridesList(t *testing.T) {
	set, err := config.Parse("x", "list x\nshift dry\nshift-look 1ms\nclass a\nkind p\nrole prefill\nbecomes d\ncapacity 10k\n"+
		"kind d\nrole decode\nbecomes p\ncapacity 1k\n")
	if err != nil {
		t.Fatal(err)
	}
	list := staticSource{{Name: "e", Addr: "x:1", Kind: "p", State: decide.Ready, Weight: 1}}
	engines := &scriptedEngines{}
	engines.setRole(engine.Role{Role: engine.StagePrefill, Epoch: 1, Phase: engine.PhaseSteady})
	d := New(set, list, engines, "r", slog.New(slog.DiscardHandler), nil)
	updates := make(chan discovery.Update, 100)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx, func(u discovery.Update) { updates <- u }) }()
	until := func(what string, ok func(e *discovery.Engine) bool) {
		t.Helper()
		for {
			select {
			case u := <-updates:
				if ok(&u.Engines[0]) {
					return
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("not listed: %s", what)
			}
		}
	}
	until("as it stands", func(e *discovery.Engine) bool { return e.Kind == "p" && e.State == decide.Ready })
	engines.setRole(engine.Role{Role: engine.StagePrefill, Epoch: 1, Phase: engine.PhaseEmptying, To: engine.StageDecode})
	until("draining on its way", func(e *discovery.Engine) bool { return e.Kind == "p" && e.State == decide.Draining })
	changed := time.Now()
	engines.setRole(engine.Role{Role: engine.StageDecode, Epoch: 2, Phase: engine.PhaseSteady, Since: changed})
	until("in its new role and cold", func(e *discovery.Engine) bool {
		return e.Kind == "d" && e.State == decide.Ready && e.StartedAt.Equal(changed)
	})
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
