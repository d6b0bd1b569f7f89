package chat

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"mintdoor/internal/http1"
	"mintdoor/internal/platform"
)

// Behaviour is how an engine treats requests. The float fields except Slowdown are probabilities per request, from 0
// to 1. The zero value is a healthy engine.
type Behaviour struct {
	Hang             bool    // neither new requests nor those in progress continue
	Refuse           float64 // 503 without execution
	Fail             float64 // 500
	ResetAtStart     float64 // the connection is reset when the request has arrived
	ResetInStream    float64 // the connection is reset between two events
	MalformedAnswer  float64 // bytes that are not HTTP, in place of an answer
	MalformedStream  float64 // one of StreamFaults
	EndlessHeader    float64 // a response header that does not end
	DuplicateAnswer  float64 // a second answer some milliseconds after the first
	DuplicateReply   float64 // the same for releases and load reports, also while the next request is processed
	InterimResponse  float64 // a 1xx response before the answer
	CloseAfterAnswer float64 // the connection is closed after an answer that does not announce it
	Slowdown         float64 // factor on the usual durations; 0 means 1
	// StreamFault is the index in StreamFaults of the fault of each malformed stream, plus 1; 0: any. StreamFaultAt is the
	// number of events before it, plus 1; 0: any.
	StreamFault, StreamFaultAt int
	StreamForm                 int // index in StreamForms of each stream, plus 1; 0: the first, or a random one
}

// Timing is how long an engine takes.
type Timing struct {
	ReadTime        time.Duration // to read a prompt
	FirstTokenTime  time.Duration // from a request's arrival to the first event of its stream
	EventInterval   time.Duration // between two events of a stream
	EventsPerStream int           // number of events of a stream
}

// EngineOptions are the options of an Engine.
type EngineOptions struct {
	ID          string
	Writer      bool
	Cluster     *Cluster
	Timing      Timing
	MaxInFlight int // requests in progress at once; more are refused
	Seed        uint64
	VaryStreams float64         // probability that a stream has a random one of StreamForms
	Listener    *EngineListener // accepts the engine's connections
}

// Engine is one stand-in engine. It has its own address; routers reach it through proxies.
type Engine struct {
	opts       EngineOptions
	number     int
	addr       netip.AddrPort
	startTime  time.Time
	goroutines sync.WaitGroup

	mu          sync.Mutex
	behaviour   Behaviour
	resumed     chan struct{} // closed while the engine does not hang
	random      *rand.Rand
	conns       map[net.Conn]struct{}
	inFlight    int
	killed      bool
	downtimes   []Interval     // the times in which it hung, and since it was killed
	faultCounts map[string]int // faults that met a request, by name
}

// Limits on what a router may send, and delays of the engine's answers.
const (
	maxHeadBytes       = 32 << 10
	maxBodyBytes       = 512 << 10
	readBufferBytes    = 4096
	defaultMaxInFlight = 64
	// unknownReservationDelay is how long an engine takes to answer a request for a reservation. It always answers
	// that it does not know of the read.
	unknownReservationDelay = 300 * time.Millisecond
	// duplicateAnswerDelay is the time between an answer and its duplicate.
	duplicateAnswerDelay = 3 * time.Millisecond
	// maxDuplicateReplyDelay is the longest time that is added for calls that are no attempts.
	maxDuplicateReplyDelay = 12 * time.Millisecond
)

// NewEngine starts an engine.
func NewEngine(o EngineOptions) (*Engine, error) {
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	e := &Engine{opts: o, startTime: time.Now(), random: rand.New(rand.NewPCG(o.Seed, 17)), conns: map[net.Conn]struct{}{},
		resumed: make(chan struct{}), faultCounts: map[string]int{}}
	close(e.resumed)
	if err := o.Listener.add(e); err != nil {
		return nil, err
	}
	return e, nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.addr.String() }

// Number returns the engine's number, which is unique on its listener.
func (e *Engine) Number() int { return e.number }

// ID returns the engine's name in discovery's list.
func (e *Engine) ID() string { return e.opts.ID }

