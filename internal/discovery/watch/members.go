package watch

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/discovery"
	"mintdoor/internal/settings"

	"github.com/cespare/xxhash/v2"
)

// Limits on a list.
const (
	maxMembers      = 10_000
	maxNameLen      = 256 // bytes of an id or an address
	maxLoggedErrors = 5   // problems named in one log line
)

// Member is one entry of the server list on the wire.
type Member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	SinceMS int64   `json:"up_since_ms"`
}

// The phases of a member.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// List is a response of the agent: all members, or those that have changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// response is a List whose members are not decoded yet. They are decoded one by one, so that an invalid member does
// not affect the others.
type response struct {
	Revision int64             `json:"revision"`
	Complete bool              `json:"complete"`
	Members  []json.RawMessage `json:"members"`
	digest   uint64            // hash of the members
}

// decodeList decodes a list in discovery's format.
func decodeList(b []byte) (*response, error) {
	l := &response{Revision: -1, Members: make([]json.RawMessage, 1)} // Unmarshal replaces the member, if there are any
	if err := json.Unmarshal(b, l); err != nil {
		return nil, fmt.Errorf("discovery's list: %w", err)
	}
	lacksMembers := len(l.Members) == 1 && l.Members[0] == nil
	switch {
	case l.Revision < 0:
		return nil, errors.New("discovery's list has no revision")
	case lacksMembers && l.Complete:
		return nil, errors.New("discovery's whole list has no members field")
	case lacksMembers:
		l.Members = nil // nothing has changed
	}
	hash := xxhash.New()
	for _, member := range l.Members {
		hash.Write(member)
		hash.Write([]byte{'\n'})
	}
	l.digest = hash.Sum64()
	return l, nil
}

// members is the server list as last reported by discovery.
type members struct {
	kinds      []string
	log        *slog.Logger
	list       []discovery.Engine // sorted by name
	lastLogged string             // the problems that were logged last
}

// apply applies a response to the list and reports whether one of its members was invalid. An invalid member does not
// prevent the others from being applied. If its phase can be read, the phase is applied, otherwise the member stays
// as it was known before.
func (m *members) apply(l *response) (invalid bool) {
	before := make(map[string]discovery.Engine, len(m.list))
	for _, e := range m.list {
		before[e.Name] = e
	}
	next := make(map[string]discovery.Engine, len(before)+len(l.Members))
	if !l.Complete {
		maps.Copy(next, before)
	}
	var problems []string
	seen := make(map[string]bool, len(l.Members))
	for _, raw := range l.Members {
		member, err := decodeMember(raw)
		if err != nil {
			problems = append(problems, err.Error())
		}
		if member.ID == "" || len(member.ID) > maxNameLen {
			if err == nil {
				problems = append(problems, fmt.Sprintf("member %.40q at %.40q", member.ID, member.Addr))
			}
			continue
		}
		old, known := before[member.ID]
		if seen[member.ID] {
			problems = append(problems, fmt.Sprintf("member %q is listed twice", member.ID))
			old, known = next[member.ID] // of two contradicting entries the one that allows fewer requests applies
			if member.Phase == Up {
				continue
			}
		}
		seen[member.ID] = true
		if member.Phase == Removed {
			delete(next, member.ID)
			continue
		}
		if err == nil {
			var engine discovery.Engine
			if engine, err = m.toEngine(&member); err == nil {
				next[member.ID] = engine
				continue
			}
			problems = append(problems, err.Error())
		}
		switch {
		case errors.Is(err, errUnknownKind):
			delete(next, member.ID) // it is unknown what the engine can do
		case known && member.Phase != Up:
			old.State = decide.Draining
			next[member.ID] = old
		case known:
			next[member.ID] = old
		}
	}
	problems = append(problems, dropSharedAddresses(next, before)...)
	m.list = slices.SortedFunc(maps.Values(next), func(a, b discovery.Engine) int { return strings.Compare(a.Name, b.Name) })
	m.logProblems(problems)
	return len(problems) > 0
}

// logProblems logs what is wrong with a list, and logs the same problems only once in a row.
func (m *members) logProblems(problems []string) {
	text := strings.Join(problems[:min(len(problems), maxLoggedErrors)], "; ")
	if text != "" && text != m.lastLogged {
		m.log.Warn("invalid members in discovery's list; the valid ones are used", "count", len(problems), "first", text)
	}
	m.lastLogged = text
}

