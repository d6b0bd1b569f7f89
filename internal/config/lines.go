// Package config reads mintdoor's settings: a line-based format in the manner of classic daemons. A line
// is a directive and its values; '#' begins a comment; a value with spaces stands in double quotes.
// Lists of engines and scripts of days are written in the same form and are split by the same parser.
package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxFileSize bounds a file that is read, in bytes.
const MaxFileSize = 8 << 20

// Word is one value of a line. Quoted tells that it stood in quotes.
type Word struct {
	Text   string
	Quoted bool
	Column int
}

// Line is a line with at least one word.
type Line struct {
	File   string
	Number int
	Words  []Word
}

// Name returns the line's directive, its first word.
func (l *Line) Name() string { return l.Words[0].Text }

// Error is one thing wrong in a file: where, and what was found and expected.
type Error struct {
	File string
	Line int
	Text string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
}

// Errors are all things wrong, in the order of the file.
type Errors []*Error

func (e Errors) Error() string {
	texts := make([]string, len(e))
	for i, one := range e {
		texts[i] = one.Error()
	}
	return strings.Join(texts, "\n")
}

// Err returns nil when there are none.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Add notes one more at a line.
func (e *Errors) Add(l *Line, format string, args ...any) {
	*e = append(*e, &Error{File: l.File, Line: l.Number, Text: fmt.Sprintf(format, args...)})
}

// The grammar: a file is lines, a line is words up to its end. The rule Stray takes what no other does,
// so that a slip in one line never hides the errors of the next.
type fileNode struct {
	Lines []*lineNode `parser:"@@*"`
}

type lineNode struct {
	Pos   lexer.Position
	Words []*wordNode `parser:"( @@+ EOL? | EOL )"`
}

type wordNode struct {
	Pos    lexer.Position
	Quoted *string `parser:"  @Quoted"`
	Plain  *string `parser:"| @Word"`
	Stray  *string `parser:"| @Stray"`
}

var lineParser = participle.MustBuild[fileNode](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "Quoted", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Word", Pattern: `[^\s"#]+`},
		{Name: "EOL", Pattern: `\r?\n`},
		{Name: "Space", Pattern: `[ \t\r\f\v]+`},
		{Name: "Stray", Pattern: `.`},
	})),
	participle.Elide("Comment", "Space"),
)

// ParseLines splits a text into lines. All errors found come back at once, with the lines that are sound.
func ParseLines(file, text string) ([]Line, Errors) {
	var errs Errors
	tree, err := lineParser.ParseString(file, text)
	if err != nil {
		var at participle.Error
		e := &Error{File: file, Text: err.Error()}
		if errors.As(err, &at) {
			e.Line, e.Text = at.Position().Line, at.Message()
		}
		return nil, Errors{e}
	}
	var lines []Line
	for _, n := range tree.Lines {
		if len(n.Words) == 0 {
			continue
		}
		l := Line{File: file, Number: n.Words[0].Pos.Line}
		sound := true
		for _, w := range n.Words {
			switch {
			case w.Quoted != nil:
				s, err := strconv.Unquote(*w.Quoted)
				if err != nil {
					errs.Add(&l, "found %s, expected a value in quotes with \\\" \\\\ \\n or \\t as its escapes", *w.Quoted)
					sound = false
				}
				l.Words = append(l.Words, Word{Text: s, Quoted: true, Column: w.Pos.Column})
			case w.Plain != nil:
				l.Words = append(l.Words, Word{Text: *w.Plain, Column: w.Pos.Column})
			default:
				errs.Add(&l, "found %s, expected a closing quote before the end of the line", *w.Stray)
				sound = false
			}
		}
		if sound {
			lines = append(lines, l)
		}
	}
	return lines, errs
}

// ReadLines reads a file and the files that its include lines name, relative to the file that names them.
// Includes may be nested eight deep.
func ReadLines(path string) ([]Line, Errors) { return readLines(path, nil) }

func readLines(path string, within []string) ([]Line, Errors) {
	const deepest = 8
	text, err := readBounded(path)
	if err != nil {
		return nil, Errors{{File: path, Text: err.Error()}}
	}
	lines, errs := ParseLines(path, text)
	var out []Line
	for i := range lines {
		l := &lines[i]
		if l.Name() != "include" {
			out = append(out, *l)
			continue
		}
		if len(l.Words) != 2 {
			errs.Add(l, "include has %d values, expected the path of one file", len(l.Words)-1)
			continue
		}
		next := l.Words[1].Text
		if !filepath.IsAbs(next) {
			next = filepath.Join(filepath.Dir(path), next)
		}
		chain := append(within[:len(within):len(within)], path)
		if len(chain) >= deepest || contains(chain, next) {
			errs.Add(l, "include %s goes round in a circle or is nested more than %d deep", next, deepest)
			continue
		}
		more, wrong := readLines(next, chain)
		if len(wrong) == 1 && wrong[0].Line == 0 { // the file itself: say where it is named
			errs.Add(l, "include: %s", wrong[0].Text)
			continue
		}
		out, errs = append(out, more...), append(errs, wrong...)
	}
	return out, errs
}

func readBounded(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.IsDir() {
		return "", fmt.Errorf("%s is a folder, expected a file", path)
	}
	if info.Size() > MaxFileSize {
		return "", fmt.Errorf("%s has %d bytes, at most %d are read", path, info.Size(), MaxFileSize)
	}
	text, err := os.ReadFile(path)
	return string(text), err
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
