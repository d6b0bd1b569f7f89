package http1

import (
	"bufio"
	"io"
	"strings"
	"testing"
)

// mutations calls check with text after each change of a single byte: one that is lost, one too many, another one.
func mutations(text string, check func(changed string)) {
	const bytes = "\x00\t\n\r \"-01:;=AFx{}"
	for i := range len(text) {
		check(text[:i] + text[i+1:])
		check(text[:i]) // the rest is lost
		for _, b := range bytes {
			check(text[:i] + string(b) + text[i:])
			check(text[:i] + string(b) + text[i+1:])
		}
	}
}

// A body of which a byte was changed is either rejected or as long as before: a changed byte of the data is not seen here, but
// none of the framing makes another body.
func TestChangedByteMakesNoOtherBody(t *testing.T) {
	accepted := 0
	for _, body := range []string{
		"9\r\n{\"a\":[1]}\r\n0\r\n\r\n",
		"4\r\n{\"a\"\r\n005;x=\"y;z\"\r\n:[1]}\r\n0\r\nA: b\r\n\r\n",
		"6\r\na: bcd\r\n3\r\ne:f\r\n00\r\n\r\n",
	} {
		want, err := io.ReadAll(NewChunkedReader(bufio.NewReader(strings.NewReader(body)), 100))
		if err != nil {
			t.Fatal(err)
		}
		mutations(body, func(changed string) {
			got, err := io.ReadAll(NewChunkedReader(bufio.NewReader(strings.NewReader(changed)), 100))
			if err != nil {
				return
			}
			accepted++
			if len(got) != len(want) {
				t.Errorf("%q is read as %q", changed, got)
			}
		})
	}
	if accepted == 0 {
		t.Error("nothing was accepted, so nothing was tested")
	}
}
