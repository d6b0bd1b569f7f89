package day

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"mintdoor/internal/audit"
	"mintdoor/internal/front"
	"mintdoor/internal/kserve"

	"github.com/cespare/xxhash/v2"
)

// clients sends the requests of a scenario and records what the clients see.
type clients struct {
	script   *Script
	url      string
	http     *http.Client
	auditLog *audit.Log
	slack    time.Duration
}

// outcome is the result of one try.
type outcome struct {
	kind       audit.EventKind
	note       string
	retryable  bool // the client may retry if the class is safe
	refused    bool // the client may retry whatever the class
	retryAfter time.Duration
}

// run sends one request, with as many retries as its client makes.
func (c *clients) run(ctx context.Context, a *request) {
	class := &c.script.Classes[a.class]
	rng := rand.New(rand.NewPCG(c.script.Seed, xxhash.Sum64String(a.id)))
	deadline := time.Now().Add(c.deadline(a))
	for try := 1; ; try++ {
		out := c.try(ctx, a, fmt.Sprintf("%s/%d", a.id, try), try > 1)
		retry := out.refused || out.retryable && class.RetryPolicy == "safe"
		if !retry || try > c.script.Clients.Retries || ctx.Err() != nil {
			return
		}
		wait := c.script.Clients.Backoff
		if out.retryAfter > 0 && rng.Float64() < c.script.Clients.HonourShare {
			wait = max(wait, out.retryAfter)
		}
		if time.Now().Add(wait).After(deadline) {
			return
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// deadline returns how long the class allows a client to wait; long prompts get more time.
func (c *clients) deadline(a *request) time.Duration {
	class := &c.script.Classes[a.class]
	return class.Deadline + time.Duration(2*float64(class.FirstTokenTargetPerK)*float64(a.promptTokens)/1000)
}

// try sends a request once and reads its answer to the end.
func (c *clients) try(ctx context.Context, a *request, id string, retry bool) outcome {
	class := &c.script.Classes[a.class]
	patience := time.Duration(a.patience * float64(c.deadline(a)))
	announced := patience
	if a.clientLeaves {
		announced = c.deadline(a) // the router does not know that the client will leave
	}
	p := kserve.Parameters{front.ParamClass: class.Name, front.ParamSession: a.session, front.ParamPromptTokens: a.promptTokens,
		front.ParamMaxTokens: class.MaxOutputTokens, front.ParamDeadline: float64(announced) / 1e6, front.ParamLengthHint: a.lengthHint,
		front.ParamRepeat: retry}
	if a.prefixID != "" {
		p[front.ParamSharedText], p[front.ParamSharedTokens] = a.prefixID, a.prefixTokens
	}
	body, err := json.Marshal(kserve.GenerateRequest{ID: id, TextInput: fmt.Sprintf("Question %s [answer=%d]", a.id, a.outputTokens), Parameters: p})
	if err != nil {
		return outcome{}
	}
	now := time.Now()
	target := class.FirstTokenTarget + time.Duration(float64(class.FirstTokenTargetPerK)*float64(a.promptTokens)/1000)
	c.auditLog.Add(audit.Record{At: now.UnixNano(), Who: "client", Kind: audit.Asked, ID: id, Class: class.Name, Repeat: class.RetryPolicy,
		Deadline: now.Add(announced).UnixNano(), Work: class.Value, N: float64(target)})
	// The client waits for a while past its deadline, so that the audit sees a late answer as late.
	const lateAnswerWait = time.Second
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := announced + c.script.AnswerGrace + c.slack + lateAnswerWait
	if a.clientLeaves {
		limit = patience
	}
	leaveTimer := time.AfterFunc(limit, func() { cancel(errClientLeft) })
	defer leaveTimer.Stop()
	out := c.read(ctx, id, body, leaveTimer)
	if cause := context.Cause(ctx); errors.Is(cause, errClientLeft) && out.kind == audit.ConnectionLost {
		if a.clientLeaves {
			out = outcome{kind: audit.GaveUp, retryable: true}
		} else {
			out.note = "no answer long after the deadline"
		}
	}
	c.auditLog.Add(audit.Record{Who: "client", Kind: out.kind, ID: id, Class: class.Name, Note: out.note})
	return out
}

var errClientLeft = errors.New("the client left")

// read sends the request of a try and reads its answer. It stops leaveTimer at the first token.
func (c *clients) read(ctx context.Context, id string, body []byte, leaveTimer *time.Timer) outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v2/models/helpline/generate_stream", bytes.NewReader(body))
	if err != nil {
		return outcome{kind: audit.ConnectionLost, note: err.Error()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return outcome{kind: audit.ConnectionLost, note: err.Error(), retryable: true}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	events := kserve.NewEventReader(resp.Body, 1<<16)
	for first := true; ; first = false {
		data, err := events.Next()
		if err != nil {
			return outcome{kind: audit.ConnectionLost, note: "stream: " + err.Error(), retryable: true}
		}
		if first {
			leaveTimer.Stop() // a stream that has begun is read to its end
			c.auditLog.Add(audit.Record{Who: "client", Kind: audit.FirstToken, ID: id})
		}
		var ev kserve.GenerateResponse
		switch err := json.Unmarshal(data, &ev); {
		case err != nil || ev.ID != id:
			return outcome{kind: audit.Answered, note: fmt.Sprintf("malformed event %.60s", data)}
		case ev.Error != "":
			return outcome{kind: audit.Answered, note: "broken", retryable: true}
		case ev.Details != nil:
			return outcome{kind: audit.Answered, note: "served"}
		}
	}
}

// refusal returns the outcome of an answer other than 200.
func refusal(resp *http.Response) outcome {
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		ms, _ := strconv.Atoi(resp.Header.Get("Retry-After-Ms"))
		return outcome{kind: audit.Answered, note: "refused", refused: true, retryable: true, retryAfter: time.Duration(ms) * time.Millisecond}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return outcome{kind: audit.Answered, note: "failed", retryable: true}
	}
	return outcome{kind: audit.Answered, note: "status " + resp.Status}
}
