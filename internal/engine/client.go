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

// Bounds of what an engine may send.
const (
	maxAnswer  = 1 << 20                // bytes of a body that is no stream
	maxEvent   = 64 << 10               // bytes of one event of a stream
	maxHeaders = 64 << 10               // bytes of headers
	maxError   = 512                    // bytes of an error that are kept for the log
	readBuffer = 4096                   // bytes, one for each connection
	endWithin  = 100 * time.Millisecond // for the end of a stream after its last event
)

// Client speaks to all engines. Its zero value is of no use; make one with New. It is safe for
// concurrent use.
type Client struct {
	opts  Options
	http  *http.Client
	trans *http.Transport

	mu    sync.Mutex
	conns map[string]*atomic.Int64 // open connections by address
}

// New returns a client. Close it to let go of idle connections.
func New(opts Options) *Client {
	c := &Client{opts: opts, conns: map[string]*atomic.Int64{}}
	c.trans = &http.Transport{
		DialContext:            c.dial,
		MaxIdleConnsPerHost:    opts.MaxConns,
		IdleConnTimeout:        opts.IdleConnTimeout,
		MaxResponseHeaderBytes: maxHeaders,
		ReadBufferSize:         readBuffer,
		WriteBufferSize:        readBuffer,
		DisableCompression:     true,
	}
	c.http = &http.Client{Transport: c.trans, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	return c
}

// Close lets go of idle connections. Attempts that are out are ended by their contexts, not by Close.
func (c *Client) Close() { c.trans.CloseIdleConnections() }

// counted is a connection that counts towards its engine's limit.
type counted struct {
	net.Conn
	once sync.Once
	n    *atomic.Int64
}

func (c *counted) Close() error {
	c.once.Do(func() { c.n.Add(-1) })
	return c.Conn.Close()
}

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
	return &counted{Conn: conn, n: n}, nil
}

// ForgetEngine drops what is kept for engines that are not in use any more.
func (c *Client) ForgetEngine(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.conns[addr]; n != nil && n.Load() == 0 {
		delete(c.conns, addr)
	}
}

// call is one HTTP exchange, with what is known of how far it came.
type call struct {
	ctx  context.Context
	got  atomic.Bool // a connection stood
	resp *http.Response
	err  error
}

// DenialOutcome tells how an attempt ended whose last byte the gate did not let leave, if that is what an error says. Its engine has
// no part in that, unless it takes nothing new.
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

// gatedBody is a body that is sent only with the gate's leave. It can be read once, so that nothing sends it again.
type gatedBody struct {
	*bytes.Reader
	gate  Gate
	asked bool
}

// Read implements io.Reader.
func (b *gatedBody) Read(p []byte) (int, error) {
	if !b.asked {
		if err := b.gate.MaySend(0); err != nil {
			return 0, err
		}
		b.asked = true
	}
	n, err := b.Reader.Read(p)
	if b.Reader.Len() == 0 && n > 0 {
		b.gate.Sent(0)
	}
	return n, err
}

func (c *Client) post(ctx context.Context, method, addr, path string, body []byte) *call {
	return c.postGated(ctx, method, addr, path, body, nil)
}

func (c *Client) postGated(ctx context.Context, method, addr, path string, body []byte, gate Gate) *call {
	x := &call{}
	x.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.got.Store(true) },
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

// failed tells how an exchange that has an error ended.
func (x *call) failed(err error) Result {
	r := Result{Report: NoReport(), Err: err}
	cause := context.Cause(x.ctx)
	denied, isDenied := DenialOutcome(err)
	switch {
	case isDenied:
		r.Outcome = denied
	case !x.got.Load() && !errors.Is(cause, ErrCancelled):
		r.Outcome = decide.ConnectFailed // nothing was sent, so nothing ran
	case errors.Is(cause, ErrTimedOut):
		r.Outcome = decide.TimedOut
	case errors.Is(cause, ErrCancelled), errors.Is(cause, context.Canceled):
		r.Outcome = decide.Cancelled
	case errors.Is(cause, errIdle):
		r.Outcome, r.Err = decide.Reset, errIdle
	case errors.Is(err, errNotAnswer), errors.Is(err, kserve.ErrEventTooLong):
		r.Outcome = decide.Error
	default:
		r.Outcome = decide.Reset
	}
	return r
}

