package interference

import (
	"math"
	"time"
)

// HeadroomModel learns how much of a serving task's headroom the images beside it
// take. HeadroomModel is the target of a task's tail divided by its tail: below 1
// the target is missed.
//
// A tail grows beyond all bounds as its worker runs short of what the tasks
// share, but its inverse falls in proportion to what each of them uses. So
// headroom is modelled as a level, which follows the load of the victim's own
// callers and is alike for all tasks of one job, less the sum over images of an
// effect times the part of the worker's processors that the image uses. Levels
// change within seconds, effects hardly. Both carry variances (a Kalman filter
// with a diagonal covariance), so that the tasks of a job that nothing disturbs
// fix its level, and the others show the effects.
//
// Images are numbered from 0. The zero value knows nothing. It is not safe for
// concurrent use.
type HeadroomModel struct {
	// effects are by victim and aggressor.
	effects [][]effect
	// usual are the mean levels of victims; 0 before the first measurement.
	usual []float64
	// misses says how often a target was missed, by the headroom that was expected.
	misses calibration
}

// BaselineHeadroom is the headroom that the tasks of one job have while nothing disturbs them.
// The zero value is not known yet.
type BaselineHeadroom struct {
	mean     float64
	variance float64
	at       time.Time
	// usual is the mean over the last swings of the load, and swing the variance around it.
	usual float64
	swing float64
}

// Known reports whether the level was ever measured.
func (l *BaselineHeadroom) Known() bool { return !l.at.IsZero() }

// ImageUsage is how much of a worker's processors an image uses, from 0 to 1.
type ImageUsage struct {
	Aggressor int
	Fraction  float64
}

// effect is what an image that uses a whole worker takes of a victim's headroom,
// as evidence: the precision, and the precision times the mean.
type effect struct {
	own    evidence
	others evidence
}

type evidence struct {
	precision float64
	weighted  float64
}

const (
	// priorEffect and priorSpread describe a pair that was never measured, as mean and
	// standard deviation: a whole worker of most images takes about the headroom that
	// a usual level leaves.
	priorEffect = 2.0
	priorSpread = 5.0
	// leastSpread keeps effects open to new measurements.
	leastSpread = 0.5
	// firstLevel is the level of an image that was never measured: services are set up
	// with a target of twice their usual tail.
	firstLevel = 2.0
	// levelDrift is the variance that a level gains in a second: load that swings by
	// half within ten seconds.
	levelDrift = 0.1
	// firstSwing is the standard deviation of a level that is not known long, and swingOver
	// the time over which the usual level and its swing are taken.
	firstSwing = 0.5
	swingOver  = 15 * time.Second
	// usualShare is the weight of one measurement in an image's mean level.
	usualShare = 0.02
	// leastTold is the headroom below which a measurement only says that there is less:
	// tails have no bound there.
	leastTold = 0.3
	// leastPart is the part below which an image is not regarded.
	leastPart = 0.01
)

// Effect returns what an image that uses a whole worker takes of a victim's
// headroom, as mean and standard deviation.
func (h *HeadroomModel) Effect(victim, aggressor int) (mean, spread float64) {
	if victim >= len(h.effects) || aggressor >= len(h.effects[victim]) {
		return priorEffect, priorSpread
	}
	return h.effects[victim][aggressor].estimate()
}

func (e *effect) estimate() (mean, spread float64) {
	precision := 1/(priorSpread*priorSpread) + e.own.precision + e.others.precision
	weighted := priorEffect/(priorSpread*priorSpread) + e.own.weighted + e.others.weighted
	return weighted / precision, max(leastSpread, 1/math.Sqrt(precision))
}

