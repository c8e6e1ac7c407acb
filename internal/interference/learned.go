package interference

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLearnedEffects bounds the estimates that LearnedEffects returns.
const maxLearnedEffects = 1000

// LearnedEffect is one learned coefficient or baseline in a form for storage,
// from which a new leader restores its model.
type LearnedEffect struct {
	Service string
	// Family is the job family that has the effect; it is empty for the baseline of the service.
	Family   string
	Mean     float64
	Variance float64
	// UpdatedAt is the time up to which Variance includes the variance gained with time.
	UpdatedAt time.Time
}

// LearnedEffects returns the measured effects on services, the newest first.
// The effects of job families on each other are left out and learned again,
// because they change no service's tail latency.
func (m *Model) LearnedEffects() []LearnedEffect {
	var effects []LearnedEffect
	for name, v := range m.victims {
		service, ok := strings.CutPrefix(name, servicePrefix)
		if !ok {
			continue
		}
		effects = m.models[v].baseline.appendLearned(effects, service, "")
		for _, family := range slices.Sorted(maps.Keys(m.aggressors)) {
			e := m.models[v].coefficient(m.aggressors[family])
			effects = e.appendLearned(effects, service, family)
		}
	}
	slices.SortFunc(effects, func(a, b LearnedEffect) int {
		return cmp.Or(
			b.UpdatedAt.Compare(a.UpdatedAt), cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Family, b.Family))
	})
	return effects[:min(len(effects), maxLearnedEffects)]
}

// appendLearned appends the estimate to effects if it was ever measured.
func (e *estimate) appendLearned(effects []LearnedEffect, service, family string) []LearnedEffect {
	if e.updatedAt == 0 {
		return effects
	}
	return append(effects, LearnedEffect{
		Service: service, Family: family, Mean: e.mean, Variance: e.variance, UpdatedAt: time.Unix(0, e.updatedAt),
	})
}

// Restore sets the estimates that another model returned from LearnedEffects.
func (m *Model) Restore(effects []LearnedEffect) {
	for _, learned := range effects {
		model := &m.models[m.Service(learned.Service)]
		estimated := &model.baseline
		if learned.Family != "" {
			estimated = model.mutableCoefficient(m.Aggressor(learned.Family))
		}
		*estimated = estimate{mean: learned.Mean, variance: learned.Variance, updatedAt: learned.UpdatedAt.UnixNano()}
	}
}
