package laboratory

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/property"
	"github.com/oriolepond/oriolepond/pkg/share"
)

func TestMain(m *testing.M) {
	property.Fix(property.Size{Checks: 150})
	os.Exit(m.Run())
}

// rounding is the largest difference between sums that are equal but for the order of their terms.
const rounding = 1e-9

// drawExperiment returns an experiment of a few seconds. A tiny one has a few allocated tasks only.
func drawExperiment(t *rapid.T, tiny bool) *Experiment {
	number := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(t, name) }
	e := &Experiment{
		Name: "drawn", Duration: time.Duration(number("seconds", 2, 10)) * time.Second, Settle: time.Duration(number("settle", 0, 6)) * time.Second,
		Queues: []batch.Queue{
			{Name: "q", Attempts: 4, Slack: float64(number("slack", 0, 6)) / 2, Target: time.Duration(number("target", 100, 3000)) * time.Millisecond},
		},
		Policies: []Policy{DefaultPolicy("default")}, Seeds: []uint64{uint64(number("seed", 0, 1000))},
		LeastLoss: 0, MostLoss: float64(number("loss", 0, 20)),
	}
	most := 6
	if tiny {
		most = 2
	}
	cores := share.MilliCores(4000)
	e.Pool = []WorkerGroup{{Name: "w", Workers: number("workers", 1, most), Capacity: share.Resources{Processors: cores, Memory: 1 << 34}, Racks: 2}}
	for k := range number("kinds", 1, 2) {
		kind := JobKind{
			Name: fmt.Sprint("jobs-", k), Queue: "q", PerSecond: float64(number("rate", 1, 40)) / 10, Until: e.Duration, LeastDeclared: 0.5, MostDeclared: 2,
			LateWorth: float64(number("late", 0, 10)) / 10, Worth: float64(number("worth", 1, 4)) / 2,
		}
		if tiny {
			kind.Until = time.Second
			kind.PerSecond = float64(number("few", 1, 30)) / 10
		}
		for s := range number("steps", 1, 3) {
			step := Step{
				Name: fmt.Sprint("s", s), Image: kind.Name, LeastTasks: 1, MostTasks: number("tasks", 1, most),
				Size:      share.Resources{Processors: share.MilliCores(number("cores", 100, 4000)), Memory: 1 << 28},
				LeastTime: 100 * time.Millisecond, MostTime: time.Duration(number("time", 100, 3000)) * time.Millisecond,
			}
			if !tiny {
				step.Filler, step.Checkpoints = rapid.Bool().Draw(t, "filler"), rapid.Bool().Draw(t, "checkpoints")
			}
			if s > 0 && rapid.Bool().Draw(t, "chain") {
				step.After = []int{number("after", 0, s-1)}
			}
			kind.Steps = append(kind.Steps, step)
		}
		e.Jobs = append(e.Jobs, kind)
	}
	if tiny {
		return e
	}
	for range number("services", 0, 1) {
		e.Services = append(e.Services, Service{
			Name: "front", Queue: "q", Image: "front", Tasks: number("serving", 1, 6), Size: share.Resources{Processors: 1000, Memory: 1 << 28}, Worth: 1,
			TailTarget: 20 * time.Millisecond, Baseline: 1.5, Swing: float64(number("swing", 0, 10)) / 10, Period: 3 * time.Second, Use: 0.5,
			Startup: time.Duration(number("startup", 0, 8)) * 100 * time.Millisecond,
		})
	}
	kinds := []DisruptionKind{Leave, Crash, Silent, Shrink, LeaderChange, StoreSlow, StoreAway}
	for range number("disruptions", 0, 3) {
		e.Disruptions = append(e.Disruptions, Disruption{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), At: time.Duration(number("at", 0, 8000)) * time.Millisecond,
			For: time.Duration(number("for", 100, 4000)) * time.Millisecond, Workers: number("hit", 1, 2), Left: 0.5,
		})
	}
	return e
}

// Guards against a bound below what the policy earns.
func TestPolicyEarnsNoMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawExperiment(t, false)
		d := Draw(e, e.Seeds[0])
		outcome, err := Play(d, e.Policies[0])
		require.NoError(t, err)
		bound := UpperBound(d, e.Policies[0])
		require.LessOrEqual(t, outcome.Worth, bound.Worth+rounding)
		for k, kind := range outcome.Kinds {
			require.LessOrEqual(t, kind.Share, bound.Kinds[k]+rounding, kind.Name)
		}
	})
}

// Guards against a relaxation below the best schedule, and a best schedule below what the policy earns.
func TestExactBoundLiesBetweenPolicyAndRelaxation(t *testing.T) {
	compared, tight := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		e := drawExperiment(t, true)
		d := Draw(e, e.Seeds[0])
		exact, err := ExactBound(d, e.Policies[0])
		if err != nil {
			require.ErrorAs(t, err, new(*NotExactError))
			return
		}
		outcome, err := Play(d, e.Policies[0])
		require.NoError(t, err)
		relaxed := UpperBound(d, e.Policies[0]).Worth
		require.LessOrEqual(t, exact, relaxed+rounding)
		require.LessOrEqual(t, outcome.Worth, exact+rounding)
		compared++
		if relaxed-exact < 0.01 {
			tight++
		}
	})
	t.Logf("%d compared, %d of them within 0.01", compared, tight)
	require.Positive(t, compared)
}

// Two tasks that each need the whole pool for a second end within 1.5 s only one at a time: the
// relaxation knows that the pool is too small, the search knows the best order.
func TestBoundsOfAFullPool(t *testing.T) {
	e := &Experiment{
		Name: "full", Duration: 2 * time.Second, Settle: 4 * time.Second,
		Pool:   []WorkerGroup{{Name: "w", Workers: 1, Capacity: share.Resources{Processors: 4000, Memory: 1 << 34}}},
		Queues: []batch.Queue{{Name: "q", Slack: 1, Target: 500 * time.Millisecond}},
		Jobs: []JobKind{{
			Name: "j", Queue: "q", PerSecond: 20, Until: tick, LeastDeclared: 1, MostDeclared: 1, LateWorth: 0.5, Worth: 1,
			Steps: []Step{{Name: "s", LeastTasks: 1, MostTasks: 1, Size: share.Resources{Processors: 4000}, LeastTime: time.Second, MostTime: time.Second}},
		}},
	}
	d := Draw(e, 1)
	require.Len(t, d.jobs, 2)
	exact, err := ExactBound(d, DefaultPolicy("default"))
	require.NoError(t, err)
	require.InDelta(t, 0.75, exact, 1e-9)
	relaxed := UpperBound(d, DefaultPolicy("default")).Worth
	require.GreaterOrEqual(t, relaxed, exact)
	require.Less(t, relaxed, 1.0)
}
