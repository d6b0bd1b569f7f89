// Package chat is the client of engines that speak the platform's protocol: the client's own request passed
// on unchanged, first to an engine that reads it, then to one that streams the answer's events; what is held
// for it stands under its id. It tells truly how an attempt ended: only what the engine said, or what was
// never written, counts as never run. It sends nothing twice and decides nothing.
package chat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/http1"
	"mintdoor/internal/platform"
)

const (
	loadComment  = ": " + platform.LoadHeader + ":"
	doneSentinel = "[DONE]"
)

// Bounds of what an engine may send.
const (
	readBuffer = 4096
	maxHead    = 16 << 10
	maxBody    = 64 << 10 // of an answer that is no stream
	maxChunk   = 64 << 10
	maxEvent   = 64 << 10
	maxInterim = 8                      // 1xx answers in front of one
	firstTry   = 150 * time.Millisecond // of a call that must be heard, at one engine
	// hedgeAfter is how long an engine has to take a release before another is asked too, maxHedged how many are asked at
	// a time, and hedgePause lies between two rounds over all engines.
	hedgeAfter  = 30 * time.Millisecond
	hedgePause  = 15 * time.Millisecond
	maxHedged   = 6
	maxHedges   = 32                    // of all releases together; one of each may always be under way
	readEnds    = 30 * time.Millisecond // a read that was given up ends within this time, or has ended well
	maxCallOffs = 10                    // calls for one read that was given up
	expireEvery = time.Second
	standsAfter = 2 * time.Millisecond // the last byte of a request is held back for so long
	connTries   = 3                    // connections for one attempt, while none has brought the request
	heardFor    = time.Minute          // an engine that answered is known for so long as one that runs
	doubtFor    = 10 * time.Second     // an engine's connections are used once for so long after one was reset
	// restFor is how long a connection rests after an attempt's answer: a second answer may come some milliseconds
	// behind it (FLEET, join), and on a connection used again it would be taken for the next request's.
	restFor = 50 * time.Millisecond
	// closeArrives is how long the closing of a connection may take to its engine: some times the way between zones.
	closeArrives = 5 * time.Millisecond
)

// Options bound what the client does.
type Options struct {
	DialTimeout       time.Duration
	IdleConnTimeout   time.Duration // idle connections are closed after this
	MaxConns          int           // to all engines
	ReleaseConns      int           // more for releases
	StreamIdleTimeout time.Duration // without an event for so long a stream has broken
	ReleaseTimeout    time.Duration
	CancelRetryDelay  time.Duration // after a read was called off it is called off once more
	ProbeTimeout      time.Duration
	Log               *slog.Logger // nil: none
}

// Client speaks to all engines; a router.Engines. It is safe for concurrent use.
type Client struct {
	opts Options
	pool *pool

	mu     sync.Mutex
	heard  map[string]time.Time // when an engine answered last
	listed map[string]struct{}  // engines that are there
	hedges atomic.Int32         // calls of releases that are under way

	readEnds, restFor, firstTry, closeArrives time.Duration // the constants; tests change them
}

// New returns a client. Run looks after its idle connections.
func New(opts Options) *Client {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	return &Client{opts: opts, readEnds: readEnds, restFor: restFor, firstTry: firstTry,
		closeArrives: closeArrives, heard: map[string]time.Time{}, listed: map[string]struct{}{}, pool: &pool{dialTimeout: opts.DialTimeout,
			keep: opts.IdleConnTimeout, standsAfter: standsAfter, most: opts.MaxConns, spare: opts.ReleaseConns}}
}

// Run closes idle connections before their engines do, until ctx ends; then all.
func (c *Client) Run(ctx context.Context) error {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	defer c.pool.forget("")
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			c.expire(now)
		}
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.forget("") }

// EngineListed notes that an engine is there.
func (c *Client) EngineListed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed[addr] = struct{}{}
}

// ForgetEngine drops what is kept for an engine that is gone, or whose process is another now.
func (c *Client) ForgetEngine(addr string) {
	c.mu.Lock()
	delete(c.heard, addr)
	delete(c.listed, addr)
	c.mu.Unlock()
	c.pool.forget(addr)
}

// expire forgets engines that have not answered for long: a late answer may come after Forget, and engines are
// always new ones.
func (c *Client) expire(now time.Time) {
	c.pool.expire()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, at := range c.heard {
		if now.Sub(at) > heardFor {
			delete(c.heard, addr)
		}
	}
}

