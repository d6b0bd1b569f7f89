package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/discovery"
	"mintdoor/internal/discovery/watch"
	"mintdoor/internal/eventually"
	"mintdoor/internal/router"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// platform runs the platform's engines and discovery on loopback.
type platform struct {
	*httptest.Server // engines; the address tells which one is meant
	agent            *httptest.Server
	writeGate        chan bool // a writer waits for it before its first event
	readGate         chan bool // a reader waits for it; nil: it reads immediately
	streamGate       chan bool // a writer waits for it before its last event; nil: it continues immediately

	mu       sync.Mutex
	inFlight map[string]int             // open requests by engine
	holds    map[string]map[string]bool // KV states that are held, by engine
	reads    int
	listed   []watch.Member
}

const (
	reader = "127.0.0.1"
	writer = "127.0.0.2"
)

func newPlatform(t *testing.T) *platform {
	p := &platform{inFlight: map[string]int{}, holds: map[string]map[string]bool{reader: {}, writer: {}}, writeGate: make(chan bool, 1000)}
	l, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	p.Server = httptest.NewUnstartedServer(http.HandlerFunc(p.serve))
	p.Server.Listener.Close()
	p.Server.Listener = l
	p.Server.Start()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	p.listed = []watch.Member{
		{ID: "s1", Addr: reader + ":" + port, Zone: "a", Kind: "prefill", Cell: 1, Phase: watch.Up, Size: 1},
		{ID: "s2", Addr: writer + ":" + port, Zone: "a", Kind: "decode", Cell: 1, Phase: watch.Up, Size: 1},
	}
	p.agent, _ = p.newAgent()
	t.Cleanup(func() { p.CloseClientConnections(); p.Close(); p.agent.CloseClientConnections(); p.agent.Close() })
	return p
}

// newAgent starts a discovery agent on its own address; asked counts its calls.
func (p *platform) newAgent() (s *httptest.Server, asked *atomic.Int64) {
	asked = new(atomic.Int64)
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		if r.URL.RawQuery != "" { // the list doesn't change
			<-r.Context().Done()
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		json.NewEncoder(w).Encode(watch.List{Revision: 1, Complete: true, Members: p.listed})
	})), asked
}

// drainAll makes the agents report all engines as draining from now on.
func (p *platform) drainAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.listed {
		p.listed[i].Phase = watch.Draining
	}
}

func (p *platform) serve(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	id := r.Header.Get("X-Correlation-Id")
	switch {
	case r.Method == http.MethodDelete:
		p.mu.Lock()
		for _, h := range p.holds {
			delete(h, strings.TrimPrefix(r.URL.Path, "/v1/holds/"))
		}
		p.mu.Unlock()
		w.WriteHeader(204)
		return
	case r.URL.Path == "/metrics/load":
		fmt.Fprint(w, `{"lat_ms":5,"x0":0.25,"x1":0}`)
		return
	}
	io.Copy(io.Discard, r.Body)
	p.count(host, 1)
	defer p.count(host, -1)
	if host == reader {
		p.mu.Lock()
		gate := p.readGate
		p.mu.Unlock()
		if gate != nil {
			<-gate
		}
		p.mu.Lock()
		p.reads++
		p.holds[reader][id] = true
		p.mu.Unlock()
		w.WriteHeader(202)
		fmt.Fprint(w, `{"cached_tokens":0}`)
		return
	}
	select {
	case <-p.writeGate:
	case <-r.Context().Done():
		return
	}
	p.mu.Lock()
	delete(p.holds[reader], id)
	p.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for _, e := range []string{`{"choices":[]}`, "[DONE]"} {
		fmt.Fprintf(w, "data: %s\n\n", e)
		w.(http.Flusher).Flush()
		if e != "[DONE]" && p.streamGate != nil {
			<-p.streamGate
		}
	}
}

func (p *platform) count(host string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[host] += n
}

func (p *platform) open(host string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight[host]
}

func (p *platform) held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.holds[reader])
}

func configJSON(t *testing.T, discovery string) string {
	b, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Replace(string(b), "DISCOVERY", discovery, 1)
}

func noEnv(string) string { return "" }

// moduleSpy gives a test access to the module's view of its servers.
type moduleSpy struct {
	mu    sync.Mutex
	inner *decide.Router
}

func (s *moduleSpy) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inner.Handle(now, ev, out)
}

func (s *moduleSpy) serverView(name string) decide.ServerView {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := discovery.Engine{Name: name}
	for _, b := range s.inner.ServerViews() {
		if b.Server == e.ID() {
			return b
		}
	}
	return decide.ServerView{}
}

type testNode struct {
	*platform
	t    *testing.T
	node *Node
	spy  *moduleSpy
	done chan error
	stop context.CancelFunc
	log  *logBuffer
}

// logBuffer is a log that a test can read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func start(t *testing.T, change func(*Node)) *testNode {
	p := newPlatform(t)
	cfg, err := parse([]byte(configJSON(t, p.agent.Listener.Addr().String())), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	w := &testNode{platform: p, t: t}
	w.run(cfg, change)
	w.eventually("ready", w.node.Router.Ready)
	return w
}

