// Package trace stores recorded traffic: the arrival time and class of each request, and the lengths of its prompt
// and its answer. It contains no texts and no names of clients. A trace consists of lines of words, compressed with
// zstd:
//
//	mintdoor-trace 1
//	class rate-check
//	class rule-explain
//	12.5 0 1840 1600 rates-may 80
//	3 1 420 0 - 160+
//	0 0 1840 1600 rates-may ?
//
// A line of traffic consists of the milliseconds since the previous line, the index of the class, the tokens of the
// prompt, how many of them belong to a shared prefix, the name of the prefix (or -), and the tokens of the answer:
// followed by + if it was cut off there, or ? if there was no answer.
package trace

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Entry is one request.
type Entry struct {
	At           time.Duration // since the start of the trace; does not decrease from entry to entry
	Class        int           // index of the trace's classes
	PromptTokens int
	PrefixTokens int    // tokens of the prompt that belong to the shared prefix
	PrefixID     string // name of the shared prefix; "" if there is none
	OutputTokens int    // 0 while unknown
	Truncated    bool   // the answer was cut off after OutputTokens
}

// Trace is traffic in memory.
type Trace struct {
	Classes []string
	Entries []Entry
}

// Length returns the arrival time of the last entry.
func (t *Trace) Length() time.Duration {
	if len(t.Entries) == 0 {
		return 0
	}
	return t.Entries[len(t.Entries)-1].At
}

// Limits of the format.
const (
	maxClasses = 256
	maxTokens  = 10_000_000
	maxName    = 64
	maxLine    = 256
	magic      = "mintdoor-trace 1"
)

// ErrTruncated is wrapped by errors about traces that end in the middle, for example because their recorder was
// killed. The entries before the end are valid.
var ErrTruncated = errors.New("the trace is truncated")

// Writer writes a trace. It is not safe for concurrent use.
type Writer struct {
	z       *zstd.Encoder
	classes int
	last    time.Duration // time of the last entry, as rounded in the output
	line    []byte
}

// NewWriter begins a trace with the named classes.
func NewWriter(w io.Writer, classes []string) (*Writer, error) {
	if len(classes) == 0 || len(classes) > maxClasses {
		return nil, fmt.Errorf("trace: %d classes, expected 1 to %d", len(classes), maxClasses)
	}
	z, err := zstd.NewWriter(w, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	t := &Writer{z: z, classes: len(classes)}
	t.line = append(append(t.line, magic...), '\n')
	for _, c := range classes {
		if err := checkName(c); err != nil {
			z.Close()
			return nil, fmt.Errorf("trace: class: %w", err)
		}
		t.line = append(append(append(t.line, "class "...), c...), '\n')
	}
	_, err = z.Write(t.line)
	return t, err
}

// checkName checks that s can be written as one word of a line.
func checkName(s string) error {
	if s == "" || s == "-" || len(s) > maxName || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '\ufffd' }) {
		return fmt.Errorf("%q is not a valid name, expected 1 to %d bytes without white space", s, maxName)
	}
	return nil
}

// timeStep is the resolution of the times in a trace.
const timeStep = 100 * time.Microsecond

// Write adds an entry. Entries have to be in order of time; an earlier time is replaced by that of the previous
// entry.
func (t *Writer) Write(e *Entry) error {
	if e.Class < 0 || e.Class >= t.classes {
		return fmt.Errorf("trace: entry has class %d, but the trace has %d classes", e.Class, t.classes)
	}
	at := max(e.At.Round(timeStep), t.last)
	b := strconv.AppendFloat(t.line[:0], float64(at-t.last)/1e6, 'f', -1, 64)
	b = strconv.AppendInt(append(b, ' '), int64(e.Class), 10)
	b = strconv.AppendInt(append(b, ' '), int64(e.PromptTokens), 10)
	b = strconv.AppendInt(append(b, ' '), int64(e.PrefixTokens), 10)
	b = append(b, ' ')
	if checkName(e.PrefixID) == nil {
		b = append(b, e.PrefixID...)
	} else {
		b = append(b, '-')
	}
	b = append(b, ' ')
	if e.OutputTokens <= 0 {
		b = append(b, '?')
	} else {
		b = strconv.AppendInt(b, int64(e.OutputTokens), 10)
		if e.Truncated {
			b = append(b, '+')
		}
	}
	t.line = append(b, '\n')
	t.last = at
	_, err := t.z.Write(t.line)
	return err
}

// Flush writes out all entries so far, so that a kill does not lose them.
func (t *Writer) Flush() error { return t.z.Flush() }

// Close ends the trace.
func (t *Writer) Close() error { return t.z.Close() }

// Reader reads a trace.
type Reader struct {
	Classes []string

	z       *zstd.Decoder
	lines   *bufio.Scanner
	pending string // the first line of traffic
	number  int
	at      time.Duration
}

