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

// Process is a router that runs.
type Process interface {
	Kill() // at once, without a word
	Stop() // first signal, then waits
}

// Options are how a day is played.
type Options struct {
	// StartRouter starts a router with a settings file and returns once it listens where the file says.
	StartRouter func(settings string) (Process, error)
	Dir         string        // for settings and lists; must exist
	Slack       time.Duration // see audit.Rules; 0: 150ms
	Log         *slog.Logger
	Progress    io.Writer // progress for people; nil: none
}

// Result is a day that was played.
type Result struct {
	Report   *audit.Report
	Records  []audit.Record
	Requests int     // requests that were drawn
	Rate     float64 // a second
	LoadLag  time.Duration
}

// InvalidReason tells why a run can't be trusted, or "".
func (r *Result) InvalidReason() string {
	const mayLag = 100 * time.Millisecond
	if r.LoadLag > mayLag {
		return fmt.Sprintf("the load fell %v behind its times", r.LoadLag)
	}
	return ""
}

// player plays one day.
type player struct {
	s       *Script // scaled
	o       Options
	record  *audit.Log
	fleet   *fleet.Fleet
	layer   *spread.Balancer
	mu      sync.Mutex
	routers []*slot
}

// slot is where a router runs, over its restarts.
type slot struct {
	name, addr, settings string
	proc                 Process
}

// maxRecords bounds what the audit keeps: some 200 MB.
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
	p := &player{s: script.scaled(), o: o, record: audit.NewLog(maxRecords)}
	asks := p.s.requests()
	if len(asks) == 0 {
		return nil, errors.New("the day has no requests")
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
	go func() { defer work.Done(); p.layer.Run(layerCtx) }()
	fmt.Fprintf(o.Progress, "day of %v (%v on the clock): %d requests, %.1f a second, %d routers, %d engines, seed %d\n",
		script.Length, p.s.Length, len(asks), p.s.Rate, p.s.Routers, len(p.fleet.Members()), p.s.Seed)
	began := time.Now()
	for i := range p.s.Events {
		work.Add(1)
		go func() { defer work.Done(); p.play(ctx, began, &p.s.Events[i]) }()
	}
	late := p.load(ctx, began, asks)
	if err := ctx.Err(); err != nil {
		cancel()
		return nil, err
	}
	p.settle()
	cancel()
	endLayer()
	work.Wait()
	p.close()
	records, dropped := p.record.Records()
	return &Result{Report: audit.Check(records, dropped, p.s.AuditRules(o.Slack)), Records: records, Requests: len(asks), Rate: p.s.Rate,
		LoadLag: late}, nil
}

func (p *player) start(ctx context.Context) error {
	list := filepath.Join(p.o.Dir, "engines.list")
	var cells []string
	for i := range p.s.Cells {
		cells = append(cells, fmt.Sprintf("cell%d", i+1))
	}
	var err error
	p.fleet, err = fleet.Start(fleet.Config{
		Groups: p.s.groups(),
		Cells:  cells, ListPath: list, CrashListDelay: p.s.CrashNotice, UnresponsiveListDelay: p.s.SilenceNotice, StartListDelay: p.s.StartNotice, LinkTokensPerSecond: p.s.LinkRate,
		Seed: p.s.Seed, AuditLog: p.record, Log: p.o.Log})
	if err != nil {
		return err
	}
	var addrs []string
	for i := range p.s.Routers {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		r := &slot{name: routerName(i), addr: addr, settings: filepath.Join(p.o.Dir, routerName(i)+".conf")}
		if err := os.WriteFile(r.settings, []byte(p.s.RouterSettings(i, addr, list)), 0o644); err != nil {
			return err
		}
		if err := p.up(ctx, r); err != nil {
			return err
		}
		p.routers, addrs = append(p.routers, r), append(addrs, addr)
	}
	p.layer, err = spread.Start(addrs, p.s.FrontNotice)
	return err
}

