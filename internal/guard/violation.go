package guard

// ViolationKind is a kind of violation: something that a rule forbids has happened.
type ViolationKind uint8

// The kinds of violations.
const (
	ClosedUnanswered   ViolationKind = iota // a request was read, and its connection closed without an answer
	SecondAnswer                            // a second final answer
	LateAnswer                              // the final answer came too long after the deadline
	UnansweredAtEnd                         // the process ends with an open request
	UnguardedSend                           // an attempt's last byte left without leave
	SentAfterAnswer                         // an attempt began after the final answer
	SentAfterLeave                          // an attempt began too long after its client had left
	SecondCopy                              // an attempt began while another was out
	SentPastWindow                          // a repeat left after the window in which its group drops it
	SentToWithdrawn                         // an attempt began too long after its engine left the ready ones
	SentInShutdown                          // a request that came too late in a shutdown reached an engine
	DeadlineOverstated                      // an engine was told more time than the client has left
	HeldTooLong                             // what engines hold for a request was neither used nor let go of in time
	kinds
)

var kindNames = [kinds]string{"closed_unanswered", "second_answer", "late_answer", "unanswered_at_end", "unguarded_send",
	"sent_after_answer", "sent_after_leave", "second_copy", "sent_past_window", "sent_to_withdrawn", "sent_in_shutdown",
	"deadline_overstated", "held_too_long"}

func (k ViolationKind) String() string { return kindNames[k] }

// violated counts a violation and logs it.
func (g *Guard) violated(k ViolationKind, r *Request, detail string) {
	g.violations[k].Add(1)
	name, trail := r.describe()
	g.log.Error("rule violated", "kind", k.String(), "request", name, "detail", detail, "trail", trail)
}

// Violations returns the violations so far by kind; kinds without one are there too.
func (g *Guard) Violations() map[string]int64 {
	out := make(map[string]int64, kinds)
	for k := range kinds {
		out[k.String()] = g.violations[k].Load()
	}
	return out
}

// ViolationCount is the number of all violations so far.
func (g *Guard) ViolationCount() (n int64) {
	for k := range kinds {
		n += g.violations[k].Load()
	}
	return n
}

// Denial is a step that the guard did not allow. It is an error of the step, and no violation: the rule was kept.
type Denial uint8

// The denials.
const (
	Answered        Denial = iota // the request has its final answer
	AnotherInFlight               // another attempt of the request is out
	ClientLeft                    // its client has left
	TooLate                       // its time is over, or the window for repeats
	Withdrawn                     // the engine takes nothing new
	ShuttingDown                  // the request came too late in a shutdown
	Stale                         // the engine would be told more time than the client has left; it may be written anew
	denialKinds
)

var denialNames = [denialKinds]string{"answered", "another_out", "client_left", "too_late", "withdrawn", "shutting_down", "stale"}

// Error implements error.
func (d Denial) Error() string { return "not allowed to send: " + denialNames[d] }

// denied counts a denial and returns it.
func (g *Guard) denied(d Denial) error {
	g.denials[d].Add(1)
	return d
}

// Denials returns the denials so far by kind.
func (g *Guard) Denials() map[string]int64 {
	out := make(map[string]int64, denialKinds)
	for d := range denialKinds {
		out[denialNames[d]] = g.denials[d].Load()
	}
	return out
}
