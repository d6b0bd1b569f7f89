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

// Job is a request's meaning, as a front has understood it.
type Job struct {
	Name              string // by which engines know the request over all its attempts; "": the router makes one
	ClientID          string // as the client gave it; echoed, and told to engines
	Class             int    // index of the settings
	ClassName         string
	Tenant            int // index of the settings; past its end: none
	TenantName        string
	Session           string // "" none
	SharedPrefix      string // name of the text that the prompt shares with others; "" none
	Deadline          time.Time
	LengthHint        time.Duration // rough length of the answer as time; 0 not told
	Prompt            string
	Message           *engine.Message // the client's own, where engines get it unchanged; nil else
	PromptTokens      float64
	PrefixTokens      float64
	MaxTokens         int
	ClientRetry       bool // the client says that it repeats
	AfterInterruption bool // the client resumes a broken stream
	// Guard is the request's state since its first byte, as its front has begun it; nil: the core begins it.
	Guard *guard.Request
}

// EndingKind tells how a request ended.
type EndingKind uint8

// The endings. Every request that Submit took gets exactly one.
const (
	Served  EndingKind = iota + 1
	Refused            // nothing has run, or a repeat does no harm: the client may come again
	Failed             // no word on its effect
	Moved              // a running stream was ended so that its client goes on elsewhere
	Gone               // the client left before
)

func (k EndingKind) String() string {
	return [...]string{"none", "served", "refused", "failed", "moved", "gone"}[k]
}

// Ending is a request's final answer.
type Ending struct {
	Kind         EndingKind
	Reason       string        // for people, of Refused, Failed and Gone
	RetryAfter   time.Duration // Refused: stay away so long; 0 no advice
	TimedOut     bool          // Failed: for want of time
	FinishReason string        // Served: why the answer ended, as the engine said
	Tokens       int           // handed on before the end
	Attempts     int
}

// Request is a request as its front sees it. One goroutine reads it.
type Request struct {
	job     Job
	router  *Router
	arrived time.Time
	parts   chan string
	done    chan struct{} // closed when ending is set
	ending  Ending
	left    atomic.Bool // Abandon was called
	// watchdog answers the request if the loop does not come to it in time.
	watchdog *time.Timer

	ownsGuarded bool // the core began job.Guarded, and ends it with the request's row
}

// Job returns what was asked.
func (q *Request) Job() *Job { return &q.job }

// Next returns the next token's text, or the ending when there is none left. When ctx ends first the
// request is abandoned.
func (q *Request) Next(ctx context.Context) (string, *Ending) {
	select {
	case text := <-q.parts:
		return text, nil
	default:
	}
	select {
	case text := <-q.parts:
		return text, nil
	case <-q.done:
		select { // what was handed on before the end comes before it
		case text := <-q.parts:
			return text, nil
		default:
			return "", &q.ending
		}
	case <-ctx.Done():
		q.Abandon()
		return "", &Ending{Kind: Gone, Reason: "the client has left"}
	case <-q.router.stopped:
		select {
		case <-q.done:
			return "", &q.ending
		default: // it came in the moment of the stop, and the loop never saw it
			return "", &Ending{Kind: Failed, Reason: ErrStopping.Error()}
		}
	}
}

// Abandon tells that the client has left: nothing is owed to it any more, what is out is called off and
// what is held is let go. It may be called at any time, also after the ending.
func (q *Request) Abandon() {
	if q.left.CompareAndSwap(false, true) {
		select {
		case <-q.done: // it has its ending
		default:
			q.job.Guard.ClientLeft()
		}
		q.router.post(message{kind: clientLeft, q: q})
	}
}

// closeGuarded ends the guarded state of a request that came without one.
func (q *Request) closeGuarded(reason string) {
	if q.ownsGuarded {
		q.job.Guard.Finish(reason)
	}
}

// notTaken ends the guarded state of a request that came without one: the error is its answer.
func (q *Request) notTaken(err error) {
	if q.ownsGuarded {
		q.job.Guard.Decide(Refused.String(), err.Error())
		q.job.Guard.Finish("not taken")
	}
}

// finish sets the ending. Whoever has the guard's leave to decide calls it, once a request.
func (q *Request) finish(e Ending) {
	q.ending = e
	close(q.done)
}

// watch begins to look after the deadline beside the loop: however long that takes for what comes before, the request gets its
// answer.
func (q *Request) watch() {
	due := q.job.Deadline.Add(time.Duration(decide.UnansweredAfter))
	q.watchdog = time.AfterFunc(time.Until(due), func() { q.expire(due) })
}

// expire answers a request that the loop has left without an answer up to a time.
func (q *Request) expire(due time.Time) {
	if late := time.Since(due); late > time.Duration(decide.MaxPause) {
		q.router.cfg.Guard.ProcessPaused(late)
	}
	if !q.job.Guard.Expire(noAnswer) {
		return
	}
	q.finish(Ending{Kind: Failed, Reason: noAnswer, TimedOut: true, Attempts: q.job.Guard.Attempts()})
	q.router.count.ended[Failed].Add(1)
	q.router.log.Error("the loop is late: a request was answered beside it", "request", q.job.Name, "trail", q.job.Guard.Trail())
	q.router.post(message{kind: expired, q: q})
}

// noAnswer is the reason of requests that nobody has answered by their deadline.
const noAnswer = "no answer before the deadline"

// The errors of Submit: the request was not taken, and nothing of it has run.
var (
	ErrStopping        = errors.New("the router is stopping")
	ErrTooManyRequests = errors.New("too many requests are open")
	ErrDeadlinePassed  = errors.New("the deadline has passed")
	ErrDuplicateName   = errors.New("a request of this name is open")
)

// HasToken tells whether Next would return a token at once.
func (q *Request) HasToken() bool { return len(q.parts) > 0 }
