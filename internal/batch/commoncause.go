package batch

import (
	"maps"
	"slices"
	"time"
)

// Workers that fail at the same time probably have a common cause, such as a loss of power or of the path to the
// leader. Their crashes are no evidence against the tasks that ran there, except for those of one job that may have
// crashed all of them. They count towards maxCrashes all the same: different tasks may crash workers at the same time.

const (
	// A crash has a common cause with others if commonCauseFailures more workers failed within
	// commonCauseWithin of it that the task cannot have crashed.
	commonCauseFailures = 3
	commonCauseWithin   = 300 * time.Millisecond
)

// failure is a worker that has failed, as far as it matters for the blame of tasks on others.
type failure struct {
	worker string
	at     time.Time
	// isolated means that the worker had an isolated run, which may be the cause. suspects are the jobs whose
	// runs had begun shortly before.
	isolated bool
	suspects []*job
}

// isExplainedBy reports whether a task of a job, or an isolated run, can have caused the failure.
func (f failure) isExplainedBy(j *job) bool { return f.isolated || slices.Contains(f.suspects, j) }

// currentFailure returns the failure of a worker that has not answered since, as it was when it was first asked for.
func (w *worker) currentFailure() failure {
	if w.failure.at.Equal(w.aliveAt) {
		return w.failure
	}
	w.failure = failure{worker: w.ID, at: w.aliveAt, isolated: w.isolated != nil}
	for _, runs := range [][]*run{slices.Collect(maps.Values(w.runs)), w.expired} {
		for _, r := range runs {
			if r.lasted() >= earlyCrash {
				continue
			}
			w.failure.isolated = w.failure.isolated || r.expired && r.isolation > 0
			if j := r.task.stage.job; !slices.Contains(w.failure.suspects, j) {
				w.failure.suspects = append(w.failure.suspects, j)
			}
		}
	}
	return w.failure
}

// recordWorkerFailure records that a worker has crashed. Several answers may show the same crash, the later ones after
// its runs were lost. It is not known when workers have failed that have never answered this leader.
func (c *Core) recordWorkerFailure(w *worker) {
	if w.aliveAt.IsZero() {
		return
	}
	c.recentCrashes = slices.DeleteFunc(c.recentCrashes, func(f failure) bool {
		return w.aliveAt.Sub(f.at) > 2*c.timing.MaxLease
	})
	if !slices.ContainsFunc(c.recentCrashes, func(f failure) bool { return f.worker == w.ID && f.at.Equal(w.aliveAt) }) {
		c.recentCrashes = append(c.recentCrashes, w.currentFailure())
	}
}

// hasCommonCause reports whether the crash of a worker is no proof against the tasks of a job: several other
// workers have failed at the same time that these cannot have crashed, whether they have crashed or do not answer yet.
func (c *Core) hasCommonCause(w *worker, j *job) bool {
	if w.aliveAt.IsZero() {
		return false
	}
	n := 0
	isNear := func(at time.Time) bool { return w.aliveAt.Sub(at).Abs() < commonCauseWithin }
	for _, f := range c.recentCrashes {
		if f.worker != w.ID && isNear(f.at) && !f.isExplainedBy(j) {
			if n++; n == commonCauseFailures {
				return true
			}
		}
	}
	for _, o := range c.workers {
		if o == w || o.unresponsiveSince.IsZero() || !isNear(o.aliveAt) || o.currentFailure().isExplainedBy(j) {
			continue
		}
		if slices.ContainsFunc(c.recentCrashes, func(f failure) bool { return f.worker == o.ID && isNear(f.at) }) {
			continue
		}
		if n++; n == commonCauseFailures {
			return true
		}
	}
	return false
}
