// Package task defines jobs, their batch tasks and the states of these. The state machine is a
// state chart in task.chart.jsonc. Each start of a task on a worker is a new incarnation of the
// task, and the incarnations of a task are numbered.
//
// A caller submits a job as a Submission and gets a Status. The tasks of the job are divided among
// shards, which are partitions of the worker pool, each with a leader of its own. A Part is the
// range of tasks that one shard is responsible for. The shard keeps it as a Job and its Tasks.
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
	// Moved is the state of a task that was handed over to another shard, or that is being handed
	// back to its own.
	Moved State = "moved"
)

// Released marks the last journal record of a task that a shard no longer keeps. A task that is
// kept is never in this state.
const Released State = "released"

// Submission is a request to run the tasks of one job.
type Submission struct {
	Neighbour string
	Job       string
	Tasks     int
	// Key makes the submission idempotent: a repeat with the same key refers to the same job.
	Key string
}

// Part is the range of a job's tasks that one shard is responsible for. Submitting it again with
// the same ID has no effect.
type Part struct {
	ID        string
	Neighbour string
	Share     string
	// Name is the name of the job family.
	Name string
	// First is the number, within the job, of the first task of this range, and Tasks is how many
	// tasks it has.
	First int
	Tasks int
}

// Status is the state of a job, or of those of its tasks that one shard is responsible for.
type Status struct {
	ID  string
	Job string
	// States counts the tasks in each state.
	States map[State]int
	// Reason explains why tasks cannot run or have failed.
	Reason string
}

// Plus returns the combined status of two ranges of tasks of one job.
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

// Job is a shard's record of its range of a job's tasks.
type Job struct {
	Part
	// EndedAt is when the last of the tasks ended, and zero before that. From then on only Counts,
	// the numbers of tasks by state, is kept of the tasks.
	EndedAt time.Time
	Counts  map[State]int
	Reason  string
	// Usage is the total usage of the tasks that have ended.
	Usage worker.Usage
	// Cancelled is set if the job was cancelled while some of its tasks were in other shards.
	Cancelled bool
}

// Origin identifies the job of a task that was received from another shard. That shard keeps the
// job's record.
type Origin struct {
	Shard     string
	Neighbour string
	Share     string
	// Name is the name of the job family.
	Name string
}

// Task is one unit of batch work.
type Task struct {
	// Job is the identifier of the job, and Number is the task's number within it.
	Job         string
	Number      int
	State       State
	Incarnation int64
	// Worker and Size are set while the task is placed. Size is what is reserved for it on the
	// worker.
	Worker     string
	Size       share.Resources
	Checkpoint string
	// Failures counts the incarnations that failed.
	Failures int
	Reason   string
	// EndedUsage is the usage of incarnations that have ended, and LiveUsage that of the current
	// one as last reported.
	EndedUsage worker.Usage
	LiveUsage  worker.Usage
	// UsageReadAt is when the worker measured LiveUsage. Before the first report it is when the
	// current incarnation was placed.
	UsageReadAt time.Time
	// MovedTo is the shard that a moved task was handed over or back to. Origin is set for a task
	// that belongs to another shard. Transfer is the number of the transfer that moved the task.
	MovedTo  string
	Origin   Origin
	Transfer int64
}

// ID returns the name by which workers know the task.
func (t Task) ID() string { return ID(t.Job, t.Number) }

// ID returns the name by which workers know a task of a job.
func ID(job string, number int) string { return fmt.Sprintf("%s-%d", job, number) }

// Usage returns the usage of all incarnations of the task.
func (t Task) Usage() worker.Usage { return t.EndedUsage.Plus(t.LiveUsage) }

// NotFoundError reports that no job has this identifier.
type NotFoundError struct {
	ID string
}

// Error returns a message that names the job.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no job %q", e.ID) }

// RefusedError reports why a submission was refused. None of its tasks run.
type RefusedError struct {
	Reason string
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }
