// Package chat has stand-ins for what surrounds a router on the platform: engines that speak the platform's protocol,
// discovery agents, and proxies between routers and engines that inject network faults. They record what they see.
// They do not evaluate it: the checks are in the packages that use this one.
package chat

import (
	"sync"
	"time"
)

// Outcome is how an attempt ended at its engine.
type Outcome uint8

// The outcomes of attempts.
const (
	Running    Outcome = iota // in flight
	Read                      // answered 202: the prompt is read
	Streamed                  // the stream was written to its last chunk
	Refused                   // answered 503 and never executed
	StateGone                 // answered 410, since there is no KV state to fetch; never executed
	Failed                    // answered 500
	ConnReset                 // the engine has reset the connection
	Malformed                 // the engine has written something that is not a valid answer
	Cancelled                 // the router has closed the connection before the end
	EngineDied                // the engine was killed
)

// String returns the outcome in words, for findings.
func (o Outcome) String() string {
	return [...]string{"running", "read", "streamed", "turned away", "state gone", "errored", "broken", "spoilt", "given up",
		"engine died"}[o]
}

// NeverExecuted reports whether an outcome proves that the request has had no effect.
func (o Outcome) NeverExecuted() bool { return o == Refused || o == StateGone }

// Attempt is one request that has arrived at an engine, as the engine saw it.
type Attempt struct {
	Request   string
	Engine    string
	Router    int // number of the router that sent it
	Writer    bool
	FirstByte time.Time     // when its first byte left the router
	LastByte  time.Time     // when its last byte left the router
	Arrived   time.Time     // when its last byte reached the engine
	TimeLeft  time.Duration // as the router advertised it
	Events    []time.Time   // when events were written
	Outcome   Outcome
	Ended     time.Time   // zero while it is in flight
	ConnLost  bool        // the network has dropped data of its connection, or has reset it
	conn      *connRecord // the connection that carried it
}

// Hold is a KV state that an engine keeps for a request until it is released.
type Hold struct {
	Request string
	Engine  string
	From    time.Time
	Until   time.Time // zero while it is held
}

// Limits on what a cluster records. A longer run has to be split.
const (
	maxAttempts = 2_000_000
	maxHolds    = 2_000_000
)

// Cluster is the common record of all engines: what they hold for requests, and the attempts that they received. It
// is safe for concurrent use.
type Cluster struct {
	mu              sync.Mutex
	attempts        []*Attempt
	holds           []*Hold
	openHolds       map[string][]*Hold        // by request, those that have not ended
	conns           map[connAddrs]*connRecord // open connections, by their addresses as the engine sees them
	probes          int
	unexpectedCalls int  // calls that do not belong to a client's request
	overflow        bool // a limit was reached, and something was not recorded
}

// NewCluster returns an empty cluster.
func NewCluster() *Cluster {
	return &Cluster{openHolds: map[string][]*Hold{}, conns: map[connAddrs]*connRecord{}}
}

// addAttempt records an attempt.
func (c *Cluster) addAttempt(a *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.attempts) == maxAttempts {
		c.overflow = true
		return
	}
	c.attempts = append(c.attempts, a)
}

// endAttempt records how an attempt ended. Only the first call for an attempt counts.
func (c *Cluster) endAttempt(a *Attempt, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Outcome == Running {
		a.Outcome, a.Ended = o, time.Now()
	}
}

// addEvent records that an attempt's next event is written, and returns how many there were before.
func (c *Cluster) addEvent(a *Attempt) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.Events = append(a.Events, time.Now())
	return len(a.Events) - 1
}

// addHold records that an engine holds the KV state of a request.
func (c *Cluster) addHold(request, engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.holds) == maxHolds {
		c.overflow = true
		return
	}
	h := &Hold{Request: request, Engine: engine, From: time.Now()}
	c.holds = append(c.holds, h)
	c.openHolds[request] = append(c.openHolds[request], h)
}

// isHeld reports whether any KV state of a request is held.
func (c *Cluster) isHeld(request string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openHolds[request]) > 0
}

// releaseHolds ends all holds of a request.
func (c *Cluster) releaseHolds(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHolds(c.openHolds[request])
	delete(c.openHolds, request)
}

