// Package kit2 has what the cases 6 to 10 of the review share: the record, the routers as processes, and stand-ins for
// discovery's agent, the workers and the clients of the platform. All addresses are loopback addresses.
package kit2

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case.
type Case struct {
	Trouble bool
	Dir     string // temporary folder
	start   time.Time

	mu      sync.Mutex
	record  *os.File
	routers []*Router
	broken  []string
}

// NewCase opens record.txt in the working folder. TROUBLE=0 leaves the disruption out.
func NewCase() *Case {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	f, err := os.Create("record.txt")
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, start: time.Now(), record: f}
	c.Note("trouble: %v", c.Trouble)
	return c
}

// Note writes a line with its time to the record.
func (c *Case) Note(format string, args ...any) {
	c.NoteAt(time.Now(), format, args...)
}

// NoteAt writes a line about an earlier time.
func (c *Case) NoteAt(at time.Time, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", at.Sub(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// Break notes that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Note("BROKEN: %s", text)
	c.mu.Lock()
	c.broken = append(c.broken, text)
	c.mu.Unlock()
}

// Abort ends a case that could not run.
func (c *Case) Abort(format string, args ...any) {
	c.Note("not run: "+format, args...)
	fmt.Printf("not run: "+format+"\n", args...)
	c.close()
	os.Exit(NotRun)
}

// Check aborts the case on an error.
func (c *Case) Check(err error) {
	if err != nil {
		c.Abort("%v", err)
	}
}

// End ends the case with the exit code of its result.
func (c *Case) End() {
	c.close()
	if len(c.broken) > 0 {
		for _, b := range c.broken {
			fmt.Println("rule broken:", b)
		}
		os.Exit(Broken)
	}
	fmt.Println("rule held")
	os.Exit(Held)
}

func (c *Case) close() {
	for _, r := range c.routers {
		r.Kill()
	}
	os.RemoveAll(c.Dir)
	c.record.Close()
}

// FreeAddr returns a free loopback address.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Class is a request class of the settings.
type Class struct {
	Name     string        `json:"name"`
	Aim      time.Duration `json:"aimNs"`
	Deadline time.Duration `json:"deadlineNs"`
	Value    float64       `json:"value"`
	Late     float64       `json:"lateWorth"`
	Repeat   string        `json:"repeat"`
	Scope    string        `json:"keyScope,omitempty"`
	Window   time.Duration `json:"windowNs,omitempty"`
}

// The classes of karachi-mandi.
const (
	PriceAsk   = "price-ask"   // safe to repeat
	PenBooking = "pen-booking" // must never run twice
)

// SmallSettings returns the settings of a deployment like karachi-mandi.
func SmallSettings(routers, index int) map[string]any {
	return map[string]any{
		"instances": routers, "index": index, "zone": 0, "dcs": []string{"korangi-hall", "saddar-hall"},
		"hostTypes": []string{"prefill", "decode-a"}, "membershipMode": "push",
		"feedback": map[string]any{"how": "pull", "names": []string{"lat_ms", "x0", "x1"}},
		"familyInfo": map[string]any{"letGoByNs": time.Second, "kindRole": []string{"read", "write"}, "mayReserve": true,
			"tokensByKind": []int{240_000, 160_000}, "tokenAimNs": []time.Duration{60 * time.Millisecond, 80 * time.Millisecond},
			"aimUsPer1000PromptTokens": []int{40_000, 120_000}, "resume": false, "localRead": false},
		"fees": map[string]any{"probe": 0.0026, "waste": 0.089, "lateFail": 0.081, "crossZone": 0.02},
		"obligations": map[string]any{"graceToAnswerNs": 16 * time.Millisecond, "drainGraceNs": time.Second, "fallMultiple": 2.5,
			"overloadForNs": time.Second, "startCapacity": 0.27, "coldNs": 14 * time.Second},
		"permissions": map[string]any{"probing": true, "mayCancel": true, "maxAttempts": 6, "dialTimeoutNs": 250 * time.Millisecond,
			"retryAfter": true, "maxRetryAfterNs": 500 * time.Millisecond, "connIdleNs": 15 * time.Second, "secondCopies": false},
		"requestClasses": []Class{
			{Name: PriceAsk, Aim: 1200 * time.Millisecond, Deadline: 6 * time.Second, Value: 1, Late: 0.25, Repeat: "safe"},
			{Name: PenBooking, Aim: 2500 * time.Millisecond, Deadline: 12 * time.Second, Value: 3, Late: 0.25, Repeat: "unsafe"},
		},
	}
}

