// Package discovery tells a router which engines there are. A Source hands on what it learns as Updates;
// the list file is the first, others join by the same interface.
package discovery

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mintdoor/decide"

	"github.com/cespare/xxhash/v2"
)

// Engine is one entry of a list.
type Engine struct {
	Name  string // names the engine; the same for a process restarted under its name
	Addr  string // host:port of its KServe front
	Kind  string // a kind of the settings
	Zone  string
	Cell  string
	State decide.Condition
	// Weight compares engines of one role; 1 when not told.
	Weight float64
	// StartedAt is the last start; the zero time is long ago.
	StartedAt time.Time
}

// ID is the engine's number towards the decision module: the same at every router, and of no meaning.
func (e *Engine) ID() decide.ServerID { return decide.ServerID(xxhash.Sum64String(e.Name)) }

// LocationNumber maps a name of a zone or cell to the number by which the module compares them. It hangs on the
// name alone, so nothing has to be kept, and the empty name is 0.
func LocationNumber(name string) int {
	if name == "" {
		return 0
	}
	return int(xxhash.Sum64String(name) >> 1)
}

// Update is what a source has learnt: a whole list, or that an asking failed.
type Update struct {
	Engines []Engine // all that there are, sorted by name; those gone are left out
	Err     error    // the asking failed; the list before stays
	At      time.Time
}

// Source tells of the engines until ctx ends. It calls tell from one goroutine, first with what there is
// at the start, then at each change; tell does not block for long. A source returns nil when ctx ends.
type Source interface {
	Run(ctx context.Context, tell func(Update)) error
}

// SortAndCheck sorts a list by name and returns its first fault: a double name or address. Two entries of one
// address would let a router send to one engine as if it were two.
func SortAndCheck(list []Engine) error {
	slices.SortFunc(list, func(a, b Engine) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	addrs := make(map[string]string, len(list))
	ids := make(map[decide.ServerID]string, len(list))
	for i := range list {
		e := &list[i]
		if i > 0 && list[i-1].Name == e.Name {
			return fmt.Errorf("engine %s stands twice", e.Name)
		}
		if other, ok := addrs[e.Addr]; ok {
			return fmt.Errorf("engines %s and %s have the same address %s", other, e.Name, e.Addr)
		}
		if other, ok := ids[e.ID()]; ok {
			return fmt.Errorf("engines %s and %s have the same number; rename one", other, e.Name)
		}
		addrs[e.Addr], ids[e.ID()] = e.Name, e.Name
	}
	return nil
}

// Diff returns what to tell of the way from one list to another: entries new or changed, and those
// gone, with State Gone. Both lists are sorted by name.
func Diff(old, now []Engine) []Engine {
	var out []Engine
	i, j := 0, 0
	for i < len(old) || j < len(now) {
		switch {
		case j == len(now) || i < len(old) && old[i].Name < now[j].Name:
			e := old[i]
			e.State = decide.Gone
			out = append(out, e)
			i++
		case i == len(old) || now[j].Name < old[i].Name:
			out = append(out, now[j])
			j++
		default:
			if old[i] != now[j] {
				out = append(out, now[j])
			}
			i, j = i+1, j+1
		}
	}
	return out
}
