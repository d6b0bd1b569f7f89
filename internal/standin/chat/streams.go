package chat

import (
	"fmt"
	"io"
	"strings"

	"mintdoor/internal/platform"
)

// StreamForm is a way in which an engine may write a stream. Each form is one that HTTP/1.1 and server-sent events allow.
type StreamForm struct {
	Name    string
	fields  string                    // further lines of the response header
	lineEnd string                    // of the events; "" is "\n"
	chunks  func(event string) string // the chunks of one event; nil: one plain chunk
	comment string                    // a chunk before each event
	end     string                    // what follows the last event; "" is a plain last chunk
}

// StreamForms are all forms of streams; the first one is the usual one.
var StreamForms = []StreamForm{
	{Name: "plain"},
	{Name: "sizes with zeros and capitals", chunks: func(event string) string { return fmt.Sprintf("%08X\r\n%s\r\n", len(event), event) },
		end: "0000\r\n\r\n"},
	{Name: "chunk extensions", chunks: func(event string) string {
		return fmt.Sprintf("%x;sum=12 ; note=\"a;\\\"b\"\r\n%s\r\n", len(event), event)
	}, end: "0;last\r\n\r\n"},
	{Name: "spaces behind sizes", chunks: func(event string) string { return fmt.Sprintf("%x  \r\n%s\r\n", len(event), event) }},
	{Name: "trailer fields", fields: "Trailer: X-Sum\r\n", end: "0\r\nX-Sum: 0 1 2\r\nX-Empty:\r\n\r\n"},
	{Name: "events over several chunks", chunks: func(event string) string {
		third := len(event) / 3
		return chunkText(event[:1]) + chunkText(event[1:third]) + chunkText(event[third:len(event)-1]) + chunkText(event[len(event)-1:])
	}},
	{Name: "lines that end with CRLF", lineEnd: "\r\n"},
	{Name: "fields beside the data", chunks: func(event string) string { return chunkText("event: message\nid: 7\n" + event) }},
	{Name: "comments between events", comment: ": ping\n\n"},
	{Name: "report at the end", end: chunkText(": "+platform.LoadHeader+`: {"x0":0.5}`+"\n\n") + lastChunk},
	{Name: "report at the end, one line", end: chunkText(": "+platform.LoadHeader+`: {"x0":0.5}`+"\n") + lastChunk},
	{Name: "further header fields", fields: "X-Accel-Buffering: no\r\nServer:\r\n"},
}

// StreamFault is a way in which an engine spoils a stream. write writes what takes the place of the remaining events.
type StreamFault struct {
	Name   string
	write  func(w io.Writer, events []string)
	closes bool // the engine closes the connection; otherwise it stays open
}

