package decide

// The state of a router and its one event handler. The interface, and a map of the files, are in api.go.

import "math"

// server is what this router knows of one server.
type server struct {
	id           ServerID
	hash         uint64 // of the id
	zone, cell   int
	role         Role
	memoryTokens float64
	ready        bool // rule 3: false from the moment that a list says draining or gone
	startedAt    Time // last start told
	leftAt       Time // when it stopped being ready

	unanswered    int  // own attempts that wait for a first sign
	silentSince   Time // with pending > 0: when the wait without any sign began
	queuedTokens  float64
	streams       int
	bookedTokens  float64 // prompt tokens of own streams
	sentTokens    float64 // prompt tokens sent since the last report, less those that ended since
	memoryUse     float64 // reported share of memory, negative while untold
	reportedQueue float64 // reported tokens that wait there, of all routers
	reportedAt    Time    // when; 0 while untold
	cachedTokens  map[uint64]float64

	responseTime float64 // usual time of its answers, over what was expected
	responses    int
	respondedAt  Time // when the last came
	failureRate  float64
	ejection     Duration // 0: in good standing
	ejectedUntil Time     // with bench > 0: no trial before

	coldSentAt    Time    // rule 4: when it was last sent anything, or named first
	coldSentWork  float64 // the work of that
	probeInFlight bool
	probedAt      Time
	reachProbe    bool // it is asked whether it can be reached
	lastResponse  Time // when it last gave a sign of any kind
}

type stage uint8

const (
	reading stage = iota
	writing
	streaming
)

// request is one client's try, from its arrival to the end of all that is held for it.
type request struct {
	id           RequestID
	job          Job
	arrivedAt    Time
	prefixKey    uint64
	stage        stage
	attempts     int     // sends so far; the last has the number attempts-1
	sentTo       *server // where the attempt that is out is
	bookedTokens float64 // booked at out
	expectedTime float64 // how long the attempt that is out should take, ns
	stateAt      *server // the reader at which a state waits
	mayHold      bool    // something may be held for it
	holdStart    Time    // since when, with no attempt that has come up
	mayHaveRun   bool    // an attempt may have run
	firstRunAt   Time    // when the first that may have run was sent
	firstRunOn   *server
	tried        []*server
	probed       []*server // were asked for their load for the next attempt
	probedNear   *server   // near which writers were asked
	probesSentAt Time      // only what was asked by then is waited for
	needsMixed   bool      // no state is to be had: only a server that reads by itself will do
	closed       bool
	sentAt       Time // when the attempt that is out was sent
	streamStart  Time
}

// Router decides for one router process.
type Router struct {
	cfg              *Settings
	rng              uint64
	now              Time
	servers          map[ServerID]*server
	byID             []*server // by id, so that no decision hangs on map order
	readers          []*server // of order, the ready ones that only read
	writers          []*server // of order, the ready ones that write
	warm             warmCount
	slowStartBudgets [Both + 1]float64 // budget of a cold server by role, of the event under way; 0: not worked out
	requests         map[RequestID]*request
	actions          []Action
	nsPerToken       float64 // ns to read one token
	cachedShare      float64 // usual share of a shared text found kept where this router had not sent it
	minTarget        Duration
	maxValue         float64
	manyRouters      bool       // more than 2*fewRouters: of fewer, own reads tell a queue sooner than late reports
	completedWork    [3]rate    // by stage, weighed by their work (1 is the mean)
	workPerWarm      [3]float64 // work a second of a warm server, for this router; kept while there is none
	meanWork         [3]float64 // of one send at a stage
	transferTime     [3]float64 // usual time to a first token by the distance of the move, ns
	transferAt       [3]Time
	cellRoom         map[int]float64 // by cell, see countCells
	probeBudget      float64         // that may still be sent
	timeoutBudget    float64         // time-outs that may still lead to another attempt
	classWork        []classWork
	sortedTimes      [Both + 1][]float64 // answer times by role in order, see usual
	timesSorted      [Both + 1]bool
	tenants          []tenant
	awaitingProbes   []*request           // wait for readers' answers, in the order of their arrival
	watchFailed      bool                 // an asking for the list has failed
	unconfirmed      []unconfirmedAttempt // attempts that have shown no sign, in the order in which they were sent
	shutdown         *Shutdown            // nil: the router was not told to end
}

// tenant is what is left of this router's part of a tenant's share.
type tenant struct {
	remaining float64 // requests
	updatedAt Time
}

// classWork is the mean work of a class, as far as seen.
type classWork struct{ prompt, answerTime float64 }

// New returns a router that knows nothing but its settings.
func New(set *Settings, seed uint64, now Time) *Router {
	r := &Router{cfg: set, rng: seed, now: now, nsPerToken: initialNsPerToken,
		servers: map[ServerID]*server{}, requests: map[RequestID]*request{}, cellRoom: map[int]float64{}}
	r.minTarget = math.MaxInt64
	for _, c := range set.Classes {
		r.minTarget = min(r.minTarget, c.FirstTokenTarget)
		r.maxValue = max(r.maxValue, c.Value)
		r.classWork = append(r.classWork, classWork{prompt: thousand, answerTime: float64(c.FirstTokenTarget)})
	}
	r.timeoutBudget, r.manyRouters = maxTimeoutBudget, set.Routers > 2*fewRouters
	r.tenants = make([]tenant, len(set.Tenants))
	return r
}

// Handle takes one event and appends the actions that answer it.
func (r *Router) Handle(now Time, ev *Event, out []Action) []Action {
	r.now, r.actions = now, out
	r.slowStartBudgets = [Both + 1]float64{}
	switch ev.Kind {
	case ListChanged, ListFull, ListCached:
		r.updateList(ev)
	case ListFailed:
		r.watchFailed = true
	case Arrived:
		r.arrive(ev)
	case FirstToken:
		r.firstToken(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	case ClientLeft:
		r.clientLeft(ev.Request)
	case Probed:
		r.probeEnded(ev)
	case Timer:
		r.periodicCheck()
	case ShuttingDown:
		r.shutDown(ev.Shutdown)
	}
	out, r.actions = r.actions, nil
	return out
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }
