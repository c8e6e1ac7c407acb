package batch

import (
	"slices"
	"time"
)

// A filler task may be expected to interfere with serving tasks on every worker, or find no idle
// processors for as long as tasks that are throttled hold them. So that its job does not wait without
// bound, one task of a job without runs becomes overdue: it is placed where it interferes least, and
// the throttling that limits missed targets decides how fast it runs there.

const (
	// overdueAfter is how long a filler task of a job without runs waits until it is overdue while
	// its service is mostly free, if overdueJobAge has passed since the job was submitted. While the
	// service is busy it waits for overdueAfterBusy.
	overdueAfter     = 1500 * time.Millisecond
	overdueJobAge    = 8 * time.Second
	overdueAfterBusy = 60 * time.Second
	// overdueAfterRestore is overdueAfter for a task that has waited under an earlier leader or in another cell,
	// for an unknown time.
	overdueAfterRestore = 500 * time.Millisecond
	// mostlyFree is the share of a service's processors below which it counts as mostly free if no
	// more are allocated.
	mostlyFree = 0.55
	// maxOverduePerWorker limits the runs on a worker that were overdue when they were placed, so that
	// suspended runs do not accumulate there. While the service is mostly free, an overdue task that finds no
	// worker for exceedLimitAfter is placed all the same: its wait must be bounded however many there are.
	maxOverduePerWorker = 2
	exceedLimitAfter    = 250 * time.Millisecond
	// weightOverdueRun spreads overdue tasks over the workers, weightOverLimit those over the limit evenly,
	// whatever interference is expected.
	weightOverdueRun = 1.0
	weightOverLimit  = 10_000.0
)

// isOverdue reports whether a filler task is placed despite the interference that is expected of it.
func (c *Core) isOverdue(t *task, now time.Time) bool {
	return c.isOverdueInFreeService(t, 0, now) || now.Sub(t.queuedAt) >= overdueAfterBusy && t.mayBeOverdue()
}

// mayExceedLimit reports whether a task is placed although its workers have maxOverduePerWorker overdue runs.
func (c *Core) mayExceedLimit(t *task, now time.Time) bool {
	return c.isOverdueInFreeService(t, exceedLimitAfter, now)
}

// isOverdueInFreeService reports whether a filler task has been overdue for a time, in a service that is mostly free.
func (c *Core) isOverdueInFreeService(t *task, since time.Duration, now time.Time) bool {
	return now.Sub(t.queuedAt) >= t.overdueAfter()+since && now.Sub(c.submittedAt(t.stage)) >= overdueJobAge+since &&
		t.mayBeOverdue() && c.isMostlyFree(t.stage.job.Policy.Service)
}

// overdueAfter returns how long the task waits under this leader until it may be overdue.
func (t *task) overdueAfter() time.Duration {
	if t.queuedAt.Equal(t.stage.job.restoredAt) {
		return overdueAfterRestore
	}
	return overdueAfter
}

// mayBeOverdue reports whether the task is a waiting filler task of a job without runs. Runs of its own gang do not
// count, since its tasks are placed together.
func (t *task) mayBeOverdue() bool {
	s := t.stage
	return s.step.Filler && t.state == taskQueued && (!s.job.hasRuns() || s.step.Gang && !s.job.hasRunsBeside(s))
}

// hasRunsBeside reports whether any task of another stage of the job has a run.
func (j *job) hasRunsBeside(s *stage) bool {
	return slices.ContainsFunc(j.stages, func(o *stage) bool { return o != s && o.hasRuns() })
}

// hasRuns reports whether any task of the job has a run.
func (j *job) hasRuns() bool { return slices.ContainsFunc(j.stages, (*stage).hasRuns) }

// isMostlyFree reports whether few of the processors of a service are allocated.
func (c *Core) isMostlyFree(service string) bool {
	use := c.serviceUse[service]
	return float64(use.allocated) < mostlyFree*float64(use.capacity)
}

// serviceUse is the sum of the processors of the workers of a service that are listed, do not drain and are not
// evacuated, and what is allocated of them, in thousandths of a core. A worker that accepts no runs for a while counts.
type serviceUse struct {
	capacity  int64
	allocated int64
}

// updateServiceUse updates c.serviceUse from c.sortedWorkers.
func (c *Core) updateServiceUse() {
	if c.serviceUse == nil {
		c.serviceUse = map[string]serviceUse{}
	}
	clear(c.serviceUse)
	for _, w := range c.sortedWorkers {
		if !w.isUsable() || w.Draining || c.isEvacuated(w) {
			continue
		}
		use := c.serviceUse[w.Service]
		use.capacity += int64(w.Capacity.Processors)
		use.allocated += int64(w.allocated.Processors)
		c.serviceUse[w.Service] = use
	}
}

// throttledOverdue returns the processors, in thousandths of a core, that runs on the worker leave to
// others because they are throttled, of the runs that were overdue when they were placed. Such a run
// may be suspended for long and holds no more than it uses.
func (w *worker) throttledOverdue() float64 {
	if w.overdueRuns == 0 {
		return 0
	}
	left := 0.0
	for _, r := range w.runs {
		if r.overdue {
			left += float64(r.task.stage.step.Size.Processors) * (1 - float64(r.throttleRatio)/unthrottled)
		}
	}
	return left
}

// mayRunOverdue reports whether a worker has idle processors by measurement for a task that is overdue.
func (c *Core) mayRunOverdue(t *task, w *worker, now time.Time) bool {
	return c.isOverdue(t, now) && (w.overdueRuns < maxOverduePerWorker || c.mayExceedLimit(t, now)) && !w.hasStarved(now) &&
		w.measuredIdle(now) >= minIdleShare*float64(t.stage.step.Size.Processors)
}

// overdueScore rates a worker for an overdue task; higher is better. It prefers workers with idle
// processors on which little interference is expected and few other tasks were overdue.
func (c *Core) overdueScore(t *task, w *worker, now time.Time) float64 {
	s := t.stage
	score := (w.measuredIdle(now)-float64(s.step.Size.Processors))/float64(max(1, w.Capacity.Processors)) - weightOverdueRun*float64(w.overdueRuns)
	score -= weightOverLimit * float64(max(0, w.overdueRuns+1-maxOverduePerWorker))
	if len(w.servingImages) > 0 {
		p := c.estimatePlacement(s.image, s.step.cpuShare(w), w)
		score -= weightNetProgress*(1-p.netProgress(initialMissCost)) + weightMissFree*(1-p.missFreeProbability)
	}
	return score
}
