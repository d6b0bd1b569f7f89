package trace

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"mintdoor/internal/router"

	"github.com/klauspost/compress/zstd"
	_ "mintdoor/internal/seeded"

	"pgregory.net/rapid"
)

func compressed(t *testing.T, text string) io.Reader {
	t.Helper()
	var b bytes.Buffer
	z, err := zstd.NewWriter(&b)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(z, text)
	z.Close()
	return &b
}

// A trace that is written and read back is unchanged, with times rounded to a tenth of a millisecond.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Trace{Classes: []string{"a", "b", "c"}}
		at := time.Duration(0)
		for range rapid.IntRange(0, 50).Draw(t, "n") {
			at += time.Duration(rapid.IntRange(0, 100000).Draw(t, "gap")) * timeStep
			e := Entry{At: at, Class: rapid.IntRange(0, 2).Draw(t, "class"), PromptTokens: rapid.IntRange(1, 50000).Draw(t, "prompt"),
				OutputTokens: rapid.IntRange(0, 2000).Draw(t, "answer")}
			e.Truncated = e.OutputTokens > 0 && rapid.Bool().Draw(t, "cut")
			if rapid.Bool().Draw(t, "text") {
				e.PrefixID, e.PrefixTokens = rapid.StringMatching(`[a-z][a-z0-9-]{0,20}`).Draw(t, "name"), rapid.IntRange(0, e.PromptTokens).Draw(t, "shared")
			}
			in.Entries = append(in.Entries, e)
		}
		var b bytes.Buffer
		w, err := NewWriter(&b, in.Classes)
		if err != nil {
			t.Fatal(err)
		}
		for i := range in.Entries {
			if err := w.Write(&in.Entries[i]); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		out, err := ReadAll(&b, 1000)
		if err != nil || !reflect.DeepEqual(in, out) {
			t.Fatalf("%v\n%+v\n%+v", err, in, out)
		}
	})
}

func TestMalformedTraces(t *testing.T) {
	head := "mintdoor-trace 1\nclass a\n"
	for _, c := range []struct{ text, want string }{
		{"hello\n", "line 1: found \"hello\", expected \"mintdoor-trace 1\""},
		{"mintdoor-trace 1\n", "no class line found"},
		{"mintdoor-trace 1\nclass \n", "expected a name"},
		{head + "1 0 5\n", "line 3: found 3 words"},
		{head + "1 0 5 0 - 5\n-1 0 5 0 - 5\n", "line 4: found \"-1\", expected milliseconds"},
		{head + "NaN 0 5 0 - 5\n", "expected milliseconds"},
		{head + "1 1 5 0 - 5\n", "found \"1\", expected a number from 0 to 0"},
		{head + "1 0 5 6 x 5\n", "6 shared prefix tokens in a prompt of 5"},
		{head + "1 0 99999999999 0 x 5\n", "expected a number from 0"},
		{head + strings.Repeat("1", 5000) + "\n", "token too long"},
	} {
		_, err := ReadAll(compressed(t, c.text), 10)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.40q: %v, want %q", c.text, err, c.want)
		}
	}
	if _, err := ReadAll(strings.NewReader("no zstd at all"), 10); err == nil {
		t.Error("plain text was read as a trace")
	}
	if _, err := ReadAll(compressed(t, head+"1 0 5 0 - 5\n1 0 5 0 - 5\n"), 1); err == nil {
		t.Error("a trace with more entries than the limit was accepted")
	}
}

// A recorder that was killed leaves a trace that is valid up to its last flush.
func TestTruncatedTrace(t *testing.T) {
	var b bytes.Buffer
	w, err := NewWriter(&b, []string{"a"})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		w.Write(&Entry{At: time.Duration(i) * time.Millisecond, PromptTokens: 100 + i, OutputTokens: 5})
	}
	w.Flush()
	flushed := b.Len()
	for i := range 1000 {
		w.Write(&Entry{At: time.Duration(1000+i) * time.Millisecond, PromptTokens: 100 + i, OutputTokens: 5})
	}
	w.Close()
	got, err := ReadAll(bytes.NewReader(b.Bytes()[:flushed]), 5000)
	if !errors.Is(err, ErrTruncated) || got == nil || len(got.Entries) != 1000 {
		t.Errorf("%v, %d entries", err, len(got.Entries))
	}
	if _, err := ReadAll(bytes.NewReader(nil), 1); !errors.Is(err, ErrTruncated) {
		t.Errorf("an empty file: %v", err)
	}
}

func TestSaveAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.trace")
	in := &Trace{Classes: []string{"a"}, Entries: []Entry{{At: time.Second, PromptTokens: 7, OutputTokens: 3}}}
	if err := Save(path, in); err != nil {
		t.Fatal(err)
	}
	out, err := Load(path)
	if err != nil || !reflect.DeepEqual(in, out) || out.Length() != time.Second {
		t.Errorf("%v %+v", err, out)
	}
}

// Live traffic is recorded in order of arrival, in whatever order requests end. Refused and truncated requests are
// included, retries are not.
func TestRecorder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "live.trace")
	if err := Save(path, &Trace{Classes: []string{"old"}}); err != nil {
		t.Fatal(err)
	}
	r := NewRecorder(path, []string{"a", "b"}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- r.Run(ctx) }()
	jobs := []*router.Job{{Class: 0, PromptTokens: 100}, {Class: 1, PromptTokens: 200, SharedPrefix: "rates", PrefixTokens: 150},
		{Class: 0, PromptTokens: 300}, {Class: 0, PromptTokens: 300, ClientRetry: true}, {Class: 1, PromptTokens: 400}}
	for _, j := range jobs {
		r.RequestArrived(j)
	}
	r.AnswerWritten(jobs[2], 30, false)
	r.RequestDone(jobs[2])
	r.AnswerWritten(jobs[1], 20, true)
	r.RequestDone(jobs[1])
	r.RequestDone(jobs[3])
	r.RequestDone(jobs[0])
	cancel() // jobs[4] is still open
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	got, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	want := []Entry{{Class: 0, PromptTokens: 100}, {Class: 1, PromptTokens: 200, PrefixTokens: 150, PrefixID: "rates", OutputTokens: 20},
		{Class: 0, PromptTokens: 300, OutputTokens: 30, Truncated: true}, {Class: 1, PromptTokens: 400}}
	if len(got.Entries) != len(want) {
		t.Fatalf("%+v", got.Entries)
	}
	for i, e := range got.Entries {
		e.At = 0
		if e != want[i] {
			t.Errorf("%+v, want %+v", e, want[i])
		}
	}
	if old, err := Load(path + ".1"); err != nil || old.Classes[0] != "old" {
		t.Errorf("the trace of the previous run is lost: %v", err)
	}
	if n, missed := r.Counts(); n != 4 || missed != 0 {
		t.Errorf("%d entries written, %d events dropped", n, missed)
	}
}
