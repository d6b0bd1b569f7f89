package settings

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"

	"mintdoor/decide"
)

const nested = `{"instances":3,"index":1,"zone":1,"dcs":["a hall","b"],"hostTypes":["prefill","decode"],
 "membershipMode":"push","feedback":{"how":"pull","names":["lat_ms","x0","x1"]},
 "familyInfo":{"mayReserve":true,"resume":false,"localRead":false,"letGoByNs":1000000000,"crossCellPrice":0.04,
  "kindRole":["read","write"],"tokensByKind":[277530,138916],"tokenAimNs":[60000000],"aimUsPer1000PromptTokens":[40000.0]},
 "fees":{"probe":0.0026,"waste":0.089},
 "obligations":{"graceToAnswerNs":16000000,"drainGraceNs":1000000000,"fallMultiple":2.5,"overloadForNs":1000000000,
  "startCapacity":0.27,"coldNs":14000000000},
 "permissions":{"probing":true,"mayCancel":true,"maxAttempts":6,"dialTimeoutNs":250000000,"retryAfter":true,
  "maxRetryAfterNs":500000000,"connIdleNs":15000000000},"projects":null,
 "requestClasses":[{"name":"price-ask","aimNs":1200000000,"deadlineNs":6000000000,"value":1,"repeat":"safe"}]}`

const flat = `instances=3
index=1
zone=1
dcs=a_hall,b
hostTypes=prefill,decode
membershipMode=push
feedback.names=lat_ms,x0,x1
familyInfo.mayReserve=true
familyInfo.letGoByNs=1000000000
familyInfo.crossCellPrice=0.04
familyInfo.kindRole=read,write
familyInfo.tokensByKind=277530,138916
familyInfo.tokenAimNs=60000000
familyInfo.aimUsPer1000PromptTokens=40000.0
fees.probe=0.0026
fees.waste=0.089
obligations.graceToAnswerNs=16000000
obligations.drainGraceNs=1000000000
obligations.fallMultiple=2.5
obligations.overloadForNs=1000000000
obligations.startCapacity=0.27
obligations.coldNs=14000000000
permissions.probing=true
permissions.mayCancel=true
permissions.maxAttempts=6
permissions.dialTimeoutNs=250000000
permissions.retryAfter=true
permissions.maxRetryAfterNs=500000000
permissions.connIdleNs=15000000000
requestClasses.count=1
requestClasses.0.name=price-ask
requestClasses.0.aimNs=1200000000
requestClasses.0.deadlineNs=6000000000
requestClasses.0.value=1
requestClasses.0.repeat=safe
`

// Both forms of the same settings are parsed to the same deployment.
func TestBothForms(t *testing.T) {
	a, err := ParseJSON([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	b, err := ParseLines(flat)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("nested %+v %+v\nflat %+v %+v", a, a.Decide, b, b.Decide)
	}
	if c := a.Decide.Classes[0]; c.FirstTokenTarget != 1200e6 || c.FirstTokenTargetPerK != 40e6 || c.TokenIntervalTarget != 60e6 || a.Classes[0] != "price-ask" {
		t.Errorf("%+v", c)
	}
	if k := a.Decide.Kinds; len(k) != 2 || k[1] != (decide.Kind{Role: decide.Writer, Memory: 138916}) {
		t.Errorf("%+v", k)
	}
	if a.Decide.MaxRetryAfter != 500e6 || !a.RetryAfter || a.ConnIdleTimeout != 15e9 || a.Decide.Zone != 1 {
		t.Errorf("%+v", a)
	}
}

// An error names the path of the setting that is missing or malformed.
func TestWrongSettings(t *testing.T) {
	for _, c := range []struct{ path, value, want string }{
		{"obligations.drainGraceNs", "", "obligations.drainGraceNs is missing"},
		{"obligations.drainGraceNs", `"soon"`, `obligations.drainGraceNs has the malformed value "soon"`},
		{"permissions.probing", `"maybe"`, "permissions.probing"},
		{"permissions.maxAttempts", "0", "permissions.maxAttempts"},
		{"familyInfo.kindRole", `["read","eat"]`, "familyInfo.kindRole"},
		{"familyInfo.kindRole", `["read"]`, "familyInfo.kindRole has 1 roles, hostTypes 2 kinds"},
		{"permissions.dialTimeoutNs", "0", "permissions.dialTimeoutNs"},
		{"permissions.dialTimeoutNs", "1e400", "permissions.dialTimeoutNs"},
	} {
		var v map[string]any
		if err := json.Unmarshal([]byte(nested), &v); err != nil {
			t.Fatal(err)
		}
		group, key, _ := strings.Cut(c.path, ".")
		delete(v[group].(map[string]any), key)
		if c.value != "" {
			v[group].(map[string]any)[key] = json.RawMessage(c.value)
		}
		b, _ := json.Marshal(v)
		if _, err := ParseJSON(b); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s %s: %v", c.path, c.value, err)
		}
	}
	for _, text := range []string{"", "[]", `{"instances":`, "3"} {
		if _, err := ParseJSON([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func TestParseReport(t *testing.T) {
	got := ParseReport(func(name string) (float64, bool) {
		f, ok := map[string]float64{"x0": 0.5, "x1": -3, "latency_ms": math.NaN()}[name]
		return f, ok
	})
	if got != (decide.Report{MemoryUse: 0.5, QueuedKTokens: -1, Latency: -1}) {
		t.Errorf("%+v", got)
	}
}
