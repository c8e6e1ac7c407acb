// Package queue decides which waiting request of a service gets the next free
// slot. A queue is bounded, serves neighbours in proportion to their weights
// (start-time fair queueing), and refuses at once a request that cannot meet its
// deadline. It has no I/O or clocks and is not safe for concurrent use.
//
// # Usage
//
//	q := &queue.Queue{Limit: 800, Slots: 400}
//	dropped, err := q.Push(now, item) // err is a *RefusedError.
//	item, expired := q.Pop(now)       // For each slot that becomes free.
package queue

import (
	"fmt"
	"math"
	"time"
)

// Item is one waiting request.
type Item struct {
	Neighbour string
	// Weight is the neighbour's weight relative to others; less than 1 counts as 1.
	Weight   int
	Deadline time.Time
	// Value is not used by the queue; the caller may set it.
	Value any

	flow    *flow
	arrived time.Time
}

// Waiting reports whether the item is in a queue.
func (i *Item) Waiting() bool { return i.flow != nil }

// RefusedError reports that a request was not queued.
type RefusedError struct {
	Reason string
	// RetryAfter is the estimated time until the queue can accept such a request.
	RetryAfter time.Duration
}

// Error returns the reason and the time to wait.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s; retry after %v", e.Reason, e.RetryAfter)
}

// Queue holds the waiting requests of one service.
type Queue struct {
	// Limit bounds the number of waiting items.
	Limit int
	// Slots is how many requests run at once.
	Slots int

	active      []*flow // The flows with items.
	byNeighbour map[string]*flow
	length      int
	// virtualTime is the start tag of the item that was popped last.
	virtualTime float64
	// meanRunTime is the moving mean of the time for which a request occupies a slot.
	meanRunTime time.Duration
}

// flow holds the items of one neighbour, first in, first out.
type flow struct {
	neighbour string
	weight    float64
	items     []*Item
	// startTag is the virtual time at which the first item is due.
	startTag float64
}

// meanRunTimeSamples is the inverse of the weight of one request in the moving mean.
const meanRunTimeSamples = 32

