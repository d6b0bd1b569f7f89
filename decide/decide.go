package decide

// The interface, and a map of this file, are in api.go.

import (
	"cmp"
	"math"
	"slices"
)

// Tuned values.
const (
	// fitFraction of its memory may a writer hold: answers grow later and other routers book unseen.
	fitFraction  = 0.9
	streamWeight = 0.0 // W of D + W*N; own streams are compared first, so N never differs here
	// spillShare of the least aim may the tokens waiting at a reader take, if all routers have as many there.
	spillShare = 0.4
	startPace  = 100e3 // ns to read a token, assumed before any read has been seen
	paceDown   = 0.2   // weighs a faster read, which met no queue; a mean would shrink the spill bound under
	paceUp     = 0.002 // load, when to scatter the texts is dearest: this is the step after a slower one
	paceTokens = 256.0 // the least that a read is taken for; under it its fixed time prevails
	farCell    = 1.0   // own streams more may a writer of the reader's cell have,
	farZone    = 2.0   // or its zone: a move crosses a shared link and has a price
	// fewRouters is up to how many routers that holds: of more, each has fewer streams, and the same handicap
	// would send all states of a cell rich in readers to its few writers.
	fewRouters     = 4.0
	crowdedStreams = 0.5         // handicap of a writer whose cell can take no more; own streams go first
	longMemory     = 16 * Second // what is learnt of a server lasts at the most, however rarely it is used
	jamSpan        = 5 * Second  // memory of a jam of the links when no state is moved there
	readCap        = 0.5         // of the aim may a read take: that leaves one more try within the aim,
	writeCap       = 0.6         // and so much a first token
	againPart      = 0.03        // of the requests may be cut off for another attempt, and
	againMost      = 2.0         // so many at once; more tell of a short pool, not of servers
	calmTimes      = 4.0         // times the expected is the usual answer time, at most, of a calm pool
	capTypical     = 4.0         // times the usual are time-outs at the least, so load alone causes none
	quietTypical   = 4.0         // times the usual answer time without a sign, and at least
	quietFloor     = 0.25        // this part of the least aim, make it suspect
	slowTimes      = 3.0         // times the median answer time of its peers make a server suspect
	writeExpected  = 50e6        // the unit of first-token times; reads are measured by their tokens
	slowSamples    = 4           // answers are needed to judge a server by its times, unless routers are many
	answerGain     = 0.2         // weighs a new answer time; some five answers tell
	// failGain and failLimit: two failures in a row, or a third of recent attempts, make a server suspect.
	failGain       = 0.2
	failLimit      = 0.3
	failAfterTrial = 0.25       // of a server that came back: one failure makes it suspect again
	firstBench     = 1 * Second // how long a suspect server is left out before a trial, at first
	holdSlack      = 225e6      // ns of the 300 ms that sockets add to rule 5; letting go takes time too
	longestBench   = 8 * Second // ... and at most
	coldMargin     = 0.9        // of this router's share of a cold budget is used: routers are unequal
	coldChance     = 1.0        // sends are held back in proportion to its smallness (b*b/(b+coldChance))
	mixGain        = 0.05       // weighs a send in the mean work: rare heavy classes must count
	rateSpan       = 5 * Second // memory of the work rates that the cold budget is guessed from
	// admitShare of the aim may the predicted wait, beyond a bare read, reach before requests are refused,
	// the steeper the greater admitPower is. Some are always let in, so that the end of the trouble is seen.
	admitShare = 0.45
	admitPower = 4.0
	fadeSpan   = 2 * Second // an answer time counts whole for so long, then fades as fast
	// fullLow and fullHigh: the smallest footprint of any writer from which none and all of the least worth
	// are refused: full writers put streams back and read them anew. The dearest go fullSpare later.
	fullLow      = 0.9
	fullHigh     = 0.98
	fullSpare    = 0.04
	shareSlack   = 1.5  // times an even part of a tenant's share may each router let in: parts differ
	shareBurst   = 2.0  // seconds' worth of that may come at once
	excessTimes  = 2.0  // times the predicted wait, and excessRoom less of the writers' memory, is what
	excessRoom   = 0.15 // traffic beyond a tenant's share is judged by
	answerGrowth = 1.1  // a stream holds its answer so far beside its booked prompt
	// probePoints of the result may go into probes at the most (0.004 is 0.4 points in 100).
	probePoints  = 0.001
	mostProbes   = 20.0                // earned by a request, however cheap they are
	probeFastest = 300 * Second / 1000 // the least time between probes of one server
	// Of many routers each sees too little of a reader to know its queue. So it asks askPair before a read,
	// and askMost in all while those are past the spill bound; askPoints of the result may go into it.
	askPair     = 2
	askMost     = 8
	askPoints   = 0.03
	askFresh    = 200 * Second / 1000 // a report is news for so long
	watchChance = 0.1                 // at each tick: spreads new askings for the list over about a second
	keptEntries = 4096                // remembered of a reader's kept texts, at most
	forgetAfter = 600 * Second        // a server that left the list and has nothing out is forgotten
	tickEvery   = 100 * Second / 1000 // time between looks at what no event brings up
	thousand    = 1000.0              // prompt tokens, the unit of aims and of reported waits
)

