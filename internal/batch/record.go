package batch

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Record is the durable form of a job.
type Record struct {
	ID string
	// Value is nil for a job that is to be forgotten.
	Value []byte
	// HandedOver is what goes to the inbox of the cell To; nil if the job stays.
	HandedOver []byte
	To         int
	// CancelCells are the cells to whose inboxes a cancel goes, under CancelID.
	CancelCells []int
	CancelID    string
	// Delegation are tasks that another cell is to run; nil if there are none.
	Delegation *Loan
}

// Changes are the records that one commit has to make durable.
type Changes struct {
	Records []Record
	// Unresponsive is the record of workers whose leases nobody renews; nil leaves it as it is.
	Unresponsive []byte
	jobs         []taken
	writes       int
}

// taken is a job as its record shows it.
type taken struct {
	job    *job
	final  bool
	starts []*run
	ends   []endRef
	waits  []func(State)
	state  State
}

// IsEmpty reports whether there is nothing to commit.
func (c Changes) IsEmpty() bool { return len(c.Records) == 0 && c.Unresponsive == nil }

// Writes returns how many writes of jobs a commit makes.
func (c Changes) Writes() int { return c.writes }

// HasChanges reports whether anything has to be made durable since the last Take.
func (c *Core) HasChanges() bool { return len(c.dirty) > 0 || c.silences.due }

// TakeChanges returns the records of changed jobs, at most limit; a job that is handed
// to another cell counts twice.
func (c *Core) TakeChanges(limit int, now time.Time) (Changes, error) {
	var ch Changes
	silent, err := c.takeSilences(now)
	if err != nil {
		return Changes{}, fmt.Errorf("encode silent workers: %w", err)
	}
	ch.Unresponsive = silent
	n := 0
	for _, j := range c.dirty {
		writes := j.writes()
		if n > 0 && ch.writes+writes > limit {
			break
		}
		n++
		ch.writes += writes
		value, err := encodeJob(j, c.wall)
		if err != nil {
			return Changes{}, fmt.Errorf("encode job %s: %w", j.ID, err)
		}
		if j.removed {
			value = nil
		}
		record := Record{ID: j.key(), Value: value, To: j.movedTo, CancelCells: j.cancelAt, CancelID: j.ID}
		if j.state != Moved {
			record.CancelID = GuestID(j.ID)
		}
		if record.Delegation, err = c.takeLoan(j); err != nil {
			return Changes{}, err
		}
		if j.handing {
			if record.HandedOver, err = c.encodeHanded(j); err != nil {
				return Changes{}, fmt.Errorf("encode job %s: %w", j.ID, err)
			}
		}
		j.cancelAt, j.handing = nil, false
		ch.Records = append(ch.Records, record)
		ch.jobs = append(ch.jobs, taken{
			job: j, final: j.state.Final(), starts: j.starts, ends: j.ends, waits: j.waiters, state: j.state,
		})
		j.dirty, j.inFlight = false, true
		j.starts, j.ends, j.waiters = nil, nil, nil
	}
	c.dirty = c.dirty[n:]
	if len(c.dirty) == 0 {
		c.dirty = nil
	}
	return ch, nil
}

// writes returns how many writes the job's next record needs.
func (j *job) writes() int {
	n := 1 + len(j.cancelAt)
	if j.handing {
		n++
	}
	if j.loan != nil {
		n++
	}
	return n
}

// Committed takes that changes were committed, and returns the starts that may be ordered now.
func (c *Core) Committed(ch Changes) []Command {
	var orders []Command
	if ch.Unresponsive != nil {
		c.silencesDurable()
	}
	for _, t := range ch.jobs {
		t.job.stored, t.job.inFlight = true, false
		t.job.finalStored = t.job.finalStored || t.final
		for _, r := range t.starts {
			if r.state == runIntended {
				orders = append(orders, Command{Kind: CommandStart, run: r, worker: r.worker})
			}
		}
		for _, e := range t.ends {
			if e.worker.Incarnation == e.born {
				e.worker.endDurable(e.number)
				c.acked[e.worker.ID] = true
			}
		}
		for _, call := range t.waits {
			call(t.state)
		}
		if t.state == Moved {
			t.job.movedStored = true
			// The other cell has the steps.
			t.job.Job = Job{ID: t.job.ID, Queue: t.job.Queue}
		}
		if t.job.removed {
			delete(c.jobs, t.job.key())
		}
	}
	return orders
}

