package batch

import (
	"slices"
	"time"
)

// NoQueueError reports that no queue with a name is configured.
type NoQueueError struct {
	Queue string
}

func (e *NoQueueError) Error() string { return "no queue " + e.Queue }

// Submit accepts a job. The waiter is called with the job's state once the job is durable, possibly
// before Submit returns. A second submission with the same ID refers to the same job.
func (c *Core) Submit(s Job, now time.Time, waiter func(State)) error {
	if j, ok := c.jobs[s.ID]; ok {
		if waiter != nil && j.isDurable() {
			waiter(j.state)
			return nil
		}
		c.notifyWhenDurable(j, waiter)
		return nil
	}
	if err := c.unreadableRecord(s.ID); err != nil {
		return err
	}
	if err := s.Check(); err != nil {
		return err
	}
	if err := s.CheckSize(c.recordLimit); err != nil {
		return err
	}
	if _, ok := c.queueConfig.Queues[s.Queue]; !ok {
		return &NoQueueError{Queue: s.Queue}
	}
	c.accept(s, now, waiter, nil)
	return nil
}

// AcceptFromCell accepts a job from the inbox, which another instance or cell has accepted before.
// It does so even if the job's queue is no longer configured. The path lists the cells through
// which the job came.
func (c *Core) AcceptFromCell(s Job, now time.Time, path ...int) error {
	if err := s.Check(); err != nil || c.HasJob(s.ID) {
		return err
	}
	if err := c.unreadableRecord(s.ID); err != nil {
		return err
	}
	c.accept(s, now, nil, path)
	return nil
}

func (c *Core) accept(s Job, now time.Time, waiter func(State), path []int) {
	c.completePolicy(&s)
	j := &job{Job: s, accepted: now, arrivedAt: now, state: Queued, cellPath: path}
	if to := c.chooseCell(s, now); to != c.cell.Index {
		c.handOver(j, to)
		c.notifyWhenDurable(j, waiter)
		return
	}
	c.addJob(j)
	c.advance(j, now)
	c.markDirty(j)
	c.notifyWhenDurable(j, waiter)
	c.note(Note{Kind: NoteAccepted, Job: j.ID, Reason: j.Queue})
}

// Dropped is the state with which the waiters of a dropped submission are called: no commit
// contained the submission, and it will never run.
const Dropped State = "dropped"

// DropUncommitted drops the submissions that are neither stored, nor in a commit in progress, nor
// in the inbox.
func (c *Core) DropUncommitted(now time.Time) {
	for _, j := range slices.Clone(c.dirty) {
		if !j.isDurable() && !j.inFlight {
			c.drop(j, Dropped, "dropped: the store does not answer", now)
		}
	}
}

// DropSubmission drops one submission if it is neither stored, nor in a commit in progress, nor in
// the inbox.
func (c *Core) DropSubmission(id string, now time.Time) {
	if j, ok := c.jobs[id]; ok && !j.isDurable() && !j.inFlight {
		c.drop(j, Dropped, "dropped: its submission was not committed in time", now)
	}
}

// IsDurable reports whether a job is known to be stored, as a record or in the inbox.
func (c *Core) IsDurable(id string) bool {
	j, ok := c.jobs[id]
	return ok && j.isDurable()
}

// isDurable reports whether the job is known to be stored, as a record or in the inbox.
func (j *job) isDurable() bool { return j.isStored() || j.inInbox }

// addJob adds a job to those in memory.
func (c *Core) addJob(j *job) {
	j.criticalPath = criticalPath(j.Steps)
	c.jobs[j.storageID()] = j
	if !j.state.isClosed() {
		c.active = append(c.active, j)
	}
}

// deactivate removes a job from the active ones, since it is final or moved.
func (c *Core) deactivate(j *job) {
	c.active = slices.DeleteFunc(c.active, func(o *job) bool { return o == j })
}

// notifyWhenDurable calls the waiter with the job's state once that state is durable.
func (c *Core) notifyWhenDurable(j *job, waiter func(State)) {
	if waiter == nil {
		return
	}
	if j.storedState == j.state {
		waiter(j.state)
		return
	}
	c.markDirty(j)
	j.waiters = append(j.waiters, waiter)
}

// Cancel cancels a job and reports whether it is known. The waiter is called once the cancel is
// durable. If the job was handed over to another cell, the waiter is called with Moved and nothing
// is cancelled; without a waiter, the cancel is forwarded to that cell.
func (c *Core) Cancel(id string, now time.Time, waiter func(State)) bool {
	j, ok := c.jobs[id]
	if !ok {
		return false
	}
	if j.state == Moved && waiter == nil {
		c.forwardCancel(j, now)
		return true
	}
	if !j.state.isClosed() {
		c.finish(j, Cancelled, "cancelled by its caller", now)
	}
	c.notifyWhenDurable(j, waiter)
	return true
}

