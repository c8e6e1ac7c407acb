package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const burstExperiment = "../../examples/laboratory/burst.jsonc"

// Guards against reports that differ between two runs, or leave out a policy or a seed.
func TestLabReportsEachPolicyAndSeed(t *testing.T) {
	status, out, errs := pondctl("lab", "-seeds", "2", burstExperiment)
	require.Equal(t, exitDone, status, errs)
	require.Contains(t, out, "policy 48 workers")
	require.Contains(t, out, "64 workers less 48 workers")
	require.Equal(t, 3, strings.Count(out, "mean wait"))
	require.NotContains(t, out, "distance")
	require.Contains(t, out, "steps waited for:")
	status, first, errs := pondctl("lab", "-json", "-oracle", "-seeds", "2", burstExperiment)
	require.Equal(t, exitDone, status, errs)
	_, again, _ := pondctl("lab", "-json", "-oracle", "-seeds", "2", burstExperiment)
	require.Equal(t, first, again)
	var report wireLab
	require.NoError(t, json.Unmarshal([]byte(first), &report))
	require.Len(t, report.Policies, 3)
	require.Len(t, report.Policies[0].Seeds, 2)
	for _, seed := range report.Policies[0].Seeds {
		require.GreaterOrEqual(t, *seed.Bound, seed.Worth)
	}
	require.Len(t, report.Comparisons, 2)
	require.Greater(t, report.Comparisons[0].Differences[0].Mean, 0.0, "more workers are worth more")
}

func TestLabPrintsAllFaultsOfAFile(t *testing.T) {
	status, _, errs := pondctl("lab", writeNote(t, "{\"name\": \"x\",\n\"seeds\": {\"count\": 0},\n\"pool\": []}"))
	require.Equal(t, exitFailed, status)
	require.Contains(t, errs, ":2: seeds.count: is 0, not between 1 and 1000\n")
	require.Contains(t, errs, ":3: pool: names no workers\n")
	require.Contains(t, errs, ":1: document: has neither jobs nor services")
}
