package chat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/guard"
	"mintdoor/internal/http1"
	"mintdoor/internal/platform"
	"mintdoor/internal/settings"
)

// exchange is one request and its response. done returns its connection to the pool or closes it.
type exchange struct {
	client         *Client
	ctx            context.Context
	conn           *conn
	stopWatch      func() bool // stops closing the connection when ctx ends
	requestWritten bool        // including its last byte
	head           *http1.Head
	status         int
	sawInterim     bool          // 1xx responses came before the final one
	complete       bool          // the response was read to its end, and nothing more is expected
	reuseDelay     time.Duration // how long the connection must not be used afterwards
}

// call is a request to write and what it requires of its connection.
type call struct {
	method, target, requestID string
	fields                    []http1.Field
	body                      []byte
	responseDeadline          time.Time // zero: the engine is not told how much time is left
	isRelease                 bool
	newConn                   bool          // only a connection that has carried no request yet may be used
	lastResponseWithin        time.Duration // maximum age of the last response on a kept connection; 0: any age
	gate                      engine.Gate   // nil: the request may always be sent
}

// connRequirements returns which connections may carry a call.
func (q *call) connRequirements() connRequirements {
	return connRequirements{isRelease: q.isRelease, newConn: q.newConn, lastResponseWithin: q.lastResponseWithin}
}

// start writes a request and reads the head of its response.
func (c *Client) start(ctx context.Context, addr string, q *call) (*exchange, error) {
	x := &exchange{client: c, ctx: ctx, stopWatch: func() bool { return true }}
	var err error
	for try := 1; ; try++ {
		if err = x.write(addr, q); err == nil {
			break
		}
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() && x.conn == nil {
			c.pool.closeConns(addr) // if the machine has vanished, the kept connections are dead as well
		}
		// A connection that broke before the request's last byte has delivered no request. This does not count as an
		// attempt, and another connection may carry the request. If the connection is refused or the dial times out,
		// another try would not help.
		if try == maxConnTries || ctx.Err() != nil || !connUnusable(err) {
			return x, err
		}
		if x.conn != nil {
			if !errors.Is(err, guard.Stale) {
				x.distrustConn()
			}
			x.stopWatch()
			x.conn.closeFor(closedBeforeRequest)
			x.conn = nil
		}
	}
	for n := 0; ; n++ {
		if x.head, err = http1.ReadHead(x.conn.br, maxHeadSize); err != nil {
			if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
				x.distrustConn()
			}
			return x, fmt.Errorf("head (connection used %d times before): %w", x.conn.uses, err)
		}
		if x.status, err = x.head.Status(); err != nil {
			return x, err
		}
		if x.status >= 200 {
			break
		}
		if x.sawInterim = true; n == maxInterimResponses {
			return x, fmt.Errorf("%w: more than %d interim responses", http1.ErrMalformed, maxInterimResponses)
		}
	}
	c.mu.Lock()
	c.lastResponse[addr] = time.Now()
	c.mu.Unlock()
	return x, nil
}

// errUnexpectedData is returned when an engine sends data on a kept connection before it has the whole request. The
// data belongs to no request or to the previous one, and so may everything that follows on this connection.
var errUnexpectedData = errors.New("the engine sent a response before it had the request")

// connUnusable reports whether an error of write means that the connection was broken before it delivered the
// request.
func connUnusable(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) ||
		errors.Is(err, errUnexpectedData) || errors.Is(err, guard.Stale)
}

// distrustConn handles a connection that broke before its response. If it was a kept one, other kept connections to
// the engine may be dead as well, so the pool stops reusing them for a while.
func (x *exchange) distrustConn() {
	if x.conn.uses > 0 && x.ctx.Err() == nil {
		x.client.pool.distrust(x.conn.addr)
	}
}