// run runs a node until the end of the test.
func (w *testNode) run(cfg *Config, change func(*Node)) {
	w.t.Helper()
	w.spy, w.log, w.done = &moduleSpy{}, &logBuffer{}, make(chan error, 1)
	var err error
	w.node, err = newNode(cfg, slog.New(slog.NewTextHandler(w.log, nil)), func(set *decide.Settings, seed uint64, now decide.Time) router.Decider {
		w.spy.inner = decide.New(set, seed, now)
		return w.spy
	})
	if err != nil {
		w.t.Fatal(err)
	}
	if change != nil {
		change(w.node)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() { w.done <- w.node.Run(ctx); close(w.done) }()
	w.t.Cleanup(func() {
		stop()
		for range w.done {
		}
		if w.node.guard.ViolationCount() > 0 {
			w.t.Errorf("violations: %v\n%s", w.node.guard.Violations(), w.log.String())
		}
	})
}

func (w *testNode) eventually(what string, cond func() bool) {
	w.t.Helper()
	eventually.Is(w.t, what, cond, func() any { return w.node.Router.Stats() })
}

type client struct {
	net.Conn
	br *bufio.Reader
}

func (w *testNode) dial() *client {
	w.t.Helper()
	c, err := net.Dial("tcp", w.node.Addr())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

func (c *client) ask(id string) { io.WriteString(c, requestText(id)) }

func requestText(id string) string {
	const body = `{"model":"chat"}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %s\r\nX-Service-Class: price-ask\r\n"+
		"X-Time-Left-Ms: 20000\r\nX-Facts: prompt_len=1000\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (c *client) answer(t *testing.T) (int, bool) {
	t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// The module's counts for each engine match the requests that are open on its sockets: while requests wait at a
// writer, after they were served, and after their clients left.
func TestModuleCountsMatchSockets(t *testing.T) {
	w := start(t, nil)
	var clients []*client
	for i := range 5 {
		c := w.dial()
		c.ask(fmt.Sprint("id", i))
		clients = append(clients, c)
	}
	w.eventually("five requests are at the writer", func() bool { return w.open(writer) == 5 })
	agree := func(what string, streams int, booked float64) {
		t.Helper()
		w.eventually(what, func() bool {
			r, d := w.spy.serverView("s1"), w.spy.serverView("s2")
			return d.Streams == streams && d.Streams == w.open(writer) && d.BookedTokens == booked &&
				r.Pending == 0 && r.Pending == w.open(reader) && r.QueuedTokens == 0
		})
	}
	agree("five requests are counted", 5, 5000)
	if n := w.held(); n != 5 {
		t.Errorf("%d states are held", n)
	}
	for range 3 {
		w.writeGate <- true
	}
	agree("two requests are left", 2, 2000)
	for _, c := range clients {
		c.Close()
	}
	agree("no request is left", 0, 0)
	w.eventually("nothing is held", func() bool { return w.held() == 0 && w.node.Router.Stats().Open == 0 })
	w.eventually("probed", func() bool { return w.spy.serverView("s2").MemoryUse == 0.25 })
}

// After SIGTERM, open requests and those that still arrive are answered, then the program ends by itself.
func TestDrain(t *testing.T) {
	w := start(t, nil)
	open, idle, fresh := w.dial(), w.dial(), w.dial()
	w.writeGate <- true
	idle.ask("a")
	if code, closes := idle.answer(t); code != 200 || closes {
		t.Fatal(code, closes)
	}
	open.ask("b")
	w.eventually("one request is open", func() bool { return w.open(writer) == 1 })
	w.eventually("all connections are accepted", func() bool { return w.node.front.OpenConns() == 3 })
	w.node.Drain()
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	fresh.ask("c")
	late := w.dial()
	late.ask("d")
	w.eventually("three requests are open", func() bool { return w.open(writer) == 3 })
	for range 3 {
		w.writeGate <- true
	}
	for _, c := range []*client{open, fresh, late} {
		if code, _ := c.answer(t); code != 200 {
			t.Errorf("status %d", code)
		}
		if _, err := c.br.ReadByte(); err != io.EOF {
			t.Errorf("after the answer: %v", err)
		}
	}
	if err := <-w.done; err != nil {
		t.Error(err)
	}
	if w.held() != 0 {
		t.Error("a KV state is left")
	}
}

// The drain waits for the end of streams, however long they run. Clients that connect in the meantime get an answer,
// or a refused connection.
func TestDrainWaitsForStreams(t *testing.T) {
	w := start(t, nil)
	w.streamGate = make(chan bool, 1)
	w.writeGate <- true
	c := w.dial()
	c.ask("a")
	if _, err := c.br.Peek(1); err != nil { // the stream has started
		t.Fatal(err)
	}
	w.node.Drain()
	w.eventually("the drain has started", func() bool { return strings.Contains(w.log.String(), "msg=draining") })
	for range 20 {
		other := w.dial()
		io.WriteString(other, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
		if code, closes := other.answer(t); code != 503 || !closes {
			t.Fatalf("/up: %d", code)
		}
	}
	w.eventually("the listener is closed", func() bool {
		other, err := net.Dial("tcp", w.node.Addr())
		if err == nil {
			other.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	if w.open(writer) != 1 {
		t.Error("the stream was ended early")
	}
	w.streamGate <- true
	if code, _ := c.answer(t); code != 200 {
		t.Errorf("status %d", code)
	}
	if err := <-w.done; err != nil {
		t.Error(err)
	}
}

// SIGHUP changes the discovery address; a configuration that is missing or malformed changes nothing. No request is
// lost in either case.
func TestReload(t *testing.T) {
	w := start(t, nil)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(EnvConfig, path)
	c := w.dial()
	c.ask("a")
	w.eventually("open", func() bool { return w.open(writer) == 1 })
	w.node.Reload() // there is no file
	if err := os.WriteFile(path, []byte(`{"name":`), 0o600); err != nil {
		t.Fatal(err)
	}
	w.node.Reload()
	if text := w.log.String(); strings.Count(text, "not taken") != 2 || strings.Contains(text, "discovery moves") {
		t.Errorf("bad files were accepted:\n%s", text)
	}
	other, asked := w.newAgent()
	defer other.Close()
	if err := os.WriteFile(path, []byte(configJSON(t, other.Listener.Addr().String())), 0o600); err != nil {
		t.Fatal(err)
	}
	w.node.Reload()
	w.eventually("the other agent is asked", func() bool { return asked.Load() > 0 })
	w.writeGate <- true
	if code, closes := c.answer(t); code != 200 || closes {
		t.Errorf("%d %v", code, closes)
	}
	w.stop()
	<-w.done
	other.CloseClientConnections()
}

func TestConfig(t *testing.T) {
	good := configJSON(t, "d:1")
	c, err := parse([]byte(good), noEnv)
	if err != nil || c.Name != "n3" || c.Discovery != "d:1" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 256 || c.MemoryMB != 2048 {
		t.Fatalf("%+v %v", c, err)
	}
	for _, v := range []struct{ old, new, want string }{
		{`"name":"n3"`, `"name":""`, "name is missing, and environment variable PROXY_NAME is not set"},
		{`"listen":"127.0.0.1:0",`, ``, "listen is missing, and environment variable PROXY_LISTEN is not set"},
		{`"discovery":"d:1",`, ``, "PROXY_DISCOVERY"},
		{`8c1f30d27a5be964`, `none`, "seed has the malformed value"},
		{`"sockets":256`, `"sockets":3`, "limits.sockets"},
		{`"memory_mb":2048`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"maxAttempts":6,`, ``, "permissions.maxAttempts is missing"},
		{`{"name"`, `{{"name"`, "invalid character"},
		{`"hostTypes":["prefill","decode"],`, ``, "hostTypes is missing"},
		{`"hostTypes":["prefill","decode"]`, `"hostTypes":["prefill"]`, "familyInfo.kindRole has 2 roles, hostTypes 1 kinds"},
		{`"repeat":"safe"`, `"repeat":"once"`, `requestClasses.0.repeat has the malformed value "once"`},
		{`"repeat":"safe"`, `"repeat":"keyed"`, "requestClasses.0.keyScope is missing"},
		{`"settings":{`, `"setting":{`, "settings is missing"},
	} {
		if _, err := parse([]byte(strings.Replace(good, v.old, v.new, 1)), noEnv); err == nil || !strings.Contains(err.Error(), v.want) {
			t.Errorf("%s: %v", v.new, err)
		}
	}
	if _, err := Load(noEnv); err == nil || !strings.Contains(err.Error(), EnvConfig) {
		t.Errorf("%v", err)
	}
	env := map[string]string{EnvName: "n9"}
	if c, err := parse([]byte(strings.Replace(good, `"name":"n3",`, "", 1)), func(k string) string { return env[k] }); err != nil || c.Name != "n9" {
		t.Errorf("%v", err)
	}
}

// A third of the descriptors may belong to client connections with open requests. Each of them needs a connection to
// an engine, and no share is ever empty.
func TestSplitSockets(t *testing.T) {
	for _, sockets := range []int{minSockets, 256, 512, 768, 1024, 4096} {
		b := splitSockets(sockets)
		if b.clients+b.engines+b.spare > sockets-16 || b.open < sockets/3 || b.clients < sockets/3+sockets/16 ||
			b.engines <= b.open || b.spare < 6 {
			t.Errorf("%d: %+v", sockets, b)
		}
	}
}

// A cached server list that is truncated or in another format doesn't prevent the start.
func TestConfigWithMalformedList(t *testing.T) {
	good := configJSON(t, "d:1")
	const known = `"known":{"revision":0,"complete":true,"members":[]}`
	for _, broken := range []string{`"known":null`, `"known":"torn"`, `"known":{"revision":"x"}`, `"known":{"members":7}`, `"known":[]`} {
		text := strings.Replace(good, known, broken, 1)
		if text == good {
			t.Fatal("the configuration has no cached list")
		}
		if _, err := parse([]byte(text), noEnv); err != nil {
			t.Errorf("%s: %v", broken, err)
		}
	}
}
