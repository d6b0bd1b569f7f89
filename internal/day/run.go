package day

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"mintdoor/internal/audit"
	standin "mintdoor/internal/standin/engine"
	"mintdoor/internal/standin/fleet"
	"mintdoor/internal/standin/spread"
)

// Process is a running router.
type Process interface {
	Kill() // ends the router at once, without a signal that it can handle
	Stop() // asks the router to stop by a signal, and waits for its end
}

// Options configure a run.
type Options struct {
	// StartRouter starts a router with a settings file and returns once it listens where the file says.
	StartRouter func(settings string) (Process, error)
	Dir         string        // for settings and lists; must exist
	Slack       time.Duration // see audit.Rules; 0: 150ms
	Log         *slog.Logger
	Progress    io.Writer // for operators; nil: none
}

// Result is the result of a run.
type Result struct {
	Report   *audit.Report
	Records  []audit.Record
	Requests int     // requests drawn from the script or its trace
	Rate     float64 // requests a second
	LoadLag  time.Duration
}

// InvalidReason returns why the results of a run are unreliable, or "" if they are not.
func (r *Result) InvalidReason() string {
	const maxLag = 100 * time.Millisecond
	if r.LoadLag > maxLag {
		return fmt.Sprintf("the load fell %v behind its times", r.LoadLag)
	}
	return ""
}

// player runs one scenario.
type player struct {
	script     *Script // scaled by its speed
	options    Options
	auditLog   *audit.Log
	fleet      *fleet.Fleet
	frontLayer *spread.Balancer
	mu         sync.Mutex
	routers    []*routerSlot
}

// routerSlot is one router across its restarts.
type routerSlot struct {
	name, addr, settings string
	proc                 Process
}

// maxRecords bounds the records kept for the audit, to about 200 MB.
const maxRecords = 2_000_000

