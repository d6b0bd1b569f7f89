package kserve

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// EventReader reads server-sent events (WHATWG HTML, section 9.2 "Server-sent events") and returns the data of each.
// It ignores comments and all fields other than data.
type EventReader struct {
	r     *bufio.Reader
	limit int
	data  []byte
}

// ErrEventTooLong is returned for an event whose data, or one of whose lines, exceeds the limit.
var ErrEventTooLong = errors.New("event is too long")

// NewEventReader returns a reader of the events in r. An event of more than limit bytes is an error.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 4096), limit: limit}
}

// Next returns the data of the next event, which is valid until the next call. At the end of the stream it returns
// io.EOF between events and io.ErrUnexpectedEOF within one.
func (e *EventReader) Next() ([]byte, error) {
	e.data = e.data[:0]
	seen := false
	for {
		line, err := e.readLine()
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

// readLine reads a line and returns it without its line end.
func (e *EventReader) readLine() ([]byte, error) {
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
