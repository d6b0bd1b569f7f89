// Case 9: a reader begins to drain while a writer fails a request whose state waits at that reader.
package main

import (
	"sync/atomic"
	"time"

	"mintdoor/review/kit-2"
)

// limit is how long a state may be held with no attempt out: the settings' time and 300 ms, and 50 ms.
const limit = time.Second + 350*time.Millisecond

func main() {
	c := kit2.NewCase()
	id := kit2.NewID()
	var drain func(worker string)
	var reads, writes atomic.Int32
	fleet := c.NewFleet(func(a *kit2.Arrival) kit2.Plan {
		switch {
		case !a.Writer:
			if reads.Add(1) == 1 && c.Trouble {
				time.AfterFunc(150*time.Millisecond, func() { drain(a.Worker) })
			}
			return kit2.Plan{Delay: 100 * time.Millisecond}
		case writes.Add(1) == 1:
			return kit2.Plan{Delay: 300 * time.Millisecond, Status: 500}
		}
		return kit2.Plan{Delay: 100 * time.Millisecond, Events: 10, Interval: 60 * time.Millisecond}
	})
	members := append(fleet.NewWorkers(4, "prefill", false), fleet.NewWorkers(6, "decode-a", true)...)
	agent := c.NewAgent("agent", 41, members...)
	drain = func(worker string) {
		for _, m := range members {
			if m.ID == worker {
				m.Phase = "draining"
				agent.Put(m)
				c.Note("discovery lists %s as draining", worker)
			}
		}
	}
	n1 := c.NewRouter("n1", kit2.SmallSettings(2, 0), agent)
	n1.Start()
	n1.AwaitReady()
	cl, err := kit2.Dial(n1.Addr)
	c.Check(err)
	c.Check(cl.Write(kit2.Message(id, kit2.PriceAsk, 6*time.Second)))
	c.Note("client: %s sent", id)
	answer := cl.Read(time.Now().Add(8 * time.Second))
	c.NoteAt(answer.End, "client: answer: %v", &answer)
	if answer.Status != 200 || !answer.Whole {
		c.Abort("the request was not served: %v", &answer)
	}
	time.Sleep(12 * time.Second) // far more than the limit
	for reader, since := range fleet.Held(id) {
		held := time.Since(answer.End)
		c.Note("%s holds a state of %s since %.3f s; no attempt has been out for %.3f s", reader, id, time.Since(since).Seconds(), held.Seconds())
		if held > limit {
			c.Break("%s still holds a state of a request that was served %.1f s ago; no DELETE has come", reader, held.Seconds())
		}
	}
	c.End()
}
