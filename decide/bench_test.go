package decide

import (
	"fmt"
	"testing"
)

// benchFleet is a router that knows many servers and whose probes are answered immediately.
type benchFleet struct {
	b    *testing.B
	r    *Router
	now  Time
	id   RequestID
	out  []Action
	sent []ServerID // by attempt of the current request
}

var benchNoReport = Report{MemoryUse: -1, QueuedKTokens: -1, Latency: -1}

// newBenchFleet returns one router of a deployment with that many routers and servers. One in coldEvery servers has
// just started; 0 means none.
func newBenchFleet(b *testing.B, servers, routers, coldEvery int) *benchFleet {
	set := testSettings()
	set.Routers, set.Probing, set.ProbeCost = routers, true, 0.0026
	f := &benchFleet{b: b, r: New(set, 1, 1000*Second), now: 1000 * Second}
	f.handle(&Event{Kind: ListCached, Servers: benchList(servers, coldEvery, f.now), Report: benchNoReport})
	return f
}

func benchList(servers, coldEvery int, now Time) (list []Listing) {
	for i := range servers {
		l := Listing{Server: ServerID(mix(uint64(i + 1))), Kind: i % 2, Cell: i / 6, Zone: i % 3, Condition: Ready, Weight: 1}
		if coldEvery > 0 && i/2%coldEvery == 0 {
			l.StartedAt = now
		}
		list = append(list, l)
	}
	return list
}

// handle passes an event to the router, and answers the probes that it sends.
func (f *benchFleet) handle(ev *Event) {
	f.now += ms / 10
	f.out = f.r.Handle(f.now, ev, f.out[:0])
	var probed []ServerID
	for i := range f.out {
		switch a := &f.out[i]; a.Kind {
		case Send:
			f.sent = append(f.sent, a.Server)
		case Probe:
			probed = append(probed, a.Server)
		}
	}
	for _, s := range probed {
		f.handle(&Event{Kind: Probed, Server: s, Outcome: Served, Report: Report{MemoryUse: 0.2, QueuedKTokens: 0, Latency: -1}})
	}
}

// request runs a whole request: arrival, read, first token, end.
func (f *benchFleet) request() {
	f.id++
	f.sent = f.sent[:0]
	f.now += 30 * ms
	id := f.id
	f.handle(&Event{Kind: Arrived, Request: id, Report: benchNoReport, Job: Job{SessionID: uint64(id % 100), PrefixID: uint64(id%20) + 1,
		PromptTokens: 1000, PrefixTokens: 800, MaxOutputTokens: 100, Deadline: f.now + 4*Second}})
	if len(f.sent) != 1 {
		f.b.Fatalf("%d sends after the arrival", len(f.sent))
	}
	f.handle(&Event{Kind: AttemptEnded, Request: id, Server: f.sent[0], Outcome: ReadDone, Elapsed: ms, Report: benchNoReport})
	if len(f.sent) != 2 {
		f.b.Fatalf("%d sends after the read", len(f.sent))
	}
	f.handle(&Event{Kind: FirstToken, Request: id, Server: f.sent[1], Attempt: 1, Elapsed: ms, Report: benchNoReport})
	f.handle(&Event{Kind: AttemptEnded, Request: id, Server: f.sent[1], Attempt: 1, Outcome: Served, Closed: true, Elapsed: ms, Report: benchNoReport})
	f.handle(&Event{Kind: Timer, Report: benchNoReport})
}

// BenchmarkRequest measures all events of a request, with the probes that they lead to.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name                        string
		servers, routers, coldEvery int
	}{
		{"few routers, 18 servers", 18, 2, 0}, {"few routers, 3200 servers", 3200, 2, 0},
		{"many routers, 200 servers", 200, 300, 0}, {"many routers, 3200 servers", 3200, 300, 0},
		{"many routers, 3200 servers, half cold", 3200, 300, 2},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := newBenchFleet(b, c.servers, c.routers, c.coldEvery)
			b.ReportAllocs()
			for b.Loop() {
				f.request()
			}
		})
	}
}

// BenchmarkList measures the first list of many servers, half of which are cold.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{200, 3200} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			for b.Loop() {
				newBenchFleet(b, n, 300, 2)
			}
		})
	}
}
