package watch

import (
	"time"

	"mintdoor/decide"
	"mintdoor/internal/discovery"
)

const (
	// moveSettleTime is how long after a change of its address discovery may report an older list than the agent before
	// has reported.
	moveSettleTime = 4 * time.Second
	// restartSettleTime is the same after an agent's revisions have restarted: the time within which any change has to
	// be reported.
	restartSettleTime = 6 * time.Second
)

// generation is a sequence of lists that are ordered by their revisions: those of one agent, as long as its revisions
// grow. The lists of two generations have no certain order, because an agent may be behind the one before it and counts
// its own revisions. So until a generation has settled it may withdraw engines, but makes none ready that was known not
// to be.
type generation struct {
	settlesAt  time.Time                   // when its lists have all that was known before; zero: it has settled
	known      map[string]discovery.Engine // the engines that were listed before, by name
	revision   int64                       // of the list before
	heardUntil time.Time                   // when the list before was last reported; zero: never by an agent
}

// newGeneration returns a generation that follows a list. It settles at the given time.
func newGeneration(before []discovery.Engine, revision int64, heardUntil, settlesAt time.Time) generation {
	g := generation{settlesAt: settlesAt, revision: revision, heardUntil: heardUntil, known: make(map[string]discovery.Engine, len(before))}
	for _, e := range before {
		g.known[e.Name] = e
	}
	return g
}

// hasSettled reports whether the generation's lists are certain to be newer than the list before.
func (g *generation) hasSettled() bool { return g.settlesAt.IsZero() }

// settle settles the generation if one of its lists is complete up to a time that is late enough.
func (g *generation) settle(asOf time.Time) {
	if !asOf.Before(g.settlesAt) {
		*g = generation{}
	}
}

// admit returns the engines of a list of the generation that may be used, in the same order.
func (g *generation) admit(list []discovery.Engine, revision int64) []discovery.Engine {
	if g.hasSettled() {
		return list
	}
	out := make([]discovery.Engine, 0, len(list))
	for _, e := range list {
		known, isKnown := g.known[e.Name]
		switch {
		case !isKnown && e.State == decide.Ready && !g.isNew(&e, revision):
			continue // it may have been removed
		case isKnown && !e.StartedAt.After(known.StartedAt):
			e = restrict(e, known)
		}
		out = append(out, e)
	}
	return out
}

// withdraw makes the named engines known as draining, those of a list and those that were listed before.
func (g *generation) withdraw(list []discovery.Engine, names map[string]bool) {
	for _, e := range list {
		if names[e.Name] {
			g.known[e.Name] = e
		}
	}
	for name := range names {
		if e, isKnown := g.known[name]; isKnown {
			e.State = decide.Draining
			g.known[name] = e
		}
	}
}

// isNew reports whether an engine that was not listed before has not been removed since. It has not if its process
// started after the list before was reported, or if the list is not older by its revision.
func (g *generation) isNew(e *discovery.Engine, revision int64) bool {
	return g.heardUntil.IsZero() || revision >= g.revision || e.StartedAt.After(g.heardUntil)
}

// restrict returns a listed engine that is known to have been started at the same time or later. It is ready only if it
// is both listed and known as ready.
func restrict(listed, known discovery.Engine) discovery.Engine {
	state := listed.State
	if known.State != decide.Ready {
		state = known.State
	}
	if listed.StartedAt.Before(known.StartedAt) {
		listed = known
	}
	listed.State = state
	return listed
}
