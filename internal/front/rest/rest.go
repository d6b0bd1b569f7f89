// Package rest is the KServe V2 front over HTTP: health, metadata, inference and the generate extension of the Open
// Inference Protocol's HTTP/REST specification. docs/kserve.md lists what is implemented.
package rest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"mintdoor/internal/config"
	"mintdoor/internal/front"
	"mintdoor/internal/kserve"
	"mintdoor/internal/router"

	"golang.org/x/net/netutil"
)

// Limits on requests and connections, and the names of the model's tensors.
const (
	maxElements = 1 << 16 // maximum number of elements of an input tensor
	textInput   = "text_input"
	textOutput  = "text_output"
	idleTimeout = 5 * time.Minute // a connection without a request is closed after this time
)

// Front serves the protocol for one model.
type Front struct {
	set     *config.Settings
	core    front.Core
	jobs    *front.JobBuilder
	log     *slog.Logger
	version string
	mux     *http.ServeMux
}

// New returns a front that submits requests to core. version is the server's version in its metadata.
func New(set *config.Settings, core front.Core, log *slog.Logger, version string) *Front {
	f := &Front{set: set, core: core, jobs: front.NewJobBuilder(set), log: log, version: version,
		mux: http.NewServeMux()}
	f.route("GET", "/v2", f.serverMetadata)
	f.route("GET", "/v2/health/live", f.live)
	f.route("GET", "/v2/health/ready", f.ready)
	for _, model := range []string{"/v2/models/{model}", "/v2/models/{model}/versions/{version}"} {
		f.route("GET", model, f.modelMetadata)
		f.route("GET", model+"/ready", f.modelReady)
		f.route("POST", model+"/infer", f.infer)
		f.route("POST", model+"/generate", f.generate)
		f.route("POST", model+"/generate_stream", f.generateStream)
	}
	f.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		f.fail(w, r, &front.Error{Kind: front.NotFound, Text: "no such path"})
	})
	return f
}

