// Package discovery provides a router with the list of engines. A Source reports the list and its changes as Updates.
// The package has a source that reads a list file; other sources implement the same interface.
package discovery

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mintdoor/decide"

	"github.com/cespare/xxhash/v2"
)

// Engine is one entry of the server list.
type Engine struct {
	Name  string // identifies the engine; a restarted process keeps it
	Addr  string // host:port at which the engine accepts requests
	Kind  string // name of an engine kind in the settings
	Zone  string
	Cell  string
	State decide.Condition
	// Weight is the engine's relative capacity among the engines of its role; 1 if it is not specified.
	Weight float64
	// StartedAt is the time of the last start. The zero time means long ago.
	StartedAt time.Time
}

// ID returns the engine's identifier in the decision module, a hash of its name, which is the same at every router.
func (e *Engine) ID() decide.ServerID { return decide.ServerID(xxhash.Sum64String(e.Name)) }

// LocationNumber maps the name of a zone or cell to the number by which the decision module compares them. The number
// depends only on the name, so that no table has to be stored. The empty name has the number 0.
func LocationNumber(name string) int {
	if name == "" {
		return 0
	}
	return int(xxhash.Sum64String(name) >> 1)
}

// Update is a report of a source: a whole list, or a failure to get one.
type Update struct {
	Engines []Engine // all current engines, sorted by name, without those that were removed
	Err     error    // the list could not be obtained; the previous one stays valid
	At      time.Time
}

// Source reports the engines until ctx ends. Run calls notify from one goroutine, first with the list at the start,
// then after each change. notify must not block for long. Run returns nil when ctx ends.
type Source interface {
	Run(ctx context.Context, notify func(Update)) error
}

// SortAndCheck sorts a list by name and returns its first error: a duplicate name, identifier or address. With two
// entries of one address a router would send to one engine as if it were two.
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
			return fmt.Errorf("engine %s is listed twice", e.Name)
		}
		if other, ok := addrs[e.Addr]; ok {
			return fmt.Errorf("engines %s and %s have the same address %s", other, e.Name, e.Addr)
		}
		if other, ok := ids[e.ID()]; ok {
			return fmt.Errorf("engines %s and %s have the same identifier; rename one", other, e.Name)
		}
		addrs[e.Addr], ids[e.ID()] = e.Name, e.Name
	}
	return nil
}

// Diff returns the changes from one list to another: the entries that are new or changed, and the removed ones with
// the state Gone. Both lists must be sorted by name.
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
