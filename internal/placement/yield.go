package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Decide returns the actions for the tasks of a worker. Tasks yield if the worker
// is overcommitted or the strain of a service is too high; throttle ratios are
// raised if the strain is low.
func (y *Yielder) Decide(v View, now time.Time) []Action {
	s := y.state(v.Worker)
	if actions := evictOverflow(v); len(actions) > 0 {
		s.recordYield(now)
		return actions
	}
	worst, known := y.worst(v, s)
	if !known {
		return nil
	}
	var actions []Action
	switch {
	case worst.Strain > strainLimit(y.maxTailWeight(v, worst)):
		actions = y.relieve(v, worst, now)
		if len(actions) > 0 {
			s.recordYield(now)
		}
	case worst.Strain < liftStrain && now.Sub(s.yieldedAt) >= s.liftDelay:
		actions = y.lift(v, worst)
		if len(actions) > 0 {
			s.actedAt = now
			s.lifted = true
		}
	}
	return actions
}

// evictOverflow evicts tasks from a worker whose tasks use more than it has:
// those that lose the least run time first, and urgent tasks last. It needs no
// yield rule, since no worker may be overcommitted.
func evictOverflow(v View) []Action {
	free := v.Free
	for _, r := range v.Residents {
		if r.Leaving {
			free = free.Plus(r.Size)
		}
	}
	if !free.IsNegative() {
		return nil
	}
	candidates := slices.Clone(v.Residents)
	slices.SortStableFunc(candidates, func(a, b ResidentView) int {
		return cmp.Or(compareUrgent(a, b), cmp.Compare(a.lostRunTime(), b.lostRunTime()), cmp.Compare(a.Task, b.Task))
	})
	var actions []Action
	for _, r := range candidates {
		if r.Leaving || !free.IsNegative() {
			continue
		}
		free = free.Plus(r.Size)
		actions = append(actions, Action{Kind: r.removalAction(), Worker: v.Worker, Task: r.Task})
	}
	return actions
}

// lostRunTime returns the run time that an eviction of the task costs.
func (r ResidentView) lostRunTime() time.Duration {
	if r.Checkpoints {
		return restartCost
	}
	return restartCost + r.Unsaved
}

// recordYield records a yield. A yield soon after a lift doubles the delay of the
// next lift, and one after a long time without yields resets it.
func (s *yieldState) recordYield(now time.Time) {
	if s.lifted && now.Sub(s.actedAt) < s.liftDelay {
		s.liftDelay = min(2*s.liftDelay, maxLiftDelay)
	} else if now.Sub(s.yieldedAt) > maxLiftDelay {
		s.liftDelay = minLiftDelay
	}
	s.actedAt = now
	s.yieldedAt = now
	s.lifted = false
}

// worst returns the service with the highest strain. It returns false if the
// window of some service's measurement began before the last action, or if
// there are no services.
func (y *Yielder) worst(v View, s *yieldState) (ServiceView, bool) {
	var worst ServiceView
	for _, view := range v.Services {
		if view.MeasuredAt.Add(-view.Window).Before(s.actedAt) {
			return worst, false
		}
		if view.Strain >= worst.Strain {
			worst = view
		}
	}
	return worst, len(v.Services) > 0
}

// yieldCandidate is a task that may yield to a service under a rule.
type yieldCandidate struct {
	ResidentView
	rule share.YieldRule
	// causedStrain is the strain that the task causes while it is not throttled.
	causedStrain float64
	// plannedRatio is the throttle ratio after the actions decided so far.
	plannedRatio float64
}

// yieldCandidates returns the tasks of a worker that a rule lets yield to a service.
func (y *Yielder) yieldCandidates(v View, service ServiceView) []yieldCandidate {
	var candidates []yieldCandidate
	for _, r := range v.Residents {
		rule, ok := y.rules[rulePair{yields: r.Share, to: service.Share}]
		if !ok || r.Leaving {
			continue
		}
		candidates = append(candidates, yieldCandidate{ResidentView: r, rule: rule, causedStrain: y.causedStrain(r, service), plannedRatio: r.ThrottleRatio})
	}
	return candidates
}

// causedStrain returns the strain that a task causes while it is not throttled:
// the expected strain plus half its standard deviation.
func (y *Yielder) causedStrain(r ResidentView, service ServiceView) float64 {
	if y.Model == nil {
		return 1
	}
	victim := y.Model.Service(service.Service)
	mean, stdDev := y.Model.Effect(victim, y.Model.Aggressor(r.Job))
	return y.Model.Baseline(victim) * (mean + stdDev/2)
}

// relieve throttles the tasks that cause the most strain. If none can be
// throttled further and the strain is still too high, it evicts some.
func (y *Yielder) relieve(v View, service ServiceView, now time.Time) []Action {
	candidates := y.yieldCandidates(v, service)
	excess := service.Strain - desiredStrain
	actions := y.throttle(v.Worker, candidates, excess)
	if len(actions) == 0 && service.Strain > evictionStrain(y.maxTailWeight(v, service)) {
		return y.evict(v.Worker, candidates, excess, now)
	}
	return actions
}

