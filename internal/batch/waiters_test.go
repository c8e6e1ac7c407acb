package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// storedThenHandedOver returns a core that hands over a job with the next commit, and the job. Its record is durable.
func storedThenHandedOver(t *testing.T, now time.Time) (*Core, Job) {
	t.Helper()
	core := firstCellCore(t, now.Add(-2*starvedAfter))
	j := homeJob(t, 0, Step{Tasks: 1, Size: share.Resources{Processors: 4000}, RequiredLabel: "kind-none"})
	require.NoError(t, core.Submit(j, now.Add(-2*starvedAfter), nil))
	commitAll(t, core, now)
	core.SetPeers(map[int]Load{1: {
		Capacity: 16_000, Free: 16_000, Idle: 16_000, LargestFree: 4000, LargestByLabel: map[string]int64{"kind-none": 4000}, Labels: map[string]int{"kind-none": 1},
	}})
	core.Plan(now)
	require.Equal(t, Moved, core.jobs[j.ID].state)
	return core, j
}

// Guards against a cancel that is sent to another cell before the job is durably there: its caller asked the wrong cell.
func TestMovedIsToldOnceDurable(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is called before the cancel, with the changes that hand the job over; nil if they are not taken yet.
		before func(c *Core, ch Changes, now time.Time)
		wantAt bool
	}{
		{name: "hand-over decided"},
		{name: "commit in progress", before: func(*Core, Changes, time.Time) {}},
		{name: "commit withdrawn", before: func(c *Core, ch Changes, _ time.Time) { c.Withdraw(ch) }},
		{name: "committed", before: func(c *Core, ch Changes, _ time.Time) { c.Committed(ch) }, wantAt: true},
		{name: "committed and changed again", before: func(c *Core, ch Changes, now time.Time) {
			c.Committed(ch)
			c.Cancel(ch.Records[0].ID, now, nil)
		}, wantAt: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core, j := storedThenHandedOver(t, now)
			var changes Changes
			if c.before != nil {
				var err error
				changes, err = core.TakeChanges(20, now)
				require.NoError(t, err)
				c.before(core, changes, now)
			}
			var states []State
			require.True(t, core.Cancel(j.ID, now, func(s State) {
				states = append(states, s)
				_, durable := core.ForwardedTo(j.ID)
				require.True(t, durable, "%s is told before it is durable", s)
			}))
			require.Equal(t, c.wantAt, len(states) == 1)
			if core.jobs[j.ID].inFlight {
				core.Committed(changes)
			}
			commitAll(t, core, now)
			require.Equal(t, []State{Moved}, states)
		})
	}
}
