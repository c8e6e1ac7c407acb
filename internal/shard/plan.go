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

// enqueue puts a queued task where Plan finds it.
func (c *Core) enqueue(e *entry, now time.Time) {
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

// hold reserves the room of a recovered task on its worker; since when it runs is not known.
func (c *Core) hold(e *entry, now time.Time) {
	c.planner.Start(e.Worker, placement.Resident{
		Task:   e.id,
		Group:  e.Job,
		Job:    e.job.Name,
		Share:  e.job.Share,
		Size:   e.Size,
		Urgent: c.families[e.job.Name].Urgent,
	}, now)
}

// Plan lets time pass and places queued tasks. Nothing is sent before the
// batch that it opens is durable.
func (c *Core) Plan(now time.Time) {
	c.lapse(now)
	c.forget(now)
	c.sweep(now)
	c.clear(now)
	for _, e := range sortedTasks(c.delayed) {
		if !e.notBefore.After(now) {
			delete(c.delayed, e)
			c.enqueue(e, now)
		}
	}
	c.refit(now)
	c.place(now)
	c.findSlowed(now)
}

// IsIdle reports whether nothing waits to be placed or committed.
func (c *Core) IsIdle() bool {
	return c.order.Len() == 0 && len(c.delayed) == 0 && !c.HasChanges()
}

// maxPlaced bounds the tasks that one call of Plan places, so that a call stays short.
const maxPlaced = 2000

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
		var never *placement.UnschedulableError
		switch {
		case err == nil:
			round.MarkPlaced(c.cost(candidate.Size))
			c.placeOn(e, id, candidate, now)
			placed++
		case errors.As(err, &never):
			round.Drop()
			c.setUnfit(e, never.Reason, now)
		default:
			c.makeRoom(round.Waiting(maxRoomMade), candidate, err, now)
			round.Skip()
		}
	}
}

// candidate returns a queued task as placement regards it.
func (c *Core) candidate(e *entry) (placement.Candidate, error) {
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

// lostLookback is how many incarnations back a task's lost ones are looked for.
const lostLookback = 8

// avoid returns the worker that a task failed on, unless there is no other, and
// those that may still report the end of a lost incarnation: a start of the
// next one there would let them forget it.
func (c *Core) avoid(e *entry) []string {
	var avoid []string
	if len(c.workers) > 1 {
		avoid = slices.Clone(e.avoid)
	}
	for i := e.Incarnation; i > max(0, e.Incarnation-lostLookback); i-- {
		if l, ok := c.lost[worker.Ack{Task: e.id, Incarnation: i}]; ok {
			avoid = append(avoid, l.Worker)
		}
	}
	return avoid
}

// cost is what a task takes for the order of shares: its processors, in cores.
func (c *Core) cost(size share.Resources) float64 {
	return max(0.001, float64(size.Processors)/1000)
}

func (c *Core) placeOn(e *entry, id string, candidate placement.Candidate, now time.Time) {
	e.Worker = id
	e.Size = candidate.Size
	e.Incarnation++
	e.placedAt = now
	e.ReadAt = now
	e.Reason = ""
	c.apply(e, task.Place, now)
	c.worker(id).tasks[e.id] = e
	c.planner.Start(id, candidate.Resident(now), now)
}

func (c *Core) setUnfit(e *entry, reason string, now time.Time) {
	c.apply(e, task.Unfit, now)
	e.Reason = reason
	c.unfit[e] = true
	if c.told[e.job.Name] != reason {
		c.told[e.job.Name] = reason
		c.notify(Notice{Event: eventlog.TaskUnschedulable, Job: e.job.Name, Task: e.id, Reason: reason})
	}
}

// refitEvery is how often unschedulable tasks are looked at again.
const refitEvery = 5 * time.Second

// refit queues the tasks that can run again after a change of configuration or workers.
func (c *Core) refit(now time.Time) {
	if now.Before(c.refitAt) {
		return
	}
	c.refitAt = now.Add(refitEvery)
	never := map[string]bool{}
	for _, e := range sortedTasks(c.unfit) {
		if never[e.job.Name] {
			continue
		}
		candidate, err := c.candidate(e)
		if err == nil {
			_, _, err = c.planner.Place(candidate, now)
		}
		var unschedulable *placement.UnschedulableError
		if errors.As(err, &unschedulable) {
			never[e.job.Name] = true
			continue
		}
		e.Reason = ""
		c.apply(e, task.Fit, now)
	}
}

// clear lets the tasks of leaving workers yield, so that they go on elsewhere.
func (c *Core) clear(now time.Time) {
	var leaving []*workerEntry
	for _, w := range c.workers {
		if w.leaving() {
			leaving = append(leaving, w)
		}
	}
	sortWorkers(leaving)
	canYield := func(e *entry) bool { return e.State == task.Running && c.families[e.job.Name].Checkpoints }
	for _, w := range leaving {
		for _, e := range w.sortedWhere(canYield) {
			c.apply(e, task.Yield, now)
		}
	}
}

// maxRoomMade bounds the urgent tasks of one family that room is made for in one round.
const maxRoomMade = 16

// makeRoom lets other tasks yield to the urgent ones of a family that wait in
// vain; the first of them is the candidate.
func (c *Core) makeRoom(waiting []placement.Item, candidate placement.Candidate, err error, now time.Time) {
	var full *placement.FullError
	if !candidate.Urgent || !errors.As(err, &full) {
		return
	}
	switch full.Reason {
	case placement.QuotaExhausted:
		if now.Sub(candidate.QueuedAt) >= quotaAfter {
			c.makeQuota(candidate, now)
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
				c.displace(c.tasks[a.Task], e.id, now)
			}
		}
	}
}

