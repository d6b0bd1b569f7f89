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

// Program is the command that starts a router of the platform.
type Program struct {
	Path string
	Args []string
	Env  []string // added to the environment
}

// ProcessRun is one run of a router's process, as seen from outside. A time is zero if the event has not happened.
type ProcessRun struct {
	Started, Ready time.Time
	Terminated     time.Time // when SIGTERM was first sent
	Killed         time.Time // when SIGKILL was first sent
	Exited         time.Time
	ExitCode       int
	Signaled       bool  // it was ended by a signal
	PeakMemory     int64 // in bytes
	Pauses         []Pause
	Violations     []string // log lines of violations that the process has found itself
	Panics         []string
}

// Pause is an interval in which the process did not run.
type Pause struct{ From, Until time.Time }

// Router is one router. Its name and address stay the same over restarts of its process.
type Router struct {
	Index   int
	Addr    string
	testbed *Testbed

	mu     sync.Mutex
	config config
	agent  *standin.Agent
	cmd    *exec.Cmd
	run    *ProcessRun
	runs   []*ProcessRun
	done   chan struct{} // closed when the process has ended
	log    *os.File
}

// Start starts the process. It may be called again when the process has ended.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.run != nil && r.run.Exited.IsZero() {
		return fmt.Errorf("router %d is already running", r.Index)
	}
	p := r.testbed.opts.Program
	r.config.Seed = strconv.FormatUint(uint64(time.Now().UnixNano()), 16)
	r.config.Known = r.testbed.lastReported(r.Index)
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
	r.cmd, r.run, r.done = cmd, &ProcessRun{Started: time.Now()}, make(chan struct{})
	r.runs = append(r.runs, r.run)
	go r.watchProcess(cmd, stderr, r.run, r.done)
	return nil
}

// watchProcess reads a process's log until the process ends.
func (r *Router) watchProcess(cmd *exec.Cmd, log io.Reader, run *ProcessRun, done chan struct{}) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		r.handleLogLine(run, lines.Text())
	}
	io.Copy(io.Discard, log) // after a line that is too long
	err := cmd.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Exited = time.Now()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		run.ExitCode = exit.ExitCode()
		if status, ok := exit.Sys().(syscall.WaitStatus); ok {
			run.Signaled = status.Signaled()
		}
	}
	close(done)
}

// handleLogLine writes a log line to the router's log file, and collects violations and panics.
func (r *Router) handleLogLine(run *ProcessRun, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log != nil {
		fmt.Fprintln(r.log, text)
	}
	switch {
	case strings.Contains(text, `msg="rule violated"`):
		run.Violations = append(run.Violations, text)
	case strings.Contains(text, "panic"):
		run.Panics = append(run.Panics, text)
	}
}

// configPath returns the path of the router's configuration file.
func (r *Router) configPath() string {
	return filepath.Join(r.testbed.opts.ConfigDir, r.config.Name+".json")
}

// writeConfig replaces the router's configuration file atomically.
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

// Signal sends a signal to the process, and records the signals that the invariants depend on.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.run == nil || !r.run.Exited.IsZero() {
		return
	}
	now := time.Now()
	switch s {
	case syscall.SIGTERM:
		if r.run.Terminated.IsZero() {
			r.run.Terminated = now
		}
	case syscall.SIGKILL:
		if r.run.Killed.IsZero() {
			r.run.Killed = now
		}
	case syscall.SIGSTOP:
		r.run.Pauses = append(r.run.Pauses, Pause{From: now})
	case syscall.SIGCONT:
		if n := len(r.run.Pauses); n > 0 && r.run.Pauses[n-1].Until.IsZero() {
			r.run.Pauses[n-1].Until = now
		}
	}
	r.cmd.Process.Signal(s)
}

// terminateAgain sends SIGTERM once more to a process that has already received one. It does nothing if a new process
// has replaced that one.
func (r *Router) terminateAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.run != nil && r.run.Exited.IsZero() && !r.run.Terminated.IsZero() {
		r.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// readyFor reports whether the current process has been ready for at least d.
func (r *Router) readyFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.run != nil && r.run.Exited.IsZero() && !r.run.Ready.IsZero() && time.Since(r.run.Ready) >= d
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

// CurrentAgent returns the agent that the router was last configured with.
func (r *Router) CurrentAgent() *standin.Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agent
}

// UseAgent configures the router with another agent and sends SIGHUP.
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
	for _, run := range r.runs {
		copied := *run
		copied.Pauses = append([]Pause(nil), run.Pauses...)
		out = append(out, copied)
	}
	return out
}

// readyCheckInterval is the time between two checks of whether a router is ready.
const readyCheckInterval = 10 * time.Millisecond

// AwaitReady waits until the router reports that it is ready. It returns an error if the router has ended or time
// runs out.
func (r *Router) AwaitReady(timeout time.Duration) error {
	ended := r.Ended()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(readyCheckInterval) {
		select {
		case <-ended:
			return fmt.Errorf("router %d ended before it was ready", r.Index)
		default:
		}
		if r.isReady() {
			r.mu.Lock()
			r.run.Ready = time.Now()
			r.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("router %d was not ready within %v", r.Index, timeout)
}

// isReady asks the router whether it is ready.
func (r *Router) isReady() bool {
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
