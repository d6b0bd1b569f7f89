package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// ChunkedReader reads a body in chunked transfer coding (RFC 9112, section 7.1). It accepts only what the grammar allows: a
// sender that breaks it anywhere may have told a wrong size, so that nothing behind it can be believed.
type ChunkedReader struct {
	br        *bufio.Reader
	max       int64 // maximum size of a chunk in bytes
	remaining int64 // unread bytes of the current chunk
	needsEnd  bool  // the line end behind the data of a chunk was not read yet
	done      bool  // the last chunk and the trailer were read

	trailerLines int
}

// NewChunkedReader returns a reader of the chunked body in br. A chunk of more than max bytes is an error.
func NewChunkedReader(br *bufio.Reader, max int64) *ChunkedReader {
	return &ChunkedReader{br: br, max: max}
}

// TrailerLines returns how many lines of the trailer were read.
func (c *ChunkedReader) TrailerLines() int { return c.trailerLines }

// Read implements io.Reader. One call never returns data of two chunks. Read returns io.EOF only after the last chunk
// and the trailer.
func (c *ChunkedReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.remaining == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, unexpectedEOF(err)
		}
		if c.done {
			return 0, io.EOF
		}
	}
	if int64(len(p)) > c.remaining {
		p = p[:c.remaining]
	}
	n, err := c.br.Read(p)
	if c.remaining -= int64(n); c.remaining == 0 && n > 0 {
		c.needsEnd = true
		if err == nil && c.br.Buffered() >= len("\r\n") { // otherwise the line end may come much later than the data
			err = c.readChunkEnd()
		}
	}
	return n, unexpectedEOF(err)
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, because a chunked body that ends before its last chunk is
// incomplete.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readChunkEnd reads the line end behind the data of a chunk, if it was not read yet.
func (c *ChunkedReader) readChunkEnd() error {
	if !c.needsEnd {
		return nil
	}
	c.needsEnd = false
	end, err := readStrictLine(c.br)
	if err == nil && len(end) > 0 {
		err = malformed("a chunk is longer than it says")
	}
	return err
}

// nextChunk reads the size line of the next chunk, and the trailer after the last chunk.
func (c *ChunkedReader) nextChunk() error {
	if err := c.readChunkEnd(); err != nil {
		return err
	}
	line, err := readStrictLine(c.br)
	if err != nil {
		return err
	}
	size, err := parseChunkSize(string(line))
	switch {
	case err != nil:
		return err
	case size > c.max:
		return fmt.Errorf("%w: chunk of %d bytes", ErrTooLarge, size)
	case size > 0:
		c.remaining = size
		return nil
	}
	return c.readTrailer()
}

// readTrailer reads the trailer section after the last chunk. Its fields are not kept.
func (c *ChunkedReader) readTrailer() error {
	for range maxFields {
		line, err := readStrictLine(c.br)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			c.done = true
			return nil
		}
		if _, err := parseField(line); err != nil {
			return fmt.Errorf("trailer: %w", err)
		}
		c.trailerLines++
	}
	return fmt.Errorf("%w: trailer", ErrTooLarge)
}

// readStrictLine reads a line that has to end with CRLF. The exception for single line feeds (RFC 9112, section 2.2) is
// for start lines and header fields only.
func readStrictLine(br *bufio.Reader) ([]byte, error) {
	line, err := readRawLine(br)
	if err != nil {
		return nil, err
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, malformed("a line of a chunked body ends without CRLF: %.40q", line)
	}
	return text, nil
}

// parseChunkSize parses the size line of a chunk.
func parseChunkSize(line string) (int64, error) {
	digits := len(line) - len(strings.TrimLeft(line, "0123456789abcdefABCDEF"))
	if digits == 0 || !isChunkExtensions(line[digits:]) {
		return 0, malformed("chunk size %.40q", line)
	}
	size, err := strconv.ParseInt(line[:digits], 16, 64)
	if err != nil { // more than 63 bits
		return 0, fmt.Errorf("%w: chunk of %.20s bytes", ErrTooLarge, line)
	}
	return size, nil
}

// isChunkExtensions reports whether s is a sequence of chunk extensions (RFC 9112, section 7.1.1), possibly empty. White
// space may stand around each part.
func isChunkExtensions(s string) bool {
	for s = trimSpaces(s); s != ""; s = trimSpaces(s) {
		rest, ok := strings.CutPrefix(s, ";")
		if !ok {
			return false
		}
		if rest, ok = cutToken(trimSpaces(rest)); !ok {
			return false
		}
		if s, ok = strings.CutPrefix(trimSpaces(rest), "="); !ok {
			s = rest
			continue
		}
		if s, ok = cutExtensionValue(trimSpaces(s)); !ok {
			return false
		}
	}
	return true
}

// trimSpaces returns s without the spaces and tabs at its beginning.
func trimSpaces(s string) string { return strings.TrimLeft(s, " \t") }

// cutToken returns s without the token that it begins with. It returns false if there is none.
func cutToken(s string) (rest string, ok bool) {
	n := 0
	for n < len(s) && isTokenChar(s[n]) {
		n++
	}
	return s[n:], n > 0
}

// cutExtensionValue returns s without the token or the quoted string that it begins with. It returns false if there is
// neither.
func cutExtensionValue(s string) (rest string, ok bool) {
	if !strings.HasPrefix(s, `"`) {
		return cutToken(s)
	}
	for i := 1; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"':
			return s[i+1:], true
		case c < ' ' && c != '\t' || c == 0x7f:
			return s, false
		case c == '\\':
			i++
		}
	}
	return s, false
}
