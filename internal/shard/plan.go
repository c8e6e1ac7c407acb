package shard

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// enqueue adds a queued task to the order of placement, or to the delayed tasks if its retry isn't
// due.
func (c *Core) enqueue(e *taskEntry, now time.Time) {
	if e.notBefore.After(now) {
		c.delayed[e] = true
		return
	}
	c.order.Push(placement.Item{
		Task:     e.id,
		Job:      e.job.Name,
		Share:    e.job.Share,
		Urgent:   c.families[e.job.Name].Urgent,
		QueuedAt: e.queuedAt,
	})
}

// restorePlacement reserves the resources of a restored task on its worker. The start time of the
// task is not known, so it counts as started now.
func (c *Core) restorePlacement(e *taskEntry, now time.Time) {
	c.planner.Start(e.Worker, placement.Resident{
		Task:   e.id,
		Group:  e.Job,
		Job:    e.job.Name,
		Share:  e.job.Share,
		Size:   e.Size,
		Urgent: c.families[e.job.Name].Urgent,
	}, now)
}

// Plan handles whatever is due, such as expired leases and retries, and places queued tasks. The
// resulting commands are sent only once the open batch is durable.
func (c *Core) Plan(now time.Time) {
	c.expireWorkers(now)
	c.removeTerminated(now)
	c.sweep(now)
	c.drainLeaving(now)
	for _, e := range sortedByName(c.delayed) {
		if !e.notBefore.After(now) {
			delete(c.delayed, e)
			c.enqueue(e, now)
		}
	}
	c.recheckUnschedulable(now)
	c.place(now)
	c.findSlowed(now)
}

// IsIdle reports whether nothing waits to be placed, retried or committed.
func (c *Core) IsIdle() bool {
	return c.order.Len() == 0 && len(c.delayed) == 0 && !c.HasChanges()
}

// maxPlaced bounds the tasks that one call of Plan places, so that a call stays short.
const maxPlaced = 2000

// place places queued tasks on workers, in the fair order of their shares, until none fits or
// maxPlaced were placed.
func (c *Core) place(now time.Time) {
	round := c.order.Round(now)
	for placed := 0; placed < maxPlaced; {
		item, ok := round.Next()
		if !ok {
			return
		}
		e := c.tasks[item.Task]
		if e == nil || e.State != task.Queued {
			round.Drop()
			continue
		}
		candidate, err := c.candidate(e)
		id := ""
		if err == nil {
			id, candidate.Size, err = c.planner.Place(candidate, now)
		}
		var unschedulable *placement.UnschedulableError
		switch {
		case err == nil:
			round.MarkPlaced(c.cost(candidate.Size))
			c.placeOn(e, id, candidate, now)
			placed++
		case errors.As(err, &unschedulable):
			round.Drop()
			c.setUnschedulable(e, unschedulable.Reason, now)
		default:
			c.preemptFor(round.Waiting(maxPreemptedFor), candidate, err, now)
			round.Skip()
		}
	}
}

// candidate returns the planner's view of a queued task.
func (c *Core) candidate(e *taskEntry) (placement.Candidate, error) {
	f, ok := c.families[e.job.Name]
	if !ok {
		return placement.Candidate{}, &placement.UnschedulableError{Task: e.id, Reason: "its job family is withdrawn"}
	}
	return placement.Candidate{
		Task:     e.id,
		Group:    e.Job,
		Job:      f.Name,
		Share:    e.job.Share,
		Size:     f.Size,
		Urgent:   f.Urgent,
		QueuedAt: e.queuedAt,
		Avoid:    c.avoid(e),
	}, nil
}

// lostLookback is how many of a task's last incarnations are checked for being lost.
const lostLookback = 8

// avoid returns the workers on which a task must not be placed: the worker on which it failed,
// unless that is the only one, and workers that may still report the end of a lost incarnation of
// the task. Starting the next incarnation there would make them forget the lost one.
func (c *Core) avoid(e *taskEntry) []string {
	var avoid []string
	if len(c.workers) > 1 {
		avoid = slices.Clone(e.avoidWorkers)
	}
	for i := e.Incarnation; i > max(0, e.Incarnation-lostLookback); i-- {
		if l, ok := c.lost[worker.Ack{Task: e.id, Incarnation: i}]; ok {
			avoid = append(avoid, l.Worker)
		}
	}
	return avoid
}

// cost returns what a task of the given size counts against its share in the fair order: its
// processors, in cores.
func (c *Core) cost(size share.Resources) float64 {
	return max(0.001, float64(size.Processors)/1000)
}

// placeOn places a task on a worker, as a new incarnation.
func (c *Core) placeOn(e *taskEntry, id string, candidate placement.Candidate, now time.Time) {
	e.Worker = id
	e.Size = candidate.Size
	e.Incarnation++
	e.placedAt = now
	e.UsageReadAt = now
	e.Reason = ""
	c.apply(e, task.Place, now)
	c.worker(id).tasks[e.id] = e
	c.planner.Start(id, candidate.Resident(now), now)
}

// setUnschedulable marks a task as unschedulable, and adds a notice if the reason is new for its
// job family.
func (c *Core) setUnschedulable(e *taskEntry, reason string, now time.Time) {
	c.apply(e, task.Unfit, now)
	e.Reason = reason
	c.unschedulable[e] = true
	if c.reportedReasons[e.job.Name] != reason {
		c.reportedReasons[e.job.Name] = reason
		c.notify(Notice{Event: eventlog.TaskUnschedulable, Job: e.job.Name, Task: e.id, Reason: reason})
	}
}

