package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// taskCount returns the number of tasks that a holder has on a worker.
func taskCount(h *simLeader, id string) int { return len(h.core.worker(id).tasks) }

// isolateFirstLeader lets the first holder lose the store while it still reaches the
// worker of the only task, and a second one take over that reaches all others.
func isolateFirstLeader(t *testing.T, clean bool) (*simulation, *simLeader, string) {
	t.Helper()
	w := newSimulation()
	first := w.leaders[0]
	w.submit(first, "batch", 1)
	w.run(3, 0)
	first.isolated = true
	w.advance(simLeaseTTL + 2*time.Second)
	w.handedOver = clean
	w.takeOver()
	require.Len(t, w.leaders, 2)
	second := w.leaders[1]
	on := ""
	for i, s := range w.workers {
		if taskCount(second, s.ID) > 0 {
			w.partitioned[[2]int64{second.epoch, int64(i)}] = true
			on = s.ID
			continue
		}
		w.partitioned[[2]int64{first.epoch, int64(i)}] = true
	}
	require.NotEmpty(t, on)
	return w, second, on
}

// A holder that was cut off renews the task of a worker that the next holder
// does not reach; the next holder leaves it there until the grace is over.
func TestTakeoverWaitsForGraceOfPreviousLeader(t *testing.T) {
	w, second, on := isolateFirstLeader(t, false)
	w.run(20, 0)
	require.Equal(t, 1, taskCount(second, on))
	w.run(30, 0)
	require.Zero(t, taskCount(second, on), "the task moves once the former holder's grace is over")
	require.Zero(t, w.ledger.DoubleRuns())
	require.True(t, w.runToCompletion())
	w.checkInvariants(t)
}

// Were the former holder taken for stopped although it is not, the task would
// run in two places: the world shows it.
func TestSimulationDetectsDoubleRun(t *testing.T) {
	w, _, _ := isolateFirstLeader(t, true)
	w.run(25, 0)
	require.Positive(t, w.ledger.DoubleRuns())
}

// A holder that may have lost its lease renews what runs and starts nothing.
func TestLeaderPastItsLeaseStartsNothing(t *testing.T) {
	w := newSimulation()
	w.submitMixedLoad()
	h := w.leaders[0]
	h.isolated = true
	w.advance(simLeaseTTL)
	w.submit(h, "batch", 1)
	before := w.ledger.Starts()
	w.run(20, 0)
	require.Equal(t, before, w.ledger.Starts())
	s, err := h.core.Describe("n", "j1")
	require.NoError(t, err)
	require.Equal(t, 2, s.States[task.Running], "what ran goes on within the grace")
}

// Urgent work starts within 4.9 s although other work fills the pool, with
// checkpoints or without, and also where several tasks come at once.
func TestUrgentTasksStartInFullPool(t *testing.T) {
	cases := []struct {
		name        string
		checkpoints bool
		urgent      int
	}{
		{"one", true, 1},
		{"three for each worker", true, 3 * simWorkers},
		{"beside work without checkpoints", false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation()
			w.config.Jobs[0].Checkpoints = c.checkpoints
			w.config.Revision++
			h := w.leaders[0]
			for range 5 {
				h.core.planner.Sizes.Observe("batch", share.Resources{Processors: 2000, Memory: 1 << 30})
				h.core.planner.Sizes.Observe("urgent", share.Resources{Processors: 2000, Memory: 1 << 30})
			}
			w.submit(h, "batch", 40)
			w.run(5, 0)
			w.submit(h, "urgent", c.urgent)
			w.run(4, 900*time.Millisecond)
			s, err := h.core.Describe("n", "j2")
			require.NoError(t, err)
			require.Equal(t, c.urgent, s.States[task.Running])
			w.checkInvariants(t)
		})
	}
}

// A job that can never run says why, and others pass it by.
func TestUnschedulableJobReportsReasonAndBlocksNoOther(t *testing.T) {
	w := newSimulation()
	h := w.leaders[0]
	w.config.Jobs[1].Size = simCapacity.Times(2)
	w.config.Revision++
	w.submit(h, "plain", 3)
	w.submit(h, "batch", 1)
	w.run(3, 0)
	s, err := h.core.Describe("n", "j1")
	require.NoError(t, err)
	require.Equal(t, 3, s.States[task.Unschedulable])
	require.Contains(t, s.Reason, "no worker has more")
	s, err = h.core.Describe("n", "j2")
	require.NoError(t, err)
	require.Equal(t, 1, s.States[task.Running])
	w.config.Jobs[1].Size = simCapacity
	w.config.Revision++
	w.run(20, 0)
	s, err = h.core.Describe("n", "j1")
	require.NoError(t, err)
	require.Zero(t, s.States[task.Unschedulable], "a corrected family runs")
}

