package interference

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxKnown bounds the estimates that Known returns.
const maxKnown = 1000

// LearnedEffect is what was learned of one pair, for a model that takes over.
type LearnedEffect struct {
	Service string
	// Family is the job family that has the effect; empty stands for the baseline of the service.
	Family   string
	Mean     float64
	Variance float64
	// UpdatedAt is when the variance was last brought up to date.
	UpdatedAt time.Time
}

// LearnedEffects returns what was measured of services, the newest first. What job
// families do to each other is learned anew: it moves no tail.
func (m *Model) LearnedEffects() []LearnedEffect {
	var all []LearnedEffect
	for name, v := range m.victims {
		service, ok := strings.CutPrefix(name, servicePrefix)
		if !ok {
			continue
		}
		all = m.rows[v].base.known(all, service, "")
		for _, family := range slices.Sorted(maps.Keys(m.aggressors)) {
			e := m.rows[v].pair(m.aggressors[family])
			all = e.known(all, service, family)
		}
	}
	slices.SortFunc(all, func(a, b LearnedEffect) int {
		return cmp.Or(
			b.UpdatedAt.Compare(a.UpdatedAt), cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Family, b.Family))
	})
	return all[:min(len(all), maxKnown)]
}

// known appends an estimate that was ever corrected.
func (e *estimate) known(to []LearnedEffect, service, family string) []LearnedEffect {
	if e.at == 0 {
		return to
	}
	return append(to, LearnedEffect{
		Service: service, Family: family, Mean: e.mean, Variance: e.variance, UpdatedAt: time.Unix(0, e.at),
	})
}

// Restore takes what another model had learned.
func (m *Model) Restore(all []LearnedEffect) {
	for _, k := range all {
		r := &m.rows[m.Service(k.Service)]
		e := &r.base
		if k.Family != "" {
			e = r.grow(m.Aggressor(k.Family))
		}
		*e = estimate{mean: k.Mean, variance: k.Variance, at: k.UpdatedAt.UnixNano()}
	}
}
