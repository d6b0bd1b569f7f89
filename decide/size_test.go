package decide

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// policyFiles returns the files that deploy/balancer.toml lists under policy, as paths from this folder.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy\s*=\s*\[([^\]]*)\]`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml lists no policy files")
	}
	var files []string
	for _, quoted := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(line[1], -1) {
		files = append(files, filepath.Join("..", string(quoted[1])))
	}
	return files
}

// The module is meant to be read and ported by hand: its files are neither long nor wide, and the deploy file lists
// every file that makes decisions.
func TestModuleSize(t *testing.T) {
	const maxLines, maxWidth = 200, 110
	files := policyFiles(t)
	listed := map[string]bool{}
	for _, name := range files {
		listed[filepath.Base(name)] = true
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		lines, number := 0, 0
		for sc := bufio.NewScanner(f); sc.Scan(); {
			number++
			text := strings.ReplaceAll(sc.Text(), "\t", "    ")
			if strings.TrimSpace(text) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(text); n > maxWidth {
				t.Errorf("%s:%d has %d characters, at most %d are allowed", name, number, n, maxWidth)
			}
		}
		f.Close()
		if lines == 0 || lines > maxLines {
			t.Errorf("%s has %d lines that are not blank, at most %d are allowed", name, lines, maxLines)
		}
	}
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	noDecisions := map[string]bool{"api.go": true, "views.go": true}
	for _, name := range all {
		if !strings.HasSuffix(name, "_test.go") && !noDecisions[name] && !listed[name] {
			t.Errorf("%s is not listed under policy in the deploy file", name)
		}
	}
}
