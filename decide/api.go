// Package decide is mintdoor's decision module: one Router per router process, fed with events,
// answering with actions. This file is its interface. Every decision is in one of these:
//
//	tuning.go        every tuned value, with its reason
//	decide.go        state, and Handle, the one event handler
//	membership.go    what discovery tells
//	request.go       the path of a request: refused or read, written, streamed, done
//	admission.go     what is refused at its arrival
//	reader.go        prefix home, spill, fewest waiting
//	writer.go        fit, fewest own streams, lowest booked cost, smallest footprint; distances
//	guards.go        send and giveUp, the only ways to an attempt and to an answer of this router's
//	                 own, keep the rules 1 to 4; close keeps rule 5
//	limits.go        slack for a process that is held up
//	shutdown.go      what is still taken on once the router was told to end
//	liveness.go      waits without a sign from a server
//	slowstart.go     the budget of rule 4
//	health.go        outlier ejection: symptoms, leaving out, the way back in
//	probing.go       asking for load before a pick, and probes paced by their price
//	timeouts.go      aims and time-outs
//	arithmetic.go    rates, decay, random numbers
package decide

// Time is a point on the router's own clock, in nanoseconds.
type Time int64

// Duration is a span in nanoseconds.
type Duration = Time

// Second is one second as a Duration.
const Second Duration = 1e9

// ServerID names a server; it says nothing of its place, kind or age.
type ServerID uint64

// RequestID names one client's try. Ids are never used twice.
type RequestID uint32

// Role tells which stages a kind of server can do.
type Role uint8

// The roles of a kind of server.
const (
	Reader Role = 1 << iota
	Writer
	Both = Reader | Writer
)

// RetryPolicy tells what a class allows after an attempt that may have run.
type RetryPolicy uint8

// The kinds of classes, by what a repeat does.
const (
	Safe RetryPolicy = iota
	Keyed
	Unsafe
)

// DedupScope is the group of servers that drops repeats of a keyed request.
type DedupScope uint8

// The scopes of a keyed class.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class is what the settings say of one class of requests.
type Class struct {
	FirstTokenTarget     Duration // first token wanted within this time ...
	FirstTokenTargetPerK Duration // ... plus this for each thousand prompt tokens
	Deadline             Duration
	TokenIntervalTarget  Duration // wanted time between tokens
	Value                float64
	LateValue            float64
	RetryPolicy          RetryPolicy
	DedupScope           DedupScope
	DedupWindow          Duration // how long repeats of a keyed request are dropped
}

// Kind is what the settings say of one kind of machine.
type Kind struct {
	Role   Role
	Memory float64 // tokens; 0 when not told
}

// Tenant is one customer's share of the traffic.
type Tenant struct {
	RequestsPerSecond float64 // requests a second within its share, over all routers; 0 when not told
}

// Settings is what a router is told at its start.
type Settings struct {
	Routers, Index int
	Zone           int
	Classes        []Class
	Kinds          []Kind
	Tenants        []Tenant
	OverQuotaValue float64 // worth of a request beyond its tenant's share, as a share of the usual

	Probing        bool
	MayCancel      bool
	MayReserve     bool
	Resume         bool
	WritersRead    bool
	PullMembership bool // the list is sent only to those that ask
	MaxAttempts    int
	MaxRetryAfter  Duration // 0: clients take no advice
	DialTimeout    Duration

	AnswerGrace        Duration
	AskWithin          Duration
	DrainGrace         Duration
	HoldTimeout        Duration
	ReleaseAtEnd       bool // what is let go of an open request is held until the request is over
	PauseHoldOnArrival bool // the time of what is held rests only for sends that have come to their server
	OverloadMultiple   float64
	OverloadWindow     Duration
	InitialCapacity    float64
	SlowStartTime      Duration

	ProbeCost, WasteCost, LateFailureCost, CrossZoneCost, CrossCellCost float64
}

// Report is a server's own account of its load; a field it did not tell is negative.
type Report struct {
	MemoryUse     float64 // share of memory held
	QueuedKTokens float64 // thousands of prompt tokens to read or fetch
	Latency       float64 // recent time to the end of a read or to the first token, in milliseconds
}

// Condition is what the list says of a server.
type Condition uint8

// The conditions in a list.
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
	Weight           float64
	StartedAt        Time // last start; 0 when long ago
}

// Outcome tells how an attempt or a probe ended.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	ReadDone
	Error
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotStarted
)

// EventKind tells the fields of an Event that are meant.
type EventKind uint8

// The kinds of events.
const (
	ListChanged       EventKind = iota // Servers: only the changes
	ListFull                           // Servers: all that there are
	ListCached                         // Servers: all, as this router last held them
	ListFailed                         // an asking for the list failed
	Arrived                            // a new request
	FirstToken                         // the answer of an attempt has begun
	AttemptEnded                       // an attempt has an outcome
	ClientLeft                         // the request is closed, nothing is owed
	Timer                              // a WakeMe has come due
	Probed                             // a probe has an outcome
	ReservationAnswer                  // the answer to a place asked for ahead
	PeerMessage                        // a message of another router
	ShuttingDown                       // the router was told to end: Shutdown
)

// Event is one thing that a router learns.
type Event struct {
	Kind          EventKind
	Request       RequestID
	Server        ServerID
	Attempt       int
	Outcome       Outcome
	Closed        bool     // Ended: the request has had its final answer
	NoState       bool     // Ended with Full: there was no state to fetch
	CachedTokens  float64  // Ended with ReadDone: prompt tokens found kept
	Elapsed       Duration // since the attempt or probe was sent
	Report        Report
	TimerID       uint64
	Granted       bool // PlaceAnswer
	NewConnection bool // Probed: as the action had it
	Servers       []Listing
	Job           Job      // Arrived
	RouterDelay   Duration // Arrived: for this router to take it

	Shutdown *Shutdown // ShuttingDown
}

// Job is a request as it arrives.
type Job struct {
	Class, Tenant                               int
	SessionID, PrefixID                         uint64 // 0: none
	Deadline                                    Time
	LengthHint                                  Duration // rough length of the answer; 0 when not told
	PromptTokens, PrefixTokens, MaxOutputTokens float64  // tokens
	ClientRetry, AfterInterruption              bool
}

// ActionKind tells the fields of an Action that are meant.
type ActionKind uint8

// The kinds of actions.
const (
	Send      ActionKind = iota // Request, Server, After (the time-out; 0: until the client gives up)
	Cancel                      // Request, Attempt
	Refuse                      // Request, After (stay away so long), Text (the reason)
	Fail                        // Request, Text (the reason)
	Release                     // Request
	Move                        // Request
	SetTimer                    // After, Token
	Probe                       // Server, Fresh (on a connection that is made for it)
	Reserve                     // Request, Server
	WatchList                   // ask for the list and its changes
	Note                        // Text
)

// Action is one thing that a router does.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Server  ServerID
	Attempt int
	After   Duration
	// SendBy, of Send: the last byte may not leave later; 0 is no bound.
	SendBy Time
	// LastResponseWithin, of Send: a kept connection may carry it only if an answer has come on that so recently; 0: any
	// may. A connection can fall silent with no error, and what is sent on it then never arrives.
	LastResponseWithin Duration
	DuringAttempt      bool // Release: though an attempt is out
	TimerID            uint64
	NewConnection      bool
	Reason             string
}
