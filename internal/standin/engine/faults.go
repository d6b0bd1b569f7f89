package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a trouble on command. The kinds are those of the bench that strike engines; those that strike
// clients, routers or the list are played by whoever drives them.
type Fault struct {
	Kind     string        `json:"kind"`
	Duration time.Duration `json:"for"`
	Size     float64       `json:"size"`            // a factor or a share, by kind
	Class    string        `json:"class,omitempty"` // class_fail, throttle
	Mode     string        `json:"how,omitempty"`   // class_fail: error or silence
}

// FaultKinds are the faults that an engine can play, with what Size means.
var FaultKinds = map[string]string{
	"crash":          "the process dies at once and comes back cold",
	"vanish":         "no answer, no reset; comes back cold",
	"slow":           "Size times slower",
	"fast_errors":    "share Size fails at once",
	"throttle":       "share Size of one class is turned away as full",
	"class_fail":     "share Size of one class fails or is left unanswered (How)",
	"ageing":         "slower and slower, up to Size times, then a crash",
	"pauses":         "stands still for Size seconds in each of its seconds",
	"preempt":        "refuses new work, is gone after Size seconds and comes back cold",
	"origin_slow":    "states move Size times slower",
	"handshake_slow": "a new connection waits Size seconds",
	"report_late":    "load reports come Size seconds later",
	"half_frame":     "share Size of the answers stops in the middle of an event",
	"two_answers":    "share Size is answered twice",
	"wrong_id":       "share Size is answered with another id",
	"role_refuse":    "refuses changes of role",
	"role_hang":      "stays in a change of role until the fault is over",
	"role_die":       "the process dies in a change of role, and comes back after Size seconds in its old role",
	"role_old":       "comes out of a change in its old role",
	"long_headers":   "share Size is answered with headers without end",
}

// Check tells what is wrong with a fault.
func (f *Fault) Check() error {
	switch {
	case FaultKinds[f.Kind] == "":
		return fmt.Errorf("there is no fault %q", f.Kind)
	case f.Duration <= 0:
		return fmt.Errorf("fault %s: its time must be over 0", f.Kind)
	case f.Size < 0 || f.Size != f.Size:
		return fmt.Errorf("fault %s: its size must not be negative", f.Kind)
	case f.Mode != "" && f.Mode != "error" && f.Mode != "silence":
		return fmt.Errorf("fault %s: how is error or silence", f.Kind)
	}
	return nil
}

// active is a fault that is being played.
type active struct {
	Fault
	from, until time.Time
}

// faults are all that are being played, singly or overlapping. The server's lock guards them.
type faults struct {
	list []active
	rng  *rand.Rand
}

func (f *faults) add(x Fault, now time.Time) {
	f.list = append(f.list, active{x, now, now.Add(x.Duration)})
}

func (f *faults) clear(kind string) {
	f.list = slices.DeleteFunc(f.list, func(a active) bool { return kind == "" || a.Kind == kind })
}

// each calls fn for the faults of a kind that are on.
func (f *faults) each(kind string, now time.Time, fn func(*active)) {
	for i := range f.list {
		if a := &f.list[i]; a.Kind == kind && now.Before(a.until) {
			fn(a)
		}
	}
}

// largest is the largest size of the faults of a kind that are on, or none.
func (f *faults) largest(kind string, none float64, now time.Time) float64 {
	size := none
	f.each(kind, now, func(a *active) { size = max(size, a.Size) })
	return size
}

// strikes draws whether a fault of a kind hits a request of a class, and returns it.
func (f *faults) strikes(kind, class string, now time.Time) (hit *active) {
	f.each(kind, now, func(a *active) {
		if (a.Class == "" || a.Class == class) && f.rng.Float64() < a.Size {
			hit = a
		}
	})
	return hit
}

// factor is how many times slower steps are now.
func (f *faults) factor(now time.Time) float64 {
	factor := f.largest("slow", 1, now)
	f.each("ageing", now, func(a *active) {
		lived := float64(now.Sub(a.from)) / float64(a.Duration)
		factor = max(factor, 1+(a.Size-1)*lived)
	})
	return factor
}

// pause is how long the engine stands still from now on.
func (f *faults) pause(now time.Time) (d time.Duration) {
	f.each("pauses", now, func(a *active) {
		into := now.Sub(a.from) % time.Second
		if still := time.Duration(a.Size * float64(time.Second)); into < still {
			d = max(d, still-into)
		}
	})
	return d
}
