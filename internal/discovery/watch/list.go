package watch

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"slices"
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
	digest         uint64    // of the whole list that was last applied; 0: changes came after it
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
	restarted, err := s.check(c, l, now)
	if err != nil {
		return true, err
	}
	if s.agent == "" {
		s.useNewerCached(l.Revision)
	}
	sameAgent := c.agent.addr == s.agent
	isKnown := sameAgent && s.repeats(l)
	if !isKnown && s.applyMembers(l) && sameAgent {
		restarted = true
		s.regressedSince = now
	}
	if !sameAgent || restarted {
		s.beginGeneration(c, l, now)
	}
	s.agent, s.move, s.revision, s.appliedAt, s.regressedSince = c.agent.addr, c.agent.moves, l.Revision, now, time.Time{}
	wasSettled := s.generation.hasSettled()
	s.generation.settle(r.asOf(now))
	if !wasSettled || !isKnown {
		s.engines = s.generation.admit(s.members.list, l.Revision)
	}
	return s.needComplete, nil
}

// check returns an error if a response can't be applied, and reports whether its agent's revisions have restarted.
func (s *serverList) check(c *call, l *response, now time.Time) (restarted bool, err error) {
	sameAgent := c.agent.addr == s.agent
	switch {
	case s.agent != "" && c.agent.moves < s.move || sameAgent && c.startedAt.Before(s.restartedAt):
		return false, errUnordered
	case !sameAgent && !l.Complete:
		return false, errors.New("discovery reports changes to a list that it has not reported")
	case len(l.Members) > maxMembers:
		return false, fmt.Errorf("discovery lists %d members", len(l.Members))
	case !sameAgent || l.Revision > s.revision || l.Revision == s.revision && !s.losesAll(l):
		return false, nil
	case c.startedAt.Before(s.appliedAt):
		return false, errOutdated
	}
	if s.regressedSince.IsZero() {
		s.regressedSince = now
	}
	if !l.Complete || s.losesAll(l) && now.Sub(s.regressedSince) < s.regressionWindow {
		return false, fmt.Errorf("discovery's revision %d is not later than %d", l.Revision, s.revision)
	}
	return true, nil
}

// losesAll reports whether a response removes all engines.
func (s *serverList) losesAll(l *response) bool {
	return l.Complete && len(l.Members) == 0 && len(s.members.list) > 0
}

// repeats reports whether the agent's response has nothing that is not known. To decode thousands of members again would
// take long.
func (s *serverList) repeats(l *response) bool {
	if s.needComplete {
		return false
	}
	if l.Complete {
		return l.Revision == s.revision && l.digest == s.digest
	}
	return len(l.Members) == 0
}

// applyMembers applies a response to members. It reports whether the response contradicts a list of the same revision.
func (s *serverList) applyMembers(l *response) (contradicts bool) {
	before, lacksChanges := s.members.list, s.needComplete
	invalid := s.members.apply(l)
	s.needComplete = !l.Complete && (invalid || lacksChanges)
	s.digest = 0
	if l.Complete {
		s.digest = l.digest
	}
	return l.Complete && l.Revision == s.revision && !lacksChanges && !slices.Equal(before, s.members.list)
}

// beginGeneration begins a generation of lists with the response of another agent, or of one whose revisions restarted.
func (s *serverList) beginGeneration(c *call, l *response, now time.Time) {
	settlesAt := s.settlesAt(c, l, now)
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
func (s *serverList) settlesAt(c *call, l *response, now time.Time) time.Time {
	var moveSettlesAt time.Time
	if !c.agent.movedAt.IsZero() {
		moveSettlesAt = c.agent.movedAt.Add(moveSettleTime)
	}
	switch {
	case c.agent.addr == s.agent:
		return latest(moveSettlesAt, s.regressedSince.Add(restartSettleTime))
	case moveSettlesAt.IsZero() && l.Revision < s.revision: // the cached list is newer
		return now.Add(restartSettleTime)
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
	s.engines = marked
	switch {
	case !s.generation.hasSettled():
		s.generation.withdraw(marked, names)
	case changed:
		s.members.list, _ = markDraining(s.members.list, names)
		s.needComplete = true
	}
	return changed
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
