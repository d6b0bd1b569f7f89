package kserve

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestTensorCheck(t *testing.T) {
	for _, c := range []struct{ tensor, wrong string }{
		{`{"name":"a","shape":[2],"datatype":"BYTES","data":["x","y"]}`, ""},
		{`{"name":"a","shape":[2,2],"datatype":"INT32","data":[[1,2],[3,4]]}`, ""},
		{`{"name":"a","shape":[2,2],"datatype":"INT32","data":[1,2,3,4]}`, ""},
		{`{"name":"a","shape":[1],"datatype":"BOOL","data":[true]}`, ""},
		{`{"name":"a","shape":[1],"datatype":"FP32","data":[1.5]}`, ""},
		{`{"name":"a","shape":[0],"datatype":"FP32","data":[]}`, ""},
		{`{"shape":[1],"datatype":"FP32","data":[1.5]}`, "no name"},
		{`{"name":"a","shape":[1],"datatype":"FLOAT","data":[1]}`, `"a": unknown datatype "FLOAT"`},
		{`{"name":"a","datatype":"FP32","data":[1]}`, "shape is missing"},
		{`{"name":"a","shape":[-1],"datatype":"FP32","data":[1]}`, "negative dimension"},
		{`{"name":"a","shape":[4000000000,4000000000,4000000000],"datatype":"FP32","data":[1]}`, "more than"},
		{`{"name":"a","shape":[1],"datatype":"FP32"}`, "data is missing"},
		{`{"name":"a","shape":[3],"datatype":"FP32","data":[1,2]}`, "wants 3 elements, data has 2"},
		{`{"name":"a","shape":[1],"datatype":"UINT8","data":[256]}`, "does not fit"},
		{`{"name":"a","shape":[1],"datatype":"INT8","data":[1.5]}`, "does not fit"},
		{`{"name":"a","shape":[1],"datatype":"BYTES","data":[1]}`, "does not fit"},
		{`{"name":"a","shape":[1],"datatype":"BYTES","data":[{"x":1}]}`, "object"},
		{`{"name":"a","shape":[1],"datatype":"BYTES","data":"x"}`, "not a list"},
		{`{"name":"a","shape":[1],"datatype":"BYTES","data":[[[["x"]]]]}`, "deeper than its shape"},
	} {
		var tensor Tensor
		if err := json.Unmarshal([]byte(c.tensor), &tensor); err != nil {
			t.Fatal(err)
		}
		err := tensor.Check(1 << 20)
		if c.wrong == "" && err != nil || c.wrong != "" && (err == nil || !strings.Contains(err.Error(), c.wrong)) {
			t.Errorf("%s: %v, want %q", c.tensor, err, c.wrong)
		}
	}
}

func TestParameters(t *testing.T) {
	var p Parameters
	if err := Decode(strings.NewReader(`{"s":"x","n":12,"f":1.5,"b":true,"neg":-1,"o":{}}`), &p); err != nil {
		t.Fatal(err)
	}
	if s, err := p.Text("n"); s != "12" || err != nil {
		t.Errorf("a number as text is %q, %v", s, err)
	}
	if f, ok, err := p.Number("f"); f != 1.5 || !ok || err != nil {
		t.Error(f, ok, err)
	}
	if _, ok, err := p.Number("absent"); ok || err != nil {
		t.Error("absent", ok, err)
	}
	if _, _, err := p.Number("neg"); err == nil {
		t.Error("a negative number was accepted")
	}
	if _, err := p.Bool("s"); err == nil {
		t.Error("a string was accepted as a boolean")
	}
	if err := p.Check(); err == nil || !strings.Contains(err.Error(), `"o"`) {
		t.Errorf("an object as a value: %v", err)
	}
	if err := Decode(strings.NewReader(`{} {}`), &p); err == nil {
		t.Error("two values were accepted as one")
	}
}

func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 9000)
	text := ": hello\nevent: token\ndata: a\n\n\ndata:b\r\ndata: c\r\n\r\ndata: " + long + "\n\n"
	for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		ev := NewEventReader(r, 10000)
		var got []string
		for {
			data, err := ev.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) {
					t.Fatal(err)
				}
				break
			}
			got = append(got, string(data))
		}
		if len(got) != 3 || got[0] != "a" || got[1] != "b\nc" || got[2] != long {
			t.Errorf("read %d events: %.40q", len(got), got)
		}
	}
	if _, err := NewEventReader(strings.NewReader("data: half"), 100).Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("half an event: %v", err)
	}
	if _, err := NewEventReader(strings.NewReader("data: "+long+"\n\n"), 5000).Next(); !errors.Is(err, ErrEventTooLong) {
		t.Errorf("a long line: %v", err)
	}
}

func ExampleTextTensor() {
	tensor := TextTensor("text_input", "What is the rate of onions?")
	fmt.Println(tensor.Datatype, tensor.Shape, string(tensor.Data))
	// Output: BYTES [1] ["What is the rate of onions?"]
}
