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

// checkDrained waits for the node's end and checks that no KV state is left.
func (w *testNode) checkDrained() {
	w.t.Helper()
	if err := <-w.done; err != nil {
		w.t.Error(err)
	}
	if n := w.held(); n != 0 {
		w.t.Errorf("%d KV states are left", n)
	}
}

// A read that ends after SIGTERM is followed by its stream, and the client gets the whole answer.
func TestRequestsContinueDuringDrain(t *testing.T) {
	w := start(t, nil)
	w.mu.Lock()
	w.readGate = make(chan bool)
	w.mu.Unlock()
	c := w.dial()
	c.ask("a")
	w.eventually("the request is at the reader", func() bool { return w.open(reader) == 1 })
	w.node.Drain()
	w.eventually("the drain has started", func() bool { return strings.Contains(w.log.String(), "msg=draining") })
	w.readGate <- true
	w.eventually("the request is at the writer", func() bool { return w.open(writer) == 1 })
	w.writeGate <- true
	if code, closes := c.answer(t); code != 200 || !closes {
		t.Errorf("status %d, closes %v", code, closes)
	}
	if _, err := c.br.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v", err)
	}
	w.checkDrained()
}

// Open requests are served although discovery stops answering and a new configuration is loaded during the drain.
func TestDiscoveryAndReloadDuringDrain(t *testing.T) {
	w := start(t, nil)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(EnvConfig, path)
	c := w.dial()
	c.ask("a")
	w.eventually("the request is at the writer", func() bool { return w.open(writer) == 1 })
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
	late := w.dial() // new clients still connect for a while
	late.ask("b")
	w.eventually("both requests are at the writer", func() bool { return w.open(writer) == 2 })
	w.writeGate <- true
	w.writeGate <- true
	for _, c := range []*client{c, late} {
		if code, closes := c.answer(t); code != 200 || !closes {
			t.Errorf("status %d, closes %v", code, closes)
		}
	}
	w.checkDrained()
	other.CloseClientConnections()
}

// After an attempt times out during the drain, the request is retried, or answered by its deadline.
func TestAttemptTimesOutDuringDrain(t *testing.T) {
	w := start(t, nil)
	c := w.dial()
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: a\r\nX-Service-Class: price-ask\r\n"+
		"X-Time-Left-Ms: 1500\r\nX-Facts: prompt_len=1000\r\nContent-Length: 2\r\n\r\n{}")
	w.eventually("the request is at the writer", func() bool { return w.open(writer) == 1 })
	w.node.Drain()
	code, closes := c.answer(t)
	if code == 200 || !closes {
		t.Errorf("status %d, closes %v", code, closes)
	}
	w.checkDrained()
	w.eventually("no request is at the writer", func() bool { return w.open(writer) == 0 })
}

// silentDiscovery returns a configuration whose discovery accepts connections and never answers.
func silentDiscovery(t *testing.T) *Config {
	t.Helper()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	cfg, err := parse([]byte(configJSON(t, silent.Addr().String())), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// After SIGTERM before the router is ready, it still ends by itself, and clients that connect get an answer.
func TestDrainBeforeReady(t *testing.T) {
	p := newPlatform(t)
	cfg := silentDiscovery(t)
	w := &testNode{platform: p, t: t}
	w.run(cfg, nil)
	c := w.dial()
	c.ask("a")
	w.node.Drain()
	if code, _ := c.answer(t); code != 429 && code != 503 {
		t.Errorf("status %d: nothing has run, so the request should be refused", code)
	}
	w.checkDrained()
}

// While discovery doesn't answer, the cached server list makes a router ready and is used until discovery answers.
func TestReadyFromCachedList(t *testing.T) {
	p := newPlatform(t)
	cfg := silentDiscovery(t)
	var err error
	if cfg.CachedList, err = json.Marshal(watch.List{Revision: 900, Complete: true, Members: p.listed}); err != nil {
		t.Fatal(err)
	}
	w := &testNode{platform: p, t: t}
	w.run(cfg, nil)
	w.eventually("ready", w.node.Router.Ready) // how soon is tested in internal/discovery/watch
	c := w.dial()
	c.ask("a")
	w.writeGate <- true
	if code, _ := c.answer(t); code != 200 {
		t.Errorf("status %d", code)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(EnvConfig, path)
	if err := os.WriteFile(path, []byte(configJSON(t, p.agent.Listener.Addr().String())), 0o600); err != nil {
		t.Fatal(err)
	}
	p.drainAll()
	w.node.Reload() // its revision is lower than that of the cached list
	w.eventually("the drain of the engines is seen", func() bool { return w.node.Router.Stats().Engines == 0 })
}

// The platform kills a router some time after SIGTERM. Requests whose answer has not started are given up before
// that, whatever their own deadline, even if they arrived before the signal; requests that arrive late are refused
// and never reach an engine.
func TestAnsweredBeforeKill(t *testing.T) {
	w := start(t, nil)
	waiting := w.dial()
	waiting.ask("a") // its deadline is in 20 s
	w.eventually("the request is at the writer", func() bool { return w.open(writer) == 1 })
	fresh, partial := w.dial(), w.dial()
	text := requestText("c")
	io.WriteString(partial, text[:len(text)-1])
	w.eventually("two requests have arrived, one in part", func() bool { return w.node.guard.Open() == 2 })
	w.eventually("all clients are connected", func() bool { return w.node.front.OpenConns() == 3 })
	signalled := time.Now().Add(-2 * time.Second)
	w.node.signalledAt.Store(&signalled)
	w.node.Drain()
	// An unused connection is refused only after the router, the guard and the front know of the shutdown.
	if _, err := fresh.br.Peek(1); err != nil {
		t.Fatal(err)
	}
	fresh.ask("b") // its client has not read the refusal yet
	io.WriteString(partial, text[len(text)-1:])
	for _, c := range []*client{fresh, partial} {
		if code, closes := c.answer(t); code != 429 && code != 503 || !closes {
			t.Errorf("a late request: status %d, closes %v", code, closes)
		}
	}
	if code, closes := waiting.answer(t); code == 200 || code == 400 || !closes {
		t.Errorf("the waiting request: status %d, closes %v", code, closes)
	}
	w.eventually("no request is at an engine", func() bool { return w.open(reader)+w.open(writer) == 0 })
	w.checkDrained()
}
