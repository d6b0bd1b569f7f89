package engine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/audit"
	"mintdoor/internal/engine"
	"mintdoor/internal/kserve"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"
)

// Config is what a Server is made of.
type Config struct {
	Name             string
	Addr             string // where it listens; port 0 takes a free one and keeps it over restarts
	Cell             string
	Spec             Spec
	OtherRole        *Spec         // what it can do in its other role; nil: it has but one
	RoleChangeTime   time.Duration // that a change of role takes, once it is empty
	KeepsPrefixCache bool          // it keeps prefixes over a change
	Link             *Link         // of the cell, shared by its engines; nil: as fast as the port
	Seed             uint64
	StartCold        bool       // starts cold
	AuditLog         *audit.Log // nil: none
	Log              *slog.Logger
}

// Link is the one link out of a cell. Moves share it evenly, since each takes it for one chunk at a time.
type Link struct {
	mu              sync.Mutex
	free            time.Time
	TokensPerSecond float64 // tokens a second
	slow            float64
	until           time.Time
}

// SlowDown makes the link so many times slower for a while.
func (l *Link) SlowDown(times float64, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow, l.until = times, time.Now().Add(d)
}

// take waits for the link to carry tokens.
func (l *Link) take(ctx context.Context, tokens float64) {
	l.mu.Lock()
	now := time.Now()
	perS := l.TokensPerSecond
	if now.Before(l.until) {
		perS /= max(l.slow, 1)
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(tokens / perS * 1e9))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	pause(ctx, wait)
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Server is a stand-in on a socket. Start begins it, Close ends it; Crash and the faults play in between.
type Server struct {
	cfg  Config
	log  *slog.Logger
	addr string
	http *http.Client // to other engines

	spec atomic.Pointer[Spec] // of its present role

	mu      sync.Mutex
	life    *life // nil while down
	role    RoleState
	faults  faults
	since   time.Time
	drained bool
	work    sync.WaitGroup
	closed  bool
	ctx     context.Context
	end     context.CancelFunc
	onStart func(since time.Time) // told of each start
}

// life is one run of the process: what a crash takes away.
type life struct {
	s        *Server
	ctx      context.Context
	end      context.CancelFunc
	http     *http.Server
	listener *listener
	model    *model
	wake     chan struct{}
	states   map[string]*state
	reads    map[string]*read // by request: those under way
	places   map[string]*place
	next     int
	reports  []report
	silent   bool
}

// state is a read state that waits.
type state struct {
	id, attempt, request, client, router string
	prompt, answer, blocks               int
	claims                               int
	lease                                *time.Timer
	hold                                 time.Duration
}

// read is a read under way.
type read struct {
	place string // where its state is to go; "" here
	off   chan struct{}
	once  sync.Once
}

// place is a slot and memory held ahead.
type place struct {
	seq    *seq
	tokens int
	lease  *time.Timer
	state  *state // once it has come
	come   chan struct{}
}

type report struct {
	at   time.Time
	load engine.LoadReport
}

// New returns a stand-in that is down. onStart, if not nil, is told of each start.
func New(cfg Config, onStart func(since time.Time)) *Server {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{cfg: cfg, log: cfg.Log.With("engine", cfg.Name), addr: cfg.Addr, onStart: onStart}
	s.spec.Store(&cfg.Spec)
	s.role.Epoch = 1
	s.faults.rng = rand.New(rand.NewPCG(cfg.Seed, 1))
	s.ctx, s.end = context.WithCancel(context.Background())
	s.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}
	return s
}

// Start begins listening.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startLocked(s.cfg.StartCold)
}

func (s *Server) startLocked(cold bool) error {
	if s.closed || s.life != nil {
		return errors.New("engine is closed or runs already")
	}
	raw, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("engine %s: %w", s.cfg.Name, err)
	}
	s.addr = raw.Addr().String()
	now := time.Now()
	l := &life{s: s, model: newModel(*s.spec.Load(), now, cold), wake: make(chan struct{}, 1),
		states: map[string]*state{}, reads: map[string]*read{}, places: map[string]*place{}}
	l.ctx, l.end = context.WithCancel(s.ctx)
	l.listener = &listener{Listener: raw, life: l, conns: map[*conn]bool{}}
	l.http = &http.Server{Handler: l.handler(), ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		ReadHeaderTimeout: 5 * time.Second}
	s.life, s.drained = l, false
	if cold {
		s.since = now
	}
	s.role.Phase = engine.PhaseSteady // a change that was under way is lost with the process
	s.recordStart(now, cold)
	s.work.Add(2)
	go func() { defer s.work.Done(); l.http.Serve(l.listener) }()
	go func() { defer s.work.Done(); l.run() }()
	if s.onStart != nil {
		s.onStart(s.since)
	}
	return nil
}

