package shard

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// maxRetryWait bounds the wait of a task between two tries.
const maxRetryWait = time.Minute

// apply takes an event of a task through the chart and does what its new
// state asks. It reports whether the state took the event.
func (c *Core) apply(e *entry, event task.Event, now time.Time) bool {
	next, err := e.State.Next(event)
	if err != nil {
		return false
	}
	before := e.State
	e.State = next
	if before.Placed() && !next.Placed() {
		c.release(e, now)
	}
	switch {
	case event == task.Unfit || event == task.Fit:
		// Found out again by the next holder, so there is nothing to commit.
	case before != next:
		c.mark(e)
	}
	c.leave(e, before)
	if next == task.Yielding || next == task.Stopping {
		c.planner.MarkLeaving(e.Worker, e.id)
	}
	switch {
	case next == task.Queued && before != task.Queued:
		e.queuedAt = now
		c.enqueue(e, now)
	case next.Final() && !before.Final() && e.job.from == "":
		c.fold(e)
		c.endJob(e.job, now)
	}
	if e.job.from != "" && next != before {
		c.changedForeign(e)
	}
	return true
}

// leave takes a task out of the queues that its former state put it in.
func (c *Core) leave(e *entry, before task.State) {
	switch before {
	case task.Queued:
		c.order.Remove(e.id)
		delete(c.delayed, e)
	case task.Unschedulable:
		delete(c.unfit, e)
	}
}

// release takes a task off its worker.
func (c *Core) release(e *entry, now time.Time) {
	c.changes.workers[e.Worker] = true
	if w, ok := c.workers[e.Worker]; ok {
		delete(w.tasks, e.id)
	}
	c.planner.End(e.Worker, e.id, placement.OutcomeMoved, now)
	e.Ended = e.Usage()
	e.Live = worker.Usage{}
	e.Worker = ""
	e.Size = zeroSize
	e.ReadAt = time.Time{}
}

// fold adds the usage of an ended task to its job.
func (c *Core) fold(e *entry) {
	e.job.Usage = e.job.Usage.Plus(e.Usage())
	e.Ended = worker.Usage{}
	e.Live = worker.Usage{}
	e.Checkpoint = ""
	c.markJob(e.job)
}

// end takes the end of the present incarnation as its worker reports it.
func (c *Core) end(e *entry, row worker.TaskReport, now time.Time) {
	on := e.Worker
	e.Live = row.Usage
	switch row.State {
	case worker.TaskFinished:
		c.planner.RecordFinished(on, e.job.Name, row.Size)
		c.runTimes.observe(e.job.Name, now.Sub(e.placedAt))
		c.apply(e, task.Finish, now)
	case worker.TaskFailed:
		c.fail(e, row.Reason, now)
	default:
		if row.Checkpoint != "" {
			e.Checkpoint = row.Checkpoint
		}
		c.apply(e, task.Ended, now)
	}
}

// fail takes a failure of the present incarnation.
func (c *Core) fail(e *entry, reason string, now time.Time) {
	c.blame(e, reason, now)
	e.Failures++
	e.Reason = reason
	e.avoid = []string{e.Worker}
	e.notBefore = now.Add(min(maxRetryWait, c.timing.RetryAfter<<min(e.Failures-1, 8)))
	event := task.Fail
	if f, ok := c.families[e.job.Name]; ok && e.Failures >= f.MaxStarts {
		event = task.Exhausted
	}
	c.apply(e, event, now)
}

// blame takes note of a failure on a worker.
func (c *Core) blame(e *entry, reason string, now time.Time) {
	before := c.health.Quarantined(e.Worker)
	c.health.Failed(e.Worker, e.job.Name, now)
	if !before && c.health.Quarantined(e.Worker) {
		c.notify(Notice{Event: eventlog.WorkerQuarantined, Job: e.job.Name, Task: e.id, Worker: e.Worker, Reason: reason})
	}
}
