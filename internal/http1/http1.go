// Package http1 reads HTTP/1.1 messages (RFC 9112) from a connection, within bounds. It stands beneath the
// platform's front and its engines' client, which have to see what net/http hides: both length headers of a
// message, the moment at which a request was written, a head without end. It knows no meaning of a message.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// The errors of reading. ErrMalformed and ErrTooLarge are wrapped with what is wrong.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message over its limit")
)

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Field is one header field, its value without the space around it.
type Field struct{ Name, Value string }

// Head is the start line of a message and its header.
type Head struct {
	Line   string
	Fields []Field
}

// Bounds of a head beside its bytes.
const (
	maxFields = 64
	maxBlank  = 2 // empty lines before a start line (RFC 9112, 2.2)
)

// Get returns the value of a field and how often it stands there; the value is that of the first.
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

// line reads a line without its end. A line has to fit into br's buffer.
func line(br *bufio.Reader) ([]byte, error) {
	b, err := br.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, fmt.Errorf("%w: a line has more than %d bytes", ErrTooLarge, br.Size())
	case err != nil:
		if errors.Is(err, io.EOF) && len(b) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	b = b[:len(b)-1]
	if n := len(b); n > 0 && b[n-1] == '\r' {
		b = b[:n-1]
	}
	return b, nil
}

// ReadHead reads a head of at most max bytes. io.EOF means that nothing came at all.
func ReadHead(br *bufio.Reader, max int) (*Head, error) {
	h := &Head{}
	first := true
	for blank := 0; ; {
		b, err := line(br)
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
			if blank++; blank > maxBlank {
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
			f, err := field(b)
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

func field(b []byte) (Field, error) {
	name, value, ok := strings.Cut(string(b), ":")
	if !ok || !IsToken(name) { // a folded line and a space before the colon end here too
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

// IsToken tells whether s is a token of RFC 9110, 5.6.2.
func IsToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// RequestLine returns the parts of a request's start line. old is HTTP/1.0.
func (h *Head) RequestLine() (method, target string, old bool, err error) {
	method, rest, _ := strings.Cut(h.Line, " ")
	target, version, ok := strings.Cut(rest, " ")
	target = originForm(target)
	if !ok || !IsToken(method) || !strings.HasPrefix(target, "/") ||
		version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", "", false, malformed("request line %.60q", h.Line)
	}
	return method, target, version == "HTTP/1.0", nil
}

// originForm returns the path and query of a target in absolute form, which a server has to take too (RFC 9112, 3.2.2);
// any other target is returned as it is.
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

// Status returns the status of an answer.
func (h *Head) Status() (int, error) {
	version, rest, _ := strings.Cut(h.Line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || n < 100 || n > 599 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return 0, malformed("status line %.60q", h.Line)
	}
	return n, nil
}

// WantsClose tells whether the sender closes the connection after this message.
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

// hopByHop are the fields that belong to one connection (RFC 9110, 7.6.1) or to the framing of a message on it.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "TE", "Trailer",
	"Transfer-Encoding", "Content-Length", "Upgrade", "Expect", "Host"}

// EndToEnd returns the fields that an intermediary passes on: all but those of the connection and those that the
// Connection field names.
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

// UnknownLength is the length of a body about which a head says nothing.
const UnknownLength = -1

// Framing tells how a body is framed: in chunks, or length bytes of it. A message that has both lengths, or
// one of them twice, may be read in two ways, and the other reader would see another request in its body
// (RFC 9112, 11.2): it is malformed here whatever the values are.
func (h *Head) Framing() (length int64, chunked bool, err error) {
	cl, lengths := h.Get("Content-Length")
	te, codings := h.Get("Transfer-Encoding")
	switch {
	case lengths > 0 && codings > 0:
		return 0, false, malformed("both Content-Length and Transfer-Encoding")
	case lengths > 1 || codings > 1:
		return 0, false, malformed("a length is told %d times", lengths+codings)
	case codings == 1:
		if !strings.EqualFold(te, "chunked") {
			return 0, false, malformed("Transfer-Encoding %.40q", te)
		}
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

// ChunkedReader reads a body in chunks.
type ChunkedReader struct {
	br   *bufio.Reader
	max  int64 // bytes of one chunk
	left int64 // of the chunk under way
	open bool  // in a chunk
	done bool
}

// NewChunkedReader returns a reader of the chunks in br, none of them over max bytes.
func NewChunkedReader(br *bufio.Reader, max int64) *ChunkedReader {
	return &ChunkedReader{br: br, max: max}
}

// Read implements io.Reader. It never crosses from one chunk into the next, and returns io.EOF only after
// the last chunk and its trailer.
func (c *ChunkedReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if !c.open {
		if err := c.next(); err != nil {
			return 0, whole(err)
		}
		if c.done {
			return 0, io.EOF
		}
	}
	if int64(len(p)) > c.left {
		p = p[:c.left]
	}
	n, err := c.br.Read(p)
	if c.left -= int64(n); c.left == 0 && n > 0 {
		c.open = false
		if end, e := line(c.br); e != nil {
			return n, whole(e)
		} else if len(end) != 0 {
			return n, malformed("a chunk is longer than it says")
		}
		return n, nil
	}
	return n, whole(err)
}

// whole: a body in chunks that ends before its last chunk is not whole.
func whole(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (c *ChunkedReader) next() error {
	b, err := line(c.br)
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(string(b), ";")
	size = strings.Trim(size, " \t")
	if size == "" || strings.Trim(size, "0123456789abcdefABCDEF") != "" {
		return malformed("chunk size %.20q", b)
	}
	n, err := strconv.ParseInt(size, 16, 64)
	if err != nil || n > c.max {
		return fmt.Errorf("%w: chunk of %.20s bytes", ErrTooLarge, size)
	}
	if n > 0 {
		c.left, c.open = n, true
		return nil
	}
	for range maxFields { // the trailer
		b, err := line(c.br)
		if err != nil {
			return err
		}
		if len(b) == 0 {
			c.done = true
			return nil
		}
	}
	return fmt.Errorf("%w: trailer", ErrTooLarge)
}
