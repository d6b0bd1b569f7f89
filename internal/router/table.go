package router

import (
	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/guard"
)

// requestRow is a request's row in the table, owned by the loop. It exists from the request's arrival until the
// request has its final answer, none of its attempts is in flight and nothing is held for it. The guard decides which
// steps are allowed.
type requestRow struct {
	id            decide.RequestID
	q             *Request
	name          string   // sent to engines in all attempts
	inFlight      *attempt // nil: no attempt is in flight
	deadline      decide.Time
	deadlineTimer *timer        // answers the request after its deadline if nothing else has
	state         *engine.State // held at an engine for this request
	reservation   *reservation  // requested or granted
	// unknownRead is the address of the last engine whose read ended with an unknown outcome: that read may have left
	// an orphaned KV state, or may still do so.
	unknownRead    string
	mayHaveRun     bool  // a writer has been sent the request and may have executed it
	releasePending bool  // PerRequest: a release is due at the end of the request
	lastErr        error // of the last attempt that failed
	lastTimedOut   bool  // the last attempt that failed timed out
}

// reservation is memory reserved for a request at a writer before its read ends.
type reservation struct {
	server    decide.ServerID
	addr      string
	confirmed bool // granted by the engine; before its answer arrives the engine may hold it or not
}

// guard returns the request's state at the guard.
func (row *requestRow) guard() *guard.Request { return row.q.job.Guard }

// answered reports whether the request has its final answer.
func (row *requestRow) answered() bool { return row.guard().IsDecided() }

// acceptFirstToken allows an attempt's first token to be passed on, if it is still wanted. From then on the answer
// belongs to the client and the attempt has no timeout.
func (row *requestRow) acceptFirstToken(a *attempt) bool {
	if a.cancelling || !a.guard.GrantFirstToken() {
		return false
	}
	a.streaming = true
	row.state, row.reservation = nil, nil // both were used up by the stream
	row.releasePending = false
	return true
}

// endAttempt records the end of the attempt in flight and what the attempt leaves behind.
func (row *requestRow) endAttempt(a *attempt, res *engine.Result) {
	row.inFlight = nil
	switch {
	case res.Outcome == decide.ReadDone:
		row.state = res.State
	case res.Outcome == decide.Served:
		row.state, row.reservation = nil, nil
	case res.NoState:
		// The KV state is no longer where it was read. A writer whose attempt was given up earlier may have fetched
		// it and may still hold it.
		row.state, row.releasePending = nil, true
	}
	if res.Outcome != decide.ReadDone && res.Outcome != decide.Served {
		row.lastErr, row.lastTimedOut = res.Err, res.Outcome == decide.TimedOut
	}
}

// answer sets the final answer if there is none yet, and reports whether it did.
func (row *requestRow) answer(e Ending) bool {
	if !row.guard().Decide(e.Kind.String(), e.Reason) {
		return false
	}
	row.q.finish(e)
	return true
}

// done reports whether the row can be removed.
func (row *requestRow) done() bool { return row.inFlight == nil && row.answered() }

// table holds all requests that are not done.
type table struct {
	rows      map[decide.RequestID]*requestRow
	byRequest map[*Request]*requestRow
	lastID    decide.RequestID
}

func newTable() table {
	return table{rows: map[decide.RequestID]*requestRow{}, byRequest: map[*Request]*requestRow{}}
}

// add creates a row with an unused id: the counter wraps around, and rows of old streams may still exist.
func (t *table) add(q *Request) *requestRow {
	for {
		t.lastID++
		if _, taken := t.rows[t.lastID]; !taken && t.lastID != 0 {
			break
		}
	}
	row := &requestRow{id: t.lastID, q: q}
	t.rows[row.id] = row
	t.byRequest[q] = row
	return row
}

func (t *table) remove(row *requestRow) {
	delete(t.rows, row.id)
	delete(t.byRequest, row.q)
}
