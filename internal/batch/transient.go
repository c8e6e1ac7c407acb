package batch

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/precedence"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Long-running tasks keep their processors until their job is cancelled. If they took each processor
// that is free for a moment, short tasks would find none at their next peak, or pieces too small for
// them. New long-running tasks therefore leave what the short tasks of their service, of the same or a
// higher priority, have needed of late, while these find too few.

const (
	// transientEvery is how often the need of short tasks is observed.
	transientEvery = 100 * time.Millisecond
	// shortageAfter is how long a short task waits for processors until that counts as a shortage.
	shortageAfter = 100 * time.Millisecond
	// maxHoldBack is how long a new long-running task is held back, from the submission of its job, over
	// changes of leader and cell. The platform demands that a task is
	// at work 3 s after 6 s in which there was capacity for it.
	maxHoldBack = 8 * time.Second
)

// demandKey identifies the demand of short tasks that new long-running tasks of a queue respect.
type demandKey struct {
	service  string
	priority int
}

// transientDemand is the demand of the short tasks of a service, up to a priority.
type transientDemand struct {
	demand precedence.Demand
	// inUse is what is allocated to such tasks, free what is free on workers with enough for one of
	// them, both when they were last observed and less what was taken since.
	inUse share.MilliCores
	free  share.MilliCores
}

// updateTransientDemand observes the need of short tasks for each queue that has long-running jobs.
func (c *Core) updateTransientDemand(now time.Time) {
	if now.Sub(c.demandAt) < transientEvery {
		return
	}
	c.demandAt = now
	observed := map[demandKey]transientDemand{}
	for _, j := range c.active {
		for _, s := range j.stages {
			if _, known := observed[s.demandKey()]; !known && s.step.LongRunning && !s.step.Filler {
				observed[s.demandKey()] = c.observeTransient(s.demandKey(), now)
			}
		}
	}
	c.transientDemands = observed
}

// observeTransient returns the present demand of the short tasks that count for a key.
func (c *Core) observeTransient(key demandKey, now time.Time) transientDemand {
	var need, tasks share.MilliCores
	shortage := false
	for _, j := range c.active {
		if j.Policy.Service != key.service || j.Policy.Priority > key.priority {
			continue
		}
		for _, s := range j.stages {
			if s.queued > 0 && s.isTransient() {
				need += share.MilliCores(s.queued) * s.step.Size.Processors
				tasks += share.MilliCores(s.queued)
				shortage = shortage || s.nextTaskWait(now) >= shortageAfter
			}
		}
	}
	d := transientDemand{}
	for _, w := range c.accepting {
		if w.Service != key.service {
			continue
		}
		for _, r := range w.runs {
			if s := r.task.stage; s.isTransient() && s.job.Policy.Priority <= key.priority {
				d.inUse += s.step.Size.Processors
				tasks++
			}
		}
	}
	need += d.inUse
	mean := need / max(1, tasks)
	for _, w := range c.accepting {
		if free := w.free().Processors; w.Service == key.service && free >= mean {
			d.free += free
		}
	}
	d.demand = c.transientDemands[key].demand.WithObservation(need, now)
	if shortage {
		d.demand = d.demand.WithShortage(now)
	}
	return d
}

// isTransient reports whether the stage's tasks end by themselves and are allocated processors.
func (s *stage) isTransient() bool { return !s.step.LongRunning && !s.step.Filler }

// demandKey returns the key of the demand that the stage's tasks respect if they are new and long-running.
func (s *stage) demandKey() demandKey {
	return demandKey{service: s.job.Policy.Service, priority: s.job.Policy.Priority}
}

// isNewLongRunning reports whether the stage has long-running tasks that are allocated processors, of
// which those that are queued have not run yet.
func (s *stage) isNewLongRunning() bool {
	return s.step.LongRunning && !s.step.Filler && !s.isInterrupted()
}

// isHeldBack reports whether a stage waits because its new long-running tasks would leave too few
// processors to short tasks. It waits no longer than maxHoldBack.
func (c *Core) isHeldBack(s *stage, now time.Time) bool {
	if !s.isNewLongRunning() || now.Sub(c.submittedAt(s)) >= maxHoldBack {
		return false
	}
	d := c.transientDemands[s.demandKey()]
	return !d.demand.LeavesRoom(d.inUse, d.free, share.MilliCores(s.queued)*s.step.Size.Processors, now)
}

// recordTaken deducts what a number of new long-running tasks of a stage have taken from what is free
// for short ones.
func (c *Core) recordTaken(s *stage, tasks int) {
	if tasks == 0 || !s.step.LongRunning || s.step.Filler {
		return
	}
	if d, known := c.transientDemands[s.demandKey()]; known {
		d.free -= min(d.free, share.MilliCores(tasks)*s.step.Size.Processors)
		c.transientDemands[s.demandKey()] = d
	}
}
