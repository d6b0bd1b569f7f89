// Package kit has the small stand-ins that the cases of the review share: workers, a discovery agent and clients that
// speak the platform's protocol (PROTOCOL.md), and the start of real routers by the command of the deploy file. Nothing
// in it judges; the cases do.
package kit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the record of a run: one line for each thing that was sent, answered or run.
type Record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		CannotRun("record: %v", err)
	}
	return &Record{w: bufio.NewWriter(f), f: f, start: time.Now()}
}

// Add adds a line with the time since the start of the run.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}

// CannotRun ends the program with the status of a case that could not run.
func CannotRun(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	for _, r := range routers {
		r.Kill()
	}
	os.Exit(2)
}

// Trouble reports whether the run has the disruption; TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Member is an entry of discovery's list.
type Member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	SinceMS int64   `json:"up_since_ms"`
}

// List is an answer of discovery.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Agent is a discovery agent. Delay is how long it takes for each answer. If Crowded is set, it works on one call at a
// time and turns others away with 503. Both are set before the first call.
type Agent struct {
	Addr    string
	Delay   time.Duration
	Crowded bool

	rec     *Record
	mu      sync.Mutex
	list    List // all members, removed ones included
	changed chan struct{}
	changes map[string]int64 // revision of each member's last change
	open    int
}

// NewAgent starts an agent.
func NewAgent(rec *Record, members ...Member) *Agent {
	l := Listen()
	a := &Agent{Addr: l.Addr().String(), rec: rec, list: List{Revision: 41, Members: members}, changed: make(chan struct{}), changes: map[string]int64{}}
	go http.Serve(l, http.HandlerFunc(a.serve))
	return a
}

// Put changes a member.
func (a *Agent) Put(m Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.Revision++
	a.changes[m.ID] = a.list.Revision
	found := false
	for i := range a.list.Members {
		if a.list.Members[i].ID == m.ID {
			a.list.Members[i], found = m, true
		}
	}
	if !found {
		a.list.Members = append(a.list.Members, m)
	}
	a.rec.Add("discovery has revision %d: %s is %s", a.list.Revision, m.ID, m.Phase)
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.open++
	tooMany := a.Crowded && a.open > 1
	a.mu.Unlock()
	defer func() { a.mu.Lock(); a.open--; a.mu.Unlock() }()
	if tooMany {
		a.rec.Add("discovery: %s is turned away, another call is being answered", r.URL.RequestURI())
		w.WriteHeader(503)
		return
	}
	since, timeout := int64(-1), 0
	if v := r.URL.Query().Get("since"); v != "" {
		fmt.Sscan(v, &since)
		fmt.Sscan(r.URL.Query().Get("timeout_ms"), &timeout)
	}
	end := time.After(time.Duration(timeout) * time.Millisecond)
	for waited := since < 0; ; {
		a.mu.Lock()
		out := List{Revision: a.list.Revision, Complete: since < 0, Members: []Member{}}
		for _, m := range a.list.Members {
			if since < 0 && m.Phase != "removed" || since >= 0 && a.changes[m.ID] > since {
				out.Members = append(out.Members, m)
			}
		}
		changed := a.changed
		a.mu.Unlock()
		if waited || len(out.Members) > 0 {
			select {
			case <-time.After(a.Delay):
			case <-r.Context().Done():
				a.rec.Add("discovery: the call %s was given up before its answer", r.URL.RequestURI())
				return
			}
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(out)
			a.rec.Add("discovery: %s answered with revision %d", r.URL.RequestURI(), out.Revision)
			return
		}
		select {
		case <-changed:
		case <-end:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// Listen listens on a free port of the loopback address.
func Listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun("listen: %v", err)
	}
	return l
}

// Router is a router process.
type Router struct {
	Addr string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
	dir  string
	cfg  map[string]any
}

var routers []*Router

// RunCommand returns the entry 'run' of the deploy file.
func RunCommand() string {
	b, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		CannotRun("%v", err)
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command
		}
	}
	CannotRun("deploy/balancer.toml has no run")
	return ""
}

// StartRouter starts a router with the settings, its cached list and its discovery. dir is a temporary folder.
func StartRouter(dir, name, discovery string, known List, settings map[string]any) *Router {
	l := Listen()
	addr := l.Addr().String()
	l.Close()
	r := &Router{Addr: addr, dir: dir, cfg: map[string]any{"name": name, "listen": addr, "discovery": discovery,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512},
		"known": known, "settings": settings}}
	config := filepath.Join(dir, name+".json")
	b, _ := json.Marshal(r.cfg)
	if err := os.WriteFile(config, b, 0o600); err != nil {
		CannotRun("%v", err)
	}
	r.cmd = exec.Command("/bin/sh", "-c", RunCommand())
	r.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config, "PROXY_NAME="+name, "PROXY_LISTEN="+addr, "PROXY_DISCOVERY="+discovery)
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if r.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		CannotRun("%v", err)
	}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	if err := r.cmd.Start(); err != nil {
		CannotRun("%v", err)
	}
	r.done = make(chan struct{})
	go func() { r.cmd.Wait(); close(r.done) }()
	routers = append(routers, r)
	return r
}

