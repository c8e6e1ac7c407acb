package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxInterferenceWait is how long a task waits until it is placed even where it harms a service.
const maxInterferenceWait = 30 * time.Minute

// defaultMaxCandidates is the default of Pool.Candidates, which bounds the workers that one decision compares.
const defaultMaxCandidates = 16

// Choose returns the worker that a task is best placed on. The error is a
// *FullError if there is no room now, or an *UnschedulableError if there can
// never be.
func (p *Pool) Choose(c Candidate, now time.Time) (string, error) {
	if err := p.checkQuota(c); err != nil {
		return "", err
	}
	p.findEligible(c, now)
	if len(p.eligible) == 0 {
		p.reserve(c, now)
		return "", p.capacityError(c)
	}
	best, interferes := p.cheapest(c)
	if best < 0 || (interferes && !c.Urgent && !c.hasWaited(maxInterferenceWait, now)) {
		return "", &FullError{Task: c.Task, Reason: Interfering}
	}
	return p.workers[best].ID, nil
}

// hasWaited reports whether the task has been queued for a time.
func (c Candidate) hasWaited(d time.Duration, now time.Time) bool {
	return !c.Queued.IsZero() && now.Sub(c.Queued) >= d
}

func (p *Pool) checkQuota(c Candidate) error {
	q, bounded := p.quotas[c.Share]
	if !bounded {
		return nil
	}
	if !c.Size.Fits(q.total) {
		return &UnschedulableError{Task: c.Task, Reason: fmt.Sprintf(
			"it takes %s, more than the quota of share %s, %s", c.Size, c.Share, q.total)}
	}
	if !p.used[c.Share].Plus(c.Size).Fits(q.allocation) {
		return &FullError{Task: c.Task, Reason: QuotaUsed}
	}
	return nil
}

// findEligible finds up to p.Candidates workers with room. It visits workers in
// a pseudo-random order that covers all of them, so that it misses room only
// if there is none.
func (p *Pool) findEligible(c Candidate, now time.Time) {
	p.eligible = p.eligible[:0]
	n := len(p.workers)
	if n == 0 {
		return
	}
	i := p.random.IntN(n)
	stride := p.strides[p.random.IntN(len(p.strides))]
	for range n {
		if c.Size.Fits(p.free[i]) && p.allows(i, c, now) {
			p.eligible = append(p.eligible, i)
			if len(p.eligible) >= p.Candidates {
				return
			}
		}
		if i += stride; i >= n {
			i -= n
		}
	}
}

func (p *Pool) allows(i int, c Candidate, now time.Time) bool {
	id := p.workers[i].ID
	if p.workers[i].reservation.excludes(c, now) {
		return false
	}
	if len(c.Avoid) > 0 && slices.Contains(c.Avoid, id) {
		return false
	}
	return p.Health == nil || p.Health.Permits(id, now)
}

// capacityError tells a lack of room now from one that will last.
func (p *Pool) capacityError(c Candidate) error {
	if len(p.workers) == 0 {
		return &FullError{Task: c.Task, Reason: NoRoom}
	}
	for _, s := range p.workers {
		if c.Size.Fits(s.Capacity.Minus(s.Reserved)) {
			return &FullError{Task: c.Task, Reason: NoRoom}
		}
	}
	reason := fmt.Sprintf("it takes %s, and no worker has more than %s", c.Size, p.largest)
	if c.Size.Fits(p.largest) {
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
