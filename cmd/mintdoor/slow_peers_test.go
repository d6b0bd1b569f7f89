package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// slowly writes a text in pieces of the given size, with a pause before each.
func slowly(c net.Conn, text string, size int, pause time.Duration) bool {
	for ; text != ""; text = text[min(size, len(text)):] {
		time.Sleep(pause)
		if !writeText(c, text[:min(size, len(text))]) {
			return false
		}
	}
	return true
}

// longEvent is an event that is written in many pieces.
var longEvent = `data: {"choices":[{"index":0,"delta":{"content":"` + strings.Repeat("z", 3000) + `"}}]}` + "\n\n"

// slowStreams are ways of writing a long answer slowly. Each is a whole stream, with an event within every 4 s.
var slowStreams = map[string]func(c net.Conn) bool{
	"an event every 3 s":   func(c net.Conn) bool { return writeEvents(c, 5, "a", 3*time.Second) },
	"an event every 1.5 s": func(c net.Conn) bool { return writeEvents(c, 10, "a", 1500*time.Millisecond) },
	"events in small pieces": func(c net.Conn) bool {
		return writeText(c, streamStart) && slowly(c, strings.Repeat(chunkOf(longEvent), 4)+endOfStream, 100, 100*time.Millisecond)
	},
	"chunks of a few bytes": func(c net.Conn) bool {
		return writeText(c, streamStart) && slowly(c, smallChunks(strings.Repeat(longEvent, 4))+endOfStream, 107, 100*time.Millisecond)
	},
	"a line end 2 s later": func(c net.Conn) bool { return lateLineEnds(c, 2*time.Second) },
	"the last chunk 3 s late": func(c net.Conn) bool {
		return writeText(c, platformStreamHead+chunkOf(longEvent)+chunkOf("data: [DONE]\n\n")) && slowly(c, "0\r\n\r\n", 5, 3*time.Second)
	},
}

// streamStart is the beginning of a stream with a short event.
var streamStart = platformStreamHead + chunkOf("data: 1\n\n")

const endOfStream = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"

// smallChunks returns a text in chunks of 100 bytes.
func smallChunks(text string) (out string) {
	for ; text != ""; text = text[min(100, len(text)):] {
		out += chunkOf(text[:min(100, len(text))])
	}
	return out
}

// lateLineEnds writes events whose chunks get their line ends with the next chunk.
func lateLineEnds(c net.Conn, pause time.Duration) bool {
	if !writeText(c, platformStreamHead) {
		return false
	}
	for i := range 6 {
		lineEnd := "\r\n"
		if i == 0 {
			lineEnd = ""
		}
		if !writeText(c, fmt.Sprintf("%s%x\r\n%s", lineEnd, len(longEvent), longEvent)) {
			return false
		}
		time.Sleep(pause)
	}
	return writeText(c, "\r\n"+endOfStream)
}

func TestSlowStreamsAreNotCutOff(t *testing.T) {
	for name, stream := range slowStreams {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPlatformProcess(t, 192, 512, &platformEngine{id: "p1"}, &platformEngine{id: "d1", writer: true,
				stream: func(c net.Conn, _ string) bool { return stream(c) }})
			c := p.dial(t)
			io.WriteString(c, chatRequest("slow", "price-ask", 6*time.Second))
			code, err := wholeAnswer(c)
			if code != 200 || err != nil {
				t.Errorf("status %d, %v", code, err)
			}
		})
	}
}

// The final answer comes in time although an engine takes the request a few bytes at a time.
func TestAnswerIsInTimeWhenEnginesReadSlowly(t *testing.T) {
	const left, allowed = 2 * time.Second, 550 * time.Millisecond
	receive := func(body io.Reader, length int64) error {
		for ; length > 0; length -= 1000 {
			time.Sleep(50 * time.Millisecond)
			if _, err := io.CopyN(io.Discard, body, min(1000, length)); err != nil {
				return err
			}
		}
		return nil
	}
	stream := func(c net.Conn, _ string) bool { return writeEvents(c, 3, "a", 0) }
	for _, slow := range []struct{ readers, writers bool }{{true, false}, {false, true}, {true, true}} {
		for _, class := range []string{"price-ask", "pen-booking"} {
			t.Run(fmt.Sprintf("readers %v, writers %v, %s", slow.readers, slow.writers, class), func(t *testing.T) {
				t.Parallel()
				var engines []*platformEngine
				for i := range 3 {
					reader, writer := &platformEngine{id: fmt.Sprintf("p%d", i)}, &platformEngine{id: fmt.Sprintf("d%d", i), writer: true, stream: stream}
					if slow.readers {
						reader.receive = receive
					}
					if slow.writers {
						writer.receive = receive
					}
					engines = append(engines, reader, writer)
				}
				p := startPlatformProcess(t, 192, 512, engines...)
				c := p.dial(t)
				io.WriteString(c, largeRequest("large", class, left, 250_000))
				sent := time.Now()
				code, err := wholeAnswer(c)
				if took := time.Since(sent); code == 0 || took > left+allowed {
					t.Errorf("answered with %d, %v after %v; %v are allowed", code, err, took, left+allowed)
				} else {
					t.Logf("status %d after %v", code, took)
				}
			})
		}
	}
}
