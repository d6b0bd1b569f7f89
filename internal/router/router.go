// Package router is the core of a router process. It tells the decision module (package decide) what happens and
// carries out the actions that the module decides on. It makes no routing decisions of its own and does no protocol
// work: fronts parse requests and package engine speaks to engines. One loop owns the module and the table of
// requests; everything else runs in goroutines that do I/O and report to the loop. A request takes this path:
//
//	front -> Submit -> loop: Arrived -> module: Send -> attempt (goroutine) -> loop: AttemptEnded -> module ...
//	                                                        | tokens
//	front <- Next  <----------------------------------------+
//
// Tokens pass from the attempt to the front without going through the loop; only the first token needs the loop's
// permission.
package router

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"
	"mintdoor/internal/guard"
)

// Decider is the interface of the decision module that the router uses. It is called from one goroutine only.
type Decider interface {
	Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action
}

// Engines carries out attempts; *engine.Client implements it over sockets. All methods block until they are done or
// ctx ends, and are safe for concurrent use.
type Engines interface {
	Prefill(ctx context.Context, addr string, q *engine.Call) engine.Result
	Decode(ctx context.Context, addr string, q *engine.Call, sink func(string) error) engine.Result
	Release(ctx context.Context, s *engine.State) error
	Renew(ctx context.Context, s *engine.State) error
	CancelRead(ctx context.Context, addr, request string) error
	// CancelReadLater is CancelRead for a read that may still finish although the request's answer has started: the
	// engine may not yet have noticed that the connection of the read was closed.
	CancelReadLater(ctx context.Context, addr, request string) error
	Reserve(ctx context.Context, addr string, p *engine.ReservationRequest) (bool, error)
	CancelReservation(ctx context.Context, addr, request string) error
	// Probe asks an engine for its load. With newConnection set, it opens a new connection for the probe.
	Probe(ctx context.Context, addr string, newConnection bool) engine.Result
	// EngineListed reports that an engine is on the server list.
	EngineListed(addr string)
	// ForgetEngine reports that an engine was removed from the list or is now a different process.
	ForgetEngine(addr string)
}

// Observer receives the traffic of a router: which requests arrive and what work they cause. It is called from the
// loop and must not block.
type Observer interface {
	RequestArrived(j *Job)
	// PromptRead reports that a prompt was read; cached of its tokens were in the prefix cache.
	PromptRead(j *Job, cached float64)
	// AnswerWritten reports that an answer has ended; complete is false if it was cut off.
	AnswerWritten(j *Job, tokens int, complete bool)
	// RequestDone reports that a request is done, whatever its ending. The router doesn't use j afterwards.
	RequestDone(j *Job)
}

// Config holds what New needs to make a Router.
type Config struct {
	// Name is part of the ids sent to engines. Together with the start time it tells routers and their restarts
	// apart.
	Name     string
	Model    string
	Settings *decide.Settings
	Kinds    []string // names of Settings.Kinds, as the server list uses them
	Engines  Engines
	HoldMode HoldMode
	Seed     uint64
	Log      *slog.Logger // nil: no log
	Guard    *guard.Guard // shared by all requests of the process; nil: the router makes its own

	// NewDecider makes the decision module; nil means decide.New.
	NewDecider func(set *decide.Settings, seed uint64, now decide.Time) Decider
	// Observer is notified of the traffic; nil means none.
	Observer Observer
	// WatchList is called when the module asks for the server list; nil if the source sends updates unasked.
	WatchList func()

	MaxOpen            int           // maximum number of requests in the table
	StreamBuffer       int           // tokens buffered for a client that reads slowly
	StreamMemory       int64         // bytes of tokens buffered for all clients together; 0: no limit
	ClientStallTimeout time.Duration // a client that accepts no data for this long is treated as gone
	// StopTimeout bounds how long Run waits for attempts and releases when it stops.
	StopTimeout time.Duration
}

