package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Decide returns what the tasks of a worker have to do now.
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

// evictOverflow takes tasks off a worker that holds more than it has, those that lose
// least first. It asks no rule: no worker may be given more than it holds.
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
	all := slices.Clone(v.Residents)
	slices.SortStableFunc(all, func(a, b ResidentView) int {
		return cmp.Or(compareUrgent(a, b), cmp.Compare(a.lostRunTime(), b.lostRunTime()), cmp.Compare(a.Task, b.Task))
	})
	var actions []Action
	for _, r := range all {
		if r.Leaving || !free.IsNegative() {
			continue
		}
		free = free.Plus(r.Size)
		actions = append(actions, Action{Kind: r.removalAction(), Worker: v.Worker, Task: r.Task})
	}
	return actions
}

// lostRunTime returns the run time that taking the task off costs.
func (r ResidentView) lostRunTime() time.Duration {
	if r.Checkpoints {
		return restartCost
	}
	return restartCost + r.Unsaved
}

// recordYield takes note of a yield. One that follows a lift doubles the pause
// before the next lift.
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

// worst returns the service under the highest strain, if all of the worker's
// services were measured since the last action.
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

// yieldCandidate is a task that may yield to a service.
type yieldCandidate struct {
	ResidentView
	rule share.YieldRule
	// causedStrain is the strain that the task causes at full speed.
	causedStrain float64
	// plannedRatio is the ratio that is planned for the task.
	plannedRatio float64
}

// yieldCandidates returns the tasks that a rule makes yield to a service.
func (y *Yielder) yieldCandidates(v View, to ServiceView) []yieldCandidate {
	var all []yieldCandidate
	for _, r := range v.Residents {
		rule, ok := y.rules[rulePair{yields: r.Share, to: to.Share}]
		if !ok || r.Leaving {
			continue
		}
		all = append(all, yieldCandidate{ResidentView: r, rule: rule, causedStrain: y.causedStrain(r, to), plannedRatio: r.ThrottleRatio})
	}
	return all
}

// causedStrain returns the strain that a task causes at full speed, by the upper end
// of what is known.
func (y *Yielder) causedStrain(r ResidentView, to ServiceView) float64 {
	if y.Model == nil {
		return 1
	}
	service := y.Model.Service(to.Service)
	mean, stdDev := y.Model.Effect(service, y.Model.Aggressor(r.Job))
	return y.Model.Baseline(service) * (mean + stdDev/2)
}

// relieve throttles the tasks that cause most strain. Once there is nothing
// left to throttle and that was measured not to suffice, it evicts some.
func (y *Yielder) relieve(v View, to ServiceView, now time.Time) []Action {
	all := y.yieldCandidates(v, to)
	excess := to.Strain - desiredStrain
	actions := y.throttle(v.Worker, all, excess)
	if len(actions) == 0 && to.Strain > evictionStrain(y.maxTailWeight(v, to)) {
		return y.evict(v.Worker, all, excess, now)
	}
	return actions
}

// maxTailWeight returns the greatest weight of a service's tail among the rules that
// a worker's tasks are under.
func (y *Yielder) maxTailWeight(v View, to ServiceView) float64 {
	weight := 0.0
	for _, r := range v.Residents {
		weight = max(weight, y.rules[rulePair{yields: r.Share, to: to.Share}].TailWeight)
	}
	return weight
}

// evictionStrain is the strain from which tasks are evicted: the less tail
// latency weighs, the more strain is borne first.
func evictionStrain(tailWeight float64) float64 {
	return 1 + extraEvictionStrain*(1-tailWeight)
}

