// Package logging makes the program's loggers. They write text or JSON, and sample under load so that a surge of
// requests doesn't cause a surge of log lines.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// New returns a logger. The format is text or json. At most sample lines per second are written for each message (0:
// all), and the first line of a later second tells how many were left out. Warnings and errors are sampled by the
// same rule, separately.
func New(w io.Writer, format string, level slog.Level, sample int) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	var h slog.Handler
	if format == "json" {
		h = slog.NewJSONHandler(w, opts)
	} else {
		h = slog.NewTextHandler(w, opts)
	}
	if sample > 0 {
		h = &sampler{next: h, shared: &shared{limit: sample, seen: map[string]*window{}}}
	}
	return slog.New(h)
}

// window counts the lines of one message in one second.
type window struct {
	second  int64
	written int
	dropped int
}

// shared holds the counts that all derived handlers share.
type shared struct {
	mu    sync.Mutex
	limit int
	seen  map[string]*window // by message; messages are constants of the program, so there are few
}

// sampler is a handler that limits the lines per second of each message.
type sampler struct {
	next   slog.Handler
	shared *shared
}

func (s *sampler) Enabled(ctx context.Context, l slog.Level) bool { return s.next.Enabled(ctx, l) }

func (s *sampler) Handle(ctx context.Context, r slog.Record) error {
	dropped, ok := s.shared.allow(r.Message, r.Time)
	if !ok {
		return nil
	}
	if dropped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("left out", dropped))
	}
	return s.next.Handle(ctx, r)
}

// maxMessages bounds the table in case messages are not constants.
const maxMessages = 1000

// allow reports whether a line may be written, and how many lines of its message were left out before.
func (s *shared) allow(message string, at time.Time) (dropped int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.seen[message]
	if w == nil {
		if len(s.seen) >= maxMessages {
			clear(s.seen)
		}
		w = &window{}
		s.seen[message] = w
	}
	if second := at.Unix(); second != w.second {
		dropped = w.dropped
		*w = window{second: second}
	}
	if w.written >= s.limit {
		w.dropped++
		return 0, false
	}
	w.written++
	return dropped, true
}

func (s *sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &sampler{s.next.WithAttrs(attrs), s.shared}
}

func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.next.WithGroup(name), s.shared}
}
