package batch

import (
	"cmp"
	"slices"
	"time"
)

// Poll is a look at a worker, which renews the leases there.
type Poll struct {
	Worker  string
	Address string
	// DataCentre is the worker's.
	DataCentre string
	// Deadline is zero if nothing is to be renewed, since the worker's clock is not known.
	Deadline time.Duration
	// Ack is the highest end that was committed.
	Ack int64
	// Wait means that the answer may wait for an end, Soon that it should not wait long.
	Wait bool
	Soon bool
}

// NeedsPoll reports whether a worker has anything to look at.
func (c *Core) NeedsPoll(id string) bool {
	w, ok := c.workers[id]
	if !ok {
		return false
	}
	if !w.listed {
		return len(w.runs) > 0
	}
	return !w.adopted || !w.silentSince.IsZero() || len(w.runs) > 0 || len(w.strays) > 0 || len(w.pending) > 0
}

// IsSettled reports whether all ends that a worker has listed are durable.
func (c *Core) IsSettled(id string) bool {
	w, ok := c.workers[id]
	return !ok || len(w.pending) == 0
}

// IsSuspect reports whether a worker left a call unanswered, or has a run that needs a look at once.
func (c *Core) IsSuspect(id string) bool {
	w, ok := c.workers[id]
	if !ok {
		return false
	}
	if !w.silentSince.IsZero() || !w.adopted || len(w.strays) > 0 || len(w.pending) > 0 {
		return true
	}
	for _, r := range w.runs {
		if r.state == runUnclear || r.state == runStopped || r.state == runStopping {
			return true
		}
	}
	return false
}

// BeginPoll returns the next look at a worker.
func (c *Core) BeginPoll(id string, now time.Time) (Poll, bool) {
	w, ok := c.workers[id]
	if !ok || w.Address == "" {
		return Poll{}, false
	}
	l := Poll{Worker: id, Address: w.Address, DataCentre: w.DataCentre, Ack: w.acked, Wait: !c.IsSuspect(id), Soon: w.soft.Processors > 0 && w.strain > tailHigh}
	if w.adopted && w.silentSince.IsZero() && c.mayGrant(w) {
		// What a silent worker runs has to lapse some time.
		l.Deadline = w.deadline(c.timing.Lease, now)
	}
	return l, true
}

// PollFailed takes the failure of a look that was sent at a time. Refused means
// that nothing listens at the worker's address.
func (c *Core) PollFailed(id string, answer Answer, refused bool, sent, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	switch answer {
	case AnswerWrongIncarnation:
		if !w.listed {
			c.forgetRuns(w, "worker's lifetime has ended", now)
		}
		w.shunUntil = now.Add(firstShun)
	case AnswerBusy:
		w.hear(0, now)
		c.shun(w, now)
	default:
		c.unanswered(w, sent)
		w.refused = refused
		if refused && !w.listed {
			c.forgetRuns(w, "worker has left", now)
		}
	}
}

// youngFor is for how many of its longest leases a worker may still be under a
// deadline on the clock of its former lifetime; its clock begins with its lifetime.
const youngFor = 2

