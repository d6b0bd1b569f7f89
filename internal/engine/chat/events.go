package chat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/http1"
	"mintdoor/internal/platform"
)

// eventStream splits a stream of server-sent events into events and validates them, so that no corrupted event
// reaches a client.
type eventStream struct {
	x      *exchange
	chunks *http1.ChunkedReader
	buf    []byte // received bytes that do not form a whole event yet
	report decide.Report

	lastData string // the data of the last event, or its beginning
}

// maxLoggedData is how many bytes of an event's data a log line has.
const maxLoggedData = 24

// describeEnd describes for the log what the stream's end consisted of, and what has come behind it.
func (e *eventStream) describeEnd() string {
	return fmt.Sprintf("last event %q, %d trailer lines, %d bytes behind", e.lastData, e.chunks.TrailerLines(), e.x.conn.br.Buffered())
}

// blankLine ends an event.
var blankLine = []byte("\n\n")

// next returns the next event that carries data, exactly as received. It returns io.EOF only after the last chunk.
func (e *eventStream) next() (string, error) {
	// The deadline runs from event to event: single bytes and comments that trickle in do not extend it.
	e.x.conn.SetReadDeadline(time.Now().Add(e.x.client.opts.StreamIdleTimeout))
	for {
		if i := bytes.Index(e.buf, blankLine); i >= 0 {
			raw := e.buf[:i+len(blankLine)]
			data, err := e.checkEvent(raw)
			event := string(raw)
			e.buf = append(e.buf[:0], e.buf[len(raw):]...)
			if err != nil {
				return "", err
			}
			if data {
				return event, nil
			}
			continue
		}
		if len(e.buf) > maxEventSize {
			return "", fmt.Errorf("%w: event", http1.ErrTooLarge)
		}
		if err := e.fill(); err != nil {
			if err == io.EOF && len(bytes.TrimSpace(e.buf)) > 0 {
				if _, invalid := e.checkEvent(e.buf); invalid != nil {
					return "", invalid
				}
				e.buf = nil // the stream may end with a comment that lacks its blank line
			}
			return "", err
		}
	}
}

// fill reads more of the response body into buf.
func (e *eventStream) fill() error {
	n := len(e.buf)
	if cap(e.buf)-n < 512 {
		e.buf = append(make([]byte, 0, max(2*cap(e.buf), 1024)), e.buf...)
	}
	m, err := e.chunks.Read(e.buf[n:cap(e.buf)])
	e.buf = e.buf[:n+m]
	if err == io.EOF {
		return err
	}
	if err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}

// checkEvent validates an event and reports whether it carries data for the client. A comment is meant for the router
// alone: it may carry a load report, which checkEvent stores.
func (e *eventStream) checkEvent(raw []byte) (hasData bool, err error) {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) == 0:
		case line[0] == ':':
			if v, ok := strings.CutPrefix(string(line), loadCommentPrefix); ok {
				e.report = parseLoadReport([]byte(v))
			}
		case bytes.HasPrefix(line, []byte("data:")):
			v := bytes.TrimSpace(line[len("data:"):])
			if string(v) != doneSentinel && !json.Valid(v) {
				return false, fmt.Errorf("%w: event %.60q", http1.ErrMalformed, line)
			}
			hasData = true
			e.lastData = string(v[:min(len(v), maxLoggedData)])
		default:
			return false, fmt.Errorf("%w: event %.60q", http1.ErrMalformed, line)
		}
	}
	return hasData, nil
}

// isEventStream reports whether a Content-Type is that of server-sent events.
func isEventStream(contentType string) bool {
	v, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(v), platform.EventStreamType)
}
