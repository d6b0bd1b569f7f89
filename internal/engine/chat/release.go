package chat

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mintdoor/internal/engine"
	"mintdoor/internal/platform"
)

// Release lets go of all that is held for a request. Any engine that runs takes the call for all of them, so
// it is tried at others when the one that holds it does not answer.
func (c *Client) Release(ctx context.Context, s *engine.State) error {
	return c.releaseHolds(ctx, s.Addr, s.Handle, hedgeDelay)
}

// CancelRead lets go of what a read may have left that was given up. It waits for the read's end first: a call
// that overtakes the closing of the read's connection would find nothing, and leave what the read then ends with. Where
// the network keeps the closing from the engine, or the engine hangs, the read goes on and ends later. That the engine
// answers others does not show that it has ended. So the call is made again and again for a while.
func (c *Client) CancelRead(ctx context.Context, addr, request string) error {
	return c.cancelRead(ctx, addr, request, c.readEndDelay)
}

// CancelReadLater does the same for a read whose request has an answer that has begun: what is known is let go already.
func (c *Client) CancelReadLater(ctx context.Context, addr, request string) error {
	return c.cancelRead(ctx, addr, request, c.opts.CancelRetryDelay)
}

func (c *Client) cancelRead(ctx context.Context, addr, request string, wait time.Duration) error {
	var err error
	after := hedgeDelay
	for range maxCancelCalls {
		select {
		case <-ctx.Done():
			return errors.Join(err, c.releaseHolds(ctx, addr, request, after)) // says what it is that was not let go
		case <-time.After(wait):
		}
		err = c.releaseHolds(ctx, addr, request, after)
		wait, after = c.opts.CancelRetryDelay, c.releaseCallTimeout // there may be many such calls, and most find nothing
	}
	return err
}

// respondedSince tells whether an engine has answered something since a time.
func (c *Client) respondedSince(addr string, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse[addr].After(since)
}

// CancelReservation lets go of a place; the protocol has one call for all that is held.
func (c *Client) CancelReservation(ctx context.Context, addr, request string) error {
	return c.releaseHolds(ctx, addr, request, hedgeDelay)
}

// Renew does nothing: the protocol's engines hold a state until it is let go.
func (c *Client) Renew(context.Context, *engine.State) error { return nil }

// maxKeptConnTries is how many engines are tried on kept connections; those may have fallen silent, all of them.
const maxKeptConnTries = 2

// releaseHolds takes the call to an engine, and to others as long as none has taken it: one more after each such time, or at once when one
// fails; of all calls together maxHedges are at others at a time. Any engine that runs takes it for all. First comes the engine at addr if it was heard lately, else one that was; then
// those that answered last, and then any that is listed: most may be silent. What is held has to be let go within a time that a
// few silent engines, one after the other, would use up (a zone that is cut off).
func (c *Client) releaseHolds(ctx context.Context, addr, request string, hedgeDelay time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReleaseTimeout)
	start := time.Now()
	type result struct {
		addr string
		err  error
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
				c.opts.Log.Info("let go", "request", request, "held at", addr, "taken by", res.addr, "engines asked", len(tried),
					"after", time.Since(start))
				return nil
			}
			lastErr = res.err
			hedge.Reset(0)
		case <-hedge.C:
			if pending == maxHedgesPerRelease {
				continue // the first that ends makes room
			}
			target := next()
			if pending > 0 && c.activeHedges.Load() >= maxHedgesTotal && !c.respondedSince(target, start) { // one that is heard now takes it at once
				hedge.Reset(hedgeDelay)
				continue
			}
			if target == "" {
				clear(tried) // all once more
				hedge.Reset(hedgeRoundPause)
				continue
			}
			tried[target] = true
			pending++
			newConn := len(tried) > maxKeptConnTries
			c.activeHedges.Add(1)
			go func() {
				defer c.activeHedges.Add(-1)
				results <- result{target, c.sendRelease(ctx, target, request, newConn)}
			}()
			hedge.Reset(hedgeDelay)
		}
	}
}

// sendRelease makes the call that lets go of what is held, at one engine.
func (c *Client) sendRelease(ctx context.Context, addr, request string, newConn bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.releaseCallTimeout)
	defer cancel()
	x, err := c.start(ctx, addr, &call{method: "DELETE", target: platform.HoldsPath + request, urgent: true,
		newConn: newConn})
	defer x.done()
	if err != nil {
		return err
	}
	if _, err := x.body(); err != nil {
		return err
	}
	if x.status >= 300 {
		return fmt.Errorf("status %d", x.status)
	}
	return nil
}

// nextEngine returns the engine that answered last of those not tried yet, or else any that is listed; "" if there is none.
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
	for addr := range c.listed { // in no order
		if !tried[addr] {
			return addr
		}
	}
	return ""
}
