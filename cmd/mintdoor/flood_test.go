package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// floods are requests that one client sends at full speed on one connection; n is the request's number.
var floods = map[string]func(n int) string{
	"probes of the router": func(int) string { return "GET /up HTTP/1.1\r\nHost: a\r\n\r\n" },
	"unknown paths":        func(n int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", n) },
	"unknown classes": func(n int) string {
		return chatRequest(fmt.Sprintf("flood%d", n), fmt.Sprintf("class%d", n), time.Second)
	},
	"no time": func(n int) string {
		return strings.Replace(chatRequest(fmt.Sprintf("flood%d", n), "price-ask", time.Second), "X-Time-Left-Ms: 1000", "X-Time-Left-Ms: 1", 1)
	},
	"new names": func(n int) string {
		return strings.Replace(chatRequest(fmt.Sprintf("flood%d", n), "price-ask", time.Second), "X-Facts: ",
			fmt.Sprintf("X-Session-Key: s%d\r\nX-Account: t%d\r\nX-Facts: prefix=p%d,", n, n, n), 1)
	},
	"noise":       func(n int) string { return fmt.Sprintf("\x01\x02 %d\r\n\r\n", n) },
	"empty lines": func(int) string { return "\r\n" },
	"one chunk of a byte": func(n int) string {
		if n == 0 {
			return "POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		}
		return "1\r\ny\r\n"
	},
	"behind an open request": func(n int) string {
		if n == 0 {
			return chatRequest("open", "price-ask", 6*time.Second)
		}
		return "GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
	},
}

// flood sends requests at full speed until an instant, many with one write. It reads what it is sent, and connects again when its
// connection has ended.
func flood(p *platformProcess, request func(n int) string, until time.Time) (sent, conns int) {
	const perWrite = 50
	for time.Now().Before(until) {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			return sent, conns
		}
		conns++
		c.SetDeadline(until)
		done := make(chan struct{})
		go func() { defer close(done); io.Copy(io.Discard, c); c.Close() }()
		for first, err := 0, error(nil); err == nil; first += perWrite {
			var text strings.Builder
			for n := first; n < first+perWrite; n++ {
				text.WriteString(request(sent + n - first))
			}
			if first == 0 && request(0) != request(1) && sent > 0 {
				text.Reset()
				text.WriteString(request(0) + request(sent+1))
			}
			if _, err = io.WriteString(c, text.String()); err == nil {
				sent += perWrite
			}
		}
		c.Close()
		<-done
	}
	return sent, conns
}

func TestFloodOfOneClientDoesNotDelayOthers(t *testing.T) {
	const memoryMB, sockets, floodTime, left, allowed = 96, 768, 4 * time.Second, 2 * time.Second, 550 * time.Millisecond
	program := buildProgram(t)
	for name, request := range floods {
		t.Run(name, func(t *testing.T) {
			stream := func(c net.Conn, _ string) bool { return writeEvents(c, 4, "a", 20*time.Millisecond) }
			p := startPlatformProgram(t, program, memoryMB, sockets, &platformEngine{id: "p1"}, &platformEngine{id: "p2"},
				&platformEngine{id: "d1", writer: true, stream: stream}, &platformEngine{id: "d2", writer: true, stream: stream})
			until := time.Now().Add(floodTime)
			flooded := make(chan string)
			go func() {
				sent, conns := flood(p, request, until)
				flooded <- fmt.Sprintf("%d requests on %d connections", sent, conns)
			}()
			served, longest := 0, time.Duration(0)
			for n := 0; time.Now().Before(until); n++ {
				c := p.dial(t)
				c.SetDeadline(time.Now().Add(10 * time.Second))
				start := time.Now()
				io.WriteString(c, chatRequest(fmt.Sprintf("other%d", n), "price-ask", left))
				code, err := wholeAnswer(c)
				took := time.Since(start)
				longest = max(longest, took)
				if code == 0 || err != nil || took > left+allowed {
					t.Errorf("another client's request was answered with %d, %v after %v", code, err, took)
				}
				if code == 200 {
					served++
				}
				c.Close()
				time.Sleep(50 * time.Millisecond)
			}
			peak := p.peakMemory(t)
			t.Logf("%s; others: %d served, %v at the most; peak %d MB", <-flooded, served, longest, peak>>20)
			if served == 0 {
				t.Error("no other client was served")
			}
			if peak > memoryMB<<20 {
				t.Errorf("the router had up to %d MB; %d are allowed", peak>>20, memoryMB)
			}
		})
	}
}
