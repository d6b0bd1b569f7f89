// Case 9: a new configuration moves discovery to an agent that has heard less than the one before.
package main

import (
	"time"

	"mintdoor/review/kit-2"
)

func main() {
	c := kit2.NewCase()
	s := c.NewSmallWith(kit2.LongStreams)
	next := c.NewAgent("next agent of n1", 41, s.Members...)
	s.Start()
	n1, before := s.Routers[0], s.Agents[0]
	drained := s.Quarter()
	done := make(chan []kit2.Sent, 1)
	go func() {
		done <- c.TrafficOf(kit2.PenBooking, n1, 15, time.Now().Add(9*time.Second))
	}()
	time.Sleep(2 * time.Second)
	before.Put(drained...)
	c.Note("discovery lists a quarter of the workers as draining; the agent of n1 has it")
	time.Sleep(500 * time.Millisecond)
	if c.Trouble {
		n1.Set("discovery", next.Addr())
		n1.Reload() // the old agent goes on for 1.5 s, but is not asked any more
	}
	time.Sleep(3500 * time.Millisecond) // less than the 4 s after which all counts as told
	next.Put(drained...)
	c.Note("the next agent has it")
	time.Sleep(time.Second) // what the workers had within the grace has ended
	s.Replace(drained, before, next)
	all := <-done
	late := c.CheckDrains(s.Fleet, drained, func(id string) time.Time {
		at, ok := before.Told(id)
		if !ok {
			c.Abort("the agent has not told n1 of %s", id)
		}
		return at
	})
	c.CheckCut(all, late)
	c.End()
}
