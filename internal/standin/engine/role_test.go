package engine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"

	"go.uber.org/goleak"
)

// TestMain checks that no test leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newServerWithTwoRoles starts an engine that reads and can change to writing.
func newServerWithTwoRoles(t *testing.T) (*Server, *engine.Client) {
	t.Helper()
	read, write := Prefill(), Decode()
	read.ReadTokensPerSecond, write.StepTime = 2000, time.Millisecond
	s := New(Config{Name: "e", Addr: "127.0.0.1:0", Spec: read, OtherRole: &write,
		RoleChangeTime: 10 * time.Millisecond, Seed: 1}, nil)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	c := engine.New(engine.Options{DialTimeout: time.Second, MaxConns: 50, StreamIdleTimeout: time.Second,
		ReleaseTimeout: time.Second, ProbeTimeout: 5 * time.Second})
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c
}

// readCall returns a read of 200 prompt tokens.
func readCall(id string) *engine.Call {
	return &engine.Call{ID: id, Model: "m", Prompt: "x", Params: engine.Params{Stage: engine.StagePrefill, Request: "r-1." + id,
		PromptTokens: 200, HoldMillis: 50}}
}

// awaitRole polls the engine's role until ok accepts it.
func awaitRole(t *testing.T, s *Server, c *engine.Client, what string, ok func(engine.Role) bool) engine.Role {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		r, err := c.Role(t.Context(), s.Addr())
		if err == nil && ok(r) {
			return r
		}
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s; %+v, %v", what, r, err)
		}
	}
}

// steady reports whether no role change is in progress.
func steady(r engine.Role) bool { return r.Phase == engine.PhaseSteady }

// TestRoleChange checks that one of several requests for a role change is granted, that the engine refuses new work
// while it empties, and that it restarts cold in the new role.
func TestRoleChange(t *testing.T) {
	s, c := newServerWithTwoRoles(t)
	r, err := c.Role(t.Context(), s.Addr())
	if err != nil || r.Role != engine.StagePrefill || r.Epoch != 1 || !steady(r) || !r.CanChange {
		t.Fatalf("the initial role is %+v, error %v", r, err)
	}
	running := make(chan engine.Result, 1)
	go func() { running <- c.Prefill(t.Context(), s.Addr(), readCall("a")) }()
	for n := 0; n == 0; n, _ = s.Occupancy() {
		time.Sleep(time.Millisecond)
	}
	// Of several concurrent requests exactly one is granted, and a request with an old epoch never is.
	granted := make(chan bool, 8)
	for i := range 8 {
		go func() {
			_, ok, err := c.ChangeRole(t.Context(), s.Addr(),
				&engine.RoleChange{To: engine.StageDecode, Epoch: uint64(i % 2), Router: fmt.Sprint(i)})
			if err != nil {
				t.Error(err)
			}
			granted <- ok
		}()
	}
	n := 0
	for range 8 {
		if <-granted {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d requests were granted the same change", n)
	}
	if res := c.Prefill(t.Context(), s.Addr(), readCall("b")); res.Outcome != decide.Full {
		t.Errorf("new work at an emptying engine: outcome %d, %v", res.Outcome, res.Err)
	}
	if res := <-running; res.Outcome != decide.ReadDone {
		t.Errorf("running read: outcome %d, %v", res.Outcome, res.Err)
	}
	r = awaitRole(t, s, c, "the writing role", func(r engine.Role) bool { return r.Role == engine.StageDecode && steady(r) })
	if r.Epoch != 2 || time.Since(r.Since) > time.Minute {
		t.Errorf("%+v", r)
	}
	s.mu.Lock()
	capacity := s.process.model.capacityFraction(time.Now())
	s.mu.Unlock()
	if capacity > 0.9 {
		t.Errorf("the engine restarted warm: %.2f of its capacity", capacity)
	}
	if res := c.Prefill(t.Context(), s.Addr(), readCall("c")); res.Outcome != decide.Full {
		t.Errorf("read at a writer: outcome %d", res.Outcome)
	}
	if _, ok, _ := c.ChangeRole(t.Context(), s.Addr(), &engine.RoleChange{To: engine.StagePrefill, Epoch: 1}); ok {
		t.Error("a change from an old epoch was granted")
	}
	if _, ok, _ := c.ChangeRole(t.Context(), s.Addr(), &engine.RoleChange{To: engine.StagePrefill, Epoch: 2}); !ok {
		t.Error("the change back was refused")
	}
	awaitRole(t, s, c, "the reading role", func(r engine.Role) bool { return r.Role == engine.StagePrefill && r.Epoch == 3 })
}

// TestRoleChangeIsCancelled checks that a granted change can be cancelled while the engine empties, but only once.
func TestRoleChangeIsCancelled(t *testing.T) {
	s, c := newServerWithTwoRoles(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan engine.Result, 1)
	q := readCall("a")
	q.Params.PromptTokens = 20000 // takes ten seconds to read: the engine does not become empty by itself
	go func() { done <- c.Prefill(ctx, s.Addr(), q) }()
	for n := 0; n == 0; n, _ = s.Occupancy() {
		time.Sleep(time.Millisecond)
	}
	c.ChangeRole(t.Context(), s.Addr(), &engine.RoleChange{To: engine.StageDecode, Epoch: 1})
	if r, ok, err := c.CancelRoleChange(t.Context(), s.Addr(), &engine.RoleChangeCancel{Epoch: 1}); !ok ||
		err != nil || !steady(r) || r.Role != engine.StagePrefill {
		t.Errorf("cancelling the change returned %+v, %v, error %v", r, ok, err)
	}
	if _, ok, _ := c.CancelRoleChange(t.Context(), s.Addr(), &engine.RoleChangeCancel{Epoch: 1}); ok {
		t.Error("a change that does not exist was cancelled")
	}
	cancel()
	<-done
}

// TestFailingRoleChanges checks the role and the epoch after each fault of a role change.
func TestFailingRoleChanges(t *testing.T) {
	for _, c := range []struct {
		fault string
		grant bool
		role  string
		epoch uint64
	}{
		{"role_refuse", false, engine.StagePrefill, 1},
		{"role_old", true, engine.StagePrefill, 1},
		{"role_die", true, engine.StagePrefill, 1},
		{"role_hang", true, engine.StageDecode, 2},
	} {
		t.Run(c.fault, func(t *testing.T) {
			s, client := newServerWithTwoRoles(t)
			if err := s.InjectFault(Fault{Kind: c.fault, Duration: time.Hour, Size: 0.001}); err != nil {
				t.Fatal(err)
			}
			if _, ok, err := client.ChangeRole(t.Context(), s.Addr(),
				&engine.RoleChange{To: engine.StageDecode, Epoch: 1}); ok != c.grant || err != nil {
				t.Fatalf("the change was granted: %v; error %v", ok, err)
			}
			if c.fault == "role_hang" {
				awaitRole(t, s, client, "the changing phase", func(r engine.Role) bool { return r.Phase == engine.PhaseChanging })
				s.ClearFaults("")
			}
			awaitRole(t, s, client, "the steady phase", func(r engine.Role) bool {
				return steady(r) && r.Role == c.role && r.Epoch == c.epoch && (c.fault != "role_die" || !r.Since.IsZero())
			})
		})
	}
}
