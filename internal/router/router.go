// Package router is the core: it tells the decision module what happens and carries out what the module
// decides. One loop owns the module and the table of requests; everything else is goroutines that do I/O
// and report to the loop. A request's way:
//
//	front -> Submit -> loop: Arrived -> module: Send -> attempt (goroutine) -> loop: Ended -> module ...
//	                                                        | tokens
//	front <- Next  <----------------------------------------+
//
// Tokens pass from the attempt to the front without the loop; only the first asks it for leave.
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

// Decider is the decision module, as far as the core needs it. It is called from one goroutine only.
type Decider interface {
	Handle(now decide.Time, ev *decide.Event, out []decide.Action) []decide.Action
}

// Engines carries out attempts; *engine.Client does it over sockets. All methods block until they are
// done or ctx ends, and are safe for concurrent use.
type Engines interface {
	Prefill(ctx context.Context, addr string, q *engine.Call) engine.Result
	Decode(ctx context.Context, addr string, q *engine.Call, sink func(string) error) engine.Result
	Release(ctx context.Context, s *engine.State) error
	Renew(ctx context.Context, s *engine.State) error
	CancelRead(ctx context.Context, addr, request string) error
	// CancelReadLater does the same for a read that may end yet though the request's answer has begun: its engine may not have
	// seen the end of the read's connection.
	CancelReadLater(ctx context.Context, addr, request string) error
	Reserve(ctx context.Context, addr string, p *engine.ReservationRequest) (bool, error)
	CancelReservation(ctx context.Context, addr, request string) error
	// Probe asks an engine for its load; fresh: on a connection that is made for it.
	Probe(ctx context.Context, addr string, fresh bool) engine.Result
	// EngineListed tells that an engine is there, Forget that it has left or is another process.
	EngineListed(addr string)
	ForgetEngine(addr string)
}

// Observer is told what is asked and what it takes. It is called from the loop and must not block.
type Observer interface {
	RequestArrived(j *Job)
	PromptRead(j *Job, kept float64)              // a prompt was read; kept tokens of it were found
	AnswerWritten(j *Job, tokens int, whole bool) // an answer has ended; not whole: it was cut off
	RequestDone(j *Job)                           // the request is over, however it ended; j is not used again
}

// Config is what a Router is made of.
type Config struct {
	Name     string // in ids towards engines; with the start time it tells routers and restarts apart
	Model    string
	Settings *decide.Settings
	Kinds    []string // names of Settings.Kinds, by which lists refer to them
	Engines  Engines
	HoldMode HoldMode
	Seed     uint64
	Log      *slog.Logger // nil: none
	Guard    *guard.Guard // of all requests of the process; nil: one of the router's own

	// NewDecider makes the module; nil: decide.New.
	NewDecider func(set *decide.Settings, seed uint64, now decide.Time) Decider
	// Observer is told of the traffic; nil: nobody.
	Observer Observer
	// WatchList is told when the module asks for the list; nil: the source tells by itself.
	WatchList func()

	MaxOpen            int           // requests in the table
	StreamBuffer       int           // tokens held for a client
	ClientStallTimeout time.Duration // a client that takes nothing for so long has left
	// StopTimeout bounds how long Run waits at its end for attempts and releases.
	StopTimeout time.Duration
}

// Stats are counts since the start.
type Stats struct {
	Arrived, Served, Refused, Failed, Gone, Moved int64
	Sends, Probes, Releases, Panics, Events       int64
	Open                                          int64            // now
	Engines                                       int64            // ready in the list, now
	Violations                                    map[string]int64 // of rules, by kind: see guard
	Denials                                       map[string]int64 // attempts that the guard did not allow, by reason
}

type counters struct {
	arrived, sends, probes, releases, panics, events, open, engines atomic.Int64
	ended                                                           [Gone + 1]atomic.Int64
}

// Router is a running router. Make it with New, start it with Run.
type Router struct {
	cfg   Config
	log   *slog.Logger
	start time.Time
	name  string

	mail     chan message  // of requests that were taken, engines and lists; it comes first
	arrivals chan message  // new requests
	quit     chan struct{} // closed when the loop takes no more messages
	stopped  chan struct{} // closed when Run has returned
	closing  atomic.Bool   // no new requests
	drain    chan struct{} // closed by Drain
	once     sync.Once
	work     sync.WaitGroup // attempts, probes, releases
	workCtx  context.Context
	endWork  context.CancelFunc
	count    counters

	mu   sync.Mutex
	open map[string]bool // names of open requests that came with their jobs

	// What follows belongs to the loop.
	module     Decider
	generation int
	now        decide.Time
	table      table
	keep       keeper
	timers     timers
	shutdown   *decide.Shutdown // nil: the process was not told to end
	servers    map[decide.ServerID]*server
	list       []discovery.Engine
	// listFailing: the last call of discovery has failed; only the change of this state is logged.
	listFailing bool
	actions     []decide.Action
	later       []decide.Event // to be told after the actions under way
	touched     []*flight
}

// server is an engine of the present list.
type server struct {
	name, addr string
	role       decide.Role
	since      time.Time
	// withdrawnAt is when a list took the engine from the ready ones, in the module's time; 0: it did not.
	withdrawnAt atomic.Int64
}

