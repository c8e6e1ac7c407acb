package placement

import (
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// CountPlaceable returns how many tasks like a candidate could be placed now, at most limit.
func (p *Planner) CountPlaceable(c Candidate, limit int, now time.Time) int {
	id, size, err := p.Place(c, now)
	if err != nil || id == "" {
		return 0
	}
	if _, most := p.Sizes.Estimate(c.Job, p.families[c.Job].Declared, p.Pool.greatestFor(c.Share)); most > 0 && !c.Urgent {
		limit = min(limit, most-p.running[c.Job])
	}
	if q, bounded := p.Pool.quotas[c.Share]; bounded {
		limit = min(limit, times(size, q.part.Minus(p.Pool.used[c.Share]), limit))
	}
	c.Size = size
	return min(limit, p.Pool.times(c, limit, now))
}

// times returns how many tasks of a candidate's size the workers could take, at most limit.
func (p *Pool) times(c Candidate, limit int, now time.Time) int {
	n := 0
	for i := range p.workers {
		if n >= limit {
			break
		}
		if p.permits(i, c, now) {
			n += times(c.Size, p.free[i], limit-n)
		}
	}
	return n
}

// times returns how often a size fits into what is free, at most limit.
func times(size, free share.Resources, limit int) int {
	n := 0
	for n < limit && size.Times(n+1).Fits(free) {
		n++
	}
	return n
}

// CouldFit reports whether a worker that accepts tasks, and the share's part
// of its quota, are large enough for a size when nothing else runs.
func (p *Pool) CouldFit(name string, size share.Resources) bool {
	if q, bounded := p.quotas[name]; bounded && !size.Fits(q.part) {
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
	for _, l := range o.lines {
		var items []Item
		for _, q := range l.items {
			if len(items) >= limit {
				break
			}
			if !q.gone && filter(q.Item) {
				items = append(items, q.Item)
			}
		}
		if len(items) > 0 {
			all = append(all, items)
		}
	}
	return all
}

// CountQueued returns how many tasks of a share are queued.
func (o *Order) CountQueued(name string) int {
	if t, ok := o.shares[name]; ok {
		return t.queued
	}
	return 0
}