// write writes a request on a connection that has proved to be open: it holds the last byte back for lastByteDelay,
// so that the reset of an engine that has closed the connection, or closes it when a request arrives, is seen first.
// Without this delay the whole request would be in the kernel's send buffer before the reset arrives, and it would be
// unknown whether the request was executed.
func (x *exchange) write(addr string, q *call) error {
	var err error
	if x.conn, err = x.client.pool.get(x.ctx, addr, q.connRequirements()); err != nil {
		return err
	}
	conn := x.conn
	if q.gate != nil {
		q.gate.Connected(conn.uses)
	}
	x.stopWatch = context.AfterFunc(x.ctx, func() { conn.closeFor(closedGivenUp) }) // this is how an attempt is cancelled
	head := make([]byte, 0, 256)
	head = append(head, q.method+" "+q.target+" HTTP/1.1\r\nHost: "+addr+"\r\n"...)
	if q.requestID != "" {
		head = append(head, platform.IDHeader+": "+q.requestID+"\r\n"...)
	}
	advertised := time.Duration(0)
	if !q.responseDeadline.IsZero() {
		advertised = time.Duration(decide.AdvertisedTimeLeft(decide.Duration(time.Until(q.responseDeadline))))
		head = append(head, platform.TimeLeftHeader+": "+strconv.FormatInt(advertised.Milliseconds(), 10)+"\r\n"...)
	}
	for _, f := range q.fields {
		head = append(head, f.Name+": "+f.Value+"\r\n"...)
	}
	if q.body != nil {
		head = append(head, "Content-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(q.body))+"\r\n"...)
	}
	head = append(head, "\r\n"...)
	first, last := head, head[len(head)-1:]
	body := q.body
	if n := len(body); n > 0 {
		body, last = body[:n-1], body[n-1:]
	} else {
		first = head[:len(head)-1]
	}
	if _, err := (&net.Buffers{first, body}).WriteTo(conn.Conn); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	conn.SetReadDeadline(time.Now().Add(x.client.pool.lastByteDelay))
	_, err = conn.br.Peek(1)
	conn.SetReadDeadline(time.Time{})
	var netErr net.Error
	switch {
	case err == nil && conn.uses > 0: // on a new connection it may be a refusal of the connection
		return errUnexpectedData
	case err != nil && !(errors.As(err, &netErr) && netErr.Timeout()):
		return fmt.Errorf("write: %w", err)
	}
	if x.ctx.Err() != nil {
		return context.Cause(x.ctx)
	}
	if q.gate != nil {
		if err := q.gate.MaySend(advertised); err != nil {
			return err
		}
	}
	n, err := conn.Write(last)
	if x.requestWritten = n == len(last); !x.requestWritten {
		return fmt.Errorf("write: %w", err)
	}
	if q.gate != nil {
		q.gate.Sent(advertised)
	}
	return nil
}

// done returns the connection to the pool after a complete response and closes it otherwise, or if more data has come
// than the response. Data that arrives later is noticed when the connection is taken from the pool again.
func (x *exchange) done() {
	if x.conn == nil {
		return
	}
	reusable := x.stopWatch() && x.complete && !x.sawInterim && !x.head.WantsClose()
	switch {
	case !reusable:
		x.conn.closeFor(closedNotReusable)
	case x.conn.br.Buffered() > 0:
		x.conn.closeFor(closedUnexpected)
	default:
		x.conn.reuseDelay = x.reuseDelay
		x.client.pool.put(x.conn)
	}
}

// body reads the body of a response that is not a stream.
func (x *exchange) body() ([]byte, error) {
	length, chunked, err := x.head.Framing()
	switch {
	case err != nil:
		return nil, err
	case x.status == http.StatusNoContent:
		x.complete = !chunked && length <= 0 // one with a body has an end that nobody knows
		return nil, nil
	case length > maxBodySize:
		return nil, fmt.Errorf("%w: body of %d bytes", http1.ErrTooLarge, length)
	case chunked:
		b, err := readAllWithin(http1.NewChunkedReader(x.conn.br, maxChunkSize))
		x.complete = err == nil
		return b, err
	case length == http1.UnknownLength: // the body ends with the connection
		return readAllWithin(x.conn.br)
	}
	b := make([]byte, length)
	_, err = io.ReadFull(x.conn.br, b)
	x.complete = err == nil
	return b, err
}

// readAllWithin reads a body of unknown length to its end. A body of more than maxBodySize bytes is an error.
func readAllWithin(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxBodySize+1))
	if err == nil && len(b) > maxBodySize {
		err = fmt.Errorf("%w: body", http1.ErrTooLarge)
	}
	return b, err
}

