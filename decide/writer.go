package decide

// The choice of a writer: fit, fewest own streams, lowest booked cost, smallest footprint; distances.

import "slices"

// pickWriter: among the writers that fit the fewest own streams, then the lowest D + W*N, ties at
// random; when none fits, the smallest resulting footprint. Those that were asked come first, and D is what
// they said then; with heard false, the next to be asked is picked.
func (r *Router) pickWriter(q *request, includeProbed bool) *server {
	for pass := range 3 {
		c := writerChoice{router: r, request: q, strict: pass < 2, probedOnly: pass == 0, includeProbed: includeProbed,
			penalties: [3]float64{r.transferPenalty(0), r.transferPenalty(1), r.transferPenalty(2)}}
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

// writerChoice is the best writer so far.
type writerChoice struct {
	router                            *Router
	request                           *request
	strict, probedOnly, includeProbed bool
	penalties                         [3]float64 // handicaps by distance

	pick          *server
	streams, cost float64
	ties          float64
}

// mayPick tells whether a writer mayPick be picked.
func (c *writerChoice) mayPick(s *server) bool {
	if s.role&Writer == 0 {
		return false
	}
	one := slices.Contains(c.request.probed, s)
	if c.probedOnly && !(one && s.reportedAt >= c.request.arrivedAt) || one && !c.includeProbed {
		return false
	}
	return c.router.isCandidate(c.request, s, writing, c.strict)
}

// compare compares a writer with the best so far. Whether it may be picked is looked at only where it is no
// worse.
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
	print := r.projectedUse(s, q.job.PromptTokens)
	if s.memoryUse >= 0 && print > fitFraction || !c.mayPick(s) {
		return
	}
	cost := print
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

// fallback is the writer with the smallest resulting footprint, for when none fits.
func (c *writerChoice) fallback(among []*server) (pick *server) {
	least := 0.0
	for _, s := range among {
		print := c.router.projectedUse(s, c.request.job.PromptTokens)
		if (pick == nil || print < least) && c.mayPick(s) {
			pick, least = s, print
		}
	}
	return pick
}

// projectedUse is the share of a writer's memory with tokens more: its last report and what was sent since.
func (r *Router) projectedUse(s *server, tokens float64) float64 {
	if s.memoryTokens <= 0 {
		return max(0, s.memoryUse)
	}
	if r.probesBeforeRouting() {
		tokens += s.reportedQueue // waits there by its own word
	}
	return max(0, max(0, s.memoryUse)+s.sentTokens/s.memoryTokens) + tokens/s.memoryTokens
}

// distance tells how far a state has to go to a writer: 0 within its cell, 1 within its zone, 2 to another.
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

// transferPenalty is the handicap, in streams, of a writer across a link; it grows with jams and fades without news.
func (r *Router) transferPenalty(d int) float64 {
	base := [...]float64{0, crossCellPenalty, crossZonePenalty}[d] * min(1, fewRouters/float64(r.cfg.Routers))
	late := r.transferTime[d]/max(r.transferTime[0], firstTokenUnit) - 1
	return base * (1 + max(0, late)*decay(r.now-r.transferAt[d], congestionSpan))
}

// cellPenalty is a handicap under one stream, lest many routers always take the nearest writer. A cell with less
// of the writers than of the readers keeps as many of its states; the rest goes, by chance, the other way.
func (r *Router) cellPenalty(q *request, s *server) float64 {
	chance := 1 / max(r.cellRoom[s.cell], 1)
	if distance(q, s) == 0 {
		chance = 1 - r.cellRoom[s.cell]
	}
	if r.random() < chance {
		return crowdedCellPenalty
	}
	return 0
}

func (r *Router) recordTransfer(d int, spent Duration) {
	r.transferTime[d] += averageGain * (float64(spent) - r.transferTime[d])
	r.transferAt[d] = r.now
}
