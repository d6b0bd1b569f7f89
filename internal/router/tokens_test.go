package router

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// addAll adds tokens and returns how many found room.
func addAll(t *testing.T, b *tokenBuffer, n, size int) (added int) {
	t.Helper()
	for range n {
		ok, err := b.tryAdd(strings.Repeat("x", size))
		if err != nil {
			t.Fatal(err)
		}
		if ok {
			added++
		}
	}
	return added
}

// The tokens that wait take no more memory than allowed, but for one token of each request, whoever reads slowly.
func TestWaitingTokensStayWithinMemory(t *testing.T) {
	memory := &tokenMemory{limit: 100}
	first, second := newTokenBuffer(50, memory), newTokenBuffer(50, memory)
	if n := addAll(t, first, 20, 10); n != 10 {
		t.Errorf("%d tokens of 10 bytes wait, want 10", n)
	}
	if n := addAll(t, second, 2, 30); n != 1 {
		t.Errorf("%d tokens of the second request wait, want 1", n)
	}
	second.take() // it is being written
	if n := addAll(t, second, 1, 30); n != 0 {
		t.Error("a token waits beside the one that is being written")
	}
	second.take() // it has been written
	if n := addAll(t, second, 1, 30); n != 1 {
		t.Error("a stream depends on another client")
	}
	first.close()
	second.close()
	if used := memory.used.Load(); used != 0 {
		t.Errorf("%d bytes are still counted", used)
	}
	if _, err := first.tryAdd("x"); err != errNotWanted {
		t.Errorf("a token is added to a closed buffer: %v", err)
	}
}

func TestTokensWithoutMemoryLimit(t *testing.T) {
	b := newTokenBuffer(3, &tokenMemory{})
	if n := addAll(t, b, 5, 1000); n != 3 {
		t.Errorf("%d tokens wait, want 3", n)
	}
}

// A token that waits for room is added when the front has read, and given up when the client takes none for too long.
func TestWaitForRoom(t *testing.T) {
	cause := errors.New("cause")
	ended, cancel := context.WithCancelCause(t.Context())
	cancel(cause)
	b := newTokenBuffer(1, &tokenMemory{limit: 1})
	addAll(t, b, 1, 5)
	if err := b.add(t.Context(), "y", time.Millisecond); err != errStalled {
		t.Errorf("got %v", err)
	}
	if err := b.add(ended, "y", time.Hour); err != cause {
		t.Errorf("got %v", err)
	}
	done := make(chan error)
	go func() { done <- b.add(t.Context(), "y", time.Hour) }()
	b.take()
	b.take()
	if err := <-done; err != nil {
		t.Errorf("got %v", err)
	}
	go func() { done <- b.add(t.Context(), "z", time.Hour) }()
	b.close()
	if err := <-done; err != errNotWanted {
		t.Errorf("got %v", err)
	}
}

// Many streams share the memory: each client gets its tokens in order, and nothing stays counted.
func TestStreamsShareTokenMemory(t *testing.T) {
	const streams, tokens = 20, 200
	memory := &tokenMemory{limit: 500}
	var work sync.WaitGroup
	for range streams {
		b := newTokenBuffer(8, memory)
		work.Go(func() {
			for i := range tokens {
				if err := b.add(t.Context(), fmt.Sprintf("%050d", i), time.Minute); err != nil {
					t.Error(err)
					return
				}
			}
		})
		work.Go(func() {
			for i := 0; i < tokens; {
				text, ok := b.take()
				if !ok {
					<-b.added
					continue
				}
				if want := fmt.Sprintf("%050d", i); text != want {
					t.Errorf("token %s, want %s", text, want)
				}
				i++
			}
			b.close()
		})
	}
	work.Wait()
	if used := memory.used.Load(); used != 0 {
		t.Errorf("%d bytes are still counted", used)
	}
}
