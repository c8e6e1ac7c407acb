package batch

import (
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

// failures are workers that have failed at the same time.
type failures []failure

// unexplainedBy returns the number of failures that neither a task of a job nor an isolated run can have caused.
func (fs failures) unexplainedBy(j *job) int {
	n := 0
	for _, f := range fs {
		if !f.isolated && !slices.Contains(f.suspects, j) {
			n++
		}
	}
	return n
}

// haveCommonCause reports whether a crash together with these failures is no evidence against the tasks of a job.
func (fs failures) haveCommonCause(j *job) bool { return fs.unexplainedBy(j) >= commonCauseFailures }

// newFailure returns the failure of a worker that has not answered since.
func newFailure(w *worker) failure {
	f := failure{worker: w.ID, at: w.aliveAt, isolated: w.isolated != nil}
	for _, r := range w.runs {
		if r.lasted() < earlyCrash && !slices.Contains(f.suspects, r.task.stage.job) {
			f.suspects = append(f.suspects, r.task.stage.job)
		}
	}
	return f
}

// failedWith returns the other workers that have failed at the same time as a worker that has crashed, whether
// they have crashed or do not answer yet. It is not known of workers that have never answered this leader.
func (c *Core) failedWith(w *worker) failures {
	if w.aliveAt.IsZero() {
		return nil
	}
	c.recentCrashes = slices.DeleteFunc(c.recentCrashes, func(f failure) bool {
		return w.aliveAt.Sub(f.at) > 2*c.timing.MaxLease
	})
	var found failures
	crashed := map[string]bool{}
	for _, f := range c.recentCrashes {
		if f.worker != w.ID && w.aliveAt.Sub(f.at).Abs() < commonCauseWithin {
			found, crashed[f.worker] = append(found, f), true
		}
	}
	for _, o := range c.workers {
		if o != w && !crashed[o.ID] && !o.unresponsiveSince.IsZero() && w.aliveAt.Sub(o.aliveAt).Abs() < commonCauseWithin {
			found = append(found, newFailure(o))
		}
	}
	// Several answers may show the same crash, the later ones after its runs were lost.
	if !slices.ContainsFunc(c.recentCrashes, func(f failure) bool { return f.worker == w.ID && f.at.Equal(w.aliveAt) }) {
		c.recentCrashes = append(c.recentCrashes, newFailure(w))
	}
	return found
}
