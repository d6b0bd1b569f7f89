package decide

// The tuned constants, with the reason for each.

// Choice of readers and writers.
const (
	// fitFraction is the highest projected memory use at which a writer still fits: answers grow later, and
	// other routers book load that this one does not see.
	fitFraction = 0.9
	// streamWeight is the weight W of a stream in a writer's cost D + W*N, with D booked tokens and N own
	// streams. Own streams are compared first, so N never differs here.
	streamWeight = 0.0
	// spilloverShare is the part of the shortest first-token target that reading a reader's queue may take
	// before requests spill over to another reader, assuming that all routers have as much waiting there.
	spilloverShare = 0.4
	// initialNsPerToken is the read time per token, in ns, assumed before any read has been seen.
	initialNsPerToken = 100e3
	// fasterReadGain is the weight of a read that was faster than the average: it met no queue.
	// slowerReadStep is the relative increase after a slower one. A plain mean would lower the spillover
	// bound under load, when scattering shared prefixes over the readers costs most.
	fasterReadGain = 0.2
	slowerReadStep = 0.002
	// minReadTokens is the least size of a read that is assumed: below it the fixed time of a read prevails.
	minReadTokens = 256.0
	// crossCellPenalty and crossZonePenalty are added to the own streams of a writer in another cell or in
	// another zone than the reader, because the transfer crosses a shared link and has a cost.
	crossCellPenalty = 1.0
	crossZonePenalty = 2.0
	// fewRouters is the number of routers up to which these penalties apply in full. With more routers each
	// has fewer streams, and the same penalty would send all KV states of a cell with many readers to the few
	// writers of that cell.
	fewRouters = 4.0
	// crowdedCellPenalty is the penalty, in streams, of a writer whose cell can take no more. It is below 1
	// so that own streams count first.
	crowdedCellPenalty = 0.5
	// maxRetention is the longest time for which anything learned of a server is kept, however rarely it is
	// used.
	maxRetention = 16 * Second
	// congestionSpan is how long link congestion is remembered while no KV state is transferred there.
	congestionSpan = 5 * Second
)

// Timeouts.
const (
	// readTimeoutShare is the part of the first-token target that a read may take, which leaves time for one
	// more attempt within the target. writeTimeoutShare is the same for the first token of a writer.
	readTimeoutShare  = 0.5
	writeTimeoutShare = 0.6
	// timeoutBudgetPart is the fraction of requests that may be cut off by a timeout for another attempt, and
	// maxTimeoutBudget how many at once. More timeouts show a shortage of servers, not a fault of single
	// ones.
	timeoutBudgetPart = 0.03
	maxTimeoutBudget  = 2.0
	// calmFactor is the highest typical response time, in multiples of the expected time, of servers without
	// long queues.
	calmFactor = 4.0
	// timeoutFactor is the shortest timeout in multiples of the typical time, so that load alone causes none.
	timeoutFactor = 4.0
	// waitFactor times the typical time has to fit into waitLimit, or else waits are not cut short to it.
	waitFactor = 1.25
)

// Health.
const (
	// silenceFactor is how long a server may take, in multiples of the typical time, before a lack of any
	// response makes it suspect, but at least minSilenceShare of the shortest first-token target.
	silenceFactor   = 4.0
	minSilenceShare = 0.25
	// slowFactor is the response time, in multiples of the median of its peers, that makes a server suspect.
	slowFactor = 3.0
	// firstTokenUnit is the unit, in ns, of times to a first token. Reads are measured by their tokens.
	firstTokenUnit = 50e6
	// minSamples is how many responses it takes to judge a server by its times, unless there are many
	// routers.
	minSamples = 4
	// averageGain is the weight of a new value in moving averages, which thus follow about five values.
	averageGain = 0.2
	// failureGain is the weight of an attempt in the failure rate, and failureLimit the rate above which a
	// server is suspect: two failures in a row, or a third of the recent attempts, are enough.
	failureGain  = 0.2
	failureLimit = 0.3
	// failureAfterTrial is the failure rate of a server that has just recovered: one failure makes it suspect
	// again.
	failureAfterTrial = 0.25
	// minEjection is how long a server is ejected at first, until a trial request.
	minEjection = 1 * Second
	// holdMargin, in ns, is what remains of the 300 ms that sockets add to the time limit of rule 5 after
	// MaxPause and the call that releases the hold.
	holdMargin = 75e6
	// maxEjection is how long a server is ejected at most, however often its trial requests fail.
	maxEjection = 8 * Second
)

