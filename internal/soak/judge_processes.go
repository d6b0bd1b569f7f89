package soak

// Checks of how processes ended and what they have logged.

import (
	"fmt"
)

// checkProcesses checks how the routers' processes ended, and what violations and panics they have logged.
func (e *evidence) checkProcesses() (out []Finding) {
	for _, text := range e.failedStarts {
		out = append(out, Finding{Rule: ruleProcess, Text: text})
	}
	for router, lives := range e.runs {
		for i := range lives {
			l := &lives[i]
			add := func(rule, text string) {
				out = append(out, Finding{Rule: rule, Router: router, At: e.sinceStart(l.Started), Text: text})
			}
			for _, text := range l.Violations {
				add(ruleGuard, text)
			}
			for _, text := range l.Panics {
				add(ruleProcess, text)
			}
			switch {
			case l.Exited.IsZero(), !l.Killed.IsZero():
			case l.Terminated.IsZero():
				add(ruleProcess, fmt.Sprintf("ended without a signal, status %d", l.ExitCode))
			case l.ExitCode != 0 || l.Signaled:
				add(ruleProcess, fmt.Sprintf("ended with status %d after SIGTERM", l.ExitCode))
			}
		}
	}
	return out
}
