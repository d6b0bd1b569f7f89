package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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
			if !e.Since.IsZero() {
				since = e.Since.UnixMilli()
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

// First what was known, then the whole list, then the changes, each asked for from the last revision.
func TestListAndChanges(t *testing.T) {
	a := newAgent(t,
		list(41, true, member("s1", "h:1", "up", 0), member("s2", "h:2", "up", 0)),
		list(42, false),
		list(43, false, member("s1", "h:1", "draining", 0), member("s3", "h:3", "up", 7)),
		list(44, false, member("s1", "h:1", "removed", 0), member("s2", "h:9", "up", 5)),
		list(50, true, member("s9", "h:1", "up", 0)))
	var known List
	if err := json.Unmarshal([]byte(list(39, true, member("s0", "h:0", "up", 0))), &known); err != nil {
		t.Fatal(err)
	}
	told := run(t, New(a.addr(), []string{"m1", "m2"}, &known, quiet()))
	for _, want := range []string{
		"s0 h:0 up 0",
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

// What is unsound is a failed asking; the last sound list stays, and is asked for whole again.
func TestUnsoundAnswers(t *testing.T) {
	sound := list(41, true, member("s1", "h:1", "up", 0))
	for name, bad := range map[string]string{
		"no JSON":         `{"revision":42,`,
		"no revision":     `{"members":[]}`,
		"older":           list(40, false),
		"older and whole": list(40, true),
		"unknown phase":   list(42, false, member("s1", "h:1", "asleep", 0)),
		"unknown kind":    list(42, false, strings.Replace(member("s2", "h:2", "up", 0), "m2", "m9", 1)),
		"one id twice":    list(42, false, member("s2", "h:2", "up", 0), member("s2", "h:3", "up", 0)),
		"one address":     list(42, false, member("s2", "h:1", "up", 0)),
		"no address":      list(42, false, member("s2", "", "up", 0)),
		"negative start":  list(42, false, member("s2", "h:2", "up", -1)),
		"status":          "status 500",
		"endless":         list(42, true, member("s2", strings.Repeat("x", maxAnswer), "up", 0)),
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
	s.Move(b.addr())
	if got := next(t, told); got != "s2 h:2 up 0" {
		t.Errorf("told %q", got)
	}
	s.Move(b.addr()) // nothing to do
}

// A watch that falls silent is a failed asking, soon; the whole list is asked for, and watched again.
func TestSilentWatch(t *testing.T) {
	a := newAgent(t, list(41, true, member("s1", "h:1", "up", 0)), "", list(42, true, member("s1", "h:1", "draining", 0)),
		list(43, false, member("s1", "h:1", "removed", 0)))
	s := New(a.addr(), []string{"m2"}, nil, quiet())
	s.wait, s.within = 20*time.Millisecond, 200*time.Millisecond
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
	if most := 2 * time.Second; waitFor+listWithin > most {
		t.Errorf("a silent watch is noticed after %v", waitFor+listWithin)
	}
	if most := 6 * time.Second; waitFor+listWithin+2*(mostPause+listWithin) > most {
		t.Errorf("a change may be told after %v", waitFor+listWithin+2*(mostPause+listWithin))
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
