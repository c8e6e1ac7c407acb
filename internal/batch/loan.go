package batch

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// A cell may run out of room while others have some. Then a job of which nothing
// has begun goes to another cell, and tasks that last and wait are lent to one:
// it runs them until the job is cancelled, and the cell that lent them no longer
// does. A job that has begun leaves with what has happened to it once nothing of it
// runs and its cell has no worker that takes runs, or no room for long.

// starvesAfter is how long work waits in its cell until another one is asked: the
// platform allows a task that lasts 6 s from its last run to its next.
const starvesAfter = time.Second

// stuckAfter is how long a job that has begun has nothing running until it may leave
// a full cell: the platform allows 3 s while another cell has room for it.
const stuckAfter = 2 * time.Second

// guestSuffix tells what was lent of a job from the job itself, of which a cell
// may have the pointer.
const guestSuffix = "/loan"

// GuestID returns the name by which a cell keeps what was lent to it of a job.
func GuestID(job string) string { return job + guestSuffix }

// key returns the name by which the core keeps the job.
func (j *job) key() string {
	if j.guest {
		return GuestID(j.ID)
	}
	return j.ID
}

// jobOf returns the job of a task that a worker names, or nil.
func (c *Core) jobOf(n TaskName) *job {
	if j, ok := c.jobs[n.Job]; ok && j.state != Moved {
		return j
	}
	return c.jobs[GuestID(n.Job)]
}

// Loan are tasks that go to the inbox of another cell.
type Loan struct {
	To int
	// Number distinguishes the loans of one job.
	Number int
	Value  []byte
}

// relieveStarved hands on what has waited for too long. It is called after
// placement, whose order it keeps to.
func (c *Core) relieveStarved(now time.Time) {
	if c.cell.IsWhole() || len(c.peers) == 0 {
		return
	}
	for _, r := range c.ranks {
		s := r.stage
		j := s.job
		if s.queued == 0 || j.state.Final() || j.state == Moved {
			continue
		}
		switch {
		case j.isUntouched() && j.stored && !j.inFlight && now.Sub(j.accepted) >= starvesAfter:
			c.moveStarved(j, 0)
		case len(c.open) == 0 && j.mayLeave(starvesAfter, now):
			// Any cell with workers is better than none.
			c.moveBegun(j, -1)
		case j.mayLeave(stuckAfter, now):
			c.moveBegun(j, 0)
		case s.step.LongRunning && !s.step.Gang && j.loan == nil && j.Repeat.Count == 0:
			c.lendStarved(s, now)
		}
	}
}

// isUntouched reports whether no task of the job was ever given to a worker.
func (j *job) isUntouched() bool {
	if j.state != Queued || j.Repeat.Count > 0 {
		return false
	}
	for _, s := range j.stages {
		for _, t := range s.tasks {
			if t.lastRun > 0 {
				return false
			}
		}
	}
	return true
}

// mayLeave reports whether a job that has begun may be handed on: none of its tasks
// runs or may run, none lasts or was lent, and all that wait have waited for a time.
func (j *job) mayLeave(wait time.Duration, now time.Time) bool {
	if !j.stored || j.inFlight || j.guest || len(j.lent) > 0 || j.loan != nil || j.Repeat.Count > 0 {
		return false
	}
	for _, s := range j.stages {
		if s.step.LongRunning {
			return false
		}
		for _, t := range s.tasks {
			if len(t.runs) > 0 || t.state == taskQueued && now.Sub(t.queuedAt) < wait {
				return false
			}
		}
	}
	return true
}

// moveBegun hands a job on with what has happened to it, if a cell has more than a
// part of its processors left with it.
func (c *Core) moveBegun(j *job, most float64) {
	w := &wireJob{ID: j.ID, Queue: j.Queue, Service: j.service, State: string(Active), AcceptedMs: j.accepted.Add(c.wall).UnixMilli()}
	w.addTasks(j)
	c.moveStarved(j, most)
	if j.state == Moved {
		j.carried = w
	}
}

// AcceptHandedOver takes in a job that another cell has handed on. What is known already
// stays as it is.
func (c *Core) AcceptHandedOver(value []byte, now time.Time) error {
	var w wireJob
	if err := json.Unmarshal(value, &w); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	if w.Begun == nil {
		return c.SubmitTo(decodeSubmission(w), now, w.Path...)
	}
	b := *w.Begun
	if c.HasJob(b.ID) {
		return nil
	}
	j := &job{
		Job: decodeSubmission(b), service: b.Service, state: Queued, path: b.Path,
		accepted: time.UnixMilli(b.AcceptedMs).Add(-c.wall),
	}
	if err := j.Check(); err != nil {
		return err
	}
	if err := c.restoreStages(j, b, now); err != nil {
		return err
	}
	c.adopt(j)
	c.advance(j, now)
	c.mark(j)
	c.note(Note{Kind: NoteAccepted, Job: j.ID, Reason: j.Queue})
	return nil
}

