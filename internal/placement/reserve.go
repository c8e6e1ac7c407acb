package placement

import "time"

const (
	// reservationDuration is how long a worker stays reserved unless the task asks again.
	reservationDuration = 30 * time.Second
	// maxReservedFraction is the part of all workers that may be reserved at once, though at least one.
	maxReservedFraction = 1.0 / 16
)

// reservation keeps a worker's room for one task that has waited long.
type reservation struct {
	task  string
	until time.Time
}

// excludes reports whether a reservation keeps a candidate away. Urgent tasks are
// not kept away.
func (r reservation) excludes(c Candidate, now time.Time) bool {
	return r.task != "" && r.task != c.Task && !c.Urgent && now.Before(r.until)
}

// reserve keeps the room that comes up on one worker for an overdue task, so
// that smaller tasks do not take it away again and again.
func (p *Pool) reserve(c Candidate, now time.Time) {
	if !c.hasWaited(overdueAfter, now) {
		return
	}
	for task, s := range p.reserved {
		if !now.Before(s.reservation.until) {
			p.unreserve(task)
		}
	}
	s, ok := p.reserved[c.Task]
	if !ok {
		s = p.mostFree(c, now)
		if s == nil || len(p.reserved) >= max(1, int(float64(len(p.workers))*maxReservedFraction)) {
			return
		}
		p.reserved[c.Task] = s
	}
	s.reservation = reservation{task: c.Task, until: now.Add(reservationDuration)}
}

// unreserve gives up what was reserved for a task.
func (p *Pool) unreserve(task string) {
	s, ok := p.reserved[task]
	if !ok {
		return
	}
	s.reservation = reservation{}
	delete(p.reserved, task)
}

// mostFree returns the worker that could hold a task and has most processors
// left, or nil.
func (p *Pool) mostFree(c Candidate, now time.Time) *workerState {
	var best *workerState
	for i, s := range p.workers {
		if s.reservation.task != "" || !s.Accepting || !p.allows(i, c, now) {
			continue
		}
		if !c.Size.Fits(s.Capacity.Minus(s.Reserved)) {
			continue
		}
		if best == nil || s.freeCapacity().Processors > best.freeCapacity().Processors {
			best = s
		}
	}
	return best
}
