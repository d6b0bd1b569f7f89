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

// clients send the day's requests and record what they see.
type clients struct {
	s      *Script
	url    string
	http   *http.Client
	record *audit.Log
	slack  time.Duration
}

// outcome is what one try came to.
type outcome struct {
	what    audit.EventKind
	note    string
	retry   bool // a client of a safe class may come again
	refused bool // so may one of any class
	after   time.Duration
}

// run asks one request, again as often as its client does.
func (c *clients) run(ctx context.Context, a *ask) {
	class := &c.s.Classes[a.class]
	rng := rand.New(rand.NewPCG(c.s.Seed, xxhash.Sum64String(a.name)))
	until := time.Now().Add(c.deadline(a))
	for try := 1; ; try++ {
		out := c.try(ctx, a, fmt.Sprintf("%s/%d", a.name, try), try > 1)
		again := out.refused || out.retry && class.RetryPolicy == "safe"
		if !again || try > c.s.Clients.Retries || ctx.Err() != nil {
			return
		}
		wait := c.s.Clients.Backoff
		if out.after > 0 && rng.Float64() < c.s.Clients.HonourShare {
			wait = max(wait, out.after)
		}
		if time.Now().Add(wait).After(until) {
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

// deadline is how long the class lets a client wait; long prompts get more.
func (c *clients) deadline(a *ask) time.Duration {
	class := &c.s.Classes[a.class]
	return class.Deadline + time.Duration(2*float64(class.FirstTokenTargetPerK)*float64(a.prompt)/1000)
}

// try sends one try and reads it to its end.
func (c *clients) try(ctx context.Context, a *ask, id string, repeat bool) outcome {
	class := &c.s.Classes[a.class]
	patience := time.Duration(a.patience * float64(c.deadline(a)))
	told := patience
	if a.leaves {
		told = c.deadline(a) // the router does not know that it will go
	}
	p := kserve.Parameters{front.ParamClass: class.Name, front.ParamSession: a.session, front.ParamPromptTokens: a.prompt,
		front.ParamMaxTokens: class.MaxOutputTokens, front.ParamDeadline: float64(told) / 1e6, front.ParamLengthHint: a.hint,
		front.ParamRepeat: repeat}
	if a.text != "" {
		p[front.ParamSharedText], p[front.ParamSharedTokens] = a.text, a.shared
	}
	body, err := json.Marshal(kserve.GenerateRequest{ID: id, TextInput: fmt.Sprintf("Question %s [answer=%d]", a.name, a.answer), Parameters: p})
	if err != nil {
		return outcome{}
	}
	now := time.Now()
	aim := class.FirstTokenTarget + time.Duration(float64(class.FirstTokenTargetPerK)*float64(a.prompt)/1000)
	c.record.Add(audit.Record{At: now.UnixNano(), Who: "client", Kind: audit.Asked, ID: id, Class: class.Name, Repeat: class.RetryPolicy,
		Deadline: now.Add(told).UnixNano(), Work: class.Value, N: float64(aim)})
	// The client waits a while past its deadline, so that a late answer is seen and found late.
	const overdue = time.Second
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := told + c.s.AnswerGrace + c.slack + overdue
	if a.leaves {
		limit = patience
	}
	leave := time.AfterFunc(limit, func() { cancel(errLeft) })
	defer leave.Stop()
	out := c.read(ctx, id, body, leave)
	if cause := context.Cause(ctx); errors.Is(cause, errLeft) && out.what == audit.ConnectionLost {
		if a.leaves {
			out = outcome{what: audit.GaveUp, retry: true}
		} else {
			out.note = "no answer long after the deadline"
		}
	}
	c.record.Add(audit.Record{Who: "client", Kind: out.what, ID: id, Class: class.Name, Note: out.note})
	return out
}

var errLeft = errors.New("the client has left")

func (c *clients) read(ctx context.Context, id string, body []byte, leave *time.Timer) outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v2/models/helpline/generate_stream", bytes.NewReader(body))
	if err != nil {
		return outcome{what: audit.ConnectionLost, note: err.Error()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return outcome{what: audit.ConnectionLost, note: err.Error(), retry: true}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	events := kserve.NewEventReader(resp.Body, 1<<16)
	for first := true; ; first = false {
		data, err := events.Next()
		if err != nil {
			return outcome{what: audit.ConnectionLost, note: "stream: " + err.Error(), retry: true}
		}
		if first {
			leave.Stop() // a stream that has begun is read to its end
			c.record.Add(audit.Record{Who: "client", Kind: audit.FirstToken, ID: id})
		}
		var ev kserve.GenerateResponse
		switch err := json.Unmarshal(data, &ev); {
		case err != nil || ev.ID != id:
			return outcome{what: audit.Answered, note: fmt.Sprintf("malformed event %.60s", data)}
		case ev.Error != "":
			return outcome{what: audit.Answered, note: "broken", retry: true}
		case ev.Details != nil:
			return outcome{what: audit.Answered, note: "served"}
		}
	}
}

// refusal tells what an answer other than 200 is.
func refusal(resp *http.Response) outcome {
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		ms, _ := strconv.Atoi(resp.Header.Get("Retry-After-Ms"))
		return outcome{what: audit.Answered, note: "refused", refused: true, retry: true, after: time.Duration(ms) * time.Millisecond}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return outcome{what: audit.Answered, note: "failed", retry: true}
	}
	return outcome{what: audit.Answered, note: "status " + resp.Status}
}
