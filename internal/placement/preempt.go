package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// preemptAfter is how long an urgent task waits for room before others make room for it.
	preemptAfter = time.Second
	// claimDuration is how long the room that comes up on a worker is kept for an urgent task.
	claimDuration = 10 * time.Second
	// maxPreemptCandidates bounds the workers that one call compares.
	maxPreemptCandidates = 8
)

// claim is the room that comes up on a worker for an urgent task.
type claim struct {
	worker string
	size   share.Resources
	until  time.Time
}

// MakeRoom returns the actions that make room for an urgent task for which
// Place found none: tasks of one worker that are not urgent leave, those that
// lose least, and count as told to. The room is kept for the task for claimTime. Nothing is returned
// while the task has such a claim, if enough leaves a worker already, or if no
// worker can make room.
func (p *Planner) MakeRoom(c Candidate, now time.Time) []Action {
	p.dropExpiredClaims(now)
	_, claimed := p.claims[c.Task]
	if claimed || !c.Urgent || now.Sub(c.Queued) < preemptAfter {
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
		p.Leave(a.Worker, a.Task)
	}
	return best
}

// addClaim keeps the room that comes up on a worker for an urgent task.
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

// dropExpiredClaims drops the claims whose time is over.
func (p *Planner) dropExpiredClaims(now time.Time) {
	for task, c := range p.claims {
		if !now.Before(c.until) {
			delete(p.claims, task)
		}
	}
}

// unclaimedCapacity returns what is left of a worker beside the claims on it.
func (p *Planner) unclaimedCapacity(s *workerState) share.Resources {
	free := s.freeCapacity()
	for _, c := range p.claims {
		if c.worker == s.ID {
			free = free.Minus(c.size)
		}
	}
	return free
}

// cheapestDisplacement returns the cheapest tasks of a worker whose leaving makes room, and
// the run time that is lost.
func (p *Planner) cheapestDisplacement(s *workerState, c Candidate, now time.Time) ([]Action, time.Duration, bool) {
	free := p.unclaimedCapacity(s)
	var all []ResidentView
	for _, r := range p.residents(s.ID, now) {
		if r.Leaving {
			free = free.Plus(r.Size)
		} else if !r.Urgent {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b ResidentView) int {
		return cmp.Or(cmp.Compare(a.lostRunTime(), b.lostRunTime()), cmp.Compare(b.Size.Processors, a.Size.Processors))
	})
	var actions []Action
	var lost time.Duration
	for _, r := range all {
		if c.Size.Fits(free) {
			break
		}
		free = free.Plus(r.Size)
		lost += r.lostRunTime()
		actions = append(actions, Action{Kind: r.removalAction(), Worker: s.ID, Task: r.Task})
	}
	return actions, lost, c.Size.Fits(free)
}

// removalAction returns the milder way of taking the task off.
func (r ResidentView) removalAction() share.YieldAction {
	if r.Checkpoints {
		return share.YieldCheckpoint
	}
	return share.YieldEvict
}

// shuffledWorkers returns all workers in a pseudo-random order.
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
