package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mintdoor/internal/soak"
)

// requestForm is a way in which a client writes a request.
type requestForm struct {
	name   string
	line   string // the request line; "": the usual one
	fields string // header lines beside the usual ones
	body   string
}

const requestBody = `{"model":"chat","stream":true}`

func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// soundRequests are forms that HTTP/1.1 allows.
var soundRequests = []requestForm{
	{name: "length", fields: fmt.Sprintf("Content-Length: %d\r\n", len(requestBody)), body: requestBody},
	{name: "chunks", fields: "transfer-encoding:chunked\r\n", body: chunkOf(requestBody[:9]) + chunkOf(requestBody[9:]) + "0\r\n\r\n"},
	{name: "chunk extensions", fields: "Transfer-Encoding: chunked\r\n",
		body: fmt.Sprintf("%04X ; a=\"b;c\";d\r\n%s\r\n000;e=f\r\n\r\n", len(requestBody), requestBody)},
	{name: "trailer", fields: "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", body: chunkOf(requestBody) + "0\r\nX-Sum: 1 2\r\n\r\n"},
	{name: "absolute target", line: "POST http://origin.svc/v1/chat/completions HTTP/1.1",
		fields: fmt.Sprintf("Content-Length: %d\r\n", len(requestBody)), body: requestBody},
	{name: "empty line first", line: "\r\nPOST /v1/chat/completions HTTP/1.1",
		fields: fmt.Sprintf("Content-Length: %d\r\n", len(requestBody)), body: requestBody},
	{name: "HTTP/1.0", line: "POST /v1/chat/completions HTTP/1.0",
		fields: fmt.Sprintf("Content-Length: %d\r\n", len(requestBody)), body: requestBody},
	{name: "expect", fields: fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", len(requestBody)), body: requestBody},
}

// unsoundRequests are forms of which nobody can say where the request ends, or that end too early.
var unsoundRequests = []requestForm{
	{name: "size 0", fields: "Transfer-Encoding: chunked\r\n", body: "0\r\n" + requestBody + "\r\n0\r\n\r\n"},
	{name: "size 0 behind the body", fields: "Transfer-Encoding: chunked\r\n", body: chunkOf(requestBody) + "0\r\n" + requestBody + "\r\n0\r\n\r\n"},
	{name: "size too small", fields: "Transfer-Encoding: chunked\r\n", body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(requestBody)-1, requestBody)},
	{name: "size too large", fields: "Transfer-Encoding: chunked\r\n", body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(requestBody)+1, requestBody)},
	{name: "size with a sign", fields: "Transfer-Encoding: chunked\r\n", body: fmt.Sprintf("+%x\r\n%s\r\n0\r\n\r\n", len(requestBody), requestBody)},
	{name: "line feeds in chunks", fields: "Transfer-Encoding: chunked\r\n", body: fmt.Sprintf("%x\n%s\n0\n\n", len(requestBody), requestBody)},
	{name: "noise in an extension", fields: "Transfer-Encoding: chunked\r\n", body: fmt.Sprintf("%x;\x01\r\n%s\r\n0\r\n\r\n", len(requestBody), requestBody)},
	{name: "noise in the trailer", fields: "Transfer-Encoding: chunked\r\n", body: chunkOf(requestBody) + "0\r\n\x01\x02\r\n\r\n"},
	{name: "no last chunk", fields: "Transfer-Encoding: chunked\r\n", body: chunkOf(requestBody)},
	{name: "half of the last chunk", fields: "Transfer-Encoding: chunked\r\n", body: chunkOf(requestBody) + "0\r\n"},
	{name: "chunks in HTTP/1.0", line: "POST /v1/chat/completions HTTP/1.0", fields: "Transfer-Encoding: chunked\r\n", body: chunkOf(requestBody) + "0\r\n\r\n"},
	{name: "length and chunks", fields: "Content-Length: 30\r\nTransfer-Encoding: chunked\r\n", body: chunkOf(requestBody) + "0\r\n\r\n"},
	{name: "length twice", fields: "Content-Length: 30\r\nContent-Length: 30\r\n", body: requestBody},
	{name: "length too large", fields: "Content-Length: 31\r\n", body: requestBody},
	{name: "length too small", fields: "Content-Length: 29\r\n", body: requestBody},
	{name: "no length", body: requestBody},
	{name: "another coding", fields: "Transfer-Encoding: gzip, chunked\r\n", body: chunkOf(requestBody) + "0\r\n\r\n"},
}

// text returns the request with an id.
func (f *requestForm) text(id string) string {
	line := f.line
	if line == "" {
		line = "POST /v1/chat/completions HTTP/1.1"
	}
	return line + "\r\nHost: a\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: price-ask\r\nX-Time-Left-Ms: 2500\r\n" +
		"X-Facts: prompt_len=1000\r\n" + f.fields + "\r\n" + f.body
}

// statusOf sends a request and returns the status of its answer, after any 1xx answers.
func (f *requestForm) statusOf(t *testing.T, addr, id string) int {
	t.Helper()
	const answerTimeout = 20 * time.Second // far more than a client is left without a word
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(answerTimeout))
	io.WriteString(c, f.text(id))
	br := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Errorf("%s: %v", f.name, err)
			return 0
		}
		if resp.StatusCode >= 200 {
			io.Copy(io.Discard, resp.Body)
			return resp.StatusCode
		}
	}
}

func TestOnlyWholeRequestsAreServed(t *testing.T) {
	testbed, err := soak.NewTestbed(soak.TestbedOptions{Program: platformRouter(), ConfigDir: t.TempDir(), Routers: 1, Readers: 2, Writers: 2,
		Timing: streamTiming})
	if err != nil {
		t.Fatal(err)
	}
	defer testbed.Close()
	startRouters(t, testbed.Routers)
	router := testbed.Routers[0]
	for i := range soundRequests {
		if code := soundRequests[i].statusOf(t, router.Addr, fmt.Sprintf("sound%d", i)); code != 200 {
			t.Errorf("%s: status %d", soundRequests[i].name, code)
		}
	}
	for i := range unsoundRequests {
		if code := unsoundRequests[i].statusOf(t, router.Addr, fmt.Sprintf("unsound%d", i)); code < 400 || code == 429 {
			t.Errorf("%s: status %d", unsoundRequests[i].name, code)
		}
	}
	for _, a := range testbed.Cluster.Record().Attempts {
		if strings.HasPrefix(a.Request, "unsound") {
			t.Errorf("%s was sent to engine %s", a.Request, a.Engine)
		}
	}
}
