// Package soak runs real router processes of the platform under random, overlapping faults and evaluates them from
// outside, by what their clients, their engines and discovery have seen. Engines, discovery and the network are
// stand-ins on loopback. Every router reaches the engines through its own proxies, each for a group of engines on one
// network. The package measures no performance.
package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mintdoor/internal/discovery/watch"
	standin "mintdoor/internal/standin/chat"
)

// TestbedOptions are the options of a Testbed.
type TestbedOptions struct {
	Program   Program
	ConfigDir string // folder for the routers' configuration files; must exist
	LogDir    string // folder for the routers' logs; "": no logs are kept
	Routers   int
	Readers   int
	Writers   int
	Timing    standin.Timing // of every engine
	Seed      uint64
	classes   []class
	params    ruleParams
}

// Testbed is a set of routers with their engines, networks and discovery.
type Testbed struct {
	opts      TestbedOptions
	Cluster   *standin.Cluster
	Directory *standin.Directory
	Routers   []*Router

	machines *standin.EngineListener

	mu               sync.Mutex
	engines          map[string]*standin.Engine
	members          map[string]watch.Member
	leaving          map[string]bool      // engines that are being removed
	allEngines       []*standin.Engine    // every engine that was ever started
	coldStarts       map[string]time.Time // start times of the engines that were started cold
	groups           []*engineGroup
	groupOf          map[string]*engineGroup  // by engine
	agents           map[int][]*standin.Agent // all agents so far, by router
	lastEngineNumber int
	closed           bool
}

// engineGroup is a group of engines of one role on one network. Network faults affect all of them alike.
type engineGroup struct {
	writers bool
	proxies []*standin.Proxy // by router
	size    int              // number of running engines
}

// maxGroups limits the groups of a role, since each group costs every router a listener.
const maxGroups = 20

