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
// reaches a client. A stream is whole only if its last event is the one that the protocol names and its last chunk follows:
// a last chunk alone may come from an engine that has broken off, or that tells wrong sizes.
type eventStream struct {
	x       *exchange
	chunks  *http1.ChunkedReader
	buf     []byte // received bytes that do not form a whole event yet
	scanned int    // bytes of buf that are known not to end an event
	isDone  bool   // the last event has been read
	report  decide.Report
}

// describeEnd describes for the log what has come after the last event.
func (e *eventStream) describeEnd() string {
	return fmt.Sprintf("%d trailer lines, %d bytes behind", e.chunks.TrailerLines(), e.x.conn.br.Buffered())
}

// next returns the next event that carries data, exactly as received. It returns io.EOF only after the last event and the
// last chunk.
func (e *eventStream) next() (string, error) {
	// The deadline runs from event to event: single bytes and comments that trickle in do not extend it.
	e.x.conn.SetReadDeadline(time.Now().Add(e.x.client.opts.StreamIdleTimeout))
	for {
		if n := e.eventLength(); n > 0 {
			event := string(e.buf[:n])
			e.buf, e.scanned = shift(e.buf, n), 0
			hasData, err := e.checkEvent(event)
			if err != nil {
				return "", err
			}
			if hasData {
				return event, nil
			}
			continue
		}
		if len(e.buf) > maxEventSize {
			return "", fmt.Errorf("%w: event", http1.ErrTooLarge)
		}
		switch err := e.fill(); err {
		case nil:
		case io.EOF:
			return "", e.checkEnd()
		default:
			return "", err
		}
	}
}

// shift returns b without its first n bytes. It does not keep the memory of a large event while the next one is awaited.
func shift(b []byte, n int) []byte {
	rest := b[n:]
	if cap(b) > maxKeptBuffer && len(rest) <= maxKeptBuffer/2 {
		return append([]byte(nil), rest...)
	}
	return append(b[:0], rest...)
}

// eventLength returns the length of the first event in buf with the blank line that ends it, or 0 if buf has no whole
// event. Lines end with LF or CRLF.
func (e *eventStream) eventLength() int {
	for {
		i := bytes.IndexByte(e.buf[e.scanned:], '\n')
		if i < 0 {
			e.scanned = len(e.buf)
			return 0
		}
		lineEnd := e.scanned + i
		switch next := e.buf[lineEnd+1:]; {
		case bytes.HasPrefix(next, []byte("\n")):
			return lineEnd + len("\n\n")
		case bytes.HasPrefix(next, []byte("\r\n")):
			return lineEnd + len("\n\r\n")
		case len(next) == 0 || string(next) == "\r":
			e.scanned = lineEnd
			return 0
		}
		e.scanned = lineEnd + 1
	}
}

// checkEnd returns io.EOF if the stream is whole at its last chunk, otherwise what is missing. Behind the last event there
// may be comments, the last of them without its blank line.
func (e *eventStream) checkEnd() error {
	if !e.isDone {
		return fmt.Errorf("%w: the last chunk came without the event %s", http1.ErrMalformed, doneSentinel)
	}
	rest := string(e.buf)
	e.buf = nil
	if hasData, err := e.checkEvent(rest); err != nil {
		return err
	} else if hasData {
		return errDataBehindLastEvent
	}
	return io.EOF
}

// errDataBehindLastEvent is the error of a stream that goes on after its last event.
var errDataBehindLastEvent = fmt.Errorf("%w: data behind the event %s", http1.ErrMalformed, doneSentinel)

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
func (e *eventStream) checkEvent(event string) (hasData bool, err error) {
	var data []string
	for line := range strings.SplitSeq(event, "\n") {
		line = strings.TrimSuffix(line, "\r")
		name, value, isField := strings.Cut(line, ":")
		switch {
		case line == "":
		case isField && name == "": // a comment
			if v, ok := strings.CutPrefix(line, loadCommentPrefix); ok {
				e.report = parseLoadReport([]byte(v))
			}
		case isField && name == "data":
			data = append(data, strings.TrimSpace(value))
		case isField && (name == "event" || name == "id" || name == "retry"):
		default:
			return false, fmt.Errorf("%w: event %.60q", http1.ErrMalformed, line)
		}
	}
	if data == nil {
		return false, nil
	}
	return true, e.checkData(strings.Join(data, "\n"))
}

// checkData validates the data of an event.
func (e *eventStream) checkData(data string) error {
	switch {
	case e.isDone:
		return errDataBehindLastEvent
	case data == doneSentinel:
		e.isDone = true
	case !json.Valid([]byte(data)):
		return fmt.Errorf("%w: event %.60q", http1.ErrMalformed, data)
	}
	return nil
}

// isEventStream reports whether a Content-Type is that of server-sent events.
func isEventStream(contentType string) bool {
	v, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(v), platform.EventStreamType)
}