// Observe takes a victim's measured headroom beside other images. Noise is the
// standard deviation of the measurement.
func (h *HeadroomModel) Observe(level *BaselineHeadroom, victim int, beside []ImageUsage, headroom, noise float64, at time.Time) {
	taken, variance := 0.0, noise*noise
	for _, p := range beside {
		if p.Fraction >= leastPart {
			mean, spread := h.Effect(victim, p.Aggressor)
			taken += mean * p.Fraction
			variance += spread * spread * p.Fraction * p.Fraction
		}
	}
	if headroom < leastTold {
		if level.Known() && level.mean-taken < leastTold {
			h.misses.observe(level.mean-taken, true)
			return
		}
		headroom = leastTold
	}
	if !level.Known() {
		level.mean, level.variance, level.at = headroom+taken, variance, at
		level.usual, level.swing = level.mean, firstSwing*firstSwing
		h.noteUsual(victim, level.mean)
		return
	}
	passed := max(0, at.Sub(level.at).Seconds())
	level.variance += levelDrift * passed
	level.at = at
	expected := level.mean - taken
	h.misses.observe(expected, headroom < 1)
	wrong := headroom - expected
	total := variance + level.variance
	for _, p := range beside {
		if p.Fraction >= leastPart {
			h.pair(victim, p.Aggressor).correct(-wrong*p.Fraction/total, p.Fraction*p.Fraction/total)
		}
	}
	level.mean += wrong * level.variance / total
	level.variance *= 1 - level.variance/total
	weight := min(1, passed/swingOver.Seconds())
	away := level.mean - level.usual
	level.usual += weight * away
	level.swing += weight * (away*away - level.swing)
	h.noteUsual(victim, level.mean)
}

// MissProbability returns the probability that a target is missed where a headroom is expected,
// with a standard deviation besides that of what was measured so far.
func (h *HeadroomModel) MissProbability(expected, spread float64) float64 {
	if spread == 0 {
		return h.misses.miss(expected)
	}
	return (h.misses.miss(expected-spread) + h.misses.miss(expected+spread)) / 2
}

// correct moves the mean of an effect by its variance times shift, and lowers
// the variance by its square times gain.
func (e *effect) correct(shift, gain float64) {
	mean, spread := e.estimate()
	before := spread * spread
	after := before - before*before*gain
	moved := mean + before*shift
	if after < leastSpread*leastSpread {
		// The mean follows new measurements, at the least spread.
		after = leastSpread * leastSpread
	}
	e.own.precision += 1/after - 1/before
	e.own.weighted += moved/after - mean/before
}

// Baseline returns the headroom that the tasks of a job have while nothing
// disturbs them; one that was never measured has that of its image.
func (h *HeadroomModel) Baseline(level *BaselineHeadroom, victim int) float64 {
	switch {
	case level.Known():
		return level.mean
	case victim < len(h.usual) && h.usual[victim] != 0:
		return h.usual[victim]
	}
	return firstLevel
}

// LongTermBaseline returns the mean level of a job over the last swings of its load, and the
// variance around it.
func (h *HeadroomModel) LongTermBaseline(level *BaselineHeadroom, victim int) (mean, variance float64) {
	if !level.Known() {
		return h.Baseline(level, victim), firstSwing * firstSwing
	}
	return level.usual, level.swing
}

func (h *HeadroomModel) noteUsual(victim int, level float64) {
	for victim >= len(h.usual) {
		h.usual = append(h.usual, 0)
	}
	if h.usual[victim] == 0 {
		h.usual[victim] = level
		return
	}
	h.usual[victim] += usualShare * (level - h.usual[victim])
}

// Evidence is what was measured of a pair, without what others told.
type Evidence struct {
	// Precision is the inverse of the variance that the measurements alone give,
	// and Weighted is that times their mean.
	Precision    float64
	WeightedMean float64
}

// MeasuredEvidence returns what this model measured of a pair, and whether it did.
func (h *HeadroomModel) MeasuredEvidence(victim, aggressor int) (Evidence, bool) {
	if victim >= len(h.effects) || aggressor >= len(h.effects[victim]) {
		return Evidence{}, false
	}
	own := h.effects[victim][aggressor].own
	return Evidence{Precision: own.precision, WeightedMean: own.weighted}, own.precision > 0
}

// Set takes what an earlier model measured of a pair.
func (h *HeadroomModel) Set(victim, aggressor int, e Evidence) {
	h.pair(victim, aggressor).own = evidence{precision: max(0, e.Precision), weighted: e.WeightedMean}
}

// SetReceivedEvidence takes what other models measured of a pair, in place of what they told before.
func (h *HeadroomModel) SetReceivedEvidence(victim, aggressor int, all ...Evidence) {
	p := h.pair(victim, aggressor)
	p.others = evidence{}
	for _, e := range all {
		p.others.precision += max(0, e.Precision)
		p.others.weighted += e.WeightedMean
	}
}

// pair returns a pair for a change.
func (h *HeadroomModel) pair(victim, aggressor int) *effect {
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
