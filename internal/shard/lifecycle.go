package shard

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// maxRetryWait bounds the delay before a failed task is retried.
const maxRetryWait = time.Minute

// apply applies an event to a task's state. If the state chart allows the event, apply also updates
// whatever depends on the state: the queues, the reservation on the worker, the task's job and the
// open batch. It reports whether the event was allowed.
func (c *Core) apply(e *taskEntry, event task.Event, now time.Time) bool {
	next, err := e.State.Next(event)
	if err != nil {
		return false
	}
	before := e.State
	e.State = next
	if before.Placed() && !next.Placed() {
		c.removeFromWorker(e, now)
	}
	switch {
	case event == task.Unfit || event == task.Fit:
		// Whether a task is schedulable isn't committed, because the next leader determines it
		// again.
	case before != next:
		c.markTask(e)
	}
	c.dequeue(e, before)
	if next == task.Yielding || next == task.Stopping {
		c.planner.MarkLeaving(e.Worker, e.id)
	}
	switch {
	case next == task.Queued && before != task.Queued:
		e.queuedAt = now
		c.enqueue(e, now)
	case next.Final() && !before.Final() && e.job.originShard == "":
		c.addUsageToJob(e)
		c.changes.ends.add(e.job, next)
		c.finishJob(e.job, now)
	}
	if e.job.originShard != "" && next != before {
		c.handleForeignChange(e)
	}
	return true
}

// dequeue removes a task from the queues of its previous state.
func (c *Core) dequeue(e *taskEntry, before task.State) {
	switch before {
	case task.Queued:
		c.order.Remove(e.id)
		delete(c.delayed, e)
	case task.Unschedulable:
		delete(c.unschedulable, e)
	}
}

// removeFromWorker frees what a task has reserved on its worker and adds its usage to that of its
// ended incarnations.
func (c *Core) removeFromWorker(e *taskEntry, now time.Time) {
	c.changes.workers[e.Worker] = true
	if w, ok := c.workers[e.Worker]; ok {
		delete(w.tasks, e.id)
	}
	c.planner.End(e.Worker, e.id, placement.OutcomeMoved, now)
	e.EndedUsage = e.Usage()
	e.LiveUsage = worker.Usage{}
	e.Worker = ""
	e.Size = zeroSize
	e.UsageReadAt = time.Time{}
}

// addUsageToJob adds the usage of an ended task to its job.
func (c *Core) addUsageToJob(e *taskEntry) {
	e.job.Usage = e.job.Usage.Plus(e.Usage())
	e.EndedUsage = worker.Usage{}
	e.LiveUsage = worker.Usage{}
	e.Checkpoint = ""
	c.markJob(e.job)
}

// handleEnd applies a worker's report that a task's current incarnation has ended.
func (c *Core) handleEnd(e *taskEntry, row worker.TaskReport, now time.Time) {
	workerID := e.Worker
	e.LiveUsage = row.Usage
	switch row.State {
	case worker.TaskFinished:
		c.planner.RecordFinished(workerID, e.job.Name, row.Size)
		c.runTimes.observe(e.job.Name, now.Sub(e.placedAt))
		c.apply(e, task.Finish, now)
	case worker.TaskFailed:
		c.handleFailure(e, row.Reason, now)
	default:
		if row.Checkpoint != "" {
			e.Checkpoint = row.Checkpoint
		}
		c.apply(e, task.Ended, now)
	}
}

// handleFailure applies a failure of a task's current incarnation: the task is retried after a
// delay that doubles with each failure, or fails for good.
func (c *Core) handleFailure(e *taskEntry, reason string, now time.Time) {
	c.recordFailure(e, reason, now)
	e.Failures++
	e.Reason = reason
	e.avoidWorkers = []string{e.Worker}
	e.notBefore = now.Add(min(maxRetryWait, c.timing.RetryAfter<<min(e.Failures-1, 8)))
	event := task.Fail
	if f, ok := c.families[e.job.Name]; ok && e.Failures >= f.MaxStarts {
		event = task.Exhausted
	}
	c.apply(e, event, now)
}

// recordFailure records a failure on a worker, and adds a notice if the worker is quarantined for
// it.
func (c *Core) recordFailure(e *taskEntry, reason string, now time.Time) {
	before := c.health.Quarantined(e.Worker)
	c.health.Failed(e.Worker, e.job.Name, e.placedAt, now)
	if !before && c.health.Quarantined(e.Worker) {
		c.notify(Notice{Event: eventlog.WorkerQuarantined, Job: e.job.Name, Task: e.id, Worker: e.Worker, Reason: reason})
	}
}