// recheckInterval is how often unschedulable tasks are checked again.
const recheckInterval = 5 * time.Second

// recheckUnschedulable queues the unschedulable tasks that can run again because the
// configuration or the workers have changed.
func (c *Core) recheckUnschedulable(now time.Time) {
	if now.Before(c.nextRecheck) {
		return
	}
	c.nextRecheck = now.Add(recheckInterval)
	unfitFamilies := map[string]bool{}
	for _, e := range sortedByName(c.unschedulable) {
		if unfitFamilies[e.job.Name] {
			continue
		}
		candidate, err := c.candidate(e)
		if err == nil {
			_, _, err = c.planner.Place(candidate, now)
		}
		var unschedulable *placement.UnschedulableError
		if errors.As(err, &unschedulable) {
			unfitFamilies[e.job.Name] = true
			continue
		}
		e.Reason = ""
		c.apply(e, task.Fit, now)
	}
}

// drainLeaving makes the tasks on leaving workers yield with a checkpoint, so that they continue on
// other workers. Tasks that can't make a checkpoint keep running.
func (c *Core) drainLeaving(now time.Time) {
	var leaving []*workerEntry
	for _, w := range c.workers {
		if w.leaving() {
			leaving = append(leaving, w)
		}
	}
	sortWorkers(leaving)
	canYield := func(e *taskEntry) bool { return e.State == task.Running && c.families[e.job.Name].Checkpoints }
	for _, w := range leaving {
		for _, e := range w.sortedTasksWhere(canYield) {
			c.apply(e, task.Yield, now)
		}
	}
}

// maxPreemptedFor bounds the urgent tasks of one family for which others are preempted in one
// round.
const maxPreemptedFor = 16

// preemptFor preempts other tasks in favour of the waiting urgent tasks of a family. candidate is
// the first of the waiting tasks, and err why it could not be placed.
func (c *Core) preemptFor(waiting []placement.Item, candidate placement.Candidate, err error, now time.Time) {
	var full *placement.FullError
	if !candidate.Urgent || !errors.As(err, &full) {
		return
	}
	switch full.Reason {
	case placement.QuotaExhausted:
		if now.Sub(candidate.QueuedAt) >= quotaPreemptionDelay {
			c.preemptWithinShare(candidate, now)
		}
	case placement.NoFreeCapacity:
		for _, item := range waiting {
			e, ok := c.tasks[item.Task]
			if !ok {
				continue
			}
			next, err := c.candidate(e)
			if err != nil {
				return
			}
			for _, a := range c.planner.Preempt(next, now) {
				c.preempt(c.tasks[a.Task], e.id, now)
			}
		}
	}
}

// quotaPreemptionDelay is how long an urgent task waits for its share's quota before other tasks of
// the share yield to it.
const quotaPreemptionDelay = time.Second

// preemptWithinShare preempts tasks of the urgent candidate's own share, the most recently placed
// first, until the candidate fits the share's quota. It preempts none if even all of them would not
// suffice.
func (c *Core) preemptWithinShare(candidate placement.Candidate, now time.Time) {
	quota, _ := c.pool.Quota(candidate.Share)
	used := c.pool.Used(candidate.Share).Plus(candidate.Size)
	var preemptible []*taskEntry
	for _, w := range c.workers {
		for _, e := range w.tasks {
			if e.job.Share != candidate.Share {
				continue
			}
			switch {
			case e.State == task.Yielding || e.State == task.Stopping:
				used = used.Minus(e.Size)
			case c.isPreemptible(e):
				preemptible = append(preemptible, e)
			}
		}
	}
	slices.SortFunc(preemptible, newestFirst)
	n := 0
	for ; n < len(preemptible) && !used.Fits(quota); n++ {
		used = used.Minus(preemptible[n].Size)
	}
	if !used.Fits(quota) {
		return
	}
	for _, e := range preemptible[:n] {
		c.preempt(e, candidate.Task, now)
	}
}

// isPreemptible reports whether a task may be preempted by an urgent one.
func (c *Core) isPreemptible(e *taskEntry) bool {
	f := c.families[e.job.Name]
	return e.State == task.Running && f.Checkpoints && !f.Urgent
}

// newestFirst orders tasks by the time of their placement, the most recent first.
func newestFirst(a, b *taskEntry) int {
	return cmp.Or(b.placedAt.Compare(a.placedAt), cmp.Compare(a.id, b.id))
}

// preempt makes a task yield to an urgent one.
func (c *Core) preempt(e *taskEntry, urgent string, now time.Time) {
	c.notify(Notice{
		Event: eventlog.TasksPreempted, Job: e.job.Name, Task: e.id, Worker: e.Worker, Reason: "for " + urgent,
	})
	c.apply(e, task.Yield, now)
}

// Yield makes a running task stop and be queued again, with a checkpoint if its family can make
// one.
func (c *Core) Yield(id string, now time.Time) {
	if e, ok := c.tasks[id]; ok && e.State == task.Running {
		c.apply(e, task.Yield, now)
	}
}

// Throttle limits a running task to a fraction of its processors. A ratio of 1 lifts the limit.
func (c *Core) Throttle(id string, ratio float64) {
	e, ok := c.tasks[id]
	if !ok || e.State != task.Running {
		return
	}
	c.worker(e.Worker).pendingThrottles[id] = ratio
	c.changes.workers[e.Worker] = true
}
