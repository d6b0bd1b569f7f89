// Package eventually lets tests wait for a condition instead of for a fixed time.
package eventually

import (
	"testing"
	"time"
)

// timeout is how long a condition may take, on a machine that is busy with other work.
const timeout = 30 * time.Second

// Is waits until cond holds. If it does not within the timeout, the test fails with a description of the condition
// and the result of state.
func Is(t testing.TB, what string, cond func() bool, state func() any) {
	t.Helper()
	for end := time.Now().Add(timeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met: %s; state %+v", what, state())
		}
	}
}
