package router

import (
	"container/heap"

	"mintdoor/decide"
)

// timer is one entry of the timer heap. The field that is set tells its purpose: an attempt's timeout, the renewal
// of the KV state that an attempt uses, a request's deadline, or a timer that the module of the given generation has
// requested.
type timer struct {
	at         decide.Time
	attempt    *attempt
	renewFor   *attempt
	row        *requestRow
	id         uint64
	generation int

	index int // position in the heap; -1 if it is not in the heap
}

// timers is a heap ordered by time. A timer is removed as soon as it is no longer needed: otherwise, timers that are
// due only seconds later would keep their requests alive, and the garbage collector would have to scan all of them.
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

// remove removes a timer from the heap. It does nothing if the timer is nil, has fired or was removed before.
func (t *timers) remove(e *timer) {
	if e != nil && e.index >= 0 {
		heap.Remove(&t.heap, e.index)
	}
}

// moveUp makes a timer due no later than at. It does nothing if the timer is no longer in the heap.
func (t *timers) moveUp(e *timer, at decide.Time) {
	if e != nil && e.index >= 0 && at < e.at {
		e.at = at
		heap.Fix(&t.heap, e.index)
	}
}

// next returns the time at which the first timer is due.
func (t *timers) next() (decide.Time, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// popDue removes and returns the first timer if it is due.
func (t *timers) popDue(now decide.Time) (*timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return nil, false
	}
	return heap.Pop(&t.heap).(*timer), true
}
