package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// harmAfter is how long a task waits until it is placed even where it harms a service.
const harmAfter = 30 * time.Minute

// candidateWorkers is the default of Pool.MaxCandidates, which bounds the workers that one decision compares.
const candidateWorkers = 16

// Choose returns the worker that a task is best placed on. The error is a
// *FullError if there is no room now, or an *UnschedulableError if there can
// never be.
func (p *Pool) Choose(c Candidate, now time.Time) (string, error) {
	if err := p.checkQuota(c); err != nil {
		return "", err
	}
	p.search(c, now)
	if len(p.found) == 0 {
		p.reserve(c, now)
		return "", p.noRoom(c)
	}
	best, harmful := p.best(c)
	if best < 0 || (harmful && !c.Urgent && !c.hasWaited(harmAfter, now)) {
		return "", &FullError{Task: c.Task, Reason: Harmful}
	}
	return p.workers[best].ID, nil
}

// hasWaited reports whether the task has been queued for a time.
func (c Candidate) hasWaited(d time.Duration, now time.Time) bool {
	return !c.QueuedAt.IsZero() && now.Sub(c.QueuedAt) >= d
}

func (p *Pool) checkQuota(c Candidate) error {
	q, bounded := p.quotas[c.Share]
	if !bounded {
		return nil
	}
	if !c.Size.Fits(q.whole) {
		return &UnschedulableError{Task: c.Task, Reason: fmt.Sprintf(
			"it takes %s, more than the quota of share %s, %s", c.Size, c.Share, q.whole)}
	}
	if !p.used[c.Share].Plus(c.Size).Fits(q.part) {
		return &FullError{Task: c.Task, Reason: QuotaExhausted}
	}
	return nil
}

// search finds up to p.Candidates workers with room. It visits workers in
// a pseudo-random order that covers all of them, so that it misses room only
// if there is none.
func (p *Pool) search(c Candidate, now time.Time) {
	p.found = p.found[:0]
	n := len(p.workers)
	if n == 0 {
		return
	}
	i := p.random.IntN(n)
	stride := p.strides[p.random.IntN(len(p.strides))]
	for range n {
		if c.Size.Fits(p.free[i]) && p.permits(i, c, now) {
			p.found = append(p.found, i)
			if len(p.found) >= p.MaxCandidates {
				return
			}
		}
		if i += stride; i >= n {
			i -= n
		}
	}
}

func (p *Pool) permits(i int, c Candidate, now time.Time) bool {
	id := p.workers[i].ID
	if p.workers[i].reservation.bars(c, now) {
		return false
	}
	if len(c.Avoid) > 0 && slices.Contains(c.Avoid, id) {
		return false
	}
	return p.Health == nil || p.Health.Permits(id, now)
}

// noRoom tells a lack of room now from one that will last.
func (p *Pool) noRoom(c Candidate) error {
	if len(p.workers) == 0 {
		return &FullError{Task: c.Task, Reason: NoFreeCapacity}
	}
	for _, s := range p.workers {
		if c.Size.Fits(s.Capacity.Minus(s.Reserved)) {
			return &FullError{Task: c.Task, Reason: NoFreeCapacity}
		}
	}
	reason := fmt.Sprintf("it takes %s, and no worker has more than %s", c.Size, p.greatest)
	if c.Size.Fits(p.greatest) {
		reason = fmt.Sprintf("it takes %s, and no single worker has all of it", c.Size)
	}
	return &UnschedulableError{Task: c.Task, Reason: reason}
}

// strides returns some step widths that visit each of n workers once.
func strides(n int) []int {
	var all []int
	for s := n/3 + 1; s < n && len(all) < 8; s += n/16 + 1 {
		if gcd(s, n) == 1 {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		all = append(all, 1)
	}
	return all
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func compare(a, b string) int { return cmp.Compare(a, b) }
