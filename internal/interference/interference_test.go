package interference

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	window         = 5 * time.Second
	measurementLag = 15 * time.Second
)

// trueModel holds the baseline and coefficients that a model has to learn.
type trueModel struct {
	baseline float64
	effects  []float64
}

func (tr trueModel) strain(loads []Load) float64 {
	factor := 1.0
	for _, l := range loads {
		factor += tr.effects[l.Aggressor] * l.Amount
	}
	return tr.baseline * factor
}

// trainModel feeds a model n noisy measurements of random mixes of loads, and returns the time of the last one.
func trainModel(m *Model, tr trueModel, random *rand.Rand, n int, from time.Time) time.Time {
	v := m.Service("s")
	for range n {
		var loads []Load
		for a := range tr.effects {
			if amount := random.IntN(4); amount > 0 {
				loads = append(loads, Load{Aggressor: Aggressor(a), Amount: float64(amount)})
			}
		}
		from = from.Add(window)
		m.Observe(v, loads, tr.strain(loads)*(1+0.05*random.NormFloat64()), from)
	}
	return from
}

func learnedEffects(m *Model, tr trueModel) []float64 {
	var means []float64
	for a := range tr.effects {
		mean, _ := m.Effect(m.Service("s"), Aggressor(a))
		means = append(means, mean)
	}
	return means
}

func TestModelLearnsEffectsAndFollowsChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	m := NewModel()
	for _, family := range []string{"scan", "review", "render"} {
		m.Aggressor(family)
	}
	first := trueModel{baseline: 0.4, effects: []float64{0.5, 0.05, 0}}
	at := trainModel(m, first, random, 300, start)
	require.InDeltaSlice(t, first.effects, learnedEffects(m, first), 0.06)

	// A change of the service's own request load moves only the baseline.
	shifted := trueModel{baseline: 0.7, effects: first.effects}
	at = trainModel(m, shifted, random, 60, at)
	require.InDelta(t, shifted.baseline, m.Baseline(m.Service("s")), 0.08)
	require.InDeltaSlice(t, shifted.effects, learnedEffects(m, shifted), 0.1)

	// A coefficient that changes is learned again within two hours of measurements.
	changed := trueModel{baseline: 0.7, effects: []float64{0.1, 0.05, 0.4}}
	trainModel(m, changed, random, 1440, at)
	require.InDeltaSlice(t, changed.effects, learnedEffects(m, changed), 0.1)
}

// Measurements beside a family alone can't tell its effect from the baseline. However many there
// were, the effect must be learned within five minutes once one worker is without the family.
func TestEffectIsLearnedAfterMeasurementsBesideItAlone(t *testing.T) {
	cases := []struct {
		name   string
		tr     trueModel
		beside int
	}{
		{"five minutes, half the baseline", trueModel{baseline: 0.4, effects: []float64{0.5}}, 60},
		{"five minutes, the whole baseline", trueModel{baseline: 0.2, effects: []float64{1}}, 60},
		{"an hour, the whole baseline", trueModel{baseline: 0.2, effects: []float64{1}}, 720},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 1))
			m := NewModel()
			v, a := m.Service("s"), m.Aggressor("scan")
			beside := []Load{{Aggressor: a, Amount: 1}}
			at := start
			measure := func(loads []Load) {
				m.Observe(v, loads, c.tr.strain(loads)*(1+0.05*random.NormFloat64()), at)
			}
			for range c.beside {
				at = at.Add(window)
				measure(beside)
				measure(beside)
			}
			for range 60 {
				at = at.Add(window)
				measure(nil)
				measure(beside)
			}
			mean, _ := m.Effect(v, a)
			require.InEpsilon(t, c.tr.effects[0], mean, 0.15)
		})
	}
}

func TestUncertaintyGrowsWithoutMeasurements(t *testing.T) {
	m := NewModel()
	v, a := m.Service("s"), m.Aggressor("scan")
	_, before := m.Effect(v, a)
	for i := range 50 {
		m.Observe(v, []Load{{Aggressor: a, Amount: 1}}, 0.75, start.Add(time.Duration(i)*window))
	}
	_, measured := m.Effect(v, a)
	require.Less(t, measured, before/2)
	m.Observe(v, []Load{{Aggressor: a, Amount: 1e-9}}, 0.5, start.Add(12*time.Hour))
	_, later := m.Effect(v, a)
	require.Greater(t, later, measured)
	require.LessOrEqual(t, later, before)
}

// A scan runs for one window and has ended when the measurement of that window
// arrives. The strain must not be attributed to the review that runs by then.
func TestStrainIsAttributedToResidentsOfItsWindow(t *testing.T) {
	l := NewLearner()
	scan, review := l.Model.Aggressor("scan"), l.Model.Aggressor("review")
	now := start
	for range 40 {
		l.History.Set("w", now, []Load{{Aggressor: scan, Amount: 1}})
		measured := now.Add(window)
		l.History.Set("w", measured, []Load{{Aggressor: review, Amount: 1}})
		arrived := measured.Add(measurementLag)
		require.True(t, l.ObserveTail("w", "s", 0.9, measured, window))
		require.True(t, l.ObserveTail("w", "s", 0.45, arrived, window))
		now = arrived
	}
	s := l.Model.Service("s")
	scanEffect, _ := l.Model.Effect(s, scan)
	reviewEffect, _ := l.Model.Effect(s, review)
	require.Greater(t, scanEffect, 0.5)
	require.Less(t, reviewEffect, 0.2)
}

func TestHistoryMeanWeighsLoadsByDuration(t *testing.T) {
	h := NewHistory()
	h.Set("w", start, []Load{{0, 2}})
	h.Set("w", start.Add(8*time.Second), []Load{{0, 1}, {1, 4}})
	cases := []struct {
		name     string
		from, to time.Duration
		want     []Load
		known    bool
	}{
		{"before", -time.Second, 4 * time.Second, nil, false},
		{"within one period", 0, 4 * time.Second, []Load{{0, 2}}, true},
		{"across", 4 * time.Second, 9 * time.Second, []Load{{0, 1.8}, {1, 0.8}}, true},
		{"after", 9 * time.Second, 10 * time.Second, []Load{{0, 1}, {1, 4}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			loads, known := h.Mean("w", start.Add(c.from), start.Add(c.to))
			require.Equal(t, c.known, known)
			require.Len(t, loads, len(c.want))
			for i, l := range c.want {
				require.Equal(t, l.Aggressor, loads[i].Aggressor)
				require.InDelta(t, l.Amount, loads[i].Amount, 1e-9)
			}
		})
	}
}

func TestHistoryIsBounded(t *testing.T) {
	h := NewHistory()
	for i := range 10_000 {
		h.Set("w", start.Add(time.Duration(i)*time.Second), nil)
	}
	require.LessOrEqual(t, len(h.workers["w"]), int(historyRetention/time.Second)+2)
}
