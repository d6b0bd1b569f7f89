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

// engines sets how many engines there are of each kind.
func engines(prefill, decode int) option {
	return func(c *fleet.Config, _ *string) { c.Groups[0].Count, c.Groups[1].Count = prefill, decode }
}

// spec changes the engines' specs.
func spec(change func(*standin.Spec)) option {
	return func(c *fleet.Config, _ *string) {
		for i := range c.Groups {
			change(&c.Groups[i].Spec)
		}
	}
}

// kept checks what the engines have seen against the rules 2 to 5.
func (w *world) kept() {
	w.t.Helper()
	records, dropped := w.record.Records()
	rep := audit.Check(records, dropped, audit.Rules{DrainGrace: w.set.DrainGrace, ListInterval: w.set.ListInterval,
		OverloadMultiple: w.set.OverloadMultiple, OverloadWindow: w.set.OverloadWindow, HoldTimeout: w.set.HoldTimeout, Slack: 2 * time.Second})
	for _, f := range rep.Findings {
		w.t.Errorf("rule %d: %s", f.Rule, f.Text)
	}
}

// seen counts records.
func (w *world) seen(what audit.EventKind, note string) int {
	records, _ := w.record.Records()
	n := 0
	for _, r := range records {
		if r.Kind == what && (note == "" || r.Note == note) {
			n++
		}
	}
	return n
}

// slowly makes answers take long enough to be interrupted.
func slowly(s *standin.Spec) {
	if s.Role == decide.Writer {
		s.StepTime = 20 * time.Millisecond
	}
}

// A client that cancels: during the read, while its state waits at a writer, and in mid-answer. Nothing is
// left at any engine and no rule is broken.
func TestClientCancels(t *testing.T) {
	for _, c := range []struct {
		name string
		opts []option
		when func(w *world) bool
	}{
		{"during the read", []option{spec(func(s *standin.Spec) { s.ReadTokensPerSecond = 500 })}, func(w *world) bool { return w.seen(audit.Arrived, "") == 1 }},
		{"while its state waits", nil, func(w *world) bool { return w.seen(audit.Rejected, "silence") == 1 }},
		{"in mid-answer", []option{spec(slowly)}, func(w *world) bool { return w.seen(audit.Executed, "") == 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.opts...)
			if c.name == "while its state waits" {
				w.playAll("d", standin.Fault{Kind: "class_fail", Size: 1, Mode: "silence"})
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan answer, 1)
			go func() {
				done <- w.stream(ctx, generate("Rate? [answer=400]", ask{"prompt_tokens": 1000, "deadline_ms": 60000}))
			}()
			w.eventually(c.name, func() bool { return c.when(w) })
			cancel()
			if a := <-done; a.finish != "" {
				t.Errorf("%+v", a)
			}
			w.settled()
			w.eventually("the client is counted as gone", func() bool { return w.daemon.Router.Stats().Gone == 1 })
			w.kept()
		})
	}
}

