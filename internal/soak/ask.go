package soak

import (
	"sync"
	"time"
)

// ending tells how a connection ended without a whole answer.
type ending uint8

const (
	endNone    ending = iota // it has not ended, or the answer is whole
	endUnread                // reset: the router has not read the request
	endClosed                // the router has read it and closed
	endTimeout               // nothing came for as long as the client would wait
	endBroken                // in the middle of an answer
	endDial                  // the connection did not come up
)

func (e ending) String() string {
	return [...]string{"none", "reset unread", "closed unanswered", "no answer", "cut", "no connection"}[e]
}

// ask is one request of a client on one connection, as the client saw it.
type ask struct {
	id       string
	class    int
	router   int
	note     string // what is special about it
	first    bool   // of its connection
	left     time.Duration
	began    time.Time // its first byte was written
	sent     time.Time // its last byte was written; zero: it was not
	quit     time.Time // the client closed its connection before the answer's end
	status   int
	answered time.Time   // the head of the answer has come
	events   []time.Time // when events came
	whole    bool        // the answer has come to its end
	ended    time.Time
	ending   ending
	wrong    string // what is wrong with the answer's content
}

// deadline is until when the client waits for the first token.
func (a *ask) deadline() time.Time { return a.sent.Add(a.left) }

// refused tells whether the answer promises that trying again is harmless.
func (a *ask) refused() bool { return a.status == 429 || a.status == 503 }

// maxAsks bounds what a run records.
const maxAsks = 1_000_000

// askLog keeps all asks of a run. It is safe for concurrent use.
type askLog struct {
	mu   sync.Mutex
	list []*ask
	bad  []badClient
}

func (l *askLog) add(a *ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) < maxAsks {
		l.list = append(l.list, a)
	}
}

func (l *askLog) addBad(b badClient) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.bad) < maxAsks {
		l.bad = append(l.bad, b)
	}
}

// badClient is a client that sends what can't be served, and how long it was left without an error or a close.
type badClient struct {
	kind   string
	router int
	began  time.Time
	waited time.Duration
	served bool // it got a 200
	noWord bool // it got neither in time
}
