package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// memoryCheckInterval is the time between two looks at the memory of the routers.
const memoryCheckInterval = 200 * time.Millisecond

// watchMemory records the most memory that each process of a router has, until ctx ends.
func (tb *Testbed) watchMemory(ctx context.Context) {
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	for {
		for _, r := range tb.Routers {
			r.recordMemory()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// recordMemory records the peak memory of the router's current process.
func (r *Router) recordMemory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.run == nil || !r.run.Exited.IsZero() {
		return
	}
	if peak, err := PeakMemory(r.cmd.Process.Pid); err == nil {
		r.run.PeakMemory = max(r.run.PeakMemory, peak)
	}
}

// PeakMemory returns the most memory that a process has had, in bytes.
func PeakMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	if !found {
		return 0, fmt.Errorf("process %d has no memory", pid)
	}
	number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, err := strconv.ParseInt(number, 10, 64)
	return kilobytes << 10, err
}