// recordStart tells the audit of a start, in whichever role.
func (s *Server) recordStart(now time.Time, cold bool) {
	spec := s.spec.Load()
	rec := audit.Record{At: now.UnixNano(), Who: s.cfg.Name, Kind: audit.Started, N: spec.capacity(), Work: spec.InitialCapacity,
		Deadline: int64(spec.SlowStartTime), Note: stageOf(spec)}
	if !cold {
		rec.At -= int64(spec.SlowStartTime)
	}
	s.cfg.AuditLog.Add(rec)
}

// Addr is where the engine listens.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// ColdStart is its last start; the zero time when it started warm.
func (s *Server) ColdStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since
}

// Running tells whether it runs.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life != nil
}

// Crash takes the process down at once: connections are reset, states are lost. With back over 0 it comes
// back cold after that time.
func (s *Server) Crash(back time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked(back)
}

func (s *Server) crashLocked(back time.Duration) {
	l := s.life
	if l == nil {
		return
	}
	s.life = nil
	l.listener.reset = true
	l.end()
	for _, st := range l.states {
		st.lease.Stop()
		s.record(audit.Lost, st, "")
	}
	for _, p := range l.places {
		p.lease.Stop()
	}
	l.states, l.places = map[string]*state{}, map[string]*place{}
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		l.listener.Listener.Close()
		l.listener.closeAll()
		l.http.Close()
	}()
	if back > 0 && !s.closed {
		s.work.Add(1)
		go func() {
			defer s.work.Done()
			pause(s.ctx, back)
			for s.ctx.Err() == nil { // the port may be in use for a moment
				s.mu.Lock()
				err := s.startLocked(true)
				s.mu.Unlock()
				if err == nil || s.closed {
					return
				}
				pause(s.ctx, 10*time.Millisecond)
			}
		}()
	}
}

// Close ends the engine for good and waits for all that it began.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.crashLocked(0)
	s.mu.Unlock()
	s.end()
	s.work.Wait()
	s.http.CloseIdleConnections()
}

// Drain makes the engine refuse new work.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = true
}

// InjectFault begins a fault.
func (s *Server) InjectFault(f Fault) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Info("fault", "kind", f.Kind, "for", f.Duration, "size", f.Size, "class", f.Class)
	switch f.Kind {
	case "crash":
		s.crashLocked(f.Duration)
	case "vanish":
		if l := s.life; l != nil {
			l.silent = true
			s.after(f.Duration, func() {
				if s.life == l {
					s.crashLocked(time.Millisecond)
				}
			})
		}
	case "preempt":
		l := s.life
		s.drained = true
		s.after(time.Duration(f.Size*float64(time.Second)), func() {
			if s.life == l {
				s.crashLocked(f.Duration)
			}
		})
	case "ageing":
		l := s.life
		s.faults.add(f, time.Now())
		s.after(f.Duration, func() {
			if s.life == l {
				s.crashLocked(time.Second)
			}
		})
	case "origin_slow":
		if s.cfg.Link != nil {
			s.cfg.Link.SlowDown(f.Size, f.Duration)
		}
		s.faults.add(f, time.Now())
	default:
		s.faults.add(f, time.Now())
	}
	return nil
}

// ClearFaults ends the faults of a kind, or all with "".
func (s *Server) ClearFaults(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.clear(kind)
}

// after runs f under the lock after a time, unless the engine is closed before.
func (s *Server) after(d time.Duration, f func()) {
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		pause(s.ctx, d)
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.closed {
			f()
		}
	}()
}

func (s *Server) record(what audit.EventKind, st *state, note string) {
	s.cfg.AuditLog.Add(audit.Record{Who: s.cfg.Name, Kind: what, ID: st.attempt, Client: st.client,
		Router: st.router, Note: note})
}

