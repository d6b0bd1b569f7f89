package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"mintdoor/decide"
)

// frame returns a batch of records given as hexadecimal text.
func frame(t *testing.T, count uint32, records ...string) []byte {
	t.Helper()
	body, err := hex.DecodeString(strings.ReplaceAll(strings.Join(records, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	n := len(body)
	head := []byte{byte(count >> 24), byte(count >> 16), byte(count >> 8), byte(count),
		byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n), 0, 0, 0, 1, 0xf5, 0x68, 0xbf, 0x90}
	return append(head, body...)
}

// decodeAll decodes all records of one batch.
func decodeAll(d *Decoder) ([]Record, error) {
	if _, err := d.Batch(); err != nil {
		return nil, err
	}
	var out []Record
	for {
		var rec Record
		more, err := d.Next(&rec)
		if err != nil || !more {
			return out, err
		}
		out = append(out, rec)
	}
}

const (
	hexList = "1e 00 00000002" +
		"0a124a07 1f43 0000 0000 0000 01 3f800000 0000000000000000" +
		"0a9011f2 1f6c 0001 0002 0003 02 3fc00000 000000016b969d00"
	hexView = "3c 00000003 02 0000000000000029 00"
	hexJob  = "28 00000003 5d3a91c4 0000 00000000 91f03b7c55d20a64 0000000203b6db90 0000000000b71b00" +
		"2b8e6401d9f37c10 44e10000 44960000 43800000 01"
	hexVerdict = "78 00000003 5d3a91c4 00 0a124a07 1f43 00 00000000011a49a0 01 00000007 02 3ecccccd 3fa00000"
)

const (
	serverA = decide.ServerID(0x0a124a071f43)
	serverB = decide.ServerID(0x0a9011f21f6c)
)

var noReport = decide.Report{MemoryUse: -1, QueuedKTokens: -1, Latency: -1}

func TestDecodeEvents(t *testing.T) {
	tests := []struct {
		name, hex string
		want      Record
	}{
		{"request", hexJob, Record{Instance: 3, Event: decide.Event{Kind: decide.Arrived, Request: 0x5d3a91c4,
			Job: decide.Job{SessionID: 0x91f03b7c55d20a64, Deadline: 0x203b6db90, LengthHint: 0xb71b00,
				PrefixID: 0x2b8e6401d9f37c10, PromptTokens: 1800, PrefixTokens: 1200, MaxOutputTokens: 256}}}},
		{"request of a tenant, no hint, retried, after an interruption",
			"28 00000003 00000001 0001 00000002 0000000000000000 0000000000000005 0000000000b71b00" +
				"0000000000000000 3f800000 00000000 3f800000 12",
			Record{Instance: 3, Event: decide.Event{Kind: decide.Arrived, Request: 1, Job: decide.Job{Class: 1,
				Tenant: 2, Deadline: 5, PromptTokens: 1, MaxOutputTokens: 1, ClientRetry: true, AfterInterruption: true}}}},
		{"first", "32 00000003 00000001 02 0000000000000010 0a124a07 1f43", Record{Instance: 3,
			Event: decide.Event{Kind: decide.FirstToken, Request: 1, Attempt: 2, Elapsed: 16, Server: serverA}}},
		{"outcome", hexVerdict, Record{Instance: 3, Event: decide.Event{Kind: decide.AttemptEnded, Request: 0x5d3a91c4,
			Server: serverA, Outcome: decide.Served, Elapsed: 0x11a49a0, Closed: true, CachedTokens: 7,
			Report: decide.Report{MemoryUse: 0.4000000059604645, QueuedKTokens: 1.25, Latency: -1}}}},
		{"full without a KV state, no report",
			"78 00000003 00000001 01 0a124a07 1f43 0b 0000000000000001 00 00000001 00",
			Record{Instance: 3, Event: decide.Event{Kind: decide.AttemptEnded, Request: 1, Attempt: 1, Server: serverA,
				Outcome: decide.Full, Elapsed: 1, NoState: true, Report: noReport}}},
		{"gone", "0a 00000005 0e6f2b19", Record{Instance: 5,
			Event: decide.Event{Kind: decide.ClientLeft, Request: 0x0e6f2b19}}},
		{"timer", "14 00000003 000000000000004d", Record{Instance: 3,
			Event: decide.Event{Kind: decide.Timer, TimerID: 77}}},
		{"probed", "5a 00000003 0a124a07 1f43 6e 0000000000000010 00", Record{Instance: 3,
			Event: decide.Event{Kind: decide.Probed, Server: serverA, Outcome: decide.TimedOut, Elapsed: 16,
				Report: noReport}}},
		{"note", "64 00000003 00000001 00000000 00 0a124a07 1f43 01", Record{Instance: 3,
			Event: decide.Event{Kind: decide.ReservationAnswer, Request: 1, Server: serverA, Granted: true}}},
		{"peer", "50 00000003 00000001 0002 6869", Record{Instance: 3,
			Event: decide.Event{Kind: decide.PeerMessage}}},
		{"stop", "6e 00000003", Record{Kind: Stop, Instance: 3}},
		{"init", "46 00000003 000000000000002a 00000003 613d62", Record{Kind: Start, Instance: 3, Seed: 42,
			Settings: "a=b"}},
		{"list failed", "3c 00000003 03 0000000000000001 00", Record{Instance: 3,
			Event: decide.Event{Kind: decide.ListFailed}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDecoder(bytes.NewReader(frame(t, 1, tt.hex)))
			d.SetReportFields([]string{"x0", "x1"})
			got, err := decodeAll(d)
			if err != nil || len(got) != 1 || !reflect.DeepEqual(got[0], tt.want) {
				t.Errorf("got %+v, %v\nwant %+v", got, err, tt.want)
			}
		})
	}
}

func TestDecodeOutcomes(t *testing.T) {
	for code, want := range map[string]decide.Outcome{"00": decide.Served, "05": decide.Error, "0b": decide.Full,
		"6e": decide.TimedOut, "6f": decide.ConnectFailed, "68": decide.Reset, "7d": decide.Cancelled,
		"72": decide.NotStarted, "66": decide.ReadDone} {
		got, err := decodeAll(NewDecoder(bytes.NewReader(frame(t, 1,
			"78 00000003 00000001 00 0a124a07 1f43 "+code+" 0000000000000001 00 00000000 00"))))
		if err != nil || got[0].Event.Outcome != want {
			t.Errorf("code %s: got %+v, %v", code, got, err)
		}
	}
}

func TestViewsUseLatestList(t *testing.T) {
	other := "1e 00 00000001 0a9011f2 1f6c 0000 0000 0000 00 3f800000 0000000000000000"
	got, err := decodeAll(NewDecoder(bytes.NewReader(frame(t, 5, hexList, hexView, other,
		"3c 00000004 01 000000000000002a 00", "3c 00000005 00 000000000000002a 00"))))
	if err != nil || len(got) != 3 {
		t.Fatalf("got %d records, %v", len(got), err)
	}
	first := []decide.Listing{{Server: serverA, Condition: decide.Ready, Weight: 1},
		{Server: serverB, Zone: 1, Kind: 2, Cell: 3, Condition: decide.Draining, Weight: 1.5, StartedAt: 0x16b969d00}}
	if !reflect.DeepEqual(got[0].Event.Servers, first) || got[0].Event.Kind != decide.ListCached {
		t.Errorf("first list: %+v", got[0].Event)
	}
	if s := got[1].Event.Servers; got[1].Event.Kind != decide.ListFull || len(s) != 1 ||
		s[0].Condition != decide.Gone {
		t.Errorf("second list: %+v", got[1].Event)
	}
	if got[2].Event.Kind != decide.ListChanged {
		t.Errorf("third list: %+v", got[2].Event)
	}
}

// An instance can stop and start within one batch, and batches can be empty or very large.
func TestBatches(t *testing.T) {
	init := "46 00000003 000000000000002a 00000000"
	var in bytes.Buffer
	in.Write(frame(t, 0))
	in.Write(frame(t, 2, "6e 00000003", init))
	const many = 50000
	in.Write(frame(t, many, strings.Repeat("0a 00000005 0e6f2b19", many)))
	d := NewDecoder(&in)
	for _, want := range []int{0, 2, many} {
		got, err := decodeAll(d)
		if err != nil || len(got) != want {
			t.Errorf("got %d records, %v, want %d", len(got), err, want)
		}
	}
	if _, err := d.Batch(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestDecodeErrors(t *testing.T) {
	whole := frame(t, 1, hexJob)
	tests := map[string]struct {
		in   []byte
		want string
	}{
		"cut header":       {whole[:7], "batch header cut off"},
		"cut body":         {whole[:40], "batch body cut off"},
		"short record":     {frame(t, 1, "28 00000003 5d3a"), "JOB_IN needs 59 bytes"},
		"unknown code":     {frame(t, 1, "63"), "unknown event code 99"},
		"impossible count": {frame(t, 1, "1e 00 ffffffff"), "4294967295 entries"},
		"records missing":  {frame(t, 2, "6e 00000003"), "record code needs 1 bytes"},
		"too few records":  {frame(t, 1, "6e 00000003", "6e 00000003"), "5 bytes left over"},
		"count past size":  {frame(t, 99, "6e 00000003"), "is impossible"},
		"unknown list":     {frame(t, 1, hexView), "list 0 was never defined"},
		"list number":      {frame(t, 1, "1e 10 00000000"), "out of range"},
		"unknown outcome": {frame(t, 1, "78 00000003 00000001 00 0a124a07 1f43 63 0000000000000001 00 00000000 00"),
			"unknown outcome 99"},
		"long settings": {frame(t, 1, "46 00000003 000000000000002a ffffffff"), "BORN settings"},
	}
	for name, tt := range tests {
		if _, err := decodeAll(NewDecoder(bytes.NewReader(tt.in))); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", name, err, tt.want)
		}
	}
}

func TestEncodeActions(t *testing.T) {
	tests := []struct {
		name string
		act  decide.Action
		want string
	}{
		{"send", decide.Action{Kind: decide.Send, Request: 0x5d3a91c4, Server: serverA, After: 80e6},
			"82 00000003 5d3a91c4 0a124a07 1f43 0000000004c4b400"},
		{"wake", decide.Action{Kind: decide.SetTimer, After: 500e6, TimerID: 77},
			"8c 00000003 000000001dcd6500 000000000000004d"},
		{"reserve", decide.Action{Kind: decide.Reserve, Request: 0x5d3a91c4, Server: serverB},
			"1e 00000003 5d3a91c4 0a9011f2 1f6c"},
		{"release", decide.Action{Kind: decide.Release, Request: 0x0e6f2b19}, "64 00000003 0e6f2b19"},
		{"refuse", decide.Action{Kind: decide.Refuse, Request: 1, After: 16}, "50 00000003 00000001 0000000000000010"},
		{"fail", decide.Action{Kind: decide.Fail, Request: 1}, "28 00000003 00000001"},
		{"cancel", decide.Action{Kind: decide.Cancel, Request: 1, Attempt: 2}, "5a 00000003 00000001 02"},
		{"move", decide.Action{Kind: decide.Move, Request: 1}, "78 00000003 00000001"},
		{"probe", decide.Action{Kind: decide.Probe, Server: serverA}, "46 00000003 0a124a07 1f43"},
		{"watch", decide.Action{Kind: decide.WatchList}, "32 00000003 01"},
		{"note", decide.Action{Kind: decide.Note, Reason: "two servers known"},
			"6e 00000003 0011 74776f2073657276657273206b6e6f776e"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e Encoder
			var out bytes.Buffer
			e.Reset()
			if err := e.Action(3, &tt.act); err != nil {
				t.Fatal(err)
			}
			if err := e.Flush(&out); err != nil {
				t.Fatal(err)
			}
			body, err := hex.DecodeString(strings.ReplaceAll(tt.want, " ", ""))
			if err != nil {
				t.Fatal(err)
			}
			want := append([]byte{0, 0, 0, byte(len(body)), 0, 0, 0, 1}, body...)
			if !bytes.Equal(out.Bytes(), want) {
				t.Errorf("got %x, want %x", out.Bytes(), want)
			}
		})
	}
	var e Encoder
	if err := e.Action(3, &decide.Action{Kind: 200}); err == nil {
		t.Error("an unknown action was encoded")
	}
}

const validSettings = `instances=2
index=1
familyInfo.kindRole=read,write
familyInfo.tokensByKind=277530,138916
familyInfo.letGoByNs=300000000
familyInfo.aimUsPer1000PromptTokens=40000.0
familyInfo.tokenAimNs=60000000
feedback.names=x0,x1
obligations.coldNs=13000000000
obligations.drainGraceNs=2000000000
obligations.fallMultiple=4.0
obligations.graceToAnswerNs=16000000
obligations.overloadForNs=2000000000
obligations.startCapacity=0.26
permissions.dialTimeoutNs=250000000
permissions.maxAttempts=6
permissions.maxRetryAfterNs=500000000
permissions.retryAfter=true
requestClasses.count=1
requestClasses.0.aimNs=1000000000
requestClasses.0.deadlineNs=4000000000
requestClasses.0.keyScope=zone
requestClasses.0.repeat=keyed
requestClasses.0.windowNs=5000000000
something.new=of_no_concern
`

func TestParseSettings(t *testing.T) {
	s, names, err := ParseSettings(validSettings)
	if err != nil {
		t.Fatal(err)
	}
	want := decide.Class{FirstTokenTarget: 1e9, FirstTokenTargetPerK: 40e6, Deadline: 4e9, TokenIntervalTarget: 60e6, Value: 1,
		RetryPolicy: decide.Keyed, DedupScope: decide.ScopeZone, DedupWindow: 5e9}
	if !reflect.DeepEqual(s.Classes, []decide.Class{want}) {
		t.Errorf("classes: %+v", s.Classes)
	}
	kinds := []decide.Kind{{Role: decide.Reader, Memory: 277530}, {Role: decide.Writer, Memory: 138916}}
	if !reflect.DeepEqual(s.Kinds, kinds) || !reflect.DeepEqual(names, []string{"x0", "x1"}) {
		t.Errorf("kinds %+v, report %v", s.Kinds, names)
	}
	if s.Routers != 2 || s.Index != 1 || s.OverloadMultiple != 4 || s.MaxRetryAfter != 500e6 || s.Probing {
		t.Errorf("got %+v", s)
	}
}

func TestParseSettingsErrors(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"missing":       {"instances=2\n", "", "instances is missing"},
		"malformed":     {"instances=2", "instances=two", `instances has the malformed value "two"`},
		"infinite":      {"maxAttempts=6", "maxAttempts=+Inf", "maxAttempts has the malformed"},
		"negative":      {"coldNs=13000000000", "coldNs=-1", "coldNs has the malformed"},
		"no equals":     {"index=1", "index", `"index" has no '='`},
		"unknown role":  {"read,write", "read,sing", "kindRole has the malformed"},
		"no roles":      {"familyInfo.kindRole=read,write\n", "", "kindRole is missing"},
		"unknown class": {"repeat=keyed", "repeat=often", "repeat has the malformed"},
		"unknown scope": {"keyScope=zone", "keyScope=moon", "keyScope has the malformed"},
		"flag":          {"retryAfter=true", "retryAfter=maybe", "retryAfter has the malformed"},
		"number list":   {"277530,138916", "277530,x", "tokensByKind has the malformed"},
	}
	for name, tt := range tests {
		_, _, err := ParseSettings(strings.Replace(validSettings, tt.old, tt.new, 1))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", name, err, tt.want)
		}
	}
}
