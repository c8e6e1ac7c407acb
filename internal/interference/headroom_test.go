package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The effects of several images at once are told apart while the level swings.
func TestHeadroomLearnsEffectsBesideASwingingLevel(t *testing.T) {
	truth := []float64{0.5, 3, 12}
	random := rand.New(rand.NewPCG(5, 6))
	var h HeadroomModel
	levels := make([]BaselineHeadroom, 4)
	now := time.Unix(1_000_000_000, 0)
	for range 600 {
		now = now.Add(50 * time.Millisecond)
		i := random.IntN(len(levels))
		level := 2.3 + 0.9*math.Sin(float64(i)+now.Sub(time.Unix(1_000_000_000, 0)).Seconds()*2*math.Pi/10)
		var beside []ImageUsage
		headroom := level
		for a, effect := range truth {
			if random.IntN(2) == 0 {
				part := 0.05 + 0.05*random.Float64()
				beside = append(beside, ImageUsage{Aggressor: a, Fraction: part})
				headroom -= effect * part
			}
		}
		h.Observe(&levels[i], 0, beside, headroom+0.1*random.NormFloat64(), 0.1, now)
	}
	for a, want := range truth {
		mean, spread := h.Effect(0, a)
		require.InDelta(t, want, mean, 3*spread, "image %d", a)
		require.Less(t, spread, 1.0)
	}
	usual, swing := h.LongTermBaseline(&levels[0], 0)
	require.InDelta(t, 2.3, usual, 0.5)
	require.InDelta(t, 0.64, math.Sqrt(swing), 0.4)
}

func TestHeadroomBeforeAnyMeasurement(t *testing.T) {
	var h HeadroomModel
	var l BaselineHeadroom
	mean, spread := h.Effect(3, 4)
	require.InDelta(t, priorEffect, mean, 1e-9)
	require.InDelta(t, priorSpread, spread, 1e-9)
	require.InDelta(t, firstLevel, h.Baseline(&l, 0), 1e-9)
	h.Observe(&l, 0, nil, 3, 0.1, time.Unix(1, 0))
	var other BaselineHeadroom
	require.InDelta(t, 3, h.Baseline(&other, 0), 1e-9, "an image's tasks resemble each other")
}

// Far below the target, a measurement only says that there is no headroom: it
// neither raises nor lowers an effect that is already known to be so great.
func TestHeadroomBelowWhatIsTold(t *testing.T) {
	var h HeadroomModel
	var l BaselineHeadroom
	now := time.Unix(1_000_000_000, 0)
	h.Observe(&l, 0, nil, 2, 0.1, now)
	h.Set(0, 1, Evidence{Precision: 4, WeightedMean: 4 * 40})
	before, _ := h.Effect(0, 1)
	h.Observe(&l, 0, []ImageUsage{{Aggressor: 1, Fraction: 0.1}}, 0.05, 0.1, now.Add(time.Second))
	after, _ := h.Effect(0, 1)
	require.InDelta(t, before, after, 1e-9)
}
