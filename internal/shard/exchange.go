package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// sortedTasks returns the tasks of a worker, sorted by name.
func (w *workerEntry) sortedTasks() []*taskEntry {
	return w.sortedTasksWhere(func(*taskEntry) bool { return true })
}

// sortedTasksWhere returns the tasks of a worker that meet a condition, sorted by name.
func (w *workerEntry) sortedTasksWhere(matches func(e *taskEntry) bool) []*taskEntry {
	var tasks []*taskEntry
	for _, e := range w.tasks {
		if matches(e) {
			tasks = append(tasks, e)
		}
	}
	sortByName(tasks)
	return tasks
}

// Workers returns the addresses of the workers to contact, by name.
func (c *Core) Workers() map[string]string {
	addresses := map[string]string{}
	for id, w := range c.workers {
		if w.address != "" {
			addresses[id] = w.address
		}
	}
	return addresses
}

// Address returns the address of a worker, or "" if it is not listed.
func (c *Core) Address(id string) string {
	if w, ok := c.workers[id]; ok {
		return w.address
	}
	return ""
}

// NextExchange returns the next request to a worker, or false if the worker isn't known. Without
// commands it only renews leases: a leader that may have lost its shard must not start tasks. The
// caller makes only one exchange with a worker at a time.
func (c *Core) NextExchange(id string, commands bool, now time.Time) (worker.Exchange, bool) {
	w, ok := c.workers[id]
	if !ok {
		return worker.Exchange{}, false
	}
	w.sequence++
	if w.unansweredSince.IsZero() {
		w.unansweredSince = now
	}
	if w.lastContact.After(w.leaseBase) {
		c.extendLease(w, now)
	}
	e := worker.Exchange{
		Sequence: w.sequence,
		Boot:     w.boot,
		Stamp:    w.stamp,
		Lease:    w.lease,
		Full:     w.needsFullReport || now.Sub(w.lastFullReport) >= c.timing.FullEvery,
	}
	if w.boot == "" {
		return e, true
	}
	if commands {
		e.Commands = c.commands(w)
		e.Acks = c.takeAcks(w)
	}
	return e, true
}

// extendLease sets the lease that the next exchange grants, so that the worker's tasks may run for
// a full lease from now. The worker counts the lease from its last stamp. The time that has passed
// since that stamp arrived is therefore added, less the greatest drift. It is computed once per
// report, so that repeated exchanges don't extend the lease of a worker that no longer responds.
func (c *Core) extendLease(w *workerEntry, now time.Time) {
	w.leaseBase = w.lastContact
	w.lease = c.timing.Lease + c.timing.minWithDrift(now.Sub(w.lastContact))
}

// commands returns the commands for a worker. A command to start, checkpoint or stop a task is
// included only once the task's state is durable.
func (c *Core) commands(w *workerEntry) []worker.Command {
	var commands []worker.Command
	for _, e := range w.sortedTasksWhere(c.needsCommand) {
		if command, ok := c.command(e); ok {
			commands = append(commands, command)
		}
	}
	for orphan := range w.orphans {
		commands = append(commands, worker.Command{Kind: worker.Stop, Task: orphan.Task, Incarnation: orphan.Incarnation})
	}
	for _, id := range slices.Sorted(maps.Keys(w.pendingThrottles)) {
		if e, ok := w.tasks[id]; ok && e.State == task.Running {
			commands = append(commands, worker.Command{
				Kind: worker.Throttle, Task: id, Incarnation: e.Incarnation, Ratio: w.pendingThrottles[id],
			})
		}
	}
	return commands
}

// command returns the command that follows from the state of a task, if any.
func (c *Core) command(e *taskEntry) (worker.Command, bool) {
	command := worker.Command{Task: e.id, Incarnation: e.Incarnation}
	switch e.State {
	case task.Starting:
		command.Kind = worker.Start
		command.Job = e.job.Name
		command.Size = e.Size
		command.Resume = e.Checkpoint
	case task.Yielding:
		command.Kind = worker.Stop
		if c.families[e.job.Name].Checkpoints {
			command.Kind = worker.Checkpoint
		}
	case task.Stopping:
		command.Kind = worker.Stop
	default:
		return command, false
	}
	return command, true
}

// takeAcks removes and returns the acknowledgements whose batch is durable. If one is lost in
// transit, the worker repeats its report, and a new one is made.
func (c *Core) takeAcks(w *workerEntry) []worker.Ack {
	var acks []worker.Ack
	var kept []pendingAck
	for _, a := range w.acks {
		if a.batch > c.changes.durable {
			kept = append(kept, a)
			continue
		}
		acks = append(acks, a.Ack)
	}
	w.acks = kept
	return acks
}

