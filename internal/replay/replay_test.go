package replay

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loadTrace parses a trace file of testdata.
func loadTrace(t testing.TB, path string) Trace {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	trace, err := ParseTrace(path, text)
	require.NoError(t, err)
	return trace
}

func traceFiles(t testing.TB) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files
}

func runAll(t Trace, user User) []Result {
	var all []Result
	policies := Policies()
	for _, name := range slices.Sorted(maps.Keys(policies)) {
		all = append(all, Run(t, user, policies[name]))
	}
	return all
}

// The learning policy meets the bounds that each trace states.
func TestTracesMeetTheirOutcomes(t *testing.T) {
	for _, file := range traceFiles(t) {
		trace := loadTrace(t, file)
		for _, user := range trace.Users {
			t.Run(trace.Name+"/"+user.Name, func(t *testing.T) {
				t.Parallel()
				all := runAll(trace, user)
				for _, r := range all {
					t.Log(r)
				}
				requireOutcomes(t, trace, all)
			})
		}
	}
}

// A rule with a higher tail weight leads to a lower tail latency and to more evictions.
func TestTailWeightTradesTailAgainstEvictions(t *testing.T) {
	trace := loadTrace(t, "testdata/surge.jsonc")
	weighted := func(weight float64) Result {
		user := trace.Users[0]
		user.Rule.TailWeight = weight
		r := Run(trace, user, newLearning)
		t.Logf("weight %.1f: %s", weight, r)
		return r
	}
	tailWeighted, evictionWeighted := weighted(0.9), weighted(0.1)
	require.Less(t, tailWeighted.P99, evictionWeighted.P99)
	require.Greater(t, tailWeighted.Evictions, evictionWeighted.Evictions)
}

// Families that were never measured do not overcommit a worker although all declared
// sizes are an eighth of the true ones, and urgent tasks still start in time.
func TestUnseenFamiliesDoNotOvercommit(t *testing.T) {
	const declaredTooSmallBy = 8
	for _, file := range []string{"testdata/overload.jsonc", "testdata/wrong-sizes.jsonc"} {
		trace := loadTrace(t, file)
		trace.Duration = 15 * time.Minute
		trace.MeasureFrom = 0
		for i := range trace.Families {
			f := &trace.Families[i]
			f.Declared.Processors = f.True.Processors / declaredTooSmallBy
			f.Declared.Memory = f.True.Memory / declaredTooSmallBy
		}
		r := Run(trace, trace.Users[0], newLearning)
		t.Log(trace.Name, r)
		require.Zero(t, r.Overcommits)
		require.LessOrEqual(t, r.UrgentWait, 4900*time.Millisecond)
	}
}

// Two replays of the same trace give the same result.
func TestReplayIsDeterministic(t *testing.T) {
	trace := loadTrace(t, "testdata/overload.jsonc")
	trace.Duration = 15 * time.Minute
	first := Run(trace, trace.Users[0], newLearning)
	require.Positive(t, first.Evictions)
	require.Equal(t, first, Run(trace, trace.Users[0], newLearning))
}

func requireOutcomes(t *testing.T, trace Trace, all []Result) {
	t.Helper()
	want := trace.Outcomes
	learning, evicting := Find(all, Learning), Find(all, EvictAtOnce)
	check := func(ok bool, format string, args ...any) {
		if !ok {
			t.Errorf(format, args...)
		}
	}
	for _, name := range []string{Oracle, Greedy} {
		oracle := Find(all, name)
		check(learning.P99 <= want.MaxTailRatio*oracle.P99, "p99 %.3f, %s %.3f", learning.P99, name, oracle.P99)
		check(learning.TasksPerSecond >= want.MinThroughputRatio*oracle.TasksPerSecond,
			"%.3f tasks/s, %s %.3f", learning.TasksPerSecond, name, oracle.TasksPerSecond)
	}
	check(float64(learning.Evictions) <= want.MaxEvictionRatio*float64(evicting.Evictions),
		"%d evictions, evict at once %d", learning.Evictions, evicting.Evictions)
	check(learning.Overcommits == 0, "%d overcommitted steps", learning.Overcommits)
	check(learning.UrgentWait <= 4900*time.Millisecond, "an urgent task waited %s", learning.UrgentWait)
	if want.MaxRecoveryLags > 0 {
		bound := time.Duration(want.MaxRecoveryLags * float64(trace.Lag))
		check(learning.Recovery <= bound, "recovery took %s, bound %s", learning.Recovery, bound)
		check(learning.Breach <= bound, "a runner stayed beyond the objective for %s, bound %s", learning.Breach, bound)
	}
}
