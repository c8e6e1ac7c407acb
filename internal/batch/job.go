package batch

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
)

// job is a job with the state of its tasks.
type job struct {
	Job
	// service is that of the queue when the job was last planned; it outlasts the queue.
	service  string
	accepted time.Time
	// endedAt is when the job reached a final state.
	endedAt time.Time
	state   State
	reason  string
	// stored means that a record of the job is durable, finalStored that one with its final state is.
	stored      bool
	finalStored bool
	// inInbox means that the store holds the job in the inbox.
	inInbox bool
	// inFlight means that a commit with a record of the job is under way.
	inFlight bool
	removed  bool
	// movedTo is the cell to which a job in the state Moved was handed, and checkAt
	// when that is next asked whether it still knows the job.
	movedTo int
	checkAt time.Time
	// handing means that the next record hands the job over, and movedStored that
	// one which did is durable.
	handing     bool
	movedStored bool
	// carried is what has happened to a job that is handed on after it has begun.
	carried *wireJob
	// cancelAt are the cells to which a cancel is to be handed on.
	cancelAt []int
	// lent are the cells to which tasks were lent, one entry a loan, and loan is one
	// that goes along with the next record.
	lent []int
	loan *wireStage
	// guest means that the cell has only what another one lent it of the job, and
	// path are the cells by way of which the job or the loan came: it never returns there.
	guest bool
	path  []int

	// stages are the steps of all occurrences that have begun.
	stages []*stage
	// begun is the number of occurrences whose stages exist.
	begun int
	// chain is the longest chain of estimated work.
	chain time.Duration

	dirty bool
	// starts wait for the record that names them.
	starts []*run
	// ends are to be acknowledged once the record is durable.
	ends []endRef
	// waiters are called once the record is durable.
	waiters []func(State)
}

// endRef is one end that a worker reported.
type endRef struct {
	worker *worker
	born   int64
	number int64
}

// stage is one step of one occurrence.
type stage struct {
	job        *job
	occurrence int
	index      int
	step       *Step
	// image is the number of the step's image.
	image int
	tasks []*task
	// undone are the tasks that have not ended for good, queued those that wait for a worker.
	undone int
	queued int
	// open means that nothing holds the stage's tasks back.
	open     bool
	openedAt time.Time
	// toldAt is when it was last told why a task of the stage waits.
	toldAt time.Time
	// gangRun is the number of the gang's last run.
	gangRun int64
	// level is the undisturbed headroom of serving tasks.
	level interference.BaselineHeadroom
	// onWorkers counts the stage's runs by worker.
	onWorkers map[*worker]int
	// tickets are what the adviser gave.
	tickets map[string]ticket
	asked   askState
}

// ticket admits a step to a worker.
type ticket struct {
	text  string
	born  int64
	until time.Time
}

type taskState string

const (
	taskWaiting taskState = "waiting"
	taskQueued  taskState = "queued"
	taskPlaced  taskState = "placed"
	taskDone    taskState = "done"
)

// task is one task with its runs.
type task struct {
	stage *stage
	index int
	state taskState
	// lastRun is the number of the task's newest run.
	lastRun    int64
	runs       []*run
	checkpoint string
	failed     []int64
	queuedAt   time.Time
	// notBefore delays the next run after a failure.
	notBefore time.Time
	// avoid is the worker that the task last failed on.
	avoid *worker
}

// name returns the task's name on workers.
func (t *task) name() TaskName {
	return TaskName{Job: t.stage.job.ID, Occurrence: t.stage.occurrence, Step: t.stage.index, Index: t.index}
}

type runState string

const (
	// runIntended waits for its record, or for its order to be sent.
	runIntended runState = "intended"
	// runOrdered was sent to the worker, without an answer so far.
	runOrdered runState = "ordered"
	// runUnclear had no answer: whether it runs or will run is not known.
	runUnclear runState = "unclear"
	runRunning runState = "running"
	// runStopping is to be stopped, and runStopped had the worker's word for it.
	runStopping runState = "stopping"
	runStopped  runState = "stopped"
)

// run is one start of a task on a worker.
type run struct {
	task   *task
	number int64
	worker *worker
	// born is the lifetime of the worker that the run was ordered from.
	born  int64
	state runState
	// since is when the state began, as far as looks that were sent later show it.
	since time.Time
	// ordered is when the order was sent.
	ordered time.Time
	// percent is the progress that the worker last told.
	percent int
	// tail was measured last, and tailBefore when the worker's tails were last taken in;
	// strain is what that says of the time between, as a part of the target.
	tail       time.Duration
	tailBefore time.Duration
	strain     float64
	// cores is what the run lately used, for one that does not serve.
	cores      float64
	pace       int
	paceAt     time.Time
	stopSentAt time.Time
}

// holdsProcessors reports whether the run counts against the worker's processors.
func (r *run) holdsProcessors() bool { return !r.task.stage.step.Filler }

func newStage(j *job, occurrence, index int) *stage {
	s := &stage{job: j, occurrence: occurrence, index: index, step: &j.Steps[index], onWorkers: map[*worker]int{}}
	s.undone = s.step.Tasks
	s.tasks = make([]*task, s.step.Tasks)
	block := make([]task, s.step.Tasks)
	for i := range block {
		block[i] = task{stage: s, index: i, state: taskWaiting}
		s.tasks[i] = &block[i]
	}
	return s
}

// stage returns the stage of a step of an occurrence, if it has begun.
func (j *job) stage(occurrence, step int) *stage {
	i := occurrence*len(j.Steps) + step
	if occurrence < 0 || step < 0 || step >= len(j.Steps) || i >= len(j.stages) {
		return nil
	}
	return j.stages[i]
}

// runs returns all runs of the job.
func (j *job) runs() []*run {
	var all []*run
	for _, s := range j.stages {
		all = append(all, s.runs()...)
	}
	return all
}

// runs returns all runs of the stage.
func (s *stage) runs() []*run {
	var all []*run
	for _, t := range s.tasks {
		all = append(all, t.runs...)
	}
	return all
}

// undone returns the number of tasks that have not ended for good.
func (j *job) undone() int {
	n := 0
	for _, s := range j.stages {
		n += s.undone
	}
	return n
}

// longestChain returns the greatest sum of estimates along the steps that follow each other.
func longestChain(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// begin makes the stages of a job's next occurrence.
func (c *Core) begin(j *job) {
	for i := range j.Steps {
		s := newStage(j, j.begun, i)
		s.image = c.imageID(s.step.Image)
		j.stages = append(j.stages, s)
	}
	j.begun++
}

// occurrences returns how often the job's steps run.
func (j *job) occurrences() int { return max(1, j.Repeat.Count) }

// hasBegun reports whether a record shows that a task of the job has run. A run
// that was only intended does not count: it may never have been ordered.
func (j *job) hasBegun() bool {
	return j.state == Active || slices.ContainsFunc(j.stages, func(s *stage) bool {
		return s.undone < len(s.tasks) || slices.ContainsFunc(s.tasks, func(t *task) bool {
			return len(t.failed) > 0 || t.checkpoint != ""
		})
	})
}