// ApplyReport applies a worker's report, which is the response to the last exchange.
func (c *Core) ApplyReport(r worker.Report, now time.Time) {
	w, ok := c.workers[r.Worker]
	if !ok {
		return
	}
	w.fenced = true
	w.boot, w.stamp, w.lastContact = r.Boot, r.Stamp, now
	w.usageReadAt = w.unansweredSince.Add(-r.MeasuredAge)
	w.unansweredSince = time.Time{}
	if w.leaseBase.IsZero() {
		// All leases of previous leaders were granted before this report.
		w.leaseBase, w.lease = now, c.timing.Lease
	}
	w.acks = nil
	w.needsFullReport = false
	seen := map[worker.Ack]bool{}
	clear(w.orphans)
	for _, row := range r.Tasks {
		seen[worker.Ack{Task: row.Task, Incarnation: row.Incarnation}] = true
		c.applyTaskReport(w, row, now)
	}
	for _, f := range r.Refused {
		c.handleRefusal(w, f, now)
	}
	if r.Full {
		w.lastFullReport = now
		c.endMissing(w, seen, now)
		c.dropUnknownLost(w, seen)
	}
	for _, e := range w.tasks {
		w.needsFullReport = w.needsFullReport || e.State == task.Stopping || e.State == task.Yielding
	}
	c.recordMeasurements(w, r, now)
	c.scheduleLearned(now)
	c.yieldTasks(w, now)
	c.setAccepting(w, now)
}

// applyTaskReport applies the reported state of one incarnation.
func (c *Core) applyTaskReport(w *workerEntry, row worker.TaskReport, now time.Time) {
	ack := worker.Ack{Task: row.Task, Incarnation: row.Incarnation}
	e, current := w.tasks[row.Task]
	if current && e.Incarnation != row.Incarnation {
		current = false
	}
	switch {
	case current && !row.State.Final():
		c.applyRunning(w, e, row, now)
	case current:
		c.handleEnd(e, row, now)
		w.acks = append(w.acks, pendingAck{Ack: ack, batch: c.PendingBatch()})
	case row.State.Final():
		c.recoverUsage(row)
		w.acks = append(w.acks, pendingAck{Ack: ack, batch: c.PendingBatch()})
	default:
		w.orphans[ack] = true
	}
}

// applyRunning applies a report that a task's current incarnation is running.
func (c *Core) applyRunning(w *workerEntry, e *taskEntry, row worker.TaskReport, now time.Time) {
	if e.State == task.Starting {
		e.usageSavedAt = now
		c.apply(e, task.Started, now)
	}
	e.LiveUsage = row.Usage
	e.UsageReadAt = w.usageReadAt
	if e.throttleRatio != row.Ratio {
		e.throttleRatio = row.Ratio
		c.planner.Throttle(w.id, e.id, row.Ratio, now)
	}
	if w.pendingThrottles[e.id] == row.Ratio {
		delete(w.pendingThrottles, e.id)
	}
	if now.Sub(e.usageSavedAt) >= c.timing.UsageEvery {
		e.usageSavedAt = now
		c.markTask(e)
	}
}

// handleRefusal requeues a task whose start a worker refused. The worker won't execute the start
// later, because it rejects exchanges with older sequence numbers.
func (c *Core) handleRefusal(w *workerEntry, f worker.Refusal, now time.Time) {
	e, ok := w.tasks[f.Task]
	if !ok || e.Incarnation != f.Incarnation {
		return
	}
	e.avoidWorkers = []string{w.id}
	e.notBefore = now.Add(c.timing.RetryAfter)
	c.apply(e, task.Ended, now)
}

// endMissing ends the tasks that are missing from a worker's full report. It skips tasks that are
// still starting: their start command may not have arrived and is sent again.
func (c *Core) endMissing(w *workerEntry, seen map[worker.Ack]bool, now time.Time) {
	missing := func(e *taskEntry) bool {
		return e.State != task.Starting && !seen[worker.Ack{Task: e.id, Incarnation: e.Incarnation}]
	}
	for _, e := range w.sortedTasksWhere(missing) {
		c.apply(e, task.Ended, now)
	}
}

// leaving reports whether a worker is being drained.
func (w *workerEntry) leaving() bool { return w.state == roster.Leaving }
