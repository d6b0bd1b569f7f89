// Package soak runs real router processes of the platform under random, overlapping faults and evaluates them from
// outside, by what their clients, their engines and discovery have seen. Engines, discovery and the network are
// stand-ins on loopback. Every router reaches the engines through its own proxies, each for a group of engines on one
// network. The package measures no performance.
package soak

import (
	"fmt"
	"log/slog"
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
	// VaryStreams is the probability that an engine writes a stream in an unusual form.
	VaryStreams float64
	Seed        uint64
	Log         *slog.Logger // nil: nothing is logged
	classes     []class
	params      ruleParams
}

// Testbed is a set of routers with their engines, networks and discovery.
type Testbed struct {
	opts      TestbedOptions
	Cluster   *standin.Cluster
	Directory *standin.Directory
	Routers   []*Router

	listener *standin.EngineListener

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

// maxGroups limits the groups of a role, since each group needs one listener per router.
const maxGroups = 20

// NewTestbed builds a testbed. Its routers are not started.
func NewTestbed(o TestbedOptions) (*Testbed, error) {
	if o.classes == nil {
		o.classes = defaultClasses()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.params == (ruleParams{}) {
		o.params = defaultRuleParams()
	}
	listener, err := standin.NewEngineListener()
	if err != nil {
		return nil, err
	}
	tb := &Testbed{opts: o, Cluster: standin.NewCluster(), Directory: standin.NewDirectory(), listener: listener,
		engines: map[string]*standin.Engine{}, members: map[string]watch.Member{}, leaving: map[string]bool{},
		coldStarts: map[string]time.Time{}, agents: map[int][]*standin.Agent{}, groupOf: map[string]*engineGroup{}}
	if err := tb.build(); err != nil {
		tb.Close()
		return nil, err
	}
	return tb, nil
}

// build makes the networks, the routers' configurations and the engines.
func (tb *Testbed) build() error {
	// The networks listen on all addresses, so they take their ports before a free port is searched for any router.
	if err := tb.addGroups(false, min(tb.opts.Readers, maxGroups)); err != nil {
		return err
	}
	if err := tb.addGroups(true, min(tb.opts.Writers, maxGroups)); err != nil {
		return err
	}
	for i := range tb.opts.Routers {
		r, err := tb.newRouter(i)
		if err != nil {
			return err
		}
		tb.Routers = append(tb.Routers, r)
	}
	if err := tb.AddEngines(tb.opts.Readers, false, 0); err != nil {
		return err
	}
	return tb.AddEngines(tb.opts.Writers, true, 0)
}

// addGroups adds n groups of a role, each with a proxy per router.
func (tb *Testbed) addGroups(writers bool, n int) error {
	for range n {
		g := &engineGroup{writers: writers}
		tb.groups = append(tb.groups, g)
		for router := range tb.opts.Routers {
			p, err := standin.NewProxy(tb.Cluster, router)
			if err != nil {
				return err
			}
			g.proxies = append(g.proxies, p)
		}
	}
	return nil
}

// Engine capacity. With more than maxFullSlotEngines engines of a role, all of them together process
// readerSlotsPerRouter or writerSlotsPerRouter requests at once for each router, so that a router's share of the
// capacity depends on nothing else. With fewer engines, each processes the maximum.
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
	n, maxSlots, slotsPerRouter := o.Readers, maxReaderSlots, readerSlotsPerRouter
	if writer {
		n, maxSlots, slotsPerRouter = o.Writers, maxWriterSlots, writerSlotsPerRouter
	}
	if n <= maxFullSlotEngines {
		return maxSlots
	}
	return min(max(slotsPerRouter*o.Routers/n, minSlots), maxSlots)
}

// The second octets of the routers' and the agents' addresses. Of each there are hostRanges, and a process takes its own by its
// id: while a router is down, another soak on the same machine must not take its address.
const (
	firstRouterRange = 150
	firstAgentRange  = 200
	hostRanges       = 50
)

// routerHost and agentHost return the loopback addresses of a router and of its discovery agents, by its number.
func routerHost(i int) string { return hostInRange(firstRouterRange, i) }
func agentHost(i int) string  { return hostInRange(firstAgentRange, i) }

func hostInRange(first, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%hostRanges, i>>8, i&0xff)
}

