// Package watch is a discovery.Source over the platform's discovery: the whole list by HTTP, then its
// changes by calls that wait for them.
package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/discovery"
)

// ListPath is where the list is asked for.
const ListPath = "/discovery/hosts"

// Bounds of a call.
const (
	listWithin = time.Second            // for an answer that need not wait
	waitFor    = time.Second            // a watch waits so long for a change; one that fell silent shows soon after
	firstPause = 50 * time.Millisecond  // before a call that failed is made again, doubled each time ...
	mostPause  = 800 * time.Millisecond // ... up to this
	maxAnswer  = 4 << 20
	maxMembers = 10_000
	maxName    = 256
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

// Source watches a list. Make it with New.
type Source struct {
	kinds []string
	known *List // as held at the start; nil: nothing
	log   *slog.Logger
	http  http.Client

	wait, within time.Duration // waitFor, listWithin

	mu    sync.Mutex
	addr  string
	moved context.CancelFunc // ends the call under way

	list     []discovery.Engine // sorted by name
	revision int64
}

// New returns a source that asks at addr. kinds are the settings' kinds; known is the list as this router
// last held it.
func New(addr string, kinds []string, known *List, log *slog.Logger) *Source {
	return &Source{addr: addr, wait: waitFor, within: listWithin, kinds: kinds, known: known, log: log,
		http: http.Client{Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DisableCompression: true,
			MaxResponseHeaderBytes: 16 << 10, ReadBufferSize: 4096, WriteBufferSize: 1024}}}
}

// Move asks at another address from now on.
func (s *Source) Move(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == s.addr {
		return
	}
	s.log.Info("discovery moves", "from", s.addr, "to", addr)
	s.addr = addr
	if s.moved != nil {
		s.moved()
	}
}

var errMoved = errors.New("discovery is asked elsewhere")

// Run implements discovery.Source.
func (s *Source) Run(ctx context.Context, tell func(discovery.Update)) error {
	defer s.http.CloseIdleConnections()
	if s.known != nil {
		if err := s.take(s.known); err != nil {
			s.log.Warn("the list held at the start is unsound", "err", err)
		} else {
			s.tell(tell)
		}
	}
	whole, pause := true, firstPause
	for ctx.Err() == nil {
		l, err := s.call(ctx, whole)
		if err == nil {
			if err = s.take(l); err == nil {
				s.tell(tell)
				whole, pause = false, firstPause
				continue // at once: a watch that pauses is a new one
			}
		}
		if ctx.Err() != nil {
			return nil
		}
		whole = true // nobody knows what was missed
		if errors.Is(err, errMoved) {
			s.http.CloseIdleConnections()
			pause = firstPause
			continue
		}
		tell(discovery.Update{Err: err, At: time.Now()})
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, mostPause)
	}
	return nil
}

// call makes one call and reads its answer.
func (s *Source) call(ctx context.Context, whole bool) (*List, error) {
	within := s.within
	query := ""
	if !whole {
		within += s.wait
		query = "?since=" + strconv.FormatInt(s.revision, 10) + "&timeout_ms=" + strconv.FormatInt(s.wait.Milliseconds(), 10)
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	s.mu.Lock()
	addr := s.addr
	s.moved = cancel
	s.mu.Unlock()
	l, err := s.get(ctx, "http://"+addr+ListPath+query)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.moved = nil; s.addr != addr {
		return nil, errMoved
	}
	return l, err
}

func (s *Source) get(ctx context.Context, url string) (*List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	switch {
	case err != nil:
		return nil, err
	case len(b) > maxAnswer:
		return nil, fmt.Errorf("discovery answers with more than %d bytes", maxAnswer)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("discovery answers with status %d: %.100q", resp.StatusCode, b)
	}
	l := &List{Revision: -1}
	if err := json.Unmarshal(b, l); err != nil {
		return nil, fmt.Errorf("discovery's list: %w", err)
	}
	if l.Revision < 0 {
		return nil, errors.New("discovery's list has no revision")
	}
	return l, nil
}

// take puts an answer into the list; with an error the list stays as it was. An older revision is passed over.
func (s *Source) take(l *List) error {
	if l.Revision < s.revision {
		return fmt.Errorf("discovery's revision %d is older than %d", l.Revision, s.revision)
	}
	if len(l.Members) > maxMembers {
		return fmt.Errorf("discovery lists %d members", len(l.Members))
	}
	next := make(map[string]discovery.Engine, len(s.list)+len(l.Members))
	if !l.Complete {
		for _, e := range s.list {
			next[e.Name] = e
		}
	}
	seen := make(map[string]bool, len(l.Members))
	for i := range l.Members {
		m := &l.Members[i]
		if seen[m.ID] {
			return fmt.Errorf("member %q stands twice", m.ID)
		}
		seen[m.ID] = true
		if m.Phase == Removed {
			delete(next, m.ID)
			continue
		}
		e, err := s.engine(m)
		if err != nil {
			return err
		}
		next[m.ID] = e
	}
	list := slices.Collect(maps.Values(next))
	if err := discovery.Check(list); err != nil { // it sorts
		return err
	}
	s.list, s.revision = list, l.Revision
	return nil
}

func (s *Source) engine(m *Member) (discovery.Engine, error) {
	e := discovery.Engine{Name: m.ID, Addr: m.Addr, Kind: m.Kind, Zone: m.Zone, Cell: strconv.Itoa(m.Cell), Weight: m.Size}
	switch {
	case m.ID == "" || len(m.ID) > maxName || m.Addr == "" || len(m.Addr) > maxName:
		return e, fmt.Errorf("member %.40q at %.40q", m.ID, m.Addr)
	case !slices.Contains(s.kinds, m.Kind):
		return e, fmt.Errorf("member %q is of the unknown kind %.40q", m.ID, m.Kind)
	case m.SinceMS < 0 || m.Size < 0:
		return e, fmt.Errorf("member %q has the start %d and the size %g", m.ID, m.SinceMS, m.Size)
	}
	switch m.Phase {
	case Up:
		e.State = decide.Ready
	case Draining:
		e.State = decide.Draining
	default:
		return e, fmt.Errorf("member %q is in the unknown phase %.40q", m.ID, m.Phase)
	}
	if m.SinceMS > 0 {
		e.Since = time.UnixMilli(m.SinceMS)
	}
	return e, nil
}

func (s *Source) tell(tell func(discovery.Update)) {
	tell(discovery.Update{Engines: s.list, At: time.Now()})
}
