package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job that goes to one cell while tasks of it have been delegated to another, so that both run them.
func TestJobWithDelegatedTasksIsNotHandedOver(t *testing.T) {
	for _, c := range []struct {
		name string
		// stored means that the job is stored already when its tasks wait and a commit with it is in progress.
		stored bool
	}{
		{name: "first record in a commit"},
		{name: "later record in a commit", stored: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			small := Load{Capacity: 16_000, Free: 16_000, LargestFree: 4000}
			large := Load{Capacity: 64_000, Free: 64_000, LargestFree: 4000}
			now := time.Unix(1_000_000_000, 0)
			core, j := fullCell(t, 6, now)
			if c.stored {
				commitAll(t, core, now)
				core.MarkDirty(j.ID)
			}
			changes, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			// The store is slow: a record of the job is in a commit in progress while its tasks wait.
			now = now.Add(2 * starvedAfter)
			core.SetPeers(map[int]Load{1: small})
			core.Plan(now)
			// cells counts the cells that were given each task.
			cells := map[int]int{}
			for range 10 {
				for _, r := range changes.Records {
					if r.HandedOver != nil {
						handedOver, err := DecodeJob(r.HandedOver)
						require.NoError(t, err)
						for i := range handedOver.Steps[0].Tasks {
							cells[i]++
						}
					}
					if r.Delegation != nil {
						other := coreOfCell(t, r.Delegation.To, now)
						id, err := other.AcceptDelegation(r.Delegation.Value, now)
						require.NoError(t, err)
						for _, task := range other.jobs[id].stages[0].tasks {
							if task.state == taskQueued {
								cells[task.index]++
							}
						}
					}
				}
				core.Committed(changes)
				now = now.Add(starvedAfter / 2)
				core.SetPeers(map[int]Load{2: large})
				core.Plan(now)
				changes, err = core.TakeChanges(20, now)
				require.NoError(t, err)
			}
			require.Equal(t, map[int]int{0: 1, 1: 1, 2: 1, 3: 1, 4: 1, 5: 1}, cells)
		})
	}
}