// closedByPeer reports whether a read error means that the peer has ended the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// abandon closes the connection of an attempt that is no longer waited for and returns after closeDelay, when the
// engine should have seen the close. Until then the attempt is still in flight: a refusal sent to the client, or
// another attempt, would overtake its end.
func (x *exchange) abandon() {
	x.conn.closeFor(closedGivenUp)
	time.Sleep(x.client.closeDelay)
}

// failureResult returns the result of an exchange that ended with an error. A request whose last byte was not written
// was never executed.
func (x *exchange) failureResult(err error) engine.Result {
	r := engine.Result{Report: engine.NoReport(), Err: err}
	cause := context.Cause(x.ctx)
	if x.requestWritten && !x.complete && !closedByPeer(err) {
		x.abandon()
	}
	denied, isDenied := engine.DenialOutcome(err)
	switch {
	case isDenied:
		r.Outcome = denied
	case errors.Is(cause, engine.ErrCancelled), errors.Is(cause, context.Canceled):
		r.Outcome = decide.Cancelled
	case !x.requestWritten:
		r.Outcome = decide.ConnectFailed
	case errors.Is(cause, engine.ErrTimedOut):
		r.Outcome = decide.TimedOut
	default:
		r.Outcome = decide.Reset
	}
	return r
}

// errUnexpectedStatus is returned when the response to an attempt has a status that no attempt gets. It may be a second
// response to an earlier call on the connection, and the engine may still process the attempt.
var errUnexpectedStatus = errors.New("unexpected status")

// reuseOnlyAfter closes the connection after this exchange unless its response has one of the given statuses and is no
// stream. The statuses have to be such that an attempt does not take a second response of that kind for its own.
func (x *exchange) reuseOnlyAfter(statuses ...int) {
	contentType, _ := x.head.Get("Content-Type")
	if isEventStream(contentType) || !slices.Contains(statuses, x.status) {
		x.complete = false
	}
}

// refusalResult returns the result for a response that is neither a finished read nor a stream. Only the
// X-Unprocessed header proves that nothing was executed.
func (x *exchange) refusalResult() engine.Result {
	if x.status < http.StatusBadRequest {
		return x.failureResult(fmt.Errorf("%w %d", errUnexpectedStatus, x.status))
	}
	r := engine.Result{Outcome: decide.Error, Report: x.report()}
	text, _ := x.body()
	if !x.complete {
		x.abandon()
	}
	if v, _ := x.head.Get(platform.UnprocessedHeader); v == "1" {
		switch x.status {
		case 503, 504:
			r.Outcome = decide.Full
		case 410:
			r.Outcome, r.NoState = decide.Full, true
		}
	}
	r.Err = fmt.Errorf("status %d: %.200q", x.status, text)
	return r
}

// report returns the load report in the response's header.
func (x *exchange) report() decide.Report {
	v, _ := x.head.Get(platform.LoadHeader)
	return parseLoadReport([]byte(v))
}

// parseLoadReport parses a load report. A report that can't be parsed counts as not reported.
func parseLoadReport(b []byte) decide.Report {
	var v map[string]any
	if json.Unmarshal(b, &v) != nil {
		return engine.NoReport()
	}
	return settings.ParseReport(func(name string) (float64, bool) {
		f, ok := v[name].(float64)
		return f, ok
	})
}
