package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/guard"
	"mintdoor/internal/kserve"
)

// Limits on engine responses. Sizes are in bytes.
const (
	maxResponseSize  = 1 << 20                // of a body that is not a stream
	maxEventSize     = 64 << 10               // of one event of a stream
	maxHeaderSize    = 64 << 10               // of all response headers together
	maxErrorSize     = 512                    // of an error text that is kept for the log
	bufferSize       = 4096                   // of the read and the write buffer of each connection
	streamEndTimeout = 100 * time.Millisecond // wait for the end of a stream after its last event
)

// Client talks to all engines over HTTP. Create it with New; the zero value is not usable. It is safe for concurrent
// use.
type Client struct {
	opts      Options
	http      *http.Client
	transport *http.Transport

	mu    sync.Mutex
	conns map[string]*atomic.Int64 // open connections by address
}

// New returns a client. Close closes its idle connections.
func New(opts Options) *Client {
	c := &Client{opts: opts, conns: map[string]*atomic.Int64{}}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		MaxIdleConnsPerHost:    opts.MaxConns,
		IdleConnTimeout:        opts.IdleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderSize,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
		DisableCompression:     true,
	}
	c.http = &http.Client{Transport: c.transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	return c
}

// Close closes idle connections. Attempts in flight are ended by their contexts, not by Close.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// countedConn is a connection that counts towards the connection limit of its engine.
type countedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// Close closes the connection and stops counting it. It may be called more than once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// dial opens a connection to an engine unless the engine's connection limit is reached.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c.mu.Lock()
	n := c.conns[addr]
	if n == nil {
		n = new(atomic.Int64)
		c.conns[addr] = n
	}
	c.mu.Unlock()
	if n.Add(1) > int64(c.opts.MaxConns) {
		n.Add(-1)
		return nil, errLimit
	}
	d := net.Dialer{Timeout: c.opts.DialTimeout}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		n.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: conn, open: n}, nil
}

// ForgetEngine drops the connection count of an engine that is no longer in use.
func (c *Client) ForgetEngine(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.conns[addr]; n != nil && n.Load() == 0 {
		delete(c.conns, addr)
	}
}

// exchange is one HTTP request with its response, and whether a connection came up for it.
type exchange struct {
	ctx       context.Context
	connected atomic.Bool // a connection was established
	resp      *http.Response
	err       error
}

// DenialOutcome returns the outcome of an attempt whose last byte the gate did not allow to be sent, and whether err
// is such a denial. The denial is not the engine's doing, unless the engine accepts no new requests.
func DenialOutcome(err error) (decide.Outcome, bool) {
	var denial guard.Denial
	switch {
	case !errors.As(err, &denial):
		return 0, false
	case denial == guard.Withdrawn:
		return decide.Full, true
	}
	return decide.NotStarted, true
}

// gatedBody is a request body that is sent only if the gate allows it. It can be read only once, so that the HTTP
// client can't send it again.
type gatedBody struct {
	*bytes.Reader
	gate    Gate
	allowed bool
}

// Read implements io.Reader.
func (b *gatedBody) Read(p []byte) (int, error) {
	if !b.allowed {
		if err := b.gate.MaySend(0); err != nil {
			return 0, err
		}
		b.allowed = true
	}
	n, err := b.Reader.Read(p)
	if b.Reader.Len() == 0 && n > 0 {
		b.gate.Sent(0)
	}
	return n, err
}

// send sends a request and waits for the head of its response.
func (c *Client) send(ctx context.Context, method, addr, path string, body []byte) *exchange {
	return c.sendGated(ctx, method, addr, path, body, nil)
}

