package roles

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// How a role change works. The engine's own role and epoch are authoritative. A router requests the change that
// starts from the epoch it knows; the engine grants one such request and refuses all others. From then on the engine
// carries out the change itself: it accepts nothing new, lets running work finish, changes, and comes back cold under
// the next epoch. So a router that dies in the middle leaves no half-made change behind, and two routers that
// disagree cannot both succeed. A router only tracks the change and keeps its decision module informed: an engine
// that is changing is listed as draining, and one that has changed is listed in its new role as just started.

// Epoch counts an engine's role changes.
type Epoch uint64

// RoleState is the role and the progress of a role change that an engine reports.
type RoleState struct {
	Role      Stage
	Epoch     Epoch
	To        Stage // the new role while the engine is emptying or changing
	Phase     Phase
	StartedAt time.Time `json:"Starts"` // last start or role change; zero if long ago
}

// Phase is how far an engine has come in a role change.
type Phase uint8

// The phases of an engine.
const (
	Steady   Phase = iota // serves its role
	Emptying              // accepts nothing new and lets running work finish
	Changing              // serves nothing until the change is done
)

// step is how far a change has come from a router's point of view.
type step uint8

const (
	idle step = iota
	asking
	emptying
	changing
	backingOff // after a failed change; no new one is started until the backoff ends
)

func (s step) String() string {
	return [...]string{"idle", "asking", "emptying", "changing", "resting"}[s]
}

// Timeouts are the time limits of a change's steps, the backoff after a failed change, and the timing of the role
// checks.
type Timeouts struct {
	AskTimeout    time.Duration // minimum wait for the engine's answer; 2*ReplyTimeout if that is longer
	EmptyTimeout  time.Duration // for running work to finish, after the notice period
	ChangeTimeout time.Duration // for the change itself
	Backoff       time.Duration // after a failure; doubles with each failure in a row, up to eight times this value
	// CheckInterval is how often routers ask an engine for its role, and ReplyTimeout how long its reply may take.
	// Together they set the notice period, in which an engine that is about to change accepts nothing new.
	CheckInterval, ReplyTimeout time.Duration
}

// maxMissedChecks is how many role checks in a row may go unanswered before an engine's last reported role is
// distrusted.
const maxMissedChecks = 4

// maxStateAge is the age from which a reported role is too old to route by; 0 means no limit.
func (l *Timeouts) maxStateAge() time.Duration { return maxMissedChecks * l.CheckInterval }

// isTooOld reports whether a state that was reported at reportedAt is too old to route by.
func (l *Timeouts) isTooOld(now, reportedAt time.Time) bool {
	return l.CheckInterval > 0 && now.Sub(reportedAt) >= l.maxStateAge()
}

// NoticePeriod is how long an engine that has granted a change waits before it changes. The state that a router still
// routes by was sent before the grant and received at most ReplyTimeout later, and the router distrusts it before the
// notice period ends. So no router sends work of the old role to an engine that has left it, however many role checks
// are lost.
func (l *Timeouts) NoticePeriod() time.Duration { return l.maxStateAge() + 2*l.ReplyTimeout }

// askDeadline is how long to wait for the answer to a change request.
func (l *Timeouts) askDeadline() time.Duration { return max(l.AskTimeout, 2*l.ReplyTimeout) }

// emptyDeadline is how long an engine may stay in the emptying phase, notice period included.
func (l *Timeouts) emptyDeadline() time.Duration { return l.NoticePeriod() + l.EmptyTimeout }

// ActionKind is a kind of action that the caller has to carry out for a role change.
type ActionKind uint8

// The kinds of actions.
const (
	RequestChange ActionKind = iota // ask the engine to change to To, starting from Epoch
	CancelChange                    // ask it to stay in its role; works only while it is emptying
	UpdateListing                   // list the engine as Listing says
)

// Listing describes how an engine is presented to the decision module.
type Listing struct {
	Role      Stage
	Draining  bool
	StartedAt time.Time
}

// Action is one action that the caller has to carry out.
type Action struct {
	Kind    ActionKind
	Engine  uint64
	To      Stage
	Epoch   Epoch
	Notice  time.Duration // for RequestChange: how long the engine waits, accepting nothing new, before it changes
	Listing Listing
	Reason  string
}

// ChangeResult is a change that is over, for logs and metrics.
type ChangeResult struct {
	Engine    uint64
	To        Stage
	Succeeded bool
	Reason    string
	Elapsed   time.Duration
}

// trackedEngine is one engine as this router tracks it.
type trackedEngine struct {
	engine          uint64
	known           bool
	state           RoleState
	listing         Listing
	listed          bool
	step            step
	target          Stage
	fromEpoch       Epoch
	startedAt       time.Time
	deadline        time.Time // of the step
	cancelRequested bool      // cancelling the change has been asked for
	failures        int
	lastReport      time.Time // time of its last report
	unresponsive    bool      // its last report is too old to route by
}

// RoleTracker tracks the roles of all engines and the changes in progress. Its methods append the actions that result
// from a call to the slice that they are given. It is a pure state machine: times are passed in. It is not safe for
// concurrent use.
type RoleTracker struct {
	timeouts Timeouts
	engines  map[uint64]*trackedEngine
	results  []ChangeResult
}

