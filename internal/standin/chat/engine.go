package chat

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"mintdoor/internal/http1"
	"mintdoor/internal/platform"
)

// Behaviour is how an engine treats requests. Shares are chances of a request, from 0 to 1; the zero value is sound.
type Behaviour struct {
	Hang             bool    // nothing goes on, neither what comes nor what is under way
	Refuse           float64 // 503 without a run
	Fail             float64 // 500
	ResetAtStart     float64 // the connection is reset when the request has arrived
	ResetInStream    float64 // the connection is reset between two events
	MalformedAnswer  float64 // noise in place of an answer
	MalformedStream  float64 // a chunk whose size can't be read
	EndlessHeader    float64 // a head that does not end
	DuplicateAnswer  float64 // another answer some milliseconds behind the first
	InterimResponse  float64 // 1xx answers in front
	CloseAfterAnswer float64 // the connection is closed after an answer that does not say so
	Slowdown         float64 // times the usual work; 0: 1
}

// Timing is how long an engine takes.
type Timing struct {
	ReadTime        time.Duration // of a prompt
	FirstTokenTime  time.Duration
	EventInterval   time.Duration // between two events of a stream
	EventsPerStream int           // of a stream
}

// EngineOptions are what an engine is made of.
type EngineOptions struct {
	ID      string
	Writer  bool
	Cluster *Cluster
	Timing  Timing
	Slots   int // requests at once; more are turned away
	Seed    uint64
	// Listener is where the engine listens.
	Listener *EngineListener
}

// Engine is one stand-in engine. It has an address of its own; routers reach it through proxies.
type Engine struct {
	opts    EngineOptions
	number  int
	addr    netip.AddrPort
	started time.Time
	work    sync.WaitGroup

	mu        sync.Mutex
	behaviour Behaviour
	hung      chan struct{} // closed when it does not hang
	random    *rand.Rand
	conns     map[net.Conn]struct{}
	busy      int
	dead      bool
	absences  []Interval // in which it hung, and since its death
	struck    map[string]int
}

// Bounds of what a router may send.
const (
	engineMaxHead = 32 << 10
	engineMaxBody = 512 << 10
	engineBuffer  = 4096
	defaultSlots  = 64
	// unknownPlace is how long an engine takes to say that it does not know of a request for which a place is asked.
	unknownPlace = 300 * time.Millisecond
	// secondAnswerAfter is how far a second answer is behind the first.
	secondAnswerAfter = 3 * time.Millisecond
)

// NewEngine starts an engine.
func NewEngine(o EngineOptions) (*Engine, error) {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	e := &Engine{opts: o, started: time.Now(), random: rand.New(rand.NewPCG(o.Seed, 17)), conns: map[net.Conn]struct{}{},
		hung: make(chan struct{}), struck: map[string]int{}}
	close(e.hung)
	if err := o.Listener.add(e); err != nil {
		return nil, err
	}
	return e, nil
}

// Addr is where the engine listens.
func (e *Engine) Addr() string { return e.addr.String() }

// Number tells the engines of one listener apart.
func (e *Engine) Number() int { return e.number }

// ID is the engine's name in discovery's list.
func (e *Engine) ID() string { return e.opts.ID }

// Writer tells the engine's role.
func (e *Engine) Writer() bool { return e.opts.Writer }

// SetBehaviour changes how requests are treated from now on.
func (e *Engine) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	if b.Hang != e.behaviour.Hang {
		if b.Hang {
			e.hung = make(chan struct{})
			e.absences = append(e.absences, Interval{From: time.Now()})
		} else {
			close(e.hung)
			e.absences[len(e.absences)-1].Until = time.Now()
		}
	}
	e.behaviour = b
}

// StartTime tells when the engine began to run.
func (e *Engine) StartTime() time.Time { return e.started }

// Downtimes returns the times in which the engine did nothing.
func (e *Engine) Downtimes() []Interval {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Interval(nil), e.absences...)
}

// FaultCounts tells how often each kind of behaviour has met a request.
func (e *Engine) FaultCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for k, n := range e.struck {
		out[k] = n
	}
	return out
}

