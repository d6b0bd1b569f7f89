package router

import (
	"sync"
	"time"

	"mintdoor/decide"
)

// maxUsedNames limits the names of requests that are over but may have run. Beyond it the oldest ones are forgotten.
const maxUsedNames = 8192

// nameRegistry has the names of open requests, and of those that are over but may have run: engines tell requests apart by
// their names, so a second one of the same name would take effect twice. Any number of requests may have the empty name.
type nameRegistry struct {
	mu    sync.Mutex
	taken map[string]bool // true: the request is open
	used  []usedName      // those of requests that are over, oldest first
}

// usedName is the name of a request that may have run, and when that request was over.
type usedName struct {
	name string
	at   time.Time
}

// claim reserves a name for a request. It returns false if another request has it.
func (n *nameRegistry) claim(name string) bool {
	if name == "" {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forgetOld(time.Now())
	if _, taken := n.taken[name]; taken {
		return false
	}
	if n.taken == nil {
		n.taken = map[string]bool{}
	}
	n.taken[name] = true
	return true
}

// release ends the claim of a request that is over. If it may have run, its name stays taken for a while.
func (n *nameRegistry) release(name string, mayHaveRun bool) {
	if name == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !mayHaveRun {
		delete(n.taken, name)
		return
	}
	now := time.Now()
	n.taken[name] = false
	n.used = append(n.used, usedName{name, now})
	n.forgetOld(now)
}

// forgetOld frees the names whose time is over. mu is held.
func (n *nameRegistry) forgetOld(now time.Time) {
	old := max(len(n.used)-maxUsedNames, 0)
	for old < len(n.used) && now.Sub(n.used[old].at) > time.Duration(decide.UsedNameWindow) {
		old++
	}
	for _, u := range n.used[:old] {
		delete(n.taken, u.name)
	}
	clear(n.used[:old])
	n.used = n.used[old:]
}
