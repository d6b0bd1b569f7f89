// Package decide makes the routing decisions of a mintdoor router. A Router is a pure state machine: it is fed
// events and answers with actions. It opens no connections, reads no clock and starts no goroutines; those who
// call it do. This file declares its interface.
//
// A request is read (prefill) by a reader, which keeps the resulting KV state until a writer fetches it and writes
// (decodes) the answer. A send of a request to one server is an attempt. A hold is anything that a server keeps for
// a request between the two stages: a KV state or a reservation. Five rules bind every decision:
//
//  1. A request gets exactly one final answer, by its deadline or shortly after it; no attempt begins after that
//     answer.
//  2. A request has at most one attempt in flight, and no attempt may execute a request a second time unless its
//     class allows that.
//  3. A server that is draining or removed from the list gets no new attempts.
//  4. All routers together send a cold server no more than its slow-start budget.
//  5. What servers hold for a request is used or released within a time limit.
//
// The decisions are in these files:
//
//	tuning.go        all tuned constants, with the reason for each
//	decide.go        the state, and Handle, the only event handler
//	membership.go    changes of the server list
//	request.go       the path of a request: refused, or read, written and streamed
//	admission.go     admission control: what is refused on arrival
//	reader.go        choice of a reader: rendezvous hashing, spillover, shortest queue
//	writer.go        choice of a writer: free memory, fewest streams, fewest booked tokens, lowest projected use
//	guards.go        send starts every attempt and giveUp makes every answer of the router itself, so that rules 1
//	                 to 4 hold; close does so for rule 5
//	limits.go        time margins for pauses of the process
//	shutdown.go      what is still accepted during a shutdown
//	liveness.go      attempts without a response, reachability probes, and the release of holds in time
//	slowstart.go     the slow-start budget of rule 4
//	health.go        outlier ejection and recovery
//	probing.go       load probes: before routing, and at a rate limited by their cost
//	timeouts.go      latency targets and attempt timeouts
//	arithmetic.go    rates, exponential decay, random numbers
//	views.go         what the module knows of each server, for tests and diagnostics
package decide

// Time is an instant on the router's own clock, in nanoseconds.
type Time int64

// Duration is a span of time in nanoseconds.
type Duration = Time

// Second is one second as a Duration.
const Second Duration = 1e9

// ServerID identifies a server. It does not encode the server's location, kind or age.
type ServerID uint64

// RequestID identifies one request of a client. IDs are never reused.
type RequestID uint32

// Role says which stages a kind of server can do.
type Role uint8

// The roles of a kind of server.
const (
	Reader Role = 1 << iota
	Writer
	Both = Reader | Writer
)

// RetryPolicy says whether a request may be sent again after an attempt that may have executed it.
type RetryPolicy uint8

// The retry policies.
const (
	Safe   RetryPolicy = iota // may be executed any number of times
	Keyed                     // servers within DedupScope drop duplicates by key during DedupWindow
	Unsafe                    // must not be executed twice
)

// DedupScope is the group of servers that drop duplicates of the same keyed request.
type DedupScope uint8

// The scopes within which duplicates of a keyed request are dropped.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class holds the settings of one class of requests.
type Class struct {
	FirstTokenTarget     Duration // target time to the first token, without the part that depends on the prompt
	FirstTokenTargetPerK Duration // added to the target for each 1000 prompt tokens
	Deadline             Duration
	TokenIntervalTarget  Duration // target time between two tokens
	Value                float64  // of an answer that meets its targets
	LateValue            float64  // of an answer that misses them, as a fraction of Value
	RetryPolicy          RetryPolicy
	DedupScope           DedupScope
	DedupWindow          Duration // how long duplicates of a keyed request are dropped
}

// Kind holds the settings of one kind of server.
type Kind struct {
	Role   Role
	Memory float64 // in tokens; 0 if unknown
}

// Tenant holds the settings of one tenant.
type Tenant struct {
	RequestsPerSecond float64 // quota over all routers; 0 if unknown
}

// Settings holds the configuration of a router. It does not change while the router runs.
type Settings struct {
	Routers, Index int // how many routers there are, and which of them this one is
	Zone           int
	Classes        []Class
	Kinds          []Kind
	Tenants        []Tenant
	OverQuotaValue float64 // value of a request over its tenant's quota, as a fraction of its class's value

	Probing        bool     // probes are allowed
	MayCancel      bool     // attempts may be cancelled
	MayReserve     bool     // servers grant reservations
	Resume         bool     // a client can resume a broken stream at another server
	WritersRead    bool     // writers can read prompts themselves
	PullMembership bool     // the server list is sent only on request
	MaxAttempts    int      // per request
	MaxRetryAfter  Duration // longest Retry-After of a refusal; 0 if clients do not honor it
	DialTimeout    Duration

	AnswerGrace        Duration // rule 1: a final answer may come this long after the deadline
	AskWithin          Duration // not used by decisions
	DrainGrace         Duration // rule 3: nothing is sent to a server this long after the list drains it
	HoldTimeout        Duration // rule 5: what is held for a request is used or released within this time
	ReleaseAtEnd       bool     // a release during a request takes effect only when the request ends
	PauseHoldOnArrival bool     // the hold timer pauses only for attempts that have reached their server
	OverloadMultiple   float64  // rule 4: a cold server fails if it is sent this multiple of its capacity ...
	OverloadWindow     Duration // ... for this long
	InitialCapacity    float64  // capacity of a server that has just started, as a fraction of a warm one's
	SlowStartTime      Duration // how long a server is cold after its start

	// Costs, as fractions of the result; ProbeCost is that of one probe per request.
	ProbeCost, WasteCost, LateFailureCost, CrossZoneCost, CrossCellCost float64
}

