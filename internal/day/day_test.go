package day

import (
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestBuiltInScript(t *testing.T) {
	s, err := Parse("built-in", BuiltInScript)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]bool{}
	for _, e := range s.Events {
		kinds[e.Kind] = true
		if e.At+e.Duration > s.Length {
			t.Errorf("%s at %v lasts longer than the scenario", e.Kind, e.At)
		}
	}
	for _, k := range []string{"crash", "vanish", "slow", "fast_errors", "throttle", "class_fail", "ageing", "pauses", "preempt",
		"origin_slow", "handshake_slow", "report_late", "heavy_tail", "burst", "give_up", "balancer_roll"} {
		if !kinds[k] {
			t.Errorf("%s does not occur", k)
		}
	}
}

func TestScriptErrors(t *testing.T) {
	_, err := Parse("x.day", "lenght 3s\nrouters none\nat 1s\nat 1s quake for 1s\nat 1s slow on d99 for 1s\nat 1s crash on p1\nclass a worth much\nat 1s slow for 1s class b\n")
	for _, want := range []string{`x.day:1: found "lenght"`, `x.day:2: routers: found "none"`, "x.day:3: at has 1 values", `x.day:4: unknown fault "quake"`,
		`x.day:5: slow cannot be injected into "d99"`, "x.day:6: crash has no 'for'", "x.day:7: worth", `x.day:8: unknown class "b"`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not among: %v", want, err)
		}
	}
}

// The same seed draws the same traffic and another seed different traffic; the rate is as configured.
func TestDrawnTraffic(t *testing.T) {
	s, err := Parse("x", "length 400s\nrate 20/s\nseed 5\nclass a share 0.7 turns 2\nclass b share 0.3\n"+
		"at 100s burst for 50s size 3\nat 200s heavy_tail for 50s size 20 extra 0.5 class b\nat 300s give_up for 50s size 1 extra 0.5 how leave\n")
	if err != nil {
		t.Fatal(err)
	}
	requests := s.scaled().draw()
	if again := s.scaled().draw(); !reflect.DeepEqual(requests, again) {
		t.Error("the same seed draws different traffic")
	}
	within := func(from, to time.Duration, ok func(*request) bool) (n int) {
		for i := range requests {
			if a := &requests[i]; a.at >= from*time.Second && a.at < to*time.Second && ok(a) {
				n++
			}
		}
		return n
	}
	any := func(*request) bool { return true }
	if n := within(20, 100, any); math.Abs(float64(n)-1600) > 250 {
		t.Errorf("%d requests in 80 s, want about 1,600", n)
	}
	if calm, burst := within(50, 100, any), within(100, 150, any); float64(burst) < 2*float64(calm) {
		t.Errorf("%d requests in the burst, %d before it", burst, calm)
	}
	long := func(a *request) bool { return a.promptTokens > 8000 }
	if before, tail := within(0, 200, long), within(200, 250, long); tail < 50 || before > tail {
		t.Errorf("%d long prompts in the heavy tail, %d before it", tail, before)
	}
	if n := within(300, 350, func(a *request) bool { return !a.clientLeaves }); n > 0 {
		t.Errorf("%d clients do not leave although all should", n)
	}
	for i := range requests {
		if a := &requests[i]; a.promptTokens < 1 || a.outputTokens < 1 || a.prefixTokens > a.promptTokens || a.promptTokens+500 > 32000 {
			t.Fatalf("%+v", a)
		}
	}
	s.Seed++
	if other := s.scaled().draw(); reflect.DeepEqual(requests, other) {
		t.Error("another seed draws the same traffic")
	}
}

