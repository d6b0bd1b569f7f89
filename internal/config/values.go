package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"
)

// The functions below parse single values. Each error tells what was found and what was expected.

func errExpected(found, what string) error { return fmt.Errorf("found %q, expected %s", found, what) }

// ParseDuration parses a duration with its unit, such as 300ms or 1.5s. Negative durations are errors.
func ParseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, errExpected(s, "a time with its unit, such as 300ms or 1.5s")
	}
	return d, nil
}

// parseScaled parses a number that is followed by one of the suffixes in factors; the suffix "" is for a plain
// number.
func parseScaled(s string, factors map[string]float64) (float64, bool) {
	number := strings.TrimRightFunc(s, func(r rune) bool { return r < '0' || r > '9' })
	factor, ok := factors[s[len(number):]]
	f, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || f < 0 || math.IsInf(f, 0) || math.IsNaN(f) {
		return 0, false
	}
	return f * factor, true
}

// ParseSize parses a number of bytes: 512, 64KiB, 1MiB, 2GiB.
func ParseSize(s string) (int64, error) {
	f, ok := parseScaled(s, map[string]float64{"": 1, "B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30})
	if !ok || f > math.MaxInt64/2 {
		return 0, errExpected(s, "a size, such as 512, 64KiB or 1MiB")
	}
	return int64(f), nil
}

// ParseTokens parses a number of tokens: 800, 280k, 1.5M.
func ParseTokens(s string) (float64, error) {
	f, ok := parseScaled(s, map[string]float64{"": 1, "k": 1e3, "M": 1e6})
	if !ok {
		return 0, errExpected(s, "a count of tokens, such as 800, 280k or 1.5M")
	}
	return f, nil
}

// ParseNumber parses a number that is not negative.
func ParseNumber(s string) (float64, error) {
	f, ok := parseScaled(s, map[string]float64{"": 1})
	if !ok {
		return 0, errExpected(s, "a number that is not negative")
	}
	return f, nil
}

// ParseCount parses a whole number that is not negative.
func ParseCount(s string) (int, error) {
	n, err := strconv.ParseUint(s, 10, 31)
	if err != nil {
		return 0, errExpected(s, "a whole number that is not negative")
	}
	return int(n), nil
}

// ParseRate parses a rate per second: 20/s, 0.5/s.
func ParseRate(s string) (float64, error) {
	f, ok := parseScaled(s, map[string]float64{"/s": 1})
	if !ok {
		return 0, errExpected(s, "a rate, such as 20/s")
	}
	return f, nil
}

// ParseSwitch parses on or off.
func ParseSwitch(s string) (bool, error) {
	switch s {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, errExpected(s, "on or off")
}

// ParseAddress parses host:port.
func ParseAddress(s string) (string, error) {
	host, port, err := net.SplitHostPort(s)
	if n, e := strconv.ParseUint(port, 10, 16); err != nil || e != nil || host == "" && n == 0 {
		return "", errExpected(s, "an address with its port, such as 127.0.0.1:8080")
	}
	return s, nil
}

// ParseChoice parses one of the given words.
func ParseChoice(s string, of ...string) (string, error) {
	if contains(of, s) {
		return s, nil
	}
	return "", errExpected(s, "one of "+strings.Join(of, ", "))
}

// ParseTime parses a wall-clock time (RFC 3339). A "-" stands for a time long ago and gives the zero time.
func ParseTime(s string) (time.Time, error) {
	if s == "-" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return t, errExpected(s, "a time such as 2026-03-01T05:00:00Z, or - for a time long ago")
	}
	return t, nil
}

// nearest returns the known word with the smallest edit distance to s, or "" if no word is within a distance of 2.
func nearest(s string, known []string) string {
	best, at := "", 3
	for _, k := range known {
		if d := distance(s, k); d < at {
			best, at = k, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of two short words.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			next := diagonal
			if a[i-1] != b[j-1] {
				next = min(diagonal, row[j], row[j-1]) + 1
			}
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
