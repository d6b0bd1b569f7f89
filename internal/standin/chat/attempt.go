package chat

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"mintdoor/internal/platform"
)

// requestPlan is what an engine does with one request, drawn when the request arrives.
type requestPlan struct {
	refuse, fail, resetAtStart, resetInStream, malformedAnswer, malformedStream bool
	endlessHeader, duplicateAnswer, interimResponse, closeAfterAnswer           bool
	faultEvent                                                                  int // a stream fault comes before this event
	streamFault                                                                 *StreamFault
	streamForm                                                                  *StreamForm
	slowdown                                                                    float64
}

// drawPlan draws the faults of a request from the engine's behaviour.
func (e *Engine) drawPlan() *requestPlan {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &e.behaviour
	p := &requestPlan{refuse: e.drawFault("turned away", b.Refuse), slowdown: max(b.Slowdown, 1)}
	if e.inFlight >= e.opts.MaxInFlight {
		p.refuse = true
	}
	if p.refuse {
		return p
	}
	p.fail = e.drawFault("errors", b.Fail)
	p.resetAtStart = e.drawFault("resets at the start", b.ResetAtStart)
	p.malformedAnswer = e.drawFault("spoilt answers", b.MalformedAnswer)
	p.endlessHeader = e.drawFault("endless heads", b.EndlessHeader)
	p.interimResponse = e.drawFault("interim answers", b.InterimResponse)
	p.duplicateAnswer = e.drawFault("second answers", b.DuplicateAnswer)
	p.closeAfterAnswer = e.drawFault("idle connections closed", b.CloseAfterAnswer)
	if e.opts.Writer {
		p.resetInStream = e.drawFault("resets in a stream", b.ResetInStream)
		p.malformedStream = e.drawFault("spoilt streams", b.MalformedStream)
		p.faultEvent = e.random.IntN(e.opts.Timing.EventsPerStream + 1)
		if b.StreamFaultAt > 0 {
			p.faultEvent = b.StreamFaultAt - 1
		}
		p.streamFault, p.streamForm = e.drawStreamFault(), e.drawStreamForm()
	}
	return p
}

// drawStreamFault draws how a malformed stream is spoilt. mu is held.
func (e *Engine) drawStreamFault() *StreamFault {
	random := e.random.IntN(len(StreamFaults))
	if n := e.behaviour.StreamFault; n > 0 {
		return &StreamFaults[n-1]
	}
	return &StreamFaults[random]
}

// drawStreamForm draws the form of a stream. mu is held.
func (e *Engine) drawStreamForm() *StreamForm {
	vary, random := e.random.Float64() < e.opts.VaryStreams, e.random.IntN(len(StreamForms))
	switch n := e.behaviour.StreamForm; {
	case n > 0:
		return &StreamForms[n-1]
	case vary:
		return &StreamForms[random]
	}
	return &StreamForms[0]
}

// addInFlight changes the number of requests in progress.
func (e *Engine) addInFlight(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight += n
}

