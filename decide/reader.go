package decide

// The choice of a reader: rendezvous hashing by prefix, spillover from busy readers, shortest queue.

// pickReader returns the first reader, in the rendezvous order of the request's prefix, that is below the
// spillover bound, or else the one with the shortest queue. Readers that were probed for the request are
// preferred. It returns nil if there is none.
func (r *Router) pickReader(q *request) *server {
	for pass := range 3 {
		strict, among := pass < 2, r.readers
		if pass == 0 { // first the probed ones
			among = q.probed
		}
		if s := r.preferredReader(q, among, strict); s != nil {
			return s
		}
		if s := r.shortestQueue(q, among, strict); s != nil {
			return s
		}
	}
	return nil
}

// preferredReader returns the reader with room that has the highest rendezvous score. Whether a reader may be
// picked is checked only if its score is above the best so far, which is rare, because there are many
// readers.
func (r *Router) preferredReader(q *request, among []*server, strict bool) (preferred *server) {
	highest := uint64(0)
	for _, s := range among {
		if score := q.rendezvousScore(s); (preferred == nil || score > highest) && s.role == Reader &&
			r.isCandidate(q, s, reading, strict) && r.hasRoom(q, s) {
			preferred, highest = s, score
		}
	}
	return preferred
}

// shortestQueue returns the reader with the fewest tokens waiting, and of equal ones the one with the lowest
// id.
func (r *Router) shortestQueue(q *request, among []*server, strict bool) (shortest *server) {
	fewest := 0.0
	for _, s := range among {
		if s.role != Reader {
			continue
		}
		n := r.backlog(s)
		if shortest != nil && (n > fewest || n == fewest && s.id > shortest.id) {
			continue
		}
		if r.isCandidate(q, s, reading, strict) {
			shortest, fewest = s, n
		}
	}
	return shortest
}

// rendezvousScore returns the score of a server for the request's prefix. Every router computes the same
// scores, so that all of them read one prefix at the same server.
func (q *request) rendezvousScore(s *server) uint64 { return mix(q.prefixKey ^ s.hash) }

// uncachedTokens estimates how many tokens of a prompt are not in a reader's prefix cache.
func (r *Router) uncachedTokens(q *request, s *server) float64 {
	cached := max(s.cachedTokens[q.prefixKey], s.cachedTokens[q.job.SessionID])
	return max(1, q.job.PromptTokens-max(cached, r.cachedShare*q.job.PrefixTokens))
}

// addCached notes that a reader has cached so many tokens of a prefix or session. When maxCachedEntries are
// noted it starts again with none.
func (s *server) addCached(key uint64, tokens float64) {
	if key == 0 || tokens <= 0 {
		return
	}
	if len(s.cachedTokens) >= maxCachedEntries {
		s.cachedTokens = map[uint64]float64{}
	}
	s.cachedTokens[key] = tokens
}
