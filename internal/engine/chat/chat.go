// Package chat is the client of engines that speak the platform's protocol. A client's request is forwarded
// unchanged, first to an engine that reads the prompt, then to one that streams the answer's events. What engines
// hold for a request between its stages is named by the request's id.
//
// The package reports exactly how an attempt ended: an attempt counts as never executed only if the engine said so or
// if its last byte was never written. The package delivers an attempt's request at most once and makes no routing
// decisions.
package chat

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/http1"
	"mintdoor/internal/platform"
)

// The comment that carries a load report in a stream, and the data of the last event.
const (
	loadCommentPrefix = ": " + platform.LoadHeader + ":"
	doneSentinel      = "[DONE]"
)

// Limits on engine responses, connections and calls. Sizes are in bytes.
const (
	readBufferSize      = 4096
	maxHeadSize         = 16 << 10
	maxBodySize         = 64 << 10  // of a response that is not a stream
	maxChunkSize        = 256 << 10 // the protocol's limit on a body
	maxEventSize        = 64 << 10
	maxKeptBuffer       = 8 << 10                // of a stream's buffer between two events
	maxInterimResponses = 8                      // 1xx responses before the final one
	releaseCallTimeout  = 150 * time.Millisecond // of one release call to one engine
	// hedgeDelay is how long an engine may take to accept a release before another engine is called as well.
	// maxHedgesPerRelease is the number of calls in flight at a time for one release, and hedgeRoundPause is the
	// pause between two rounds over all engines.
	hedgeDelay          = 30 * time.Millisecond
	hedgeRoundPause     = 15 * time.Millisecond
	maxHedgesPerRelease = 6
	maxHedgesTotal      = 32                    // for all releases together; each may always have one call in flight
	readEndDelay        = 30 * time.Millisecond // a cancelled read ends within this time, or has already succeeded
	maxCancelCalls      = 10                    // release calls for one cancelled read
	expireInterval      = time.Second
	lastByteDelay       = 2 * time.Millisecond // the last byte of a request is held back for this long
	maxConnTries        = 3                    // connections tried for an attempt until one has delivered its request
	lastResponseTTL     = time.Minute          // an engine counts as running for this long after a response
	distrustDuration    = 10 * time.Second     // for this long after a reset, no connection to the engine is reused
	// connReuseDelay is how long a connection stays unused after an attempt's response. A faulty engine may send a
	// second response some milliseconds after the first, and on a reused connection it would be taken for the
	// response to the next request.
	connReuseDelay = 50 * time.Millisecond
	// closeDelay is how long the close of a connection may take to reach its engine: several times the network
	// latency between zones.
	closeDelay = 5 * time.Millisecond
)

// Options are the limits and timeouts of a Client.
type Options struct {
	DialTimeout       time.Duration
	IdleConnTimeout   time.Duration // idle connections are closed after this time
	MaxConns          int           // to all engines together
	ReleaseConns      int           // additional connections that only releases may use
	StreamIdleTimeout time.Duration // a stream without an event for this long is broken
	ReleaseTimeout    time.Duration
	CancelRetryDelay  time.Duration // between repeated release calls for a cancelled read
	ProbeTimeout      time.Duration
	Log               *slog.Logger // nil: nothing is logged
}

// Client talks to all engines and implements router.Engines. It is safe for concurrent use.
type Client struct {
	opts Options
	pool *pool

	mu           sync.Mutex
	lastResponse map[string]time.Time // time of each engine's last response, by address
	listed       map[string]struct{}  // addresses of the engines in the server list
	activeHedges atomic.Int32         // release calls in flight

	// The values of the constants with these names; tests change them.
	readEndDelay, connReuseDelay, releaseCallTimeout, closeDelay time.Duration
}

// New returns a client. Run closes its idle connections in time.
func New(opts Options) *Client {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	return &Client{opts: opts, readEndDelay: readEndDelay, connReuseDelay: connReuseDelay, releaseCallTimeout: releaseCallTimeout,
		closeDelay: closeDelay, lastResponse: map[string]time.Time{}, listed: map[string]struct{}{}, pool: &pool{log: opts.Log, dialTimeout: opts.DialTimeout,
			idleTimeout: opts.IdleConnTimeout, lastByteDelay: lastByteDelay, maxConns: opts.MaxConns, releaseConns: opts.ReleaseConns}}
}

// Run closes idle connections before their engines do. When ctx ends it closes all idle connections and returns.
func (c *Client) Run(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	defer c.pool.closeConns("")
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			c.expire(now)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.pool.closeConns("") }

// EngineListed records that an engine is in the server list.
func (c *Client) EngineListed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed[addr] = struct{}{}
}

// ForgetEngine drops everything stored for an engine that has left the server list, or whose process was replaced by
// another at the same address.
func (c *Client) ForgetEngine(addr string) {
	c.mu.Lock()
	delete(c.lastResponse, addr)
	delete(c.listed, addr)
	c.mu.Unlock()
	c.pool.closeConns(addr)
}

// expire drops engines that have not responded for lastResponseTTL. A late response may be recorded after
// ForgetEngine, and since new engines keep coming with new addresses, such entries would otherwise pile up.
func (c *Client) expire(now time.Time) {
	c.pool.closeExpired()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, at := range c.lastResponse {
		if now.Sub(at) > lastResponseTTL {
			delete(c.lastResponse, addr)
		}
	}
}