// refused tells how an answer other than 200 is to be taken. Only a refusal that the engine names proves
// that nothing ran.
func refused(resp *http.Response) Result {
	r := Result{Outcome: decide.Error, Report: report(resp)}
	why := resp.Header.Get(RefusedHeader)
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxError))
	if resp.StatusCode == http.StatusServiceUnavailable {
		switch why {
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

func report(resp *http.Response) decide.Report {
	if v := resp.Header.Get(LoadHeader); v != "" {
		return ParseLoadHeader(v)
	}
	return NoReport()
}

// discard reads what is left of a body so that its connection can be used again, or closes it.
func discard(body io.ReadCloser) {
	io.CopyN(io.Discard, body, maxError)
	body.Close()
}

// inferBody is an infer request with typed parameters.
type inferBody struct {
	ID         string          `json:"id"`
	Parameters *Params         `json:"parameters"`
	Inputs     []kserve.Tensor `json:"inputs"`
}

type generateBody struct {
	ID         string  `json:"id"`
	TextInput  string  `json:"text_input"`
	Parameters *Params `json:"parameters"`
}

// Prefill has a prompt read and returns when the state waits, or the attempt has failed.
func (c *Client) Prefill(ctx context.Context, addr string, q *Call) Result {
	body, err := json.Marshal(inferBody{ID: q.ID, Parameters: &q.Params,
		Inputs: []kserve.Tensor{kserve.TextTensor("text_input", q.Prompt)}})
	if err != nil {
		return Result{Outcome: decide.NotStarted, Report: NoReport(), Err: err}
	}
	x := c.postGated(ctx, http.MethodPost, addr, "/v2/models/"+url.PathEscape(q.Model)+"/infer", body, q.Gate)
	if x.err != nil {
		return x.failed(x.err)
	}
	defer discard(x.resp.Body)
	if x.resp.StatusCode != http.StatusOK {
		return refused(x.resp)
	}
	var answer struct {
		ID         string      `json:"id"`
		Parameters *ReadParams `json:"parameters"`
	}
	if err := kserve.Decode(io.LimitReader(x.resp.Body, maxAnswer), &answer); err != nil {
		var syntax *json.SyntaxError
		var kind *json.UnmarshalTypeError
		if errors.As(err, &syntax) || errors.As(err, &kind) || errors.Is(err, kserve.ErrTrailingData) {
			err = fmt.Errorf("%w: %w", errNotAnswer, err)
		}
		return x.failed(err)
	}
	switch p := answer.Parameters; {
	case answer.ID != q.ID:
		return x.failed(fmt.Errorf("%w: it has the id %.40q, want %q", errNotAnswer, answer.ID, q.ID))
	case p == nil || p.Handle == "" || p.Source == "" || p.CachedTokens < 0 || p.Tokens < 0:
		return x.failed(fmt.Errorf("%w: it names no state", errNotAnswer))
	default:
		return Result{Outcome: decide.ReadDone, CachedTokens: p.CachedTokens, Report: report(x.resp),
			State: &State{Addr: p.Source, Handle: p.Handle, Tokens: p.Tokens}}
	}
}

// Decode has the answer written and hands each token to sink. An error of sink ends the attempt as
// cancelled. It returns when the answer has ended, or the attempt has failed.
func (c *Client) Decode(ctx context.Context, addr string, q *Call, sink func(text string) error) Result {
	body, err := json.Marshal(generateBody{ID: q.ID, TextInput: q.Prompt, Parameters: &q.Params})
	if err != nil {
		return Result{Outcome: decide.NotStarted, Report: NoReport(), Err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := c.postGated(ctx, http.MethodPost, addr, "/v2/models/"+url.PathEscape(q.Model)+"/generate_stream", body, q.Gate)
	if x.err != nil {
		return x.failed(x.err)
	}
	defer x.resp.Body.Close()
	if x.resp.StatusCode != http.StatusOK {
		return refused(x.resp)
	}
	rep := report(x.resp)
	idle := time.AfterFunc(time.Hour, func() { cancel(errIdle) })
	idle.Stop() // before its first token an attempt is bounded by its owner alone
	defer idle.Stop()
	events := kserve.NewEventReader(x.resp.Body, maxEvent)
	tokens := 0
	fail := func(err error) Result {
		r := x.failed(err)
		r.Tokens, r.Report = tokens, rep
		return r
	}
	for {
		data, err := events.Next()
		idle.Stop()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF // the last event never came
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
			return fail(fmt.Errorf("%w: %w", errNotAnswer, err))
		}
		switch {
		case ev.Error != "":
			return fail(fmt.Errorf("%w: the engine says %.200q", errNotAnswer, ev.Error))
		case ev.ID != q.ID:
			return fail(fmt.Errorf("%w: it has the id %.40q, want %q", errNotAnswer, ev.ID, q.ID))
		case ev.TextOutput == nil && ev.Details == nil:
			return fail(fmt.Errorf("%w: an event without text", errNotAnswer))
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
			// What follows the last event is no part of the answer; read the end of the body so that
			// the connection can be used again, but wait for it no longer than a moment.
			end := time.AfterFunc(endWithin, func() { cancel(errIdle) })
			_, err := events.Next()
			end.Stop()
			r := Result{Outcome: decide.Served, Report: rep, FinishReason: ev.Details.FinishReason, Tokens: tokens}
			if err == nil {
				r.Err = fmt.Errorf("%w: more came after the end", errNotAnswer)
			}
			return r
		}
		idle.Reset(c.opts.StreamIdleTimeout)
	}
}

// Release lets go of a state. It tries again until the time for it is over, since nobody else will.
func (c *Client) Release(ctx context.Context, s *State) error {
	return c.insist(ctx, http.MethodPost, s.Addr, StatePath+url.PathEscape(s.Handle)+"/release")
}

// Renew tells the engine where a state waits that it is still wanted: an attempt at a writer is out, and
// the writer may not have claimed it.
func (c *Client) Renew(ctx context.Context, s *State) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReleaseTimeout)
	defer cancel()
	x := c.post(ctx, http.MethodPost, s.Addr, StatePath+url.PathEscape(s.Handle)+"/renew", nil)
	if x.err != nil {
		return x.err
	}
	discard(x.resp.Body)
	return nil
}

// CancelRead ends a read whose answer will not be taken, and lets go of the state that it may have left.
func (c *Client) CancelRead(ctx context.Context, addr, request string) error {
	return c.insist(ctx, http.MethodDelete, addr, ReadPath+url.PathEscape(request))
}

// EngineListed does nothing: what is held is let go where it is.
func (c *Client) EngineListed(string) {}

// CancelReadLater does nothing: CancelRead names the read, and is made when it is given up.
func (c *Client) CancelReadLater(context.Context, string, string) error { return nil }

// CancelReservation lets go of a place held ahead.
func (c *Client) CancelReservation(ctx context.Context, addr, request string) error {
	return c.insist(ctx, http.MethodDelete, addr, ReservationPath+url.PathEscape(request))
}

func (c *Client) insist(ctx context.Context, method, addr, path string) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReleaseTimeout)
	defer cancel()
	const first = 5 * time.Millisecond
	for pause := first; ; pause *= 2 {
		x := c.post(ctx, method, addr, path, nil)
		if x.err == nil {
			code := x.resp.StatusCode
			discard(x.resp.Body)
			if code < 500 { // 404: it is gone already
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

// Reserve asks for a place ahead and tells whether it is held.
func (c *Client) Reserve(ctx context.Context, addr string, p *ReservationRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProbeTimeout)
	defer cancel()
	body, err := json.Marshal(p)
	if err != nil {
		return false, err
	}
	x := c.post(ctx, http.MethodPut, addr, ReservationPath+url.PathEscape(p.Request), body)
	if x.err != nil {
		return false, x.err
	}
	defer discard(x.resp.Body)
	if x.resp.StatusCode != http.StatusOK {
		return false, refused(x.resp).Err
	}
	var answer ReservationResponse
	err = kserve.Decode(io.LimitReader(x.resp.Body, maxAnswer), &answer)
	return answer.Held && err == nil, err
}

// Probe asks for a load report. A connection that stands will do, whatever is asked: engines hold states under leases that
// the router renews, so no time runs that hangs on whether they are reached.
func (c *Client) Probe(ctx context.Context, addr string, _ bool) Result {
	ctx, cancel := context.WithTimeoutCause(ctx, c.opts.ProbeTimeout, ErrTimedOut)
	defer cancel()
	x := c.post(ctx, http.MethodGet, addr, LoadPath, nil)
	if x.err != nil {
		return x.failed(x.err)
	}
	defer discard(x.resp.Body)
	if x.resp.StatusCode != http.StatusOK {
		return refused(x.resp)
	}
	var l LoadReport
	if err := kserve.Decode(io.LimitReader(x.resp.Body, maxAnswer), &l); err != nil {
		return x.failed(fmt.Errorf("%w: %w", errNotAnswer, err))
	}
	return Result{Outcome: decide.Served, Report: l.Report()}
}

// Role asks an engine for its role.
func (c *Client) Role(ctx context.Context, addr string) (Role, error) {
	r, _, err := c.role(ctx, http.MethodGet, addr, RolePath, nil)
	return r, err
}

// ChangeRole asks an engine to change, and tells whether it grants that, with what it is now.
func (c *Client) ChangeRole(ctx context.Context, addr string, q *RoleChange) (Role, bool, error) {
	return c.role(ctx, http.MethodPost, addr, RolePath, q)
}

// CancelRoleChange asks an engine to take a change back, and tells whether it does.
func (c *Client) CancelRoleChange(ctx context.Context, addr string, q *RoleChangeCancel) (Role, bool, error) {
	return c.role(ctx, http.MethodPost, addr, RolePath+"/stay", q)
}

func (c *Client) role(ctx context.Context, method, addr, path string, q any) (r Role, granted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProbeTimeout)
	defer cancel()
	var body []byte
	if q != nil {
		if body, err = json.Marshal(q); err != nil {
			return r, false, err
		}
	}
	x := c.post(ctx, method, addr, path, body)
	if x.err != nil {
		return r, false, x.err
	}
	defer discard(x.resp.Body)
	if code := x.resp.StatusCode; code != http.StatusOK && code != http.StatusConflict {
		return r, false, refused(x.resp).Err
	}
	if err := kserve.Decode(io.LimitReader(x.resp.Body, maxAnswer), &r); err != nil {
		return r, false, fmt.Errorf("%w: %w", errNotAnswer, err)
	}
	if r.Role == "" || r.Phase == "" {
		return r, false, fmt.Errorf("%w: it names no role", errNotAnswer)
	}
	return r, x.resp.StatusCode == http.StatusOK, nil
}
