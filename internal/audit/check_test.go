package audit

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

const ms = int64(time.Millisecond)

var rules = Rules{AnswerGrace: 16 * time.Millisecond, DrainGrace: time.Second, ListInterval: 100 * time.Millisecond,
	OverloadMultiple: 3, OverloadWindow: time.Second, HoldTimeout: 300 * time.Millisecond, Slack: 50 * time.Millisecond,
	FailoverTime: time.Second, DedupWindows: map[string]time.Duration{"keyed": time.Second}}

// validRecords returns the records of one request that was served without a violation.
func validRecords() []Record {
	return []Record{
		{At: 1, Who: "d1", Kind: Started, N: 1000, Work: 0.25, Deadline: 10000 * ms, Note: "decode"},
		{At: 1, Who: "d1", Kind: Listed, Note: "ready"},
		{At: 1, Who: "p1", Kind: Listed, Note: "ready"},
		{At: 10 * ms, Who: "c", Kind: Asked, ID: "q1/1", Class: "safe", Repeat: "safe", Deadline: 4000 * ms, Work: 3, N: float64(1000 * ms)},
		{At: 11 * ms, Who: "p1", Kind: Arrived, ID: "r1-a.1.0", Client: "q1/1", Router: "r1-a", Stage: "prefill", Work: 100},
		{At: 50 * ms, Who: "p1", Kind: Held, ID: "r1-a.1.0", Client: "q1/1", Router: "r1-a"},
		{At: 50 * ms, Who: "p1", Kind: Ended, ID: "r1-a.1.0"},
		{At: 51 * ms, Who: "d1", Kind: Arrived, ID: "r1-a.1.1", Client: "q1/1", Router: "r1-a", Stage: "decode", Work: 100},
		{At: 52 * ms, Who: "p1", Kind: Claimed, ID: "r1-a.1.0", Router: "r1-a"},
		{At: 60 * ms, Who: "p1", Kind: Fetched, ID: "r1-a.1.0", Router: "r1-a"},
		{At: 61 * ms, Who: "d1", Kind: Executed, ID: "r1-a.1.1", Client: "q1/1"},
		{At: 70 * ms, Who: "c", Kind: FirstToken, ID: "q1/1"},
		{At: 900 * ms, Who: "d1", Kind: Ended, ID: "r1-a.1.1"},
		{At: 901 * ms, Who: "c", Kind: Answered, ID: "q1/1", Note: "served"},
	}
}

func TestValidRecordsPass(t *testing.T) {
	rep := Check(validRecords(), 0, rules)
	if !rep.Passed() || rep.Service != 1 || rep.Attempts != 2 || rep.Served != 1 || rep.Requests != 1 {
		var b strings.Builder
		rep.Print(&b)
		t.Errorf("%s", b.String())
	}
	for rule := 1; rule <= 5; rule++ {
		if rule != 3 && rep.Checked[rule] == 0 {
			t.Errorf("rule %d was checked on no item", rule)
		}
	}
	if Check(validRecords(), 1, rules).Passed() || Check(nil, 0, rules).Passed() {
		t.Error("incomplete or missing records passed")
	}
}

