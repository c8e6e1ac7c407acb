package batch

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
)

// job is a job with the state of its tasks.
type job struct {
	Job
	accepted time.Time
	// arrivedAt is when this leader got the submission from a caller or another cell; zero if it restored the job.
	arrivedAt time.Time
	// restoredAt is when this leader got the job's progress from an earlier leader or another cell; zero if it
	// did not.
	restoredAt time.Time
	// endedAt is when the job reached a final state.
	endedAt time.Time
	state   State
	reason  string
	// storedState is the state in the job's durable record, empty if there is none. The state may be ahead of it.
	storedState State
	// inInbox means that the job is stored in the inbox.
	inInbox bool
	// inFlight means that a commit that contains a record of the job is in progress.
	inFlight bool
	// isSetAside means that the store refused a record of refusedSize bytes.
	// At resumeAt it may start new runs again, resumePause after it was set aside, if recordSize, the
	// size of its durable record, is smaller.
	isSetAside  bool
	refusedSize int
	recordSize  int
	resumeAt    time.Time
	resumePause time.Duration
	// removed means that the next record deletes the job.
	removed bool
	// forwardedTo is the cell to which a job in the state Moved was handed over. At
	// nextForwardCheck that cell is asked again whether it still knows the job.
	forwardedTo      int
	nextForwardCheck time.Time
	// handOverPending means that the next commit hands the job over: a forwarding record replaces its record.
	handOverPending bool
	// startedState is the progress of a job that is handed over after it has started.
	startedState *wireJob
	// cancelCells are the cells to which the next commit forwards a cancel.
	cancelCells []int
	// delegatedTo has one entry for each delegation of tasks: the cell that runs them.
	// pendingDelegation is the delegation that the next commit hands over, delegationInFlight means that one is in a
	// commit in progress.
	delegatedTo        []int
	pendingDelegation  *wireStage
	delegationInFlight bool
	// delegated means that only tasks which another cell delegated are present here. cellPath lists
	// the cells through which the job or the delegation came; it is never sent back to them.
	delegated bool
	cellPath  []int

	// stages are the steps of the occurrences that have started, except those that dropFinished has
	// dropped, ordered by occurrence and step.
	stages []*stage
	// startedOccurrences is the number of occurrences that have started.
	startedOccurrences int
	// maxOpen is the result of maxOpenOccurrences; zero means that it was not computed yet.
	maxOpen int
	// criticalPath is the estimated run time of the longest chain of dependent steps.
	criticalPath time.Duration

	dirty bool
	// pendingStarts are the runs whose start commands wait until the record that names them is
	// durable.
	pendingStarts []*run
	// pendingEnds are the run ends that may be acknowledged once the record is durable.
	pendingEnds []endRef
	// waiters are called once the record is durable.
	waiters []func(State)
}

// endRef identifies one run end that a worker reported.
type endRef struct {
	worker      *worker
	incarnation int64
	number      int64
}

// stage is one step of one occurrence of a job.
type stage struct {
	job        *job
	occurrence int
	index      int
	step       *Step
	// image is the number of the step's image, see Core.imageID.
	image int
	tasks []*task
	// unfinished counts the tasks that are not done, queued those that wait for a worker.
	unfinished int
	queued     int
	// ready means that all steps that this one depends on have ended, since readyAt.
	ready   bool
	readyAt time.Time
	// waitLoggedAt is when the reason why the stage waits was last logged.
	waitLoggedAt time.Time
	// failedSearch limits the next search for a worker to those that have changed since.
	failedSearch failedSearch
	// gangSearchedAt is when workers were last searched for the whole gang without success.
	gangSearchedAt time.Time
	// reservationFailedAt is when no worker was found that can be reserved for a task of the stage.
	reservationFailedAt time.Time
	// preemptionFailedAt is when no worker was found whose runs can be preempted for a task of the stage.
	preemptionFailedAt time.Time
	// lastGangRun is the number of the gang's last run.
	lastGangRun int64
	// baseline is the headroom of the stage's serving tasks when no other image interferes.
	baseline interference.BaselineHeadroom
	// runsByWorker counts the stage's runs on each worker.
	runsByWorker map[*worker]int
	// tickets are the tickets that the adviser has issued for the stage, by worker ID.
	tickets map[string]ticket
	query   queryState
}

// ticket is an adviser's permission to run a step on one incarnation of a worker.
type ticket struct {
	text        string
	incarnation int64
	validUntil  time.Time
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
	failedRuns []int64
	crashes    crashCount
	// moves is how often the task was delegated from one cell to another, as far as this cell knows.
	moves int
	// preemptions is how often a run of the task was preempted by this leader.
	preemptions int
	queuedAt    time.Time
	// waitedBefore is how long the task had waited before queuedAt: in other cells, or at least as long as a
	// reservation takes if it lost its run in an earlier term.
	waitedBefore time.Duration
	// notBefore delays the next run after a failure.
	notBefore time.Time
	// avoidWorker is the worker that the task should not run on again if another one fits: its last
	// run failed there, or was moved away because it interfered with serving tasks.
	avoidWorker *worker
}

// name returns the task's name.
func (t *task) name() TaskName {
	return TaskName{Job: t.stage.job.ID, Occurrence: t.stage.occurrence, Step: t.stage.index, Index: t.index}
}