// ObserveRunTime adds the time for which a request occupied a slot to the moving mean.
func (q *Queue) ObserveRunTime(runTime time.Duration) {
	if q.meanRunTime == 0 {
		q.meanRunTime = runTime
		return
	}
	q.meanRunTime += (runTime - q.meanRunTime) / meanRunTimeSamples
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Push adds an item. If the queue is full, the item is either refused or
// displaces the last item of the neighbour with the most items for its weight,
// which Push returns. The error is a *RefusedError.
func (q *Queue) Push(now time.Time, item *Item) (*Item, error) {
	f := q.flowOf(item)
	wait := q.expectedWait(f)
	item.arrived = now
	if now.Add(wait + q.expectedRunTime(item)).After(item.Deadline) {
		return nil, &RefusedError{Reason: "the request cannot meet its deadline", RetryAfter: wait}
	}
	var displaced *Item
	if q.length >= q.Limit {
		most := q.mostLoaded()
		if most == nil || most == f || most.load() <= f.loadWith(1) {
			return nil, &RefusedError{Reason: "the queue is full", RetryAfter: max(wait, q.meanRunTime)}
		}
		displaced = most.items[len(most.items)-1]
		q.Remove(displaced)
	}
	q.append(f, item)
	return displaced, nil
}

// Pop removes and returns the next item, and the items before it that can no
// longer meet their deadline.
func (q *Queue) Pop(now time.Time) (*Item, []*Item) {
	var expired []*Item
	for q.length > 0 {
		f := q.next()
		item := f.items[0]
		if now.Add(q.expectedRunTime(item)).After(item.Deadline) {
			q.Remove(item)
			expired = append(expired, item)
			continue
		}
		q.virtualTime = f.startTag
		f.startTag += 1 / f.weight
		q.Remove(item)
		return item, expired
	}
	return nil, expired
}

// Peek returns the next item without checking its deadline, or nil if the queue is empty.
func (q *Queue) Peek() *Item {
	if q.length == 0 {
		return nil
	}
	return q.next().items[0]
}

// Remove removes an item, for example because its caller disconnected.
func (q *Queue) Remove(item *Item) {
	f := item.flow
	if f == nil {
		return
	}
	for i, each := range f.items {
		if each == item {
			f.items = append(f.items[:i], f.items[i+1:]...)
			break
		}
	}
	item.flow = nil
	q.length--
	if len(f.items) == 0 {
		q.removeFlow(f)
	}
}

// RetryAfter returns the estimated wait of a further item of the same neighbour.
func (q *Queue) RetryAfter(item *Item) time.Duration { return q.expectedWait(q.flowOf(item)) }

// expectedWait estimates how long a new item of a flow would wait for a slot.
func (q *Queue) expectedWait(f *flow) time.Duration {
	if q.Slots <= 0 || q.meanRunTime == 0 {
		return 0
	}
	weights := f.weight
	for _, other := range q.active {
		if other != f {
			weights += other.weight
		}
	}
	itemsAhead := math.Min(float64(q.length)+1, f.loadWith(1)*weights)
	return time.Duration(itemsAhead * float64(q.meanRunTime) / float64(q.Slots))
}

// expectedRunTime returns the estimated time for which an item will occupy a
// slot: the moving mean, but at most half of the time from the item's arrival to
// its deadline, so that a few slow requests do not make the queue refuse all others.
func (q *Queue) expectedRunTime(item *Item) time.Duration {
	return min(q.meanRunTime, item.Deadline.Sub(item.arrived)/2)
}

// LatestStart returns the time after which a waiting item can no longer meet its deadline.
func (q *Queue) LatestStart(item *Item) time.Time {
	return item.Deadline.Add(-q.expectedRunTime(item))
}

// flowOf returns the flow of an item's neighbour, or a new one that is not yet
// part of the queue.
func (q *Queue) flowOf(item *Item) *flow {
	if f, ok := q.byNeighbour[item.Neighbour]; ok {
		f.weight = float64(max(1, item.Weight))
		return f
	}
	return &flow{neighbour: item.Neighbour, weight: float64(max(1, item.Weight))}
}

// append adds an item to a flow, and the flow to the queue if needed.
func (q *Queue) append(f *flow, item *Item) {
	if len(f.items) == 0 {
		if q.byNeighbour == nil {
			q.byNeighbour = map[string]*flow{}
		}
		q.byNeighbour[f.neighbour] = f
		q.active = append(q.active, f)
		f.startTag = math.Max(f.startTag, q.virtualTime)
	}
	f.items = append(f.items, item)
	item.flow = f
	q.length++
}

// removeFlow removes a flow without items. It keeps the start tag of a flow that
// is ahead of the virtual time, so that a neighbour gains nothing by leaving and
// coming back.
func (q *Queue) removeFlow(f *flow) {
	for i, each := range q.active {
		if each == f {
			q.active = append(q.active[:i], q.active[i+1:]...)
			break
		}
	}
	if len(q.active) == 0 {
		clear(q.byNeighbour)
		q.virtualTime = 0
		return
	}
	if f.startTag <= q.virtualTime {
		delete(q.byNeighbour, f.neighbour)
	}
}

// next returns the active flow with the lowest start tag.
func (q *Queue) next() *flow {
	best := q.active[0]
	for _, f := range q.active[1:] {
		if f.startTag < best.startTag {
			best = f
		}
	}
	return best
}

// mostLoaded returns the flow with the most items for its weight.
func (q *Queue) mostLoaded() *flow {
	var most *flow
	for _, f := range q.active {
		if most == nil || f.load() > most.load() {
			most = f
		}
	}
	return most
}

// load returns the number of items divided by the flow's weight.
func (f *flow) load() float64 { return f.loadWith(0) }

// loadWith returns the load that the flow would have with extra items.
func (f *flow) loadWith(extra int) float64 {
	return float64(len(f.items)+extra) / f.weight
}
