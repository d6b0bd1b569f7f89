package config

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mintdoor/decide"
)

const validSettings = `
list engines.list     # where the engines are
listen 127.0.0.1:0
let-go-within 300ms
max-body 64KiB
class price-ask
    aim 1.2s
    deadline 6s
class pen-booking
    repeat unsafe
    worth 3
kind reader
    role prefill
    memory 280k
kind writer
    role decode
tenant "Saddar hall"
    rate 20/s
`

func TestParse(t *testing.T) {
	s, err := Parse("test.conf", validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.HoldTimeout != 300*time.Millisecond || s.MaxBody != 64<<10 || s.MaxAttempts != 6 {
		t.Errorf("wrong values or defaults: %+v", s)
	}
	if len(s.Classes) != 2 || s.Classes[0].FirstTokenTarget != 1200*1e6 || s.Classes[1].RetryPolicy != decide.Unsafe ||
		s.Classes[1].FirstTokenTarget != decide.Second {
		t.Errorf("classes: %+v", s.Classes)
	}
	if s.Kinds[0].Memory != 280e3 || s.Kinds[0].Role != decide.Reader || s.TenantIndex("Saddar hall") != 0 {
		t.Errorf("kinds and tenants: %+v %+v", s.Kinds, s.Tenants)
	}
	d := s.Decide(func(string) int { return 7 })
	if d.Zone != 7 || len(d.Classes) != 2 || d.MaxRetryAfter != decide.Second/2 || d.Tenants[0].RequestsPerSecond != 20 {
		t.Errorf("settings of the decision module: %+v", d)
	}
}

// All errors of a file are reported at once, each with its line, what was found and what was expected.
func TestAllErrorsAreReported(t *testing.T) {
	_, err := Parse("bad.conf", `listen nowhere
lisst x
aim 1s
max-open 0
routers 2
index 5
attempts 2 3
listen 127.0.0.1:1
default-class nobody
class a
    deadline 10ms
    repeat sometimes
class a
kind k
name "never closed
`)
	if err == nil {
		t.Fatal("the file was accepted")
	}
	for _, want := range []string{
		`bad.conf:1: listen: found "nowhere", expected an address`,
		`bad.conf:2: found "lisst", expected perhaps "list"`,
		`bad.conf:3: found "aim" in section router, expected it in section class`,
		`bad.conf:4: max-open: found "0", expected 1 to`,
		`bad.conf:6: index: found 5, expected less than routers, 2`,
		`bad.conf:7: attempts has 2 values, expected one`,
		`bad.conf:8: listen is given twice in router, first at bad.conf:1`,
		`bad.conf:9: default-class: found "nobody"`,
		`class a: its deadline 10ms is shorter than its aim 1s`,
		`bad.conf:12: repeat: found "sometimes", expected one of safe, keyed, unsafe`,
		`bad.conf:13: class a is given twice, first at bad.conf:10`,
		`bad.conf:14: kind k has no role`,
		`bad.conf:15: found ", expected a closing quote`,
		`list is missing`,
		`can't do both stages`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not among the errors", want)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

func TestRoleChangeSettingsAreChecked(t *testing.T) {
	head := "list x\nshift on\nclass a\n"
	pair := "kind p\nrole prefill\nbecomes d\ncapacity 10k\nkind d\nrole decode\nbecomes p\ncapacity 1k\n"
	if s, err := Parse("x", head+pair); err != nil || s.Kinds[0].Becomes != "d" || s.RoleChanges.Horizon != 45*time.Second || s.RoleChanges.MinEngines != [2]int{1, 1} {
		t.Errorf("%v", err)
	}
	for text, want := range map[string]string{
		head + "kind b\nrole both\n":                                "x:2: shift: no kind becomes another",
		head + strings.Replace(pair, "becomes p", "becomes q", 1):   `found "q", expected the name of a kind`,
		head + strings.Replace(pair, "becomes p\n", "", 1):          "kind d does not become p in turn",
		head + strings.Replace(pair, "role decode", "role both", 1): "one of prefill and one of decode",
		head + strings.Replace(pair, "capacity 1k", "", 1):          "kind d has no capacity",
		"shift-away 4m\n" + head + pair:                             "x:1: shift-away: found 4m0s, expected less than shift-horizon",
		"shift-least-decode 4\nshift-most-decode 3\n" + head + pair: "x:2: shift-most-decode: found 3, expected at least shift-least-decode, 4",
		"shift-look 9s\n" + head + pair:                             "x:1: shift-look: found 9s",
	} {
		if _, err := Parse("x", text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

func TestIncludes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("more/classes.conf", "class a\nclass b\nkind r\nrole prefill\nkind w\nrole decode\n")
	s, err := Load(write("main.conf", "list engines.list\ninclude more/classes.conf\n"))
	if err != nil || len(s.Classes) != 2 || s.ListFile != filepath.Join(dir, "engines.list") {
		t.Errorf("%v, %+v", err, s)
	}
	write("a.conf", "include b.conf\n")
	write("b.conf", "include a.conf\n")
	if _, err := Load(filepath.Join(dir, "a.conf")); err == nil || !strings.Contains(err.Error(), "b.conf:1: include") {
		t.Errorf("an include cycle: %v", err)
	}
	if _, err := Load(write("c.conf", "include none.conf\n")); err == nil || !strings.Contains(err.Error(), "c.conf:1: include") {
		t.Errorf("a missing file: %v", err)
	}
}

// The defaults as printed can be read back and give the same defaults.
func TestDefaultsAreReadable(t *testing.T) {
	var b bytes.Buffer
	if err := WriteDefaults(&b); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(b.String(), " ? ", " x ", 1)
	text = strings.Replace(text, " ? ", " both ", 1)
	s, err := Parse("defaults", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if s.DrainGrace != time.Second || s.Classes[0].MaxTokens != 500 {
		t.Errorf("%+v", s)
	}
}

func TestValues(t *testing.T) {
	for _, c := range []struct {
		text string
		ok   bool
		read func(string) error
	}{
		{"300ms", true, func(s string) error { _, err := ParseDuration(s); return err }},
		{"300", false, func(s string) error { _, err := ParseDuration(s); return err }},
		{"-1s", false, func(s string) error { _, err := ParseDuration(s); return err }},
		{"64KiB", true, func(s string) error { _, err := ParseSize(s); return err }},
		{"64kb", false, func(s string) error { _, err := ParseSize(s); return err }},
		{"", false, func(s string) error { _, err := ParseSize(s); return err }},
		{"1.5M", true, func(s string) error { _, err := ParseTokens(s); return err }},
		{"20/s", true, func(s string) error { _, err := ParseRate(s); return err }},
		{"20", false, func(s string) error { _, err := ParseRate(s); return err }},
		{"1e999", false, func(s string) error { _, err := ParseNumber(s); return err }},
		{":80", true, func(s string) error { _, err := ParseAddress(s); return err }},
		{"x:99999", false, func(s string) error { _, err := ParseAddress(s); return err }},
		{"-", true, func(s string) error { _, err := ParseTime(s); return err }},
		{"2026-03-01T05:00:00Z", true, func(s string) error { _, err := ParseTime(s); return err }},
		{"yesterday", false, func(s string) error { _, err := ParseTime(s); return err }},
	} {
		if err := c.read(c.text); (err == nil) != c.ok {
			t.Errorf("%q: %v", c.text, err)
		}
	}
}

func ExampleParse() {
	_, err := Parse("router.conf", "list engines.list\nclass ask\n    aim fast\nkind e\n    role both\n")
	fmt.Println(err)
	// Output: router.conf:3: aim: found "fast", expected a time with its unit, such as 300ms or 1.5s
}

func FuzzParseLines(f *testing.F) {
	f.Add(validSettings)
	f.Add("a \"b\\\n#c\r\n\t\"")
	f.Fuzz(func(t *testing.T, text string) {
		lines, _ := ParseLines("f", text)
		for _, l := range lines {
			if len(l.Words) == 0 || l.Number < 1 {
				t.Fatalf("%q was parsed into an empty line", text)
			}
		}
	})
}
