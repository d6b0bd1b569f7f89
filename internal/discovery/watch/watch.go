// Package watch is a discovery.Source over the platform's discovery: the whole list by HTTP, then its
// changes by calls that wait for them.
package watch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mintdoor/internal/discovery"
)

// ListPath is where the list is asked for.
const ListPath = "/discovery/hosts"

// Bounds of a call.
const (
	waitFor    = time.Second             // a watch waits so long for a change; one that fell silent shows soon after
	watchSlack = time.Second             // beyond that it is given up
	listWithin = 1500 * time.Millisecond // for the whole list, which need not wait
	// hedgeEvery is how long a call for the whole list may be silent before another is made beside it. An agent may drop
	// the calls that come while discovery is down, and what it gets at the return counts as told at once.
	hedgeEvery = 250 * time.Millisecond
	maxCalls   = int(listWithin/hedgeEvery) + 1
	firstPause = 50 * time.Millisecond  // before a call that failed is made again, doubled each time ...
	mostPause  = 250 * time.Millisecond // ... up to this
	jitter     = 0.2                    // of pauses and hedges is added by chance, so that routers do not ask in step
	maxAnswer  = 4 << 20
	// startWithin is how long the first call may take before the cached list is used. The agent is on the router's
	// own machine and answers at once while discovery is up.
	startWithin = 500 * time.Millisecond
	// regressedFor is how long an agent has to repeat a revision older than the one it told before, until it is
	// believed to have started anew.
	regressedFor = 2 * time.Second
)

// Source watches a list. Make it with New.
type Source struct {
	cached []byte // the list as held before the start, in discovery's form; empty: none
	log    *slog.Logger
	http   http.Client

	// The bounds named like the constants; tests shorten them.
	wait, slack, within, startWithin, hedgeEvery, regressedFor time.Duration

	mu    sync.Mutex
	addr  string
	moved context.CancelFunc // ends the call under way

	// What follows belongs to Run.
	members   members
	revision  int64     // of members, as counted by the agent at listedAt
	listedAt  string    // the agent that told members; "" before the first answer
	regressed time.Time // since when that agent tells older revisions; zero: it does not
}

// New returns a source that asks at addr. kinds are the settings' kinds; cached is the list as this router last
// held it, in discovery's form.
func New(addr string, kinds []string, cached []byte, log *slog.Logger) *Source {
	// A dial outlives the call that asked for it, so it has a bound of its own: dials that never come up would
	// otherwise use up MaxConnsPerHost for minutes.
	dialer := &net.Dialer{Timeout: listWithin}
	return &Source{addr: addr, wait: waitFor, slack: watchSlack, within: listWithin, startWithin: startWithin,
		hedgeEvery: hedgeEvery, regressedFor: regressedFor,
		cached: cached, log: log, members: members{kinds: kinds, log: log},
		http: http.Client{Transport: &http.Transport{DialContext: dialer.DialContext,
			MaxIdleConns: 1, MaxConnsPerHost: maxCalls + 1, DisableCompression: true,
			MaxResponseHeaderBytes: 16 << 10, ReadBufferSize: 4096, WriteBufferSize: 1024}}}
}

// SetAddr asks at another address from now on.
func (s *Source) SetAddr(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == s.addr {
		return
	}
	s.log.Info("discovery moves", "from", s.addr, "to", addr)
	s.addr = addr
	if s.moved != nil {
		s.moved()
	}
}

var errMoved = errors.New("discovery is asked elsewhere")

// Run implements discovery.Source. The cached list is used only when the first call fails: what the agent has counts
// as told from the process's first moment, and the cached list may be older.
func (s *Source) Run(ctx context.Context, tell func(discovery.Update)) error {
	defer s.http.CloseIdleConnections()
	pause := firstPause
	for whole := true; ctx.Err() == nil; {
		l, err := s.call(ctx, whole)
		if err == nil {
			whole, err = s.take(l)
		}
		if err == nil {
			s.tell(tell)
			pause = firstPause
			continue // at once: a watch that pauses is a new one
		}
		if ctx.Err() != nil {
			return nil
		}
		whole = true // nobody knows what was missed
		if errors.Is(err, errMoved) {
			s.http.CloseIdleConnections()
			pause = firstPause
			continue
		}
		s.useCached(tell)
		tell(discovery.Update{Err: err, At: time.Now()})
		select {
		case <-ctx.Done():
		case <-time.After(jittered(pause)):
		}
		pause = min(2*pause, mostPause)
	}
	return nil
}

