package batch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// A cell may run out of free capacity while other cells have some. Then it hands over jobs that
// have not started, and delegates waiting long-running tasks: the other cell runs these until the
// job is cancelled, and this cell no longer does. A job that has started is handed over with its
// progress, once it has no runs and either its cell has no worker that accepts runs or its tasks
// have waited for stuckAfter.

// starvedAfter is how long a task or a job that has not started waits before another cell is
// considered. The platform allows a long-running task 6 s between two runs.
const starvedAfter = time.Second

// stuckAfter is how long a job that has started may have no runs before it may leave a full cell.
// The platform allows 3 s if another cell has free capacity for it.
const stuckAfter = 2 * time.Second

// returnAfter is how long delegated tasks that have never run wait until they may go back to the cells that they
// came through. Tasks that have lost their runs need not wait longer than stuckAfter.
const returnAfter = 3 * time.Second

// lostBeforeAfter takes the place of both for a task that lost its run in an earlier term: terms may be
// shorter than these times. Meanwhile this leader contacts its workers, and reserves one for the task if it can.
const lostBeforeAfter = 500 * time.Millisecond

// delegatedSuffix distinguishes the ID of delegated tasks from the ID of their job, for which the
// same cell may have a forwarding record.
const delegatedSuffix = "/loan"

// DelegatedID returns the ID under which a cell stores tasks of a job that were delegated to it.
func DelegatedID(job string) string { return job + delegatedSuffix }

// storageID returns the ID under which the job is stored.
func (j *job) storageID() string {
	if j.delegated {
		return DelegatedID(j.ID)
	}
	return j.ID
}

// jobHere returns the job with an ID whose tasks this cell may run, or nil. Tasks that come back to the
// cell that has delegated them are tasks of its own job again.
func (c *Core) jobHere(id string) *job {
	if j, ok := c.jobs[id]; ok && j.state != Moved {
		return j
	}
	return c.jobs[DelegatedID(id)]
}

// StorageID returns the ID under which this cell stores a job that another cell names by id, which may be
// a DelegatedID.
func (c *Core) StorageID(id string) string {
	if job, delegated := strings.CutSuffix(id, delegatedSuffix); delegated {
		if j := c.jobHere(job); j != nil {
			return j.storageID()
		}
	}
	return id
}

// Delegation is a set of tasks of a job that goes to the inbox of another cell.
type Delegation struct {
	To int
	// Number distinguishes the delegations of one job.
	Number int
	Value  []byte
}

// relieveStarved hands over or delegates work that has waited too long for a worker. It is called
// after placement and follows its order.
func (c *Core) relieveStarved(now time.Time) {
	if c.cell.IsWhole() || len(c.peers) == 0 {
		return
	}
	for _, r := range c.ranks {
		s := r.stage
		j := s.job
		if s.queued == 0 || j.state.isClosed() {
			continue
		}
		switch {
		case j.neverPlaced() && j.isStored() && !j.inFlight && now.Sub(later(j.accepted, j.arrivedAt)) >= starvedAfter:
			c.tryHandOver(j, 0)
			if j.state != Moved && s.mayDelegate() {
				// No cell has capacity for the whole job.
				c.delegateStarved(s, now)
			}
		case len(c.accepting) == 0 && j.canHandOver(starvedAfter, now):
			// Any cell with workers is better than one without.
			c.handOverStarted(j, -1)
		case j.canHandOver(stuckAfter, now):
			c.handOverStarted(j, 0)
		case s.mayDelegate():
			c.delegateStarved(s, now)
		}
	}
}

// mayDelegate reports whether tasks of the stage may be delegated now.
func (s *stage) mayDelegate() bool {
	j := s.job
	return s.step.LongRunning && !s.step.Gang && j.pendingDelegation == nil && !j.delegationInFlight && j.Repeat.Count == 0
}

