package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Item is a queued task.
type Item struct {
	Task     string
	Job      string
	Share    string
	Urgent   bool
	QueuedAt time.Time
}

const (
	// maxUrgentInRow bounds the urgent tasks in a row that go ahead of an overdue task.
	maxUrgentInRow = 7
	// overdueAfter is how long a task that is not urgent waits until it is overdue.
	overdueAfter = 5 * time.Minute
)

// Order decides in which order queued tasks are placed: urgent tasks first,
// shares in proportion to their weights (weighted fair queueing), and the tasks
// of one job family first in, first out. An overdue task goes ahead of urgent
// ones after maxUrgentInRow of them in a row. Order is not safe for concurrent
// use.
type Order struct {
	families  map[familyKey]*familyQueue
	positions map[string]position
	shares    map[string]*shareClock
	// virtualTime is the greatest virtual time at which a share was served.
	virtualTime float64
	// urgentInRow counts the urgent tasks placed since the last task that was not urgent.
	urgentInRow int
	lastNumber  uint64
}

// familyKey identifies a familyQueue.
type familyKey struct {
	share  string
	job    string
	urgent bool
}

// familyQueue holds the queued tasks of one job family. Removed items stay in
// the slice until compact drops them.
type familyQueue struct {
	key     familyKey
	clock   *shareClock
	items   []queued
	waiting int
}

// queued is an item with its sequence number.
type queued struct {
	Item
	number  uint64
	removed bool
}

// position locates a queued task by its queue and sequence number.
type position struct {
	queue  *familyQueue
	number uint64
}

// shareClock holds a share's virtual time, which advances by the cost of each
// placed task divided by the share's weight. The share with the lowest virtual
// time is served next.
type shareClock struct {
	weight      float64
	virtualTime float64
	queued      int
}

// NewOrder returns an empty order.
func NewOrder() *Order {
	return &Order{families: map[familyKey]*familyQueue{}, positions: map[string]position{}, shares: map[string]*shareClock{}}
}

// SetShare sets the weight of a share; without it the weight is 1.
func (o *Order) SetShare(shareName string, weight int) {
	o.clock(shareName).weight = float64(max(1, weight))
}

// Len returns the number of queued tasks.
func (o *Order) Len() int { return len(o.positions) }

// Push queues a task. A task that is already queued keeps its position.
func (o *Order) Push(item Item) {
	if _, ok := o.positions[item.Task]; ok {
		return
	}
	key := familyKey{share: item.Share, job: item.Job, urgent: item.Urgent}
	queue, ok := o.families[key]
	if !ok {
		queue = &familyQueue{key: key, clock: o.clock(item.Share)}
		o.families[key] = queue
	}
	clock := queue.clock
	if clock.queued == 0 {
		// A share gets no credit for the time in which it had no queued tasks.
		clock.virtualTime = max(clock.virtualTime, o.virtualTime)
	}
	clock.queued++
	o.lastNumber++
	queue.items = append(queue.items, queued{Item: item, number: o.lastNumber})
	queue.waiting++
	o.positions[item.Task] = position{queue: queue, number: o.lastNumber}
}

// Remove removes a task from the order.
func (o *Order) Remove(task string) {
	p, ok := o.positions[task]
	if !ok {
		return
	}
	delete(o.positions, task)
	queue := p.queue
	queue.clock.queued--
	i, _ := slices.BinarySearchFunc(queue.items, p.number, func(q queued, n uint64) int { return cmp.Compare(q.number, n) })
	queue.items[i].removed = true
	queue.waiting--
	if queue.waiting == 0 {
		delete(o.families, queue.key)
		return
	}
	queue.compact()
}

// compact drops removed items at the front of the queue, and all removed items
// once there are over 16 more of them than of waiting ones.
func (queue *familyQueue) compact() {
	front := 0
	for queue.items[front].removed {
		front++
	}
	queue.items = queue.items[front:]
	if len(queue.items) > 2*queue.waiting+16 {
		queue.items = slices.DeleteFunc(queue.items, func(q queued) bool { return q.removed })
	}
}

// clock returns the clock of a share, which it adds if needed.
func (o *Order) clock(shareName string) *shareClock {
	clock, ok := o.shares[shareName]
	if !ok {
		clock = &shareClock{weight: 1, virtualTime: o.virtualTime}
		o.shares[shareName] = clock
	}
	return clock
}

// Round is one pass through the queued tasks. Next returns one after the other,
// and the caller places it, drops it or skips its job family.
type Round struct {
	order *Order
	now   time.Time
	// queues holds the queues that may still have a task to place in this round.
	queues  []*familyQueue
	current *familyQueue
}

// Round begins a round. Until it ends, only the round itself may change the order.
func (o *Order) Round(now time.Time) *Round {
	return &Round{order: o, now: now, queues: slices.Collect(maps.Values(o.families))}
}

// Next returns the task to place next, and whether there is one. The caller
// then calls MarkPlaced, Skip or Drop.
func (r *Round) Next() (Item, bool) {
	best := -1
	for i := range r.queues {
		if best < 0 || r.before(r.queues[i], r.queues[best]) {
			best = i
		}
	}
	if best < 0 {
		return Item{}, false
	}
	r.current = r.queues[best]
	return r.current.items[0].Item, true
}

// Waiting returns up to n queued tasks of the same job family as the task that
// Next returned last, in the order in which they were queued. The caller calls
// it before MarkPlaced, Skip or Drop.
func (r *Round) Waiting(n int) []Item {
	var waiting []Item
	for _, q := range r.current.items {
		if len(waiting) == n {
			break
		}
		if !q.removed {
			waiting = append(waiting, q.Item)
		}
	}
	return waiting
}

// before reports whether queue a is served before queue b.
func (r *Round) before(a, b *familyQueue) bool {
	if ra, rb := r.rank(a), r.rank(b); ra != rb {
		return ra > rb
	}
	if a.clock.virtualTime != b.clock.virtualTime {
		return a.clock.virtualTime < b.clock.virtualTime
	}
	return a.items[0].number < b.items[0].number
}

// rank returns the precedence of a queue, where higher ranks are served first: 1
// if the queue is urgent, otherwise 0. A queue that is not urgent gets 2 if its
// first task is overdue and at least maxUrgentInRow urgent tasks were placed in a row.
func (r *Round) rank(queue *familyQueue) int {
	switch {
	case queue.key.urgent:
		return 1
	case r.order.urgentInRow >= maxUrgentInRow && r.now.Sub(queue.items[0].QueuedAt) >= overdueAfter:
		return 2
	}
	return 0
}

// MarkPlaced records that the task from Next was placed. Its cost, which must be
// above 0, advances the virtual time of its share.
func (r *Round) MarkPlaced(cost float64) {
	o, queue := r.order, r.current
	clock := queue.clock
	o.virtualTime = max(o.virtualTime, clock.virtualTime)
	clock.virtualTime += cost / clock.weight
	if queue.key.urgent {
		o.urgentInRow++
	} else {
		o.urgentInRow = 0
	}
	r.remove()
}

// Drop removes the task from Next because it can never be placed.
func (r *Round) Drop() {
	r.remove()
}

// remove removes the task that Next returned from the order, and its queue from
// the round if that is now empty.
func (r *Round) remove() {
	r.order.Remove(r.current.items[0].Task)
	if r.current.waiting == 0 {
		r.Skip()
	}
}

// Skip leaves out the job family of the task from Next for the rest of the
// round, because its tasks cannot be placed now.
func (r *Round) Skip() {
	r.queues = slices.DeleteFunc(r.queues, func(queue *familyQueue) bool { return queue == r.current })
}