// A client that closes only its sending half has left too, as far as HTTP goes; it is seen at once.
func TestHalfClose(t *testing.T) {
	w := newWorld(t, spec(slowly))
	body := `{"id":"c1","text_input":"Rate? [answer=400]","parameters":{"prompt_tokens":100}}`
	c, r := w.raw(fmt.Sprintf("POST /v2/models/helpline/generate_stream HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, "200") {
		t.Fatal(line, err)
	}
	c.(*net.TCPConn).CloseWrite()
	w.eventually("the client is gone", func() bool { return w.daemon.Router.Stats().Gone == 1 })
	w.settled()
}

// A decode engine that dies after it fetched the state: before the first token another read is made, after
// it the stream ends with an error event and nothing else.
func TestDecodeEngineDies(t *testing.T) {
	t.Run("before its first token", func(t *testing.T) {
		w := newWorld(t, engines(2, 2), spec(func(s *standin.Spec) {
			if s.Role == decide.Writer {
				s.StepTime = 400 * time.Millisecond // between the fetch and the first token
			}
		}))
		done := make(chan answer, 1)
		go func() {
			done <- w.stream(t.Context(), generate("Rate? [answer=2]", ask{"deadline_ms": 60000}))
		}()
		w.eventually("a writer has the state", func() bool { return w.seen(audit.Executed, "") == 1 })
		records, _ := w.record.Records()
		for _, r := range records {
			if r.Kind == audit.Executed {
				w.fleet.Member(r.Who).Engine.Crash(0)
			}
		}
		if a := <-done; a.tokens != 2 || a.finish == "" {
			t.Errorf("%+v", a)
		}
		if n := w.seen(audit.Held, ""); n != 2 {
			t.Errorf("the prompt was read %d times, want again after the state was lost", n)
		}
		w.settled()
	})
	t.Run("in mid-answer", func(t *testing.T) {
		w := newWorld(t, spec(slowly))
		done := make(chan answer, 1)
		go func() { done <- w.stream(t.Context(), generate("Rate? [answer=400]", nil)) }()
		w.eventually("it streams", func() bool { return w.seen(audit.Executed, "") == 1 })
		time.Sleep(100 * time.Millisecond) // some tokens; how many does not matter
		for _, m := range w.fleet.Members() {
			if m.Group.Kind == "decode" {
				m.Engine.Crash(0)
			}
		}
		a := <-done
		if a.broken != nil || a.finish != "" || a.status != 200 && a.status != 503 || a.failure == "" {
			t.Errorf("a stream that broke has to end with an error event: %+v", a)
		}
		w.settled()
	})
}

// An unsafe class whose attempt at a writer was cut off is failed: not retried, not refused.
func TestUnsafeIsNotRepeated(t *testing.T) {
	w := newWorld(t, spec(func(s *standin.Spec) {
		if s.Role == decide.Writer {
			s.StepTime = 400 * time.Millisecond
		}
	}))
	done := make(chan answer, 1)
	go func() {
		done <- w.stream(t.Context(), generate("Book. [answer=2]", ask{"class": "pen-booking", "deadline_ms": 60000}))
	}()
	w.eventually("a writer has the state", func() bool { return w.seen(audit.Executed, "") == 1 })
	for _, m := range w.fleet.Members() {
		if m.Group.Kind == "decode" {
			m.Engine.Crash(0)
		}
	}
	a := <-done
	if a.status != http.StatusBadGateway || a.header.Get("Retry-After") != "" {
		t.Errorf("%+v", a)
	}
	if n := w.seen(audit.Executed, ""); n != 1 {
		t.Errorf("it ran %d times", n)
	}
	w.settled()
}

// A prefill engine that restarts under its address while it holds states: the state is gone, the writer
// says so, and the prompt is read again.
func TestPrefillEngineRestarts(t *testing.T) {
	w := newWorld(t, engines(1, 1), more("attempts 64\n"))
	w.play("d1", standin.Fault{Kind: "class_fail", Size: 1, Mode: "silence"})
	done := make(chan answer, 1)
	go func() {
		done <- w.stream(t.Context(), generate("Rate? [answer=2]", ask{"deadline_ms": 60000}))
	}()
	w.eventually("the writer keeps silent", func() bool { return w.seen(audit.Rejected, "silence") == 1 })
	w.fleet.Member("p1").Engine.Crash(time.Millisecond)
	w.fleet.Member("d1").Engine.ClearFaults("")
	a := <-done
	if a.status == 200 && a.tokens != 2 {
		t.Errorf("%+v", a)
	}
	if w.seen(audit.Lost, "") != 1 {
		t.Error("no state was lost")
	}
	w.settled()
	w.kept()
}

// Engines that misbehave on the wire: an answer with another id, half a frame, two answers, headers
// without end, errors. Each time the request ends in one clear way, and what can be tried elsewhere is.
func TestEnginesThatMisbehave(t *testing.T) {
	for _, c := range []struct {
		name, fault, prefix string
		whole               bool // the answer is whole all the same
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
			w := newWorld(t, engines(2, 2))
			w.playAll(c.prefix, standin.Fault{Kind: c.fault, Size: 1})
			for i := range 6 {
				a := w.stream(t.Context(), generate("Rate? [answer=4]", ask{"session": fmt.Sprint(i)}))
				if c.whole && (a.tokens != 4 || a.finish == "") {
					t.Errorf("%+v", a)
				}
				if !c.whole && (a.failure == "" || a.finish != "") {
					t.Errorf("%+v", a)
				}
			}
			w.settled()
			w.kept()
		})
	}
}

