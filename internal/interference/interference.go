// Package interference learns how much the tasks of one job family slow down
// those of another, and the services beside them, on the same worker.
//
// The strain of a victim is, for a service, its p99 as a part of its
// objective, and for a job family the slowdown of a task, where 1 means
// undisturbed. It is modelled as a baseline times one plus the sum, over the
// aggressors on the same worker, of a coefficient times the aggressor's load.
// The load of a task is 1 while it runs at full speed, and its throttle ratio
// otherwise. A shift of a service's own request load moves its baseline and
// leaves the coefficients as they are.
//
// Every baseline and coefficient carries a variance (an extended Kalman filter
// with a diagonal covariance), so that a measurement corrects most what is
// known least. Variances grow with time: old knowledge gives way to new
// measurements.
//
// Measurements lag. History keeps who was resident on each worker, so that a
// measurement is attributed to the residents of its own time.
//
// # Usage
//
//	l := interference.NewLearner()
//	finish := l.Model.Service("finish")
//	review := l.Model.Aggressor("flatness-review")
//	l.History.Set("worker-1", now, []interference.Load{{Aggressor: review, Amount: 2}})
//	l.Tail("worker-1", "finish", 0.8, measuredAt, window)
//	strain := l.Model.Predict(finish, loads)
package interference

import "time"

// Victim identifies a service or job family that is slowed down.
type Victim int32

// Aggressor identifies a job family that slows others down.
type Aggressor int32

// Load is how much of one aggressor is on a worker, in tasks at full speed.
type Load struct {
	Aggressor Aggressor
	Amount    float64
}

const (
	// priorVariance is the variance of a coefficient before any measurement.
	priorVariance = 0.25
	// driftPerHour is the variance that a coefficient gains in an hour.
	driftPerHour = 0.02
	// serviceBase, serviceBaseVariance and serviceBaseDrift describe the baseline of a service.
	serviceBase         = 0.5
	serviceBaseVariance = 0.25
	serviceBaseDrift    = 2
	// familyBase and familyBaseVariance describe that of a job family.
	familyBase         = 1
	familyBaseVariance = 0.0001
	// measurementVariance is the variance of a measured strain of 1; it grows with the square of the strain.
	measurementVariance = 0.01
)

// estimate is one learned number.
type estimate struct {
	mean     float64
	variance float64
	// at is when the variance was last brought up to date, in Unix nanoseconds, or zero.
	at int64
}

// drift lets the variance grow up to a time, but not beyond a bound.
func (e *estimate) drift(now time.Time, perHour, bound float64) {
	at := now.UnixNano()
	if at <= e.at {
		return
	}
	if e.at != 0 {
		elapsed := time.Duration(at - e.at)
		e.variance = max(e.variance, min(bound, e.variance+perHour*elapsed.Hours()))
	}
	e.at = at
}

// correct takes the estimate's part of a surprise; slope is how much the
// measured strain grows with the estimate, and total the variance of the
// surprise.
func (e *estimate) correct(slope, surprise, total float64) {
	gain := e.variance * slope / total
	e.mean = max(0, e.mean+gain*surprise)
	e.variance *= 1 - gain*slope
}