// ApplyReport takes the answer to a look that was sent at a time.
func (c *Core) ApplyReport(id string, rep Report, sent, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	if rep.Incarnation != 0 && rep.Incarnation != w.Incarnation {
		c.reborn(w, rep.Incarnation, now)
	}
	if !w.silentSince.IsZero() {
		c.note(Note{Kind: NoteWorkerRecovered, Worker: id, Age: now.Sub(w.silentSince)})
	}
	w.hear(rep.Clock, now)
	if !w.adopted {
		// Earlier holders are fenced from now on.
		w.adopted = true
		w.lapseAt = now.Add(time.Duration(float64(c.timing.Lease)/clockRate) + lapseSlack)
		if rep.Clock < youngFor*c.timing.MaxLease {
			// It may have been granted a deadline on a former lifetime's clock.
			w.lapseAt = c.longestLapse(now)
		}
	}
	slices.SortFunc(rep.Ended, func(a, b EndedRow) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range rep.Ended {
		c.observeEnd(w, e, now)
	}
	c.observeRunning(w, rep.Running, sent, now)
	c.balance(w, now)
}

// observeRunning compares what runs with what should.
func (c *Core) observeRunning(w *worker, rows []RunningRow, sent, now time.Time) {
	present := make(map[runKey]bool, len(rows))
	for _, row := range rows {
		key := runKey{task: row.Task, run: row.Run}
		present[key] = true
		r, known := w.runs[key]
		if !known {
			c.stray(w, key, now)
			continue
		}
		c.observeRun(r, row, now)
	}
	for key := range w.strays {
		if !present[key] {
			delete(w.strays, key)
		}
	}
	for key, r := range w.runs {
		if !present[key] && r.since.Before(sent) {
			c.absent(r, now)
		}
	}
}

// observeRun takes what a worker says of a run.
func (c *Core) observeRun(r *run, row RunningRow, now time.Time) {
	t := r.task
	if row.Checkpoint != "" {
		t.checkpoint = row.Checkpoint
	}
	if r.state == runOrdered || r.state == runUnclear || r.state == runIntended {
		r.worker.accrue(now)
		r.state, r.since = runRunning, now
		c.begun(t.stage.job)
	}
	r.percent = row.Percent
	if t.stage.step.TailTarget > 0 {
		r.tail = time.Duration(row.Measurement * float64(time.Millisecond))
	} else {
		r.cores = row.Measurement / 1000
	}
}

// begun notes that a task of the job has started.
func (c *Core) begun(j *job) {
	if j.state == Queued {
		j.state = Active
	}
}

// absent takes that a run is neither running nor ended at its worker.
func (c *Core) absent(r *run, now time.Time) {
	switch r.state {
	case runUnclear:
		// A late start is refused once the stop was carried out.
		c.stopRun(r, "start had no answer", now)
	case runStopped:
		c.requeue(r, "stopped", now)
	case runRunning:
		c.lose(r, "not listed by its worker", now)
	}
}

// stray has a run stopped that no job explains.
func (c *Core) stray(w *worker, key runKey, now time.Time) {
	if at, known := w.strays[key]; known && now.Sub(at) < stopAgain {
		return
	}
	w.strays[key] = now
	c.stops = append(c.stops, Command{Kind: CommandStop, stray: key, worker: w})
	c.note(Note{Kind: NoteOrphaned, Task: key.task, Run: key.run, Worker: w.ID})
}

// observeEnd takes the end of a run.
func (c *Core) observeEnd(w *worker, e EndedRow, now time.Time) {
	if !w.noteEnd(e.Number) {
		return
	}
	key := runKey{task: e.Task, run: e.Run}
	delete(w.strays, key)
	j := c.jobOf(e.Task)
	r := w.runs[key]
	if r != nil {
		c.begun(j)
		c.dropRun(r, now)
	}
	var t *task
	if j != nil {
		if s := j.stage(e.Task.Occurrence, e.Task.Step); s != nil && e.Task.Index < len(s.tasks) {
			t = s.tasks[e.Task.Index]
		}
	}
	if t == nil || j.state.Final() {
		if j == nil || !j.dirty {
			w.endDurable(e.Number)
			return
		}
		j.ends = append(j.ends, endRef{worker: w, born: w.Incarnation, number: e.Number})
		return
	}
	c.note(Note{Kind: NoteEnded, Task: e.Task, Run: e.Run, Worker: w.ID, Reason: string(e.How)})
	c.applyEnd(t, r, w, e, now)
	j.ends = append(j.ends, endRef{worker: w, born: w.Incarnation, number: e.Number})
	c.mark(j)
}

// applyEnd draws the consequences of an end for its task. The run is nil if
// it is not the holder's any more.
func (c *Core) applyEnd(t *task, r *run, w *worker, e EndedRow, now time.Time) {
	if t.state == taskDone {
		return
	}
	if e.Checkpoint != "" && (r != nil || e.Run == t.lastRun) {
		t.checkpoint = e.Checkpoint
	}
	long := t.stage.step.LongRunning
	switch {
	case e.How == EndDone && !long:
		if r == nil && len(t.runs) > 0 {
			// The run had lapsed, and another one has taken its place.
			return
		}
		c.health.Succeeded(w.ID, t.stage.job.ID)
		c.taskDone(t, now)
	case e.How == EndFailed:
		c.taskFailed(t, w, e.Run, now)
	}
	if t.state == taskPlaced && len(t.runs) == 0 && !t.stage.job.state.Final() {
		if t.stage.step.Gang {
			c.breakGang(t.stage, "a member has ended", now)
		}
		c.enqueue(t, now)
	}
}

// taskDone ends a task for good; one end of a gang stands for all its members.
func (c *Core) taskDone(t *task, now time.Time) {
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
		s.undone--
		for _, r := range slices.Clone(m.runs) {
			c.stopRun(r, "another run has ended", now)
		}
	}
	if s.undone == 0 {
		c.advance(s.job, now)
		c.completeIfDone(s.job, now)
	}
}

// retryPause is how long a task that failed waits, so that a passing fault is over.
const retryPause = 50 * time.Millisecond

// taskFailed counts a failure of a task, once for each run.
func (c *Core) taskFailed(t *task, w *worker, run int64, now time.Time) {
	if slices.Contains(t.failed, run) {
		return
	}
	if c.health.Failed(w.ID, t.stage.job.ID, now) {
		c.note(Note{Kind: NoteQuarantined, Worker: w.ID, Task: t.name()})
	}
	t.avoid = w
	t.notBefore = now.Add(retryPause)
	if t.stage.step.LongRunning {
		return
	}
	t.failed = append(t.failed, run)
	q, known := c.table.Queues[t.stage.job.Queue]
	failures := len(t.failed)
	if t.stage.step.Gang {
		failures = gangFailures(t.stage)
	}
	if known && q.Attempts > 0 && failures >= q.Attempts {
		c.finish(t.stage.job, Failed, "task "+t.name().String()+" failed too often", now)
	}
}

// gangFailures counts the runs of a gang that failed.
func gangFailures(s *stage) int {
	runs := map[int64]bool{}
	for _, t := range s.tasks {
		for _, n := range t.failed {
			runs[n] = true
		}
	}
	return len(runs)
}
