package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Item is a queued task.
type Item struct {
	Task   string
	Job    string
	Share  string
	Urgent bool
	Queued time.Time
}

const (
	// maxUrgentInRow bounds the urgent tasks that go before an overdue one that is not.
	maxUrgentInRow = 7
	// overdueAfter is how long a task that is not urgent waits before it may go between urgent ones.
	overdueAfter = 5 * time.Minute
)

// Order decides in which order queued tasks are placed: urgent ones first,
// shares by their weights, the tasks of one family in the order in which they
// were queued. A task that is not urgent and has waited long goes after at
// most urgentInARow urgent ones. It is not safe for concurrent use.
type Order struct {
	families  map[familyKey]*familyQueue
	positions map[string]position
	shares    map[string]*shareClock
	// virtualTime is the virtual time of the share that was served last.
	virtualTime float64
	// urgentInRow counts the urgent tasks taken in a row.
	urgentInRow int
	lastNumber  uint64
}

// familyKey names the queue of one job family.
type familyKey struct {
	share  string
	job    string
	urgent bool
}

// familyQueue is the queue of one job family; removed items are left as gaps at first.
type familyQueue struct {
	key     familyKey
	clock   *shareClock
	items   []queued
	waiting int
}

type queued struct {
	Item
	number  uint64
	removed bool
}

type position struct {
	queue  *familyQueue
	number uint64
}

// shareClock is a share's virtual time: what it has taken, divided by its weight.
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
func (o *Order) SetShare(name string, weight int) {
	o.clock(name).weight = float64(max(1, weight))
}

// Len returns the number of queued tasks.
func (o *Order) Len() int { return len(o.positions) }

// Push queues a task; one that is queued already keeps its place.
func (o *Order) Push(i Item) {
	if _, ok := o.positions[i.Task]; ok {
		return
	}
	key := familyKey{share: i.Share, job: i.Job, urgent: i.Urgent}
	l, ok := o.families[key]
	if !ok {
		l = &familyQueue{key: key, clock: o.clock(i.Share)}
		o.families[key] = l
	}
	t := l.clock
	if t.queued == 0 {
		// A share that had nothing to do gets no credit for it.
		t.virtualTime = max(t.virtualTime, o.virtualTime)
	}
	t.queued++
	o.lastNumber++
	l.items = append(l.items, queued{Item: i, number: o.lastNumber})
	l.waiting++
	o.positions[i.Task] = position{queue: l, number: o.lastNumber}
}

// Remove takes a task out of the order.
func (o *Order) Remove(task string) {
	p, ok := o.positions[task]
	if !ok {
		return
	}
	delete(o.positions, task)
	l := p.queue
	l.clock.queued--
	i, _ := slices.BinarySearchFunc(l.items, p.number, func(q queued, n uint64) int { return cmp.Compare(q.number, n) })
	l.items[i].removed = true
	l.waiting--
	if l.waiting == 0 {
		delete(o.families, l.key)
		return
	}
	l.compact()
}

// compact drops the gaps at the front, and all of them once they are most.
func (l *familyQueue) compact() {
	front := 0
	for l.items[front].removed {
		front++
	}
	l.items = l.items[front:]
	if len(l.items) > 2*l.waiting+16 {
		l.items = slices.DeleteFunc(l.items, func(q queued) bool { return q.removed })
	}
}

func (o *Order) clock(name string) *shareClock {
	t, ok := o.shares[name]
	if !ok {
		t = &shareClock{weight: 1, virtualTime: o.virtualTime}
		o.shares[name] = t
	}
	return t
}

// Round goes once through the queued tasks.
type Round struct {
	order *Order
	now   time.Time
	// families are those that may still yield a task in this round.
	families []*familyQueue
	current  *familyQueue
}

// Round begins a round. The order must not be changed but by the round itself until it ends.
func (o *Order) Round(now time.Time) *Round {
	return &Round{order: o, now: now, families: slices.Collect(maps.Values(o.families))}
}

// Next returns the task that is to be placed next, and whether there is one.
// It is followed by Take, Skip or Drop.
func (r *Round) Next() (Item, bool) {
	best := -1
	for i := range r.families {
		if best < 0 || r.before(r.families[i], r.families[best]) {
			best = i
		}
	}
	if best < 0 {
		return Item{}, false
	}
	r.current = r.families[best]
	return r.current.items[0].Item, true
}

// Waiting returns up to n tasks of the family that Next returned last, in the
// order in which they were queued. It is called before Take, Skip or Drop.
func (r *Round) Waiting(n int) []Item {
	var all []Item
	for _, q := range r.current.items {
		if len(all) == n {
			break
		}
		if !q.removed {
			all = append(all, q.Item)
		}
	}
	return all
}

// before reports whether line a is served before line b.
func (r *Round) before(a, b *familyQueue) bool {
	if ra, rb := r.rank(a), r.rank(b); ra != rb {
		return ra > rb
	}
	if a.clock.virtualTime != b.clock.virtualTime {
		return a.clock.virtualTime < b.clock.virtualTime
	}
	return a.items[0].number < b.items[0].number
}

// rank puts urgent lines first, but an overdue one after enough urgent ones.
func (r *Round) rank(l *familyQueue) int {
	switch {
	case l.key.urgent:
		return 1
	case r.order.urgentInRow >= maxUrgentInRow && r.now.Sub(l.items[0].Queued) >= overdueAfter:
		return 2
	}
	return 0
}

// Take says that the task was placed; cost is the part of the pool that it
// takes, above 0.
func (r *Round) Take(cost float64) {
	o, l := r.order, r.current
	t := l.clock
	o.virtualTime = max(o.virtualTime, t.virtualTime)
	t.virtualTime += cost / t.weight
	if l.key.urgent {
		o.urgentInRow++
	} else {
		o.urgentInRow = 0
	}
	r.remove()
}

// Drop says that the task can never be placed.
func (r *Round) Drop() {
	r.remove()
}

func (r *Round) remove() {
	r.order.Remove(r.current.items[0].Task)
	if r.current.waiting == 0 {
		r.Skip()
	}
}

// Skip says that there is no room for tasks of this family in this round.
func (r *Round) Skip() {
	r.families = slices.DeleteFunc(r.families, func(l *familyQueue) bool { return l == r.current })
}
