package replay

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Policy decides where tasks are placed and which tasks yield. Preempt, Measure, Yield and
// ObserveWorld may be nil, and Throttled may be if the policy never throttles.
type Policy struct {
	Name string
	// Place chooses a worker for a task and returns the worker and the size to reserve
	// there. A placement.UnschedulableError drops the task; after another error it stays queued.
	Place func(c placement.Candidate, now time.Time) (string, share.Resources, error)
	// Preempt returns the actions that free capacity for an urgent task that Place could not place.
	Preempt func(c placement.Candidate, now time.Time) []placement.Action
	// Started and Ended report that a task started or ended; Throttled reports its new throttle ratio.
	Started   func(worker string, r placement.Resident, now time.Time)
	Ended     func(worker, task string, end placement.Outcome, now time.Time)
	Throttled func(worker, task string, ratio float64, now time.Time)
	// Measure receives a worker's report once it arrives.
	Measure func(m placement.Measurement)
	// Yield returns the actions (throttle, checkpoint or evict) by which tasks of a worker
	// yield to the services on it now.
	Yield func(worker string, now time.Time) []placement.Action
	// ObserveWorld is called before each step with the true state. Only the oracles use it.
	ObserveWorld func(w *World)
}

// NewPolicy creates a policy for one run.
type NewPolicy func(t Trace, user User) Policy

// The names of the policies.
const (
	FirstFit    = "firstFit"
	LeastLoaded = "leastLoaded"
	Spread      = "spread"
	EvictAtOnce = "evictAtOnce"
	Learning    = "learning"
	Oracle      = "oracle"
	Greedy      = "greedyOracle"
)

// Policies returns all policies by name.
func Policies() map[string]NewPolicy {
	return map[string]NewPolicy{
		FirstFit:    newFirstFit,
		LeastLoaded: newLeastLoaded,
		Spread:      newSpread,
		EvictAtOnce: newEvictAtOnce,
		Learning:    newLearning,
		Oracle:      newOracle,
		Greedy:      newGreedy,
	}
}

// newLearning returns the policy of this project, which learns sizes and interference
// effects from the reports.
func newLearning(t Trace, user User) Policy {
	planner := newPlanner(t, user)
	return newPlannerPolicy(Learning, planner)
}

// newPlanner returns a planner that knows the trace's families, workers and yield rule.
func newPlanner(t Trace, user User) *placement.Planner {
	p := placement.NewPlanner()
	p.Pool.Seed(t.Seed)
	for _, f := range t.Families {
		p.SetFamily(placement.Family{Name: f.Name, Declared: f.Declared, Checkpoints: f.Checkpoints})
	}
	p.SetRules([]share.YieldRule{user.Rule})
	for _, w := range t.workers() {
		p.SetWorker(w, epoch)
	}
	return p
}

// newPlannerPolicy returns a policy that leaves all decisions to a planner.
func newPlannerPolicy(name string, p *placement.Planner) Policy {
	return Policy{
		Name:      name,
		Place:     p.Place,
		Preempt:   p.Preempt,
		Started:   p.Start,
		Ended:     p.End,
		Throttled: p.Throttle,
		Measure:   p.Measure,
		Yield:     p.Yield,
	}
}

// newOracle returns a policy that decides like the learning one, but knows the true
// slowdowns and sizes, sees the current state without a lag, and compares all workers.
func newOracle(t Trace, user User) Policy {
	planner := newPlanner(t, user)
	planner.Pool.MaxCandidates = len(t.workers())
	p := newPlannerPolicy(Oracle, planner)
	p.Measure = nil
	p.Place = func(c placement.Candidate, now time.Time) (string, share.Resources, error) {
		c.Size = t.Families[t.family(c.Job)].True
		id, err := planner.Pool.Choose(c, now)
		return id, c.Size, err
	}
	p.ObserveWorld = func(w *World) {
		w.setModel(planner.Learner.Model)
		for _, m := range w.currentMeasurements() {
			planner.ObserveForYield(m)
		}
	}
	return p
}
