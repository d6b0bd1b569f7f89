package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/audit"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"
	"mintdoor/internal/router"
	standin "mintdoor/internal/standin/engine"
	"mintdoor/internal/standin/fleet"
)

// engineCounts sets the number of engines of each kind.
func engineCounts(prefill, decode int) option {
	return func(c *fleet.Config, _ *string) { c.Groups[0].Count, c.Groups[1].Count = prefill, decode }
}

// changeSpecs changes the specs of the engines.
func changeSpecs(change func(*standin.Spec)) option {
	return func(c *fleet.Config, _ *string) {
		for i := range c.Groups {
			change(&c.Groups[i].Spec)
		}
	}
}

// checkRules checks the engines' audit records against rules 2 to 5.
func (h *harness) checkRules() {
	h.t.Helper()
	records, dropped := h.record.Records()
	rep := audit.Check(records, dropped, audit.Rules{DrainGrace: h.cfg.DrainGrace, ListInterval: h.cfg.ListInterval,
		OverloadMultiple: h.cfg.OverloadMultiple, OverloadWindow: h.cfg.OverloadWindow, HoldTimeout: h.cfg.HoldTimeout, Slack: 2 * time.Second})
	for _, f := range rep.Findings {
		h.t.Errorf("rule %d: %s", f.Rule, f.Text)
	}
}

// countRecords counts the audit records of a kind, with the given note unless that is empty.
func (h *harness) countRecords(what audit.EventKind, note string) int {
	records, _ := h.record.Records()
	n := 0
	for _, r := range records {
		if r.Kind == what && (note == "" || r.Note == note) {
			n++
		}
	}
	return n
}

// slowWrites makes answers take long enough to be interrupted.
func slowWrites(s *standin.Spec) {
	if s.Role == decide.Writer {
		s.StepTime = 20 * time.Millisecond
	}
}

// A client cancels during the read, while a writer has not responded yet, and in the middle of the answer. No engine
// holds anything afterwards and no rule is broken.
func TestClientCancels(t *testing.T) {
	for _, c := range []struct {
		name string
		opts []option
		when func(h *harness) bool
	}{
		{"during the read", []option{changeSpecs(func(s *standin.Spec) { s.ReadTokensPerSecond = 500 })}, func(h *harness) bool { return h.countRecords(audit.Arrived, "") == 1 }},
		{"while the writer does not respond", nil, func(h *harness) bool { return h.countRecords(audit.Rejected, "silence") == 1 }},
		{"during the answer", []option{changeSpecs(slowWrites)}, func(h *harness) bool { return h.countRecords(audit.Executed, "") == 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.opts...)
			if c.name == "while the writer does not respond" {
				h.injectFaults("d", standin.Fault{Kind: "class_fail", Size: 1, Mode: "silence"})
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan answer, 1)
			go func() {
				done <- h.stream(ctx, generateBody("Rate? [answer=400]", object{"prompt_tokens": 1000, "deadline_ms": 60000}))
			}()
			h.eventually(c.name, func() bool { return c.when(h) })
			cancel()
			if a := <-done; a.finish != "" {
				t.Errorf("%+v", a)
			}
			h.waitUntilIdle()
			h.eventually("the client is counted as gone", func() bool { return h.daemon.Router.Stats().Gone == 1 })
			h.checkRules()
		})
	}
}

