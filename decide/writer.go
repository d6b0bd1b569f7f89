package decide

// The choice of a writer: fit, fewest own streams, lowest booked cost, smallest footprint; distances.

import "slices"

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