// Writer reports whether the engine writes; otherwise it reads.
func (e *Engine) Writer() bool { return e.opts.Writer }

// SetBehaviour changes how requests are treated from now on.
func (e *Engine) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return
	}
	if b.Hang != e.behaviour.Hang {
		if b.Hang {
			e.resumed = make(chan struct{})
			e.downtimes = append(e.downtimes, Interval{From: time.Now()})
		} else {
			close(e.resumed)
			e.downtimes[len(e.downtimes)-1].Until = time.Now()
		}
	}
	e.behaviour = b
}

// StartTime returns when the engine was started.
func (e *Engine) StartTime() time.Time { return e.startTime }

// Downtimes returns the intervals in which the engine did nothing.
func (e *Engine) Downtimes() []Interval {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Interval(nil), e.downtimes...)
}

// FaultCounts returns how often each fault has met a request.
func (e *Engine) FaultCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for k, n := range e.faultCounts {
		out[k] = n
	}
	return out
}

// Kill ends the engine as if its process was killed: its connections are reset, and so are new ones to its address.
func (e *Engine) Kill() {
	e.mu.Lock()
	if e.killed {
		e.mu.Unlock()
		return
	}
	e.killed = true
	e.downtimes = append(e.downtimes, Interval{From: time.Now()})
	for c := range e.conns {
		resetConn(c)
	}
	if e.behaviour.Hang {
		close(e.resumed)
		e.behaviour.Hang = false
	}
	e.mu.Unlock()
	e.opts.Listener.remove(e)
	e.goroutines.Wait()
	e.opts.Cluster.endHoldsOfEngine(e.opts.ID)
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// serveConn serves a connection in the background. It returns false if the engine was killed.
func (e *Engine) serveConn(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return false
	}
	e.conns[c] = struct{}{}
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		e.serve(c)
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		c.Close()
	}()
	return true
}

// engineConn is a connection to an engine.
type engineConn struct {
	net.Conn
	engine *Engine
	br     *bufio.Reader
	router int

	mu        sync.Mutex // of writes
	attempt   bool       // an attempt is in progress
	answering bool       // its answer has begun
}

// Write writes a part of an answer.
func (c *engineConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering = c.attempt
	return c.Conn.Write(b)
}

// setAttempt notes that an attempt begins or ends.
func (c *engineConn) setAttempt(inProgress bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt, c.answering = inProgress, false
}

// reply answers a call that is no attempt, and may answer it once more some milliseconds later, unless the answer of an
// attempt has begun by then.
func (c *engineConn) reply(code int, body string) bool {
	ok := c.writeAnswer(code, body)
	c.engine.mu.Lock()
	again := c.engine.drawFault("second replies", c.engine.behaviour.DuplicateReply)
	delay := duplicateAnswerDelay + time.Duration(c.engine.random.Int64N(int64(maxDuplicateReplyDelay)))
	c.engine.mu.Unlock()
	if !again {
		return ok
	}
	c.engine.goroutines.Add(1)
	time.AfterFunc(delay, func() {
		defer c.engine.goroutines.Done()
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.answering {
			io.WriteString(c.Conn, answerText(code, body))
		}
	})
	return ok
}

// serve handles requests until the connection ends.
func (e *Engine) serve(nc net.Conn) {
	c := &engineConn{Conn: nc, engine: e, br: bufio.NewReaderSize(nc, readBufferBytes), router: routerNumber(nc.RemoteAddr())}
	for c.handleRequest() {
	}
}

