package chat

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mintdoor/internal/discovery/watch"
)

// Directory is discovery's list, from which all agents tell. It is safe for concurrent use.
type Directory struct {
	mu       sync.Mutex
	revision int64
	members  map[string]watch.Member
	order    []string
	changes  []change
	changed  chan struct{} // closed at the next change
	down     int           // outages that are under way
	outages  []Interval
}

// change is one entry of the directory's history.
type change struct {
	revision int64
	at       time.Time
	member   watch.Member
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{members: map[string]watch.Member{}, changed: make(chan struct{})}
}

// Put adds or changes a member; with the phase Removed it leaves the list.
func (d *Directory) Put(members ...watch.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, m := range members {
		if _, known := d.members[m.ID]; !known {
			d.order = append(d.order, m.ID)
		}
		d.members[m.ID] = m
		d.changes = append(d.changes, change{d.revision, time.Now(), m})
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// BeginOutage makes all agents silent until Up was called as often.
func (d *Directory) BeginOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down++; d.down == 1 {
		d.outages = append(d.outages, Interval{From: time.Now()})
	}
}

// EndOutage ends an outage. Calls that were open in it stay silent; those that come are answered.
func (d *Directory) EndOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down--; d.down == 0 {
		d.outages[len(d.outages)-1].Until = time.Now()
	}
}

// since returns what is newer than a revision, or the whole list for a negative one, and what tells of the next change.
func (d *Directory) since(revision int64) (list watch.List, at []change, next <-chan struct{}, outages int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list = watch.List{Revision: d.revision, Complete: revision < 0, Members: []watch.Member{}}
	if revision < 0 {
		for _, id := range d.order {
			if m := d.members[id]; m.Phase != watch.Removed {
				list.Members = append(list.Members, m)
			}
		}
	}
	for _, c := range d.changes {
		if c.revision > revision {
			at = append(at, c)
			if revision >= 0 {
				list.Members = append(list.Members, c.member)
			}
		}
	}
	outages = 2 * len(d.outages) // odd while one is under way
	if d.down > 0 {
		outages--
	}
	return list, at, d.changed, outages
}

// Notification is the word of discovery about one member, as it was written to a router.
type Notification struct {
	Member   watch.Member
	At       time.Time // written to the router
	ListedAt time.Time // since when discovery has it
}

// Agent tells one router of the directory.
type Agent struct {
	directory *Directory
	addresses func(member string) string // where this router reaches a member
	server    *http.Server
	listener  net.Listener
	done      chan struct{}

	mu       sync.Mutex
	told     []Notification
	revision int64 // up to which told has all
	silenced chan struct{}
	conns    map[net.Conn]struct{}
	struck   map[string]int
	open     int
}

// NewAgent starts an agent for a router. host is where it listens.
func NewAgent(d *Directory, host string, addresses func(member string) string) (*Agent, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{directory: d, addresses: addresses, listener: l, done: make(chan struct{}), silenced: make(chan struct{}),
		conns: map[net.Conn]struct{}{}, struck: map[string]int{}}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve), ConnState: a.track}
	go func() {
		defer close(a.done)
		a.server.Serve(l)
	}()
	return a, nil
}

// Addr is where the router asks.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// StopAccepting takes no new connections; open ones go on until Close.
func (a *Agent) StopAccepting() { a.listener.Close() }

// Close ends the agent.
func (a *Agent) Close() {
	a.server.Close()
	<-a.done
}

func (a *Agent) track(c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case http.StateNew:
		a.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(a.conns, c)
	}
}

// ResetWatches resets all connections to the agent.
func (a *Agent) ResetWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		a.struck["watches reset"]++
		reset(c)
	}
}

// HangWatches makes the calls that are open now silent for good; new ones are answered.
func (a *Agent) HangWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.struck["watches silent"] += a.open
	close(a.silenced)
	a.silenced = make(chan struct{})
}

// FaultCounts tells how often each fault has met a call.
func (a *Agent) FaultCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]int{}
	for k, n := range a.struck {
		out[k] = n
	}
	return out
}

// Notifications returns what the router was told.
func (a *Agent) Notifications() []Notification {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Notification(nil), a.told...)
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != watch.ListPath {
		http.NotFound(w, r)
		return
	}
	revision := int64(-1)
	timeout := time.Duration(0)
	if v := r.URL.Query().Get("since"); v != "" {
		revision, _ = strconv.ParseInt(v, 10, 64)
		ms, _ := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64)
		timeout = time.Duration(ms) * time.Millisecond
	}
	a.mu.Lock()
	silenced := a.silenced
	a.open++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.open--
		a.mu.Unlock()
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	_, _, _, began := a.directory.since(revision)
	for over := timeout == 0; ; {
		list, changes, next, outages := a.directory.since(revision)
		if outages != began || outages%2 == 1 { // calls that meet an outage are never answered
			<-r.Context().Done()
			return
		}
		if over || list.Complete || len(changes) > 0 {
			a.tell(w, &list, changes)
			return
		}
		select {
		case <-next:
		case <-timer.C:
			over = true
		case <-silenced:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// tell writes a list and records what it says.
func (a *Agent) tell(w http.ResponseWriter, list *watch.List, changes []change) {
	for i := range list.Members {
		list.Members[i].Addr = a.addresses(list.Members[i].ID)
	}
	a.mu.Lock()
	for _, c := range changes {
		if c.revision > a.revision {
			a.told = append(a.told, Notification{Member: c.member, At: time.Now(), ListedAt: c.at})
		}
	}
	a.revision = max(a.revision, list.Revision)
	a.mu.Unlock()
	encoder := json.NewEncoder(w)
	if list.Revision%indentedOf == 0 {
		encoder.SetIndent("", "  ")
	}
	encoder.Encode(list)
}

// indentedOf: one in so many lists comes indented.
const indentedOf = 3
