package decide

// The tuned values, each with its reason.

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
	waitTypical    = 1.25        // times the usual: where that is over waitLimit, waits are not cut short
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
	holdSlack      = 75e6       // ns of the 300 ms that sockets add to rule 5, less HoldUp and letting go
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
	fullLow   = 0.9
	fullHigh  = 0.98
	fullSpare = 0.04
	// waitedLong: a request that has waited so long for the router itself is refused, so that those taken are
	// looked after in time. It is over what a process may be held up.
	waitedLong   = 2 * MaxPause
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
