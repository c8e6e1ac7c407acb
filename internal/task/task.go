// Package task holds the batch tasks of jobs and their life, which is a state
// chart in task.chart.jsonc.
//
// # Usage
//
//	s := task.Submission{Neighbour: "quality", Job: "flatness-review", Tasks: 3, Key: key}
//	next, err := task.Queued.Next(task.Place) // task.Starting
package task

import (
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/share"
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
	// Moved is a task that another shard has, or is to have back.
	Moved State = "moved"
)

// Released stands in the last record of a task that a shard keeps no more; no
// task is ever in it.
const Released State = "released"

// Submission asks for the tasks of one job.
type Submission struct {
	Neighbour string
	Job       string
	Tasks     int
	// Key makes the submission idempotent.
	Key string
}

// Part is the part of a job that one shard is given. It is idempotent per ID.
type Part struct {
	ID        string
	Neighbour string
	Share     string
	// Name is that of the job family.
	Name string
	// First is the number of the part's first task within the job, Tasks how many there are.
	First int
	Tasks int
}

// Status is the state of a job, or of a part of it.
type Status struct {
	ID     string
	Job    string
	States map[State]int
	// Reason says why tasks cannot run or have failed.
	Reason string
}

// Plus returns the sum of two parts of one job.
func (s Status) Plus(o Status) Status {
	sum := Status{ID: s.ID, Job: s.Job, States: map[State]int{}, Reason: s.Reason}
	if sum.Reason == "" {
		sum.Reason = o.Reason
	}
	for _, each := range []Status{s, o} {
		for state, n := range each.States {
			sum.States[state] += n
		}
	}
	return sum
}

// Job is a part of a job as its shard keeps it.
type Job struct {
	Part
	// EndedAt is when its last task ended; zero while one has not. Its tasks are then only counted.
	EndedAt time.Time
	Counts  map[State]int
	Reason  string
	// Usage sums the tasks that have ended.
	Usage worker.Usage
	// Cancelled says that the job was cancelled while tasks of it were in other shards.
	Cancelled bool
}

// Origin is the job of a task that came from another shard, which keeps the job's books.
type Origin struct {
	Shard     string
	Neighbour string
	Share     string
	// Name is that of the job family.
	Name string
}

// Task is one unit of batch work.
type Task struct {
	// Job is the identifier of the job, Number the task's within it.
	Job         string
	Number      int
	State       State
	Incarnation int64
	// Worker and Size are set while the task is placed; Size is what is reserved for it.
	Worker     string
	Size       share.Resources
	Checkpoint string
	// Failures counts the incarnations that ended in failure.
	Failures int
	Reason   string
	// EndedUsage is the usage of incarnations that have ended, Live that of the present one as last reported.
	EndedUsage worker.Usage
	LiveUsage  worker.Usage
	// UsageReadAt is when the worker read Live, or the placement of the present incarnation before that.
	UsageReadAt time.Time
	// MovedTo is the shard that a moved task was handed to, Origin where a task came from
	// that belongs to another shard, and Transfer the number of the transfer that moved it.
	MovedTo  string
	Origin   Origin
	Transfer int64
}

// ID returns the name of the task on workers.
func (t Task) ID() string { return ID(t.Job, t.Number) }

// ID returns the name of a job's task on workers.
func ID(job string, number int) string { return fmt.Sprintf("%s-%d", job, number) }

// Usage returns what the task has used.
func (t Task) Usage() worker.Usage { return t.EndedUsage.Plus(t.LiveUsage) }

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