// useCached tells of the cached list if no agent has answered yet, once.
func (s *Source) useCached(tell func(discovery.Update)) {
	cached := s.cached
	s.cached = nil
	if s.listedAt != "" || len(cached) == 0 || bytes.Equal(cached, []byte("null")) {
		return
	}
	l, err := decodeList(cached)
	if err != nil {
		s.log.Warn("the cached list of engines is not used", "err", err)
		return
	}
	s.members.apply(l)
	s.tell(tell)
}

// call makes one call and reads its answer.
func (s *Source) call(ctx context.Context, whole bool) (*answer, error) {
	s.mu.Lock()
	addr := s.addr
	within, ask := s.within, s.hedged
	url := "http://" + addr + ListPath
	switch {
	case s.listedAt == "":
		within = s.startWithin
	case !whole && addr == s.listedAt: // another agent counts revisions of its own
		within, ask = s.wait+s.slack, s.get
		url += "?since=" + strconv.FormatInt(s.revision, 10) + "&timeout_ms=" + strconv.FormatInt(s.wait.Milliseconds(), 10)
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	s.moved = cancel
	s.mu.Unlock()
	l, err := ask(ctx, url)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.moved = nil; s.addr != addr {
		return nil, errMoved
	}
	if l != nil {
		l.agent = addr
	}
	return l, err
}

// hedged makes a call, and another beside it as long as none is answered; the first word counts.
func (s *Source) hedged(ctx context.Context, url string) (*answer, error) {
	type result struct {
		list *answer
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan result)
	calls := 0
	defer func() {
		cancel()
		for ; calls > 0; calls-- {
			<-results
		}
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case r := <-results:
			calls--
			return r.list, r.err
		case <-next.C:
			if calls == maxCalls {
				continue // the oldest is given up soon
			}
			calls++
			go func() {
				l, err := s.get(ctx, url)
				results <- result{l, err}
			}()
			next.Reset(jittered(s.hedgeEvery))
		}
	}
}

// jittered makes a time longer by chance.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*rand.Float64()))
}

// take puts an answer into the list and reports whether the whole list has to be asked for next. With an error the
// list stays as it was.
func (s *Source) take(l *answer) (whole bool, err error) {
	if l.agent == s.listedAt && l.Revision < s.revision {
		if s.regressed.IsZero() {
			s.regressed = time.Now()
		}
		if !l.Complete || time.Since(s.regressed) < s.regressedFor {
			return true, fmt.Errorf("discovery's revision %d is older than %d", l.Revision, s.revision)
		}
		s.log.Warn("discovery counts its revisions anew", "from", s.revision, "to", l.Revision)
	}
	if l.agent != s.listedAt && !l.Complete {
		return true, errors.New("discovery tells changes of a list that it has not told")
	}
	if len(l.Members) > maxMembers {
		return true, fmt.Errorf("discovery lists %d members", len(l.Members))
	}
	faulty := s.members.apply(l)
	s.listedAt, s.revision, s.regressed = l.agent, l.Revision, time.Time{}
	return faulty && !l.Complete, nil
}

func (s *Source) get(ctx context.Context, url string) (*answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	switch {
	case err != nil:
		return nil, err
	case len(b) > maxAnswer:
		return nil, fmt.Errorf("discovery answers with more than %d bytes", maxAnswer)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("discovery answers with status %d: %.100q", resp.StatusCode, b)
	}
	return decodeList(b)
}

func (s *Source) tell(tell func(discovery.Update)) {
	tell(discovery.Update{Engines: s.members.list, At: time.Now()})
}