// The durable form of a job. Times are milliseconds of the time of day.
type (
	wireJob struct {
		ID          string      `json:"id"`
		Queue       string      `json:"queue"`
		Service     string      `json:"service,omitempty"`
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
		// Cell is where a job in the state "moved" went.
		Cell int `json:"cell,omitempty"`
		// Lent are the cells to which tasks were lent, and a guest is what was lent here.
		Lent  []int `json:"lent,omitempty"`
		Guest bool  `json:"guest,omitempty"`
		// Path are the cells by way of which a job or a guest came.
		Path []int `json:"path,omitempty"`
		// Begun is a job that was handed on with what has happened to it. It stands
		// apart, so that a version which does not know it refuses the entry.
		Begun *wireJob `json:"begun,omitempty"`
	}
	wireStep struct {
		Tasks         int      `json:"tasks"`
		MilliCores    int64    `json:"milliCores,omitempty"`
		MemoryBytes   int64    `json:"memoryBytes,omitempty"`
		Accelerators  int64    `json:"accelerators,omitempty"`
		EstimateMs    int64    `json:"estimateMillis,omitempty"`
		After         []int    `json:"after,omitempty"`
		Traits        []string `json:"traits,omitempty"`
		RequiredLabel string   `json:"requiredLabel,omitempty"`
		PreferredRack string   `json:"preferredRack,omitempty"`
		MaxPerWorker  int      `json:"maxPerWorker,omitempty"`
		Image         string   `json:"image,omitempty"`
		TailTargetMs  int64    `json:"tailTargetMillis,omitempty"`
		MayMiss       int      `json:"mayMiss,omitempty"`
	}
	// wireStage leaves out tasks of which nothing has happened.
	wireStage struct {
		Stage int `json:"stage"`
		// AllDone stands for all tasks, Done is a bit set of those that have ended.
		AllDone bool       `json:"allDone,omitempty"`
		Done    []byte     `json:"done,omitempty"`
		Tasks   []wireTask `json:"tasks,omitempty"`
	}
	wireTask struct {
		Index      int       `json:"i"`
		LastRun    int64     `json:"n,omitempty"`
		Checkpoint string    `json:"c,omitempty"`
		Failed     []int64   `json:"f,omitempty"`
		Runs       []wireRun `json:"r,omitempty"`
	}
	wireRun struct {
		Number int64  `json:"n"`
		Worker string `json:"w"`
		Born   int64  `json:"b,omitempty"`
	}
)

// The traits of a step, as records name them.
const (
	traitCheckpoints = "checkpoints"
	traitGang        = "gang"
	traitSameRack    = "sameRack"
	traitSpeculative = "speculative"
	traitLongRunning = "longRunning"
	traitFills       = "fills"
)

func encodeJob(j *job, wall time.Duration) ([]byte, error) {
	w := wireJob{
		ID: j.ID, Queue: j.Queue, Service: j.service, State: string(j.state), Reason: j.reason,
		AcceptedMs: j.accepted.Add(wall).UnixMilli(),
	}
	if j.state.Final() {
		w.EndedMs = j.endedAt.Add(wall).UnixMilli()
		return json.Marshal(w)
	}
	if j.state == Moved {
		w.Cell = j.movedTo
		return json.Marshal(w)
	}
	w.addTasks(j)
	return json.Marshal(w)
}

// addTasks adds a job's steps and what has happened to their tasks.
func (w *wireJob) addTasks(j *job) {
	w.Spec, w.Occurrences, w.Lent, w.Guest, w.Path = j.Spec, j.begun, j.lent, j.guest, j.path
	if j.Repeat.Count > 0 {
		w.Repeats, w.FirstMs, w.EveryMs = j.Repeat.Count, j.Repeat.First.UnixMilli(), j.Repeat.Every.Milliseconds()
	}
	w.Steps = encodeSteps(j.Steps)
	for i, s := range j.stages {
		if ws, touched := encodeStage(i, s); touched {
			w.Stages = append(w.Stages, ws)
		}
	}
}

