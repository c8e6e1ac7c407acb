package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxInterferenceWait is how long a task waits before it is placed even where it interferes with a service.
const maxInterferenceWait = 30 * time.Minute

// defaultMaxCandidates is the default of Pool.MaxCandidates.
const defaultMaxCandidates = 16

// Choose returns the worker with the lowest cost for a task, among up to
// MaxCandidates workers that have enough free capacity. The error is a *FullError if the task
// cannot be placed now, or an *UnschedulableError if it can never be placed.
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

// hasWaited reports whether the task has been queued for at least d.
func (c Candidate) hasWaited(d time.Duration, now time.Time) bool {
	return !c.QueuedAt.IsZero() && now.Sub(c.QueuedAt) >= d
}

// checkQuota returns a *FullError if too little of the share's quota is free for
// the task, and an *UnschedulableError if the task exceeds the whole quota.
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
		return &FullError{Task: c.Task, Reason: QuotaExhausted}
	}
	return nil
}

// findEligible sets p.eligible to at most p.MaxCandidates workers that have enough
// free capacity for a task and are allowed for it. It visits workers in a
// pseudo-random order that covers all of them, so that it finds none only if
// there is none.
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
			if len(p.eligible) >= p.MaxCandidates {
				return
			}
		}
		if i += stride; i >= n {
			i -= n
		}
	}
}

// allows reports whether reservations, the task's Avoid list and quarantine
// allow the task on a worker.
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

// capacityError returns a *FullError if some worker could hold the task when it
// is empty, and an *UnschedulableError otherwise.
func (p *Pool) capacityError(c Candidate) error {
	if len(p.workers) == 0 {
		return &FullError{Task: c.Task, Reason: NoFreeCapacity}
	}
	for _, s := range p.workers {
		if c.Size.Fits(s.Capacity.Minus(s.Reserved)) {
			return &FullError{Task: c.Task, Reason: NoFreeCapacity}
		}
	}
	reason := fmt.Sprintf("it takes %s, and no worker has more than %s", c.Size, p.largest)
	if c.Size.Fits(p.largest) {
		reason = fmt.Sprintf("it takes %s, and no single worker has all of it", c.Size)
	}
	return &UnschedulableError{Task: c.Task, Reason: reason}
}

// strides returns step widths that have no common divisor with n, so that steps of
// one width, modulo n, visit each of n workers once before any is visited again.
func strides(n int) []int {
	var widths []int
	for s := n/3 + 1; s < n && len(widths) < 8; s += n/16 + 1 {
		if gcd(s, n) == 1 {
			widths = append(widths, s)
		}
	}
	if len(widths) == 0 {
		widths = append(widths, 1)
	}
	return widths
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func compare(a, b string) int { return cmp.Compare(a, b) }