// route serves a path with one HTTP method. All other methods get a 405 in the protocol's form.
func (f *Front) route(method, path string, h http.HandlerFunc) {
	f.mux.HandleFunc(method+" "+path, h)
	f.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", method)
		f.write(w, http.StatusMethodNotAllowed, kserve.ErrorResponse{Error: "method " + r.Method + " is not allowed, use " + method})
	})
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// Serve accepts connections until ctx ends. Then it waits for unfinished answers, at most for timeout.
func (f *Front) Serve(ctx context.Context, l net.Listener, timeout time.Duration) error {
	s := &http.Server{
		Handler:           f,
		ReadHeaderTimeout: f.set.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(f.set.MaxHeader),
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(netutil.LimitListener(l, f.set.MaxConnections)) }()
	select {
	case err := <-served:
		return fmt.Errorf("front on %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	if err := s.Shutdown(stop); err != nil {
		s.Close()
	}
	<-served
	return nil
}

// statusCodes has the HTTP status of each kind of error.
var statusCodes = map[front.ErrorKind]int{
	front.BadRequest:  http.StatusBadRequest,
	front.NotFound:    http.StatusNotFound,
	front.TooLarge:    http.StatusRequestEntityTooLarge,
	front.Busy:        http.StatusServiceUnavailable,
	front.Unavailable: http.StatusServiceUnavailable,
	front.Failed:      http.StatusBadGateway,
	front.TimedOut:    http.StatusGatewayTimeout,
	front.ClientLeft:  http.StatusBadGateway,
}

// fail responds with the specification's error object.
func (f *Front) fail(w http.ResponseWriter, r *http.Request, e *front.Error) {
	if e.RetryAfter > 0 {
		// RFC 9110, section 10.2.3, allows whole seconds only; Retry-After-Ms has the exact time.
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	if e.Kind == front.BadRequest || e.Kind == front.TooLarge {
		f.log.Info("bad request", "path", r.URL.Path, "from", r.RemoteAddr, "err", e.Text)
	}
	f.write(w, statusCodes[e.Kind], kserve.ErrorResponse{Error: e.Text})
}

// write responds with v as JSON.
func (f *Front) write(w http.ResponseWriter, code int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		code, body = http.StatusInternalServerError, []byte(`{"error":"the answer could not be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(body)
}

// live answers the liveness check of the server.
func (f *Front) live(w http.ResponseWriter, r *http.Request) {
	f.write(w, http.StatusOK, map[string]bool{"live": true})
}

// ready answers the readiness check of the server.
func (f *Front) ready(w http.ResponseWriter, r *http.Request) {
	if !f.core.Ready() {
		f.fail(w, r, &front.Error{Kind: front.Unavailable, Text: "not ready"})
		return
	}
	f.write(w, http.StatusOK, map[string]bool{"ready": true})
}

// serverMetadata answers a request for the metadata of the server.
func (f *Front) serverMetadata(w http.ResponseWriter, r *http.Request) {
	f.write(w, http.StatusOK, kserve.ServerMetadata{Name: "mintdoor", Version: f.version,
		Extensions: []string{"generate"}})
}

// modelMetadata answers a request for the metadata of the model.
func (f *Front) modelMetadata(w http.ResponseWriter, r *http.Request) {
	if e := f.jobs.CheckModel(r.PathValue("model"), r.PathValue("version")); e != nil {
		f.fail(w, r, e)
		return
	}
	one := []int64{1}
	f.write(w, http.StatusOK, kserve.ModelMetadata{Name: f.set.Model, Versions: []string{f.set.ModelVersion},
		Platform: "mintdoor_disaggregated",
		Inputs: []kserve.TensorMetadata{{Name: textInput, Datatype: "BYTES", Shape: one},
			{Name: front.ParamMaxTokens, Datatype: "INT32", Shape: one}},
		Outputs: []kserve.TensorMetadata{{Name: textOutput, Datatype: "BYTES", Shape: one}}})
}

// modelReady answers the readiness check of the model.
func (f *Front) modelReady(w http.ResponseWriter, r *http.Request) {
	if e := f.jobs.CheckModel(r.PathValue("model"), r.PathValue("version")); e != nil {
		f.fail(w, r, e)
		return
	}
	if !f.core.Ready() {
		f.fail(w, r, &front.Error{Kind: front.Unavailable, Text: "the model is not ready"})
		return
	}
	f.write(w, http.StatusOK, map[string]any{"name": f.set.Model, "ready": true})
}

// decodeBody decodes a request's body into v, within the limits on its size and time.
func (f *Front) decodeBody(w http.ResponseWriter, r *http.Request, v any) *front.Error {
	if r.ContentLength > f.set.MaxBody {
		w.Header().Set("Connection", "close")
		return f.tooLarge()
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(f.set.HeaderTimeout))
	err := kserve.Decode(http.MaxBytesReader(w, r.Body, f.set.MaxBody), v)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		control.SetReadDeadline(time.Time{}) // from here on reading only shows whether the client is still connected
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The deadline is not reset, or else the server would wait for the rest of the body before it responds.
		w.Header().Set("Connection", "close")
		return &front.Error{Kind: front.BadRequest, Text: fmt.Sprintf("the body did not come within %v", f.set.HeaderTimeout)}
	case errors.As(err, &large):
		return f.tooLarge()
	default:
		return &front.Error{Kind: front.BadRequest, Text: "the body is malformed: " + err.Error()}
	}
}

// tooLarge returns the error for a body over the limit.
func (f *Front) tooLarge() *front.Error {
	return &front.Error{Kind: front.TooLarge, Text: fmt.Sprintf("the body is larger than %d bytes", f.set.MaxBody)}
}

// submit converts a decoded request to a job and submits it to the core. If that fails, it responds with the error
// and returns nil.
func (f *Front) submit(w http.ResponseWriter, r *http.Request, in *front.DecodedRequest) *router.Request {
	in.Model, in.Version = r.PathValue("model"), r.PathValue("version")
	job, e := f.jobs.Job(in, time.Now())
	if e == nil {
		q, err := f.core.Submit(job)
		if err == nil {
			return q
		}
		e = front.SubmitError(err)
	}
	f.fail(w, r, e)
	return nil
}

// infer answers an infer request with the whole answer.
func (f *Front) infer(w http.ResponseWriter, r *http.Request) {
	var body kserve.InferRequest
	if e := f.decodeBody(w, r, &body); e != nil {
		f.fail(w, r, e)
		return
	}
	in, e := inferInput(&body)
	if e != nil {
		f.fail(w, r, e)
		return
	}
	q := f.submit(w, r, in)
	if q == nil {
		return
	}
	text, end := collect(r.Context(), q)
	if e := front.EndingError(end); e != nil {
		f.fail(w, r, e)
		return
	}
	f.write(w, http.StatusOK, kserve.InferResponse{ModelName: f.set.Model, ModelVersion: f.set.ModelVersion,
		ID: body.ID, Parameters: kserve.Parameters{"finish_reason": end.FinishReason, "tokens": end.Tokens},
		Outputs: []kserve.Tensor{kserve.TextTensor(textOutput, text)}})
}

// inferInput checks all tensors of an infer request and returns it decoded, with the prompt from the tensor
// text_input.
func inferInput(body *kserve.InferRequest) (*front.DecodedRequest, *front.Error) {
	badRequest := func(err error) (*front.DecodedRequest, *front.Error) {
		return nil, &front.Error{Kind: front.BadRequest, Text: err.Error()}
	}
	in := &front.DecodedRequest{ID: body.ID, Params: body.Parameters}
	found := false
	for i := range body.Inputs {
		t := &body.Inputs[i]
		if err := t.Check(maxElements); err != nil {
			return badRequest(err)
		}
		if n, _ := kserve.ElementCount(t.Shape, maxElements); n != 1 {
			return badRequest(fmt.Errorf("tensor %q has %d elements, want 1", t.Name, n))
		}
		switch t.Name {
		case textInput:
			texts, err := t.Strings()
			if err != nil {
				return badRequest(err)
			}
			in.Prompt, found = texts[0], true
		case front.ParamMaxTokens:
			if t.Datatype != "INT32" {
				return badRequest(fmt.Errorf("tensor %q has datatype %s, want INT32", t.Name, t.Datatype))
			}
			var n []json.Number
			if err := json.Unmarshal(t.Data, &n); err != nil {
				return badRequest(fmt.Errorf("tensor %q: want a list of one number", t.Name))
			}
			if in.Params == nil {
				in.Params = kserve.Parameters{}
			}
			in.Params[front.ParamMaxTokens] = n[0]
		default:
			return badRequest(fmt.Errorf("the model has no input %q", t.Name))
		}
	}
	if !found {
		return badRequest(fmt.Errorf("the input %q is missing", textInput))
	}
	for _, o := range body.Outputs {
		if o.Name != textOutput {
			return badRequest(fmt.Errorf("the model has no output %q", o.Name))
		}
	}
	return in, nil
}

// collect reads a request's answer to its end and returns its whole text.
func collect(ctx context.Context, q *router.Request) (string, *router.Ending) {
	var text []byte
	for {
		part, end := q.Next(ctx)
		if end != nil {
			return string(text), end
		}
		text = append(text, part...)
	}
}

// submitGenerate decodes a generate request and submits it. If q is nil, the error response has been sent already.
func (f *Front) submitGenerate(w http.ResponseWriter, r *http.Request) (id string, q *router.Request) {
	var body kserve.GenerateRequest
	if e := f.decodeBody(w, r, &body); e != nil {
		f.fail(w, r, e)
		return "", nil
	}
	return body.ID, f.submit(w, r, &front.DecodedRequest{ID: body.ID, Prompt: body.TextInput, Params: body.Parameters})
}

// generate answers a generate request with the whole answer.
func (f *Front) generate(w http.ResponseWriter, r *http.Request) {
	id, q := f.submitGenerate(w, r)
	if q == nil {
		return
	}
	text, end := collect(r.Context(), q)
	if e := front.EndingError(end); e != nil {
		f.fail(w, r, e)
		return
	}
	f.write(w, http.StatusOK, kserve.GenerateResponse{ModelName: f.set.Model, ModelVersion: f.set.ModelVersion,
		ID: id, TextOutput: text, Details: &kserve.Details{FinishReason: end.FinishReason}})
}

// generateStream streams an answer as server-sent events: one for each token and one for the end. An error before the
// first token is reported with an HTTP status. A later error is reported with an event that ends the stream.
func (f *Front) generateStream(w http.ResponseWriter, r *http.Request) {
	id, q := f.submitGenerate(w, r)
	if q == nil {
		return
	}
	defer q.Abandon() // has no effect after the ending
	out := f.newStream(w, id)
	defer out.control.SetWriteDeadline(time.Time{}) // the connection may serve further requests
	for {
		text, end := q.Next(r.Context())
		if end == nil {
			if out.token(text, !q.HasToken()) != nil {
				return
			}
			continue
		}
		e := front.EndingError(end)
		switch {
		case e != nil && !out.started:
			f.fail(w, r, e)
		case e != nil:
			out.event(&kserve.GenerateResponse{ID: id, Error: e.Text})
		default:
			out.event(&kserve.GenerateResponse{ModelName: f.set.Model, ModelVersion: f.set.ModelVersion, ID: id,
				Details: &kserve.Details{FinishReason: end.FinishReason}})
		}
		return
	}
}

// stream writes server-sent events. Every write has a deadline, so that a client that does not read is noticed.
type stream struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	started      bool
	head         []byte // start of a token's event, up to its text
	buf          []byte
}

// newStream returns a stream of events for the request with the given id.
func (f *Front) newStream(w http.ResponseWriter, id string) *stream {
	head, _ := json.Marshal(struct {
		Name    string `json:"model_name"`
		Version string `json:"model_version"`
		ID      string `json:"id,omitempty"`
	}{f.set.Model, f.set.ModelVersion, id})
	s := &stream{w: w, control: http.NewResponseController(w), writeTimeout: f.set.ClientStallTimeout}
	s.head = append(append([]byte("data: "), head[:len(head)-1]...), `,"text_output":`...)
	return s
}

// token writes the event of one token.
func (s *stream) token(text string, flush bool) error {
	quoted, err := json.Marshal(text)
	if err != nil {
		return err
	}
	s.buf = append(append(s.buf[:0], s.head...), quoted...)
	s.buf = append(s.buf, "}\n\n"...)
	return s.send(flush)
}

// event writes an event with v as its data.
func (s *stream) event(v *kserve.GenerateResponse) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.buf = append(append(append(s.buf[:0], "data: "...), data...), "\n\n"...)
	return s.send(true)
}

// send writes the event in buf, preceded by the response header if it is the first one.
func (s *stream) send(flush bool) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	_, err := s.w.Write(s.buf)
	if err == nil && flush {
		err = s.control.Flush()
	}
	return err
}
