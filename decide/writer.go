package decide

// The choice of a writer: enough memory, fewest own streams, lowest cost, lowest projected memory use; with
// penalties for transfers to other cells and zones.

import "slices"

// pickWriter returns, among the writers with enough memory, the one with the fewest own streams and then the
// lowest cost D + W*N (booked tokens, streamWeight, own streams), ties broken at random. If none has enough
// memory, it returns the one with the lowest projected use. Writers that were probed for the request and have
// reported are preferred, and their cost is the projected use by that report. Without includeProbed these are
// excluded, to find the next one to probe. It returns nil if there is no writer.
func (r *Router) pickWriter(q *request, includeProbed bool) *server {
	for pass := range 3 {
		c := writerChoice{router: r, request: q, strict: pass < 2, probedOnly: pass == 0,
			includeProbed: includeProbed,
			penalties:     [3]float64{r.transferPenalty(0), r.transferPenalty(1), r.transferPenalty(2)}}
		among := r.writers
		if c.probedOnly {
			among = q.probed
		}
		for _, s := range among {
			c.compare(s)
		}
		if c.pick != nil {
			return c.pick
		}
		if s := c.fallback(among); s != nil {
			return s
		}
	}
	return nil
}

// writerChoice finds the best of the writers that compare is called with.
type writerChoice struct {
	router                            *Router
	request                           *request
	strict, probedOnly, includeProbed bool
	penalties                         [3]float64 // in streams, by distance

	pick          *server
	streams, cost float64
	ties          float64
}

// mayPick reports whether a writer may be picked.
func (c *writerChoice) mayPick(s *server) bool {
	if s.role&Writer == 0 {
		return false
	}
	probed := slices.Contains(c.request.probed, s)
	if c.probedOnly && !(probed && s.reportedAt >= c.request.arrivedAt) || probed && !c.includeProbed {
		return false
	}
	return c.router.isCandidate(c.request, s, writing, c.strict)
}

// compare compares a writer with the best so far. Whether the writer may be picked is checked only if it is
// not worse.
func (c *writerChoice) compare(s *server) {
	r, q := c.router, c.request
	distance := distance(q, s)
	n := float64(s.streams)
	if !c.probedOnly {
		n += c.penalties[distance]
	}
	if c.pick != nil && n > c.streams {
		return
	}
	use := r.projectedUse(s, q.job.PromptTokens)
	if s.memoryUse >= 0 && use > fitFraction || !c.mayPick(s) {
		return
	}
	cost := use
	if !c.probedOnly {
		n += r.cellPenalty(q, s)
		cost = s.bookedTokens + streamWeight*float64(s.streams)
	}
	switch {
	case c.pick == nil || n < c.streams || n == c.streams && cost < c.cost:
		c.pick, c.streams, c.cost, c.ties = s, n, cost, 1
	case n == c.streams && cost == c.cost:
		c.ties++
		if r.random()*c.ties < 1 {
			c.pick = s
		}
	}
}

// fallback returns the writer with the lowest projected use, for the case that none has enough memory.
func (c *writerChoice) fallback(among []*server) (pick *server) {
	lowest := 0.0
	for _, s := range among {
		use := c.router.projectedUse(s, c.request.job.PromptTokens)
		if (pick == nil || use < lowest) && c.mayPick(s) {
			pick, lowest = s, use
		}
	}
	return pick
}

// projectedUse returns the fraction of a writer's memory in use with additional tokens, from its last report
// and what was sent since.
func (r *Router) projectedUse(s *server, tokens float64) float64 {
	if s.memoryTokens <= 0 {
		return max(0, s.memoryUse)
	}
	if r.probesBeforeRouting() {
		tokens += s.reportedQueue // reported as waiting there
	}
	return max(0, max(0, s.memoryUse)+s.sentTokens/s.memoryTokens) + tokens/s.memoryTokens
}

// distance returns how far a KV state has to be transferred to a writer: 0 within its cell, 1 within its
// zone, 2 to another zone.
func distance(q *request, s *server) int {
	from := q.stateAt
	if from == nil {
		from = q.probedNear
	}
	switch {
	case from == nil || from.cell == s.cell:
		return 0
	case from.zone == s.zone:
		return 1
	}
	return 2
}

// transferPenalty returns the penalty, in streams, of a writer at a distance. It grows with congestion of the
// links, and that part decays without new transfers.
func (r *Router) transferPenalty(d int) float64 {
	base := [...]float64{0, crossCellPenalty, crossZonePenalty}[d] * min(1, fewRouters/float64(r.cfg.Routers))
	delay := r.transferTime[d]/max(r.transferTime[0], firstTokenUnit) - 1
	return base * (1 + max(0, delay)*decay(r.now-r.transferAt[d], congestionSpan))
}

// cellPenalty returns a random penalty below one stream, so that not all of many routers always take the
// nearest writer. Within a cell its probability is 1-room: a cell with a smaller share of the writers than of
// the readers keeps only that part of its KV states, and the rest leaves it. For KV states of other cells it
// is 1/room, or 1 if the cell's room is not above 1.
func (r *Router) cellPenalty(q *request, s *server) float64 {
	probability := 1 / max(r.cellRoom[s.cell], 1)
	if distance(q, s) == 0 {
		probability = 1 - r.cellRoom[s.cell]
	}
	if r.random() < probability {
		return crowdedCellPenalty
	}
	return 0
}

// recordTransfer adds the time to a first token, which includes the transfer of the KV state over a distance.
func (r *Router) recordTransfer(d int, elapsed Duration) {
	r.transferTime[d] += averageGain * (float64(elapsed) - r.transferTime[d])
	r.transferAt[d] = r.now
}
