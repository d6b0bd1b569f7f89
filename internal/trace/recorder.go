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

// Recorder writes a trace of live traffic. It is a router.Observer; what does not fit its queue is counted
// and left out, since no record is worth holding up an answer.
type Recorder struct {
	path    string
	classes []string
	log     *slog.Logger
	notes   chan note
	missed  atomic.Int64
	written atomic.Int64
	start   time.Time
}

type note struct {
	kind   uint8
	job    *router.Job
	at     time.Time
	tokens int
	whole  bool
}

const (
	came uint8 = iota
	wrote
	over
)

// Bounds of a recorder: notes that wait, and requests whose end is waited for. Entries are written in order
// of arrival, so that a long answer holds up those behind it: at most so many, and so long.
const (
	maxNotes  = 16384
	maxOpen   = 100_000
	openFor   = 2 * time.Minute
	flushEach = time.Second
)

// NewRecorder returns a recorder that begins a new file when it runs.
func NewRecorder(path string, classes []string, log *slog.Logger) *Recorder {
	return &Recorder{path: path, classes: classes, log: log, notes: make(chan note, maxNotes), start: time.Now()}
}

// RequestArrived implements router.Observer.
func (r *Recorder) RequestArrived(j *router.Job) { r.put(note{kind: came, job: j}) }

// PromptRead implements router.Observer.
func (r *Recorder) PromptRead(*router.Job, float64) {}

// AnswerWritten implements router.Observer.
func (r *Recorder) AnswerWritten(j *router.Job, tokens int, whole bool) {
	r.put(note{kind: wrote, job: j, tokens: tokens, whole: whole})
}

// RequestDone implements router.Observer.
func (r *Recorder) RequestDone(j *router.Job) { r.put(note{kind: over, job: j}) }

func (r *Recorder) put(n note) {
	n.at = time.Now()
	select {
	case r.notes <- n:
	default:
		r.missed.Add(1)
	}
}

// Counts returns the entries that were written, and the notes that did not fit.
func (r *Recorder) Counts() (written, missed int64) { return r.written.Load(), r.missed.Load() }

// queue keeps the entries until they are whole, in order of arrival.
type queue struct {
	open map[*router.Job]*waiting
	list []*waiting // from head on
	head int
}

type waiting struct {
	entry Entry
	job   *router.Job
	at    time.Time
	done  bool
}

func (q *queue) take(n *note, start time.Time) {
	switch n.kind {
	case came:
		// A client's repeat is left out: whoever plays the trace brings its own.
		if n.job.ClientRetry {
			return
		}
		w := &waiting{job: n.job, at: n.at, entry: Entry{At: n.at.Sub(start), Class: n.job.Class, PromptTokens: int(n.job.PromptTokens),
			PrefixTokens: min(int(n.job.PrefixTokens), int(n.job.PromptTokens)), PrefixID: n.job.SharedPrefix}}
		if w.entry.PrefixID == "" {
			w.entry.PrefixTokens = 0
		}
		q.open[n.job] = w
		q.list = append(q.list, w)
	case wrote:
		if w := q.open[n.job]; w != nil {
			w.entry.OutputTokens, w.entry.Truncated = n.tokens, !n.whole
		}
	case over:
		if w := q.open[n.job]; w != nil {
			w.done = true
			delete(q.open, n.job)
		}
	}
}

// pop returns the first entry if it need not be waited for.
func (q *queue) pop(now time.Time, all bool) (*Entry, bool) {
	if q.head == len(q.list) {
		return nil, false
	}
	w := q.list[q.head]
	if !w.done && !all && len(q.list)-q.head <= maxOpen && now.Sub(w.at) < openFor {
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

// Run records until ctx ends. A failing disk ends the recording, never the router: it is logged.
func (r *Recorder) Run(ctx context.Context) error {
	if err := r.run(ctx); err != nil {
		r.log.Error("recording of traffic has ended", "path", r.path, "err", err)
	}
	return nil
}

func (r *Recorder) run(ctx context.Context) (err error) {
	// What an earlier run has recorded is not lost at a restart: one trace is kept aside.
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
	q := queue{open: map[*router.Job]*waiting{}}
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
	flush := time.NewTicker(flushEach)
	defer flush.Stop()
	for {
		select {
		case n := <-r.notes:
			q.take(&n, r.start)
		case <-flush.C:
			if err := write(false); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		case <-ctx.Done():
			for len(r.notes) > 0 {
				n := <-r.notes
				q.take(&n, r.start)
			}
			if err := write(true); err != nil {
				return err
			}
			return w.Close()
		}
	}
}
