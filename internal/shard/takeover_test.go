package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// taskCount returns the number of tasks that a leader has placed on a worker.
func taskCount(leader *simLeader, id string) int { return len(leader.core.worker(id).tasks) }

// isolateFirstLeader returns a simulation in which the first leader can't reach the store but still
// reaches the worker with the only task. A second leader has taken over and reaches all other
// workers. clean tells the second leader that the first one has stopped.
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
	workerID := ""
	for i, s := range w.workers {
		if taskCount(second, s.ID) > 0 {
			w.partitioned[[2]int64{second.epoch, int64(i)}] = true
			workerID = s.ID
			continue
		}
		w.partitioned[[2]int64{first.epoch, int64(i)}] = true
	}
	require.NotEmpty(t, workerID)
	return w, second, workerID
}

// An isolated leader still renews the lease of a task on a worker that the next leader can't reach.
// The next leader must not place the task elsewhere until the grace time is over.
func TestTakeoverWaitsForGraceOfPreviousLeader(t *testing.T) {
	w, second, workerID := isolateFirstLeader(t, false)
	w.run(20, 0)
	require.Equal(t, 1, taskCount(second, workerID))
	w.run(30, 0)
	require.Zero(t, taskCount(second, workerID), "the task must move once the grace time of the previous leader is over")
	require.Zero(t, w.ledger.DoubleRuns())
	require.True(t, w.runToCompletion())
	w.checkInvariants(t)
}

// Checks the simulation itself: if the previous leader is wrongly taken for stopped, the task runs
// on two workers, and the simulation must detect that.
func TestSimulationDetectsDoubleRun(t *testing.T) {
	w, _, _ := isolateFirstLeader(t, true)
	w.run(25, 0)
	require.Positive(t, w.ledger.DoubleRuns())
}

// A leader whose lease in the store may have expired must renew running tasks but start none.
func TestLeaderPastItsLeaseStartsNothing(t *testing.T) {
	w := newSimulation()
	w.submitMixedLoad()
	leader := w.leaders[0]
	leader.isolated = true
	w.advance(simLeaseTTL)
	w.submit(leader, "batch", 1)
	before := w.ledger.Starts()
	w.run(20, 0)
	require.Equal(t, before, w.ledger.Starts())
	s, err := leader.core.Describe("n", "j1")
	require.NoError(t, err)
	require.Equal(t, 2, s.States[task.Running], "running tasks must continue within the grace time")
}

// Urgent tasks must start within 4.9 s although other tasks fill the workers, whether these can
// make checkpoints or not, and also if several urgent tasks arrive at once.
func TestUrgentTasksStartInFullPool(t *testing.T) {
	cases := []struct {
		name        string
		checkpoints bool
		urgent      int
	}{
		{"one urgent task", true, 1},
		{"three urgent tasks for each worker", true, 3 * simWorkers},
		{"other tasks without checkpoints", false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation()
			w.config.Jobs[0].Checkpoints = c.checkpoints
			w.config.Revision++
			leader := w.leaders[0]
			for range 5 {
				leader.core.planner.Sizes.Observe("batch", share.Resources{Processors: 2000, Memory: 1 << 30})
				leader.core.planner.Sizes.Observe("urgent", share.Resources{Processors: 2000, Memory: 1 << 30})
			}
			w.submit(leader, "batch", 40)
			w.run(5, 0)
			w.submit(leader, "urgent", c.urgent)
			w.run(4, 900*time.Millisecond)
			s, err := leader.core.Describe("n", "j2")
			require.NoError(t, err)
			require.Equal(t, c.urgent, s.States[task.Running])
			w.checkInvariants(t)
		})
	}
}

// Guards against a caller who is told of an end that the next leader does not know.
func TestEndIsReportedOnceStored(t *testing.T) {
	for _, c := range []struct {
		name, family string
		end          func(w *simulation, leader *simLeader)
		before, want task.State
	}{
		{"finished", "plain", func(w *simulation, leader *simLeader) {
			w.advance(shortRunTime)
			for i := range w.workers {
				w.exchange(leader, i, answered)
			}
		}, task.Running, task.Finished},
		{"cancelled", "batch", func(w *simulation, leader *simLeader) {
			_, err := leader.core.Cancel("n", "j1", w.now)
			require.NoError(t, err)
			w.commit(leader, false)
			for i := range w.workers {
				w.exchange(leader, i, answered)
			}
		}, task.Stopping, task.Cancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation()
			w.run(2, 0)
			w.submit(w.leaders[0], c.family, 2)
			w.run(2, 0)
			leader := w.leaders[0]
			c.end(w, leader)
			states := func(leader *simLeader) map[task.State]int {
				s, err := leader.core.DescribeStored("n", "j1")
				require.NoError(t, err)
				return s.States
			}
			require.Equal(t, map[task.State]int{c.before: 2}, states(leader), "not in a commit")
			w.beginCommit(leader)
			require.Equal(t, map[task.State]int{c.before: 2}, states(leader), "the commit is in progress")
			w.completeCommit(leader)
			require.Equal(t, map[task.State]int{c.want: 2}, states(leader))
			w.handOver(leader)
			require.Equal(t, map[task.State]int{c.want: 2}, states(w.leaders[0]))
		})
	}
}

