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
	// urgentInARow bounds the urgent tasks that go before an overdue one that is not.
	urgentInARow = 7
	// overdueAfter is how long a task that is not urgent waits before it may go between urgent ones.
	overdueAfter = 5 * time.Minute
)

// Order decides in which order queued tasks are placed: urgent ones first,
// shares by their weights, the tasks of one family in the order in which they
// were queued. A task that is not urgent and has waited long goes after at
// most urgentInARow urgent ones. It is not safe for concurrent use.
type Order struct {
	lines  map[lineKey]*line
	places map[string]place
	shares map[string]*turn
	// served is the virtual time of the share that was served last.
	served float64
	// urgentRun counts the urgent tasks taken in a row.
	urgentRun int
	next      uint64
}

// lineKey names the queue of one job family.
type lineKey struct {
	share  string
	job    string
	urgent bool
}

// line is the queue of one job family; removed items are left as gaps at first.
type line struct {
	key   lineKey
	turn  *turn
	items []queued
	live  int
}

type queued struct {
	Item
	number uint64
	gone   bool
}

type place struct {
	line   *line
	number uint64
}

// turn is a share's virtual time: what it has taken, divided by its weight.
type turn struct {
	weight float64
	time   float64
	queued int
}

// NewOrder returns an empty order.
func NewOrder() *Order {
	return &Order{lines: map[lineKey]*line{}, places: map[string]place{}, shares: map[string]*turn{}}
}

// SetShare sets the weight of a share; without it the weight is 1.
func (o *Order) SetShare(name string, weight int) {
	o.turn(name).weight = float64(max(1, weight))
}

// Len returns the number of queued tasks.
func (o *Order) Len() int { return len(o.places) }

// Push queues a task; one that is queued already keeps its place.
func (o *Order) Push(i Item) {
	if _, ok := o.places[i.Task]; ok {
		return
	}
	key := lineKey{share: i.Share, job: i.Job, urgent: i.Urgent}
	l, ok := o.lines[key]
	if !ok {
		l = &line{key: key, turn: o.turn(i.Share)}
		o.lines[key] = l
	}
	t := l.turn
	if t.queued == 0 {
		// A share that had nothing to do gets no credit for it.
		t.time = max(t.time, o.served)
	}
	t.queued++
	o.next++
	l.items = append(l.items, queued{Item: i, number: o.next})
	l.live++
	o.places[i.Task] = place{line: l, number: o.next}
}

// Remove takes a task out of the order.
func (o *Order) Remove(task string) {
	p, ok := o.places[task]
	if !ok {
		return
	}
	delete(o.places, task)
	l := p.line
	l.turn.queued--
	i, _ := slices.BinarySearchFunc(l.items, p.number, func(q queued, n uint64) int { return cmp.Compare(q.number, n) })
	l.items[i].gone = true
	l.live--
	if l.live == 0 {
		delete(o.lines, l.key)
		return
	}
	l.trim()
}

// trim drops the gaps at the front, and all of them once they are most.
func (l *line) trim() {
	front := 0
	for l.items[front].gone {
		front++
	}
	l.items = l.items[front:]
	if len(l.items) > 2*l.live+16 {
		l.items = slices.DeleteFunc(l.items, func(q queued) bool { return q.gone })
	}
}

func (o *Order) turn(name string) *turn {
	t, ok := o.shares[name]
	if !ok {
		t = &turn{weight: 1, time: o.served}
		o.shares[name] = t
	}
	return t
}

// Round goes once through the queued tasks.
type Round struct {
	order *Order
	now   time.Time
	// lines are those that may still yield a task in this round.
	lines []*line
	last  *line
}

// Round begins a round. The order must not be changed but by the round itself until it ends.
func (o *Order) Round(now time.Time) *Round {
	return &Round{order: o, now: now, lines: slices.Collect(maps.Values(o.lines))}
}

// Next returns the task that is to be placed next, and whether there is one.
// It is followed by Take, Skip or Drop.
func (r *Round) Next() (Item, bool) {
	best := -1
	for i := range r.lines {
		if best < 0 || r.before(r.lines[i], r.lines[best]) {
			best = i
		}
	}
	if best < 0 {
		return Item{}, false
	}
	r.last = r.lines[best]
	return r.last.items[0].Item, true
}

// Waiting returns up to n tasks of the family that Next returned last, in the
// order in which they were queued. It is called before Take, Skip or Drop.
func (r *Round) Waiting(n int) []Item {
	var all []Item
	for _, q := range r.last.items {
		if len(all) == n {
			break
		}
		if !q.gone {
			all = append(all, q.Item)
		}
	}
	return all
}

// before reports whether line a is served before line b.
func (r *Round) before(a, b *line) bool {
	if ra, rb := r.rank(a), r.rank(b); ra != rb {
		return ra > rb
	}
	if a.turn.time != b.turn.time {
		return a.turn.time < b.turn.time
	}
	return a.items[0].number < b.items[0].number
}

// rank puts urgent lines first, but an overdue one after enough urgent ones.
func (r *Round) rank(l *line) int {
	switch {
	case l.key.urgent:
		return 1
	case r.order.urgentRun >= urgentInARow && r.now.Sub(l.items[0].QueuedAt) >= overdueAfter:
		return 2
	}
	return 0
}

// MarkPlaced says that the task was placed; cost is the part of the pool that it
// takes, above 0.
func (r *Round) MarkPlaced(cost float64) {
	o, l := r.order, r.last
	t := l.turn
	o.served = max(o.served, t.time)
	t.time += cost / t.weight
	if l.key.urgent {
		o.urgentRun++
	} else {
		o.urgentRun = 0
	}
	r.remove()
}

// Drop says that the task can never be placed.
func (r *Round) Drop() {
	r.remove()
}

func (r *Round) remove() {
	r.order.Remove(r.last.items[0].Task)
	if r.last.live == 0 {
		r.Skip()
	}
}

// Skip says that there is no room for tasks of this family in this round.
func (r *Round) Skip() {
	r.lines = slices.DeleteFunc(r.lines, func(l *line) bool { return l == r.last })
}
