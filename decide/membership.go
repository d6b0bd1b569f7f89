package decide

// Changes of the server list.

import (
	"cmp"
	"slices"
)

// updateList applies an event that carries the server list or its changes.
func (r *Router) updateList(ev *Event) {
	r.timesSorted = [Both + 1]bool{}
	if ev.Kind == ListCached {
		r.emit(Action{Kind: SetTimer, After: checkInterval})
		if r.cfg.PullMembership {
			r.emit(Action{Kind: WatchList})
		}
	}
	if ev.Kind != ListChanged {
		for _, s := range r.byID {
			r.setReady(s, false)
		}
	}
	for _, l := range ev.Servers {
		s := r.servers[l.Server]
		if s == nil {
			s = &server{id: l.Server, hash: mix(uint64(l.Server)), memoryUse: -1, startedAt: l.StartedAt,
				leftAt: r.now, cachedTokens: map[uint64]float64{}}
			r.servers[l.Server] = s
			r.byID = append(r.byID, s)
			s.coldSentAt, s.coldSentWork = r.now, r.random()
			// At random, so that routers probe the servers in different orders.
			s.probedAt = r.now - Duration(r.random()*float64(Second))
		}
		s.zone, s.cell = l.Zone, l.Cell
		r.setReady(s, l.Condition == Ready)
		if l.Kind < len(r.cfg.Kinds) {
			s.role, s.memoryTokens = r.cfg.Kinds[l.Kind].Role, r.cfg.Kinds[l.Kind].Memory
		}
		if l.StartedAt != s.startedAt {
			// The server has restarted: it is empty and cold, and its earlier failures no longer count.
			s.startedAt, s.memoryUse, s.sentTokens, s.cachedTokens = l.StartedAt, -1, 0, map[uint64]float64{}
			s.ejection, s.failureRate, s.responses = 0, 0, 0
			s.coldSentAt, s.coldSentWork = r.now, r.random() // so that not all routers send to it at once
		}
	}
	slices.SortFunc(r.byID, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	r.forgetRemoved()
	r.groupByRole()
	r.updateCellRoom()
}

// groupByRole rebuilds the lists of ready readers and writers.
func (r *Router) groupByRole() {
	r.readers, r.writers = r.readers[:0], r.writers[:0]
	for _, s := range r.byID {
		switch {
		case !s.ready || s.role == 0:
		case s.role == Reader:
			r.readers = append(r.readers, s)
		default:
			r.writers = append(r.writers, s)
		}
	}
	r.warm.until = 0
}

// setReady sets whether a server is ready, and notes when it stops being so.
func (r *Router) setReady(s *server, ready bool) {
	if s.ready && !ready {
		s.leftAt = r.now
	}
	s.ready = ready
}

// forgetRemoved drops servers that were removed long ago and have nothing in flight. Otherwise the servers
// that are replaced in the course of a year would fill the memory.
func (r *Router) forgetRemoved() {
	r.byID = slices.DeleteFunc(r.byID, func(s *server) bool {
		if s.ready || s.unanswered > 0 || s.streams > 0 || s.probeInFlight || r.now-s.leftAt < forgetAfter {
			return false
		}
		delete(r.servers, s.id)
		return true
	})
}

// updateCellRoom sets the room of each cell: its share of all writers divided by its share of all readers.
func (r *Router) updateCellRoom() {
	const all = -1
	clear(r.cellRoom)
	readers, writers := map[int]float64{}, map[int]float64{}
	for _, s := range r.byID {
		if s.ready && s.role == Reader {
			readers[s.cell]++
			readers[all]++
		} else if s.ready && s.role != 0 {
			writers[s.cell]++
			writers[all]++
		}
	}
	for _, s := range r.byID {
		r.cellRoom[s.cell] = writers[s.cell] * readers[all] / max(readers[s.cell]*writers[all], 1e-9)
	}
}