// An engine that accepts and never answers is left; one that answers after the router gave up changes
// nothing.
func TestSilentAndLateEngines(t *testing.T) {
	w := newWorld(t, engines(2, 2))
	w.fleet.InjectFault(w.fleet.Member("p1"), standin.Fault{Kind: "vanish", Duration: time.Hour})
	w.fleet.InjectFault(w.fleet.Member("d1"), standin.Fault{Kind: "slow", Duration: time.Hour, Size: 1000})
	for i := range 6 {
		if a := w.stream(t.Context(), generate("Rate? [answer=3]", ask{"session": fmt.Sprint(i), "deadline_ms": 60000})); a.tokens != 3 || a.finish == "" {
			t.Errorf("%+v", a)
		}
	}
	w.eventually("the table is empty", func() bool { return w.daemon.Router.Stats().Open == 0 })
}

// A class that some engines leave unanswered is served by the others.
func TestClassThatFails(t *testing.T) {
	w := newWorld(t, engines(2, 3))
	w.play("d1", standin.Fault{Kind: "class_fail", Size: 1, Class: "price-ask", Mode: "silence"})
	w.play("d2", standin.Fault{Kind: "class_fail", Size: 1, Class: "price-ask", Mode: "error"})
	// The module rations its time-outs by the traffic: two are to be had at the start.
	for i := range 2 {
		if a := w.stream(t.Context(), generate("Rate? [answer=3]", ask{"session": fmt.Sprint(i), "deadline_ms": 60000})); a.tokens != 3 || a.finish == "" {
			t.Errorf("%+v", a)
		}
	}
	if a := w.stream(t.Context(), generate("Book. [answer=3]", ask{"class": "pen-booking"})); a.tokens != 3 {
		t.Errorf("the other class: %+v", a)
	}
	w.settled()
	w.kept()
}

// The list names an engine draining while requests are on the way: nothing new comes to it after the grace,
// and what runs there ends well. Then the list goes empty, and requests are refused at once; then it
// returns.
func TestDrainsAndEmptyList(t *testing.T) {
	w := newWorld(t, engines(2, 2), more("drain-grace 100ms\n"))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for c := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				if a := w.stream(t.Context(), generate("Rate? [answer=5]", ask{"session": fmt.Sprint(c, i)})); a.tokens != 5 {
					t.Errorf("%+v", a)
				}
			}
		}()
	}
	w.fleet.Drain(w.fleet.Member("p1"))
	w.fleet.Drain(w.fleet.Member("d1"))
	w.eventually("the drain is known", func() bool { return w.daemon.Router.Stats().Engines == 2 })
	before := w.daemon.Router.Stats().Served
	w.eventually("answers go on", func() bool { return w.daemon.Router.Stats().Served > before+20 })
	cancel()
	wg.Wait()
	w.kept()

	for _, m := range w.fleet.Members() {
		w.fleet.Unlist(m)
	}
	w.eventually("the list is empty", func() bool { return w.daemon.Router.Stats().Engines == 0 })
	a := w.stream(t.Context(), generate("Rate?", nil))
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") != "1" || a.header.Get("Retry-After-Ms") != "500" {
		t.Errorf("without engines: %+v", a)
	}
	resp, err := w.client.Get(w.url + "/v2/health/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ready without engines: %s", resp.Status)
	}
	for _, m := range w.fleet.Members() {
		w.fleet.Relist(m)
	}
	w.eventually("the list is back", func() bool { return w.daemon.Router.Stats().Engines == 4 })
	if a := w.stream(t.Context(), generate("Rate? [answer=3]", nil)); a.tokens != 3 {
		t.Errorf("%+v", a)
	}
}

