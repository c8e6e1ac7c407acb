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
	if actions := unload(v); len(actions) > 0 {
		s.yielded(now)
		return actions
	}
	worst, known := y.worst(v, s)
	if !known {
		return nil
	}
	var actions []Action
	switch {
	case worst.Strain > strainLimit(y.weight(v, worst)):
		actions = y.relieve(v, worst, now)
		if len(actions) > 0 {
			s.yielded(now)
		}
	case worst.Strain < liftStrain && now.Sub(s.yieldedAt) >= s.hold:
		actions = y.lift(v, worst)
		if len(actions) > 0 {
			s.actedAt = now
			s.lifted = true
		}
	}
	return actions
}

// unload takes tasks off a worker that holds more than it has, those that lose
// least first. It asks no rule: no worker may be given more than it holds.
func unload(v View) []Action {
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
		return cmp.Or(compareUrgent(a, b), cmp.Compare(a.lost(), b.lost()), cmp.Compare(a.Task, b.Task))
	})
	var actions []Action
	for _, r := range all {
		if r.Leaving || !free.IsNegative() {
			continue
		}
		free = free.Plus(r.Size)
		actions = append(actions, Action{Kind: r.leave(), Worker: v.Worker, Task: r.Task})
	}
	return actions
}

// lost returns the run time that taking the task off costs.
func (r ResidentView) lost() time.Duration {
	if r.Checkpoints {
		return moveCost
	}
	return moveCost + r.Unsaved
}

// yielded takes note of a yield. One that follows a lift doubles the pause
// before the next lift.
func (s *yieldState) yielded(now time.Time) {
	if s.lifted && now.Sub(s.actedAt) < s.hold {
		s.hold = min(2*s.hold, longestHold)
	} else if now.Sub(s.yieldedAt) > longestHold {
		s.hold = firstHold
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

// suspect is a task that may yield to a service.
type suspect struct {
	ResidentView
	rule share.YieldRule
	// harm is the strain that the task causes at full speed.
	harm float64
	// ratio is the ratio that is planned for the task.
	ratio float64
}

// suspects returns the tasks that a rule makes yield to a service.
func (y *Yielder) suspects(v View, to ServiceView) []suspect {
	var all []suspect
	for _, r := range v.Residents {
		rule, ok := y.rules[rulePair{yields: r.Share, to: to.Share}]
		if !ok || r.Leaving {
			continue
		}
		all = append(all, suspect{ResidentView: r, rule: rule, harm: y.harm(r, to), ratio: r.Ratio})
	}
	return all
}

// harm returns the strain that a task causes at full speed, by the upper end
// of what is known.
func (y *Yielder) harm(r ResidentView, to ServiceView) float64 {
	if y.Model == nil {
		return 1
	}
	service := y.Model.Service(to.Service)
	mean, deviation := y.Model.Effect(service, y.Model.Aggressor(r.Job))
	return y.Model.Base(service) * (mean + deviation/2)
}

// relieve throttles the tasks that cause most strain. Once there is nothing
// left to throttle and that was measured not to suffice, it evicts some.
func (y *Yielder) relieve(v View, to ServiceView, now time.Time) []Action {
	all := y.suspects(v, to)
	excess := to.Strain - aimedStrain
	actions := y.throttle(v.Worker, all, excess)
	if len(actions) == 0 && to.Strain > evictionStrain(y.weight(v, to)) {
		return y.evict(v.Worker, all, excess, now)
	}
	return actions
}

// weight returns the greatest weight of a service's tail among the rules that
// a worker's tasks are under.
func (y *Yielder) weight(v View, to ServiceView) float64 {
	weight := 0.0
	for _, r := range v.Residents {
		weight = max(weight, y.rules[rulePair{yields: r.Share, to: to.Share}].TailWeight)
	}
	return weight
}

// evictionStrain is the strain from which tasks are evicted: the less tail
// latency weighs, the more strain is borne first.
func evictionStrain(tailWeight float64) float64 {
	return 1 + bornStrain*(1-tailWeight)
}

// throttle lowers ratios, the most harmful tasks first, until the excess is relieved.
func (y *Yielder) throttle(worker string, all []suspect, excess float64) []Action {
	slices.SortStableFunc(all, func(a, b suspect) int {
		return cmp.Or(compareUrgent(a.ResidentView, b.ResidentView), cmp.Compare(b.harm, a.harm), cmp.Compare(a.Task, b.Task))
	})
	var actions []Action
	for i := range all {
		s := &all[i]
		if excess <= 0 || s.harm <= 0 {
			continue
		}
		ratio := max(minRatio, roundDown(s.ratio-excess/s.harm))
		if ratio >= s.ratio {
			continue
		}
		excess -= s.harm * (s.ratio - ratio)
		s.ratio = ratio
		actions = append(actions, Action{Kind: share.YieldThrottle, Worker: worker, Task: s.Task, ThrottleRatio: ratio, Rule: s.rule.Name})
	}
	return actions
}

// evict takes tasks off a worker, those of the least cost for their harm first.
func (y *Yielder) evict(worker string, all []suspect, excess float64, now time.Time) []Action {
	slices.SortStableFunc(all, func(a, b suspect) int {
		return cmp.Or(compareUrgent(a.ResidentView, b.ResidentView), cmp.Compare(a.price(), b.price()), cmp.Compare(a.Task, b.Task))
	})
	var actions []Action
	for _, s := range all {
		kind := s.mildest()
		if excess <= 0 || len(actions) == evictionsAtOnce {
			break
		}
		if kind == share.YieldThrottle || s.harm <= 0 || now.Sub(s.Since) < s.rule.MinRunTime {
			continue
		}
		b := y.budgets[s.rule.Name]
		if !b.allows(now) {
			continue
		}
		b.spend(now)
		excess -= s.harm * s.ratio
		actions = append(actions, Action{Kind: kind, Worker: worker, Task: s.Task, Rule: s.rule.Name})
	}
	return actions
}

// mildest returns the mildest way in which the rule lets the task be taken
// off, or a throttle if it does not.
func (s suspect) mildest() share.YieldAction {
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

// moveCost is the run time that any eviction costs: stopping, queueing and starting again.
const moveCost = 5 * time.Second

// price returns what taking the task off costs for each part of strain that it relieves.
func (s suspect) price() float64 {
	if s.harm <= 0 {
		return math.Inf(1)
	}
	return s.lost().Seconds() / (s.harm * s.ratio)
}

// lift raises the ratios of throttled tasks, the least harmful first, as far
// as the service is expected to bear it.
func (y *Yielder) lift(v View, to ServiceView) []Action {
	all := y.suspects(v, to)
	slices.SortStableFunc(all, func(a, b suspect) int {
		return cmp.Or(compareUrgent(b.ResidentView, a.ResidentView), cmp.Compare(a.harm, b.harm), cmp.Compare(a.Task, b.Task))
	})
	room := aimedStrain - to.Strain
	var actions []Action
	for _, s := range all {
		if s.Ratio >= 1 || room <= 0 {
			continue
		}
		ratio := 1.0
		if s.harm > 0 {
			ratio = min(1, roundDown(s.Ratio+room/s.harm))
		}
		if ratio <= s.Ratio {
			continue
		}
		room -= s.harm * (ratio - s.Ratio)
		actions = append(actions, Action{Kind: share.YieldThrottle, Worker: v.Worker, Task: s.Task, ThrottleRatio: ratio, Rule: s.rule.Name})
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
