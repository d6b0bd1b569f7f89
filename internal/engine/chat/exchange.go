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
	client  *Client
	ctx     context.Context
	conn    *conn
	stop    func() bool // of the watch over ctx
	written bool        // to the last byte
	head    *http1.Head
	status  int
	interim bool          // 1xx answers came in front
	whole   bool          // the answer was read to its end, and nothing more is expected
	rest    time.Duration // of the connection afterwards
}

// call is what is written.
type call struct {
	method, target, id string
	fields             []http1.Field
	body               []byte
	until              time.Time // zero: nothing is said of the time
	urgent             bool
	fresh              bool          // on a connection that has carried nothing yet
	heardWithin        time.Duration // or on one that has brought an answer so recently; 0: on any
	gate               engine.Gate   // nil: nobody is asked
}

// wants tells which connections will do for a call.
func (q *call) wants() wanted {
	return wanted{urgent: q.urgent, fresh: q.fresh, heardWithin: q.heardWithin}
}

// start writes a request and reads the head of its answer.
func (c *Client) start(ctx context.Context, addr string, q *call) (*exchange, error) {
	x := &exchange{client: c, ctx: ctx, stop: func() bool { return true }}
	var err error
	for try := 1; ; try++ {
		if err = x.write(addr, q); err == nil {
			break
		}
		var late net.Error
		if errors.As(err, &late) && late.Timeout() && x.conn == nil {
			c.pool.forget(addr) // they are as silent, if the machine has vanished
		}
		// A connection that broke before the request's last byte has brought no request: it is no attempt yet,
		// and another may carry it. Where nobody listens, or nothing comes up, there is no use in that.
		if try == connTries || ctx.Err() != nil || !brokeBeforehand(err) {
			return x, err
		}
		if x.conn != nil {
			if !errors.Is(err, guard.Stale) {
				x.doubted()
			}
			x.stop()
			x.conn.Close()
			x.conn = nil
		}
	}
	for n := 0; ; n++ {
		if x.head, err = http1.ReadHead(x.conn.br, maxHead); err != nil {
			if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
				x.doubted()
			}
			return x, fmt.Errorf("head (connection used %d times before): %w", x.conn.uses, err)
		}
		if x.status, err = x.head.Status(); err != nil {
			return x, err
		}
		if x.status >= 200 {
			break
		}
		if x.interim = true; n == maxInterim {
			return x, fmt.Errorf("%w: more than %d interim answers", http1.ErrMalformed, maxInterim)
		}
	}
	c.mu.Lock()
	c.heard[addr] = time.Now()
	c.mu.Unlock()
	return x, nil
}

// errUnasked: an engine spoke on a kept connection before it had the request. What it said belongs to no request or to
// the one before, and so may whatever follows.
var errUnasked = errors.New("the engine answers before it has the request")

// brokeBeforehand tells whether an error of write says that the connection was of no use.
func brokeBeforehand(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) ||
		errors.Is(err, errUnasked) || errors.Is(err, guard.Stale)
}

// doubted: the connection broke before an answer. If it was kept, others to its engine may be as dead.
func (x *exchange) doubted() {
	if x.conn.uses > 0 && x.ctx.Err() == nil {
		x.client.pool.distrust(x.conn.addr)
	}
}

