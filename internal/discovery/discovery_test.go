package discovery

import (
	"context"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"mintdoor/decide"
)

func sample() []Engine {
	return []Engine{
		{Name: "d1", Addr: "127.0.0.1:9002", Kind: "decode", State: decide.Draining, Weight: 1},
		{Name: "p1", Addr: "127.0.0.1:9001", Kind: "prefill", Cell: "a", Zone: "hall one", State: decide.Ready,
			Weight: 1.5, StartedAt: time.Date(2026, 3, 1, 5, 0, 0, 0, time.UTC)},
	}
}

func TestListRoundTrip(t *testing.T) {
	got, err := ParseList("x", FormatList(sample()), []string{"decode", "prefill"})
	if err != nil || !reflect.DeepEqual(got, sample()) {
		t.Errorf("%v\n%+v", err, got)
	}
	if got, err := ParseList("x", FormatList(nil), nil); err != nil || len(got) != 0 {
		t.Errorf("an empty list: %v, %v", got, err)
	}
}

func TestListErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "no engine is listed"},
		{"engine a\n", "x:1: engine has 1 values"},
		{"engine a 127.0.0.1:1 kind\n", `found "kind" without a value`},
		{"engine a nowhere kind k\n", `address: found "nowhere"`},
		{"engine a 127.0.0.1:1\n", "engine a has no kind"},
		{"engine a 127.0.0.1:1 kind q\n", `kind: found "q", expected one of k`},
		{"engine a 127.0.0.1:1 kind k state new\n", `state: found "new", expected one of ready, draining`},
		{"engine a 127.0.0.1:1 kind k\nengine a 127.0.0.1:2 kind k\n", "engine a is listed twice"},
		{"engine a 127.0.0.1:1 kind k\nengine b 127.0.0.1:1 kind k\n", "same address"},
		{"motor a 127.0.0.1:1 kind k\n", `found "motor"`},
	} {
		if _, err := ParseList("x", c.text, []string{"k"}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

func TestDiff(t *testing.T) {
	old := sample()
	now := []Engine{old[0], {Name: "p2", Addr: "127.0.0.1:9003", Kind: "prefill", State: decide.Ready}}
	now[0].State = decide.Ready
	got := Diff(old, now)
	if len(got) != 3 || got[0].Name != "d1" || got[0].State != decide.Ready || got[1].Name != "p1" ||
		got[1].State != decide.Gone || got[2].Name != "p2" {
		t.Errorf("%+v", got)
	}
	if got := Diff(old, old); len(got) != 0 {
		t.Errorf("no change, but %+v", got)
	}
}

func TestLocationNumber(t *testing.T) {
	if LocationNumber("") != 0 || LocationNumber("a") == LocationNumber("b") || LocationNumber("a") <= 0 {
		t.Error("zones and cells are not distinguished")
	}
}

// The file is read again when it changes. A list with an error, a truncated or a missing one leaves the previous list
// valid, and the error is reported once.
func TestFileFollowsChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "engines.list")
	if err := WriteList(path, sample()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	updates := make(chan Update, 16)
	done := make(chan error, 1)
	f := &File{Path: path, Interval: time.Millisecond}
	go func() { done <- f.Run(ctx, func(u Update) { updates <- u }) }()
	next := func() Update {
		t.Helper()
		select {
		case u := <-updates:
			return u
		case <-time.After(10 * time.Second):
			t.Fatal("no update")
		}
		return Update{}
	}
	if u := next(); u.Err != nil || len(u.Engines) != 2 {
		t.Fatalf("%+v", u)
	}
	if err := os.WriteFile(path, nil, 0o644); err != nil { // truncated
		t.Fatal(err)
	}
	if u := next(); u.Err == nil {
		t.Fatalf("a truncated list was accepted: %+v", u)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if u := next(); u.Err == nil {
		t.Fatalf("a missing list was accepted: %+v", u)
	}
	if err := WriteList(path, sample()[:1]); err != nil {
		t.Fatal(err)
	}
	if u := next(); u.Err != nil || len(u.Engines) != 1 {
		t.Fatalf("%+v", u)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if len(updates) != 0 {
		t.Errorf("an error is reported more than once: %+v", <-updates)
	}
}