func encodeSteps(steps []Step) []wireStep {
	var all []wireStep
	for _, s := range steps {
		all = append(all, encodeStep(s))
	}
	return all
}

func encodeStep(s Step) wireStep {
	w := wireStep{
		Tasks: s.Tasks, MilliCores: int64(s.Size.Processors), MemoryBytes: int64(s.Size.Memory),
		Accelerators: int64(s.Size.Accelerators), EstimateMs: s.Estimate.Milliseconds(), After: s.After,
		RequiredLabel: s.RequiredLabel, PreferredRack: s.PreferredRack, MaxPerWorker: s.MaxPerWorker,
		Image: s.Image, TailTargetMs: s.TailTarget.Milliseconds(), MayMiss: s.MaxUnavailable,
	}
	for _, t := range s.traits() {
		if *t.flag {
			w.Traits = append(w.Traits, t.name)
		}
	}
	return w
}

type trait struct {
	name string
	flag *bool
}

func (s *Step) traits() []trait {
	return []trait{
		{traitCheckpoints, &s.Checkpoints},
		{traitGang, &s.Gang},
		{traitSameRack, &s.SameRack},
		{traitSpeculative, &s.Speculative},
		{traitLongRunning, &s.LongRunning},
		{traitFills, &s.Filler},
	}
}

func decodeStep(w wireStep) Step {
	s := Step{
		Tasks: w.Tasks,
		Size: share.Resources{
			Processors: share.MilliCores(w.MilliCores), Memory: share.Bytes(w.MemoryBytes),
			Accelerators: share.Accelerators(w.Accelerators),
		},
		Estimate: time.Duration(w.EstimateMs) * time.Millisecond, After: w.After,
		RequiredLabel: w.RequiredLabel, PreferredRack: w.PreferredRack, MaxPerWorker: w.MaxPerWorker,
		Image: w.Image, TailTarget: time.Duration(w.TailTargetMs) * time.Millisecond, MaxUnavailable: w.MayMiss,
	}
	for _, t := range s.traits() {
		for _, name := range w.Traits {
			if name == t.name {
				*t.flag = true
			}
		}
	}
	return s
}

// encodeStage reports whether anything has happened to the stage.
func encodeStage(i int, s *stage) (wireStage, bool) {
	w := wireStage{Stage: i}
	if s.undone == 0 {
		w.AllDone = true
		return w, true
	}
	for _, t := range s.tasks {
		if t.state == taskDone {
			if w.Done == nil {
				w.Done = make([]byte, (len(s.tasks)+7)/8)
			}
			w.Done[t.index/8] |= 1 << (t.index % 8)
			continue
		}
		if t.lastRun == 0 {
			continue
		}
		wt := wireTask{Index: t.index, LastRun: t.lastRun, Checkpoint: t.checkpoint, Failed: t.failed}
		for _, r := range t.runs {
			wt.Runs = append(wt.Runs, wireRun{Number: r.number, Worker: r.worker.ID, Born: r.worker.Incarnation})
		}
		w.Tasks = append(w.Tasks, wt)
	}
	return w, w.Done != nil || w.Tasks != nil
}

// DecodeJob returns the submission that a record or an inbox entry holds.
func DecodeJob(value []byte) (Job, error) {
	j, _, err := DecodeHanded(value)
	return j, err
}

// DecodeHanded returns the submission that an inbox entry holds, and the cells by
// way of which it came.
func DecodeHanded(value []byte) (Job, []int, error) {
	var w wireJob
	if err := json.Unmarshal(value, &w); err != nil {
		return Job{}, nil, fmt.Errorf("decode job: %w", err)
	}
	return decodeSubmission(w), w.Path, nil
}

// EncodeJob returns the form in which a submission waits for a holder.
func EncodeJob(j Job) ([]byte, error) { return encodeSubmission(j, nil) }

