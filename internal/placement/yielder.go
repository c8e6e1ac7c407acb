package placement

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// ServiceView is the measured state of a service on one worker.
type ServiceView struct {
	Service string
	Share   string
	// Strain is the service's p99 latency as a fraction of its objective.
	Strain float64
	// MeasuredAt is the end of the measurement, and Window its duration.
	MeasuredAt time.Time
	Window     time.Duration
}

// ResidentView is a task on a worker as the input of a yield decision.
type ResidentView struct {
	Task  string
	Job   string
	Share string
	Size  share.Resources
	Since time.Time
	// ThrottleRatio is the fraction of its processors that the task keeps; 1 while it is not throttled.
	ThrottleRatio float64
	// Checkpoints reports whether the task can resume from a checkpoint.
	Checkpoints bool
	// Unsaved is the run time that is lost by an eviction without a checkpoint.
	Unsaved time.Duration
	Urgent  bool
	// Leaving reports whether the task was already told to checkpoint or stop.
	Leaving bool
}

// View is one worker as the input of a yield decision.
type View struct {
	Worker    string
	Services  []ServiceView
	Residents []ResidentView
	// Free is the free capacity of the worker. It is negative if the tasks use more than the worker has.
	Free share.Resources
}

// Action tells the caller to throttle, checkpoint or evict one task. A throttle
// action with a ratio of 1 ends the throttling.
type Action struct {
	Kind          share.YieldAction
	Worker        string
	Task          string
	ThrottleRatio float64
	// Rule is the yield rule that permits the action; empty if none is needed.
	Rule string
}

// Yielder decides which tasks yield to services. It acts only on measurements
// whose window began after the last action on the same worker. Earlier ones do
// not show the effect of that action, so that the same strain would cause a second
// one. A Yielder is not safe for concurrent use.
type Yielder struct {
	// Model gives the strain that each task causes; if it is nil, all tasks count the same.
	Model *interference.Model

	rules   map[rulePair]share.YieldRule
	budgets map[string]*budget
	workers map[string]*yieldState
}

// yieldState records the actions on one worker.
type yieldState struct {
	// actedAt is the time of the last action, and yieldedAt of the last that was not a lift.
	// A lift raises throttle ratios.
	actedAt   time.Time
	yieldedAt time.Time
	// lifted reports whether the last action was a lift.
	lifted bool
	// liftDelay is how long after a yield the next lift has to wait.
	liftDelay time.Duration
}

const (
	// minRatio is the lowest throttle ratio.
	minRatio = 0.25
	// ratioStep is the resolution of throttle ratios.
	ratioStep = 0.05
	// ratioRounding keeps rounding errors from lowering a ratio that is a whole number of steps.
	ratioRounding = 1e-6
	// extraEvictionStrain is how far above 1 the strain must rise before tasks are
	// evicted if tail latency has no weight.
	extraEvictionStrain = 0.5
	// desiredStrain is the strain that throttling, evictions and lifts aim at.
	desiredStrain = 0.85
	// liftStrain is the strain below which throttle ratios are raised.
	liftStrain = 0.75
	// minLiftDelay and maxLiftDelay bound the time between a yield and the next lift of throttle ratios.
	minLiftDelay = 30 * time.Second
	maxLiftDelay = 10 * time.Minute
	// maxEvictionsPerDecision bounds the tasks that one decision evicts from a worker because of strain.
	maxEvictionsPerDecision = 2
)

// NewYielder returns a Yielder without yield rules.
func NewYielder() *Yielder {
	return &Yielder{
		rules:   map[rulePair]share.YieldRule{},
		budgets: map[string]*budget{},
		workers: map[string]*yieldState{},
	}
}

// SetRules replaces the yield rules. Evictions of the last hour still count
// against a rule that stays. EvictionsPerHour is the limit for the workers of
// this Yielder alone.
func (y *Yielder) SetRules(rules []share.YieldRule) {
	clear(y.rules)
	budgets := map[string]*budget{}
	for _, r := range rules {
		y.rules[rulePair{yields: r.Yields, to: r.To}] = r
		b, ok := y.budgets[r.Name]
		if !ok {
			b = &budget{}
		}
		b.perHour = r.EvictionsPerHour
		budgets[r.Name] = b
	}
	y.budgets = budgets
}

// RecentEvictions returns the times of the last hour's evictions under a yield
// rule, oldest first.
func (y *Yielder) RecentEvictions(rule string) []time.Time {
	if b, ok := y.budgets[rule]; ok {
		return slices.Clone(b.evictions)
	}
	return nil
}

// SetRecentEvictions replaces the times of the last hour's evictions under a
// rule. It ignores rules that SetRules did not set.
func (y *Yielder) SetRecentEvictions(rule string, evictions []time.Time) {
	if b, ok := y.budgets[rule]; ok {
		b.evictions = slices.Clone(evictions)
	}
}

// TakeOver records that a previous leader may have made tasks of a worker yield
// until now. Earlier measurements are ignored, since they may not show the effect
// of that leader's last actions.
func (y *Yielder) TakeOver(worker string, now time.Time) {
	y.state(worker).recordYield(now)
}

// Remove deletes the record of a worker.
func (y *Yielder) Remove(worker string) {
	delete(y.workers, worker)
}

// state returns the record of a worker, which it adds if needed.
func (y *Yielder) state(worker string) *yieldState {
	s, ok := y.workers[worker]
	if !ok {
		s = &yieldState{liftDelay: minLiftDelay}
		y.workers[worker] = s
	}
	return s
}