// maxTailWeight returns the greatest tail weight among the rules under which
// tasks of a worker yield to a service.
func (y *Yielder) maxTailWeight(v View, service ServiceView) float64 {
	weight := 0.0
	for _, r := range v.Residents {
		weight = max(weight, y.rules[rulePair{yields: r.Share, to: service.Share}].TailWeight)
	}
	return weight
}

// evictionStrain returns the strain above which tasks are evicted. It is higher
// for a smaller weight of tail latency.
func evictionStrain(tailWeight float64) float64 {
	return 1 + extraEvictionStrain*(1-tailWeight)
}

// throttle lowers throttle ratios until the excess strain is removed: those of
// the tasks that cause the most strain first, and of urgent tasks last.
func (y *Yielder) throttle(worker string, candidates []yieldCandidate, excess float64) []Action {
	slices.SortStableFunc(candidates, func(a, b yieldCandidate) int {
		return cmp.Or(compareUrgent(a.ResidentView, b.ResidentView), cmp.Compare(b.causedStrain, a.causedStrain), cmp.Compare(a.Task, b.Task))
	})
	var actions []Action
	for i := range candidates {
		c := &candidates[i]
		if excess <= 0 || c.causedStrain <= 0 {
			continue
		}
		ratio := max(minRatio, roundDown(c.plannedRatio-excess/c.causedStrain))
		if ratio >= c.plannedRatio {
			continue
		}
		excess -= c.causedStrain * (c.plannedRatio - ratio)
		c.plannedRatio = ratio
		actions = append(actions, Action{Kind: share.YieldThrottle, Worker: worker, Task: c.Task, ThrottleRatio: ratio, Rule: c.rule.Name})
	}
	return actions
}

// evict evicts tasks from a worker as far as rules and budgets permit: those
// with the lowest cost per removed strain first, and urgent tasks last.
func (y *Yielder) evict(worker string, candidates []yieldCandidate, excess float64, now time.Time) []Action {
	slices.SortStableFunc(candidates, func(a, b yieldCandidate) int {
		return cmp.Or(compareUrgent(a.ResidentView, b.ResidentView), cmp.Compare(a.costPerStrain(), b.costPerStrain()), cmp.Compare(a.Task, b.Task))
	})
	var actions []Action
	for _, c := range candidates {
		kind := c.allowedAction()
		if excess <= 0 || len(actions) == maxEvictionsPerDecision {
			break
		}
		if kind == share.YieldThrottle || c.causedStrain <= 0 || now.Sub(c.Since) < c.rule.MinRunTime {
			continue
		}
		b := y.budgets[c.rule.Name]
		if !b.allows(now) {
			continue
		}
		b.record(now)
		excess -= c.causedStrain * c.plannedRatio
		actions = append(actions, Action{Kind: kind, Worker: worker, Task: c.Task, Rule: c.rule.Name})
	}
	return actions
}

// allowedAction returns the mildest action by which the rule lets the task be
// evicted, or YieldThrottle if it does not let it be evicted.
func (c yieldCandidate) allowedAction() share.YieldAction {
	switch {
	case c.rule.Limit == share.YieldThrottle:
		return share.YieldThrottle
	case c.Checkpoints:
		return share.YieldCheckpoint
	case c.rule.Limit == share.YieldEvict:
		return share.YieldEvict
	}
	return share.YieldThrottle
}

// restartCost is the run time that any eviction costs: stopping, queueing and starting again.
const restartCost = 5 * time.Second

// costPerStrain returns the run time, in seconds, that an eviction of the task
// costs per unit of strain that it removes.
func (c yieldCandidate) costPerStrain() float64 {
	if c.causedStrain <= 0 {
		return math.Inf(1)
	}
	return c.lostRunTime().Seconds() / (c.causedStrain * c.plannedRatio)
}

// lift raises throttle ratios until the expected strain of the service reaches
// desiredStrain: those of urgent tasks first, then of the tasks that cause the
// least strain.
func (y *Yielder) lift(v View, service ServiceView) []Action {
	candidates := y.yieldCandidates(v, service)
	slices.SortStableFunc(candidates, func(a, b yieldCandidate) int {
		return cmp.Or(compareUrgent(b.ResidentView, a.ResidentView), cmp.Compare(a.causedStrain, b.causedStrain), cmp.Compare(a.Task, b.Task))
	})
	margin := desiredStrain - service.Strain
	var actions []Action
	for _, c := range candidates {
		if c.ThrottleRatio >= 1 || margin <= 0 {
			continue
		}
		ratio := 1.0
		if c.causedStrain > 0 {
			ratio = min(1, roundDown(c.ThrottleRatio+margin/c.causedStrain))
		}
		if ratio <= c.ThrottleRatio {
			continue
		}
		margin -= c.causedStrain * (ratio - c.ThrottleRatio)
		actions = append(actions, Action{Kind: share.YieldThrottle, Worker: v.Worker, Task: c.Task, ThrottleRatio: ratio, Rule: c.rule.Name})
	}
	return actions
}

// compareUrgent orders tasks that are not urgent before urgent ones.
func compareUrgent(a, b ResidentView) int {
	switch {
	case a.Urgent == b.Urgent:
		return 0
	case a.Urgent:
		return 1
	}
	return -1
}

// roundDown rounds a throttle ratio down to a multiple of ratioStep.
func roundDown(ratio float64) float64 {
	return math.Floor(ratio/ratioStep+ratioRounding) * ratioStep
}
