// Package http1 reads HTTP/1.1 messages (RFC 9112) from a connection, within limits. The front of the platform's
// protocol and the client of its engines are built on it, because they need details that net/http hides: both length
// headers of a message, the moment at which a request was written, and a head without an end. The package does not
// interpret messages beyond their framing.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// The errors of reading a message. They are wrapped with a description of what is wrong.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message over its limit")
)

// malformed returns ErrMalformed wrapped with a formatted description.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Field is one header field. Its value has no surrounding white space.
type Field struct{ Name, Value string }

// Head is the start line and the header of a message.
type Head struct {
	Line   string
	Fields []Field
}

// Limits on a head besides its size in bytes.
const (
	maxFields     = 64
	maxBlankLines = 2 // empty lines before a start line (RFC 9112, 2.2)
)

// Get returns the value of the first field with a name and the number of fields with that name.
func (h *Head) Get(name string) (value string, n int) {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			if n++; n == 1 {
				value = h.Fields[i].Value
			}
		}
	}
	return value, n
}

// readRawLine reads a line with its line end. The line has to fit into br's buffer.
func readRawLine(br *bufio.Reader) ([]byte, error) {
	line, err := br.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, fmt.Errorf("%w: a line has more than %d bytes", ErrTooLarge, br.Size())
	case errors.Is(err, io.EOF) && len(line) > 0:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	return line, nil
}

// readLine reads a line and returns it without its line end, which may be a single line feed.
func readLine(br *bufio.Reader) ([]byte, error) {
	line, err := readRawLine(br)
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// ReadHead reads a head of at most max bytes. It returns io.EOF if the connection ends before the start line.
func ReadHead(br *bufio.Reader, max int) (*Head, error) {
	h := &Head{}
	first := true
	for blank := 0; ; {
		b, err := readLine(br)
		if err != nil {
			if errors.Is(err, io.EOF) && !first {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if max -= len(b) + 2; max < 0 {
			return nil, fmt.Errorf("%w: head", ErrTooLarge)
		}
		switch {
		case first && len(b) == 0:
			if blank++; blank > maxBlankLines {
				return nil, malformed("no start line")
			}
		case first:
			for _, c := range b {
				if c < ' ' || c == 0x7f {
					return nil, malformed("control character in the start line")
				}
			}
			h.Line, first = string(b), false
		case len(b) == 0:
			return h, nil
		default:
			f, err := parseField(b)
			if err != nil {
				return nil, err
			}
			if len(h.Fields) == maxFields {
				return nil, fmt.Errorf("%w: more than %d header fields", ErrTooLarge, maxFields)
			}
			h.Fields = append(h.Fields, f)
		}
	}
}

// parseField parses a header line.
func parseField(b []byte) (Field, error) {
	name, value, ok := strings.Cut(string(b), ":")
	if !ok || !IsToken(name) { // also rejects a folded line and a space before the colon
		return Field{}, malformed("header line %.40q", b)
	}
	value = strings.Trim(value, " \t")
	for i := 0; i < len(value); i++ {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return Field{}, malformed("control character in the header %s", name)
		}
	}
	return Field{name, value}, nil
}

// IsToken reports whether s is a token as defined in RFC 9110, section 5.6.2.
func IsToken(s string) bool {
	rest, ok := cutToken(s)
	return ok && rest == ""
}

// isTokenChar reports whether c may stand in a token.
func isTokenChar(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// RequestLine returns the parts of a request's start line. http10 is true for HTTP/1.0.
func (h *Head) RequestLine() (method, target string, http10 bool, err error) {
	method, rest, _ := strings.Cut(h.Line, " ")
	target, version, ok := strings.Cut(rest, " ")
	target = originForm(target)
	if !ok || !IsToken(method) || !strings.HasPrefix(target, "/") ||
		version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", "", false, malformed("request line %.60q", h.Line)
	}
	return method, target, version == "HTTP/1.0", nil
}

// originForm returns the path and query of a target in absolute form, which a server has to accept as well (RFC 9112,
// section 3.2.2). It returns any other target unchanged.
func originForm(target string) string {
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target
	}
	authority, path, found := strings.Cut(target[len(scheme):], "/")
	if !found || authority == "" {
		return target
	}
	return "/" + path
}

// Status returns the status code of a response.
func (h *Head) Status() (int, error) {
	version, rest, _ := strings.Cut(h.Line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || n < 100 || n > 599 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return 0, malformed("status line %.60q", h.Line)
	}
	return n, nil
}

// WantsClose reports whether the sender closes the connection after this message.
func (h *Head) WantsClose() bool {
	for i := range h.Fields {
		if !strings.EqualFold(h.Fields[i].Name, "Connection") {
			continue
		}
		for option := range strings.SplitSeq(h.Fields[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				return true
			}
		}
	}
	return false
}

// hopByHop has the names of the fields that belong to one connection (RFC 9110, section 7.6.1) or to the framing of a
// message on it.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "TE", "Trailer",
	"Transfer-Encoding", "Content-Length", "Upgrade", "Expect", "Host"}

// EndToEnd returns the fields that an intermediary forwards: all except those in hopByHop and those named in a
// Connection field.
func (h *Head) EndToEnd() []Field {
	var options []string
	for _, f := range h.Fields {
		if strings.EqualFold(f.Name, "Connection") {
			for option := range strings.SplitSeq(f.Value, ",") {
				options = append(options, strings.TrimSpace(option))
			}
		}
	}
	var out []Field
	for _, f := range h.Fields {
		is := func(name string) bool { return strings.EqualFold(name, f.Name) }
		if !slices.ContainsFunc(hopByHop, is) && !slices.ContainsFunc(options, is) {
			out = append(out, f)
		}
	}
	return out
}

// UnknownLength is the length of a body if the head does not announce one.
const UnknownLength = -1

// isHTTP10 reports whether a request or a response is one of HTTP/1.0, which has no transfer codings (RFC 9112, section
// 6.1).
func (h *Head) isHTTP10() bool {
	return strings.HasPrefix(h.Line, "HTTP/1.0 ") || strings.HasSuffix(h.Line, " HTTP/1.0")
}

// Framing returns how a body is framed: in chunks, or as length bytes. A message with both length headers, or with
// one of them twice, can be read in two ways, and another reader could see a different request in its body (request
// smuggling, RFC 9112, section 11.2). Framing rejects such a message as malformed, whatever the values are.
func (h *Head) Framing() (length int64, chunked bool, err error) {
	cl, lengths := h.Get("Content-Length")
	te, codings := h.Get("Transfer-Encoding")
	switch {
	case lengths > 0 && codings > 0:
		return 0, false, malformed("both Content-Length and Transfer-Encoding")
	case lengths > 1 || codings > 1:
		return 0, false, malformed("a length is told %d times", lengths+codings)
	case codings == 1 && (!strings.EqualFold(te, "chunked") || h.isHTTP10()):
		return 0, false, malformed("Transfer-Encoding %.40q", te)
	case codings == 1:
		return UnknownLength, true, nil
	case lengths == 0:
		return UnknownLength, false, nil
	}
	if cl == "" || strings.Trim(cl, "0123456789") != "" { // ParseInt would take a sign
		return 0, false, malformed("Content-Length %.40q", cl)
	}
	length, err = strconv.ParseInt(cl, 10, 64)
	if err != nil { // more than 63 bits
		return 0, false, fmt.Errorf("%w: Content-Length %.40q", ErrTooLarge, cl)
	}
	return length, false, nil
}
