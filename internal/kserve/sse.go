package kserve

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// EventReader reads server-sent events (WHATWG HTML, section 9.2 "Server-sent events") and yields the data
// of each. Only the data field is meant here; comments and other fields are passed over.
type EventReader struct {
	r     *bufio.Reader
	limit int
	data  []byte
}

// ErrEventTooLong is returned for an event whose data or line is over the limit.
var ErrEventTooLong = errors.New("event is too long")

// NewEventReader reads from r; no event may be longer than limit bytes.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 4096), limit: limit}
}

// Next returns the data of the next event; it is valid until the next call. The end of the stream is
// io.EOF between events, and io.ErrUnexpectedEOF within one.
func (e *EventReader) Next() ([]byte, error) {
	e.data = e.data[:0]
	seen := false
	for {
		line, err := e.line()
		if err != nil {
			if errors.Is(err, io.EOF) && (seen || len(line) > 0) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return e.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		if seen {
			e.data = append(e.data, '\n')
		}
		if seen = true; len(e.data)+len(value) > e.limit {
			return nil, fmt.Errorf("%w: over %d bytes", ErrEventTooLong, e.limit)
		}
		e.data = append(e.data, value...)
	}
}

// line returns one line without its end.
func (e *EventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > e.limit {
			return nil, fmt.Errorf("%w: a line over %d bytes", ErrEventTooLong, e.limit)
		}
		line, err = e.r.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return long, err
	}
	return bytes.TrimSuffix(long[:len(long)-1], []byte("\r")), nil
}
