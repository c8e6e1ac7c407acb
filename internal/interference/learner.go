package interference

import (
	"slices"
	"time"
)

// Learner updates a Model from measurements that arrive late. It attributes
// each to the loads that were on the worker during its window.
type Learner struct {
	Model   *Model
	History *History
}

// NewLearner returns a learner with an empty model and history.
func NewLearner() *Learner {
	return &Learner{Model: NewModel(), History: NewHistory()}
}

// ObserveTail records the strain of a service's runner on a worker, measured
// over a window that ended at the given time. It returns false, and learns
// nothing, if the history does not cover that window.
func (l *Learner) ObserveTail(worker, service string, strain float64, at time.Time, window time.Duration) bool {
	loads, ok := l.History.Mean(worker, at.Add(-window), at)
	if ok {
		l.Model.Observe(l.Model.Service(service), loads, strain, at)
	}
	return ok
}

// ObserveSpeed records the speed of one task, as a fraction of its undisturbed
// speed at the same throttle ratio, measured over a window that ended at the
// given time. It returns false, and learns nothing, if the history does not
// cover that window or the speed is not positive.
func (l *Learner) ObserveSpeed(worker, family string, speed, ratio float64, at time.Time, window time.Duration) bool {
	loads, ok := l.History.Mean(worker, at.Add(-window), at)
	if !ok || speed <= 0 {
		return false
	}
	aggressor := l.Model.Aggressor(family)
	i := slices.IndexFunc(loads, func(x Load) bool { return x.Aggressor == aggressor })
	if i >= 0 {
		loads[i].Amount = max(0, loads[i].Amount-ratio)
	}
	l.Model.Observe(l.Model.Family(family), loads, 1/speed, at)
	return true
}