// Stats are counts since the start of the router, unless noted otherwise.
type Stats struct {
	Arrived, Served, Refused, Failed, Gone, Moved int64
	Sends, Probes, Releases, Panics, Events       int64
	Open                                          int64            // current
	Engines                                       int64            // current number of engines listed as ready
	Violations                                    map[string]int64 // rule violations by kind; see package guard
	Denials                                       map[string]int64 // attempts that the guard did not allow, by reason
}

type counters struct {
	arrived, sends, probes, releases, panics, events, open, engines atomic.Int64
	ended                                                           [Gone + 1]atomic.Int64
}

// Router is one running router. Create it with New and start it with Run.
type Router struct {
	cfg   Config
	log   *slog.Logger
	start time.Time
	name  string

	messages   chan message  // about accepted requests, engines and lists; read before arrivals
	arrivals   chan message  // new requests
	quit       chan struct{} // closed when the loop accepts no more messages
	stopped    chan struct{} // closed when Run has returned
	closing    atomic.Bool   // set when new requests are no longer accepted
	drain      chan struct{} // closed by Drain
	drainOnce  sync.Once
	work       sync.WaitGroup // attempts, probes and releases that are running
	workCtx    context.Context
	cancelWork context.CancelFunc
	counts     counters

	tokenMemory tokenMemory

	names nameRegistry // of requests that came with a name in their job

	// The fields below belong to the loop.
	module       Decider
	generation   int // incremented when a new module replaces one that panicked
	now          decide.Time
	table        table
	holds        holdManager
	timers       timers
	shutdownPlan *decide.Shutdown // nil: no shutdown was requested
	servers      map[decide.ServerID]*server
	list         []discovery.Engine
	// listFailing is set while calls to discovery fail. Only changes of this state are logged.
	listFailing  bool
	actions      []decide.Action
	queuedEvents []decide.Event // for the module, after the current actions are carried out
	touched      []*requestRow  // rows that the current event or its actions concern
}

// server is an engine on the current server list.
type server struct {
	name, addr string
	role       decide.Role
	startedAt  time.Time
	// withdrawnAt is the time, on the module's clock, at which a list update made the engine draining or removed it;
	// 0 if neither has happened.
	withdrawnAt atomic.Int64
}

// withdraw records that the engine accepts no new attempts because it is draining or removed.
func (s *server) withdraw(now decide.Time) { s.withdrawnAt.CompareAndSwap(0, int64(now)) }

// withdrawnFor returns for how long the engine has been draining or removed, and whether it is.
func (s *server) withdrawnFor(now decide.Time) (time.Duration, bool) {
	at := s.withdrawnAt.Load()
	return time.Duration(int64(now) - at), at != 0
}

const (
	messageQueueSize = 1024      // maximum number of messages that wait for the loop; senders block when it is full
	arrivalQueueSize = 1024      // maximum number of new requests that wait for the loop; more are rejected
	maxSleep         = time.Hour // how long the loop waits if no timer is set
)

// New returns a router that is not running yet. It accepts requests immediately; they wait for Run.
func New(cfg Config) *Router {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Guard == nil {
		cfg.Guard = guard.New(cfg.Log)
	}
	if cfg.NewDecider == nil {
		cfg.NewDecider = func(set *decide.Settings, seed uint64, now decide.Time) Decider {
			return decide.New(set, seed, now)
		}
	}
	r := &Router{
		cfg: cfg, log: cfg.Log, start: time.Now(),
		messages: make(chan message, messageQueueSize), arrivals: make(chan message, arrivalQueueSize), quit: make(chan struct{}), stopped: make(chan struct{}),
		drain: make(chan struct{}), table: newTable(), servers: map[decide.ServerID]*server{},
	}
	r.tokenMemory.limit = cfg.StreamMemory
	if r.holds = (leasedHolds{r}); cfg.HoldMode == PerRequest {
		r.holds = requestHolds{r}
	}
	r.name = cfg.Name + "-" + formatID(uint64(r.start.UnixNano()))
	r.workCtx, r.cancelWork = context.WithCancel(context.Background())
	return r
}

// Name returns the router's name including its start time, by which engines know it.
func (r *Router) Name() string { return r.name }

