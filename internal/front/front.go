// Package front has what all fronts share: converting a decoded request to a job, checking its limits, and
// translating the ending of a request to an error for the client. A front itself only encodes and decodes its
// protocol.
package front

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"mintdoor/internal/config"
	"mintdoor/internal/kserve"
	"mintdoor/internal/router"
)

// Core is the part of the router's core that fronts use.
type Core interface {
	Submit(job *router.Job) (*router.Request, error)
	Ready() bool
}

// ErrorKind is the kind of an error response. Each front maps it to a status of its protocol.
type ErrorKind uint8

// The kinds of error responses.
const (
	BadRequest  ErrorKind = iota + 1 // the request is invalid
	NotFound                         // no such model, version or path
	TooLarge                         // the body exceeds the limit
	Busy                             // refused; the client may retry later
	Unavailable                      // the router accepts no requests now
	Failed                           // failed; it is unknown whether the request had an effect
	TimedOut                         // failed because its time was over
	ClientLeft                       // the client has left, so nobody reads the response
)

// Error is an error response to a client. RetryAfter is the suggested retry delay with Busy and Unavailable; 0 means
// none.
type Error struct {
	Kind       ErrorKind
	Text       string
	RetryAfter time.Duration
}

// Error returns the text of the response.
func (e *Error) Error() string { return e.Text }

// BadRequestf returns an error of kind BadRequest whose formatted text says what is wrong with the request.
func BadRequestf(format string, args ...any) *Error {
	return &Error{Kind: BadRequest, Text: fmt.Sprintf(format, args...)}
}

// DecodedRequest is a request that a front has decoded from its protocol.
type DecodedRequest struct {
	ID      string
	Model   string
	Version string // "": any version
	Prompt  string
	Params  kserve.Parameters
	// Timeout is the client's own timeout if the transport carries one; 0 means none.
	Timeout time.Duration
}

// The names of the request parameters that the router interprets. It ignores all others, as the protocol requires.
const (
	ParamClass        = "class"
	ParamTenant       = "tenant"
	ParamSession      = "session"
	ParamSharedText   = "shared_text"
	ParamSharedTokens = "shared_tokens"
	ParamPromptTokens = "prompt_tokens"
	ParamMaxTokens    = "max_tokens"
	ParamDeadline     = "deadline_ms"
	ParamLengthHint   = "length_hint"
	ParamRepeat       = "repeat"
	ParamResume       = "resume"
)

// Limits on what a client may send.
const (
	maxNameLen = 256 // bytes of an id or a name
	// MaxDeadline is the longest time from the arrival of a request to its deadline.
	MaxDeadline = 10 * time.Minute
)

// JobBuilder converts decoded requests to jobs according to the settings. It is safe for concurrent use.
type JobBuilder struct{ set *config.Settings }

// NewJobBuilder returns a JobBuilder with the given settings.
func NewJobBuilder(set *config.Settings) *JobBuilder { return &JobBuilder{set: set} }

// CheckModel checks the name and version of a model. The empty version stands for any version.
func (b *JobBuilder) CheckModel(name, version string) *Error {
	if name != b.set.Model {
		return &Error{Kind: NotFound, Text: fmt.Sprintf("unknown model %q", truncate(name))}
	}
	if version != "" && version != b.set.ModelVersion {
		return &Error{Kind: NotFound, Text: fmt.Sprintf("model %q has no version %q", name, truncate(version))}
	}
	return nil
}

// paramReader reads a request's parameters and keeps the first error.
type paramReader struct {
	p   kserve.Parameters
	err error
}

// text returns a string parameter, or "" if it is absent or invalid.
func (r *paramReader) text(name string) string {
	s, err := r.p.Text(name)
	if err == nil && len(s) > maxNameLen {
		err = fmt.Errorf("parameter %q is longer than %d bytes", name, maxNameLen)
	}
	r.noteError(err)
	return s
}

// number returns a numeric parameter, or fallback if it is absent or invalid.
func (r *paramReader) number(name string, fallback float64) float64 {
	f, ok, err := r.p.Number(name)
	r.noteError(err)
	if !ok {
		return fallback
	}
	return f
}

// flag returns a boolean parameter, or false if it is absent or invalid.
func (r *paramReader) flag(name string) bool {
	b, err := r.p.Bool(name)
	r.noteError(err)
	return b
}

// noteError keeps err unless an earlier error is kept already.
func (r *paramReader) noteError(err error) {
	if r.err == nil {
		r.err = err
	}
}

