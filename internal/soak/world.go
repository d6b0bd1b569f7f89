// Package soak runs real router processes of the platform under random, overlapping faults and judges them from outside:
// by what their clients, their engines and discovery have seen. Engines, discovery and the network are stand-ins on
// loopback; every router reaches every engine through a proxy of its own.
package soak

import (
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"mintdoor/internal/discovery/watch"
	standin "mintdoor/internal/standin/chat"
)

// WorldOptions are what a world is made of.
type WorldOptions struct {
	Program Program
	Dir     string // for configuration files; must exist
	Logs    string // folder for the routers' logs; "": none are kept
	Routers int
	Readers int
	Writers int
	Work    standin.Work // of every engine
	Seed    uint64
	classes []class
	figures figures
}

// World is routers with all that surrounds them.
type World struct {
	opts      WorldOptions
	Cluster   *standin.Cluster
	Directory *standin.Directory
	Routers   []*Router

	mu         sync.Mutex
	engines    map[string]*standin.Engine
	members    map[string]watch.Member
	claimed    map[string]bool         // engines that are on their way out
	all        []*standin.Engine       // that ever ran
	allProxies map[link]*standin.Proxy // that ever were
	starts     map[string]time.Time    // of engines that started cold
	proxies    map[link]*standin.Proxy
	agents     map[int][]*standin.Agent // all that there were, by router
	serial     int
}

// link names a proxy.
type link struct {
	router int
	engine string
}

// NewWorld builds a world. Its routers are not started.
func NewWorld(o WorldOptions) (*World, error) {
	if o.classes == nil {
		o.classes = defaultClasses()
	}
	if o.figures == (figures{}) {
		o.figures = defaultFigures()
	}
	w := &World{opts: o, Cluster: standin.NewCluster(), Directory: standin.NewDirectory(), engines: map[string]*standin.Engine{},
		members: map[string]watch.Member{}, claimed: map[string]bool{}, allProxies: map[link]*standin.Proxy{}, starts: map[string]time.Time{}, agents: map[int][]*standin.Agent{}, proxies: map[link]*standin.Proxy{}}
	for i := range o.Routers {
		r, err := w.newRouter(i)
		if err != nil {
			w.Close()
			return nil, err
		}
		w.Routers = append(w.Routers, r)
	}
	for i := range o.Readers + o.Writers {
		if _, err := w.AddEngine(i >= o.Readers, 0); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// Requests that an engine does at once.
const (
	readerSlots = 8
	writerSlots = 24
)

// hosts of the routers and of the proxies, by the router's number.
func routerHost(i int) string { return fmt.Sprintf("127.20.%d.%d", i>>8, i&0xff) }
func proxyHost(i int) string  { return fmt.Sprintf("127.40.%d.%d", i>>8, i&0xff) }

func (w *World) newRouter(i int) (*Router, error) {
	addr, err := freeAddr(routerHost(i))
	if err != nil {
		return nil, err
	}
	r := &Router{Index: i, Addr: addr, world: w}
	if r.agent, err = w.NewAgent(i); err != nil {
		return nil, err
	}
	const memoryMB, sockets = 192, 512
	r.config = config{Name: fmt.Sprintf("n%d", i), Listen: addr, Discovery: r.agent.Addr(), Known: watch.List{Complete: true, Members: []watch.Member{}},
		Limits: limits{Cores: 1, MemoryMB: memoryMB, Sockets: sockets}, Settings: settingsFor(w.opts.Routers, i, w.opts.classes, w.opts.figures)}
	if w.opts.Logs != "" {
		if r.log, err = os.Create(filepath.Join(w.opts.Logs, r.config.Name+".log")); err != nil {
			return nil, fmt.Errorf("soak: %w", err)
		}
	}
	return r, nil
}

// freeAddr returns an address that nobody listens on.
func freeAddr(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// NewAgent starts an agent of discovery for a router.
func (w *World) NewAgent(router int) (*standin.Agent, error) {
	a, err := standin.NewAgent(w.Directory, proxyHost(router), func(member string) string {
		w.mu.Lock()
		defer w.mu.Unlock()
		if p := w.proxies[link{router, member}]; p != nil {
			return p.Addr()
		}
		return "127.0.0.1:1" // it has left
	})
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents[router] = append(w.agents[router], a)
	return a, nil
}

// pathsOf tells how a router reached all engines that there were.
func (w *World) pathsOf(router int) map[string]*path {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]*path{}
	for _, e := range w.all {
		p := &path{since: e.Started(), gaps: e.Absences()}
		if proxy := w.allProxies[link{router, e.ID()}]; proxy != nil {
			p.gaps = append(p.gaps, proxy.Silences()...)
		}
		slices.SortFunc(p.gaps, func(a, b standin.Span) int { return a.From.Compare(b.From) })
		out[e.ID()] = p
	}
	return out
}

// agentsOf returns all agents that a router was told of.
func (w *World) agentsOf(router int) []*standin.Agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*standin.Agent(nil), w.agents[router]...)
}

