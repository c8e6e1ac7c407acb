// Package replay replays traces of jobs and service load against placement policies. It
// simulates workers on which tasks slow each other and the services down; the policies
// do not know the slowdowns, and see the workers' reports only after a lag.
//
// A trace is a file of JSON with comments. It declares the workers, the services on
// them, the job families with their declared and true sizes, the true slowdown of each
// victim by each aggressor, the submissions, and the bounds that the learning policy, the
// one of this project, must meet. Each trace is replayed for each policy and each yield
// rule, and the results are compared. An oracle is a policy that knows the true state; the
// learning policy is compared with the oracles.
//
// A victim is a service or job family that is slowed down, and an aggressor the job
// family whose tasks cause that. The strain of a service is its p99 latency as a
// fraction of the objective; it misses the objective above 1.
//
// # Usage
//
//	t, err := replay.ParseTrace("steady-mix.jsonc", text)
//	for _, user := range t.Users {
//		for _, p := range replay.Policies() {
//			result := replay.Run(t, user, p)
//		}
//	}
package replay

import (
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Fleet is a number of identical workers.
type Fleet struct {
	Count      int
	PerRack    int
	DataCentre string
	Capacity   share.Resources
}

// Service is a service with at most one runner on each worker.
type Service struct {
	Name      string
	Share     string
	Runners   int
	Runner    share.Resources
	Objective time.Duration
	// P99 is the p99 latency at a load of 1 without interference.
	P99 time.Duration
}

// LoadShift sets the load of a service from time At on. The service's p99 latency
// without interference is proportional to the load.
type LoadShift struct {
	At      time.Duration
	Service string
	Load    float64
}

// Family is a job family.
type Family struct {
	Name  string
	Share string
	// Declared is the size of a task that the submitter declares; True is what a task
	// needs at most.
	Declared    share.Resources
	True        share.Resources
	Urgent      bool
	Checkpoints bool
}

// Slowdown is the fraction by which one running task of the aggressor slows the victim down.
type Slowdown struct {
	Victim    string
	Aggressor string
	By        float64
}

// Submission is the submission of a job with Tasks tasks.
type Submission struct {
	At      time.Duration
	Family  string
	Tasks   int
	RunTime time.Duration
}

// User is the yield rule of one kind of user; a trace is replayed for each.
type User struct {
	Name string
	Rule share.YieldRule
}

// Wave is the span of a trace in which noisy tasks arrive; zero if there is none.
type Wave struct {
	From time.Duration
	To   time.Duration
}

// Outcomes are the bounds that the learning policy must meet.
type Outcomes struct {
	// MaxTailRatio bounds the p99 latency, as a multiple of each oracle's.
	MaxTailRatio float64
	// MinThroughputRatio is the least rate of finished tasks, as a fraction of each oracle's.
	MinThroughputRatio float64
	// MaxEvictionRatio bounds the evictions, as a fraction of those of the policy EvictAtOnce.
	MaxEvictionRatio float64
	// MaxRecoveryLags bounds Result.Recovery and Result.Breach, as a multiple of Lag; 0
	// means that they are not checked.
	MaxRecoveryLags float64
}

// Trace is one scenario to replay.
type Trace struct {
	Name string
	Seed uint64
	// Duration is the length of the trace; results count from MeasureFrom on.
	Duration    time.Duration
	MeasureFrom time.Duration
	// Window is the time over which workers measure, and Lag the delay until their reports arrive.
	Window      time.Duration
	Lag         time.Duration
	Fleets      []Fleet
	Services    []Service
	Loads       []LoadShift
	Families    []Family
	Slowdowns   []Slowdown
	Submissions []Submission
	Users       []User
	Wave        Wave
	Outcomes    Outcomes
}
