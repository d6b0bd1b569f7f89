package watch

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/discovery"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// agent answers requests with the given texts in order. After the last one, and for an empty text, it does not
// respond.
type agent struct {
	*httptest.Server
	mu       sync.Mutex
	answers  []string
	received []string
}

func startAgent(t *testing.T, answers ...string) *agent {
	a := &agent{answers: answers}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.received = append(a.received, r.URL.RequestURI())
		answer := ""
		if len(a.answers) > 0 {
			answer, a.answers = a.answers[0], a.answers[1:]
		}
		a.mu.Unlock()
		if answer == "" {
			<-r.Context().Done()
			return
		}
		if code := 0; strings.HasPrefix(answer, "status ") {
			fmt.Sscanf(answer, "status %d", &code)
			w.WriteHeader(code)
			return
		}
		fmt.Fprint(w, answer)
	}))
	t.Cleanup(func() { a.CloseClientConnections(); a.Close() })
	return a
}

func (a *agent) addr() string { return a.Listener.Addr().String() }

func (a *agent) requests() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.received...)
}

// list returns a list in discovery's format.
func list(revision int64, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// member returns a member of a list in discovery's format.
func member(id, addr, phase string, since int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m2","cell":3,"phase":%q,"size":1.0,"up_since_ms":%d}`,
		id, addr, phase, since)
}

