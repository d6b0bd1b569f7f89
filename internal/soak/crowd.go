package soak

// A crowd: clients that stay for the whole run and cost the routers connections and memory.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"mintdoor/internal/platform"
)

// crowdShare is the share of seeds that have a crowd: one in crowdShare.
const crowdShare = 3

// hasCrowd reports whether a seed's run has a crowd.
func hasCrowd(seed uint64) bool { return rand.New(rand.NewPCG(seed, 4)).IntN(crowdShare) == 0 }

// The clients of a crowd, for each router.
const (
	crowdHalfRequests = 30
	crowdLongHeads    = 10
	crowdSlowClients  = 6
)

// crowdRequestSize is the size of the requests that a crowd sends by half, in bytes.
const crowdRequestSize = 200_000

// startCrowd starts a crowd that stays until ctx ends.
func (t *traffic) startCrowd(ctx context.Context) (clients int) {
	halfRequest := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", platform.ChatPath, crowdRequestSize+1,
		strings.Repeat("x", crowdRequestSize))
	longHead := "POST " + platform.ChatPath + " HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 60) + strings.Repeat("x", 3000)
	for _, r := range t.testbed.Routers {
		for range crowdHalfRequests {
			t.repeat(ctx, func(random *rand.Rand) { t.stopHalfWay(r, "crowd: half a large request", halfRequest) })
		}
		for range crowdLongHeads {
			t.repeat(ctx, func(random *rand.Rand) { t.stopHalfWay(r, "crowd: half a long head", longHead) })
		}
		for range crowdSlowClients {
			t.repeat(ctx, func(random *rand.Rand) { t.sendSlowly(r, random) })
		}
		clients += crowdHalfRequests + crowdLongHeads + crowdSlowClients
	}
	return clients
}

// repeat runs a client again and again until ctx ends.
func (t *traffic) repeat(ctx context.Context, client func(random *rand.Rand)) {
	const maxPause = time.Second
	t.spawn(func(random *rand.Rand) {
		for ctx.Err() == nil {
			client(random)
			time.Sleep(time.Duration(random.Int64N(int64(maxPause))))
		}
	})
}

// stopHalfWay sends a part of a request, and waits for an error or a close.
func (t *traffic) stopHalfWay(r *Router, kind, text string) {
	c, err := dial(r)
	if err != nil {
		return
	}
	defer c.Close()
	t.sendInvalid(c, r, kind, text)
}

// sendSlowly sends a valid request in pieces, and reads its answer slowly.
func (t *traffic) sendSlowly(r *Router, random *rand.Rand) {
	const pieces, pause, readPause = 8, 150 * time.Millisecond, 100 * time.Millisecond
	c, err := dial(r)
	if err != nil {
		return
	}
	defer c.Close()
	rec, _ := c.exchange(t.drawRequest(random), &clientBehaviour{pieces: pieces, pause: pause, readPause: readPause}, random, t.log)
	rec.note = "crowd: slow clients"
}

// flood sends small requests that no engine gets on one connection, at full speed.
func (t *traffic) flood(r *Router, length time.Duration, random *rand.Rand) {
	const perWrite = 100
	c, err := dial(r)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(length))
	done := make(chan struct{})
	go func() { defer close(done); io.Copy(io.Discard, bufio.NewReader(c)) }()
	for err == nil {
		var text strings.Builder
		for range perWrite {
			fmt.Fprintf(&text, "GET /%x HTTP/1.1\r\nHost: a\r\n\r\n", random.Uint64())
		}
		_, err = io.WriteString(c, text.String())
	}
	c.Close()
	<-done
}
