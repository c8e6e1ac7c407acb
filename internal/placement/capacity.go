package placement

import (
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// CountPlaceable returns how many tasks like the candidate could be placed now, at most limit.
func (p *Planner) CountPlaceable(c Candidate, limit int, now time.Time) int {
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

// countFitting returns how many tasks of the candidate's size fit on the workers, at most limit.
func (p *Pool) countFitting(c Candidate, limit int, now time.Time) int {
	count := 0
	for i := range p.workers {
		if count >= limit {
			break
		}
		if p.allows(i, c, now) {
			count += countFits(c.Size, p.free[i], limit-count)
		}
	}
	return count
}

// countFits returns how many tasks of a size fit into a free capacity, at most limit.
func countFits(size, free share.Resources, limit int) int {
	n := 0
	for n < limit && size.Times(n+1).Fits(free) {
		n++
	}
	return n
}

// CouldFit reports whether a task of the given size would fit on some accepting
// worker, and into the quota allocation of its share, if nothing else ran.
func (p *Pool) CouldFit(shareName string, size share.Resources) bool {
	if q, bounded := p.quotas[shareName]; bounded && !size.Fits(q.allocation) {
		return false
	}
	for _, s := range p.workers {
		if s.Accepting && size.Fits(s.Capacity.Minus(s.Reserved)) {
			return true
		}
	}
	return false
}

// Waiting returns the queued tasks for which filter returns true: one slice for
// each job family, with at most limit tasks in the order in which they were
// queued.
func (o *Order) Waiting(limit int, filter func(Item) bool) [][]Item {
	var waiting [][]Item
	for _, queue := range o.families {
		var items []Item
		for _, q := range queue.items {
			if len(items) >= limit {
				break
			}
			if !q.removed && filter(q.Item) {
				items = append(items, q.Item)
			}
		}
		if len(items) > 0 {
			waiting = append(waiting, items)
		}
	}
	return waiting
}

// CountQueued returns the number of queued tasks of a share.
func (o *Order) CountQueued(shareName string) int {
	if t, ok := o.shares[shareName]; ok {
		return t.queued
	}
	return 0
}
