package decide

// The state of a router and its event handler. The interface and an overview of the files are in api.go.

import "math"

// server is what this router knows of one server.
type server struct {
	id           ServerID
	hash         uint64 // of the id
	zone, cell   int
	role         Role
	memoryTokens float64
	ready        bool // rule 3: false as soon as a list says that it is draining or removed
	startedAt    Time // last reported start
	leftAt       Time // when it stopped being ready

	unanswered    int     // own attempts without a first response
	silentSince   Time    // if unanswered > 0: since when no response has come
	queuedTokens  float64 // own tokens that wait there to be read
	streams       int
	bookedTokens  float64            // prompt tokens of own streams
	sentTokens    float64            // prompt tokens sent since the last report and not ended yet
	memoryUse     float64            // reported fraction; negative if not reported
	reportedQueue float64            // reported tokens that wait there, of all routers
	reportedAt    Time               // time of that report; 0 if there was none
	cachedTokens  map[uint64]float64 // by prefix key or session

	responseTime float64 // moving average of response time over expected time
	responses    int
	respondedAt  Time     // when the last response time was recorded
	failureRate  float64  // moving average; 0 is none, 1 is all
	ejection     Duration // length of the ejection; 0 if healthy
	ejectedUntil Time     // if ejection > 0: no trial request before

	coldSentAt    Time    // rule 4: when it was last sent an attempt, or else first listed
	coldSentWork  float64 // the work of that attempt
	probeInFlight bool
	probedAt      Time
	reachProbe    bool // a reachability probe is in flight
	lastResponse  Time // when the last response of any kind came
}

type stage uint8

const (
	reading stage = iota
	writing
	streaming
)

// request is a client's request, from its arrival until nothing is held for it any more.
type request struct {
	id           RequestID
	job          Job
	arrivedAt    Time
	prefixKey    uint64 // the shared prefix, or else the session
	stage        stage
	attempts     int     // sends so far; the last one has the number attempts-1
	sentTo       *server // server of the attempt in flight; nil if there is none
	bookedTokens float64 // booked at sentTo
	expectedTime float64 // how long the attempt in flight should take, in ns
	stateAt      *server // the reader that holds the KV state
	mayHold      bool    // servers may hold something for the request
	holdStart    Time    // start of the hold timer, which pauses during an attempt that reaches its server
	mayHaveRun   bool    // an attempt may have executed the request
	firstRunAt   Time    // when the first such attempt was sent
	firstRunOn   *server
	tried        []*server
	probed       []*server // servers probed for their load before the next attempt
	probedNear   *server   // the reader near which writers were probed
	probesSentAt Time      // only probes sent by then are waited for
	needsMixed   bool      // there is no KV state to be had: only a server that also reads will do
	closed       bool
	sentAt       Time // when the attempt in flight was sent
	streamStart  Time
}

// Router makes the decisions of one router process.
type Router struct {
	cfg              *Settings
	rng              uint64
	now              Time
	servers          map[ServerID]*server
	byID             []*server // ordered by id, so that no decision depends on map order
	readers          []*server // of byID, the ready ones that only read
	writers          []*server // of byID, the ready ones that write
	warm             warmCount
	slowStartBudgets [Both + 1]float64 // of a cold server by role, for the current event; 0 if not computed
	requests         map[RequestID]*request
	actions          []Action
	nsPerToken       float64 // read time per token
	cachedShare      float64 // typical cached fraction of a shared prefix that this router had not sent there
	minTarget        Duration
	maxValue         float64
	manyRouters      bool       // more than 2*fewRouters: then own reads show too little of a server's queue
	completedWork    [3]rate    // by stage, in units of the mean work
	workPerWarm      [3]float64 // work per second of a warm server for this router; kept while none is warm
	meanWork         [3]float64 // of one send, by stage
	transferTime     [3]float64 // typical time to a first token by distance of the transfer, in ns
	transferAt       [3]Time
	cellRoom         map[int]float64 // by cell, see updateCellRoom
	probeBudget      float64         // probes that may still be sent
	timeoutBudget    float64         // timeouts that may still lead to another attempt
	classWork        []classWork
	sortedTimes      [Both + 1][]float64 // response times by role in ascending order, see typicalTime
	timesSorted      [Both + 1]bool
	tenants          []tenant
	awaitingProbes   []*request           // wait for probes of readers, in order of arrival
	watchFailed      bool                 // a watch of the server list has failed
	unconfirmed      []unconfirmedAttempt // in flight without a response, in order of sending
	shutdown         *Shutdown            // nil until the router is told to shut down
}

// tenant is a token bucket with this router's part of a tenant's quota.
type tenant struct {
	remaining float64 // requests
	updatedAt Time
}

// classWork is the mean work of a class's requests: prompt tokens, and the duration of the answer in ns.
type classWork struct{ prompt, answerTime float64 }

// New returns a router that knows no servers yet.
func New(cfg *Settings, seed uint64, now Time) *Router {
	r := &Router{cfg: cfg, rng: seed, now: now, nsPerToken: initialNsPerToken,
		servers: map[ServerID]*server{}, requests: map[RequestID]*request{}, cellRoom: map[int]float64{}}
	r.minTarget = math.MaxInt64
	for _, c := range cfg.Classes {
		r.minTarget = min(r.minTarget, c.FirstTokenTarget)
		r.maxValue = max(r.maxValue, c.Value)
		r.classWork = append(r.classWork,
			classWork{prompt: thousand, answerTime: float64(c.FirstTokenTarget)})
	}
	r.timeoutBudget, r.manyRouters = maxTimeoutBudget, cfg.Routers > 2*fewRouters
	r.tenants = make([]tenant, len(cfg.Tenants))
	return r
}

// Handle processes one event and appends the resulting actions to out.
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

// emit adds an action to the answer of the current event.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }
