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

// agent answers with the texts it is given, in order; after the last it is silent.
type agent struct {
	*httptest.Server
	mu      sync.Mutex
	answers []string
	asked   []string
}

func newAgent(t *testing.T, answers ...string) *agent {
	a := &agent{answers: answers}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.asked = append(a.asked, r.URL.RequestURI())
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
	return append([]string(nil), a.asked...)
}

func list(revision int64, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

func member(id, addr, phase string, since int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m2","cell":3,"phase":%q,"size":1.0,"up_since_ms":%d}`,
		id, addr, phase, since)
}

// run starts a source and hands on what it tells.
func run(t *testing.T, s *Source) chan discovery.Update {
	ctx, cancel := context.WithCancel(context.Background())
	told := make(chan discovery.Update, 100)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Run(ctx, func(u discovery.Update) { told <- u }); err != nil {
			t.Errorf("Run: %v", err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return told
}

func next(t *testing.T, told chan discovery.Update) string {
	t.Helper()
	select {
	case u := <-told:
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
		t.Fatal("nothing was told")
		return ""
	}
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// First the whole list, then the changes, each asked for from the last revision.
func TestListAndChanges(t *testing.T) {
	a := newAgent(t,
		list(41, true, member("s1", "h:1", "up", 0), member("s2", "h:2", "up", 0)),
		list(42, false),
		list(43, false, member("s1", "h:1", "draining", 0), member("s3", "h:3", "up", 7)),
		list(44, false, member("s1", "h:1", "removed", 0), member("s2", "h:9", "up", 5)),
		list(50, true, member("s9", "h:1", "up", 0)))
	told := run(t, New(a.addr(), []string{"m1", "m2"}, nil, quiet()))
	for _, want := range []string{
		"s1 h:1 up 0, s2 h:2 up 0",
		"s1 h:1 up 0, s2 h:2 up 0",
		"s1 h:1 draining 0, s2 h:2 up 0, s3 h:3 up 7",
		"s2 h:9 up 5, s3 h:3 up 7",
		"s9 h:1 up 0",
	} {
		if got := next(t, told); got != want {
			t.Errorf("told %q, want %q", got, want)
		}
	}
	asked := a.requests()
	for i, want := range []string{ListPath, ListPath + "?since=41&timeout_ms=1000", ListPath + "?since=42&timeout_ms=1000",
		ListPath + "?since=43&timeout_ms=1000", ListPath + "?since=44&timeout_ms=1000"} {
		if asked[i] != want {
			t.Errorf("call %d: %s, want %s", i, asked[i], want)
		}
	}
}

// An unsound answer is a failed call: the last sound list stays, and is asked for whole again.
func TestUnsoundAnswers(t *testing.T) {
	sound := list(41, true, member("s1", "h:1", "up", 0))
	for name, bad := range map[string]string{
		"no JSON":                 `{"revision":42,`,
		"no revision":             `{"members":[]}`,
		"members are no list":     `{"revision":42,"complete":true,"members":{"s1":{}}}`,
		"older":                   list(40, false),
		"older and whole":         list(40, true),
		"status":                  "status 500",
		"endless":                 list(42, true, member("s2", strings.Repeat("x", maxAnswer), "up", 0)),
		"more members than bound": list(42, true, slices.Repeat([]string{"{}"}, maxMembers+1)...),
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(t, sound, bad, list(43, true, member("s1", "h:1", "draining", 0)))
			told := run(t, New(a.addr(), []string{"m2"}, nil, quiet()))
			for _, want := range []string{"s1 h:1 up 0", "failed", "s1 h:1 draining 0"} {
				if got := next(t, told); got != want {
					t.Errorf("told %q, want %q", got, want)
				}
			}
			if got := a.requests()[2]; got != ListPath {
				t.Errorf("asked %s", got)
			}
		})
	}
}

// A broken member spoils no other one: a drain that stands beside it is told with the same answer, the member itself
// gets nothing new that its entry might forbid, and the whole list is asked for next.
func TestBrokenMembers(t *testing.T) {
	const others = "s1 h:1 draining 0, s2 h:2 up 0"
	ofKind := func(member, kind string) string { return strings.Replace(member, `"m2"`, `"`+kind+`"`, 1) }
	for name, c := range map[string]struct {
		broken []string
		want   string
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
			changes := append(c.broken, member("s1", "h:1", "draining", 0))
			a := newAgent(t, list(41, true, member("s1", "h:1", "up", 0), member("s2", "h:2", "up", 0), member("s3", "h:3", "up", 0)),
				list(42, false, changes...), list(43, true, member("s2", "h:2", "up", 0)))
			told := run(t, New(a.addr(), []string{"m2"}, nil, quiet()))
			next(t, told)
			if got := next(t, told); got != c.want {
				t.Errorf("told %q, want %q", got, c.want)
			}
			if got := next(t, told); got != "s2 h:2 up 0" {
				t.Errorf("then told %q", got)
			}
			if got := a.requests()[2]; got != ListPath {
				t.Errorf("asked %s", got)
			}
		})
	}
}

// Settings have '_' for a space or a comma in a name, discovery the name itself: the kind is known all the same.
func TestKindsAreComparedAsSettingsHaveThem(t *testing.T) {
	a := newAgent(t, list(41, true, strings.Replace(member("s1", "h:1", "up", 0), `"m2"`, `"m 2,big"`, 1)))
	told := run(t, New(a.addr(), []string{"m_2_big"}, nil, quiet()))
	if got := next(t, told); got != "s1 h:1 up 0" {
		t.Errorf("told %q", got)
	}
}

// A whole list with a broken member is watched like any other, and what is wrong with it is logged once.
func TestWholeListWithABrokenMember(t *testing.T) {
	broken := strings.Replace(member("s9", "h:9", "up", 0), "m2", "m9", 1)
	a := newAgent(t, list(41, true, member("s1", "h:1", "up", 0), broken), list(42, false, member("s1", "h:1", "draining", 0)),
		list(43, true, member("s1", "h:1", "draining", 0), broken), list(44, true, member("s1", "h:1", "draining", 0), broken),
		list(45, true))
	var log strings.Builder
	told := run(t, New(a.addr(), []string{"m2"}, nil, slog.New(slog.NewTextHandler(&log, nil))))
	for i, want := range []string{"s1 h:1 up 0", "s1 h:1 draining 0", "s1 h:1 draining 0", "s1 h:1 draining 0", ""} {
		if got := next(t, told); got != want {
			t.Errorf("word %d: %q, want %q", i, got, want)
		}
	}
	if got := a.requests()[1]; got != ListPath+"?since=41&timeout_ms=1000" {
		t.Errorf("asked %s", got)
	}
	if n := strings.Count(log.String(), "broken members"); n != 2 { // 41 and, after a sound answer, 43; 44 is the same
		t.Errorf("logged %d times:\n%s", n, log.String())
	}
}

// The cached list is used only when the agent does not answer: what the agent has counts as told from the start, and
// a drain in it must not come after requests that were sent by the cached list.
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
		"the agent fails":         {cached, []string{"status 503", fresh}, []string{"s0 h:0 up 0", "failed", "s1 h:1 up 0"}},
		"the agent is silent":     {cached, nil, []string{"s0 h:0 up 0", "failed", "failed"}},
		"it fails twice":          {cached, []string{"status 503", "status 503", fresh}, []string{"s0 h:0 up 0", "failed", "failed", "s1 h:1 up 0"}},
		"no cached list":          {"", []string{"status 503", fresh}, []string{"failed", "s1 h:1 up 0"}},
		"the cached list is null": {"null", []string{"status 503", fresh}, []string{"failed", "s1 h:1 up 0"}},
		"the cached list is torn": {cached[:40], []string{"status 503", fresh}, []string{"failed", "s1 h:1 up 0"}},
		"it has another type":     {`"s0"`, []string{"status 503", fresh}, []string{"failed", "s1 h:1 up 0"}},
		"a member of it is torn": {list(99, true, `{"id":"s9"}`, member("s0", "h:0", "up", 0)), []string{"status 503", fresh},
			[]string{"s0 h:0 up 0", "failed", "s1 h:1 up 0"}},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(t, c.answers...)
			s := New(a.addr(), []string{"m2"}, []byte(c.cached), quiet())
			if c.answers == nil {
				s.startWithin, s.within, s.slack = 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
			}
			told := run(t, s)
			for i, want := range c.want {
				if got := next(t, told); got != want {
					t.Errorf("word %d: %q, want %q", i, got, want)
				}
			}
		})
	}
}