// Slow start.
const (
	// slowStartMargin is the part of its share of a slow-start budget that a router uses, since the traffic
	// of routers is uneven.
	slowStartMargin = 0.9
	// slowStartDamping holds back sends from a small budget b in proportion, by b/(b+slowStartDamping).
	slowStartDamping = 1.0
	// meanWorkGain is the weight of a send in the mean work. It is small because rare heavy classes must
	// count.
	meanWorkGain = 0.05
	// rateSpan is the time constant of the work rates from which slow-start budgets are estimated.
	rateSpan = 5 * Second
)

// Admission control.
const (
	// admitShare is the part of the first-token target that the predicted wait, beyond the read itself, may
	// reach before requests are refused. The greater admitPower is, the faster the refusals grow above that.
	// Some requests are always admitted, so that the router notices when the overload ends.
	admitShare = 0.45
	admitPower = 4.0
	// fadeSpan is how long a response time counts in full. After that it decays over the same span.
	fadeSpan = 2 * Second
	// refuseFromUse and refuseAllUse are the lowest projected memory use of any writer at which requests of
	// the lowest value begin to be refused and are all refused: full writers evict streams and read them
	// again. For requests of the highest value both are higher by highValueSpare.
	refuseFromUse  = 0.9
	refuseAllUse   = 0.98
	highValueSpare = 0.04
	// maxRouterDelay is how long a request may have waited for the router itself. After that it is refused,
	// so that those already accepted are handled in time. It is longer than a pause of the process may be.
	maxRouterDelay = 2 * MaxPause
	// quotaSlack is how many times an even part of a tenant's quota each router admits, as the parts of the
	// routers differ. quotaBurst is how many seconds' worth of that may come at once.
	quotaSlack = 1.5
	quotaBurst = 2.0
	// A request over its tenant's quota is judged as if the predicted wait were overQuotaFactor times as long
	// and the writers had overQuotaRoom less of their memory.
	overQuotaFactor = 2.0
	overQuotaRoom   = 0.15
	// answerGrowth is the memory of a stream, its answer so far included, per booked prompt token.
	answerGrowth = 1.1
)

// Probes and memory of the router.
const (
	// maxProbeCost is the part of the result that probes may cost (0.004 would be 0.4 percent).
	maxProbeCost = 0.001
	// maxProbesEarned is how many probes a request earns at most, however cheap they are.
	maxProbesEarned = 20.0
	// minProbeInterval is the shortest time between two probes of one server.
	minProbeInterval = 300 * Second / 1000
	// One of many routers sees too little of a reader to know its queue. It therefore probes probePair
	// readers before a read, and maxProbedReaders in all while those are above the spillover bound.
	// maxRoutingProbeCost is the part of the result that these probes may cost.
	probePair           = 2
	maxProbedReaders    = 8
	maxRoutingProbeCost = 0.03
	// reportFreshness is how long a load report is taken as current.
	reportFreshness = 200 * Second / 1000
	// watchChance is the probability, at each periodic check, that a failed watch of the server list is
	// repeated. It spreads the new watches of all routers over about a second.
	watchChance = 0.1
	// maxCachedEntries is how many prefixes are remembered of a reader's cache.
	maxCachedEntries = 4096
	// forgetAfter is how long a removed server without attempts in flight is remembered.
	forgetAfter = 600 * Second
	// checkInterval is the time between periodic checks, which find what no event reports.
	checkInterval = 100 * Second / 1000
	// thousand is the number of prompt tokens to which FirstTokenTargetPerK and reported queues refer.
	thousand = 1000.0
)