// A job that can never run must report the reason in its status, and other jobs must not wait for
// it.
func TestUnschedulableJobReportsReasonAndBlocksNoOther(t *testing.T) {
	w := newSimulation()
	leader := w.leaders[0]
	w.config.Jobs[1].Size = simCapacity.Times(2)
	w.config.Revision++
	w.submit(leader, "plain", 3)
	w.submit(leader, "batch", 1)
	w.run(3, 0)
	s, err := leader.core.Describe("n", "j1")
	require.NoError(t, err)
	require.Equal(t, 3, s.States[task.Unschedulable])
	require.Contains(t, s.Reason, "no worker has more")
	s, err = leader.core.Describe("n", "j2")
	require.NoError(t, err)
	require.Equal(t, 1, s.States[task.Running])
	w.config.Jobs[1].Size = simCapacity
	w.config.Revision++
	w.run(20, 0)
	s, err = leader.core.Describe("n", "j1")
	require.NoError(t, err)
	require.Zero(t, s.States[task.Unschedulable], "tasks of the corrected family must be queued again")
}

// Cancellations that arrive together must be committed in one batch, however many there are.
func TestMassCancellationIsOneBatch(t *testing.T) {
	w := newSimulation()
	leader := w.leaders[0]
	for range 300 {
		w.submit(leader, "batch", 10)
	}
	w.run(2, 0)
	before := len(w.batches)
	for id := range leader.core.jobs {
		_, err := leader.core.Cancel("n", id, w.now)
		require.NoError(t, err)
	}
	w.commit(leader, false)
	require.Equal(t, before+1, len(w.batches))
	w.run(3, 0)
	require.LessOrEqual(t, len(w.batches), before+1+8, "the stops of running tasks take at most 8 more batches")
	for id := range leader.core.jobs {
		s, err := leader.core.Describe("n", id)
		require.NoError(t, err)
		require.Equal(t, 10, s.States[task.Cancelled])
	}
}

// A task that fails on every worker must fail for good after the number of starts that its family
// allows.
func TestFailingTaskEndsWithReason(t *testing.T) {
	w := newSimulation()
	w.config.Jobs[0].MaxStarts = 3
	w.config.Revision++
	for _, s := range w.workers {
		s.SetBroken(true)
	}
	leader := w.leaders[0]
	w.submit(leader, "batch", 1)
	w.run(200, 0)
	s, err := leader.core.Describe("n", "j1")
	require.NoError(t, err)
	require.Equal(t, 1, s.States[task.Failed])
	require.Equal(t, "start failed", s.Reason)
	require.Equal(t, 3, w.ledger.Starts())
}

// Guards against state that grows without bound: an ended job is dropped after its retention, but
// its usage is kept.
func TestEndedJobsAreDroppedAfterRetention(t *testing.T) {
	w := newSimulation()
	leader := w.leaders[0]
	w.submit(leader, "plain", 2)
	w.run(10, 0)
	usage := leader.core.Accounts(w.now)[0].Usage
	require.Positive(t, usage.Processor.Seconds())
	w.advance(w.timing.Retention + sweepInterval)
	w.run(1, 0)
	require.Empty(t, leader.core.jobs)
	require.Equal(t, usage, leader.core.Accounts(w.now)[0].Usage)
	restored := NewCore(w.timing, w.now, true)
	restored.Configure(w.config, w.quotas())
	restored.Restore(w.batches, w.now)
	require.Empty(t, restored.jobs)
	require.Equal(t, usage, restored.Accounts(w.now)[0].Usage)
}

// newOneWorkerSimulation returns a simulation in which only worker 0, which has a slow clock, is on
// the platform's list.
func newOneWorkerSimulation() (*simulation, *simLeader) {
	w := newSimulation()
	w.removed[1], w.removed[2] = true, true
	w.run(2, 0)
	return w, w.leaders[0]
}

// An unresponsive worker with a slow clock still runs its task when the lease has expired by the
// leader's clock. The task must not move until the allowance for drift has passed too.
func TestLeaseExpiryAllowsForDrift(t *testing.T) {
	w, leader := newOneWorkerSimulation()
	w.submit(leader, "batch", 1)
	w.run(2, 0)
	require.Equal(t, 1, taskCount(leader, "w0"))
	w.removed[1], w.removed[2] = false, false
	w.run(2, 0)
	w.partitioned[[2]int64{leader.epoch, 0}] = true
	w.run(15, 50*time.Millisecond)
	require.Equal(t, 1, taskCount(leader, "w0"))
	w.run(2, 0)
	require.Zero(t, taskCount(leader, "w0"))
	require.Equal(t, 2, w.ledger.Starts())
	require.Zero(t, w.ledger.DoubleRuns())
}

// A delayed start command that arrives at a worker after the task has ended there must have no
// effect.
func TestDelayedStartAfterTaskEndIsIgnored(t *testing.T) {
	w, leader := newOneWorkerSimulation()
	w.submit(leader, "plain", 1)
	w.commit(leader, false)
	w.exchange(leader, 0, delayed)
	w.run(7, 0)
	s, err := leader.core.Describe("n", "j1")
	require.NoError(t, err)
	require.Equal(t, 1, s.States[task.Finished])
	require.Len(t, w.delayedExchanges, 1)
	require.NotEmpty(t, w.delayedExchanges[0].e.Commands)
	w.deliver(0)
	require.Equal(t, 1, w.ledger.Starts())
}
