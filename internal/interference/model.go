package interference

import (
	"math"
	"time"
)

// Model holds what was learned of all pairs. It is not safe for concurrent use.
type Model struct {
	victims    map[string]Victim
	aggressors map[string]Aggressor
	rows       []row
}

// row is the model of one victim.
type row struct {
	base      estimate
	baseDrift float64
	baseBound float64
	// pairs are indexed by aggressor; those beyond its length are unknown.
	pairs []estimate
}

// NewModel returns a model that knows nothing.
func NewModel() *Model {
	return &Model{victims: map[string]Victim{}, aggressors: map[string]Aggressor{}}
}

// servicePrefix tells the services among the victims from the job families.
const servicePrefix = "service/"

// Service returns the victim that stands for a service.
func (m *Model) Service(name string) Victim {
	return m.victim(servicePrefix+name, row{
		base:      estimate{mean: serviceBase, variance: serviceBaseVariance},
		baseDrift: serviceBaseDrift,
		baseBound: serviceBaseVariance,
	})
}

// Family returns the victim that stands for the tasks of a job family.
func (m *Model) Family(name string) Victim {
	return m.victim("family/"+name, row{
		base:      estimate{mean: familyBase, variance: familyBaseVariance},
		baseBound: familyBaseVariance,
	})
}

func (m *Model) victim(name string, r row) Victim {
	v, ok := m.victims[name]
	if !ok {
		v = Victim(len(m.rows))
		m.victims[name] = v
		m.rows = append(m.rows, r)
	}
	return v
}

// Aggressor returns the aggressor of that job family.
func (m *Model) Aggressor(family string) Aggressor {
	a, ok := m.aggressors[family]
	if !ok {
		a = Aggressor(len(m.aggressors))
		m.aggressors[family] = a
	}
	return a
}

// Base returns the strain of a victim that is alone on its worker.
func (m *Model) Base(v Victim) float64 {
	return m.rows[v].base.mean
}

// Effect returns the part of its baseline that one task of an aggressor adds
// to a victim's strain, and the standard deviation of that part.
func (m *Model) Effect(v Victim, a Aggressor) (mean, deviation float64) {
	e := m.rows[v].pair(a)
	return e.mean, math.Sqrt(e.variance)
}

// Predict returns the strain of a victim beside the given loads.
func (m *Model) Predict(v Victim, loads []Load) float64 {
	return m.rows[v].base.mean * m.rows[v].factor(loads)
}

// Observe takes a strain that was measured beside the given loads.
func (m *Model) Observe(v Victim, loads []Load, strain float64, at time.Time) {
	r := &m.rows[v]
	r.base.drift(at, r.baseDrift, r.baseBound)
	base, factor := r.base.mean, r.factor(loads)
	total := r.base.variance*factor*factor + measurementVariance*strain*strain
	for _, l := range loads {
		e := r.grow(l.Aggressor)
		e.drift(at, driftPerHour, priorVariance)
		slope := base * l.Amount
		total += e.variance * slope * slope
	}
	if total <= 0 {
		return
	}
	surprise := strain - base*factor
	r.base.correct(factor, surprise, total)
	for _, l := range loads {
		r.pairs[l.Aggressor].correct(base*l.Amount, surprise, total)
	}
}

// factor returns by how much the given loads multiply the baseline.
func (r *row) factor(loads []Load) float64 {
	factor := 1.0
	for _, l := range loads {
		factor += r.pair(l.Aggressor).mean * l.Amount
	}
	return factor
}

// pair returns the coefficient of an aggressor.
func (r *row) pair(a Aggressor) estimate {
	if int(a) < len(r.pairs) {
		return r.pairs[a]
	}
	return estimate{variance: priorVariance}
}

// grow returns the coefficient of an aggressor for a change.
func (r *row) grow(a Aggressor) *estimate {
	for int(a) >= len(r.pairs) {
		r.pairs = append(r.pairs, estimate{variance: priorVariance})
	}
	return &r.pairs[a]
}

// SetBaseline sets the baseline of a victim as known for sure.
func (m *Model) SetBaseline(v Victim, strain float64) {
	m.rows[v].base = estimate{mean: strain}
}

// SetEffect sets the effect of an aggressor on a victim as known for sure.
func (m *Model) SetEffect(v Victim, a Aggressor, mean float64) {
	*m.rows[v].grow(a) = estimate{mean: mean}
}
