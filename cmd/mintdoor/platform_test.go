package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mintdoor/internal/http1"
	"mintdoor/internal/platform"
	"mintdoor/internal/soak"
)

// platformEngine is an engine of the platform without a proxy in front of it, for tests of how bytes pass.
type platformEngine struct {
	id     string
	writer bool
	// receive reads the body of an attempt; nil: as fast as it comes.
	receive func(body io.Reader, length int64) error
	// stream writes the answer of a writer; false closes the connection.
	stream func(c net.Conn, id string) bool

	listener net.Listener
	mu       sync.Mutex
	attempts []platformAttempt
}

// platformAttempt is an attempt that has arrived at a platformEngine.
type platformAttempt struct {
	request string
	began   time.Time // when its head had arrived
}

// The sizes of the engines' receive buffers and segments, in bytes. With small segments the kernel gives the router a small
// send buffer, so that a write to an engine that reads slowly blocks.
const (
	receiveBufferSize = 4096
	segmentSize       = 536
)

// setSmallBuffers gives a socket the sizes above.
func setSmallBuffers(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize)
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
	})
}

// start starts the engine.
func (e *platformEngine) start(t *testing.T) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setSmallBuffers(raw) }}
	var err error
	if e.listener, err = config.Listen(t.Context(), "tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.listener.Close() })
	go func() {
		for {
			c, err := e.listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for br := bufio.NewReader(c); e.handle(c, br); {
				}
			}()
		}
	}()
}

// handle reads and answers one request. It returns false if the connection has to end.
func (e *platformEngine) handle(c net.Conn, br *bufio.Reader) bool {
	head, err := http1.ReadHead(br, 1<<16)
	if err != nil {
		return false
	}
	began := time.Now()
	method, target, _, _ := head.RequestLine()
	length, _, _ := head.Framing()
	isAttempt := method == "POST" && target == platform.ChatPath
	receive := e.receive
	if receive == nil || !isAttempt {
		receive = func(body io.Reader, length int64) error {
			_, err := io.CopyN(io.Discard, body, length)
			return err
		}
	}
	if receive(br, max(length, 0)) != nil {
		return false
	}
	id, _ := head.Get(platform.IDHeader)
	switch {
	case target == platform.LoadPath:
		const report = `{"lat_ms":10,"x0":0.1,"x1":0}`
		return writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report))
	case !isAttempt:
		return writeText(c, "HTTP/1.1 204 No Content\r\n\r\n")
	}
	e.mu.Lock()
	e.attempts = append(e.attempts, platformAttempt{id, began})
	e.mu.Unlock()
	if !e.writer {
		const read = `{"cached_tokens":0}`
		return writeText(c, fmt.Sprintf("HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n%s", len(read), read))
	}
	return e.stream(c, id)
}

// attemptsOf returns the attempts of requests whose id begins with prefix.
func (e *platformEngine) attemptsOf(prefix string) (out []platformAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.attempts {
		if strings.HasPrefix(a.request, prefix) {
			out = append(out, a)
		}
	}
	return out
}

func writeText(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

const platformStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// writeEvents writes a whole stream of n events, each with the given text, and a pause before each but the first.
func writeEvents(c net.Conn, n int, text string, pause time.Duration) bool {
	if !writeText(c, platformStreamHead) {
		return false
	}
	event := chunkOf(`data: {"choices":[{"index":0,"delta":{"content":"` + text + `"}}]}` + "\n\n")
	for i := range n {
		if i > 0 {
			time.Sleep(pause)
		}
		if !writeText(c, event) {
			return false
		}
	}
	return writeText(c, chunkOf("data: [DONE]\n\n")+"0\r\n\r\n")
}

// platformProcess is a router process.
type platformProcess struct {
	addr string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// startPlatformProcess starts a router with the given limits and waits until it is ready to use the engines.
func startPlatformProcess(t *testing.T, memoryMB, sockets int, engines ...*platformEngine) *platformProcess {
	t.Helper()
	return startPlatformProgram(t, os.Args[0], memoryMB, sockets, engines...)
}

// buildProgram builds the program without the race detector, with which it would need several times the memory.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "mintdoor")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// startPlatformProgram is startPlatformProcess with another program.
func startPlatformProgram(t *testing.T, program string, memoryMB, sockets int, engines ...*platformEngine) *platformProcess {
	t.Helper()
	var members []string
	for _, e := range engines {
		e.start(t)
		kind := "prefill"
		if e.writer {
			kind = "decode"
		}
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":%q,"cell":1,"phase":"up","size":1,"up_since_ms":0}`,
			e.id, e.listener.Addr(), kind))
	}
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[%s]}`, strings.Join(members, ","))
	}))
	t.Cleanup(func() { agent.CloseClientConnections(); agent.Close() })
	p := &platformProcess{done: make(chan struct{})}
	p.cmd = exec.Command(program, "node")
	p.cmd.Env = append(os.Environ(), "MINTDOOR_MAIN=1", "PROXY_CONFIG="+writePlatformConfig(t, agent.Listener.Addr().String(), memoryMB, sockets))
	log, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill(); <-p.done })
	addr := make(chan string, 1)
	go p.readLog(log, addr)
	select {
	case p.addr = <-addr:
	case <-p.done:
		t.Fatal("the router has ended")
	}
	for deadline := time.Now().Add(time.Minute); !p.isReady(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the router is not ready")
		}
	}
	return p
}

// writePlatformConfig writes a router's configuration and returns its path.
func writePlatformConfig(t *testing.T, discovery string, memoryMB, sockets int) string {
	t.Helper()
	form, err := os.ReadFile("../../internal/node/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(form, &config); err != nil {
		t.Fatal(err)
	}
	config["discovery"] = discovery
	config["limits"] = map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets}
	config["settings"].(map[string]any)["requestClasses"] = []map[string]any{
		{"name": "price-ask", "aimNs": 1_200_000_000, "deadlineNs": 6_000_000_000, "value": 1, "repeat": "safe"},
		{"name": "pen-booking", "aimNs": 1_200_000_000, "deadlineNs": 6_000_000_000, "value": 3, "repeat": "unsafe"},
	}
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// readLog reads the process's log until it ends, and sends the address that it listens on.
func (p *platformProcess) readLog(log io.Reader, addr chan<- string) {
	defer close(p.done)
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if os.Getenv("MINTDOOR_TEST_LOG") != "" {
			fmt.Println(lines.Text())
		}
		if _, rest, ok := strings.Cut(lines.Text(), `msg="router up"`); ok {
			_, rest, _ = strings.Cut(rest, "listen=")
			at, _, _ := strings.Cut(rest, " ")
			addr <- at
		}
	}
	io.Copy(io.Discard, log)
	p.cmd.Wait()
}

// isReady reports whether the router says that it is ready.
func (p *platformProcess) isReady() bool {
	resp, err := http.Get("http://" + p.addr + platform.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// dial connects a client.
func (p *platformProcess) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// peakMemory returns the most memory that the process has had, in bytes.
func (p *platformProcess) peakMemory(t *testing.T) int64 {
	t.Helper()
	peak, err := soak.PeakMemory(p.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	return peak
}

// largeRequest returns a request with a body of the given size.
func largeRequest(id, class string, left time.Duration, size int) string {
	body := `{"model":"chat","x":"` + strings.Repeat("y", size) + `"}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Time-Left-Ms: %d\r\nX-Facts: prompt_len=1000\r\nContent-Length: %d\r\n\r\n%s", id, class, left.Milliseconds(), len(body), body)
}