// NewRoleTracker returns a RoleTracker that knows no engine.
func NewRoleTracker(l Timeouts) *RoleTracker {
	return &RoleTracker{timeouts: l, engines: map[uint64]*trackedEngine{}}
}

// TakeResults returns the changes that have ended since the last call.
func (t *RoleTracker) TakeResults() []ChangeResult {
	out := t.results
	t.results = nil
	return out
}

// ChangingEngines counts the engines that serve nothing because of a change, or are about to.
func (t *RoleTracker) ChangingEngines() (n int) {
	for _, c := range t.engines {
		if c.step == asking || c.step == emptying || c.step == changing {
			n++
		}
	}
	return n
}

// CanChange reports whether a change of an engine could begin now.
func (t *RoleTracker) CanChange(engine uint64) bool {
	c := t.engines[engine]
	return c != nil && c.known && !c.unresponsive && c.step == idle && c.state.Phase == Steady
}

// BeginChange begins a change. It returns an error and does nothing for an engine that CanChange does not allow or
// that already has the role.
func (t *RoleTracker) BeginChange(now time.Time, engine uint64, to Stage, out []Action) ([]Action, error) {
	if !t.CanChange(engine) {
		return out, fmt.Errorf("roles: engine %d cannot change its role now", engine)
	}
	c := t.engines[engine]
	if c.state.Role == to {
		return out, fmt.Errorf("roles: engine %d already has the requested role", engine)
	}
	c.step, c.target, c.fromEpoch, c.startedAt, c.deadline, c.cancelRequested = asking, to, c.state.Epoch, now, now.Add(t.timeouts.askDeadline()), false
	// The decision module stops sending at once, since work in flight when the engine grants the change would be
	// refused.
	out = t.updateListing(c, out)
	return append(out, Action{Kind: RequestChange, Engine: engine, To: to, Epoch: c.fromEpoch, Notice: t.timeouts.NoticePeriod()}), nil
}

// HandleAnswer handles the engine's answer to RequestChange. A refusal comes with the engine's current state.
func (t *RoleTracker) HandleAnswer(now time.Time, engine uint64, granted bool, s RoleState, out []Action) []Action {
	c := t.engines[engine]
	if c == nil || c.step != asking {
		return out
	}
	if !granted {
		out = t.fail(now, c, "the engine refused: it is at another epoch or in another change", out)
		return t.ObserveState(now, engine, s, out)
	}
	c.step, c.deadline = emptying, now.Add(t.timeouts.emptyDeadline())
	return out
}

// Cancel asks the engine to take a change back, for example when half of the engines of its current role have died.
// It has an effect only while the engine is still emptying.
func (t *RoleTracker) Cancel(engine uint64, reason string, out []Action) []Action {
	c := t.engines[engine]
	if c == nil || c.cancelRequested || c.step != asking && c.step != emptying {
		return out
	}
	c.cancelRequested = true
	return append(out, Action{Kind: CancelChange, Engine: engine, Epoch: c.fromEpoch, Reason: reason})
}

// ObserveState handles the state that an engine reports, whichever router changed it. A report older than the last
// one (a reply that was overtaken by a later one) is ignored.
func (t *RoleTracker) ObserveState(now time.Time, engine uint64, s RoleState, out []Action) []Action {
	c := t.engines[engine]
	if c == nil {
		c = &trackedEngine{engine: engine}
		t.engines[engine] = c
	}
	c.lastReport = now
	if c.known && c.isOutdated(&s) {
		return out
	}
	restarted := c.known && s.StartedAt.After(c.state.StartedAt)
	c.known, c.state, c.unresponsive = true, s, false
	switch s.Phase {
	case Steady:
		return t.handleSteady(now, c, restarted, out)
	case Emptying:
		if c.step != emptying { // granted to another router, or the answer to this router was lost
			t.setStep(now, c, emptying, s.To, now.Add(t.timeouts.emptyDeadline()))
		}
	case Changing:
		if c.step != changing {
			t.setStep(now, c, changing, s.To, now.Add(t.timeouts.ChangeTimeout))
		}
	}
	return t.updateListing(c, out)
}

// isOutdated reports whether a report is older than the last one because it was overtaken on its way. A later start
// takes precedence over the epoch, since an engine that was set up anew counts its epochs from the beginning again.
func (c *trackedEngine) isOutdated(s *RoleState) bool {
	if s.Epoch < c.state.Epoch {
		return !s.StartedAt.After(c.state.StartedAt)
	}
	return s.Epoch == c.state.Epoch && s.StartedAt.Before(c.state.StartedAt)
}

// AddListed adds an engine of the server list with the role that the list gives. The engine gets no work until it has
// reported its own role, because the list may show a role that it has left.
func (t *RoleTracker) AddListed(engine uint64, role Stage, out []Action) []Action {
	if t.engines[engine] != nil {
		return out
	}
	c := &trackedEngine{engine: engine, state: RoleState{Role: role}}
	t.engines[engine] = c
	return t.updateListing(c, out)
}