// moduleNow returns the module's time: the wall time at the start, advanced by the monotonic clock. Start times in
// server lists can be compared with it, and jumps of the wall clock don't affect it.
func (r *Router) moduleNow() decide.Time {
	return decide.Time(r.start.UnixNano()) + decide.Time(time.Since(r.start))
}

// moduleTime converts a wall-clock time to the module's time.
func (r *Router) moduleTime(t time.Time) decide.Time {
	return decide.Time(r.start.UnixNano()) + decide.Time(t.Sub(r.start))
}

// wallTime is the inverse of moduleTime.
func (r *Router) wallTime(t decide.Time) time.Time {
	return r.start.Add(time.Duration(t - decide.Time(r.start.UnixNano())))
}

// Submit accepts a request. If it returns an error, the request was not accepted and no part of it has run; otherwise
// the caller reads the request with Next until its ending.
func (r *Router) Submit(job *Job) (*Request, error) {
	now := time.Now()
	if r.closing.Load() {
		return nil, ErrStopping
	}
	if !job.Deadline.After(now) {
		return nil, ErrDeadlinePassed
	}
	if r.counts.open.Add(1) > int64(r.cfg.MaxOpen) {
		r.counts.open.Add(-1)
		return nil, ErrTooManyRequests
	}
	if !r.names.claim(job.Name) {
		r.counts.open.Add(-1)
		return nil, ErrDuplicateName
	}
	q := &Request{job: *job, router: r, arrivedAt: now,
		tokens: newTokenBuffer(r.cfg.StreamBuffer, &r.tokenMemory), done: make(chan struct{})}
	if q.ownsGuard = job.Guard == nil; q.ownsGuard {
		q.job.Guard = r.cfg.Guard.Receive()
	}
	q.startWatchdog()
	if err := r.enqueue(q); err != nil {
		q.watchdog.Stop()
		r.names.release(job.Name, false)
		r.counts.open.Add(-1)
		q.rejected(err)
		return nil, err
	}
	return q, nil
}

// enqueue adds a request to the loop's queue, or returns an error if the queue is full.
func (r *Router) enqueue(q *Request) error {
	select {
	case <-r.quit:
		return ErrStopping
	default:
	}
	select {
	case r.arrivals <- message{kind: arrived, posted: time.Now(), q: q}:
		return nil
	default:
		return ErrTooManyRequests
	}
}

// Update passes a discovery update to the router.
func (r *Router) Update(u discovery.Update) { r.post(message{kind: listUpdated, update: u}) }

// Drain makes the router reject new requests; Run returns when all open requests have ended.
func (r *Router) Drain() {
	r.closing.Store(true)
	r.drainOnce.Do(func() { close(r.drain) })
}

// Stopped returns a channel that is closed when Run has returned.
func (r *Router) Stopped() <-chan struct{} { return r.stopped }

// Ready reports whether requests are accepted and at least one engine is ready.
func (r *Router) Ready() bool { return !r.closing.Load() && r.counts.engines.Load() > 0 }

// Stats returns the current counts.
func (r *Router) Stats() Stats {
	c := &r.counts
	return Stats{
		Arrived: c.arrived.Load(), Served: c.ended[Served].Load(), Refused: c.ended[Refused].Load(),
		Failed: c.ended[Failed].Load(), Gone: c.ended[Gone].Load(), Moved: c.ended[Moved].Load(),
		Sends: c.sends.Load(), Probes: c.probes.Load(), Releases: c.releases.Load(),
		Panics: c.panics.Load(), Events: c.events.Load(), Open: c.open.Load(), Engines: c.engines.Load(),
		Violations: r.cfg.Guard.Violations(), Denials: r.cfg.Guard.Denials(),
	}
}

// post sends a message to the loop and reports whether the loop accepted it.
func (r *Router) post(m message) bool {
	m.posted = time.Now()
	select {
	case <-r.quit:
		return false
	default:
	}
	select {
	case r.messages <- m:
		return true
	case <-r.quit:
		return false
	}
}
