// Package e2e holds the end-to-end tests, which run routers and stand-in engines on loopback sockets. It has no code
// that other packages use.
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

// harness is a fleet of stand-in engines, a router and a client.
type harness struct {
	t            *testing.T
	fleet        *fleet.Fleet
	daemon       *daemon.Daemon
	record       *audit.Log
	client       *http.Client
	url          string
	cfg          *config.Settings
	stop         func()
	cancelRouter func() // stops the router, but not the engines
	done         chan error
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

// fastSpec returns a spec with which a request takes a few milliseconds.
func fastSpec(role decide.Role) standin.Spec {
	s := standin.Prefill()
	if role == decide.Writer {
		s = standin.Decode()
		s.StepTime, s.StepTimePerWriter = 2*time.Millisecond, 0
	}
	s.ReadTokensPerSecond, s.PortTokensPerSecond, s.StepTime = 400e3, 4e6, time.Millisecond
	s.ReportDelay, s.ReportInterval = 0, 10*time.Millisecond
	return s
}

// option changes the fleet or the settings of a harness.
type option func(*fleet.Config, *string)

// withSettings adds lines of settings, each of which replaces an existing line of the same name.
func withSettings(text string) option {
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

// newHarness starts engines and a router, and waits until the router knows all engines.
func newHarness(t *testing.T, opts ...option) *harness {
	t.Helper()
	dir := t.TempDir()
	h := &harness{t: t, record: audit.NewLog(1 << 20), done: make(chan error, 1)}
	fc := fleet.Config{
		Groups: []fleet.Group{{Prefix: "p", Kind: "prefill", Count: 2, Spec: fastSpec(decide.Reader)},
			{Prefix: "d", Kind: "decode", Count: 3, Spec: fastSpec(decide.Writer)}},
		ListPath: filepath.Join(dir, "engines.list"), Seed: 1, AuditLog: h.record,
		CrashListDelay: 50 * time.Millisecond, UnresponsiveListDelay: 200 * time.Millisecond, StartListDelay: 10 * time.Millisecond,
	}
	text := settings
	for _, o := range opts {
		o(&fc, &text)
	}
	var err error
	if h.fleet, err = fleet.Start(fc); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "router.conf")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	if h.cfg, err = config.Load(path); err != nil {
		t.Fatal(err)
	}
	var log io.Writer = io.Discard
	if testing.Verbose() {
		log = os.Stderr
	}
	logger := slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	if h.daemon, err = daemon.New(h.cfg, 1, logger, nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { h.done <- h.daemon.Run(ctx) }()
	trans := &http.Transport{MaxIdleConnsPerHost: 100}
	h.client = &http.Client{Transport: trans}
	h.url = "http://" + h.daemon.Addr()
	var once sync.Once
	h.cancelRouter = cancel
	h.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-h.done; err != nil {
				t.Errorf("router: %v", err)
			}
			h.fleet.Close()
			trans.CloseIdleConnections()
		})
	}
	t.Cleanup(h.stop)
	h.eventually("the router is ready", func() bool {
		return h.daemon.Router.Stats().Engines == int64(len(h.fleet.Members()))
	})
	return h
}

func (h *harness) eventually(what string, cond func() bool) {
	h.t.Helper()
	eventually.Is(h.t, what, cond, func() any { return h.daemon.Router.Stats() })
}

// injectFault injects a fault into an engine, for an hour unless the fault says otherwise.
func (h *harness) injectFault(name string, f standin.Fault) {
	h.t.Helper()
	if f.Duration == 0 {
		f.Duration = time.Hour
	}
	if err := h.fleet.InjectFault(h.fleet.Member(name), f); err != nil {
		h.t.Fatal(err)
	}
}

// injectFaults injects a fault into all engines whose names have a prefix.
func (h *harness) injectFaults(prefix string, f standin.Fault) {
	h.t.Helper()
	for _, m := range h.fleet.Members() {
		if strings.HasPrefix(m.Name, prefix) {
			h.injectFault(m.Name, f)
		}
	}
}

