package batch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Record is a change of a job's stored form, with what goes to other cells in the same commit.
type Record struct {
	ID string
	// Value is the stored form; nil deletes the record.
	Value []byte
	// HandedOver is an entry for the inbox of the cell To; nil if the job is not handed over.
	HandedOver []byte
	To         int
	// CancelCells lists the cells whose inboxes get a cancel of the job CancelID.
	CancelCells []int
	CancelID    string
	// Delegation is the delegation that goes to another cell; nil if there is none.
	Delegation *Delegation
}

// Changes are the records that have to become durable in one commit.
type Changes struct {
	Records []Record
	// Unresponsive is the record of unresponsive workers; nil leaves it unchanged.
	Unresponsive []byte
	jobs         []changedJob
	writes       int
}

// changedJob is a job with a record in Changes, and what Committed does for it once that record is
// durable. The state is that of the record.
type changedJob struct {
	job     *job
	starts  []*run
	ends    []endRef
	waiters []func(State)
	state   State
	// delegation is the job's part of Record.Delegation, writes the number of writes of the record.
	delegation *wireStage
	writes     int
}

// IsEmpty reports whether there is nothing to commit.
func (c Changes) IsEmpty() bool { return len(c.Records) == 0 && c.Unresponsive == nil }

// Writes returns the number of writes that the job records need.
func (c Changes) Writes() int { return c.writes }

// HasChanges reports whether anything has to be committed.
func (c *Core) HasChanges() bool { return len(c.dirty) > 0 || c.unresponsive.writeDue }

// TakeChanges returns the records of changed jobs, with at most limit writes and together no larger
// than one record may be, unless the first job needs more. A job that is handed over needs two
// writes.
func (c *Core) TakeChanges(limit int, now time.Time) (Changes, error) {
	var ch Changes
	unresponsive, err := c.takeUnresponsiveRecord(now)
	if err != nil {
		return Changes{}, fmt.Errorf("encode unresponsive workers: %w", err)
	}
	ch.Unresponsive = unresponsive
	n, size := 0, 0
	var unfit []*job
	for _, j := range c.dirty {
		writes := j.writes()
		if n > 0 && ch.writes+writes > limit {
			break
		}
		value, fits, err := c.encodeFitting(j, now)
		if err != nil {
			return Changes{}, fmt.Errorf("encode job %s: %w", j.ID, err)
		}
		if len(ch.Records) > 0 && size+len(value) > c.recordLimit {
			break
		}
		n++
		size += len(value)
		if !fits {
			j.dirty = false
			unfit = append(unfit, j)
			continue
		}
		ch.writes += writes
		if j.removed {
			value = nil
		}
		delegation := j.pendingDelegation
		record := Record{ID: j.storageID(), Value: value, To: j.forwardedTo, CancelCells: j.cancelCells, CancelID: j.ID}
		if j.state != Moved {
			record.CancelID = DelegatedID(j.ID)
		}
		if record.Delegation, err = c.takeDelegation(j); err != nil {
			return Changes{}, err
		}
		if j.handOverPending {
			if record.HandedOver, err = c.encodeHandedOver(j); err != nil {
				return Changes{}, fmt.Errorf("encode job %s: %w", j.ID, err)
			}
		}
		j.cancelCells, j.handOverPending = nil, false
		ch.Records = append(ch.Records, record)
		ch.jobs = append(ch.jobs, changedJob{
			job: j, starts: j.pendingStarts, ends: j.pendingEnds, waiters: j.waiters, state: j.state,
			delegation: delegation, writes: writes,
		})
		j.dirty, j.inFlight = false, true
		j.pendingStarts, j.pendingEnds, j.waiters = nil, nil, nil
	}
	c.dirty = c.dirty[n:]
	if len(c.dirty) == 0 {
		c.dirty = nil
	}
	c.dropUnfit(unfit, now)
	return ch, nil
}

// writes returns the number of writes that the job's next record needs.
func (j *job) writes() int {
	n := 1 + len(j.cancelCells)
	if j.handOverPending {
		n++
	}
	if j.pendingDelegation != nil {
		n++
	}
	return n
}

// Committed records that changes were committed, and returns the start commands that may be sent
// now.
func (c *Core) Committed(ch Changes) []Command {
	var commands []Command
	if ch.Unresponsive != nil {
		c.markUnresponsiveDurable()
	}
	for i, t := range ch.jobs {
		t.job.storedState, t.job.inFlight, t.job.delegationInFlight = t.state, false, false
		t.job.recordSize = len(ch.Records[i].Value)
		t.job.isSetAside = t.job.isSetAside && !t.state.Final()
		for _, r := range t.starts {
			if r.state == runPending {
				commands = append(commands, Command{Kind: CommandStart, run: r, worker: r.worker})
			}
		}
		c.markEndsDurable(t.ends)
		if t.state.isClosed() {
			// This cell cannot start its tasks again, so the ends that were reported since then need no record.
			c.markEndsDurable(t.job.pendingEnds)
			t.job.pendingEnds = nil
		}
		for _, call := range t.waiters {
			call(t.state)
		}
		if t.state == Moved {
			// The other cell stores the steps.
			t.job.Job = Job{ID: t.job.ID, Queue: t.job.Queue}
		}
		if ch.Records[i].Value == nil {
			delete(c.jobs, t.job.storageID())
		}
	}
	return commands
}

