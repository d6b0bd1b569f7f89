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

// Config is the configuration of a Server.
type Config struct {
	Name             string
	Addr             string // listen address; port 0 picks a free port, which is kept across restarts
	Cell             string
	Spec             Spec
	OtherRole        *Spec         // the spec of its other role; nil: it has only one role
	RoleChangeTime   time.Duration // duration of a role change, once the engine is empty
	KeepsPrefixCache bool          // a role change keeps the prefix cache
	Link             *Link         // shared by the cell's engines; nil: only the port limits transfers
	Seed             uint64
	StartCold        bool       // the first start is cold
	AuditLog         *audit.Log // nil: no audit records
	Log              *slog.Logger
}

// Link is the single outgoing link of a cell. Transfers share it evenly, since each uses it for one chunk at a time.
type Link struct {
	mu              sync.Mutex
	freeAt          time.Time // when the link has sent everything that it has accepted
	TokensPerSecond float64   // bandwidth in tokens per second
	slowdown        float64   // divides the bandwidth until slowUntil
	slowUntil       time.Time
}

// SlowDown divides the link's bandwidth by a factor for a duration.
func (l *Link) SlowDown(factor float64, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowdown, l.slowUntil = factor, time.Now().Add(d)
}

// take waits until the link has carried the tokens.
func (l *Link) take(ctx context.Context, tokens float64) {
	l.mu.Lock()
	now := time.Now()
	rate := l.TokensPerSecond
	if now.Before(l.slowUntil) {
		rate /= max(l.slowdown, 1)
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(tokens / rate * 1e9))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	sleep(ctx, wait)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
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

// Server is a stand-in engine on a socket. Start starts it and Close ends it; Crash and InjectFault work in between.
type Server struct {
	cfg  Config
	log  *slog.Logger
	addr string
	http *http.Client // for requests to other engines

	spec atomic.Pointer[Spec] // the spec of the present role

	mu         sync.Mutex
	process    *process // nil while the engine is down
	roleState  RoleState
	faults     faultSet
	coldStart  time.Time // last cold start; zero: it started warm
	draining   bool      // refuses new work
	goroutines sync.WaitGroup
	closed     bool // set for good by Close
	ctx        context.Context
	cancel     context.CancelFunc
	onStart    func(since time.Time) // called at each start
}

// process is one run of the engine process: the state that a crash loses.
type process struct {
	server          *Server
	ctx             context.Context
	cancel          context.CancelFunc
	http            *http.Server
	listener        *listener
	model           *model
	wake            chan struct{}
	states          map[string]*kvState
	reads           map[string]*activeRead // reads in flight, by request
	reservations    map[string]*reservation
	lastStateNumber int // number of the KV state that was held last
	reports         []loadSample
	unresponsive    bool // neither answers nor resets connections
}

// kvState is the KV state of a read, held until it is fetched, released or expired.
type kvState struct {
	id, attempt, request, client, router string
	promptTokens, answerTokens, blocks   int
	claims                               int // users of the KV state; the hold timer is stopped while there are any
	holdTimer                            *time.Timer
	holdTime                             time.Duration
}

// activeRead is a read in flight.
type activeRead struct {
	reservationAddr string        // engine that the KV state is to be pushed to; "": it stays here
	cancelled       chan struct{} // closed when the read is cancelled
	cancelOnce      sync.Once
}

// reservation is a slot and memory reserved for a request whose read has not ended.
type reservation struct {
	seq          *seq
	tokens       int
	holdTimer    *time.Timer
	state        *kvState      // set when the KV state has arrived
	stateArrived chan struct{} // closed when the KV state has arrived
}

// loadSample is a load report with the time at which it was taken.
type loadSample struct {
	at   time.Time
	load engine.LoadReport
}

// New returns a stopped engine. onStart, if not nil, is called at each start.
func New(cfg Config, onStart func(since time.Time)) *Server {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{cfg: cfg, log: cfg.Log.With("engine", cfg.Name), addr: cfg.Addr, onStart: onStart}
	s.spec.Store(&cfg.Spec)
	s.roleState.Epoch = 1
	s.faults.rng = rand.New(rand.NewPCG(cfg.Seed, 1))
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}
	return s
}

// Start starts the engine, which listens from then on.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startLocked(s.cfg.StartCold)
}