// sendGated does the same as send, but asks gate before the body is sent, if gate is not nil.
func (c *Client) sendGated(ctx context.Context, method, addr, path string, body []byte, gate Gate) *exchange {
	x := &exchange{}
	x.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(x.ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		x.err = err
		return x
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if gate != nil {
		req.Body, req.GetBody = io.NopCloser(&gatedBody{Reader: bytes.NewReader(body), gate: gate}), nil
	}
	x.resp, x.err = c.http.Do(req)
	return x
}

// failureResult returns the result of an exchange that ended with an error.
func (x *exchange) failureResult(err error) Result {
	r := Result{Report: NoReport(), Err: err}
	cause := context.Cause(x.ctx)
	denied, isDenied := DenialOutcome(err)
	switch {
	case isDenied:
		r.Outcome = denied
	case !x.connected.Load() && !errors.Is(cause, ErrCancelled):
		r.Outcome = decide.ConnectFailed // nothing was sent, so nothing was executed
	case errors.Is(cause, ErrTimedOut):
		r.Outcome = decide.TimedOut
	case errors.Is(cause, ErrCancelled), errors.Is(cause, context.Canceled):
		r.Outcome = decide.Cancelled
	case errors.Is(cause, errStreamIdle):
		r.Outcome, r.Err = decide.Reset, errStreamIdle
	case errors.Is(err, errMalformedResponse), errors.Is(err, kserve.ErrEventTooLong):
		r.Outcome = decide.Error
	default:
		r.Outcome = decide.Reset
	}
	return r
}

// refusalResult returns the result for a response with a status other than 200. Only a refusal whose reason the
// engine names in RefusedHeader proves that nothing was executed.
func refusalResult(resp *http.Response) Result {
	r := Result{Outcome: decide.Error, Report: loadReport(resp)}
	reason := resp.Header.Get(RefusedHeader)
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorSize))
	if resp.StatusCode == http.StatusServiceUnavailable {
		switch reason {
		case RefusedFull, RefusedDraining, RefusedRole:
			r.Outcome = decide.Full
		case RefusedNoState:
			r.Outcome, r.NoState = decide.Full, true
		}
	}
	var body kserve.ErrorResponse
	if json.Unmarshal(text, &body) == nil && body.Error != "" {
		text = []byte(body.Error)
	}
	r.Err = fmt.Errorf("status %d: %.200s", resp.StatusCode, text)
	return r
}

// loadReport returns the load report in a response's header.
func loadReport(resp *http.Response) decide.Report {
	if v := resp.Header.Get(LoadHeader); v != "" {
		return ParseLoadHeader(v)
	}
	return NoReport()
}

// drainAndClose reads what is left of a body, up to maxErrorSize, so that its connection can be reused, and closes
// it.
func drainAndClose(body io.ReadCloser) {
	io.CopyN(io.Discard, body, maxErrorSize)
	body.Close()
}

// inferBody is the body of an infer request with typed parameters.
type inferBody struct {
	ID         string          `json:"id"`
	Parameters *Params         `json:"parameters"`
	Inputs     []kserve.Tensor `json:"inputs"`
}

// generateBody is the body of a generate request with typed parameters.
type generateBody struct {
	ID         string  `json:"id"`
	TextInput  string  `json:"text_input"`
	Parameters *Params `json:"parameters"`
}

// Prefill has an engine read a prompt. It returns when the engine holds the KV state or the attempt has failed.
func (c *Client) Prefill(ctx context.Context, addr string, q *Call) Result {
	body, err := json.Marshal(inferBody{ID: q.ID, Parameters: &q.Params,
		Inputs: []kserve.Tensor{kserve.TextTensor("text_input", q.Prompt)}})
	if err != nil {
		return Result{Outcome: decide.NotStarted, Report: NoReport(), Err: err}
	}
	x := c.sendGated(ctx, http.MethodPost, addr, "/v2/models/"+url.PathEscape(q.Model)+"/infer", body, q.Gate)
	if x.err != nil {
		return x.failureResult(x.err)
	}
	defer drainAndClose(x.resp.Body)
	if x.resp.StatusCode != http.StatusOK {
		return refusalResult(x.resp)
	}
	var answer struct {
		ID         string      `json:"id"`
		Parameters *ReadParams `json:"parameters"`
	}
	if err := kserve.Decode(io.LimitReader(x.resp.Body, maxResponseSize), &answer); err != nil {
		var syntax *json.SyntaxError
		var kind *json.UnmarshalTypeError
		if errors.As(err, &syntax) || errors.As(err, &kind) || errors.Is(err, kserve.ErrTrailingData) {
			err = fmt.Errorf("%w: %w", errMalformedResponse, err)
		}
		return x.failureResult(err)
	}
	switch p := answer.Parameters; {
	case answer.ID != q.ID:
		return x.failureResult(fmt.Errorf("%w: its id is %.40q, want %q", errMalformedResponse, answer.ID, q.ID))
	case p == nil || p.Handle == "" || p.Source == "" || p.CachedTokens < 0 || p.Tokens < 0:
		return x.failureResult(fmt.Errorf("%w: it names no KV state", errMalformedResponse))
	default:
		return Result{Outcome: decide.ReadDone, CachedTokens: p.CachedTokens, Report: loadReport(x.resp),
			State: &State{Addr: p.Source, Handle: p.Handle, Tokens: p.Tokens}}
	}
}