// markEndsDurable lets the workers forget run ends that they have reported, except those of former incarnations.
func (c *Core) markEndsDurable(ends []endRef) {
	for _, e := range ends {
		if e.worker.Incarnation == e.incarnation {
			e.worker.markEndDurable(e.number)
			c.ackable[e.worker.ID] = true
		}
	}
}

// The stored form of a job. Times are milliseconds of Unix time.
type (
	wireJob struct {
		ID          string      `json:"id"`
		Queue       string      `json:"queue"`
		Service     string      `json:"service,omitempty"`
		Policy      *wirePolicy `json:"policy,omitempty"`
		Spec        string      `json:"spec,omitempty"`
		Steps       []wireStep  `json:"steps,omitempty"`
		Repeats     int         `json:"repeats,omitempty"`
		FirstMs     int64       `json:"firstMillis,omitempty"`
		EveryMs     int64       `json:"everyMillis,omitempty"`
		AcceptedMs  int64       `json:"acceptedMillis"`
		EndedMs     int64       `json:"endedMillis,omitempty"`
		State       string      `json:"state"`
		Reason      string      `json:"reason,omitempty"`
		Stages      []wireStage `json:"stages,omitempty"`
		Occurrences int         `json:"occurrences,omitempty"`
		// Cell is the cell to which a job in the state "moved" was handed over.
		Cell int `json:"cell,omitempty"`
		// DelegatedTo lists the cells that run delegated tasks of the job. Delegated means that the
		// record holds tasks which were delegated to this cell.
		DelegatedTo []int `json:"lent,omitempty"`
		Delegated   bool  `json:"guest,omitempty"`
		// Path lists the cells through which the job or the delegated tasks came.
		Path []int `json:"path,omitempty"`
		// Started is a job that is handed over with its progress. It is a separate field, so that
		// an earlier version, which does not know the field, rejects the entry because it has no
		// steps.
		Started *wireJob `json:"begun,omitempty"`
		// Folded is the rest of a record without the stages of finished occurrences. It is a separate
		// field, so that an earlier version, which would run these occurrences again, rejects the
		// record because it has no steps.
		Folded *wireFolded `json:"folded,omitempty"`
	}
	// wireStage omits tasks that never had a run.
	wireStage struct {
		Stage int `json:"stage"`
		// AllDone means that all tasks have ended; otherwise Done is a bit set of those that have.
		AllDone bool       `json:"allDone,omitempty"`
		Done    []byte     `json:"done,omitempty"`
		Tasks   []wireTask `json:"tasks,omitempty"`
		// Ages means that runs tell whether their workers are young. Records of earlier versions do not.
		Ages bool `json:"ages,omitempty"`
	}
	wireTask struct {
		Index      int       `json:"i"`
		LastRun    int64     `json:"n,omitempty"`
		Checkpoint string    `json:"c,omitempty"`
		Failed     []int64   `json:"f,omitempty"`
		Runs       []wireRun `json:"r,omitempty"`
		// Crashes counts the workers that crashed under the task; nil if there were none.
		Crashes *wireCrashes `json:"x,omitempty"`
		// Moves is how often the task was delegated. A task that another cell runs is done here.
		Moves int `json:"m,omitempty"`
		// WaitedMs is how long a delegated task had waited.
		WaitedMs int64 `json:"waitedMillis,omitempty"`
	}
	wireRun struct {
		Number      int64  `json:"n"`
		Worker      string `json:"w"`
		Incarnation int64  `json:"b,omitempty"`
		Young       bool   `json:"y,omitempty"`
	}
)

func encodeJob(j *job, wallOffset time.Duration) ([]byte, error) {
	w := wireJob{
		ID: j.ID, Queue: j.Queue, Service: j.Policy.Service, State: string(j.state), Reason: j.reason,
		AcceptedMs: j.accepted.Add(wallOffset).UnixMilli(),
	}
	if j.state.Final() {
		w.EndedMs, w.Delegated = j.endedAt.Add(wallOffset).UnixMilli(), j.delegated
		return json.Marshal(w)
	}
	if j.state == Moved {
		w.Cell = j.forwardedTo
		return json.Marshal(w)
	}
	w.Policy = encodePolicy(j.Policy)
	w.addTasks(j)
	return json.Marshal(w.fold(j))
}

