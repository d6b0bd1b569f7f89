package soak

// Checks of how processes ended and what they have logged.

import (
	"fmt"
)

// checkProcesses checks how the routers' processes ended, and what violations and panics they have logged.
func (e *evidence) checkProcesses() (out []Finding) {
	for _, text := range e.routerFailures {
		out = append(out, Finding{Rule: ruleProcess, Text: text})
	}
	for router, runs := range e.runs {
		for i := range runs {
			run := &runs[i]
			add := func(rule, text string) {
				out = append(out, Finding{Rule: rule, Router: router, At: e.sinceStart(run.Started), Text: text})
			}
			for _, text := range run.Violations {
				add(ruleGuard, text)
			}
			if e.memoryLimit > 0 && run.PeakMemory > e.memoryLimit {
				add(ruleMemory, fmt.Sprintf("up to %d MB; the limit is %d MB", run.PeakMemory>>20, e.memoryLimit>>20))
			}
			for _, text := range run.Panics {
				add(ruleProcess, text)
			}
			switch {
			case run.Exited.IsZero(), !run.Killed.IsZero():
			case run.Terminated.IsZero():
				add(ruleProcess, fmt.Sprintf("ended without a signal, status %d", run.ExitCode))
			case run.ExitCode != 0 || run.Signaled:
				add(ruleProcess, fmt.Sprintf("ended with status %d after SIGTERM", run.ExitCode))
			}
		}
	}
	return out
}
