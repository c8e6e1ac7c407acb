package batch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// delegatedTasks returns the cell of each task that changes delegate.
func delegatedTasks(t *testing.T, changes Changes) map[int]int {
	t.Helper()
	cells := map[int]int{}
	for _, r := range changes.Records {
		if r.Delegation == nil {
			continue
		}
		var w wireJob
		require.NoError(t, json.Unmarshal(r.Delegation.Value, &w))
		for _, s := range w.Stages {
			for _, wt := range s.Tasks {
				cells[wt.Index] = r.Delegation.To
			}
		}
	}
	return cells
}

// Guards against long-running tasks that no cell runs any more: the commit that delegated others was withdrawn after they had
// been delegated, and its delegation replaced theirs.
func TestDelegationsOutlastWithdrawnCommit(t *testing.T) {
	for _, c := range []struct {
		name string
		// resolve is called with the changes that contain the first delegation.
		resolve func(c *Core, ch Changes)
		// want are the cells to which the tasks go, those of the first delegation if it was committed included.
		want map[int]int
	}{
		{name: "committed", resolve: func(c *Core, ch Changes) { c.Committed(ch) }, want: map[int]int{4: 1, 5: 1, 6: 2, 7: 2}},
		{name: "withdrawn", resolve: func(c *Core, ch Changes) { c.Withdraw(ch) }, want: map[int]int{4: 1, 5: 1, 6: 2, 7: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := firstCellCore(t, now)
			j := longRunningJob(t, 8)
			require.NoError(t, core.Submit(j, now, nil))
			core.Plan(now)
			require.Len(t, commitAndStart(t, core, now), 4)
			now = now.Add(2 * starvedAfter)
			core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 12_100, LargestFree: 4000}})
			core.Plan(now)
			first, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			got := delegatedTasks(t, first)
			require.Equal(t, map[int]int{4: 1, 5: 1}, got)
			core.SetPeers(map[int]Load{2: {Capacity: 16_000, Free: 12_100, LargestFree: 4000}})
			core.Plan(now)
			c.resolve(core, first)
			for range 3 {
				core.Plan(now)
				changes, err := core.TakeChanges(20, now)
				require.NoError(t, err)
				for index, cell := range delegatedTasks(t, changes) {
					got[index] = cell
				}
				core.Committed(changes)
			}
			require.Equal(t, c.want, got)
			require.Equal(t, []int{1, 2}, core.jobs[j.ID].delegatedTo)
		})
	}
}
