package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/task"
)

// partitionTime is how long two regions lose each other now and then.
const partitionTime = time.Hour

// Two regions lose each other for an hour. The holder beside the workers has
// lost the store; the other region takes the shard over and reaches no worker.
// What ran goes on within the grace and is stopped after it, nothing runs
// twice, what was accepted meanwhile waits, and afterwards all is finished.
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
	running := func(h *simLeader) int {
		s, err := h.core.Describe("n", "j1")
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
	require.Positive(t, running(isolated), "within the grace the work goes on")
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
	require.Equal(t, starts, w.ledger.Starts(), "after the grace nothing starts")
	require.True(t, w.runToCompletion(), "all accepted work ends once the regions meet again")
	w.checkInvariants(t)
	require.Len(t, w.accepted, 3)
	for id, tasks := range w.accepted {
		s, err := w.leaders[0].core.Describe("n", id)
		require.NoError(t, err)
		require.Equal(t, tasks, s.States[task.Finished], "of job %s: %v", id, s.States)
	}
	require.Same(t, successor, w.leaders[0])
}