// A client that closes only its sending half counts as gone in HTTP, and the router notices immediately.
func TestHalfClose(t *testing.T) {
	h := newHarness(t, changeSpecs(slowWrites))
	body := `{"id":"c1","text_input":"Rate? [answer=400]","parameters":{"prompt_tokens":100}}`
	c, r := h.dialAndSend(fmt.Sprintf("POST /v2/models/helpline/generate_stream HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, "200") {
		t.Fatal(line, err)
	}
	c.(*net.TCPConn).CloseWrite()
	h.eventually("the client is gone", func() bool { return h.daemon.Router.Stats().Gone == 1 })
	h.waitUntilIdle()
}

// A decode engine crashes after it has fetched the KV state. Before the first token the prompt is read again. After
// it the stream ends with an error event, and nothing follows.
func TestDecodeEngineDies(t *testing.T) {
	t.Run("before its first token", func(t *testing.T) {
		h := newHarness(t, engineCounts(2, 2), changeSpecs(func(s *standin.Spec) {
			if s.Role == decide.Writer {
				s.StepTime = 400 * time.Millisecond // between the fetch and the first token
			}
		}))
		done := make(chan answer, 1)
		go func() {
			done <- h.stream(t.Context(), generateBody("Rate? [answer=2]", object{"deadline_ms": 60000}))
		}()
		h.eventually("a writer executes the request", func() bool { return h.countRecords(audit.Executed, "") == 1 })
		records, _ := h.record.Records()
		for _, r := range records {
			if r.Kind == audit.Executed {
				h.fleet.Member(r.Who).Engine.Crash(0)
			}
		}
		if a := <-done; a.tokens != 2 || a.finish == "" {
			t.Errorf("%+v", a)
		}
		if n := h.countRecords(audit.Held, ""); n != 2 {
			t.Errorf("the prompt was read %d times, want 2, as the KV state was lost", n)
		}
		h.waitUntilIdle()
	})
	t.Run("during the answer", func(t *testing.T) {
		h := newHarness(t, changeSpecs(slowWrites))
		done := make(chan answer, 1)
		go func() { done <- h.stream(t.Context(), generateBody("Rate? [answer=400]", nil)) }()
		h.eventually("a writer executes the request", func() bool { return h.countRecords(audit.Executed, "") == 1 })
		time.Sleep(100 * time.Millisecond) // time for some tokens; it does not matter how many
		for _, m := range h.fleet.Members() {
			if m.Group.Kind == "decode" {
				m.Engine.Crash(0)
			}
		}
		a := <-done
		if a.streamErr != nil || a.finish != "" || a.status != 200 && a.status != 503 || a.failure == "" {
			t.Errorf("want an error event at the end of a broken stream: %+v", a)
		}
		h.waitUntilIdle()
	})
}

// A request of an unsafe class whose attempt at a writer breaks off is failed. It is neither retried nor refused.
func TestUnsafeIsNotRetried(t *testing.T) {
	h := newHarness(t, changeSpecs(func(s *standin.Spec) {
		if s.Role == decide.Writer {
			s.StepTime = 400 * time.Millisecond
		}
	}))
	done := make(chan answer, 1)
	go func() {
		done <- h.stream(t.Context(), generateBody("Book. [answer=2]", object{"class": "pen-booking", "deadline_ms": 60000}))
	}()
	h.eventually("a writer executes the request", func() bool { return h.countRecords(audit.Executed, "") == 1 })
	for _, m := range h.fleet.Members() {
		if m.Group.Kind == "decode" {
			m.Engine.Crash(0)
		}
	}
	a := <-done
	if a.status != http.StatusBadGateway || a.header.Get("Retry-After") != "" {
		t.Errorf("%+v", a)
	}
	if n := h.countRecords(audit.Executed, ""); n != 1 {
		t.Errorf("it was executed %d times", n)
	}
	h.waitUntilIdle()
}

// A prefill engine restarts under the same address while it holds KV states. The writer reports that the KV state is
// missing, and the prompt is read again.
func TestPrefillEngineRestarts(t *testing.T) {
	h := newHarness(t, engineCounts(1, 1), withSettings("attempts 64\n"))
	h.injectFault("d1", standin.Fault{Kind: "class_fail", Size: 1, Mode: "silence"})
	done := make(chan answer, 1)
	go func() {
		done <- h.stream(t.Context(), generateBody("Rate? [answer=2]", object{"deadline_ms": 60000}))
	}()
	h.eventually("the writer does not respond", func() bool { return h.countRecords(audit.Rejected, "silence") == 1 })
	h.fleet.Member("p1").Engine.Crash(time.Millisecond)
	h.fleet.Member("d1").Engine.ClearFaults("")
	a := <-done
	if a.status == 200 && a.tokens != 2 {
		t.Errorf("%+v", a)
	}
	if h.countRecords(audit.Lost, "") != 1 {
		t.Error("no KV state was lost")
	}
	h.waitUntilIdle()
	h.checkRules()
}

// Engines break the protocol: a wrong id, half a frame, two answers, endless headers, errors. The request then has
// exactly one clear ending, and is retried elsewhere if that is possible.
func TestProtocolErrors(t *testing.T) {
	for _, c := range []struct {
		name, fault, prefix string
		whole               bool // the answer is complete all the same
	}{
		{"wrong id of a read", "wrong_id", "p1", true},
		{"half an answer of a read", "half_frame", "p1", true},
		{"two answers of a read", "two_answers", "p1", true},
		{"endless headers of a read", "long_headers", "p1", true},
		{"errors of a read", "fast_errors", "p1", true},
		{"wrong id of a stream", "wrong_id", "d1", true},
		{"two ends of a stream", "two_answers", "d", true},
		{"endless headers of a stream", "long_headers", "d1", true},
		{"errors of a stream", "fast_errors", "d1", true},
		{"half a frame of a stream", "half_frame", "d", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, engineCounts(2, 2))
			h.injectFaults(c.prefix, standin.Fault{Kind: c.fault, Size: 1})
			for i := range 6 {
				a := h.stream(t.Context(), generateBody("Rate? [answer=4]", object{"session": fmt.Sprint(i)}))
				if c.whole && (a.tokens != 4 || a.finish == "") {
					t.Errorf("%+v", a)
				}
				if !c.whole && (a.failure == "" || a.finish != "") {
					t.Errorf("%+v", a)
				}
			}
			h.waitUntilIdle()
			h.checkRules()
		})
	}
}

