package http1

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

func newReader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 256) }

func TestReadHead(t *testing.T) {
	long := strings.Repeat("x", 300)
	for _, c := range []struct {
		name, in string
		want     error
	}{
		{"whole", "GET / HTTP/1.1\r\nHost: a\r\nX-Y:  b c \r\n\r\n", nil},
		{"bare line feeds", "GET / HTTP/1.1\nHost: a\nX-Y: b c\n\n", nil},
		{"empty lines first", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nX-Y: b c\r\n\r\n", nil},
		{"nothing", "", io.EOF},
		{"only empty lines", "\r\n\r\n\r\n\r\n", ErrMalformed},
		{"cut off", "GET / HTTP/1.1\r\nHost: a\r\n", io.ErrUnexpectedEOF},
		{"cut off in a line", "GET / HT", io.ErrUnexpectedEOF},
		{"no colon", "GET / HTTP/1.1\r\nHost\r\n\r\n", ErrMalformed},
		{"space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", ErrMalformed},
		{"folded", "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", ErrMalformed},
		{"control character", "GET / HTTP/1.1\r\nHost: a\x00b\r\n\r\n", ErrMalformed},
		{"noise", "\x16\x03\x01\x02\r\n\r\n", ErrMalformed},
		{"a line over the buffer", "GET /" + long + " HTTP/1.1\r\n\r\n", ErrTooLarge},
		{"over the limit", "GET / HTTP/1.1\r\n" + strings.Repeat("X-A: "+strings.Repeat("y", 100)+"\r\n", 20) + "\r\n", ErrTooLarge},
		{"too many fields", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", maxFields+1) + "\r\n", ErrTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, err := ReadHead(newReader(c.in), 1000)
			if !errors.Is(err, c.want) {
				t.Fatalf("%v, want %v", err, c.want)
			}
			if err != nil {
				return
			}
			if v, n := h.Get("x-y"); v != "b c" || n != 1 || h.Line != "GET / HTTP/1.1" {
				t.Errorf("%+v", h)
			}
		})
	}
}

func TestStartLines(t *testing.T) {
	for line, ok := range map[string]bool{
		"POST /v1?x=y HTTP/1.1": true, "GET / HTTP/1.0": true, "GET / HTTP/2.0": false, "GET  / HTTP/1.1": false,
		"GET http://a/ HTTP/1.1": true, "GET HTTP://a:8/b?c HTTP/1.1": true,
		"GET http:///b HTTP/1.1": false, "GET http://a HTTP/1.1": false, "GET ftp://a/ HTTP/1.1": false, "GET /": false, "G T / HTTP/1.1": false, "GET / a HTTP/1.1": false,
	} {
		if _, _, _, err := (&Head{Line: line}).RequestLine(); (err == nil) != ok {
			t.Errorf("%q: %v", line, err)
		}
	}
	for line, want := range map[string]int{"HTTP/1.1 200 OK": 200, "HTTP/1.1 204": 204, "HTTP/1.1 20": 0,
		"HTTP/1.1 999 x": 0, "HTTP/3 200 OK": 0, "noise": 0, "HTTP/1.1 +20 x": 0} {
		if n, err := (&Head{Line: line}).Status(); n != want || (err == nil) != (want > 0) {
			t.Errorf("%q: %d, %v", line, n, err)
		}
	}
}

