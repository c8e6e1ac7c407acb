package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against a wait for a worker that does not answer which nobody can see: the number of its
// runs and the time until they are given up have to be reported.
func TestWorkShowsRunsOnUnreachedWorkers(t *testing.T) {
	now := time.Now()
	c := fourWorkerCore(t, now)
	require.NoError(t, c.Submit(Job{ID: "j", Queue: "check", Steps: []Step{
		{Tasks: 1, Size: share.Resources{Processors: 1000}, LongRunning: true},
	}}, now, nil))
	c.Plan(now)
	require.Equal(t, 1, c.TakeWork(now).Placed)
	changes, err := c.TakeChanges(20, now)
	require.NoError(t, err)
	commands := c.Committed(changes)
	require.Len(t, commands, 1)
	call, ok := c.PrepareCall(commands[0], now)
	require.True(t, ok)
	require.Zero(t, c.TakeWork(now).UnreachedRuns)
	c.TakeNotes()
	c.PollFailed(call.Worker, AnswerNone, now.Add(time.Millisecond), now.Add(time.Second))
	notes := c.TakeNotes()
	require.Len(t, notes, 1)
	require.Equal(t, 1, notes[0].Runs)
	require.Greater(t, notes[0].Remaining, c.timing.Lease)
	work := c.TakeWork(now.Add(time.Second))
	require.Equal(t, 1, work.UnreachedRuns)
	require.InDelta(t, (notes[0].Remaining - time.Second).Seconds(), work.UnreachedFor.Seconds(), 0.01)
}
