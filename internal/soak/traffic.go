package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// behaviourOdds are the probabilities per request of the clients' behaviours.
type behaviourOdds struct {
	leaves        float64 // leaves before the end of the answer
	pieces        float64 // writes the request in pieces
	slow          float64 // pauses between the pieces
	retries       float64 // retries after a refusal
	keepsConn     float64 // keeps its connection
	shortDeadline float64 // has a very short deadline
}

// defaultBehaviourOdds returns the probabilities of a run.
func defaultBehaviourOdds() behaviourOdds {
	return behaviourOdds{leaves: 0.12, pieces: 0.15, slow: 0.08, retries: 0.5, keepsConn: 0.85, shortDeadline: 0.03}
}

// Limits of the traffic.
const (
	maxClients       = 4096 // concurrent clients
	maxIdlePerRouter = 20   // idle connections to one router
	maxRetries       = 3
	maxDialAttempts  = 4 // routers that a client tries to reach
	maxLeaveDelay    = 1500 * time.Millisecond
	maxBackoff       = 300 * time.Millisecond
	maxTrailing      = 50_000 // requests that a client sends before it leaves
)

// traffic simulates the clients of a run.
type traffic struct {
	testbed    *Testbed
	picker     *routerPicker
	log        *requestLog
	rate       float64 // requests per second over all routers
	odds       behaviourOdds
	seed       uint64
	lastNumber atomic.Uint64 // numbers clients and requests
	work       sync.WaitGroup
	slots      chan struct{} // one per running client

	mu   sync.Mutex
	idle map[int][]*conn // by router
}

// newTraffic returns traffic that has not started.
func newTraffic(tb *Testbed, picker *routerPicker, log *requestLog, rate float64, seed uint64) *traffic {
	return &traffic{testbed: tb, picker: picker, log: log, rate: rate, odds: defaultBehaviourOdds(), seed: seed,
		slots: make(chan struct{}, maxClients),
		idle:  map[int][]*conn{}}
}

// run sends requests until ctx ends, and returns when all of them have ended.
func (t *traffic) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(t.seed, 1))
	for ctx.Err() == nil {
		pause := time.NewTimer(time.Duration(random.ExpFloat64() / t.rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			pause.Stop()
		case <-pause.C:
			t.spawn(func(random *rand.Rand) { t.runClient(random) })
		}
	}
	t.work.Wait()
	t.closeIdle()
}

// spawn runs a client in the background, unless too many are running.
func (t *traffic) spawn(client func(random *rand.Rand)) {
	select {
	case t.slots <- struct{}{}:
	default:
		return
	}
	n := t.lastNumber.Add(1)
	t.work.Add(1)
	go func() {
		defer t.work.Done()
		defer func() { <-t.slots }()
		client(rand.New(rand.NewPCG(t.seed, 1000+n)))
	}()
}

// drawRequest draws a request.
func (t *traffic) drawRequest(random *rand.Rand) *clientRequest {
	index := random.IntN(len(t.testbed.opts.classes))
	c := &t.testbed.opts.classes[index]
	req := &clientRequest{id: fmt.Sprintf("%08x%08x", t.lastNumber.Add(1), random.Uint32()), class: c, index: index,
		timeLeft: time.Duration((0.5 + random.Float64()/2) * float64(c.Deadline)), key: fmt.Sprintf("%016x", random.IntN(200))}
	if random.Float64() < t.odds.shortDeadline {
		req.timeLeft = time.Duration(1+random.IntN(150)) * time.Millisecond
	}
	return req
}

// drawBehaviour draws how a client behaves.
func (t *traffic) drawBehaviour(random *rand.Rand) *clientBehaviour {
	b := &clientBehaviour{pieces: 1}
	odds := &t.odds
	if random.Float64() < odds.pieces {
		b.pieces = 2 + random.IntN(5)
		if random.Float64() < odds.slow/odds.pieces {
			b.pause = time.Duration(random.IntN(80)) * time.Millisecond
		}
	}
	if random.Float64() < odds.leaves {
		b.leaveAfter = time.Duration(1 + random.Int64N(int64(maxLeaveDelay)))
		switch random.IntN(6) {
		case 0:
			b.leaveByReset = true
		case 1:
			b.halfClose = true
		case 2:
			b.trailing = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
			if random.IntN(2) == 0 {
				b.trailing = strings.Repeat(b.trailing, maxTrailing)
			}
		}
	}
	return b
}

// runClient is one client: it sends a request, and may retry if it is refused.
func (t *traffic) runClient(random *rand.Rand) {
	for range 1 + random.IntN(maxRetries) {
		rec := t.send(random, t.drawRequest(random), t.drawBehaviour(random))
		if rec == nil || !rec.refused() || random.Float64() > t.odds.retries {
			return
		}
		time.Sleep(time.Duration(random.Float64() * float64(maxBackoff)))
	}
}

