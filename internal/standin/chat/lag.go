package chat

import "time"

// lag is an agent's being behind the directory.
type lag struct {
	revision int64         // of the directory, which the agent reports
	over     chan struct{} // closed when the agent has caught up
}

// StayBehind makes the agent report the directory as it was at a revision, for some time.
func (a *Agent) StayBehind(revision int64, length time.Duration) {
	behind := &lag{revision: revision, over: make(chan struct{})}
	a.mu.Lock()
	a.behind = behind
	a.mu.Unlock()
	time.AfterFunc(length, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.behind == behind {
			a.behind = nil
		}
		close(behind.over)
	})
}

// visible returns the revision up to which the agent reports the directory, and a channel that is closed when that
// changes; nil: it does not.
func (a *Agent) visible() (revision int64, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.behind == nil {
		return latestRevision, nil
	}
	return a.behind.revision, a.behind.over
}