// Report is a server's report of its load. A field that the server did not report is negative.
type Report struct {
	MemoryUse     float64 // fraction of the memory in use
	QueuedKTokens float64 // thousands of prompt tokens that wait to be read or fetched
	Latency       float64 // recent time to the end of a read or to the first token, in milliseconds
}

// Condition is the condition of a server in the server list.
type Condition uint8

// The conditions of a server.
const (
	Gone Condition = iota
	Ready
	Draining
)

// Listing is one entry of the server list.
type Listing struct {
	Server           ServerID
	Zone, Cell, Kind int
	Condition        Condition
	Weight           float64 // not used by decisions
	StartedAt        Time    // last start of the server; 0 if long ago
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes.
const (
	Served        Outcome = iota // answered to the end; of a probe: the server answered
	ReadDone                     // the reader holds the KV state
	Error                        // the server answered with an error
	Full                         // the server refused the attempt without executing it
	TimedOut                     // no answer in time
	ConnectFailed                // no connection to the server
	Reset                        // the connection was lost
	Cancelled                    // cancelled by the router
	NotStarted                   // the router's own checks kept the attempt from being sent
)

// EventKind is the kind of an Event. It determines which fields of the Event are set.
type EventKind uint8

// The kinds of events.
const (
	ListChanged       EventKind = iota // Servers holds only the changed entries
	ListFull                           // Servers holds the whole list
	ListCached                         // Servers holds the whole list as this router last stored it
	ListFailed                         // a watch of the server list failed
	Arrived                            // a new request
	FirstToken                         // an attempt's first token has arrived
	AttemptEnded                       // an attempt has an outcome
	ClientLeft                         // the client has left; no answer is due
	Timer                              // a timer set by SetTimer has expired
	Probed                             // a probe has an outcome
	ReservationAnswer                  // the answer to a Reserve
	PeerMessage                        // a message of another router
	ShuttingDown                       // the router was told to shut down; Shutdown holds the plan
)

// Event is the input of a Router.
type Event struct {
	Kind          EventKind
	Request       RequestID
	Server        ServerID
	Attempt       int
	Outcome       Outcome
	Closed        bool     // AttemptEnded: the request has had its final answer
	NoState       bool     // AttemptEnded with Full: the KV state to fetch was missing
	CachedTokens  float64  // AttemptEnded with ReadDone: prompt tokens found in the reader's prefix cache
	Elapsed       Duration // since the attempt or probe was sent
	Report        Report
	TimerID       uint64
	Granted       bool // ReservationAnswer: the reservation was granted
	NewConnection bool // Probed: as in the Probe action
	Servers       []Listing
	Job           Job      // Arrived
	RouterDelay   Duration // Arrived: how long the request waited until this router took it

	Shutdown *Shutdown // ShuttingDown
}

// Job describes a request as it arrives.
type Job struct {
	Class, Tenant                               int
	SessionID, PrefixID                         uint64 // session and shared prefix; 0 if none
	Deadline                                    Time
	LengthHint                                  Duration // approximate duration of the answer; 0 if unknown
	PromptTokens, PrefixTokens, MaxOutputTokens float64
	ClientRetry, AfterInterruption              bool // the client sends it again, or resumes a broken stream
}

// ActionKind is the kind of an Action. It determines which fields of the Action are set.
type ActionKind uint8

// The kinds of actions, with the fields that each of them uses.
const (
	Send      ActionKind = iota // Request, Server, After (the timeout; 0 if it lasts until the client leaves)
	Cancel                      // Request, Attempt
	Refuse                      // Request, After (the Retry-After), Reason
	Fail                        // Request, Reason
	Release                     // Request
	Move                        // Request
	SetTimer                    // After, TimerID
	Probe                       // Server, NewConnection (the probe opens a connection of its own)
	Reserve                     // Request, Server
	WatchList                   // request the server list and its changes
	Note                        // Reason (the text of the note)
)

// Action is the output of a Router.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Server  ServerID
	Attempt int
	After   Duration
	// SendBy is the latest time at which the last byte of a Send may leave; 0 if there is no limit.
	SendBy Time
	// LastResponseWithin is the maximum age of the last response on a kept connection that carries a Send; 0 if any
	// connection will do. A connection can die without an error, and what is sent on it then never arrives.
	LastResponseWithin Duration
	DuringAttempt      bool // Release: an attempt is in flight
	TimerID            uint64
	NewConnection      bool
	Reason             string
}
