package roles

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The way of a change. The engine's own role, with its epoch, is the truth: a router asks for the change
// that leads from the epoch that it knows, the engine grants one and refuses all others, and from then on
// the engine itself carries the change through: it takes nothing new, lets what runs end, changes, and comes
// back cold under the next epoch. So a router that dies in the middle leaves no half-made change behind,
// and two that disagree cannot both be right. A router only follows, and keeps its module informed: an
// engine that changes is listed as draining, one that has changed is listed in its new role as just
// started.

// Epoch counts an engine's changes of role.
type Epoch uint64

// RoleState is what an engine says of itself.
type RoleState struct {
	Role      Stage
	Epoch     Epoch
	To        Stage // while it changes
	Phase     Phase
	StartedAt time.Time // its last start or change; zero: long ago
}

// Phase is where an engine is on its way.
type Phase uint8

// The phases.
const (
	Steady   Phase = iota // it does its role's work
	Emptying              // it takes nothing new, and what runs there ends
	Changing              // it does nothing
)

// step is where a router's view of a change is.
type step uint8

const (
	idle step = iota
	asking
	emptying
	changing
	resting // after a failure: no new try for a while
)

func (s step) String() string {
	return [...]string{"idle", "asking", "emptying", "changing", "resting"}[s]
}

// Timeouts are the deadlines of a change's steps, and how long a failed one rests.
type Timeouts struct {
	AskTimeout    time.Duration // for the engine's answer, at least; twice Answer where that is more
	EmptyTimeout  time.Duration // for what runs to end
	ChangeTimeout time.Duration // for the change itself
	Backoff       time.Duration // after a failure; doubled with each in a row, up to eight times
	// CheckInterval is how often routers ask an engine for its role, ReplyTimeout how long its word may take. They set how
	// long an engine that is to change takes nothing new before it does.
	CheckInterval, ReplyTimeout time.Duration
}

// missed is how many looks may go unanswered before an engine's word is doubted.
const missed = 4

// doubt is the age at which a word is too old to send work by; 0: none is.
func (l *Timeouts) doubt() time.Duration { return missed * l.CheckInterval }

func (l *Timeouts) old(now, heard time.Time) bool {
	return l.CheckInterval > 0 && now.Sub(heard) >= l.doubt()
}

// NoticePeriod is how long a change is announced. A word that a router still sends by was given before the grant
// and heard at most Answer later; it is doubted before the notice ends. So no router sends work of the old
// role to an engine that has left it, however many looks are lost.
func (l *Timeouts) NoticePeriod() time.Duration { return l.doubt() + 2*l.ReplyTimeout }

// ask is the deadline of the question.
func (l *Timeouts) ask() time.Duration { return max(l.AskTimeout, 2*l.ReplyTimeout) }

// empty is the deadline of the step in which what runs ends.
func (l *Timeouts) empty() time.Duration { return l.NoticePeriod() + l.EmptyTimeout }

// ActionKind tells what a change asks of its surroundings.
type ActionKind uint8

// The kinds of actions.
const (
	RequestChange ActionKind = iota // ask the engine to change to To, from Epoch
	CancelChange                    // ask it to stay, while it is still emptying
	UpdateListing                   // list it as View says
)

// Listing is how an engine is to be listed to the decision module.
type Listing struct {
	Role      Stage
	Draining  bool
	StartedAt time.Time
}

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Engine  uint64
	To      Stage
	Epoch   Epoch
	Notice  time.Duration // Ask: it takes nothing new for so long before it changes
	Listing Listing
	Reason  string
}

// ChangeResult is a change that is over, for logs and counts.
type ChangeResult struct {
	Engine    uint64
	To        Stage
	Succeeded bool
	Reason    string
	Elapsed   time.Duration
}

// change is one engine as this router follows it.
type change struct {
	engine uint64
	known  bool
	now    RoleState
	view   Listing
	shown  bool
	step   step
	to     Stage
	from   Epoch
	began  time.Time
	by     time.Time // deadline of the step
	back   bool      // a call back was asked for
	fails  int
	heard  time.Time // when its last word came
	doubt  bool      // that was too long ago
}

// Follower follows all engines' roles, and changes under way. Its calls append the actions that answer
// them. It is a pure state machine: times come in, and it is not safe for concurrent use.
type Follower struct {
	limits Timeouts
	list   map[uint64]*change
	ended  []ChangeResult
}

