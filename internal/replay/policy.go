package replay

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Policy is one way of placing tasks and making them yield. Fields that are
// nil do nothing.
type Policy struct {
	Name string
	// Place chooses a worker for a task and the size that it holds there.
	Place func(c placement.Candidate, now time.Time) (string, share.Resources, error)
	// MakeRoom returns what makes room for an urgent task that Place found none for.
	MakeRoom func(c placement.Candidate, now time.Time) []placement.Action
	// Started and Ended tell what became of a task; Throttled tells of its ratio.
	Started   func(worker string, r placement.Resident, now time.Time)
	Ended     func(worker, task string, end placement.Outcome, now time.Time)
	Throttled func(worker, task string, ratio float64, now time.Time)
	// Measure takes a worker's report once it arrives.
	Measure func(m placement.Measurement)
	// Yield returns what the tasks of a worker have to do now.
	Yield func(worker string, now time.Time) []placement.Action
	// Sees is called before each step with the true state; only the oracle looks.
	Sees func(w *World)
}

// NewPolicy makes a policy for one run.
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

// newLearning returns the policy of this project.
func newLearning(t Trace, user User) Policy {
	planner := newPlanner(t, user)
	return planned(Learning, planner)
}

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

// planned returns a policy that leaves all decisions to a planner.
func planned(name string, p *placement.Planner) Policy {
	return Policy{
		Name:      name,
		Place:     p.Place,
		MakeRoom:  p.Preempt,
		Started:   p.Start,
		Ended:     p.End,
		Throttled: p.Throttle,
		Measure:   p.Measure,
		Yield:     p.Yield,
	}
}

// newOracle returns a policy that decides like the learning one, but knows the
// slowdown table and the true size of each family, sees the present without a lag, and
// compares all workers.
func newOracle(t Trace, user User) Policy {
	planner := newPlanner(t, user)
	planner.Pool.MaxCandidates = len(t.workers())
	p := planned(Oracle, planner)
	p.Measure = nil
	p.Place = func(c placement.Candidate, now time.Time) (string, share.Resources, error) {
		c.Size = t.Families[t.family(c.Job)].True
		id, err := planner.Pool.Choose(c, now)
		return id, c.Size, err
	}
	p.Sees = func(w *World) {
		w.tell(planner.Learner.Model)
		for _, m := range w.present() {
			planner.ObserveForYield(m)
		}
	}
	return p
}
