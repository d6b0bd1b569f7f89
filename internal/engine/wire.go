// Package engine is the client of the engines: the two stages of a request, what is held between them,
// probes and load reports, over KServe V2 with the conventions that docs/engine-protocol.md documents.
// It tells truly how an attempt ended: only what the engine said, or the transport proves, counts as
// never run. It decides nothing.
package engine

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/http1"
)

// The paths and headers of the protocol beside KServe's own.
const (
	LoadPath        = "/v2/load"      // GET: the load report
	StatePath       = "/v2/kv/state/" // GET: fetch; POST .../release, .../renew, .../claim
	ReservationPath = "/v2/kv/place/" // PUT: hold; DELETE: give up; POST .../state: the state moves there
	RolePath        = "/v2/role"      // GET: Role; POST: RoleChange; POST .../stay: RoleStay
	ReadPath        = "/v2/kv/read/"  // DELETE: call a read off, or its state; POST .../place: where it is to go

	// RefusedHeader says why an engine has not run a request at all.
	RefusedHeader = "Kv-Refused"
	// LoadHeader carries a load report as text (ORCA, the open request cost aggregation format).
	LoadHeader = "Endpoint-Load-Metrics"
	// TokensHeader and SumHeader describe a state that is fetched; the sum is its xxhash64 in hex.
	TokensHeader   = "Kv-Tokens"
	ChecksumHeader = "Kv-Sum"
	InfoHeader     = "Kv-Info"
)

// The reasons in RefusedHeader. Each proves that nothing ran.
const (
	RefusedFull     = "full"
	RefusedNoState  = "no-state"
	RefusedDraining = "draining"
	RefusedRole     = "role"
)

// The stages in Params.Stage.
const (
	StagePrefill = "prefill"
	StageDecode  = "decode"
)

// Params are the request parameters that the router sends to an engine.
type Params struct {
	Stage        string  `json:"stage"`
	Request      string  `json:"request"`          // the request over all its attempts; names its place
	Client       string  `json:"client,omitempty"` // the id that the client gave
	Class        string  `json:"class,omitempty"`
	Tenant       string  `json:"tenant,omitempty"`
	Session      string  `json:"session,omitempty"`
	SharedPrefix string  `json:"shared_text,omitempty"`
	PromptTokens float64 `json:"prompt_tokens,omitempty"`
	PrefixTokens float64 `json:"shared_tokens,omitempty"`
	MaxTokens    int     `json:"max_tokens,omitempty"`
	Handle       string  `json:"kv_handle,omitempty"`
	Source       string  `json:"kv_source,omitempty"`
	HoldMillis   float64 `json:"kv_hold_ms,omitempty"`
}

// ReservationRequest asks for a place ahead.
type ReservationRequest struct {
	Request    string  `json:"request"`
	Tokens     float64 `json:"tokens"`
	Source     string  `json:"source"` // the engine that reads
	HoldMillis float64 `json:"hold_ms"`
}

// ReservationResponse answers it.
type ReservationResponse struct {
	Held bool `json:"held"`
}

// ReservationNotice tells a reading engine where the state is to go.
type ReservationNotice struct {
	WriterAddr string `json:"place"`
}

// ReadParams are the parameters of a finished read.
type ReadParams struct {
	Handle       string  `json:"kv_handle"`
	Source       string  `json:"kv_source"`
	Tokens       float64 `json:"kv_tokens"`
	CachedTokens float64 `json:"kept_tokens"`
}

// The phases of an engine on its way from one role to another.
const (
	PhaseSteady   = "steady"
	PhaseEmptying = "emptying" // it takes nothing new, and what runs there ends
	PhaseChanging = "changing" // it does nothing
)

// Role is what an engine says of its role. Its own word, with its epoch, is the truth.
type Role struct {
	Role      string    `json:"role"` // StagePrefill, StageDecode or "both"
	Epoch     uint64    `json:"epoch"`
	Phase     string    `json:"phase"`
	To        string    `json:"to,omitempty"`    // while it changes
	Since     time.Time `json:"since,omitzero"`  // its last start or change; zero: long ago
	CanChange bool      `json:"other,omitempty"` // it can change
}

// RoleChange asks for a change from an epoch. The engine grants it (200) only if it is steady at that epoch;
// else it answers 409. Either way the body is its Role.
type RoleChange struct {
	To     string `json:"to"`
	Epoch  uint64 `json:"epoch"`
	Router string `json:"router"` // who asks, for the log
	// NoticeMillis is how long the engine takes nothing new before it changes, so that every router can have
	// seen it on its way; from 0 to MaxNoticeMillis.
	NoticeMillis float64 `json:"notice_ms"`
}

// MaxNoticeMillis bounds what a router may ask an engine to wait for.
const MaxNoticeMillis = 600_000

// RoleChangeCancel takes a change back while the engine is still emptying: 200, else 409.
type RoleChangeCancel struct {
	Epoch uint64 `json:"epoch"`
}