// A wave of cancellations is one batch, whatever its size.
func TestMassCancellationIsOneBatch(t *testing.T) {
	w := newSimulation()
	h := w.leaders[0]
	for range 300 {
		w.submit(h, "batch", 10)
	}
	w.run(2, 0)
	before := len(w.batches)
	for id := range h.core.jobs {
		_, err := h.core.Cancel("n", id, w.now)
		require.NoError(t, err)
	}
	w.commit(h, false)
	require.Equal(t, before+1, len(w.batches))
	w.run(3, 0)
	require.LessOrEqual(t, len(w.batches), before+1+8, "the stops of running tasks come in a few more")
	for id := range h.core.jobs {
		s, err := h.core.Describe("n", id)
		require.NoError(t, err)
		require.Equal(t, 10, s.States[task.Cancelled])
	}
}

// A task that fails everywhere fails for good after as many starts as its family allows.
func TestFailingTaskEndsWithReason(t *testing.T) {
	w := newSimulation()
	w.config.Jobs[0].MaxStarts = 3
	w.config.Revision++
	for _, s := range w.workers {
		s.SetBroken(true)
	}
	h := w.leaders[0]
	w.submit(h, "batch", 1)
	w.run(200, 0)
	s, err := h.core.Describe("n", "j1")
	require.NoError(t, err)
	require.Equal(t, 1, s.States[task.Failed])
	require.Equal(t, "start failed", s.Reason)
	require.Equal(t, 3, w.ledger.Starts())
}

// The state that is kept stays bounded: an ended job is forgotten after its retention, its usage is not.
func TestEndedJobsAreDroppedAfterRetention(t *testing.T) {
	w := newSimulation()
	h := w.leaders[0]
	w.submit(h, "plain", 2)
	w.run(10, 0)
	usage := h.core.Accounts(w.now)[0].Usage
	require.Positive(t, usage.Processor.Seconds())
	w.advance(w.timing.Retention + sweepInterval)
	w.run(1, 0)
	require.Empty(t, h.core.jobs)
	require.Equal(t, usage, h.core.Accounts(w.now)[0].Usage)
	again := NewCore(w.timing, w.now, true)
	again.Configure(w.config, w.quotas())
	again.Restore(w.batches, w.now)
	require.Empty(t, again.jobs)
	require.Equal(t, usage, again.Accounts(w.now)[0].Usage)
}

// newOneWorkerSimulation returns a world whose holder knows worker 0 alone, whose clock is slow.
func newOneWorkerSimulation() (*simulation, *simLeader) {
	w := newSimulation()
	w.removed[1], w.removed[2] = true, true
	w.run(2, 0)
	return w, w.leaders[0]
}

// A silent worker with a slow clock still runs its task when the lease is over
// by the holder's clock; the task moves only after the drift as well.
func TestLeaseExpiryAllowsForDrift(t *testing.T) {
	w, h := newOneWorkerSimulation()
	w.submit(h, "batch", 1)
	w.run(2, 0)
	require.Equal(t, 1, taskCount(h, "w0"))
	w.removed[1], w.removed[2] = false, false
	w.run(2, 0)
	w.partitioned[[2]int64{h.epoch, 0}] = true
	w.run(15, 50*time.Millisecond)
	require.Equal(t, 1, taskCount(h, "w0"))
	w.run(2, 0)
	require.Zero(t, taskCount(h, "w0"))
	require.Equal(t, 2, w.ledger.Starts())
	require.Zero(t, w.ledger.DoubleRuns())
}

// A start that arrives after its task has ended there does nothing.
func TestDelayedStartAfterTaskEndIsIgnored(t *testing.T) {
	w, h := newOneWorkerSimulation()
	w.submit(h, "plain", 1)
	w.commit(h, false)
	w.exchange(h, 0, delayed)
	w.run(7, 0)
	s, err := h.core.Describe("n", "j1")
	require.NoError(t, err)
	require.Equal(t, 1, s.States[task.Finished])
	require.Len(t, w.delayedExchanges, 1)
	require.NotEmpty(t, w.delayedExchanges[0].e.Commands)
	w.deliver(0)
	require.Equal(t, 1, w.ledger.Starts())
}
