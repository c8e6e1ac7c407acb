// Package replay runs recorded traces of jobs and service load against
// placement policies, over a small fake of workers whose slowdown by pair is
// hidden from the policies and whose reports lag.
//
// A trace is a file of JSON with comments. It names the workers, the services
// on them, the job families with their declared and true sizes, the true
// slowdown by pair, the submissions, and the outcomes that are expected of the
// learning policy. One trace is run for each policy and each yield rule, and
// the results are compared.
//
// # Usage
//
//	t, err := replay.ParseTrace("steady.jsonc", text)
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

// Fleet is a number of equal workers.
type Fleet struct {
	Count      int
	PerRack    int
	DataCentre string
	Capacity   share.Resources
}

// Service is a service whose runners stand on the first workers, one on each.
type Service struct {
	Name      string
	Share     string
	Runners   int
	Runner    share.Resources
	Objective time.Duration
	// P99 is the tail latency at a load of 1 without interference.
	P99 time.Duration
}

// LoadShift sets the load of a service from a time on; its tail latency without interference grows in step.
type LoadShift struct {
	At      time.Duration
	Service string
	Load    float64
}

// Family is a job family.
type Family struct {
	Name        string
	Share       string
	Declared    share.Resources
	True        share.Resources
	Urgent      bool
	Checkpoints bool
}

// Slowdown is by which part one task of an aggressor slows a victim, a service or a job family, down.
type Slowdown struct {
	Victim    string
	Aggressor string
	By        float64
}

// Submission is a job of a number of tasks.
type Submission struct {
	At      time.Duration
	Family  string
	Tasks   int
	RunTime time.Duration
}

// User is one of the weights and rules under which a trace is run.
type User struct {
	Name string
	Rule share.YieldRule
}

// Wave is a time in which noisy tasks arrive.
type Wave struct {
	From time.Duration
	To   time.Duration
}

// Outcomes are the stated bounds of the learning policy.
type Outcomes struct {
	// TailRatio is the most that the services' p99 may be, as a multiple of the oracle's.
	TailRatio float64
	// ThroughputRatio is the least part of the oracle's finished tasks.
	ThroughputRatio float64
	// EvictionRatio is the greatest part of the evictions of evict-at-once.
	EvictionRatio float64
	// RecoveryLags is the most report lags that the tail takes to recover in the wave; 0 means no wave.
	RecoveryLags float64
}

// Trace is one recorded case.
type Trace struct {
	Name string
	Seed uint64
	// Duration is the length of the trace; figures are taken from MeasureFrom on.
	Duration    time.Duration
	MeasureFrom time.Duration
	// Window is the time over which workers measure, and Lag how late their reports come.
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
