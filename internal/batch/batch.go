// Package batch schedules jobs that are graphs of steps: it decides which tasks may start, on which
// workers they run, and what happens after each run ends.
//
// A Job consists of steps, and a Step of identical tasks. A repeated job runs all its steps once in
// each of its occurrences; a stage is one step of one occurrence. A run is one attempt to run a
// task on a worker. A gang is a step whose tasks run all at the same time or not at all.
//
// A task is allocated processors on its worker, unless it is a filler task: a batch task that uses
// processors which other tasks leave idle. A serving task is a long-running task with a target for
// its tail latency. Its headroom is this target divided by the measured tail latency; the target is
// missed if the headroom is below 1. The Core learns how much headroom serving tasks lose beside
// filler tasks, and places, throttles and moves the filler tasks accordingly.
//
// A Core holds the jobs and workers of one cell, which is a partition of a deployment with a leader
// of its own. Each worker has a lease that the leader renews with a Poll; the worker stops its runs
// when the lease expires. A task gets a new run only once the previous one is guaranteed to have
// ended, at the latest when the lease has expired. Each cell has an inbox in the store, through
// which it receives submissions, jobs and tasks from other cells, and cancels.
//
// A Core does no I/O and reads no clock: the time is an argument of its methods. The caller commits
// the changes that TakeChanges returns, calls Committed, and then sends the commands that Committed
// returns. A start command is therefore never sent before the record that explains it is durable.
//
// # Usage
//
//	c := batch.NewCore(batch.DefaultTiming(), now, uncontactedExpiry)
//	c.SetQueueConfig(config)
//	c.SetWorker(info, now)
//	err := c.Submit(job, now, waiter)
//	c.Plan(now)
//	changes, err := c.TakeChanges(maxWrites, now)
//	// Commit changes.Records, then:
//	for _, command := range append(c.Committed(changes), c.TakeCommands()...) {
//		if call, ok := c.PrepareCall(command, now); ok {
//			// Send the call to call.Worker, then:
//			c.HandleAnswer(command, result, sent, now)
//		}
//	}
//	if c.NeedsPoll(worker, now) {
//		poll, ok := c.BeginPoll(worker, now, true)
//		// Send the poll, then:
//		c.ApplyReport(worker, report, sent, now)
//	}
package batch

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Job is a job as its caller submitted it.
type Job struct {
	// ID is chosen by the caller and makes the submission idempotent.
	ID    string
	Queue string
	// Spec is passed to the workers unchanged.
	Spec   string
	Steps  []Step
	Repeat Repeat
	// Policy is the configuration of the queue when the job was submitted. Later changes of the queue
	// do not apply to the job. The zero value stands for that in force when the job is accepted.
	Policy Queue
}

// WithPolicy returns the job with the policy of its queue.
func (j Job) WithPolicy(q Queue) Job {
	q.Name = j.Queue
	j.Policy = q
	return j
}

// Repeat makes a job run several times. The zero value runs it once, immediately.
type Repeat struct {
	Count int
	First time.Time
	Every time.Duration
}

// Step is a set of identical tasks of a job.
type Step struct {
	Tasks int
	Size  share.Resources
	// Estimate is the caller's guess of a task's run time; it may be far off.
	Estimate time.Duration
	// After lists the indexes of the steps that must end before this one starts.
	After       []int
	Checkpoints bool
	// Gang means that all tasks of the step run at the same time or not at all.
	Gang bool
	// SameRack means that the gang is slow if it spans more than one rack.
	SameRack      bool
	RequiredLabel string
	// PreferredRack is the rack that holds the step's data; tasks are slower on other racks.
	PreferredRack string
	// MaxPerWorker limits how many of the step's tasks run on one worker; zero means no limit.
	MaxPerWorker int
	// Speculative permits several concurrent runs of a task; the first one to end counts. The Core
	// does not start such runs at present.
	Speculative bool
	// LongRunning means that a task is restarted whenever it ends, until the job is cancelled.
	LongRunning bool
	// Image names the program of the tasks; tasks with the same image are assumed to behave alike.
	Image string
	// TailTarget is the tail latency that the users of a long-running task accept; zero means none.
	// A task with a target is a serving task.
	TailTarget time.Duration
	// Filler marks the step's tasks as filler tasks: batch tasks that use processors which other
	// tasks leave idle. They are allocated memory and accelerators, but no processors.
	Filler bool
	// MaxUnavailable is how many tasks of a long-running step may be unavailable because of the
	// scheduler.
	MaxUnavailable int
}

// Queue is the configuration of one queue.
type Queue struct {
	Name    string
	Service string
	// Priority orders the queues for placement: 0 comes first, higher values later.
	Priority int
	// Attempts is the number of failed runs of a task, or of a gang, after which its job fails;
	// zero means no limit. Failures of long-running tasks do not count.
	Attempts int
	// Slack and Target define the objective of a job: it should end within Slack times its critical
	// path, plus Target.
	Slack  float64
	Target time.Duration
	// Advised means that an adviser decides which workers may run a step.
	Advised bool
}