// handleRequest reads one request and answers it. It returns false if the connection has to end.
func (c *engineConn) handleRequest() bool {
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	head, err := http1.ReadHead(c.br, maxHeadBytes)
	if err != nil {
		return false
	}
	method, target, _, err := head.RequestLine()
	if err != nil {
		return false
	}
	body, err := c.readBody(head)
	if err != nil {
		return false
	}
	arrived := time.Now()
	switch path, _, _ := strings.Cut(target, "?"); {
	case method == "DELETE" && strings.HasPrefix(path, platform.HoldsPath):
		// The release counts once it has arrived, whether or not it is answered.
		c.engine.opts.Cluster.releaseHolds(strings.TrimPrefix(path, platform.HoldsPath))
		return c.waitWhileHung() && c.reply(204, "")
	case method == "POST" && strings.HasPrefix(path, platform.HoldsPath):
		time.Sleep(unknownReservationDelay)
		return c.writeAnswer(204, "")
	case path == platform.LoadPath || path == "/alive":
		c.engine.opts.Cluster.countProbe()
		if !c.waitWhileHung() {
			return false
		}
		return c.reply(200, c.engine.loadReport())
	case path == platform.ChatPath && method == "POST":
		id, n := head.Get(platform.IDHeader)
		left, _ := head.Get(platform.TimeLeftHeader)
		ms, err := strconv.ParseInt(left, 10, 64)
		if n != 1 || err != nil || len(body) == 0 {
			c.engine.opts.Cluster.countUnexpected()
			c.writeAnswer(400, "")
			return false
		}
		conn := c.engine.opts.Cluster.connBetween(connAddrs{c.RemoteAddr().String(), c.LocalAddr().String()})
		first, last := conn.times()
		a := &Attempt{Request: id, Engine: c.engine.opts.ID, Router: c.router, Writer: c.engine.opts.Writer, FirstByte: first,
			LastByte: last, Arrived: arrived, TimeLeft: time.Duration(ms) * time.Millisecond, conn: conn}
		c.engine.opts.Cluster.addAttempt(a)
		return c.runAttempt(a)
	}
	c.engine.opts.Cluster.countUnexpected()
	return c.writeAnswer(404, "")
}

// waitWhileHung waits while the engine hangs. It returns false if the engine was killed.
func (c *engineConn) waitWhileHung() bool {
	e := c.engine
	e.mu.Lock()
	resumed := e.resumed
	e.mu.Unlock()
	<-resumed
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.killed
}

// readBody reads the request's body.
func (c *engineConn) readBody(h *http1.Head) ([]byte, error) {
	length, chunked, err := h.Framing()
	switch {
	case err != nil:
		return nil, err
	case chunked:
		return io.ReadAll(io.LimitReader(http1.NewChunkedReader(c.br, maxBodyBytes), maxBodyBytes))
	case length <= 0:
		return nil, nil
	case length > maxBodyBytes:
		return nil, http1.ErrTooLarge
	}
	b := make([]byte, length)
	_, err = io.ReadFull(c.br, b)
	return b, err
}

// writeAnswer writes an answer without a body for 204, and otherwise with a JSON body.
func (c *engineConn) writeAnswer(code int, body string, fields ...string) bool {
	_, err := io.WriteString(c, answerText(code, body, fields...))
	return err == nil
}

// answerText returns such an answer.
func answerText(code int, body string, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n", code)
	for _, f := range fields {
		head += f + "\r\n"
	}
	if code != http.StatusNoContent {
		head += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	return head + "\r\n" + body
}

// loadReport returns the body of the engine's load report.
func (e *Engine) loadReport() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	busyFraction := float64(e.inFlight) / float64(e.opts.MaxInFlight)
	return fmt.Sprintf(`{"lat_ms":%d,"x0":%.3f,"x1":0}`, e.opts.Timing.FirstTokenTime.Milliseconds(), busyFraction)
}

// drawFault draws whether a fault of the given probability applies, and counts it. mu is held.
func (e *Engine) drawFault(name string, probability float64) bool {
	if probability == 0 || e.random.Float64() >= probability {
		return false
	}
	e.faultCounts[name]++
	return true
}

// cancelOnClose calls cancel when the router closes its connection, or the sending direction of it. The returned
// function stops watching the connection.
func (c *engineConn) cancelOnClose(cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := c.br.Peek(1); err != nil && !isTimeout(err) {
			cancel()
		}
	}()
	return func() {
		c.SetReadDeadline(time.Unix(1, 0))
		<-done
		c.SetReadDeadline(time.Time{})
	}
}

// isTimeout reports whether an error is a timeout.
func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
