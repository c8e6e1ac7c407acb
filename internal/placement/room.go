package placement

import (
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Room returns how many tasks like a candidate could be placed now, at most limit.
func (p *Planner) Room(c Candidate, limit int, now time.Time) int {
	id, size, err := p.Place(c, now)
	if err != nil || id == "" {
		return 0
	}
	if _, maxRunning := p.Sizes.Estimate(c.Job, p.families[c.Job].Declared, p.Pool.largestFor(c.Share)); maxRunning > 0 && !c.Urgent {
		limit = min(limit, maxRunning-p.running[c.Job])
	}
	if q, bounded := p.Pool.quotas[c.Share]; bounded {
		limit = min(limit, countFits(size, q.allocation.Minus(p.Pool.used[c.Share]), limit))
	}
	c.Size = size
	return min(limit, p.Pool.countFitting(c, limit, now))
}

// countFitting returns how many tasks of a candidate's size the workers could take, at most limit.
func (p *Pool) countFitting(c Candidate, limit int, now time.Time) int {
	n := 0
	for i := range p.workers {
		if n >= limit {
			break
		}
		if p.allows(i, c, now) {
			n += countFits(c.Size, p.free[i], limit-n)
		}
	}
	return n
}

// countFits returns how often a size fits into what is free, at most limit.
func countFits(size, free share.Resources, limit int) int {
	n := 0
	for n < limit && size.Times(n+1).Fits(free) {
		n++
	}
	return n
}

// CouldHold reports whether a worker that accepts tasks, and the share's part
// of its quota, are large enough for a size when nothing else runs.
func (p *Pool) CouldHold(name string, size share.Resources) bool {
	if q, bounded := p.quotas[name]; bounded && !size.Fits(q.allocation) {
		return false
	}
	for _, s := range p.workers {
		if s.Accepting && size.Fits(s.Capacity.Minus(s.Reserved)) {
			return true
		}
	}
	return false
}

// Waiting returns the tasks of each job family that are queued, in their order.
// The slices hold at most limit tasks that a filter lets pass.
func (o *Order) Waiting(limit int, filter func(Item) bool) [][]Item {
	var all [][]Item
	for _, l := range o.families {
		var items []Item
		for _, q := range l.items {
			if len(items) >= limit {
				break
			}
			if !q.removed && filter(q.Item) {
				items = append(items, q.Item)
			}
		}
		if len(items) > 0 {
			all = append(all, items)
		}
	}
	return all
}

// Queued returns how many tasks of a share are queued.
func (o *Order) Queued(name string) int {
	if t, ok := o.shares[name]; ok {
		return t.queued
	}
	return 0
}
