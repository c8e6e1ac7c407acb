// Package interference learns how much batch tasks slow down the services and
// the other batch tasks on the same worker. A job family is all tasks of one
// declared job. A victim is a service or job family that is slowed down, and an
// aggressor is a job family that slows others down.
//
// The strain of a service is its measured p99 latency as a fraction of its
// objective. The strain of a job family is the slowdown of its tasks, where 1
// means undisturbed. Model predicts the strain of a victim as its baseline
// times one plus the sum, over the aggressors on the same worker, of a
// coefficient times the aggressor's load. The load of a task is 1 while it is
// unthrottled, and its throttle ratio otherwise. A change of a service's own
// request load moves its baseline and leaves the coefficients as they are.
//
// Every baseline and coefficient has a variance (an extended Kalman filter with
// a diagonal covariance), so that a measurement corrects the least certain
// estimates most. Variances grow with time, except those of job families'
// baselines, so that new measurements replace old ones.
//
// Measurements arrive late. History keeps which tasks were on each worker, so
// that a measurement is attributed to the tasks of its own window.
//
// HeadroomModel is a separate model for serving tasks. It predicts headroom,
// the inverse of a service's strain, from the processor usage of images.
//
// # Usage
//
//	l := interference.NewLearner()
//	finish := l.Model.Service("finish")
//	review := l.Model.Aggressor("flatness-review")
//	l.History.Set("worker-1", now, []interference.Load{{Aggressor: review, Amount: 2}})
//	l.ObserveTail("worker-1", "finish", 0.8, measuredAt, window)
//	strain := l.Model.Predict(finish, loads)
package interference

import "time"

// Victim identifies a service or job family that is slowed down.
type Victim int32

// Aggressor identifies a job family that slows others down.
type Aggressor int32

// Load is the amount of one aggressor on a worker, in unthrottled tasks.
type Load struct {
	Aggressor Aggressor
	Amount    float64
}

const (
	// priorVariance is the variance of a coefficient before any measurement.
	priorVariance = 0.25
	// minCoefficientVariance bounds the variance of a coefficient from below. Measurements beside an
	// aggressor alone can't tell its coefficient from the baseline, but lower both variances, since
	// the filter keeps no covariances.
	minCoefficientVariance = 0.0025
	// coefficientDriftPerHour is the variance that a coefficient gains in an hour.
	coefficientDriftPerHour = 0.02
	// serviceBaseline and serviceBaselineVariance are the mean and variance of a service's
	// baseline before any measurement. serviceBaselineDriftPerHour is the variance that
	// it gains in an hour.
	serviceBaseline             = 0.5
	serviceBaselineVariance     = 0.25
	serviceBaselineDriftPerHour = 2
	// familyBaseline and familyBaselineVariance are the mean and variance of a job family's
	// baseline before any measurement. It gains no variance with time.
	familyBaseline         = 1
	familyBaselineVariance = 0.0001
	// measurementVariance is the variance of a measurement at a strain of 1; it grows with the square of the strain.
	measurementVariance = 0.01
)

// estimate is one learned baseline or coefficient.
type estimate struct {
	mean     float64
	variance float64
	// updatedAt is when growVariance last ran, in Unix nanoseconds; zero if never.
	updatedAt int64
}

// growVariance adds the variance gained since the last update, up to a limit.
func (e *estimate) growVariance(now time.Time, perHour, limit float64) {
	at := now.UnixNano()
	if at <= e.updatedAt {
		return
	}
	if e.updatedAt != 0 {
		elapsed := time.Duration(at - e.updatedAt)
		e.variance = max(e.variance, min(limit, e.variance+perHour*elapsed.Hours()))
	}
	e.updatedAt = at
}

// correct updates the estimate from one measurement. residual is the measured
// minus the predicted strain, totalVariance its variance, and slope the change
// of the predicted strain per unit of the estimate.
func (e *estimate) correct(slope, residual, totalVariance float64) {
	gain := e.variance * slope / totalVariance
	e.mean = max(0, e.mean+gain*residual)
	e.variance *= 1 - gain*slope
}
