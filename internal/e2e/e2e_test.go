// Package e2e holds the end-to-end tests: routers and stand-in engines on loopback sockets.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/audit"
	"mintdoor/internal/config"
	"mintdoor/internal/daemon"
	"mintdoor/internal/eventually"
	"mintdoor/internal/kserve"
	standin "mintdoor/internal/standin/engine"
	"mintdoor/internal/standin/fleet"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// world is a fleet, a router and a client.
type world struct {
	t      *testing.T
	fleet  *fleet.Fleet
	daemon *daemon.Daemon
	record *audit.Log
	client *http.Client
	url    string
	set    *config.Settings
	stop   func()
	halt   func() // ends the router at once, but not the engines
	done   chan error
}

const settings = `
list engines.list
list-every 5ms
listen 127.0.0.1:0
log-level debug
log-sample 1000000
client-stall 2s
stream-idle 3s
class price-ask
    aim 1s
    deadline 4s
    worth 3
class pen-booking
    aim 2s
    deadline 6s
    repeat unsafe
kind prefill
    role prefill
    memory 240k
kind decode
    role decode
    memory 160k
tenant korangi
    rate 20/s
`

// quick are specs under which a request takes some milliseconds.
func quick(role decide.Role) standin.Spec {
	s := standin.Prefill()
	if role == decide.Writer {
		s = standin.Decode()
		s.StepTime, s.StepTimePerWriter = 2*time.Millisecond, 0
	}
	s.ReadTokensPerSecond, s.PortTokensPerSecond, s.StepTime = 400e3, 4e6, time.Millisecond
	s.ReportDelay, s.ReportInterval = 0, 10*time.Millisecond
	return s
}

type option func(*fleet.Config, *string)

// more puts lines of settings in the place of those that say the same.
func more(text string) option {
	return func(_ *fleet.Config, set *string) {
		for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
			name, _, _ := strings.Cut(line, " ")
			var kept []string
			for _, old := range strings.Split(*set, "\n") {
				if !strings.HasPrefix(old, name+" ") {
					kept = append(kept, old)
				}
			}
			*set = line + "\n" + strings.Join(kept, "\n")
		}
	}
}

func newWorld(t *testing.T, opts ...option) *world {
	t.Helper()
	dir := t.TempDir()
	w := &world{t: t, record: audit.NewLog(1 << 20), done: make(chan error, 1)}
	fc := fleet.Config{
		Groups: []fleet.Group{{Prefix: "p", Kind: "prefill", Count: 2, Spec: quick(decide.Reader)},
			{Prefix: "d", Kind: "decode", Count: 3, Spec: quick(decide.Writer)}},
		ListPath: filepath.Join(dir, "engines.list"), Seed: 1, AuditLog: w.record,
		CrashListDelay: 50 * time.Millisecond, UnresponsiveListDelay: 200 * time.Millisecond, StartListDelay: 10 * time.Millisecond,
	}
	text := settings
	for _, o := range opts {
		o(&fc, &text)
	}
	var err error
	if w.fleet, err = fleet.Start(fc); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "router.conf")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	if w.set, err = config.Load(path); err != nil {
		t.Fatal(err)
	}
	var log io.Writer = io.Discard
	if testing.Verbose() {
		log = os.Stderr
	}
	logger := slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	if w.daemon, err = daemon.New(w.set, 1, logger, nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { w.done <- w.daemon.Run(ctx) }()
	trans := &http.Transport{MaxIdleConnsPerHost: 100}
	w.client = &http.Client{Transport: trans}
	w.url = "http://" + w.daemon.Addr()
	var once sync.Once
	w.halt = cancel
	w.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-w.done; err != nil {
				t.Errorf("router: %v", err)
			}
			w.fleet.Close()
			trans.CloseIdleConnections()
		})
	}
	t.Cleanup(w.stop)
	w.eventually("the router is ready", func() bool {
		return w.daemon.Router.Stats().Engines == int64(len(w.fleet.Members()))
	})
	return w
}

func (w *world) eventually(what string, cond func() bool) {
	w.t.Helper()
	eventually.Is(w.t, what, cond, func() any { return w.daemon.Router.Stats() })
}

// play plays a fault on an engine.
func (w *world) play(name string, f standin.Fault) {
	w.t.Helper()
	if f.Duration == 0 {
		f.Duration = time.Hour
	}
	if err := w.fleet.InjectFault(w.fleet.Member(name), f); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) playAll(prefix string, f standin.Fault) {
	w.t.Helper()
	for _, m := range w.fleet.Members() {
		if strings.HasPrefix(m.Name, prefix) {
			w.play(m.Name, f)
		}
	}
}

// ask is one request in the form of the generate extension.
type ask map[string]any

func (w *world) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		w.t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+path, bytes.NewReader(data))
	if err != nil {
		w.t.Fatal(err)
	}
	return w.client.Do(req)
}