// Router is one router process.
type Router struct {
	Name, Addr string
	cmd        *exec.Cmd
	done       chan struct{}
	ended      time.Time
	c          *Case
	config     map[string]any
	path       string
}

// NewRouter prepares a router with the settings.
func (c *Case) NewRouter(name string, settings map[string]any, agent *Agent) *Router {
	addr, err := FreeAddr()
	c.Check(err)
	r := &Router{Name: name, Addr: addr, c: c, path: filepath.Join(c.Dir, name+".json")}
	r.config = map[string]any{"name": name, "listen": addr, "discovery": agent.Addr(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": agent.Complete(), "settings": settings}
	c.mu.Lock()
	c.routers = append(c.routers, r)
	c.mu.Unlock()
	return r
}

func (r *Router) writeConfig() {
	b, err := json.Marshal(r.config)
	r.c.Check(err)
	r.c.Check(os.WriteFile(r.path+".new", b, 0o600))
	r.c.Check(os.Rename(r.path+".new", r.path))
}

// Set changes a key of the configuration; it takes effect with the next start or SIGHUP.
func (r *Router) Set(key string, v any) { r.config[key] = v }

// Reload writes the configuration and sends SIGHUP.
func (r *Router) Reload() {
	r.writeConfig()
	r.c.Note("%s: SIGHUP", r.Name)
	r.cmd.Process.Signal(syscall.SIGHUP)
}

// Start starts the process with the command of the deploy file, from the repository's root.
func (r *Router) Start() {
	r.writeConfig()
	log, err := os.Create(filepath.Join(r.c.Dir, r.Name+".log"))
	r.c.Check(err)
	r.cmd = exec.Command("/bin/sh", "-c", "exec bin/mintdoor node")
	r.cmd.Dir = Root()
	r.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+r.path, "PROXY_NAME="+r.Name, "PROXY_LISTEN="+r.Addr,
		"PROXY_DISCOVERY="+fmt.Sprint(r.config["discovery"]))
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.c.Check(r.cmd.Start())
	r.c.Note("%s: started at %s", r.Name, r.Addr)
	done := make(chan struct{})
	cmd := r.cmd
	r.done = done
	go func() {
		err := cmd.Wait()
		r.ended = time.Now()
		r.c.Note("%s: ended: %v", r.Name, err)
		log.Close()
		close(done)
	}()
}

// AwaitReady waits until GET /up answers 200.
func (r *Router) AwaitReady() {
	if !r.ReadyBy(time.Now().Add(20 * time.Second)) {
		r.c.Abort("%s was not ready", r.Name)
	}
}

// ReadyBy waits until GET /up answers 200, and returns false if it has not by end.
func (r *Router) ReadyBy(end time.Time) bool {
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cl, err := Dial(r.Addr); err == nil {
			cl.Write("GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			a := cl.Read(time.Now().Add(time.Second))
			cl.Close()
			if a.Status == 200 {
				r.c.Note("%s: ready", r.Name)
				return true
			}
		}
	}
	return false
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.c.Note("%s: %v", r.Name, s)
	r.cmd.Process.Signal(s)
}

// Ended returns a channel that is closed when the process has ended.
func (r *Router) Ended() <-chan struct{} { return r.done }

// Kill ends the process.
func (r *Router) Kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	select {
	case <-r.done:
		return
	default:
	}
	r.cmd.Process.Kill()
	<-r.done
}

// Log returns what the process has logged so far.
func (r *Router) Log() string {
	b, _ := os.ReadFile(filepath.Join(r.c.Dir, r.Name+".log"))
	return string(b)
}

// Root returns the repository's root: the first folder above that has a go.mod.
func Root() string {
	dir, _ := os.Getwd()
	for dir != "/" {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		dir = filepath.Dir(dir)
	}
	return "."
}

// Pid returns the process's id.
func (r *Router) Pid() int { return r.cmd.Process.Pid }
