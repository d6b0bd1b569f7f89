package watch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"time"
)

// agentAddr is the address of the agent.
type agentAddr struct {
	addr    string
	moves   int       // how often addr has changed
	movedAt time.Time // when addr last changed; zero: never
}

// call is one call to an agent.
type call struct {
	agent     agentAddr
	isWatch   bool // requests the changes since a revision instead of the whole list
	since     int64
	wait      time.Duration // for which a watch waits for a change
	startedAt time.Time
	cancel    context.CancelFunc
}

// url returns the URL of the call.
func (c *call) url() string {
	url := "http://" + c.agent.addr + ListPath
	if c.isWatch {
		url += "?since=" + strconv.FormatInt(c.since, 10) + "&timeout_ms=" + strconv.FormatInt(c.wait.Milliseconds(), 10)
	}
	return url
}

// errConnReplaced is the cause of the failure of a watch whose connection broke.
var errConnReplaced = errors.New("the watch's connection broke")

// trace returns a context with which a watch fails if its connection breaks. The HTTP client would send it again on
// another one, perhaps to an agent that was restarted meanwhile and counts its own revisions.
func (c *call) trace(ctx context.Context) context.Context {
	if !c.isWatch {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(ctx)
	conns := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if conns++; conns > 1 {
			cancel(errConnReplaced)
		}
	}})
}

// callResult is the response to a call, or its error.
type callResult struct {
	call *call
	list *response
	err  error
}

// maxLatency returns how long the agent has taken for a response at the most. Of a watch that reports changes it is unknown
// when these were made, and so how long it has waited.
func (r *callResult) maxLatency(now time.Time) time.Duration {
	elapsed := now.Sub(r.call.startedAt)
	if r.call.isWatch && len(r.list.Members) == 0 {
		elapsed -= r.call.wait
	}
	return max(elapsed, 0)
}

// asOf returns a time of which it is certain that the response has all that the agent had been sent by then.
func (r *callResult) asOf(now time.Time) time.Time { return now.Add(-r.maxLatency(now)) }

// callSet makes calls and keeps those that are in flight, in the order of their starts. Only results may be used by
// other goroutines than the owner's.
type callSet struct {
	client   *http.Client
	results  chan callResult // of all calls, the cancelled ones included
	inFlight []*call
	running  int // calls whose result was not received yet
}

// newCallSet returns a set without calls.
func newCallSet(client *http.Client) *callSet {
	return &callSet{client: client, results: make(chan callResult)}
}

// start starts a call.
func (s *callSet) start(ctx context.Context, c *call) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.startedAt = time.Now()
	s.inFlight = append(s.inFlight, c)
	s.running++
	go func() {
		list, err := get(c.trace(ctx), s.client, c.url())
		s.results <- callResult{c, list, err}
	}()
}

// received takes note of a result. It returns false if the call was cancelled before.
func (s *callSet) received(r *callResult) bool {
	s.running--
	i := slices.Index(s.inFlight, r.call)
	if i < 0 {
		return false
	}
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	r.call.cancel()
	return true
}

// cancel cancels the calls that match, and returns how many these are.
func (s *callSet) cancel(match func(*call) bool) int {
	before := len(s.inFlight)
	s.inFlight = slices.DeleteFunc(s.inFlight, func(c *call) bool {
		matches := match(c)
		if matches {
			c.cancel()
		}
		return matches
	})
	return before - len(s.inFlight)
}

// cancelAll cancels all calls, and returns how many these are.
func (s *callSet) cancelAll() int { return s.cancel(func(*call) bool { return true }) }

// cancelOldest cancels the call that was started first.
func (s *callSet) cancelOldest() {
	oldest := s.inFlight[0]
	s.cancel(func(c *call) bool { return c == oldest })
}

// close cancels all calls and waits until they have ended.
func (s *callSet) close() {
	s.cancelAll()
	for ; s.running > 0; s.running-- {
		<-s.results
	}
}

// count returns how many calls are in flight that were made after a number of address changes.
func (s *callSet) count(move int) (n int) {
	for _, c := range s.inFlight {
		if c.agent.moves == move {
			n++
		}
	}
	return n
}

// hasWatch reports whether a watch is in flight that was started after a number of address changes.
func (s *callSet) hasWatch(move int) bool {
	return slices.ContainsFunc(s.inFlight, func(c *call) bool { return c.isWatch && c.agent.moves == move })
}

// cancelRedundant cancels the call that is missed least: neither the oldest nor the newest, but the one whose neighbours
// are closest to each other. Of calls that are older than evenSpacingAge, the distance counts in relation to the age. So
// there are recent calls for an agent that has just become responsive, and old ones for one that is slow.
func (s *callSet) cancelRedundant(now time.Time) {
	var redundant *call
	smallest := 0.0
	for i := 1; i < len(s.inFlight)-1; i++ {
		older, newer := s.inFlight[i-1].startedAt, s.inFlight[i+1].startedAt
		distance := float64(newer.Sub(older)) / float64(max(now.Sub(older), evenSpacingAge))
		if redundant == nil || distance < smallest {
			redundant, smallest = s.inFlight[i], distance
		}
	}
	s.cancel(func(c *call) bool { return c == redundant })
}

// get makes one call and decodes its response.
func get(ctx context.Context, client *http.Client, url string) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	switch {
	case err != nil:
		return nil, err
	case len(b) > maxResponseSize:
		return nil, fmt.Errorf("the response of discovery has more than %d bytes", maxResponseSize)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("discovery responds with status %d: %.100q", resp.StatusCode, b)
	}
	return decodeList(b)
}
