package watch

import (
	"context"
	"errors"
	"os"
	"time"

	"mintdoor/internal/discovery"
)

// handleResult handles the result of a call that was not cancelled.
func (s *Source) handleResult(ctx context.Context, r *callResult) {
	if r.err != nil {
		s.handleFailure(r.call, r.err)
		return
	}
	needComplete, err := s.list.apply(r)
	if errors.Is(err, errOutdated) {
		s.handleResponse(ctx, r)
		return
	}
	if errors.Is(err, errUnordered) {
		s.handleUnordered(r)
		s.handleResponse(ctx, r)
		return
	}
	if err != nil {
		if s.list.withdraw(r.list) {
			s.notify(s.list.update())
		}
		s.handleFailure(r.call, err)
		return
	}
	if r.call.agent.moves == s.move {
		s.needComplete = needComplete
	}
	s.notify(s.list.update())
	s.handleResponse(ctx, r)
}

// handleLateResponse handles the response to a call that was cancelled while the response arrived. What it reports counts
// as reported, but it ends no round.
func (s *Source) handleLateResponse(r *callResult) {
	needComplete, err := s.list.apply(r)
	switch {
	case err == nil:
		s.needComplete = s.needComplete || needComplete
		s.notify(s.list.update())
	case errors.Is(err, errUnordered):
		s.handleUnordered(r)
	case !errors.Is(err, errOutdated) && s.list.withdraw(r.list):
		s.needComplete = true
		s.notify(s.list.update())
	}
}

// handleUnordered handles the response of an agent that was left, or of one before its revisions restarted. Until the
// list has settled, it is unknown which of them is older.
func (s *Source) handleUnordered(r *callResult) {
	if !s.list.generation.hasSettled() && s.list.withdraw(r.list) {
		s.notify(s.list.update())
	}
}

// handleResponse ends the round, if the response is for its address, and begins the next one.
func (s *Source) handleResponse(ctx context.Context, r *callResult) {
	older := func(c *call) bool { return c.startedAt.Before(r.call.startedAt) }
	if r.call.agent.moves != s.move {
		s.calls.cancel(older)
		return
	}
	now := time.Now()
	s.pause, s.failedRounds, s.overdueCalls = firstPause, 0, 0
	s.recordLatency(r, now)
	var cancelled int
	if s.latency.estimate() > overlapLatency || r.maxLatency(now) > maxSerialLatency {
		cancelled = s.calls.cancel(older) // responses to later calls are newer
	} else {
		cancelled = s.calls.cancelAll()
	}
	switch {
	case s.calls.hasWatch(s.move):
	case cancelled > 0:
		s.resumeAt = now.Add(firstPause) // a crowded agent has to notice first that calls were cancelled
	default:
		s.beginRound(ctx) // at once: after a longer pause the next call would count as a new watch
	}
}

// recordLatency records how long the agent has taken for a response, if that is known.
func (s *Source) recordLatency(r *callResult, now time.Time) {
	if !r.call.isWatch || len(r.list.Members) == 0 {
		s.latency.add(r.maxLatency(now))
	}
}

// handleFailure handles the failure of a call. It ends the round if no other call is in flight.
func (s *Source) handleFailure(c *call, err error) {
	if c.agent.moves != s.move {
		return // its address is not used any more
	}
	now := time.Now()
	if s.calls.count(s.move) == 0 {
		s.failRound(now, err, s.pause)
		s.pause = min(2*s.pause, maxPause)
		return
	}
	if !os.IsTimeout(err) {
		s.round.rejected++
		next := now.Add(withJitter(s.hedgeIntervalOf(s.latency.estimate(), s.round.calls, s.round.rejected)))
		if next.After(s.round.nextCallAt) {
			s.round.nextCallAt = next
		}
	}
}

// failRound ends a round that has no call in flight any more. The next one follows after a pause and requests the whole
// list, because it is unknown which changes were missed. Calls to earlier addresses go on.
func (s *Source) failRound(now time.Time, err error, pause time.Duration) {
	s.needComplete = true
	s.resumeAt = now.Add(withJitter(pause))
	s.reportFailure(err)
}

// reportFailure reports that the list could not be obtained, and the cached list before that, if no agent has responded
// yet.
func (s *Source) reportFailure(err error) {
	if s.list.useCached() {
		s.notify(s.list.update())
	}
	s.notify(discovery.Update{Err: err, At: time.Now()})
}
