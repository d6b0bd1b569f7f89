package soak

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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mintdoor/internal/platform"
	standin "mintdoor/internal/standin/chat"
)

// Program is how a router is started: what follows has to be the platform's router.
type Program struct {
	Path string
	Args []string
	Env  []string // added to the environment
}

// ProcessRun is one run of a router's process, with times as seen from outside; zero times have not come.
type ProcessRun struct {
	Started, Ready time.Time
	Terminated     time.Time // SIGTERM was sent
	Killed         time.Time // SIGKILL was sent
	Exited         time.Time
	ExitCode       int
	Signaled       bool // it was ended by a signal
	Pauses         []Pause
	Violations     []string // lines of its own checks
	Panics         []string
}

// Pause is a time in which the process did not run.
type Pause struct{ From, Until time.Time }

// Router is one router's place: its name and address last over restarts of its process.
type Router struct {
	Index int
	Addr  string
	world *Testbed

	mu     sync.Mutex
	config config
	agent  *standin.Agent
	cmd    *exec.Cmd
	life   *ProcessRun
	past   []*ProcessRun
	done   chan struct{} // closed when the process has ended
	log    *os.File
}

// Start starts the process. It may be called again when the process has ended.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != nil && r.life.Exited.IsZero() {
		return fmt.Errorf("router %d runs already", r.Index)
	}
	p := r.world.opts.Program
	r.config.Seed = strconv.FormatUint(uint64(time.Now().UnixNano()), 16)
	if err := r.writeConfig(); err != nil {
		return err
	}
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(append(os.Environ(), p.Env...), "PROXY_CONFIG="+r.configPath(), "PROXY_NAME="+r.config.Name,
		"PROXY_LISTEN="+r.Addr, "PROXY_DISCOVERY="+r.config.Discovery)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("router %d: %w", r.Index, err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("router %d: %w", r.Index, err)
	}
	r.cmd, r.life, r.done = cmd, &ProcessRun{Started: time.Now()}, make(chan struct{})
	r.past = append(r.past, r.life)
	go r.attend(cmd, stderr, r.life, r.done)
	return nil
}

// attend reads a process's log until it ends.
func (r *Router) attend(cmd *exec.Cmd, log io.Reader, life *ProcessRun, done chan struct{}) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		r.line(life, lines.Text())
	}
	io.Copy(io.Discard, log) // after a line that is too long
	err := cmd.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	life.Exited = time.Now()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		life.ExitCode = exit.ExitCode()
		if status, ok := exit.Sys().(syscall.WaitStatus); ok {
			life.Signaled = status.Signaled()
		}
	}
	close(done)
}

func (r *Router) line(life *ProcessRun, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log != nil {
		fmt.Fprintln(r.log, text)
	}
	switch {
	case strings.Contains(text, `msg="rule violated"`):
		life.Violations = append(life.Violations, text)
	case strings.Contains(text, "panic"):
		life.Panics = append(life.Panics, text)
	}
}

func (r *Router) configPath() string {
	return filepath.Join(r.world.opts.ConfigDir, r.config.Name+".json")
}

func (r *Router) writeConfig() error {
	b, err := json.Marshal(&r.config)
	if err != nil {
		return err
	}
	temp := r.configPath() + ".new"
	if err := os.WriteFile(temp, b, 0o600); err != nil {
		return err
	}
	return os.Rename(temp, r.configPath())
}

// Signal sends a signal to the process, and notes what matters for its rules.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil || !r.life.Exited.IsZero() {
		return
	}
	now := time.Now()
	switch s {
	case syscall.SIGTERM:
		if r.life.Terminated.IsZero() {
			r.life.Terminated = now
		}
	case syscall.SIGKILL:
		if r.life.Killed.IsZero() {
			r.life.Killed = now
		}
	case syscall.SIGSTOP:
		r.life.Pauses = append(r.life.Pauses, Pause{From: now})
	case syscall.SIGCONT:
		if n := len(r.life.Pauses); n > 0 && r.life.Pauses[n-1].Until.IsZero() {
			r.life.Pauses[n-1].Until = now
		}
	}
	r.cmd.Process.Signal(s)
}

// terminateAgain sends SIGTERM to a process that was told to end before, and not to one that has come for it.
func (r *Router) terminateAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != nil && r.life.Exited.IsZero() && !r.life.Terminated.IsZero() {
		r.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// readyFor tells whether the process that runs now has been ready for some time.
func (r *Router) readyFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life != nil && r.life.Exited.IsZero() && !r.life.Ready.IsZero() && time.Since(r.life.Ready) >= d
}

// Wait waits until the process has ended.
func (r *Router) Wait() {
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Ended returns a channel that is closed when the process has ended.
func (r *Router) Ended() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

// CurrentAgent is the agent of which the router was told last.
func (r *Router) CurrentAgent() *standin.Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agent
}

// UseAgent tells the router of another agent with SIGHUP.
func (r *Router) UseAgent(a *standin.Agent) error {
	r.mu.Lock()
	r.config.Discovery = a.Addr()
	r.agent = a
	err := r.writeConfig()
	r.mu.Unlock()
	if err == nil {
		r.Signal(syscall.SIGHUP)
	}
	return err
}

// Runs returns copies of all runs of the process so far.
func (r *Router) Runs() []ProcessRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []ProcessRun
	for _, l := range r.past {
		copied := *l
		copied.Pauses = append([]Pause(nil), l.Pauses...)
		out = append(out, copied)
	}
	return out
}

// readyPoll is the time between two looks at whether a router is ready.
const readyPoll = 10 * time.Millisecond

// AwaitReady waits until the router says that it is ready, or has ended.
func (r *Router) AwaitReady(within time.Duration) error {
	ended := r.Ended()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(readyPoll) {
		select {
		case <-ended:
			return fmt.Errorf("router %d ended before it was ready", r.Index)
		default:
		}
		if r.up() {
			r.mu.Lock()
			r.life.Ready = time.Now()
			r.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("router %d was not ready within %v", r.Index, within)
}

func (r *Router) up() bool {
	c, err := net.DialTimeout("tcp", r.Addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "GET "+platform.ReadyPath+" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
