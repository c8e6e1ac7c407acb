// Package placement chooses a worker for each batch task, the order in which
// queued tasks start, and which tasks yield when a service suffers.
//
// Everything here decides and does nothing else: no I/O, goroutines or clocks.
// Times come in as arguments and randomness from a seed.
//
// # Usage
//
//	p := placement.NewPool()
//	p.SetWorker(placement.Worker{ID: "w-1", Rack: "r-1", DataCentre: "bajio-a", Capacity: capacity, Accepting: true})
//	c := placement.Candidate{Task: "job-1-0", Job: "flatness-review", Share: "reviews", Size: size}
//	id, err := p.Choose(c, now)
//	if err == nil {
//		p.Hold(id, c.Resident(now))
//	}
package placement

import (
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Runner is a service's runner that stands on a worker.
type Runner struct {
	Service string
	Share   string
}

// Worker is what placement knows of one worker.
type Worker struct {
	ID         string
	Rack       string
	DataCentre string
	Capacity   share.Resources
	// Reserved is the part of the capacity that the runners hold.
	Reserved share.Resources
	Runners  []Runner
	// Accepting says whether the worker may be given new tasks.
	Accepting bool
}

// Resident is a task that holds a part of a worker.
type Resident struct {
	Task string
	// Group is the submission that the task belongs to; its tasks are spread.
	Group  string
	Job    string
	Share  string
	Size   share.Resources
	Urgent bool
	Since  time.Time
	// Ratio is the part of its processors that a throttled task keeps; 0 means all.
	Ratio float64
}

// Candidate is a task that waits for a worker.
type Candidate struct {
	Task   string
	Group  string
	Job    string
	Share  string
	Size   share.Resources
	Urgent bool
	// QueuedAt is when the task was queued; one that has waited long gets a
	// worker reserved. Zero means that it never does.
	QueuedAt time.Time
	// Avoid are workers that the task is not to be given to.
	Avoid []string
}

// Resident returns the candidate as it is once it was placed.
func (c Candidate) Resident(now time.Time) Resident {
	return Resident{Task: c.Task, Group: c.Group, Job: c.Job, Share: c.Share, Size: c.Size, Urgent: c.Urgent, Since: now}
}

// FullReason says why there is no room now.
type FullReason string

// The reasons of a FullError.
const (
	// NoFreeCapacity means that no accepting worker has enough left.
	NoFreeCapacity FullReason = "noRoom"
	// QuotaExhausted means that the share holds too much of its quota.
	QuotaExhausted FullReason = "quotaUsed"
	// Harmful means that the task would push a service past its objective.
	Harmful FullReason = "harmful"
	// SizeUnknown means that too few tasks of the family were measured to start more.
	SizeUnknown FullReason = "sizeUnknown"
)

// FullError says that a task cannot be placed now.
type FullError struct {
	Task   string
	Reason FullReason
}

// Error returns the task and the reason.
func (e *FullError) Error() string { return fmt.Sprintf("no room for %s now: %s", e.Task, e.Reason) }

// UnschedulableError says that a task can never run in this pool.
type UnschedulableError struct {
	Task   string
	Reason string
}

// Error returns the task and the reason.
func (e *UnschedulableError) Error() string {
	return fmt.Sprintf("%s can never run: %s", e.Task, e.Reason)
}
