// Package eventually is for tests that wait for a condition, not for a time.
package eventually

import (
	"testing"
	"time"
)

// patience is what a condition may take on a machine that is busy with other things.
const patience = 30 * time.Second

// Is waits until cond holds; if it never does, the test fails with what was waited for and what state tells.
func Is(t testing.TB, what string, cond func() bool, state func() any) {
	t.Helper()
	for end := time.Now().Add(patience); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not seen: %s; %+v", what, state())
		}
	}
}
