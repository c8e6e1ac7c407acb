package placement

import "time"

const (
	// reservationDuration is how long a worker stays reserved unless the reservation is renewed.
	reservationDuration = 30 * time.Second
	// maxReservedFraction is the fraction of all workers that may be reserved at once, but at least one worker.
	maxReservedFraction = 1.0 / 16
)

// reservation keeps the capacity that becomes free on a worker for one task.
type reservation struct {
	task  string
	until time.Time
}

// excludes reports whether a reservation keeps a candidate off its worker. It
// never excludes urgent tasks.
func (r reservation) excludes(c Candidate, now time.Time) bool {
	return r.task != "" && r.task != c.Task && !c.Urgent && now.Before(r.until)
}

// reserve reserves one worker for an overdue task, or renews its reservation.
// Otherwise smaller tasks might keep taking the capacity that becomes free.
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

// unreserve ends the reservation for a task.
func (p *Pool) unreserve(task string) {
	s, ok := p.reserved[task]
	if !ok {
		return
	}
	s.reservation = reservation{}
	delete(p.reserved, task)
}

// mostFree returns the worker with the most free processors among those without a
// reservation on which a task would fit if they were empty, or nil.
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