// run steps the model while there is work.
func (l *life) run() {
	for l.ctx.Err() == nil {
		l.s.mu.Lock()
		now := time.Now()
		l.sample(now)
		l.model.slow = l.s.faults.factor(now)
		still := l.s.faults.pause(now)
		busy := l.model.busy() && !l.silent
		var d time.Duration
		var reads []int
		var planned []*seq
		if busy && still == 0 {
			d, reads = l.model.step(now)
			planned = slices.Clone(l.model.running)
		}
		l.s.mu.Unlock()
		switch {
		case still > 0:
			pause(l.ctx, still)
		case busy:
			pause(l.ctx, d)
			l.s.mu.Lock()
			if l.ctx.Err() == nil && !l.silent {
				l.model.finish(planned, reads)
			}
			l.s.mu.Unlock()
		default:
			t := time.NewTimer(l.s.spec.Load().ReportInterval)
			select {
			case <-l.wake:
			case <-t.C:
			case <-l.ctx.Done():
			}
			t.Stop()
		}
	}
}

func (l *life) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// sample takes a load report now and then; what is told is one of some time ago.
func (l *life) sample(now time.Time) {
	if n := len(l.reports); n > 0 && now.Sub(l.reports[n-1].at) < l.s.spec.Load().ReportInterval {
		return
	}
	share, waiting, latency := l.model.load()
	l.reports = append(l.reports, report{now, engine.LoadReport{MemoryUse: &share, QueuedTokens: &waiting,
		LatencyMillis: &latency}})
	late := l.s.spec.Load().ReportDelay + time.Duration(l.s.faults.largest("report_late", 0, now)*1e9)
	for len(l.reports) > 1 && now.Sub(l.reports[1].at) >= late {
		l.reports = l.reports[1:]
	}
}

func (l *life) report() *engine.LoadReport {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	l.sample(time.Now())
	return &l.reports[0].load
}