// freeAddr finds a port that is free now. Routers need a fixed one, to come back to after a kill.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// up starts a router and waits until it is ready.
func (p *player) up(ctx context.Context, r *slot) error {
	proc, err := p.o.StartRouter(r.settings)
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
				p.record.Add(audit.Record{Who: r.name, Kind: audit.RouterUp})
				return nil
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("router %s was not ready in time (%v)", r.name, err)
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

// load sends the requests at their times and waits for the last; it returns how far the load fell behind.
func (p *player) load(ctx context.Context, began time.Time, asks []ask) (late time.Duration) {
	c := &clients{s: p.s, url: "http://" + p.layer.Addr(), record: p.record, slack: p.o.Slack,
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}} // so that each request is spread
	defer c.http.CloseIdleConnections()
	var wg sync.WaitGroup
	next := p.s.Length / 10
	for i := range asks {
		a := &asks[i]
		if d := time.Until(began.Add(a.at)); d > 0 {
			if !sleep(ctx, d) {
				break
			}
		}
		late = max(late, time.Since(began.Add(a.at)))
		if a.at >= next {
			fmt.Fprintf(p.o.Progress, "%3.0f%% %d requests\n", 100*float64(a.at)/float64(p.s.Length), i)
			next += p.s.Length / 10
		}
		wg.Add(1)
		go func() { defer wg.Done(); c.run(ctx, a) }()
	}
	wg.Wait()
	return late
}

// play plays one trouble at its time.
func (p *player) play(ctx context.Context, began time.Time, e *Event) {
	if !sleep(ctx, time.Until(began.Add(e.At))) {
		return
	}
	p.o.Log.Info("trouble", "kind", e.Kind, "for", e.Duration, "size", e.Size, "on", e.Targets)
	if e.Kind == "balancer_roll" {
		p.roll(ctx, e)
		return
	}
	if e.Kind == "split" {
		p.split(ctx, int(e.Size))
		return
	}
	if standin.FaultKinds[e.Kind] == "" && e.Kind != "drain" && e.Kind != "unlist" {
		return // played by the traffic
	}
	var struck []*fleet.Member
	for _, m := range p.fleet.Members() {
		if len(e.Targets) == 0 || slices.Contains(e.Targets, m.Name) {
			struck = append(struck, m)
		}
	}
	for _, m := range struck {
		switch e.Kind {
		case "drain":
			p.fleet.Drain(m)
		case "unlist":
			p.fleet.Unlist(m)
		default:
			f := standin.Fault{Kind: e.Kind, Duration: e.Duration, Size: e.Size, Class: e.Class, Mode: e.How}
			if err := p.fleet.InjectFault(m, f); err != nil {
				p.o.Log.Error("trouble", "err", err)
			}
		}
	}
	if e.Kind == "drain" || e.Kind == "unlist" {
		sleep(ctx, e.Duration)
		for _, m := range struck {
			p.fleet.Relist(m)
		}
	}
}

// roll kills routers and brings them back.
func (p *player) roll(ctx context.Context, e *Event) {
	for _, r := range p.routers {
		if len(e.Targets) > 0 && !slices.Contains(e.Targets, r.name) {
			continue
		}
		p.record.Add(audit.Record{Who: r.name, Kind: audit.RouterDown})
		p.layer.MarkDead(r.addr)
		p.mu.Lock()
		r.proc.Kill()
		p.mu.Unlock()
		if !sleep(ctx, e.Duration) {
			return
		}
		if err := p.up(ctx, r); err != nil {
			p.o.Log.Error("restart", "err", err)
			continue
		}
		p.layer.MarkAlive(r.addr)
	}
}

// settle waits until no engine holds anything for anybody, as far as that comes: what stays is for the
// audit to find.
func (p *player) settle() {
	for end := time.Now().Add(2*p.s.HoldTimeout + time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
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

// close ends routers and engines; it may be called again.
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

// ConfidenceInterval is the mean and the half-width of the 95% confidence interval of some figures, by Student's t.
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
