// Package fleet runs a number of stand-in engines in one process and keeps their list file as a late
// discovery would: what happens to an engine stands in the list only some time afterwards.
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

// Group is a number of alike engines. They are named Prefix1, Prefix2 and so on, and spread over the cells.
type Group struct {
	Prefix         string
	Kind           string // of the settings
	Count          int
	Spec           standin.Spec
	OtherRole      *standin.Spec // of its other role; nil: it has but one
	RoleChangeTime time.Duration // that a change of role takes
}

// Config is what a Fleet is made of.
type Config struct {
	Groups                []Group
	Cells                 []string // "" alone: one cell without a name
	Zone                  string
	ListPath              string        // path of the list file
	CrashListDelay        time.Duration // until a death stands in the list
	UnresponsiveListDelay time.Duration // until a silence does
	StartListDelay        time.Duration // until a start does
	LinkTokensPerSecond   float64       // tokens a second over a cell's link; 0: as the port
	Seed                  uint64
	AuditLog              *audit.Log
	Log                   *slog.Logger
}

// Fleet is a running fleet.
type Fleet struct {
	cfg    Config
	log    *slog.Logger
	ctx    context.Context
	end    context.CancelFunc
	work   sync.WaitGroup
	change chan struct{}

	mu      sync.Mutex
	members []*Member
	due     []change
	closed  bool
}

// Member is one engine with what its list entry says.
type Member struct {
	Name   string
	Group  *Group
	Cell   string
	Engine *standin.Server
	entry  discovery.Engine
	listed bool
	starts int // times that it has come back
}

// change is a list entry that will change.
type change struct {
	at     time.Time
	member *Member
	do     func(*Member)
}

// Start starts the engines and writes the first list.
func Start(cfg Config) (*Fleet, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	f := &Fleet{cfg: cfg, log: cfg.Log, change: make(chan struct{}, 1)}
	f.ctx, f.end = context.WithCancel(context.Background())
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
				OtherRole: g.OtherRole, RoleChangeTime: g.RoleChangeTime, Link: links[m.Cell], Seed: cfg.Seed + uint64(len(f.members)), AuditLog: cfg.AuditLog, Log: cfg.Log},
				func(since time.Time) { f.started(m, since) })
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
	if err := f.write(); err != nil {
		f.Close()
		return nil, err
	}
	f.work.Add(1)
	go f.keep()
	return f, nil
}

// started is told by an engine that has come back. The engine is locked meanwhile, so whoever holds the fleet's
// lock may ask no engine anything.
func (f *Fleet) started(m *Member, since time.Time) {
	if since.IsZero() {
		return // the first start is in the first list
	}
	f.mu.Lock()
	m.starts++
	f.mu.Unlock()
	f.later(f.cfg.StartListDelay, m, func(m *Member) {
		m.entry.State, m.entry.StartedAt, m.listed = decide.Ready, since, true
	})
}

func (f *Fleet) later(d time.Duration, m *Member, do func(*Member)) {
	f.mu.Lock()
	f.due = append(f.due, change{time.Now().Add(d), m, do})
	f.mu.Unlock()
	select {
	case f.change <- struct{}{}:
	default:
	}
}

// keep writes the list as its changes fall due.
func (f *Fleet) keep() {
	defer f.work.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		f.mu.Lock()
		now := time.Now()
		changed := false
		next := time.Hour
		f.due = slices.DeleteFunc(f.due, func(c change) bool {
			if c.at.After(now) {
				next = min(next, c.at.Sub(now))
				return false
			}
			c.do(c.member)
			changed = true
			return true
		})
		f.mu.Unlock()
		if changed {
			if err := f.write(); err != nil {
				f.log.Error("list", "err", err)
			}
		}
		timer.Reset(next)
		select {
		case <-f.ctx.Done():
			return
		case <-f.change:
		case <-timer.C:
		}
	}
}

// write writes the list and records what it says. A record comes after the write: a router may know it
// sooner, never later than its next look.
func (f *Fleet) write() error {
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

// Members are the engines, in order.
func (f *Fleet) Members() []*Member { return f.members }

// Member finds one by its name.
func (f *Fleet) Member(name string) *Member {
	for _, m := range f.members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// InjectFault plays a fault on an engine and, late, in the list.
func (f *Fleet) InjectFault(m *Member, fault standin.Fault) error {
	if err := m.Engine.InjectFault(fault); err != nil {
		return err
	}
	gone := func(m *Member) { m.listed = false }
	switch fault.Kind {
	case "crash":
		f.goneUnlessBack(m, f.cfg.CrashListDelay, gone)
	case "vanish":
		f.goneUnlessBack(m, f.cfg.UnresponsiveListDelay, gone)
	case "ageing":
		f.goneUnlessBack(m, fault.Duration+f.cfg.CrashListDelay, gone)
	case "preempt":
		f.later(0, m, func(m *Member) { m.entry.State = decide.Draining })
		f.goneUnlessBack(m, time.Duration(fault.Size*float64(time.Second))+f.cfg.CrashListDelay, gone)
	}
	return nil
}

// goneUnlessBack takes an engine off the list unless it has started again by then.
func (f *Fleet) goneUnlessBack(m *Member, after time.Duration, gone func(*Member)) {
	f.mu.Lock()
	before := m.starts
	f.mu.Unlock()
	f.later(after, m, func(m *Member) {
		if m.starts == before {
			gone(m)
		}
	})
}

// Drain lists an engine as draining at once. It goes on taking work: the routers are to keep away.
func (f *Fleet) Drain(m *Member) { f.later(0, m, func(m *Member) { m.entry.State = decide.Draining }) }

// Undrain lists it as ready again.
func (f *Fleet) Undrain(m *Member) { f.later(0, m, func(m *Member) { m.entry.State = decide.Ready }) }

// Unlist takes an engine off the list, though it runs.
func (f *Fleet) Unlist(m *Member) { f.later(0, m, func(m *Member) { m.listed = false }) }

// Relist puts it back.
func (f *Fleet) Relist(m *Member) {
	f.later(0, m, func(m *Member) { m.entry.State, m.listed = decide.Ready, true })
}

// Close ends all engines.
func (f *Fleet) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	f.mu.Unlock()
	f.end()
	f.work.Wait()
	var all sync.WaitGroup
	for _, m := range f.members {
		all.Add(1)
		go func() { defer all.Done(); m.Engine.Close() }()
	}
	all.Wait()
}