// runSource runs a source until the test ends and returns a channel with its updates.
func runSource(t *testing.T, s *Source) chan discovery.Update {
	ctx, cancel := context.WithCancel(context.Background())
	updates := make(chan discovery.Update, 100)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Run(ctx, func(u discovery.Update) { updates <- u }); err != nil {
			t.Errorf("Run: %v", err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return updates
}

// nextUpdate waits for the next update and returns it as text: the engines, or "failed".
func nextUpdate(t *testing.T, updates chan discovery.Update) string {
	t.Helper()
	select {
	case u := <-updates:
		if u.Err != nil {
			return "failed"
		}
		var out []string
		for _, e := range u.Engines {
			state := map[decide.Condition]string{decide.Ready: "up", decide.Draining: "draining"}[e.State]
			since := int64(0)
			if !e.StartedAt.IsZero() {
				since = e.StartedAt.UnixMilli()
			}
			out = append(out, fmt.Sprintf("%s %s %s %d", e.Name, e.Addr, state, since))
		}
		return strings.Join(out, ", ")
	case <-time.After(20 * time.Second):
		t.Fatal("no update was reported")
		return ""
	}
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// The source requests the whole list first and then the changes, each time since the last revision.
func TestListAndChanges(t *testing.T) {
	a := startAgent(t,
		list(41, true, member("s1", "h:1", "up", 0), member("s2", "h:2", "up", 0)),
		list(42, false),
		list(43, false, member("s1", "h:1", "draining", 0), member("s3", "h:3", "up", 7)),
		list(44, false, member("s1", "h:1", "removed", 0), member("s2", "h:9", "up", 5)),
		list(50, true, member("s9", "h:1", "up", 0)))
	updates := runSource(t, New(a.addr(), []string{"m1", "m2"}, nil, discardLogger()))
	for _, want := range []string{
		"s1 h:1 up 0, s2 h:2 up 0",
		"s1 h:1 up 0, s2 h:2 up 0",
		"s1 h:1 draining 0, s2 h:2 up 0, s3 h:3 up 7",
		"s2 h:9 up 5, s3 h:3 up 7",
		"s9 h:1 up 0",
	} {
		if got := nextUpdate(t, updates); got != want {
			t.Errorf("reported %q, want %q", got, want)
		}
	}
	requests := a.requests()
	for i, want := range []string{ListPath, ListPath + "?since=41&timeout_ms=1000", ListPath + "?since=42&timeout_ms=1000",
		ListPath + "?since=43&timeout_ms=1000", ListPath + "?since=44&timeout_ms=1000"} {
		if requests[i] != want {
			t.Errorf("call %d: %s, want %s", i, requests[i], want)
		}
	}
}

// A malformed response counts as a failed call: the last valid list stays, and the whole list is requested next.
func TestMalformedResponses(t *testing.T) {
	valid := list(41, true, member("s1", "h:1", "up", 0))
	for name, bad := range map[string]string{
		"no JSON":                   `{"revision":42,`,
		"no revision":               `{"members":[]}`,
		"whole, no members":         `{"revision":42,"complete":true}`,
		"two lists":                 list(42, true, member("s1", "h:1", "up", 0)) + list(42, true),
		"members are no list":       `{"revision":42,"complete":true,"members":{"s1":{}}}`,
		"older":                     list(40, false),
		"older and whole":           list(40, true),
		"as old, without members":   list(41, true),
		"status":                    "status 500",
		"endless":                   list(42, true, member("s2", strings.Repeat("x", maxResponseSize), "up", 0)),
		"more members than allowed": list(42, true, slices.Repeat([]string{"{}"}, maxMembers+1)...),
	} {
		t.Run(name, func(t *testing.T) {
			a := startAgent(t, valid, bad, list(43, true, member("s1", "h:1", "draining", 0)))
			updates := runSource(t, New(a.addr(), []string{"m2"}, nil, discardLogger()))
			for _, want := range []string{"s1 h:1 up 0", "failed", "s1 h:1 draining 0"} {
				if got := nextUpdate(t, updates); got != want {
					t.Errorf("reported %q, want %q", got, want)
				}
			}
			if got := a.requests()[2]; got != ListPath {
				t.Errorf("requested %s", got)
			}
		})
	}
}

// An invalid member does not affect the others: a drain in the same response is reported. The invalid member's own
// engine is not made available beyond what its entry may allow, and the whole list is requested next.
func TestInvalidMembers(t *testing.T) {
	const others = "s1 h:1 draining 0, s2 h:2 up 0"
	ofKind := func(member, kind string) string { return strings.Replace(member, `"m2"`, `"`+kind+`"`, 1) }
	for name, c := range map[string]struct {
		invalid []string
		want    string
	}{
		"unknown phase":              {[]string{member("s3", "h:3", "asleep", 0)}, others + ", s3 h:3 draining 0"},
		"unknown phase of a new one": {[]string{member("s4", "h:4", "asleep", 0)}, others + ", s3 h:3 up 0"},
		"unknown kind":               {[]string{ofKind(member("s3", "h:3", "up", 0), "m9")}, others},
		"unknown kind of a new one":  {[]string{ofKind(member("s4", "h:4", "up", 0), "m9")}, others + ", s3 h:3 up 0"},
		"one id twice": {[]string{member("s3", "h:3", "draining", 0), member("s3", "h:3", "up", 0)},
			others + ", s3 h:3 draining 0"},
		"one id twice, the other way": {[]string{member("s3", "h:3", "up", 0), member("s3", "h:3", "draining", 0)},
			others + ", s3 h:3 draining 0"},
		"one id twice, removed": {[]string{member("s3", "h:3", "up", 0), member("s3", "h:3", "removed", 0)}, others},
		"one address":           {[]string{member("s4", "h:3", "up", 0)}, others + ", s4 h:3 up 0"},
		"one address, started later": {[]string{member("s3", "h:3", "up", 9), member("s4", "h:3", "up", 8)},
			others + ", s3 h:3 up 9"},
		"one address, one drains": {[]string{member("s3", "h:3", "draining", 0), member("s4", "h:3", "up", 0)},
			others + ", s4 h:3 up 0"},
		"no address":              {[]string{member("s3", "", "up", 0)}, others + ", s3 h:3 up 0"},
		"no address, and drains":  {[]string{member("s3", "", "draining", 0)}, others + ", s3 h:3 draining 0"},
		"negative start":          {[]string{member("s3", "h:3", "up", -1)}, others + ", s3 h:3 up 0"},
		"no id":                   {[]string{member("", "h:3", "up", 0)}, others + ", s3 h:3 up 0"},
		"no object":               {[]string{`"s3"`}, others + ", s3 h:3 up 0"},
		"a field of another type": {[]string{`{"id":"s3","host_port":7,"phase":"up"}`}, others + ", s3 h:3 up 0"},
		"the same, and drains": {[]string{`{"id":"s3","cell":"x","phase":"draining"}`},
			others + ", s3 h:3 draining 0"},
		"the same, and removed": {[]string{`{"id":"s3","cell":"x","phase":"removed"}`}, others},
	} {
		t.Run(name, func(t *testing.T) {
			changes := append(c.invalid, member("s1", "h:1", "draining", 0))
			a := startAgent(t, list(41, true, member("s1", "h:1", "up", 0), member("s2", "h:2", "up", 0), member("s3", "h:3", "up", 0)),
				list(42, false, changes...), list(43, true, member("s2", "h:2", "up", 0)))
			updates := runSource(t, New(a.addr(), []string{"m2"}, nil, discardLogger()))
			nextUpdate(t, updates)
			if got := nextUpdate(t, updates); got != c.want {
				t.Errorf("reported %q, want %q", got, c.want)
			}
			if got := nextUpdate(t, updates); got != "s2 h:2 up 0" {
				t.Errorf("then reported %q", got)
			}
			if got := a.requests()[2]; got != ListPath {
				t.Errorf("requested %s", got)
			}
		})
	}
}

// Settings replace spaces and commas in names by '_', while discovery sends the original names. The kind is
// recognized nevertheless.
func TestKindsAreNormalizedAsInSettings(t *testing.T) {
	a := startAgent(t, list(41, true, strings.Replace(member("s1", "h:1", "up", 0), `"m2"`, `"m 2,big"`, 1)))
	updates := runSource(t, New(a.addr(), []string{"m_2_big"}, nil, discardLogger()))
	if got := nextUpdate(t, updates); got != "s1 h:1 up 0" {
		t.Errorf("reported %q", got)
	}
}

// A complete list with an invalid member is watched like any other list, and its problems are logged once.
func TestCompleteListWithInvalidMember(t *testing.T) {
	broken := strings.Replace(member("s9", "h:9", "up", 0), "m2", "m9", 1)
	a := startAgent(t, list(41, true, member("s1", "h:1", "up", 0), broken), list(42, false, member("s1", "h:1", "draining", 0)),
		list(43, true, member("s1", "h:1", "draining", 0), broken), list(44, true, member("s1", "h:1", "draining", 0), broken),
		list(45, true))
	var log strings.Builder
	updates := runSource(t, New(a.addr(), []string{"m2"}, nil, slog.New(slog.NewTextHandler(&log, nil))))
	for i, want := range []string{"s1 h:1 up 0", "s1 h:1 draining 0", "s1 h:1 draining 0", "s1 h:1 draining 0", ""} {
		if got := nextUpdate(t, updates); got != want {
			t.Errorf("update %d: %q, want %q", i, got, want)
		}
	}
	if got := a.requests()[1]; got != ListPath+"?since=41&timeout_ms=1000" {
		t.Errorf("requested %s", got)
	}
	if n := strings.Count(log.String(), "invalid members"); n != 2 { // for 41 and 43; 42 is valid, 44 is like 43
		t.Errorf("logged %d times:\n%s", n, log.String())
	}
}

// The cached list is used only if the agent does not respond. The agent's list counts as reported from the start, and
// no request may be sent according to the cached list to an engine that drains in the agent's list.
func TestCachedList(t *testing.T) {
	cached := list(99, true, member("s0", "h:0", "up", 0))
	fresh := list(41, true, member("s1", "h:1", "up", 0))
	for name, c := range map[string]struct {
		cached  string
		answers []string
		want    []string
	}{
		"the agent answers": {cached, []string{fresh}, []string{"s1 h:1 up 0"}},
		"it fails later": {cached, []string{fresh, "status 503", list(42, true, member("s1", "h:1", "draining", 0))},
			[]string{"s1 h:1 up 0", "failed", "s1 h:1 draining 0"}},
		"the agent fails":            {cached, []string{"status 503", fresh}, []string{"s0 h:0 up 0", "failed", "s1 h:1 up 0"}},
		"the agent is unresponsive":  {cached, nil, []string{"s0 h:0 up 0", "failed", "failed"}},
		"it fails twice":             {cached, []string{"status 503", "status 503", fresh}, []string{"s0 h:0 up 0", "failed", "failed", "s1 h:1 up 0"}},
		"no cached list":             {"", []string{"status 503", fresh}, []string{"failed", "s1 h:1 up 0"}},
		"the cached list is null":    {"null", []string{"status 503", fresh}, []string{"failed", "s1 h:1 up 0"}},
		"the cached list is cut off": {cached[:40], []string{"status 503", fresh}, []string{"failed", "s1 h:1 up 0"}},
		"it has another type":        {`"s0"`, []string{"status 503", fresh}, []string{"failed", "s1 h:1 up 0"}},
		"a member of it is incomplete": {list(99, true, `{"id":"s9"}`, member("s0", "h:0", "up", 0)), []string{"status 503", fresh},
			[]string{"s0 h:0 up 0", "failed", "s1 h:1 up 0"}},
	} {
		t.Run(name, func(t *testing.T) {
			a := startAgent(t, c.answers...)
			s := New(a.addr(), []string{"m2"}, []byte(c.cached), discardLogger())
			if c.answers == nil {
				s.startTimeout, s.roundTimeout, s.watchSlack = 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
			}
			updates := runSource(t, s)
			for i, want := range c.want {
				if got := nextUpdate(t, updates); got != want {
					t.Errorf("update %d: %q, want %q", i, got, want)
				}
			}
		})
	}
}

// An agent whose revisions restart is heard at once. Of a list without members this holds only if the agent repeats it
// for a while (see 'older and whole' above). Drains count also if the response can't be applied.
func TestAgentRevisionsRestart(t *testing.T) {
	drained := member("s1", "h:1", "draining", 0)
	for name, c := range map[string]struct{ answers, want []string }{
		"whole":      {[]string{list(7, true, drained), list(7, true, drained)}, []string{"s1 h:1 draining 0", "s1 h:1 draining 0"}},
		"empty":      {[]string{list(7, true), list(7, true)}, []string{"failed", ""}},
		"changes":    {[]string{list(7, false, drained), list(7, true, drained)}, []string{"s1 h:1 draining 0", "failed", "s1 h:1 draining 0"}},
		"is removed": {[]string{list(7, false, member("s1", "h:1", "removed", 0)), list(7, true, member("s2", "h:2", "draining", 0))}, []string{"s1 h:1 draining 0", "failed", "s2 h:2 draining 0"}},
		"unknown":    {[]string{list(7, false, member("s2", "h:2", "draining", 0)), list(41, true, member("s1", "h:1", "up", 0))}, []string{"failed", "s1 h:1 up 0"}},
		"was wrong":  {[]string{list(7, false, drained), list(41, true, member("s1", "h:1", "up", 0))}, []string{"s1 h:1 draining 0", "failed", "s1 h:1 up 0"}},
	} {
		t.Run(name, func(t *testing.T) {
			answers := append([]string{list(41, true, member("s1", "h:1", "up", 0))}, c.answers...)
			a := startAgent(t, append(answers, list(90, true))...)
			s := New(a.addr(), []string{"m2"}, nil, discardLogger())
			s.list.regressionWindow = firstPause // over when the second response arrives, which is requested after that pause
			updates := runSource(t, s)
			for i, want := range append(append([]string{"s1 h:1 up 0"}, c.want...), "") {
				if got := nextUpdate(t, updates); got != want {
					t.Errorf("update %d: %q, want %q", i, got, want)
				}
			}
		})
	}
}

// lateResponse is the response to a call that was started at an instant, relative to the others.
type lateResponse struct {
	startedAfter time.Duration
	text         string
}

// sourceAfter returns a source that has handled responses to calls that were cancelled.
func sourceAfter(t *testing.T, responses ...lateResponse) *Source {
	s := New("a:1", []string{"m2"}, nil, discardLogger())
	s.notify = func(discovery.Update) {}
	start := time.Now()
	for _, r := range responses {
		l, err := decodeList([]byte(r.text))
		if err != nil {
			t.Fatal(err)
		}
		s.handleLateResponse(&callResult{call: &call{agent: s.currentAgent(), startedAt: start.Add(r.startedAfter)}, list: l})
	}
	return s
}

// Guards against a response from before an agent's revisions restarted, which arrives after that: it counted as the
// newest list, by its higher revision. Its drains count, as it may be newer nevertheless.
func TestLateResponseFromBeforeRestart(t *testing.T) {
	s := sourceAfter(t,
		lateResponse{0, list(41, true, member("s1", "h:1", "up", 0), member("s2", "h:2", "up", 0))},
		lateResponse{2 * time.Hour, list(7, true, member("s1", "h:1", "draining", 0), member("s2", "h:2", "up", 0))},
		lateResponse{time.Hour, list(42, true, member("s1", "h:1", "up", 0), member("s2", "h:2", "draining", 0))})
	for _, e := range s.list.engines {
		if e.State != decide.Draining {
			t.Errorf("%s is ready", e.Name)
		}
	}
	if s.list.revision != 7 {
		t.Errorf("the list has the revision %d", s.list.revision)
	}
}

// Guards against a drain in a response from before a restart being forgotten if the restarted agent lists its engine
// only later.
func TestLateDrainOfEngineThatIsNotListed(t *testing.T) {
	s := sourceAfter(t,
		lateResponse{0, list(41, true, member("s1", "h:1", "up", 0), member("s2", "h:2", "up", 0))},
		lateResponse{2 * time.Hour, list(7, true, member("s2", "h:2", "up", 0))},
		lateResponse{time.Hour, list(42, false, member("s1", "h:1", "draining", 0))},
		lateResponse{3 * time.Hour, list(8, true, member("s1", "h:1", "up", 0), member("s2", "h:2", "up", 0))})
	if e := s.list.engines[0]; e.Name != "s1" || e.State != decide.Draining {
		t.Errorf("%s is in the state %v", e.Name, e.State)
	}
}

// After a change to the address of an agent with lower revisions, that agent's list is used at once, also if the
// change is made between two calls. An engine that it lists and that was not listed before has just started: otherwise
// it may have been removed (see TestNewerListAfterMove).
func TestSetAddrWithLowerRevision(t *testing.T) {
	started := time.Now().Add(time.Hour).UnixMilli()
	a := startAgent(t, list(41, true, member("s1", "h:1", "up", 0), member("s3", "h:3", "up", 0)))
	b := startAgent(t, list(3, true, member("s2", "h:2", "up", started), member("s3", "h:3", "up", 0)),
		list(4, false, member("s2", "h:2", "draining", started)))
	s := New(a.addr(), []string{"m2"}, nil, discardLogger())
	updates := make(chan discovery.Update, 10)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	first := true
	go func() {
		defer close(done)
		s.Run(ctx, func(u discovery.Update) {
			updates <- u
			if first { // no call is in flight now
				first = false
				s.SetAddr(b.addr())
			}
		})
	}()
	defer func() { cancel(); <-done }()
	for i, want := range []string{"s1 h:1 up 0, s3 h:3 up 0", fmt.Sprintf("s2 h:2 up %d, s3 h:3 up 0", started),
		fmt.Sprintf("s2 h:2 draining %d, s3 h:3 up 0", started)} {
		if got := nextUpdate(t, updates); got != want {
			t.Errorf("update %d: %q, want %q", i, got, want)
		}
	}
	if got := b.requests()[:2]; got[0] != ListPath || got[1] != ListPath+"?since=3&timeout_ms=1000" {
		t.Errorf("requested %q", got)
	}
	if got := a.requests(); len(got) != 1 {
		t.Errorf("the old agent got the requests %q", got)
	}
}

// A dial that never completes ends with its own timeout, or else two of them would block all calls for minutes.
func TestDialsAreBounded(t *testing.T) {
	s := New("h:1", nil, nil, discardLogger())
	transport := s.http.Transport.(*http.Transport)
	if transport.DialContext == nil {
		t.Fatal("dials have no timeout")
	}
	// A listener that accepts nothing and has the shortest queue leaves dials unanswered once the queue is full.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	for range 8 {
		c, err := transport.DialContext(ctx, "tcp", addr)
		if err == nil {
			defer c.Close()
			continue
		}
		if !os.IsTimeout(err) || ctx.Err() != nil {
			t.Errorf("%v; ended by its caller: %v", err, ctx.Err())
		}
		return
	}
	t.Error("no dial was left unanswered")
}

// A change of the address cancels the call in flight and requests the whole list at the new address. No failure is
// reported.
func TestSetAddr(t *testing.T) {
	a := startAgent(t, list(41, true, member("s1", "h:1", "up", 0)))
	b := startAgent(t, list(42, true, member("s2", "h:2", "up", 0)))
	s := New(a.addr(), []string{"m2"}, nil, discardLogger())
	s.watchTimeout = time.Hour
	updates := runSource(t, s)
	if got := nextUpdate(t, updates); got != "s1 h:1 up 0" {
		t.Fatal(got)
	}
	for len(a.requests()) < 2 { // wait until the watch is in flight
		time.Sleep(time.Millisecond)
	}
	s.SetAddr(b.addr())
	if got := nextUpdate(t, updates); got != "s2 h:2 up 0" {
		t.Errorf("reported %q", got)
	}
	s.SetAddr(b.addr()) // has no effect
}

// A watch without a response soon counts as failed. The whole list is requested, and then its changes again.
func TestUnresponsiveWatch(t *testing.T) {
	a := startAgent(t, list(41, true, member("s1", "h:1", "up", 0)), "", list(42, true, member("s1", "h:1", "draining", 0)),
		list(43, false, member("s1", "h:1", "removed", 0)))
	s := New(a.addr(), []string{"m2"}, nil, discardLogger())
	s.watchTimeout, s.watchSlack, s.roundTimeout = 20*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
	updates := runSource(t, s)
	for _, want := range []string{"s1 h:1 up 0", "failed", "s1 h:1 draining 0", ""} {
		if got := nextUpdate(t, updates); got != want {
			t.Errorf("reported %q, want %q", got, want)
		}
	}
	for i, want := range []string{ListPath, ListPath + "?since=41&timeout_ms=20", ListPath, ListPath + "?since=42&timeout_ms=20"} {
		if got := a.requests()[i]; got != want {
			t.Errorf("call %d: %s, want %s", i, got, want)
		}
	}
}

// The constants keep the platform's limits at an agent that responds at once. TestSlowAgentIsHeard and TestOutages check
// the same from outside, and for other agents.
func TestTimeLimits(t *testing.T) {
	if limit := 2 * time.Second; watchTimeout+watchSlack > limit {
		t.Errorf("an unresponsive watch is noticed after %v", watchTimeout+watchSlack)
	}
	// What the agent learns when discovery returns counts as reported at that moment. A drain must reach the router
	// within its grace of one second, less the longest pause of a process.
	longest := time.Duration(float64(lateHedgeInterval+firstPause) * (1 + jitter))
	if limit := time.Second - time.Duration(decide.MaxPause); longest > limit {
		t.Errorf("a list is requested %v after the previous request", longest)
	}
	// So does one that an agent reports whose revisions have restarted.
	confirmed := regressionWindow + time.Duration(float64(maxPause)*(1+jitter))
	if limit := time.Second - time.Duration(decide.MaxPause); confirmed > limit {
		t.Errorf("a list without members is believed after %v", confirmed)
	}
	// A router must be ready within 6 s without discovery, with only a part of a CPU core.
	if limit := time.Second; startTimeout > limit {
		t.Errorf("the cached list is used after %v", startTimeout)
	}
	// A crowded agent may count calls that it will never respond to. They are given up in time for another one.
	if limit := 6 * time.Second; roundTimeout+time.Duration(float64(firstPause)*(1+jitter)) > limit {
		t.Errorf("a change may be reported after %v", roundTimeout+firstPause)
	}
}

// However many calls fail, the next one follows after at most the longest pause and requests the whole list.
func TestFailedCallsAreRetried(t *testing.T) {
	answers := []string{list(41, true, member("s1", "h:1", "up", 0))}
	for range 6 {
		answers = append(answers, "status 503")
	}
	a := startAgent(t, append(answers, list(42, true, member("s1", "h:1", "draining", 0)))...)
	updates := runSource(t, New(a.addr(), []string{"m2"}, nil, discardLogger()))
	for i := range 8 {
		want := "failed"
		if i == 0 {
			want = "s1 h:1 up 0"
		} else if i == 7 {
			want = "s1 h:1 draining 0"
		}
		if got := nextUpdate(t, updates); got != want {
			t.Fatalf("update %d: %q, want %q", i, got, want)
		}
	}
	for i, got := range a.requests()[2:8] {
		if got != ListPath {
			t.Errorf("call %d after a failure: %s, want the whole list", i, got)
		}
	}
}

// Calls made while discovery is down never get a response. A hedged call that follows soon is answered.
func TestUnresponsiveCallsAreHedged(t *testing.T) {
	a := startAgent(t, list(41, true, member("s1", "h:1", "up", 0)), "", "", "", list(42, true, member("s1", "h:1", "draining", 0)),
		list(43, false, member("s1", "h:1", "removed", 0)))
	s := New(a.addr(), []string{"m2"}, nil, discardLogger())
	s.watchTimeout, s.watchSlack, s.roundTimeout, s.hedgeInterval = 20*time.Millisecond, 20*time.Millisecond, time.Hour, 20*time.Millisecond
	updates := runSource(t, s)
	for _, want := range []string{"s1 h:1 up 0", "failed", "s1 h:1 draining 0", ""} {
		if got := nextUpdate(t, updates); got != want {
			t.Errorf("reported %q, want %q", got, want)
		}
	}
	for i, want := range []string{ListPath, ListPath + "?since=41&timeout_ms=20", ListPath, ListPath, ListPath,
		ListPath + "?since=42&timeout_ms=20"} {
		if got := a.requests()[i]; got != want {
			t.Errorf("call %d: %s, want %s", i, got, want)
		}
	}
}