// Job converts a decoded request to a job, or returns what is wrong with it. now is the time at which the request
// arrived.
func (b *JobBuilder) Job(in *DecodedRequest, now time.Time) (*router.Job, *Error) {
	if e := b.CheckModel(in.Model, in.Version); e != nil {
		return nil, e
	}
	if err := in.Params.Check(); err != nil {
		return nil, BadRequestf("%v", err)
	}
	if len(in.ID) > maxNameLen {
		return nil, BadRequestf("id is longer than %d bytes", maxNameLen)
	}
	if in.Prompt == "" {
		return nil, BadRequestf("the prompt is empty")
	}
	r := paramReader{p: in.Params}
	j := &router.Job{ClientID: in.ID, Prompt: in.Prompt, Session: r.text(ParamSession),
		SharedPrefix: r.text(ParamSharedText), ClientRetry: r.flag(ParamRepeat), AfterInterruption: r.flag(ParamResume)}
	class, tenant := r.text(ParamClass), r.text(ParamTenant)
	guess := float64(len(in.Prompt)) / b.set.BytesPerToken
	j.PromptTokens = max(r.number(ParamPromptTokens, guess), 1)
	j.PrefixTokens = min(r.number(ParamSharedTokens, 0), j.PromptTokens)
	hint, deadline := r.number(ParamLengthHint, 0), r.number(ParamDeadline, 0)
	j.Class = 0
	if class == "" {
		class = b.set.DefaultClass
	}
	if class != "" {
		if j.Class = b.set.ClassIndex(class); j.Class < 0 {
			return nil, BadRequestf("parameter %q: there is no class %q", ParamClass, truncate(class))
		}
	}
	c := &b.set.Classes[j.Class]
	j.ClassName = c.Name
	if tenant == "" {
		tenant = b.set.DefaultTenant
	}
	j.Tenant = len(b.set.Tenants)
	if tenant != "" {
		if j.Tenant = b.set.TenantIndex(tenant); j.Tenant < 0 {
			return nil, BadRequestf("parameter %q: there is no tenant %q", ParamTenant, truncate(tenant))
		}
		j.TenantName = tenant
	}
	maxTokens := r.number(ParamMaxTokens, float64(c.MaxTokens))
	if r.err != nil {
		return nil, BadRequestf("%v", r.err)
	}
	if maxTokens < 1 || maxTokens != float64(int(maxTokens)) {
		return nil, BadRequestf("parameter %q must be a whole number from 1", ParamMaxTokens)
	}
	j.MaxTokens = int(maxTokens)
	if j.PromptTokens+maxTokens > b.set.MaxContext {
		return nil, BadRequestf("prompt of %.0f tokens and answer of up to %.0f are more than the engines' context of %.0f",
			j.PromptTokens, maxTokens, b.set.MaxContext)
	}
	j.LengthHint = time.Duration(hint * float64(c.TokenIntervalTarget))
	// If the client sets no deadline, the deadline of the class applies, extended by twice the first-token target
	// for the length of the prompt.
	timeout := time.Duration(float64(c.Deadline) + 2*float64(c.FirstTokenTargetPerK)*j.PromptTokens/1000)
	if deadline > 0 {
		timeout = time.Duration(min(deadline*1e6, float64(MaxDeadline)))
	}
	if in.Timeout > 0 {
		timeout = min(timeout, in.Timeout)
	}
	j.Deadline = now.Add(timeout)
	return j, nil
}

// SubmitError returns the error response for an error of Submit.
func SubmitError(err error) *Error {
	switch {
	case errors.Is(err, router.ErrDeadlinePassed):
		return &Error{Kind: TimedOut, Text: err.Error()}
	case errors.Is(err, router.ErrTooManyRequests):
		return &Error{Kind: Busy, Text: err.Error(), RetryAfter: time.Second}
	default:
		return &Error{Kind: Unavailable, Text: err.Error(), RetryAfter: time.Second}
	}
}

// EndingError returns the error response for the ending of a request, or nil if it was served.
func EndingError(e *router.Ending) *Error {
	switch e.Kind {
	case router.Served:
		return nil
	case router.Refused:
		return &Error{Kind: Busy, Text: "refused: " + e.Reason, RetryAfter: e.RetryAfter}
	case router.Moved:
		return &Error{Kind: Failed, Text: "moved: " + e.Reason}
	case router.Gone:
		return &Error{Kind: ClientLeft, Text: e.Reason}
	}
	t := Failed
	if e.TimedOut {
		t = TimedOut
	}
	return &Error{Kind: t, Text: "failed: " + e.Reason}
}

// truncate shortens a text that a client has sent to the length that an error may repeat, and makes it valid UTF-8.
func truncate(s string) string {
	const maxLen = 60
	s = strings.ToValidUTF8(s, "?")
	if len(s) > maxLen {
		return s[:maxLen] + "..."
	}
	return s
}