// NewFollower returns a Follower that knows no engine.
func NewFollower(l Timeouts) *Follower { return &Follower{limits: l, list: map[uint64]*change{}} }

// Ended returns the changes that have ended since the last call.
func (f *Follower) Ended() []ChangeResult {
	out := f.ended
	f.ended = nil
	return out
}

// Away counts the engines that do no work for a change, or soon will not.
func (f *Follower) Away() (n int) {
	for _, c := range f.list {
		if c.step == asking || c.step == emptying || c.step == changing {
			n++
		}
	}
	return n
}

// May tells whether a change of an engine could begin now.
func (f *Follower) May(engine uint64) bool {
	c := f.list[engine]
	return c != nil && c.known && !c.doubt && c.step == idle && c.now.Phase == Steady
}

// Begin begins a change. It is refused, with nothing done, for an engine that May does not allow or that
// has the role already.
func (f *Follower) Begin(now time.Time, engine uint64, to Stage, out []Action) ([]Action, error) {
	if !f.May(engine) {
		return out, fmt.Errorf("roles: engine %d may not change now", engine)
	}
	c := f.list[engine]
	if c.now.Role == to {
		return out, fmt.Errorf("roles: engine %d has that role", engine)
	}
	c.step, c.to, c.from, c.began, c.by, c.back = asking, to, c.now.Epoch, now, now.Add(f.limits.ask()), false
	// The module stops sending at once: work that is on its way when the engine grants would be refused.
	out = f.show(c, out)
	return append(out, Action{Kind: RequestChange, Engine: engine, To: to, Epoch: c.from, Notice: f.limits.NoticePeriod()}), nil
}

// Answered takes in the engine's answer to Ask. A refusal may come with what the engine is now.
func (f *Follower) Answered(now time.Time, engine uint64, granted bool, s RoleState, out []Action) []Action {
	c := f.list[engine]
	if c == nil || c.step != asking {
		return out
	}
	if !granted {
		out = f.fail(now, c, "the engine refused: it is at another epoch, or busy with another change", out)
		return f.Seen(now, engine, s, out)
	}
	c.step, c.by = emptying, now.Add(f.limits.empty())
	return out
}

// CallOff asks for a change to be taken back, as when half of the other role has died. It helps only while
// the engine is still emptying.
func (f *Follower) CallOff(engine uint64, why string, out []Action) []Action {
	c := f.list[engine]
	if c == nil || c.back || c.step != asking && c.step != emptying {
		return out
	}
	c.back = true
	return append(out, Action{Kind: CancelChange, Engine: engine, Epoch: c.from, Reason: why})
}

// Seen takes in what an engine says of itself, whoever changed it. What is older than what is known (an
// answer that was overtaken) is passed over.
func (f *Follower) Seen(now time.Time, engine uint64, s RoleState, out []Action) []Action {
	c := f.list[engine]
	if c == nil {
		c = &change{engine: engine}
		f.list[engine] = c
	}
	c.heard = now
	if c.known && c.stale(&s) {
		return out
	}
	restarted := c.known && s.StartedAt.After(c.now.StartedAt)
	c.known, c.now, c.doubt = true, s, false
	switch s.Phase {
	case Steady:
		return f.steady(now, c, restarted, out)
	case Emptying:
		if c.step != emptying { // granted to another router, or our answer was lost
			f.enter(now, c, emptying, s.To, now.Add(f.limits.empty()))
		}
	case Changing:
		if c.step != changing {
			f.enter(now, c, changing, s.To, now.Add(f.limits.ChangeTimeout))
		}
	}
	return f.show(c, out)
}

// stale tells whether a word is older than the one that is known: overtaken on its way. A later start comes
// before the epoch, since an engine that was set up anew counts from the beginning again.
func (c *change) stale(s *RoleState) bool {
	if s.Epoch < c.now.Epoch {
		return !s.StartedAt.After(c.now.StartedAt)
	}
	return s.Epoch == c.now.Epoch && s.StartedAt.Before(c.now.StartedAt)
}

// Listed takes in an engine of the list with the role that the list gives. Until it has said itself what it
// does, it gets no work: the list may show a role that it has left.
func (f *Follower) Listed(engine uint64, role Stage, out []Action) []Action {
	if f.list[engine] != nil {
		return out
	}
	c := &change{engine: engine, now: RoleState{Role: role}}
	f.list[engine] = c
	return f.show(c, out)
}

