package placement

import (
	"math"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// defaultTailWeight is the weight of tail latency against evictions between shares without a yield rule.
	defaultTailWeight = 0.5
	// tolerableStrain is the strain up to which a service's tail latency costs little.
	tolerableStrain = 0.7
	// slowdownCost weighs the slowdown of batch tasks against a service's tail latency.
	slowdownCost = 0.3
	// tailCost weighs a service's strain above tolerableStrain.
	tailCost = 6.0
	// evictionCost weighs strain above 1, which probably leads to an eviction.
	evictionCost = 2.0
	// spreadCost weighs tasks of one group on the same worker, rack or data centre.
	spreadCost = 0.3
	// fitCost weighs the capacity of a worker that a task would leave unused.
	fitCost = 0.05
	// negligibleStrain is the added strain up to which a task may run even alongside a service past its strain limit.
	negligibleStrain = 0.02
	// strainMargin is how far below 1 the strain limit lies at a tail weight of 1.
	strainMargin = 0.1
	// uncertainStdDev is the standard deviation from which an effect counts as uncertain.
	uncertainStdDev = 0.2
	// maxTrialTasks bounds the tasks of a job family that run alongside a service while their effect on it is uncertain.
	maxTrialTasks = 4
)

// cheapest returns the eligible worker with the lowest cost, and whether the
// task would push a service there past its strain limit. Workers without such
// interference come first.
func (p *Pool) cheapest(c Candidate) (int, bool) {
	best, bestCost, bestInterferes := -1, math.Inf(1), true
	group := p.groups[c.Group]
	var roles familyRoles
	if p.Model != nil {
		roles = familyRoles{Aggressor: p.Model.Aggressor(c.Job), victim: p.Model.Family(c.Job)}
	}
	for _, i := range p.eligible {
		s := p.workers[i]
		cost := spreadCost*group.crowding(s.Worker) + fitCost*unusedFraction(p.free[i], c.Size, s.Capacity)
		interferes := false
		if p.Model != nil {
			strainCost, exceedsLimit := p.interferenceCost(s, c, roles)
			cost += strainCost
			interferes = exceedsLimit
		}
		if (interferes == bestInterferes && cost < bestCost) || (bestInterferes && !interferes) {
			best, bestCost, bestInterferes = i, cost, interferes
		}
	}
	return best, bestInterferes
}

// familyRoles identifies a candidate's job family as an aggressor and as a victim.
type familyRoles struct {
	interference.Aggressor
	victim interference.Victim
}

// interferenceCost returns the cost of the interference that a task would cause
// and suffer on a worker, and whether it would push a service there past its
// strain limit.
func (p *Pool) interferenceCost(s *workerState, c Candidate, roles familyRoles) (float64, bool) {
	cost, interferes := 0.0, false
	for i, v := range s.victims {
		if s.idle[i] {
			continue
		}
		weight := p.tailWeight(c.Share, s.Runners[i].Share)
		before := p.predict(v, s.loads)
		after := before + p.Model.Baseline(v)*p.assumedEffect(v, roles.Aggressor)
		cost += weight * tailCost * (squaredExcess(after, tolerableStrain) - squaredExcess(before, tolerableStrain))
		cost += (1 - weight) * evictionCost * (squaredExcess(after, 1) - squaredExcess(before, 1))
		cost += weight * (after - before)
		interferes = interferes || (after > strainLimit(weight) && after-before > negligibleStrain)
	}
	for i := range s.loads {
		l := &s.loads[i]
		suffered, _ := p.Model.Effect(roles.victim, l.Aggressor)
		caused, _ := p.Model.Effect(l.victim, roles.Aggressor)
		cost += slowdownCost * l.Amount * (suffered + caused)
	}
	return cost, interferes
}

// predict returns the strain of a service alongside the given loads.
func (p *Pool) predict(v interference.Victim, loads []familyLoad) float64 {
	factor := 1.0
	for i := range loads {
		mean, _ := p.Model.Effect(v, loads[i].Aggressor)
		factor += mean * loads[i].Amount
	}
	return factor * p.Model.Baseline(v)
}

// assumedEffect returns the effect of one task on a service that placement
// assumes. An uncertain effect is assumed mild while fewer than maxTrialTasks
// tasks of the family run alongside the service, so that it can be measured, and
// severe from then on.
func (p *Pool) assumedEffect(v interference.Victim, a interference.Aggressor) float64 {
	mean, stdDev := p.Model.Effect(v, a)
	if stdDev < uncertainStdDev {
		return mean
	}
	if p.coLocated[servicePair{v, a}] < maxTrialTasks {
		return max(0, mean-stdDev)
	}
	return mean + stdDev
}

// strainLimit returns the strain of a service above which no further task is
// placed alongside it. A greater weight of tail latency keeps a wider margin.
func strainLimit(tailWeight float64) float64 {
	return 1 - strainMargin*tailWeight
}

// tailWeight returns the weight of tail latency against evictions between a
// batch task's share and a service's share.
func (p *Pool) tailWeight(yields, to string) float64 {
	if r, ok := p.rules[rulePair{yields: yields, to: to}]; ok {
		return r.TailWeight
	}
	return defaultTailWeight
}

// squaredExcess returns the square of the strain above a bound, or 0 below it.
func squaredExcess(strain, bound float64) float64 {
	excess := max(0, strain-bound)
	return excess * excess
}

// unusedFraction returns the fraction of a worker's processors or memory, whichever
// is scarcer, that stays free once a task of the given size is placed there.
func unusedFraction(free, size, capacity share.Resources) float64 {
	remaining := free.Minus(size)
	fraction := 1.0
	if capacity.Processors > 0 {
		fraction = float64(remaining.Processors) / float64(capacity.Processors)
	}
	if capacity.Memory > 0 {
		fraction = min(fraction, float64(remaining.Memory)/float64(capacity.Memory))
	}
	return fraction
}