// send sends a request to a router and returns its record, or nil if no router could be reached. A request that
// crosses the close of its connection is sent once more, under a new id.
func (t *traffic) send(random *rand.Rand, req *clientRequest, behaviour *clientBehaviour) *requestRecord {
	crossed := false
	for range maxDialAttempts {
		r := t.picker.pick(random)
		if r == nil {
			return nil
		}
		c := t.takeIdle(r.Index)
		if c == nil || crossed {
			var err error
			if c, err = dial(r); err != nil {
				continue
			}
		}
		rec, reuse := c.exchange(req, behaviour, random, t.log)
		if reuse && random.Float64() < t.odds.keepsConn {
			t.keepIdle(c)
		} else {
			c.Close()
		}
		if rec.ending != endUnread || crossed {
			return rec
		}
		crossed = true
		retry := *req
		retry.id = fmt.Sprintf("%08x%08x", t.lastNumber.Add(1), random.Uint32())
		req = &retry
	}
	return nil
}

// takeIdle returns an idle connection to a router that is still open, or nil.
func (t *traffic) takeIdle(router int) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := len(t.idle[router]); n > 0; n = len(t.idle[router]) {
		c := t.idle[router][n-1]
		t.idle[router] = t.idle[router][:n-1]
		if c.isIdleOpen() {
			return c
		}
		c.Close()
	}
	return nil
}

// keepIdle keeps a connection for another request, unless too many are kept.
func (t *traffic) keepIdle(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[c.router]) >= maxIdlePerRouter {
		c.Close()
		return
	}
	t.idle[c.router] = append(t.idle[c.router], c)
}

// closeIdle closes all idle connections.
func (t *traffic) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conns := range t.idle {
		for _, c := range conns {
			c.Close()
		}
	}
	clear(t.idle)
}

// Clients around a shutdown.
const (
	lateUnusedConns = 4 // connections that have carried no request when the signal is sent
	lateNewConns    = 3 // connections that are dialled up to lateDialWindow after it
	lateDialWindow  = 400 * time.Millisecond
	lateSendWindow  = 1500 * time.Millisecond // after the signal; half of the requests may come later, up to the kill
)

// sendAroundShutdown adds clients at a router that is about to get a signal: some have just connected, some connect
// afterwards, and some use kept idle connections. Each sends a request if its connection is still open then. signal
// sends the signal.
func (t *traffic) sendAroundShutdown(r *Router, random *rand.Rand, signal func()) {
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	var conns []*conn
	for range lateUnusedConns {
		if c, err := dial(r); err == nil {
			conns = append(conns, c)
		}
	}
	t.mu.Lock()
	idle := t.idle[r.Index]
	delete(t.idle, r.Index)
	t.mu.Unlock()
	signal()
	killDelay := minKillDelay(t.testbed.opts.classes)
	lateDelay := func() time.Duration {
		if random.IntN(2) == 0 {
			return upTo(killDelay)
		}
		return upTo(lateSendWindow)
	}
	killedAt := time.Now().Add(killDelay)
	for _, c := range conns {
		after := lateDelay()
		t.spawn(func(random *rand.Rand) { t.useAfter(c, after, killedAt, random) })
	}
	for _, c := range idle {
		after := upTo(killDelay)
		t.spawn(func(random *rand.Rand) { t.useAfter(c, after, killedAt, random) })
	}
	for range lateNewConns {
		dialAfter, sendAfter := upTo(lateDialWindow), lateDelay()
		t.spawn(func(random *rand.Rand) {
			time.Sleep(dialAfter)
			if c, err := dial(r); err == nil {
				t.useAfter(c, sendAfter, killedAt, random)
			}
		})
	}
}

// maxUsePause is the longest pause between two requests of a client that uses its connection as long as it is open.
const maxUsePause = 100 * time.Millisecond

// useAfter waits, and then sends one request after the other on a connection, until an instant or until the router closes
// the connection.
func (t *traffic) useAfter(c *conn, after time.Duration, until time.Time, random *rand.Rand) {
	defer c.Close()
	time.Sleep(after)
	for n := 0; time.Now().Before(until) && c.isIdleOpen(); n++ {
		behaviour := &clientBehaviour{pieces: 1 + random.IntN(3), pause: time.Duration(random.IntN(60)) * time.Millisecond}
		rec, reuse := c.exchange(t.drawRequest(random), behaviour, random, t.log)
		rec.note = "late in a shutdown"
		if n > 0 {
			rec.note = "late in a shutdown, on a connection used before"
		}
		if !reuse {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxUsePause))))
	}
}

// openIdleConns opens connections that send nothing, and closes them after a while. It returns how many could be
// opened.
func (t *traffic) openIdleConns(r *Router, n int, stay time.Duration) (opened int) {
	var conns []*conn
	for range n {
		c, err := dial(r)
		if err != nil {
			break
		}
		conns = append(conns, c)
	}
	t.spawn(func(*rand.Rand) {
		time.Sleep(stay)
		for _, c := range conns {
			c.Close()
		}
	})
	return len(conns)
}