// neverPlaced reports whether no task of the job was ever assigned to a worker, here or in a cell to which it was
// delegated.
func (j *job) neverPlaced() bool {
	if j.state != Queued || j.Repeat.Count > 0 || len(j.delegatedTo) > 0 {
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

// canHandOver reports whether a job that has started may be handed over: none of its tasks runs or
// may run, none is long-running or delegated, and its queued tasks have waited long enough.
func (j *job) canHandOver(wait time.Duration, now time.Time) bool {
	if !j.isStored() || j.inFlight || j.delegated || len(j.delegatedTo) > 0 || j.pendingDelegation != nil || j.Repeat.Count > 0 {
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

// handOverStarted hands over a job with its progress, under the same condition as tryHandOver.
func (c *Core) handOverStarted(j *job, minShare float64) {
	w := &wireJob{ID: j.ID, Queue: j.Queue, Service: j.Policy.Service, Policy: encodePolicy(j.Policy), State: string(Active), AcceptedMs: j.accepted.Add(c.wallOffset).UnixMilli()}
	w.addTasks(j)
	c.tryHandOver(j, minShare)
	if j.state == Moved {
		j.startedState = w
	}
}

// AcceptHandedOver accepts a job that another cell has handed over. It does nothing if the job is
// already known.
func (c *Core) AcceptHandedOver(value []byte, now time.Time) error {
	var w wireJob
	if err := json.Unmarshal(value, &w); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	if w.Started == nil {
		known := c.HasJob(w.ID)
		if err := c.AcceptFromCell(decodeSubmission(w), now, w.Path...); err != nil || known || w.AcceptedMs == 0 {
			return err
		}
		// The other cell's clock may be ahead.
		c.jobs[w.ID].accepted = earlier(now, time.UnixMilli(w.AcceptedMs).Add(-c.wallOffset))
		return nil
	}
	started := *w.Started
	if c.HasJob(started.ID) {
		return nil
	}
	if err := c.unreadableRecord(started.ID); err != nil {
		return err
	}
	j := &job{
		Job: decodeSubmission(started), state: Queued, cellPath: started.Path,
		accepted: time.UnixMilli(started.AcceptedMs).Add(-c.wallOffset),
	}
	if err := j.Check(); err != nil {
		return err
	}
	c.completePolicy(&j.Job)
	if err := c.restoreStages(j, started, nil, now); err != nil {
		return err
	}
	c.addJob(j)
	c.advance(j, now)
	c.markDirty(j)
	c.note(Note{Kind: NoteAccepted, Job: j.ID, Reason: j.Queue})
	return nil
}

// tryHandOver hands a job over to the cell with the most free capacity. It does nothing if the job
// would leave no more than minShare of that cell's processors free.
func (c *Core) tryHandOver(j *job, minShare float64) {
	need := cpuNeedOf(j.Job)
	// The home and the cells through which the job came have forwarding records.
	to := c.cellWithMostCapacity(j.Job, need, minShare, append(slices.Clone(j.cellPath), HomeOf(j.ID, c.cell.Count)))
	if to == c.cell.Index {
		return
	}
	c.assumeMoved(to, need)
	c.deactivate(j)
	j.stages = nil
	c.handOver(j, to)
}

// delegateStarved delegates starved tasks of a stage to the cell with the most free capacity.
func (c *Core) delegateStarved(s *stage, now time.Time) {
	var starved []*task
	for _, t := range s.tasks {
		if t.state == taskQueued && len(t.runs) == 0 && t.hasWaited(starvedAfter, now) {
			starved = append(starved, t)
		}
	}
	if len(starved) == 0 {
		return
	}
	size := int64(s.step.Size.Processors)
	need := cpuNeed{service: s.job.Policy.Service, allocated: size, largestTask: size, label: s.step.RequiredLabel}
	to := c.cellWithMostCapacity(s.job.Job, need, 0, s.job.delegators())
	if to == c.cell.Index {
		if c.delegateLost(s, starved, now) {
			return
		}
		starved = slices.DeleteFunc(starved, func(t *task) bool { return now.Sub(t.queuedAt) < returnAfter })
		to = c.cellWithMostCapacity(s.job.Job, need, 0, nil)
	}
	if to == c.cell.Index || len(starved) == 0 {
		return
	}
	peer := c.peers[to]
	free := peer.shareLeft(need) * float64(peer.forService(need.service).Capacity)
	fitting := max(1, int(free)/int(max(1, size)))
	c.delegate(s, starved[:min(len(starved), fitting)], to, now)
}

// hasWaited reports whether a queued task has waited long enough to be delegated.
func (t *task) hasWaited(limit time.Duration, now time.Time) bool {
	if t.lastRun > 0 && t.queuedAt.Equal(t.stage.job.restoredAt) {
		limit = lostBeforeAfter
	}
	return now.Sub(t.queuedAt) >= limit
}

// delegateLost delegates the starved tasks of a stage that have lost their runs and for which this cell
// cannot reserve a worker. Since lost tasks go ahead of the backlog in the other cell, that need not
// have free capacity beyond its backlog. The cells that the tasks came through count, too. It reports whether
// any task was delegated.
func (c *Core) delegateLost(s *stage, starved []*task, now time.Time) bool {
	var lost []*task
	for _, t := range starved {
		if t.lastRun > 0 && t.hasWaited(stuckAfter, now) && !c.hasReserved(t) {
			lost = append(lost, t)
		}
	}
	if len(lost) == 0 {
		return false
	}
	service := s.job.Policy.Service
	to, most := c.cell.Index, minFitsForLost-1
	for i := range c.cell.Count {
		peer := c.peers[i]
		if peer == nil {
			continue
		}
		load := peer.forService(service)
		if n := load.fitsForLost(s.step); load.hasLabelsFor(s.job.Job) && n > most {
			to, most = i, n
		}
	}
	if to == c.cell.Index {
		return false
	}
	load := c.peers[to].forService(service)
	fitting := 0
	for fitting < len(lost) && load.fitsForLost(s.step) >= minFitsForLost {
		// The other cells know the same load and choose the same cell.
		for range c.cell.Count {
			load.deductLost(s.step)
		}
		fitting++
	}
	c.delegate(s, lost[:fitting], to, now)
	return true
}

// delegators returns the cells through which delegated tasks came. Others are preferred to them, so that tasks do
// not go back and forth. Cells that only have a forwarding record of the job are not among them, since they may be
// given tasks of it.
func (j *job) delegators() []int {
	if j.delegated {
		return j.cellPath
	}
	return nil
}

// delegate delegates tasks to another cell. The tasks must be guaranteed not to run.
func (c *Core) delegate(s *stage, tasks []*task, to int, now time.Time) {
	j := s.job
	delegation := wireStage{Stage: s.number()}
	for _, t := range tasks {
		t.moves++
		delegation.Tasks = append(delegation.Tasks, wireTask{
			Index: t.index, LastRun: t.lastRun, Checkpoint: t.checkpoint, Crashes: encodeCrashes(t.crashes), Moves: t.moves,
			WaitedMs: (now.Sub(t.queuedAt) + t.waitedBefore).Milliseconds(),
		})
		c.note(Note{Kind: NoteDelegated, Task: t.name(), Run: t.lastRun, Cell: to, Age: now.Sub(t.queuedAt)})
		t.state = taskDone
		s.queued--
		s.unfinished--
	}
	c.peers[to].assume(cpuNeed{service: j.Policy.Service, allocated: int64(s.step.Size.Processors)}, int64(len(tasks)))
	j.pendingDelegation = &delegation
	j.delegatedTo = append(j.delegatedTo, to)
	c.markDirty(j)
}

// takeDelegation returns the delegation that is committed with the job's record, if any.
func (c *Core) takeDelegation(j *job) (*Delegation, error) {
	if j.pendingDelegation == nil {
		return nil, nil
	}
	w := wireJob{
		ID: j.ID, Queue: j.Queue, Service: j.Policy.Service, Policy: encodePolicy(j.Policy), Spec: j.Spec, State: string(Active), Occurrences: j.startedOccurrences,
		AcceptedMs: j.accepted.Add(c.wallOffset).UnixMilli(), Stages: []wireStage{*j.pendingDelegation},
		Path: append(slices.Clone(j.delegators()), c.cell.Index),
	}
	w.Steps = encodeSteps(j.Steps)
	j.pendingDelegation, j.delegationInFlight = nil, true
	value, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode delegation of job %s: %w", j.ID, err)
	}
	return &Delegation{To: j.delegatedTo[len(j.delegatedTo)-1], Number: len(j.delegatedTo), Value: value}, nil
}

// AcceptDelegation accepts tasks that another cell has delegated, and returns the ID under which
// they are stored. Tasks of a delegation that was accepted before do not change, even if they have moved on.
func (c *Core) AcceptDelegation(value []byte, now time.Time) (string, error) {
	var w wireJob
	if err := json.Unmarshal(value, &w); err != nil {
		return "", fmt.Errorf("decode delegation: %w", err)
	}
	j := c.jobHere(w.ID)
	if j == nil {
		if err := c.unreadableRecord(w.ID, DelegatedID(w.ID)); err != nil {
			return "", err
		}
		j = &job{
			Job: decodeSubmission(w), state: Active, delegated: true,
			accepted: time.UnixMilli(w.AcceptedMs).Add(-c.wallOffset),
		}
		if err := j.Check(); err != nil {
			return "", err
		}
		c.completePolicy(&j.Job)
		if w.Occurrences > j.occurrences() {
			return "", &InvalidError{Reason: fmt.Sprintf("delegation of %s has %d occurrences", w.ID, w.Occurrences)}
		}
		c.addJob(j)
		for range w.Occurrences {
			c.startOccurrence(j)
		}
		for _, s := range j.stages {
			s.ready, s.readyAt, s.unfinished = true, now, 0
			for _, t := range s.tasks {
				t.state = taskDone
			}
		}
	}
	if j.state.Final() {
		return j.storageID(), nil
	}
	for _, cell := range w.Path {
		if j.delegated && !slices.Contains(j.cellPath, cell) {
			j.cellPath = append(j.cellPath, cell)
		}
	}
	for _, ws := range w.Stages {
		if ws.Stage < 0 || ws.Stage >= len(j.stages) {
			return "", &InvalidError{Reason: fmt.Sprintf("delegation of %s names unknown stage %d", w.ID, ws.Stage)}
		}
		s := j.stages[ws.Stage]
		for _, wt := range ws.Tasks {
			// Earlier versions do not count the moves, and let no task return to a cell.
			moves := cmp.Or(wt.Moves, len(w.Path))
			if wt.Index < 0 || wt.Index >= len(s.tasks) || !s.tasks[wt.Index].mayReceive(moves) {
				continue
			}
			t := s.tasks[wt.Index]
			t.lastRun, t.checkpoint, t.crashes, t.moves = wt.LastRun, wt.Checkpoint, decodeCrashes(wt.Crashes), moves
			s.unfinished++
			c.enqueue(t, now)
			t.waitedBefore = time.Duration(wt.WaitedMs) * time.Millisecond
		}
	}
	c.markDirty(j)
	return j.storageID(), nil
}

// mayReceive reports whether a delegation after a number of moves brings the task to this cell. A delegation that was
// accepted before does not, even if the task has been delegated to another cell since then.
func (t *task) mayReceive(moves int) bool {
	return t.state == taskDone && t.stage.step.LongRunning && moves > t.moves
}

// assumeMoves sets the moves of delegated tasks that came with a record of an earlier version, which did not
// count them, nor let tasks return to a cell.
func (j *job) assumeMoves(moves int) {
	for _, s := range j.stages {
		for _, t := range s.tasks {
			if t.state != taskDone && t.moves == 0 {
				t.moves = moves
			}
		}
	}
}