// startAttempt sends an attempt's request and reads the head of the response.
func (c *Client) startAttempt(ctx context.Context, addr string, q *engine.Call) (*exchange, error) {
	x, err := c.start(ctx, addr, &call{method: "POST", target: q.Message.Target, requestID: q.Params.Request,
		fields: q.Message.Fields, body: q.Message.Body, responseDeadline: q.ResponseDeadline, newConn: q.NonIdempotent, lastResponseWithin: q.LastResponseWithin, gate: q.Gate})
	x.reuseDelay = c.connReuseDelay
	return x, err
}

// Prefill has an engine read a prompt. It returns when the engine holds the KV state or the attempt has failed.
func (c *Client) Prefill(ctx context.Context, addr string, q *engine.Call) engine.Result {
	x, err := c.startAttempt(ctx, addr, q)
	defer x.done()
	if err != nil {
		return x.failureResult(err)
	}
	if x.status != http.StatusAccepted {
		return x.refusalResult()
	}
	b, err := x.body()
	if err != nil {
		return x.failureResult(err)
	}
	var v struct {
		Cached float64 `json:"cached_tokens"`
	}
	if err := json.Unmarshal(b, &v); err != nil || v.Cached < 0 {
		return x.failureResult(fmt.Errorf("%w: no report of cached tokens: %.60q", http1.ErrMalformed, b))
	}
	return engine.Result{Outcome: decide.ReadDone, CachedTokens: v.Cached, Report: x.report(),
		State: &engine.State{Addr: addr, Handle: q.Params.Request, Tokens: q.Params.PromptTokens}}
}

// Decode has an engine write the answer and passes each event to sink unchanged. An error from sink ends the attempt
// with the outcome Cancelled, unless the attempt has timed out.
func (c *Client) Decode(ctx context.Context, addr string, q *engine.Call, sink func(event string) error) engine.Result {
	x, err := c.startAttempt(ctx, addr, q)
	defer x.done()
	if err != nil {
		return x.failureResult(err)
	}
	if x.status != http.StatusOK {
		return x.refusalResult()
	}
	return x.readStream(sink)
}

// readStream reads a response as a stream of events and passes each of them to sink.
func (x *exchange) readStream(sink func(event string) error) engine.Result {
	_, chunked, err := x.head.Framing()
	if err == nil && !chunked {
		err = fmt.Errorf("%w: a stream without chunked encoding has no recognizable end", http1.ErrMalformed)
	}
	if v, _ := x.head.Get("Content-Type"); err == nil && !isEventStream(v) {
		err = fmt.Errorf("%w: Content-Type %.40q", http1.ErrMalformed, v)
	}
	if err != nil {
		return x.failureResult(err)
	}
	e := eventStream{x: x, chunks: http1.NewChunkedReader(x.conn.br, maxChunkSize), report: x.report()}
	tokens := 0
	for {
		event, err := e.next()
		switch {
		case err == io.EOF:
			x.complete = true
			x.conn.SetReadDeadline(time.Time{})
			return engine.Result{Outcome: decide.Served, Report: e.report, Tokens: tokens, Detail: e.describeEnd()}
		case err != nil:
			r := x.failureResult(err)
			r.Tokens, r.Report = tokens, e.report
			return r
		}
		if err := sink(event); err != nil {
			r := x.failureResult(err)
			if r.Outcome != decide.TimedOut {
				r.Outcome = decide.Cancelled
			}
			r.Tokens, r.Report = tokens, e.report
			return r
		}
		tokens++
	}
}

// Reserve requests a reservation at a writer and reports whether the engine has confirmed it.
func (c *Client) Reserve(ctx context.Context, addr string, p *engine.ReservationRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProbeTimeout)
	defer cancel()
	x, err := c.start(ctx, addr, &call{method: "POST", target: platform.HoldsPath + p.Request})
	defer x.done()
	if err != nil {
		return false, err
	}
	if _, err := x.body(); err != nil {
		return false, err
	}
	x.reuseOnlyAfter(http.StatusOK, http.StatusNoContent)
	return x.status == http.StatusOK, nil
}

// Probe requests a load report. With newConn it opens a new connection, which shows whether the engine is reachable.
func (c *Client) Probe(ctx context.Context, addr string, newConn bool) engine.Result {
	ctx, cancel := context.WithTimeoutCause(ctx, c.opts.ProbeTimeout, engine.ErrTimedOut)
	defer cancel()
	x, err := c.start(ctx, addr, &call{method: "GET", target: platform.LoadPath, newConn: newConn})
	defer x.done()
	if err != nil {
		return x.failureResult(err)
	}
	b, err := x.body()
	if err != nil {
		return x.failureResult(err)
	}
	x.reuseOnlyAfter(http.StatusOK)
	if x.status != http.StatusOK {
		return engine.Result{Outcome: decide.Error, Report: engine.NoReport(), Err: fmt.Errorf("status %d", x.status)}
	}
	r := engine.Result{Outcome: decide.Served, Report: parseLoadReport(b)}
	if v, n := x.head.Get(platform.LoadHeader); n > 0 && r.Report == engine.NoReport() {
		r.Report = parseLoadReport([]byte(v))
	}
	return r
}
