// Package watch is a discovery.Source that gets the server list from the platform's discovery agent: first the whole
// list over HTTP, then its changes by long polling.
package watch

import (
	"context"
	"log/slog"
	"net"
	"net/http"
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