// An engine that accepts connections and never answers is no longer used, and an answer that comes after the router
// has given up has no effect.
func TestUnresponsiveAndLateEngines(t *testing.T) {
	h := newHarness(t, engineCounts(2, 2))
	h.fleet.InjectFault(h.fleet.Member("p1"), standin.Fault{Kind: "vanish", Duration: time.Hour})
	h.fleet.InjectFault(h.fleet.Member("d1"), standin.Fault{Kind: "slow", Duration: time.Hour, Size: 1000})
	for i := range 6 {
		if a := h.stream(t.Context(), generateBody("Rate? [answer=3]", object{"session": fmt.Sprint(i), "deadline_ms": 60000})); a.tokens != 3 || a.finish == "" {
			t.Errorf("%+v", a)
		}
	}
	h.eventually("no request is open", func() bool { return h.daemon.Router.Stats().Open == 0 })
}

// A class that some engines leave unanswered is served by the others.
func TestClassUnansweredBySomeEngines(t *testing.T) {
	h := newHarness(t, engineCounts(2, 3))
	h.injectFault("d1", standin.Fault{Kind: "class_fail", Size: 1, Class: "price-ask", Mode: "silence"})
	h.injectFault("d2", standin.Fault{Kind: "class_fail", Size: 1, Class: "price-ask", Mode: "error"})
	// The module limits timeouts by the traffic, and allows two at the start.
	for i := range 2 {
		if a := h.stream(t.Context(), generateBody("Rate? [answer=3]", object{"session": fmt.Sprint(i), "deadline_ms": 60000})); a.tokens != 3 || a.finish == "" {
			t.Errorf("%+v", a)
		}
	}
	if a := h.stream(t.Context(), generateBody("Book. [answer=3]", object{"class": "pen-booking"})); a.tokens != 3 {
		t.Errorf("the other class: %+v", a)
	}
	h.waitUntilIdle()
	h.checkRules()
}

