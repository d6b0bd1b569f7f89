package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mintdoor/internal/audit"
	"mintdoor/internal/day"
	"mintdoor/internal/shift"
	"mintdoor/roles"
)

// TestMain makes the test binary act as the program itself if MINTDOOR_MAIN is set, so that tests can start routers
// as processes.
func TestMain(m *testing.M) {
	if os.Getenv("MINTDOOR_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// run runs a sub-command and returns its output.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	cmd := command()
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(t.Context())
	return out.String(), err
}

func TestCheckAndConfig(t *testing.T) {
	out, err := run(t, "config", "--defaults")
	if err != nil || !strings.Contains(out, "let-go-within") {
		t.Errorf("%v\n%s", err, out)
	}
	path := filepath.Join(t.TempDir(), "bad.conf")
	os.WriteFile(path, []byte("listen nowhere\nmodle x\n"), 0o644)
	out, err = run(t, "check", path)
	if err == nil || !strings.Contains(out, path+":1: listen") || !strings.Contains(out, path+`:2: found "modle", expected perhaps "model"`) {
		t.Errorf("%v\n%s", err, out)
	}
	os.WriteFile(path, []byte(demoSettings), 0o644)
	if out, err = run(t, "check", path); err != nil || !strings.Contains(out, "is sound") {
		t.Errorf("%v\n%s", err, out)
	}
}

// triggerBuffer is a buffer that calls end once a text was written to it.
type triggerBuffer struct {
	bytes.Buffer
	text string
	end  func()
}

func (w *triggerBuffer) Write(b []byte) (int, error) {
	n, err := w.Buffer.Write(b)
	if strings.Contains(w.String(), w.text) {
		w.end()
	}
	return n, err
}

func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	w := &triggerBuffer{text: "max_tokens\":20", end: cancel}
	err := demo(ctx, w, "127.0.0.1:0")
	out := w.String()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if strings.Count(out, "[length]")+strings.Count(out, "[stop]") != 3 || !strings.Contains(out, "curl -N http://127.0.0.1:") {
		t.Error(out)
	}
}

// A short scenario with routers as processes: one of them is killed and restarted, engines crash, stop responding and
// drain, and the five rules are kept.
const shortScenario = `
length 18s
speed 3
routers 2
load 0.3
notice 1s
silent-notice 3s
add 500ms
front-notice 600ms
clients retries 1 backoff 100ms
prefill count 3
decode count 4
class rate-check share 0.8 worth 3 aim 1s deadline 4s answer 40
class pen-booking share 0.2 worth 3 aim 2s deadline 8s repeat unsafe answer 30 text-share 0.1
at 1s  crash         on d1 for 3s
at 3s  vanish        on d2 for 3s
at 5s  balancer_roll on r1 for 1s
at 7s  drain         on p1 for 3s
at 9s  fast_errors   on d3 for 3s size 0.8
at 10s class_fail    on d4 for 3s size 0.9 class rate-check how silence
at 12s crash         on p2 for 2s
at 13s burst         for 2s size 2
`

