// Package chat is the front that speaks the platform's protocol: chat completions over HTTP/1.1, with the information
// for the router in headers. It is built on net and http1, because net/http hides details that matter here: a second
// length header, a head without an end, and the moment at which a connection may be closed. The package only
// translates between the protocol and the router's core; it makes no decisions about requests.
package chat

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mintdoor/internal/front"
	"mintdoor/internal/guard"
)

// Limits on client requests and connections. Sizes are in bytes.
const (
	MaxBody        = 256 << 10
	maxHeadSize    = 16 << 10
	maxIDLen       = 64
	maxNameLen     = 256
	maxTokens      = 1e7
	readBufferSize = 4096
	maxReadAhead   = 4 * (maxHeadSize + MaxBody) // kept of further requests while one is open
	// maxDiscard is how much a client may send behind that before it counts as having left. It is read in pieces of
	// discardBufferSize, one in discardInterval, so that the close behind a full socket is seen within 0.1 s and other clients keep
	// the processor.
	maxDiscard        = 16 << 20
	discardBufferSize = 32 << 10
	discardInterval   = 200 * time.Microsecond
	// bodyMemoryRetryInterval is how often a read-ahead without room in the memory for bodies is tried again.
	bodyMemoryRetryInterval = 50 * time.Millisecond
	maxKeptBuffer           = 8 << 10 // of a stream's write buffer between two events
	// lingerTimeout and maxLingerBytes limit what is still read, and discarded, after the last answer on a
	// connection.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = MaxBody
	// finalAnswerTimeout is how long the core has for its last answers when the front stops at once, and then how
	// long the clients have to receive them.
	finalAnswerTimeout = 500 * time.Millisecond
	// refusalWriteTimeout limits the time that the accepting goroutine may take to write a refusal.
	refusalWriteTimeout = time.Millisecond
	// finalAcceptTime is how long connections in the kernel's queue are accepted before the listener closes.
	finalAcceptTime = 20 * time.Millisecond
	// minRequestInterval is the shortest time between two requests on a connection. Without it, a client that floods its
	// connection would keep the processor from looking for the data of others.
	minRequestInterval = time.Millisecond
	bytesPerToken      = 4.0 // the protocol assumes four characters per token
)

// Options configure a Front.
type Options struct {
	Classes         []string // names of the request classes in the settings
	SendRetryAfter  bool     // refusals may have a Retry-After header
	Tenants         []string // names of the tenants in the settings
	MaxConns        int
	MaxRefusedConns int           // connections beyond MaxConns that are kept briefly so that a refusal is delivered
	MaxBodyMemory   int64         // bytes of memory for all request bodies together
	RequestTimeout  time.Duration // from the accept of the connection, or a request's first byte, to its last byte
	IdleTimeout     time.Duration // a connection between requests is closed after this time
	WriteTimeout    time.Duration // a client that accepts no data for this long counts as having left
	Log             *slog.Logger
	Guard           *guard.Guard // shared by all requests of the process; nil: the front creates its own
}

// Front serves clients of the platform's protocol. Create it with New.
type Front struct {
	opts       Options
	core       front.Core
	log        *slog.Logger
	conns      conns
	bodyMemory atomic.Int64
	closing    atomic.Bool // the next answer on each connection is its last

	lingerTimeout, finalAnswerTimeout time.Duration // set from the constants; tests change them

	mu              sync.Mutex
	listener        net.Listener
	stopRequested   bool          // StopListening has been called
	listenerStopped chan struct{} // closed when no further connection will be accepted
	timers          []*time.Timer // started by stop; Serve stops them
}

// New returns a front that submits requests to core.
func New(opts Options, core front.Core) *Front {
	if opts.Guard == nil {
		opts.Guard = guard.New(opts.Log)
	}
	f := &Front{opts: opts, core: core, log: opts.Log, lingerTimeout: lingerTimeout, finalAnswerTimeout: finalAnswerTimeout, listenerStopped: make(chan struct{})}
	f.conns.maxConns, f.conns.maxRefused = opts.MaxConns, opts.MaxRefusedConns
	return f
}

// BeginShutdown makes every answer from now on the last on its connection, so that clients move to other routers. New
// connections are still accepted.
func (f *Front) BeginShutdown() { f.closing.Store(true) }

// CloseIdle closes connections that have been between two requests for at least idleFor: their clients have read the
// last answer. A request that arrives while its connection is closed stays unread.
func (f *Front) CloseIdle(idleFor time.Duration) { f.conns.closeIdle(idleFor) }

// RefuseUnused refuses connections on which no request has arrived yet.
func (f *Front) RefuseUnused() { f.conns.expireDeadlines(stateNew) }

// RefuseIncomplete refuses requests that have been received only in part.
func (f *Front) RefuseIncomplete() { f.conns.expireDeadlines(stateReceiving) }

// OpenConns returns the number of open connections.
func (f *Front) OpenConns() int { return f.conns.count() }