// The list drains an engine while requests are in flight: after the grace it gets nothing new, and its running
// requests end normally. Then the list becomes empty, and requests are refused immediately, until the engines are
// listed again.
func TestDrainAndEmptyList(t *testing.T) {
	h := newHarness(t, engineCounts(2, 2), withSettings("drain-grace 100ms\n"))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for c := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				if a := h.stream(t.Context(), generateBody("Rate? [answer=5]", object{"session": fmt.Sprint(c, i)})); a.tokens != 5 {
					t.Errorf("%+v", a)
				}
			}
		}()
	}
	h.fleet.Drain(h.fleet.Member("p1"))
	h.fleet.Drain(h.fleet.Member("d1"))
	h.eventually("the router knows the drain", func() bool { return h.daemon.Router.Stats().Engines == 2 })
	before := h.daemon.Router.Stats().Served
	h.eventually("more requests are served", func() bool { return h.daemon.Router.Stats().Served > before+20 })
	cancel()
	wg.Wait()
	h.checkRules()

	for _, m := range h.fleet.Members() {
		h.fleet.Unlist(m)
	}
	h.eventually("the list is empty", func() bool { return h.daemon.Router.Stats().Engines == 0 })
	a := h.stream(t.Context(), generateBody("Rate?", nil))
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") != "1" || a.header.Get("Retry-After-Ms") != "500" {
		t.Errorf("without engines: %+v", a)
	}
	resp, err := h.client.Get(h.url + "/v2/health/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ready without engines: %s", resp.Status)
	}
	for _, m := range h.fleet.Members() {
		h.fleet.Relist(m)
	}
	h.eventually("the engines are listed again", func() bool { return h.daemon.Router.Stats().Engines == 4 })
	if a := h.stream(t.Context(), generateBody("Rate? [answer=3]", nil)); a.tokens != 3 {
		t.Errorf("%+v", a)
	}
}

// If all engines have crashed but are still listed, requests are answered before their deadline.
func TestAllEnginesCrashed(t *testing.T) {
	h := newHarness(t, func(c *fleet.Config, _ *string) { c.CrashListDelay = time.Hour })
	for _, m := range h.fleet.Members() {
		m.Engine.Crash(0)
	}
	began := time.Now()
	a := h.stream(t.Context(), generateBody("Rate?", nil))
	if a.status != http.StatusServiceUnavailable && a.status != http.StatusBadGateway || time.Since(began) > 4*time.Second {
		t.Errorf("after %v: %+v", time.Since(began), a)
	}
}

// A request with a deadline shorter than any read is answered by then, as failed or refused.
func TestShortDeadline(t *testing.T) {
	h := newHarness(t, changeSpecs(func(s *standin.Spec) { s.ReadTokensPerSecond = 1000 }))
	a := h.stream(t.Context(), generateBody("Rate?", object{"deadline_ms": 50, "prompt_tokens": 20000}))
	if a.status != http.StatusGatewayTimeout && a.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", a)
	}
	h.waitUntilIdle()
	h.checkRules()
}