// moveStarved hands a whole job on, if a cell has more than a part of its processors
// left with it.
func (c *Core) moveStarved(j *job, most float64) {
	n := needOf(j.Job)
	// The home and the cells by way of which the job came keep pointers to it.
	to := c.roomiest(j.Job, n, most, append(slices.Clone(j.path), HomeOf(j.ID, c.cell.Count)))
	if to == c.cell.Index {
		return
	}
	c.reckon(to, n)
	c.deactivate(j)
	j.stages = nil
	c.moveOut(j, to)
}

// lendStarved lends the waiting tasks of a stage to the cell with the most room.
func (c *Core) lendStarved(s *stage, now time.Time) {
	var starved []*task
	for _, t := range s.tasks {
		if t.state == taskQueued && len(t.runs) == 0 && now.Sub(t.queuedAt) >= starvesAfter {
			starved = append(starved, t)
		}
	}
	if len(starved) == 0 {
		return
	}
	size := int64(s.step.Size.Processors)
	n := need{hold: size, widest: size}
	to := c.roomiest(s.job.Job, n, 0, s.job.lenders())
	if to == c.cell.Index {
		return
	}
	p := c.peers[to]
	free := p.load.left(p.sent, n) * float64(p.load.Capacity)
	room := max(1, int(free)/int(max(1, size)))
	c.lend(s, starved[:min(len(starved), room)], to, now)
}

// lenders returns the cells that have lent what the job has here. A pointer to the
// job keeps no cell from borrowing.
func (j *job) lenders() []int {
	if j.guest {
		return j.path
	}
	return nil
}

// lend hands tasks that surely do not run to another cell.
func (c *Core) lend(s *stage, tasks []*task, to int, now time.Time) {
	j := s.job
	lent := wireStage{Stage: slices.Index(j.stages, s)}
	for _, t := range tasks {
		lent.Tasks = append(lent.Tasks, wireTask{Index: t.index, LastRun: t.lastRun, Checkpoint: t.checkpoint})
		c.note(Note{Kind: NoteDelegated, Task: t.name(), Run: t.lastRun, Cell: to, Age: now.Sub(t.queuedAt)})
		t.state = taskDone
		s.queued--
		s.undone--
	}
	c.peers[to].sent.hold += int64(len(tasks)) * int64(s.step.Size.Processors)
	j.loan = &lent
	j.lent = append(j.lent, to)
	c.mark(j)
}

// takeLoan returns the loan of a job that goes along with its record, if any.
func (c *Core) takeLoan(j *job) (*Loan, error) {
	if j.loan == nil {
		return nil, nil
	}
	w := wireJob{
		ID: j.ID, Queue: j.Queue, Service: j.service, Spec: j.Spec, State: string(Active), Occurrences: j.begun,
		AcceptedMs: j.accepted.Add(c.wall).UnixMilli(), Stages: []wireStage{*j.loan},
		Path: append(slices.Clone(j.lenders()), c.cell.Index),
	}
	w.Steps = encodeSteps(j.Steps)
	j.loan = nil
	value, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode loan of job %s: %w", j.ID, err)
	}
	return &Loan{To: j.lent[len(j.lent)-1], Number: len(j.lent), Value: value}, nil
}

// AcceptDelegation takes in tasks that another cell has lent, and returns the name by
// which the core keeps them. What was taken in before stays as it is.
func (c *Core) AcceptDelegation(value []byte, now time.Time) (string, error) {
	var w wireJob
	if err := json.Unmarshal(value, &w); err != nil {
		return "", fmt.Errorf("decode loan: %w", err)
	}
	j := c.jobs[GuestID(w.ID)]
	if j == nil {
		j = &job{
			Job: decodeSubmission(w), service: w.Service, state: Active, guest: true,
			accepted: time.UnixMilli(w.AcceptedMs).Add(-c.wall),
		}
		if err := j.Check(); err != nil {
			return "", err
		}
		c.adopt(j)
		for range w.Occurrences {
			c.begin(j)
		}
		for _, s := range j.stages {
			s.open, s.openedAt, s.undone = true, now, 0
			for _, t := range s.tasks {
				t.state = taskDone
			}
		}
	}
	if j.state.Final() {
		return j.key(), nil
	}
	for _, cell := range w.Path {
		if !slices.Contains(j.path, cell) {
			j.path = append(j.path, cell)
		}
	}
	for _, ws := range w.Stages {
		if ws.Stage < 0 || ws.Stage >= len(j.stages) {
			return "", &InvalidError{Reason: fmt.Sprintf("loan of %s names stage %d", w.ID, ws.Stage)}
		}
		s := j.stages[ws.Stage]
		for _, wt := range ws.Tasks {
			if wt.Index < 0 || wt.Index >= len(s.tasks) || s.tasks[wt.Index].state != taskDone {
				continue
			}
			t := s.tasks[wt.Index]
			t.lastRun, t.checkpoint = wt.LastRun, wt.Checkpoint
			s.undone++
			c.enqueue(t, now)
		}
	}
	c.mark(j)
	return j.key(), nil
}