// AddEngine starts an engine and lists it; sinceMS is its start as the list tells it, 0 for long ago.
func (w *World) AddEngine(writer bool, sinceMS int64) (*standin.Engine, error) {
	w.mu.Lock()
	w.serial++
	kind, prefix := readerKind, "p"
	if writer {
		kind, prefix = writerKind, "d"
	}
	id := fmt.Sprintf("%s%d", prefix, w.serial)
	w.mu.Unlock()
	slots := readerSlots
	if writer {
		slots = writerSlots
	}
	e, err := standin.NewEngine(standin.EngineOptions{ID: id, Writer: writer, Cluster: w.Cluster, Work: w.opts.Work, Slots: slots,
		Seed: w.opts.Seed + uint64(w.serial)})
	if err != nil {
		return nil, err
	}
	proxies := map[link]*standin.Proxy{}
	for i := range w.opts.Routers {
		p, err := standin.NewProxy(w.Cluster, proxyHost(i), e.Addr(), i)
		if err != nil {
			e.Kill()
			return nil, err
		}
		proxies[link{i, id}] = p
	}
	m := watch.Member{ID: id, Zone: zoneName, Kind: kind, Cell: 1, Phase: watch.Up, Size: 1, SinceMS: sinceMS}
	w.mu.Lock()
	w.engines[id], w.members[id] = e, m
	w.all = append(w.all, e)
	if sinceMS > 0 {
		w.starts[id] = time.UnixMilli(sinceMS)
	}
	for at, p := range proxies {
		w.proxies[at] = p
		w.allProxies[at] = p
	}
	w.mu.Unlock()
	w.Directory.Put(m)
	return e, nil
}

// Engines returns the engines that run, by their ids.
func (w *World) Engines() []*standin.Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*standin.Engine
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		out = append(out, w.engines[id])
	}
	return out
}

// Proxy returns the proxy between a router and an engine; nil if the engine is gone.
func (w *World) Proxy(router int, engine string) *standin.Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.proxies[link{router, engine}]
}

// Ready tells how many engines of a role are listed as up and not on their way out.
func (w *World) Ready(writers bool) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.engines {
		if e.Writer() == writers && w.members[id].Phase == watch.Up && !w.claimed[id] {
			n++
		}
	}
	return n
}

// Claim notes that an engine is on its way out; false if it was already.
func (w *World) Claim(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.claimed[id] || w.engines[id] == nil {
		return false
	}
	w.claimed[id] = true
	return true
}

// BeginDrain lists an engine as draining.
func (w *World) BeginDrain(id string) { w.setPhase(id, watch.Draining) }

// TakeOff takes an engine off the list.
func (w *World) TakeOff(id string) { w.setPhase(id, watch.Removed) }

func (w *World) setPhase(id, phase string) {
	w.mu.Lock()
	m := w.members[id]
	m.Phase = phase
	w.members[id] = m
	w.mu.Unlock()
	w.Directory.Put(m)
}

// RemoveEngine ends an engine that was taken off the list.
func (w *World) RemoveEngine(id string) {
	w.mu.Lock()
	e := w.engines[id]
	delete(w.engines, id)
	delete(w.members, id)
	var gone []*standin.Proxy
	for at, p := range w.proxies {
		if at.engine == id {
			gone = append(gone, p)
			delete(w.proxies, at)
		}
	}
	w.mu.Unlock()
	if e != nil {
		e.Kill()
	}
	for _, p := range gone {
		p.Close()
	}
}

// Close kills the routers and ends everything.
func (w *World) Close() {
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
	engines, agents, proxies := w.engines, w.agents, w.proxies
	w.engines, w.agents, w.proxies = nil, nil, nil
	w.mu.Unlock()
	for _, e := range engines {
		e.Kill()
	}
	for _, p := range proxies {
		p.Close()
	}
	for _, of := range agents {
		for _, a := range of {
			a.Close()
		}
	}
}
