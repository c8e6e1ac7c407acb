package batch

import "time"

// Work is what a Core did since the last call of TakeWork, and what it had left to do then.
type Work struct {
	// Plans counts the plans, Searches the searches for a worker in them, and Examined the workers
	// that these searches looked at.
	Plans    int
	Searches int
	Examined int
	// Jobs counts the jobs that have not ended, WaitingStages the stages with queued tasks, and
	// QueuedTasks these tasks.
	Jobs          int
	WaitingStages int
	QueuedTasks   int
	// FillerRuns counts the runs of filler tasks, SuspendedRuns those of them whose throttle ratio is
	// 0. DeclaredIdle is the number of processors, in cores, that are idle on all workers that accept
	// runs, with filler runs counted by their declared size; MeasuredIdle is the same by what they use.
	FillerRuns    int
	SuspendedRuns int
	DeclaredIdle  float64
	MeasuredIdle  float64
	// OldestContact is the longest time since a worker that has runs answered a call.
	OldestContact time.Duration
	// Placed counts the runs whose start commands wait for a commit or to be sent.
	Placed int
	// Uncontacted counts the usable workers that have not answered this leader yet.
	Uncontacted int
	// UnreachedRuns counts the runs on workers that do not answer; UnreachedFor is the longest time
	// until one of them is given up.
	UnreachedRuns int
	UnreachedFor  time.Duration
}

// TakeWork returns the work since its last call.
func (c *Core) TakeWork(now time.Time) Work {
	work := c.work
	c.work = Work{}
	work.Jobs = len(c.active)
	for _, j := range c.active {
		for _, s := range j.stages {
			if s.queued > 0 {
				work.WaitingStages++
				work.QueuedTasks += s.queued
			}
		}
	}
	for _, w := range c.workers {
		if !w.contacted && w.isUsable() {
			work.Uncontacted++
		}
		for _, r := range w.runs {
			if r.state == runPending {
				work.Placed++
			}
		}
		if len(w.runs) > 0 && (!w.contacted || !w.unresponsiveSince.IsZero()) {
			work.UnreachedRuns += len(w.runs)
			work.UnreachedFor = max(work.UnreachedFor, w.leasesExpireAt.Sub(now))
		}
		if len(w.runs) > 0 && w.contacted {
			work.OldestContact = max(work.OldestContact, now.Sub(w.lastContact))
		}
		for _, r := range w.runs {
			if r.task.stage.step.Filler {
				work.FillerRuns++
				if r.throttleRatio == 0 {
					work.SuspendedRuns++
				}
			}
		}
		if c.acceptsRuns(w, now) {
			work.DeclaredIdle += max(0, c.idleProcessors(w, now)) / 1000
			work.MeasuredIdle += max(0, w.measuredIdle(now)) / 1000
		}
	}
	return work
}
