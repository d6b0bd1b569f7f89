package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// crowdRequestSize is the size of the bodies of a crowd, in bytes: just below the protocol's limit.
const crowdRequestSize = 255_000

// crowds are clients that cost a router memory for as long as they can. Each handles one connection until the router closes it.
var crowds = map[string]func(c net.Conn, id string){
	"write slowly": func(c net.Conn, id string) {
		slowly(c, largeRequest(id, "price-ask", 6*time.Second, crowdRequestSize), 16_000, 100*time.Millisecond)
		io.Copy(io.Discard, c)
	},
	"stop half way": func(c net.Conn, id string) {
		text := largeRequest(id, "price-ask", 6*time.Second, crowdRequestSize)
		writeText(c, text[:len(text)-1000])
		io.Copy(io.Discard, c)
	},
	"many short fields": func(c net.Conn, id string) {
		writeText(c, "POST /v1/chat/completions HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 3000))
		io.Copy(io.Discard, c)
	},
	"many chunks": func(c net.Conn, id string) {
		writeText(c, "POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\ny\r\n", 60_000))
		io.Copy(io.Discard, c)
	},
	"send ahead": func(c net.Conn, id string) {
		writeText(c, chatRequest(id, "price-ask", 6*time.Second)+largeRequest(id+"-2", "price-ask", 6*time.Second, crowdRequestSize)[:crowdRequestSize])
		io.Copy(io.Discard, c)
	},
	"read slowly": func(c net.Conn, id string) {
		writeText(c, chatRequest(id, "price-ask", 6*time.Second))
		for b := make([]byte, 1000); ; time.Sleep(200 * time.Millisecond) {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	},
}

func TestCrowdsOfClientsStayWithinMemory(t *testing.T) {
	const memoryMB, sockets, clients, crowdTime = 96, 768, 500, 5 * time.Second
	program := buildProgram(t)
	for name, client := range crowds {
		for _, event := range []int{100, 4000, 30_000} { // bytes
			if event > 100 && name != "read slowly" {
				continue
			}
			t.Run(fmt.Sprintf("%s, events of %d bytes", name, event), func(t *testing.T) {
				writer := &platformEngine{id: "d1", writer: true, stream: func(c net.Conn, _ string) bool {
					return writeEvents(c, 1_000_000/event, strings.Repeat("a", event), 0)
				}}
				p := startPlatformProgram(t, program, memoryMB, sockets, &platformEngine{id: "p1"}, writer)
				crowdOf(p, clients, crowdTime, client)
				select {
				case <-p.done:
					t.Fatal("the router has ended")
				default:
				}
				peak := p.peakMemory(t)
				t.Logf("peak %d MB, %d attempts at the writer", peak>>20, len(writer.attemptsOf("")))
				if peak > memoryMB<<20 {
					t.Errorf("the router had up to %d MB; %d are allowed", peak>>20, memoryMB)
				}
			})
		}
	}
}

// dialWithSmallBuffers connects a client that makes the kernel buffer little for it at either end.
func dialWithSmallBuffers(addr string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { return setSmallBuffers(raw) }}
	return dialer.Dial("tcp", addr)
}

// crowdOf runs clients for some time. A client whose connection has ended comes again.
func crowdOf(p *platformProcess, clients int, crowdTime time.Duration, client func(c net.Conn, id string)) {
	end := time.Now().Add(crowdTime)
	var work sync.WaitGroup
	for i := range clients {
		work.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c, err := dialWithSmallBuffers(p.addr)
				if err != nil {
					return
				}
				c.SetDeadline(end)
				client(c, fmt.Sprintf("crowd%d-%d", i, n))
				c.Close()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	work.Wait()
}
