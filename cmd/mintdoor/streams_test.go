package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"mintdoor/internal/soak"
	standin "mintdoor/internal/standin/chat"
)

// streamTiming makes an engine write six events and [DONE].
var streamTiming = standin.Timing{ReadTime: 10 * time.Millisecond, FirstTokenTime: 10 * time.Millisecond, EventInterval: 10 * time.Millisecond,
	EventsPerStream: 6}

// maxStreamStop is how long after the last event of a broken stream its client's connection may stay open.
const maxStreamStop = 5 * time.Second

// testStreams makes one router process for each behaviour of one reader and one writer, and calls check with what
// a client gets from it, up to the end of its answer or of its connection.
func testStreams(t *testing.T, behaviours []standin.Behaviour, check func(i int, answer string, err error)) {
	t.Helper()
	testbed, err := soak.NewTestbed(soak.TestbedOptions{Program: platformRouter(), ConfigDir: t.TempDir(), Routers: len(behaviours), Readers: 1,
		Writers: 1, Timing: streamTiming})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(testbed.Close)
	for i, router := range testbed.Routers {
		if i%startedTogether == 0 {
			startRouters(t, testbed.Routers[i:min(i+startedTogether, len(testbed.Routers))])
		}
		for _, e := range testbed.Engines() {
			e.SetBehaviour(behaviours[i])
		}
		c, err := net.Dial("tcp", router.Addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, chatRequest(fmt.Sprintf("stream%d", i), "price-ask", 2500*time.Millisecond))
		answer, err := readRawAnswer(c)
		c.Close()
		check(i, answer, err)
		router.Signal(syscall.SIGKILL)
	}
}

// startedTogether is how many routers are started at a time.
const startedTogether = 8

// startRouters starts routers and waits until they are ready.
func startRouters(t *testing.T, routers []*soak.Router) {
	t.Helper()
	for _, router := range routers {
		if err := router.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, router := range routers {
		if err := router.AwaitReady(time.Minute); err != nil {
			t.Fatal(err)
		}
	}
}

// readRawAnswer reads from a connection until the last chunk has come or the connection has ended. It returns an error
// if nothing comes for longer than a client may be left to wait.
func readRawAnswer(c net.Conn) (string, error) {
	var answer []byte
	for b := make([]byte, 4096); ; {
		c.SetReadDeadline(time.Now().Add(maxStreamStop))
		n, err := c.Read(b)
		answer = append(answer, b[:n]...)
		switch {
		case strings.HasSuffix(string(answer), "\r\n0\r\n\r\n") || err == io.EOF:
			return string(answer), nil
		case err != nil:
			return string(answer), err
		}
	}
}

func TestUnfinishedStreamIsNotEndedAsWhole(t *testing.T) {
	var behaviours []standin.Behaviour
	var names []string
	for fault := range standin.StreamFaults {
		for _, at := range []int{2, streamTiming.EventsPerStream + 1} { // after the first event, and in place of [DONE]
			behaviours = append(behaviours, standin.Behaviour{MalformedStream: 1, StreamFault: fault + 1, StreamFaultAt: at})
			names = append(names, fmt.Sprintf("%s after %d events", standin.StreamFaults[fault].Name, at-1))
		}
	}
	testStreams(t, behaviours, func(i int, answer string, err error) {
		switch {
		case err != nil:
			t.Errorf("%s: the client had to wait: %v", names[i], err)
		case !strings.HasPrefix(answer, "HTTP/1.1 200 ") || !strings.Contains(answer, fmt.Sprintf("stream%d/d2/0", i)):
			t.Errorf("%s: the first event was not passed on: %q", names[i], answer)
		case strings.HasSuffix(answer, "0\r\n\r\n"):
			t.Errorf("%s: ended with the last chunk: %q", names[i], answer[max(0, len(answer)-120):])
		}
	})
}

func TestSoundStreamsPassUnchanged(t *testing.T) {
	var behaviours []standin.Behaviour
	for form := range standin.StreamForms {
		behaviours = append(behaviours, standin.Behaviour{StreamForm: form + 1})
	}
	testStreams(t, behaviours, func(i int, answer string, err error) {
		if err != nil || !strings.HasSuffix(answer, "\r\n0\r\n\r\n") {
			t.Errorf("%s: not served: %v, %q", standin.StreamForms[i].Name, err, answer)
			return
		}
		for n, event := range standin.StreamForms[i].Events(fmt.Sprintf("stream%d", i), "d2", streamTiming.EventsPerStream) {
			if !strings.Contains(answer, event) {
				t.Errorf("%s: event %d is missing in %q", standin.StreamForms[i].Name, n, answer)
			}
		}
	})
}