// addTasks adds the steps of a job and the progress of their tasks.
func (w *wireJob) addTasks(j *job) {
	w.Spec, w.Occurrences, w.DelegatedTo, w.Delegated, w.Path = j.Spec, j.startedOccurrences, j.delegatedTo, j.delegated, j.cellPath
	if j.Repeat.Count > 0 {
		w.Repeats, w.FirstMs, w.EveryMs = j.Repeat.Count, j.Repeat.First.UnixMilli(), j.Repeat.Every.Milliseconds()
	}
	w.Steps = encodeSteps(j.Steps)
	for _, s := range j.stages {
		if ws, touched := encodeStage(s); touched {
			w.Stages = append(w.Stages, ws)
		}
	}
}

// encodeStage returns the stored form of a stage, and false if nothing has happened to its tasks.
func encodeStage(s *stage) (wireStage, bool) {
	w := wireStage{Stage: s.number(), AllDone: s.unfinished == 0}
	if w.AllDone && !s.step.LongRunning {
		return w, true
	}
	for _, t := range s.tasks {
		if t.state == taskDone {
			if !w.AllDone && w.Done == nil {
				w.Done = make([]byte, (len(s.tasks)+7)/8)
			}
			if !w.AllDone {
				w.Done[t.index/8] |= 1 << (t.index % 8)
			}
			if t.moves > 0 {
				w.Tasks = append(w.Tasks, wireTask{Index: t.index, Moves: t.moves})
			}
			continue
		}
		if t.lastRun == 0 && t.moves == 0 {
			continue
		}
		wt := wireTask{Index: t.index, LastRun: t.lastRun, Checkpoint: t.checkpoint, Failed: t.failedRuns, Crashes: encodeCrashes(t.crashes), Moves: t.moves}
		for _, r := range t.runs {
			wt.Runs = append(wt.Runs, wireRun{Number: r.number, Worker: r.worker.ID, Incarnation: cmp.Or(r.worker.Incarnation, r.incarnation), Young: !r.settled})
			w.Ages = true
		}
		w.Tasks = append(w.Tasks, wt)
	}
	return w, w.AllDone || w.Done != nil || w.Tasks != nil
}

// DecodeJob returns the submission in a record or an inbox entry.
func DecodeJob(value []byte) (Job, error) {
	j, _, err := DecodeHandedOver(value)
	return j, err
}

// DecodeHandedOver returns the submission in an inbox entry, and the cells through which it came.
func DecodeHandedOver(value []byte) (Job, []int, error) {
	var w wireJob
	if err := json.Unmarshal(value, &w); err != nil {
		return Job{}, nil, fmt.Errorf("decode job: %w", err)
	}
	w, _ = w.unfold()
	return decodeSubmission(w), w.Path, nil
}

// EncodeJob returns the stored form of a submission in the inbox of a cell.
func EncodeJob(j Job) ([]byte, error) { return encodeSubmission(j, 0, nil) }

// encodeSubmission returns the stored form of a submission. AcceptedMs is when it was accepted, zero if that is not
// known.
func encodeSubmission(j Job, acceptedMs int64, path []int) ([]byte, error) {
	w := wireJob{
		ID: j.ID, Queue: j.Queue, Service: j.Policy.Service, Policy: encodePolicy(j.Policy), Spec: j.Spec, State: string(Queued),
		AcceptedMs: acceptedMs, Path: path,
	}
	if j.Repeat.Count > 0 {
		w.Repeats, w.FirstMs, w.EveryMs = j.Repeat.Count, j.Repeat.First.UnixMilli(), j.Repeat.Every.Milliseconds()
	}
	w.Steps = encodeSteps(j.Steps)
	return json.Marshal(w)
}

// encodeHandedOver returns the stored form of a job that is handed over, for the other cell's
// inbox.
func (c *Core) encodeHandedOver(j *job) ([]byte, error) {
	path := append(slices.Clone(j.cellPath), c.cell.Index)
	if j.startedState == nil {
		return encodeSubmission(j.Job, j.accepted.Add(c.wallOffset).UnixMilli(), path)
	}
	j.startedState.Path = path
	return json.Marshal(wireJob{ID: j.ID, Queue: j.Queue, State: string(Active), Started: j.startedState})
}

// DecodeState returns the state in a record, and for Moved the cell that the job was handed over
// to.
func DecodeState(value []byte) (State, int, error) {
	var w wireJob
	if err := json.Unmarshal(value, &w); err != nil {
		return "", 0, fmt.Errorf("decode job: %w", err)
	}
	return State(w.State), w.Cell, nil
}

