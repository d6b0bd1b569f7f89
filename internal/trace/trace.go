// Package trace keeps recorded traffic: when each request came, its class, and how long its prompt and its
// answer were; no texts, no names. A trace is lines of words, compressed:
//
//	mintdoor-trace 1
//	class rate-check
//	class rule-explain
//	12.5 0 1840 1600 rates-may 80
//	3 1 420 0 - 160+
//	0 0 1840 1600 rates-may ?
//
// A line of traffic has the milliseconds since the line before, the class by its place, the prompt's
// tokens, how many of them are a shared text's, the text's name (or -), and the answer's tokens: with + when
// it was cut off there, ? when none was given.
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
	At           time.Duration // since the trace began; does not fall from entry to entry
	Class        int           // index of the trace's classes
	PromptTokens int           // tokens
	PrefixTokens int           // of them, the shared text's
	PrefixID     string        // name of the shared text; "" none
	OutputTokens int           // tokens; 0 while not known
	Truncated    bool          // the answer was cut off after Answer tokens
}

// Trace is traffic in memory.
type Trace struct {
	Classes []string
	Entries []Entry
}

// Length is the time of the last entry.
func (t *Trace) Length() time.Duration {
	if len(t.Entries) == 0 {
		return 0
	}
	return t.Entries[len(t.Entries)-1].At
}

// Bounds of what is read.
const (
	maxClasses = 256
	maxTokens  = 10_000_000
	maxName    = 64
	maxLine    = 256
	magic      = "mintdoor-trace 1"
)

// ErrTruncated is wrapped by errors of traces that end in the middle, as when their recorder was killed. What
// was read until there is good.
var ErrTruncated = errors.New("the trace is cut off")

// Writer writes a trace. It is not safe for concurrent use.
type Writer struct {
	z       *zstd.Encoder
	classes int
	last    time.Duration // rounded as it was written
	line    []byte
}

// NewWriter begins a trace of the named classes.
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
		if err := name(c); err != nil {
			z.Close()
			return nil, fmt.Errorf("trace: class: %w", err)
		}
		t.line = append(append(append(t.line, "class "...), c...), '\n')
	}
	_, err = z.Write(t.line)
	return t, err
}

// name checks that a word can stand in a line.
func name(s string) error {
	if s == "" || s == "-" || len(s) > maxName || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '\ufffd' }) {
		return fmt.Errorf("%q is no name, expected 1 to %d bytes without blanks", s, maxName)
	}
	return nil
}

// Times are kept in steps of so much.
const grain = 100 * time.Microsecond

// Write adds an entry. Entries come in order of time; one that is earlier than the last counts as of its
// time.
func (t *Writer) Write(e *Entry) error {
	if e.Class < 0 || e.Class >= t.classes {
		return fmt.Errorf("trace: class %d of %d", e.Class, t.classes)
	}
	at := max(e.At.Round(grain), t.last)
	b := strconv.AppendFloat(t.line[:0], float64(at-t.last)/1e6, 'f', -1, 64)
	b = strconv.AppendInt(append(b, ' '), int64(e.Class), 10)
	b = strconv.AppendInt(append(b, ' '), int64(e.PromptTokens), 10)
	b = strconv.AppendInt(append(b, ' '), int64(e.PrefixTokens), 10)
	b = append(b, ' ')
	if name(e.PrefixID) == nil {
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

// Flush brings what was written so far out, so that a kill loses nothing of it.
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

// NewReader reads a trace's head.
func NewReader(r io.Reader) (*Reader, error) {
	const window = 64 << 20 // of memory; a trace from elsewhere may ask for more
	z, err := zstd.NewReader(r, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxWindow(window))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	t := &Reader{z: z, lines: bufio.NewScanner(z)}
	t.lines.Buffer(make([]byte, 0, 4096), maxLine)
	line, err := t.next()
	if err == nil && line != magic {
		err = t.wrong("found %q, expected %q", line, magic)
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
		if wrong := name(class); wrong != nil || len(t.Classes) == maxClasses {
			err = t.wrong("found class %q, expected a name, and at most %d of them", class, maxClasses)
		}
		t.Classes = append(t.Classes, class)
	}
	if err == nil && len(t.Classes) == 0 {
		err = t.wrong("no class is named, expected 'class NAME'")
	}
	if err != nil {
		z.Close()
		if errors.Is(err, io.EOF) {
			err = fmt.Errorf("trace: %w before its head", ErrTruncated)
		}
		return nil, err
	}
	return t, nil
}

func (t *Reader) wrong(format string, args ...any) error {
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
		return Entry{}, t.wrong("found %d words, expected time, class, prompt, shared, text and answer", len(f))
	}
	ms, err := strconv.ParseFloat(f[0], 64)
	if err != nil || math.IsNaN(ms) || ms < 0 || ms > 1e12 {
		return Entry{}, t.wrong("found %q, expected milliseconds since the line before", f[0])
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
		most int
		to   *int
	}{{f[1], len(t.Classes) - 1, &e.Class}, {f[2], maxTokens, &e.PromptTokens}, {f[3], maxTokens, &e.PrefixTokens}, {answer, maxTokens, &e.OutputTokens}} {
		n, err := strconv.Atoi(v.word)
		if err != nil || n < 0 || n > v.most {
			return Entry{}, t.wrong("found %q, expected a number from 0 to %d", v.word, v.most)
		}
		*v.to = n
	}
	if e.PrefixTokens > e.PromptTokens {
		return Entry{}, t.wrong("%d tokens of a prompt of %d are shared", e.PrefixTokens, e.PromptTokens)
	}
	if f[4] != "-" {
		if name(f[4]) != nil {
			return Entry{}, t.wrong("found %q, expected a text's name or -", f[4])
		}
		e.PrefixID = f[4]
	}
	return e, nil
}

// Close gives back what the reader holds.
func (t *Reader) Close() { t.z.Close() }

// ReadAll reads a trace of at most so many entries. With ErrCutOff what was read is returned too.
func ReadAll(r io.Reader, most int) (*Trace, error) {
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
		case len(t.Entries) == most:
			return nil, fmt.Errorf("trace: more than %d requests", most)
		}
		t.Entries = append(t.Entries, e)
	}
}

// MaxEntries is how many requests Load takes: some 100 bytes of memory each.
const MaxEntries = 20_000_000

// Load reads a trace's file. With ErrCutOff what was read is returned too.
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

// Save writes a trace's file: whole, or not at all.
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