// setStep moves an engine to a step of a change to role, which may have been begun by another router.
func (t *RoleTracker) setStep(now time.Time, c *trackedEngine, to step, role Stage, deadline time.Time) {
	if c.step == idle || c.step == backingOff {
		c.startedAt, c.fromEpoch, c.cancelRequested = now, c.state.Epoch, false
	}
	c.step, c.target, c.deadline = to, role, deadline
}

// handleSteady handles the report that an engine serves its role: a change in progress has succeeded or failed.
func (t *RoleTracker) handleSteady(now time.Time, c *trackedEngine, restarted bool, out []Action) []Action {
	inProgress := c.step == asking || c.step == emptying || c.step == changing
	switch {
	case inProgress && c.state.Epoch > c.fromEpoch && c.state.Role == c.target:
		t.finish(now, c, true, "changed")
		c.step, c.failures = idle, 0
	case inProgress && c.step == asking && !restarted && c.state.Epoch == c.fromEpoch:
		return t.updateListing(c, out) // it has not received the request yet
	case inProgress && c.state.Epoch > c.fromEpoch:
		out = t.fail(now, c, "the engine came back in another role", out)
	case inProgress && restarted:
		out = t.fail(now, c, "the engine restarted in its old role", out)
	case inProgress && c.cancelRequested:
		t.finish(now, c, false, "the change was cancelled")
		c.step = idle
	case inProgress && c.step == changing:
		out = t.fail(now, c, "the engine came back in its old role", out)
	case inProgress: // emptying: the report is from before the grant, or the engine gave up
		out = t.fail(now, c, "the engine stayed in its old role", out)
	}
	return t.updateListing(c, out)
}

// Remove stops tracking an engine that discovery has removed from the server list.
func (t *RoleTracker) Remove(now time.Time, engine uint64) {
	c := t.engines[engine]
	if c == nil {
		return
	}
	if c.step == asking || c.step == emptying || c.step == changing {
		t.finish(now, c, false, "the engine was removed from the list")
	}
	delete(t.engines, engine)
}

// Tick handles what depends on time alone: the deadline of each step, the end of a backoff, and reports that become
// too old.
func (t *RoleTracker) Tick(now time.Time, out []Action) []Action {
	unresponsiveCount := 0
	for _, c := range t.engines {
		if c.known && t.timeouts.isTooOld(now, c.lastReport) {
			unresponsiveCount++
		}
	}
	for _, engine := range slices.Sorted(maps.Keys(t.engines)) {
		c := t.engines[engine]
		// If most engines are unresponsive, the network path to them is the likely fault, and they stay trusted: work
		// sent by an outdated role is only refused.
		if unresponsive := c.known && t.timeouts.isTooOld(now, c.lastReport) && 2*unresponsiveCount <= len(t.engines); unresponsive != c.unresponsive {
			c.unresponsive = unresponsive
			out = t.updateListing(c, out)
		}
		if c.step == idle || now.Before(c.deadline) {
			continue
		}
		switch c.step {
		case backingOff:
			c.step = idle
		case asking:
			// The answer may be lost and the engine emptying, which its next report will show. Until then the engine
			// is listed as ready again, since only its own report makes this router stop sending to it.
			out = t.updateListing(c, t.fail(now, c, "no answer to the change request", out))
		case emptying:
			// The running work does not finish. The engine decides by itself, so it is asked to stay in its role.
			if !c.cancelRequested {
				out = t.Cancel(engine, "running work does not finish", out)
				c.deadline = now.Add(t.timeouts.askDeadline())
				continue
			}
			out = t.fail(now, c, "the engine neither finishes its work nor cancels the change", out)
		case changing:
			out = t.fail(now, c, "the change timed out", out)
		}
	}
	return out
}

// fail ends a change that did not succeed. No change of the engine begins during the backoff, which grows with each
// failure.
func (t *RoleTracker) fail(now time.Time, c *trackedEngine, reason string, out []Action) []Action {
	t.finish(now, c, false, reason)
	const maxDoublings = 3
	backoff := t.timeouts.Backoff << min(c.failures, maxDoublings)
	c.failures++
	c.step, c.deadline = backingOff, now.Add(backoff)
	return out
}

// finish adds the result of a change that is over.
func (t *RoleTracker) finish(now time.Time, c *trackedEngine, succeeded bool, reason string) {
	t.results = append(t.results, ChangeResult{c.engine, c.target, succeeded, reason, now.Sub(c.startedAt)})
}

// updateListing lists an engine if its listing has changed. An engine that is changing, or whose role is not known,
// is listed as draining, with the start time that the decision module already has.
func (t *RoleTracker) updateListing(c *trackedEngine, out []Action) []Action {
	v := Listing{Role: c.state.Role, StartedAt: c.state.StartedAt}
	if !c.known || c.unresponsive || c.step == asking || c.state.Phase != Steady {
		v.Draining, v.StartedAt = true, c.listing.StartedAt
	}
	if c.listing == v && c.listed {
		return out
	}
	c.listing, c.listed = v, true
	return append(out, Action{Kind: UpdateListing, Engine: c.engine, Listing: v})
}
