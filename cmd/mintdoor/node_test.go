package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"mintdoor/internal/eventually"
)

// agent starts a discovery agent of the platform with a list of one engine; the counter counts its calls.
func agent(t *testing.T) (string, *atomic.Int64) {
	asked := new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, `{"revision":1,"complete":true,"members":[{"id":"s1","host_port":"127.0.0.1:1","locality":"a",`+
			`"flavor":"prefill","cell":1,"phase":"up","size":1,"up_since_ms":0}]}`)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), asked
}

// In a router process, SIGHUP changes the discovery address and the process goes on, and SIGTERM ends the process with
// status 0 after the last connection.
func TestNodeAndItsSignals(t *testing.T) {
	form, err := os.ReadFile("../../internal/node/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		text := strings.Replace(string(form), "DISCOVERY", discovery, 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, asked := agent(t)
	second, moved := agent(t)
	write(first)
	cmd := exec.Command(os.Args[0], "node")
	cmd.Env = append(os.Environ(), "MINTDOOR_MAIN=1", "PROXY_CONFIG="+path)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := bufio.NewReader(log)
	addr := ""
	for addr == "" {
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if _, rest, ok := strings.Cut(line, `msg="router up"`); ok {
			_, rest, _ = strings.Cut(rest, "listen=")
			addr, _, _ = strings.Cut(rest, " ")
		}
	}
	rest := make(chan string, 1)
	go func() {
		var b bytes.Buffer
		io.Copy(&b, lines)
		rest <- b.String()
	}()
	up := func() int {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	progress := func() any { return asked.Load() }
	eventually.Is(t, "the router is ready", func() bool { return up() == 200 }, progress)
	write(second)
	cmd.Process.Signal(syscall.SIGHUP)
	eventually.Is(t, "the second agent is asked", func() bool { return moved.Load() > 0 }, progress)
	if code := up(); code != 200 {
		t.Errorf("after SIGHUP: %d", code)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v\n%s", err, <-rest)
	}
}

// A missing variable is reported in one line that names it, with status 1.
func TestNodeWithoutItsVariables(t *testing.T) {
	cmd := exec.Command(os.Args[0], "node")
	cmd.Env = append(os.Environ(), "MINTDOOR_MAIN=1", "PROXY_CONFIG=")
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "PROXY_CONFIG") || bytes.Count(out, []byte("\n")) != 1 {
		t.Errorf("%v: %q", err, out)
	}
}
