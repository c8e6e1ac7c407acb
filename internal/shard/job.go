package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/task"
)

// Submit adds a range of a job's tasks. A repeat has no effect. The tasks are accepted once the
// open batch is durable.
func (c *Core) Submit(p task.Part, now time.Time) (task.Status, error) {
	if _, known := c.jobs[p.ID]; known {
		return c.Describe(p.Neighbour, p.ID)
	}
	if f, ok := c.families[p.Name]; !ok || f.Neighbour != p.Neighbour {
		return task.Status{}, &task.RefusedError{Reason: fmt.Sprintf("no job family %q", p.Name)}
	}
	j := c.addJob(task.Job{Part: p})
	c.markJob(j)
	for _, t := range j.tasks {
		t.queuedAt = now
		// A queued task has no record of its own. It is durable once its job is.
		t.changed = c.changes.open
		c.enqueue(t, now)
	}
	return c.Describe(p.Neighbour, p.ID)
}

// Describe returns the status of a neighbour's job.
func (c *Core) Describe(neighbour, id string) (task.Status, error) {
	j, ok := c.jobs[id]
	if !ok || j.Neighbour != neighbour {
		return task.Status{}, &task.NotFoundError{ID: id}
	}
	return j.status(), nil
}

// DescribeStored is like Describe, as far as the status is durable: a task whose end is not committed
// counts as stopping if it was cancelled, and otherwise as running.
func (c *Core) DescribeStored(neighbour, id string) (task.Status, error) {
	s, err := c.Describe(neighbour, id)
	if err != nil {
		return s, err
	}
	for _, ends := range []jobEnds{c.changes.ends, c.changes.sentEnds} {
		for state, n := range ends[c.jobs[id]] {
			before := task.Running
			if state == task.Cancelled {
				before = task.Stopping
			}
			s.States[before] += n
			if s.States[state] -= n; s.States[state] == 0 {
				delete(s.States, state)
			}
		}
	}
	return s, nil
}

// jobEnds counts tasks that have ended, by job and final state.
type jobEnds map[*jobEntry]map[task.State]int

func (e jobEnds) add(j *jobEntry, state task.State) {
	if e[j] == nil {
		e[j] = map[task.State]int{}
	}
	e[j][state]++
}

func (j *jobEntry) status() task.Status {
	s := task.Status{ID: j.ID, Job: j.Name, States: maps.Clone(j.Counts), Reason: j.Reason}
	if s.States == nil {
		s.States = map[task.State]int{}
	}
	for _, t := range j.tasks {
		state, reason := t.reportedState()
		s.States[state]++
		if reason != "" && (state == task.Unschedulable || s.Reason == "") {
			s.Reason = reason
		}
	}
	return s
}

// Cancel cancels the tasks of a job that have not ended. Running tasks are stopped.
func (c *Core) Cancel(neighbour, id string, now time.Time) (task.Status, error) {
	if _, err := c.Describe(neighbour, id); err != nil {
		return task.Status{}, err
	}
	for _, t := range slices.Clone(c.jobs[id].tasks) {
		if t.State == task.Moved {
			c.cancelMoved(t)
			continue
		}
		if !t.State.Final() && t.State != task.Stopping {
			c.apply(t, task.Cancel, now)
		}
	}
	return c.jobs[id].status(), nil
}

// cancelMoved schedules a notification of a job's cancellation to the shard that has a moved task.
func (c *Core) cancelMoved(e *taskEntry) {
	e.job.Cancelled = true
	c.markJob(e.job)
	c.link(e.MovedTo).pendingCancels[e.Job] = c.changes.open
}

// finishJob replaces the tasks of a job by a count for each state, if all of them have ended.
func (c *Core) finishJob(j *jobEntry, now time.Time) {
	for _, t := range j.tasks {
		if !t.State.Final() {
			return
		}
	}
	s := j.status()
	j.Counts, j.Reason = s.States, s.Reason
	j.EndedAt = now
	c.forgetTasks(j)
	c.markJob(j)
}

// sweepInterval is how often ended jobs and lost incarnations past their retention are dropped.
const sweepInterval = 10 * time.Second

// sweep drops the jobs and lost incarnations whose retention has passed. The usage of the jobs
// moves to the accounts of their shares.
func (c *Core) sweep(now time.Time) {
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(sweepInterval)
	c.sweepLost(now)
	for id, j := range c.jobs {
		if j.EndedAt.IsZero() || now.Sub(j.EndedAt) < c.timing.Retention {
			continue
		}
		c.addToAccount(j.Neighbour, j.Share, j.Usage)
		c.changes.dropped = append(c.changes.dropped, id)
		delete(c.changes.jobs, id)
		delete(c.jobs, id)
	}
}
