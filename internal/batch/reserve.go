package batch

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// A large long-running task that has lost its worker may wait for ever, because smaller tasks use
// each bit of capacity as soon as it becomes free. A worker is therefore reserved for a task that
// has waited long enough; other tasks get only the capacity that the task does not need there.
// Tasks that have not run before get no reservation: if the long-running tasks need more than the
// whole pool, reservations for them would leave no capacity for other work.

const (
	// reserveAfter is how long a long-running task waits after its last run before a worker is
	// reserved for it, waits in earlier terms and in other cells included. The platform allows 6 s
	// between two runs, and most other tasks end within two.
	reserveAfter = 1500 * time.Millisecond
	// reserveEvery is how often workers are searched for reservations. A search checks each worker.
	reserveEvery = 200 * time.Millisecond
	// maxReservation limits how long a worker stays reserved if the runs there do not end.
	maxReservation = 5 * time.Second
	// maxFailedReservations limits the stages for which no worker is found in one search, since each
	// of them costs a look at the whole pool. Such a stage is skipped for reservationRetryAfter.
	maxFailedReservations = 16
	reservationRetryAfter = time.Second
	// workersPerReservation is the number of workers accepting runs for each permitted reservation.
	workersPerReservation = 8
)

// endReservations ends the reservations that are no longer needed or have lasted too long.
func (c *Core) endReservations(now time.Time) {
	c.reserved = slices.DeleteFunc(c.reserved, func(w *worker) bool {
		if c.mayReserve(w.reservedFor, w, now) && now.Sub(w.reservedAt) < maxReservation {
			return false
		}
		w.reservedFor = nil
		c.markChanged(w)
		return true
	})
}

// makeReservations reserves workers for waiting tasks in the order of placement. It is called after
// placement.
func (c *Core) makeReservations(waiting []rank, now time.Time) {
	if now.Sub(c.reservationsAt) < reserveEvery {
		return
	}
	c.reservationsAt = now
	// failedSizes has, by service, the size of a task for which no suitable worker was found.
	failedSizes := map[string]share.Resources{}
	failed := 0
	for _, r := range waiting {
		s := r.stage
		failedSize, known := failedSizes[s.job.Policy.Service]
		if !s.wantsReservation() || known && failedSize.Fits(s.step.Size) || now.Sub(s.reservationFailedAt) < reservationRetryAfter {
			continue
		}
		if c.reserveFor(s, now) {
			continue
		}
		if s.step.isUnconstrained() && !c.isAdvised(s) {
			failedSizes[s.job.Policy.Service] = s.step.Size
			continue
		}
		s.reservationFailedAt = now
		if failed++; failed == maxFailedReservations {
			return
		}
	}
}

// isUnconstrained reports whether only free capacity and interference decide where the step's tasks
// run.
func (s *Step) isUnconstrained() bool { return s.RequiredLabel == "" && s.MaxPerWorker == 0 }

// wantsReservation reports whether a worker may be reserved for tasks of the stage.
func (s *stage) wantsReservation() bool {
	return s.queued > 0 && s.step.LongRunning && !s.step.Filler && !s.step.Gang
}

// wantsReservation reports whether the task has lost its run and has waited long enough.
func (t *task) wantsReservation(now time.Time) bool {
	return t.state == taskQueued && t.lastRun > 0 && !now.Before(t.notBefore) && now.Sub(t.queuedAt)+t.waitedBefore >= reserveAfter
}

// reserveFor reserves workers for the waiting tasks of a stage, up to the limit. It returns false
// if no suitable worker was found for one of them.
func (c *Core) reserveFor(s *stage, now time.Time) bool {
	limit := max(1, len(c.accepting)/workersPerReservation)
	for _, t := range s.tasks {
		if len(c.reserved) >= limit {
			return true
		}
		if !t.wantsReservation(now) || c.hasReserved(t) {
			continue
		}
		w := c.closestToFitting(t, now)
		if w == nil {
			return false
		}
		w.reservedFor, w.reservedAt = t, now
		c.reserved = append(c.reserved, w)
		c.note(Note{Kind: NoteReserved, Task: t.name(), Run: t.lastRun, Worker: w.ID, Age: now.Sub(t.queuedAt)})
	}
	return true
}

// mayReserve reports whether a worker may be reserved, or stay reserved, for a task: the task could
// run there but for a lack of capacity, and the capacity will suffice once the runs that are not
// long-running have ended.
func (c *Core) mayReserve(t *task, w *worker, now time.Time) bool {
	if t.state != taskQueued || t.stage.job.state.isClosed() || !c.acceptsRuns(w, now) {
		return false
	}
	switch c.obstacle(t, w, now) {
	case noObstacle, NoProcessors, NoMemoryOrAccelerators:
		return t.stage.step.Size.Fits(w.free().Plus(w.transientUse()))
	}
	return false
}

// hasReserved reports whether a worker is reserved for a task.
func (c *Core) hasReserved(t *task) bool {
	return slices.ContainsFunc(c.reserved, func(w *worker) bool { return w.reservedFor == t })
}

// closestToFitting returns the worker that can be reserved for a task and lacks the fewest
// processors for it, or nil.
func (c *Core) closestToFitting(t *task, now time.Time) *worker {
	var best *worker
	var least share.MilliCores
	for _, w := range c.accepting {
		c.work.Examined++
		if w.reservedFor != nil || !c.mayReserve(t, w, now) {
			continue
		}
		if missing := t.stage.step.Size.Processors - w.free().Processors; best == nil || missing < least {
			best, least = w, missing
		}
	}
	return best
}

// transientUse returns what is allocated to runs that are not long-running.
func (w *worker) transientUse() share.Resources {
	var sum share.Resources
	for _, r := range w.runs {
		if r.task.stage.step.LongRunning {
			continue
		}
		sum = sum.Plus(r.task.stage.step.allocation())
	}
	return sum
}

// freeFor returns the resources that a task may be allocated on a worker, without those that are
// reserved for another task.
func (w *worker) freeFor(t *task) share.Resources {
	free := w.free()
	if w.reservedFor != nil && w.reservedFor != t {
		free = free.Minus(w.reservedFor.stage.step.Size)
	}
	return free
}
