package interference

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	window = 5 * time.Second
	lag    = 15 * time.Second
)

// truth is what a model has to find out.
type truth struct {
	base    float64
	effects []float64
}

func (tr truth) strain(loads []Load) float64 {
	factor := 1.0
	for _, l := range loads {
		factor += tr.effects[l.Aggressor] * l.Amount
	}
	return tr.base * factor
}

// teach shows a model n noisy measurements of random mixes from a time on.
func teach(m *Model, tr truth, random *rand.Rand, n int, from time.Time) time.Time {
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

func learned(m *Model, tr truth) []float64 {
	var all []float64
	for a := range tr.effects {
		mean, _ := m.Effect(m.Service("s"), Aggressor(a))
		all = append(all, mean)
	}
	return all
}

func TestModelFindsPairsAndFollowsChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	m := NewModel()
	for _, family := range []string{"scan", "review", "render"} {
		m.Aggressor(family)
	}
	first := truth{base: 0.4, effects: []float64{0.5, 0.05, 0}}
	at := teach(m, first, random, 300, start)
	require.InDeltaSlice(t, first.effects, learned(m, first), 0.06)

	// A shift of the service's own load moves the baseline alone.
	shifted := truth{base: 0.7, effects: first.effects}
	at = teach(m, shifted, random, 60, at)
	require.InDelta(t, shifted.base, m.Base(m.Service("s")), 0.08)
	require.InDeltaSlice(t, shifted.effects, learned(m, shifted), 0.1)

	// A pair that changes is learned anew within two hours of measurements.
	changed := truth{base: 0.7, effects: []float64{0.1, 0.05, 0.4}}
	teach(m, changed, random, 1440, at)
	require.InDeltaSlice(t, changed.effects, learned(m, changed), 0.1)
}

func TestUnmeasuredPairBecomesUnsureAgain(t *testing.T) {
	m := NewModel()
	v, a := m.Service("s"), m.Aggressor("scan")
	_, unknown := m.Effect(v, a)
	for i := range 50 {
		m.Observe(v, []Load{{Aggressor: a, Amount: 1}}, 0.75, start.Add(time.Duration(i)*window))
	}
	_, sure := m.Effect(v, a)
	require.Less(t, sure, unknown/2)
	m.Observe(v, []Load{{Aggressor: a, Amount: 1e-9}}, 0.5, start.Add(12*time.Hour))
	_, later := m.Effect(v, a)
	require.Greater(t, later, sure)
	require.LessOrEqual(t, later, unknown)
}

// A scan runs for one window and is gone when its measurement arrives; an
// innocent review has taken its place.
func TestStrainIsLaidToTheResidentsOfItsTime(t *testing.T) {
	l := NewLearner()
	scan, review := l.Model.Aggressor("scan"), l.Model.Aggressor("review")
	now := start
	for range 40 {
		l.History.Set("w", now, []Load{{Aggressor: scan, Amount: 1}})
		measured := now.Add(window)
		l.History.Set("w", measured, []Load{{Aggressor: review, Amount: 1}})
		arrived := measured.Add(lag)
		require.True(t, l.Tail("w", "s", 0.9, measured, window))
		require.True(t, l.Tail("w", "s", 0.45, arrived, window))
		now = arrived
	}
	s := l.Model.Service("s")
	bad, _ := l.Model.Effect(s, scan)
	good, _ := l.Model.Effect(s, review)
	require.Greater(t, bad, 0.5)
	require.Less(t, good, 0.2)
}

func TestMeanWeighsLoadsByTheirTime(t *testing.T) {
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
	require.LessOrEqual(t, len(h.workers["w"]), int(historySpan/time.Second)+2)
}
