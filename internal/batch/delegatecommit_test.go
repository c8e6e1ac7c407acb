package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fullCell returns the core of the first of three cells, whose workers are all in use by long-running tasks, and a job of more of them,
// which was submitted at the given time.
func fullCell(t *testing.T, tasks int, now time.Time) (*Core, Job) {
	t.Helper()
	core := firstCellCore(t, now)
	require.NoError(t, core.Submit(longRunningJob(t, 4), now, nil))
	core.Plan(now)
	require.Len(t, commitAndStart(t, core, now), 4)
	j := homeJob(t, 1000, longRunningJob(t, tasks).Steps...)
	require.NoError(t, core.Submit(j, now, nil))
	return core, j
}

// offerOne makes a core know another cell that has capacity for one of its tasks, and plan.
func offerOne(core *Core, now time.Time) {
	core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 6000, LargestFree: 4000}})
	core.Plan(now)
}

// Guards against a job that is handed over with all its tasks after some were delegated, while its first commit waited: they ran in
// two cells.
func TestJobWithDelegationsCountsAsPlaced(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core, j := fullCell(t, 2, now)
	now = now.Add(2 * starvedAfter)
	offerOne(core, now)
	require.Len(t, core.jobs[j.ID].delegatedTo, 1)
	commitAll(t, core, now)
	core.SetPeers(map[int]Load{2: {Capacity: 64_000, Free: 64_000, LargestFree: 4000}})
	core.Plan(now)
	changes, err := core.TakeChanges(20, now)
	require.NoError(t, err)
	require.Len(t, changes.Records, 1)
	require.Empty(t, string(changes.Records[0].HandedOver))
	require.NotNil(t, changes.Records[0].Delegation)
}

// Guards against a delegated task that no cell has: its delegation was made while that of another task of the job was in a commit, and
// was replaced by that one when the commit was withdrawn.
func TestWithdrawnDelegationReplacesNoOther(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome func(c *Core, ch Changes)
	}{
		{name: "committed", outcome: func(c *Core, ch Changes) { c.Committed(ch) }},
		{name: "withdrawn", outcome: func(c *Core, ch Changes) { c.Withdraw(ch) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core, j := fullCell(t, 2, now)
			commitAll(t, core, now)
			other := coreOfCell(t, 1, now)
			accept := func(ch Changes) {
				for _, r := range ch.Records {
					if r.Delegation != nil {
						_, err := other.AcceptDelegation(r.Delegation.Value, now)
						require.NoError(t, err)
					}
				}
			}
			// Tasks of a job that has started are delegated one by one.
			core.jobs[j.ID].state = Active
			now = now.Add(2 * starvedAfter)
			offerOne(core, now)
			first, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			require.NotNil(t, first.Records[0].Delegation)
			offerOne(core, now)
			c.outcome(core, first)
			if c.name == "committed" {
				accept(first)
			}
			for range 3 {
				offerOne(core, now)
				changes, err := core.TakeChanges(20, now)
				require.NoError(t, err)
				accept(changes)
				core.Committed(changes)
			}
			require.Contains(t, other.jobs, DelegatedID(j.ID))
			require.Equal(t, 2, other.jobs[DelegatedID(j.ID)].stages[0].unfinished)
		})
	}
}

// Guards against a cancel that is acknowledged and reaches no cell: the next leader took the record of delegated tasks that had ended
// for that of their job, which the cell has handed over.
func TestEndedDelegationDoesNotHideForward(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	home := firstCellCore(t, now)
	j, changes := handOver(t, home, now)
	home.Committed(changes)
	forward := changes.Records[0].Value
	other := coreOfCell(t, 1, now)
	longRunning := longRunningJob(t, 6)
	longRunning.ID = j.ID
	require.NoError(t, other.AcceptFromCell(longRunning, now))
	other.Plan(now)
	require.Len(t, commitAndStart(t, other, now), 4)
	now = now.Add(2 * starvedAfter)
	other.SetPeers(map[int]Load{0: {Capacity: 16_000, Free: 16_000, LargestFree: 4000}})
	other.Plan(now)
	delegated, err := other.TakeChanges(20, now)
	require.NoError(t, err)
	_, err = home.AcceptDelegation(delegated.Records[0].Delegation.Value, now)
	require.NoError(t, err)
	require.True(t, home.Cancel(DelegatedID(j.ID), now, nil))
	_, ended := commitAll(t, home, now)
	require.Len(t, ended, 1)
	for _, records := range [][][]byte{{forward, ended[0]}, {ended[0], forward}} {
		next := coreOfCell(t, 0, now)
		for _, r := range records {
			require.NoError(t, next.Restore(r, now))
		}
		_, moved := next.ForwardedTo(j.ID)
		require.True(t, moved)
		var answers []State
		require.True(t, next.Cancel(j.ID, now, func(s State) { answers = append(answers, s) }))
		require.Equal(t, []State{Moved}, answers)
		state, known := next.State(DelegatedID(j.ID))
		require.True(t, known)
		require.Equal(t, Cancelled, state)
	}
}
