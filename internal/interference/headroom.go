package interference

import (
	"math"
	"time"
)

// HeadroomModel learns how much headroom serving tasks lose to the images that
// run on the same worker. The headroom of a serving task is its latency target
// divided by its measured tail latency: below 1 the target is missed. An image
// is a victim where it loses headroom, and an aggressor where it takes some
// from others.
//
// Tail latency grows without bound as a worker runs short of a shared resource,
// but its inverse falls in proportion to the usage of each task. The model
// therefore predicts headroom as a baseline minus the sum, over the other
// images on the worker, of an effect times the fraction of the worker's
// processors that the image uses. The baseline follows the request load of the
// victim and is the same for all tasks of one job. Baselines change within
// seconds, effects hardly change. Both are estimated together with their
// variances by a Kalman filter with a diagonal covariance, so that the
// undisturbed tasks of a job determine its baseline, and the disturbed ones
// the effects.
//
// Images are numbered from 0. The zero value is a model without measurements.
// A HeadroomModel is not safe for concurrent use.
type HeadroomModel struct {
	// effects is indexed by victim, then by aggressor.
	effects [][]effect
	// imageBaselines holds the mean baseline of each image as a victim; 0 before the first measurement.
	imageBaselines []float64
	// calibration gives how often a target was missed at each expected headroom.
	calibration calibration
}

// BaselineHeadroom is the headroom that the tasks of one job have without
// interference. The zero value is that of a job without measurements.
type BaselineHeadroom struct {
	mean      float64
	variance  float64
	updatedAt time.Time
	// longTermMean and longTermVariance are the moving mean and variance over longTermWindow.
	longTermMean     float64
	longTermVariance float64
}

// Measured reports whether the baseline was ever measured.
func (b *BaselineHeadroom) Measured() bool { return !b.updatedAt.IsZero() }

// ImageUsage is the fraction of a worker's processors that an image uses, from 0 to 1.
type ImageUsage struct {
	Aggressor int
	Fraction  float64
}

// effect is the headroom that a victim loses alongside an aggressor that uses a
// whole worker. It combines what this model measured with the evidence
// received from other models.
type effect struct {
	measured evidence
	received evidence
}

// evidence is an estimate in additive form: precision is the inverse of its
// variance, and weightedMean the precision times its mean.
type evidence struct {
	precision    float64
	weightedMean float64
}

const (
	// priorEffect and priorEffectStdDev are the mean and standard deviation of an effect
	// that was never measured: most images would take about the whole defaultBaseline from a
	// victim if they used a whole worker.
	priorEffect       = 2.0
	priorEffectStdDev = 5.0
	// minEffectStdDev bounds the standard deviation of an effect from below, so that new
	// measurements still change it.
	minEffectStdDev = 0.5
	// defaultBaseline is the baseline of an image that was never measured: services are
	// set up with a latency target of twice their usual tail latency.
	defaultBaseline = 2.0
	// baselineVariancePerSecond is the variance that a baseline gains per second: request
	// load swings by half within ten seconds.
	baselineVariancePerSecond = 0.1
	// defaultBaselineStdDev is the long-term standard deviation of a baseline with little
	// history. longTermWindow is the averaging time of the long-term mean and variance; it
	// covers the latest swings of the load.
	defaultBaselineStdDev = 0.5
	longTermWindow        = 15 * time.Second
	// imageBaselineWeight is the weight of one measurement in an image's mean baseline.
	imageBaselineWeight = 0.02
	// minMeasurableHeadroom is the headroom below which a measurement only shows that there
	// is less than this: tail latency has no bound there.
	minMeasurableHeadroom = 0.3
	// minUsageFraction is the fraction of a worker's processors below which an image is ignored.
	minUsageFraction = 0.01
)

// Effect returns the mean and standard deviation of the headroom that a victim
// loses alongside an aggressor that uses a whole worker.
func (h *HeadroomModel) Effect(victim, aggressor int) (mean, stdDev float64) {
	if victim >= len(h.effects) || aggressor >= len(h.effects[victim]) {
		return priorEffect, priorEffectStdDev
	}
	return h.effects[victim][aggressor].estimate()
}

// estimate combines the prior with the measured and the received evidence.
func (e *effect) estimate() (mean, stdDev float64) {
	precision := 1/(priorEffectStdDev*priorEffectStdDev) + e.measured.precision + e.received.precision
	weightedMean := priorEffect/(priorEffectStdDev*priorEffectStdDev) + e.measured.weightedMean + e.received.weightedMean
	return weightedMean / precision, max(minEffectStdDev, 1/math.Sqrt(precision))
}