// QueueConfig is the queue configuration in force.
type QueueConfig struct {
	Version int64
	Queues  map[string]Queue
}

// WorkerInfo is what a worker publishes about itself.
type WorkerInfo struct {
	ID         string
	Address    string
	Service    string
	DataCentre string
	Rack       string
	Labels     []string
	// Incarnation numbers the worker's incarnations: the periods between its restarts. It increases
	// with each restart; zero means unknown.
	Incarnation int64
	Capacity    share.Resources
	Draining    bool
	// Remaining is the minimum time for which a draining worker keeps running.
	Remaining time.Duration
}

// TaskName identifies a task in calls to workers and in their reports.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name in the form that workers use: job.occurrence.step.index.
func (n TaskName) String() string {
	b := make([]byte, 0, len(n.Job)+12)
	b = append(b, n.Job...)
	b = strconv.AppendInt(append(b, '.'), int64(n.Occurrence), 10)
	b = strconv.AppendInt(append(b, '.'), int64(n.Step), 10)
	b = strconv.AppendInt(append(b, '.'), int64(n.Index), 10)
	return string(b)
}

// StepName returns the name of the task's step in the form that advisers use: job.occurrence.step.
func (n TaskName) StepName() string {
	return fmt.Sprintf("%s.%d.%d", n.Job, n.Occurrence, n.Step)
}

// NameError is the error for a text that is not the name of a task.
type NameError struct {
	Text string
}

func (e *NameError) Error() string { return fmt.Sprintf("%q is not the name of a task", e.Text) }

// ParseTaskName parses a name that String returned.
func ParseTaskName(text string) (TaskName, error) {
	rest := text
	var numbers [3]int
	for i := len(numbers) - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 1 {
			return TaskName{}, &NameError{Text: text}
		}
		n, err := strconv.Atoi(rest[dot+1:])
		if err != nil || n < 0 {
			return TaskName{}, &NameError{Text: text}
		}
		numbers[i], rest = n, rest[:dot]
	}
	return TaskName{Job: rest, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// EndKind is the reason why a run ended.
type EndKind string

// The reasons why a run ends on its worker.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndExpired means that the worker's lease has expired.
	EndExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete EndKind = "alone"
)

// RunningRow describes one run that is present on a worker.
type RunningRow struct {
	Task       TaskName
	Run        int64
	Checkpoint string
	// Percent is the progress of a task that ends by itself. For a long-running task it is 100 once
	// the task has started up and does its work.
	Percent int
	// Measurement is a recent measurement. For a serving task it is the tail latency in
	// milliseconds, for any other task the processors in use, in thousandths of a core.
	Measurement float64
}

// EndedRow describes one run that has ended on a worker and that the leader has not acknowledged
// yet.
type EndedRow struct {
	// Number increases with each end within the worker's incarnation.
	Number int64
	Task   TaskName
	Run    int64
	// How is the reason of the end.
	How        EndKind
	Checkpoint string
}

// Report is a worker's response to a poll.
type Report struct {
	Incarnation int64
	// Clock is the reading of the worker's monotonic clock.
	Clock   time.Duration
	Running []RunningRow
	Ended   []EndedRow
	// MayOmitEnds means that the worker may have more ended runs than are listed in Ended, because the
	// size of a report is limited.
	MayOmitEnds bool
}

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Active    State = "active"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Moved means that the job was handed over to another cell.
	Moved State = "moved"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// isClosed reports whether a cell starts no more tasks of a job in the state: the job has ended, or was handed over.
func (s State) isClosed() bool { return s.Final() || s == Moved }

// InvalidError explains why a submission can never be accepted.
type InvalidError struct {
	Reason string
}

func (e *InvalidError) Error() string { return "job: " + e.Reason }

const (
	// MaxSteps and maxTasks limit the size of a job, so that its record fits into one value of the
	// store.
	MaxSteps = 256
	maxTasks = 10_000
)

// maxTaskSize limits the size of one task, so that sums over all queued tasks do not overflow.
var maxTaskSize = share.Resources{Processors: 1 << 26, Memory: 1 << 46, Accelerators: 1 << 26}

// Check returns an *InvalidError if the job is malformed.
func (j Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{Reason: fmt.Sprintf("%d steps; 1 to %d are possible", len(j.Steps), MaxSteps)}
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Tasks < 1 || s.Tasks > maxTasks || s.Size.IsNegative() || !s.Size.Fits(maxTaskSize) || s.MaxPerWorker < 0 {
			return &InvalidError{Reason: fmt.Sprintf("step %d: a count or size is out of range", i)}
		}
		tasks += s.Tasks
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &InvalidError{Reason: fmt.Sprintf("step %d: comes after step %d, which is no earlier one", i, a)}
			}
		}
	}
	if tasks > maxTasks || j.Repeat.Count < 0 || j.Repeat.Count > maxTasks {
		return &InvalidError{Reason: fmt.Sprintf("more than %d tasks or repeats", maxTasks)}
	}
	return nil
}