// NewTestbed builds a testbed. Its routers are not started.
func NewTestbed(o TestbedOptions) (*Testbed, error) {
	if o.classes == nil {
		o.classes = defaultClasses()
	}
	if o.params == (ruleParams{}) {
		o.params = defaultRuleParams()
	}
	machines, err := standin.NewEngineListener()
	if err != nil {
		return nil, err
	}
	w := &Testbed{opts: o, Cluster: standin.NewCluster(), Directory: standin.NewDirectory(), machines: machines,
		engines: map[string]*standin.Engine{}, members: map[string]watch.Member{}, leaving: map[string]bool{},
		coldStarts: map[string]time.Time{}, agents: map[int][]*standin.Agent{}, groupOf: map[string]*engineGroup{}}
	if err := w.build(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// build makes the networks, the routers' configurations and the engines.
func (w *Testbed) build() error {
	// The networks listen on all addresses, so they take their ports before a free port is searched for any router.
	if err := w.addGroups(false, min(w.opts.Readers, maxGroups)); err != nil {
		return err
	}
	if err := w.addGroups(true, min(w.opts.Writers, maxGroups)); err != nil {
		return err
	}
	for i := range w.opts.Routers {
		r, err := w.newRouter(i)
		if err != nil {
			return err
		}
		w.Routers = append(w.Routers, r)
	}
	if err := w.AddEngines(w.opts.Readers, false, 0); err != nil {
		return err
	}
	return w.AddEngines(w.opts.Writers, true, 0)
}

// addGroups makes groups of a role.
func (w *Testbed) addGroups(writers bool, n int) error {
	for range n {
		g := &engineGroup{writers: writers}
		w.groups = append(w.groups, g)
		for router := range w.opts.Routers {
			p, err := standin.NewProxy(w.Cluster, router)
			if err != nil {
				return err
			}
			g.proxies = append(g.proxies, p)
		}
	}
	return nil
}

// Engine capacity. With more than maxFullSlotEngines engines of a role, all of them together process the given number
// of requests at once per router, so that a router's share of the capacity depends on nothing else. With fewer
// engines, each processes the maximum.
const (
	maxReaderSlots       = 8
	maxWriterSlots       = 24
	readerSlotsPerRouter = 24
	writerSlotsPerRouter = 60
	minSlots             = 1
	maxFullSlotEngines   = 40
)

// slots returns how many requests an engine of a role processes at once.
func (o *TestbedOptions) slots(writer bool) int {
	n, most, share := o.Readers, maxReaderSlots, readerSlotsPerRouter
	if writer {
		n, most, share = o.Writers, maxWriterSlots, writerSlotsPerRouter
	}
	if n <= maxFullSlotEngines {
		return most
	}
	return min(max(share*o.Routers/n, minSlots), most)
}

// routerHost and agentHost return the loopback addresses of a router and of its discovery agents.
func routerHost(i int) string { return fmt.Sprintf("127.20.%d.%d", i>>8, i&0xff) }
func agentHost(i int) string  { return fmt.Sprintf("127.40.%d.%d", i>>8, i&0xff) }

// newRouter makes the configuration of a router, and its first agent.
func (w *Testbed) newRouter(i int) (*Router, error) {
	addr, err := freeAddr(routerHost(i))
	if err != nil {
		return nil, err
	}
	r := &Router{Index: i, Addr: addr, testbed: w}
	if r.agent, err = w.NewAgent(i); err != nil {
		return nil, err
	}
	const memoryMB, sockets = 192, 512
	r.config = config{Name: fmt.Sprintf("n%d", i), Listen: addr, Discovery: r.agent.Addr(), Known: watch.List{Complete: true, Members: []watch.Member{}},
		Limits: limits{Cores: 1, MemoryMB: memoryMB, Sockets: sockets}, Settings: settingsFor(w.opts.Routers, i, w.opts.classes, w.opts.params)}
	if w.opts.LogDir != "" {
		if r.log, err = os.Create(filepath.Join(w.opts.LogDir, r.config.Name+".log")); err != nil {
			return nil, fmt.Errorf("soak: %w", err)
		}
	}
	return r, nil
}

// Routers use ports below those that the networks use on all addresses.
const (
	firstPort = 10_000
	lastPort  = 20_000
)

// freeAddr returns an address that nobody listens on.
func freeAddr(host string) (addr string, err error) {
	for range 100 {
		addr = net.JoinHostPort(host, strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		var l net.Listener
		if l, err = net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr, nil
		}
	}
	return "", fmt.Errorf("soak: %w", err)
}

// NewAgent starts a discovery agent for a router.
func (w *Testbed) NewAgent(router int) (*standin.Agent, error) {
	a, err := standin.NewAgent(w.Directory, agentHost(router), func(member string) string {
		w.mu.Lock()
		defer w.mu.Unlock()
		if g := w.groupOf[member]; g != nil && w.engines[member] != nil {
			return g.proxies[router].AddrOf(w.engines[member])
		}
		return "127.0.0.1:1" // the engine has been removed
	})
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents[router] = append(w.agents[router], a)
	return a, nil
}

// reachabilityOf returns the times in which a router could reach each engine that was ever started.
func (w *Testbed) reachabilityOf(router int) map[string]*reachability {
	w.mu.Lock()
	defer w.mu.Unlock()
	silences := map[*engineGroup][]standin.Interval{}
	for _, g := range w.groups {
		silences[g] = g.proxies[router].Outages()
	}
	out := map[string]*reachability{}
	for _, e := range w.allEngines {
		p := &reachability{since: e.StartTime(), outages: e.Downtimes()}
		p.outages = append(p.outages, silences[w.groupOf[e.ID()]]...)
		slices.SortFunc(p.outages, func(a, b standin.Interval) int { return a.From.Compare(b.From) })
		out[e.ID()] = p
	}
	return out
}

// agentsOf returns all agents that a router was configured with.
func (w *Testbed) agentsOf(router int) []*standin.Agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*standin.Agent(nil), w.agents[router]...)
}

// AddEngines starts engines of a role and lists them in one change. sinceMS is their start time in the list, in Unix
// milliseconds; 0 means long ago.
func (w *Testbed) AddEngines(n int, writers bool, sinceMS int64) error {
	members := make([]watch.Member, 0, n)
	for range n {
		m, err := w.startEngine(writers, sinceMS)
		if err != nil {
			return err
		}
		members = append(members, m)
	}
	w.Directory.Put(members...)
	return nil
}

