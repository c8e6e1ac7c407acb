package batch

import (
	"slices"
	"time"
)

// NoQueueError says that no queue of a name is configured.
type NoQueueError struct {
	Queue string
}

// Error returns the queue.
func (e *NoQueueError) Error() string { return "no queue " + e.Queue }

// Submit takes a job in. The waiter is called once the job is durable, which
// may be at once; a repeat of the ID is the same job.
func (c *Core) Submit(s Job, now time.Time, waiter func(State)) error {
	if j, ok := c.jobs[s.ID]; ok {
		c.await(j, waiter)
		return nil
	}
	if err := s.Check(); err != nil {
		return err
	}
	if _, ok := c.table.Queues[s.Queue]; !ok {
		return &NoQueueError{Queue: s.Queue}
	}
	c.take(s, now, waiter, nil)
	return nil
}

// SubmitTo takes in a job that another node has accepted, whether its queue is
// still configured or not. The path are the cells by way of which it came.
func (c *Core) SubmitTo(s Job, now time.Time, path ...int) error {
	if err := s.Check(); err != nil || c.HasJob(s.ID) {
		return err
	}
	c.take(s, now, nil, path)
	return nil
}

func (c *Core) take(s Job, now time.Time, waiter func(State), path []int) {
	j := &job{Job: s, service: c.table.Queues[s.Queue].Service, accepted: now, state: Queued, path: path}
	if to := c.cellFor(s, now); to != c.cell.Index {
		c.moveOut(j, to)
		c.await(j, waiter)
		return
	}
	c.adopt(j)
	c.advance(j, now)
	c.mark(j)
	c.await(j, waiter)
	c.note(Note{Kind: NoteAccepted, Job: j.ID, Reason: j.Queue})
}

// Dropped is told to the waiters of a submission that was taken back: it was
// part of no commit, and will never run.
const Dropped State = "dropped"

// DropUncommitted takes back the submissions of which no commit has begun and
// which do not stand in the inbox.
func (c *Core) DropUncommitted(now time.Time) {
	for _, j := range slices.Clone(c.dirty) {
		if j.stored || j.inFlight || j.inInbox {
			continue
		}
		for _, r := range j.runs() {
			c.dropRun(r, now)
		}
		same := func(o *job) bool { return o == j }
		c.dirty = slices.DeleteFunc(c.dirty, same)
		c.deactivate(j)
		delete(c.jobs, j.key())
		for _, call := range j.waiters {
			call(Dropped)
		}
		c.note(Note{Kind: NoteJobEnded, Job: j.ID, Reason: "dropped: the store does not answer"})
	}
}

// adopt adds a job to those that are kept.
func (c *Core) adopt(j *job) {
	j.chain = longestChain(j.Steps)
	c.jobs[j.key()] = j
	if !j.state.Final() && j.state != Moved {
		c.active = append(c.active, j)
	}
}

// deactivate takes that nothing is to be done for a job here any more.
func (c *Core) deactivate(j *job) {
	c.active = slices.DeleteFunc(c.active, func(o *job) bool { return o == j })
}

// await calls the waiter with the job's state once all that is known is durable.
func (c *Core) await(j *job, waiter func(State)) {
	if waiter == nil {
		return
	}
	if j.stored && !j.dirty && j.finalStored == j.state.Final() {
		waiter(j.state)
		return
	}
	c.mark(j)
	j.waiters = append(j.waiters, waiter)
}

// Cancel withdraws a job; the waiter is called once that is durable, with Moved
// if the job is another cell's. Without a waiter the cancel is handed on there.
// It reports whether the job is known.
func (c *Core) Cancel(id string, now time.Time, waiter func(State)) bool {
	j, ok := c.jobs[id]
	if !ok {
		return false
	}
	if j.state == Moved && waiter == nil {
		c.handCancel(j, now)
		return true
	}
	if !j.state.Final() && j.state != Moved {
		c.finish(j, Cancelled, "cancelled by its caller", now)
	}
	c.await(j, waiter)
	return true
}

// State returns the state of a job, and whether the job is known. A final
// state is only told once it is durable.
func (c *Core) State(id string) (State, bool) {
	j, ok := c.jobs[id]
	switch {
	case !ok || !j.stored:
		return "", false
	case j.state.Final() && !j.finalStored:
		return Active, true
	case j.state == Moved:
		// The other cell knows it once that is durable.
		return Queued, true
	}
	return j.state, true
}

// Pending returns the number of a queue's jobs of which no task has started.
func (c *Core) Pending(queue string) int {
	n := 0
	for _, j := range c.active {
		if j.Queue == queue && j.state == Queued {
			n++
		}
	}
	return n
}

// finish brings a job to a final state and stops what of it runs.
func (c *Core) finish(j *job, s State, reason string, now time.Time) {
	j.state, j.reason, j.endedAt = s, reason, now
	for _, r := range j.runs() {
		c.stopRun(r, reason, now)
	}
	for _, to := range j.lent {
		if !slices.Contains(j.cancelAt, to) {
			j.cancelAt = append(j.cancelAt, to)
		}
	}
	c.deactivate(j)
	c.mark(j)
	c.note(Note{Kind: NoteJobEnded, Job: j.ID, Age: now.Sub(j.accepted), Reason: string(s) + ": " + reason})
}

// advance opens the stages whose time has come.
func (c *Core) advance(j *job, now time.Time) {
	if j.state.Final() {
		return
	}
	for j.begun < j.occurrences() && c.isDue(j, j.begun, now) {
		c.begin(j)
		c.mark(j)
	}
	for _, s := range j.stages {
		if !s.open && c.mayOpen(s) {
			c.openStage(s, now)
		}
	}
}

// isDue reports whether the time of an occurrence has come.
func (c *Core) isDue(j *job, occurrence int, now time.Time) bool {
	if j.Repeat.Count == 0 {
		return true
	}
	due := j.Repeat.First.Add(time.Duration(occurrence) * j.Repeat.Every)
	return !now.Add(c.wall).Before(due)
}

// mayOpen reports whether all steps before a stage have ended.
func (c *Core) mayOpen(s *stage) bool {
	for _, a := range s.step.After {
		if s.job.stage(s.occurrence, a).undone > 0 {
			return false
		}
	}
	return true
}

func (c *Core) openStage(s *stage, now time.Time) {
	s.open, s.openedAt = true, now
	for _, t := range s.tasks {
		if t.state == taskWaiting {
			c.enqueue(t, now)
		}
	}
}

// enqueue lets a task wait for a worker.
func (c *Core) enqueue(t *task, now time.Time) {
	t.state, t.queuedAt = taskQueued, now
	t.stage.queued++
}

// completeIfDone ends a job whose last task has ended.
func (c *Core) completeIfDone(j *job, now time.Time) {
	if j.state.Final() || j.begun < j.occurrences() || len(j.lent) > 0 {
		return
	}
	for _, s := range j.stages {
		if s.undone > 0 {
			return
		}
	}
	c.finish(j, Completed, "all tasks have ended", now)
}
