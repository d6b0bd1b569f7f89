// Package watch is a discovery.Source that gets the server list from the platform's discovery agent: first the whole
// list over HTTP, then its changes by long polling.
package watch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"mintdoor/internal/discovery"
)

// ListPath is the HTTP path of the server list.
const ListPath = "/discovery/hosts"

// maxResponseSize is the size of a response, in bytes.
const maxResponseSize = 4 << 20

// Source watches the server list of an agent. Create it with New.
type Source struct {
	timing
	log   *slog.Logger
	http  http.Client
	moved chan struct{} // receives a value after a change of addr

	mu    sync.Mutex
	agent agentAddr

	// The following fields belong to Run.
	notify  func(discovery.Update)
	list    serverList
	calls   *callSet
	latency latency
	move    int // value of moves that the round is made for
	round   round
	// resumeAt is when the next round begins; zero: a round is in progress.
	resumeAt     time.Time
	pause        time.Duration // before the next round, if all calls of this one fail
	failedRounds int           // rounds without a response since the last response
	overdueCalls int           // calls that were overdue since the last response
	needComplete bool          // the next round requests the whole list
}

// agentAddr is the address of the agent.
type agentAddr struct {
	addr    string
	moves   int       // how often addr has changed
	movedAt time.Time // when addr last changed; zero: never
}

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

// New returns a source that calls the agent at addr. kinds are the engine kinds in the settings. cached is the list
// that this router had last, in discovery's format.
func New(addr string, kinds []string, cached []byte, log *slog.Logger) *Source {
	// A dial may outlive the call that started it, so it has its own timeout. Otherwise dials that never complete
	// would use up MaxConnsPerHost for minutes.
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Source{agent: agentAddr{addr: addr}, timing: defaultTiming(), log: log, moved: make(chan struct{}, 1), pause: firstPause, needComplete: true,
		list: serverList{cached: cached, log: log, regressionWindow: regressionWindow, members: members{kinds: kinds, log: log}},
		http: http.Client{Transport: &http.Transport{DialContext: dialer.DialContext,
			MaxIdleConns: 1, MaxConnsPerHost: maxCalls + 1, DisableCompression: true,
			MaxResponseHeaderBytes: 16 << 10, ReadBufferSize: 4096, WriteBufferSize: 1024}}}
}

// SetAddr makes the source call the agent at another address from now on. Calls in flight go on until the agent at a
// later address has responded, so that changes in quick succession don't keep the source from hearing any agent.
func (s *Source) SetAddr(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == s.agent.addr {
		return
	}
	s.log.Info("discovery moves", "from", s.agent.addr, "to", addr)
	s.agent = agentAddr{addr: addr, moves: s.agent.moves + 1, movedAt: time.Now()}
	select {
	case s.moved <- struct{}{}:
	default:
	}
}

// Run implements discovery.Source. It uses the cached list only if there is no response soon: the agent's list counts
// as reported from the start of the process, and the cached list may be older.
func (s *Source) Run(ctx context.Context, notify func(discovery.Update)) error {
	defer s.http.CloseIdleConnections()
	s.notify, s.calls = notify, newCallSet(&s.http)
	defer s.calls.close()
	s.beginRound(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.moved:
			s.followMove(ctx)
		case r := <-s.calls.results:
			if s.calls.received(&r) {
				s.handleResult(ctx, &r)
			} else if r.err == nil {
				s.handleLateResponse(&r)
			}
		case <-timer.C:
			s.handleTimer(ctx)
		}
		timer.Reset(time.Until(s.nextDue()))
	}
}

// followMove begins a round at the new address after a change of the address.
func (s *Source) followMove(ctx context.Context) {
	if s.currentAgent().moves != s.move {
		s.beginRound(ctx)
	}
}

// currentAgent returns the address of the agent.
func (s *Source) currentAgent() agentAddr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agent
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
