package placement

import (
	"math"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// defaultTailWeight holds where no yield rule weighs tail latency against evictions.
	defaultTailWeight = 0.5
	// comfortableStrain is the part of an objective up to which a service's tail costs little.
	comfortableStrain = 0.7
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
	// harmlessStrain is what one task may add to any strain of a service.
	harmlessStrain = 0.02
	// strainMargin is the part of an objective that a full weight of tail latency keeps free.
	strainMargin = 0.1
	// unsureDeviation is the standard deviation from which an effect counts as unsure.
	unsureDeviation = 0.2
	// maxTrials bounds the tasks of a family that share workers with a service while their effect is unsure.
	maxTrials = 4
)

// best returns the found worker of the least cost, and whether the task would
// push a service there past its objective.
func (p *Pool) best(c Candidate) (int, bool) {
	best, bestCost, bestHarmful := -1, math.Inf(1), true
	group := p.groups[c.Group]
	var own aggressor
	if p.Model != nil {
		own = aggressor{Aggressor: p.Model.Aggressor(c.Job), victim: p.Model.Family(c.Job)}
	}
	for _, i := range p.found {
		s := p.workers[i]
		cost := spreadCost*group.crowding(s.Worker) + fitCost*slack(p.free[i], c.Size, s.Capacity)
		harmful := false
		if p.Model != nil {
			strain, h := p.strainCost(s, c, own)
			cost += strain
			harmful = h
		}
		if (harmful == bestHarmful && cost < bestCost) || (bestHarmful && !harmful) {
			best, bestCost, bestHarmful = i, cost, harmful
		}
	}
	return best, bestHarmful
}

// aggressor is a candidate's family in both of its parts.
type aggressor struct {
	interference.Aggressor
	victim interference.Victim
}

// strainCost returns the cost of the interference that a task would cause and
// suffer on a worker, and whether a service would be pushed past its limit.
func (p *Pool) strainCost(s *state, c Candidate, own aggressor) (float64, bool) {
	cost, harmful := 0.0, false
	for i, v := range s.victims {
		if s.quiet[i] {
			continue
		}
		weight := p.tailWeight(c.Share, s.Runners[i].Share)
		before := p.predict(v, s.loads)
		after := before + p.Model.Base(v)*p.serviceEffect(v, own.Aggressor)
		cost += weight * tailCost * (beyond(after, comfortableStrain) - beyond(before, comfortableStrain))
		cost += (1 - weight) * evictionCost * (beyond(after, 1) - beyond(before, 1))
		cost += weight * (after - before)
		harmful = harmful || (after > strainLimit(weight) && after-before > harmlessStrain)
	}
	for i := range s.loads {
		l := &s.loads[i]
		suffers, _ := p.Model.Effect(own.victim, l.Aggressor)
		causes, _ := p.Model.Effect(l.victim, own.Aggressor)
		cost += slowdownCost * l.Amount * (suffers + causes)
	}
	return cost, harmful
}

// predict returns the strain of a service beside the given loads.
func (p *Pool) predict(v interference.Victim, loads []familyLoad) float64 {
	factor := 1.0
	for i := range loads {
		mean, _ := p.Model.Effect(v, loads[i].Aggressor)
		factor += mean * loads[i].Amount
	}
	return factor * p.Model.Base(v)
}

// serviceEffect returns the effect of one task on a service as a choice
// assumes it. An unsure effect is assumed mild while few tasks try it out, so
// that it is learned, and severe beyond that.
func (p *Pool) serviceEffect(v interference.Victim, a interference.Aggressor) float64 {
	mean, deviation := p.Model.Effect(v, a)
	if deviation < unsureDeviation {
		return mean
	}
	if p.trials[trial{v, a}] < maxTrials {
		return max(0, mean-deviation)
	}
	return mean + deviation
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

// beyond returns the square of how far a strain lies past a bound.
func beyond(strain, bound float64) float64 {
	over := max(0, strain-bound)
	return over * over
}

// slack returns the part of a worker that stays free, from 0 to 1, by the scarcest resource.
func slack(free, size, capacity share.Resources) float64 {
	left := free.Minus(size)
	part := 1.0
	if capacity.Processors > 0 {
		part = float64(left.Processors) / float64(capacity.Processors)
	}
	if capacity.Memory > 0 {
		part = min(part, float64(left.Memory)/float64(capacity.Memory))
	}
	return part
}
