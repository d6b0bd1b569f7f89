package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mintdoor/internal/discovery/watch"
)

// drained waits for the node's end and checks that nothing is left of it.
func (w *world) drained() {
	w.t.Helper()
	if err := <-w.done; err != nil {
		w.t.Error(err)
	}
	if n := w.held(); n != 0 {
		w.t.Errorf("%d states are left", n)
	}
}

// After SIGTERM a read ends, its stream begins and ends: all of it is passed on, and the client has its whole answer.
func TestRequestsGoOnInTheDrain(t *testing.T) {
	w := start(t, nil)
	w.mu.Lock()
	w.readGate = make(chan bool)
	w.mu.Unlock()
	c := w.dial()
	c.ask("a")
	w.eventually("it is read", func() bool { return w.open(reader) == 1 })
	w.node.Drain()
	w.eventually("it drains", func() bool { return strings.Contains(w.log.String(), "msg=draining") })
	w.readGate <- true
	w.eventually("it is written", func() bool { return w.open(writer) == 1 })
	w.gate <- true
	if code, closes := c.answer(t); code != 200 || !closes {
		t.Errorf("status %d, closes %v", code, closes)
	}
	if _, err := c.br.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v", err)
	}
	w.drained()
}

// In the drain discovery falls silent, and a new configuration comes: neither takes anything from what is open.
func TestDiscoveryAndReloadInTheDrain(t *testing.T) {
	w := start(t, nil)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(EnvConfig, path)
	c := w.dial()
	c.ask("a")
	w.eventually("it is written", func() bool { return w.open(writer) == 1 })
	w.node.Drain()
	w.node.Drain() // a second SIGTERM
	w.agent.CloseClientConnections()
	w.agent.Listener.Close()
	other, asked := w.newAgent()
	defer other.Close()
	if err := os.WriteFile(path, []byte(configJSON(t, other.Listener.Addr().String())), 0o600); err != nil {
		t.Fatal(err)
	}
	w.node.Reload()
	w.eventually("the other agent is asked", func() bool { return asked.Load() > 0 })
	late := w.dial() // clients come for a while yet
	late.ask("b")
	w.eventually("both are written", func() bool { return w.open(writer) == 2 })
	w.gate <- true
	w.gate <- true
	for _, c := range []*client{c, late} {
		if code, closes := c.answer(t); code != 200 || !closes {
			t.Errorf("status %d, closes %v", code, closes)
		}
	}
	w.drained()
	other.CloseClientConnections()
}

// In the drain an attempt times out: the request is tried again, or answered by its deadline.
func TestTimeOutInTheDrain(t *testing.T) {
	w := start(t, nil)
	c := w.dial()
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: a\r\nX-Service-Class: price-ask\r\n"+
		"X-Time-Left-Ms: 1500\r\nX-Facts: prompt_len=1000\r\nContent-Length: 2\r\n\r\n{}")
	w.eventually("it is written", func() bool { return w.open(writer) == 1 })
	w.node.Drain()
	code, closes := c.answer(t)
	if code == 200 || !closes {
		t.Errorf("status %d, closes %v", code, closes)
	}
	w.drained()
	w.eventually("nothing is out", func() bool { return w.open(writer) == 0 })
}

// silentDiscovery is a configuration whose discovery takes connections and answers nothing.
func silentDiscovery(t *testing.T) *Config {
	t.Helper()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	cfg, err := parse([]byte(configJSON(t, silent.Addr().String())), none)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// SIGTERM before the router is ready: it ends by itself all the same, and clients that come get a word.
func TestDrainBeforeReady(t *testing.T) {
	p := newPlatform(t)
	cfg := silentDiscovery(t)
	w := &world{platform: p, t: t}
	w.run(cfg, nil)
	c := w.dial()
	c.ask("a")
	w.node.Drain()
	if code, _ := c.answer(t); code != 429 && code != 503 {
		t.Errorf("status %d: nothing has run, so it is refused", code)
	}
	w.drained()
}

// With discovery silent the cached list makes a router ready; what it tells is what is used until discovery answers.
func TestReadyFromTheCachedList(t *testing.T) {
	p := newPlatform(t)
	cfg := silentDiscovery(t)
	var err error
	if cfg.CachedList, err = json.Marshal(watch.List{Revision: 900, Complete: true, Members: p.listed}); err != nil {
		t.Fatal(err)
	}
	w := &world{platform: p, t: t}
	w.run(cfg, nil)
	w.eventually("ready", w.node.Router.Ready) // how soon is TestWaitsAreShort's matter
	c := w.dial()
	c.ask("a")
	w.gate <- true
	if code, _ := c.answer(t); code != 200 {
		t.Errorf("status %d", code)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(EnvConfig, path)
	if err := os.WriteFile(path, []byte(configJSON(t, p.agent.Listener.Addr().String())), 0o600); err != nil {
		t.Fatal(err)
	}
	p.drainAll()
	w.node.Reload() // its revision is lower than the cached list's
	w.eventually("the drain is seen", func() bool { return w.node.Router.Stats().Engines == 0 })
}

// The platform kills a router some time after SIGTERM. What has not begun to be answered is given up before that, whatever its
// own deadline is, also if it came before the signal; and what comes late is refused and never reaches an engine.
func TestAnsweredBeforeTheKill(t *testing.T) {
	w := start(t, nil)
	waiting := w.dial()
	waiting.ask("a") // for 20 s
	w.eventually("it is written", func() bool { return w.open(writer) == 1 })
	fresh := w.dial()
	w.eventually("both are there", func() bool { return w.node.front.OpenConns() == 2 })
	signalled := time.Now().Add(-2 * time.Second)
	w.node.signalled.Store(&signalled)
	w.node.Drain()
	fresh.ask("b") // it may cross the refusal of its connection
	if code, closes := fresh.answer(t); code != 429 && code != 503 || !closes {
		t.Errorf("one that came late: status %d, closes %v", code, closes)
	}
	if code, closes := waiting.answer(t); code == 200 || code == 400 || !closes {
		t.Errorf("one that waited: status %d, closes %v", code, closes)
	}
	w.eventually("nothing is out", func() bool { return w.open(reader)+w.open(writer) == 0 })
	w.drained()
}
