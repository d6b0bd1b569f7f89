// Package engine is the client of engines that speak KServe V2 with the extensions that docs/engine-protocol.md
// describes: the two stages of a request (read and write), the KV states and reservations between them, load probes
// and load reports.
//
// The package reports exactly how an attempt ended: an attempt counts as never executed only if the engine said so or
// the transport proves it. The package makes no routing decisions.
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

// The paths and headers that the protocol adds to KServe's own.
const (
	LoadPath        = "/v2/load"      // GET: the load report
	StatePath       = "/v2/kv/state/" // GET: fetch; POST .../release, .../renew, .../claim
	ReservationPath = "/v2/kv/place/" // PUT: reserve; DELETE: cancel; POST .../state: push the KV state there
	RolePath        = "/v2/role"      // GET: Role; POST: RoleChange; POST .../stay: RoleChangeCancel
	ReadPath        = "/v2/kv/read/"  // DELETE: cancel a read and its KV state; POST .../place: ReservationNotice

	// RefusedHeader says why an engine has not executed any part of a request.
	RefusedHeader = "Kv-Refused"
	// LoadHeader carries a load report as text (ORCA, the open request cost aggregation format).
	LoadHeader = "Endpoint-Load-Metrics"
	// TokensHeader, ChecksumHeader and InfoHeader describe a KV state that is fetched or pushed: its number of prompt
	// tokens, its xxhash64 in hex, and the number of tokens of the answer.
	TokensHeader   = "Kv-Tokens"
	ChecksumHeader = "Kv-Sum"
	InfoHeader     = "Kv-Info"
)

// The reasons in RefusedHeader. Each of them proves that nothing was executed.
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
	Request      string  `json:"request"`          // id of the request in all its attempts; names its reservation
	Client       string  `json:"client,omitempty"` // the id that the client sent
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

// ReservationRequest asks a writer to reserve memory for a KV state before the read has ended.
type ReservationRequest struct {
	Request    string  `json:"request"`
	Tokens     float64 `json:"tokens"`
	Source     string  `json:"source"` // the engine that reads the prompt
	HoldMillis float64 `json:"hold_ms"`
}

// ReservationResponse is the answer to a ReservationRequest.
type ReservationResponse struct {
	Held bool `json:"held"`
}

// ReservationNotice tells a reader the address of the writer to which the KV state is to be pushed.
type ReservationNotice struct {
	WriterAddr string `json:"place"`
}

// ReadParams are the response parameters of a finished read.
type ReadParams struct {
	Handle       string  `json:"kv_handle"`
	Source       string  `json:"kv_source"`
	Tokens       float64 `json:"kv_tokens"`
	CachedTokens float64 `json:"kept_tokens"`
}

// The phases of an engine's change from one role to another.
const (
	PhaseSteady   = "steady"
	PhaseEmptying = "emptying" // it accepts no new requests and finishes the running ones
	PhaseChanging = "changing" // it processes nothing
)

// Role is the role that an engine reports. The engine's own report, with its epoch, is authoritative.
type Role struct {
	Role      string    `json:"role"` // StagePrefill, StageDecode or "both"
	Epoch     uint64    `json:"epoch"`
	Phase     string    `json:"phase"`
	To        string    `json:"to,omitempty"`    // target role while the engine changes
	Since     time.Time `json:"since,omitzero"`  // last start or change; zero: long ago
	CanChange bool      `json:"other,omitempty"` // the engine can change to the other role
}

// RoleChange asks an engine to change its role. The engine grants the change (200) only if it is in PhaseSteady at
// the given epoch, otherwise it answers 409. In both cases the body of the response is its Role.
type RoleChange struct {
	To     string `json:"to"`
	Epoch  uint64 `json:"epoch"`
	Router string `json:"router"` // the router that asks, for the log
	// NoticeMillis is how long the engine accepts no new requests before it changes, so that every router has time to
	// see that it is about to change. It is from 0 to MaxNoticeMillis.
	NoticeMillis float64 `json:"notice_ms"`
}