// Decode has an engine write the answer and passes each token to sink. An error from sink ends the attempt with the
// outcome Cancelled. Decode returns when the answer has ended or the attempt has failed.
func (c *Client) Decode(ctx context.Context, addr string, q *Call, sink func(text string) error) Result {
	body, err := json.Marshal(generateBody{ID: q.ID, TextInput: q.Prompt, Parameters: &q.Params})
	if err != nil {
		return Result{Outcome: decide.NotStarted, Report: NoReport(), Err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := c.sendGated(ctx, http.MethodPost, addr, "/v2/models/"+url.PathEscape(q.Model)+"/generate_stream", body, q.Gate)
	if x.err != nil {
		return x.failureResult(x.err)
	}
	defer x.resp.Body.Close()
	if x.resp.StatusCode != http.StatusOK {
		return refusalResult(x.resp)
	}
	rep := loadReport(x.resp)
	idle := time.AfterFunc(time.Hour, func() { cancel(errStreamIdle) })
	idle.Stop() // before the first token only the caller limits the attempt's time
	defer idle.Stop()
	events := kserve.NewEventReader(x.resp.Body, maxEventSize)
	tokens := 0
	fail := func(err error) Result {
		r := x.failureResult(err)
		r.Tokens, r.Report = tokens, rep
		return r
	}
	for {
		data, err := events.Next()
		idle.Stop()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF // the last event is missing
			}
			return fail(err)
		}
		var ev struct {
			ID         string          `json:"id"`
			TextOutput *string         `json:"text_output"`
			Details    *kserve.Details `json:"details"`
			Parameters *LoadReport     `json:"parameters"`
			Error      string          `json:"error"`
		}
		if err := json.Unmarshal(data, &ev); err != nil {
			return fail(fmt.Errorf("%w: %w", errMalformedResponse, err))
		}
		switch {
		case ev.Error != "":
			return fail(fmt.Errorf("%w: the engine reports %.200q", errMalformedResponse, ev.Error))
		case ev.ID != q.ID:
			return fail(fmt.Errorf("%w: its id is %.40q, want %q", errMalformedResponse, ev.ID, q.ID))
		case ev.TextOutput == nil && ev.Details == nil:
			return fail(fmt.Errorf("%w: an event has no text", errMalformedResponse))
		}
		if ev.Parameters != nil {
			rep = ev.Parameters.Report()
		}
		if ev.TextOutput != nil && (*ev.TextOutput != "" || ev.Details == nil) {
			if err := sink(*ev.TextOutput); err != nil {
				r := fail(err)
				r.Outcome = decide.Cancelled
				if errors.Is(context.Cause(ctx), ErrTimedOut) {
					r.Outcome = decide.TimedOut
				}
				return r
			}
			tokens++
		}
		if ev.Details != nil {
			// Data after the last event is not part of the answer. Read the body to its end so that the connection
			// can be reused, but wait no longer than streamEndTimeout.
			end := time.AfterFunc(streamEndTimeout, func() { cancel(errStreamIdle) })
			_, err := events.Next()
			end.Stop()
			r := Result{Outcome: decide.Served, Report: rep, FinishReason: ev.Details.FinishReason, Tokens: tokens}
			if err == nil {
				r.Err = fmt.Errorf("%w: data follows the last event", errMalformedResponse)
			}
			return r
		}
		idle.Reset(c.opts.StreamIdleTimeout)
	}
}

// Release releases a KV state. It retries until ReleaseTimeout, because nothing else releases the KV state.
func (c *Client) Release(ctx context.Context, s *State) error {
	return c.sendUntilAccepted(ctx, http.MethodPost, s.Addr, StatePath+url.PathEscape(s.Handle)+"/release")
}

// Renew tells the engine that holds a KV state that the state is still needed: an attempt at a writer is in flight,
// and the writer may not have claimed the state yet.
func (c *Client) Renew(ctx context.Context, s *State) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReleaseTimeout)
	defer cancel()
	x := c.send(ctx, http.MethodPost, s.Addr, StatePath+url.PathEscape(s.Handle)+"/renew", nil)
	if x.err != nil {
		return x.err
	}
	drainAndClose(x.resp.Body)
	return nil
}

// CancelRead ends a read whose result is no longer needed and releases the KV state that it may have left.
func (c *Client) CancelRead(ctx context.Context, addr, request string) error {
	return c.sendUntilAccepted(ctx, http.MethodDelete, addr, ReadPath+url.PathEscape(request))
}

// EngineListed does nothing: in this protocol a hold is released at the engine that has it.
func (c *Client) EngineListed(string) {}

// CancelReadLater does nothing: CancelRead, which is called when a read is cancelled, names the read and ends it.
func (c *Client) CancelReadLater(context.Context, string, string) error { return nil }

