package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"mintdoor/decide"
)

const settings = `instances=1
index=0
familyInfo.kindRole=read,write
familyInfo.letGoByNs=300000000
obligations.coldNs=13000000000
obligations.drainGraceNs=2000000000
obligations.fallMultiple=4.0
obligations.graceToAnswerNs=16000000
obligations.overloadForNs=2000000000
obligations.startCapacity=0.26
permissions.dialTimeoutNs=250000000
permissions.maxAttempts=6
requestClasses.count=1
requestClasses.0.aimNs=1000000000
requestClasses.0.deadlineNs=4000000000
requestClasses.0.repeat=safe
`

func batch(count uint32, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	head := binary.BigEndian.AppendUint32(nil, count)
	head = binary.BigEndian.AppendUint32(head, uint32(len(body)))
	return append(binary.BigEndian.AppendUint64(head, 1e9), body...)
}

func start(instance uint32, text string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{70}, instance)
	b = binary.BigEndian.AppendUint64(b, 7)
	return append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
}

// A request that arrives when no server is known is refused in the same batch.
func TestRunAnswers(t *testing.T) {
	job := make([]byte, 60)
	job[0], job[4], job[8] = 40, 3, 9
	in := bytes.Join([][]byte{batch(0), batch(2, start(3, settings), job)}, nil)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	want := append([]byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0, 0, 0, 1, 80, 0, 0, 0, 3, 0, 0, 0, 9},
		make([]byte, 8)...)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got %x, want %x", out.Bytes(), want)
	}
}

// Malformed input ends run with a one-line error that says what is wrong and where.
func TestRunErrors(t *testing.T) {
	tests := map[string]struct {
		in   []byte
		want string
	}{
		"settings": {batch(1, start(3, "instances=x")), "batch 1: instance 3: settings: instances"},
		"code":     {batch(1, []byte{99}), "batch 1: record 1 at byte 0: unknown event code 99"},
		"cut":      {batch(1, start(3, settings))[:20], "batch 1: batch body cut off"},
	}
	for name, tt := range tests {
		err := run(bytes.NewReader(tt.in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want %q", name, err, tt.want)
		}
	}
}

// A panic of the module becomes a failure text for that instance.
func TestPanicIsCaught(t *testing.T) {
	r := decide.New(&decide.Settings{}, 1, 0)
	acts, failure := handle(r, 1, nil, nil) // a nil event makes the module panic
	if len(acts) != 0 || !strings.Contains(failure, "decision module") {
		t.Errorf("got %v, %q", acts, failure)
	}
}