// Observe updates the model with a victim's headroom as measured alongside other
// images on its worker. noiseStdDev is the standard deviation of the measurement.
func (h *HeadroomModel) Observe(baseline *BaselineHeadroom, victim int, coLocated []ImageUsage, headroom, noiseStdDev float64, at time.Time) {
	expectedLoss, variance := 0.0, noiseStdDev*noiseStdDev
	for _, image := range coLocated {
		if image.Fraction >= minUsageFraction {
			mean, stdDev := h.Effect(victim, image.Aggressor)
			expectedLoss += mean * image.Fraction
			variance += stdDev * stdDev * image.Fraction * image.Fraction
		}
	}
	if headroom < minMeasurableHeadroom {
		if baseline.Measured() && baseline.mean-expectedLoss < minMeasurableHeadroom {
			h.calibration.observe(baseline.mean-expectedLoss, true)
			return
		}
		headroom = minMeasurableHeadroom
	}
	if !baseline.Measured() {
		baseline.mean, baseline.variance, baseline.updatedAt = headroom+expectedLoss, variance, at
		baseline.longTermMean, baseline.longTermVariance = baseline.mean, defaultBaselineStdDev*defaultBaselineStdDev
		h.updateImageBaseline(victim, baseline.mean)
		return
	}
	elapsedSeconds := max(0, at.Sub(baseline.updatedAt).Seconds())
	baseline.variance += baselineVariancePerSecond * elapsedSeconds
	baseline.updatedAt = at
	expected := baseline.mean - expectedLoss
	h.calibration.observe(expected, headroom < 1)
	residual := headroom - expected
	totalVariance := variance + baseline.variance
	for _, image := range coLocated {
		if image.Fraction >= minUsageFraction {
			h.mutableEffect(victim, image.Aggressor).correct(-residual*image.Fraction/totalVariance, image.Fraction*image.Fraction/totalVariance)
		}
	}
	baseline.mean += residual * baseline.variance / totalVariance
	baseline.variance *= 1 - baseline.variance/totalVariance
	weight := min(1, elapsedSeconds/longTermWindow.Seconds())
	deviation := baseline.mean - baseline.longTermMean
	baseline.longTermMean += weight * deviation
	baseline.longTermVariance += weight * (deviation*deviation - baseline.longTermVariance)
	h.updateImageBaseline(victim, baseline.mean)
}

// MissProbability returns the probability that a latency target is missed at an
// expected headroom. stdDev is the uncertainty of the expected headroom beyond
// the spread of past measurements around their expectations.
func (h *HeadroomModel) MissProbability(expected, stdDev float64) float64 {
	if stdDev == 0 {
		return h.calibration.missProbability(expected)
	}
	return (h.calibration.missProbability(expected-stdDev) + h.calibration.missProbability(expected+stdDev)) / 2
}

// correct updates the measured evidence so that variance*shift is added to the
// estimated mean, and variance*variance*gain is subtracted from the variance.
func (e *effect) correct(shift, gain float64) {
	mean, stdDev := e.estimate()
	oldVariance := stdDev * stdDev
	newVariance := oldVariance - oldVariance*oldVariance*gain
	newMean := mean + oldVariance*shift
	if newVariance < minEffectStdDev*minEffectStdDev {
		// With a smaller variance, new measurements would no longer move the mean.
		newVariance = minEffectStdDev * minEffectStdDev
	}
	e.measured.precision += 1/newVariance - 1/oldVariance
	e.measured.weightedMean += newMean/newVariance - mean/oldVariance
}

// Baseline returns the headroom that the tasks of a job have without
// interference. A job that was never measured gets the mean of its image.
func (h *HeadroomModel) Baseline(baseline *BaselineHeadroom, victim int) float64 {
	switch {
	case baseline.Measured():
		return baseline.mean
	case victim < len(h.imageBaselines) && h.imageBaselines[victim] != 0:
		return h.imageBaselines[victim]
	}
	return defaultBaseline
}

// LongTermBaseline returns the mean and variance of a job's baseline over the
// latest swings of its load.
func (h *HeadroomModel) LongTermBaseline(baseline *BaselineHeadroom, victim int) (mean, variance float64) {
	if !baseline.Measured() {
		return h.Baseline(baseline, victim), defaultBaselineStdDev * defaultBaselineStdDev
	}
	return baseline.longTermMean, baseline.longTermVariance
}

// updateImageBaseline includes a measured baseline in the mean of its image.
func (h *HeadroomModel) updateImageBaseline(victim int, baseline float64) {
	for victim >= len(h.imageBaselines) {
		h.imageBaselines = append(h.imageBaselines, 0)
	}
	if h.imageBaselines[victim] == 0 {
		h.imageBaselines[victim] = baseline
		return
	}
	h.imageBaselines[victim] += imageBaselineWeight * (baseline - h.imageBaselines[victim])
}

// Evidence is what one model measured of the effect of an aggressor on a
// victim, without the evidence it received from other models.
type Evidence struct {
	// Precision is the inverse of the variance of the measurements alone,
	// without the prior, and WeightedMean is the precision times their mean.
	Precision    float64
	WeightedMean float64
}

// MeasuredEvidence returns what this model measured of a pair, and whether it
// measured anything.
func (h *HeadroomModel) MeasuredEvidence(victim, aggressor int) (Evidence, bool) {
	if victim >= len(h.effects) || aggressor >= len(h.effects[victim]) {
		return Evidence{}, false
	}
	measured := h.effects[victim][aggressor].measured
	return Evidence{Precision: measured.precision, WeightedMean: measured.weightedMean}, measured.precision > 0
}

// Set replaces the measured evidence of a pair, for example when a new leader
// continues from the evidence of an earlier model.
func (h *HeadroomModel) Set(victim, aggressor int, e Evidence) {
	h.mutableEffect(victim, aggressor).measured = evidence{precision: max(0, e.Precision), weightedMean: e.WeightedMean}
}

// SetReceivedEvidence replaces the evidence of a pair that other models measured.
func (h *HeadroomModel) SetReceivedEvidence(victim, aggressor int, estimates ...Evidence) {
	pair := h.mutableEffect(victim, aggressor)
	pair.received = evidence{}
	for _, e := range estimates {
		pair.received.precision += max(0, e.Precision)
		pair.received.weightedMean += e.WeightedMean
	}
}

// mutableEffect returns a pointer to the effect of a pair, which it adds if needed.
func (h *HeadroomModel) mutableEffect(victim, aggressor int) *effect {
	for victim >= len(h.effects) {
		h.effects = append(h.effects, nil)
	}
	row := h.effects[victim]
	for aggressor >= len(row) {
		row = append(row, effect{})
	}
	h.effects[victim] = row
	return &row[aggressor]
}