// attempt starts an attempt of a request.
func (c *Client) attempt(ctx context.Context, addr string, q *engine.Call) (*exchange, error) {
	x, err := c.start(ctx, addr, &call{method: "POST", target: q.Message.Target, id: q.Params.Request,
		fields: q.Message.Fields, body: q.Message.Body, until: q.ResponseDeadline, fresh: q.NonIdempotent, heardWithin: q.LastResponseWithin, gate: q.Gate})
	x.rest = c.restFor
	return x, err
}

// Prefill has a prompt read and returns when the state waits, or the attempt has failed.
func (c *Client) Prefill(ctx context.Context, addr string, q *engine.Call) engine.Result {
	x, err := c.attempt(ctx, addr, q)
	defer x.done()
	if err != nil {
		return x.failed(err)
	}
	if x.status != 202 {
		return x.refused()
	}
	b, err := x.body()
	if err != nil {
		return x.failed(err)
	}
	var v struct {
		Cached float64 `json:"cached_tokens"`
	}
	if err := json.Unmarshal(b, &v); err != nil || v.Cached < 0 {
		return x.failed(fmt.Errorf("%w: no account of the read: %.60q", http1.ErrMalformed, b))
	}
	return engine.Result{Outcome: decide.ReadDone, CachedTokens: v.Cached, Report: x.report(),
		State: &engine.State{Addr: addr, Handle: q.Params.Request, Tokens: q.Params.PromptTokens}}
}

// Decode has the answer written and hands each event to sink, unchanged. An error of sink ends the attempt as
// cancelled.
func (c *Client) Decode(ctx context.Context, addr string, q *engine.Call, sink func(event string) error) engine.Result {
	x, err := c.attempt(ctx, addr, q)
	defer x.done()
	if err != nil {
		return x.failed(err)
	}
	if x.status != 200 {
		return x.refused()
	}
	return x.stream(sink)
}

func (x *exchange) stream(sink func(event string) error) engine.Result {
	_, chunked, err := x.head.Framing()
	if err == nil && !chunked {
		err = fmt.Errorf("%w: a stream that is not in chunks has no end to be known by", http1.ErrMalformed)
	}
	if v, _ := x.head.Get("Content-Type"); err == nil && !isEvents(v) {
		err = fmt.Errorf("%w: Content-Type %.40q", http1.ErrMalformed, v)
	}
	if err != nil {
		return x.failed(err)
	}
	e := events{x: x, chunks: http1.NewChunkedReader(x.conn.br, maxChunk), report: x.report()}
	tokens := 0
	for {
		event, err := e.next()
		switch {
		case errors.Is(err, io.EOF) && tokens == 0:
			return x.failed(fmt.Errorf("%w: a stream without an event", http1.ErrMalformed))
		case errors.Is(err, io.EOF):
			x.whole = true
			x.conn.SetReadDeadline(time.Time{})
			return engine.Result{Outcome: decide.Served, Report: e.report, Tokens: tokens}
		case err != nil:
			r := x.failed(err)
			r.Tokens, r.Report = tokens, e.report
			return r
		}
		if err := sink(event); err != nil {
			r := x.failed(err)
			if r.Outcome != decide.TimedOut {
				r.Outcome = decide.Cancelled
			}
			r.Tokens, r.Report = tokens, e.report
			return r
		}
		tokens++
	}
}

// Reserve asks for a place ahead and tells whether it is known to be held.
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
	return x.status == 200, nil
}

// Probe asks for a load report; fresh: on a connection that is made for it, which tells whether the engine is reached.
func (c *Client) Probe(ctx context.Context, addr string, fresh bool) engine.Result {
	ctx, cancel := context.WithTimeoutCause(ctx, c.opts.ProbeTimeout, engine.ErrTimedOut)
	defer cancel()
	x, err := c.start(ctx, addr, &call{method: "GET", target: platform.LoadPath, fresh: fresh})
	defer x.done()
	if err != nil {
		return x.failed(err)
	}
	b, err := x.body()
	if err != nil {
		return x.failed(err)
	}
	if x.status != 200 {
		return engine.Result{Outcome: decide.Error, Report: engine.NoReport(), Err: fmt.Errorf("status %d", x.status)}
	}
	r := engine.Result{Outcome: decide.Served, Report: parseLoad(b)}
	if v, n := x.head.Get(platform.LoadHeader); n > 0 && r.Report == engine.NoReport() {
		r.Report = parseLoad([]byte(v))
	}
	return r
}
