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
)

// Bounds of a list.
const (
	maxMembers = 10_000
	maxName    = 256
	maxFaults  = 5 // named in one log line
)

// Member is one entry on the wire.
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

// The phases.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// List is an answer: all members, or those that changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// answer is a list as it came. Its members are decoded one by one, so that a broken one spoils no other.
type answer struct {
	Revision int64             `json:"revision"`
	Complete bool              `json:"complete"`
	Members  []json.RawMessage `json:"members"`
	agent    string            // address of the agent that gave it
}

// decodeList reads a list as discovery tells it.
func decodeList(b []byte) (*answer, error) {
	l := &answer{Revision: -1}
	if err := json.Unmarshal(b, l); err != nil {
		return nil, fmt.Errorf("discovery's list: %w", err)
	}
	if l.Revision < 0 {
		return nil, errors.New("discovery's list has no revision")
	}
	return l, nil
}

// members is the list as discovery told it last.
type members struct {
	kinds []string
	log   *slog.Logger
	list  []discovery.Engine // sorted by name
	fault string             // what was last logged as wrong with it
}

// apply puts a sound answer into the list and reports whether one of its members was broken. A broken member never
// keeps the others from being taken: if its phase can be read it is honoured, else what was known of the member stays.
func (m *members) apply(l *answer) (faulty bool) {
	before := make(map[string]discovery.Engine, len(m.list))
	for _, e := range m.list {
		before[e.Name] = e
	}
	next := make(map[string]discovery.Engine, len(before)+len(l.Members))
	if !l.Complete {
		maps.Copy(next, before)
	}
	var faults []string
	seen := make(map[string]bool, len(l.Members))
	for _, raw := range l.Members {
		member, err := decodeMember(raw)
		if err != nil {
			faults = append(faults, err.Error())
		}
		if member.ID == "" || len(member.ID) > maxName {
			if err == nil {
				faults = append(faults, fmt.Sprintf("member %.40q at %.40q", member.ID, member.Addr))
			}
			continue
		}
		old, known := before[member.ID]
		if seen[member.ID] {
			faults = append(faults, fmt.Sprintf("member %q stands twice", member.ID))
			old, known = next[member.ID] // of two contradicting entries the one that asks for less is right
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
			if engine, err = m.engine(&member); err == nil {
				next[member.ID] = engine
				continue
			}
			faults = append(faults, err.Error())
		}
		switch {
		case errors.Is(err, errKind):
			delete(next, member.ID) // nobody could say what it can do
		case known && member.Phase != Up:
			old.State = decide.Draining
			next[member.ID] = old
		case known:
			next[member.ID] = old
		}
	}
	faults = append(faults, dropSharedAddresses(next, before)...)
	m.list = slices.SortedFunc(maps.Values(next), func(a, b discovery.Engine) int { return strings.Compare(a.Name, b.Name) })
	m.report(faults)
	return len(faults) > 0
}

// report logs what is wrong with a list, once a change.
func (m *members) report(faults []string) {
	text := strings.Join(faults[:min(len(faults), maxFaults)], "; ")
	if text != "" && text != m.fault {
		m.log.Warn("broken members in discovery's list; the sound ones are taken", "count", len(faults), "first", text)
	}
	m.fault = text
}

// decodeMember reads one member. With an error what could be read of it is returned.
func decodeMember(raw json.RawMessage) (Member, error) {
	var m Member
	err := json.Unmarshal(raw, &m)
	if err == nil {
		return m, nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) == nil {
		m = Member{}
		json.Unmarshal(fields["id"], &m.ID) // what fails stays empty
		json.Unmarshal(fields["phase"], &m.Phase)
	}
	return m, fmt.Errorf("member %.40q: %w", m.ID, err)
}

var errKind = errors.New("the settings do not know its kind")

// engine makes an engine of a member.
func (m *members) engine(w *Member) (discovery.Engine, error) {
	e := discovery.Engine{Name: w.ID, Addr: w.Addr, Kind: settings.NormalizeName(w.Kind), Zone: settings.NormalizeName(w.Zone),
		Cell: strconv.Itoa(w.Cell), Weight: w.Size}
	switch {
	case w.Addr == "" || len(w.Addr) > maxName:
		return e, fmt.Errorf("member %q has the address %.40q", w.ID, w.Addr)
	case !slices.Contains(m.kinds, e.Kind):
		return e, fmt.Errorf("member %q, kind %.40q: %w", w.ID, w.Kind, errKind)
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

// dropSharedAddresses leaves one engine at each address, for two would let the router send to one process as if it
// were two: the one that started last, else the one that was not known before.
func dropSharedAddresses(engines, before map[string]discovery.Engine) (faults []string) {
	holder := make(map[string]string, len(engines))
	for _, name := range slices.Sorted(maps.Keys(engines)) {
		other, taken := holder[engines[name].Addr]
		if !taken {
			holder[engines[name].Addr] = name
			continue
		}
		faults = append(faults, fmt.Sprintf("members %q and %q have the same address", other, name))
		keep, drop := name, other
		if replaces(engines[other], engines[name], before) {
			keep, drop = other, name
		}
		holder[engines[keep].Addr] = keep
		delete(engines, drop)
	}
	return faults
}

// replaces tells whether a is the process that took over the address of b.
func replaces(a, b discovery.Engine, before map[string]discovery.Engine) bool {
	if !a.StartedAt.Equal(b.StartedAt) {
		return a.StartedAt.After(b.StartedAt)
	}
	if (a.State == decide.Ready) != (b.State == decide.Ready) {
		return a.State == decide.Ready
	}
	_, known := before[a.Name]
	return !known
}
