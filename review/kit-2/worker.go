package kit2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Arrival is a request that has arrived at a worker with its last byte.
type Arrival struct {
	ID       string
	Worker   string
	Writer   bool
	At       time.Time
	TimeLeft time.Duration // as told
	Header   http.Header
}

// Plan is what a worker does with a request.
type Plan struct {
	Delay    time.Duration // until the read has ended, or the first event
	Events   int
	Interval time.Duration
	Status   int  // of an answer instead: 500, or 503 with X-Unprocessed
	Reset    bool // the connection is reset instead of an answer, after Delay
	Hang     bool // no answer at all
}

// Fleet is all workers of a deployment, with what they hold.
type Fleet struct {
	c    *Case
	plan func(*Arrival) Plan

	mu       sync.Mutex
	arrivals []Arrival
	held     map[string]map[string]time.Time // by request, the readers that hold a state
	taken    map[string]string               // by request, the reader whose state a send to a writer has taken
	runs     map[string][]string             // by request, the writers that have run it
	workers  map[string]*Worker
}

// NewFleet returns a fleet whose workers do what plan says.
func (c *Case) NewFleet(plan func(*Arrival) Plan) *Fleet {
	return &Fleet{c: c, plan: plan, held: map[string]map[string]time.Time{}, taken: map[string]string{}, runs: map[string][]string{}, workers: map[string]*Worker{}}
}

// Arrivals returns the requests that have arrived so far.
func (f *Fleet) Arrivals() []Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Arrival{}, f.arrivals...)
}

// SentTo returns the requests that have arrived at a worker in a time.
func (f *Fleet) SentTo(worker string, from, until time.Time) (out []Arrival) {
	for _, a := range f.Arrivals() {
		if a.Worker == worker && a.At.After(from) && a.At.Before(until) {
			out = append(out, a)
		}
	}
	return out
}

// Held returns which readers hold a state of a request, and since when.
func (f *Fleet) Held(id string) map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]time.Time{}
	for k, v := range f.held[id] {
		out[k] = v
	}
	return out
}

// Runs returns the writers that have run a request.
func (f *Fleet) Runs(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.runs[id]...)
}

// Worker is one worker.
type Worker struct {
	Member Member
	Writer bool
	fleet  *Fleet
	l      net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewWorkers starts n workers of a kind and returns their entries for the list.
func (f *Fleet) NewWorkers(n int, kind string, writer bool) []Member {
	var out []Member
	for i := range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		f.c.Check(err)
		w := &Worker{Writer: writer, fleet: f, l: l, conns: map[net.Conn]struct{}{}, Member: Member{ID: fmt.Sprintf("%s-%d", kind, i), Addr: l.Addr().String(),
			Zone: "korangi-hall", Kind: kind, Cell: 1, Phase: "up", Size: 1}}
		f.mu.Lock()
		f.workers[w.Member.ID] = w
		f.mu.Unlock()
		go w.accept()
		out = append(out, w.Member)
	}
	return out
}

func (w *Worker) accept() {
	for {
		nc, err := w.l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[nc] = struct{}{}
		w.mu.Unlock()
		go func() {
			defer func() {
				w.mu.Lock()
				delete(w.conns, nc)
				w.mu.Unlock()
				nc.Close()
			}()
			br := bufio.NewReader(nc)
			for w.serve(nc, br) {
			}
		}()
	}
}

