package chat

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"mintdoor/internal/discovery/watch"
)

// Overload describes an agent that is slow or crowded. The zero value is an agent that responds at once.
type Overload struct {
	// Delay is the time before each response, which reports the directory as it was before that time.
	Delay time.Duration
	// MaxCalls is how many calls may be open at a time; 0: any number. Excess is what happens to a call beyond them.
	MaxCalls int
	Excess   Excess
}

// Excess is what an agent does with a call that arrives while too many are open.
type Excess uint8

// The treatments of such a call.
const (
	RefuseExcess Excess = iota // status 503
	ResetExcess                // its connection is reset
	IgnoreExcess               // it never gets a response, and stays open until the caller gives it up
	numExcess
)

// ExcessKinds returns all treatments.
func ExcessKinds() []Excess {
	kinds := make([]Excess, numExcess)
	for i := range kinds {
		kinds[i] = Excess(i)
	}
	return kinds
}

// String returns the treatment in words.
func (e Excess) String() string { return [...]string{"refused", "reset", "ignored"}[e] }

// SetOverload changes how the agent treats calls from now on.
func (a *Agent) SetOverload(o Overload) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.overload = o
}

// Overload returns how the agent treats calls.
func (a *Agent) Overload() Overload {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overload
}

// StartedAt returns when the agent was started.
func (a *Agent) StartedAt() time.Time { return a.startedAt }

// Reported returns the list as last reported to the router, and false if nothing was reported.
func (a *Agent) Reported() (list watch.List, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list = watch.List{Revision: a.revision, Complete: true, Members: []watch.Member{}}
	for _, id := range slices.Sorted(maps.Keys(a.reported)) {
		if m := a.reported[id]; m.Phase != watch.Removed {
			list.Members = append(list.Members, m)
		}
	}
	return list, len(a.reported) > 0
}

// beginCall counts a call and reports whether it is admitted. The returned channel is closed when the call is to hang.
func (a *Agent) beginCall() (hung <-chan struct{}, admitted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openCalls++
	a.calls++
	if a.overload.MaxCalls > 0 && a.openCalls > a.overload.MaxCalls {
		a.faultCounts["discovery call "+a.overload.Excess.String()]++
		return a.hung, false
	}
	return a.hung, true
}

// endCall ends the count of a call.
func (a *Agent) endCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openCalls--
}

// CallCounts returns the number of calls so far, and the number of those that are open.
func (a *Agent) CallCounts() (calls, open int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls, a.openCalls
}

// rejectExcess treats a call that is not admitted.
func (a *Agent) rejectExcess(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	excess := a.overload.Excess
	a.mu.Unlock()
	switch excess {
	case ResetExcess:
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			resetConn(conn)
		}
	case IgnoreExcess:
		<-r.Context().Done()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// delayResponse waits for the agent's delay. It returns false if the call gets no response: the caller has given it
// up, it was made to hang, or an outage has begun.
func (a *Agent) delayResponse(r *http.Request, hung <-chan struct{}, outages int) bool {
	a.mu.Lock()
	delay := a.overload.Delay
	a.mu.Unlock()
	if delay == 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-hung:
		<-r.Context().Done()
		return false
	case <-r.Context().Done():
		return false
	}
	if a.directory.outageCount() != outages {
		<-r.Context().Done()
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faultCounts["discovery response delayed"]++
	return true
}
