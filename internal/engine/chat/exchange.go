package chat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
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

// exchange is one request and its answer. done gives the connection back or closes it.
type exchange struct {
	client         *Client
	ctx            context.Context
	conn           *conn
	stopWatch      func() bool // of the watch over ctx
	requestWritten bool        // to the last byte
	head           *http1.Head
	status         int
	sawInterim     bool          // 1xx answers came in front
	complete       bool          // the answer was read to its end, and nothing more is expected
	reuseDelay     time.Duration // of the connection afterwards
}

// call is what is written.
type call struct {
	method, target, requestID string
	fields                    []http1.Field
	body                      []byte
	responseDeadline          time.Time // zero: nothing is said of the time
	urgent                    bool
	newConn                   bool          // on a connection that has carried nothing yet
	lastResponseWithin        time.Duration // or on one that has brought an answer so recently; 0: on any
	gate                      engine.Gate   // nil: nobody is asked
}

// connRequirements tells which connections will do for a call.
func (q *call) connRequirements() connRequirements {
	return connRequirements{urgent: q.urgent, newConn: q.newConn, lastResponseWithin: q.lastResponseWithin}
}

// start writes a request and reads the head of its answer.
func (c *Client) start(ctx context.Context, addr string, q *call) (*exchange, error) {
	x := &exchange{client: c, ctx: ctx, stopWatch: func() bool { return true }}
	var err error
	for try := 1; ; try++ {
		if err = x.write(addr, q); err == nil {
			break
		}
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() && x.conn == nil {
			c.pool.closeConns(addr) // they are as silent, if the machine has vanished
		}
		// A connection that broke before the request's last byte has brought no request: it is no attempt yet,
		// and another may carry it. Where nobody listens, or nothing comes up, there is no use in that.
		if try == maxConnTries || ctx.Err() != nil || !connUnusable(err) {
			return x, err
		}
		if x.conn != nil {
			if !errors.Is(err, guard.Stale) {
				x.distrustConn()
			}
			x.stopWatch()
			x.conn.Close()
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
			return x, fmt.Errorf("%w: more than %d interim answers", http1.ErrMalformed, maxInterimResponses)
		}
	}
	c.mu.Lock()
	c.lastResponse[addr] = time.Now()
	c.mu.Unlock()
	return x, nil
}

// errUnexpectedData: an engine spoke on a kept connection before it had the request. What it said belongs to no request or to
// the one before, and so may whatever follows.
var errUnexpectedData = errors.New("the engine answers before it has the request")

// connUnusable tells whether an error of write says that the connection was of no use.
func connUnusable(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) ||
		errors.Is(err, errUnexpectedData) || errors.Is(err, guard.Stale)
}

// distrustConn: the connection broke before an answer. If it was kept, others to its engine may be as dead.
func (x *exchange) distrustConn() {
	if x.conn.uses > 0 && x.ctx.Err() == nil {
		x.client.pool.distrust(x.conn.addr)
	}
}

// write writes a request, on a connection that has proved to stand: the last byte is held back for a moment, in
// which an engine that has closed the connection, or closes it under a request, makes that known. Without it the
// whole request is in the kernel before the reset comes, and nobody can tell whether it ran.
func (x *exchange) write(addr string, q *call) error {
	var err error
	if x.conn, err = x.client.pool.get(x.ctx, addr, q.connRequirements()); err != nil {
		return err
	}
	conn := x.conn
	if q.gate != nil {
		q.gate.Connected(conn.uses)
	}
	x.stopWatch = context.AfterFunc(x.ctx, func() { conn.Close() }) // closing is how an attempt is given up
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
	case err == nil && conn.uses > 0: // on a fresh one it may be a refusal of the connection
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

// done gives the connection back after a whole answer. Whether something came behind it shows when it is taken.
func (x *exchange) done() {
	if x.conn == nil {
		return
	}
	if x.stopWatch() && x.complete && !x.sawInterim && !x.head.WantsClose() {
		x.conn.reuseDelay = x.reuseDelay
		x.client.pool.put(x.conn)
		return
	}
	x.conn.Close()
}

// body reads an answer's body that is no stream.
func (x *exchange) body() ([]byte, error) {
	length, chunked, err := x.head.Framing()
	switch {
	case err != nil:
		return nil, err
	case x.status == 204:
		x.complete = true
		return nil, nil
	case length > maxBodySize:
		return nil, fmt.Errorf("%w: body of %d bytes", http1.ErrTooLarge, length)
	case chunked:
		b, err := io.ReadAll(io.LimitReader(http1.NewChunkedReader(x.conn.br, maxChunkSize), maxBodySize+1))
		if err == nil && len(b) > maxBodySize {
			err = fmt.Errorf("%w: body", http1.ErrTooLarge)
		}
		x.complete = err == nil
		return b, err
	case length == http1.UnknownLength: // to the connection's end
		return io.ReadAll(io.LimitReader(x.conn.br, maxBodySize))
	}
	b := make([]byte, length)
	_, err = io.ReadFull(x.conn.br, b)
	x.complete = err == nil
	return b, err
}

// closedByPeer tells whether an error of reading says that the connection has ended.
func closedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// abandon closes the connection of an attempt that is not waited for any longer, and returns when its engine has seen
// that. Until then the attempt is out: a refusal to the client, or another attempt, would overtake its end.
func (x *exchange) abandon() {
	x.conn.Close()
	time.Sleep(x.client.closeDelay)
}

// failureResult tells how an exchange with an error ended. What was not written to its last byte never ran.
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

// refusalResult takes an answer that is neither a finished read nor a stream. Only X-Unprocessed proves that
// nothing ran.
func (x *exchange) refusalResult() engine.Result {
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

func (x *exchange) report() decide.Report {
	v, _ := x.head.Get(platform.LoadHeader)
	return parseLoadReport([]byte(v))
}

// parseLoadReport reads a load report; one that can't be read tells nothing.
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
