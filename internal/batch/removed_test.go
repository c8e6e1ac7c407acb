package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job that is forgotten while its record is still stored, because another record of it was committed after
// its removal was decided: a repeated submission was accepted anew, and then removed with the old record while it ran.
func TestRemovedJobIsKnownUntilItsRecordIsDeleted(t *testing.T) {
	for _, c := range []struct {
		name string
		// change makes the job's record change, remove decides to remove it.
		change, remove func(c *Core, id string, now time.Time)
	}{
		{
			name:   "ended",
			change: func(c *Core, id string, _ time.Time) { c.MarkDirty(id) },
			remove: func(c *Core, _ string, now time.Time) { c.Plan(now.Add(2 * c.timing.Retention)) },
		},
		{
			name:   "handed over",
			change: func(c *Core, id string, now time.Time) { c.Cancel(id, now, nil) },
			remove: func(c *Core, id string, _ time.Time) { c.ForgetForward(id) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core, j := storedThenHandedOver(t, now)
			if c.name == "ended" {
				core = firstCellCore(t, now)
				require.NoError(t, core.Submit(j, now, nil))
				require.True(t, core.Cancel(j.ID, now, nil))
			}
			commitAll(t, core, now)
			c.change(core, j.ID, now)
			changes, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			require.NotNil(t, changes.Records[0].Value)
			c.remove(core, j.ID, now)
			core.Committed(changes)
			require.True(t, core.HasJob(j.ID), "forgotten before its record was deleted")

			changes, err = core.TakeChanges(20, now)
			require.NoError(t, err)
			require.Nil(t, changes.Records[0].Value)
			require.True(t, core.HasJob(j.ID))
			core.Committed(changes)
			require.False(t, core.HasJob(j.ID))
			require.False(t, core.HasChanges())
		})
	}
}
