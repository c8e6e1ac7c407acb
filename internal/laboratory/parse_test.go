package laboratory

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// readExample returns a ready experiment.
func readExample(t *testing.T, file string) *Experiment {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	e, err := Parse(file, text)
	require.NoError(t, err)
	return e
}

// The ready experiments can be played.
func TestReadyExperimentsCanBePlayed(t *testing.T) {
	files, err := filepath.Glob("../../examples/laboratory/*.jsonc")
	require.NoError(t, err)
	require.Len(t, files, 3)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			e := readExample(t, file)
			e.Seeds = e.Seeds[:1]
			results, err := Run(t.Context(), e)
			require.NoError(t, err)
			require.Len(t, results, len(e.Policies))
			for _, r := range results {
				require.Positive(t, r.Outcomes[0].Worth)
				require.LessOrEqual(t, r.Outcomes[0].Worth, 1.0)
			}
		})
	}
}

// Guards against a file whose faults are told one at a time, or without their place.
func TestAllFaultsOfAnExperimentAreTold(t *testing.T) {
	_, err := Parse("day.jsonc", []byte(`{
	"name": "x",
	"seeds": {"count": 0},
	"pool": [{"name": "main", "workers": 0, "processors": 16}, {"name": "main", "workers": 1, "processors": -1}],
	"queues": [{"name": "q", "colour": "red"}],
	"jobs": [{"name": "j", "queue": "p", "steps": [
		{"name": "a", "processors": 1, "runTime": ["2s", "1s"], "after": ["b"]},
		{"name": "b", "processors": 1, "tasks": 1.5}]}],
	"interference": {"pairs": [{"service": "s", "image": "j", "loses": 2}]},
	"disruptions": [{"kind": "flood"}, {"kind": "crash", "left": 0.5}],
	"policies": [{"name": "one", "workers": {"other": 3}}]
}`))
	require.EqualError(t, err, `day.jsonc:3: seeds.count: is 0, not between 1 and 1000
day.jsonc:4: pool[main].workers: is 0, not between 1 and 10000
day.jsonc:4: pool[main].name: "main" stands twice
day.jsonc:4: pool[main].processors: is -1, not between 0 and 10000
day.jsonc:5: queues[q].colour: is not a known field
day.jsonc:6: jobs[j].queue: "p" is not declared
day.jsonc:7: jobs[j].steps[a].runTime: is 1s, not between 2s and 2h0m0s
day.jsonc:7: jobs[j].steps[a].after[0]: "b" is no earlier step
day.jsonc:8: jobs[j].steps[b].tasks: is not a whole number
day.jsonc:8: jobs[j].steps[b]: lacks the field "runTime"
day.jsonc:9: interference.pairs[0].service: "s" is not declared
day.jsonc:10: disruptions[0].kind: "flood" is not one of [leave crash silent shrink leaderChange storeSlow storeAway]
day.jsonc:10: disruptions[1].left: is not a known field
day.jsonc:11: policies[one].workers.other: is not declared`)
}

// Guards against decisions that depend on the order in which a map yields the workers: the first one on
// which a throttled run would do better ends the search, and estimates are cached where it has been.
func TestSameOverloadedDayGivesTheSameOutcome(t *testing.T) {
	e := readExample(t, "../../examples/laboratory/calm.jsonc")
	day := Draw(e, 5)
	first, err := Play(day, e.Policies[0])
	require.NoError(t, err)
	for range 7 {
		again, err := Play(day, e.Policies[0])
		require.NoError(t, err)
		require.Equal(t, first, again)
	}
}
