package placement

import (
	"math"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// defaultTailWeight holds where no yield rule weighs tail latency against evictions.
	defaultTailWeight = 0.5
	// tolerableStrain is the part of an objective up to which a service's tail costs little.
	tolerableStrain = 0.7
	// slowdownCost weighs a slowdown of batch tasks against a service's tail.
	slowdownCost = 0.3
	// tailCost weighs a service's tail beyond comfort.
	tailCost = 6.0
	// evictionCost weighs a probable eviction.
	evictionCost = 2.0
	// spreadCost weighs tasks of one group in one place.
	spreadCost = 0.3
	// fitCost weighs capacity that is left unused beside what is taken.
	fitCost = 0.05
	// negligibleStrain is what one task may add to any strain of a service.
	negligibleStrain = 0.02
	// strainMargin is the part of an objective that a full weight of tail latency keeps free.
	strainMargin = 0.1
	// uncertainStdDev is the standard deviation from which an effect counts as unsure.
	uncertainStdDev = 0.2
	// maxTrialTasks bounds the tasks of a family that share workers with a service while their effect is unsure.
	maxTrialTasks = 4
)

// cheapest returns the found worker of the least cost, and whether the task would
// push a service there past its objective.
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
			strain, h := p.interferenceCost(s, c, roles)
			cost += strain
			interferes = h
		}
		if (interferes == bestInterferes && cost < bestCost) || (bestInterferes && !interferes) {
			best, bestCost, bestInterferes = i, cost, interferes
		}
	}
	return best, bestInterferes
}

// familyRoles is a candidate's family in both of its parts.
type familyRoles struct {
	interference.Aggressor
	victim interference.Victim
}

// interferenceCost returns the cost of the interference that a task would cause and
// suffer on a worker, and whether a service would be pushed past its limit.
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

// predict returns the strain of a service beside the given loads.
func (p *Pool) predict(v interference.Victim, loads []familyLoad) float64 {
	factor := 1.0
	for i := range loads {
		mean, _ := p.Model.Effect(v, loads[i].Aggressor)
		factor += mean * loads[i].Amount
	}
	return factor * p.Model.Baseline(v)
}

// assumedEffect returns the effect of one task on a service as a choice
// assumes it. An unsure effect is assumed mild while few tasks try it out, so
// that it is learned, and severe beyond that.
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

// strainLimit returns the strain of a service beyond which no further task is
// placed beside it: the more tail latency weighs, the wider the margin.
func strainLimit(tailWeight float64) float64 {
	return 1 - strainMargin*tailWeight
}

func (p *Pool) tailWeight(yields, to string) float64 {
	if r, ok := p.rules[rulePair{yields: yields, to: to}]; ok {
		return r.TailWeight
	}
	return defaultTailWeight
}

// squaredExcess returns the square of how far a strain lies past a bound.
func squaredExcess(strain, bound float64) float64 {
	excess := max(0, strain-bound)
	return excess * excess
}

// unusedFraction returns the part of a worker that stays free, from 0 to 1, by the scarcest resource.
func unusedFraction(free, size, capacity share.Resources) float64 {
	left := free.Minus(size)
	fraction := 1.0
	if capacity.Processors > 0 {
		fraction = float64(left.Processors) / float64(capacity.Processors)
	}
	if capacity.Memory > 0 {
		fraction = min(fraction, float64(left.Memory)/float64(capacity.Memory))
	}
	return fraction
}
