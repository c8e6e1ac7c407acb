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

// One task of a job on a slow worker misses its target by far. The baseline of the job follows its
// other tasks, and without others the only one that there is.
func TestBaselineFollowsTheOtherTasksOfAJob(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int
		want   float64
		delta  float64
	}{
		{name: "seven tasks elsewhere", others: 7, want: 2, delta: 0.1},
		{name: "one task elsewhere", others: 1, want: 2, delta: 0.1},
		{name: "no other task", want: minMeasurableHeadroom, delta: 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h HeadroomModel
			var baseline BaselineHeadroom
			now := time.Unix(1_000_000_000, 0)
			h.Observe(&baseline, 0, nil, 2, 0.1, now)
			for range 40 {
				now = now.Add(300 * time.Millisecond)
				for range c.others {
					h.Observe(&baseline, 0, nil, 2, 0.1, now)
				}
				h.Observe(&baseline, 0, []ImageUsage{{Aggressor: 1, Fraction: 0.1}}, 0.02, 0.1, now)
				h.Observe(&baseline, 0, nil, 0.02, 0.1, now)
			}
			require.InDelta(t, c.want, h.Baseline(&baseline, 0), c.delta)
		})
	}
}

// The load of single tasks rises for a while, whatever runs beside them. The effect of the image
// beside them is known as exactly as before.
func TestLoadSpikesOfSingleTasksLeaveEffects(t *testing.T) {
	const trueEffect, tasks = 4.0, 6
	random := rand.New(rand.NewPCG(7, 8))
	var h HeadroomModel
	var baseline BaselineHeadroom
	spikeEnds := make([]int, tasks)
	now, worst := time.Unix(1_000_000_000, 0), 0.0
	for round := range 400 {
		now = now.Add(250 * time.Millisecond)
		for i := range tasks {
			if random.Float64() < 0.01 {
				spikeEnds[i] = round + 6
			}
			headroom := 1.8 + 0.1*random.NormFloat64()
			if round < spikeEnds[i] {
				headroom -= 0.6
			}
			var coLocated []ImageUsage
			if i%2 == 0 {
				coLocated, headroom = []ImageUsage{{Aggressor: 1, Fraction: 0.1}}, headroom-trueEffect*0.1
			}
			h.Observe(&baseline, 0, coLocated, headroom, 0.1, now)
		}
		if mean, _ := h.Effect(0, 1); round >= 100 {
			worst = max(worst, math.Abs(mean-trueEffect))
		}
	}
	require.Less(t, worst, 1.0)
}

// The load of single tasks rises to a level that leaves them some headroom, whatever their job has. A
// target is then missed beside any images that take more than this, so that the first images beside a
// task cost more misses than further ones.
func TestMissesDependOnLoss(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 10))
	var h HeadroomModel
	var baseline BaselineHeadroom
	h.Set(0, 1, Evidence{Precision: 100, WeightedMean: 100 * 2})
	now := time.Unix(1_000_000_000, 0)
	for range 4000 {
		now = now.Add(50 * time.Millisecond)
		headroom := 1.9
		if random.Float64() < 0.1 {
			headroom = 1.15
		}
		var coLocated []ImageUsage
		if fraction := 0.1 * float64(random.IntN(4)); fraction > 0 {
			coLocated = []ImageUsage{{Aggressor: 1, Fraction: fraction}}
			headroom -= 2 * fraction
		}
		h.Observe(&baseline, 0, coLocated, headroom+0.03*random.NormFloat64(), 0.1, now)
	}
	alone, first, third := h.MissProbability(1.9, 0, 0), h.MissProbability(1.7, 0, 0.2), h.MissProbability(1.5, 0, 0.4)
	require.Less(t, alone, 0.03)
	require.Greater(t, first-alone, 0.05)
	require.Less(t, third-first, (first-alone)/2)
}
