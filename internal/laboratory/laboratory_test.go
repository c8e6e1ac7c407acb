package laboratory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// calmDay returns an experiment with services and filler jobs on 48 workers.
func calmDay() *Experiment {
	service := func(name string, tasks int) Service {
		return Service{
			Name: name, Queue: "check", Image: name, Tasks: tasks, Size: share.Resources{Processors: 3000, Memory: 1 << 30}, TailTarget: 20 * time.Millisecond,
			Baseline: 2.2, Swing: 0.6, Period: 10 * time.Second, Use: 0.45, Startup: 500 * time.Millisecond, MaxUnavailable: 1, Worth: 1,
		}
	}
	jobs := func(image string) JobKind {
		return JobKind{
			Name: "jobs-" + image, Queue: "review", PerSecond: 1.5, Until: time.Minute, LeastDeclared: 0.7, MostDeclared: 1.4, LateWorth: 0.3, Worth: 1,
			Steps: []Step{{
				Name: "s", Image: image, LeastTasks: 1, MostTasks: 8, Size: share.Resources{Processors: 1600, Memory: 1 << 30},
				LeastTime: 500 * time.Millisecond, MostTime: 2 * time.Second, Filler: true, Checkpoints: true,
			}},
		}
	}
	return &Experiment{
		Name: "calm", Duration: time.Minute, Settle: 10 * time.Second, Seeds: []uint64{1, 2},
		Pool:     []WorkerGroup{{Name: "main", Workers: 48, Capacity: share.Resources{Processors: 16_000, Memory: 64 << 30}, Racks: 6}},
		Queues:   []batch.Queue{{Name: "check", Slack: 1.5, Target: 400 * time.Millisecond}, {Name: "review", Priority: 2, Attempts: 4, Slack: 2, Target: time.Second}},
		Services: []Service{service("front", 40), service("search", 30)},
		Jobs:     []JobKind{jobs("a"), jobs("b"), jobs("c")},
		MostLoss: 20, Policies: []Policy{DefaultPolicy("in force")},
	}
}

// troubles are disruptions of every kind.
func troubles() []Disruption {
	return []Disruption{
		{Kind: Leave, At: 10 * time.Second, For: 3 * time.Second, Workers: 4},
		{Kind: LeaderChange, At: 11 * time.Second, For: 2 * time.Second},
		{Kind: Crash, At: 20 * time.Second, For: 2 * time.Second, Workers: 2},
		{Kind: StoreSlow, At: 25 * time.Second, For: 3 * time.Second},
		{Kind: Silent, At: 26 * time.Second, For: 8 * time.Second, Workers: 2},
		{Kind: StoreAway, At: 35 * time.Second, For: 4 * time.Second},
		{Kind: Shrink, At: 40 * time.Second, For: 10 * time.Second, Workers: 6, Left: 0.4},
	}
}

// Guards against results that differ between two plays of a seed.
func TestSameSeedGivesTheSameOutcome(t *testing.T) {
	e := calmDay()
	e.Disruptions = troubles()
	first, err := Run(t.Context(), e)
	require.NoError(t, err)
	for range 2 {
		again, err := Run(t.Context(), e)
		require.NoError(t, err)
		require.Equal(t, first, again)
	}
	require.NotEqual(t, first[0].Outcomes[0].Worth, first[0].Outcomes[1].Worth, "seeds give different days")
}
