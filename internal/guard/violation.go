package guard

// ViolationKind is a kind of violation: a step that a rule forbids has happened.
type ViolationKind uint8

// The kinds of violations.
const (
	ClosedUnanswered   ViolationKind = iota // a connection was closed without an answer to a request that was read
	SecondAnswer                            // a second final answer was written
	LateAnswer                              // the final answer was written too long after the deadline
	UnansweredAtEnd                         // the process ended while the request was open
	UnguardedSend                           // an attempt's last byte was sent without permission
	SentAfterAnswer                         // an attempt was sent after the final answer
	SentAfterLeave                          // an attempt was sent too long after its client had left
	SecondCopy                              // an attempt was sent while another was in flight
	SentPastWindow                          // a retry was sent after the window in which engines drop duplicates
	SentToWithdrawn                         // an attempt was sent too long after its engine was drained or removed
	SentInShutdown                          // a request that arrived too late in a shutdown was sent to an engine
	DeadlineOverstated                      // an engine was told more time than the client has left
	HeldTooLong                             // holds were neither used nor released in time
	violationKinds
)

var kindNames = [violationKinds]string{"closed_unanswered", "second_answer", "late_answer", "unanswered_at_end", "unguarded_send",
	"sent_after_answer", "sent_after_leave", "second_copy", "sent_past_window", "sent_to_withdrawn", "sent_in_shutdown",
	"deadline_overstated", "held_too_long"}

func (k ViolationKind) String() string { return kindNames[k] }

// recordViolation counts and logs a violation.
func (g *Guard) recordViolation(k ViolationKind, r *Request, detail string) {
	g.violations[k].Add(1)
	name, trail := r.describe()
	g.log.Error("rule violated", "kind", k.String(), "request", name, "detail", detail, "trail", trail)
}

// Violations returns the number of violations so far by kind, including kinds without any.
func (g *Guard) Violations() map[string]int64 {
	out := make(map[string]int64, violationKinds)
	for k := range violationKinds {
		out[k.String()] = g.violations[k].Load()
	}
	return out
}

// ViolationCount returns the total number of violations so far.
func (g *Guard) ViolationCount() (n int64) {
	for k := range violationKinds {
		n += g.violations[k].Load()
	}
	return n
}

// Denial is the error for a step that the guard did not allow. It is not a violation, since the step did not happen.
type Denial uint8

// The denials.
const (
	Answered        Denial = iota // the request has its final answer
	AnotherInFlight               // another attempt of the request is in flight
	ClientLeft                    // the client has left
	TooLate                       // the request's time or the window for retries is over
	Withdrawn                     // the engine is draining or removed
	ShuttingDown                  // the request arrived too late in a shutdown
	// Stale means that the engine would be told more time than the client has left. The request may be written again
	// with the right time.
	Stale
	denialKinds
)

var denialNames = [denialKinds]string{"answered", "another_out", "client_left", "too_late", "withdrawn", "shutting_down", "stale"}

func (d Denial) Error() string { return "not allowed to send: " + denialNames[d] }

// deny counts a denial and returns it.
func (g *Guard) deny(d Denial) error {
	g.denials[d].Add(1)
	return d
}

// Denials returns the number of denials so far by kind.
func (g *Guard) Denials() map[string]int64 {
	out := make(map[string]int64, denialKinds)
	for d := range denialKinds {
		out[denialNames[d]] = g.denials[d].Load()
	}
	return out
}
