package kit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fleet is what all workers share: the states that are held, and the record of the attempts.
type Fleet struct {
	rec *Record

	mu       sync.Mutex
	holds    map[string]map[string]time.Time // by request, then by worker: since when
	Attempts []*Attempt
}

// Attempt is a request that has arrived at a worker whole.
type Attempt struct {
	Request, Worker string
	Writer          bool
	Left            time.Duration // that the router told
	Arrived         time.Time
	Ended           time.Time // zero: not yet
	Outcome         string
}

// NewFleet returns a fleet without workers.
func NewFleet(rec *Record) *Fleet {
	return &Fleet{rec: rec, holds: map[string]map[string]time.Time{}}
}

// List returns a copy of the attempts so far.
func (f *Fleet) List() []Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Attempt, 0, len(f.Attempts))
	for _, a := range f.Attempts {
		out = append(out, *a)
	}
	return out
}

// Worker is a stand-in worker: a reader, or a writer.
type Worker struct {
	ID, Addr string
	Writer   bool
	// ReadTime is how long a read takes, FirstToken how long until the first event; then Events events follow, one
	// each Interval.
	ReadTime, FirstToken, Interval time.Duration
	Events                         int
	// Extra, if set, is asked after each answer to a call of a kind ("read", "stream", "release", "probe"). If it
	// returns more than 0, the same answer is sent once more after that time.
	Extra func(kind string) time.Duration
	// Hang, if set, tells whether the worker does nothing with a request that has arrived at it.
	Hang func(request string) bool

	fleet *Fleet
}

// Start starts the worker on a free port and returns its entry in discovery's list.
func (f *Fleet) Start(w *Worker) Member {
	l := Listen()
	w.Addr, w.fleet = l.Addr().String(), f
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	kind := "prefill"
	if w.Writer {
		kind = "decode-a"
	}
	return Member{ID: w.ID, Addr: w.Addr, Zone: "korangi-hall", Kind: kind, Cell: 1, Phase: "up", Size: 1}
}

// workerConn is a connection from a router. Its requests are served one after the other.
type workerConn struct {
	net.Conn
	w  *Worker
	br *bufio.Reader
	mu sync.Mutex // of writes
}

func (w *Worker) serve(nc net.Conn) {
	defer nc.Close()
	c := &workerConn{Conn: nc, w: w, br: bufio.NewReader(nc)}
	for c.one() {
	}
}

// one serves one request and reports whether the connection goes on.
func (c *workerConn) one() bool {
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return false
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return false
	}
	f := c.w.fleet
	id, isHold := strings.CutPrefix(req.URL.Path, "/v1/holds/")
	switch {
	case isHold && req.Method == "DELETE":
		f.release(id, c.w.ID)
		return c.send("release", "HTTP/1.1 204 No Content\r\n\r\n")
	case isHold:
		time.Sleep(300 * time.Millisecond)
		return c.send("place", "HTTP/1.1 204 No Content\r\n\r\n")
	case req.URL.Path == "/alive" || req.URL.Path == "/metrics/load":
		return c.send("probe", withBody(200, "", `{"lat_ms":40,"x0":0.2,"x1":0}`))
	case req.URL.Path != "/v1/chat/completions" || req.Header.Get("X-Correlation-Id") == "":
		return c.send("other", withBody(404, "", "no such path"))
	}
	ms, _ := strconv.Atoi(req.Header.Get("X-Time-Left-Ms"))
	a := &Attempt{Request: req.Header.Get("X-Correlation-Id"), Worker: c.w.ID, Writer: c.w.Writer, Left: time.Duration(ms) * time.Millisecond, Arrived: time.Now()}
	f.mu.Lock()
	f.Attempts = append(f.Attempts, a)
	f.mu.Unlock()
	f.rec.Add("%s: request %s has arrived on %s, time left %d ms", c.w.ID, a.Request, c.RemoteAddr(), ms)
	ctx, stop := c.watch()
	outcome := c.run(ctx, a)
	if ctx.Err() != nil {
		outcome = "given up by the router"
	}
	f.mu.Lock()
	a.Ended, a.Outcome = time.Now(), outcome
	f.mu.Unlock()
	f.rec.Add("%s: request %s ends: %s", c.w.ID, a.Request, outcome)
	stop()
	return ctx.Err() == nil
}

// watch returns a context that ends when the router closes the connection or ends its sending.
func (c *workerConn) watch() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := c.br.Peek(1); err != nil && !IsTimeout(err) {
			cancel()
		}
	}()
	return ctx, func() {
		c.SetReadDeadline(time.Unix(1, 0))
		<-done
		c.SetReadDeadline(time.Time{})
	}
}

// pause waits, and reports whether the router has not given up meanwhile.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// run does the work of an attempt and returns its outcome.
func (c *workerConn) run(ctx context.Context, a *Attempt) string {
	w, f := c.w, c.w.fleet
	if w.Hang != nil && w.Hang(a.Request) {
		<-ctx.Done()
		return ""
	}
	if !w.Writer {
		if !pause(ctx, w.ReadTime) {
			return ""
		}
		f.mu.Lock()
		if f.holds[a.Request] == nil {
			f.holds[a.Request] = map[string]time.Time{}
		}
		f.holds[a.Request][w.ID] = time.Now()
		f.mu.Unlock()
		c.send("read", withBody(202, "", `{"cached_tokens":0}`))
		return "read"
	}
	f.mu.Lock()
	held := len(f.holds[a.Request]) > 0
	f.mu.Unlock()
	if !held {
		c.send("gone", withBody(410, "X-Unprocessed: 1\r\n", "no state"))
		return "no state to fetch"
	}
	if !pause(ctx, w.FirstToken) {
		return ""
	}
	f.mu.Lock()
	delete(f.holds, a.Request)
	f.mu.Unlock()
	if !c.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return "broken"
	}
	for n := range w.Events {
		if n > 0 && !pause(ctx, w.Interval) {
			return ""
		}
		if !c.write(chunk(fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":"%s/%d"},"finish_reason":null}]}`, a.Request, n))) {
			return "broken"
		}
	}
	if !c.send("stream", chunk("data: [DONE]")+"0\r\n\r\n") {
		return "broken"
	}
	return "streamed"
}

// release ends what is held for a request, at whichever worker.
func (f *Fleet) release(request, at string) {
	f.mu.Lock()
	delete(f.holds, request)
	f.mu.Unlock()
	f.rec.Add("%s: DELETE for %s", at, request)
}

func chunk(event string) string {
	event += "\n\n"
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

func withBody(code int, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", code, fields, len(body), body)
}

func (c *workerConn) write(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := io.WriteString(c, text)
	return err == nil
}

// send writes an answer, and once more later if Extra says so.
func (c *workerConn) send(kind, text string) bool {
	ok := c.write(text)
	if c.w.Extra != nil && ok {
		if d := c.w.Extra(kind); d > 0 {
			time.AfterFunc(d, func() {
				if c.write(text) {
					c.w.fleet.rec.Add("%s: second answer to a %s on %s", c.w.ID, kind, c.RemoteAddr())
				}
			})
		}
	}
	return ok
}