// LoadReport is a load report on the wire; a field that is not told is nil.
type LoadReport struct {
	MemoryUse     *float64 `json:"kv_cache_utilization,omitempty"`
	QueuedTokens  *float64 `json:"waiting_prompt_tokens,omitempty"`
	LatencyMillis *float64 `json:"latency_ms,omitempty"`
}

// NoReport is a report that tells nothing.
func NoReport() decide.Report { return decide.Report{MemoryUse: -1, QueuedKTokens: -1, Latency: -1} }

// Report turns a wire report into the module's.
func (l *LoadReport) Report() decide.Report {
	r := NoReport()
	if l == nil {
		return r
	}
	if l.MemoryUse != nil {
		r.MemoryUse = *l.MemoryUse
	}
	if l.QueuedTokens != nil {
		r.QueuedKTokens = *l.QueuedTokens / 1000
	}
	if l.LatencyMillis != nil {
		r.Latency = *l.LatencyMillis
	}
	return r
}

const metricPrefix = "named_metrics."

// Header writes a report as the value of LoadHeader: ORCA's text form, names under named_metrics.
func (l *LoadReport) Header() string {
	var b strings.Builder
	b.WriteString("TEXT ")
	first := true
	put := func(name string, v *float64) {
		if v == nil {
			return
		}
		if !first {
			b.WriteString(", ")
		}
		first = false
		b.WriteString(metricPrefix + name + "=" + strconv.FormatFloat(*v, 'g', 6, 64))
	}
	put("kv_cache_utilization", l.MemoryUse)
	put("waiting_prompt_tokens", l.QueuedTokens)
	put("latency_ms", l.LatencyMillis)
	return b.String()
}

// ParseLoadHeader reads ORCA's TEXT and JSON forms; what it does not know it passes over, and a value
// that is malformed or out of range counts as not told.
func ParseLoadHeader(value string) decide.Report {
	form, rest, _ := strings.Cut(strings.TrimSpace(value), " ")
	var l LoadReport
	switch form {
	case "JSON":
		var v struct {
			Named LoadReport `json:"named_metrics"`
		}
		if json.Unmarshal([]byte(rest), &v) == nil {
			l = v.Named
		}
	case "TEXT":
		for _, pair := range strings.Split(rest, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(pair), "=")
			f, err := strconv.ParseFloat(number, 64)
			if err != nil {
				continue
			}
			switch strings.TrimPrefix(name, metricPrefix) {
			case "kv_cache_utilization":
				l.MemoryUse = &f
			case "waiting_prompt_tokens":
				l.QueuedTokens = &f
			case "latency_ms":
				l.LatencyMillis = &f
			}
		}
	}
	for _, p := range []**float64{&l.MemoryUse, &l.QueuedTokens, &l.LatencyMillis} {
		if *p != nil && !(**p >= 0 && **p < 1e12) { // NaN too
			*p = nil
		}
	}
	return l.Report()
}

// State names a read state that waits at an engine. Addr is where it is fetched.
type State struct {
	Addr   string
	Handle string
	Tokens float64
}

// Message is a client's request as it came, for engines that get it unchanged.
type Message struct {
	Target string        // path and query
	Fields []http1.Field // end-to-end header fields
	Body   []byte
}

// Gate has the last word on an attempt. What writes the attempt's request asks it immediately before the last byte, and
// tells it immediately after, both with the time that the engine is told; 0 where it is told none. Connected tells it of the
// connection, and of how many exchanges that has carried before.
type Gate interface {
	Connected(uses int)
	MaySend(told time.Duration) error
	Sent(told time.Duration)
}

// Call is what an attempt carries.
type Call struct {
	ID     string // of the attempt; the engine's answer has to echo it
	Model  string
	Prompt string
	Params Params

	Message          *Message  // nil: the engine gets Prompt and Params
	ResponseDeadline time.Time // the router waits no longer for the first sign
	NonIdempotent    bool      // it may not be sent again if it may have run
	// LastResponseWithin: a kept connection may carry it only if an answer has come on that so recently; 0: any may.
	LastResponseWithin time.Duration
	Gate               Gate // nil: nobody is asked
}

// Result is how an attempt ended.
type Result struct {
	Outcome      decide.Outcome
	NoState      bool
	CachedTokens float64
	Report       decide.Report
	State        *State // of a finished read
	FinishReason string // why the answer ended, as the engine said
	Tokens       int    // of the answer that were handed on
	Err          error  // what went wrong, for the log; nil when served or read
}

// The causes by which the owner of an attempt ends it before its time. They are given to the attempt's
// context and come back as the outcome.
var (
	ErrTimedOut  = errors.New("time-out of the attempt")
	ErrCancelled = errors.New("attempt called off")
	errIdle      = errors.New("no token for too long")
	errLimit     = errors.New("connection limit of the engine is reached")
	errNotAnswer = errors.New("malformed answer")
)

// Options bound what the client does.
type Options struct {
	DialTimeout       time.Duration
	IdleConnTimeout   time.Duration
	MaxConns          int // to one engine
	StreamIdleTimeout time.Duration
	ReleaseTimeout    time.Duration
	ProbeTimeout      time.Duration
}
