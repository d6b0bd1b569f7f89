package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a fault to inject. The kinds are the engine faults of the external simulator (lbsim); faults of clients,
// routers or the engine list are injected by the caller.
type Fault struct {
	Kind     string        `json:"kind"`
	Duration time.Duration `json:"for"`
	Size     float64       `json:"size"`            // a factor, a fraction or seconds, depending on the kind
	Class    string        `json:"class,omitempty"` // for class_fail and throttle
	Mode     string        `json:"how,omitempty"`   // for class_fail: error or silence
}

// FaultKinds are the faults that an engine can inject, with the meaning of Size.
var FaultKinds = map[string]string{
	"crash":          "the process dies at once and restarts cold",
	"vanish":         "no answer and no reset; restarts cold",
	"slow":           "every step takes Size times as long",
	"fast_errors":    "a fraction Size of the requests fails at once",
	"throttle":       "a fraction Size of one class is refused as full",
	"class_fail":     "a fraction Size of one class fails or is left unanswered (Mode)",
	"ageing":         "becomes slower, up to Size times, then crashes",
	"pauses":         "pauses for Size seconds in each second",
	"preempt":        "refuses new work, dies after Size seconds and restarts cold",
	"origin_slow":    "KV states move Size times slower",
	"handshake_slow": "a new connection waits Size seconds before its first read",
	"report_late":    "load reports are Size seconds older",
	"half_frame":     "a fraction Size of the answers stops in the middle of an event",
	"two_answers":    "a fraction Size is answered twice",
	"wrong_id":       "a fraction Size is answered with another id",
	"role_refuse":    "refuses role changes",
	"role_hang":      "stays in a role change until the fault ends",
	"role_die":       "the process dies during a role change and restarts after Size seconds in its old role",
	"role_old":       "ends a role change in its old role",
	"long_headers":   "a fraction Size is answered with an endless header",
}

// Check returns an error if the fault is invalid. Its text is part of the answer on /control/fault.
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

// activeFault is a fault that is being injected.
type activeFault struct {
	Fault
	from, until time.Time
}

// faultSet holds all faults that are being injected, which may overlap. The server's lock guards it.
type faultSet struct {
	list []activeFault
	rng  *rand.Rand
}

// add begins a fault.
func (f *faultSet) add(x Fault, now time.Time) {
	f.list = append(f.list, activeFault{x, now, now.Add(x.Duration)})
}

// clear ends the faults of a kind, or all faults if kind is empty.
func (f *faultSet) clear(kind string) {
	f.list = slices.DeleteFunc(f.list, func(a activeFault) bool { return kind == "" || a.Kind == kind })
}

// each calls fn for the active faults of a kind.
func (f *faultSet) each(kind string, now time.Time, fn func(*activeFault)) {
	for i := range f.list {
		if a := &f.list[i]; a.Kind == kind && now.Before(a.until) {
			fn(a)
		}
	}
}

// maxSize returns the largest size of the active faults of a kind, or byDefault if there are none.
func (f *faultSet) maxSize(kind string, byDefault float64, now time.Time) float64 {
	size := byDefault
	f.each(kind, now, func(a *activeFault) { size = max(size, a.Size) })
	return size
}

// draw decides at random whether an active fault of a kind applies to a request of a class, and returns that fault or
// nil.
func (f *faultSet) draw(kind, class string, now time.Time) (hit *activeFault) {
	f.each(kind, now, func(a *activeFault) {
		if (a.Class == "" || a.Class == class) && f.rng.Float64() < a.Size {
			hit = a
		}
	})
	return hit
}

// slowdown returns the factor by which steps are slower now.
func (f *faultSet) slowdown(now time.Time) float64 {
	factor := f.maxSize("slow", 1, now)
	f.each("ageing", now, func(a *activeFault) {
		elapsed := float64(now.Sub(a.from)) / float64(a.Duration)
		factor = max(factor, 1+(a.Size-1)*elapsed)
	})
	return factor
}

// pauseLeft returns how long the engine still pauses from now on.
func (f *faultSet) pauseLeft(now time.Time) (d time.Duration) {
	f.each("pauses", now, func(a *activeFault) {
		into := now.Sub(a.from) % time.Second
		if pauseTime := time.Duration(a.Size * float64(time.Second)); into < pauseTime {
			d = max(d, pauseTime-into)
		}
	})
	return d
}