// Stop ends a worker's process: its connections are reset, and new ones refused.
func (f *Fleet) Stop(id string) {
	f.mu.Lock()
	w := f.workers[id]
	f.mu.Unlock()
	w.l.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	f.c.Note("%s: stopped", id)
	for nc := range w.conns {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

// serve answers one request and reports whether the connection can carry another.
func (w *Worker) serve(nc net.Conn, br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	f := w.fleet
	switch {
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/v1/holds/"):
		id := strings.TrimPrefix(r.URL.Path, "/v1/holds/")
		f.mu.Lock()
		delete(f.held, id)
		f.mu.Unlock()
		f.c.Note("%s: DELETE %s", w.Member.ID, id)
		return reply(nc, 204, "")
	case r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/v1/holds/"):
		return reply(nc, 409, "")
	case r.URL.Path == "/alive" || r.URL.Path == "/metrics/load":
		return reply(nc, 200, `{"lat_ms":50,"x0":0.1,"x1":0}`)
	case r.Method != "POST" || r.URL.Path != "/v1/chat/completions":
		return reply(nc, 404, "")
	}
	id := r.Header.Get("X-Correlation-Id")
	ms, _ := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	a := Arrival{ID: id, Worker: w.Member.ID, Writer: w.Writer, At: time.Now(), TimeLeft: time.Duration(ms) * time.Millisecond, Header: r.Header}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, a)
	f.mu.Unlock()
	f.c.Note("%s: %s arrived, time left as told %v", w.Member.ID, id, a.TimeLeft)
	if w.Writer {
		f.take(id)
	}
	reusable := w.run(nc, br, &a, f.plan(&a))
	if w.Writer {
		f.putBack(id)
	}
	return reusable
}

// take has a send to a writer take the newest state that waits for a request.
func (f *Fleet) take(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest, at := "", time.Time{}
	for reader, since := range f.held[id] {
		if since.After(at) {
			newest, at = reader, since
		}
	}
	if newest != "" {
		delete(f.held[id], newest)
		f.taken[id] = newest
	}
}

// putBack has a state wait again that a send has taken and not fetched.
func (f *Fleet) putBack(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reader := f.taken[id]; reader != "" {
		delete(f.taken, id)
		f.hold(id, reader)
	}
}

// hold has a state wait at a reader. mu is held.
func (f *Fleet) hold(id, reader string) {
	if f.held[id] == nil {
		f.held[id] = map[string]time.Time{}
	}
	f.held[id][reader] = time.Now()
}

// run does what the plan says. Work stops when the router closes the connection.
func (w *Worker) run(nc net.Conn, br *bufio.Reader, a *Arrival, p Plan) bool {
	gone := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		if _, err := br.Peek(1); err != nil && !isTimeout(err) {
			close(gone)
		}
	}()
	watched := true
	unwatch := func() {
		if watched {
			watched = false
			nc.SetReadDeadline(time.Unix(1, 0))
			<-stop
			nc.SetReadDeadline(time.Time{})
		}
	}
	defer unwatch()
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-gone:
			w.fleet.c.Note("%s: %s given up by the router", w.Member.ID, a.ID)
			return false
		}
	}
	if p.Hang {
		p.Delay = time.Hour
	}
	if !wait(p.Delay) {
		return false
	}
	switch {
	case p.Reset:
		w.fleet.c.Note("%s: %s connection reset", w.Member.ID, a.ID)
		nc.(*net.TCPConn).SetLinger(0)
		return false
	case p.Status != 0:
		w.fleet.c.Note("%s: %s answered %d", w.Member.ID, a.ID, p.Status)
		unwatch()
		return reply(nc, p.Status, "")
	case !w.Writer:
		return w.read(nc, a, unwatch)
	}
	return w.write(nc, a, p, wait, unwatch)
}

func (w *Worker) read(nc net.Conn, a *Arrival, unwatch func()) bool {
	f := w.fleet
	f.mu.Lock()
	f.hold(a.ID, w.Member.ID)
	f.mu.Unlock()
	f.c.Note("%s: %s read; the state waits", w.Member.ID, a.ID)
	unwatch()
	return reply(nc, 202, `{"cached_tokens":0}`)
}

func (w *Worker) write(nc net.Conn, a *Arrival, p Plan, wait func(time.Duration) bool, unwatch func()) bool {
	f := w.fleet
	f.mu.Lock()
	newest := f.taken[a.ID]
	if newest != "" { // the state is fetched, and its reader's memory let go
		delete(f.taken, a.ID)
		f.runs[a.ID] = append(f.runs[a.ID], w.Member.ID)
	}
	f.mu.Unlock()
	if newest == "" {
		f.c.Note("%s: %s has no state", w.Member.ID, a.ID)
		unwatch()
		return reply(nc, 410, "")
	}
	f.c.Note("%s: %s streams, state from %s", w.Member.ID, a.ID, newest)
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := range p.Events {
		if n > 0 && !wait(p.Interval) {
			return false
		}
		if !event(nc, fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":"%s/%d"},"finish_reason":null}]}`, a.ID, n)) {
			return false
		}
	}
	event(nc, "[DONE]")
	unwatch()
	_, err := io.WriteString(nc, "0\r\n\r\n")
	f.c.Note("%s: %s stream ended", w.Member.ID, a.ID)
	return err == nil
}

func event(nc net.Conn, data string) bool {
	text := "data: " + data + "\n\n"
	_, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

func reply(nc net.Conn, status int, body string) bool {
	extra := ""
	if status == 503 || status == 410 {
		extra = "X-Unprocessed: 1\r\n"
	}
	if status != 204 {
		extra += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(nc, "HTTP/1.1 %d Status\r\n%s\r\n%s", status, extra, body)
	return err == nil
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}