// decodeMember decodes one member. If it returns an error, the member has the id and the phase if these could be
// read.
func decodeMember(raw json.RawMessage) (Member, error) {
	var m Member
	err := json.Unmarshal(raw, &m)
	if err == nil {
		return m, nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) == nil {
		m = Member{}
		json.Unmarshal(fields["id"], &m.ID) // a field that can't be decoded stays empty
		json.Unmarshal(fields["phase"], &m.Phase)
	}
	return m, fmt.Errorf("member %.40q: %w", m.ID, err)
}

// withdrawnMembers returns the names of the members that a response lists as draining or removed.
func withdrawnMembers(l *response) map[string]bool {
	names := map[string]bool{}
	for _, raw := range l.Members[:min(len(l.Members), maxMembers)] {
		if m, _ := decodeMember(raw); m.ID != "" && (m.Phase == Draining || m.Phase == Removed) {
			names[m.ID] = true
		}
	}
	return names
}

// markDraining returns a copy of a list in which the named engines drain, and reports whether one of them was ready.
func markDraining(list []discovery.Engine, names map[string]bool) (marked []discovery.Engine, changed bool) {
	marked = slices.Clone(list)
	for i := range marked {
		if names[marked[i].Name] && marked[i].State == decide.Ready {
			marked[i].State = decide.Draining
			changed = true
		}
	}
	return marked, changed
}

// errUnknownKind is the error of a member whose engine kind is not in the settings.
var errUnknownKind = errors.New("the settings do not have its kind")

// toEngine converts a member to an engine.
func (m *members) toEngine(w *Member) (discovery.Engine, error) {
	e := discovery.Engine{Name: w.ID, Addr: w.Addr, Kind: settings.NormalizeName(w.Kind), Zone: settings.NormalizeName(w.Zone),
		Cell: strconv.Itoa(w.Cell), Weight: w.Size}
	switch {
	case w.Addr == "" || len(w.Addr) > maxNameLen:
		return e, fmt.Errorf("member %q has the address %.40q", w.ID, w.Addr)
	case !slices.Contains(m.kinds, e.Kind):
		return e, fmt.Errorf("member %q, kind %.40q: %w", w.ID, w.Kind, errUnknownKind)
	case w.SinceMS < 0 || w.Size < 0:
		return e, fmt.Errorf("member %q has the start %d and the size %g", w.ID, w.SinceMS, w.Size)
	}
	switch w.Phase {
	case Up:
		e.State = decide.Ready
	case Draining:
		e.State = decide.Draining
	default:
		return e, fmt.Errorf("member %q is in the unknown phase %.40q", w.ID, w.Phase)
	}
	if w.SinceMS > 0 {
		e.StartedAt = time.UnixMilli(w.SinceMS)
	}
	return e, nil
}

// dropSharedAddresses keeps only one engine for each address, because with two the router would send to one process
// as if it were two. It keeps the engine that started last, otherwise the one that is ready, otherwise the one that
// was not known before.
func dropSharedAddresses(engines, before map[string]discovery.Engine) (problems []string) {
	owner := make(map[string]string, len(engines))
	for _, name := range slices.Sorted(maps.Keys(engines)) {
		other, taken := owner[engines[name].Addr]
		if !taken {
			owner[engines[name].Addr] = name
			continue
		}
		problems = append(problems, fmt.Sprintf("members %q and %q have the same address", other, name))
		keep, drop := name, other
		if supersedes(engines[other], engines[name], before) {
			keep, drop = other, name
		}
		owner[engines[keep].Addr] = keep
		delete(engines, drop)
	}
	return problems
}

// supersedes reports whether a is the process that has taken over the address of b.
func supersedes(a, b discovery.Engine, before map[string]discovery.Engine) bool {
	if !a.StartedAt.Equal(b.StartedAt) {
		return a.StartedAt.After(b.StartedAt)
	}
	if (a.State == decide.Ready) != (b.State == decide.Ready) {
		return a.State == decide.Ready
	}
	_, known := before[a.Name]
	return !known
}
