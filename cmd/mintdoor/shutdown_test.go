package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"mintdoor/internal/soak"
	standin "mintdoor/internal/standin/chat"
)

// platformRouter starts `mintdoor node` from the test's own program.
func platformRouter() soak.Program {
	return soak.Program{Path: os.Args[0], Args: []string{"node"}, Env: []string{"MINTDOOR_MAIN=1"}}
}

// longStreams is work whose streams take far longer than a router has after SIGTERM.
var longStreams = standin.Timing{ReadTime: 20 * time.Millisecond, FirstTokenTime: 20 * time.Millisecond, EventInterval: 50 * time.Millisecond, EventsPerStream: 1000}

func chatRequest(id, class string, left time.Duration) string {
	const body = `{"model":"chat"}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Time-Left-Ms: %d\r\nX-Facts: prompt_len=1000\r\nContent-Length: %d\r\n\r\n%s", id, class, left.Milliseconds(), len(body), body)
}

// wholeAnswer reads an answer to its end.
func wholeAnswer(c net.Conn) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// lateRequest is a request that comes late in a shutdown.
type lateRequest struct {
	name string
	conn net.Conn
	rest string // what is still to be sent
	code int
	err  error
}

// A request whose last byte comes more than 0.7 s after SIGTERM has its whole final answer when the process is killed, 3.7 s
// after SIGTERM, however long the streams of the engines take, and also if the process takes the signal late (incident 1).
func TestRequestsLateInAShutdownAreAnswered(t *testing.T) {
	for name, heldUp := range map[string]time.Duration{"signal taken at once": 0, "signal taken late": 150 * time.Millisecond} {
		t.Run(name, func(t *testing.T) { lateInAShutdown(t, heldUp) })
	}
}

func lateInAShutdown(t *testing.T, heldUp time.Duration) {
	const owedFrom, killedAt = 710 * time.Millisecond, 3700 * time.Millisecond
	world, err := soak.NewTestbed(soak.TestbedOptions{Program: platformRouter(), ConfigDir: t.TempDir(), Routers: 1, Readers: 1, Writers: 1,
		Timing: longStreams})
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
	var requests []*lateRequest
	add := func(name, class string, early int) {
		c, err := net.Dial("tcp", router.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		text := chatRequest(fmt.Sprintf("late%d", len(requests)), class, 2500*time.Millisecond)
		io.WriteString(c, text[:early])
		requests = append(requests, &lateRequest{name: name, conn: c, rest: text[early:]})
	}
	add("a safe one on a connection from before", "price-ask", 0)
	add("one that may not be repeated", "pen-booking", 0)
	add("one with a key", "stall-order", 0)
	add("one that has begun to come before", "price-ask", 60)
	if heldUp > 0 {
		router.Signal(syscall.SIGSTOP)
	}
	terminated := time.Now()
	router.Signal(syscall.SIGTERM)
	time.Sleep(heldUp)
	router.Signal(syscall.SIGCONT)
	add("one on a new connection", "price-ask", 0)
	time.Sleep(time.Until(terminated.Add(owedFrom)))
	done := make(chan bool)
	for _, q := range requests {
		io.WriteString(q.conn, q.rest)
		go func() {
			q.code, q.err = wholeAnswer(q.conn)
			done <- true
		}()
	}
	time.Sleep(time.Until(terminated.Add(killedAt)))
	router.Signal(syscall.SIGKILL)
	for range requests {
		<-done
	}
	for _, q := range requests {
		if q.err != nil {
			t.Errorf("%s: status %d, then %v", q.name, q.code, q.err)
		}
	}
	for _, a := range world.Cluster.Record().Attempts {
		if a.Writer && a.Outcome != standin.Streamed && a.Outcome != standin.Refused {
			t.Errorf("request %s was at writer %s and ended as %s", a.Request, a.Engine, a.Outcome)
		}
	}
}
