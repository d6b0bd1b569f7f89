// Package fleet runs a number of stand-in engines in one process and maintains their list file as a slow discovery
// service would: what happens to an engine appears in the list only after a delay.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/audit"
	"mintdoor/internal/discovery"
	standin "mintdoor/internal/standin/engine"
)

// Group is a number of identical engines. They are named Prefix1, Prefix2 and so on, and spread over the cells.
type Group struct {
	Prefix         string
	Kind           string // engine kind in the settings
	Count          int
	Spec           standin.Spec
	OtherRole      *standin.Spec // the spec of the other role; nil: the engines have only one role
	RoleChangeTime time.Duration // duration of a role change
}

// Config is the configuration of a Fleet.
type Config struct {
	Groups                []Group
	Cells                 []string // "" alone: one cell without a name
	Zone                  string
	ListPath              string        // path of the list file
	CrashListDelay        time.Duration // until a crashed engine leaves the list
	UnresponsiveListDelay time.Duration // until an unresponsive engine leaves the list
	StartListDelay        time.Duration // until a restarted engine returns to the list
	LinkTokensPerSecond   float64       // bandwidth of a cell's link; 0: only the port limits transfers
	Seed                  uint64
	AuditLog              *audit.Log
	Log                   *slog.Logger
}

// Fleet is a running fleet.
type Fleet struct {
	cfg        Config
	log        *slog.Logger
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	wake       chan struct{} // tells maintainList of a new pending change

	mu      sync.Mutex
	members []*Member
	pending []listChange // changes of the list that are not due yet
	closed  bool
}

// Member is one engine and its list entry.
type Member struct {
	Name     string
	Group    *Group
	Cell     string
	Engine   *standin.Server
	entry    discovery.Engine
	listed   bool
	restarts int
}

// listChange is a future change of a list entry.
type listChange struct {
	at     time.Time
	member *Member
	apply  func(*Member)
}

// Start starts the engines and writes the first list.
func Start(cfg Config) (*Fleet, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	f := &Fleet{cfg: cfg, log: cfg.Log, wake: make(chan struct{}, 1)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if len(f.cfg.Cells) == 0 {
		f.cfg.Cells = []string{""}
	}
	links := map[string]*standin.Link{}
	for _, c := range f.cfg.Cells {
		if cfg.LinkTokensPerSecond > 0 {
			links[c] = &standin.Link{TokensPerSecond: cfg.LinkTokensPerSecond}
		}
	}
	for gi := range f.cfg.Groups {
		g := &f.cfg.Groups[gi]
		for i := range g.Count {
			m := &Member{Name: fmt.Sprintf("%s%d", g.Prefix, i+1), Group: g, Cell: f.cfg.Cells[i%len(f.cfg.Cells)]}
			m.Engine = standin.New(standin.Config{Name: m.Name, Addr: "127.0.0.1:0", Cell: m.Cell, Spec: g.Spec,
				OtherRole: g.OtherRole, RoleChangeTime: g.RoleChangeTime, Link: links[m.Cell],
				Seed: cfg.Seed + uint64(len(f.members)), AuditLog: cfg.AuditLog, Log: cfg.Log},
				func(since time.Time) { f.engineRestarted(m, since) })
			f.members = append(f.members, m)
			if err := m.Engine.Start(); err != nil {
				f.Close()
				return nil, err
			}
			m.entry = discovery.Engine{Name: m.Name, Addr: m.Engine.Addr(), Kind: g.Kind, Zone: cfg.Zone, Cell: m.Cell,
				State: decide.Ready, Weight: 1}
			m.listed = true
		}
	}
	if err := f.writeList(); err != nil {
		f.Close()
		return nil, err
	}
	f.goroutines.Add(1)
	go f.maintainList()
	return f, nil
}

// engineRestarted is called by an engine that has restarted, with the engine's lock held. Therefore nobody who holds
// the fleet's lock may call an engine, or else the two would deadlock.
func (f *Fleet) engineRestarted(m *Member, since time.Time) {
	if since.IsZero() {
		return // the first start is in the first list
	}
	f.mu.Lock()
	m.restarts++
	f.mu.Unlock()
	f.schedule(f.cfg.StartListDelay, m, func(m *Member) {
		m.entry.State, m.entry.StartedAt, m.listed = decide.Ready, since, true
	})
}

// schedule changes a member's list entry after a delay.
func (f *Fleet) schedule(d time.Duration, m *Member, apply func(*Member)) {
	f.mu.Lock()
	f.pending = append(f.pending, listChange{time.Now().Add(d), m, apply})
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// maintainList writes the list whenever changes become due.
func (f *Fleet) maintainList() {
	defer f.goroutines.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		f.mu.Lock()
		now := time.Now()
		changed := false
		next := time.Hour
		f.pending = slices.DeleteFunc(f.pending, func(c listChange) bool {
			if c.at.After(now) {
				next = min(next, c.at.Sub(now))
				return false
			}
			c.apply(c.member)
			changed = true
			return true
		})
		f.mu.Unlock()
		if changed {
			if err := f.writeList(); err != nil {
				f.log.Error("list", "err", err)
			}
		}
		timer.Reset(next)
		select {
		case <-f.ctx.Done():
			return
		case <-f.wake:
		case <-timer.C:
		}
	}
}

// writeList writes the list and records what it says. The audit record comes after the write: a router may know the
// list before that, but never later than its next check of the file.
func (f *Fleet) writeList() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []discovery.Engine
	for _, m := range f.members {
		if m.listed {
			list = append(list, m.entry)
		}
	}
	err := discovery.WriteList(f.cfg.ListPath, list)
	for _, m := range f.members {
		state := "gone"
		if m.listed {
			state = map[decide.Condition]string{decide.Ready: "ready", decide.Draining: "draining"}[m.entry.State]
		}
		f.cfg.AuditLog.Add(audit.Record{Who: m.Name, Kind: audit.Listed, Note: state})
	}
	return err
}

