package spread

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// TestMain checks that no test leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestBalancerSkipsDeadRouters checks which routers get the connections before and after a death is detected, and
// after the router is back.
func TestBalancerSkipsDeadRouters(t *testing.T) {
	var addrs []string
	for i := range 2 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, i) }))
		defer s.Close()
		addrs = append(addrs, s.Listener.Addr().String())
	}
	b, err := Start(addrs, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request := func() string {
		resp, err := client.Get("http://" + b.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return string(text)
	}
	if got := request() + request() + request() + request(); got != "0101" {
		t.Errorf("connections went to routers %s, want 0101", got)
	}
	b.MarkDead(addrs[0]) // not detected yet
	if got := request() + request(); got != "01" {
		t.Errorf("within the detection delay: %s, want 01", got)
	}
	b.detectionDelay = -time.Hour
	b.MarkDead(addrs[0])
	if got := request() + request() + request(); got != "111" {
		t.Errorf("after the detection delay: %s, want 111", got)
	}
	b.MarkAlive(addrs[0])
	if got := request() + request(); got != "10" && got != "01" {
		t.Errorf("after the router came back: %s, want 10 or 01", got)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
