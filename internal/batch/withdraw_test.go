package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// A withdrawn commit is as if it had never been taken: its submissions can be dropped, and its other
// changes are committed later.
func TestWithdrawnChangesAreTakenAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		// drop drops what is not durable after the commit is withdrawn.
		drop       func(c *Core, id string, now time.Time)
		wantStates []State
		wantStarts int
	}{
		{name: "committed later", wantStates: []State{Queued}, wantStarts: 2},
		{name: "dropped", drop: func(c *Core, _ string, now time.Time) { c.DropUncommitted(now) }, wantStates: []State{Dropped}},
		{name: "dropped by name", drop: func(c *Core, id string, now time.Time) { c.DropSubmission(id, now) }, wantStates: []State{Dropped}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			var states []State
			j := Job{ID: "j", Queue: "check", Steps: []Step{{Tasks: 2, Size: share.Resources{Processors: 1000}}}}
			require.NoError(t, core.Submit(j, now, func(s State) { states = append(states, s) }))
			core.Plan(now)
			first, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			core.DropUncommitted(now)
			require.Empty(t, states, "a commit in progress contains the job")
			core.Withdraw(first)
			if c.drop != nil {
				c.drop(core, j.ID, now)
			}
			second, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			require.Len(t, core.Committed(second), c.wantStarts)
			require.Equal(t, c.wantStates, states)
			require.Equal(t, c.drop == nil, core.IsDurable(j.ID))
		})
	}
}
