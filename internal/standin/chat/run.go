package chat

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"mintdoor/internal/platform"
)

// plan is what an engine does with one request, drawn when it arrives.
type plan struct {
	turnAway, fail, resetAtStart, resetInStream, spoilAtStart, spoilInStream bool
	endless, secondAnswer, interim, closeIdle                                bool
	cut                                                                      int // event before which the stream is reset or spoilt
	slowness                                                                 float64
}

func (e *Engine) plan() *plan {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &e.behaviour
	p := &plan{turnAway: e.chance("turned away", b.Refuse), slowness: max(b.Slowdown, 1)}
	if e.busy >= e.opts.Slots {
		p.turnAway = true
	}
	if p.turnAway {
		return p
	}
	p.fail = e.chance("errors", b.Fail)
	p.resetAtStart = e.chance("resets at the start", b.ResetAtStart)
	p.spoilAtStart = e.chance("spoilt answers", b.MalformedAnswer)
	p.endless = e.chance("endless heads", b.EndlessHeader)
	p.interim = e.chance("interim answers", b.InterimResponse)
	p.secondAnswer = e.chance("second answers", b.DuplicateAnswer)
	p.closeIdle = e.chance("idle connections closed", b.CloseAfterAnswer)
	if e.opts.Writer {
		p.resetInStream = e.chance("resets in a stream", b.ResetInStream)
		p.spoilInStream = e.chance("spoilt streams", b.MalformedStream)
		p.cut = 1 + e.random.IntN(max(e.opts.Timing.EventsPerStream, 1))
	}
	return p
}

func (e *Engine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy += n
}

// run carries out an attempt; false if the connection is to end.
func (c *engineConn) run(a *Attempt) bool {
	e := c.engine
	p := e.plan()
	if p.turnAway {
		ok := c.answer(503, "", platform.UnprocessedHeader+": 1")
		e.opts.Cluster.end(a, Refused)
		return ok
	}
	e.count(1)
	defer e.count(-1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := c.watch(cancel)
	outcome := c.carryOut(ctx, a, p)
	stop()
	switch outcome {
	case Streamed, Read, ConnReset, Malformed: // it had ended before a router could give it up
	default:
		if ctx.Err() != nil {
			outcome = Cancelled
		}
	}
	e.mu.Lock()
	if e.dead && outcome == Cancelled {
		outcome = EngineDied
	}
	e.mu.Unlock()
	e.opts.Cluster.end(a, outcome)
	switch outcome {
	case ConnReset:
		reset(c.Conn)
		return false
	case Malformed: // open, and of no use; the router has to close it
		c.br.Peek(1)
		return false
	case Cancelled, EngineDied:
		return false
	}
	if p.secondAnswer {
		time.Sleep(secondAnswerAfter)
		c.answer(202, `{"cached_tokens":0}`)
	}
	return !p.closeIdle
}

// carryOut does an attempt's work and writes its answer.
func (c *engineConn) carryOut(ctx context.Context, a *Attempt, p *plan) Outcome {
	e := c.engine
	switch {
	case p.resetAtStart:
		return ConnReset
	case !c.works(ctx, 0):
		return Cancelled
	case p.spoilAtStart:
		io.WriteString(c, "\x01\x02 what is this\r\n\r\n")
		return Malformed
	case p.endless:
		return c.endless(ctx)
	case p.fail:
		c.answer(500, "")
		return Failed
	case p.interim:
		io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
	}
	if !a.Writer {
		return c.read(ctx, a, p)
	}
	if !e.opts.Cluster.isHeld(a.Request) {
		c.answer(410, "", platform.UnprocessedHeader+": 1")
		return StateGone
	}
	return c.write(ctx, a, p)
}

// works spends time on a request, and more while the engine hangs; false if the router has given up.
func (c *engineConn) works(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	c.engine.mu.Lock()
	hung := c.engine.hung
	c.engine.mu.Unlock()
	select {
	case <-hung:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}

func (p *plan) takes(d time.Duration) time.Duration { return time.Duration(float64(d) * p.slowness) }

// endless writes a head that does not end, until the router closes.
func (c *engineConn) endless(ctx context.Context) Outcome {
	io.WriteString(c, "HTTP/1.1 200 OK\r\n")
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(c, "X-Field-%d: a\r\n", n); err != nil || !c.works(ctx, time.Millisecond) {
			return Cancelled
		}
	}
}

func (c *engineConn) read(ctx context.Context, a *Attempt, p *plan) Outcome {
	if !c.works(ctx, p.takes(c.engine.opts.Timing.ReadTime)) {
		return Cancelled
	}
	c.engine.opts.Cluster.hold(a.Request, c.engine.opts.ID)
	if !c.answer(202, `{"cached_tokens":0}`) {
		return Cancelled
	}
	return Read
}

func (c *engineConn) write(ctx context.Context, a *Attempt, p *plan) Outcome {
	w := c.engine.opts.Timing
	if !c.works(ctx, p.takes(w.FirstTokenTime)) {
		return Cancelled
	}
	c.engine.opts.Cluster.letGo(a.Request) // the stream has it now
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: "+platform.EventStreamType+"\r\nTransfer-Encoding: chunked\r\n\r\n")
	if err != nil {
		return Cancelled
	}
	for n := range w.EventsPerStream {
		if n > 0 && !c.works(ctx, p.takes(w.EventInterval)) {
			return Cancelled
		}
		if n == p.cut && p.resetInStream {
			return ConnReset
		}
		if n == p.cut && p.spoilInStream {
			io.WriteString(c, "zz\r\n")
			return Malformed
		}
		if !c.event(a, EventText(a.Request, c.engine.opts.ID, n)) {
			return Cancelled
		}
	}
	if !c.event(a, LastEvent) {
		return Cancelled
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		return Cancelled
	}
	return Streamed
}

// event writes one event as a chunk.
func (c *engineConn) event(a *Attempt, text string) bool {
	c.engine.opts.Cluster.event(a)
	data := "data: " + text + "\n\n"
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(data), data)
	return err == nil
}

// LastEvent is the data of the last event of a stream.
const LastEvent = "[DONE]"

// EventText is the data of an event of a stream. It says whose it is, so that a client can tell whether it is its own.
func EventText(request, engine string, n int) string {
	return fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":"%s/%s/%d"},"finish_reason":null}]}`, request, engine, n)
}

// ParseEvent reads what EventText has written.
func ParseEvent(text string) (request, engine string, n int, ok bool) {
	_, rest, found := strings.Cut(text, `"content":"`)
	content, _, closed := strings.Cut(rest, `"`)
	parts := strings.Split(content, "/")
	if !found || !closed || len(parts) != 3 {
		return "", "", 0, false
	}
	if _, err := fmt.Sscanf(parts[2], "%d", &n); err != nil {
		return "", "", 0, false
	}
	return parts[0], parts[1], n, true
}