// server is what this router knows of one server.
type server struct {
	id         ServerID
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
		r.leastAim = min(r.leastAim, c.Aim)
		r.mostWorth = max(r.mostWorth, c.Worth)
		r.work = append(r.work, classWork{prompt: thousand, answer: float64(c.Aim)})
	}
	r.again, r.many = againMost, set.Routers > 2*fewRouters
	r.tenants = make([]tenant, len(set.Tenants))
	return r
}

// Handle takes one event and appends the actions that answer it.
func (r *Router) Handle(now Time, ev *Event, out []Action) []Action {
	r.now, r.out = now, out
	switch ev.Kind {
	case ListChanged, ListFull, ListCached:
		r.list(ev)
	case ListFailed:
		r.unwatched = true
	case Arrived:
		r.arrive(ev)
	case FirstToken:
		r.first(ev)
	case Ended:
		r.ended(ev)
	case ClientGone:
		r.clientGone(ev.Request)
	case Probed:
		r.probed(ev)
	case Timer:
		r.tick()
	}
	out, r.out = r.out, nil
	return out
}

func (r *Router) act(a Action) { r.out = append(r.out, a) }

// list takes in what discovery tells.
func (r *Router) list(ev *Event) {
	r.timed = [Both + 1]bool{}
	if ev.Kind == ListCached {
		r.act(Action{Kind: WakeMe, After: tickEvery})
		if r.set.AskMembership {
			r.act(Action{Kind: Watch})
		}
	}
	if ev.Kind != ListChanged {
		for _, s := range r.order {
			r.setReady(s, false)
		}
	}
	for _, l := range ev.Servers {
		s := r.servers[l.Server]
		if s == nil {
			s = &server{id: l.Server, share: -1, kept: map[uint64]float64{}, since: l.Since, leftAt: r.now}
			r.servers[l.Server] = s
			r.order = append(r.order, s)
			slices.SortFunc(r.order, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
			s.coldAt, s.coldWork = r.now, r.random()
			s.probedAt = r.now - Duration(r.random()*float64(Second)) // in no common order
		}
		s.zone, s.cell = l.Zone, l.Cell
		r.setReady(s, l.Condition == Ready)
		if l.Kind < len(r.set.Kinds) {
			s.role, s.memory = r.set.Kinds[l.Kind].Role, r.set.Kinds[l.Kind].Memory
		}
		if l.Since != s.since {
			// Restarted: empty, cold, and what it was blamed for is past.
			s.since, s.share, s.sent, s.kept = l.Since, -1, 0, map[uint64]float64{}
			s.bench, s.failing, s.answers = 0, 0, 0
			s.coldAt, s.coldWork = r.now, r.random() // not all routers at once
		}
	}
	r.forget()
	r.countCells()
}

func (r *Router) setReady(s *server, ready bool) {
	if s.ready && !ready {
		s.leftAt = r.now
	}
	s.ready = ready
}

// forget drops servers that left long ago, unless something is out there: a year of new ids fills the memory.
func (r *Router) forget() {
	r.order = slices.DeleteFunc(r.order, func(s *server) bool {
		if s.ready || s.pending > 0 || s.streams > 0 || s.probing || r.now-s.leftAt < forgetAfter {
			return false
		}
		delete(r.servers, s.id)
		return true
	})
}

// countCells sets the room of each cell: its part of the writers over its part of the readers.
func (r *Router) countCells() {
	const all = -1
	clear(r.room)
	readers, writers := map[int]float64{}, map[int]float64{}
	for _, s := range r.order {
		if s.ready && s.role == Reader {
			readers[s.cell]++
			readers[all]++
		} else if s.ready && s.role != 0 {
			writers[s.cell]++
			writers[all]++
		}
	}
	for _, s := range r.order {
		r.room[s.cell] = writers[s.cell] * readers[all] / max(readers[s.cell]*writers[all], 1e-9)
	}
}

// arrive takes a new request and sends it to a reader.
func (r *Router) arrive(ev *Event) {
	if ev.Job.Class >= len(r.set.Classes) { // of unknown effect
		r.act(Action{Kind: Fail, Request: ev.Request, Text: "its class is unknown"})
		return
	}
	q := &request{id: ev.Request, job: ev.Job, arrived: r.now, key: ev.Job.Text}
	if q.key == 0 {
		q.key = ev.Job.Session
	}
	r.requests[q.id] = q
	r.again = min(r.again+againPart, againMost)
	// Each request pays for the probes that it may cost, so that many routers cost no more than few.
	r.probes = min(r.probes+probePoints/max(r.set.ProbeFee, probePoints/mostProbes), float64(len(r.order)))
	w := &r.work[q.job.Class]
	w.prompt += answerGain * (q.job.Prompt - w.prompt)
	if !r.ask(q) {
		r.admit(q)
	}
}

// admit refuses a request or begins with it.
func (r *Router) admit(q *request) {
	if r.random() < r.refusal(q) {
		r.giveUp(q, "the answer would come late")
		return
	}
	if n := q.job.Tenant; n < len(r.tenants) {
		r.tenants[n].left--
	}
	r.read(q)
}

// excess: this router's part of a tenant's share is used up; traffic beyond is the first to go.
func (r *Router) excess(q *request) bool {
	if q.job.Tenant >= len(r.tenants) || r.set.Tenants[q.job.Tenant].PerSecond <= 0 {
		return false
	}
	t := &r.tenants[q.job.Tenant]
	part := shareSlack * r.set.Tenants[q.job.Tenant].PerSecond / float64(r.set.Routers)
	seconds := float64(r.now-t.at) / float64(Second)
	t.left, t.at = min(max(t.left, -part)+part*seconds, part*shareBurst), r.now
	return t.left < 1
}

// books is the share of the sound writers' memory that is held if every router holds as much as this one.
// It shows at once what reports tell late; it may harm a router with more than its part of the traffic.
func (r *Router) books() float64 {
	booked, memory := 0.0, 0.0
	for _, s := range r.order {
		if s.ready && s.role&Writer != 0 && !r.suspect(s, false) {
			booked += s.booked
			memory += s.memory
		}
	}
	if memory <= 0 || r.many {
		return 0 // the settings do not tell it, or this router's few streams tell nothing of the others'
	}
	return answerGrowth * booked * float64(r.set.Routers) / memory
}

// read sends a request to a reader; without any, to a writer that reads by itself.
func (r *Router) read(q *request) {
	if s := r.pickReader(q); s == nil || !r.send(q, s, reading) {
		q.alone = true
		r.write(q)
	}
}

// write sends a request whose state waits to a writer, or gives it up.
func (r *Router) write(q *request) {
	if s := r.pickWriter(q, true); s == nil || !r.send(q, s, writing) {
		r.giveUp(q, "no server may be tried")
	}
}

// refusal is how likely a request is to be refused at its arrival: what would come late takes the place of
// what could come in time, and full writers work twice. It may harm when a few servers make the usual times.
func (r *Router) refusal(q *request) float64 {
	reader, writer := r.pickReader(q), r.pickWriter(q, true)
	if reader == nil || writer == nil {
		return 0 // sending will find out
	}
	wait := r.readWait(q, reader)
	if r.many && !r.told(reader) { // it may not have been heard lately, others of its pool have
		wait = max(wait, (r.median(Reader, r.recent)-1)*r.fresh(q, reader)*r.pace)
	}
	wait += r.median(Writer, r.recent) * writeExpected
	excess := r.excess(q)
	late := wait / (admitShare * float64(r.aim(q)))
	if excess {
		late *= excessTimes
	}
	chance := 1 - math.Pow(max(late, 1), -admitPower)
	if writer.share < 0 {
		return chance
	}
	spare := fullSpare * r.set.Classes[q.job.Class].Worth / max(r.mostWorth, 1e-9)
	if excess {
		spare = -excessRoom
	}
	full := (max(r.footprint(writer, q.job.Prompt), r.books()) - fullLow - spare) / (fullHigh - fullLow)
	return max(chance, min(full, 1))
}

// remembered stretches a memory of single servers: the more routers, the rarer each uses one.
func (r *Router) remembered(span Duration) Duration {
	return max(span, min(span*Duration(r.set.Routers)/fewRouters, longMemory))
}

// readWait is how long a request should wait in a reader's queue, beyond its own bare read.
func (r *Router) readWait(q *request, s *server) float64 {
	fresh := r.fresh(q, s)
	if r.told(s) {
		return (r.backlog(s) + paceTokens) * r.pace
	}
	return (r.recent(s)*(s.waiting+fresh+paceTokens) - fresh) * r.pace
}

// told tells whether a reader's own word on its queue is news. Few routers know it from their own reads.
func (r *Router) told(s *server) bool { return r.many && s.toldAt > 0 && r.now-s.toldAt < askFresh }

// backlog is how many tokens wait at a reader, as far as this router can tell.
func (r *Router) backlog(s *server) float64 {
	if !r.told(s) {
		return s.waiting
	}
	return max(s.waiting, s.queue-float64(r.now-s.toldAt)/r.pace)
}

// hasRoom tells whether a reader is under the spill bound and would not have a request refused.
func (r *Router) hasRoom(q *request, s *server) bool {
	bound := spillShare * float64(r.leastAim) / r.pace
	if !r.told(s) {
		bound /= float64(r.set.Routers) // as many may wait there for each of the others
	}
	return r.backlog(s) <= bound && r.readWait(q, s) <= admitShare*float64(r.aim(q))
}

// recent is a server's answer time, faded once it is old: what is refused brings no news.
func (r *Router) recent(s *server) float64 {
	span := r.remembered(fadeSpan)
	return s.answer * decay(max(0, r.now-s.answered-span), span)
}

// first: the answer has begun. It now belongs to the client, and all else that was held is let go.
func (r *Router) first(ev *Event) {
	s := r.servers[ev.Server]
	q := r.requests[ev.Request]
	if s == nil || q == nil || q.out != s || q.stage != writing {
		return
	}
	s.quietFrom, s.pending = r.now, s.pending-1 // it has been heard
	r.good(q, s, float64(ev.Spent)/q.expect)
	r.learnMove(distance(q, s), ev.Spent)
	q.stage, q.mayHold, q.state, q.startedAt = streaming, false, nil, r.now
}

// ended: an attempt has its outcome.
func (r *Router) ended(ev *Event) {
	s := r.servers[ev.Server]
	if s != nil {
		r.report(s, ev.Report)
	}
	q := r.requests[ev.Request]
	if q == nil || s == nil || q.out != s || ev.Attempt != q.attempts-1 {
		return
	}
	r.unbook(q, s, ev)
	was := q.stage
	q.out = nil
	if ev.Outcome != ConnectFailed {
		q.heldAt = r.now
	}
	if was == reading && ev.Outcome == ReadDone {
		if q.job.Prefix > 0 && s.kept[q.key] == 0 && r.many {
			r.found += answerGain * (min(ev.Kept/q.job.Prefix, 1) - r.found)
		}
		q.state, q.mayHold, q.alone = s, true, false
		s.keep(q.key, q.job.Prefix)
		s.keep(q.job.Session, q.job.Prompt)
	}
	// Four outcomes prove that an attempt at a writer never ran.
	unrun := ev.Outcome == Full || ev.Outcome == ConnectFailed || ev.Outcome == Moot || ev.Outcome == ReadDone
	if was != reading && !unrun && !q.mayRun {
		q.mayRun, q.runOn, q.runAt = true, s, r.now-ev.Spent
	}
	if ev.Closed || q.closed {
		r.close(q)
		return
	}
	q.tried = append(q.tried, s)
	switch {
	case ev.Outcome == ReadDone:
		r.write(q)
	case ev.Outcome == Moot || float64(q.job.Deadline-r.now) <= r.usual(Writer, nil)*writeExpected,
		q.mayHold && ev.Outcome == ConnectFailed &&
			r.now-q.heldAt+r.set.DialTimeout > r.set.LetGoWithin+holdSlack:
		// Nothing more would be answered before the client leaves, or what is held would stay too long: no
		// connection that does not come up claims it, and the next may not come up either.
		r.giveUp(q, "no time for another attempt")
	case was == reading || ev.NoState:
		q.state = nil
		r.read(q)
	case q.state == nil || !q.state.ready && ev.Outcome != Full:
		r.read(q)
	default:
		r.write(q)
	}
}

// unbook undoes what an attempt had booked and draws the lesson of its outcome.
func (r *Router) unbook(q *request, s *server, ev *Event) {
	if q.stage == reading {
		s.waiting = max(0, s.waiting-q.tokens)
	} else {
		s.streams--
		s.booked = max(0, s.booked-q.tokens)
		s.sent -= q.tokens
	}
	if q.stage == streaming {
		if ev.Outcome == Served {
			w := &r.work[q.job.Class]
			w.answer += answerGain * (float64(r.now-q.startedAt) - w.answer)
		}
	} else {
		s.pending--
	}
	switch ev.Outcome {
	case Served:
		s.quietFrom = r.now
	case Full:
		s.quietFrom = r.now
		// Against one that turns away what its peers take. When half of a pool does, it is load: see benchIt.
		if !ev.NoState {
			r.bad(s, false)
		}
	case ReadDone:
		s.quietFrom = r.now
		if r.found > 0 {
			q.expect = max(q.expect+(q.job.Prompt-ev.Kept-q.tokens)*r.pace, paceTokens*r.pace)
		}
		r.good(q, s, float64(ev.Spent)/q.expect)
		if pace := float64(ev.Spent) / max(q.job.Prompt-ev.Kept, paceTokens); pace < r.pace {
			r.pace += paceDown * (pace - r.pace)
		} else {
			r.pace *= 1 + paceUp
		}
	case Error, Reset, TimedOut, ConnectFailed:
		if ev.Outcome == TimedOut && q.stage != streaming {
			if q.sentAt < s.quietFrom && r.usual(s.role, nil) < calmTimes {
				return // the server was heard since, and no queue is long: this one or its answer was lost
			}
			// At least so long: under load that all share, the usual time grows and time-outs with it.
			r.learn(s, float64(ev.Spent)/q.expect)
			r.again = max(0, r.again-1)
			if q.stage == writing {
				r.learnMove(distance(q, s), ev.Spent)
			}
		}
		if q.stage != reading || ev.Outcome != Error {
			// An error at a reader costs a moment and no effect; leaving the reader out costs its texts.
			r.bad(s, ev.Outcome == ConnectFailed)
		}
	}
}

// clientGone: nothing is owed any more; what is out is called off, what is held is let go.
func (r *Router) clientGone(id RequestID) {
	q := r.requests[id]
	if q == nil {
		return
	}
	q.closed = true
	if q.out == nil {
		r.close(q)
	} else if q.stage != streaming && r.set.MayCancel {
		r.act(Action{Kind: Cancel, Request: q.id, Attempt: q.attempts - 1})
	}
}

// --- reader choice ---

// pickReader walks from a key's home to the first under the spill bound, else takes the one with the fewest.
func (r *Router) pickReader(q *request) *server {
	for pass := range 3 {
		strict, asked := pass < 2, pass == 0 // first those that were asked
		var home, fewest *server
		for _, s := range r.order {
			if s.role != Reader || !r.candidate(q, s, reading, strict) {
				continue
			}
			if asked && !slices.Contains(q.asked, s) {
				continue
			}
			if r.hasRoom(q, s) && (home == nil || q.nearness(s) > q.nearness(home)) {
				home = s
			}
			if fewest == nil || r.backlog(s) < r.backlog(fewest) {
				fewest = s
			}
		}
		if home == nil {
			home = fewest
		}
		if home != nil {
			return home
		}
	}
	return nil
}

// nearness orders the readers in the walk from a key's home.
func (q *request) nearness(s *server) uint64 { return mix(q.key ^ mix(uint64(s.id))) }

// fresh guesses how many tokens of a prompt a reader has not kept.
func (r *Router) fresh(q *request, s *server) float64 {
	kept := max(s.kept[q.key], s.kept[q.job.Session])
	return max(1, q.job.Prompt-max(kept, r.found*q.job.Prefix))
}

func (s *server) keep(key uint64, tokens float64) {
	if key == 0 || tokens <= 0 {
		return
	}
	if len(s.kept) >= keptEntries {
		s.kept = map[uint64]float64{}
	}
	s.kept[key] = tokens
}

// --- writer choice ---

// pickWriter: among the writers that fit the fewest own streams, then the lowest D + W*N, ties at
// random; when none fits, the smallest resulting footprint. Those that were asked come first, and D is what
// they said then; with heard false, the next to be asked is picked.
func (r *Router) pickWriter(q *request, heard bool) *server {
	for pass := range 3 {
		strict, asked := pass < 2, pass == 0
		var pick, fallback *server
		var streams, cost, least float64
		ties := 0.0
		for _, s := range r.order {
			if s.role&Writer == 0 || !r.candidate(q, s, writing, strict) {
				continue
			}
			if one := slices.Contains(q.asked, s); asked && !(one && s.toldAt >= q.arrived) || one && !heard {
				continue
			}
			print := r.footprint(s, q.job.Prompt)
			if fallback == nil || print < least {
				fallback, least = s, print
			}
			if s.share >= 0 && print > fitFraction {
				continue
			}
			n := float64(s.streams) + r.far(distance(q, s)) + r.crowded(q, s)
			c := s.booked + streamWeight*float64(s.streams)
			if asked {
				n, c = float64(s.streams), print
			}
			switch {
			case pick == nil || n < streams || n == streams && c < cost:
				pick, streams, cost, ties = s, n, c, 1
			case n == streams && c == cost:
				ties++
				if r.random()*ties < 1 {
					pick = s
				}
			}
		}
		if pick != nil {
			return pick
		}
		if fallback != nil {
			return fallback
		}
	}
	return nil
}

// footprint is the share of a writer's memory with tokens more: its last report and what was sent since.
func (r *Router) footprint(s *server, tokens float64) float64 {
	if s.memory <= 0 {
		return max(0, s.share)
	}
	if r.asks() {
		tokens += s.queue // waits there by its own word
	}
	return max(0, max(0, s.share)+s.sent/s.memory) + tokens/s.memory
}

// distance tells how far a state has to go to a writer: 0 within its cell, 1 within its zone, 2 to another.
func distance(q *request, s *server) int {
	from := q.state
	if from == nil {
		from = q.from
	}
	switch {
	case from == nil || from.cell == s.cell:
		return 0
	case from.zone == s.zone:
		return 1
	}
	return 2
}

// far is the handicap, in streams, of a writer across a link; it grows with jams and fades without news.
func (r *Router) far(d int) float64 {
	base := [...]float64{0, farCell, farZone}[d] * min(1, fewRouters/float64(r.set.Routers))
	late := r.moved[d]/max(r.moved[0], writeExpected) - 1
	return base * (1 + max(0, late)*decay(r.now-r.movedAt[d], jamSpan))
}

// crowded is a handicap under one stream, lest many routers always take the nearest writer. A cell with less
// of the writers than of the readers keeps as many of its states; the rest goes, by chance, the other way.
func (r *Router) crowded(q *request, s *server) float64 {
	chance := 1 / max(r.room[s.cell], 1)
	if distance(q, s) == 0 {
		chance = 1 - r.room[s.cell]
	}
	if r.random() < chance {
		return crowdedStreams
	}
	return 0
}

func (r *Router) learnMove(d int, spent Duration) {
	r.moved[d] += answerGain * (float64(spent) - r.moved[d])
	r.movedAt[d] = r.now
}

// --- guards ---

// candidate tells whether a server may be picked; strict leaves out suspects and those tried already.
func (r *Router) candidate(q *request, s *server, st stage, strict bool) bool {
	if !s.ready || r.spared(s) {
		return false
	}
	if st == writing && q.alone && s.role != Both && !r.set.WritersRead {
		return false // nothing to fetch, and it can't read
	}
	if !strict {
		return true
	}
	if slices.Contains(q.tried, s) && (st == writing || q.state != s) {
		return false
	}
	once := st == writing && r.set.Classes[q.job.Class].Repeat == Unsafe
	return !r.suspect(s, once)
}

// send is the only way to an attempt. It keeps the rules 1 (nothing after the end, one attempt out at
// a time), 2 (no repeat of what may have run), 3 (no draining server) and 4 (the cold budget).
func (r *Router) send(q *request, s *server, st stage) bool {
	if q.closed || q.out != nil || !s.ready || q.attempts >= r.set.MaxAttempts || !r.mayRepeat(q, s) ||
		r.spared(s) {
		return false
	}
	s.coldAt, s.coldWork = r.now, r.workOf(q, st)/max(r.meanWork[st], 1)
	if st == reading && q.mayHold {
		r.act(Action{Kind: Release, Request: q.id})
		q.mayHold = false
	}
	q.stage, q.out, q.sentAt = st, s, r.now
	q.attempts++
	if s.pending == 0 {
		s.quietFrom = r.now
	}
	s.pending++
	if st == reading {
		q.tokens = r.fresh(q, s)
		s.waiting += q.tokens
		q.expect = r.readTime(s)
		r.askWriters(q, s)
	} else {
		q.tokens = q.job.Prompt
		s.streams++
		s.booked += q.tokens
		s.sent += q.tokens
		q.expect = writeExpected
	}
	r.act(Action{Kind: Send, Request: q.id, Server: s.id, After: r.capFor(q)})
	return true
}

// mayRepeat is rule 2, for reads too: a repeat goes to the group that drops it, and arrives in its window.
func (r *Router) mayRepeat(q *request, s *server) bool {
	c := &r.set.Classes[q.job.Class]
	if !q.mayRun || c.Repeat == Safe {
		return true
	}
	if c.Repeat == Unsafe || r.now-q.runAt+r.set.DialTimeout >= c.Window { // the last byte comes after a dial
		return false
	}
	return c.Scope == ScopeAll || c.Scope == ScopeZone && q.runOn.zone == s.zone ||
		c.Scope == ScopeCell && q.runOn.cell == s.cell
}

// giveUp is the only way to a final answer of this router's own: refused where rule 2 lets it promise
// that a retry is harmless, else failed. Rule 1: at once, and once. The reason is for the log.
func (r *Router) giveUp(q *request, reason string) {
	if q.closed {
		return
	}
	c := &r.set.Classes[q.job.Class]
	if !q.mayRun || c.Repeat == Safe || c.Repeat == Keyed && c.Scope == ScopeAll {
		r.act(Action{Kind: Refuse, Request: q.id, After: r.set.MaxRetryAfter, Text: reason})
	} else {
		r.act(Action{Kind: Fail, Request: q.id, Text: reason})
	}
	r.close(q)
}

// close forgets a request. Rule 5: what may still be held for it is let go here, whatever ended it.
func (r *Router) close(q *request) {
	q.closed = true
	if q.mayHold {
		r.act(Action{Kind: Release, Request: q.id})
		q.mayHold = false
	}
	if q.out == nil {
		delete(r.requests, q.id)
	}
}

// --- cold servers ---

// cold tells whether a server may still be warming up.
func (r *Router) cold(s *server) bool { return s.since > 0 && r.now-s.since < r.set.ColdFor }

// spared tells whether a cold server has to be left alone for now.
func (r *Router) spared(s *server) bool {
	return r.cold(s) && r.now-s.coldAt < r.coldGap(s.role, s.coldWork)
}

// coldGap is the time to the next send to a cold server after one of the given work (1 is the mean). The
// budget is guessed from the work that a warm one does for this router (no failures), or did when
// the last was there: all may be cold. A router that has not seen answers yet sends nothing.
func (r *Router) coldGap(role Role, work float64) Duration {
	st := writing
	if role&Writer == 0 {
		st = reading
	}
	if warm := r.count(role, func(s *server) bool { return !r.cold(s) }); warm > 0 {
		r.perWarm[st] = r.dones[st].perSecond(r.now) / float64(warm)
	}
	window := float64(r.set.OverloadFor) / float64(Second)
	budget := r.set.FallMultiple * r.set.StartCapacity * r.perWarm[st] * window * float64(r.set.Routers)
	budget = coldMargin * budget * budget / (budget + coldChance) / float64(r.set.Routers)
	gap := work * window / max(budget, 1e-9) * float64(Second)
	return Duration(min(gap, float64(r.set.ColdFor)))
}

func (r *Router) workOf(q *request, st stage) float64 {
	if st == reading {
		return r.work[q.job.Class].prompt
	}
	return r.work[q.job.Class].answer
}

// --- health ---

// suspect: a server keeps silent while attempts wait, or is benched; what is sent once is no trial.
func (r *Router) suspect(s *server, once bool) bool {
	if s.pending > 0 && float64(r.now-s.quietFrom) > r.quietLimit(s) {
		return true
	}
	return s.bench > 0 && (once || r.now < s.until || s.pending > 0)
}

func (r *Router) quietLimit(s *server) float64 {
	expect := writeExpected
	if s.role == Reader {
		expect = r.readTime(s)
	}
	return max(quietTypical*r.usual(s.role, s)*expect, quietFloor*float64(r.leastAim))
}

func (r *Router) timeOf(s *server, role Role) bool {
	return s.role&role != 0 && s.ready && (s.answers >= slowSamples || r.many && s.answers > 0)
}

// usual is the median answer time of the servers of a role, without one of them. The order of the times is
// kept while none changes: it is asked for every server that an event looks at.
func (r *Router) usual(role Role, but *server) float64 {
	if !r.timed[role] {
		r.timed[role], r.times[role] = true, r.times[role][:0]
		for _, s := range r.order {
			if r.timeOf(s, role) {
				r.times[role] = append(r.times[role], s.answer)
			}
		}
		slices.Sort(r.times[role])
	}
	times := r.times[role]
	n, gap := len(times), len(times)
	if but != nil && n > 0 && r.timeOf(but, role) {
		gap, _ = slices.BinarySearch(times, but.answer)
		n--
	}
	switch {
	case n == 0:
		return 0
	case gap <= n/2:
		return times[min(n/2+1, len(times)-1)]
	}
	return times[n/2]
}

func (r *Router) median(role Role, of func(*server) float64) float64 {
	var times []float64
	for _, s := range r.order {
		if r.timeOf(s, role) {
			times = append(times, of(s))
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

func (r *Router) learn(s *server, spent float64) {
	r.timed = [Both + 1]bool{}
	if s.answers == 0 {
		s.answer = spent
	}
	s.answer += answerGain * (spent - s.answer)
	s.answers++
	s.answered = r.now
}

// good: a server has answered in so much time. A benched one is back if that is no longer slow.
func (r *Router) good(q *request, s *server, spent float64) {
	if mean, work := &r.meanWork[q.stage], r.workOf(q, q.stage); !r.cold(s) {
		if *mean == 0 {
			*mean = work
		}
		*mean += mixGain * (work - *mean)
		r.dones[q.stage].add(r.now, work/max(*mean, 1))
		r.coldGap(s.role, 1) // notes what a warm one does
	}
	s.failing *= 1 - failGain
	usual := r.usual(s.role, s)
	if s.bench > 0 {
		s.answer = spent
	}
	r.learn(s, spent)
	slow := usual > 0 && s.answer > slowTimes*usual
	switch {
	case slow && s.answers >= slowSamples:
		r.benchIt(s, false)
	case s.bench > 0:
		s.bench, s.failing = 0, failAfterTrial
	}
}

// bad: an attempt at a server has failed. With many routers the next one here would tell too late.
func (r *Router) bad(s *server, dead bool) {
	s.failing += failGain * (1 - s.failing)
	if dead || s.failing > failLimit || s.bench > 0 || r.many {
		r.benchIt(s, dead)
	}
}

// benchIt leaves a server out for a while, longer each time that its trial fails.
func (r *Router) benchIt(s *server, dead bool) {
	if s.bench > 0 && r.now < s.until {
		return
	}
	sound := r.count(s.role, func(t *server) bool { return t.bench == 0 })
	if !dead && s.bench == 0 && 2*(sound-1) < r.count(s.role, func(*server) bool { return true }) {
		return // when half of a pool looks bad it is load, and leaving servers out makes it worse
	}
	s.bench = min(max(2*s.bench, r.remembered(firstBench)), r.remembered(longestBench))
	s.until = r.now + s.bench
}

// count tells how many ready servers of a role are as wanted.
func (r *Router) count(role Role, wanted func(*server) bool) (n int) {
	for _, s := range r.order {
		if s.ready && s.role&role != 0 && wanted(s) {
			n++
		}
	}
	return n
}

// --- asking ---

// asks tells whether servers are asked before they are picked: by many routers, where it is cheap.
func (r *Router) asks() bool { return r.many && r.set.Probing && r.set.ProbeFee*askMost <= askPoints }

// askWriters asks writers near a reader, so that the refusal and the pick go by what they say then.
func (r *Router) askWriters(q *request, from *server) {
	if !r.asks() || q.from != nil && q.from.cell == from.cell {
		return
	}
	q.from = from
	q.asked = slices.DeleteFunc(q.asked, func(s *server) bool { return s.role != Reader })
	for range askPair {
		if s := r.pickWriter(q, false); s != nil {
			q.asked = append(q.asked, s)
			r.probe(s)
		}
	}
}

// ask asks the next readers of the walk from a key's home for their load, and tells whether the request has
// to wait for an answer. No second time-out is waited for, and none by who has little time left.
func (r *Router) ask(q *request) bool {
	roomy := func(s *server) bool { return s.role == Reader && r.told(s) && r.hasRoom(q, s) }
	if !r.asks() || r.now-q.arrived > r.set.DialTimeout || q.job.Deadline-r.now < 2*r.set.DialTimeout ||
		slices.ContainsFunc(q.asked, roomy) {
		return false
	}
	var walk []*server
	for _, s := range r.order {
		if s.role == Reader && r.candidate(q, s, reading, true) && !slices.Contains(q.asked, s) {
			walk = append(walk, s)
		}
	}
	slices.SortFunc(walk, func(a, b *server) int { return cmp.Compare(q.nearness(b), q.nearness(a)) })
	waits := false
	if len(walk) > 0 && len(q.asked) == 0 {
		r.askWriters(q, walk[0])
	}
	for _, s := range walk[:max(0, min(askPair, askPair+askMost-len(q.asked), len(walk)))] {
		q.asked = append(q.asked, s)
		if !r.told(s) {
			waits = true
			r.probe(s)
		}
	}
	if q.askAt = r.now; waits {
		r.asking = append(r.asking, q)
	}
	return waits
}

func (r *Router) probe(s *server) {
	if !s.probing {
		s.probing, s.probedAt = true, r.now
		r.act(Action{Kind: Probe, Server: s.id})
	}
}

// heard goes on with the requests that wait for no answer any more.
func (r *Router) heard() {
	waiting := r.asking
	r.asking = nil
	for _, q := range waiting {
		if slices.ContainsFunc(q.asked, func(s *server) bool { return s.probing && s.probedAt <= q.askAt }) {
			r.asking = append(r.asking, q)
		} else if !q.closed && !r.ask(q) {
			r.admit(q)
		}
	}
}

// --- probes ---

// tick looks after what no event brings up.
func (r *Router) tick() {
	r.act(Action{Kind: WakeMe, After: tickEvery})
	if r.unwatched && r.random() < watchChance {
		r.unwatched = false
		r.act(Action{Kind: Watch})
	}
	if !r.set.Probing {
		return
	}
	for ; r.probes >= 1; r.probes-- {
		var next *server
		for _, s := range r.order {
			if s.ready && !s.probing && (next == nil || s.probedAt < next.probedAt) {
				next = s
			}
		}
		if next == nil || r.now-next.probedAt < probeFastest {
			return
		}
		r.probe(next)
	}
}

func (r *Router) probed(ev *Event) {
	s := r.servers[ev.Server]
	if s == nil {
		return
	}
	s.probing = false
	if ev.Outcome == Served {
		r.report(s, ev.Report)
	} else {
		r.bad(s, ev.Outcome == ConnectFailed)
	}
	r.heard()
}

// report takes in a load report. One that repeats the last share is the old one told again.
func (r *Router) report(s *server, rep Report) {
	if rep.MemoryShare >= 0 && rep.MemoryShare != s.share {
		s.share, s.sent = rep.MemoryShare, 0
	}
	if rep.WaitingK >= 0 || rep.MemoryShare >= 0 {
		s.queue, s.toldAt = max(0, rep.WaitingK)*thousand, r.now
	}
}

// aim is the time within which a request's first token is wanted.
func (r *Router) aim(q *request) Duration {
	c := &r.set.Classes[q.job.Class]
	return c.Aim + Duration(float64(c.AimPerK)*q.job.Prompt/thousand)
}

// readTime is how long the own tokens that wait at a reader should take to read.
func (r *Router) readTime(s *server) float64 { return (r.backlog(s) + paceTokens) * r.pace }

// capFor is a time-out: a share of the aim, well over the usual; what can't be repeated waits to the end.
func (r *Router) capFor(q *request) Duration {
	left := q.job.Deadline - r.now
	share, role := readCap, Reader
	if q.stage == writing {
		share, role = writeCap, Writer
	}
	if r.again < 1 || q.stage == writing && r.set.Classes[q.job.Class].Repeat == Unsafe {
		return max(left, 1)
	}
	limit := Duration(max(share*float64(r.aim(q)), capTypical*r.usual(role, nil)*q.expect))
	return max(min(limit, left), 1)
}

// rate counts what happens, older events less.
type rate struct {
	sum      float64
	from, at Time
}

func (c *rate) add(now Time, n float64) {
	if c.sum == 0 {
		c.from = now
	}
	c.sum, c.at = c.sum*decay(now-c.at, rateSpan)+n, now
}

func (c *rate) perSecond(now Time) float64 {
	seen := max(1-decay(now-c.from, rateSpan), 1/float64(rateSpan/Second)) // the part that was lived through
	return c.sum * decay(now-c.at, rateSpan) / (seen * float64(rateSpan) / float64(Second))
}

// decay is what is left of a weight after a time.
func decay(t, span Duration) float64 { return math.Exp(-float64(t) / float64(span)) }

// mix scrambles a number (the finisher of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// random is the next number in [0, 1) of this router's own source.
func (r *Router) random() float64 {
	r.rng += 0x9e3779b97f4a7c15
	return float64(mix(r.rng)>>11) / (1 << 53)
}
