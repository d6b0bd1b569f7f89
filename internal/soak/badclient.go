package soak

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"mintdoor/internal/platform"
)

// badClientTimeout is how long a bad client may be left without an error or a close.
const badClientTimeout = 3 * time.Second

// badRequests is what bad clients send, by its kind.
var badRequests = map[string]string{
	"noise":              "\x00\x01\x02 not http\r\n\r\n",
	"half a head":        "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: a\r\nX-Corre",
	"half a body":        "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n{\"model\":",
	"negative length":    "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
	"huge length":        "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
	"two lengths":        "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"noise in a trailer": badChunks("0\r\n\x01\r\n\r\n"),
	"wrong chunk size":   badChunks("0\r\n{}\r\n0\r\n\r\n"),
	"no last chunk":      badChunks(""),
	"many short fields":  "POST " + platform.ChatPath + " HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 3000),
	"unknown class":      "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: bad1\r\nX-Service-Class: nobody\r\nX-Time-Left-Ms: 500\r\nContent-Length: 2\r\n\r\n{}",
	"no time":            "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: bad2\r\nX-Service-Class: price-ask\r\nX-Time-Left-Ms: soon\r\nContent-Length: 2\r\n\r\n{}",
	"no id":              "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: a\r\nX-Service-Class: price-ask\r\nX-Time-Left-Ms: 500\r\nContent-Length: 2\r\n\r\n{}",
	"nothing":            "",
	"a body that is bad": "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: bad3\r\nX-Service-Class: price-ask\r\nX-Time-Left-Ms: 500\r\nContent-Length: 3\r\n\r\n{]}",
}

// badRequestKinds are the keys of badRequests in a fixed order, so that a seed draws the same kinds.
var badRequestKinds = []string{"noise", "half a head", "half a body", "negative length", "huge length", "two lengths", "unknown class",
	"no time", "no id", "nothing", "a body that is bad", "noise in a trailer", "wrong chunk size", "no last chunk", "many short fields"}

// badChunks returns a request whose body ends with the given text behind a sound chunk.
func badChunks(end string) string {
	return "POST " + platform.ChatPath + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: bad4\r\nX-Service-Class: price-ask\r\n" +
		"X-Time-Left-Ms: 500\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n" + end
}

// runBadClient sends a random invalid request to a router and records what comes back.
func (t *traffic) runBadClient(r *Router, random *rand.Rand) {
	kind := badRequestKinds[random.IntN(len(badRequestKinds))]
	c, err := dial(r)
	if err != nil {
		return
	}
	defer c.Close()
	t.sendInvalid(c, r, kind, badRequests[kind])
}

// sendInvalid sends an invalid request and records what comes back.
func (t *traffic) sendInvalid(c *conn, r *Router, kind, text string) {
	b := badClient{kind: kind, router: r.Index, startedAt: time.Now()}
	io.WriteString(c, text)
	c.SetReadDeadline(b.startedAt.Add(badClientTimeout + answerSlack))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	var late net.Error
	switch {
	case err == nil:
		b.served = resp.StatusCode < 400
		resp.Body.Close()
	case errors.As(err, &late) && late.Timeout():
		b.noResponse = true
	}
	b.waited = time.Since(b.startedAt)
	t.log.addBad(b)
}
