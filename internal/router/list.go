package router

// Changes of the server list.

import (
	"slices"
	"strings"

	"mintdoor/decide"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"
)

// maxLoggedEngines is how many engines one log line names.
const maxLoggedEngines = 5

// logReadyAgain logs which engines that drained are ready again.
func (r *Router) logReadyAgain(changes []discovery.Engine) {
	var names []string
	for _, e := range changes {
		i, listed := slices.BinarySearchFunc(r.list, e.Name, func(old discovery.Engine, name string) int {
			return strings.Compare(old.Name, name)
		})
		if listed && e.State == decide.Ready && r.list[i].State != decide.Ready {
			names = append(names, e.Name)
		}
	}
	if len(names) > 0 {
		r.log.Info("engines that drained are ready again", "count", len(names), "first", names[:min(len(names), maxLoggedEngines)])
	}
}

// handleListUpdate handles a discovery update: a new server list, or an error if none could be fetched.
func (r *Router) handleListUpdate(u *discovery.Update) {
	if u.Err != nil {
		if !r.listFailing {
			r.log.Warn("discovery fails; keeping the last server list", "err", u.Err)
		}
		r.listFailing = true
		r.notifyModule(&decide.Event{Kind: decide.ListFailed, Report: engine.NoReport()})
		return
	}
	if r.listFailing {
		r.log.Info("discovery answers again")
	}
	r.listFailing = false
	changes := discovery.Diff(r.list, u.Engines)
	if len(changes) == 0 {
		return
	}
	r.logReadyAgain(changes)
	r.list = u.Engines
	ready := int64(0)
	for i := range changes {
		e := &changes[i]
		if e.State == decide.Gone {
			if old := r.servers[e.ID()]; old != nil {
				old.withdraw(r.now)
			}
			delete(r.servers, e.ID())
			r.cfg.Engines.ForgetEngine(e.Addr)
			continue
		}
		s := &server{name: e.Name, addr: e.Addr, startedAt: e.StartedAt}
		if old := r.servers[e.ID()]; old != nil {
			restarted := old.addr != e.Addr || !old.startedAt.Equal(e.StartedAt)
			if restarted {
				r.cfg.Engines.ForgetEngine(old.addr) // its connections belong to a process that no longer exists
			}
			if restarted || e.State != decide.Ready {
				old.withdraw(r.now)
			}
		}
		if k := r.kindIndex(e.Kind); k >= 0 {
			s.role = r.cfg.Settings.Kinds[k].Role
		}
		r.servers[e.ID()] = s
		r.cfg.Engines.EngineListed(e.Addr)
	}
	for i := range r.list {
		if r.list[i].State == decide.Ready {
			ready++
		}
	}
	r.counts.engines.Store(ready)
	r.log.Info("server list updated", "changes", len(changes), "listed", len(r.list), "ready", ready)
	r.notifyModule(&decide.Event{Kind: decide.ListChanged, Servers: r.moduleListings(changes), Report: engine.NoReport()})
}

// kindIndex returns the index in the settings of the kind with the given name, or -1.
func (r *Router) kindIndex(name string) int {
	for i, k := range r.cfg.Kinds {
		if k == name {
			return i
		}
	}
	return -1
}

// moduleListings converts engines to the module's representation.
func (r *Router) moduleListings(list []discovery.Engine) []decide.Listing {
	out := make([]decide.Listing, 0, len(list))
	for i := range list {
		e := &list[i]
		l := decide.Listing{Server: e.ID(), Zone: discovery.LocationNumber(e.Zone), Cell: discovery.LocationNumber(e.Cell),
			Kind: r.kindIndex(e.Kind), Condition: e.State, Weight: e.Weight}
		if l.Kind < 0 {
			continue // its kind is not in the settings, so its stages are unknown
		}
		if !e.StartedAt.IsZero() {
			l.StartedAt = decide.Time(e.StartedAt.UnixNano())
		}
		out = append(out, l)
	}
	return out
}
