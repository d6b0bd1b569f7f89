package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/config"
	"mintdoor/internal/daemon"
	"mintdoor/internal/discovery"
	"mintdoor/internal/engine"
	"mintdoor/internal/kserve"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Benchmarks of the router's overhead. Within one run they compare requests through the router with a client that
// calls both stages itself, and with the same calls through the standard library's reverse proxy. The engines answer
// immediately, so that only the path is measured.

const tokensPerAnswer = 20

const costSettings = `
engine-connections 20000
log-level warn
stream-idle 10m
list engines.list
listen 127.0.0.1:0
class price-ask
    deadline 60s
kind prefill
    role prefill
kind decode
    role decode
`

// instantEngine starts an engine without a model, whose stages answer immediately. If hold is not nil, streams stay
// open after their first token until it is closed.
func instantEngine(tb testing.TB, hold chan struct{}) *httptest.Server {
	var s *httptest.Server
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/models/{model}/infer", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			ID string `json:"id"`
		}
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"model_name":"helpline","id":%q,"parameters":{"kv_handle":"h","kv_source":%q,"kv_tokens":100,"kept_tokens":0},"outputs":[]}`,
			q.ID, s.Listener.Addr())
	})
	mux.HandleFunc("POST /v2/models/{model}/generate_stream", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			ID string `json:"id"`
		}
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for range tokensPerAnswer {
			fmt.Fprintf(w, "data: {\"model_name\":\"helpline\",\"id\":%q,\"text_output\":\"word \"}\n\n", q.ID)
			control.Flush()
			if hold != nil {
				select {
				case <-hold:
				case <-r.Context().Done():
					return
				}
			}
		}
		fmt.Fprintf(w, "data: {\"model_name\":\"helpline\",\"id\":%q,\"text_output\":\"\",\"details\":{\"finish_reason\":\"stop\"}}\n\n", q.ID)
	})
	s = httptest.NewServer(mux)
	tb.Cleanup(s.Close)
	return s
}

// callPath sends one request to the engines in some way and reads the answer to its end.
type callPath func(ctx context.Context, c *http.Client) error

func post(ctx context.Context, c *http.Client, url, body string, read func(io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s: %s", resp.Status, text)
	}
	return read(resp.Body)
}

func readStream(r io.Reader) error {
	events := kserve.NewEventReader(r, 1<<16)
	for n := 0; ; n++ {
		if _, err := events.Next(); err != nil {
			if n != tokensPerAnswer+1 {
				return fmt.Errorf("%d events: %w", n, err)
			}
			return nil
		}
	}
}

// callBothStages returns the path of a client that calls both stages at an address.
func callBothStages(base string) callPath {
	return func(ctx context.Context, c *http.Client) error {
		err := post(ctx, c, base+"/v2/models/helpline/infer",
			`{"id":"a","parameters":{"stage":"prefill","prompt_tokens":100},"inputs":[{"name":"text_input","shape":[1],"datatype":"BYTES","data":["What is the rate of onions?"]}]}`,
			func(r io.Reader) error { _, err := io.Copy(io.Discard, r); return err })
		if err != nil {
			return err
		}
		return post(ctx, c, base+"/v2/models/helpline/generate_stream",
			`{"id":"a","text_input":"","parameters":{"stage":"decode","kv_handle":"h","kv_source":"x"}}`, readStream)
	}
}

// callRouter returns the path of a client that calls the router at an address.
func callRouter(base string) callPath {
	return func(ctx context.Context, c *http.Client) error {
		return post(ctx, c, base+"/v2/models/helpline/generate_stream",
			`{"id":"a","text_input":"What is the rate of onions?","parameters":{"prompt_tokens":100,"session":"s"}}`, readStream)
	}
}

// startRouter starts a router in this process, with instant engines, and returns its address.
func startRouter(tb testing.TB, readers, writers []*httptest.Server) string {
	dir := tb.TempDir()
	var list []discovery.Engine
	for i, s := range readers {
		list = append(list, discovery.Engine{Name: fmt.Sprint("p", i), Addr: s.Listener.Addr().String(), Kind: "prefill", State: decide.Ready, Weight: 1})
	}
	for i, s := range writers {
		list = append(list, discovery.Engine{Name: fmt.Sprint("d", i), Addr: s.Listener.Addr().String(), Kind: "decode", State: decide.Ready, Weight: 1})
	}
	if err := discovery.WriteList(filepath.Join(dir, "engines.list"), list); err != nil {
		tb.Fatal(err)
	}
	conf := filepath.Join(dir, "r.conf")
	if err := os.WriteFile(conf, []byte(costSettings), 0o644); err != nil {
		tb.Fatal(err)
	}
	set, err := config.Load(conf)
	if err != nil {
		tb.Fatal(err)
	}
	d, err := daemon.New(set, 1, slog.New(slog.DiscardHandler), nil)
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			tb.Error(err)
		}
	})
	for !d.Router.Ready() {
		time.Sleep(time.Millisecond)
	}
	return "http://" + d.Addr()
}

// callPaths returns the three paths to one pair of engines, with their names.
func callPaths(tb testing.TB) (names []string, paths []callPath) {
	reader, writer := instantEngine(tb, nil), instantEngine(tb, nil)
	target, err := url.Parse(reader.URL)
	if err != nil {
		tb.Fatal(err)
	}
	trans := &http.Transport{MaxIdleConnsPerHost: 1024}
	proxy := httptest.NewServer(&httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(target) }, FlushInterval: -1, Transport: trans,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)})
	tb.Cleanup(func() { proxy.Close(); trans.CloseIdleConnections() })
	router := startRouter(tb, []*httptest.Server{reader}, []*httptest.Server{writer})
	return []string{"direct", "proxy", "router"}, []callPath{callBothStages(reader.URL), callBothStages(proxy.URL), callRouter(router)}
}

func newClient(tb testing.TB) *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 1024}
	tb.Cleanup(t.CloseIdleConnections)
	return &http.Client{Transport: t}
}

// BenchmarkThroughput sends requests as fast as 64 clients can. Compare ns/op of the paths within one run.
func BenchmarkThroughput(b *testing.B) {
	names, paths := callPaths(b)
	for i, p := range paths {
		b.Run(names[i], func(b *testing.B) {
			c := newClient(b)
			b.ReportAllocs()
			b.SetParallelism(max(64/runtime.GOMAXPROCS(0), 1))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := p(context.Background(), c); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkLatency sends requests at half of the router's throughput, at fixed times, over the three paths in turn.
// It reports p50 and p99 from the time at which each request was due.
//
// The router is a process of its own, as in production. The proxy runs in this process, together with clients and
// engines.
func BenchmarkLatency(b *testing.B) {
	names, paths := callPaths(b)
	c := newClient(b)
	reader, writer := instantEngine(b, nil), instantEngine(b, nil)
	base, _ := routerProcess(b, buildProgram(b), reader, writer)
	paths[2] = callRouter(base)
	for i := range 200 {
		for _, p := range paths { // warm-up
			if err := p(context.Background(), c); err != nil {
				b.Fatal(i, err)
			}
		}
	}
	maxRate := throughput(b, paths[2], c, 2*time.Second)
	rate := maxRate / 2
	b.Run("half load", func(b *testing.B) {
		var hist [3]*hdrhistogram.Histogram
		for i := range hist {
			hist[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		}
		const slice = 500 * time.Millisecond
		rounds := max(b.N, 6)
		for range rounds {
			for i, p := range paths {
				openLoop(b, names[i], p, c, rate, slice, hist[i])
			}
		}
		for i, name := range names {
			b.ReportMetric(float64(hist[i].ValueAtPercentile(50))/1e6, name+"-p50-ms")
			b.ReportMetric(float64(hist[i].ValueAtPercentile(99))/1e6, name+"-p99-ms")
		}
		b.ReportMetric(rate, "requests/s")
		b.ReportMetric(float64(brokenByProxy.Swap(0)), "proxy-broken")
	})
}

// throughput returns how many requests per second 64 clients complete.
func throughput(b *testing.B, p callPath, c *http.Client, d time.Duration) float64 {
	var n atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				if err := p(context.Background(), c); err != nil {
					b.Error(err)
					return
				}
				n.Add(1)
			}
		}()
	}
	wg.Wait()
	return float64(n.Load()) / d.Seconds()
}

// brokenByProxy counts the streams that the library's proxy broke.
var brokenByProxy atomic.Int64

// openLoop sends requests at a fixed rate, whether or not earlier ones have ended, and records their latencies.
func openLoop(b *testing.B, name string, p callPath, c *http.Client, rate float64, d time.Duration, h *hdrhistogram.Histogram) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	gap := time.Duration(1e9 / rate)
	for due := time.Duration(0); due < d; due += gap {
		if wait := time.Until(start.Add(due)); wait > 0 {
			time.Sleep(wait)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := p(context.Background(), c); err != nil {
				if name == "proxy" { // it breaks a stream now and then, but is only the baseline
					brokenByProxy.Add(1)
					return
				}
				b.Error(name, err)
				return
			}
			took := time.Since(start.Add(due))
			mu.Lock()
			h.RecordValue(int64(took))
			mu.Unlock()
		}()
	}
	wg.Wait()
}

// BenchmarkHeldStream reports the memory per open stream of a router in a process of its own, as the growth of its
// resident memory. Each stream takes two connections of the router.
func BenchmarkHeldStream(b *testing.B) {
	program := buildProgram(b)
	for _, n := range []int{1000, 9000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			hold := make(chan struct{})
			reader, writer := instantEngine(b, nil), instantEngine(b, hold)
			base, pid := routerProcess(b, program, reader, writer)
			c := newClient(b)
			before := residentMemory(b, pid)
			var wg sync.WaitGroup
			held := make(chan error, n)
			start := make(chan bool, 50) // few start at the same time, or else the module refuses some as overload
			for range n {
				wg.Add(1)
				go func() {
					defer wg.Done()
					start <- true
					began := false
					begin := func(err error) {
						if !began {
							began = true
							<-start
							held <- err
						}
					}
					err := post(context.Background(), c, base+"/v2/models/helpline/generate_stream",
						`{"id":"a","text_input":"x","parameters":{"prompt_tokens":10,"max_tokens":50}}`, func(r io.Reader) error {
							events := kserve.NewEventReader(r, 1<<16)
							_, err := events.Next()
							for begin(err); err == nil; {
								_, err = events.Next()
							}
							return nil
						})
					begin(err)
				}()
			}
			for range n {
				if err := <-held; err != nil {
					b.Error(err)
				}
			}
			b.ReportMetric((residentMemory(b, pid)-before)/float64(n), "bytes/stream")
			close(hold)
			wg.Wait()
		})
	}
}

// buildProgram builds mintdoor and returns its path.
func buildProgram(b *testing.B) string {
	path := filepath.Join(b.TempDir(), "mintdoor")
	if out, err := exec.Command("go", "build", "-o", path, "mintdoor/cmd/mintdoor").CombinedOutput(); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	return path
}

// routerProcess starts a router as a process and returns its address and process id.
func routerProcess(b *testing.B, program string, reader, writer *httptest.Server) (string, int) {
	dir := b.TempDir()
	list := []discovery.Engine{
		{Name: "p", Addr: reader.Listener.Addr().String(), Kind: "prefill", State: decide.Ready, Weight: 1},
		{Name: "d", Addr: writer.Listener.Addr().String(), Kind: "decode", State: decide.Ready, Weight: 1}}
	if err := discovery.WriteList(filepath.Join(dir, "engines.list"), list); err != nil {
		b.Fatal(err)
	}
	conf := filepath.Join(dir, "r.conf")
	if err := os.WriteFile(conf, []byte(costSettings), 0o644); err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(program, "serve", conf)
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	base := "http://" + strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
	for {
		resp, err := http.Get(base + "/v2/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return base, cmd.Process.Pid
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Skip(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			return kb * 1024
		}
	}
	b.Fatal("the process status has no resident memory")
	return 0
}

// BenchmarkClient measures one read and one stream by the engines' client, without a router.
func BenchmarkClient(b *testing.B) {
	s := instantEngine(b, nil)
	c := engine.New(engine.Options{DialTimeout: time.Second, MaxConns: 100, StreamIdleTimeout: time.Minute, ReleaseTimeout: time.Second, ProbeTimeout: time.Second})
	defer c.Close()
	addr := s.Listener.Addr().String()
	b.ReportAllocs()
	for b.Loop() {
		q := &engine.Call{ID: "a", Model: "helpline", Prompt: "What is the rate of onions?"}
		if r := c.Prefill(b.Context(), addr, q); r.Outcome != decide.ReadDone {
			b.Fatal(r.Err)
		}
		if r := c.Decode(b.Context(), addr, q, func(string) error { return nil }); r.Outcome != decide.Served {
			b.Fatal(r.Err)
		}
	}
}

// BenchmarkIdleConnections reports the memory per client connection that sends nothing, and the time of requests
// through the same router while all of these are open.
func BenchmarkIdleConnections(b *testing.B) {
	const n = 10000
	program := buildProgram(b)
	reader, writer := instantEngine(b, nil), instantEngine(b, nil)
	base, pid := routerProcess(b, program, reader, writer)
	before := residentMemory(b, pid)
	for range n {
		c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
	}
	c := newClient(b)
	start := time.Now()
	const requests = 1000
	for range requests {
		if err := callRouter(base)(context.Background(), c); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(time.Since(start).Microseconds())/requests, "us/request")
	b.ReportMetric((residentMemory(b, pid)-before)/n, "bytes/connection")
}
