package logging

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestSampling(t *testing.T) {
	var b bytes.Buffer
	h := New(&b, "json", slog.LevelInfo, 3).Handler()
	at := time.Unix(1000, 0)
	line := func(h slog.Handler, text string) {
		h.Handle(context.Background(), slog.NewRecord(at, slog.LevelInfo, text, 0))
	}
	for range 10 {
		line(h, "many")
		line(h.WithAttrs([]slog.Attr{slog.Int("a", 1)}), "many") // counted together with the others
	}
	line(h, "one")
	at = at.Add(time.Second)
	line(h, "many")
	if n := strings.Count(b.String(), `"many"`); n != 4 {
		t.Errorf("%d lines of one message in two seconds, want 3 and 1", n)
	}
	if !strings.Contains(b.String(), `"left out":17`) || strings.Count(b.String(), `"one"`) != 1 {
		t.Errorf("the number of lines left out is not logged:\n%s", b.String())
	}
	if h.Enabled(context.Background(), slog.LevelDebug) {
		t.Error("debug is enabled")
	}
}

func TestText(t *testing.T) {
	var b bytes.Buffer
	New(&b, "text", slog.LevelDebug, 0).With("engine", "p1").WithGroup("g").Debug("hello", "n", 1)
	if got := b.String(); !strings.Contains(got, "msg=hello engine=p1 g.n=1") {
		t.Error(got)
	}
}