// Each modification of valid records violates one rule, and the audit reports that rule.
func TestEachViolationIsFound(t *testing.T) {
	without := func(what EventKind, id string) func([]Record) []Record {
		return func(in []Record) (out []Record) {
			for _, r := range in {
				if r.Kind != what || r.ID != id {
					out = append(out, r)
				}
			}
			return out
		}
	}
	add := func(more ...Record) func([]Record) []Record {
		return func(in []Record) []Record { return append(in, more...) }
	}
	both := func(fs ...func([]Record) []Record) func([]Record) []Record {
		return func(in []Record) []Record {
			for _, f := range fs {
				in = f(in)
			}
			return in
		}
	}
	ask := Record{At: 10 * ms, Who: "c", Kind: Asked, ID: "q2/1", Class: "u", Repeat: "unsafe", Deadline: 4000 * ms, Work: 1}
	for _, c := range []struct {
		name   string
		rule   int
		change func([]Record) []Record
		text   string
	}{
		{"no ending", 1, without(Answered, "q1/1"), "has no ending"},
		{"two endings", 1, add(Record{At: 950 * ms, Who: "c", Kind: Answered, ID: "q1/1", Note: "failed"}), "has 2 endings"},
		{"late answer", 1, add(ask, Record{At: 4100 * ms, Who: "c", Kind: Answered, ID: "q2/1", Note: "refused"}), "after its deadline"},
		{"late first token", 1, add(ask, Record{At: 4100 * ms, Who: "c", Kind: FirstToken, ID: "q2/1"},
			Record{At: 4200 * ms, Who: "c", Kind: Answered, ID: "q2/1", Note: "served"}), "first token"},
		{"broken connection without a dead router", 1, add(ask, Record{At: 100 * ms, Who: "c", Kind: ConnectionLost, ID: "q2/1"}), "no router was down"},
		{"answer to an unknown try", 1, add(Record{At: 950 * ms, Who: "c", Kind: Answered, ID: "q9/1", Note: "served"}), "which no client sent"},
		{"two attempts in flight", 2, add(Record{At: 30 * ms, Who: "d2", Kind: Arrived, ID: "r1-a.1.2", Client: "q1/1", Stage: "decode"},
			Record{At: 940 * ms, Who: "d2", Kind: Ended, ID: "r1-a.1.2"}), "were in flight together"},
		{"one attempt arrives twice", 2, add(Record{At: 905 * ms, Who: "d2", Kind: Arrived, ID: "r1-a.1.1", Client: "q1/1"}), "arrived twice"},
		{"unsafe request ran twice", 2, add(ask, Record{At: 20 * ms, Who: "d1", Kind: Executed, ID: "r1-a.2.1", Client: "q2/1"},
			Record{At: 400 * ms, Who: "d2", Kind: Executed, ID: "r2-a.7.1", Client: "q2/2"},
			Record{At: 500 * ms, Who: "c", Kind: Answered, ID: "q2/1", Note: "failed"}), "ran 2 times"},
		{"keyed request ran after its deduplication window", 2, add(Record{At: 10 * ms, Who: "c", Kind: Asked, ID: "q2/1", Class: "keyed", Repeat: "keyed", Deadline: 4000 * ms},
			Record{At: 20 * ms, Who: "d1", Kind: Executed, ID: "r1-a.2.1", Client: "q2/1"},
			Record{At: 1400 * ms, Who: "d2", Kind: Executed, ID: "r1-a.2.2", Client: "q2/1"},
			Record{At: 1500 * ms, Who: "c", Kind: Answered, ID: "q2/1", Note: "served"}), "after its deduplication window"},
		{"sent to a draining engine", 3, add(Record{At: 1000 * ms, Who: "d1", Kind: Listed, Note: "draining"},
			Record{At: 2300 * ms, Who: "d1", Kind: Arrived, ID: "r1-a.3.0", Work: 1}, Record{At: 2301 * ms, Who: "d1", Kind: Ended, ID: "r1-a.3.0"}), "draining or removed"},
		{"engine failed under overload", 4, add(Record{At: 500 * ms, Who: "d1", Kind: OverloadFailed}), "failed under overload"},
		{"slow-start budget exceeded", 4, add(Record{At: 100 * ms, Who: "d1", Kind: Arrived, ID: "r1-a.3.0", Work: 5000},
			Record{At: 101 * ms, Who: "d1", Kind: Arrived, ID: "r1-a.4.0", Work: 5000},
			Record{At: 102 * ms, Who: "d1", Kind: Arrived, ID: "r1-a.5.0", Work: 5000}), "more than its slow-start budget"},
		{"state not released", 5, both(without(Claimed, "r1-a.1.0"), without(Fetched, "r1-a.1.0")), "was not released"},
		{"state released by its engine", 5, both(without(Claimed, "r1-a.1.0"), without(Fetched, "r1-a.1.0"),
			add(Record{At: 300 * ms, Who: "p1", Kind: Expired, ID: "r1-a.1.0", Router: "r1-a"})), "by the engine itself"},
	} {
		rep := Check(c.change(validRecords()), 0, rules)
		found := false
		for _, f := range rep.Findings {
			if f.Rule != c.rule {
				t.Errorf("%s: rule %d is reported too: %s", c.name, f.Rule, f.Text)
			}
			found = found || f.Rule == c.rule && strings.Contains(f.Text, c.text)
		}
		if !found || rep.Passed() {
			t.Errorf("%s: not found among %+v", c.name, rep.Findings)
		}
	}
}

// The consequences of a router's death are no violation: broken connections, and KV states that their engines release
// themselves.
func TestDeadRouterIsNoViolation(t *testing.T) {
	records := append(validRecords(),
		Record{At: 100 * ms, Who: "r1", Kind: RouterDown},
		Record{At: 90 * ms, Who: "c", Kind: Asked, ID: "q2/1", Class: "safe", Repeat: "safe", Deadline: 4000 * ms},
		Record{At: 91 * ms, Who: "p1", Kind: Arrived, ID: "r1-a.2.0", Client: "q2/1", Router: "r1-a"},
		Record{At: 95 * ms, Who: "p1", Kind: Held, ID: "r1-a.2.0", Client: "q2/1", Router: "r1-a"},
		Record{At: 95 * ms, Who: "p1", Kind: Ended, ID: "r1-a.2.0"},
		Record{At: 101 * ms, Who: "c", Kind: ConnectionLost, ID: "q2/1"},
		Record{At: 395 * ms, Who: "p1", Kind: Expired, ID: "r1-a.2.0", Router: "r1-a"})
	rep := Check(records, 0, rules)
	if !rep.Passed() || rep.ExpiredStates != 1 || rep.ConnectionsLost != 1 {
		t.Errorf("%+v", rep.Findings)
	}
}

func TestWriteAndRead(t *testing.T) {
	for _, name := range []string{"a.jsonl", "a.jsonl.zst"} {
		path := filepath.Join(t.TempDir(), name)
		if err := Write(path, validRecords()); err != nil {
			t.Fatal(err)
		}
		got, err := Read(path)
		if err != nil || !reflect.DeepEqual(got, validRecords()) {
			t.Errorf("%s: %v, %d records", name, err, len(got))
		}
	}
}

func TestLogIsBounded(t *testing.T) {
	l := NewLog(2)
	for range 5 {
		l.Add(Record{Kind: Asked})
	}
	if r, dropped := l.Records(); len(r) != 2 || dropped != 3 || r[0].At == 0 {
		t.Errorf("%d records, %d dropped", len(r), dropped)
	}
	var none *Log
	none.Add(Record{})
}