// The limits of a router.
const (
	routerMemoryMB = 192
	routerSockets  = 512
)

// newRouter makes the configuration of a router, and its first agent.
func (tb *Testbed) newRouter(i int) (*Router, error) {
	addr, err := freeAddr(routerHost(i))
	if err != nil {
		return nil, err
	}
	r := &Router{Index: i, Addr: addr, testbed: tb}
	if r.agent, err = tb.NewAgent(i); err != nil {
		return nil, err
	}
	r.config = config{Name: fmt.Sprintf("n%d", i), Listen: addr, Discovery: r.agent.Addr(),
		Known:    watch.List{Complete: true, Members: []watch.Member{}},
		Limits:   limits{Cores: 1, MemoryMB: routerMemoryMB, Sockets: routerSockets},
		Settings: settingsFor(tb.opts.Routers, i, tb.opts.classes, tb.opts.params)}
	if tb.opts.LogDir != "" {
		if r.log, err = os.Create(filepath.Join(tb.opts.LogDir, r.config.Name+".log")); err != nil {
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
func (tb *Testbed) NewAgent(router int) (*standin.Agent, error) {
	a, err := standin.NewAgent(tb.Directory, agentHost(router), func(member string) string {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		if g := tb.groupOf[member]; g != nil && tb.engines[member] != nil {
			return g.proxies[router].AddrOf(tb.engines[member])
		}
		return "127.0.0.1:1" // the engine has been removed, and nothing listens here
	})
	if err != nil {
		return nil, err
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.agents[router] = append(tb.agents[router], a)
	return a, nil
}

// reachabilityOf returns the times in which a router could reach each engine that was ever started.
func (tb *Testbed) reachabilityOf(router int) map[string]*reachability {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	networkOutages := map[*engineGroup][]standin.Interval{}
	for _, g := range tb.groups {
		networkOutages[g] = g.proxies[router].Outages()
	}
	out := map[string]*reachability{}
	for _, e := range tb.allEngines {
		r := &reachability{since: e.StartTime(), outages: e.Downtimes()}
		r.outages = append(r.outages, networkOutages[tb.groupOf[e.ID()]]...)
		slices.SortFunc(r.outages, func(a, b standin.Interval) int { return a.From.Compare(b.From) })
		out[e.ID()] = r
	}
	return out
}

// agentsOf returns all agents that a router was configured with.
func (tb *Testbed) agentsOf(router int) []*standin.Agent {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return append([]*standin.Agent(nil), tb.agents[router]...)
}

// lastReported returns the newest list that a router's agents have reported to it, or an empty list. An agent may have been
// behind the one before it.
func (tb *Testbed) lastReported(router int) watch.List {
	newest := watch.List{Complete: true, Members: []watch.Member{}}
	for _, a := range tb.agentsOf(router) {
		if list, ok := a.Reported(); ok && list.Revision >= newest.Revision {
			newest = list
		}
	}
	return newest
}

// AddEngines starts engines of a role and lists them in one change. sinceMS is their start time in the list, in Unix
// milliseconds; 0 means long ago.
func (tb *Testbed) AddEngines(n int, writers bool, sinceMS int64) error {
	members := make([]watch.Member, 0, n)
	for range n {
		m, err := tb.startEngine(writers, sinceMS)
		if err != nil {
			return err
		}
		members = append(members, m)
	}
	tb.Directory.Put(members...)
	return nil
}

// startEngine starts an engine that is not listed yet.
func (tb *Testbed) startEngine(writer bool, sinceMS int64) (m watch.Member, err error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.lastEngineNumber++
	kind, prefix := readerKind, "p"
	if writer {
		kind, prefix = writerKind, "d"
	}
	id := fmt.Sprintf("%s%d", prefix, tb.lastEngineNumber)
	e, err := standin.NewEngine(standin.EngineOptions{ID: id, Writer: writer, Cluster: tb.Cluster, Timing: tb.opts.Timing,
		MaxInFlight: tb.opts.slots(writer), Seed: tb.opts.Seed + uint64(tb.lastEngineNumber), Listener: tb.listener,
		VaryStreams: tb.opts.VaryStreams})
	if err != nil {
		return m, err
	}
	g := tb.smallestGroup(writer)
	g.size++
	for _, p := range g.proxies {
		p.AddEngine(e)
	}
	tb.groupOf[id], tb.engines[id] = g, e
	tb.allEngines = append(tb.allEngines, e)
	if sinceMS > 0 {
		tb.coldStarts[id] = time.UnixMilli(sinceMS)
	}
	m = watch.Member{ID: id, Zone: zoneName, Kind: kind, Cell: 1, Phase: watch.Up, Size: 1, SinceMS: sinceMS}
	tb.members[id] = m
	return m, nil
}

// smallestGroup returns the group of a role with the fewest engines. mu is held.
func (tb *Testbed) smallestGroup(writers bool) (smallest *engineGroup) {
	for _, g := range tb.groups {
		if g.writers == writers && (smallest == nil || g.size < smallest.size) {
			smallest = g
		}
	}
	return smallest
}

// Engines returns the running engines, sorted by id.
func (tb *Testbed) Engines() []*standin.Engine {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var out []*standin.Engine
	for _, id := range slices.Sorted(maps.Keys(tb.engines)) {
		out = append(out, tb.engines[id])
	}
	return out
}

// Proxy returns the proxy of an engine's group for a router, or nil if the engine is not known.
func (tb *Testbed) Proxy(router int, engine string) *standin.Proxy {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if g := tb.groupOf[engine]; g != nil {
		return g.proxies[router]
	}
	return nil
}

// groupOfEngine returns the group of an engine that was ever started.
func (tb *Testbed) groupOfEngine(id string) *engineGroup {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.groupOf[id]
}

// ReadyEngines returns how many engines of a role are listed as up and are not being removed.
func (tb *Testbed) ReadyEngines(writers bool) (n int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for id, e := range tb.engines {
		if e.Writer() == writers && tb.members[id].Phase == watch.Up && !tb.leaving[id] {
			n++
		}
	}
	return n
}

// ClaimForRemoval marks an engine as being removed. It returns false if it was marked before or does not run.
func (tb *Testbed) ClaimForRemoval(id string) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.leaving[id] || tb.engines[id] == nil {
		return false
	}
	tb.leaving[id] = true
	return true
}

// DrainEngines lists engines as draining, in one change.
func (tb *Testbed) DrainEngines(ids ...string) { tb.setPhase(watch.Draining, ids) }

// UnlistEngines takes engines off the list, in one change.
func (tb *Testbed) UnlistEngines(ids ...string) { tb.setPhase(watch.Removed, ids) }

// setPhase lists engines in a phase, in one change.
func (tb *Testbed) setPhase(phase string, ids []string) {
	var changed []watch.Member
	tb.mu.Lock()
	for _, id := range ids {
		m := tb.members[id]
		m.Phase = phase
		tb.members[id] = m
		changed = append(changed, m)
	}
	tb.mu.Unlock()
	tb.Directory.Put(changed...)
	tb.opts.Log.Info("engines are listed", "phase", phase, "engines", ids)
}

// RemoveEngine stops an engine that was taken off the list.
func (tb *Testbed) RemoveEngine(id string) {
	tb.mu.Lock()
	e := tb.engines[id]
	delete(tb.engines, id)
	delete(tb.members, id)
	g := tb.groupOf[id]
	if e != nil {
		g.size--
	}
	tb.mu.Unlock()
	if e == nil {
		return
	}
	e.Kill()
	for _, p := range g.proxies {
		p.RemoveEngine(e)
	}
}

// Close kills the routers and stops everything else.
func (tb *Testbed) Close() {
	for _, r := range tb.Routers {
		r.Signal(syscall.SIGCONT)
		r.Signal(syscall.SIGKILL)
	}
	for _, r := range tb.Routers {
		r.Wait()
		if r.log != nil {
			r.log.Close()
		}
	}
	tb.mu.Lock()
	engines, agents := tb.engines, tb.agents
	tb.engines, tb.agents = nil, nil
	closed := tb.closed
	tb.closed = true
	tb.mu.Unlock()
	if closed {
		return
	}
	for _, e := range engines {
		e.Kill()
	}
	for _, g := range tb.groups {
		for _, p := range g.proxies {
			p.Close()
		}
	}
	tb.listener.Close()
	for _, agentsOfRouter := range agents {
		for _, a := range agentsOfRouter {
			a.Close()
		}
	}
}
