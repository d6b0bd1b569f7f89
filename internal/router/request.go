package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
	"mintdoor/internal/guard"
)

// Job is the content of a request, as parsed by a front.
type Job struct {
	// Name is the name by which engines know the request in all its attempts; if empty, the router makes one.
	Name              string
	ClientID          string // as the client gave it; echoed to the client and sent to engines
	Class             int    // index in the settings
	ClassName         string
	Tenant            int // index in the settings; an index past the end means none
	TenantName        string
	Session           string // "" if none
	SharedPrefix      string // name of the prefix that the prompt shares with others; "" if none
	Deadline          time.Time
	LengthHint        time.Duration // rough length of the answer as a duration; 0 if not known
	Prompt            string
	Message           *engine.Message // the client's own message, for engines that get it unchanged; nil otherwise
	PromptTokens      float64
	PrefixTokens      float64
	MaxTokens         int
	ClientRetry       bool // the client says that this is a retry
	AfterInterruption bool // the client resumes an interrupted stream
	// Guard is the state of the request at the guard since its first byte, if the front has created it; nil if the
	// router has to create it.
	Guard *guard.Request
}

// EndingKind tells how a request ended.
type EndingKind uint8

// The kinds of endings. Every request that Submit accepted gets exactly one.
const (
	Served  EndingKind = iota + 1
	Refused            // nothing has run, or a retry does no harm: the client may retry
	Failed             // it is unknown whether the request took effect
	Moved              // a running stream was ended so that its client resumes it elsewhere
	Gone               // the client left before the end
)

func (k EndingKind) String() string {
	return [...]string{"none", "served", "refused", "failed", "moved", "gone"}[k]
}

// Ending is a request's final answer.
type Ending struct {
	Kind         EndingKind
	Reason       string        // of Refused, Failed and Gone; for people
	RetryAfter   time.Duration // of Refused: the client should not retry earlier; 0 means no advice
	TimedOut     bool          // of Failed: it ran out of time
	FinishReason string        // of Served: why the answer ended, as the engine reported it
	Tokens       int           // passed on before the end
	Attempts     int
}

// Request is an accepted request as seen by its front. It is read by one goroutine.
type Request struct {
	job       Job
	router    *Router
	arrivedAt time.Time
	tokens    *tokenBuffer
	done      chan struct{} // closed when ending is set
	ending    Ending
	abandoned atomic.Bool // Abandon was called
	// watchdog answers the request if the loop does not do so in time.
	watchdog *time.Timer

	ownsGuard bool // the router created job.Guard, and ends it when it removes the request's row
}

// Job returns the content of the request.
func (q *Request) Job() *Job { return &q.job }

// Next returns the text of the next token, or the ending when there are no more tokens. If ctx ends first, the
// request is abandoned.
func (q *Request) Next(ctx context.Context) (string, *Ending) {
	for {
		if text, ok := q.tokens.take(); ok {
			return text, nil
		}
		select {
		case <-q.tokens.added:
		case <-q.done:
			if text, ok := q.tokens.take(); ok { // tokens that were passed on before the end come first
				return text, nil
			}
			q.tokens.close()
			return "", &q.ending
		case <-ctx.Done():
			q.Abandon()
			return "", &Ending{Kind: Gone, Reason: "the client has left"}
		case <-q.router.stopped:
			q.tokens.close()
			select {
			case <-q.done:
				return "", &q.ending
			default: // it arrived while the router stopped, and the loop never saw it
				return "", &Ending{Kind: Failed, Reason: ErrStopping.Error()}
			}
		}
	}
}

// Abandon reports that the client has left: no answer is due any more, attempts in flight are cancelled and holds are
// released. It may be called at any time, even after the ending.
func (q *Request) Abandon() {
	q.tokens.close()
	if q.abandoned.CompareAndSwap(false, true) {
		select {
		case <-q.done: // it has its ending
		default:
			q.job.Guard.ClientLeft()
		}
		q.router.post(message{kind: clientLeft, q: q})
	}
}

// closeGuard ends the guard state of a request that came without one.
func (q *Request) closeGuard(reason string) {
	if q.ownsGuard {
		q.job.Guard.Finish(reason)
	}
}

// rejected ends the guard state of a request that came without one; err is its answer.
func (q *Request) rejected(err error) {
	if q.ownsGuard {
		q.job.Guard.Decide(Refused.String(), err.Error())
		q.job.Guard.Finish("not accepted")
	}
}

// finish sets the ending. It is called once per request, by whoever got the guard's permission to decide the ending.
func (q *Request) finish(e Ending) {
	q.ending = e
	close(q.done)
}

// startWatchdog starts a timer outside the loop that answers the request after its deadline, however long the loop is
// busy with earlier messages.
func (q *Request) startWatchdog() {
	due := q.job.Deadline.Add(time.Duration(decide.UnansweredAfter))
	q.watchdog = time.AfterFunc(time.Until(due), func() { q.expire(due) })
}

// expire answers a request that the loop has not answered by due.
func (q *Request) expire(due time.Time) {
	if late := time.Since(due); late > time.Duration(decide.MaxPause) {
		q.router.cfg.Guard.ProcessPaused(late)
	}
	if !q.job.Guard.Expire(reasonNoAnswer) {
		return
	}
	q.finish(Ending{Kind: Failed, Reason: reasonNoAnswer, TimedOut: true, Attempts: q.job.Guard.Attempts()})
	q.router.counts.ended[Failed].Add(1)
	q.router.log.Error("the loop is late: a request was answered outside the loop", "request", q.job.Name, "trail", q.job.Guard.Trail())
	q.router.post(message{kind: expired, q: q})
}

// reasonNoAnswer is the reason given for requests that nobody has answered by their deadline.
const reasonNoAnswer = "no answer before the deadline"

// The errors of Submit. The request was not accepted, and no part of it has run.
var (
	ErrStopping        = errors.New("the router is stopping")
	ErrTooManyRequests = errors.New("too many requests are open")
	ErrDeadlinePassed  = errors.New("the deadline has passed")
	ErrDuplicateName   = errors.New("a request of this name is open or has run")
)

// HasToken reports whether Next would return a token immediately.
func (q *Request) HasToken() bool { return !q.tokens.isEmpty() }