// All engines are gone but still listed: requests are answered before their deadline.
func TestAllEnginesGone(t *testing.T) {
	w := newWorld(t, func(c *fleet.Config, _ *string) { c.CrashListDelay = time.Hour })
	for _, m := range w.fleet.Members() {
		m.Engine.Crash(0)
	}
	began := time.Now()
	a := w.stream(t.Context(), generate("Rate?", nil))
	if a.status != http.StatusServiceUnavailable && a.status != http.StatusBadGateway || time.Since(began) > 4*time.Second {
		t.Errorf("after %v: %+v", time.Since(began), a)
	}
}

// A deadline shorter than any read is answered by its time, as a failure or a refusal.
func TestShortDeadline(t *testing.T) {
	w := newWorld(t, spec(func(s *standin.Spec) { s.ReadTokensPerSecond = 1000 }))
	a := w.stream(t.Context(), generate("Rate?", ask{"deadline_ms": 50, "prompt_tokens": 20000}))
	if a.status != http.StatusGatewayTimeout && a.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", a)
	}
	w.settled()
	w.kept()
}

// A client that does not read its stream holds up no other, and is given up after a while; what it can make
// the router hold is bounded.
func TestSlowReaderOfAStream(t *testing.T) {
	w := newWorld(t, more("client-stall 300ms\nstream-parts 8\n"), spec(func(s *standin.Spec) {
		if s.Role == decide.Writer {
			s.StepTime = time.Microsecond
		}
		s.MaxContextTokens = 400000
	}), more("max-context 400k"))
	// The answer has to be larger than the buffers of the sockets.
	body := `{"id":"c1","text_input":"Rate? [answer=99999]","parameters":{"prompt_tokens":100,"max_tokens":99999}}`
	c, err := net.Dial("tcp", w.daemon.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(4096)
	fmt.Fprintf(c, "POST /v2/models/helpline/generate_stream HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	w.eventually("it streams", func() bool { return w.seen(audit.Executed, "") == 1 })
	for i := range 5 {
		if a := w.stream(t.Context(), generate("Rate? [answer=20]", ask{"session": fmt.Sprint(i)})); a.tokens != 20 {
			t.Errorf("another client: %+v", a)
		}
	}
	w.eventually("the one that does not read is given up", func() bool { return w.daemon.Router.Stats().Gone == 1 })
	w.settled()
}

// Bad input of all kinds gets the protocol's error, and the connection stays of use.
func TestBadInput(t *testing.T) {
	w := newWorld(t, more("max-body 4KiB\nmax-context 1000\n"))
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
		req, err := http.NewRequest(c.method, w.url+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := w.client.Do(req)
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
	if a := w.stream(t.Context(), generate("Rate? [answer=2]", ask{"prompt_tokens": 100, "max_tokens": 10})); a.tokens != 2 {
		t.Errorf("a sound request afterwards: %+v", a)
	}
	if s := w.daemon.Router.Stats(); s.Arrived != 1 {
		t.Errorf("bad input came to the core: %+v", s)
	}
}

func TestMetadata(t *testing.T) {
	w := newWorld(t)
	for path, says := range map[string]string{
		"/v2":                                  `"name":"mintdoor"`,
		"/v2/health/live":                      `{"live":true}`,
		"/v2/health/ready":                     `{"ready":true}`,
		"/v2/models/helpline":                  `"name":"text_input","datatype":"BYTES","shape":[1]`,
		"/v2/models/helpline/versions/1":       `"versions":["1"]`,
		"/v2/models/helpline/ready":            `"ready":true`,
		"/v2/models/helpline/versions/1/ready": `"name":"helpline"`,
	} {
		resp, err := w.client.Get(w.url + path)
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

// A client that drips its headers, and one that drips its body, are left within the time for them, and
// hold up nobody.
func TestDripping(t *testing.T) {
	w := newWorld(t, more("header-within 200ms\n"))
	head, _ := w.raw("POST /v2/models/helpline/generate_stream HTTP/1.1\r\nHost: x\r\nX-Slow: ")
	body, bodyReader := w.raw("POST /v2/models/helpline/generate_stream HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{\"text_input\":")
	if a := w.stream(t.Context(), generate("Rate? [answer=2]", nil)); a.tokens != 2 {
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
		if _, err := io.ReadAll(c); err != nil { // an answer or none, but an end
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Thousands of idle connections cost little and keep nobody out. CI takes fewer than the 10,000 of the
// measurement, since both ends are in this process and files are bounded.
func TestIdleConnections(t *testing.T) {
	const idle = 500
	w := newWorld(t, more("header-within 60s\n"))
	for range idle {
		w.raw("GET /v2/health/live HTTP/1.1\r\nHost: x\r\n")
	}
	for i := range 10 {
		if a := w.stream(t.Context(), generate("Rate? [answer=2]", ask{"session": fmt.Sprint(i)})); a.tokens != 2 {
			t.Errorf("%+v", a)
		}
	}
}

// First token and time-out, end and hang-up, at about the same moment, many times: each request has one
// ending, and nothing is left.
func TestEventsAtOneMoment(t *testing.T) {
	w := newWorld(t, spec(func(s *standin.Spec) {
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
			if i%2 == 0 { // hangs up at about the time of the end
				time.AfterFunc(time.Duration(5+i/4)*time.Millisecond, cancel)
			}
			a := w.stream(ctx, generate("Rate? [answer=4]", ask{"session": fmt.Sprint(i), "deadline_ms": 4 + i/4}))
			if a.finish == "" && a.failure == "" && ctx.Err() == nil && a.broken != nil {
				t.Errorf("%+v", a)
			}
		}()
	}
	wg.Wait()
	w.settled()
	s := w.daemon.Router.Stats()
	if total := s.Served + s.Refused + s.Failed + s.Gone; total != s.Arrived {
		t.Errorf("%d endings of %d requests: %+v", total, s.Arrived, s)
	}
	w.kept()
}

// A router that stops under load answers what it has, and lets go of what it holds.
func TestStopUnderLoad(t *testing.T) {
	w := newWorld(t, spec(slowly))
	const n = 30
	answers := make(chan answer, n)
	for i := range n {
		go func() {
			answers <- w.stream(t.Context(), generate("Rate? [answer=300]", ask{"session": fmt.Sprint(i)}))
		}()
	}
	w.eventually("some stream", func() bool { return w.seen(audit.Executed, "") > n/2 })
	members := w.fleet.Members()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	w.daemon.Drain()
	w.daemon.Drain() // again does no harm
	go func() {
		time.Sleep(50 * time.Millisecond)
		w.halt()
	}()
	for range n {
		select {
		case a := <-answers:
			if a.finish == "" && a.failure == "" {
				t.Errorf("no word: %+v", a)
			}
		case <-ctx.Done():
			t.Fatal("an answer is missing")
		}
	}
	w.eventually("engines hold nothing", func() bool {
		for _, m := range members {
			if sequences, held := m.Engine.Occupancy(); sequences+held > 0 {
				return false
			}
		}
		return true
	})
}

// Memory and file descriptors stay flat over some thousand requests of which many are abandoned.
func TestNothingGrows(t *testing.T) {
	if testing.Short() {
		t.Skip("a soak")
	}
	w := newWorld(t)
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
					w.stream(ctx, generate("Rate? [answer=3]", ask{"session": fmt.Sprint(c, i%50), "prompt_tokens": 50}))
					cancel()
				}
			}()
		}
		wg.Wait()
		w.settled()
	}
	descriptors := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("descriptors can't be counted here")
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
	// Idle connections come and go; what leaks grows by hundreds here.
	if now := descriptors(); now > fds+100 {
		t.Errorf("descriptors grew from %d to %d", fds, now)
	}
	if now := heap(); now > before+16 { // the records of the audit grow by some 2 MB
		t.Errorf("the heap grew from %.1f to %.1f MB", before, now)
	}
	if now := runtime.NumGoroutine(); now > goroutines+200 {
		t.Errorf("goroutines grew from %d to %d", goroutines, now)
	}
}

// forgetful is a decision module with a fault: it never lets go of a state.
type forgetful struct{ router.Decider }

func (f forgetful) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
	all := f.Decider.Handle(now, ev, out)
	kept := all[:0]
	for _, a := range all {
		if a.Kind != decide.Release {
			kept = append(kept, a)
		}
	}
	return kept
}

// brokenWorld runs a router whose module is broken on purpose over real engines.
func brokenWorld(t *testing.T, w *world, module func(router.Decider) router.Decider, letGo bool) *router.Router {
	client := engine.New(engine.Options{DialTimeout: time.Second, MaxConns: 100, StreamIdleTimeout: time.Second,
		ReleaseTimeout: 250 * time.Millisecond, ProbeTimeout: time.Second})
	var engines router.Engines = client
	if !letGo {
		engines = noRelease{client}
	}
	r := router.New(router.Config{Name: "broken", Model: "helpline", Settings: w.set.Decide(discovery.LocationNumber),
		Kinds: []string{"prefill", "decode"}, Engines: engines, Seed: 1, MaxOpen: 100, StreamBuffer: 8, ClientStallTimeout: time.Second,
		StopTimeout: time.Second, NewDecider: func(set *decide.Settings, seed uint64, now decide.Time) router.Decider {
			return module(decide.New(set, seed, now))
		}})
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx)
	t.Cleanup(func() { cancel(); <-r.Stopped(); client.Close() })
	var list []discovery.Engine
	for _, m := range w.fleet.Members() {
		list = append(list, discovery.Engine{Name: m.Name, Addr: m.Engine.Addr(), Kind: m.Group.Kind, State: decide.Ready, Weight: 1})
	}
	if err := discovery.SortAndCheck(list); err != nil {
		t.Fatal(err)
	}
	r.Update(discovery.Update{Engines: list})
	return r
}

// noRelease is a core that forgets releases too.
type noRelease struct{ *engine.Client }

func (noRelease) Release(context.Context, *engine.State) error { return nil }

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

// A router that is broken on purpose is caught by the audit, from the sockets alone.
func TestAuditCatchesBrokenRouters(t *testing.T) {
	findings := func(w *world, rule int) int {
		records, dropped := w.record.Records()
		n := 0
		for _, f := range audit.Check(records, dropped, audit.Rules{HoldTimeout: 300 * time.Millisecond, Slack: 50 * time.Millisecond}).Findings {
			if f.Rule == rule {
				n++
			}
		}
		return n
	}
	t.Run("it never lets go", func(t *testing.T) {
		w := newWorld(t)
		w.playAll("d", standin.Fault{Kind: "fast_errors", Size: 1})
		r := brokenWorld(t, w, func(d router.Decider) router.Decider { return forgetful{d} }, false)
		submit(t, r, 0, "safe")
		w.eventually("the state lapses", func() bool { return w.seen(audit.Expired, "") == 1 })
		if findings(w, 5) == 0 {
			t.Error("rule 5 was broken and nobody saw it")
		}
	})
	t.Run("it repeats what may not be repeated", func(t *testing.T) {
		w := newWorld(t, spec(func(s *standin.Spec) {
			if s.Role == decide.Writer {
				s.StepTime = 100 * time.Millisecond
			}
		}))
		w.playAll("d", standin.Fault{Kind: "wrong_id", Size: 1})
		// Its core forgets nothing, but the module sends an unsafe request again after it ran.
		w.record.Add(audit.Record{Who: "client", Kind: audit.Asked, ID: "q1/1", Class: "pen-booking", Repeat: "unsafe",
			Deadline: time.Now().Add(time.Minute).UnixNano()})
		to := discovery.Engine{Name: "p1"}
		r := brokenWorld(t, w, func(d router.Decider) router.Decider {
			return again{d, to.ID(), map[decide.RequestID]int{}}
		}, true)
		submit(t, r, 1, "pen-booking")
		w.eventually("it ran twice", func() bool { return w.seen(audit.Executed, "") >= 2 })
		if findings(w, 2) == 0 {
			t.Error("rule 2 was broken and nobody saw it")
		}
	})
}

// again has a failed request read and written once more.
type again struct {
	router.Decider
	reader decide.ServerID
	sent   map[decide.RequestID]int
}

func (m again) Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action {
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
