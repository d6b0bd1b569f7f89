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
	return c.letGo(ctx, s.Addr, s.Handle, hedgeAfter)
}

// CancelRead lets go of what a read may have left that was given up. It waits for the read's end first: a call
// that overtakes the closing of the read's connection would find nothing, and leave what the read then ends with. Where
// the network keeps the closing from the engine, or the engine hangs, the read goes on and ends later. That the engine
// answers others does not show that it has ended. So the call is made again and again for a while.
func (c *Client) CancelRead(ctx context.Context, addr, request string) error {
	return c.callOff(ctx, addr, request, c.readEnds)
}

// CancelReadLater does the same for a read whose request has an answer that has begun: what is known is let go already.
func (c *Client) CancelReadLater(ctx context.Context, addr, request string) error {
	return c.callOff(ctx, addr, request, c.opts.CancelRetryDelay)
}

func (c *Client) callOff(ctx context.Context, addr, request string, wait time.Duration) error {
	var err error
	after := hedgeAfter
	for range maxCallOffs {
		select {
		case <-ctx.Done():
			return errors.Join(err, c.letGo(ctx, addr, request, after)) // says what it is that was not let go
		case <-time.After(wait):
		}
		err = c.letGo(ctx, addr, request, after)
		wait, after = c.opts.CancelRetryDelay, c.firstTry // there may be many such calls, and most find nothing
	}
	return err
}

// heardSince tells whether an engine has answered something since a time.
func (c *Client) heardSince(addr string, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard[addr].After(since)
}

// CancelReservation lets go of a place; the protocol has one call for all that is held.
func (c *Client) CancelReservation(ctx context.Context, addr, request string) error {
	return c.letGo(ctx, addr, request, hedgeAfter)
}

// Renew does nothing: the protocol's engines hold a state until it is let go.
func (c *Client) Renew(context.Context, *engine.State) error { return nil }

// keptTries is how many engines are tried on kept connections; those may have fallen silent, all of them.
const keptTries = 2

// letGo takes the call to an engine, and to others as long as none has taken it: one more after each such time, or at once when one
// fails; of all calls together maxHedges are at others at a time. Any engine that runs takes it for all. First comes the engine at addr if it was heard lately, else one that was; then
// those that answered last, and then any that is listed: most may be silent. What is held has to be let go within a time that a
// few silent engines, one after the other, would use up (a zone that is cut off).
func (c *Client) letGo(ctx context.Context, addr, request string, hedgeAfter time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReleaseTimeout)
	began := time.Now()
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
	var last error
	tried := map[string]bool{}
	next := func() string {
		if addr != "" && !tried[addr] && (len(tried) > 0 || c.heardSince(addr, began.Add(-c.firstTry))) {
			return addr
		}
		if other := c.other(tried); other != "" || tried[addr] {
			return other
		}
		return addr
	}
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("DELETE %s%s: %w", platform.HoldsPath, request, errors.Join(last, ctx.Err()))
		case res := <-results:
			pending--
			if res.err == nil {
				c.opts.Log.Info("let go", "request", request, "held at", addr, "taken by", res.addr, "engines asked", len(tried),
					"after", time.Since(began))
				return nil
			}
			last = res.err
			hedge.Reset(0)
		case <-hedge.C:
			if pending == maxHedged {
				continue // the first that ends makes room
			}
			to := next()
			if pending > 0 && c.hedges.Load() >= maxHedges && !c.heardSince(to, began) { // one that is heard now takes it at once
				hedge.Reset(hedgeAfter)
				continue
			}
			if to == "" {
				clear(tried) // all once more
				hedge.Reset(hedgePause)
				continue
			}
			tried[to] = true
			pending++
			fresh := len(tried) > keptTries
			c.hedges.Add(1)
			go func() {
				defer c.hedges.Add(-1)
				results <- result{to, c.release(ctx, to, request, fresh)}
			}()
			hedge.Reset(hedgeAfter)
		}
	}
}

// release makes the call that lets go of what is held, at one engine.
func (c *Client) release(ctx context.Context, addr, request string, fresh bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.firstTry)
	defer cancel()
	x, err := c.start(ctx, addr, &call{method: "DELETE", target: platform.HoldsPath + request, urgent: true,
		fresh: fresh})
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

// other returns the engine that answered last of those not tried yet, or else any that is listed; "" if there is none.
func (c *Client) other(tried map[string]bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, at := "", time.Time{}
	for addr, t := range c.heard {
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
