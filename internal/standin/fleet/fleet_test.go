package fleet

import (
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"mintdoor/internal/eventually"
	standin "mintdoor/internal/standin/engine"

	"go.uber.org/goleak"
)

// TestMain checks that no test leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestListIsWrittenWhileAnEngineStarts guards against a deadlock. An engine that starts is locked while it notifies
// the fleet. If the goroutine that maintains the list called the engine at that time, each would wait for the other,
// and all changes of the list would wait for both.
func TestListIsWrittenWhileAnEngineStarts(t *testing.T) {
	f, err := Start(Config{ListPath: filepath.Join(t.TempDir(), "engines.list")})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	locked, release := make(chan bool), make(chan bool)
	m := &Member{Name: "e1"}
	m.Engine = standin.New(standin.Config{Name: "e1", Addr: "127.0.0.1:0", Spec: standin.Prefill()}, func(time.Time) {
		close(locked)
		<-release
	})
	started := make(chan error, 1)
	go func() { started <- m.Engine.Start() }()
	<-locked
	defer func() {
		close(release)
		if err := <-started; err != nil {
			t.Error(err)
		}
		m.Engine.Close()
	}()
	var gone atomic.Bool
	go f.unlistUnlessRestarted(m, 0, func(*Member) { gone.Store(true) })
	eventually.Is(t, "the change of the list", gone.Load, func() any { return "the engine is still starting" })
}

// TestRestartedEngineStaysListed checks that an engine that has restarted in the meantime is not taken off the list,
// and that one that has not is.
func TestRestartedEngineStaysListed(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		f := &Fleet{wake: make(chan struct{}, 1)} // without its maintaining goroutine: the test applies the changes
		m := &Member{Name: "e1", listed: true}
		f.unlistUnlessRestarted(m, 0, func(m *Member) { m.listed = false })
		if restarted {
			f.engineRestarted(m, time.Now())
		}
		f.pending[0].apply(m)
		if m.listed != restarted {
			t.Errorf("restarted %v: listed %v", restarted, m.listed)
		}
	}
}