// A client that does not read its stream delays no other client, is dropped after a while, and makes the router
// buffer only a limited amount.
func TestClientThatDoesNotRead(t *testing.T) {
	h := newHarness(t, withSettings("client-stall 300ms\nstream-parts 8\n"), changeSpecs(func(s *standin.Spec) {
		if s.Role == decide.Writer {
			s.StepTime = time.Microsecond
		}
		s.MaxContextTokens = 400000
	}), withSettings("max-context 400k"))
	// The answer has to be larger than the buffers of the sockets.
	body := `{"id":"c1","text_input":"Rate? [answer=99999]","parameters":{"prompt_tokens":100,"max_tokens":99999}}`
	c, err := net.Dial("tcp", h.daemon.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(4096)
	fmt.Fprintf(c, "POST /v2/models/helpline/generate_stream HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	h.eventually("a writer executes the request", func() bool { return h.countRecords(audit.Executed, "") == 1 })
	for i := range 5 {
		if a := h.stream(t.Context(), generateBody("Rate? [answer=20]", object{"session": fmt.Sprint(i)})); a.tokens != 20 {
			t.Errorf("another client: %+v", a)
		}
	}
	h.eventually("the client that does not read is dropped", func() bool { return h.daemon.Router.Stats().Gone == 1 })
	h.waitUntilIdle()
}

// Invalid input gets the protocol's error response, and the connection stays usable.
func TestInvalidInput(t *testing.T) {
	h := newHarness(t, withSettings("max-body 4KiB\nmax-context 1000\n"))
	long := strings.Repeat("x", 5000)
	tensor := func(t string) string { return `{"inputs":[` + t + `]}` }
	for _, c := range []struct {
		method, path, body string
		status             int
		says               string
	}{
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":`, 400, "malformed"},
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":"x"} {}`, 400, "malformed"},
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":""}`, 400, "prompt is empty"},
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":"x","parameters":{"class":"none"}}`, 400, `no class \"none\"`},
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":"x","parameters":{"tenant":"none"}}`, 400, "no tenant"},
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":"x","parameters":{"max_tokens":0}}`, 400, "max_tokens"},
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":"x","parameters":{"deadline_ms":"soon"}}`, 400, "deadline_ms"},
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":"x","parameters":{"session":{}}}`, 400, "session"},
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":"x","parameters":{"session":"` + long[:300] + `"}}`, 400, "longer than"},
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":"x","parameters":{"prompt_tokens":900,"max_tokens":200}}`, 400, "context"},
		{"POST", "/v2/models/helpline/generate_stream", `{"text_input":"` + long + `"}`, 413, "larger than 4096"},
		{"POST", "/v2/models/other/generate_stream", `{"text_input":"x"}`, 404, "unknown model"},
		{"POST", "/v2/models/helpline/versions/9/generate", `{"text_input":"x"}`, 404, "no version"},
		{"GET", "/v2/models/helpline/generate", ``, 405, "not allowed"},
		{"POST", "/v2/health/live", ``, 405, "not allowed"},
		{"GET", "/v2/nowhere", ``, 404, "no such path"},
		{"POST", "/v2/models/helpline/infer", `{}`, 400, "text_input"},
		{"POST", "/v2/models/helpline/infer", tensor(`{"name":"text_input","shape":[2],"datatype":"BYTES","data":["x"]}`), 400, "wants 2 elements"},
		{"POST", "/v2/models/helpline/infer", tensor(`{"name":"text_input","shape":[2],"datatype":"BYTES","data":["x","y"]}`), 400, "want 1"},
		{"POST", "/v2/models/helpline/infer", tensor(`{"name":"text_input","shape":[1],"datatype":"FP32","data":[1]}`), 400, "want BYTES"},
		{"POST", "/v2/models/helpline/infer", tensor(`{"name":"mood","shape":[1],"datatype":"BYTES","data":["x"]}`), 400, `no input \"mood\"`},
		{"POST", "/v2/models/helpline/infer", `{"inputs":[{"name":"text_input","shape":[1],"datatype":"BYTES","data":["x"]}],"outputs":[{"name":"logits"}]}`, 400, "no output"},
	} {
		req, err := http.NewRequest(c.method, h.url+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := h.client.Do(req)
		if err != nil {
			t.Errorf("%s %.80s: %v", c.path, c.body, err)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != c.status || !bytes.HasPrefix(body, []byte(`{"error":"`)) || !strings.Contains(string(body), c.says) {
			t.Errorf("%s %s %.80s: %d %s, want %d and %q", c.method, c.path, c.body, resp.StatusCode, body, c.status, c.says)
		}
	}
	if a := h.stream(t.Context(), generateBody("Rate? [answer=2]", object{"prompt_tokens": 100, "max_tokens": 10})); a.tokens != 2 {
		t.Errorf("a valid request afterwards: %+v", a)
	}
	if s := h.daemon.Router.Stats(); s.Arrived != 1 {
		t.Errorf("invalid input reached the router: %+v", s)
	}
}

func TestMetadata(t *testing.T) {
	h := newHarness(t)
	for path, says := range map[string]string{
		"/v2":                                  `"name":"mintdoor"`,
		"/v2/health/live":                      `{"live":true}`,
		"/v2/health/ready":                     `{"ready":true}`,
		"/v2/models/helpline":                  `"name":"text_input","datatype":"BYTES","shape":[1]`,
		"/v2/models/helpline/versions/1":       `"versions":["1"]`,
		"/v2/models/helpline/ready":            `"ready":true`,
		"/v2/models/helpline/versions/1/ready": `"name":"helpline"`,
	} {
		resp, err := h.client.Get(h.url + path)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 200 || !strings.Contains(string(body), says) || resp.Header.Get("Content-Type") != "application/json" {
			t.Errorf("%s: %s %s", path, resp.Status, body)
		}
	}
}

// A client that sends its headers or its body very slowly is disconnected within the time limit, and delays no other
// client.
func TestSlowRequests(t *testing.T) {
	h := newHarness(t, withSettings("header-within 200ms\n"))
	head, _ := h.dialAndSend("POST /v2/models/helpline/generate_stream HTTP/1.1\r\nHost: x\r\nX-Slow: ")
	body, bodyReader := h.dialAndSend("POST /v2/models/helpline/generate_stream HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{\"text_input\":")
	if a := h.stream(t.Context(), generateBody("Rate? [answer=2]", nil)); a.tokens != 2 {
		t.Errorf("%+v", a)
	}
	for name, c := range map[string]net.Conn{"headers": head, "body": body} {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if name == "body" {
			if line, err := bodyReader.ReadString('\n'); err != nil || !strings.Contains(line, "400") {
				t.Errorf("%s: %q %v", name, line, err)
			}
			continue
		}
		if _, err := io.ReadAll(c); err != nil { // an answer or none, but the connection has to be closed
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Many idle connections do not keep other clients from being served. The test opens fewer than the 10,000 of the
// benchmark, since both ends are in this process and file descriptors are limited.
func TestIdleConnections(t *testing.T) {
	const idle = 500
	h := newHarness(t, withSettings("header-within 60s\n"))
	for range idle {
		h.dialAndSend("GET /v2/health/live HTTP/1.1\r\nHost: x\r\n")
	}
	for i := range 10 {
		if a := h.stream(t.Context(), generateBody("Rate? [answer=2]", object{"session": fmt.Sprint(i)})); a.tokens != 2 {
			t.Errorf("%+v", a)
		}
	}
}

// First tokens, timeouts, ends of answers and disconnects come at about the same time, many times. Each request has
// exactly one ending, and nothing is left behind.
func TestSimultaneousEvents(t *testing.T) {
	h := newHarness(t, changeSpecs(func(s *standin.Spec) {
		if s.Role == decide.Writer {
			s.StepTime = 3 * time.Millisecond
		}
	}))
	var wg sync.WaitGroup
	const n = 120
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if i%2 == 0 { // disconnects at about the time of the end
				time.AfterFunc(time.Duration(5+i/4)*time.Millisecond, cancel)
			}
			a := h.stream(ctx, generateBody("Rate? [answer=4]", object{"session": fmt.Sprint(i), "deadline_ms": 4 + i/4}))
			if a.finish == "" && a.failure == "" && ctx.Err() == nil && a.streamErr != nil {
				t.Errorf("%+v", a)
			}
		}()
	}
	wg.Wait()
	h.waitUntilIdle()
	s := h.daemon.Router.Stats()
	if total := s.Served + s.Refused + s.Failed + s.Gone; total != s.Arrived {
		t.Errorf("%d endings of %d requests: %+v", total, s.Arrived, s)
	}
	h.checkRules()
}

// A router that stops under load ends every open request, and releases all holds.
func TestStopUnderLoad(t *testing.T) {
	h := newHarness(t, changeSpecs(slowWrites))
	const n = 30
	answers := make(chan answer, n)
	for i := range n {
		go func() {
			answers <- h.stream(t.Context(), generateBody("Rate? [answer=300]", object{"session": fmt.Sprint(i)}))
		}()
	}
	h.eventually("over half of the requests are executed", func() bool { return h.countRecords(audit.Executed, "") > n/2 })
	members := h.fleet.Members()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	h.daemon.Drain()
	h.daemon.Drain() // a second call has no effect
	go func() {
		time.Sleep(50 * time.Millisecond)
		h.cancelRouter()
	}()
	for range n {
		select {
		case a := <-answers:
			if a.finish == "" && a.failure == "" {
				t.Errorf("no ending: %+v", a)
			}
		case <-ctx.Done():
			t.Fatal("an answer is missing")
		}
	}
	h.eventually("engines hold nothing", func() bool {
		for _, m := range members {
			if sequences, held := m.Engine.Occupancy(); sequences+held > 0 {
				return false
			}
		}
		return true
	})
}

// Memory and file descriptors do not grow over some thousand requests, many of which are abandoned.
func TestNoLeaks(t *testing.T) {
	if testing.Short() {
		t.Skip("a long-running test")
	}
	h := newHarness(t)
	rounds := func(n int) {
		var wg sync.WaitGroup
		for c := range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range n {
					ctx, cancel := context.WithCancel(t.Context())
					if i%4 == 0 {
						time.AfterFunc(time.Duration(i%13)*time.Millisecond, cancel)
					}
					h.stream(ctx, generateBody("Rate? [answer=3]", object{"session": fmt.Sprint(c, i%50), "prompt_tokens": 50}))
					cancel()
				}
			}()
		}
		wg.Wait()
		h.waitUntilIdle()
	}
	descriptors := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("file descriptors can't be counted here")
		}
		return len(list)
	}
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / 1e6
	}
	rounds(60)
	fds, goroutines, before := descriptors(), runtime.NumGoroutine(), heap()
	rounds(120)
	// The number of idle connections varies; a leak grows by hundreds here.
	if now := descriptors(); now > fds+100 {
		t.Errorf("descriptors grew from %d to %d", fds, now)
	}
	if now := heap(); now > before+16 { // the audit records grow by about 2 MB
		t.Errorf("the heap grew from %.1f to %.1f MB", before, now)
	}
	if now := runtime.NumGoroutine(); now > goroutines+200 {
		t.Errorf("goroutines grew from %d to %d", goroutines, now)
	}
}

