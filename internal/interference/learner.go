package interference

import (
	"slices"
	"time"
)

// Learner attributes lagged measurements to the residents of their own time.
type Learner struct {
	Model   *Model
	History *History
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{Model: NewModel(), History: NewHistory()}
}

// Tail takes the strain of a service's runner on a worker, measured over a
// window that ended at a time. It reports whether the residents of that window
// are known.
func (l *Learner) Tail(worker, service string, strain float64, at time.Time, window time.Duration) bool {
	loads, ok := l.History.Mean(worker, at.Add(-window), at)
	if ok {
		l.Model.Observe(l.Model.Service(service), loads, strain, at)
	}
	return ok
}

// Speed takes the speed of one task, as a part of its undisturbed speed at
// the same throttle ratio, measured over a window that ended at a time.
func (l *Learner) Speed(worker, family string, speed, ratio float64, at time.Time, window time.Duration) bool {
	loads, ok := l.History.Mean(worker, at.Add(-window), at)
	if !ok || speed <= 0 {
		return false
	}
	own := l.Model.Aggressor(family)
	i := slices.IndexFunc(loads, func(x Load) bool { return x.Aggressor == own })
	if i >= 0 {
		loads[i].Amount = max(0, loads[i].Amount-ratio)
	}
	l.Model.Observe(l.Model.Family(family), loads, 1/speed, at)
	return true
}
