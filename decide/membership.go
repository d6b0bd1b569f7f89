package decide

// What discovery tells of the servers.

import (
	"cmp"
	"slices"
)

// list takes in what discovery tells.
func (r *Router) list(ev *Event) {
	r.timed = [Both + 1]bool{}
	if ev.Kind == ListCached {
		r.act(Action{Kind: SetTimer, After: tickEvery})
		if r.set.PullMembership {
			r.act(Action{Kind: WatchList})
		}
	}
	if ev.Kind != ListChanged {
		for _, s := range r.order {
			r.setReady(s, false)
		}
	}
	for _, l := range ev.Servers {
		s := r.servers[l.Server]
		if s == nil {
			s = &server{id: l.Server, hash: mix(uint64(l.Server)), share: -1, since: l.StartedAt, leftAt: r.now,
				kept: map[uint64]float64{}}
			r.servers[l.Server] = s
			r.order = append(r.order, s)
			s.coldAt, s.coldWork = r.now, r.random()
			s.probedAt = r.now - Duration(r.random()*float64(Second)) // in no common order
		}
		s.zone, s.cell = l.Zone, l.Cell
		r.setReady(s, l.Condition == Ready)
		if l.Kind < len(r.set.Kinds) {
			s.role, s.memory = r.set.Kinds[l.Kind].Role, r.set.Kinds[l.Kind].Memory
		}
		if l.StartedAt != s.since {
			// Restarted: empty, cold, and what it was blamed for is past.
			s.since, s.share, s.sent, s.kept = l.StartedAt, -1, 0, map[uint64]float64{}
			s.bench, s.failing, s.answers = 0, 0, 0
			s.coldAt, s.coldWork = r.now, r.random() // not all routers at once
		}
	}
	slices.SortFunc(r.order, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	r.forget()
	r.sortByRole()
	r.countCells()
}

// sortByRole makes the lists of the servers that decisions choose from.
func (r *Router) sortByRole() {
	r.readers, r.writers = r.readers[:0], r.writers[:0]
	for _, s := range r.order {
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

func (r *Router) setReady(s *server, ready bool) {
	if s.ready && !ready {
		s.leftAt = r.now
	}
	s.ready = ready
}

// forget drops servers that left long ago, unless something is out there: a year of new ids fills the memory.
func (r *Router) forget() {
	r.order = slices.DeleteFunc(r.order, func(s *server) bool {
		if s.ready || s.pending > 0 || s.streams > 0 || s.probing || r.now-s.leftAt < forgetAfter {
			return false
		}
		delete(r.servers, s.id)
		return true
	})
}

// countCells sets the room of each cell: its part of the writers over its part of the readers.
func (r *Router) countCells() {
	const all = -1
	clear(r.room)
	readers, writers := map[int]float64{}, map[int]float64{}
	for _, s := range r.order {
		if s.ready && s.role == Reader {
			readers[s.cell]++
			readers[all]++
		} else if s.ready && s.role != 0 {
			writers[s.cell]++
			writers[all]++
		}
	}
	for _, s := range r.order {
		r.room[s.cell] = writers[s.cell] * readers[all] / max(readers[s.cell]*writers[all], 1e-9)
	}
}
