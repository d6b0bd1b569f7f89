package watch

import (
	"context"
	"fmt"
	"time"
)

// round is one attempt to get a response. It begins with a watch or with a call for the whole list. As long as there is
// no response, further calls for the whole list are made beside it. The round ends with the first valid response, when
// all its calls have failed, or after its time. The failure of one call ends no other call: an agent that is slow or
// crowded may still respond to that one.
type round struct {
	startedAt  time.Time
	nextCallAt time.Time
	silentAt   time.Time // when it is reported that there is no response
	reported   bool      // that there is no response
	calls      int
	rejected   int // calls that have failed while others were in flight
}

// beginRound begins a round at the current address.
func (s *Source) beginRound(ctx context.Context) {
	agent := s.currentAgent()
	if agent.moves != s.move {
		s.http.CloseIdleConnections()
		s.move, s.latency, s.pause, s.needComplete = agent.moves, latency{}, firstPause, true
		s.failedRounds, s.overdueCalls = 0, 0
	}
	now := time.Now()
	estimate := s.latency.estimate()
	s.resumeAt = time.Time{}
	s.round = round{startedAt: now}
	if s.needComplete {
		s.startCall(ctx, &call{agent: agent})
		s.round.silentAt = now.Add(s.startTimeout)
		s.round.nextCallAt = now.Add(withJitter(s.hedgeIntervalOf(estimate, s.round.calls, 0)))
		return
	}
	s.startCall(ctx, &call{agent: agent, isWatch: true, since: s.list.revision, wait: s.watchTimeout})
	s.round.silentAt = now.Add(s.lateAfter(estimate))
	s.round.nextCallAt = s.round.silentAt
}

// startCall starts a call of the round. There are never more than maxCalls in flight.
func (s *Source) startCall(ctx context.Context, c *call) {
	if len(s.calls.inFlight) >= maxCalls {
		s.calls.cancelRedundant(time.Now())
	}
	s.round.calls++
	s.calls.start(ctx, c)
}

// nextDue returns when handleTimer has something to do.
func (s *Source) nextDue() time.Time {
	if !s.resumeAt.IsZero() {
		return s.resumeAt
	}
	due := s.round.nextCallAt
	if !s.round.reported && s.round.silentAt.Before(due) {
		due = s.round.silentAt
	}
	if end := s.roundEnd(); end.Before(due) {
		due = end
	}
	if at, ok := s.overdueAt(); ok && at.Before(due) {
		due = at
	}
	return due
}

// roundEnd returns when all calls of the round are given up.
func (s *Source) roundEnd() time.Time {
	if s.list.isUnknown() {
		return s.round.startedAt.Add(maxFirstRoundTimeout)
	}
	return s.round.startedAt.Add(s.roundTimeoutOf(s.latency.estimate(), s.failedRounds, s.list.agent != ""))
}

// overdueAt returns when the oldest call is given up because the agent rejects others, which that call may keep out. It
// returns false if the agent rejects none.
func (s *Source) overdueAt() (at time.Time, ok bool) {
	if s.round.rejected == 0 || len(s.calls.inFlight) == 0 {
		return time.Time{}, false
	}
	oldest := s.calls.inFlight[0]
	return oldest.startedAt.Add(s.overdueAfter(oldest, s.latency.estimate(), !s.list.isUnknown(), s.overdueCalls)), true
}

// handleTimer does what is due.
func (s *Source) handleTimer(ctx context.Context) {
	now := time.Now()
	if !s.resumeAt.IsZero() {
		if !now.Before(s.resumeAt) {
			s.beginRound(ctx)
		}
		return
	}
	if !s.round.reported && !now.Before(s.round.silentAt) {
		s.round.reported = true
		s.reportFailure(s.errNoResponse(now))
	}
	if at, ok := s.overdueAt(); ok && !now.Before(at) {
		s.calls.cancelOldest()
		s.overdueCalls++
		s.round.rejected = 0
		s.round.nextCallAt = now.Add(firstPause)
	}
	if s.calls.count(s.move) == 0 || !now.Before(s.roundEnd()) {
		err := s.errNoResponse(now)
		s.calls.cancelAll()
		s.failedRounds++
		s.failRound(now, err, firstPause)
		return
	}
	if !now.Before(s.round.nextCallAt) {
		agent := s.currentAgent()
		if agent.moves != s.move {
			return // followMove begins a round
		}
		s.startCall(ctx, &call{agent: agent})
		s.round.nextCallAt = now.Add(withJitter(s.hedgeIntervalOf(s.latency.estimate(), s.round.calls, s.round.rejected)))
	}
}

// errNoResponse returns the error of a round that has had no response so far.
func (s *Source) errNoResponse(now time.Time) error {
	return fmt.Errorf("discovery has not responded for %v; calls in flight: %d, rejected: %d",
		now.Sub(s.round.startedAt).Round(time.Millisecond), len(s.calls.inFlight), s.round.rejected)
}
