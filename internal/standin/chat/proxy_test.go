package chat

import (
	"net"
	"sync"
	"testing"
	"time"
)

// TestDialsWhileTrafficIsDropped checks that no dial completes while traffic is dropped, at any of many proxies that
// drop it at the same time, and that every dial completes afterwards.
func TestDialsWhileTrafficIsDropped(t *testing.T) {
	const proxies, dialTimeout, dialPatience = 30, 250 * time.Millisecond, 20 * time.Second
	cluster := NewCluster()
	listener, err := NewEngineListener()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	e, err := NewEngine(EngineOptions{ID: "d", Cluster: cluster, Listener: listener})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Kill()
	var all []*Proxy
	for i := range proxies {
		p, err := NewProxy(cluster, i)
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		p.AddEngine(e)
		all = append(all, p)
	}
	each := func(do func(p *Proxy)) {
		var work sync.WaitGroup
		for _, p := range all {
			work.Go(func() { do(p) })
		}
		work.Wait()
	}
	dialCompletes := func(p *Proxy, within time.Duration) bool {
		c, err := net.DialTimeout("tcp", p.AddrOf(e), within)
		if err != nil {
			return false
		}
		c.Close()
		return true
	}
	for range 3 {
		each(func(p *Proxy) {
			if err := p.DropTraffic(); err != nil {
				t.Error(err)
			}
		})
		each(func(p *Proxy) {
			for range 3 {
				if dialCompletes(p, dialTimeout) {
					t.Error("a dial completed while traffic was dropped")
				}
			}
		})
		each(func(p *Proxy) {
			if err := p.RestoreTraffic(); err != nil {
				t.Error(err)
			}
		})
		each(func(p *Proxy) {
			if !dialCompletes(p, dialPatience) {
				t.Error("a dial did not complete after traffic was restored")
			}
		})
	}
}
