package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model separates the effects of several images on one worker while the
// victim's baseline swings with its request load.
func TestHeadroomSeparatesEffectsFromBaselineSwings(t *testing.T) {
	trueEffects := []float64{0.5, 3, 12}
	random := rand.New(rand.NewPCG(5, 6))
	var h HeadroomModel
	baselines := make([]BaselineHeadroom, 4)
	now := time.Unix(1_000_000_000, 0)
	for range 600 {
		now = now.Add(50 * time.Millisecond)
		i := random.IntN(len(baselines))
		baseline := 2.3 + 0.9*math.Sin(float64(i)+now.Sub(time.Unix(1_000_000_000, 0)).Seconds()*2*math.Pi/10)
		var coLocated []ImageUsage
		headroom := baseline
		for a, effect := range trueEffects {
			if random.IntN(2) == 0 {
				fraction := 0.05 + 0.05*random.Float64()
				coLocated = append(coLocated, ImageUsage{Aggressor: a, Fraction: fraction})
				headroom -= effect * fraction
			}
		}
		h.Observe(&baselines[i], 0, coLocated, headroom+0.1*random.NormFloat64(), 0.1, now)
	}
	for a, want := range trueEffects {
		mean, stdDev := h.Effect(0, a)
		require.InDelta(t, want, mean, 3*stdDev, "image %d", a)
		require.Less(t, stdDev, 1.0)
	}
	longTermMean, longTermVariance := h.LongTermBaseline(&baselines[0], 0)
	require.InDelta(t, 2.3, longTermMean, 0.5)
	require.InDelta(t, 0.64, math.Sqrt(longTermVariance), 0.4)
}

func TestHeadroomDefaultsBeforeMeasurement(t *testing.T) {
	var h HeadroomModel
	var baseline BaselineHeadroom
	mean, stdDev := h.Effect(3, 4)
	require.InDelta(t, priorEffect, mean, 1e-9)
	require.InDelta(t, priorEffectStdDev, stdDev, 1e-9)
	require.InDelta(t, defaultBaseline, h.Baseline(&baseline, 0), 1e-9)
	h.Observe(&baseline, 0, nil, 3, 0.1, time.Unix(1, 0))
	var other BaselineHeadroom
	require.InDelta(t, 3, h.Baseline(&other, 0), 1e-9, "an unmeasured job has the baseline of its image")
}

// A headroom below minMeasurableHeadroom only shows that the latency target was
// missed by far. It must not change an effect that already predicts that.
func TestUnmeasurableHeadroomChangesNoEffect(t *testing.T) {
	var h HeadroomModel
	var baseline BaselineHeadroom
	now := time.Unix(1_000_000_000, 0)
	h.Observe(&baseline, 0, nil, 2, 0.1, now)
	h.Set(0, 1, Evidence{Precision: 4, WeightedMean: 4 * 40})
	before, _ := h.Effect(0, 1)
	h.Observe(&baseline, 0, []ImageUsage{{Aggressor: 1, Fraction: 0.1}}, 0.05, 0.1, now.Add(time.Second))
	after, _ := h.Effect(0, 1)
	require.InDelta(t, before, after, 1e-9)
}