// CancelReservation cancels a reservation at a writer.
func (c *Client) CancelReservation(ctx context.Context, addr, request string) error {
	return c.sendUntilAccepted(ctx, http.MethodDelete, addr, ReservationPath+url.PathEscape(request))
}

// sendUntilAccepted retries a request with exponential backoff until the engine responds with a status below 500 or
// ReleaseTimeout is over.
func (c *Client) sendUntilAccepted(ctx context.Context, method, addr, path string) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReleaseTimeout)
	defer cancel()
	const firstPause = 5 * time.Millisecond
	for pause := firstPause; ; pause *= 2 {
		x := c.send(ctx, method, addr, path, nil)
		if x.err == nil {
			code := x.resp.StatusCode
			drainAndClose(x.resp.Body)
			if code < 500 { // 404: there is nothing left to release
				return nil
			}
			x.err = fmt.Errorf("status %d", code)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s %s%s: %w", method, addr, path, x.err)
		case <-time.After(pause):
		}
	}
}

// Reserve requests a reservation at a writer and reports whether the writer granted it.
func (c *Client) Reserve(ctx context.Context, addr string, p *ReservationRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProbeTimeout)
	defer cancel()
	body, err := json.Marshal(p)
	if err != nil {
		return false, err
	}
	x := c.send(ctx, http.MethodPut, addr, ReservationPath+url.PathEscape(p.Request), body)
	if x.err != nil {
		return false, x.err
	}
	defer drainAndClose(x.resp.Body)
	if x.resp.StatusCode != http.StatusOK {
		return false, refusalResult(x.resp).Err
	}
	var answer ReservationResponse
	err = kserve.Decode(io.LimitReader(x.resp.Body, maxResponseSize), &answer)
	return answer.Held && err == nil, err
}

// Probe requests a load report. It ignores the request for a new connection and may use a kept one: engines hold KV
// states under leases that the router renews, so no timer depends on whether an engine is reachable.
func (c *Client) Probe(ctx context.Context, addr string, _ bool) Result {
	ctx, cancel := context.WithTimeoutCause(ctx, c.opts.ProbeTimeout, ErrTimedOut)
	defer cancel()
	x := c.send(ctx, http.MethodGet, addr, LoadPath, nil)
	if x.err != nil {
		return x.failureResult(x.err)
	}
	defer drainAndClose(x.resp.Body)
	if x.resp.StatusCode != http.StatusOK {
		return refusalResult(x.resp)
	}
	var l LoadReport
	if err := kserve.Decode(io.LimitReader(x.resp.Body, maxResponseSize), &l); err != nil {
		return x.failureResult(fmt.Errorf("%w: %w", errMalformedResponse, err))
	}
	return Result{Outcome: decide.Served, Report: l.Report()}
}

// Role requests an engine's current role.
func (c *Client) Role(ctx context.Context, addr string) (Role, error) {
	r, _, err := c.callRole(ctx, http.MethodGet, addr, RolePath, nil)
	return r, err
}

// ChangeRole asks an engine to change its role. It returns the engine's current role and whether the engine granted
// the change.
func (c *Client) ChangeRole(ctx context.Context, addr string, q *RoleChange) (Role, bool, error) {
	return c.callRole(ctx, http.MethodPost, addr, RolePath, q)
}

// CancelRoleChange asks an engine to cancel a change of its role. It returns the engine's current role and whether
// the engine cancelled the change.
func (c *Client) CancelRoleChange(ctx context.Context, addr string, q *RoleChangeCancel) (Role, bool, error) {
	return c.callRole(ctx, http.MethodPost, addr, RolePath+"/stay", q)
}

// callRole makes a call under RolePath and decodes the role in the response. granted is false if the engine refused
// with status 409.
func (c *Client) callRole(ctx context.Context, method, addr, path string, q any) (r Role, granted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProbeTimeout)
	defer cancel()
	var body []byte
	if q != nil {
		if body, err = json.Marshal(q); err != nil {
			return r, false, err
		}
	}
	x := c.send(ctx, method, addr, path, body)
	if x.err != nil {
		return r, false, x.err
	}
	defer drainAndClose(x.resp.Body)
	if code := x.resp.StatusCode; code != http.StatusOK && code != http.StatusConflict {
		return r, false, refusalResult(x.resp).Err
	}
	if err := kserve.Decode(io.LimitReader(x.resp.Body, maxResponseSize), &r); err != nil {
		return r, false, fmt.Errorf("%w: %w", errMalformedResponse, err)
	}
	if r.Role == "" || r.Phase == "" {
		return r, false, fmt.Errorf("%w: it names no role", errMalformedResponse)
	}
	return r, x.resp.StatusCode == http.StatusOK, nil
}
