// Package task holds the batch tasks of jobs and their life.
//
// # Usage
//
//	s := task.Submission{Neighbour: "quality", Job: "flatness-review", Tasks: 3, Key: key}
package task

import (
	"fmt"

	"github.com/oriolepond/oriolepond/internal/worker"
)

// State is the state of a task.
type State string

// The states of a task.
const (
	Queued        State = "queued"
	Starting      State = "starting"
	Running       State = "running"
	Yielding      State = "yielding"
	Stopping      State = "stopping"
	Finished      State = "finished"
	Failed        State = "failed"
	Cancelled     State = "cancelled"
	Unschedulable State = "unschedulable"
)

// Submission asks for the tasks of one job.
type Submission struct {
	Neighbour string
	Job       string
	Tasks     int
	// Key makes the submission idempotent.
	Key string
}

// Status is the state of a job.
type Status struct {
	ID     string
	Job    string
	States map[State]int
	// Reason says why tasks cannot run or have failed.
	Reason string
}

// Task is one unit of batch work.
type Task struct {
	ID          string
	JobID       string
	Job         string
	State       State
	Incarnation int64
	Worker      string
	Checkpoint  string
	Starts      int
	Reason      string
	// Usage sums the incarnations that have ended.
	Usage worker.Usage
}

// NotFoundError says that a job is not known.
type NotFoundError struct {
	ID string
}

// Error returns the job.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no job %q", e.ID) }

// RefusedError says why a submission was not accepted; nothing of it runs.
type RefusedError struct {
	Reason string
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }
