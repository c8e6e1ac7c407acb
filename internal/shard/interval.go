package shard

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/task"
)

const (
	// endDelayDivisor bounds the delay until the end of a task is noticed: to one twentieth of its
	// run time so far or of its family's mean run time, whichever is longer.
	endDelayDivisor = 20
	// runTimeWindow sets the weight of a finished task in the moving average of its family's run
	// times, which is 1/runTimeWindow.
	runTimeWindow = 16
	// watchedTailRatio is the ratio of a service's tail latency to its limit above which its worker
	// is contacted at the shortest interval.
	watchedTailRatio = 0.8
	// intervalJitter is the fraction by which the times between exchanges vary, both ways.
	intervalJitter = 0.1
	// takeoverTime bounds the time from the expiry of a failed leader's lease in the store to the
	// exchanges of the next leader.
	takeoverTime = 1500 * time.Millisecond
)

// IdleIntervalLimit returns the longest IdleInterval with which running tasks survive a crash of
// their leader: their leases must outlast the leader's lease in the store, which lasts ttl, and the
// takeover.
func (t Timing) IdleIntervalLimit(ttl time.Duration) time.Duration {
	return time.Duration(float64(t.Lease-ttl-takeoverTime) / (1 + intervalJitter))
}

// runTimes are moving averages of the run times of finished tasks, by job family.
type runTimes map[string]time.Duration

// observe adds the run time of a finished task.
func (r runTimes) observe(job string, runTime time.Duration) {
	mean, known := r[job]
	if !known {
		r[job] = runTime
		return
	}
	r[job] = mean + (runTime-mean)/runTimeWindow
}

// ExchangeInterval returns how long to wait before the next exchange with a worker: busy if the
// worker needs attention, and otherwise up to Timing.IdleInterval. Commands that have become
// durable don't wait for it.
func (c *Core) ExchangeInterval(id string, busy time.Duration, now time.Time) time.Duration {
	w, ok := c.workers[id]
	if !ok || c.needsAttention(w) {
		return busy
	}
	interval := c.timing.IdleInterval
	for _, e := range w.tasks {
		if e.State != task.Running || e.throttled() {
			return busy
		}
		interval = min(interval, max(now.Sub(e.placedAt), c.runTimes[e.job.Name])/endDelayDivisor)
	}
	return max(busy, interval)
}

// needsAttention reports whether a worker is to be contacted at the shortest interval for a reason
// other than the states of its tasks: a missing response, something to acknowledge or stop, a high
// tail latency, or that it is being drained.
func (c *Core) needsAttention(w *workerEntry) bool {
	unanswered := !w.fenced || !w.unansweredSince.IsZero()
	pending := len(w.acks)+len(w.orphans)+len(w.pendingThrottles) > 0
	highTail := len(w.tasks) > 0 && c.planner.Strain(w.id) > watchedTailRatio
	return unanswered || pending || highTail || w.leaving()
}

// throttled reports whether the worker has reported that the task is throttled.
func (e *taskEntry) throttled() bool { return e.throttleRatio > 0 && e.throttleRatio < 1 }

// needsCommand reports whether a task's state may require a command to its worker, and is durable
// so that the command may be sent.
func (c *Core) needsCommand(e *taskEntry) bool { return e.State != task.Running && c.isDurable(e) }

// hasCommands reports whether commands for a worker can be sent now.
func (c *Core) hasCommands(id string) bool {
	w, ok := c.workers[id]
	if !ok {
		return false
	}
	for _, e := range w.tasks {
		if c.needsCommand(e) {
			return true
		}
	}
	return len(w.orphans)+len(w.pendingThrottles) > 0
}
