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

// policyFiles returns the files that deploy/balancer.toml names under policy, from this folder.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy\s*=\s*\[([^\]]*)\]`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	var files []string
	for _, quoted := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(line[1], -1) {
		files = append(files, filepath.Join("..", string(quoted[1])))
	}
	return files
}

// The module is to be read and ported by hand: all policy files together stay short and narrow.
func TestModuleSize(t *testing.T) {
	const maxLines, maxWidth = 1090, 110
	lines := 0
	for _, name := range policyFiles(t) {
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		number := 0
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
	}
	if lines == 0 || lines > maxLines {
		t.Errorf("the policy files have %d lines that are not blank, at most %d are allowed", lines, maxLines)
	}
}