// withoutReleases is a decision module with a fault: it never releases a hold.
type withoutReleases struct{ router.Decider }

func (f withoutReleases) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	all := f.Decider.Handle(now, ev, out)
	kept := all[:0]
	for _, a := range all {
		if a.Kind != decide.Release {
			kept = append(kept, a)
		}
	}
	return kept
}

// startBrokenRouter runs a router with a deliberately faulty module on the engines. Without release, the client of
// the engines ignores releases, too.
func startBrokenRouter(t *testing.T, h *harness, module func(router.Decider) router.Decider, release bool) *router.Router {
	client := engine.New(engine.Options{DialTimeout: time.Second, MaxConns: 100, StreamIdleTimeout: time.Second,
		ReleaseTimeout: 250 * time.Millisecond, ProbeTimeout: time.Second})
	var engines router.Engines = client
	if !release {
		engines = ignoresRelease{client}
	}
	r := router.New(router.Config{Name: "broken", Model: "helpline", Settings: h.cfg.Decide(discovery.LocationNumber),
		Kinds: []string{"prefill", "decode"}, Engines: engines, Seed: 1, MaxOpen: 100, StreamBuffer: 8, ClientStallTimeout: time.Second,
		StopTimeout: time.Second, NewDecider: func(set *decide.Settings, seed uint64, now decide.Time) router.Decider {
			return module(decide.New(set, seed, now))
		}})
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx)
	t.Cleanup(func() { cancel(); <-r.Stopped(); client.Close() })
	var list []discovery.Engine
	for _, m := range h.fleet.Members() {
		list = append(list, discovery.Engine{Name: m.Name, Addr: m.Engine.Addr(), Kind: m.Group.Kind, State: decide.Ready, Weight: 1})
	}
	if err := discovery.SortAndCheck(list); err != nil {
		t.Fatal(err)
	}
	r.Update(discovery.Update{Engines: list})
	return r
}

