package decide

// The choice of a reader: prefix home, spill, fewest waiting.

import "slices"

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
