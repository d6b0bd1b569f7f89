// Package audit checks the five rules from what crossed the sockets: records that clients and engines
// make, never what a router says of itself.
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

// EventKind tells what a record is of.
type EventKind string

// What clients see.
const (
	Asked          EventKind = "asked"    // a try was sent; Deadline and Repeat are set
	FirstToken     EventKind = "began"    // its first token came
	Answered       EventKind = "answered" // its final answer came: Note is served, refused, failed or broken
	GaveUp         EventKind = "gave up"  // the client left by its own choice
	ConnectionLost EventKind = "cut"      // the connection broke, or never stood; no answer came
)

// What engines see. An attempt is named by ID.
const (
	Started          EventKind = "started"   // the engine started; N is its capacity in work a second, Note its stage
	OverloadFailed   EventKind = "fell"      // it was pushed over
	Arrived          EventKind = "arrived"   // an attempt came in; Work is its work
	Rejected         EventKind = "turned"    // it was turned away unrun
	Executed         EventKind = "ran"       // its effect began
	Ended            EventKind = "ended"     // it ended, in whatever way
	Held             EventKind = "held"      // a state began to wait
	Claimed          EventKind = "claimed"   // a writer is waiting for it or fetches it
	ClaimEnded       EventKind = "unclaimed" // that ended without the state having gone
	Renewed          EventKind = "renewed"   // its router still wants it: an attempt for it is out
	Fetched          EventKind = "fetched"   // the state has gone to a writer
	Released         EventKind = "released"  // it was let go
	Expired          EventKind = "lapsed"    // nobody let it go in time and the engine did
	Lost             EventKind = "lost"      // the engine went down with it
	Reserved         EventKind = "reserved"  // a place is held ahead
	ReservationEnded EventKind = "placed"    // it was taken by a send or given up
)

// What the surroundings do.
const (
	Listed     EventKind = "listed"      // the list was written: Who is the engine, Note its state
	RouterUp   EventKind = "router up"   // Who takes requests
	RouterDown EventKind = "router down" // Who was stopped or killed
)

// Record is one thing seen. Times are nanoseconds of wall time on one machine.
type Record struct {
	At       int64     `json:"t"`
	Who      string    `json:"who"`
	Kind     EventKind `json:"what"`
	ID       string    `json:"id,omitempty"`     // a try's id, or an attempt's
	Client   string    `json:"client,omitempty"` // at engines: the try that the attempt is for
	Router   string    `json:"router,omitempty"`
	Class    string    `json:"class,omitempty"`
	Repeat   string    `json:"repeat,omitempty"`
	Stage    string    `json:"stage,omitempty"`
	Deadline int64     `json:"deadline,omitempty"`
	Work     float64   `json:"work,omitempty"`
	N        float64   `json:"n,omitempty"`
	Note     string    `json:"note,omitempty"`
}

// Log keeps records in memory, up to a bound. Its zero value keeps none; it is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records []Record
	most    int
	dropped int
}

// NewLog returns a log that keeps up to most records.
func NewLog(most int) *Log { return &Log{most: most} }

// Add keeps a record; without a time it gets the present one.
func (l *Log) Add(r Record) {
	if l == nil {
		return
	}
	if r.At == 0 {
		r.At = time.Now().UnixNano()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) >= l.most {
		l.dropped++
		return
	}
	l.records = append(l.records, r)
}

// Records returns a copy of all, and how many did not fit: with any, no verdict can be trusted.
func (l *Log) Records() ([]Record, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...), l.dropped
}

// Write writes records as lines of JSON, compressed with zstd when the path ends in .zst.
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

// Read reads what Write wrote.
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