// throttle lowers ratios, the most harmful tasks first, until the excess is relieved.
func (y *Yielder) throttle(worker string, all []yieldCandidate, excess float64) []Action {
	slices.SortStableFunc(all, func(a, b yieldCandidate) int {
		return cmp.Or(compareUrgent(a.ResidentView, b.ResidentView), cmp.Compare(b.causedStrain, a.causedStrain), cmp.Compare(a.Task, b.Task))
	})
	var actions []Action
	for i := range all {
		s := &all[i]
		if excess <= 0 || s.causedStrain <= 0 {
			continue
		}
		ratio := max(minRatio, roundDown(s.plannedRatio-excess/s.causedStrain))
		if ratio >= s.plannedRatio {
			continue
		}
		excess -= s.causedStrain * (s.plannedRatio - ratio)
		s.plannedRatio = ratio
		actions = append(actions, Action{Kind: share.YieldThrottle, Worker: worker, Task: s.Task, Ratio: ratio, Rule: s.rule.Name})
	}
	return actions
}

// evict takes tasks off a worker, those of the least cost for their harm first.
func (y *Yielder) evict(worker string, all []yieldCandidate, excess float64, now time.Time) []Action {
	slices.SortStableFunc(all, func(a, b yieldCandidate) int {
		return cmp.Or(compareUrgent(a.ResidentView, b.ResidentView), cmp.Compare(a.costPerStrain(), b.costPerStrain()), cmp.Compare(a.Task, b.Task))
	})
	var actions []Action
	for _, s := range all {
		kind := s.allowedAction()
		if excess <= 0 || len(actions) == maxEvictionsPerDecision {
			break
		}
		if kind == share.YieldThrottle || s.causedStrain <= 0 || now.Sub(s.Since) < s.rule.MinRunTime {
			continue
		}
		b := y.budgets[s.rule.Name]
		if !b.allows(now) {
			continue
		}
		b.record(now)
		excess -= s.causedStrain * s.plannedRatio
		actions = append(actions, Action{Kind: kind, Worker: worker, Task: s.Task, Rule: s.rule.Name})
	}
	return actions
}

// allowedAction returns the mildest way in which the rule lets the task be taken
// off, or a throttle if it does not.
func (s yieldCandidate) allowedAction() share.YieldAction {
	switch {
	case s.rule.Limit == share.YieldThrottle:
		return share.YieldThrottle
	case s.Checkpoints:
		return share.YieldCheckpoint
	case s.rule.Limit == share.YieldEvict:
		return share.YieldEvict
	}
	return share.YieldThrottle
}

// restartCost is the run time that any eviction costs: stopping, queueing and starting again.
const restartCost = 5 * time.Second

// costPerStrain returns what taking the task off costs for each part of strain that it relieves.
func (s yieldCandidate) costPerStrain() float64 {
	if s.causedStrain <= 0 {
		return math.Inf(1)
	}
	return s.lostRunTime().Seconds() / (s.causedStrain * s.plannedRatio)
}

// lift raises the ratios of throttled tasks, the least harmful first, as far
// as the service is expected to bear it.
func (y *Yielder) lift(v View, to ServiceView) []Action {
	all := y.yieldCandidates(v, to)
	slices.SortStableFunc(all, func(a, b yieldCandidate) int {
		return cmp.Or(compareUrgent(b.ResidentView, a.ResidentView), cmp.Compare(a.causedStrain, b.causedStrain), cmp.Compare(a.Task, b.Task))
	})
	margin := desiredStrain - to.Strain
	var actions []Action
	for _, s := range all {
		if s.ThrottleRatio >= 1 || margin <= 0 {
			continue
		}
		ratio := 1.0
		if s.causedStrain > 0 {
			ratio = min(1, roundDown(s.ThrottleRatio+margin/s.causedStrain))
		}
		if ratio <= s.ThrottleRatio {
			continue
		}
		margin -= s.causedStrain * (ratio - s.ThrottleRatio)
		actions = append(actions, Action{Kind: share.YieldThrottle, Worker: v.Worker, Task: s.Task, Ratio: ratio, Rule: s.rule.Name})
	}
	return actions
}

// compareUrgent puts tasks that are not urgent first.
func compareUrgent(a, b ResidentView) int {
	switch {
	case a.Urgent == b.Urgent:
		return 0
	case a.Urgent:
		return 1
	}
	return -1
}

func roundDown(ratio float64) float64 {
	return math.Floor(ratio/ratioStep+ratioRounding) * ratioStep
}
