package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/task"
)

// partitionTime is how long the two regions can't reach each other. Partitions of this length occur
// from time to time.
const partitionTime = time.Hour

// Guards against tasks that run twice or jobs that are lost when two regions are partitioned for an
// hour. The leader in the region of the workers can't reach the store. An instance of the other
// region takes over the shard but can't reach any worker. Running tasks must continue within the
// grace time and stop after it, jobs accepted in the meantime must wait, and all must finish after
// the partition.
func TestRegionPartitionOfOneHour(t *testing.T) {
	w := newSimulation()
	w.timing = DefaultTiming()
	w.leaders = nil
	w.takeOver()
	isolated := w.leaders[0]
	w.run(5, 0)
	w.submit(isolated, "batch", 4)
	w.submit(isolated, "plain", 4)
	w.run(10, 0)
	isolated.isolated = true
	running := func(leader *simLeader) int {
		s, err := leader.core.Describe("n", "j1")
		require.NoError(t, err)
		return s.States[task.Running] + s.States[task.Finished]
	}
	require.Positive(t, running(isolated))
	w.run(int(simLeaseTTL/time.Second)+2, 0)
	w.takeOver()
	require.Len(t, w.leaders, 2)
	successor := w.leaders[1]
	for i := range w.workers {
		w.partitioned[[2]int64{successor.epoch, int64(i)}] = true
	}
	w.run(int(w.timing.Grace/time.Second)/2, 0)
	require.Positive(t, running(isolated), "tasks must keep running within the grace time")
	starts := 0
	for second := range int(partitionTime / time.Second) {
		if second == int(2*w.timing.Grace/time.Second) {
			starts = w.ledger.Starts()
			w.submit(successor, "urgent", 2)
			require.Len(t, w.leaders, 2)
		}
		w.run(1, 0)
		w.checkInvariants(t)
	}
	require.Equal(t, starts, w.ledger.Starts(), "no task may start after the grace time")
	require.True(t, w.runToCompletion(), "accepted jobs must end after the partition")
	w.checkInvariants(t)
	require.Len(t, w.accepted, 3)
	for id, tasks := range w.accepted {
		s, err := w.leaders[0].core.Describe("n", id)
		require.NoError(t, err)
		require.Equal(t, tasks, s.States[task.Finished], "not all tasks of job %s have finished: %v", id, s.States)
	}
	require.Same(t, successor, w.leaders[0])
}
