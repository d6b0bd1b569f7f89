package soak

import (
	"sync"
	"time"
)

// ending is how a connection ended without a complete answer.
type ending uint8

// The endings of connections.
const (
	endNone    ending = iota // it has not ended, or the answer is complete
	endUnread                // reset: the router has not read the request
	endClosed                // the router has read the request and closed the connection
	endTimeout               // nothing came for as long as the client waits
	endBroken                // in the middle of an answer
	endDial                  // the connection could not be established
)

// String returns the ending in words, for findings.
func (e ending) String() string {
	return [...]string{"none", "reset unread", "closed unanswered", "no answer", "cut", "no connection"}[e]
}

// requestRecord is one request of a client on one connection, as the client saw it.
type requestRecord struct {
	id           string
	class        int
	router       int
	note         string // what is special about the request
	readsSlowly  bool   // its events come late to the client by the client's own doing
	firstOnConn  bool   // the first request of its connection
	timeLeft     time.Duration
	startedAt    time.Time // when its first byte was written
	sentAt       time.Time // when its last byte was written; zero: it was not
	leftAt       time.Time // when the client left before the end of the answer
	status       int
	answeredAt   time.Time   // when the header of the answer came
	events       []time.Time // when events came
	complete     bool        // the answer was received to its end
	endedAt      time.Time
	ending       ending
	contentError string // what is wrong with the answer's content
}

// deadline returns until when the client waits for the first token.
func (r *requestRecord) deadline() time.Time { return r.sentAt.Add(r.timeLeft) }

// refused reports whether the answer's status promises that a retry is harmless.
func (r *requestRecord) refused() bool { return r.status == 429 || r.status == 503 }

// maxRecords limits the number of requests, and of bad clients, that a run records.
const maxRecords = 1_000_000

// requestLog holds the records of all requests of a run. It is safe for concurrent use.
type requestLog struct {
	mu   sync.Mutex
	list []*requestRecord
	bad  []badClient
}

// add adds the record of a request.
func (l *requestLog) add(rec *requestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) < maxRecords {
		l.list = append(l.list, rec)
	}
}

// addBad adds the record of a bad client.
func (l *requestLog) addBad(b badClient) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.bad) < maxRecords {
		l.bad = append(l.bad, b)
	}
}

// badClient is the record of a client that sent an invalid request, and of how long it was left without an error or a
// close.
type badClient struct {
	kind       string
	router     int
	startedAt  time.Time
	waited     time.Duration
	served     bool // it got a successful status
	noResponse bool // it got neither an error nor a close in time
}
