package shard

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/interference"
)

// longestTimeAbove returns the longest time for which the tail latency stayed above a bound.
func longestTimeAbove(tails []time.Duration, bound time.Duration) time.Duration {
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

// Guards against leader changes that undo the protection of services. The tasks begin to increase
// the tail latency of a service, and the leader is replaced while it makes them yield. All leaders
// together must keep to the evictions per hour of the yield rule, and none may evict where
// throttling suffices. From the first takeover on, the tail latency may exceed its objective for at
// most three report lags.
func TestTakeoversKeepEvictionBudgetUnderNoise(t *testing.T) {
	const lag = 15 * time.Second
	cases := []struct {
		name string
		// noise is what each task adds to the tail latency.
		noise time.Duration
		// perHour limits the evictions of the yield rule, takeOvers are the seconds at which the
		// leader is replaced, and evictions is how many evictions are allowed.
		perHour   int
		takeOvers []int
		evictions int
		// maxAbove bounds the time for which the tail latency stays above the objective, from the
		// first takeover on. 0 means that it isn't checked.
		maxAbove time.Duration
	}{
		{"none", 10 * time.Millisecond, 60, nil, 0, 3 * lag},
		{"before the throttles take effect", 10 * time.Millisecond, 60, []int{24, 30}, 0, 3 * lag},
		{"after the throttles take effect", 10 * time.Millisecond, 60, []int{60, 150}, 0, 3 * lag},
		{"five takeovers", 10 * time.Millisecond, 60, []int{50, 100, 150, 200, 250}, 0, 3 * lag},
		{"after two evictions", 20 * time.Millisecond, 8, []int{80, 120, 160, 200, 240}, 2, 3 * lag},
		{"while more evictions are needed", 30 * time.Millisecond, 8, []int{60, 100, 140, 180, 220, 260}, 2, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newSingleWorkerShard()
			a.config.YieldRules[0].EvictionsPerHour = c.perHour
			a.config.Revision++
			a.takeOver()
			a.reportLag = lag
			a.taskNoise = 2 * time.Millisecond
			for range 16 {
				a.core.planner.Sizes.Observe("scan", a.trueSize)
			}
			require.NoError(t, a.submit("j", 12))
			a.stepUntil(t, "the tasks do not run", func() bool { return a.count(isRunning) == 12 })
			for range 60 {
				a.step()
			}
			a.taskNoise = c.noise
			from := len(a.tails)
			a.evictions = 0
			for second := range 290 {
				if slices.Contains(c.takeOvers, second) {
					a.takeOver()
					require.NotEmpty(t, a.core.planner.Sizes.Learned(), "learned sizes must survive a change of leader")
				}
				if len(c.takeOvers) > 0 && second == c.takeOvers[0] {
					from = len(a.tails)
				}
				a.step()
			}
			longest := longestTimeAbove(a.tails[from:], 100*time.Millisecond)
			t.Logf("%d evictions, %s above the objective", a.evictions, longest)
			require.LessOrEqual(t, a.evictions, c.evictions)
			if c.maxAbove > 0 {
				require.LessOrEqual(t, longest, c.maxAbove)
			}
		})
	}
}

// Guards against a record that grows without bound: learned values of withdrawn job families and
// services must not be kept for the next leader.
func TestLearnedRecordOmitsWithdrawnFamilies(t *testing.T) {
	a := newSingleWorkerShard()
	m := a.core.planner.Learner.Model
	load := func(family string) []interference.Load {
		return []interference.Load{{Aggressor: m.Aggressor(family), Amount: 1}}
	}
	for _, family := range []string{"scan", "withdrawn"} {
		a.core.planner.Sizes.Observe(family, a.trueSize)
		m.Observe(m.Service("finish"), load(family), 0.5, a.now)
		m.Observe(m.Service("closed"), load(family), 0.5, a.now)
	}
	kept := a.core.learnedRecord()[0]
	require.Len(t, kept.Sizes, 1)
	require.Equal(t, "scan", kept.Sizes[0].Family)
	require.Len(t, kept.Effects, 2)
	for _, e := range kept.Effects {
		require.Equal(t, "finish", e.Service)
		require.Contains(t, []string{"", "scan"}, e.Family)
	}
}