// endHoldsOfEngine ends all holds at an engine that was killed.
func (c *Cluster) endHoldsOfEngine(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, holds := range c.openHolds {
		var rest []*Hold
		for _, h := range holds {
			if h.Engine == engine {
				h.Until = time.Now()
			} else {
				rest = append(rest, h)
			}
		}
		if c.openHolds[request] = rest; len(rest) == 0 {
			delete(c.openHolds, request)
		}
	}
}

// endHolds ends holds now. mu is held.
func (c *Cluster) endHolds(holds []*Hold) {
	for _, h := range holds {
		h.Until = time.Now()
	}
}

// connRecord is what is known of a connection through a proxy: when the router sent data on it, whether or not the
// network delivered that.
type connRecord struct {
	mu         sync.Mutex
	firstByte  time.Time // first byte of the current request
	lastByte   time.Time // last byte that came from the router
	answered   bool      // the engine has sent something since
	closedTime time.Time // when the router closed it
	lost       bool      // data was dropped, or the connection was reset
}

// recordSent records that bytes came from the router.
func (r *connRecord) recordSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastByte = time.Now()
	if r.firstByte.IsZero() || r.answered {
		r.firstByte, r.answered = r.lastByte, false
	}
}

// recordReceived records that bytes came from the engine.
func (r *connRecord) recordReceived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = true
}

// recordClose records that the router has closed the connection, or the sending direction of it.
func (r *connRecord) recordClose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closedTime.IsZero() {
		r.closedTime = time.Now()
	}
}

// recordLoss records that data was dropped.
func (r *connRecord) recordLoss() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = true
}

// hadLoss reports whether data was dropped, or the connection was reset.
func (r *connRecord) hadLoss() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

// times returns when the first and the last byte of the current request came from the router.
func (r *connRecord) times() (first, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstByte, r.lastByte
}

// closedAt returns when the router closed the connection, or the zero time.
func (r *connRecord) closedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closedTime
}

// connAddrs are the two addresses of a connection to an engine. Both are needed, since one local port may be in use
// towards several engines at once.
type connAddrs struct{ from, engine string }

// addConn starts the record of a connection that an engine will see between two addresses.
func (c *Cluster) addConn(addrs connAddrs) *connRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := &connRecord{}
	c.conns[addrs] = rec
	return rec
}

// removeConn removes a connection that has ended. Attempts that it carried keep its record.
func (c *Cluster) removeConn(addrs connAddrs, rec *connRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addrs] == rec {
		delete(c.conns, addrs)
	}
}

// connBetween returns the record of the connection between two addresses, or an empty record.
func (c *Cluster) connBetween(addrs connAddrs) *connRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.conns[addrs]; rec != nil {
		return rec
	}
	return &connRecord{}
}

// countProbe counts a load or reachability probe.
func (c *Cluster) countProbe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes++
}

// countUnexpected counts a call that does not belong to a client's request.
func (c *Cluster) countUnexpected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unexpectedCalls++
}

// Record is what a cluster has seen. If the router closed an attempt's connection while the network dropped traffic,
// the attempt has ended for the router although its engine does not know: then Ended is the time of the router's
// close.
type Record struct {
	Attempts        []Attempt
	Holds           []Hold
	Probes          int
	UnexpectedCalls int  // calls that could not be read, or were for no request of a client
	Overflow        bool // something was left out, since a limit was reached
}

// Record returns a copy of what was recorded so far.
func (c *Cluster) Record() *Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Record{Probes: c.probes, UnexpectedCalls: c.unexpectedCalls, Overflow: c.overflow}
	for _, a := range c.attempts {
		copied := *a
		copied.Events = append([]time.Time(nil), a.Events...)
		copied.ConnLost = a.conn.hadLoss()
		if at := a.conn.closedAt(); !at.IsZero() && (a.Ended.IsZero() || at.Before(a.Ended)) {
			copied.Ended = at
			if copied.Outcome == Running {
				copied.Outcome = Cancelled
			}
		}
		r.Attempts = append(r.Attempts, copied)
	}
	for _, h := range c.holds {
		r.Holds = append(r.Holds, *h)
	}
	return r
}