func (f *Follower) enter(now time.Time, c *change, to step, role Stage, by time.Time) {
	if c.step == idle || c.step == resting {
		c.began, c.from, c.back = now, c.now.Epoch, false
	}
	c.step, c.to, c.by = to, role, by
}

// steady takes in that an engine does its role's work: a change has ended, one way or the other.
func (f *Follower) steady(now time.Time, c *change, restarted bool, out []Action) []Action {
	under := c.step == asking || c.step == emptying || c.step == changing
	switch {
	case under && c.now.Epoch > c.from && c.now.Role == c.to:
		f.end(now, c, true, "changed")
		c.step, c.fails = idle, 0
	case under && c.step == asking && !restarted && c.now.Epoch == c.from:
		return f.show(c, out) // it has not heard the question yet
	case under && c.now.Epoch > c.from:
		out = f.fail(now, c, "it came back in another role", out)
	case under && restarted:
		out = f.fail(now, c, "it was started anew in its old role", out)
	case under && c.back:
		f.end(now, c, false, "called back")
		c.step = idle
	case under && c.step == changing:
		out = f.fail(now, c, "it came back in its old role", out)
	case under: // emptying: an old answer, or it gave up
		out = f.fail(now, c, "it went on in its old role", out)
	}
	return f.show(c, out)
}

// Gone tells that discovery has taken an engine off the list.
func (f *Follower) Gone(now time.Time, engine uint64) {
	c := f.list[engine]
	if c == nil {
		return
	}
	if c.step == asking || c.step == emptying || c.step == changing {
		f.end(now, c, false, "it is gone")
	}
	delete(f.list, engine)
}

// Tick looks after what no event brings up: each step has its deadline, and a rest its end.
func (f *Follower) Tick(now time.Time, out []Action) []Action {
	silent := 0
	for _, c := range f.list {
		if c.known && f.limits.old(now, c.heard) {
			silent++
		}
	}
	for _, engine := range slices.Sorted(maps.Keys(f.list)) {
		c := f.list[engine]
		// Where most are silent it is the way to them that fails, and work that comes wrong is only refused.
		if doubt := c.known && f.limits.old(now, c.heard) && 2*silent <= len(f.list); doubt != c.doubt {
			c.doubt = doubt
			out = f.show(c, out)
		}
		if c.step == idle || now.Before(c.by) {
			continue
		}
		switch c.step {
		case resting:
			c.step = idle
		case asking:
			// The answer may be lost and the engine emptying: what it says of itself will tell. Until then it
			// gets nothing new by our doing only if it says so.
			out = f.show(c, f.fail(now, c, "no answer to the question", out))
		case emptying:
			// What runs there does not end. The engine decides by itself; it is asked to stay as it is.
			if !c.back {
				out = f.CallOff(engine, "what runs there does not end", out)
				c.by = now.Add(f.limits.ask())
				continue
			}
			out = f.fail(now, c, "it neither empties nor stays", out)
		case changing:
			out = f.fail(now, c, "the change takes too long", out)
		}
	}
	return out
}

// fail ends a change that did not come about. The engine rests from changes, longer each time.
func (f *Follower) fail(now time.Time, c *change, why string, out []Action) []Action {
	f.end(now, c, false, why)
	const mostDoubled = 3
	rest := f.limits.Backoff << min(c.fails, mostDoubled)
	c.fails++
	c.step, c.by = resting, now.Add(rest)
	return out
}

func (f *Follower) end(now time.Time, c *change, done bool, why string) {
	f.ended = append(f.ended, ChangeResult{c.engine, c.to, done, why, now.Sub(c.began)})
}

// show lists an engine when that is a change. One that is on its way, or of which it is not known what it
// does, is listed as draining, with the start that the module knows.
func (f *Follower) show(c *change, out []Action) []Action {
	v := Listing{Role: c.now.Role, StartedAt: c.now.StartedAt}
	if !c.known || c.doubt || c.step == asking || c.now.Phase != Steady {
		v.Draining, v.StartedAt = true, c.view.StartedAt
	}
	if c.view == v && c.shown {
		return out
	}
	c.view, c.shown = v, true
	return append(out, Action{Kind: UpdateListing, Engine: c.engine, Listing: v})
}
