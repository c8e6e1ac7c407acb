package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/task"
)

// partedFor is how long two regions lose each other now and then.
const partedFor = time.Hour

// Two regions lose each other for an hour. The holder beside the workers has
// lost the store; the other region takes the shard over and reaches no worker.
// What ran goes on within the grace and is stopped after it, nothing runs
// twice, what was accepted meanwhile waits, and afterwards all is finished.
func TestRegionsPartForAnHour(t *testing.T) {
	w := newWorld()
	w.timing = DefaultTiming()
	w.holders = nil
	w.take()
	near := w.holders[0]
	w.coast(5, 0)
	w.submit(near, "batch", 4)
	w.submit(near, "plain", 4)
	w.coast(10, 0)
	near.isolated = true
	running := func(h *worldHolder) int {
		s, err := h.core.Describe("n", "j1")
		require.NoError(t, err)
		return s.States[task.Running] + s.States[task.Finished]
	}
	require.Positive(t, running(near))
	w.coast(int(worldTTL/time.Second)+2, 0)
	w.take()
	require.Len(t, w.holders, 2)
	far := w.holders[1]
	for i := range w.workers {
		w.cut[[2]int64{far.epoch, int64(i)}] = true
	}
	w.coast(int(w.timing.Grace/time.Second)/2, 0)
	require.Positive(t, running(near), "within the grace the work goes on")
	starts := 0
	for second := range int(partedFor / time.Second) {
		if second == int(2*w.timing.Grace/time.Second) {
			starts = w.ledger.Starts()
			w.submit(far, "urgent", 2)
			require.Len(t, w.holders, 2)
		}
		w.coast(1, 0)
		w.check(t)
	}
	require.Equal(t, starts, w.ledger.Starts(), "after the grace nothing starts")
	require.True(t, w.heal(), "all accepted work ends once the regions meet again")
	w.check(t)
	require.Len(t, w.accepted, 3)
	for id, tasks := range w.accepted {
		s, err := w.holders[0].core.Describe("n", id)
		require.NoError(t, err)
		require.Equal(t, tasks, s.States[task.Finished], "of job %s: %v", id, s.States)
	}
	require.Same(t, far, w.holders[0])
}
