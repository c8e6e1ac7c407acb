package batch

import (
	"slices"
	"time"
)

// applyEndedRow handles the end of a run, unless it was handled before.
func (c *Core) applyEndedRow(w *worker, e EndedRow, now time.Time) {
	if !w.recordEnd(e.Number) {
		return
	}
	key := runKey{task: e.Task, run: e.Run}
	delete(w.orphans, key)
	j := c.jobHere(e.Task.Job)
	r := w.runs[key]
	if r != nil {
		c.markStarted(j)
		c.dropRun(r, now)
	}
	var t *task
	if j != nil {
		if s := j.stage(e.Task.Occurrence, e.Task.Step); s != nil && e.Task.Index < len(s.tasks) {
			t = s.tasks[e.Task.Index]
		}
	}
	if t == nil && j != nil && !j.state.Final() && j.isDropped(e.Task) {
		c.note(Note{Kind: NoteEnded, Task: e.Task, Run: e.Run, Worker: w.ID, Reason: string(e.How)})
		j.awaitRecord(w, e)
		c.markDirty(j)
		return
	}
	if t == nil || j.state.Final() {
		c.applyEndAfterJob(j, w, e)
		return
	}
	c.note(Note{Kind: NoteEnded, Task: e.Task, Run: e.Run, Worker: w.ID, Reason: string(e.How)})
	c.applyEnd(t, r, w, e, now)
	j.awaitRecord(w, e)
	c.markDirty(j)
}

// applyEndAfterJob handles the end of a run of which nothing is left to decide, because its job, nil if it is not here, has ended
// or was handed over. The end is acknowledged once that is stored.
func (c *Core) applyEndAfterJob(j *job, w *worker, e EndedRow) {
	var unreadable error
	if j == nil {
		unreadable = c.unreadableRecord(e.Task.Job, DelegatedID(e.Task.Job))
		// A job that is handed over is this cell's until its forwarding record is durable.
		j = c.jobs[e.Task.Job]
	}
	stored := j.describeStored()
	if unreadable != nil {
		stored = unreadable.Error()
	}
	c.note(Note{Kind: NoteEndedAfterJob, Task: e.Task, Run: e.Run, Worker: w.ID, Reason: string(e.How) + ": " + stored})
	switch {
	case unreadable != nil:
		w.unreadableEnds = append(w.unreadableEnds, e.Number)
		return
	case j == nil || j.storedState.isClosed():
		w.markEndDurable(e.Number)
		return
	}
	j.awaitRecord(w, e)
	if !j.state.isClosed() {
		// No change of the job would write a record that releases the end.
		c.markDirty(j)
	}
}

// awaitRecord keeps the end of a run from being acknowledged until the job's next record is durable.
func (j *job) awaitRecord(w *worker, e EndedRow) {
	j.pendingEnds = append(j.pendingEnds, endRef{worker: w, incarnation: w.Incarnation, number: e.Number})
}

// describeStored describes for the log what is stored of a job, which is nil if it is not known.
func (j *job) describeStored() string {
	switch {
	case j == nil:
		return "no record of its job"
	case j.storedState.isClosed():
		return "its job is stored as " + string(j.state)
	case j.inFlight:
		return "its job is " + string(j.state) + ", a commit is in progress"
	}
	return "its job is " + string(j.state) + ", not stored yet"
}

// applyEnd updates a task after the end of one of its runs. The run is nil if the leader had given
// it up before.
func (c *Core) applyEnd(t *task, r *run, w *worker, e EndedRow, now time.Time) {
	if t.state == taskDone {
		return
	}
	if e.Checkpoint != "" && (r != nil || e.Run == t.lastRun) {
		t.checkpoint = e.Checkpoint
	}
	longRunning := t.stage.step.LongRunning
	switch {
	case e.How == EndDone && !longRunning:
		if r == nil && len(t.runs) > 0 {
			// The lease of the run had expired, and another run has replaced it.
			return
		}
		c.health.Succeeded(w.ID, t.stage.job.ID)
		c.finishTask(t, now)
	case e.How == EndFailed:
		placed := time.Time{}
		if r != nil {
			placed = r.placedAt
		}
		c.recordFailure(t, w, e.Run, placed, now)
	}
	if t.state == taskPlaced && len(t.runs) == 0 && !t.stage.job.state.Final() {
		if t.stage.step.Gang {
			c.breakGang(t.stage, "another member has ended", now)
		}
		c.enqueue(t, now)
	}
}

// finishTask marks a task as done. If it belongs to a gang, all tasks of the gang are done.
func (c *Core) finishTask(t *task, now time.Time) {
	s := t.stage
	members := []*task{t}
	if s.step.Gang {
		members = s.tasks
	}
	for _, m := range members {
		if m.state == taskDone {
			continue
		}
		if m.state == taskQueued {
			s.queued--
		}
		m.state = taskDone
		s.unfinished--
		for _, r := range slices.Clone(m.runs) {
			c.stopRun(r, "another run has ended", now)
		}
	}
	if s.unfinished == 0 {
		c.advanceAfter(s, now)
		c.completeIfDone(s.job, now)
	}
}

// retryPause is how long a failed task waits before its next run, so that a short fault can pass.
const retryPause = 50 * time.Millisecond

// recordFailure counts the failure of a task, once for each run, and fails the job after too many. The time
// at which the run was placed is zero if it is not known.
func (c *Core) recordFailure(t *task, w *worker, run int64, placed, now time.Time) {
	if slices.Contains(t.failedRuns, run) {
		return
	}
	if c.health.Failed(w.ID, t.stage.job.ID, placed, now) {
		c.note(Note{Kind: NoteQuarantined, Worker: w.ID, Task: t.name()})
	}
	t.avoidWorker = w
	t.notBefore = now.Add(retryPause)
	if t.stage.step.LongRunning {
		return
	}
	t.failedRuns = append(t.failedRuns, run)
	failures := len(t.failedRuns)
	if t.stage.step.Gang {
		failures = gangFailures(t.stage)
	}
	if limit := t.stage.job.Policy.Attempts; limit > 0 && failures >= limit {
		c.finish(t.stage.job, Failed, "task "+t.name().String()+" failed too often", now)
	}
}

// gangFailures returns how many runs of a gang have failed. A run counts once, however many of its
// tasks failed.
func gangFailures(s *stage) int {
	runs := map[int64]bool{}
	for _, t := range s.tasks {
		for _, n := range t.failedRuns {
			runs[n] = true
		}
	}
	return len(runs)
}