// MaxNoticeMillis is the longest notice, in milliseconds, that a router may request.
const MaxNoticeMillis = 600_000

// RoleChangeCancel cancels a role change. The engine answers 200 if it is still in PhaseEmptying, otherwise 409.
type RoleChangeCancel struct {
	Epoch uint64 `json:"epoch"`
}

// LoadReport is a load report on the wire. A value that is not reported is nil.
type LoadReport struct {
	MemoryUse     *float64 `json:"kv_cache_utilization,omitempty"`
	QueuedTokens  *float64 `json:"waiting_prompt_tokens,omitempty"`
	LatencyMillis *float64 `json:"latency_ms,omitempty"`
}

// NoReport returns a report without any value.
func NoReport() decide.Report { return decide.Report{MemoryUse: -1, QueuedKTokens: -1, Latency: -1} }

// Report converts a wire report into the decision module's form. A nil report has no value.
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

// metricPrefix precedes the name of a value in the text form of a load report.
const metricPrefix = "named_metrics."

// Header returns the report as the value of LoadHeader: ORCA's text form with the names under named_metrics.
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

// ParseLoadHeader parses ORCA's TEXT and JSON forms. It ignores unknown forms and names, and a value that is
// malformed or out of range counts as not reported.
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

// State identifies the KV state of a read that an engine holds. Addr is the address at which it is fetched.
type State struct {
	Addr   string
	Handle string
	Tokens float64
}

// Message is a client's request as received, for engines that get it unchanged.
type Message struct {
	Target string        // path and query
	Fields []http1.Field // end-to-end header fields
	Body   []byte
}

// Gate decides at the last moment whether an attempt's request may be sent. The writer of the request calls MaySend
// immediately before the last byte and Sent immediately after it, both with the time left that the engine is told, or
// 0 if it is told none. Connected reports that a connection has been obtained and how many exchanges it has carried
// before.
type Gate interface {
	Connected(uses int)
	MaySend(timeLeft time.Duration) error
	Sent(timeLeft time.Duration)
}

// Call is the request of one attempt.
type Call struct {
	ID     string // id of the attempt; the engine's response has to echo it
	Model  string
	Prompt string
	Params Params

	Message          *Message  // nil: the engine gets Prompt and Params
	ResponseDeadline time.Time // until when the router waits for the first response
	NonIdempotent    bool      // the request must not be sent again if it may have executed
	// LastResponseWithin is the maximum age of the last response on a kept connection that may carry the request. 0
	// allows any kept connection.
	LastResponseWithin time.Duration
	Gate               Gate // nil: the request may always be sent
}

// Result describes how an attempt ended.
type Result struct {
	Outcome      decide.Outcome
	NoState      bool    // the engine refused because the KV state is gone
	CachedTokens float64 // prompt tokens found in the prefix cache
	Report       decide.Report
	State        *State // of a finished read
	FinishReason string // why the answer ended, as reported by the engine
	Tokens       int    // tokens of the answer passed to sink
	Err          error  // what went wrong, for the log; nil if the attempt succeeded
	Detail       string // how the response ended, for the log
}

// ErrTimedOut and ErrCancelled are the causes with which the caller cancels an attempt's context. They determine the
// attempt's outcome.
var (
	ErrTimedOut          = errors.New("the attempt has timed out")
	ErrCancelled         = errors.New("the attempt was cancelled")
	errStreamIdle        = errors.New("no token within the idle timeout of the stream")
	errLimit             = errors.New("the engine's connection limit is reached")
	errMalformedResponse = errors.New("malformed response")
)

// Options are the limits and timeouts of a Client.
type Options struct {
	DialTimeout       time.Duration
	IdleConnTimeout   time.Duration
	MaxConns          int // to one engine
	StreamIdleTimeout time.Duration
	ReleaseTimeout    time.Duration
	ProbeTimeout      time.Duration
}