// startLocked starts a process, cold or warm. s.mu is held.
func (s *Server) startLocked(cold bool) error {
	if s.closed || s.process != nil {
		return errors.New("engine is closed or already running")
	}
	raw, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("engine %s: %w", s.cfg.Name, err)
	}
	s.addr = raw.Addr().String()
	now := time.Now()
	proc := &process{server: s, model: newModel(*s.spec.Load(), now, cold), wake: make(chan struct{}, 1),
		states: map[string]*kvState{}, reads: map[string]*activeRead{}, reservations: map[string]*reservation{}}
	proc.ctx, proc.cancel = context.WithCancel(s.ctx)
	proc.listener = &listener{Listener: raw, process: proc, conns: map[*conn]bool{}}
	proc.http = &http.Server{Handler: proc.handler(), ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		ReadHeaderTimeout: 5 * time.Second}
	s.process, s.draining = proc, false
	if cold {
		s.coldStart = now
	}
	s.roleState.Phase = engine.PhaseSteady // a role change in progress is lost with the process
	s.recordStart(now, cold)
	s.goroutines.Add(2)
	go func() { defer s.goroutines.Done(); proc.http.Serve(proc.listener) }()
	go func() { defer s.goroutines.Done(); proc.run() }()
	if s.onStart != nil {
		s.onStart(s.coldStart)
	}
	return nil
}

// recordStart writes a start in the present role to the audit log.
func (s *Server) recordStart(now time.Time, cold bool) {
	spec := s.spec.Load()
	rec := audit.Record{At: now.UnixNano(), Who: s.cfg.Name, Kind: audit.Started, N: spec.capacity(), Work: spec.InitialCapacity,
		Deadline: int64(spec.SlowStartTime), Note: stageName(spec)}
	if !cold {
		rec.At -= int64(spec.SlowStartTime)
	}
	s.cfg.AuditLog.Add(rec)
}

// Addr returns the address that the engine listens on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// ColdStart returns the time of the last cold start, or the zero time if the engine started warm.
func (s *Server) ColdStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldStart
}

// Running reports whether the process runs.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process != nil
}

// Crash ends the process at once: connections are reset and KV states are lost. If restartAfter is over 0,
// the engine restarts cold after that time.
func (s *Server) Crash(restartAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked(restartAfter)
}

// crashLocked is Crash with s.mu held.
func (s *Server) crashLocked(restartAfter time.Duration) {
	proc := s.process
	if proc == nil {
		return
	}
	s.process = nil
	proc.listener.resetConns = true
	proc.cancel()
	for _, st := range proc.states {
		st.holdTimer.Stop()
		s.record(audit.Lost, st, "")
	}
	for _, resv := range proc.reservations {
		resv.holdTimer.Stop()
	}
	proc.states, proc.reservations = map[string]*kvState{}, map[string]*reservation{}
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		proc.listener.Listener.Close()
		proc.listener.closeConns()
		proc.http.Close()
	}()
	if restartAfter > 0 && !s.closed {
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			sleep(s.ctx, restartAfter)
			for s.ctx.Err() == nil { // the port may still be in use for a moment
				s.mu.Lock()
				err := s.startLocked(true)
				s.mu.Unlock()
				if err == nil || s.closed {
					return
				}
				sleep(s.ctx, 10*time.Millisecond)
			}
		}()
	}
}

// Close stops the engine for good and waits for its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.crashLocked(0)
	s.mu.Unlock()
	s.cancel()
	s.goroutines.Wait()
	s.http.CloseIdleConnections()
}