func decodeSubmission(w wireJob) Job {
	j := Job{ID: w.ID, Queue: w.Queue, Spec: w.Spec, Policy: decodePolicy(w)}
	if w.Repeats > 0 {
		j.Repeat = Repeat{
			Count: w.Repeats, First: time.UnixMilli(w.FirstMs), Every: time.Duration(w.EveryMs) * time.Millisecond,
		}
	}
	for _, s := range w.Steps {
		j.Steps = append(j.Steps, decodeStep(s))
	}
	return j
}

// Restore loads the record of a job that an earlier leader committed.
func (c *Core) Restore(value []byte, now time.Time) error {
	var w wireJob
	if err := json.Unmarshal(value, &w); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	w, finished := w.unfold()
	j := &job{
		Job: decodeSubmission(w), state: State(w.State), reason: w.Reason,
		accepted: time.UnixMilli(w.AcceptedMs).Add(-c.wallOffset), storedState: State(w.State), delegatedTo: w.DelegatedTo, delegated: w.Delegated, cellPath: w.Path,
	}
	if j.state.Final() {
		j.endedAt = time.UnixMilli(w.EndedMs).Add(-c.wallOffset)
		c.addJob(j)
		return nil
	}
	if j.state == Moved {
		j.forwardedTo = w.Cell
		c.addJob(j)
		return nil
	}
	if err := j.Check(); err != nil {
		return err
	}
	c.completePolicy(&j.Job)
	if err := c.restoreStages(j, w, finished, now); err != nil {
		return err
	}
	c.addJob(j)
	c.advance(j, now)
	c.completeIfDone(j, now)
	return nil
}

// restoreStages restores the progress of a job's tasks. Finished tells for each occurrence that has
// started whether its stages are left out; nil means that none are.
func (c *Core) restoreStages(j *job, w wireJob, finished []bool, now time.Time) error {
	if w.Occurrences < 0 || w.Occurrences > j.occurrences() {
		return &InvalidError{Reason: fmt.Sprintf("record of %s has %d of %d occurrences", j.ID, w.Occurrences, j.occurrences())}
	}
	j.restoredAt = now
	for o := range w.Occurrences {
		if o < len(finished) && finished[o] {
			j.startedOccurrences++
			continue
		}
		c.startOccurrence(j)
	}
	for _, s := range w.Stages {
		if s.Stage < 0 || s.Stage >= w.Occurrences*len(j.Steps) {
			return &InvalidError{Reason: fmt.Sprintf("record of %s names unknown stage %d", j.ID, s.Stage)}
		}
		if stage := j.stage(s.Stage/len(j.Steps), s.Stage%len(j.Steps)); stage != nil {
			c.restoreStage(stage, s, now)
		}
	}
	if w.Delegated {
		j.assumeMoves(len(w.Path))
	}
	if j.hasStarted() {
		j.state = Active
	}
	return nil
}

func (c *Core) restoreStage(s *stage, w wireStage, now time.Time) {
	s.ready, s.readyAt = true, now
	for _, t := range s.tasks {
		if w.AllDone || t.index/8 < len(w.Done) && w.Done[t.index/8]&(1<<(t.index%8)) != 0 {
			t.state = taskDone
			s.unfinished--
		}
	}
	for _, wt := range w.Tasks {
		if wt.Index < 0 || wt.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[wt.Index]
		t.lastRun, t.checkpoint, t.failedRuns, t.crashes, t.moves = wt.LastRun, wt.Checkpoint, wt.Failed, decodeCrashes(wt.Crashes), wt.Moves
		s.lastGangRun = max(s.lastGangRun, t.lastRun)
		for _, wr := range wt.Runs {
			c.restoreRun(t, wr, w.Ages && !wr.Young, now)
		}
	}
	for _, t := range s.tasks {
		if t.state == taskWaiting {
			c.enqueue(t, now)
			if t.lastRun > 0 {
				t.waitedBefore = reserveAfter
			}
		}
	}
}

// restoreRun restores a run as unconfirmed, since its record does not show whether the start
// command was sent.
func (c *Core) restoreRun(t *task, wr wireRun, settled bool, now time.Time) {
	w := c.worker(wr.Worker)
	r := &run{
		task: t, number: wr.Number, worker: w, incarnation: wr.Incarnation, state: runUnconfirmed, stateSince: now, sentAt: now, throttleRatio: unthrottled,
		restored: true,
		settled:  settled || c.contacts.isFirst(wr.Worker, wr.Incarnation),
	}
	t.state = taskPlaced
	t.runs = append(t.runs, r)
	w.addRun(r)
	if !r.settled && w.restarted && !w.contacted {
		w.leasesExpireAt = later(w.leasesExpireAt, c.uncontactedExpiry.Add(maxLateness*c.timing.MaxLease))
	}
}
