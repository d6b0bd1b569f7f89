package watch

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"mintdoor/internal/discovery"
)

// regressionWindow is how long an agent must keep reporting an older revision than before, until its revisions are
// assumed to have restarted.
const regressionWindow = 2 * time.Second

// serverList is the server list, as agents have reported it.
type serverList struct {
	cached  []byte // the list from before the start, in discovery's format; empty: none, or it was used
	log     *slog.Logger
	members members

	agent          string    // address of the agent that reported members; "" before the first response
	move           int       // how often the address had changed before the call that reported members
	revision       int64     // revision of members, as counted by agent
	appliedAt      time.Time // when members was last reported
	regressedSince time.Time // since when agent has reported older revisions; zero: it does not
	needComplete   bool      // members lacks changes that could not be read
	// regressionWindow is set from the constant of the same name; tests shorten it.
	regressionWindow time.Duration
}

// errOutdated is the error of a response that is older than the list although nothing is wrong with it: its call was
// made before the list was reported.
var errOutdated = errors.New("the response is older than the list")

// isUnknown reports whether no engine is known and no agent has responded.
func (s *serverList) isUnknown() bool { return s.agent == "" && len(s.members.list) == 0 }

// apply applies the response to a call, and reports whether the whole list has to be requested next. If it returns an
// error, the list is unchanged.
func (s *serverList) apply(c *call, l *response) (needComplete bool, err error) {
	now := time.Now()
	sameAgent := c.addr == s.agent
	if s.agent != "" && c.move < s.move {
		return false, errOutdated
	}
	if sameAgent && l.Revision < s.revision {
		if c.startedAt.Before(s.appliedAt) {
			return false, errOutdated
		}
		if s.regressedSince.IsZero() {
			s.regressedSince = now
		}
		if !l.Complete || now.Sub(s.regressedSince) < s.regressionWindow {
			return true, fmt.Errorf("discovery's revision %d is older than %d", l.Revision, s.revision)
		}
		s.log.Warn("the discovery agent's revisions restarted", "from", s.revision, "to", l.Revision)
	}
	if !sameAgent && !l.Complete {
		return true, errors.New("discovery reports changes to a list that it has not reported")
	}
	if sameAgent && l.Complete && l.Revision == s.revision && !s.needComplete {
		s.move, s.appliedAt, s.regressedSince = c.move, now, time.Time{}
		return false, nil // the list is known; to decode thousands of members again would take long
	}
	if len(l.Members) > maxMembers {
		return true, fmt.Errorf("discovery lists %d members", len(l.Members))
	}
	if !sameAgent || l.Revision < s.revision {
		s.log.Info("list of another agent, or of restarted revisions", "agent", c.addr, "revision", l.Revision,
			"agent_before", s.agent, "revision_before", s.revision, "members", len(l.Members))
	}
	invalid := s.members.apply(l)
	s.agent, s.move, s.revision, s.appliedAt, s.regressedSince = c.addr, c.move, l.Revision, now, time.Time{}
	s.needComplete = invalid && !l.Complete
	return s.needComplete, nil
}

// useCached makes the cached list the server list, once, if no agent has responded. It returns false if there is none
// or it can't be used.
func (s *serverList) useCached() bool {
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
	s.members.apply(l)
	return true
}

// update returns an update with the current list.
func (s *serverList) update() discovery.Update {
	return discovery.Update{Engines: s.members.list, At: time.Now()}
}
