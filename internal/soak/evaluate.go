package soak

import (
	"cmp"
	"slices"
	"time"
)

// Finding is an invariant that was violated.
type Finding struct {
	Rule    string
	Request string
	Router  int
	At      time.Duration // since the start of the run
	Text    string
}

// The rules. Their names are printed in the report.
const (
	ruleLost            = "lost"
	ruleRefusedAfterRun = "refused after a run"
	ruleContent         = "spoilt answer"
	ruleDuplicate       = "duplicate"
	ruleSecondCopy      = "second copy"
	ruleSentAfterLeft   = "sent after the client left"
	ruleDeadline        = "deadline overstated"
	ruleSentToDraining  = "sent to a draining engine"
	ruleSlowStart       = "slow start"
	ruleHeldTooLong     = "held too long"
	ruleBadClient       = "bad client without a word"
	ruleProcess         = "process"
	ruleGuard           = "guard"
	ruleEventsLate      = "events held back"
	ruleMemory          = "memory"
	ruleUnexpectedCall  = "call that no client made"
)

// Limits of the rules as the platform sets them, and the tolerances that are added because times are measured on
// sockets.
const (
	socketSlack         = 50 * time.Millisecond
	answerTolerance     = 500 * time.Millisecond // after the deadline
	answerDueWindow     = 700 * time.Millisecond // after SIGTERM; later requests have to be answered before the kill
	clientLeftGrace     = 100 * time.Millisecond
	deadlineTolerance   = 150 * time.Millisecond
	holdSlack           = 300 * time.Millisecond
	brokenStreamTimeout = 5 * time.Second // until a connection whose stream has broken is closed
	maxReportDelay      = 6 * time.Second // after a change of the list, which counts as reported from then on
	maxEventDelay       = 300 * time.Millisecond
	maxDelayedShare     = 0.1
	maxProcessPause     = 150 * time.Millisecond // the rules have to be kept despite process pauses up to this length
)

// evaluate checks all invariants and returns the violations in the order of their times.
func evaluate(e *evidence) []Finding {
	var out []Finding
	for _, check := range []func(*evidence) []Finding{(*evidence).checkAnswers, (*evidence).checkAttempts, (*evidence).checkDrains,
		(*evidence).checkSlowStarts, (*evidence).checkHolds, (*evidence).checkBadClients, (*evidence).checkProcesses, (*evidence).checkDelays} {
		out = append(out, check(e)...)
	}
	slices.SortStableFunc(out, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return out
}
