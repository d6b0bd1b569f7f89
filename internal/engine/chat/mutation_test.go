package chat

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/http1"
)

// textConn is a connection from which a text can be read.
type textConn struct {
	net.Conn
	io.Reader
}

func (c textConn) Read(b []byte) (int, error)      { return c.Reader.Read(b) }
func (c textConn) SetReadDeadline(time.Time) error { return nil }
func (c textConn) Close() error                    { return nil }

// streamOf reads a text as a response, and returns the number of events and the outcome.
func streamOf(t *testing.T, client *Client, text string) (events int, outcome decide.Outcome) {
	t.Helper()
	c := &conn{Conn: textConn{Reader: strings.NewReader(text)}, br: bufio.NewReaderSize(strings.NewReader(text), readBufferSize), pool: client.pool}
	x := &exchange{client: client, ctx: t.Context(), conn: c, stopWatch: func() bool { return true }, requestWritten: true, status: 200}
	var err error
	if x.head, err = http1.ReadHead(c.br, maxHeadSize); err != nil {
		t.Fatal(err)
	}
	res := x.readStream(func(string) error {
		events++
		return nil
	})
	return events, res.Outcome
}

// A stream of which a byte was lost, added or changed is either broken, or has as many events as before.
func TestChangedByteMakesNoOtherStream(t *testing.T) {
	const insert = "\x00\t\n\r \"-01:;=AFx{}"
	client := newClient(t, nil)
	client.closeDelay = 0
	short := "data: {\"a\":1}\n\n"
	crlf := strings.ReplaceAll(short, "\n", "\r\n")
	served := 0
	for _, body := range []string{
		chunk(short) + chunk(short) + chunk(eventEnd) + lastChunk,
		chunk(short+short[:5]) + chunk(short[5:]+eventEnd) + lastChunk,
		chunk(crlf) + chunk(": x\r\n\r\n"+crlf) + chunk("data: [DONE]\r\n\r\n") + chunk(loadCommentPrefix+" {}\n") + "0\r\nA: b\r\n\r\n",
	} {
		want, outcome := streamOf(t, client, streamHead+body)
		if outcome != decide.Served || want != 3 {
			t.Fatalf("%q: outcome %d, %d events", body, outcome, want)
		}
		check := func(changed string) {
			events, outcome := streamOf(t, client, streamHead+changed)
			if outcome != decide.Served {
				return
			}
			if served++; events != want {
				t.Errorf("%q is a whole stream of %d events", changed, events)
			}
		}
		for i := range len(body) {
			check(body[:i])
			check(body[:i] + body[i+1:])
			for _, b := range insert {
				check(body[:i] + string(b) + body[i:])
				if b != ':' { // in place of another byte it may make a sound comment of an event
					check(body[:i] + string(b) + body[i+1:])
				}
			}
		}
	}
	if served == 0 {
		t.Error("no stream was served, so nothing was tested")
	}
}
