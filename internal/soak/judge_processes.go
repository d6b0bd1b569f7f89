package soak

// How processes ended, and what they say of themselves.

import (
	"fmt"
)

// processes checks how the routers' processes ended, and what they say of themselves.
func (e *evidence) processes() (out []Finding) {
	for _, text := range e.failed {
		out = append(out, Finding{Rule: ruleProcess, Text: text})
	}
	for router, lives := range e.lives {
		for i := range lives {
			l := &lives[i]
			add := func(rule, text string) {
				out = append(out, Finding{Rule: rule, Router: router, At: e.at(l.Started), Text: text})
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
				add(ruleProcess, fmt.Sprintf("ended by itself, status %d", l.ExitCode))
			case l.ExitCode != 0 || l.Signaled:
				add(ruleProcess, fmt.Sprintf("ended with status %d after SIGTERM", l.ExitCode))
			}
		}
	}
	return out
}
