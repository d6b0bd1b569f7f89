package chat

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"mintdoor/internal/engine"
	"mintdoor/internal/front"
	"mintdoor/internal/http1"
	"mintdoor/internal/platform"
	"mintdoor/internal/router"
	"mintdoor/internal/settings"
)

// job converts a request to a job for the router. now is the time at which its last byte was received.
func (f *Front) job(h *http1.Head, target string, body []byte, now time.Time) (*router.Job, *front.Error) {
	header := func(name string) (string, *front.Error) {
		v, n := h.Get(name)
		if n > 1 {
			return "", front.BadRequestf("%s stands %d times", name, n)
		}
		limit := maxNameLen
		if name == platform.IDHeader {
			limit = maxIDLen
		}
		if len(v) > limit && name != platform.FactsHeader {
			return "", front.BadRequestf("%s is longer than %d bytes", name, limit)
		}
		return v, nil
	}
	var firstErr *front.Error
	get := func(name string) string {
		v, e := header(name)
		if firstErr == nil {
			firstErr = e
		}
		return v
	}
	id, class, timeLeft, facts := get(platform.IDHeader), get(platform.ClassHeader), get(platform.TimeLeftHeader), get(platform.FactsHeader)
	session, repeat := get(platform.SessionHeader), get(platform.RepeatHeader)
	tenant := get(platform.TenantHeader)
	switch {
	case firstErr != nil:
		return nil, firstErr
	case !http1.IsToken(id): // the id becomes part of a path
		return nil, front.BadRequestf("%s %.40q is no id", platform.IDHeader, id)
	case !json.Valid(body):
		return nil, front.BadRequestf("the body is not JSON")
	}
	j := &router.Job{Name: id, ClientID: id, Class: -1, ClassName: class, Tenant: math.MaxInt, Session: session,
		Message:      &engine.Message{Target: target, Fields: forwardedFields(h), Body: body},
		PromptTokens: max(float64(len(body))/bytesPerToken, 1), ClientRetry: repeat == "1", AfterInterruption: repeat == "again"}
	if j.Class = slices.Index(f.opts.Classes, settings.NormalizeName(class)); j.Class < 0 {
		return nil, front.BadRequestf("there is no class %.40q", class)
	}
	ms, err := strconv.ParseInt(timeLeft, 10, 64)
	if err != nil || ms <= 0 || ms > front.MaxDeadline.Milliseconds() {
		return nil, front.BadRequestf("%s %.40q is no time that a client waits", platform.TimeLeftHeader, timeLeft)
	}
	j.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	if i := slices.Index(f.opts.Tenants, settings.NormalizeName(tenant)); i >= 0 && tenant != "" {
		j.Tenant, j.TenantName = i, tenant
	}
	if e := parseFacts(j, facts); e != nil {
		return nil, e
	}
	return j, nil
}

// forwardedFields returns the header fields of a client's message that engines get unchanged, such as an idempotency
// key, which concerns only the client and the engine. The time left and the id are left out because the router sends
// its own, and Accept-Encoding because the router reads the stream, which therefore must not be encoded.
func forwardedFields(h *http1.Head) []http1.Field {
	return slices.DeleteFunc(h.EndToEnd(), func(f http1.Field) bool {
		return strings.EqualFold(f.Name, platform.TimeLeftHeader) || strings.EqualFold(f.Name, platform.IDHeader) ||
			strings.EqualFold(f.Name, "Content-Type") || strings.EqualFold(f.Name, "Accept-Encoding")
	})
}

// parseFacts stores the values of the facts header, which describes the prompt, in a job. It ignores unknown names.
func parseFacts(j *router.Job, facts string) *front.Error {
	if facts == "" {
		return nil
	}
	for _, pair := range strings.Split(facts, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return front.BadRequestf("%s: %.40q has no '='", platform.FactsHeader, pair)
		}
		if name == "prefix" {
			if len(value) > maxNameLen {
				return front.BadRequestf("%s: prefix is longer than %d bytes", platform.FactsHeader, maxNameLen)
			}
			j.SharedPrefix = value
			continue
		}
		if name != "prompt_len" && name != "prefix_len" && name != "max_out" {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n <= maxTokens) {
			return front.BadRequestf("%s: %s is no length: %.40q", platform.FactsHeader, name, value)
		}
		switch name {
		case "prompt_len":
			j.PromptTokens = max(n, 1)
		case "prefix_len":
			j.PrefixTokens = n
		case "max_out":
			j.MaxTokens = int(n)
		}
	}
	j.PrefixTokens = min(j.PrefixTokens, j.PromptTokens)
	return nil
}
