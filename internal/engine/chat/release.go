package chat

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"mintdoor/internal/engine"
	"mintdoor/internal/platform"
)

// Release releases all holds of a request. Any running engine accepts the call on behalf of all engines, so other
// engines are called when the one that holds the KV state does not respond.
func (c *Client) Release(ctx context.Context, s *engine.State) error {
	return c.releaseHolds(ctx, s.Addr, s.Handle, hedgeDelay)
}

// CancelRead releases the KV state that a cancelled read may have left. It first waits until the read should have
// ended: a release that overtakes the close of the read's connection would find nothing, and the KV state with which
// the read then ends would stay behind. If the network keeps the close from the engine, or the engine hangs, the read
// continues and ends later, and responses of the engine to other requests don't show that it has ended. The release
// is therefore repeated maxCancelCalls times.
func (c *Client) CancelRead(ctx context.Context, addr, request string) error {
	return c.cancelRead(ctx, addr, request, c.readEndDelay)
}

// CancelReadLater does the same as CancelRead for a read whose request already has an answer that has begun. The
// holds that are known are released already, so the first call is made only after CancelRetryDelay.
func (c *Client) CancelReadLater(ctx context.Context, addr, request string) error {
	return c.cancelRead(ctx, addr, request, c.opts.CancelRetryDelay)
}

// cancelRead releases the holds of a cancelled read maxCancelCalls times, for the first time after wait.
func (c *Client) cancelRead(ctx context.Context, addr, request string, wait time.Duration) error {
	var err error
	after := hedgeDelay
	for range maxCancelCalls {
		select {
		case <-ctx.Done():
			return errors.Join(err, c.releaseHolds(ctx, addr, request, after)) // names what was not released
		case <-time.After(wait):
		}
		err = c.releaseHolds(ctx, addr, request, after)
		wait, after = c.opts.CancelRetryDelay, c.releaseCallTimeout // there may be many calls; most find nothing
	}
	return err
}

// respondedSince reports whether an engine has sent any response since a given time.
func (c *Client) respondedSince(addr string, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse[addr].After(since)
}

// CancelReservation cancels a reservation. The protocol has a single call that releases all holds of a request.
func (c *Client) CancelReservation(ctx context.Context, addr, request string) error {
	return c.releaseHolds(ctx, addr, request, hedgeDelay)
}

// Renew does nothing: engines of this protocol hold a KV state until it is released.
func (c *Client) Renew(context.Context, *engine.State) error { return nil }

// maxKeptConnTries is how many engines a release tries on kept connections. Further ones are tried on new
// connections, because all kept ones may have become unresponsive.
const maxKeptConnTries = 2

// releaseHolds releases the holds of a request. It calls one engine, and as long as none has accepted the release it
// hedges: it calls one more engine after each hedgeDelay, or at once when a call fails. All releases together have at
// most maxHedgesTotal hedges in flight. Any running engine accepts the call on behalf of all engines. After calls that
// were given up without a response the next ones may take twice as long: all engines may be slow.
//
// The first call goes to the engine at addr if it has responded recently, otherwise to one that has. Then follow the
// other engines, those with the latest responses first, and last any engine in the server list, since most may be
// unresponsive. The calls are hedged because holds must be released within a time that a few unresponsive engines,
// called one after the other, would use up, for example when a zone is cut off.
func (c *Client) releaseHolds(ctx context.Context, addr, request string, hedgeDelay time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReleaseTimeout)
	start := time.Now()
	type result struct {
		addr    string
		timeout time.Duration // of the call
		err     error
	}
	results := make(chan result)
	pending := 0
	defer func() {
		cancel()
		for ; pending > 0; pending-- {
			<-results
		}
	}()
	var lastErr error
	callTimeout := c.releaseCallTimeout
	tried := map[string]bool{}
	next := func() string {
		if addr != "" && !tried[addr] && (len(tried) > 0 || c.respondedSince(addr, start.Add(-c.releaseCallTimeout))) {
			return addr
		}
		if other := c.nextEngine(tried); other != "" || tried[addr] {
			return other
		}
		return addr
	}
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("DELETE %s%s: %w", platform.HoldsPath, request, errors.Join(lastErr, ctx.Err()))
		case res := <-results:
			pending--
			if res.err == nil {
				c.opts.Log.Info("holds released", "request", request, "held at", addr, "taken by", res.addr, "engines asked", len(tried),
					"after", time.Since(start))
				return nil
			}
			lastErr = res.err
			if errors.Is(res.err, errReleaseTimeout) {
				callTimeout = max(callTimeout, 2*res.timeout)
			}
			hedge.Reset(0)
		case <-hedge.C:
			if pending == maxHedgesPerRelease {
				continue // the first call that ends triggers the next
			}
			target := next()
			// An engine that has responded since the start is called in any case, as it will accept the release at
			// once.
			if pending > 0 && c.activeHedges.Load() >= maxHedgesTotal && !c.respondedSince(target, start) {
				hedge.Reset(hedgeDelay)
				continue
			}
			if target == "" {
				clear(tried) // start another round over all engines
				hedge.Reset(hedgeRoundPause)
				continue
			}
			tried[target] = true
			pending++
			newConn := len(tried) > maxKeptConnTries
			c.activeHedges.Add(1)
			timeout := callTimeout
			go func() {
				defer c.activeHedges.Add(-1)
				results <- result{target, timeout, c.sendRelease(ctx, target, request, newConn, timeout)}
			}()
			hedge.Reset(hedgeDelay)
		}
	}
}

// errReleaseTimeout is the error of a release call that got no response in time.
var errReleaseTimeout = errors.New("no response in time")

// sendRelease makes the release call to one engine.
func (c *Client) sendRelease(ctx context.Context, addr, request string, newConn bool, timeout time.Duration) error {
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, errReleaseTimeout)
	defer cancel()
	err := c.makeReleaseCall(ctx, addr, request, newConn)
	if err != nil && errors.Is(context.Cause(ctx), errReleaseTimeout) {
		return fmt.Errorf("%w: %w", errReleaseTimeout, err)
	}
	return err
}

// makeReleaseCall makes the release call to one engine and reads its response.
func (c *Client) makeReleaseCall(ctx context.Context, addr, request string, newConn bool) error {
	x, err := c.start(ctx, addr, &call{method: "DELETE", target: platform.HoldsPath + request, isRelease: true,
		newConn: newConn})
	defer x.done()
	if err != nil {
		return err
	}
	if _, err := x.body(); err != nil {
		return err
	}
	x.reuseOnlyAfter(http.StatusNoContent)
	if x.status >= 300 {
		return fmt.Errorf("status %d", x.status)
	}
	return nil
}

// nextEngine returns the engine with the latest response among those not tried yet, or else any engine in the server
// list that was not tried yet. It returns "" if there is none.
func (c *Client) nextEngine(tried map[string]bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, at := "", time.Time{}
	for addr, t := range c.lastResponse {
		if !tried[addr] && (best == "" || t.After(at)) {
			best, at = addr, t
		}
	}
	if best != "" {
		return best
	}
	for addr := range c.listed { // in no particular order
		if !tried[addr] {
			return addr
		}
	}
	return ""
}
