package batch

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/precedence"
)

const (
	// preemptAfter is how long a task waits before runs are preempted for it: most tasks that find no
	// capacity get some sooner, as others end.
	preemptAfter = 200 * time.Millisecond
	// preemptEvery is how often workers are searched for tasks that may preempt. A stage for which none
	// is found is skipped for preemptRetryAfter, since such a search costs a look at the whole pool.
	preemptEvery      = 100 * time.Millisecond
	preemptRetryAfter = time.Second
	// maxPreemptions limits how often a task is preempted.
	maxPreemptions = 1
	// restartCost is the run time that a preempted run loses even if its work is saved.
	restartCost = 500 * time.Millisecond
)

// mayPreempt reports whether runs of lower priorities are preempted for the stage's tasks.
func (s *stage) mayPreempt() bool {
	return s.queued > 0 && s.job.Policy.Priority == 0 && !s.step.Filler && !s.step.Gang && !s.isNewLongRunning()
}

// preemptFor preempts runs of lower priorities for tasks that have waited long enough, in the order of
// placement. The worker is reserved for the task while the runs end. It is called after placement.
func (c *Core) preemptFor(waiting []rank, now time.Time) {
	if now.Sub(c.preemptedAt) < preemptEvery {
		return
	}
	c.preemptedAt = now
	if !c.hasPreemptible() {
		return
	}
	for _, r := range waiting {
		s := r.stage
		if s.mayPreempt() && !r.claim.IsUnserved() && now.Sub(s.preemptionFailedAt) >= preemptRetryAfter && !c.preemptForStage(s, now) {
			s.preemptionFailedAt = now
		}
	}
}

// preemptForStage preempts runs for the waiting tasks of a stage, up to the limit of reservations. It
// returns false if no worker was found for one of them.
func (c *Core) preemptForStage(s *stage, now time.Time) bool {
	limit := max(1, len(c.accepting)/workersPerReservation)
	for _, t := range s.tasks {
		if len(c.reserved) >= limit {
			return true
		}
		waits := t.state == taskQueued && !now.Before(t.notBefore) && now.Sub(t.queuedAt) >= preemptAfter
		if waits && !c.hasReserved(t) && !c.preemptForTask(t, now) {
			return false
		}
	}
	return true
}

// hasPreemptible reports whether any job of a priority that may be preempted has runs.
func (c *Core) hasPreemptible() bool {
	return slices.ContainsFunc(c.active, func(j *job) bool { return j.Policy.Priority > 0 && j.hasRuns() })
}

// preemptForTask preempts the runs of one worker that lose the least, and reports whether there is a
// worker where that suffices.
func (c *Core) preemptForTask(t *task, now time.Time) bool {
	var best precedence.Displacement
	var chosen *worker
	for _, w := range c.accepting {
		c.work.Examined++
		if w.reservedFor != nil || !w.mayYieldEnough(t) || !c.lacksOnlyCapacity(t, w, now) {
			continue
		}
		_, occupants := w.preemptible(t, now)
		d, ok := precedence.CheapestDisplacement(t.stage.step.Size, w.free(), occupants)
		if ok && len(d.Evicted) > 0 && (chosen == nil || d.Lost < best.Lost) {
			best, chosen = d, w
		}
	}
	if chosen == nil {
		return false
	}
	runs, _ := chosen.preemptible(t, now)
	for _, i := range best.Evicted {
		r := runs[i]
		r.task.preemptions++
		c.stopRun(r, "preempted for a task of a higher priority", now)
		c.note(Note{Kind: NotePreempted, Task: r.task.name(), Run: r.number, Worker: chosen.ID, Percent: r.progress, Reason: t.name().String()})
	}
	chosen.reservedFor, chosen.reservedAt = t, now
	c.reserved = append(c.reserved, chosen)
	return true
}

// lacksOnlyCapacity reports whether nothing but too little free capacity keeps a task from a worker that
// accepts runs.
func (c *Core) lacksOnlyCapacity(t *task, w *worker, now time.Time) bool {
	s := t.stage
	switch c.obstacle(t, w, now) {
	case NoProcessors, NoMemoryOrAccelerators:
	default:
		return false
	}
	return !s.isAtLimit(w) && s.mayRunOn(w) && (!c.isAdvised(s) || s.hasTicket(w, now))
}

// mayYieldEnough reports whether a worker has enough for a task once all runs of lower priorities have ended.
func (w *worker) mayYieldEnough(t *task) bool {
	free := w.free()
	for _, r := range w.runs {
		if r.mayYieldTo(t) {
			free = free.Plus(r.task.stage.step.allocation())
		}
	}
	return t.stage.step.Size.Fits(free)
}

// mayYieldTo reports whether the run may be preempted for a task.
func (r *run) mayYieldTo(t *task) bool {
	s := r.task.stage
	return r.state == runRunning && s.job.Policy.Priority > t.stage.job.Policy.Priority && !s.step.LongRunning && !s.step.Gang &&
		r.task.preemptions < maxPreemptions
}

// preemptible returns the runs on a worker that may be preempted for a task, and what each occupies.
func (w *worker) preemptible(t *task, now time.Time) ([]*run, []precedence.Occupant) {
	var runs []*run
	var occupants []precedence.Occupant
	for _, r := range sortedRuns(w.runs) {
		if r.mayYieldTo(t) {
			runs = append(runs, r)
			occupants = append(occupants, precedence.Occupant{Size: r.task.stage.step.allocation(), Lost: r.lostTime(now)})
		}
	}
	return runs, occupants
}

// lostTime returns the run time that stopping the run loses. A run with checkpoints writes one when it
// is stopped.
func (r *run) lostTime(now time.Time) time.Duration {
	if r.task.stage.step.Checkpoints {
		return restartCost
	}
	return restartCost + max(0, now.Sub(r.sentAt))
}