// StreamFaults are all ways of spoiling a stream. In none of them is the stream written whole, although some of them go on
// with the remaining events and the last chunk.
var StreamFaults = []StreamFault{
	{Name: "size that can't be read", write: func(w io.Writer, events []string) { io.WriteString(w, "zz\r\n") }},
	{Name: "size 0", write: withSize(func(int) string { return "0" })},
	{Name: "size 0 in many digits", write: withSize(func(int) string { return "00000000" })},
	{Name: "size 0 with an extension", write: withSize(func(int) string { return "0;x=y" })},
	{Name: "size 1 too small", write: withSize(func(n int) string { return fmt.Sprintf("%x", n-1) })},
	{Name: "size 2 too small", write: withSize(func(n int) string { return fmt.Sprintf("%x", n-2) })},
	{Name: "size half", write: withSize(func(n int) string { return fmt.Sprintf("%x", n/2) })},
	{Name: "size 1 too large", write: withSize(func(n int) string { return fmt.Sprintf("%x", n+1) })},
	{Name: "size 9 too large", write: withSize(func(n int) string { return fmt.Sprintf("%x", n+9) })},
	{Name: "size of 3 GB", write: func(w io.Writer, events []string) {
		io.WriteString(w, "c0000000\r\n"+strings.Repeat(events[0], 1000))
	}},
	{Name: "size with a sign", write: withSize(func(n int) string { return fmt.Sprintf("+%x", n) })},
	{Name: "size with noise behind it", write: withSize(func(n int) string { return fmt.Sprintf("%x;\x00\x01", n) })},
	{Name: "no line end behind a chunk", write: func(w io.Writer, events []string) {
		fmt.Fprintf(w, "%x\r\n%s", len(events[0]), events[0])
		writeRest(w, events[1:])
	}},
	{Name: "early last chunk", write: func(w io.Writer, events []string) { io.WriteString(w, lastChunk) }},
	{Name: "early last chunk, then the rest", write: func(w io.Writer, events []string) {
		io.WriteString(w, lastChunk)
		writeRest(w, events)
	}},
	{Name: "early last chunk with a trailer", write: func(w io.Writer, events []string) { io.WriteString(w, "0\r\nX-Sum: 1\r\n\r\n") }},
	{Name: "last chunk, then noise", write: func(w io.Writer, events []string) { io.WriteString(w, "0\r\n\x00\x01 noise\r\n\r\n") }},
	{Name: "half of the last chunk", write: func(w io.Writer, events []string) { io.WriteString(w, "0\r\n") }},
	{Name: "half of an event, then the last chunk", write: func(w io.Writer, events []string) {
		io.WriteString(w, chunkText(events[0][:len(events[0])/2])+lastChunk)
	}},
	{Name: "event without its blank line, then the last chunk", write: func(w io.Writer, events []string) {
		io.WriteString(w, chunkText(events[0][:len(events[0])-1])+lastChunk)
	}},
	{Name: "[DONE] without its blank line", write: func(w io.Writer, events []string) {
		for _, event := range events[:len(events)-1] {
			io.WriteString(w, chunkText(event))
		}
		io.WriteString(w, chunkText("data: "+LastEvent+"\n")+lastChunk)
	}},
	{Name: "all events but [DONE]", write: func(w io.Writer, events []string) { writeRest(w, events[:len(events)-1]) }},
	{Name: "events behind [DONE]", write: func(w io.Writer, events []string) {
		writeRest(w, append([]string{"data: " + LastEvent + "\n\n"}, events...))
	}},
	{Name: "noise behind [DONE]", write: func(w io.Writer, events []string) {
		for _, event := range events {
			io.WriteString(w, chunkText(event))
		}
		io.WriteString(w, chunkText("noise\n\n")+lastChunk)
	}},
	{Name: "end of the connection", write: func(io.Writer, []string) {}, closes: true},
	{Name: "all events, then the end of the connection", write: func(w io.Writer, events []string) {
		for _, event := range events {
			io.WriteString(w, chunkText(event))
		}
	}, closes: true},
}

// lastChunk ends a stream.
const lastChunk = "0\r\n\r\n"

// chunkText returns an event, or a part of one, as a chunk.
func chunkText(event string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(event), event) }

// withSize writes an event with the chunk size that size returns for its length, and then the rest of the stream.
func withSize(size func(length int) string) func(w io.Writer, events []string) {
	return func(w io.Writer, events []string) {
		fmt.Fprintf(w, "%s\r\n%s\r\n", size(len(events[0])), events[0])
		writeRest(w, events[1:])
	}
}

// writeRest writes events and the last chunk.
func writeRest(w io.Writer, events []string) {
	for _, event := range events {
		io.WriteString(w, chunkText(event))
	}
	io.WriteString(w, lastChunk)
}

// Events returns the events of a stream in this form: n that name the request and the engine, and the last one.
func (f *StreamForm) Events(request, engine string, n int) []string {
	var events []string
	for i := range n {
		events = append(events, f.eventText(EventText(request, engine, i)))
	}
	return append(events, f.eventText(LastEvent))
}

// eventText returns an event with the given data.
func (f *StreamForm) eventText(data string) string {
	lineEnd := f.lineEnd
	if lineEnd == "" {
		lineEnd = "\n"
	}
	return "data: " + data + lineEnd + lineEnd
}

// wireText returns an event as it is written to the connection.
func (f *StreamForm) wireText(event string) string {
	comment := ""
	if f.comment != "" {
		comment = chunkText(f.comment)
	}
	if f.chunks == nil {
		return comment + chunkText(event)
	}
	return comment + f.chunks(event)
}

// endText returns what follows the last event.
func (f *StreamForm) endText() string {
	if f.end == "" {
		return lastChunk
	}
	return f.end
}
