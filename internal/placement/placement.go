// Package placement decides on which worker each batch task runs, in which order
// queued tasks start, and which running tasks yield to a service.
//
// The strain of a service is its measured p99 latency as a fraction of its
// objective. Where it is too high, batch tasks on the same worker yield: they
// are throttled to a fraction of their processors, the throttle ratio, or they
// are evicted, with a checkpoint if their job family can make one. Once the
// strain is low, throttle ratios are raised again (a lift). A job family is all
// tasks of one declared job. It is an aggressor towards the services and job
// families, its victims, that it slows down.
//
// Order decides which queued task is placed next, and Planner where. A Planner
// joins a Pool, which holds the workers and their tasks and compares workers by
// cost, Sizes, which estimates what a task uses, Health, which keeps tasks off
// workers on which every task fails, and a Yielder, which decides which tasks
// yield. The caller reports to the Planner what was started, measured and ended.
//
// The package only makes decisions. It has no I/O, goroutines or clocks: times
// are arguments and randomness is seeded.
//
// # Usage
//
//	p := placement.NewPool()
//	p.SetWorker(placement.Worker{ID: "w-1", Rack: "r-1", DataCentre: "bajio-a", Capacity: capacity, Accepting: true})
//	c := placement.Candidate{Task: "job-1-0", Job: "flatness-review", Share: "reviews", Size: size}
//	id, err := p.Choose(c, now)
//	if err == nil {
//		p.Assign(id, c.Resident(now))
//	}
package placement

import (
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Runner is one copy of a service that runs on a worker. Batch tasks on the same
// worker may slow it down.
type Runner struct {
	Service string
	Share   string
}

// Worker describes the location, the capacity and the runners of a worker.
type Worker struct {
	ID         string
	Rack       string
	DataCentre string
	Capacity   share.Resources
	// Reserved is the capacity that the runners use.
	Reserved share.Resources
	Runners  []Runner
	// Accepting reports whether the worker accepts new tasks.
	Accepting bool
}

// Resident is a task that is assigned to a worker.
type Resident struct {
	Task string
	// Group is the submission that the task belongs to. Its tasks are spread over
	// workers, racks and data centres. Job is the task's job family.
	Group string
	Job   string
	Share string
	Size  share.Resources
	// Urgent tasks are not preempted, and yield after the others.
	Urgent bool
	// Since is when the task was placed on the worker; zero if that is not known.
	Since time.Time
	// ThrottleRatio is the fraction of its processors that a throttled task keeps; 0 means all.
	ThrottleRatio float64
}

// Candidate is a queued task that needs a worker.
type Candidate struct {
	Task  string
	Group string
	Job   string
	Share string
	Size  share.Resources
	// Urgent tasks are placed even on reserved workers and where they interfere with a service.
	Urgent bool
	// QueuedAt is when the task was queued. A worker is reserved for a task that
	// has waited long, but never if QueuedAt is zero.
	QueuedAt time.Time
	// Avoid lists workers that the task must not be placed on.
	Avoid []string
}

// Resident returns the candidate as a task that was placed at the given time.
func (c Candidate) Resident(now time.Time) Resident {
	return Resident{Task: c.Task, Group: c.Group, Job: c.Job, Share: c.Share, Size: c.Size, Urgent: c.Urgent, Since: now}
}

// FullReason is why a task cannot be placed now.
type FullReason string

// The reasons of a FullError.
const (
	// NoFreeCapacity means that no accepting worker has enough free capacity.
	NoFreeCapacity FullReason = "noRoom"
	// QuotaExhausted means that too little of the share's quota is free.
	QuotaExhausted FullReason = "quotaUsed"
	// Interfering means that the task would push a service past its strain limit, or further past it.
	Interfering FullReason = "harmful"
	// SizeUnknown means that too few tasks of the job family were measured to run more at once.
	SizeUnknown FullReason = "sizeUnknown"
)

// FullError reports that a task cannot be placed now, but perhaps later.
type FullError struct {
	Task   string
	Reason FullReason
}

// Error returns the task and the reason.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s cannot be placed now: %s", e.Task, e.Reason)
}

// UnschedulableError reports that a task can never run in this pool.
type UnschedulableError struct {
	Task   string
	Reason string
}

// Error returns the task and the reason.
func (e *UnschedulableError) Error() string {
	return fmt.Sprintf("%s can never run: %s", e.Task, e.Reason)
}
