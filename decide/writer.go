package decide

// The choice of a writer: fit, fewest own streams, lowest booked cost, smallest footprint; distances.

import "slices"

// pickWriter: among the writers that fit the fewest own streams, then the lowest D + W*N, ties at
// random; when none fits, the smallest resulting footprint. Those that were asked come first, and D is what
// they said then; with heard false, the next to be asked is picked.
func (r *Router) pickWriter(q *request, heard bool) *server {
	for pass := range 3 {
		c := writerChoice{router: r, request: q, strict: pass < 2, asked: pass == 0, heard: heard,
			far: [3]float64{r.far(0), r.far(1), r.far(2)}}
		among := r.writers
		if c.asked {
			among = q.asked
		}
		for _, s := range among {
			c.look(s)
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
	router               *Router
	request              *request
	strict, asked, heard bool
	far                  [3]float64 // handicaps by distance

	pick          *server
	streams, cost float64
	ties          float64
}

// may tells whether a writer may be picked.
func (c *writerChoice) may(s *server) bool {
	if s.role&Writer == 0 {
		return false
	}
	one := slices.Contains(c.request.asked, s)
	if c.asked && !(one && s.toldAt >= c.request.arrived) || one && !c.heard {
		return false
	}
	return c.router.candidate(c.request, s, writing, c.strict)
}

// look compares a writer with the best so far. Whether it may be picked is looked at only where it is no
// worse.
func (c *writerChoice) look(s *server) {
	r, q := c.router, c.request
	distance := distance(q, s)
	n := float64(s.streams)
	if !c.asked {
		n += c.far[distance]
	}
	if c.pick != nil && n > c.streams {
		return
	}
	print := r.footprint(s, q.job.PromptTokens)
	if s.share >= 0 && print > fitFraction || !c.may(s) {
		return
	}
	cost := print
	if !c.asked {
		n += r.crowded(q, s)
		cost = s.booked + streamWeight*float64(s.streams)
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
		print := c.router.footprint(s, c.request.job.PromptTokens)
		if (pick == nil || print < least) && c.may(s) {
			pick, least = s, print
		}
	}
	return pick
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