// Members returns the engines, in order.
func (f *Fleet) Members() []*Member { return f.members }

// Member returns the engine with the given name, or nil.
func (f *Fleet) Member(name string) *Member {
	for _, m := range f.members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// InjectFault injects a fault at an engine, and changes its list entry with the configured delay.
func (f *Fleet) InjectFault(m *Member, fault standin.Fault) error {
	if err := m.Engine.InjectFault(fault); err != nil {
		return err
	}
	unlist := func(m *Member) { m.listed = false }
	switch fault.Kind {
	case "crash":
		f.unlistUnlessRestarted(m, f.cfg.CrashListDelay, unlist)
	case "vanish":
		f.unlistUnlessRestarted(m, f.cfg.UnresponsiveListDelay, unlist)
	case "ageing":
		f.unlistUnlessRestarted(m, fault.Duration+f.cfg.CrashListDelay, unlist)
	case "preempt":
		f.schedule(0, m, func(m *Member) { m.entry.State = decide.Draining })
		f.unlistUnlessRestarted(m, time.Duration(fault.Size*float64(time.Second))+f.cfg.CrashListDelay, unlist)
	}
	return nil
}

// unlistUnlessRestarted takes an engine off the list after a delay, unless it has restarted by then.
func (f *Fleet) unlistUnlessRestarted(m *Member, after time.Duration, unlist func(*Member)) {
	f.mu.Lock()
	before := m.restarts
	f.mu.Unlock()
	f.schedule(after, m, func(m *Member) {
		if m.restarts == before {
			unlist(m)
		}
	})
}

// Drain lists an engine as draining at once. The engine still accepts work: the routers have to stop sending it.
func (f *Fleet) Drain(m *Member) {
	f.schedule(0, m, func(m *Member) { m.entry.State = decide.Draining })
}

// Undrain lists an engine as ready again.
func (f *Fleet) Undrain(m *Member) {
	f.schedule(0, m, func(m *Member) { m.entry.State = decide.Ready })
}

// Unlist takes an engine off the list although it runs.
func (f *Fleet) Unlist(m *Member) { f.schedule(0, m, func(m *Member) { m.listed = false }) }

// Relist puts an engine back on the list as ready.
func (f *Fleet) Relist(m *Member) {
	f.schedule(0, m, func(m *Member) { m.entry.State, m.listed = decide.Ready, true })
}

// Close stops all engines.
func (f *Fleet) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	f.mu.Unlock()
	f.cancel()
	f.goroutines.Wait()
	var all sync.WaitGroup
	for _, m := range f.members {
		all.Add(1)
		go func() { defer all.Done(); m.Engine.Close() }()
	}
	all.Wait()
}
