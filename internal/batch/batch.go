// Package batch decides what becomes of jobs that are graphs of steps: which
// tasks may start, on which workers they run, and what follows each end.
//
// A Core is free of I/O and clocks: it takes the time as an argument. Its
// caller makes the changes that Take returns durable, calls Durable, and then
// carries out the orders. So no order precedes the record that explains it.
//
// # Usage
//
//	c := batch.NewCore(batch.DefaultTiming(), now)
//	c.SetTable(table)
//	c.SetWorker(info, now)
//	verdict := c.Submit(job, now)
//	c.Plan(now)
//	changes := c.Take(maxRecords, now)
//	// Commit changes.Records, then:
//	orders := c.Durable(changes, now)
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
	// Spec is handed to the workers as it is.
	Spec   string
	Steps  []Step
	Repeat Repeat
}

// Repeat makes a job run several times; the zero value means once, at once.
type Repeat struct {
	Count int
	First time.Time
	Every time.Duration
}

// Step is a number of equal tasks.
type Step struct {
	Tasks int
	Size  share.Resources
	// Estimate is the caller's guess of a task's run time; it may be far off.
	Estimate time.Duration
	// After are the steps that must have ended before.
	After       []int
	Checkpoints bool
	// Gang means that all tasks run together or not at all.
	Gang bool
	// SameRack means that a gang is slow over more than one rack.
	SameRack      bool
	RequiredLabel string
	// PreferredRack is where the step's data is; tasks are slow elsewhere.
	PreferredRack string
	// MaxPerWorker bounds the step's tasks on one worker; zero means no bound.
	MaxPerWorker int
	// Speculative permits several runs of a task at once; the first end counts.
	Speculative bool
	// LongRunning tasks run until the job is cancelled, however often they end.
	LongRunning bool
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// TailTarget is the response time that a long-running task's own users accept; zero means none.
	TailTarget time.Duration
	// Filler means that the tasks use processors that others leave idle, and hold none.
	Filler bool
	// MaxUnavailable is how many tasks of a long-running step may be away by the scheduler's doing.
	MaxUnavailable int
}

// Queue is what the configuration says of the jobs of one queue.
type Queue struct {
	Name    string
	Service string
	// Priority orders queues; 0 comes first.
	Priority int
	// Attempts is how often a task may fail.
	Attempts int
	// Slack and Target make the objective: Slack times the longest chain of work, and Target more.
	Slack  float64
	Target time.Duration
	// Advised means that only some workers may run a step, and an adviser tells which.
	Advised bool
}

// QueueConfig is the configuration in force.
type QueueConfig struct {
	Version int64
	Queues  map[string]Queue
}

// WorkerInfo is what a worker says of itself.
type WorkerInfo struct {
	ID         string
	Address    string
	Service    string
	DataCentre string
	Rack       string
	Labels     []string
	// Incarnation distinguishes the lifetimes of a worker.
	Incarnation int64
	Capacity    share.Resources
	Draining    bool
	// Remaining is the least time that a draining worker still runs.
	Remaining time.Duration
}

// TaskName names a task on workers.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name as workers know it.
func (n TaskName) String() string {
	b := make([]byte, 0, len(n.Job)+12)
	b = append(b, n.Job...)
	b = strconv.AppendInt(append(b, '.'), int64(n.Occurrence), 10)
	b = strconv.AppendInt(append(b, '.'), int64(n.Step), 10)
	b = strconv.AppendInt(append(b, '.'), int64(n.Index), 10)
	return string(b)
}

// StepName names the step of a task, as an adviser knows it.
func (n TaskName) StepName() string {
	return fmt.Sprintf("%s.%d.%d", n.Job, n.Occurrence, n.Step)
}

// NameError says that a text is not the name of a task.
type NameError struct {
	Text string
}

// Error returns the text.
func (e *NameError) Error() string { return fmt.Sprintf("%q is not the name of a task", e.Text) }

// ParseTaskName reads a name that String made.
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

// EndKind is how a run ended.
type EndKind string

// The ways in which a run ends on its worker.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndExpired EndKind = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone means that the other members of the gang did not come in time.
	EndAlone EndKind = "alone"
)

// RunningRow is one run that a worker has.
type RunningRow struct {
	Task       TaskName
	Run        int64
	Checkpoint string
	// Percent is the progress of a task that ends, and 100 once one that lasts is at work.
	Percent int
	// Measurement is a lately measured number: the tail of a serving task's response
	// times in milliseconds, and for any other task the processors in use, in
	// thousandths of a core.
	Measurement float64
}

// EndedRow is one run that has ended on a worker, and that was not acknowledged yet.
type EndedRow struct {
	// Number rises with each end in the worker's lifetime.
	Number     int64
	Task       TaskName
	Run        int64
	How        EndKind
	Checkpoint string
}

// Report is a worker's answer to a look.
type Report struct {
	Incarnation int64
	// Clock is the worker's own steady clock.
	Clock   time.Duration
	Running []RunningRow
	Ended   []EndedRow
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
	// Moved means that another cell has the job.
	Moved State = "moved"
)

// Final reports whether nothing follows the state.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// InvalidError says why a submission can never be accepted.
type InvalidError struct {
	Reason string
}

// Error returns the reason.
func (e *InvalidError) Error() string { return "job: " + e.Reason }

const (
	// maxSteps and maxTasks bound one job, so that its record stays within one value of the store.
	maxSteps = 256
	maxTasks = 10_000
)

// Check returns an *InvalidError if the job is malformed.
func (j Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return &InvalidError{Reason: fmt.Sprintf("%d steps; 1 to %d are possible", len(j.Steps), maxSteps)}
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Tasks < 1 || s.Size.IsNegative() || s.MaxPerWorker < 0 {
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