// State returns the state of a job and whether the job is known. A final state is reported only
// once it is durable.
func (c *Core) State(id string) (State, bool) {
	j, ok := c.jobs[id]
	switch {
	case !ok || !j.isStored():
		return "", false
	case j.state.Final() && !j.storedState.Final():
		return Active, true
	case j.state == Moved:
		// The other cell knows the job only once the hand-over is durable.
		return Queued, true
	}
	return j.state, true
}

// Pending returns the number of jobs in a queue that have not started.
func (c *Core) Pending(queue string) int {
	n := 0
	for _, j := range c.active {
		if j.Queue == queue && j.state == Queued {
			n++
		}
	}
	return n
}

// finish brings a job to a final state, stops its runs and forwards a cancel to the cells that run
// delegated tasks of it.
func (c *Core) finish(j *job, s State, reason string, now time.Time) {
	j.state, j.reason, j.endedAt = s, reason, now
	for _, r := range j.runs() {
		c.stopRun(r, reason, now)
	}
	for _, to := range j.delegatedTo {
		if !slices.Contains(j.cancelCells, to) {
			j.cancelCells = append(j.cancelCells, to)
		}
	}
	c.deactivate(j)
	c.markDirty(j)
	c.note(Note{Kind: NoteJobEnded, Job: j.ID, Age: now.Sub(j.accepted), Reason: string(s) + ": " + reason})
}

// advance starts the occurrences that are due and queues the tasks of all stages whose dependencies
// are done.
func (c *Core) advance(j *job, now time.Time) {
	if j.state.Final() {
		return
	}
	c.startDue(j, now)
	c.markReadyAmong(j.stages, now)
}

// advanceAfter does what advance does after all tasks of a stage have ended. It looks only at the
// stages of the same occurrence.
func (c *Core) advanceAfter(s *stage, now time.Time) {
	j := s.job
	if j.state.Final() {
		return
	}
	if i, found := j.find(s.occurrence); found {
		c.markReadyAmong(j.stages[i:i+len(j.Steps)], now)
	}
	c.startDue(j, now)
}

// startDue starts the occurrences that are due and queues the tasks of their first stages. An
// occurrence for which the record has no space waits until others are finished.
func (c *Core) startDue(j *job, now time.Time) {
	if j.startedOccurrences == j.occurrences() || !c.isDue(j, j.startedOccurrences, now) {
		return
	}
	first := len(j.stages)
	for open := j.openOccurrences(); open < c.maxOpenOccurrences(j) && j.startedOccurrences < j.occurrences() && c.isDue(j, j.startedOccurrences, now); open++ {
		c.startOccurrence(j)
		c.markDirty(j)
	}
	c.markReadyAmong(j.stages[first:], now)
}

// markReadyAmong queues the tasks of those of the stages whose dependencies are done.
func (c *Core) markReadyAmong(stages []*stage, now time.Time) {
	for _, s := range stages {
		if !s.ready && c.dependenciesDone(s) {
			c.markReady(s, now)
		}
	}
}

// isDue reports whether the start time of an occurrence has come.
func (c *Core) isDue(j *job, occurrence int, now time.Time) bool {
	if j.Repeat.Count == 0 {
		return true
	}
	due := j.Repeat.First.Add(time.Duration(occurrence) * j.Repeat.Every)
	return !now.Add(c.wallOffset).Before(due)
}

// dependenciesDone reports whether all steps before a stage have ended.
func (c *Core) dependenciesDone(s *stage) bool {
	for _, a := range s.step.After {
		if s.job.stage(s.occurrence, a).unfinished > 0 {
			return false
		}
	}
	return true
}

func (c *Core) markReady(s *stage, now time.Time) {
	s.ready, s.readyAt = true, now
	for _, t := range s.tasks {
		if t.state == taskWaiting {
			c.enqueue(t, now)
		}
	}
}

// enqueue queues a task for placement.
func (c *Core) enqueue(t *task, now time.Time) {
	t.state, t.queuedAt, t.waitedBefore = taskQueued, now, 0
	t.stage.queued++
}

// completeIfDone completes a job if all its tasks have ended.
func (c *Core) completeIfDone(j *job, now time.Time) {
	if j.state.Final() || j.startedOccurrences < j.occurrences() || len(j.delegatedTo) > 0 {
		return
	}
	for _, s := range j.stages {
		if s.unfinished > 0 {
			return
		}
	}
	c.finish(j, Completed, "all tasks have ended", now)
}
