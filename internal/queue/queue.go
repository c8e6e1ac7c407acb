// Package queue decides which waiting request of a service gets the next free
// slot. A queue is bounded, fair between neighbours by weight, and refuses at
// once what cannot meet its deadline. It is free of I/O and clocks, and not
// safe for concurrent use.
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
	// Weight is the neighbour's part relative to others; less than 1 counts as 1.
	Weight   int
	Deadline time.Time
	// Value is the caller's own.
	Value any

	flow    *flow
	arrived time.Time
}

// Waiting reports whether the item is in a queue.
func (i *Item) Waiting() bool { return i.flow != nil }

// RefusedError says that a request was not queued.
type RefusedError struct {
	Reason string
	// RetryAfter is when the queue will have room for such a request.
	RetryAfter time.Duration
}

// Error returns the reason and the wait.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s; retry after %v", e.Reason, e.RetryAfter)
}

// Queue holds the waiting requests of one service.
type Queue struct {
	// Limit bounds the items.
	Limit int
	// Slots is how many requests run at once.
	Slots int

	flows  []*flow // Those with items.
	known  map[string]*flow
	length int
	// virtual is the virtual time: the start tag of the item that was taken last.
	virtual float64
	// mean is the moving mean of the time for which a request holds a slot.
	mean time.Duration
}

// flow is the items of one neighbour, first in first out.
type flow struct {
	neighbour string
	weight    float64
	items     []*Item
	// start is the virtual time at which the first item is due.
	start float64
}

// meanWeight is the part of one request in the mean time, as a divisor.
const meanWeight = 32

// ObserveRunTime counts the time for which a request held a slot.
func (q *Queue) ObserveRunTime(held time.Duration) {
	if q.mean == 0 {
		q.mean = held
		return
	}
	q.mean += (held - q.mean) / meanWeight
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Push adds an item. If the queue is full, the item either is refused or
// displaces the last item of a neighbour that waits with more than its part;
// that one is returned. The error is a *RefusedError.
func (q *Queue) Push(now time.Time, item *Item) (*Item, error) {
	f := q.flowOf(item)
	wait := q.wait(f)
	item.arrived = now
	if now.Add(wait + q.expected(item)).After(item.Deadline) {
		return nil, &RefusedError{Reason: "the request cannot meet its deadline", RetryAfter: wait}
	}
	var displaced *Item
	if q.length >= q.Limit {
		longest := q.longest()
		if longest == nil || longest == f || longest.load() <= f.loadWith(1) {
			return nil, &RefusedError{Reason: "the queue is full", RetryAfter: max(wait, q.mean)}
		}
		displaced = longest.items[len(longest.items)-1]
		q.Remove(displaced)
	}
	q.append(f, item)
	return displaced, nil
}

// Pop takes the next item, and those before it that can no longer meet their deadline.
func (q *Queue) Pop(now time.Time) (*Item, []*Item) {
	var expired []*Item
	for q.length > 0 {
		f := q.next()
		item := f.items[0]
		if now.Add(q.expected(item)).After(item.Deadline) {
			q.Remove(item)
			expired = append(expired, item)
			continue
		}
		q.virtual = f.start
		f.start += 1 / f.weight
		q.Remove(item)
		return item, expired
	}
	return nil, expired
}

// Peek returns the item that is next, without a look at its deadline; nil if none waits.
func (q *Queue) Peek() *Item {
	if q.length == 0 {
		return nil
	}
	return q.next().items[0]
}

// Remove takes an item out, as when its caller left.
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
		q.retire(f)
	}
}

// RetryAfter returns how long a new item of the neighbour would wait.
func (q *Queue) RetryAfter(item *Item) time.Duration { return q.wait(q.flowOf(item)) }

// wait estimates how long a new item of a flow would wait for a slot.
func (q *Queue) wait(f *flow) time.Duration {
	if q.Slots <= 0 || q.mean == 0 {
		return 0
	}
	weights := f.weight
	for _, other := range q.flows {
		if other != f {
			weights += other.weight
		}
	}
	ahead := math.Min(float64(q.length)+1, f.loadWith(1)*weights)
	return time.Duration(ahead * float64(q.mean) / float64(q.Slots))
}

// expected is the time that an item will take once it runs: the mean, but at
// most half of the item's own time, so that one slow spell does not refuse everything.
func (q *Queue) expected(item *Item) time.Duration {
	return min(q.mean, item.Deadline.Sub(item.arrived)/2)
}

// LatestStart returns when it is too late for a waiting item to run.
func (q *Queue) LatestStart(item *Item) time.Time {
	return item.Deadline.Add(-q.expected(item))
}

// flowOf returns the flow of an item's neighbour.
func (q *Queue) flowOf(item *Item) *flow {
	if f, ok := q.known[item.Neighbour]; ok {
		f.weight = float64(max(1, item.Weight))
		return f
	}
	return &flow{neighbour: item.Neighbour, weight: float64(max(1, item.Weight))}
}

func (q *Queue) append(f *flow, item *Item) {
	if len(f.items) == 0 {
		if q.known == nil {
			q.known = map[string]*flow{}
		}
		q.known[f.neighbour] = f
		q.flows = append(q.flows, f)
		f.start = math.Max(f.start, q.virtual)
	}
	f.items = append(f.items, item)
	item.flow = f
	q.length++
}

// retire drops a flow without items once its last item's virtual time has passed.
func (q *Queue) retire(f *flow) {
	for i, each := range q.flows {
		if each == f {
			q.flows = append(q.flows[:i], q.flows[i+1:]...)
			break
		}
	}
	if len(q.flows) == 0 {
		clear(q.known)
		q.virtual = 0
		return
	}
	if f.start <= q.virtual {
		delete(q.known, f.neighbour)
	}
}

// next returns the flow whose first item has the lowest start tag.
func (q *Queue) next() *flow {
	best := q.flows[0]
	for _, f := range q.flows[1:] {
		if f.start < best.start {
			best = f
		}
	}
	return best
}

// longest returns the flow with the most items for its weight.
func (q *Queue) longest() *flow {
	var longest *flow
	for _, f := range q.flows {
		if longest == nil || f.load() > longest.load() {
			longest = f
		}
	}
	return longest
}

// load is the number of items for the flow's weight.
func (f *flow) load() float64 { return f.loadWith(0) }

func (f *flow) loadWith(further int) float64 {
	return float64(len(f.items)+further) / f.weight
}