// Run plays a script to its end and checks the records.
func Run(ctx context.Context, script *Script, o Options) (*Result, error) {
	if o.Slack == 0 {
		o.Slack = 150 * time.Millisecond
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	p := &player{script: script.scaled(), options: o, auditLog: audit.NewLog(maxRecords)}
	requests := p.script.requests()
	if len(requests) == 0 {
		return nil, errors.New("the scenario has no requests")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer p.close()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	var work sync.WaitGroup
	defer work.Wait()
	layerCtx, endLayer := context.WithCancel(ctx)
	defer endLayer()
	work.Add(1)
	go func() { defer work.Done(); p.frontLayer.Run(layerCtx) }()
	fmt.Fprintf(o.Progress, "day of %v (%v on the clock): %d requests, %.1f a second, %d routers, %d engines, seed %d\n",
		script.Length, p.script.Length, len(requests), p.script.Rate, p.script.Routers, len(p.fleet.Members()), p.script.Seed)
	began := time.Now()
	for i := range p.script.Events {
		work.Add(1)
		go func() { defer work.Done(); p.playEvent(ctx, began, &p.script.Events[i]) }()
	}
	lag := p.sendAll(ctx, began, requests)
	if err := ctx.Err(); err != nil {
		cancel()
		return nil, err
	}
	p.settle()
	cancel()
	endLayer()
	work.Wait()
	p.close()
	records, dropped := p.auditLog.Records()
	return &Result{Report: audit.Check(records, dropped, p.script.AuditRules(o.Slack)), Records: records, Requests: len(requests), Rate: p.script.Rate,
		LoadLag: lag}, nil
}

// start starts the engines, the routers and the front layer.
func (p *player) start(ctx context.Context) error {
	list := filepath.Join(p.options.Dir, "engines.list")
	var cells []string
	for i := range p.script.Cells {
		cells = append(cells, fmt.Sprintf("cell%d", i+1))
	}
	var err error
	p.fleet, err = fleet.Start(fleet.Config{
		Groups: p.script.groups(),
		Cells:  cells, ListPath: list, CrashListDelay: p.script.CrashListDelay, UnresponsiveListDelay: p.script.UnresponsiveListDelay, StartListDelay: p.script.StartListDelay, LinkTokensPerSecond: p.script.LinkTokensPerSecond,
		Seed: p.script.Seed, AuditLog: p.auditLog, Log: p.options.Log})
	if err != nil {
		return err
	}
	var addrs []string
	for i := range p.script.Routers {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		r := &routerSlot{name: routerName(i), addr: addr, settings: filepath.Join(p.options.Dir, routerName(i)+".conf")}
		if err := os.WriteFile(r.settings, []byte(p.script.RouterSettings(i, addr, list)), 0o644); err != nil {
			return err
		}
		if err := p.startRouter(ctx, r); err != nil {
			return err
		}
		p.routers, addrs = append(p.routers, r), append(addrs, addr)
	}
	p.frontLayer, err = spread.Start(addrs, p.script.FrontNotice)
	return err
}

// freeAddr returns an address with a port that is free now. Routers need a fixed port, to listen on it again after a
// kill.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startRouter starts a router and waits until it is ready.
func (p *player) startRouter(ctx context.Context, r *routerSlot) error {
	proc, err := p.options.StartRouter(r.settings)
	if err != nil {
		return fmt.Errorf("router %s: %w", r.name, err)
	}
	p.mu.Lock()
	r.proc = proc
	p.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(20 * time.Second); ; {
		resp, err := client.Get("http://" + r.addr + "/v2/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				p.auditLog.Add(audit.Record{Who: r.name, Kind: audit.RouterUp})
				return nil
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("router %s was not ready in time (last error: %v)", r.name, err)
		}
		if !sleep(ctx, 5*time.Millisecond) {
			return ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendAll sends the requests at their times and waits for the last one to end. It returns by how much it fell behind.
func (p *player) sendAll(ctx context.Context, began time.Time, requests []request) (lag time.Duration) {
	c := &clients{script: p.script, url: "http://" + p.frontLayer.Addr(), auditLog: p.auditLog, slack: p.options.Slack,
		// A new connection for each request, so that the front layer balances each one.
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	defer c.http.CloseIdleConnections()
	var wg sync.WaitGroup
	next := p.script.Length / 10
	for i := range requests {
		a := &requests[i]
		if d := time.Until(began.Add(a.at)); d > 0 {
			if !sleep(ctx, d) {
				break
			}
		}
		lag = max(lag, time.Since(began.Add(a.at)))
		if a.at >= next {
			fmt.Fprintf(p.options.Progress, "%3.0f%% %d requests\n", 100*float64(a.at)/float64(p.script.Length), i)
			next += p.script.Length / 10
		}
		wg.Add(1)
		go func() { defer wg.Done(); c.run(ctx, a) }()
	}
	wg.Wait()
	return lag
}

// playEvent waits for the time of an event and injects its fault.
func (p *player) playEvent(ctx context.Context, began time.Time, e *Event) {
	if !sleep(ctx, time.Until(began.Add(e.At))) {
		return
	}
	p.options.Log.Info("trouble", "kind", e.Kind, "for", e.Duration, "size", e.Size, "on", e.Targets)
	if e.Kind == "balancer_roll" {
		p.restartRouters(ctx, e)
		return
	}
	if e.Kind == "split" {
		p.split(ctx, int(e.Size))
		return
	}
	if standin.FaultKinds[e.Kind] == "" && e.Kind != "drain" && e.Kind != "unlist" {
		return // part of the drawn traffic
	}
	var affected []*fleet.Member
	for _, m := range p.fleet.Members() {
		if len(e.Targets) == 0 || slices.Contains(e.Targets, m.Name) {
			affected = append(affected, m)
		}
	}
	for _, m := range affected {
		switch e.Kind {
		case "drain":
			p.fleet.Drain(m)
		case "unlist":
			p.fleet.Unlist(m)
		default:
			f := standin.Fault{Kind: e.Kind, Duration: e.Duration, Size: e.Size, Class: e.Class, Mode: e.How}
			if err := p.fleet.InjectFault(m, f); err != nil {
				p.options.Log.Error("trouble", "err", err)
			}
		}
	}
	if e.Kind == "drain" || e.Kind == "unlist" {
		sleep(ctx, e.Duration)
		for _, m := range affected {
			p.fleet.Relist(m)
		}
	}
}

// restartRouters kills routers and starts them again after the event's duration.
func (p *player) restartRouters(ctx context.Context, e *Event) {
	for _, r := range p.routers {
		if len(e.Targets) > 0 && !slices.Contains(e.Targets, r.name) {
			continue
		}
		p.auditLog.Add(audit.Record{Who: r.name, Kind: audit.RouterDown})
		p.frontLayer.MarkDead(r.addr)
		p.mu.Lock()
		r.proc.Kill()
		p.mu.Unlock()
		if !sleep(ctx, e.Duration) {
			return
		}
		if err := p.startRouter(ctx, r); err != nil {
			p.options.Log.Error("restart", "err", err)
			continue
		}
		p.frontLayer.MarkAlive(r.addr)
	}
}

// settle waits for a limited time until no engine holds anything for a request. The audit reports
// what is held after that.
func (p *player) settle() {
	for end := time.Now().Add(2*p.script.HoldTimeout + time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		left := 0
		for _, m := range p.fleet.Members() {
			sequences, held := m.Engine.Occupancy()
			left += sequences + held
		}
		if left == 0 {
			return
		}
	}
}

// close stops routers and engines. It may be called repeatedly.
func (p *player) close() {
	p.mu.Lock()
	for _, r := range p.routers {
		if r.proc != nil {
			r.proc.Stop()
			r.proc = nil
		}
	}
	p.mu.Unlock()
	if p.fleet != nil {
		p.fleet.Close()
	}
}

// ConfidenceInterval returns the mean of some values and the half-width of its 95% confidence interval by Student's
// t.
func ConfidenceInterval(values []float64) (mean, half float64) {
	n := float64(len(values))
	if n == 0 {
		return 0, 0
	}
	for _, v := range values {
		mean += v / n
	}
	if n < 2 {
		return mean, 0
	}
	sum := 0.0
	for _, v := range values {
		sum += (v - mean) * (v - mean)
	}
	return mean, studentT(n-1) * math.Sqrt(sum/(n-1)/n)
}