// An agent that tells a lower revision for long has started anew; one that gives an old list once has not (see
// 'older and whole' above).
func TestRevisionsCountedAnew(t *testing.T) {
	old := list(7, true, member("s1", "h:1", "draining", 0))
	a := newAgent(t, list(41, true, member("s1", "h:1", "up", 0)), old, old, list(8, false, member("s1", "h:1", "removed", 0)))
	s := New(a.addr(), []string{"m2"}, nil, quiet())
	s.regressedFor = firstPause // over when the second comes, which is asked for after that pause
	told := run(t, s)
	for i, want := range []string{"s1 h:1 up 0", "failed", "s1 h:1 draining 0", ""} {
		if got := next(t, told); got != want {
			t.Errorf("word %d: %q, want %q", i, got, want)
		}
	}
}

// A move to an agent that counts lower takes its list at once, also when it comes between two calls.
func TestMoveToALowerRevision(t *testing.T) {
	a := newAgent(t, list(41, true, member("s1", "h:1", "up", 0)))
	b := newAgent(t, list(3, true, member("s2", "h:2", "up", 0)), list(4, false, member("s2", "h:2", "draining", 0)))
	s := New(a.addr(), []string{"m2"}, nil, quiet())
	told := make(chan discovery.Update, 10)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	first := true
	go func() {
		defer close(done)
		s.Run(ctx, func(u discovery.Update) {
			told <- u
			if first { // no call is out now
				first = false
				s.SetAddr(b.addr())
			}
		})
	}()
	defer func() { cancel(); <-done }()
	for i, want := range []string{"s1 h:1 up 0", "s2 h:2 up 0", "s2 h:2 draining 0"} {
		if got := next(t, told); got != want {
			t.Errorf("word %d: %q, want %q", i, got, want)
		}
	}
	if got := b.requests()[:2]; got[0] != ListPath || got[1] != ListPath+"?since=3&timeout_ms=1000" {
		t.Errorf("asked %q", got)
	}
	if got := a.requests(); len(got) != 1 {
		t.Errorf("the old one was asked %q", got)
	}
}