func encodeSubmission(j Job, path []int) ([]byte, error) {
	w := wireJob{ID: j.ID, Queue: j.Queue, Spec: j.Spec, State: string(Queued), Path: path}
	if j.Repeat.Count > 0 {
		w.Repeats, w.FirstMs, w.EveryMs = j.Repeat.Count, j.Repeat.First.UnixMilli(), j.Repeat.Every.Milliseconds()
	}
	w.Steps = encodeSteps(j.Steps)
	return json.Marshal(w)
}

// encodeHanded returns the form in which a job goes to another cell.
func (c *Core) encodeHanded(j *job) ([]byte, error) {
	path := append(slices.Clone(j.path), c.cell.Index)
	if j.carried == nil {
		return encodeSubmission(j.Job, path)
	}
	j.carried.Path = path
	return json.Marshal(wireJob{ID: j.ID, Queue: j.Queue, State: string(Active), Begun: j.carried})
}

// DecodeState returns the state that a record holds, and for Moved the cell
// that has the job.
func DecodeState(value []byte) (State, int, error) {
	var w wireJob
	if err := json.Unmarshal(value, &w); err != nil {
		return "", 0, fmt.Errorf("decode job: %w", err)
	}
	return State(w.State), w.Cell, nil
}

func decodeSubmission(w wireJob) Job {
	j := Job{ID: w.ID, Queue: w.Queue, Spec: w.Spec}
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

// Restore takes the record of a job that an earlier holder committed.
func (c *Core) Restore(value []byte, now time.Time) error {
	var w wireJob
	if err := json.Unmarshal(value, &w); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	j := &job{
		Job: decodeSubmission(w), service: w.Service, state: State(w.State), reason: w.Reason,
		accepted: time.UnixMilli(w.AcceptedMs).Add(-c.wall), stored: true, lent: w.Lent, guest: w.Guest, path: w.Path,
	}
	if j.state.Final() {
		j.finalStored, j.endedAt = true, time.UnixMilli(w.EndedMs).Add(-c.wall)
		c.adopt(j)
		return nil
	}
	if j.state == Moved {
		j.movedTo, j.movedStored = w.Cell, true
		c.adopt(j)
		return nil
	}
	if err := c.restoreStages(j, w, now); err != nil {
		return err
	}
	c.adopt(j)
	c.advance(j, now)
	c.completeIfDone(j, now)
	return nil
}

// restoreStages takes what has happened to a job's tasks.
func (c *Core) restoreStages(j *job, w wireJob, now time.Time) error {
	for range w.Occurrences {
		c.begin(j)
	}
	for _, s := range w.Stages {
		if s.Stage < 0 || s.Stage >= len(j.stages) {
			return &InvalidError{Reason: fmt.Sprintf("record of %s names stage %d", j.ID, s.Stage)}
		}
		c.restoreStage(j.stages[s.Stage], s, now)
	}
	if j.hasBegun() {
		j.state = Active
	}
	return nil
}

func (c *Core) restoreStage(s *stage, w wireStage, now time.Time) {
	s.open, s.openedAt = true, now
	for _, t := range s.tasks {
		if w.AllDone || t.index/8 < len(w.Done) && w.Done[t.index/8]&(1<<(t.index%8)) != 0 {
			t.state = taskDone
			s.undone--
		}
	}
	for _, wt := range w.Tasks {
		if wt.Index < 0 || wt.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[wt.Index]
		t.lastRun, t.checkpoint, t.failed = wt.LastRun, wt.Checkpoint, wt.Failed
		s.gangRun = max(s.gangRun, t.lastRun)
		for _, wr := range wt.Runs {
			c.restoreRun(t, wr, now)
		}
	}
	for _, t := range s.tasks {
		if t.state == taskWaiting {
			c.enqueue(t, now)
		}
	}
}

// restoreRun takes a run of which it is not known whether it was ever ordered.
func (c *Core) restoreRun(t *task, wr wireRun, now time.Time) {
	w := c.worker(wr.Worker)
	r := &run{
		task: t, number: wr.Number, worker: w, born: wr.Born, state: runUnclear, since: now, ordered: now, pace: fullPace,
	}
	t.state = taskPlaced
	t.runs = append(t.runs, r)
	w.add(r)
}
