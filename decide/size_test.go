package decide

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// The module is to be ported by hand: it stays short and narrow.
func TestModuleSize(t *testing.T) {
	const maxLines, maxWidth = 940, 110
	f, err := os.Open("decide.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, number := 0, 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		number++
		text := strings.ReplaceAll(sc.Text(), "\t", "    ")
		if strings.TrimSpace(text) != "" {
			lines++
		}
		if n := utf8.RuneCountInString(text); n > maxWidth {
			t.Errorf("decide.go:%d has %d characters, at most %d are allowed", number, n, maxWidth)
		}
	}
	if lines == 0 || lines > maxLines {
		t.Errorf("decide.go has %d lines that are not blank, at most %d are allowed", lines, maxLines)
	}
}
