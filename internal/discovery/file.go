package discovery

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"mintdoor/decide"
	"mintdoor/internal/config"
)

// File is a source that reads the list from a file and reads it again whenever the file changes. If the file can't be
// read or has an error, the previous list stays valid.
//
// Each line is
//
//	engine NAME ADDRESS kind KIND [cell CELL] [zone ZONE] [state ready|draining] [weight N] [since TIME]
//
// An engine that was removed has no line. A list without any engine is accepted only if it has the line 'empty', so
// that a truncated file does not remove all engines.
type File struct {
	Path     string
	Interval time.Duration // time between two checks of the file
	Kinds    []string      // known engine kinds; nil: any kind is accepted
}

// Run implements Source: it reads the file at the start and after each change, until ctx ends.
func (f *File) Run(ctx context.Context, notify func(Update)) error {
	tick := time.NewTicker(f.Interval)
	defer tick.Stop()
	var last string
	var reported string
	for first := true; ; first = false {
		text, err := os.ReadFile(f.Path)
		if err == nil && (first || string(text) != last) {
			last = string(text)
			var list []Engine
			if list, err = ParseList(f.Path, last, f.Kinds); err == nil {
				reported = ""
				notify(Update{Engines: list, At: time.Now()})
			}
		}
		if err != nil && err.Error() != reported { // report an error once, not at each check
			reported = err.Error()
			notify(Update{Err: fmt.Errorf("list of engines: %w", err), At: time.Now()})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// ParseList parses the text of a list. The error names all faulty lines; file is the name that it uses.
func ParseList(file, text string, kinds []string) ([]Engine, error) {
	lines, errs := config.ParseLines(file, text)
	var list []Engine
	empty := false
	for i := range lines {
		l := &lines[i]
		if l.Name() == "empty" && len(l.Words) == 1 {
			empty = true
			continue
		}
		if l.Name() != "engine" {
			errs.Add(l, "found %q, expected 'engine NAME ADDRESS kind KIND ...' or 'empty'", l.Name())
			continue
		}
		if e, ok := parseEngine(l, kinds, &errs); ok {
			list = append(list, e)
		}
	}
	if len(list) == 0 && !empty && len(errs) == 0 {
		return nil, errors.New(file + ": no engine is listed; a list that is meant to be empty says 'empty'")
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	if err := SortAndCheck(list); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return list, nil
}

// parseEngine parses a line that describes an engine. It adds errors to errs and reports whether the line has none.
func parseEngine(l *config.Line, kinds []string, errs *config.Errors) (Engine, bool) {
	e := Engine{State: decide.Ready, Weight: 1}
	if len(l.Words) < 3 {
		errs.Add(l, "engine has %d values, expected its name and address first", len(l.Words)-1)
		return e, false
	}
	before := len(*errs)
	note := func(what string, err error) {
		if err != nil {
			errs.Add(l, "%s: %v", what, err)
		}
	}
	var err error
	e.Name = l.Words[1].Text
	e.Addr, err = config.ParseAddress(l.Words[2].Text)
	note("address", err)
	rest := l.Words[3:]
	if len(rest)%2 != 0 {
		errs.Add(l, "found %q without a value", rest[len(rest)-1].Text)
		return e, false
	}
	for i := 0; i < len(rest); i += 2 {
		key, v := rest[i].Text, rest[i+1].Text
		switch key {
		case "kind":
			e.Kind = v
		case "cell":
			e.Cell = v
		case "zone":
			e.Zone = v
		case "state":
			_, err = config.ParseChoice(v, "ready", "draining")
			note(key, err)
			if v == "draining" {
				e.State = decide.Draining
			}
		case "weight":
			e.Weight, err = config.ParseNumber(v)
			note(key, err)
		case "since":
			e.StartedAt, err = config.ParseTime(v)
			note(key, err)
		default:
			errs.Add(l, "found %q, expected kind, cell, zone, state, weight or since", key)
		}
	}
	if e.Kind == "" {
		errs.Add(l, "engine %s has no kind", e.Name)
	} else if kinds != nil {
		_, err = config.ParseChoice(e.Kind, kinds...)
		note("kind", err)
	}
	return e, len(*errs) == before
}

// FormatList returns a list as text that ParseList accepts.
func FormatList(list []Engine) string {
	if len(list) == 0 {
		return "empty\n"
	}
	var b strings.Builder
	for _, e := range list {
		fmt.Fprintf(&b, "engine %q %s kind %q", e.Name, e.Addr, e.Kind)
		if e.Cell != "" {
			fmt.Fprintf(&b, " cell %q", e.Cell)
		}
		if e.Zone != "" {
			fmt.Fprintf(&b, " zone %q", e.Zone)
		}
		if e.State == decide.Draining {
			b.WriteString(" state draining")
		}
		if e.Weight != 1 {
			fmt.Fprintf(&b, " weight %v", e.Weight)
		}
		if !e.StartedAt.IsZero() {
			fmt.Fprintf(&b, " since %s", e.StartedAt.UTC().Format(time.RFC3339Nano))
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// WriteList replaces a list file atomically, so that no reader sees a part of it.
func WriteList(path string, list []Engine) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), ".list-*")
	if err != nil {
		return fmt.Errorf("write list: %w", err)
	}
	_, err = tmp.WriteString(FormatList(list))
	if e := tmp.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		os.Remove(tmp.Name())
		return fmt.Errorf("write list: %w", err)
	}
	return nil
}
