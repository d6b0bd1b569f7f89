package decide

// The state of a router and its one event handler. The interface, and a map of the files, are in api.go.

import "math"

// server is what this router knows of one server.
type server struct {
	id         ServerID
	hash       uint64 // of the id
	zone, cell int
	role       Role
	memory     float64
	ready      bool // rule 3: false from the moment that a list says draining or gone
	since      Time // last start told
	leftAt     Time // when it stopped being ready

	pending   int  // own attempts that wait for a first sign
	quietFrom Time // with pending > 0: when the wait without any sign began
	waiting   float64
	streams   int
	booked    float64 // prompt tokens of own streams
	sent      float64 // prompt tokens sent since the last report, less those that ended since
	share     float64 // reported share of memory, negative while untold
	queue     float64 // reported tokens that wait there, of all routers
	toldAt    Time    // when; 0 while untold
	kept      map[uint64]float64

	answer   float64 // usual time of its answers, over what was expected
	answers  int
	answered Time // when the last came
	failing  float64
	bench    Duration // 0: in good standing
	until    Time     // with bench > 0: no trial before

	coldAt   Time    // rule 4: when it was last sent anything, or named first
	coldWork float64 // the work of that
	probing  bool
	probedAt Time
	checking bool // it is asked whether it can be reached
	heardAt  Time // when it last gave a sign of any kind
}

type stage uint8

const (
	reading stage = iota
	writing
	streaming
)

// request is one client's try, from its arrival to the end of all that is held for it.
type request struct {
	id        RequestID
	job       Job
	arrived   Time
	key       uint64
	stage     stage
	attempts  int     // sends so far; the last has the number attempts-1
	out       *server // where the attempt that is out is
	tokens    float64 // booked at out
	expect    float64 // how long the attempt that is out should take, ns
	state     *server // the reader at which a state waits
	mayHold   bool    // something may be held for it
	heldAt    Time    // since when, with no attempt that has come up
	mayRun    bool    // an attempt may have run
	runAt     Time    // when the first that may have run was sent
	runOn     *server
	tried     []*server
	asked     []*server // were asked for their load for the next attempt
	from      *server   // near which writers were asked
	askAt     Time      // only what was asked by then is waited for
	alone     bool      // no state is to be had: only a server that reads by itself will do
	closed    bool
	sentAt    Time // when the attempt that is out was sent
	startedAt Time
}

// Router decides for one router process.
type Router struct {
	set       *Settings
	rng       uint64
	now       Time
	servers   map[ServerID]*server
	order     []*server // by id, so that no decision hangs on map order
	readers   []*server // of order, the ready ones that only read
	writers   []*server // of order, the ready ones that write
	warm      warmCount
	coldRate  [Both + 1]float64 // budget of a cold server by role, of the event under way; 0: not worked out
	requests  map[RequestID]*request
	out       []Action
	pace      float64 // ns to read one token
	found     float64 // usual share of a shared text found kept where this router had not sent it
	leastAim  Duration
	mostWorth float64
	many      bool       // more than 2*fewRouters: of fewer, own reads tell a queue sooner than late reports
	dones     [3]rate    // by stage, weighed by their work (1 is the mean)
	perWarm   [3]float64 // work a second of a warm server, for this router; kept while there is none
	meanWork  [3]float64 // of one send at a stage
	moved     [3]float64 // usual time to a first token by the distance of the move, ns
	movedAt   [3]Time
	room      map[int]float64 // by cell, see countCells
	probes    float64         // that may still be sent
	again     float64         // time-outs that may still lead to another attempt
	work      []classWork
	times     [Both + 1][]float64 // answer times by role in order, see usual
	timed     [Both + 1]bool
	tenants   []tenant
	asking    []*request // wait for readers' answers, in the order of their arrival
	unwatched bool       // an asking for the list has failed
	unsure    []unsure   // attempts that have shown no sign, in the order in which they were sent
	shutdown  *Shutdown  // nil: the router was not told to end
}

// tenant is what is left of this router's part of a tenant's share.
type tenant struct {
	left float64 // requests
	at   Time
}

// classWork is the mean work of a class, as far as seen.
type classWork struct{ prompt, answer float64 }

// New returns a router that knows nothing but its settings.
func New(set *Settings, seed uint64, now Time) *Router {
	r := &Router{set: set, rng: seed, now: now, pace: startPace,
		servers: map[ServerID]*server{}, requests: map[RequestID]*request{}, room: map[int]float64{}}
	r.leastAim = math.MaxInt64
	for _, c := range set.Classes {
		r.leastAim = min(r.leastAim, c.FirstTokenTarget)
		r.mostWorth = max(r.mostWorth, c.Value)
		r.work = append(r.work, classWork{prompt: thousand, answer: float64(c.FirstTokenTarget)})
	}
	r.again, r.many = againMost, set.Routers > 2*fewRouters
	r.tenants = make([]tenant, len(set.Tenants))
	return r
}

// Handle takes one event and appends the actions that answer it.
func (r *Router) Handle(now Time, ev *Event, out []Action) []Action {
	r.now, r.out = now, out
	r.coldRate = [Both + 1]float64{}
	switch ev.Kind {
	case ListChanged, ListFull, ListCached:
		r.list(ev)
	case ListFailed:
		r.unwatched = true
	case Arrived:
		r.arrive(ev)
	case FirstToken:
		r.first(ev)
	case AttemptEnded:
		r.ended(ev)
	case ClientLeft:
		r.clientGone(ev.Request)
	case Probed:
		r.probed(ev)
	case Timer:
		r.tick()
	case ShuttingDown:
		r.shutDown(ev.Shutdown)
	}
	out, r.out = r.out, nil
	return out
}

func (r *Router) act(a Action) { r.out = append(r.out, a) }