func TestFraming(t *testing.T) {
	for _, c := range []struct {
		head    string
		length  int64
		chunked bool
		want    error
	}{
		{"", UnknownLength, false, nil},
		{"Content-Length: 5\r\n", 5, false, nil},
		{"Transfer-Encoding: Chunked\r\n", UnknownLength, true, nil},
		{"Transfer-Encoding:  chunked \r\n", UnknownLength, true, nil},
		{"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 0, false, ErrMalformed},
		{"Transfer-Encoding: chunked\r\nContent-Length: 0\r\n", 0, false, ErrMalformed},
		{"Content-Length: 5\r\nContent-Length: 5\r\n", 0, false, ErrMalformed},
		{"Content-Length: 5, 5\r\n", 0, false, ErrMalformed},
		{"Content-Length: -5\r\n", 0, false, ErrMalformed},
		{"Content-Length: +5\r\n", 0, false, ErrMalformed},
		{"Content-Length: 0x5\r\n", 0, false, ErrMalformed},
		{"Content-Length:\r\n", 0, false, ErrMalformed},
		{"Content-Length: 99999999999999999999\r\n", 0, false, ErrTooLarge},
		{"Transfer-Encoding: gzip, chunked\r\n", 0, false, ErrMalformed},
		{"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 0, false, ErrMalformed},
	} {
		h, err := ReadHead(newReader("GET / HTTP/1.1\r\n"+c.head+"\r\n"), 1000)
		if err != nil {
			t.Fatal(err)
		}
		n, chunked, err := h.Framing()
		if n != c.length || chunked != c.chunked || !errors.Is(err, c.want) {
			t.Errorf("%q: %d %v %v", c.head, n, chunked, err)
		}
	}
}

// HTTP/1.0 has no transfer codings: who sends one there, or who passes it on, may not know where the message ends.
func TestTransferEncodingInHTTP10(t *testing.T) {
	for _, line := range []string{"POST / HTTP/1.0", "HTTP/1.0 200 OK"} {
		h := &Head{Line: line, Fields: []Field{{"Transfer-Encoding", "chunked"}}}
		if _, _, err := h.Framing(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", line, err)
		}
	}
	h := &Head{Line: "POST /HTTP/1.0 HTTP/1.1", Fields: []Field{{"Transfer-Encoding", "chunked"}}}
	if _, chunked, err := h.Framing(); err != nil || !chunked {
		t.Error(chunked, err)
	}
}

func TestChunks(t *testing.T) {
	for _, c := range []struct {
		name, in, out string
		want          error
	}{
		{"whole", "3\r\nabc\r\n02;x=y\r\nde\r\n0\r\nT: v\r\n\r\n", "abcde", nil},
		{"no last chunk", "3\r\nabc\r\n", "abc", io.ErrUnexpectedEOF},
		{"cut off in a chunk", "5\r\nabc", "abc", io.ErrUnexpectedEOF},
		{"cut off in the trailer", "0\r\n", "", io.ErrUnexpectedEOF},
		{"size is malformed", "3\r\nabc\r\nzz\r\n", "abc", ErrMalformed},
		{"size is negative", "-3\r\nabc\r\n", "", ErrMalformed},
		{"size is empty", "\r\nabc\r\n", "", ErrMalformed},
		{"size is huge", "C0000000\r\nabc", "", ErrTooLarge},
		{"size exceeds 64 bits", "fffffffffffffffffff\r\nabc", "", ErrTooLarge},
		{"longer than its size", "2\r\nabc\r\n0\r\n\r\n", "ab", ErrMalformed},
		{"shorter than its size", "4\r\nabc\r\n0\r\n\r\n", "abc\r", ErrMalformed},
		{"size 0 before data with a colon", "0\r\ndata: abc\n\n\r\n0\r\n\r\n", "", ErrMalformed},
		{"trailer is no field", "0\r\nabc\r\n\r\n", "", ErrMalformed},
		{"trailer with a control character", "0\r\na: \x01\r\n\r\n", "", ErrMalformed},
		{"line feeds behind the size", "3\nabc\r\n0\r\n\r\n", "", ErrMalformed},
		{"line feeds behind the data", "3\r\nabc\n0\r\n\r\n", "abc", ErrMalformed},
		{"line feeds at the end", "0\r\n\n", "", ErrMalformed},
		{"space before the size", " 3\r\nabc\r\n0\r\n\r\n", "", ErrMalformed},
		{"extension without a name", "3;\r\nabc\r\n0\r\n\r\n", "", ErrMalformed},
		{"extension without a value", "3;a=\r\nabc\r\n0\r\n\r\n", "", ErrMalformed},
		{"extension of noise", "3;\x00\x01\r\nabc\r\n0\r\n\r\n", "", ErrMalformed},
		{"quoted extension without an end", "3;a=\"b\r\nabc\r\n0\r\n\r\n", "", ErrMalformed},
		{"words behind the size", "3 abc\r\nabc\r\n0\r\n\r\n", "", ErrMalformed},
		{"extensions", "3 ; a = b;c\r\nabc\r\n0;d=\"e;\\\"f\"\r\n\r\n", "abc", nil},
		{"spaces behind the size", "3 \t\r\nabc\r\n00\r\n\r\n", "abc", nil},
		{"trailer fields", "3\r\nabc\r\n0\r\nA:\r\nB: 1 2\r\n\r\n", "abc", nil},
		{"size in many digits", "0000000000000000000003\r\nabc\r\n0\r\n\r\n", "abc", nil},
		{"endless trailer", "0\r\n" + strings.Repeat("a: b\r\n", maxFields+1), "", ErrTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := io.ReadAll(NewChunkedReader(newReader(c.in), 100))
			if string(got) != c.out || !errors.Is(err, c.want) {
				t.Errorf("%q, %v; want %q, %v", got, err, c.out, c.want)
			}
		})
	}
}

// Data is passed on before the line end behind its chunk has arrived.
func TestChunkDataDoesNotWaitForLineEnd(t *testing.T) {
	in, out := io.Pipe()
	defer out.Close()
	go io.WriteString(out, "3\r\nabc")
	c := NewChunkedReader(bufio.NewReader(in), 100)
	b := make([]byte, 10)
	if n, err := c.Read(b); n != 3 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	go io.WriteString(out, "\r\n0\r\n\r\n")
	if n, err := c.Read(b); n != 0 || err != io.EOF {
		t.Errorf("%d bytes, %v", n, err)
	}
}