// Ready reports whether GET /up answers 200.
func (r *Router) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + r.Addr + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// AwaitReady waits until the router is ready and reports whether it got so in time.
func (r *Router) AwaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.Ready() {
			return true
		}
	}
	return false
}

// Ended reports whether the process has ended.
func (r *Router) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal.
func (r *Router) Signal(s syscall.Signal) { r.cmd.Process.Signal(s) }

// Kill ends the process and waits for it.
func (r *Router) Kill() {
	r.cmd.Process.Kill()
	<-r.done
	r.log.Close()
}

// KillAll ends all routers.
func KillAll() {
	for _, r := range routers {
		r.Kill()
	}
}

// LogLines returns how many lines of the router's log contain a text.
func (r *Router) LogLines(text string) int {
	b, _ := os.ReadFile(r.log.Name())
	return strings.Count(string(b), text)
}

// Settings returns the settings of a small deployment with the figures of kit/sites/karachi-mandi.toml. routers is the
// number of routers, index that of this one.
func Settings(routers, index int) map[string]any {
	m := func(pairs ...any) map[string]any {
		out := map[string]any{}
		for i := 0; i < len(pairs); i += 2 {
			out[pairs[i].(string)] = pairs[i+1]
		}
		return out
	}
	const ms = 1_000_000
	return m("instances", routers, "index", index, "zone", 0, "dcs", []string{"korangi-hall"}, "hostTypes", []string{"prefill", "decode-a"},
		"membershipMode", "push", "feedback", m("how", "pull", "names", []string{"lat_ms", "x0", "x1"}),
		"familyInfo", m("letGoByNs", 1000*ms, "kindRole", []string{"read", "write"}, "tokensByKind", []int{245_000, 165_000},
			"tokenAimNs", []int{60 * ms, 80 * ms}, "aimUsPer1000PromptTokens", []int{40_000, 120_000}, "crossCellPrice", 0.04,
			"mayReserve", true, "resume", false, "localRead", false),
		"fees", m("probe", 0.0026, "waste", 0.089, "lateFail", 0.081, "crossZone", 0.02),
		"obligations", m("graceToAnswerNs", 16*ms, "drainGraceNs", 1000*ms, "fallMultiple", 2.5, "overloadForNs", 1000*ms,
			"startCapacity", 0.27, "coldNs", 14_000*ms),
		"permissions", m("probing", true, "mayCancel", true, "maxAttempts", 6, "dialTimeoutNs", 250*ms, "retryAfter", true,
			"maxRetryAfterNs", 500*ms, "connIdleNs", 15_000*ms, "secondCopies", false),
		"requestClasses", []any{
			m("name", "price-ask", "aimNs", 1200*ms, "deadlineNs", 6000*ms, "value", 1, "lateWorth", 0.3, "repeat", "safe", "stream", true),
			m("name", "pen-booking", "aimNs", 2500*ms, "deadlineNs", 12_000*ms, "value", 3, "lateWorth", 0.2, "repeat", "unsafe", "stream", true)})
}

// RequestBytes returns a client's request as it stands on the wire.
func RequestBytes(id, class, session string, left time.Duration) string {
	body := `{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"` + strings.Repeat("rate of bulls ", 40) + `"}]}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nContent-Type: application/json\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Session-Key: %s\r\nX-Time-Left-Ms: %d\r\nX-Facts: prompt_len=1200,max_out=200\r\nContent-Length: %d\r\n\r\n%s",
		id, class, session, left.Milliseconds(), len(body), body)
}

// Answer is a client's view of an answer.
type Answer struct {
	Status   int
	Events   []string  // data lines
	Whole    bool      // read to its end
	Begin    time.Time // when its head had come
	End      time.Time
	Err      error
	WillOpen bool // the connection stays open
}

// ReadAnswer reads the answer to one request.
func ReadAnswer(br *bufio.Reader) Answer {
	var a Answer
	resp, err := http.ReadResponse(br, nil)
	a.Begin = time.Now()
	if err != nil {
		a.Err, a.End = err, time.Now()
		return a
	}
	a.Status = resp.StatusCode
	b, err := io.ReadAll(resp.Body)
	a.Err, a.Whole, a.End, a.WillOpen = err, err == nil, time.Now(), !resp.Close
	for _, line := range strings.Split(string(b), "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			a.Events = append(a.Events, data)
		}
	}
	return a
}

// IsTimeout reports whether an error is a deadline.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
