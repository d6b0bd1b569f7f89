package chat

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mintdoor/internal/discovery/watch"
)

// Directory is discovery's server list, which all agents report. It is safe for concurrent use.
type Directory struct {
	mu          sync.Mutex
	revision    int64
	members     map[string]watch.Member
	order       []string
	changes     []change
	changed     chan struct{} // closed at the next change
	openOutages int           // outages in progress
	outages     []Interval
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

// Put adds or changes members. A member with the phase Removed leaves the list.
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

// BeginOutage makes all agents unresponsive until EndOutage has been called as often as BeginOutage.
func (d *Directory) BeginOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.openOutages++; d.openOutages == 1 {
		d.outages = append(d.outages, Interval{From: time.Now()})
	}
}

// EndOutage ends an outage. Calls that were open during it are never answered; new calls are answered.
func (d *Directory) EndOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.openOutages--; d.openOutages == 0 {
		d.outages[len(d.outages)-1].Until = time.Now()
	}
}

// Withdrawals returns the changes that took a member from the ready ones, with the times at which they were made.
func (d *Directory) Withdrawals() (out []Notification) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.changes {
		if c.member.Phase != watch.Up {
			out = append(out, Notification{Member: c.member, ListedAt: c.at})
		}
	}
	return out
}

// Outages returns the outages so far.
func (d *Directory) Outages() []Interval {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Interval(nil), d.outages...)
}

// latestRevision stands for whatever revision the directory has.
const latestRevision = int64(math.MaxInt64)

// changesSince returns the changes after a revision, or the whole list for a negative one, as they were at the revision
// until, and a channel that is closed at the next change. The returned outages are those of countOutages.
func (d *Directory) changesSince(revision, until int64) (list watch.List, changes []change, next <-chan struct{}, outages int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list = watch.List{Revision: min(d.revision, until), Complete: revision < 0, Members: []watch.Member{}}
	if revision < 0 {
		members := d.membersAt(until)
		for _, id := range d.order {
			if m, known := members[id]; known && m.Phase != watch.Removed {
				list.Members = append(list.Members, m)
			}
		}
	}
	for _, c := range d.changes {
		if c.revision > revision && c.revision <= until {
			changes = append(changes, c)
			if revision >= 0 {
				list.Members = append(list.Members, c.member)
			}
		}
	}
	return list, changes, d.changed, d.countOutages()
}

// membersAt returns the members at a revision, by id. mu is held.
func (d *Directory) membersAt(revision int64) map[string]watch.Member {
	if revision >= d.revision {
		return d.members
	}
	members := map[string]watch.Member{}
	for _, c := range d.changes {
		if c.revision <= revision {
			members[c.member.ID] = c.member
		}
	}
	return members
}

// Revision returns the revision of the last change.
func (d *Directory) Revision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// countOutages returns a number that changes at the beginning and at the end of each outage, and is odd during one. mu
// is held.
func (d *Directory) countOutages() int {
	if d.openOutages > 0 {
		return 2*len(d.outages) - 1
	}
	return 2 * len(d.outages)
}

// outageCount returns the same number as changesSince.
func (d *Directory) outageCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.countOutages()
}

// Notification is what discovery has reported to a router about one member.
type Notification struct {
	Member   watch.Member
	At       time.Time // when it was written to the router
	ListedAt time.Time // when it was put into the directory
}

// Agent reports the directory to one router.
type Agent struct {
	directory *Directory
	addresses func(member string) string // where this router reaches a member
	server    *http.Server
	listener  net.Listener
	done      chan struct{}
	startedAt time.Time

	mu            sync.Mutex
	notifications []Notification
	revision      int64         // notifications are complete up to this revision
	hung          chan struct{} // closed, and replaced, to make the open calls hang
	conns         map[net.Conn]struct{}
	faultCounts   map[string]int
	openCalls     int
	overload      Overload
	calls         int                     // so far
	reported      map[string]watch.Member // the list as last reported
	behind        *lag                    // nil: the agent has what the directory has
}

// NewAgent starts an agent for a router. It listens on host.
func NewAgent(d *Directory, host string, addresses func(member string) string) (*Agent, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	return NewAgentOn(l, d, addresses), nil
}

// NewAgentOn starts an agent for a router on a listener, which the agent closes.
func NewAgentOn(l net.Listener, d *Directory, addresses func(member string) string) *Agent {
	a := &Agent{directory: d, addresses: addresses, listener: l, done: make(chan struct{}), hung: make(chan struct{}),
		conns: map[net.Conn]struct{}{}, faultCounts: map[string]int{}, reported: map[string]watch.Member{}, startedAt: time.Now()}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve), ConnState: a.trackConn}
	go func() {
		defer close(a.done)
		a.server.Serve(l)
	}()
	return a
}

// Addr returns the address at which the router calls the agent.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// StopAccepting closes the listener. Open connections continue until Close.
func (a *Agent) StopAccepting() { a.listener.Close() }

// Close stops the agent.
func (a *Agent) Close() {
	a.server.Close()
	<-a.done
}

// trackConn keeps the set of open connections.
func (a *Agent) trackConn(c net.Conn, s http.ConnState) {
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
		a.faultCounts["watches reset"]++
		resetConn(c)
	}
}

// HangWatches makes the open calls hang for good. New calls are answered.
func (a *Agent) HangWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faultCounts["watches silent"] += a.openCalls
	close(a.hung)
	a.hung = make(chan struct{})
}

// FaultCounts returns how often each fault has met a call.
func (a *Agent) FaultCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]int{}
	for k, n := range a.faultCounts {
		out[k] = n
	}
	return out
}

// Notifications returns what was reported to the router.
func (a *Agent) Notifications() []Notification {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Notification(nil), a.notifications...)
}

// serve answers a list request, or a watch that waits for a change up to its time limit.
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
	hung, admitted := a.beginCall()
	defer a.endCall()
	if !admitted {
		a.rejectExcess(w, r)
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	outagesBefore := a.directory.outageCount()
	for timedOut := timeout == 0; ; {
		until, caughtUp := a.visible()
		list, changes, next, outages := a.directory.changesSince(revision, until)
		if outages != outagesBefore || outages%2 == 1 { // calls that meet an outage are never answered
			<-r.Context().Done()
			return
		}
		if timedOut || list.Complete || len(changes) > 0 {
			if a.delayResponse(r, hung, outages) {
				a.sendList(w, &list, changes)
			}
			return
		}
		select {
		case <-next:
		case <-caughtUp:
		case <-timer.C:
			timedOut = true
		case <-hung:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// sendList writes a list and records what it reports.
func (a *Agent) sendList(w http.ResponseWriter, list *watch.List, changes []change) {
	for i := range list.Members {
		list.Members[i].Addr = a.addresses(list.Members[i].ID)
	}
	a.mu.Lock()
	for _, c := range changes {
		if c.revision > a.revision {
			a.notifications = append(a.notifications, Notification{Member: c.member, At: time.Now(), ListedAt: c.at})
		}
	}
	a.revision = max(a.revision, list.Revision)
	if list.Complete {
		clear(a.reported)
	}
	for _, m := range list.Members {
		a.reported[m.ID] = m
	}
	a.mu.Unlock()
	encoder := json.NewEncoder(w)
	if list.Revision%indentedInterval == 0 {
		encoder.SetIndent("", "  ")
	}
	encoder.Encode(list)
}

// indentedInterval is how often a list is written with indentation: one in this many revisions. A router has to read
// both forms.
const indentedInterval = 3
