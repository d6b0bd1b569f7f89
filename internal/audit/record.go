// Package audit checks the five rules from what crossed the sockets: the records of clients and engines, never a
// router's own account of itself.
package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
)

// EventKind is the kind of event that a record is about.
type EventKind string

// Events that clients see.
const (
	// A try was sent: N is the first-token target, Work its value, and Deadline and Repeat are set.
	Asked          EventKind = "asked"
	FirstToken     EventKind = "began"    // its first token arrived
	Answered       EventKind = "answered" // its final answer arrived; Note is served, refused, failed or broken
	GaveUp         EventKind = "gave up"  // the client left by its own choice
	ConnectionLost EventKind = "cut"      // the connection broke or could not be established; there was no answer
)

// Events that engines see. Records name the attempt by ID.
const (
	// The engine started: N is its capacity in units of work a second, Work the part of it at the start, Deadline the
	// slow-start time and Note its stage.
	Started          EventKind = "started"
	OverloadFailed   EventKind = "fell"      // the engine failed under overload
	Arrived          EventKind = "arrived"   // an attempt arrived; Work is its work
	Rejected         EventKind = "turned"    // it was rejected without being run
	Executed         EventKind = "ran"       // its effect began
	Ended            EventKind = "ended"     // it ended, with whatever result
	Held             EventKind = "held"      // its KV state began to wait at the engine
	Claimed          EventKind = "claimed"   // a writer waits for the state or fetches it
	ClaimEnded       EventKind = "unclaimed" // the claim ended without the state having been fetched
	Renewed          EventKind = "renewed"   // the router still wants the state: an attempt for it is in flight
	Fetched          EventKind = "fetched"   // the state was transferred to a writer
	Released         EventKind = "released"  // the state was released
	Expired          EventKind = "lapsed"    // nobody released the state in time, so its engine did
	Lost             EventKind = "lost"      // the engine went down with the state
	Reserved         EventKind = "reserved"  // a reservation was granted
	ReservationEnded EventKind = "placed"    // the reservation was used by an attempt or cancelled
)

// Events of the environment.
const (
	Listed     EventKind = "listed"      // the server list was written: Who is the engine, Note its state
	RouterUp   EventKind = "router up"   // the router Who accepts requests
	RouterDown EventKind = "router down" // the router Who was stopped or killed
)

// Record is one event. Times are nanoseconds of wall time on one machine.
type Record struct {
	At       int64     `json:"t"`
	Who      string    `json:"who"`
	Kind     EventKind `json:"what"`
	ID       string    `json:"id,omitempty"`     // ID of a try or of an attempt
	Client   string    `json:"client,omitempty"` // at engines: the client's try that the attempt is for
	Router   string    `json:"router,omitempty"`
	Class    string    `json:"class,omitempty"`
	Repeat   string    `json:"repeat,omitempty"`
	Stage    string    `json:"stage,omitempty"`
	Deadline int64     `json:"deadline,omitempty"`
	Work     float64   `json:"work,omitempty"`
	N        float64   `json:"n,omitempty"`
	Note     string    `json:"note,omitempty"`
}

// Log keeps records in memory, up to a limit. Its zero value keeps none. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records []Record
	limit   int
	dropped int
}

// NewLog returns a log that keeps up to limit records.
func NewLog(limit int) *Log { return &Log{limit: limit} }

// Add keeps a record. If its time is zero, it is set to the current time.
func (l *Log) Add(r Record) {
	if l == nil {
		return
	}
	if r.At == 0 {
		r.At = time.Now().UnixNano()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) >= l.limit {
		l.dropped++
		return
	}
	l.records = append(l.records, r)
}

// Records returns a copy of all records and the number of those dropped. If any were dropped, no verdict is reliable.
func (l *Log) Records() ([]Record, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...), l.dropped
}

// Write writes records as JSON lines, compressed with zstd if the path ends in .zst.
func Write(path string, records []Record) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	var w io.Writer = f
	if strings.HasSuffix(path, ".zst") {
		z, err := zstd.NewWriter(f)
		if err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		defer func() {
			if e := z.Close(); err == nil {
				err = e
			}
		}()
		w = z
	}
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			return fmt.Errorf("audit: %w", err)
		}
	}
	return b.Flush()
}

// Read reads a file written by Write.
func Read(path string) ([]Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	defer f.Close()
	var r io.Reader = f
	if strings.HasSuffix(path, ".zst") {
		z, err := zstd.NewReader(f)
		if err != nil {
			return nil, fmt.Errorf("audit: %s: %w", path, err)
		}
		defer z.Close()
		r = z
	}
	var out []Record
	dec := json.NewDecoder(bufio.NewReader(r))
	for {
		var rec Record
		switch err := dec.Decode(&rec); {
		case err == io.EOF:
			return out, nil
		case err != nil:
			return nil, fmt.Errorf("audit: %s: record %d: %w", path, len(out)+1, err)
		}
		out = append(out, rec)
	}
}
