package shard

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/interference"
)

// longestAbove returns the longest time for which a tail stayed above a bound.
func longestAbove(tails []time.Duration, bound time.Duration) time.Duration {
	longest, run := 0, 0
	for _, tail := range tails {
		run++
		if tail <= bound {
			run = 0
		}
		longest = max(longest, run)
	}
	return time.Duration(longest) * time.Second
}

// Tasks turn noisy, and holders are replaced while they make them yield. All
// holders together keep to the rule's evictions, none evicts where throttles
// suffice, and from the first take-over on the tail is beyond its objective for
// no longer than three report lags.
func TestTakeOverInANoisyWave(t *testing.T) {
	const lag = 15 * time.Second
	cases := []struct {
		name string
		// noise is what each task adds in the wave.
		noise     time.Duration
		perHour   int
		takeOvers []int
		evictions int
		// relapse is the longest time beyond the objective, from the first
		// take-over on; 0 means not bounded.
		relapse time.Duration
	}{
		{"none", 10 * time.Millisecond, 60, nil, 0, 3 * lag},
		{"before the throttles show", 10 * time.Millisecond, 60, []int{24, 30}, 0, 3 * lag},
		{"after the throttles show", 10 * time.Millisecond, 60, []int{60, 150}, 0, 3 * lag},
		{"again and again", 10 * time.Millisecond, 60, []int{50, 100, 150, 200, 250}, 0, 3 * lag},
		{"after two evictions", 20 * time.Millisecond, 8, []int{80, 120, 160, 200, 240}, 2, 3 * lag},
		{"while more evictions are needed", 30 * time.Millisecond, 8, []int{60, 100, 140, 180, 220, 260}, 2, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newAdvised()
			a.config.YieldRules[0].EvictionsPerHour = c.perHour
			a.config.Revision++
			a.takeOver()
			a.lag = lag
			a.noise = 2 * time.Millisecond
			for range 16 {
				a.core.planner.Sizes.Observe("scan", a.size)
			}
			require.NoError(t, a.submit("j", 12))
			a.until(t, "the tasks do not run", func() bool { return a.count(isRunning) == 12 })
			for range 60 {
				a.step()
			}
			a.noise = c.noise
			from := len(a.tails)
			a.evictions = 0
			for second := range 290 {
				if slices.Contains(c.takeOvers, second) {
					a.takeOver()
					require.NotEmpty(t, a.core.planner.Sizes.Learned(), "learned sizes outlast their holder")
				}
				if len(c.takeOvers) > 0 && second == c.takeOvers[0] {
					from = len(a.tails)
				}
				a.step()
			}
			relapse := longestAbove(a.tails[from:], 100*time.Millisecond)
			t.Logf("%d evictions, %s beyond the objective", a.evictions, relapse)
			require.LessOrEqual(t, a.evictions, c.evictions)
			if c.relapse > 0 {
				require.LessOrEqual(t, relapse, c.relapse)
			}
		})
	}
}

// What is kept for the next holder is bounded by what is declared.
func TestWithdrawnFamiliesAreNotKept(t *testing.T) {
	a := newAdvised()
	m := a.core.planner.Learner.Model
	load := func(family string) []interference.Load {
		return []interference.Load{{Aggressor: m.Aggressor(family), Amount: 1}}
	}
	for _, family := range []string{"scan", "withdrawn"} {
		a.core.planner.Sizes.Observe(family, a.size)
		m.Observe(m.Service("finish"), load(family), 0.5, a.now)
		m.Observe(m.Service("closed"), load(family), 0.5, a.now)
	}
	kept := a.core.learned()[0]
	require.Len(t, kept.Sizes, 1)
	require.Equal(t, "scan", kept.Sizes[0].Family)
	require.Len(t, kept.Effects, 2)
	for _, e := range kept.Effects {
		require.Equal(t, "finish", e.Service)
		require.Contains(t, []string{"", "scan"}, e.Family)
	}
}
