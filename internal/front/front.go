// Package front holds what all fronts share: what a request means, its bounds, and what an ending is to a
// client. A front itself is left with its encoding.
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

// Core is the router's core as fronts use it.
type Core interface {
	Submit(job *router.Job) (*router.Request, error)
	Ready() bool
}

// ErrorKind is the kind of an answer that is no success; each front maps it to its protocol's status.
type ErrorKind uint8

// The kinds of trouble.
const (
	BadRequest  ErrorKind = iota + 1 // the request itself is wrong
	NotFound                         // no such model, version or path
	TooLarge                         // body over the limit
	Busy                             // refused: come again later
	Unavailable                      // the router takes nothing now
	Failed                           // failed, no word on the effect
	TimedOut                         // failed for want of time
	ClientLeft                       // nobody is there to read it
)

// Error is an answer that is no success. RetryAfter is advice with Busy and Unavailable; 0 is none.
type Error struct {
	Kind       ErrorKind
	Text       string
	RetryAfter time.Duration
}

func (e *Error) Error() string { return e.Text }

// BadRequestf says what is wrong with a request.
func BadRequestf(format string, args ...any) *Error {
	return &Error{Kind: BadRequest, Text: fmt.Sprintf(format, args...)}
}

// DecodedRequest is a request as a front has decoded it.
type DecodedRequest struct {
	ID      string
	Model   string
	Version string // "" any
	Prompt  string
	Params  kserve.Parameters
	// Timeout is the client's own bound where the transport tells one; 0 is none.
	Timeout time.Duration
}

// The request parameters that have a meaning to the router. All others are passed over, as the protocol
// asks.
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

// Bounds of what a client may name.
const (
	maxName = 256 // bytes of an id or a name
	// MaxDeadline is the longest that a client may wait.
	MaxDeadline = 10 * time.Minute
)

// JobBuilder turns inputs into jobs by the settings. It is safe for concurrent use.
type JobBuilder struct{ set *config.Settings }

// NewJobBuilder returns the meaning of requests under some settings.
func NewJobBuilder(set *config.Settings) *JobBuilder { return &JobBuilder{set: set} }

// CheckModel checks a model's name and version; the empty version is any.
func (m *JobBuilder) CheckModel(name, version string) *Error {
	if name != m.set.Model {
		return &Error{Kind: NotFound, Text: fmt.Sprintf("unknown model %q", clip(name))}
	}
	if version != "" && version != m.set.ModelVersion {
		return &Error{Kind: NotFound, Text: fmt.Sprintf("model %q has no version %q", name, clip(version))}
	}
	return nil
}

// reader collects the first error of a request's parameters.
type reader struct {
	p   kserve.Parameters
	err error
}

func (r *reader) text(name string) string {
	s, err := r.p.Text(name)
	if err == nil && len(s) > maxName {
		err = fmt.Errorf("parameter %q is longer than %d bytes", name, maxName)
	}
	r.note(err)
	return s
}

func (r *reader) number(name string, def float64) float64 {
	f, ok, err := r.p.Number(name)
	r.note(err)
	if !ok {
		return def
	}
	return f
}

func (r *reader) flag(name string) bool {
	b, err := r.p.Bool(name)
	r.note(err)
	return b
}

func (r *reader) note(err error) {
	if r.err == nil {
		r.err = err
	}
}

// Job returns what an input asks for, or what is wrong with it. now is when it arrived.
func (m *JobBuilder) Job(in *DecodedRequest, now time.Time) (*router.Job, *Error) {
	if e := m.CheckModel(in.Model, in.Version); e != nil {
		return nil, e
	}
	if err := in.Params.Check(); err != nil {
		return nil, BadRequestf("%v", err)
	}
	if len(in.ID) > maxName {
		return nil, BadRequestf("id is longer than %d bytes", maxName)
	}
	if in.Prompt == "" {
		return nil, BadRequestf("the prompt is empty")
	}
	r := reader{p: in.Params}
	j := &router.Job{ClientID: in.ID, Prompt: in.Prompt, Session: r.text(ParamSession),
		SharedPrefix: r.text(ParamSharedText), ClientRetry: r.flag(ParamRepeat), AfterInterruption: r.flag(ParamResume)}
	class, tenant := r.text(ParamClass), r.text(ParamTenant)
	guess := float64(len(in.Prompt)) / m.set.BytesPerToken
	j.PromptTokens = max(r.number(ParamPromptTokens, guess), 1)
	j.PrefixTokens = min(r.number(ParamSharedTokens, 0), j.PromptTokens)
	hint, within := r.number(ParamLengthHint, 0), r.number(ParamDeadline, 0)
	j.Class = 0
	if class == "" {
		class = m.set.DefaultClass
	}
	if class != "" {
		if j.Class = m.set.ClassIndex(class); j.Class < 0 {
			return nil, BadRequestf("parameter %q: there is no class %q", ParamClass, clip(class))
		}
	}
	c := &m.set.Classes[j.Class]
	j.ClassName = c.Name
	if tenant == "" {
		tenant = m.set.DefaultTenant
	}
	j.Tenant = len(m.set.Tenants)
	if tenant != "" {
		if j.Tenant = m.set.TenantIndex(tenant); j.Tenant < 0 {
			return nil, BadRequestf("parameter %q: there is no tenant %q", ParamTenant, clip(tenant))
		}
		j.TenantName = tenant
	}
	out := r.number(ParamMaxTokens, float64(c.MaxTokens))
	if r.err != nil {
		return nil, BadRequestf("%v", r.err)
	}
	if out < 1 || out != float64(int(out)) {
		return nil, BadRequestf("parameter %q must be a whole number from 1", ParamMaxTokens)
	}
	j.MaxTokens = int(out)
	if j.PromptTokens+out > m.set.MaxContext {
		return nil, BadRequestf("prompt of %.0f tokens and answer of up to %.0f are more than the engines' context of %.0f",
			j.PromptTokens, out, m.set.MaxContext)
	}
	j.LengthHint = time.Duration(hint * float64(c.TokenIntervalTarget))
	// Without a word of the client the class's deadline holds, and long prompts get twice what their aim gets.
	patience := time.Duration(float64(c.Deadline) + 2*float64(c.FirstTokenTargetPerK)*j.PromptTokens/1000)
	if within > 0 {
		patience = time.Duration(min(within*1e6, float64(MaxDeadline)))
	}
	if in.Timeout > 0 {
		patience = min(patience, in.Timeout)
	}
	j.Deadline = now.Add(patience)
	return j, nil
}

// SubmitError tells what an error of Submit is to a client.
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

// EndingError tells what an ending is to a client; nil for one that was served.
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

// clip shortens what a client sent to what an error may repeat.
func clip(s string) string {
	const most = 60
	s = strings.ToValidUTF8(s, "?")
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}
