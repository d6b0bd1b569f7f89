package router

import (
	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/guard"
)

// requestRow is a request's row in the table, owned by the loop. It is in the table from the request's arrival until it has its
// answer, none of its attempts is out and nothing is held for it. Which steps are allowed is the guard's to say.
type requestRow struct {
	id             decide.RequestID
	q              *Request
	name           string   // towards engines, over all attempts
	inFlight       *attempt // nil: waiting
	deadline       decide.Time
	deadlineTimer  *timer        // answers at the deadline if nobody else did
	state          *engine.State // waits at an engine for this request
	reservation    *reservation  // asked for or held ahead
	unknownRead    string        // address of the last engine whose read may have left a state nobody heard of, or may leave one yet
	releasePending bool          // ByRequest: something of it is to be let go at its end
	lastErr        error         // of the last attempt that failed
	lastTimedOut   bool          // the last attempt that failed timed out
}

// reservation is a place ahead at a writer.
type reservation struct {
	server    decide.ServerID
	addr      string
	confirmed bool // known to be held; before that it may be
}

// guard is the request's state.
func (f *requestRow) guard() *guard.Request { return f.q.job.Guard }

// answered tells whether the request has its final answer.
func (f *requestRow) answered() bool { return f.guard().IsDecided() }

// acceptFirstToken lets an attempt's first token through, if it is still wanted. From then on the answer belongs to
// the client and the attempt has no time-out.
func (f *requestRow) acceptFirstToken(a *attempt) bool {
	if a.cancelling || !a.guard.GrantFirstToken() {
		return false
	}
	a.streaming = true
	f.state, f.reservation = nil, nil // both have gone into the stream
	f.releasePending = false
	return true
}

// endAttempt takes the attempt back and tells what it leaves.
func (f *requestRow) endAttempt(a *attempt, res *engine.Result) {
	f.inFlight = nil
	switch {
	case res.Outcome == decide.ReadDone:
		f.state = res.State
	case res.Outcome == decide.Served:
		f.state, f.reservation = nil, nil
	case res.NoState:
		// The state is not where it was read. A writer that was given up before may have fetched it and hold it yet.
		f.state, f.releasePending = nil, true
	}
	if res.Outcome != decide.ReadDone && res.Outcome != decide.Served {
		f.lastErr, f.lastTimedOut = res.Err, res.Outcome == decide.TimedOut
	}
}

// answer gives the final answer, the first time that it is called; it reports whether this was it.
func (f *requestRow) answer(e Ending) bool {
	if !f.guard().Decide(e.Kind.String(), e.Reason) {
		return false
	}
	f.q.finish(e)
	return true
}

// done tells whether the row can go.
func (f *requestRow) done() bool { return f.inFlight == nil && f.answered() }

// table is all requests that are not over.
type table struct {
	rows      map[decide.RequestID]*requestRow
	byRequest map[*Request]*requestRow
	lastID    decide.RequestID
}

func newTable() table {
	return table{rows: map[decide.RequestID]*requestRow{}, byRequest: map[*Request]*requestRow{}}
}

// add makes a row under a number that no other has: the counter wraps, and old streams may still run.
func (t *table) add(q *Request) *requestRow {
	for {
		t.lastID++
		if _, taken := t.rows[t.lastID]; !taken && t.lastID != 0 {
			break
		}
	}
	f := &requestRow{id: t.lastID, q: q}
	t.rows[f.id] = f
	t.byRequest[q] = f
	return f
}

func (t *table) remove(f *requestRow) {
	delete(t.rows, f.id)
	delete(t.byRequest, f.q)
}