func (l *life) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/models/{model}/infer", l.prefill)
	mux.HandleFunc("POST /v2/models/{model}/generate_stream", l.decode)
	mux.HandleFunc("GET "+engine.LoadPath, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, l.report())
	})
	mux.HandleFunc("GET "+engine.StatePath+"{handle}", l.withState(l.fetch))
	mux.HandleFunc("POST "+engine.StatePath+"{handle}/release", l.withState(l.release))
	mux.HandleFunc("POST "+engine.StatePath+"{handle}/claim", l.withState(l.claim))
	mux.HandleFunc("POST "+engine.StatePath+"{handle}/renew", l.withState(l.renew))
	mux.HandleFunc("PUT "+engine.ReservationPath+"{request}", l.reserve)
	mux.HandleFunc("DELETE "+engine.ReservationPath+"{request}", l.giveUp)
	mux.HandleFunc("POST "+engine.ReservationPath+"{request}/state", l.stateComes)
	mux.HandleFunc("POST "+engine.ReadPath+"{request}/place", l.tellPlace)
	mux.HandleFunc("DELETE "+engine.ReadPath+"{request}", l.callOff)
	mux.HandleFunc("GET "+engine.RolePath, l.tellRole)
	mux.HandleFunc("POST "+engine.RolePath, l.changeRole)
	mux.HandleFunc("POST "+engine.RolePath+"/stay", l.stay)
	mux.HandleFunc("GET /v2/health/ready", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, map[string]bool{"ready": true})
	})
	mux.HandleFunc("POST /control/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &f)
		if err == nil {
			err = l.s.InjectFault(f)
		}
		if err != nil {
			writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, map[string]bool{"playing": true})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.s.mu.Lock()
		silent := l.silent
		l.s.mu.Unlock()
		if silent {
			l.hush(r.Context())
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// hush waits without a word until the client leaves or the process ends.
func (l *life) hush(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		code, body = http.StatusInternalServerError, []byte(`{"error":"the answer could not be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(body)
}

func (l *life) turn(w http.ResponseWriter, why, text string) {
	w.Header().Set(engine.RefusedHeader, why)
	w.Header().Set(engine.LoadHeader, l.report().Header())
	writeJSON(w, http.StatusServiceUnavailable, kserve.ErrorResponse{Error: text})
}

// attempt is what both stages have in common.
type attempt struct {
	l      *life
	id     string
	p      engine.Params
	text   string
	router string
}

func (a *attempt) record(what audit.EventKind, note string) {
	a.l.s.cfg.AuditLog.Add(audit.Record{Who: a.l.s.cfg.Name, Kind: what, ID: a.id, Client: a.p.Client,
		Router: a.router, Class: a.p.Class, Stage: a.p.Stage, Work: a.l.s.spec.Load().meanWork(), Note: note})
}

// enter does what comes before any work: it records the arrival and plays the faults that strike at the
// door. It reports whether the attempt goes on.
func (a *attempt) enter(w http.ResponseWriter, r *http.Request) bool {
	l := a.l
	a.router, _, _ = strings.Cut(a.p.Request, ".")
	a.record(audit.Arrived, "")
	l.s.mu.Lock()
	now := time.Now()
	f := &l.s.faults
	failing := f.strikes("fast_errors", a.p.Class, now)
	throttled := f.strikes("throttle", a.p.Class, now)
	ill := f.strikes("class_fail", a.p.Class, now)
	endless := f.strikes("long_headers", a.p.Class, now)
	l.model.weigh(now)
	fallen, drained := l.model.fallen, l.s.drained || l.s.role.Phase != engine.PhaseSteady
	if fallen && !l.silent {
		l.silent = true
		l.s.cfg.AuditLog.Add(audit.Record{Who: l.s.cfg.Name, Kind: audit.OverloadFailed})
	}
	l.s.mu.Unlock()
	role := a.p.Stage == engine.StagePrefill && l.s.spec.Load().Role&decide.Reader == 0 ||
		a.p.Stage == engine.StageDecode && l.s.spec.Load().Role&decide.Writer == 0
	switch {
	case fallen || ill != nil && ill.Mode == "silence":
		a.record(audit.Rejected, "silence")
		l.hush(r.Context())
		panic(http.ErrAbortHandler)
	case endless != nil:
		a.record(audit.Rejected, "long headers")
		l.longHeaders(w)
		return false
	case failing != nil || ill != nil:
		a.record(audit.Rejected, "error")
		writeJSON(w, http.StatusInternalServerError, kserve.ErrorResponse{Error: "the engine failed"})
		return false
	case drained:
		a.record(audit.Rejected, engine.RefusedDraining)
		l.turn(w, engine.RefusedDraining, "the engine is draining")
		return false
	case role:
		a.record(audit.Rejected, engine.RefusedRole)
		l.turn(w, engine.RefusedRole, "the engine does not do this stage")
		return false
	case throttled != nil:
		a.record(audit.Rejected, engine.RefusedFull)
		l.turn(w, engine.RefusedFull, "no more of this class")
		return false
	case int(a.p.PromptTokens)+1 > l.s.spec.Load().MaxContextTokens:
		a.record(audit.Rejected, "context")
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: "the prompt is longer than the context"})
		return false
	}
	return true
}

// longHeaders sends headers until the other side has had enough.
func (l *life) longHeaders(w http.ResponseWriter) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	buf.WriteString("HTTP/1.1 200 OK\r\n")
	for i := 0; i < 1<<16 && l.ctx.Err() == nil; i++ {
		if _, err := fmt.Fprintf(buf, "X-Filler-%d: %064d\r\n", i, i); err != nil {
			return
		}
	}
	buf.Flush()
}

// answerMark lets a prompt tell the model how long its answer will be; a router does not look at it.
var answerMark = regexp.MustCompile(`\[answer=(\d{1,5})\]`)

// answerLength is the true length of an answer: what the prompt's mark says, else a draw from a long-tailed
// distribution that hangs on the prompt alone, so that a repeat is answered alike.
func (l *life) answerLength(prompt string, most int) int {
	n := 0
	if m := answerMark.FindStringSubmatch(prompt); m != nil {
		n, _ = strconv.Atoi(m[1])
	} else {
		const sigma = 0.6
		mean := max(l.s.spec.Load().MeanAnswerTokens, 1)
		d := distuv.LogNormal{Mu: math.Log(mean) - sigma*sigma/2, Sigma: sigma,
			Src: rand.NewPCG(xxhash.Sum64String(prompt), l.s.cfg.Seed)}
		n = int(d.Rand())
	}
	if most > 0 {
		n = min(n, most)
	}
	return max(n, 1)
}

// prefill reads a prompt; its state waits here.
func (l *life) prefill(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID         string          `json:"id"`
		Parameters engine.Params   `json:"parameters"`
		Inputs     []kserve.Tensor `json:"inputs"`
	}
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 8<<20), &body); err != nil {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
		return
	}
	a := &attempt{l: l, id: body.ID, p: body.Parameters}
	if len(body.Inputs) == 1 {
		if texts, err := body.Inputs[0].Strings(); err == nil && len(texts) == 1 {
			a.text = texts[0]
		}
	}
	if !a.enter(w, r) {
		return
	}
	q := &seq{prompt: max(int(a.p.PromptTokens), 1), shared: int(a.p.PrefixTokens), session: a.p.Session, text: a.p.SharedPrefix}
	began := time.Now()
	under := &read{off: make(chan struct{})}
	l.s.mu.Lock()
	err := l.model.admit(q)
	if err == nil {
		l.reads[a.p.Request] = under
	}
	l.s.mu.Unlock()
	if err != nil {
		a.record(audit.Rejected, engine.RefusedFull)
		l.turn(w, engine.RefusedFull, err.Error())
		return
	}
	l.signal()
	done := false
	select {
	case <-q.events:
		done = true
	case <-under.off:
	case <-r.Context().Done():
	case <-l.ctx.Done():
	}
	l.s.mu.Lock()
	placeAt := under.place
	if l.reads[a.p.Request] == under {
		delete(l.reads, a.p.Request)
	}
	select {
	case <-under.off:
		done = false
	default:
	}
	if !done || r.Context().Err() != nil || l.ctx.Err() != nil || l.silent {
		silent := l.silent
		l.model.leave(q)
		l.s.mu.Unlock()
		a.record(audit.Ended, "called off")
		if placeAt != "" { // nobody else may be there to let the place go
			l.dropPlaceAt(placeAt, a.p.Request)
		}
		if silent {
			l.hush(r.Context())
		}
		l.signal()
		panic(http.ErrAbortHandler)
	}
	l.model.waited(time.Since(began))
	st := l.holdLocked(a, q)
	l.s.mu.Unlock()
	a.record(audit.Ended, "read")
	answer := engine.ReadParams{Handle: st.id, Source: l.s.addr, Tokens: float64(q.prompt), CachedTokens: float64(q.kept)}
	if placeAt != "" && l.push(r.Context(), st, placeAt, a.p.Request) {
		answer.Handle, answer.Source = "place-"+a.p.Request, placeAt
	}
	id := a.id
	if l.strikes("wrong_id", a.p.Class) {
		id += "-not"
	}
	out, err := json.Marshal(struct {
		ModelName  string             `json:"model_name"`
		ID         string             `json:"id"`
		Parameters *engine.ReadParams `json:"parameters"`
		Outputs    []kserve.Tensor    `json:"outputs"`
	}{r.PathValue("model"), id, &answer, []kserve.Tensor{}})
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.LoadHeader, l.report().Header())
	switch {
	case l.strikes("half_frame", a.p.Class):
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
		w.Write(out[:len(out)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case l.strikes("two_answers", a.p.Class):
		w.Write(append(out, out...))
	default:
		w.Write(out)
	}
}

func (l *life) strikes(kind, class string) bool {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return l.s.faults.strikes(kind, class, time.Now()) != nil
}

// holdLocked makes a state of a finished read. It waits for as long as the router says; a claim stops
// that clock, and the end of a claim starts it anew.
func (l *life) holdLocked(a *attempt, q *seq) *state {
	l.next++
	st := &state{id: fmt.Sprintf("%s-%x-%d", l.s.cfg.Name, l.model.started.UnixNano(), l.next), attempt: a.id,
		request: a.p.Request, client: a.p.Client,
		router: a.router, prompt: q.prompt, blocks: q.blocks, answer: l.answerLength(a.text, a.p.MaxTokens),
		hold: time.Duration(max(a.p.HoldMillis, 1) * 1e6)}
	l.addStateLocked(st)
	return st
}

func (l *life) addStateLocked(st *state) {
	l.states[st.id] = st
	l.s.record(audit.Held, st, "")
	st.lease = time.AfterFunc(st.hold, func() {
		l.s.mu.Lock()
		defer l.s.mu.Unlock()
		if l.states[st.id] == st && st.claims == 0 {
			l.dropLocked(st, audit.Expired)
		}
	})
}

func (l *life) dropLocked(st *state, what audit.EventKind) {
	if l.states[st.id] != st {
		return
	}
	delete(l.states, st.id)
	st.lease.Stop()
	l.model.free(st.blocks)
	l.s.record(what, st, "")
}

// withState finds the state that a call is about.
func (l *life) withState(f func(http.ResponseWriter, *http.Request, *state)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l.s.mu.Lock()
		st := l.states[r.PathValue("handle")]
		l.s.mu.Unlock()
		if st == nil {
			writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such state"})
			return
		}
		f(w, r, st)
	}
}

func (l *life) release(w http.ResponseWriter, r *http.Request, st *state) {
	l.s.mu.Lock()
	l.dropLocked(st, audit.Released)
	l.s.mu.Unlock()
	l.signal()
	writeJSON(w, http.StatusOK, map[string]bool{"released": true})
}

// callOff ends a read, or lets go of the state that it has left: for a router that gave the attempt up and
// never saw its answer. It can be told again and again.
func (l *life) callOff(w http.ResponseWriter, r *http.Request) {
	request := r.PathValue("request")
	l.s.mu.Lock()
	if under := l.reads[request]; under != nil {
		under.once.Do(func() { close(under.off) })
	}
	for _, st := range l.states {
		if st.request == request && st.claims == 0 {
			l.dropLocked(st, audit.Released)
		}
	}
	l.s.mu.Unlock()
	l.signal()
	writeJSON(w, http.StatusOK, map[string]bool{"released": true})
}

func (l *life) claimed(st *state, on bool) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.states[st.id] != st {
		return
	}
	if on {
		if st.claims++; st.claims == 1 {
			st.lease.Stop()
			l.s.record(audit.Claimed, st, "")
		}
		return
	}
	if st.claims--; st.claims == 0 {
		st.lease.Reset(st.hold)
		l.s.record(audit.ClaimEnded, st, "")
	}
}

// renew starts a state's time anew: its router has an attempt out that is for it.
func (l *life) renew(w http.ResponseWriter, r *http.Request, st *state) {
	l.s.mu.Lock()
	if l.states[st.id] == st && st.claims == 0 {
		st.lease.Reset(st.hold)
		l.s.record(audit.Renewed, st, "")
	}
	l.s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]bool{"renewed": true})
}

// claim holds a state for a writer that waits for a slot, as long as the writer keeps the connection.
func (l *life) claim(w http.ResponseWriter, r *http.Request, st *state) {
	l.claimed(st, true)
	defer l.claimed(st, false)
	w.WriteHeader(http.StatusOK)
	http.NewResponseController(w).Flush()
	l.hush(r.Context())
}

// fetch sends a state's bytes; when the last has gone the state is let go here.
func (l *life) fetch(w http.ResponseWriter, r *http.Request, st *state) {
	l.claimed(st, true)
	defer l.claimed(st, false)
	w.Header().Set("Content-Length", strconv.Itoa(st.prompt*l.s.spec.Load().StateBytesPerToken))
	w.Header().Set(engine.TokensHeader, strconv.Itoa(st.prompt))
	w.Header().Set(engine.InfoHeader, strconv.Itoa(st.answer))
	w.Header().Set(engine.ChecksumHeader, strconv.FormatUint(stateSum(st.id, st.prompt*l.s.spec.Load().StateBytesPerToken), 16))
	if l.sendState(r.Context(), w, st, r.Header.Get("Kv-Cell")) != nil {
		return
	}
	l.s.mu.Lock()
	l.dropLocked(st, audit.Fetched)
	l.s.mu.Unlock()
	l.signal()
}

// sendState writes the bytes of a state at the pace of the port, or of the cell's link.
func (l *life) sendState(ctx context.Context, w io.Writer, st *state, toCell string) error {
	const chunk = 256 // tokens
	gen := newPattern(st.id)
	buf := make([]byte, chunk*l.s.spec.Load().StateBytesPerToken)
	for left := st.prompt; left > 0; left -= chunk {
		n := min(left, chunk)
		l.s.mu.Lock()
		slow := l.s.faults.largest("origin_slow", 1, time.Now())
		l.s.mu.Unlock()
		if toCell == l.s.cfg.Cell || l.s.cfg.Link == nil {
			pause(ctx, time.Duration(float64(n)/l.s.spec.Load().PortTokensPerSecond*slow*1e9))
		} else {
			l.s.cfg.Link.take(ctx, float64(n))
		}
		if err := cmp.Or(ctx.Err(), l.ctx.Err()); err != nil {
			return err
		}
		part := buf[:n*l.s.spec.Load().StateBytesPerToken]
		gen.fill(part)
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// pattern makes the bytes of a state, which hang on its id alone.
type pattern struct{ rng *rand.PCG }

func newPattern(id string) *pattern { return &pattern{rand.NewPCG(xxhash.Sum64String(id), 7)} }

func (p *pattern) fill(b []byte) {
	for i := 0; i+8 <= len(b); i += 8 {
		binary.LittleEndian.PutUint64(b[i:], p.rng.Uint64())
	}
}

func stateSum(id string, n int) uint64 {
	b := make([]byte, n)
	newPattern(id).fill(b)
	return xxhash.Sum64(b)
}

// decode fetches a state and writes the answer.
func (l *life) decode(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID         string        `json:"id"`
		TextInput  string        `json:"text_input"`
		Parameters engine.Params `json:"parameters"`
	}
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 8<<20), &body); err != nil {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
		return
	}
	a := &attempt{l: l, id: body.ID, p: body.Parameters, text: body.TextInput}
	if !a.enter(w, r) {
		return
	}
	if a.p.Handle == "" && l.s.spec.Load().Role != decide.Both {
		a.record(audit.Rejected, engine.RefusedNoState)
		l.turn(w, engine.RefusedNoState, "no state is named, and the engine does not read")
		return
	}
	began := time.Now()
	q := &seq{prompt: max(int(a.p.PromptTokens), 1), shared: int(a.p.PrefixTokens), session: a.p.Session, text: a.p.SharedPrefix,
		wantsState: a.p.Handle != "", answer: max(a.p.MaxTokens, 1)}
	if a.p.Handle == "" {
		q.answer = l.answerLength(a.text, a.p.MaxTokens)
	}
	if !l.takePlace(r.Context(), a, &q) {
		l.s.mu.Lock()
		err := l.model.admit(q)
		l.s.mu.Unlock()
		if err != nil {
			a.record(audit.Rejected, engine.RefusedFull)
			l.turn(w, engine.RefusedFull, err.Error())
			return
		}
		if q.wantsState && !l.bring(w, r, a, q) {
			return
		}
	}
	a.record(audit.Executed, "")
	l.signal()
	l.stream(w, r, a, q, began)
}

// bring waits for a slot and fetches the state. It reports whether the answer can begin; if not, all is
// said already.
func (l *life) bring(w http.ResponseWriter, r *http.Request, a *attempt, q *seq) bool {
	quit := func(note string) {
		l.s.mu.Lock()
		l.model.leave(q)
		l.s.mu.Unlock()
		l.signal()
		a.record(audit.Rejected, note)
	}
	select {
	case <-q.granted:
	default: // wait, and keep the state claimed meanwhile
		claim, cancel := context.WithCancel(r.Context())
		defer cancel()
		resp, err := l.ask(claim, http.MethodPost, a.p.Source, engine.StatePath+a.p.Handle+"/claim")
		if err != nil || resp.StatusCode != http.StatusOK {
			if err == nil {
				resp.Body.Close()
			}
			quit(engine.RefusedNoState)
			l.turn(w, engine.RefusedNoState, "the state is gone")
			return false
		}
		defer resp.Body.Close()
		select {
		case <-q.granted:
		case <-r.Context().Done():
		case <-l.ctx.Done():
		}
		if r.Context().Err() != nil || l.ctx.Err() != nil {
			quit("called off")
			panic(http.ErrAbortHandler)
		}
	}
	answer, err := l.fetchState(r.Context(), a)
	if err != nil {
		if r.Context().Err() != nil || l.ctx.Err() != nil {
			quit("called off")
			panic(http.ErrAbortHandler)
		}
		quit(engine.RefusedNoState)
		l.turn(w, engine.RefusedNoState, "the state could not be fetched: "+err.Error())
		return false
	}
	l.s.mu.Lock()
	q.answer = min(answer, q.answer)
	l.model.fetched(q)
	l.s.mu.Unlock()
	return true
}

func (l *life) ask(ctx context.Context, method, addr, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Kv-Cell", l.s.cfg.Cell)
	return l.s.http.Do(req)
}

// fetchState takes a state's bytes off its engine and proves them by their sum.
func (l *life) fetchState(ctx context.Context, a *attempt) (answer int, err error) {
	resp, err := l.ask(ctx, http.MethodGet, a.p.Source, engine.StatePath+a.p.Handle)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	sum := xxhash.New()
	if _, err := io.Copy(sum, resp.Body); err != nil {
		return 0, err
	}
	if got := strconv.FormatUint(sum.Sum64(), 16); got != resp.Header.Get(engine.ChecksumHeader) {
		return 0, fmt.Errorf("the state's sum is %s, want %s", got, resp.Header.Get(engine.ChecksumHeader))
	}
	answer, err = strconv.Atoi(resp.Header.Get(engine.InfoHeader))
	return max(answer, 1), err
}

// stream sends the tokens as they are made.
func (l *life) stream(w http.ResponseWriter, r *http.Request, a *attempt, q *seq, began time.Time) {
	control := http.NewResponseController(w)
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	half, twice, id := l.strikes("half_frame", a.p.Class), l.strikes("two_answers", a.p.Class), a.id
	if l.strikes("wrong_id", a.p.Class) {
		id += "-not"
	}
	send := func(v any) error {
		buf.Reset()
		buf.WriteString("data: ")
		if err := enc.Encode(v); err != nil {
			return err
		}
		buf.WriteByte('\n')
		_, err := w.Write(buf.Bytes())
		if err == nil {
			err = control.Flush()
		}
		return err
	}
	leave := func(note string) {
		l.s.mu.Lock()
		l.model.leave(q)
		l.s.mu.Unlock()
		l.signal()
		l.s.cfg.AuditLog.Add(audit.Record{Who: l.s.cfg.Name, Kind: audit.Ended, ID: a.id, Client: a.p.Client,
			Router: a.router, Class: a.p.Class, Stage: a.p.Stage, N: float64(q.written), Note: note})
	}
	for {
		var ev event
		select {
		case ev = <-q.events:
		case <-r.Context().Done():
		case <-l.ctx.Done():
		}
		l.s.mu.Lock()
		silent := l.silent
		l.s.mu.Unlock()
		if silent {
			l.hush(r.Context())
		}
		if silent || r.Context().Err() != nil || l.ctx.Err() != nil {
			leave("called off")
			panic(http.ErrAbortHandler)
		}
		if ev.token == 1 {
			l.s.mu.Lock()
			l.model.waited(time.Since(began))
			l.s.mu.Unlock()
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(engine.LoadHeader, l.report().Header())
		}
		if half && (ev.token > 1 || ev.last) {
			w.Write([]byte(`data: {"id":"` + id + `","text_out`))
			control.Flush()
			leave("half a frame")
			panic(http.ErrAbortHandler)
		}
		err := send(&kserve.GenerateResponse{ModelName: r.PathValue("model"), ID: id, TextOutput: word(ev.token)})
		if err == nil && ev.last {
			end := struct {
				kserve.GenerateResponse
				Parameters *engine.LoadReport `json:"parameters"`
			}{kserve.GenerateResponse{ModelName: r.PathValue("model"), ID: id,
				Details: &kserve.Details{FinishReason: finishReason(q, a)}}, l.report()}
			if err = send(&end); err == nil && twice {
				err = send(&end)
			}
		}
		if err != nil {
			leave("the router left")
			panic(http.ErrAbortHandler)
		}
		if ev.last {
			leave("served")
			return
		}
	}
}

func finishReason(q *seq, a *attempt) string {
	if a.p.MaxTokens > 0 && q.written >= a.p.MaxTokens {
		return "length"
	}
	return "stop"
}

var words = strings.Fields("onion rate at the mandi stands higher than last week because two lorries came late from the " +
	"fields and the committee has set the stall fee for the day as before so ask the weigher for the slip")

func word(n int) string { return words[(n-1)%len(words)] + " " }

// Occupancy tells how many sequences and how many states and places the engine holds now.
func (s *Server) Occupancy() (sequences, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return 0, 0
	}
	return len(s.life.model.running) + len(s.life.model.queue), len(s.life.states) + len(s.life.places)
}
