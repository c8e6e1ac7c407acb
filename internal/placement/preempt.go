package placement

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/precedence"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// preemptAfter is how long an urgent task waits before other tasks are preempted for it.
	preemptAfter = time.Second
	// claimDuration is how long preempted capacity is kept for an urgent task.
	claimDuration = 10 * time.Second
	// maxPreemptCandidates bounds the workers that one call of Preempt compares.
	maxPreemptCandidates = 8
)

// claim is capacity on a worker that is kept for an urgent task while the evicted
// tasks leave.
type claim struct {
	worker string
	size   share.Resources
	until  time.Time
}

// Preempt returns the evictions that free capacity for an urgent task that has
// been queued for preemptAfter and that Place could not place. The evicted tasks
// run on one worker, are not urgent, lose the least run time and are marked as
// leaving. The freed capacity is claimed for the urgent task for claimDuration.
// Preempt returns nothing while the task has such a claim, if enough tasks of a
// worker are leaving already, or if no worker can free enough.
func (p *Planner) Preempt(c Candidate, now time.Time) []Action {
	p.dropExpiredClaims(now)
	_, claimed := p.claims[c.Task]
	if claimed || !c.Urgent || now.Sub(c.QueuedAt) < preemptAfter {
		return nil
	}
	c.Size, _ = p.Sizes.Estimate(c.Job, p.families[c.Job].Declared, p.Pool.largestFor(c.Share))
	var best []Action
	var bestLost time.Duration
	var chosen *workerState
	tried := 0
	for _, i := range p.Pool.shuffledWorkers() {
		s := p.Pool.workers[i]
		if !s.Accepting || !p.Pool.allows(i, c, now) {
			continue
		}
		actions, lost, ok := p.cheapestDisplacement(s, c, now)
		if ok && (chosen == nil || lost < bestLost) {
			best, bestLost, chosen = actions, lost, s
		}
		if tried++; tried >= maxPreemptCandidates && chosen != nil {
			break
		}
	}
	if chosen != nil {
		p.addClaim(chosen, c, now)
	}
	for _, a := range best {
		p.MarkLeaving(a.Worker, a.Task)
	}
	return best
}

// addClaim claims capacity that becomes free on a worker for an urgent task, and
// reserves the worker for it unless it is reserved for another task.
func (p *Planner) addClaim(s *workerState, c Candidate, now time.Time) {
	until := now.Add(claimDuration)
	p.claims[c.Task] = claim{worker: s.ID, size: c.Size, until: until}
	if s.reservation.task == "" || !now.Before(s.reservation.until) {
		p.Pool.unreserve(s.reservation.task)
		p.Pool.unreserve(c.Task)
		p.Pool.reserved[c.Task] = s
		s.reservation = reservation{task: c.Task, until: until}
	}
}

// dropExpiredClaims deletes the claims that have expired.
func (p *Planner) dropExpiredClaims(now time.Time) {
	for task, c := range p.claims {
		if !now.Before(c.until) {
			delete(p.claims, task)
		}
	}
}

// unclaimedCapacity returns the free capacity of a worker less the claims on it.
func (p *Planner) unclaimedCapacity(s *workerState) share.Resources {
	free := s.freeCapacity()
	for _, c := range p.claims {
		if c.worker == s.ID {
			free = free.Minus(c.size)
		}
	}
	return free
}

// cheapestDisplacement returns the evictions from a worker that free capacity for
// a candidate at the least loss of run time, that loss, and whether they suffice.
func (p *Planner) cheapestDisplacement(s *workerState, c Candidate, now time.Time) ([]Action, time.Duration, bool) {
	free := p.unclaimedCapacity(s)
	var evictable []ResidentView
	var occupants []precedence.Occupant
	for _, r := range p.residents(s.ID, now) {
		if r.Leaving {
			free = free.Plus(r.Size)
		} else if !r.Urgent {
			evictable = append(evictable, r)
			occupants = append(occupants, precedence.Occupant{Size: r.Size, Lost: r.lostRunTime()})
		}
	}
	d, ok := precedence.CheapestDisplacement(c.Size, free, occupants)
	var actions []Action
	for _, i := range d.Evicted {
		actions = append(actions, Action{Kind: evictable[i].removalAction(), Worker: s.ID, Task: evictable[i].Task})
	}
	return actions, d.Lost, ok
}

// removalAction returns the mildest action that removes the task from its worker.
func (r ResidentView) removalAction() share.YieldAction {
	if r.Checkpoints {
		return share.YieldCheckpoint
	}
	return share.YieldEvict
}

// shuffledWorkers returns the indexes of all workers in a pseudo-random order.
func (p *Pool) shuffledWorkers() []int {
	n := len(p.workers)
	if n == 0 {
		return nil
	}
	order := make([]int, n)
	i := p.random.IntN(n)
	stride := p.strides[p.random.IntN(len(p.strides))]
	for position := range order {
		order[position] = i
		i = (i + stride) % n
	}
	return order
}
