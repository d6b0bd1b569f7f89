package trace

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"mintdoor/internal/router"
)

// Recorder writes a trace of live traffic. It is a router.Observer. An event that does not fit its queue is counted
// and dropped, since no record is worth delaying an answer.
type Recorder struct {
	path    string
	classes []string
	log     *slog.Logger
	events  chan event
	dropped atomic.Int64
	written atomic.Int64
	start   time.Time
}

// event is an observation of a request.
type event struct {
	kind     uint8
	job      *router.Job
	at       time.Time
	tokens   int
	complete bool
}

const (
	eventArrived uint8 = iota
	eventWritten
	eventOver
)

// Limits of a recorder: events that wait in the channel, and requests whose end is awaited. Entries are written in
// order of arrival, so a long answer delays the entries behind it, but at most maxOpen of them and for at most
// openTimeout.
const (
	maxEvents     = 16384
	maxOpen       = 100_000
	openTimeout   = 2 * time.Minute
	flushInterval = time.Second
)

// NewRecorder returns a recorder that begins a new file when it runs.
func NewRecorder(path string, classes []string, log *slog.Logger) *Recorder {
	return &Recorder{path: path, classes: classes, log: log, events: make(chan event, maxEvents), start: time.Now()}
}

// RequestArrived implements router.Observer.
func (r *Recorder) RequestArrived(j *router.Job) { r.enqueue(event{kind: eventArrived, job: j}) }

// PromptRead implements router.Observer.
func (r *Recorder) PromptRead(*router.Job, float64) {}

// AnswerWritten implements router.Observer.
func (r *Recorder) AnswerWritten(j *router.Job, tokens int, complete bool) {
	r.enqueue(event{kind: eventWritten, job: j, tokens: tokens, complete: complete})
}

// RequestDone implements router.Observer.
func (r *Recorder) RequestDone(j *router.Job) { r.enqueue(event{kind: eventOver, job: j}) }

func (r *Recorder) enqueue(e event) {
	e.at = time.Now()
	select {
	case r.events <- e:
	default:
		r.dropped.Add(1)
	}
}

// Counts returns the number of entries written and of events dropped.
func (r *Recorder) Counts() (written, dropped int64) { return r.written.Load(), r.dropped.Load() }

// queue keeps entries in order of arrival until they are complete.
type queue struct {
	open map[*router.Job]*pendingEntry
	list []*pendingEntry // from index head on
	head int
}

// pendingEntry is an entry that is not written yet.
type pendingEntry struct {
	entry    Entry
	job      *router.Job
	at       time.Time
	complete bool
}

func (q *queue) handle(e *event, start time.Time) {
	switch e.kind {
	case eventArrived:
		// A client's retry is left out, because a client that replays the trace makes its own retries.
		if e.job.ClientRetry {
			return
		}
		pending := &pendingEntry{job: e.job, at: e.at, entry: Entry{At: e.at.Sub(start), Class: e.job.Class, PromptTokens: int(e.job.PromptTokens),
			PrefixTokens: min(int(e.job.PrefixTokens), int(e.job.PromptTokens)), PrefixID: e.job.SharedPrefix}}
		if pending.entry.PrefixID == "" {
			pending.entry.PrefixTokens = 0
		}
		q.open[e.job] = pending
		q.list = append(q.list, pending)
	case eventWritten:
		if w := q.open[e.job]; w != nil {
			w.entry.OutputTokens, w.entry.Truncated = e.tokens, !e.complete
		}
	case eventOver:
		if w := q.open[e.job]; w != nil {
			w.complete = true
			delete(q.open, e.job)
		}
	}
}

// pop removes and returns the first entry if it is complete or has waited long enough. With all set, it does not
// wait.
func (q *queue) pop(now time.Time, all bool) (*Entry, bool) {
	if q.head == len(q.list) {
		return nil, false
	}
	w := q.list[q.head]
	if !w.complete && !all && len(q.list)-q.head <= maxOpen && now.Sub(w.at) < openTimeout {
		return nil, false
	}
	delete(q.open, w.job)
	q.list[q.head] = nil
	if q.head++; q.head > 1024 && q.head > len(q.list)/2 {
		q.list = append(q.list[:0], q.list[q.head:]...)
		q.head = 0
	}
	return &w.entry, true
}

// Run records until ctx ends. If writing fails, for example because the disk is full, it logs the error and ends the
// recording; the router goes on.
func (r *Recorder) Run(ctx context.Context) error {
	if err := r.run(ctx); err != nil {
		r.log.Error("recording of traffic failed", "path", r.path, "err", err)
	}
	return nil
}

func (r *Recorder) run(ctx context.Context) (err error) {
	// A restart must not lose what the previous run recorded, so one previous trace is kept.
	if err := os.Rename(r.path, r.path+".1"); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := os.OpenFile(r.path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	w, err := NewWriter(f, r.classes)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	q := queue{open: map[*router.Job]*pendingEntry{}}
	write := func(all bool) error {
		now := time.Now()
		for {
			e, ok := q.pop(now, all)
			if !ok {
				return nil
			}
			if err := w.Write(e); err != nil {
				return err
			}
			r.written.Add(1)
		}
	}
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case n := <-r.events:
			q.handle(&n, r.start)
		case <-flush.C:
			if err := write(false); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		case <-ctx.Done():
			for len(r.events) > 0 {
				n := <-r.events
				q.handle(&n, r.start)
			}
			if err := write(true); err != nil {
				return err
			}
			return w.Close()
		}
	}
}
