// Package laboratory plays days of a pool in virtual time, without a network: the real core
// (package batch) decides, and a model of its workers, its store and its callers does the rest. It
// tells what a pool or a setting is worth before anyone deploys it.
//
// An Experiment describes the pool, the load, the interference between images, the disruptions, and
// the policies to compare. Draw turns it into one Day per seed: everything that is random is drawn
// there, so that all policies meet the same arrivals, run times and disruptions. Play plays a day
// under a policy and returns an Outcome. Run does both for all seeds and policies, Compare pairs the
// outcomes of two policies by seed, and UpperBound tells what no policy can exceed on a day.
//
// A worker of the model reports tail latencies that follow the true ones with a delay, as real ones
// do. A batch run takes headroom from the serving tasks beside it in proportion to the share of the
// worker's processors that it uses, and filler runs share the processors that allocated tasks leave.
//
// # Usage
//
//	experiment, err := laboratory.Parse("day.jsonc", text)
//	if err != nil {
//		return err // A *jsonc.SyntaxError or a *jsonc.FaultsError.
//	}
//	results, err := laboratory.Run(ctx, experiment)
//	comparison := laboratory.Compare(results[0], results[1])
package laboratory

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Experiment describes days that differ in their seed only, and the policies to compare on them.
type Experiment struct {
	Name string
	// Duration is how long callers submit jobs, Settle how long the day goes on afterwards.
	Duration time.Duration
	Settle   time.Duration
	Seeds    []uint64
	Pool     []WorkerGroup
	Queues   []batch.Queue
	Services []Service
	Jobs     []JobKind
	// LeastLoss and MostLoss bound the headroom that a serving image loses beside an image that uses
	// a whole worker. It is drawn for each pair of images that is not in Pairs.
	LeastLoss   float64
	MostLoss    float64
	Pairs       []Pair
	Disruptions []Disruption
	Policies    []Policy
}

// WorkerGroup is a number of equal workers.
type WorkerGroup struct {
	Name     string
	Workers  int
	Capacity share.Resources
	// Racks is the number of racks that the workers are spread over.
	Racks int
	// Joins is when the workers come.
	Joins time.Duration
}

// Service is a long-running job with a target for its tail latency.
type Service struct {
	Name       string
	Queue      string
	Image      string
	Tasks      int
	Size       share.Resources
	TailTarget time.Duration
	// Baseline is the mean headroom without interference. The load swings it by Swing up and down in
	// each Period.
	Baseline float64
	Swing    float64
	Period   time.Duration
	// Use is the share of their processors that the tasks use at the mean load.
	Use float64
	// Startup is how long a task starts up before it does its work.
	Startup        time.Duration
	MaxUnavailable int
	MaxPerWorker   int
	// Worth is the weight of the service among all kinds of work.
	Worth float64
}

// JobKind is a kind of jobs that callers submit.
type JobKind struct {
	Name  string
	Queue string
	// PerSecond is the mean number of jobs that are submitted per second between From and Until.
	PerSecond float64
	From      time.Duration
	Until     time.Duration
	Steps     []Step
	// LeastDeclared and MostDeclared bound the declared run time as a multiple of the true one.
	LeastDeclared float64
	MostDeclared  float64
	// LateWorth is the fraction of its worth that a job earns which ends later than its objective,
	// but within three times the objective.
	LateWorth float64
	Worth     float64
}

// Step is a step of a JobKind. Its number of tasks and their run times are drawn for each job.
type Step struct {
	Name       string
	Image      string
	LeastTasks int
	MostTasks  int
	Size       share.Resources
	LeastTime  time.Duration
	MostTime   time.Duration
	// After lists the indexes of earlier steps.
	After        []int
	Filler       bool
	Checkpoints  bool
	MaxPerWorker int
}

// Pair is the headroom that a serving image loses beside an image that uses a whole worker.
type Pair struct {
	Serving string
	Beside  string
	Loss    float64
}

// DisruptionKind is what a disruption does.
type DisruptionKind string

// The kinds of disruptions.
const (
	// Leave means that workers announce their departure, and leave after the duration.
	Leave DisruptionKind = "leave"
	// Crash means that workers crash and are back after the duration.
	Crash DisruptionKind = "crash"
	// Silent means that workers answer nothing for the duration.
	Silent DisruptionKind = "silent"
	// Shrink means that workers have a part of their processors for the duration.
	Shrink DisruptionKind = "shrink"
	// LeaderChange means that the leader is gone, and the next one begins after the duration.
	LeaderChange DisruptionKind = "leaderChange"
	// StoreSlow means that commits take a hundred times as long for the duration, StoreAway that
	// they take effect only after it.
	StoreSlow DisruptionKind = "storeSlow"
	StoreAway DisruptionKind = "storeAway"
)

// Disruption is a disturbance of the pool, the store or the leader.
type Disruption struct {
	Kind DisruptionKind
	At   time.Duration
	For  time.Duration
	// Workers is how many workers it hits, drawn among all.
	Workers int
	// Left is the part of the processors that a Shrink leaves.
	Left float64
}

// Policy is a setting of the leader under which a day is played.
type Policy struct {
	Name string
	// PlanEvery is the time between two plans, PollWait how long a worker holds a poll back until a
	// run ends.
	PlanEvery time.Duration
	PollWait  time.Duration
	Timing    batch.Timing
	// AllocateFillers means that filler steps are submitted as steps that are allocated processors.
	AllocateFillers bool
	// Priorities replaces the priorities of queues, Workers the numbers of workers of groups.
	Priorities map[string]int
	Workers    map[string]int
}

// DefaultPolicy returns the policy of a leader with the settings that are in force by default.
func DefaultPolicy(name string) Policy {
	return Policy{Name: name, PlanEvery: 100 * time.Millisecond, PollWait: 1500 * time.Millisecond, Timing: batch.DefaultTiming()}
}

// lateFactor is the multiple of its objective within which a job earns the worth of a late one.
const lateFactor = 3