// A dial that never comes up ends with its own bound, or two of them would hold up all calls for minutes.
func TestDialsAreBounded(t *testing.T) {
	s := New("h:1", nil, nil, quiet())
	transport := s.http.Transport.(*http.Transport)
	if transport.DialContext == nil {
		t.Fatal("dials have no bound")
	}
	// A listener that accepts nothing, with a queue of none, leaves dials unanswered once the queue is full.
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

// A move ends the call under way and asks for the whole list elsewhere, without a word of failure.
func TestMove(t *testing.T) {
	a := newAgent(t, list(41, true, member("s1", "h:1", "up", 0)))
	b := newAgent(t, list(42, true, member("s2", "h:2", "up", 0)))
	s := New(a.addr(), []string{"m2"}, nil, quiet())
	s.wait = time.Hour
	told := run(t, s)
	if got := next(t, told); got != "s1 h:1 up 0" {
		t.Fatal(got)
	}
	for len(a.requests()) < 2 { // the watch is out
		time.Sleep(time.Millisecond)
	}
	s.SetAddr(b.addr())
	if got := next(t, told); got != "s2 h:2 up 0" {
		t.Errorf("told %q", got)
	}
	s.SetAddr(b.addr()) // nothing to do
}

// A watch that falls silent is a failed asking, soon; the whole list is asked for, and watched again.
func TestSilentWatch(t *testing.T) {
	a := newAgent(t, list(41, true, member("s1", "h:1", "up", 0)), "", list(42, true, member("s1", "h:1", "draining", 0)),
		list(43, false, member("s1", "h:1", "removed", 0)))
	s := New(a.addr(), []string{"m2"}, nil, quiet())
	s.wait, s.slack, s.within = 20*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
	told := run(t, s)
	for _, want := range []string{"s1 h:1 up 0", "failed", "s1 h:1 draining 0", ""} {
		if got := next(t, told); got != want {
			t.Errorf("told %q, want %q", got, want)
		}
	}
	for i, want := range []string{ListPath, ListPath + "?since=41&timeout_ms=20", ListPath, ListPath + "?since=42&timeout_ms=20"} {
		if got := a.requests()[i]; got != want {
			t.Errorf("call %d: %s, want %s", i, got, want)
		}
	}
}

// What a silent watch costs is bounded: its list is old by no more than the wait and the time for an answer. And the
// clock of the standing test: whatever the router believes is at most 6 s old, though after a watch that fell silent
// two more calls in a row are silent or refused, at the longest pause.
func TestWaitsAreShort(t *testing.T) {
	if most := 2 * time.Second; waitFor+watchSlack > most {
		t.Errorf("a silent watch is noticed after %v", waitFor+watchSlack)
	}
	// What an agent gets when discovery returns counts as told at once; a drain in it has to be known within its grace of
	// a second, less what a process may be held up.
	longest := time.Duration(float64(hedgeEvery+mostPause) * (1 + jitter))
	if most := time.Second - time.Duration(decide.MaxPause); longest > most {
		t.Errorf("a list is asked for %v after the last time", longest)
	}
	if most := time.Second; startWithin > most { // a router has 6 s to be ready without discovery, some of a core at that
		t.Errorf("the cached list is used after %v", startWithin)
	}
	if most := 6 * time.Second; waitFor+watchSlack+2*(mostPause+listWithin) > most {
		t.Errorf("a change may be told after %v", waitFor+watchSlack+2*(mostPause+listWithin))
	}
}

// However many calls fail, the next comes after the longest pause, and the whole list is asked for.
func TestFailedCallsAreRepeated(t *testing.T) {
	answers := []string{list(41, true, member("s1", "h:1", "up", 0))}
	for range 6 {
		answers = append(answers, "status 503")
	}
	a := newAgent(t, append(answers, list(42, true, member("s1", "h:1", "draining", 0)))...)
	told := run(t, New(a.addr(), []string{"m2"}, nil, quiet()))
	for i := range 8 {
		want := "failed"
		if i == 0 {
			want = "s1 h:1 up 0"
		} else if i == 7 {
			want = "s1 h:1 draining 0"
		}
		if got := next(t, told); got != want {
			t.Fatalf("word %d: %q, want %q", i, got, want)
		}
	}
	for i, got := range a.requests()[2:8] {
		if got != ListPath {
			t.Errorf("call %d after a failure: %s, want the whole list", i, got)
		}
	}
}

// Calls that come while discovery is down stay silent for good; the next one is answered, and comes soon.
func TestCallsBesideSilentOnes(t *testing.T) {
	a := newAgent(t, list(41, true, member("s1", "h:1", "up", 0)), "", "", "", list(42, true, member("s1", "h:1", "draining", 0)),
		list(43, false, member("s1", "h:1", "removed", 0)))
	s := New(a.addr(), []string{"m2"}, nil, quiet())
	s.wait, s.slack, s.within, s.hedgeEvery = 20*time.Millisecond, 20*time.Millisecond, time.Hour, 20*time.Millisecond
	told := run(t, s)
	for _, want := range []string{"s1 h:1 up 0", "failed", "s1 h:1 draining 0", ""} {
		if got := next(t, told); got != want {
			t.Errorf("told %q, want %q", got, want)
		}
	}
	for i, want := range []string{ListPath, ListPath + "?since=41&timeout_ms=20", ListPath, ListPath, ListPath,
		ListPath + "?since=42&timeout_ms=20"} {
		if got := a.requests()[i]; got != want {
			t.Errorf("call %d: %s, want %s", i, got, want)
		}
	}
}

// However long discovery is silent, no more than a bounded number of calls is out.
func TestSilentCallsAreBounded(t *testing.T) {
	a := newAgent(t)
	s := New(a.addr(), []string{"m2"}, nil, quiet())
	s.startWithin, s.hedgeEvery = 300*time.Millisecond, time.Millisecond
	told := run(t, s)
	if got := next(t, told); got != "failed" {
		t.Errorf("told %q", got)
	}
	if n := len(a.requests()); n > maxCalls {
		t.Errorf("%d calls, at most %d may be out", n, maxCalls)
	}
}
