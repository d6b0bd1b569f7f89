package kit2

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of discovery's list.
type Member struct {
	ID    string  `json:"id"`
	Addr  string  `json:"host_port"`
	Zone  string  `json:"locality"`
	Kind  string  `json:"flavor"`
	Cell  int     `json:"cell"`
	Phase string  `json:"phase"`
	Size  float64 `json:"size"`
	Since int64   `json:"up_since_ms"`
}

// List is a response of discovery.
type List struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

type listChange struct {
	revision int
	member   Member
}

// Agent is a discovery agent.
type Agent struct {
	l net.Listener

	mu       sync.Mutex
	revision int
	members  []Member
	changes  []listChange
	changed  chan struct{}
	delay    time.Duration        // before each response
	admitted int                  // calls that may be open at a time; 0: any number
	open     int                  // calls that are open, the ignored ones included
	work     time.Duration        // for each response, shared with all other calls that are being worked on
	calls    int                  // so far
	givenUp  int                  // calls that were given up before their response
	working  int                  // calls that are being worked on
	told     map[string]time.Time // by member, when a list in which it does not take new work was first written
	c        *Case
	name     string
}

// NewAgent starts an agent.
func (c *Case) NewAgent(name string, revision int, members ...Member) *Agent {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Check(err)
	a := &Agent{l: l, revision: revision, members: members, changed: make(chan struct{}),
		told: map[string]time.Time{}, c: c, name: name}
	go http.Serve(l, a)
	return a
}

// Addr returns the agent's address.
func (a *Agent) Addr() string { return a.l.Addr().String() }

// Complete returns the whole list.
func (a *Agent) Complete() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return List{a.revision, true, append([]Member{}, a.members...)}
}

// Put changes members; one with the phase removed leaves the list.
func (a *Agent) Put(members ...Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	for _, m := range members {
		kept := []Member{}
		for _, old := range a.members {
			if old.ID != m.ID {
				kept = append(kept, old)
			}
		}
		if m.Phase != "removed" {
			kept = append(kept, m)
		}
		a.members = kept
		a.changes = append(a.changes, listChange{a.revision, m})
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// Overload makes the agent slow, or crowded: each response takes delay, and calls that come while so many are open
// (0: any number) are never answered. They stay open until the caller gives them up.
func (a *Agent) Overload(delay time.Duration, admitted int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay, a.admitted = delay, admitted
}

// Share makes the agent slow by load: each response is so much work, and the agent divides its time equally among the
// calls that are open and have something to respond with. A call that is given up is work no more.
func (a *Agent) Share(work time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.work = work
}

// shared does the work of one response. It returns false if the call was given up.
func (a *Agent) shared(done <-chan struct{}) bool {
	const step = 5 * time.Millisecond
	a.mu.Lock()
	left := a.work
	a.working++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.working--
		a.mu.Unlock()
	}()
	for before := time.Now(); left > 0; {
		select {
		case <-time.After(step):
		case <-done:
			return false
		}
		now := time.Now()
		a.mu.Lock()
		left -= now.Sub(before) / time.Duration(a.working)
		a.mu.Unlock()
		before = now
	}
	return true
}

// begin counts a call that has come, and tells how it is treated.
func (a *Agent) begin() (delay time.Duration, admitted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	a.calls++
	return a.delay, a.admitted == 0 || a.open <= a.admitted
}

func (a *Agent) end(r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
	if r.Context().Err() != nil {
		a.givenUp++
	}
}

// Calls returns how many calls have come.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// GivenUp returns how many calls were given up by the router.
func (a *Agent) GivenUp() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.givenUp
}

// Responses returns how many calls were answered.
func (a *Agent) Responses() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls - a.givenUp - a.open
}

// written notes what a response has told.
func (a *Agent) written(l *List) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range l.Members {
		if _, known := a.told[m.ID]; m.Phase != "up" && !known {
			a.told[m.ID] = time.Now()
			a.c.Note("%s: has told that %s is %s", a.name, m.ID, m.Phase)
		}
	}
}

// Told returns when the agent has first told that a member takes no new work, and whether it has.
func (a *Agent) Told(id string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.told[id]
	return at, ok
}

// since returns what has changed after a revision.
func (a *Agent) since(revision int) (List, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := List{a.revision, false, []Member{}}
	for _, ch := range a.changes {
		if ch.revision > revision {
			l.Members = append(l.Members, ch.member)
		}
	}
	return l, a.changed
}

// ServeHTTP answers a call for the list or a watch.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	delay, admitted := a.begin()
	defer a.end(r)
	if !admitted {
		<-r.Context().Done()
		return
	}
	respond := func(l List) {
		select {
		case <-time.After(delay):
			if !a.shared(r.Context().Done()) {
				return
			}
			if json.NewEncoder(w).Encode(l) == nil {
				a.written(&l)
			}
		case <-r.Context().Done():
		}
	}
	if r.URL.Query().Get("since") == "" {
		respond(a.Complete())
		return
	}
	revision, _ := strconv.Atoi(r.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	timeout := time.NewTimer(time.Duration(min(ms, 60_000)) * time.Millisecond)
	defer timeout.Stop()
	for over := false; ; {
		l, changed := a.since(revision)
		if over || len(l.Members) > 0 {
			respond(l)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
