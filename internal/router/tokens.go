package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// tokenMemory is the memory for the tokens that wait for their clients, of all requests together. When it is used up, one
// token of each request may still wait or be written, so that no stream depends on how fast the clients of others read.
type tokenMemory struct {
	limit int64 // in bytes; 0: none
	used  atomic.Int64
}

// reserve counts n more bytes and reports whether the limit allows them.
func (m *tokenMemory) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit || m.limit == 0 {
		return true
	}
	m.used.Add(-n)
	return false
}

// tokenBuffer has the tokens of a request that its attempt has passed on and its front has not read yet. The attempt adds
// tokens, and the front takes them.
type tokenBuffer struct {
	maxTokens int
	memory    *tokenMemory
	added     chan struct{} // receives a value when a token was added
	taken     chan struct{} // receives a value when there may be room

	mu       sync.Mutex
	tokens   []string
	reserved int64 // bytes of memory that the tokens take, and the one that the front is writing
	writing  int64 // bytes of the one that the front is writing
	closed   bool  // the front reads no more
}

// newTokenBuffer returns an empty buffer.
func newTokenBuffer(maxTokens int, memory *tokenMemory) *tokenBuffer {
	return &tokenBuffer{maxTokens: maxTokens, memory: memory, added: make(chan struct{}, 1), taken: make(chan struct{}, 1)}
}

// notify makes the receive from a channel of capacity 1 succeed.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// tryAdd adds a token if there is room for it. It returns an error if the front reads no more.
func (b *tokenBuffer) tryAdd(text string) (added bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := int64(len(text))
	switch {
	case b.closed:
		return false, errNotWanted
	case len(b.tokens) >= b.maxTokens:
		return false, nil
	case b.memory.reserve(size):
		b.reserved += size
	case b.reserved > 0:
		return false, nil
	default:
		b.memory.used.Add(size)
		b.reserved += size
	}
	b.tokens = append(b.tokens, text)
	notify(b.added)
	return true, nil
}

// add adds a token, and waits for room if there is none. It returns the cause of the end of ctx, or errStalled if no room is
// made within stallTimeout.
func (b *tokenBuffer) add(ctx context.Context, text string, stallTimeout time.Duration) error {
	if added, err := b.tryAdd(text); added || err != nil {
		return err
	}
	stall := time.NewTimer(stallTimeout)
	defer stall.Stop()
	for {
		select {
		case <-b.taken:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-stall.C:
			return errStalled
		}
		if added, err := b.tryAdd(text); added || err != nil {
			return err
		}
	}
}

// take returns the next token. It returns false if there is none. The memory of the token before is free again, since the
// front has written it.
func (b *tokenBuffer) take() (text string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(b.writing)
	b.writing = 0
	notify(b.taken)
	if len(b.tokens) == 0 {
		return "", false
	}
	text = b.tokens[0]
	n := copy(b.tokens, b.tokens[1:])
	b.tokens[n] = ""
	b.tokens, b.writing = b.tokens[:n], int64(len(text))
	return text, true
}

// release frees memory. mu is held.
func (b *tokenBuffer) release(n int64) {
	b.reserved -= n
	b.memory.used.Add(-n)
}

// isEmpty reports whether no token waits.
func (b *tokenBuffer) isEmpty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tokens) == 0
}

// close drops the tokens, and all that are still to come.
func (b *tokenBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.release(b.reserved)
	b.tokens, b.writing = nil, 0
	notify(b.taken)
}
