package shard

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/task"
)

const (
	// endDelayDivisor bounds how late the end of a task is seen, as a part of its
	// run time so far or of its family's mean, whichever is longer.
	endDelayDivisor = 20
	// runTimeWindow is how many finished tasks the mean run time of a family is taken over.
	runTimeWindow = 16
	// watchedTailRatio is the part of its objective beyond which a service's tail is followed closely.
	watchedTailRatio = 0.8
	// intervalJitter is the part of a pace by which the times between exchanges differ.
	intervalJitter = 0.1
	// takeoverTime bounds the time from the end of a lost holder's lease to the next one's exchanges.
	takeoverTime = 1500 * time.Millisecond
)

// IdleIntervalLimit returns the longest Quiet with which the tasks of a holder that
// is lost without a sign outlast its lease in the store and the take-over.
func (t Timing) IdleIntervalLimit(ttl time.Duration) time.Duration {
	return time.Duration(float64(t.Lease-ttl-takeoverTime) / (1 + intervalJitter))
}

// runTimes are the mean run times of job families, of the tasks that finished lately.
type runTimes map[string]time.Duration

// observe takes the run time of a finished task.
func (r runTimes) observe(job string, took time.Duration) {
	mean, known := r[job]
	if !known {
		r[job] = took
		return
	}
	r[job] = mean + (took-mean)/runTimeWindow
}

// ExchangeInterval returns how soon a worker is to be spoken to again: after busy at
// least, and after Timing.IdleInterval at most. What is durable and is to be sent does
// not wait for it.
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

// needsAttention reports whether something about a worker is open, its tasks apart.
func (c *Core) needsAttention(w *workerEntry) bool {
	unanswered := !w.fenced || !w.unansweredSince.IsZero()
	open := len(w.acks)+len(w.orphans)+len(w.pendingThrottles) > 0
	strained := len(w.tasks) > 0 && c.planner.Strain(w.id) > watchedTailRatio
	return unanswered || open || strained || w.leaving()
}

// throttled reports whether a worker said that a task keeps only a part of its processors.
func (e *taskEntry) throttled() bool { return e.ratio > 0 && e.ratio < 1 }

// needsCommand reports whether a task asks its worker for something, and that is durable.
func (c *Core) needsCommand(e *taskEntry) bool { return e.State != task.Running && c.isDurable(e) }

// hasCommands reports whether there is something to be sent to a worker.
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
