package decide

import (
	"fmt"
	"testing"
)

// BenchmarkRequest is a whole request's events through the module: arrival, read, first token, end. Divide
// by four for an event.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 50, 230} {
		b.Run(fmt.Sprint(n, "engines"), func(b *testing.B) {
			var list []Listing
			for i := range n {
				list = append(list, Listing{Server: ServerID(i + 1), Kind: i % 2, Cell: i / 6, Condition: Ready, Weight: 1})
			}
			now := 1000 * Second
			untold := Report{MemoryShare: -1, WaitingK: -1, Latency: -1}
			r := New(settings(), 1, now)
			out := r.Handle(now, &Event{Kind: ListCached, Servers: list, Report: untold}, nil)
			id := RequestID(0)
			send := func(out []Action) ServerID {
				for i := range out {
					if out[i].Kind == Send {
						return out[i].Server
					}
				}
				b.Fatal("nothing was sent")
				return 0
			}
			b.ReportAllocs()
			for b.Loop() {
				id++
				now += ms
				out = r.Handle(now, &Event{Kind: Arrived, Request: id, Report: untold, Job: Job{Session: uint64(id % 100), Text: uint64(id%20) + 1,
					Prompt: 1000, Prefix: 800, MaxOut: 100, Deadline: now + 4*Second}}, out[:0])
				s := send(out)
				now += ms
				out = r.Handle(now, &Event{Kind: Ended, Request: id, Server: s, Outcome: ReadDone, Spent: ms, Report: untold}, out[:0])
				s = send(out)
				now += ms
				out = r.Handle(now, &Event{Kind: FirstToken, Request: id, Server: s, Attempt: 1, Spent: ms, Report: untold}, out[:0])
				out = r.Handle(now, &Event{Kind: Ended, Request: id, Server: s, Attempt: 1, Outcome: Served, Closed: true, Spent: ms, Report: untold}, out[:0])
			}
		})
	}
}
