package kit2

import "time"

// LongStreams is a plan by which every request is served with a stream of 3.2 s, as a pen-booking's may be.
func LongStreams(a *Arrival) Plan {
	if !a.Writer {
		return Plan{Delay: 30 * time.Millisecond}
	}
	return Plan{Delay: 60 * time.Millisecond, Events: 40, Interval: 80 * time.Millisecond}
}

// Replace takes draining workers off the list and stops them, as the end of a release does.
func (s *Small) Replace(drained []Member, agents ...*Agent) {
	removed := append([]Member{}, drained...)
	for i := range removed {
		removed[i].Phase = "removed"
	}
	for _, a := range agents {
		a.Put(removed...)
	}
	for _, m := range drained {
		s.Fleet.Stop(m.ID)
	}
}

// CheckCut notes which of the requests that were sent too late were cut off while they were being answered.
func (c *Case) CheckCut(all []Sent, late map[string]bool) {
	cut := 0
	for _, q := range all {
		if late[q.ID] && q.Answer.Status != 0 && !q.Answer.Whole {
			cut++
			c.NoteAt(q.Answer.End, "%s, a pen-booking that was sent to a draining worker too late, was cut off when that worker was stopped", q.ID)
		}
	}
	if cut > 0 {
		c.Break("%d of these were accepted, were being answered, and were lost when the draining workers were stopped", cut)
	}
}
