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

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// An engine that starts is locked while it tells the fleet. The keeper of the list must not ask it anything then:
// each would wait for the other, and the list for both.
func TestListIsKeptWhileAnEngineStarts(t *testing.T) {
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
	go f.goneUnlessBack(m, 0, func(*Member) { gone.Store(true) })
	eventually.Is(t, "the change of the list", gone.Load, func() any { return "the engine starts" })
}

// What has come back since is not taken off the list; what has not is.
func TestWhoIsBackStaysListed(t *testing.T) {
	for _, back := range []bool{true, false} {
		f := &Fleet{change: make(chan struct{}, 1)} // without its keeper: changes are carried out here
		m := &Member{Name: "e1", listed: true}
		f.goneUnlessBack(m, 0, func(m *Member) { m.listed = false })
		if back {
			f.started(m, time.Now())
		}
		f.due[0].do(m)
		if m.listed != back {
			t.Errorf("back %v: listed %v", back, m.listed)
		}
	}
}