// lbsimScenario is a small scenario in lbsim's format, made for this test.
const lbsimScenario = `{"v":1,"family":"twostage","site":"x","length":40000000,"zones":["a","b"],"front_notice":1500000,"drain_grace":1000000,
"fall_multiple":3,"fall_for":1000000,"traffic":{"load":0.5},"clients":{"retries":2,"try_share":0.6,"backoff":"none","backoff_us":5000,"honour":0.5,"max_retry_after":400000},
"discovery":{"notice":2000000,"silent_notice":6000000,"add":1000000},
"classes":[{"name":"a","share":0.8,"aim":1000000,"deadline":4000000,"worth":2,"effect":"safe"},{"name":"b","share":0.2,"aim":2000000,"deadline":8000000,"worth":1,"effect":"unsafe"}],
"tenants":[{}],"tiers":[{"stated_cold_from":0.27,"stated_cold":13000000,"report_period":500000,"report_delay":200000}],
"servers":[{"kind":0,"cell":0},{"kind":1,"cell":0},{"kind":0,"cell":1},{"kind":1,"cell":1},{"kind":1,"cell":0},{"kind":1,"cell":1}],"balancers":[{},{},{},{}],
"troubles":[{"kind":"crash","at":5000000,"len":6000000,"on":[2]},{"kind":"throttle","at":6000000,"len":5000000,"size":0.3,"on":[1],"which":1,"how":"tenant"},
{"kind":"preempt","at":1,"len":2,"size":1.5,"extra":6,"steps":[{"at":9000000,"stop":[5],"start":[6]}]},{"kind":"partition","at":1,"len":2},
{"kind":"balancer_roll","at":1,"len":2,"size":0.2,"extra":0.5,"steps":[{"at":12000000,"stop":[0,1]},{"at":13000000,"stop":[2]},{"at":14000000,"stop":[3]}]}],
"fam":{"engines":[{"slots":8,"queue":30,"memory":240000,"block":64,"chunk":2048,"read_per_s":18000,"step_ms":10,"per_seq_ms":0.1},
{"slots":80,"queue":30,"memory":160000,"block":64,"chunk":1024,"read_per_s":7000,"step_ms":15,"per_seq_ms":0.2}],"near":250000,"far":80000,"release":300000,"resume":false,
"talks":[{"aim_ms_per_k":40,"max_out":500,"new_tokens":300,"new_sigma":0.8,"out_tokens":100,"out_sigma":0.6,"prefixes":20,"prefix_tokens":2000,"prefix_share":0.8,"think_s":4,"turns":2,"token_ms":60},
{"aim_ms_per_k":60,"max_out":300,"new_tokens":2000,"new_sigma":0.8,"out_tokens":80,"out_sigma":0.6,"prefixes":2,"prefix_tokens":1000,"prefix_share":0.1,"think_s":4,"turns":1.2,"token_ms":80}]}}`

func TestFromLbsim(t *testing.T) {
	path := filepath.Join(t.TempDir(), "day.json")
	if err := os.WriteFile(path, []byte(lbsimScenario), 0o644); err != nil {
		t.Fatal(err)
	}
	s, err := FromLbsim(path, MaxSize{Engines: 6, Routers: 2})
	if err != nil {
		t.Fatal(err)
	}
	if s.Length != 40*time.Second || s.Routers != 2 || s.Prefill.Count != 2 || s.Decode.Count != 4 || s.Clients.Backoff != 0 ||
		s.Classes[1].RetryPolicy != "unsafe" || s.Decode.Spec.StepTime != 15*time.Millisecond || s.HoldTimeout != 300*time.Millisecond {
		t.Errorf("%+v", s)
	}
	var got []string
	for _, e := range s.Events {
		got = append(got, e.Kind+" "+e.At.String()+" "+strings.Join(e.Targets, ","))
	}
	want := []string{"crash 5s p2", "throttle 6s d1", "preempt 9s d4", "balancer_roll 12s r1", "balancer_roll 13s r2"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("faults %q, want %q", got, want)
	}
	notes := strings.Join(s.Notes, "\n")
	for _, n := range []string{"partition", "2 halls", "tenant", "one router at each step", "2 routers of 4"} {
		if !strings.Contains(notes, n) {
			t.Errorf("%q is missing from the notes:\n%s", n, notes)
		}
	}
	// A script that is written to a file and read back is the same.
	out := filepath.Join(t.TempDir(), "x.day")
	if err := s.Write(out); err != nil {
		t.Fatal(err)
	}
	back, err := Load(out)
	if err != nil {
		t.Fatal(err)
	}
	if len(back.Events) != len(s.Events) || back.Classes[0].Name != "a" || back.Decode.Count != 4 || back.SlowStartTime != s.SlowStartTime {
		t.Errorf("%+v", back)
	}
	if _, err := FromLbsim(out, MaxSize{6, 2}); err == nil {
		t.Error("a script was accepted as a scenario of lbsim")
	}
}

func TestConfidenceInterval(t *testing.T) {
	mean, half := ConfidenceInterval([]float64{1, 2, 3})
	if mean != 2 || math.Abs(half-2.484) > 0.001 { // 4.303 / sqrt(3)
		t.Errorf("%v +- %v", mean, half)
	}
	if m, h := ConfidenceInterval([]float64{1}); m != 1 || h != 0 {
		t.Errorf("%v +- %v", m, h)
	}
}
