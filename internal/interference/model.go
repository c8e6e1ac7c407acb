package interference

import (
	"math"
	"time"
)

// Model holds the learned baselines of all victims and the coefficients of all
// pairs of victim and aggressor. It is not safe for concurrent use.
type Model struct {
	victims    map[string]Victim
	aggressors map[string]Aggressor
	models     []victimModel
}

// victimModel is the model of one victim.
type victimModel struct {
	baseline             estimate
	baselineDriftPerHour float64
	maxBaselineVariance  float64
	// coefficients is indexed by aggressor. Aggressors beyond its length were never measured.
	coefficients []estimate
}

// NewModel returns a model without measurements.
func NewModel() *Model {
	return &Model{victims: map[string]Victim{}, aggressors: map[string]Aggressor{}}
}

// servicePrefix distinguishes services from job families in the keys of Model.victims.
const servicePrefix = "service/"

// Service returns the victim that represents a service, and adds it if needed.
func (m *Model) Service(name string) Victim {
	return m.victim(servicePrefix+name, victimModel{
		baseline:             estimate{mean: serviceBaseline, variance: serviceBaselineVariance},
		baselineDriftPerHour: serviceBaselineDriftPerHour,
		maxBaselineVariance:  serviceBaselineVariance,
	})
}

// Family returns the victim that represents a job family, and adds it if needed.
func (m *Model) Family(name string) Victim {
	return m.victim("family/"+name, victimModel{
		baseline:            estimate{mean: familyBaseline, variance: familyBaselineVariance},
		maxBaselineVariance: familyBaselineVariance,
	})
}

// victim returns the victim with a name, and adds it with an initial model if needed.
func (m *Model) victim(name string, initial victimModel) Victim {
	v, ok := m.victims[name]
	if !ok {
		v = Victim(len(m.models))
		m.victims[name] = v
		m.models = append(m.models, initial)
	}
	return v
}

// Aggressor returns the aggressor that represents a job family, and adds it if needed.
func (m *Model) Aggressor(family string) Aggressor {
	a, ok := m.aggressors[family]
	if !ok {
		a = Aggressor(len(m.aggressors))
		m.aggressors[family] = a
	}
	return a
}

// Baseline returns the strain of a victim that is alone on its worker.
func (m *Model) Baseline(v Victim) float64 {
	return m.models[v].baseline.mean
}

// Effect returns the mean and standard deviation of a coefficient: the strain
// that one unthrottled task of an aggressor adds to a victim, as a fraction of
// the victim's baseline.
func (m *Model) Effect(v Victim, a Aggressor) (mean, stdDev float64) {
	e := m.models[v].coefficient(a)
	return e.mean, math.Sqrt(e.variance)
}

// Predict returns the strain of a victim alongside the given loads.
func (m *Model) Predict(v Victim, loads []Load) float64 {
	return m.models[v].baseline.mean * m.models[v].factor(loads)
}

// Observe updates the model with a strain that was measured alongside the given loads.
func (m *Model) Observe(v Victim, loads []Load, strain float64, at time.Time) {
	model := &m.models[v]
	model.baseline.growVariance(at, model.baselineDriftPerHour, model.maxBaselineVariance)
	baseline, factor := model.baseline.mean, model.factor(loads)
	totalVariance := model.baseline.variance*factor*factor + measurementVariance*strain*strain
	for _, l := range loads {
		e := model.mutableCoefficient(l.Aggressor)
		e.growVariance(at, coefficientDriftPerHour, priorVariance)
		slope := baseline * l.Amount
		totalVariance += e.variance * slope * slope
	}
	if totalVariance <= 0 {
		return
	}
	residual := strain - baseline*factor
	model.baseline.correct(factor, residual, totalVariance)
	for _, l := range loads {
		e := &model.coefficients[l.Aggressor]
		least := min(e.variance, minCoefficientVariance)
		e.correct(baseline*l.Amount, residual, totalVariance)
		e.variance = max(e.variance, least)
	}
}

// factor returns the factor by which the given loads multiply the baseline.
func (vm *victimModel) factor(loads []Load) float64 {
	factor := 1.0
	for _, l := range loads {
		factor += vm.coefficient(l.Aggressor).mean * l.Amount
	}
	return factor
}

// coefficient returns the coefficient of an aggressor.
func (vm *victimModel) coefficient(a Aggressor) estimate {
	if int(a) < len(vm.coefficients) {
		return vm.coefficients[a]
	}
	return estimate{variance: priorVariance}
}

// mutableCoefficient returns a pointer to the coefficient of an aggressor, which it adds if needed.
func (vm *victimModel) mutableCoefficient(a Aggressor) *estimate {
	for int(a) >= len(vm.coefficients) {
		vm.coefficients = append(vm.coefficients, estimate{variance: priorVariance})
	}
	return &vm.coefficients[a]
}

// SetBaseline sets the baseline of a victim and treats it as certain: its variance becomes 0.
func (m *Model) SetBaseline(v Victim, strain float64) {
	m.models[v].baseline = estimate{mean: strain}
}

// SetEffect sets the coefficient of an aggressor for a victim and treats it as certain: its variance becomes 0.
func (m *Model) SetEffect(v Victim, a Aggressor, mean float64) {
	*m.models[v].mutableCoefficient(a) = estimate{mean: mean}
}
