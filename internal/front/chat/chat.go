// Package chat is the platform's front: chat completions over HTTP/1.1, with what the router has to know in
// headers. It stands on net and http1, since net/http drops what matters here: a second length header, the
// end of a head that never comes, the moment at which a connection may be closed. Encoding only.
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

// Bounds of what a client may send.
const (
	MaxBody    = 256 << 10
	maxHead    = 16 << 10
	maxID      = 64
	maxName    = 256
	maxTokens  = 1e7
	readBuffer = 4096
	maxAhead   = maxHead + MaxBody // read of a next request while one is open
	// lingerFor and lingerBytes bound what is still read, and thrown away, after a connection's last answer.
	lingerFor   = 500 * time.Millisecond
	lingerBytes = MaxBody
	// endWithin is how long the core has for its last answers when the front ends at once, and a client to take them.
	endWithin = 500 * time.Millisecond
	// refuseWithin bounds the writing of a refusal by the goroutine that accepts.
	refuseWithin = time.Millisecond
	// lastAccept is how long connections in the kernel's queue are taken before the listener closes.
	lastAccept = 20 * time.Millisecond
	bytesToken = 4.0 // four characters make a token (PROTOCOL)
)

// Options are what the front is made of.
type Options struct {
	Classes         []string // names of the settings' classes
	SendRetryAfter  bool     // refusals may name a time
	Tenants         []string // names of the settings' tenants
	MaxConns        int
	MaxRefusedConns int           // connections beside MaxConns that are kept for a moment so that a refusal arrives
	MaxBodyMemory   int64         // of all bodies together
	RequestTimeout  time.Duration // for a request from its connection's or its first byte's time to its last
	IdleTimeout     time.Duration // a connection between requests is closed after this
	WriteTimeout    time.Duration // a client that takes nothing for so long has left
	Log             *slog.Logger
	Guard           *guard.Guard // of all requests of the process; nil: one of the front's own
}

// Front serves clients. Make it with New.
type Front struct {
	opts   Options
	core   front.Core
	log    *slog.Logger
	conns  conns
	bodies atomic.Int64
	last   atomic.Bool // every answer is the last on its connection

	lingerFor, endWithin time.Duration // the constants; tests change them

	mu           sync.Mutex
	listener     net.Listener
	stopping     bool          // StopListening was called
	stopListened chan struct{} // closed when no connection is accepted any more
	timers       []*time.Timer // of the end; Serve stops them
}

// New returns a front that hands requests to core.
func New(opts Options, core front.Core) *Front {
	if opts.Guard == nil {
		opts.Guard = guard.New(opts.Log)
	}
	f := &Front{opts: opts, core: core, log: opts.Log, lingerFor: lingerFor, endWithin: endWithin, stopListened: make(chan struct{})}
	f.conns.limit, f.conns.refused = opts.MaxConns, opts.MaxRefusedConns
	return f
}

// BeginShutdown makes every answer from now on the last of its connection: clients are to go elsewhere. New connections are
// still taken.
func (f *Front) BeginShutdown() { f.last.Store(true) }

// CloseIdle closes the connections that have been between two requests for a time: their clients have read the last
// answer. What crosses the close stays unread.
func (f *Front) CloseIdle(restedFor time.Duration) { f.conns.closeResting(restedFor) }

// RefuseUnused refuses connections that have brought no request yet.
func (f *Front) RefuseUnused() { f.conns.expire(fresh) }

// RefuseIncomplete refuses requests that have begun to come and are not complete.
func (f *Front) RefuseIncomplete() { f.conns.expire(receiving) }

// OpenConns tells how many connections are open.
func (f *Front) OpenConns() int { return f.conns.count() }