// NewReader reads the header of a trace.
func NewReader(r io.Reader) (*Reader, error) {
	const window = 64 << 20 // bytes; a trace from another source can ask for a larger window
	z, err := zstd.NewReader(r, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxWindow(window))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	t := &Reader{z: z, lines: bufio.NewScanner(z)}
	t.lines.Buffer(make([]byte, 0, 4096), maxLine)
	line, err := t.next()
	if err == nil && line != magic {
		err = t.formatError("found %q, expected %q", line, magic)
	}
	for err == nil {
		line, err = t.next()
		if errors.Is(err, io.EOF) {
			err = nil
			break
		}
		class, ok := strings.CutPrefix(line, "class ")
		if !ok {
			t.pending = line
			break
		}
		if wrong := checkName(class); wrong != nil || len(t.Classes) == maxClasses {
			err = t.formatError("found class %q, expected a name, and at most %d classes", class, maxClasses)
		}
		t.Classes = append(t.Classes, class)
	}
	if err == nil && len(t.Classes) == 0 {
		err = t.formatError("no class line found, expected 'class NAME'")
	}
	if err != nil {
		z.Close()
		if errors.Is(err, io.EOF) {
			err = fmt.Errorf("trace: %w within its header", ErrTruncated)
		}
		return nil, err
	}
	return t, nil
}

func (t *Reader) formatError(format string, args ...any) error {
	return fmt.Errorf("trace: line %d: %s", t.number, fmt.Sprintf(format, args...))
}

func (t *Reader) next() (string, error) {
	if t.lines.Scan() {
		t.number++
		return t.lines.Text(), nil
	}
	switch err := t.lines.Err(); {
	case err == nil:
		return "", io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "", fmt.Errorf("%w after line %d", ErrTruncated, t.number)
	default:
		return "", fmt.Errorf("trace: after line %d: %w", t.number, err)
	}
}

// Next returns the next entry, or io.EOF.
func (t *Reader) Next() (Entry, error) {
	line := t.pending
	t.pending = ""
	if line == "" {
		var err error
		if line, err = t.next(); err != nil {
			return Entry{}, err
		}
	}
	f := strings.Fields(line)
	if len(f) != 6 {
		return Entry{}, t.formatError("found %d words, expected time, class, prompt, shared prefix tokens, prefix name and answer", len(f))
	}
	ms, err := strconv.ParseFloat(f[0], 64)
	if err != nil || math.IsNaN(ms) || ms < 0 || ms > 1e12 {
		return Entry{}, t.formatError("found %q, expected milliseconds since the previous line", f[0])
	}
	var e Entry
	t.at += time.Duration(math.Round(ms * 1e6))
	e.At = t.at
	answer, cut := strings.CutSuffix(f[5], "+")
	if answer == "?" {
		answer = "0"
	}
	e.Truncated = cut
	for _, v := range []struct {
		word string
		max  int
		to   *int
	}{{f[1], len(t.Classes) - 1, &e.Class}, {f[2], maxTokens, &e.PromptTokens}, {f[3], maxTokens, &e.PrefixTokens}, {answer, maxTokens, &e.OutputTokens}} {
		n, err := strconv.Atoi(v.word)
		if err != nil || n < 0 || n > v.max {
			return Entry{}, t.formatError("found %q, expected a number from 0 to %d", v.word, v.max)
		}
		*v.to = n
	}
	if e.PrefixTokens > e.PromptTokens {
		return Entry{}, t.formatError("%d shared prefix tokens in a prompt of %d tokens", e.PrefixTokens, e.PromptTokens)
	}
	if f[4] != "-" {
		if checkName(f[4]) != nil {
			return Entry{}, t.formatError("found %q, expected the name of a prefix or -", f[4])
		}
		e.PrefixID = f[4]
	}
	return e, nil
}

// Close releases the resources of the reader.
func (t *Reader) Close() { t.z.Close() }

// ReadAll reads a trace of at most limit entries. With ErrTruncated it also returns the entries read.
func ReadAll(r io.Reader, limit int) (*Trace, error) {
	rd, err := NewReader(r)
	if err != nil {
		return nil, err
	}
	defer rd.Close()
	t := &Trace{Classes: rd.Classes}
	for {
		e, err := rd.Next()
		switch {
		case errors.Is(err, io.EOF):
			return t, nil
		case errors.Is(err, ErrTruncated):
			return t, err
		case err != nil:
			return nil, err
		case len(t.Entries) == limit:
			return nil, fmt.Errorf("trace: more than %d requests", limit)
		}
		t.Entries = append(t.Entries, e)
	}
}

// MaxEntries is the number of requests that Load accepts. Each takes about 100 bytes of memory.
const MaxEntries = 20_000_000

// Load reads a trace from a file. With ErrTruncated it also returns the entries read.
func Load(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t, err := ReadAll(f, MaxEntries)
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return t, err
}

// Save writes a trace to a file, atomically.
func Save(path string, t *Trace) error {
	f, err := os.CreateTemp(dirOf(path), ".trace-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	buf := bufio.NewWriter(f)
	w, err := NewWriter(buf, t.Classes)
	for i := 0; err == nil && i < len(t.Entries); i++ {
		err = w.Write(&t.Entries[i])
	}
	if w != nil {
		err = errors.Join(err, w.Close())
	}
	err = errors.Join(err, buf.Flush(), f.Chmod(0o644), f.Sync(), f.Close())
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

func dirOf(path string) string {
	if i := strings.LastIndexByte(path, '/'); i >= 0 {
		return path[:i+1]
	}
	return "."
}