// quotaAfter is how long an urgent task waits for its share's quota before
// other tasks of the share yield to it.
const quotaAfter = time.Second

// makeQuota lets tasks of an urgent one's own share yield, the newest first,
// until the share's quota holds it.
func (c *Core) makeQuota(candidate placement.Candidate, now time.Time) {
	quota, _ := c.pool.Quota(candidate.Share)
	used := c.pool.Used(candidate.Share).Plus(candidate.Size)
	var own []*entry
	for _, w := range c.workers {
		for _, e := range w.tasks {
			if e.job.Share != candidate.Share {
				continue
			}
			switch {
			case e.State == task.Yielding || e.State == task.Stopping:
				used = used.Minus(e.Size)
			case c.mayBeDisplaced(e):
				own = append(own, e)
			}
		}
	}
	slices.SortFunc(own, newestFirst)
	n := 0
	for ; n < len(own) && !used.Fits(quota); n++ {
		used = used.Minus(own[n].Size)
	}
	if !used.Fits(quota) {
		return
	}
	for _, e := range own[:n] {
		c.displace(e, candidate.Task, now)
	}
}

// mayBeDisplaced reports whether a task may yield to an urgent one.
func (c *Core) mayBeDisplaced(e *entry) bool {
	f := c.families[e.job.Name]
	return e.State == task.Running && f.Checkpoints && !f.Urgent
}

// newestFirst orders tasks by when they were placed.
func newestFirst(a, b *entry) int {
	return cmp.Or(b.placedAt.Compare(a.placedAt), cmp.Compare(a.id, b.id))
}

// displace lets a task yield to an urgent one.
func (c *Core) displace(e *entry, urgent string, now time.Time) {
	c.notify(Notice{
		Event: eventlog.TasksPreempted, Job: e.job.Name, Task: e.id, Worker: e.Worker, Reason: "for " + urgent,
	})
	c.apply(e, task.Yield, now)
}

// Yield lets a running task give way: with a checkpoint if its family can make one.
func (c *Core) Yield(id string, now time.Time) {
	if e, ok := c.tasks[id]; ok && e.State == task.Running {
		c.apply(e, task.Yield, now)
	}
}

// Throttle lets a running task keep only a part of its processors; 1 lifts it.
func (c *Core) Throttle(id string, ratio float64) {
	e, ok := c.tasks[id]
	if !ok || e.State != task.Running {
		return
	}
	c.worker(e.Worker).ratios[id] = ratio
	c.changes.workers[e.Worker] = true
}
