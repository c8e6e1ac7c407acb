package placement

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// ServiceView is how a service fares on one worker.
type ServiceView struct {
	Service string
	Share   string
	// Strain is the service's p99 as a part of its objective.
	Strain float64
	// MeasuredAt is when the measurement ended, and Window how long it took.
	MeasuredAt time.Time
	Window     time.Duration
}

// ResidentView is a task on a worker, as far as yielding regards it.
type ResidentView struct {
	Task  string
	Job   string
	Share string
	Size  share.Resources
	Since time.Time
	// Ratio is the part of its processors that the task keeps; 1 while it is not throttled.
	Ratio float64
	// Checkpoints says whether the task can resume from a checkpoint.
	Checkpoints bool
	// Unsaved is the run time that an eviction without a checkpoint would lose.
	Unsaved time.Duration
	Urgent  bool
	// Leaving says that the task was already told to checkpoint or stop.
	Leaving bool
}

// View is one worker, as far as yielding regards it.
type View struct {
	Worker    string
	Services  []ServiceView
	Residents []ResidentView
	// Free is what is left of the worker; negative amounts are held beyond what it has.
	Free share.Resources
}

// Action is what one task has to do. A throttle action with a ratio of 1 lifts the throttle.
type Action struct {
	Kind          share.YieldAction
	Worker        string
	Task          string
	ThrottleRatio float64
	// Rule is the yield rule that the action was made under.
	Rule string
}

// Yielder decides which tasks give way to services. It acts on a measurement
// only if that was made wholly after the last action on the same worker, so
// that a lag does not make it act twice on one cause. It is not safe for
// concurrent use.
type Yielder struct {
	// Model tells which tasks cause strain; nil means that all cause the same.
	Model *interference.Model

	rules   map[rulePair]share.YieldRule
	budgets map[string]*budget
	workers map[string]*yieldState
}

// yieldState is what was done on one worker.
type yieldState struct {
	// actedAt is the last action, and yieldedAt the last that took something away.
	actedAt   time.Time
	yieldedAt time.Time
	// lifted says that the last action lifted a throttle.
	lifted bool
	// hold is how long after a yield no throttle is lifted.
	hold time.Duration
}

const (
	// minRatio is the part of its processors that a throttled task keeps at least.
	minRatio = 0.25
	// ratioStep is the resolution of throttle ratios.
	ratioStep = 0.05
	// ratioRounding keeps a ratio that is a whole number of steps from rounding down to the one below.
	ratioRounding = 1e-6
	// bornStrain is the strain beyond an objective that is borne before
	// evictions if tail latency weighs nothing.
	bornStrain = 0.5
	// aimedStrain is the strain that a yield aims at.
	aimedStrain = 0.85
	// liftStrain is the strain below which throttles are lifted.
	liftStrain = 0.75
	// firstHold and longestHold bound the pause before a throttle is lifted.
	firstHold   = 30 * time.Second
	longestHold = 10 * time.Minute
	// evictionsAtOnce bounds the tasks evicted from one worker by one decision.
	evictionsAtOnce = 2
)

// NewYielder returns a yielder without rules.
func NewYielder() *Yielder {
	return &Yielder{
		rules:   map[rulePair]share.YieldRule{},
		budgets: map[string]*budget{},
		workers: map[string]*yieldState{},
	}
}

// SetRules replaces the yield rules; what was spent of budgets stays spent.
// The evictions per hour of a rule are those of this part of the pool.
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

// RecentEvictions returns the evictions of the last hour under a rule, oldest first.
func (y *Yielder) RecentEvictions(rule string) []time.Time {
	if b, ok := y.budgets[rule]; ok {
		return slices.Clone(b.spent)
	}
	return nil
}

// SetRecentEvictions replaces the evictions of the last hour under a rule that was set.
func (y *Yielder) SetRecentEvictions(rule string, spent []time.Time) {
	if b, ok := y.budgets[rule]; ok {
		b.spent = slices.Clone(spent)
	}
}

// TakeOver says that somebody else made the tasks of a worker yield up to a
// time: measurements of before tell nothing of what was done last.
func (y *Yielder) TakeOver(worker string, now time.Time) {
	y.state(worker).yielded(now)
}

// Remove forgets a worker.
func (y *Yielder) Remove(worker string) {
	delete(y.workers, worker)
}

func (y *Yielder) state(worker string) *yieldState {
	s, ok := y.workers[worker]
	if !ok {
		s = &yieldState{hold: firstHold}
		y.workers[worker] = s
	}
	return s
}