// Drain makes the engine refuse new work.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// InjectFault starts a fault.
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
		if proc := s.process; proc != nil {
			proc.unresponsive = true
			s.after(f.Duration, func() {
				if s.process == proc {
					s.crashLocked(time.Millisecond)
				}
			})
		}
	case "preempt":
		proc := s.process
		s.draining = true
		s.after(time.Duration(f.Size*float64(time.Second)), func() {
			if s.process == proc {
				s.crashLocked(f.Duration)
			}
		})
	case "ageing":
		proc := s.process
		s.faults.add(f, time.Now())
		s.after(f.Duration, func() {
			if s.process == proc {
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

// ClearFaults ends the faults of a kind, or all faults if kind is empty.
func (s *Server) ClearFaults(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.clear(kind)
}

// after runs f with s.mu held after a duration, unless the engine is closed before.
func (s *Server) after(d time.Duration, f func()) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		sleep(s.ctx, d)
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.closed {
			f()
		}
	}()
}

// record writes an event of a KV state to the audit log.
func (s *Server) record(kind audit.EventKind, st *kvState, note string) {
	s.cfg.AuditLog.Add(audit.Record{Who: s.cfg.Name, Kind: kind, ID: st.attempt, Client: st.client,
		Router: st.router, Note: note})
}

// run executes the model's steps while there is work, until the process ends.
func (proc *process) run() {
	for proc.ctx.Err() == nil {
		proc.server.mu.Lock()
		now := time.Now()
		proc.sampleLoad(now)
		proc.model.slowdown = proc.server.faults.slowdown(now)
		pauseLeft := proc.server.faults.pauseLeft(now)
		busy := proc.model.busy() && !proc.unresponsive
		var stepTime time.Duration
		var reads []int
		var planned []*seq
		if busy && pauseLeft == 0 {
			stepTime, reads = proc.model.planStep(now)
			planned = slices.Clone(proc.model.running)
		}
		proc.server.mu.Unlock()
		switch {
		case pauseLeft > 0:
			sleep(proc.ctx, pauseLeft)
		case busy:
			sleep(proc.ctx, stepTime)
			proc.server.mu.Lock()
			if proc.ctx.Err() == nil && !proc.unresponsive {
				proc.model.finishStep(planned, reads)
			}
			proc.server.mu.Unlock()
		default:
			t := time.NewTimer(proc.server.spec.Load().ReportInterval)
			select {
			case <-proc.wake:
			case <-t.C:
			case <-proc.ctx.Done():
			}
			t.Stop()
		}
	}
}

// wakeModel tells run that there may be work.
func (proc *process) wakeModel() {
	select {
	case proc.wake <- struct{}{}:
	default:
	}
}

// sampleLoad takes a load sample if the last one is older than the report interval, and drops samples that are older
// than the one to report.
func (proc *process) sampleLoad(now time.Time) {
	if n := len(proc.reports); n > 0 && now.Sub(proc.reports[n-1].at) < proc.server.spec.Load().ReportInterval {
		return
	}
	memoryUse, queuedTokens, latency := proc.model.load()
	proc.reports = append(proc.reports, loadSample{now, engine.LoadReport{MemoryUse: &memoryUse, QueuedTokens: &queuedTokens,
		LatencyMillis: &latency}})
	delay := proc.server.spec.Load().ReportDelay + time.Duration(proc.server.faults.maxSize("report_late", 0, now)*1e9)
	for len(proc.reports) > 1 && now.Sub(proc.reports[1].at) >= delay {
		proc.reports = proc.reports[1:]
	}
}

// loadReport returns the load report that is due now: the newest sample that is at least ReportDelay old, if there is
// one, or else the oldest. The fault report_late adds to that delay.
func (proc *process) loadReport() *engine.LoadReport {
	proc.server.mu.Lock()
	defer proc.server.mu.Unlock()
	proc.sampleLoad(time.Now())
	return &proc.reports[0].load
}

// handler returns the HTTP handler of all the engine's paths.
func (proc *process) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/models/{model}/infer", proc.prefill)
	mux.HandleFunc("POST /v2/models/{model}/generate_stream", proc.decode)
	mux.HandleFunc("GET "+engine.LoadPath, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, proc.loadReport())
	})
	mux.HandleFunc("GET "+engine.StatePath+"{handle}", proc.withState(proc.serveState))
	mux.HandleFunc("POST "+engine.StatePath+"{handle}/release", proc.withState(proc.releaseState))
	mux.HandleFunc("POST "+engine.StatePath+"{handle}/claim", proc.withState(proc.claimState))
	mux.HandleFunc("POST "+engine.StatePath+"{handle}/renew", proc.withState(proc.renewState))
	mux.HandleFunc("PUT "+engine.ReservationPath+"{request}", proc.reserve)
	mux.HandleFunc("DELETE "+engine.ReservationPath+"{request}", proc.cancelReservation)
	mux.HandleFunc("POST "+engine.ReservationPath+"{request}/state", proc.acceptState)
	mux.HandleFunc("POST "+engine.ReadPath+"{request}/place", proc.setReservationAddr)
	mux.HandleFunc("DELETE "+engine.ReadPath+"{request}", proc.cancelRead)
	mux.HandleFunc("GET "+engine.RolePath, proc.getRole)
	mux.HandleFunc("POST "+engine.RolePath, proc.changeRole)
	mux.HandleFunc("POST "+engine.RolePath+"/stay", proc.cancelRoleChange)
	mux.HandleFunc("GET /v2/health/ready", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, map[string]bool{"ready": true})
	})
	mux.HandleFunc("POST /control/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &f)
		if err == nil {
			err = proc.server.InjectFault(f)
		}
		if err != nil {
			writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, map[string]bool{"playing": true})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		proc.server.mu.Lock()
		unresponsive := proc.unresponsive
		proc.server.mu.Unlock()
		if unresponsive {
			proc.waitForClose(r.Context())
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// waitForClose blocks without an answer until the client disconnects or the process ends.
func (proc *process) waitForClose(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-proc.ctx.Done():
	}
}

// writeJSON answers with a value as JSON.
func writeJSON(w http.ResponseWriter, code int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		code, body = http.StatusInternalServerError, []byte(`{"error":"the answer could not be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(body)
}

// refuse answers 503 with the reason of the refusal and the engine's load.
func (proc *process) refuse(w http.ResponseWriter, reason, text string) {
	w.Header().Set(engine.RefusedHeader, reason)
	w.Header().Set(engine.LoadHeader, proc.loadReport().Header())
	writeJSON(w, http.StatusServiceUnavailable, kserve.ErrorResponse{Error: text})
}

// attempt holds what requests of both stages have in common.
type attempt struct {
	process *process
	id      string
	params  engine.Params
	prompt  string // the prompt's text
	router  string
}

// record writes an event of the attempt to the audit log.
func (a *attempt) record(kind audit.EventKind, note string) {
	a.process.server.cfg.AuditLog.Add(audit.Record{Who: a.process.server.cfg.Name, Kind: kind, ID: a.id, Client: a.params.Client,
		Router: a.router, Class: a.params.Class, Stage: a.params.Stage, Work: a.process.server.spec.Load().meanWork(), Note: note})
}

// accept runs before any work: it records the arrival, injects the faults that apply to arriving requests, and
// refuses what the engine cannot take. It reports whether the attempt continues.
func (a *attempt) accept(w http.ResponseWriter, r *http.Request) bool {
	proc := a.process
	a.router, _, _ = strings.Cut(a.params.Request, ".")
	a.record(audit.Arrived, "")
	proc.server.mu.Lock()
	now := time.Now()
	f := &proc.server.faults
	failing := f.draw("fast_errors", a.params.Class, now)
	throttled := f.draw("throttle", a.params.Class, now)
	classFault := f.draw("class_fail", a.params.Class, now)
	endlessHeaders := f.draw("long_headers", a.params.Class, now)
	proc.model.countSend(now)
	overloaded, draining := proc.model.overloaded, proc.server.draining || proc.server.roleState.Phase != engine.PhaseSteady
	if overloaded && !proc.unresponsive {
		proc.unresponsive = true
		proc.server.cfg.AuditLog.Add(audit.Record{Who: proc.server.cfg.Name, Kind: audit.OverloadFailed})
	}
	proc.server.mu.Unlock()
	wrongRole := a.params.Stage == engine.StagePrefill && proc.server.spec.Load().Role&decide.Reader == 0 ||
		a.params.Stage == engine.StageDecode && proc.server.spec.Load().Role&decide.Writer == 0
	switch {
	case overloaded || classFault != nil && classFault.Mode == "silence":
		a.record(audit.Rejected, "silence")
		proc.waitForClose(r.Context())
		panic(http.ErrAbortHandler)
	case endlessHeaders != nil:
		a.record(audit.Rejected, "long headers")
		proc.sendEndlessHeaders(w)
		return false
	case failing != nil || classFault != nil:
		a.record(audit.Rejected, "error")
		writeJSON(w, http.StatusInternalServerError, kserve.ErrorResponse{Error: "the engine failed"})
		return false
	case draining:
		a.record(audit.Rejected, engine.RefusedDraining)
		proc.refuse(w, engine.RefusedDraining, "the engine is draining")
		return false
	case wrongRole:
		a.record(audit.Rejected, engine.RefusedRole)
		proc.refuse(w, engine.RefusedRole, "the engine does not do this stage")
		return false
	case throttled != nil:
		a.record(audit.Rejected, engine.RefusedFull)
		proc.refuse(w, engine.RefusedFull, "no more of this class")
		return false
	case int(a.params.PromptTokens)+1 > proc.server.spec.Load().MaxContextTokens:
		a.record(audit.Rejected, "context")
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: "the prompt is longer than the context"})
		return false
	}
	return true
}

// sendEndlessHeaders sends header lines until the client disconnects, or 65,536 of them.
func (proc *process) sendEndlessHeaders(w http.ResponseWriter) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	buf.WriteString("HTTP/1.1 200 OK\r\n")
	for i := 0; i < 1<<16 && proc.ctx.Err() == nil; i++ {
		if _, err := fmt.Fprintf(buf, "X-Filler-%d: %064d\r\n", i, i); err != nil {
			return
		}
	}
	buf.Flush()
}

// answerLengthMark lets a prompt tell the stand-in how long its answer will be. Routers do not interpret it.
var answerLengthMark = regexp.MustCompile(`\[answer=(\d{1,5})\]`)

// answerLength returns the length of an answer in tokens: the value of the prompt's mark, or else a draw from a
// long-tailed distribution whose seed depends only on the prompt and the engine's seed, so that a retry gets an
// answer of the same length.
func (proc *process) answerLength(prompt string, maxTokens int) int {
	n := 0
	if m := answerLengthMark.FindStringSubmatch(prompt); m != nil {
		n, _ = strconv.Atoi(m[1])
	} else {
		const sigma = 0.6
		mean := max(proc.server.spec.Load().MeanAnswerTokens, 1)
		d := distuv.LogNormal{Mu: math.Log(mean) - sigma*sigma/2, Sigma: sigma,
			Src: rand.NewPCG(xxhash.Sum64String(prompt), proc.server.cfg.Seed)}
		n = int(d.Rand())
	}
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return max(n, 1)
}

// prefill reads a prompt. Its KV state is held here, or pushed to a reservation.
func (proc *process) prefill(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID         string          `json:"id"`
		Parameters engine.Params   `json:"parameters"`
		Inputs     []kserve.Tensor `json:"inputs"`
	}
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 8<<20), &body); err != nil {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
		return
	}
	a := &attempt{process: proc, id: body.ID, params: body.Parameters}
	if len(body.Inputs) == 1 {
		if texts, err := body.Inputs[0].Strings(); err == nil && len(texts) == 1 {
			a.prompt = texts[0]
		}
	}
	if !a.accept(w, r) {
		return
	}
	q := &seq{promptTokens: max(int(a.params.PromptTokens), 1), sharedTokens: int(a.params.PrefixTokens),
		sessionID: a.params.Session, prefixID: a.params.SharedPrefix}
	began := time.Now()
	reading := &activeRead{cancelled: make(chan struct{})}
	proc.server.mu.Lock()
	err := proc.model.admit(q)
	if err == nil {
		proc.reads[a.params.Request] = reading
	}
	proc.server.mu.Unlock()
	if err != nil {
		a.record(audit.Rejected, engine.RefusedFull)
		proc.refuse(w, engine.RefusedFull, err.Error())
		return
	}
	proc.wakeModel()
	done := false
	select {
	case <-q.events:
		done = true
	case <-reading.cancelled:
	case <-r.Context().Done():
	case <-proc.ctx.Done():
	}
	proc.server.mu.Lock()
	reservationAddr := reading.reservationAddr
	if proc.reads[a.params.Request] == reading {
		delete(proc.reads, a.params.Request)
	}
	select {
	case <-reading.cancelled:
		done = false
	default:
	}
	if !done || r.Context().Err() != nil || proc.ctx.Err() != nil || proc.unresponsive {
		unresponsive := proc.unresponsive
		proc.model.remove(q)
		proc.server.mu.Unlock()
		a.record(audit.Ended, "called off")
		if reservationAddr != "" { // no one else may be there to cancel the reservation
			proc.cancelReservationAt(reservationAddr, a.params.Request)
		}
		if unresponsive {
			proc.waitForClose(r.Context())
		}
		proc.wakeModel()
		panic(http.ErrAbortHandler)
	}
	proc.model.recordLatency(time.Since(began))
	st := proc.holdStateLocked(a, q)
	proc.server.mu.Unlock()
	a.record(audit.Ended, "read")
	answer := engine.ReadParams{Handle: st.id, Source: proc.server.addr, Tokens: float64(q.promptTokens),
		CachedTokens: float64(q.cached)}
	if reservationAddr != "" && proc.pushState(r.Context(), st, reservationAddr, a.params.Request) {
		answer.Handle, answer.Source = "place-"+a.params.Request, reservationAddr
	}
	id := a.id
	if proc.faultApplies("wrong_id", a.params.Class) {
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
	w.Header().Set(engine.LoadHeader, proc.loadReport().Header())
	switch {
	case proc.faultApplies("half_frame", a.params.Class):
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
		w.Write(out[:len(out)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case proc.faultApplies("two_answers", a.params.Class):
		w.Write(append(out, out...))
	default:
		w.Write(out)
	}
}

// faultApplies draws whether an active fault of a kind applies to a request of a class.
func (proc *process) faultApplies(kind, class string) bool {
	proc.server.mu.Lock()
	defer proc.server.mu.Unlock()
	return proc.server.faults.draw(kind, class, time.Now()) != nil
}

// holdStateLocked holds the KV state of a finished read for the time that the router has requested. A claim stops the
// hold timer, and the end of the last claim restarts it.
func (proc *process) holdStateLocked(a *attempt, q *seq) *kvState {
	proc.lastStateNumber++
	st := &kvState{
		id:      fmt.Sprintf("%s-%x-%d", proc.server.cfg.Name, proc.model.started.UnixNano(), proc.lastStateNumber),
		attempt: a.id, request: a.params.Request, client: a.params.Client, router: a.router,
		promptTokens: q.promptTokens, blocks: q.blocks, answerTokens: proc.answerLength(a.prompt, a.params.MaxTokens),
		holdTime: time.Duration(max(a.params.HoldMillis, 1) * 1e6)}
	proc.addStateLocked(st)
	return st
}

// addStateLocked adds a KV state and starts its hold timer.
func (proc *process) addStateLocked(st *kvState) {
	proc.states[st.id] = st
	proc.server.record(audit.Held, st, "")
	st.holdTimer = time.AfterFunc(st.holdTime, func() {
		proc.server.mu.Lock()
		defer proc.server.mu.Unlock()
		if proc.states[st.id] == st && st.claims == 0 {
			proc.dropStateLocked(st, audit.Expired)
		}
	})
}

// dropStateLocked frees a KV state and records the reason.
func (proc *process) dropStateLocked(st *kvState, reason audit.EventKind) {
	if proc.states[st.id] != st {
		return
	}
	delete(proc.states, st.id)
	st.holdTimer.Stop()
	proc.model.freeBlocks(st.blocks)
	proc.server.record(reason, st, "")
}

// withState looks up the KV state that a call names.
func (proc *process) withState(f func(http.ResponseWriter, *http.Request, *kvState)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		proc.server.mu.Lock()
		st := proc.states[r.PathValue("handle")]
		proc.server.mu.Unlock()
		if st == nil {
			writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such state"})
			return
		}
		f(w, r, st)
	}
}

// releaseState frees a KV state at a router's request.
func (proc *process) releaseState(w http.ResponseWriter, r *http.Request, st *kvState) {
	proc.server.mu.Lock()
	proc.dropStateLocked(st, audit.Released)
	proc.server.mu.Unlock()
	proc.wakeModel()
	writeJSON(w, http.StatusOK, map[string]bool{"released": true})
}

// cancelRead cancels a read, or releases the KV state that it has left. A router calls it for an attempt that it gave
// up and whose answer it never saw. The call is idempotent.
func (proc *process) cancelRead(w http.ResponseWriter, r *http.Request) {
	request := r.PathValue("request")
	proc.server.mu.Lock()
	if reading := proc.reads[request]; reading != nil {
		reading.cancelOnce.Do(func() { close(reading.cancelled) })
	}
	for _, st := range proc.states {
		if st.request == request && st.claims == 0 {
			proc.dropStateLocked(st, audit.Released)
		}
	}
	proc.server.mu.Unlock()
	proc.wakeModel()
	writeJSON(w, http.StatusOK, map[string]bool{"released": true})
}

// setClaimed begins or ends a claim on a KV state.
func (proc *process) setClaimed(st *kvState, claimed bool) {
	proc.server.mu.Lock()
	defer proc.server.mu.Unlock()
	if proc.states[st.id] != st {
		return
	}
	if claimed {
		if st.claims++; st.claims == 1 {
			st.holdTimer.Stop()
			proc.server.record(audit.Claimed, st, "")
		}
		return
	}
	if st.claims--; st.claims == 0 {
		st.holdTimer.Reset(st.holdTime)
		proc.server.record(audit.ClaimEnded, st, "")
	}
}

// renewState restarts a KV state's hold timer, because its router has an attempt in flight that uses it.
func (proc *process) renewState(w http.ResponseWriter, r *http.Request, st *kvState) {
	proc.server.mu.Lock()
	if proc.states[st.id] == st && st.claims == 0 {
		st.holdTimer.Reset(st.holdTime)
		proc.server.record(audit.Renewed, st, "")
	}
	proc.server.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]bool{"renewed": true})
}

// claimState holds a KV state for a writer that waits for a slot, as long as the writer keeps the connection open.
func (proc *process) claimState(w http.ResponseWriter, r *http.Request, st *kvState) {
	proc.setClaimed(st, true)
	defer proc.setClaimed(st, false)
	w.WriteHeader(http.StatusOK)
	http.NewResponseController(w).Flush()
	proc.waitForClose(r.Context())
}

// serveState sends the bytes of a KV state, and frees it once the last byte is sent.
func (proc *process) serveState(w http.ResponseWriter, r *http.Request, st *kvState) {
	proc.setClaimed(st, true)
	defer proc.setClaimed(st, false)
	w.Header().Set("Content-Length", strconv.Itoa(st.promptTokens*proc.server.spec.Load().StateBytesPerToken))
	w.Header().Set(engine.TokensHeader, strconv.Itoa(st.promptTokens))
	w.Header().Set(engine.InfoHeader, strconv.Itoa(st.answerTokens))
	w.Header().Set(engine.ChecksumHeader,
		strconv.FormatUint(stateChecksum(st.id, st.promptTokens*proc.server.spec.Load().StateBytesPerToken), 16))
	if proc.sendState(r.Context(), w, st, r.Header.Get("Kv-Cell")) != nil {
		return
	}
	proc.server.mu.Lock()
	proc.dropStateLocked(st, audit.Fetched)
	proc.server.mu.Unlock()
	proc.wakeModel()
}

// sendState writes the bytes of a KV state at the rate of the port, or of the cell's link if it goes to another cell.
func (proc *process) sendState(ctx context.Context, w io.Writer, st *kvState, toCell string) error {
	const chunk = 256 // tokens
	gen := newStatePattern(st.id)
	buf := make([]byte, chunk*proc.server.spec.Load().StateBytesPerToken)
	for left := st.promptTokens; left > 0; left -= chunk {
		n := min(left, chunk)
		proc.server.mu.Lock()
		slowdown := proc.server.faults.maxSize("origin_slow", 1, time.Now())
		proc.server.mu.Unlock()
		if toCell == proc.server.cfg.Cell || proc.server.cfg.Link == nil {
			sleep(ctx, time.Duration(float64(n)/proc.server.spec.Load().PortTokensPerSecond*slowdown*1e9))
		} else {
			proc.server.cfg.Link.take(ctx, float64(n))
		}
		if err := cmp.Or(ctx.Err(), proc.ctx.Err()); err != nil {
			return err
		}
		part := buf[:n*proc.server.spec.Load().StateBytesPerToken]
		gen.fill(part)
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// statePattern generates the bytes of a KV state, which depend only on its id.
type statePattern struct{ rng *rand.PCG }

// newStatePattern returns the generator for a KV state's id.
func newStatePattern(id string) *statePattern {
	return &statePattern{rand.NewPCG(xxhash.Sum64String(id), 7)}
}

// fill fills b with the next bytes, as far as whole 8-byte words fit.
func (p *statePattern) fill(b []byte) {
	for i := 0; i+8 <= len(b); i += 8 {
		binary.LittleEndian.PutUint64(b[i:], p.rng.Uint64())
	}
}

// stateChecksum returns the checksum of the n bytes of a KV state.
func stateChecksum(id string, n int) uint64 {
	b := make([]byte, n)
	newStatePattern(id).fill(b)
	return xxhash.Sum64(b)
}

// decode fetches a KV state and writes the answer.
func (proc *process) decode(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID         string        `json:"id"`
		TextInput  string        `json:"text_input"`
		Parameters engine.Params `json:"parameters"`
	}
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 8<<20), &body); err != nil {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: err.Error()})
		return
	}
	a := &attempt{process: proc, id: body.ID, params: body.Parameters, prompt: body.TextInput}
	if !a.accept(w, r) {
		return
	}
	if a.params.Handle == "" && proc.server.spec.Load().Role != decide.Both {
		a.record(audit.Rejected, engine.RefusedNoState)
		proc.refuse(w, engine.RefusedNoState, "no state is named, and the engine does not read")
		return
	}
	began := time.Now()
	q := &seq{promptTokens: max(int(a.params.PromptTokens), 1), sharedTokens: int(a.params.PrefixTokens),
		sessionID: a.params.Session, prefixID: a.params.SharedPrefix,
		needsState: a.params.Handle != "", answerTokens: max(a.params.MaxTokens, 1)}
	if a.params.Handle == "" {
		q.answerTokens = proc.answerLength(a.prompt, a.params.MaxTokens)
	}
	if !proc.takeReservation(r.Context(), a, &q) {
		proc.server.mu.Lock()
		err := proc.model.admit(q)
		proc.server.mu.Unlock()
		if err != nil {
			a.record(audit.Rejected, engine.RefusedFull)
			proc.refuse(w, engine.RefusedFull, err.Error())
			return
		}
		if q.needsState && !proc.obtainState(w, r, a, q) {
			return
		}
	}
	a.record(audit.Executed, "")
	proc.wakeModel()
	proc.streamAnswer(w, r, a, q, began)
}

// obtainState waits for a slot and fetches the KV state. It reports whether the answer can begin; if not, the request
// has been answered already.
func (proc *process) obtainState(w http.ResponseWriter, r *http.Request, a *attempt, q *seq) bool {
	abandon := func(note string) {
		proc.server.mu.Lock()
		proc.model.remove(q)
		proc.server.mu.Unlock()
		proc.wakeModel()
		a.record(audit.Rejected, note)
	}
	select {
	case <-q.admitted:
	default: // wait for a slot, and keep the KV state claimed meanwhile so that it does not expire
		claim, cancel := context.WithCancel(r.Context())
		defer cancel()
		resp, err := proc.sendRequest(claim, http.MethodPost, a.params.Source, engine.StatePath+a.params.Handle+"/claim")
		if err != nil || resp.StatusCode != http.StatusOK {
			if err == nil {
				resp.Body.Close()
			}
			abandon(engine.RefusedNoState)
			proc.refuse(w, engine.RefusedNoState, "the state is gone")
			return false
		}
		defer resp.Body.Close()
		select {
		case <-q.admitted:
		case <-r.Context().Done():
		case <-proc.ctx.Done():
		}
		if r.Context().Err() != nil || proc.ctx.Err() != nil {
			abandon("called off")
			panic(http.ErrAbortHandler)
		}
	}
	answer, err := proc.fetchState(r.Context(), a)
	if err != nil {
		if r.Context().Err() != nil || proc.ctx.Err() != nil {
			abandon("called off")
			panic(http.ErrAbortHandler)
		}
		abandon(engine.RefusedNoState)
		proc.refuse(w, engine.RefusedNoState, "the state could not be fetched: "+err.Error())
		return false
	}
	proc.server.mu.Lock()
	q.answerTokens = min(answer, q.answerTokens)
	proc.model.stateFetched(q)
	proc.server.mu.Unlock()
	return true
}

// sendRequest sends a request without a body to another engine.
func (proc *process) sendRequest(ctx context.Context, method, addr, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Kv-Cell", proc.server.cfg.Cell)
	return proc.server.http.Do(req)
}

// fetchState fetches the bytes of a KV state from its engine, and verifies their checksum. It returns the answer's
// length.
func (proc *process) fetchState(ctx context.Context, a *attempt) (answer int, err error) {
	resp, err := proc.sendRequest(ctx, http.MethodGet, a.params.Source, engine.StatePath+a.params.Handle)
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

// streamAnswer sends the tokens as they are written.
func (proc *process) streamAnswer(w http.ResponseWriter, r *http.Request, a *attempt, q *seq, began time.Time) {
	control := http.NewResponseController(w)
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	halfFrame, duplicate, id := proc.faultApplies("half_frame", a.params.Class),
		proc.faultApplies("two_answers", a.params.Class), a.id
	if proc.faultApplies("wrong_id", a.params.Class) {
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
	finish := func(note string) {
		proc.server.mu.Lock()
		proc.model.remove(q)
		proc.server.mu.Unlock()
		proc.wakeModel()
		proc.server.cfg.AuditLog.Add(audit.Record{Who: proc.server.cfg.Name, Kind: audit.Ended, ID: a.id, Client: a.params.Client,
			Router: a.router, Class: a.params.Class, Stage: a.params.Stage, N: float64(q.written), Note: note})
	}
	for {
		var ev event
		select {
		case ev = <-q.events:
		case <-r.Context().Done():
		case <-proc.ctx.Done():
		}
		proc.server.mu.Lock()
		unresponsive := proc.unresponsive
		proc.server.mu.Unlock()
		if unresponsive {
			proc.waitForClose(r.Context())
		}
		if unresponsive || r.Context().Err() != nil || proc.ctx.Err() != nil {
			finish("called off")
			panic(http.ErrAbortHandler)
		}
		if ev.token == 1 {
			proc.server.mu.Lock()
			proc.model.recordLatency(time.Since(began))
			proc.server.mu.Unlock()
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(engine.LoadHeader, proc.loadReport().Header())
		}
		if halfFrame && (ev.token > 1 || ev.last) {
			w.Write([]byte(`data: {"id":"` + id + `","text_out`))
			control.Flush()
			finish("half a frame")
			panic(http.ErrAbortHandler)
		}
		err := send(&kserve.GenerateResponse{ModelName: r.PathValue("model"), ID: id, TextOutput: answerWord(ev.token)})
		if err == nil && ev.last {
			end := struct {
				kserve.GenerateResponse
				Parameters *engine.LoadReport `json:"parameters"`
			}{kserve.GenerateResponse{ModelName: r.PathValue("model"), ID: id,
				Details: &kserve.Details{FinishReason: finishReason(q, a)}}, proc.loadReport()}
			if err = send(&end); err == nil && duplicate {
				err = send(&end)
			}
		}
		if err != nil {
			finish("the router left")
			panic(http.ErrAbortHandler)
		}
		if ev.last {
			finish("served")
			return
		}
	}
}

// finishReason returns "length" if the answer has reached the request's token limit, and otherwise "stop".
func finishReason(q *seq, a *attempt) string {
	if a.params.MaxTokens > 0 && q.written >= a.params.MaxTokens {
		return "length"
	}
	return "stop"
}

// answerWords are the words of the answers. A longer answer repeats them.
var answerWords = strings.Fields("onion rate at the mandi stands higher than last week because two lorries came late from the " +
	"fields and the committee has set the stall fee for the day as before so ask the weigher for the slip")

// answerWord returns the text of the n-th token, counted from 1.
func answerWord(n int) string { return answerWords[(n-1)%len(answerWords)] + " " }

// Occupancy returns how many sequences the engine runs or queues, and how many KV states and reservations it holds.
func (s *Server) Occupancy() (sequences, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil {
		return 0, 0
	}
	return len(s.process.model.running) + len(s.process.model.queue), len(s.process.states) + len(s.process.reservations)
}