// withdraw notes that the engine takes nothing new.
func (s *server) withdraw(now decide.Time) { s.withdrawnAt.CompareAndSwap(0, int64(now)) }

// withdrawnFor tells for how long the engine has taken nothing new, if that is so.
func (s *server) withdrawnFor(now decide.Time) (time.Duration, bool) {
	at := s.withdrawnAt.Load()
	return time.Duration(int64(now) - at), at != 0
}

const (
	mailbox    = 1024 // messages that wait for the loop; senders wait when it is full
	arrivalBox = 1024 // requests that wait for the loop; more are not taken
	lockedTick = time.Hour
)

// New returns a router that is not running yet. It takes requests from now on; they wait for Run.
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
		mail: make(chan message, mailbox), arrivals: make(chan message, arrivalBox), quit: make(chan struct{}), stopped: make(chan struct{}),
		open:  map[string]bool{},
		drain: make(chan struct{}), table: newTable(), servers: map[decide.ServerID]*server{},
	}
	if r.keep = (leased{r}); cfg.HoldMode == PerRequest {
		r.keep = byRequest{r}
	}
	r.name = cfg.Name + "-" + formatID(uint64(r.start.UnixNano()))
	r.workCtx, r.endWork = context.WithCancel(context.Background())
	return r
}

// Name returns the router's name with its incarnation, by which engines know it.
func (r *Router) Name() string { return r.name }

// clock is the module's time: wall time at the start, and from then on the monotonic clock, so that
// starts in lists can be compared with it and no jump of the wall clock is seen.
func (r *Router) clock() decide.Time {
	return decide.Time(r.start.UnixNano()) + decide.Time(time.Since(r.start))
}

func (r *Router) at(t time.Time) decide.Time {
	return decide.Time(r.start.UnixNano()) + decide.Time(t.Sub(r.start))
}

// wall is at's other way round.
func (r *Router) wall(t decide.Time) time.Time {
	return r.start.Add(time.Duration(t - decide.Time(r.start.UnixNano())))
}

// Submit takes a request. With an error it was not taken and nothing of it has run; else the caller reads
// it with Next to its ending.
func (r *Router) Submit(job *Job) (*Request, error) {
	now := time.Now()
	if r.closing.Load() {
		return nil, ErrStopping
	}
	if !job.Deadline.After(now) {
		return nil, ErrDeadlinePassed
	}
	if r.count.open.Add(1) > int64(r.cfg.MaxOpen) {
		r.count.open.Add(-1)
		return nil, ErrTooManyRequests
	}
	if !r.claim(job.Name) {
		r.count.open.Add(-1)
		return nil, ErrDuplicateName
	}
	q := &Request{job: *job, router: r, arrived: now,
		parts: make(chan string, r.cfg.StreamBuffer), done: make(chan struct{})}
	if q.ownsGuarded = job.Guard == nil; q.ownsGuarded {
		q.job.Guard = r.cfg.Guard.Receive()
	}
	q.watch()
	if err := r.enqueue(q); err != nil {
		q.watchdog.Stop()
		r.unclaim(job.Name)
		r.count.open.Add(-1)
		q.notTaken(err)
		return nil, err
	}
	return q, nil
}

// enqueue has a request wait for the loop, unless too many wait already.
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

// claim takes a name for a request; false if an open one has it. The empty name is anybody's.
func (r *Router) claim(name string) bool {
	if name == "" {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[name] {
		return false
	}
	r.open[name] = true
	return true
}

func (r *Router) unclaim(name string) {
	if name != "" {
		r.mu.Lock()
		delete(r.open, name)
		r.mu.Unlock()
	}
}

// Update takes in what discovery has learnt.
func (r *Router) Update(u discovery.Update) { r.post(message{kind: listed, update: u}) }

// Drain lets no more requests in; Run returns when those that are open have ended.
func (r *Router) Drain() {
	r.closing.Store(true)
	r.once.Do(func() { close(r.drain) })
}

// Stopped is closed when Run has returned.
func (r *Router) Stopped() <-chan struct{} { return r.stopped }

// Ready tells whether requests are taken and engines are known.
func (r *Router) Ready() bool { return !r.closing.Load() && r.count.engines.Load() > 0 }

// Stats returns the counts.
func (r *Router) Stats() Stats {
	c := &r.count
	return Stats{
		Arrived: c.arrived.Load(), Served: c.ended[Served].Load(), Refused: c.ended[Refused].Load(),
		Failed: c.ended[Failed].Load(), Gone: c.ended[Gone].Load(), Moved: c.ended[Moved].Load(),
		Sends: c.sends.Load(), Probes: c.probes.Load(), Releases: c.releases.Load(),
		Panics: c.panics.Load(), Events: c.events.Load(), Open: c.open.Load(), Engines: c.engines.Load(),
		Violations: r.cfg.Guard.Violations(), Denials: r.cfg.Guard.Denials(),
	}
}

// post hands a message to the loop and reports whether it was taken.
func (r *Router) post(m message) bool {
	m.posted = time.Now()
	select {
	case <-r.quit:
		return false
	default:
	}
	select {
	case r.mail <- m:
		return true
	case <-r.quit:
		return false
	}
}
