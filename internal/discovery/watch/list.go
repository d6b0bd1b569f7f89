package watch

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"mintdoor/internal/discovery"
)

// regressionWindow is how long an agent must keep reporting an older list without members, until it is believed. A drain
// has to be known within its grace.
const regressionWindow = 400 * time.Millisecond

// serverList is the server list, as agents have reported it.
type serverList struct {
	cached     []byte // the list from before the start, in discovery's format; empty: none, or it was used
	log        *slog.Logger
	members    members // as last reported
	generation generation
	engines    []discovery.Engine // those of members that may be used, sorted by name

	agent          string    // address of the agent that reported members; "" before the first response
	move           int       // how often the address had changed before the call that reported members
	revision       int64     // revision of members, as counted by agent, or in the cached list
	appliedAt      time.Time // when members was last reported
	restartedAt    time.Time // start of the first call that agent answered with restarted revisions; zero: none
	regressedSince time.Time // since when agent has reported older revisions; zero: it does not
	needComplete   bool      // members lacks changes that could not be read
	// regressionWindow is set from the constant of the same name; tests shorten it.
	regressionWindow time.Duration
}

// Errors of responses with which nothing is wrong.
var (
	// errOutdated is the error of a response that is older than the list: its call was made before the list was reported.
	errOutdated = errors.New("the response is older than the list")
	// errUnordered is the error of a response of a generation before the list's, which may be older or newer.
	errUnordered = errors.New("the response belongs to an earlier generation than the list")
)

// isUnknown reports whether no engine is known and no agent has responded.
func (s *serverList) isUnknown() bool { return s.agent == "" && len(s.engines) == 0 }

// apply applies the response to a call, and reports whether the whole list has to be requested next. If it returns an
// error, the list is unchanged; what the response withdraws is left to withdraw.
func (s *serverList) apply(r *callResult) (needComplete bool, err error) {
	now := time.Now()
	c, l := r.call, r.list
	sameAgent := c.agent.addr == s.agent
	if s.agent != "" && c.agent.moves < s.move || sameAgent && c.startedAt.Before(s.restartedAt) {
		return false, errUnordered
	}
	restarted := sameAgent && l.Revision < s.revision
	if restarted {
		if c.startedAt.Before(s.appliedAt) {
			return false, errOutdated
		}
		if s.regressedSince.IsZero() {
			s.regressedSince = now
		}
		if !l.Complete || len(l.Members) == 0 && now.Sub(s.regressedSince) < s.regressionWindow {
			return true, fmt.Errorf("discovery's revision %d is older than %d", l.Revision, s.revision)
		}
	}
	if !sameAgent && !l.Complete {
		return true, errors.New("discovery reports changes to a list that it has not reported")
	}
	if len(l.Members) > maxMembers {
		return true, fmt.Errorf("discovery lists %d members", len(l.Members))
	}
	isKnown := sameAgent && !s.needComplete && s.isKnown(l)
	if !sameAgent || restarted {
		s.beginGeneration(c, l)
	}
	s.agent, s.move, s.revision, s.appliedAt, s.regressedSince = c.agent.addr, c.agent.moves, l.Revision, now, time.Time{}
	wasSettled := s.generation.hasSettled()
	s.generation.settle(r.asOf(now))
	if !isKnown {
		invalid := s.members.apply(l)
		s.needComplete = !l.Complete && (invalid || s.needComplete)
	}
	if !wasSettled || !isKnown {
		s.engines = s.generation.admit(s.members.list, l.Revision)
	}
	return s.needComplete, nil
}

// isKnown reports whether the agent's response has no changes. To decode thousands of members again would take long.
func (s *serverList) isKnown(l *response) bool {
	if l.Complete {
		return l.Revision == s.revision
	}
	return len(l.Members) == 0
}

// beginGeneration begins a generation of lists with the response of another agent, or of one whose revisions restarted.
func (s *serverList) beginGeneration(c *call, l *response) {
	if s.agent == "" {
		s.useNewerCached(l.Revision)
	}
	settlesAt := s.settlesAt(c, l)
	s.restartedAt = time.Time{}
	if c.agent.addr == s.agent {
		s.restartedAt = c.startedAt
	}
	revision := max(s.revision, s.generation.revision)
	s.generation = newGeneration(s.engines, revision, s.appliedAt, settlesAt)
	s.log.Info("list of another agent, or of restarted revisions", "agent", c.agent.addr, "revision", l.Revision,
		"agent_before", s.agent, "revision_before", s.revision, "members", len(l.Members))
}

// settlesAt returns when a generation settles that begins with a response.
func (s *serverList) settlesAt(c *call, l *response) time.Time {
	var moveSettlesAt time.Time
	if !c.agent.movedAt.IsZero() {
		moveSettlesAt = c.agent.movedAt.Add(moveSettleTime)
	}
	switch {
	case c.agent.addr == s.agent:
		return latest(moveSettlesAt, s.regressedSince.Add(restartSettleTime))
	case moveSettlesAt.IsZero() && l.Revision < s.revision: // the cached list is newer
		return time.Now().Add(restartSettleTime)
	}
	return moveSettlesAt
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// withdraw marks the engines as draining that a response lists as draining or removed, although the response could not
// be applied. It reports whether there are any. They stay so until the generation has settled; if it has, the next whole
// list decides about them.
func (s *serverList) withdraw(l *response) bool {
	names := withdrawnMembers(l)
	marked, changed := markDraining(s.engines, names)
	if !changed {
		return false
	}
	s.engines = marked
	if s.generation.hasSettled() {
		s.members.list, _ = markDraining(s.members.list, names)
		s.needComplete = true
		return true
	}
	s.generation.remember(marked, names)
	return true
}

// useCached makes the cached list the server list, once, if no agent has responded. It returns false if there is none
// or it can't be used.
func (s *serverList) useCached() bool { return s.useNewerCached(-1) }

// useNewerCached is useCached, if the cached list has a higher revision than the given one.
func (s *serverList) useNewerCached(revision int64) bool {
	cached := s.cached
	s.cached = nil
	if s.agent != "" || len(cached) == 0 || bytes.Equal(cached, []byte("null")) {
		return false
	}
	l, err := decodeList(cached)
	if err != nil {
		s.log.Warn("the cached list of engines is not used", "err", err)
		return false
	}
	if l.Revision <= revision {
		return false
	}
	s.members.apply(l)
	s.engines, s.revision = s.members.list, l.Revision
	return true
}

// update returns an update with the current list.
func (s *serverList) update() discovery.Update {
	return discovery.Update{Engines: s.engines, At: time.Now()}
}
