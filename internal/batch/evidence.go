package batch

import "time"

// endEvidence is an observation that proves that a run has ended, or that it never began and never
// will. Nothing else ends a run: a worker that does not answer, that refuses connections or that the
// platform no longer lists may be cut off from this node and continue its runs.
type endEvidence string

const (
	// evidenceNotSent means that the start command was never sent.
	evidenceNotSent endEvidence = "start command was not sent"
	// evidenceStopped means that the worker has confirmed a stop command, and a later report does not
	// contain the run.
	evidenceStopped endEvidence = "stopped"
	// evidenceMissing means that the run was seen on the worker and a later report does not contain it.
	evidenceMissing endEvidence = "missing from its worker's report"
	// evidenceRestarted means that a new incarnation of the worker was seen.
	evidenceRestarted endEvidence = "worker has restarted"
	// evidenceReplaced means that another worker answers at the address of one that is not listed.
	evidenceReplaced endEvidence = "worker incarnation has ended"
	// evidenceExpired means that every lease that was granted to the worker has expired, on the
	// slowest permitted clock.
	evidenceExpired endEvidence = "lease has expired"
)

// startRefused returns the evidence of a worker's answer that it did not carry out a start command.
func startRefused(a Answer) endEvidence { return endEvidence("worker: " + a) }

// lose gives up a run whose end its worker did not report, and queues its task again.
func (c *Core) lose(r *run, evidence endEvidence, now time.Time) {
	c.note(Note{
		Kind: NoteLost, Task: r.task.name(), Run: r.number, Worker: r.worker.ID,
		Age: r.worker.silence(now), Reason: string(evidence),
	})
	c.requeue(r, evidence, now)
}

// loseAllRuns gives up all runs of a worker that has ended.
func (c *Core) loseAllRuns(w *worker, evidence endEvidence, now time.Time) {
	culprits := c.recordCrash(w, 0, evidence, now)
	for _, r := range sortedRuns(w.runs) {
		c.lose(r, evidence, now)
	}
	clear(w.orphans)
	c.giveUp(culprits, now)
}

// requeue removes a run that has ended, and queues its task again if no other run is left.
func (c *Core) requeue(r *run, evidence endEvidence, now time.Time) {
	c.dropRun(r, now)
	t := r.task
	if t.state == taskPlaced && len(t.runs) == 0 && !t.stage.job.state.Final() {
		if t.stage.step.Gang {
			c.breakGang(t.stage, string(evidence), now)
		}
		c.enqueue(t, now)
		c.markDirty(t.stage.job)
	}
	if t.crashes.culprit {
		c.giveUp([]*task{t}, now)
	}
}

// requeueUnstarted does what requeue does for a run that never began: its task has waited all the while.
func (c *Core) requeueUnstarted(r *run, evidence endEvidence, now time.Time) {
	queuedAt, waitedBefore := r.task.queuedAt, r.task.waitedBefore
	if c.requeue(r, evidence, now); r.task.state == taskQueued {
		r.task.queuedAt, r.task.waitedBefore = queuedAt, waitedBefore
	}
}

// withdrawRun removes a run whose start command was never sent.
func (c *Core) withdrawRun(r *run, now time.Time) { c.requeueUnstarted(r, evidenceNotSent, now) }