// runAttempt executes an attempt. It returns false if the connection has to end.
func (c *engineConn) runAttempt(a *Attempt) bool {
	c.setAttempt(true)
	defer c.setAttempt(false)
	e := c.engine
	p := e.drawPlan()
	if p.refuse {
		ok := c.writeAnswer(503, "", platform.UnprocessedHeader+": 1")
		e.opts.Cluster.endAttempt(a, Refused)
		return ok
	}
	e.addInFlight(1)
	defer e.addInFlight(-1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := c.cancelOnClose(cancel)
	outcome := c.perform(ctx, a, p)
	stop()
	switch outcome {
	case Streamed, Read, ConnReset, Malformed: // these ended before the router could close the connection
	default:
		if ctx.Err() != nil {
			outcome = Cancelled
		}
	}
	e.mu.Lock()
	if e.killed && outcome == Cancelled {
		outcome = EngineDied
	}
	e.mu.Unlock()
	e.opts.Cluster.endAttempt(a, outcome)
	switch outcome {
	case ConnReset:
		resetConn(c.Conn)
		return false
	case Malformed: // open but unusable; the router has to close it
		if p.malformedStream && p.streamFault.closes {
			return false
		}
		c.br.Peek(1)
		return false
	case Cancelled, EngineDied:
		return false
	}
	if p.duplicateAnswer {
		time.Sleep(duplicateAnswerDelay)
		c.writeAnswer(202, `{"cached_tokens":0}`)
	}
	return !p.closeAfterAnswer
}

// perform does an attempt's work and writes its answer.
func (c *engineConn) perform(ctx context.Context, a *Attempt, p *requestPlan) Outcome {
	e := c.engine
	switch {
	case p.resetAtStart:
		return ConnReset
	case !c.workFor(ctx, 0):
		return Cancelled
	case p.malformedAnswer:
		io.WriteString(c, "\x01\x02 what is this\r\n\r\n")
		return Malformed
	case p.endlessHeader:
		return c.writeEndlessHeader(ctx)
	case p.fail:
		c.writeAnswer(500, "")
		return Failed
	case p.interimResponse:
		io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
	}
	if !a.Writer {
		return c.read(ctx, a, p)
	}
	if !e.opts.Cluster.isHeld(a.Request) {
		c.writeAnswer(410, "", platform.UnprocessedHeader+": 1")
		return StateGone
	}
	return c.write(ctx, a, p)
}

// workFor spends time on a request, and continues to wait while the engine hangs. It returns false if the router has
// given up.
func (c *engineConn) workFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	c.engine.mu.Lock()
	resumed := c.engine.resumed
	c.engine.mu.Unlock()
	select {
	case <-resumed:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}

// scale returns a duration multiplied by the request's slowdown.
func (p *requestPlan) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.slowdown)
}

// writeEndlessHeader writes a response header that does not end, until the router closes the connection.
func (c *engineConn) writeEndlessHeader(ctx context.Context) Outcome {
	io.WriteString(c, "HTTP/1.1 200 OK\r\n")
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(c, "X-Field-%d: a\r\n", n); err != nil || !c.workFor(ctx, time.Millisecond) {
			return Cancelled
		}
	}
}

// read reads a prompt and holds its KV state.
func (c *engineConn) read(ctx context.Context, a *Attempt, p *requestPlan) Outcome {
	if !c.workFor(ctx, p.scale(c.engine.opts.Timing.ReadTime)) {
		return Cancelled
	}
	c.engine.opts.Cluster.addHold(a.Request, c.engine.opts.ID)
	if !c.writeAnswer(202, `{"cached_tokens":0}`) {
		return Cancelled
	}
	return Read
}

// write streams an answer.
func (c *engineConn) write(ctx context.Context, a *Attempt, p *requestPlan) Outcome {
	timing := c.engine.opts.Timing
	if !c.workFor(ctx, p.scale(timing.FirstTokenTime)) {
		return Cancelled
	}
	c.engine.opts.Cluster.releaseHolds(a.Request) // the stream has taken the KV state over
	form := p.streamForm
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: "+platform.EventStreamType+"\r\n"+form.fields+"Transfer-Encoding: chunked\r\n\r\n")
	if err != nil {
		return Cancelled
	}
	events := form.Events(a.Request, c.engine.opts.ID, timing.EventsPerStream)
	for n, event := range events {
		if n > 0 && n < timing.EventsPerStream && !c.workFor(ctx, p.scale(timing.EventInterval)) {
			return Cancelled
		}
		if n == p.faultEvent && p.resetInStream {
			return ConnReset
		}
		if n == p.faultEvent && p.malformedStream {
			p.streamFault.write(c, events[n:])
			return Malformed
		}
		c.engine.opts.Cluster.addEvent(a)
		if _, err := io.WriteString(c, form.wireText(event)); err != nil {
			return Cancelled
		}
	}
	if _, err := io.WriteString(c, form.endText()); err != nil {
		return Cancelled
	}
	return Streamed
}

// LastEvent is the data of the last event of a stream.
const LastEvent = "[DONE]"

// EventText returns the data of an event of a stream. It names the request, so that a client can check that the event
// is its own.
func EventText(request, engine string, n int) string {
	return fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":"%s/%s/%d"},"finish_reason":null}]}`, request, engine, n)
}

// ParseEvent parses the data that EventText has written.
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