func generate(prompt string, params ask) ask {
	p := ask{"session": "s1", "prompt_tokens": 500}
	for k, v := range params {
		p[k] = v
	}
	return ask{"id": "c1", "text_input": prompt, "parameters": p}
}

// answer is what a client has seen of a stream.
type answer struct {
	status  int
	header  http.Header
	tokens  int
	text    string
	finish  string
	failure string // of an error event, or of the body
	broken  error  // the stream ended without an end
}

// stream asks for a stream and reads it to its end.
func (w *world) stream(ctx context.Context, body any) answer {
	w.t.Helper()
	resp, err := w.post(ctx, "/v2/models/helpline/generate_stream", body)
	if err != nil {
		return answer{broken: err}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		var e kserve.ErrorResponse
		a.broken = json.NewDecoder(resp.Body).Decode(&e)
		a.failure = e.Error
		return a
	}
	events := kserve.NewEventReader(resp.Body, 1<<16)
	for {
		data, err := events.Next()
		if err != nil {
			if a.finish == "" && a.failure == "" {
				a.broken = err
			}
			return a
		}
		var ev kserve.GenerateResponse
		if err := json.Unmarshal(data, &ev); err != nil {
			w.t.Errorf("event %s: %v", data, err)
		}
		switch {
		case ev.Error != "":
			a.failure = ev.Error
		case ev.Details != nil:
			a.finish = ev.Details.FinishReason
		default:
			a.tokens++
			a.text += ev.TextOutput
		}
		if ev.ID != "c1" {
			w.t.Errorf("event %s has another id", data)
		}
	}
}

// settled waits until nothing of any request is left: no row, no attempt, no state, no place.
func (w *world) settled() {
	w.t.Helper()
	w.eventually("the table is empty", func() bool { return w.daemon.Router.Stats().Open == 0 })
	w.eventually("engines hold nothing", func() bool {
		for _, m := range w.fleet.Members() {
			if sequences, states := m.Engine.Occupancy(); sequences+states > 0 {
				return false
			}
		}
		return true
	})
}

func TestStreamedAnswer(t *testing.T) {
	w := newWorld(t)
	a := w.stream(t.Context(), generate("What is the rate of onions? [answer=20]", nil))
	if a.status != 200 || a.tokens != 20 || a.finish != "stop" || !strings.HasPrefix(a.text, "onion rate at ") {
		t.Errorf("%+v", a)
	}
	a = w.stream(t.Context(), generate("And of potatoes? [answer=20]", ask{"max_tokens": 5}))
	if a.tokens != 5 || a.finish != "length" {
		t.Errorf("%+v", a)
	}
	w.settled()
}

func TestUnaryAnswers(t *testing.T) {
	w := newWorld(t)
	resp, err := w.post(t.Context(), "/v2/models/helpline/versions/1/generate", generate("Rate? [answer=3]", nil))
	if err != nil {
		t.Fatal(err)
	}
	var g kserve.GenerateResponse
	if err := kserve.Decode(resp.Body, &g); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if g.TextOutput != "onion rate at " || g.ID != "c1" || g.Details.FinishReason != "stop" || g.ModelName != "helpline" {
		t.Errorf("%+v", g)
	}
	resp, err = w.post(t.Context(), "/v2/models/helpline/infer", kserve.InferRequest{ID: "i1",
		Parameters: kserve.Parameters{"class": "price-ask"}, Outputs: []kserve.RequestedOutput{{Name: "text_output"}},
		Inputs: []kserve.Tensor{kserve.TextTensor("text_input", "Rate? [answer=9]"),
			{Name: "max_tokens", Shape: []int64{1}, Datatype: "INT32", Data: json.RawMessage("[2]")}}})
	if err != nil {
		t.Fatal(err)
	}
	var i kserve.InferResponse
	if err := kserve.Decode(resp.Body, &i); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	texts, err := i.Outputs[0].Strings()
	if err != nil || i.ID != "i1" || texts[0] != "onion rate " || i.Parameters["finish_reason"] != "length" {
		t.Errorf("%+v %v", i, err)
	}
	w.settled()
}

func TestConcurrentAnswers(t *testing.T) {
	w := newWorld(t)
	const clients, each = 16, 10
	var wg sync.WaitGroup
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				a := w.stream(t.Context(), generate(fmt.Sprintf("Question %d %d? [answer=8]", c, i),
					ask{"session": fmt.Sprint(c), "shared_text": "rules", "shared_tokens": 300}))
				if a.tokens != 8 || a.finish != "stop" {
					t.Errorf("%+v", a)
				}
			}
		}()
	}
	wg.Wait()
	if s := w.daemon.Router.Stats(); s.Served != clients*each {
		t.Errorf("%+v", s)
	}
	w.settled()
}

// raw sends bytes on a connection of its own and returns it with a reader.
func (w *world) raw(text string) (net.Conn, *bufio.Reader) {
	w.t.Helper()
	c, err := net.Dial("tcp", w.daemon.Addr())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		w.t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}