// write writes a request, on a connection that has proved to stand: the last byte is held back for a moment, in
// which an engine that has closed the connection, or closes it under a request, makes that known. Without it the
// whole request is in the kernel before the reset comes, and nobody can tell whether it ran.
func (x *exchange) write(addr string, q *call) error {
	var err error
	if x.conn, err = x.client.pool.get(x.ctx, addr, q.wants()); err != nil {
		return err
	}
	conn := x.conn
	if q.gate != nil {
		q.gate.Connected(conn.uses)
	}
	x.stop = context.AfterFunc(x.ctx, func() { conn.Close() }) // closing is how an attempt is given up
	head := make([]byte, 0, 256)
	head = append(head, q.method+" "+q.target+" HTTP/1.1\r\nHost: "+addr+"\r\n"...)
	if q.id != "" {
		head = append(head, platform.IDHeader+": "+q.id+"\r\n"...)
	}
	told := time.Duration(0)
	if !q.until.IsZero() {
		told = time.Duration(decide.AdvertisedTimeLeft(decide.Duration(time.Until(q.until))))
		head = append(head, platform.TimeLeftHeader+": "+strconv.FormatInt(told.Milliseconds(), 10)+"\r\n"...)
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
	conn.SetReadDeadline(time.Now().Add(x.client.pool.standsAfter))
	_, err = conn.br.Peek(1)
	conn.SetReadDeadline(time.Time{})
	var late net.Error
	switch {
	case err == nil && conn.uses > 0: // on a fresh one it may be a refusal of the connection
		return errUnasked
	case err != nil && !(errors.As(err, &late) && late.Timeout()):
		return fmt.Errorf("write: %w", err)
	}
	if x.ctx.Err() != nil {
		return context.Cause(x.ctx)
	}
	if q.gate != nil {
		if err := q.gate.MaySend(told); err != nil {
			return err
		}
	}
	n, err := conn.Write(last)
	if x.written = n == len(last); !x.written {
		return fmt.Errorf("write: %w", err)
	}
	if q.gate != nil {
		q.gate.Sent(told)
	}
	return nil
}

// done gives the connection back after a whole answer. Whether something came behind it shows when it is taken.
func (x *exchange) done() {
	if x.conn == nil {
		return
	}
	if x.stop() && x.whole && !x.interim && !x.head.WantsClose() {
		x.conn.rest = x.rest
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
		x.whole = true
		return nil, nil
	case length > maxBody:
		return nil, fmt.Errorf("%w: body of %d bytes", http1.ErrTooLarge, length)
	case chunked:
		b, err := io.ReadAll(io.LimitReader(http1.NewChunkedReader(x.conn.br, maxChunk), maxBody+1))
		if err == nil && len(b) > maxBody {
			err = fmt.Errorf("%w: body", http1.ErrTooLarge)
		}
		x.whole = err == nil
		return b, err
	case length == http1.UnknownLength: // to the connection's end
		return io.ReadAll(io.LimitReader(x.conn.br, maxBody))
	}
	b := make([]byte, length)
	_, err = io.ReadFull(x.conn.br, b)
	x.whole = err == nil
	return b, err
}

// endedByPeer tells whether an error of reading says that the connection has ended.
func endedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// giveUp closes the connection of an attempt that is not waited for any longer, and returns when its engine has seen
// that. Until then the attempt is out: a refusal to the client, or another attempt, would overtake its end.
func (x *exchange) giveUp() {
	x.conn.Close()
	time.Sleep(x.client.closeArrives)
}

// failed tells how an exchange with an error ended. What was not written to its last byte never ran.
func (x *exchange) failed(err error) engine.Result {
	r := engine.Result{Report: engine.NoReport(), Err: err}
	cause := context.Cause(x.ctx)
	if x.written && !x.whole && !endedByPeer(err) {
		x.giveUp()
	}
	denied, isDenied := engine.DenialOutcome(err)
	switch {
	case isDenied:
		r.Outcome = denied
	case errors.Is(cause, engine.ErrCancelled), errors.Is(cause, context.Canceled):
		r.Outcome = decide.Cancelled
	case !x.written:
		r.Outcome = decide.ConnectFailed
	case errors.Is(cause, engine.ErrTimedOut):
		r.Outcome = decide.TimedOut
	default:
		r.Outcome = decide.Reset
	}
	return r
}

// refused takes an answer that is neither a finished read nor a stream. Only X-Unprocessed proves that
// nothing ran.
func (x *exchange) refused() engine.Result {
	r := engine.Result{Outcome: decide.Error, Report: x.report()}
	text, _ := x.body()
	if !x.whole {
		x.giveUp()
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
	return parseLoad([]byte(v))
}

// parseLoad reads a load report; one that can't be read tells nothing.
func parseLoad(b []byte) decide.Report {
	var v map[string]any
	if json.Unmarshal(b, &v) != nil {
		return engine.NoReport()
	}
	return settings.ParseReport(func(name string) (float64, bool) {
		f, ok := v[name].(float64)
		return f, ok
	})
}
