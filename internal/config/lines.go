// Package config reads mintdoor's settings, which have a simple line format. A line is a directive followed by its
// values; '#' begins a comment; a value with spaces is enclosed in double quotes. Lists of engines and scenario
// scripts have the same format, and their packages use the parser of this package; it knows nothing of their
// directives.
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

// MaxFileSize is the maximum size in bytes of a file that is read.
const MaxFileSize = 8 << 20

// Word is one word of a line. Quoted is set if it was enclosed in quotes.
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

// Name returns the name of the line's directive, which is its first word.
func (l *Line) Name() string { return l.Words[0].Text }

// Error is one error in a file: its place, and a text that says what was found and what was expected.
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

// Errors is a list of errors in the order of the file.
type Errors []*Error

func (e Errors) Error() string {
	texts := make([]string, len(e))
	for i, one := range e {
		texts[i] = one.Error()
	}
	return strings.Join(texts, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Add appends an error at a line.
func (e *Errors) Add(l *Line, format string, args ...any) {
	*e = append(*e, &Error{File: l.File, Line: l.Number, Text: fmt.Sprintf(format, args...)})
}

// These types are the grammar: a file consists of lines, and a line of words. The rule Stray matches anything that no
// other rule matches, so that an error in one line never hides the errors of later lines.
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

// ParseLines splits a text into lines. It returns all errors at once, together with the lines that have none.
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
		valid := true
		for _, w := range n.Words {
			switch {
			case w.Quoted != nil:
				s, err := strconv.Unquote(*w.Quoted)
				if err != nil {
					errs.Add(&l, "found %s, expected a quoted value with \\\" \\\\ \\n or \\t as its escapes", *w.Quoted)
					valid = false
				}
				l.Words = append(l.Words, Word{Text: s, Quoted: true, Column: w.Pos.Column})
			case w.Plain != nil:
				l.Words = append(l.Words, Word{Text: *w.Plain, Column: w.Pos.Column})
			default:
				errs.Add(&l, "found %s, expected a closing quote before the end of the line", *w.Stray)
				valid = false
			}
		}
		if valid {
			lines = append(lines, l)
		}
	}
	return lines, errs
}

// ReadLines reads a file and the files that its include lines name, relative to the including file. Includes may be
// nested eight levels deep.
func ReadLines(path string) ([]Line, Errors) { return readLines(path, nil) }

func readLines(path string, includedFrom []string) ([]Line, Errors) {
	const maxDepth = 8
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
		chain := append(includedFrom[:len(includedFrom):len(includedFrom)], path)
		if len(chain) >= maxDepth || contains(chain, next) {
			errs.Add(l, "include %s forms a cycle or is nested more than %d levels deep", next, maxDepth)
			continue
		}
		more, wrong := readLines(next, chain)
		if len(wrong) == 1 && wrong[0].Line == 0 { // an error of the file itself: report the line that includes it
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
		return "", fmt.Errorf("%s is a directory, expected a file", path)
	}
	if info.Size() > MaxFileSize {
		return "", fmt.Errorf("%s has %d bytes, at most %d are allowed", path, info.Size(), MaxFileSize)
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
