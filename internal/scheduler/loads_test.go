package scheduler

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against a published load that lacks a part of what the other cells decide by.
func TestLoadIsPublishedWhole(t *testing.T) {
	load := batch.Load{
		Capacity: 5, Free: 4, Idle: 3, LargestFree: 2, Labels: map[string]int{"l": 1},
		LargestByLabel: map[string]int64{"l": 2},
		Services: map[string]batch.Load{"s": {
			Capacity: 5, LargestByLabel: map[string]int64{"l": 2}, Labels: map[string]int{"l": 1},
			FreeForLost: []batch.FreeWorker{
				{Free: share.Resources{Processors: 3, Memory: 2, Accelerators: 1}, Labels: []string{"l"}}, {Free: share.Resources{Processors: 1}},
			},
		}},
	}
	value, err := json.Marshal(encodeLoad(load))
	require.NoError(t, err)
	var w wireLoad
	require.NoError(t, json.Unmarshal(value, &w))
	require.Equal(t, load, decodeLoad(w))
}