type runState string

const (
	// runPending means that the start command was not sent yet, for example because the run's
	// record is not durable.
	runPending runState = "intended"
	// runSent means that the start command was sent and the worker has not answered yet.
	runSent runState = "ordered"
	// runUnconfirmed means that the start command was not answered: whether the run has started, or
	// will start, is unknown.
	runUnconfirmed runState = "unclear"
	runRunning     runState = "running"
	// runStopping means that the run is to be stopped. runStopped means that the worker has
	// answered the stop command, but no report has confirmed yet that the run has ended.
	runStopping runState = "stopping"
	runStopped  runState = "stopped"
)

// run is one attempt to run a task on a worker.
type run struct {
	task   *task
	number int64
	worker *worker
	// incarnation is the worker incarnation that the start command was meant for, or that has reported the run.
	// reported means that it has: the answer to a start command does not tell which incarnation carried it out.
	incarnation int64
	reported    bool
	state       runState
	// stateSince is when the run entered its state. Only reports to polls that were sent later
	// reflect it.
	stateSince time.Time
	// placedAt is when the run was assigned to its worker, as far as this leader knows. sentAt is when the
	// start command was sent.
	placedAt time.Time
	sentAt   time.Time
	// started means that the worker has confirmed that the run has started, crashed that a crash of
	// the worker during the run was counted; crashesBefore is the task's count before that.
	started       bool
	crashed       bool
	crashesBefore crashCount
	// restored means that the run began under an earlier leader, expired that it was given up because its lease
	// had expired.
	restored bool
	expired  bool
	// isolation is how long the run is isolated on its worker; zero means not at all.
	isolation time.Duration
	// proven means that the run is long-running and has counted as a success of its worker.
	proven bool
	// progress is the percentage of work done that the worker last reported.
	progress int
	// tail is the tail latency that was reported last, previousTail the one for which tailRatio was
	// last computed. tailRatio is the tail latency since the computation before that, as a fraction
	// of its target, see updateTailRatio.
	tail         time.Duration
	previousTail time.Duration
	tailRatio    float64
	// coresUsed is the number of processors that the run used recently; it is not reported for
	// serving tasks. throttleRatio is the percentage of full speed at which a filler run may work,
	// set at throttledAt.
	coresUsed     float64
	throttleRatio int
	throttledAt   time.Time
	// overdue means that the task was overdue when it was placed, see Core.isOverdue.
	overdue bool
	// settled means that the worker incarnation was not young when the run was placed or later, so
	// that no lease there has a deadline that was meant for an earlier incarnation's clock.
	settled bool
	// stopSentAt is when a stop command was last sent, or prepared to be sent again.
	stopSentAt time.Time
}

// allocatesProcessors reports whether the run is allocated processors on its worker. A filler run
// is not.
func (r *run) allocatesProcessors() bool { return !r.task.stage.step.Filler }

// newStage returns a stage whose tasks wait for their dependencies.
func newStage(j *job, occurrence, index int) *stage {
	s := &stage{job: j, occurrence: occurrence, index: index, step: &j.Steps[index], runsByWorker: map[*worker]int{}}
	s.unfinished = s.step.Tasks
	s.tasks = make([]*task, s.step.Tasks)
	block := make([]task, s.step.Tasks)
	for i := range block {
		block[i] = task{stage: s, index: i, state: taskWaiting}
		s.tasks[i] = &block[i]
	}
	return s
}

// isStored reports whether a record of the job is durable.
func (j *job) isStored() bool { return j.storedState != "" }

// runs returns all runs of the job.
func (j *job) runs() []*run {
	var runs []*run
	for _, s := range j.stages {
		runs = append(runs, s.runs()...)
	}
	return runs
}

// runs returns all runs of the stage.
func (s *stage) runs() []*run {
	var runs []*run
	for _, t := range s.tasks {
		runs = append(runs, t.runs...)
	}
	return runs
}

// unfinished returns the number of tasks in started occurrences that are not done.
func (j *job) unfinished() int {
	n := 0
	for _, s := range j.stages {
		n += s.unfinished
	}
	return n
}

// criticalPath returns the estimated run time of the longest chain of dependent steps.
func criticalPath(steps []Step) time.Duration {
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

// startOccurrence creates the stages of the job's next occurrence.
func (c *Core) startOccurrence(j *job) {
	for i := range j.Steps {
		s := newStage(j, j.startedOccurrences, i)
		s.image = c.imageID(s.step.Image)
		j.stages = append(j.stages, s)
	}
	j.startedOccurrences++
}

// occurrences returns how often the job's steps run.
func (j *job) occurrences() int { return max(1, j.Repeat.Count) }

// hasStarted reports whether a record shows that a task of the job has run. A run that was only
// recorded does not count: its start command may never have been sent.
func (j *job) hasStarted() bool {
	return j.state == Active || j.hasDropped() || slices.ContainsFunc(j.stages, func(s *stage) bool {
		return s.unfinished < len(s.tasks) || slices.ContainsFunc(s.tasks, func(t *task) bool {
			return len(t.failedRuns) > 0 || t.crashes.confirmed > 0 || t.checkpoint != ""
		})
	})
}
