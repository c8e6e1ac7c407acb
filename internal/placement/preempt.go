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
	// claimTime is how long the room that comes up on a worker is kept for an urgent task.
	claimTime = 10 * time.Second
	// preemptCandidates bounds the workers that one call compares.
	preemptCandidates = 8
)

// claim is the room that comes up on a worker for an urgent task.
type claim struct {
	worker string
	size   share.Resources
	until  time.Time
}

// Preempt returns the actions that make room for an urgent task for which
// Place found none: tasks of one worker that are not urgent leave, those that
// lose least, and count as told to. The room is kept for the task for claimTime. Nothing is returned
// while the task has such a claim, if enough leaves a worker already, or if no
// worker can make room.
func (p *Planner) Preempt(c Candidate, now time.Time) []Action {
	p.dropClaims(now)
	_, claimed := p.claims[c.Task]
	if claimed || !c.Urgent || now.Sub(c.QueuedAt) < preemptAfter {
		return nil
	}
	c.Size, _ = p.Sizes.Estimate(c.Job, p.families[c.Job].Declared, p.Pool.greatestFor(c.Share))
	var best []Action
	var bestLost time.Duration
	var on *state
	tried := 0
	for _, i := range p.Pool.visit() {
		s := p.Pool.workers[i]
		if !s.Accepting || !p.Pool.permits(i, c, now) {
			continue
		}
		actions, lost, ok := p.displace(s, c, now)
		if ok && (on == nil || lost < bestLost) {
			best, bestLost, on = actions, lost, s
		}
		if tried++; tried >= preemptCandidates && on != nil {
			break
		}
	}
	if on != nil {
		p.claim(on, c, now)
	}
	for _, a := range best {
		p.MarkLeaving(a.Worker, a.Task)
	}
	return best
}

// claim keeps the room that comes up on a worker for an urgent task.
func (p *Planner) claim(s *state, c Candidate, now time.Time) {
	until := now.Add(claimTime)
	p.claims[c.Task] = claim{worker: s.ID, size: c.Size, until: until}
	if s.reservation.task == "" || !now.Before(s.reservation.until) {
		p.Pool.unreserve(s.reservation.task)
		p.Pool.unreserve(c.Task)
		p.Pool.reserved[c.Task] = s
		s.reservation = reservation{task: c.Task, until: until}
	}
}

// dropClaims drops the claims whose time is over.
func (p *Planner) dropClaims(now time.Time) {
	for task, c := range p.claims {
		if !now.Before(c.until) {
			delete(p.claims, task)
		}
	}
}

// unclaimed returns what is left of a worker beside the claims on it.
func (p *Planner) unclaimed(s *state) share.Resources {
	free := s.left()
	for _, c := range p.claims {
		if c.worker == s.ID {
			free = free.Minus(c.size)
		}
	}
	return free
}

// displace returns the cheapest tasks of a worker whose leaving makes room, and
// the run time that is lost.
func (p *Planner) displace(s *state, c Candidate, now time.Time) ([]Action, time.Duration, bool) {
	free := p.unclaimed(s)
	var all []ResidentView
	for _, r := range p.residents(s.ID, now) {
		if r.Leaving {
			free = free.Plus(r.Size)
		} else if !r.Urgent {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b ResidentView) int {
		return cmp.Or(cmp.Compare(a.lost(), b.lost()), cmp.Compare(b.Size.Processors, a.Size.Processors))
	})
	var actions []Action
	var lost time.Duration
	for _, r := range all {
		if c.Size.Fits(free) {
			break
		}
		free = free.Plus(r.Size)
		lost += r.lost()
		actions = append(actions, Action{Kind: r.leave(), Worker: s.ID, Task: r.Task})
	}
	return actions, lost, c.Size.Fits(free)
}

// leave returns the milder way of taking the task off.
func (r ResidentView) leave() share.YieldAction {
	if r.Checkpoints {
		return share.YieldCheckpoint
	}
	return share.YieldEvict
}

// visit returns all workers in a pseudo-random order.
func (p *Pool) visit() []int {
	n := len(p.workers)
	if n == 0 {
		return nil
	}
	order := make([]int, n)
	i := p.random.IntN(n)
	stride := p.strides[p.random.IntN(len(p.strides))]
	for at := range order {
		order[at] = i
		i = (i + stride) % n
	}
	return order
}
