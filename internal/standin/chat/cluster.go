// Package chat has stand-ins for what surrounds a router on the platform: engines that speak the platform's protocol,
// discovery's agents, and proxies between routers and engines that inject faults of the network. They record what they
// see, for others to check.
package chat

import (
	"sync"
	"time"
)

// Outcome tells how an attempt ended at its engine.
type Outcome uint8

// The outcomes of attempts.
const (
	Running    Outcome = iota // it is out
	Read                      // 202: the prompt is read
	Streamed                  // the stream was written to its last chunk
	Refused                   // 503 and never run
	StateGone                 // 410: there is no state to fetch; never run
	Failed                    // 500
	ConnReset                 // the engine has reset the connection
	Malformed                 // the engine has written what is no answer
	Cancelled                 // the router has closed the connection before the end
	EngineDied                // the engine has died
)

func (o Outcome) String() string {
	return [...]string{"running", "read", "streamed", "turned away", "state gone", "errored", "broken", "spoilt", "given up",
		"engine died"}[o]
}

// NeverExecuted tells whether an outcome proves that the request has had no effect.
func (o Outcome) NeverExecuted() bool { return o == Refused || o == StateGone }

// Attempt is one request that has arrived at an engine, as the engine saw it.
type Attempt struct {
	Request   string
	Engine    string
	Router    int // number of the router that sent it
	Writer    bool
	FirstByte time.Time     // its first byte left the router
	LastByte  time.Time     // its last byte left the router
	Arrived   time.Time     // its last byte has come to the engine
	TimeLeft  time.Duration // as the router told it
	Events    []time.Time   // when events were written
	Outcome   Outcome
	Ended     time.Time // zero while it is out
	ConnLost  bool      // the network has dropped something that was sent on its connection, or has reset it
	link      *passage  // that carried it
}

// Hold is something that an engine keeps for a request until it is let go.
type Hold struct {
	Request string
	Engine  string
	From    time.Time
	Until   time.Time // zero while it is held
}

// Bounds of what a cluster records; a longer run has to be cut into several.
const (
	maxAttempts = 2_000_000
	maxHolds    = 2_000_000
)

// Cluster is all engines together: what they hold for requests, and a record of what they were asked. It is safe for
// concurrent use.
type Cluster struct {
	mu       sync.Mutex
	attempts []*Attempt
	holds    []*Hold
	held     map[string][]*Hold // by request, those that last
	passages map[ends]*passage  // by the ends of the connection as its engine sees them: the one that has them now
	probes   int
	unknown  int // calls that no client's request explains
	overflow bool
}

// NewCluster returns an empty cluster.
func NewCluster() *Cluster {
	return &Cluster{held: map[string][]*Hold{}, passages: map[ends]*passage{}}
}

// begin records an attempt.
func (c *Cluster) begin(a *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.attempts) == maxAttempts {
		c.overflow = true
		return
	}
	c.attempts = append(c.attempts, a)
}

// end records how an attempt has ended; the first word counts.
func (c *Cluster) end(a *Attempt, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Outcome == Running {
		a.Outcome, a.Ended = o, time.Now()
	}
}

// event records that an attempt's next event is written, and tells how many there were before.
func (c *Cluster) event(a *Attempt) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.Events = append(a.Events, time.Now())
	return len(a.Events) - 1
}

// hold records that an engine holds something for a request.
func (c *Cluster) hold(request, engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.holds) == maxHolds {
		c.overflow = true
		return
	}
	h := &Hold{Request: request, Engine: engine, From: time.Now()}
	c.holds = append(c.holds, h)
	c.held[request] = append(c.held[request], h)
}

// holds tells whether anything is held for a request.
func (c *Cluster) isHeld(request string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held[request]) > 0
}

// letGo ends all that is held for a request.
func (c *Cluster) letGo(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHolds(c.held[request])
	delete(c.held, request)
}

// die ends all that an engine holds.
func (c *Cluster) die(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, holds := range c.held {
		var rest []*Hold
		for _, h := range holds {
			if h.Engine == engine {
				h.Until = time.Now()
			} else {
				rest = append(rest, h)
			}
		}
		if c.held[request] = rest; len(rest) == 0 {
			delete(c.held, request)
		}
	}
}

func (c *Cluster) endHolds(holds []*Hold) {
	for _, h := range holds {
		h.Until = time.Now()
	}
}

// passage is what is known of a connection through a proxy: when the router sent what, whatever the network did with it.
type passage struct {
	mu       sync.Mutex
	first    time.Time // of the bytes of the request under way
	last     time.Time // of what came from the router
	answered bool      // the engine has sent something since
	closed   time.Time // by the router
	lossy    bool      // something was dropped, or the connection reset
}

// sent notes that bytes came from the router.
func (p *passage) sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = time.Now()
	if p.first.IsZero() || p.answered {
		p.first, p.answered = p.last, false
	}
}

// received notes that bytes came from the engine.
func (p *passage) received() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = true
}

// end notes that the router has closed the connection, or ended its sending on it.
func (p *passage) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed.IsZero() {
		p.closed = time.Now()
	}
}

// drop notes that something was dropped.
func (p *passage) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossy = true
}

func (p *passage) dropped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lossy
}

// times returns when the first and the last byte of the request under way came from the router.
func (p *passage) times() (first, last time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.first, p.last
}

func (p *passage) closedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// ends are the addresses of a connection to an engine: a port may be in use towards several engines at once.
type ends struct{ from, engine string }

// newPassage notes a connection that an engine will see between two addresses.
func (c *Cluster) newPassage(of ends) *passage {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &passage{}
	c.passages[of] = p
	return p
}

// forgetPassage forgets a connection that has ended. Attempts that it carried keep what is known of it.
func (c *Cluster) forgetPassage(of ends, p *passage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.passages[of] == p {
		delete(c.passages, of)
	}
}

// passageBetween returns the connection between two addresses.
func (c *Cluster) passageBetween(of ends) *passage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.passages[of]; p != nil {
		return p
	}
	return &passage{}
}

func (c *Cluster) countProbe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes++
}

func (c *Cluster) countUnknown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unknown++
}

// Record is what a cluster has seen. An attempt whose connection the router closed while the network was silent ended
// then for the router, though its engine has not heard of it: Ended is the router's close.
type Record struct {
	Attempts        []Attempt
	Holds           []Hold
	Probes          int
	UnexpectedCalls int  // calls that could not be read, or for requests that no client sent
	Overflow        bool // something was left out
}

// Record returns a copy of what was seen so far.
func (c *Cluster) Record() *Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Record{Probes: c.probes, UnexpectedCalls: c.unknown, Overflow: c.overflow}
	for _, a := range c.attempts {
		copied := *a
		copied.Events = append([]time.Time(nil), a.Events...)
		copied.ConnLost = a.link.dropped()
		if at := a.link.closedAt(); !at.IsZero() && (a.Ended.IsZero() || at.Before(a.Ended)) {
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
