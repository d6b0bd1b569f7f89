package soak

import (
	"cmp"
	"slices"
	"time"
)

// Finding is an invariant that did not hold.
type Finding struct {
	Rule    string
	Request string
	Router  int
	At      time.Duration // since the run's begin
	Text    string
}

// The rules.
const (
	ruleLost       = "lost"
	ruleRefused    = "refused after a run"
	ruleContent    = "spoilt answer"
	ruleDuplicate  = "duplicate"
	ruleSecondCopy = "second copy"
	ruleLeft       = "sent after the client left"
	ruleDeadline   = "deadline overstated"
	ruleDrain      = "sent to a draining engine"
	ruleSlowStart  = "slow start"
	rulePinned     = "held too long"
	ruleBadClient  = "bad client without a word"
	ruleProcess    = "process"
	ruleGuard      = "guard"
	ruleDelay      = "events held back"
	ruleUnknown    = "call that no client made"
)

// Terms of the rules, as the platform has them, with what is added to every time on sockets.
const (
	socketSlack   = 50 * time.Millisecond
	answerLate    = 500 * time.Millisecond // beyond the deadline
	owedAfterTerm = 700 * time.Millisecond // requests that come later have to be answered before the kill
	leaveGrace    = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
	holdSlack     = 300 * time.Millisecond
	brokenWithin  = 5 * time.Second // for the end of a connection whose stream has broken
	told          = 6 * time.Second // after which a change counts as told
	eventDelay    = 300 * time.Millisecond
	delayedShare  = 0.1
	mayBeHeldUp   = 150 * time.Millisecond // a process
)

// judge checks all invariants.
func judge(e *evidence) []Finding {
	var out []Finding
	for _, check := range []func(*evidence) []Finding{(*evidence).answers, (*evidence).attemptsOfRequests, (*evidence).drains,
		(*evidence).slowStarts, (*evidence).holds, (*evidence).badClients, (*evidence).processes, (*evidence).delays} {
		out = append(out, check(e)...)
	}
	slices.SortStableFunc(out, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return out
}
