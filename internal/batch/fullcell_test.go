package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against long-running tasks that never run, although their home has space for them again: their job was handed over to a
// cell that is full, and may not return as a whole.
func TestTasksLeaveFullCellToWhichJobWasHandedOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers map[int]Load
		want  map[int]int
	}{
		{name: "space at home", peers: map[int]Load{0: {Capacity: 16_000, Free: 16_000, LargestFree: 4000}}, want: map[int]int{0: 0, 1: 0, 2: 0}},
		{name: "space for one task elsewhere", peers: map[int]Load{2: {Capacity: 16_000, Free: 6000, LargestFree: 4000}}, want: map[int]int{0: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := coreOfCell(t, 1, now)
			full := longRunningJob(t, 4)
			require.NoError(t, core.AcceptFromCell(full, now, 0))
			core.Plan(now)
			require.Len(t, commitAndStart(t, core, now), 4)
			require.NoError(t, core.AcceptFromCell(homeJob(t, 100, longRunningJob(t, 3).Steps...), now, 0))
			commitAll(t, core, now)
			got := map[int]int{}
			for range 20 {
				now = now.Add(starvedAfter / 2)
				core.SetPeers(c.peers)
				core.Plan(now)
				changes, err := core.TakeChanges(20, now)
				require.NoError(t, err)
				for index, cell := range delegatedTasks(t, changes) {
					got[index] = cell
				}
				core.Committed(changes)
				if len(got) == len(c.want) {
					break
				}
			}
			require.Equal(t, c.want, got)
		})
	}
}
