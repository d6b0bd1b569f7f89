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

// platformRouter runs 'mintdoor node' from the test binary.
func platformRouter() soak.Program {
	return soak.Program{Path: os.Args[0], Args: []string{"node"}, Env: []string{"MINTDOOR_MAIN=1"}}
}

// longStreams makes engines stream for far longer than a router has after SIGTERM.
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

// lateRequest is a request whose last byte is sent late in a shutdown.
type lateRequest struct {
	name string
	conn net.Conn
	rest string // the bytes that are still to be sent
	code int
	err  error
}

// A request whose last byte arrives more than 0.7 s after SIGTERM has its whole final answer when the process is
// killed 3.7 s after SIGTERM. This holds however long the engines' streams take, and also if the process handles the
// signal late. The test guards against requests that are sent to a writer during a shutdown and lost when the process
// is killed.
func TestRequestsLateInShutdownAreAnswered(t *testing.T) {
	for name, pause := range map[string]time.Duration{"signal handled immediately": 0, "signal handled late": 150 * time.Millisecond} {
		t.Run(name, func(t *testing.T) { testLateInShutdown(t, pause) })
	}
}

func testLateInShutdown(t *testing.T, pause time.Duration) {
	const lateFrom, killedAt = 710 * time.Millisecond, 3700 * time.Millisecond
	testbed, err := soak.NewTestbed(soak.TestbedOptions{Program: platformRouter(), ConfigDir: t.TempDir(), Routers: 1, Readers: 1, Writers: 1,
		Timing: longStreams})
	if err != nil {
		t.Fatal(err)
	}
	defer testbed.Close()
	router := testbed.Routers[0]
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
	add("a safe request on an existing connection", "price-ask", 0)
	add("a request that must not be repeated", "pen-booking", 0)
	add("a keyed request", "stall-order", 0)
	add("a request that was partly sent before", "price-ask", 60)
	if pause > 0 {
		router.Signal(syscall.SIGSTOP)
	}
	terminated := time.Now()
	router.Signal(syscall.SIGTERM)
	time.Sleep(pause)
	router.Signal(syscall.SIGCONT)
	add("a request on a new connection", "price-ask", 0)
	time.Sleep(time.Until(terminated.Add(lateFrom)))
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
	for _, a := range testbed.Cluster.Record().Attempts {
		if a.Writer && a.Outcome != standin.Streamed && a.Outcome != standin.Refused {
			t.Errorf("request %s was at writer %s and ended as %s", a.Request, a.Engine, a.Outcome)
		}
	}
}