// startEngine starts an engine that is not listed yet.
func (w *Testbed) startEngine(writer bool, sinceMS int64) (m watch.Member, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEngineNumber++
	kind, prefix := readerKind, "p"
	if writer {
		kind, prefix = writerKind, "d"
	}
	id := fmt.Sprintf("%s%d", prefix, w.lastEngineNumber)
	e, err := standin.NewEngine(standin.EngineOptions{ID: id, Writer: writer, Cluster: w.Cluster, Timing: w.opts.Timing,
		MaxInFlight: w.opts.slots(writer), Seed: w.opts.Seed + uint64(w.lastEngineNumber), Listener: w.machines})
	if err != nil {
		return m, err
	}
	g := w.smallestGroup(writer)
	g.size++
	for _, p := range g.proxies {
		p.AddEngine(e)
	}
	w.groupOf[id], w.engines[id] = g, e
	w.allEngines = append(w.allEngines, e)
	if sinceMS > 0 {
		w.coldStarts[id] = time.UnixMilli(sinceMS)
	}
	m = watch.Member{ID: id, Zone: zoneName, Kind: kind, Cell: 1, Phase: watch.Up, Size: 1, SinceMS: sinceMS}
	w.members[id] = m
	return m, nil
}

// smallestGroup returns the group of a role with the fewest engines. mu is held.
func (w *Testbed) smallestGroup(writers bool) (least *engineGroup) {
	for _, g := range w.groups {
		if g.writers == writers && (least == nil || g.size < least.size) {
			least = g
		}
	}
	return least
}

// Engines returns the running engines, sorted by id.
func (w *Testbed) Engines() []*standin.Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*standin.Engine
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		out = append(out, w.engines[id])
	}
	return out
}

// Proxy returns the proxy of an engine's group for a router, or nil if the engine is not known.
func (w *Testbed) Proxy(router int, engine string) *standin.Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g := w.groupOf[engine]; g != nil {
		return g.proxies[router]
	}
	return nil
}

// groupOfEngine returns the group of an engine that was ever started.
func (w *Testbed) groupOfEngine(id string) *engineGroup {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.groupOf[id]
}

// ReadyEngines returns how many engines of a role are listed as up and are not being removed.
func (w *Testbed) ReadyEngines(writers bool) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.engines {
		if e.Writer() == writers && w.members[id].Phase == watch.Up && !w.leaving[id] {
			n++
		}
	}
	return n
}

// ClaimForRemoval marks an engine as being removed. It returns false if it was marked before or does not run.
func (w *Testbed) ClaimForRemoval(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving[id] || w.engines[id] == nil {
		return false
	}
	w.leaving[id] = true
	return true
}

// DrainEngines lists engines as draining, in one change.
func (w *Testbed) DrainEngines(ids ...string) { w.setPhase(watch.Draining, ids) }

// UnlistEngines takes engines off the list, in one change.
func (w *Testbed) UnlistEngines(ids ...string) { w.setPhase(watch.Removed, ids) }

// setPhase lists engines in a phase, in one change.
func (w *Testbed) setPhase(phase string, ids []string) {
	var changed []watch.Member
	w.mu.Lock()
	for _, id := range ids {
		m := w.members[id]
		m.Phase = phase
		w.members[id] = m
		changed = append(changed, m)
	}
	w.mu.Unlock()
	w.Directory.Put(changed...)
}

// RemoveEngine stops an engine that was taken off the list.
func (w *Testbed) RemoveEngine(id string) {
	w.mu.Lock()
	e := w.engines[id]
	delete(w.engines, id)
	delete(w.members, id)
	g := w.groupOf[id]
	if e != nil {
		g.size--
	}
	w.mu.Unlock()
	if e == nil {
		return
	}
	e.Kill()
	for _, p := range g.proxies {
		p.RemoveEngine(e)
	}
}

// Close kills the routers and stops everything else.
func (w *Testbed) Close() {
	for _, r := range w.Routers {
		r.Signal(syscall.SIGCONT)
		r.Signal(syscall.SIGKILL)
	}
	for _, r := range w.Routers {
		r.Wait()
		if r.log != nil {
			r.log.Close()
		}
	}
	w.mu.Lock()
	engines, agents := w.engines, w.agents
	w.engines, w.agents = nil, nil
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if closed {
		return
	}
	for _, e := range engines {
		e.Kill()
	}
	for _, g := range w.groups {
		for _, p := range g.proxies {
			p.Close()
		}
	}
	w.machines.Close()
	for _, of := range agents {
		for _, a := range of {
			a.Close()
		}
	}
}
