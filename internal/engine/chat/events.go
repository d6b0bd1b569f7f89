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

// events takes a stream of server-sent events apart and checks it, so that nothing spoilt reaches a client.
type events struct {
	x      *exchange
	chunks *http1.ChunkedReader
	buf    []byte // what came and is no whole event yet
	report decide.Report
}

var blankLine = []byte("\n\n")

// next returns the next event with data, as it came. io.EOF comes only after the last chunk.
func (e *events) next() (string, error) {
	// From event to event: what is neither, a drip of bytes or of comments, does not put the time off.
	e.x.conn.SetReadDeadline(time.Now().Add(e.x.client.opts.StreamIdleTimeout))
	for {
		if i := bytes.Index(e.buf, blankLine); i >= 0 {
			raw := e.buf[:i+len(blankLine)]
			data, err := e.check(raw)
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
		if len(e.buf) > maxEvent {
			return "", fmt.Errorf("%w: event", http1.ErrTooLarge)
		}
		if err := e.fill(); err != nil {
			if err == io.EOF && len(bytes.TrimSpace(e.buf)) > 0 {
				if _, bad := e.check(e.buf); bad != nil {
					return "", bad
				}
				e.buf = nil // a closing comment without a blank line
			}
			return "", err
		}
	}
}

// fill reads more.
func (e *events) fill() error {
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

// check tells whether an event carries data for the client. A comment is between the engine and the router.
func (e *events) check(raw []byte) (data bool, err error) {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) == 0:
		case line[0] == ':':
			if v, ok := strings.CutPrefix(string(line), loadComment); ok {
				e.report = parseLoad([]byte(v))
			}
		case bytes.HasPrefix(line, []byte("data:")):
			v := bytes.TrimSpace(line[len("data:"):])
			if string(v) != doneSentinel && !json.Valid(v) {
				return false, fmt.Errorf("%w: event %.60q", http1.ErrMalformed, line)
			}
			data = true
		default:
			return false, fmt.Errorf("%w: event %.60q", http1.ErrMalformed, line)
		}
	}
	return data, nil
}

func isEvents(contentType string) bool {
	v, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(v), platform.EventStreamType)
}