func TestShortScenario(t *testing.T) {
	script, err := day.Parse("short", shortScenario)
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	logs, err := os.Create(filepath.Join(t.TempDir(), "routers.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer logs.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	// The tolerance is large since a busy machine may add a lot to the rules' figures; a router that breaks the rules
	// exceeds them by more.
	res, err := day.Run(ctx, script, day.Options{StartRouter: processes(self, logs), Dir: t.TempDir(), Slack: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	res.Report.Print(&out)
	t.Log(out.String())
	if !res.Report.Passed() {
		text, _ := os.ReadFile(logs.Name())
		t.Errorf("%s\n%s", out.String(), text)
	}
	if res.Report.Served < res.Requests/2 || res.Report.Checked[3] == 0 || res.Report.Checked[4] < 8 {
		t.Errorf("the scenario had too little to check:\n%s", out.String())
	}

	path := filepath.Join(t.TempDir(), "r.jsonl.zst")
	if err := audit.Write(path, res.Records); err != nil {
		t.Fatal(err)
	}
	settings := filepath.Join(t.TempDir(), "r.conf")
	os.WriteFile(settings, []byte(script.RouterSettings(0, "127.0.0.1:0", "x")), 0o644)
	if text, err := run(t, "audit", path, "--settings", settings, "--slack", "2s"); err != nil || !strings.Contains(text, "all five rules kept") {
		t.Errorf("%v\n%s", err, text)
	}
}

// If its address is in use, serve returns an error that names the address.
func TestServeNeedsItsAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	path := filepath.Join(t.TempDir(), "r.conf")
	os.WriteFile(path, []byte("listen "+l.Addr().String()+"\n"+demoSettings), 0o644)
	if _, err := run(t, "serve", path); err == nil || !strings.Contains(err.Error(), l.Addr().String()) {
		t.Errorf("%v", err)
	}
}

func TestPrintRoles(t *testing.T) {
	var b strings.Builder
	st := &shift.Status{Mode: "dry", Engines: []shift.EngineStatus{{Name: "p1", Status: roles.Status{Engine: 7, Known: true, Step: "idle",
		State: roles.RoleState{Role: roles.Prefill, Epoch: 3}}}, {Name: "d1", Status: roles.Status{Engine: 8, Step: "idle", BlockedReason: "it is cold"}}}}
	st.Plan.Plan.Moves = []roles.Move{{Engine: 7, To: roles.Decode}}
	st.Plan.Verdict.Reason = "it earns back its cost"
	if err := printRoles(&b, st); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"shift dry", "with 1 changes", "it earns back its cost", "p1      prefill  3      idle  decode", "d1      ?        0      idle           it is cold"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is missing:\n%s", want, b.String())
		}
	}
}

// A recorded trace is replayed over sockets at twice its speed, and one reader is asked to become a writer meanwhile.
// All requests of the trace are made, the engine restarts in its new role, and the rules are kept.
func TestRecordedTrace(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "x.trace")
	if out, err := run(t, "trace", "make", "day", file, "--length", "12s", "--period", "12s", "--engines", "4", "--load", "0.3"); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	out, err := run(t, "trace", "show", file)
	if err != nil || !strings.Contains(out, "rate-check") {
		t.Errorf("%v\n%s", err, out)
	}
	script, err := day.Parse(filepath.Join(dir, "swing.day"), `
speed 2
routers 2
clients retries 0
prefill count 3
decode count 2
class rate-check worth 3 max-tokens 1000
class rule-explain max-tokens 1000
trace x.trace
change 100ms
shift dry
at 1s split size 2
`)
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	logs, err := os.Create(filepath.Join(dir, "routers.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer logs.Close()
	res, err := day.Run(t.Context(), script, day.Options{StartRouter: processes(self, logs), Dir: t.TempDir(), Slack: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	starts := 0
	for _, r := range res.Records {
		if r.Kind == audit.Started && r.Note == "decode" {
			starts++
		}
	}
	if !res.Report.Passed() || res.Requests != len(script.Trace.Entries) || res.Report.Served < res.Requests/2 || starts != 3 {
		var b strings.Builder
		res.Report.Print(&b)
		text, _ := os.ReadFile(logs.Name())
		t.Errorf("%d of %d requests, %d starts of writers\n%s\n%s", res.Requests, len(script.Trace.Entries), starts, b.String(), text)
	}
	if _, err := day.Parse(filepath.Join(dir, "y.day"), "class other\ntrace x.trace\nshift on\n"); err == nil ||
		!strings.Contains(err.Error(), `a class "rate-check", which the script has not`) || !strings.Contains(err.Error(), "expected 'change TIME'") {
		t.Errorf("%v", err)
	}
}

// A small comparison runs and prints its table.
func TestSwingCommand(t *testing.T) {
	out, err := run(t, "swing", "--shapes", "steps", "--seeds", "1", "--engines", "4", "--length", "1m", "--period", "1m", "--every", "2")
	if err != nil || !strings.Contains(out, "simulated: 4 engines") || !strings.Contains(out, "kept") {
		t.Errorf("%v\n%s", err, out)
	}
	if out, err := run(t, "swing", "--shapes", "zigzag", "--seeds", "1"); err == nil || !strings.Contains(err.Error(), "expected one of burst, day") {
		t.Errorf("%v\n%s", err, out)
	}
}