// ignoresRelease is a client of the engines that ignores releases.
type ignoresRelease struct{ *engine.Client }

func (ignoresRelease) Release(context.Context, *engine.State) error { return nil }

// submit submits a request and returns its ending.
func submit(t *testing.T, r *router.Router, class int, repeat string) router.Ending {
	t.Helper()
	q, err := r.Submit(&router.Job{ClientID: "q1/1", Class: class, ClassName: repeat, Prompt: "Rate? [answer=2]", PromptTokens: 100, Tenant: 99,
		MaxTokens: 10, Deadline: time.Now().Add(3 * time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, end := q.Next(t.Context()); end != nil {
			return *end
		}
	}
}

// The audit detects a deliberately faulty router from what the engines have recorded.
func TestAuditDetectsFaultyRouters(t *testing.T) {
	findings := func(h *harness, rule int) int {
		records, dropped := h.record.Records()
		n := 0
		for _, f := range audit.Check(records, dropped, audit.Rules{HoldTimeout: 300 * time.Millisecond, Slack: 50 * time.Millisecond}).Findings {
			if f.Rule == rule {
				n++
			}
		}
		return n
	}
	t.Run("it never releases", func(t *testing.T) {
		h := newHarness(t)
		h.injectFaults("d", standin.Fault{Kind: "fast_errors", Size: 1})
		r := startBrokenRouter(t, h, func(d router.Decider) router.Decider { return withoutReleases{d} }, false)
		submit(t, r, 0, "safe")
		h.eventually("the KV state expires", func() bool { return h.countRecords(audit.Expired, "") == 1 })
		if findings(h, 5) == 0 {
			t.Error("rule 5 was broken and the audit did not find it")
		}
	})
	t.Run("it retries an unsafe request", func(t *testing.T) {
		h := newHarness(t, changeSpecs(func(s *standin.Spec) {
			if s.Role == decide.Writer {
				s.StepTime = 100 * time.Millisecond
			}
		}))
		h.injectFaults("d", standin.Fault{Kind: "wrong_id", Size: 1})
		// The engines' client works, but the module sends an unsafe request again after it was executed.
		h.record.Add(audit.Record{Who: "client", Kind: audit.Asked, ID: "q1/1", Class: "pen-booking", Repeat: "unsafe",
			Deadline: time.Now().Add(time.Minute).UnixNano()})
		to := discovery.Engine{Name: "p1"}
		r := startBrokenRouter(t, h, func(d router.Decider) router.Decider {
			return retriesFailed{d, to.ID(), map[decide.RequestID]int{}}
		}, true)
		submit(t, r, 1, "pen-booking")
		h.eventually("it is executed twice", func() bool { return h.countRecords(audit.Executed, "") >= 2 })
		if findings(h, 2) == 0 {
			t.Error("rule 2 was broken and the audit did not find it")
		}
	})
}

// retriesFailed is a decision module with a fault: it reads and writes a failed request once more.
type retriesFailed struct {
	router.Decider
	reader decide.ServerID
	sent   map[decide.RequestID]int
}

func (m retriesFailed) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	if ev.Kind == decide.AttemptEnded && m.sent[ev.Request] == 1 && ev.Outcome == decide.ReadDone {
		m.sent[ev.Request]++
		to := discovery.Engine{Name: "d1"}
		return append(out, decide.Action{Kind: decide.Send, Request: ev.Request, Server: to.ID()})
	}
	out = m.Decider.Handle(now, ev, out)
	for i := range out {
		if out[i].Kind == decide.Fail && m.sent[out[i].Request] == 0 {
			m.sent[out[i].Request] = 1
			out[i] = decide.Action{Kind: decide.Send, Request: out[i].Request, Server: m.reader}
		}
	}
	return out
}
