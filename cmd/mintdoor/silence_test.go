package main

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"mintdoor/internal/soak"
	standin "mintdoor/internal/standin/chat"
)

// keptConnections is a router process with one reader and one writer, and clients whose first requests have left the
// router with idle connections to both.
type keptConnections struct {
	testbed *soak.Testbed
	conns   []net.Conn
	codes   chan int
}

func keepConnections(t *testing.T, clients int, work standin.Timing) *keptConnections {
	t.Helper()
	testbed, err := soak.NewTestbed(soak.TestbedOptions{Program: platformRouter(), ConfigDir: t.TempDir(), Routers: 1, Readers: 1, Writers: 1,
		Timing: work})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(testbed.Close)
	router := testbed.Routers[0]
	if err := router.Start(); err != nil {
		t.Fatal(err)
	}
	if err := router.AwaitReady(time.Minute); err != nil {
		t.Fatal(err)
	}
	k := &keptConnections{testbed: testbed, codes: make(chan int, clients)}
	for range clients {
		c, err := net.Dial("tcp", router.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		k.conns = append(k.conns, c)
	}
	k.ask("r0")
	k.answers()
	time.Sleep(100 * time.Millisecond) // connections have to be idle for a moment before they are reused
	return k
}

// ask makes every client send a request.
func (k *keptConnections) ask(round string) {
	for i, c := range k.conns {
		io.WriteString(c, chatRequest(fmt.Sprintf("%s-%d", round, i), "price-ask", 2500*time.Millisecond))
		go func() {
			code, _ := wholeAnswer(c)
			k.codes <- code
		}()
	}
}

// answers waits for the answers of all clients and returns their status codes.
func (k *keptConnections) answers() (codes []int) {
	for range k.conns {
		codes = append(codes, <-k.codes)
	}
	return codes
}

// disturb applies a function to the proxies in front of the engines of one role.
func (k *keptConnections) disturb(t *testing.T, writers bool, do func(*standin.Proxy) error) {
	t.Helper()
	for _, e := range k.testbed.Engines() {
		if e.Writer() != writers {
			continue
		}
		if err := do(k.testbed.Proxy(0, e.ID())); err != nil {
			t.Fatal(err)
		}
	}
}

// checkHolds ends the router, and checks that the KV states that were read in a round were held, and not for too
// long.
func (k *keptConnections) checkHolds(t *testing.T, round string) {
	t.Helper()
	const limit = 1300 * time.Millisecond // the hold timeout of the settings (1 s) and what sockets add
	k.testbed.Routers[0].Signal(syscall.SIGTERM)
	k.testbed.Routers[0].Wait()
	held := 0
	for _, h := range k.testbed.Cluster.Record().Holds {
		if h.Until.IsZero() {
			t.Errorf("the KV state of %s is still held", h.Request)
			continue
		}
		if h.Request[:2] == round {
			held++
		}
		if d := h.Until.Sub(h.From); d > limit {
			t.Errorf("the KV state of %s was held for %v", h.Request, d)
		}
	}
	if held == 0 {
		t.Error("no KV state was held in this round, so nothing was tested")
	}
}

// A writer stops responding on connections that stay open. Requests wait for it, some of them until their deadlines,
// since many time out. Their KV states are released in time nevertheless: a send that has not arrived does
// not pause the hold timer.
func TestStatesBehindAnUnresponsiveWriterAreReleased(t *testing.T) {
	k := keepConnections(t, 6, standin.Timing{ReadTime: 10 * time.Millisecond, FirstTokenTime: 10 * time.Millisecond, EventInterval: time.Millisecond,
		EventsPerStream: 3})
	k.disturb(t, true, (*standin.Proxy).DropTraffic)
	k.ask("r1")
	k.answers()
	k.checkHolds(t, "r1")
}

// Open connections stop carrying data for good and without an error, while new connections work: those to the reader
// while it reads, and those to the writer. That an engine can be reached doesn't show that a send on an old
// connection has arrived, or that its answer will arrive. KV states are released in time, and the requests are
// served, since nothing is wrong with the engines.
func TestStatesBehindBlackholedConnectionsAreReleased(t *testing.T) {
	k := keepConnections(t, 8, standin.Timing{ReadTime: 100 * time.Millisecond, FirstTokenTime: 10 * time.Millisecond, EventInterval: time.Millisecond,
		EventsPerStream: 3})
	blackhole := func(p *standin.Proxy) error {
		p.BlackholeConnections()
		return nil
	}
	k.disturb(t, true, blackhole)
	k.ask("r1")
	time.Sleep(50 * time.Millisecond) // the requests are at the reader
	k.disturb(t, false, blackhole)
	for i, code := range k.answers() {
		if code != 200 {
			t.Errorf("request %d was answered with status %d", i, code)
		}
	}
	k.checkHolds(t, "r1")
}
