package router

import (
	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/guard"
)

// flight is a request's row in the table, owned by the loop. It is in the table from the request's arrival until it has its
// answer, none of its attempts is out and nothing is held for it. Which steps are allowed is the guard's to say.
type flight struct {
	id       decide.RequestID
	q        *Request
	name     string   // towards engines, over all attempts
	out      *attempt // nil: waiting
	deadline decide.Time
	guard    *entry        // answers at the deadline if nobody else did
	state    *engine.State // waits at an engine for this request
	place    *place        // asked for or held ahead
	lost     string        // address of the last engine whose read may have left a state nobody heard of, or may leave one yet
	owed     bool          // ByRequest: something of it is to be let go at its end
	lastErr  error         // of the last attempt that failed
	late     bool          // the last attempt that failed timed out
}

// place is a place ahead at a writer.
type place struct {
	server decide.ServerID
	addr   string
	held   bool // known to be held; before that it may be
}

// guarded is the request's state.
func (f *flight) guarded() *guard.Request { return f.q.job.Guard }

// answered tells whether the request has its final answer.
func (f *flight) answered() bool { return f.guarded().IsDecided() }

// grant lets an attempt's first token through, if it is still wanted. From then on the answer belongs to
// the client and the attempt has no time-out.
func (f *flight) grant(a *attempt) bool {
	if a.ending || !a.guarded.GrantFirstToken() {
		return false
	}
	a.streaming = true
	f.state, f.place = nil, nil // both have gone into the stream
	f.owed = false
	return true
}

// end takes the attempt back and tells what it leaves.
func (f *flight) end(a *attempt, res *engine.Result) {
	f.out = nil
	switch {
	case res.Outcome == decide.ReadDone:
		f.state = res.State
	case res.Outcome == decide.Served:
		f.state, f.place = nil, nil
	case res.NoState:
		// The state is not where it was read. A writer that was given up before may have fetched it and hold it yet.
		f.state, f.owed = nil, true
	}
	if res.Outcome != decide.ReadDone && res.Outcome != decide.Served {
		f.lastErr, f.late = res.Err, res.Outcome == decide.TimedOut
	}
}

// answer gives the final answer, the first time that it is called; it reports whether this was it.
func (f *flight) answer(e Ending) bool {
	if !f.guarded().Decide(e.Kind.String(), e.Reason) {
		return false
	}
	f.q.finish(e)
	return true
}

// over tells whether the row can go.
func (f *flight) over() bool { return f.out == nil && f.answered() }

// table is all requests that are not over.
type table struct {
	rows map[decide.RequestID]*flight
	byQ  map[*Request]*flight
	last decide.RequestID
}

func newTable() table {
	return table{rows: map[decide.RequestID]*flight{}, byQ: map[*Request]*flight{}}
}

// add makes a row under a number that no other has: the counter wraps, and old streams may still run.
func (t *table) add(q *Request) *flight {
	for {
		t.last++
		if _, taken := t.rows[t.last]; !taken && t.last != 0 {
			break
		}
	}
	f := &flight{id: t.last, q: q}
	t.rows[f.id] = f
	t.byQ[q] = f
	return f
}

func (t *table) remove(f *flight) {
	delete(t.rows, f.id)
	delete(t.byQ, f.q)
}
