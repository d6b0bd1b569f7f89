package router

import (
	"container/heap"

	"mintdoor/decide"
)

// timer is one thing that falls due. What it is for is told by which field is set: an attempt's time-out,
// the renewal of the state that an attempt is for, a request's deadline, or a wake-up of the module of some
// generation.
type timer struct {
	at         decide.Time
	attempt    *attempt
	renewFor   *attempt
	row        *requestRow
	id         uint64
	generation int

	index int // in the heap; -1 when it is not there
}

// timers is a heap by time. An entry is taken out when it is no longer wanted: left in until it is due, the
// entries of seconds would hold their requests, and the collector would walk through all of them.
type timers struct{ heap timerHeap }

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	e := x.(*timer)
	e.index = len(*h)
	*h = append(*h, e)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}

func (t *timers) add(e *timer) *timer {
	heap.Push(&t.heap, e)
	return e
}

// remove takes an entry out; one that is nil, due already or removed before is passed over.
func (t *timers) remove(e *timer) {
	if e != nil && e.index >= 0 {
		heap.Remove(&t.heap, e.index)
	}
}

// moveUp has an entry fall due no later than at. One that is not there any more is left as it is.
func (t *timers) moveUp(e *timer, at decide.Time) {
	if e != nil && e.index >= 0 && at < e.at {
		e.at = at
		heap.Fix(&t.heap, e.index)
	}
}

// next returns when the first entry is due.
func (t *timers) next() (decide.Time, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// popDue takes out the first entry if its time has come.
func (t *timers) popDue(now decide.Time) (*timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return nil, false
	}
	return heap.Pop(&t.heap).(*timer), true
}
