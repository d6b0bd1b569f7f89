package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// habits are how the clients of a run behave, as chances of a request.
type habits struct {
	leaves  float64 // before the answer's end
	pieces  float64 // writes in pieces
	slow    float64 // with pauses between them
	retries float64 // comes again after a refusal
	keeps   float64 // keeps its connection
	short   float64 // has very little time
}

func usualHabits() habits {
	return habits{leaves: 0.12, pieces: 0.15, slow: 0.08, retries: 0.5, keeps: 0.85, short: 0.03}
}

// Bounds of the traffic.
const (
	maxVisits   = 4096 // clients at a time
	maxIdle     = 20   // connections that rest at one router
	maxRetries  = 3
	maxDials    = 4 // routers that a client tries to reach
	leaveWithin = 1500 * time.Millisecond
	backoff     = 300 * time.Millisecond
)

// traffic is the clients of a run.
type traffic struct {
	world  *Testbed
	front  *front
	log    *askLog
	rate   float64 // requests a second, over all routers
	habits habits
	seed   uint64
	serial atomic.Uint64
	work   sync.WaitGroup
	slots  chan struct{}

	mu   sync.Mutex
	idle map[int][]*conn // by router
}

func newTraffic(w *Testbed, f *front, log *askLog, rate float64, seed uint64) *traffic {
	return &traffic{world: w, front: f, log: log, rate: rate, habits: usualHabits(), seed: seed, slots: make(chan struct{}, maxVisits),
		idle: map[int][]*conn{}}
}

// run sends requests until ctx ends, and returns when all of them are over.
func (t *traffic) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(t.seed, 1))
	for ctx.Err() == nil {
		pause := time.NewTimer(time.Duration(random.ExpFloat64() / t.rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			pause.Stop()
		case <-pause.C:
			t.spawn(func(random *rand.Rand) { t.visit(random) })
		}
	}
	t.work.Wait()
	t.closeIdle()
}

// spawn runs a client, unless there are too many.
func (t *traffic) spawn(client func(random *rand.Rand)) {
	select {
	case t.slots <- struct{}{}:
	default:
		return
	}
	n := t.serial.Add(1)
	t.work.Add(1)
	go func() {
		defer t.work.Done()
		defer func() { <-t.slots }()
		client(rand.New(rand.NewPCG(t.seed, 1000+n)))
	}()
}

// question draws a request.
func (t *traffic) question(random *rand.Rand) *question {
	index := random.IntN(len(t.world.opts.classes))
	c := &t.world.opts.classes[index]
	q := &question{id: fmt.Sprintf("%08x%08x", t.serial.Add(1), random.Uint32()), class: c, index: index,
		left: time.Duration((0.5 + random.Float64()/2) * float64(c.Deadline)), key: fmt.Sprintf("%016x", random.IntN(200))}
	if random.Float64() < t.habits.short {
		q.left = time.Duration(1+random.IntN(150)) * time.Millisecond
	}
	return q
}

// manner draws how a client behaves.
func (t *traffic) manner(random *rand.Rand) *manner {
	m := &manner{pieces: 1}
	h := &t.habits
	if random.Float64() < h.pieces {
		m.pieces = 2 + random.IntN(5)
		if random.Float64() < h.slow/h.pieces {
			m.pause = time.Duration(random.IntN(80)) * time.Millisecond
		}
	}
	if random.Float64() < h.leaves {
		m.leaves = time.Duration(1 + random.Int64N(int64(leaveWithin)))
		switch random.IntN(6) {
		case 0:
			m.byReset = true
		case 1:
			m.halfClose = true
		case 2:
			m.behind = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
		}
	}
	return m
}

// visit is one client with one wish: it asks, and comes again if it is refused.
func (t *traffic) visit(random *rand.Rand) {
	for range 1 + random.IntN(maxRetries) {
		a := t.ask(random, t.question(random), t.manner(random))
		if a == nil || !a.refused() || random.Float64() > t.habits.retries {
			return
		}
		time.Sleep(time.Duration(random.Float64() * float64(backoff)))
	}
}

// ask brings a request to a router and returns what came of it; nil if no router could be reached. One that crosses the end
// of its connection is sent once more, under an id of its own.
func (t *traffic) ask(random *rand.Rand, q *question, m *manner) *ask {
	crossed := false
	for range maxDials {
		r := t.front.pick(random)
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
		a, reuse := c.exchange(q, m, random, t.log)
		if reuse && random.Float64() < t.habits.keeps {
			t.keep(c)
		} else {
			c.Close()
		}
		if a.ending != endUnread || crossed {
			return a
		}
		crossed = true
		again := *q
		again.id = fmt.Sprintf("%08x%08x", t.serial.Add(1), random.Uint32())
		q = &again
	}
	return nil
}

func (t *traffic) takeIdle(router int) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := len(t.idle[router]); n > 0; n = len(t.idle[router]) {
		c := t.idle[router][n-1]
		t.idle[router] = t.idle[router][:n-1]
		if c.stands() {
			return c
		}
		c.Close()
	}
	return nil
}

func (t *traffic) keep(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[c.router]) >= maxIdle {
		c.Close()
		return
	}
	t.idle[c.router] = append(t.idle[c.router], c)
}

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

// Clients at a shutdown.
const (
	lateFresh  = 4 // connections that have brought no request when the signal comes
	lateNew    = 3 // connections that come up to newWithin after it
	newWithin  = 400 * time.Millisecond
	lateWithin = 1500 * time.Millisecond // after the signal requests come on those; half of them come up to the kill
)

// aroundShutdown has clients at a router that is about to be told to end: some have just connected, some connect yet, and all
// send on whatever connection stays open. signal sends the signal.
func (t *traffic) aroundShutdown(r *Router, random *rand.Rand, signal func()) {
	at := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	var conns []*conn
	for range lateFresh {
		if c, err := dial(r); err == nil {
			conns = append(conns, c)
		}
	}
	t.mu.Lock()
	rested := t.idle[r.Index]
	delete(t.idle, r.Index)
	t.mu.Unlock()
	signal()
	killed := killAfter(t.world.opts.classes)
	late := func() time.Duration {
		if random.IntN(2) == 0 {
			return at(killed)
		}
		return at(lateWithin)
	}
	for _, c := range conns {
		t.sendLate(c, late())
	}
	for _, c := range rested {
		t.sendLate(c, at(killed))
	}
	for range lateNew {
		dialAfter, sendAfter := at(newWithin), late()
		t.spawn(func(random *rand.Rand) {
			time.Sleep(dialAfter)
			if c, err := dial(r); err == nil {
				t.late(c, sendAfter, random)
			}
		})
	}
}

// sendLate sends a request on a connection after a while, if that stands.
func (t *traffic) sendLate(c *conn, after time.Duration) {
	t.spawn(func(random *rand.Rand) { t.late(c, after, random) })
}

func (t *traffic) late(c *conn, after time.Duration, random *rand.Rand) {
	defer c.Close()
	time.Sleep(after)
	if !c.stands() {
		return
	}
	m := &manner{pieces: 1 + random.IntN(3), pause: time.Duration(random.IntN(60)) * time.Millisecond}
	a, _ := c.exchange(t.question(random), m, random, t.log)
	a.note = "late in a shutdown"
}

// crowd opens connections that say nothing, and closes them after a while.
func (t *traffic) crowd(r *Router, n int, stay time.Duration) (opened int) {
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
