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

// A writer falls silent behind connections that stand. Requests wait for it, some to their deadlines, as many time out; what was
// read for them is let go in time all the same: a send that has not arrived does not stop that clock.
func TestStatesBehindASilentWriterAreLetGo(t *testing.T) {
	const most = 1300 * time.Millisecond // the settings' second and what sockets add
	world, err := soak.NewWorld(soak.WorldOptions{Program: platformRouter(), Dir: t.TempDir(), Routers: 1, Readers: 1, Writers: 1,
		Work: standin.Work{Read: 10 * time.Millisecond, FirstToken: 10 * time.Millisecond, Event: time.Millisecond, Events: 3}})
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	router := world.Routers[0]
	if err := router.Start(); err != nil {
		t.Fatal(err)
	}
	if err := router.AwaitReady(time.Minute); err != nil {
		t.Fatal(err)
	}
	const clients = 6
	conns := make([]net.Conn, clients)
	ask := func(round int, done chan bool) {
		for i := range conns {
			if round == 0 {
				c, err := net.Dial("tcp", router.Addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				conns[i] = c
			}
			io.WriteString(conns[i], chatRequest(fmt.Sprintf("r%d-%d", round, i), "price-ask", 2500*time.Millisecond))
			go func() {
				wholeAnswer(conns[i])
				done <- true
			}()
		}
	}
	done := make(chan bool)
	ask(0, done) // makes connections that are kept
	for range conns {
		<-done
	}
	time.Sleep(100 * time.Millisecond) // they rest for a moment before they are used again
	for _, e := range world.Engines() {
		if e.Writer() {
			if err := world.Proxy(0, e.ID()).Silence(); err != nil {
				t.Fatal(err)
			}
		}
	}
	ask(1, done)
	for range conns {
		<-done
	}
	router.Signal(syscall.SIGTERM)
	router.Wait()
	held := 0
	for _, h := range world.Cluster.Record().Holds {
		if h.Until.IsZero() {
			t.Errorf("what was read for %s is held yet", h.Request)
			continue
		}
		if h.Request[:2] == "r1" {
			held++
		}
		if d := h.Until.Sub(h.From); d > most {
			t.Errorf("what was read for %s was held for %v", h.Request, d)
		}
	}
	if held == 0 {
		t.Error("nothing was held: the silence has not struck")
	}
}
