package decide

// The choice of a reader: prefix home, spill, fewest waiting.

// pickReader walks from a key's home to the first under the spill bound, else takes the one with the fewest.
func (r *Router) pickReader(q *request) *server {
	for pass := range 3 {
		strict, among := pass < 2, r.readers
		if pass == 0 { // first those that were asked
			among = q.asked
		}
		if s := r.home(q, among, strict); s != nil {
			return s
		}
		if s := r.fewest(q, among, strict); s != nil {
			return s
		}
	}
	return nil
}

// home is the reader that is nearest to a key's home and has room. Whether one may be picked is looked at
// only where it is nearer than the best so far, which is rare: readers are many.
func (r *Router) home(q *request, among []*server, strict bool) (home *server) {
	nearest := uint64(0)
	for _, s := range among {
		if near := q.nearness(s); (home == nil || near > nearest) && s.role == Reader &&
			r.candidate(q, s, reading, strict) && r.hasRoom(q, s) {
			home, nearest = s, near
		}
	}
	return home
}

// fewest is the reader with the fewest tokens waiting; of equals the one of the lowest id.
func (r *Router) fewest(q *request, among []*server, strict bool) (fewest *server) {
	least := 0.0
	for _, s := range among {
		if s.role != Reader {
			continue
		}
		n := r.backlog(s)
		if fewest != nil && (n > least || n == least && s.id > fewest.id) {
			continue
		}
		if r.candidate(q, s, reading, strict) {
			fewest, least = s, n
		}
	}
	return fewest
}

// nearness orders the readers in the walk from a key's home.
func (q *request) nearness(s *server) uint64 { return mix(q.key ^ s.hash) }

// fresh guesses how many tokens of a prompt a reader has not kept.
func (r *Router) fresh(q *request, s *server) float64 {
	kept := max(s.kept[q.key], s.kept[q.job.SessionID])
	return max(1, q.job.PromptTokens-max(kept, r.found*q.job.PrefixTokens))
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