// object is a JSON object of a request.
type object map[string]any

func (h *harness) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		h.t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+path, bytes.NewReader(data))
	if err != nil {
		h.t.Fatal(err)
	}
	return h.client.Do(req)
}

// generateBody returns a request in the form of the generate extension.
func generateBody(prompt string, params object) object {
	p := object{"session": "s1", "prompt_tokens": 500}
	for k, v := range params {
		p[k] = v
	}
	return object{"id": "c1", "text_input": prompt, "parameters": p}
}

// answer is what a client has received of a stream.
type answer struct {
	status    int
	header    http.Header
	tokens    int
	text      string
	finish    string
	failure   string // the text of an error event, or of the body
	streamErr error  // the stream broke off without a final event
}

// stream requests a stream and reads it to its end.
func (h *harness) stream(ctx context.Context, body any) answer {
	h.t.Helper()
	resp, err := h.post(ctx, "/v2/models/helpline/generate_stream", body)
	if err != nil {
		return answer{streamErr: err}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		var e kserve.ErrorResponse
		a.streamErr = json.NewDecoder(resp.Body).Decode(&e)
		a.failure = e.Error
		return a
	}
	events := kserve.NewEventReader(resp.Body, 1<<16)
	for {
		data, err := events.Next()
		if err != nil {
			if a.finish == "" && a.failure == "" {
				a.streamErr = err
			}
			return a
		}
		var ev kserve.GenerateResponse
		if err := json.Unmarshal(data, &ev); err != nil {
			h.t.Errorf("event %s: %v", data, err)
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
			h.t.Errorf("event %s has a different id", data)
		}
	}
}

// waitUntilIdle waits until the router has no open request and the engines hold nothing.
func (h *harness) waitUntilIdle() {
	h.t.Helper()
	h.eventually("no request is open", func() bool { return h.daemon.Router.Stats().Open == 0 })
	h.eventually("engines hold nothing", func() bool {
		for _, m := range h.fleet.Members() {
			if sequences, states := m.Engine.Occupancy(); sequences+states > 0 {
				return false
			}
		}
		return true
	})
}

func TestStreamedAnswer(t *testing.T) {
	h := newHarness(t)
	a := h.stream(t.Context(), generateBody("What is the rate of onions? [answer=20]", nil))
	if a.status != 200 || a.tokens != 20 || a.finish != "stop" || !strings.HasPrefix(a.text, "onion rate at ") {
		t.Errorf("%+v", a)
	}
	a = h.stream(t.Context(), generateBody("And of potatoes? [answer=20]", object{"max_tokens": 5}))
	if a.tokens != 5 || a.finish != "length" {
		t.Errorf("%+v", a)
	}
	h.waitUntilIdle()
}

func TestUnaryAnswers(t *testing.T) {
	h := newHarness(t)
	resp, err := h.post(t.Context(), "/v2/models/helpline/versions/1/generate", generateBody("Rate? [answer=3]", nil))
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
	resp, err = h.post(t.Context(), "/v2/models/helpline/infer", kserve.InferRequest{ID: "i1",
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
	h.waitUntilIdle()
}

func TestConcurrentAnswers(t *testing.T) {
	h := newHarness(t)
	const clients, each = 16, 10
	var wg sync.WaitGroup
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				a := h.stream(t.Context(), generateBody(fmt.Sprintf("Question %d %d? [answer=8]", c, i),
					object{"session": fmt.Sprint(c), "shared_text": "rules", "shared_tokens": 300}))
				if a.tokens != 8 || a.finish != "stop" {
					t.Errorf("%+v", a)
				}
			}
		}()
	}
	wg.Wait()
	if s := h.daemon.Router.Stats(); s.Served != clients*each {
		t.Errorf("%+v", s)
	}
	h.waitUntilIdle()
}

// dialAndSend sends bytes on a new connection and returns it with a reader.
func (h *harness) dialAndSend(text string) (net.Conn, *bufio.Reader) {
	h.t.Helper()
	c, err := net.Dial("tcp", h.daemon.Addr())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		h.t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}