// Kill ends the engine like a process that dies: its connections are reset, and nobody listens any more.
func (e *Engine) Kill() {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return
	}
	e.dead = true
	e.absences = append(e.absences, Interval{From: time.Now()})
	for c := range e.conns {
		reset(c)
	}
	if e.behaviour.Hang {
		close(e.hung)
		e.behaviour.Hang = false
	}
	e.mu.Unlock()
	e.opts.Listener.remove(e)
	e.work.Wait()
	e.opts.Cluster.die(e.opts.ID)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// take serves a connection; false if the engine has died.
func (e *Engine) take(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return false
	}
	e.conns[c] = struct{}{}
	e.work.Add(1)
	go func() {
		defer e.work.Done()
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
}

func (e *Engine) serve(nc net.Conn) {
	c := &engineConn{Conn: nc, engine: e, br: bufio.NewReaderSize(nc, engineBuffer), router: routerOf(nc.RemoteAddr())}
	for c.exchange() {
	}
}

// exchange takes one request and answers it; false if the connection is to end.
func (c *engineConn) exchange() bool {
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	head, err := http1.ReadHead(c.br, engineMaxHead)
	if err != nil {
		return false
	}
	method, target, _, err := head.RequestLine()
	if err != nil {
		return false
	}
	body, err := c.body(head)
	if err != nil {
		return false
	}
	arrived := time.Now()
	switch path, _, _ := strings.Cut(target, "?"); {
	case method == "DELETE" && strings.HasPrefix(path, platform.HoldsPath):
		// It counts once it has arrived, answered or not.
		c.engine.opts.Cluster.letGo(strings.TrimPrefix(path, platform.HoldsPath))
		return c.ready() && c.answer(204, "")
	case method == "POST" && strings.HasPrefix(path, platform.HoldsPath):
		time.Sleep(unknownPlace)
		return c.answer(204, "")
	case path == platform.LoadPath || path == "/alive":
		c.engine.opts.Cluster.countProbe()
		if !c.ready() {
			return false
		}
		return c.answer(200, c.engine.load())
	case path == platform.ChatPath && method == "POST":
		id, n := head.Get(platform.IDHeader)
		left, _ := head.Get(platform.TimeLeftHeader)
		ms, err := strconv.ParseInt(left, 10, 64)
		if n != 1 || err != nil || len(body) == 0 {
			c.engine.opts.Cluster.countUnknown()
			c.answer(400, "")
			return false
		}
		link := c.engine.opts.Cluster.passageBetween(ends{c.RemoteAddr().String(), c.LocalAddr().String()})
		first, last := link.times()
		a := &Attempt{Request: id, Engine: c.engine.opts.ID, Router: c.router, Writer: c.engine.opts.Writer, FirstByte: first,
			LastByte: last, Arrived: arrived, TimeLeft: time.Duration(ms) * time.Millisecond, link: link}
		c.engine.opts.Cluster.begin(a)
		return c.run(a)
	}
	c.engine.opts.Cluster.countUnknown()
	return c.answer(404, "")
}

// ready waits while the engine hangs; false if it has died.
func (c *engineConn) ready() bool {
	e := c.engine
	e.mu.Lock()
	hung := e.hung
	e.mu.Unlock()
	<-hung
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead
}

func (c *engineConn) body(h *http1.Head) ([]byte, error) {
	length, chunked, err := h.Framing()
	switch {
	case err != nil:
		return nil, err
	case chunked:
		return io.ReadAll(io.LimitReader(http1.NewChunkedReader(c.br, engineMaxBody), engineMaxBody))
	case length <= 0:
		return nil, nil
	case length > engineMaxBody:
		return nil, http1.ErrTooLarge
	}
	b := make([]byte, length)
	_, err = io.ReadFull(c.br, b)
	return b, err
}

func (c *engineConn) answer(code int, body string, fields ...string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n", code)
	for _, f := range fields {
		head += f + "\r\n"
	}
	if code != 204 {
		head += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	return err == nil
}

// load is the engine's load report.
func (e *Engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := float64(e.busy) / float64(e.opts.Slots)
	return fmt.Sprintf(`{"lat_ms":%d,"x0":%.3f,"x1":0}`, e.opts.Timing.FirstTokenTime.Milliseconds(), share)
}

// chance draws whether a behaviour strikes, and counts it.
func (e *Engine) chance(name string, share float64) bool {
	if share == 0 || e.random.Float64() >= share {
		return false
	}
	e.struck[name]++
	return true
}

// watch ends ctx when the router closes its connection, or ends its sending on it.
func (c *engineConn) watch(cancel context.CancelFunc) (stop func()) {
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

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
