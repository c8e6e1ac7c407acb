package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// submitStream submits a job of small tasks every 100 ms. With 8 tasks of 2000 thousandths of a
// core, the jobs need one and a half times the processors of four workers.
func (sim *simWorld) submitStream(tasks int, size share.MilliCores, until time.Time) {
	number := 0
	var next func()
	next = func() {
		if !sim.now.Before(until) {
			return
		}
		number++
		sim.submit(Job{ID: fmt.Sprintf("%016x", number), Queue: "check", Steps: []Step{{
			Tasks: tasks, Size: share.Resources{Processors: size, Memory: 1 << 20}, Estimate: 600 * time.Millisecond,
		}}})
		sim.after(100*time.Millisecond, next)
	}
	next()
}

// runsJob reports whether a worker runs a task of a job.
func (sim *simWorld) runsJob(w *simWorker, job string) bool {
	for key := range w.running {
		if key.task.Job == job {
			return true
		}
	}
	return false
}

// Guards against a large long-running task that loses its worker and gets no other one, because
// small tasks use each bit of capacity as soon as it becomes free.
func TestLargeLongRunningTaskRestartsBesideSmallTasks(t *testing.T) {
	const (
		largeJob = "ffffffffffffffff"
		// maxDowntime is the time that the platform allows between two runs of a long-running task.
		maxDowntime = 6 * time.Second
	)
	for _, c := range []struct {
		name  string
		tasks int
		size  share.MilliCores
	}{
		{"most of a worker", 1, 12_000},
		{"a whole worker", 1, 16_000},
		{"two on a worker", 2, 6_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimWorld(t, 1, 4, simFaults{})
			sim.submit(Job{ID: largeJob, Queue: "check", Steps: []Step{{
				Tasks: c.tasks, LongRunning: true, Estimate: time.Minute,
				Size: share.Resources{Processors: c.size, Memory: 1 << 20},
			}}})
			sim.run(time.Second)
			sim.submitStream(8, 2000, sim.now.Add(20*time.Second))
			sim.run(3 * time.Second)
			crashed := sim.now
			for _, w := range sim.workers {
				if len(w.running) > 0 && sim.runsJob(w, largeJob) {
					sim.crash(w)
				}
			}
			sim.run(maxDowntime)
			for i := range c.tasks {
				startedAt := sim.startedAt[TaskName{Job: largeJob, Index: i}]
				require.True(t, startedAt.After(crashed), "task %d has not restarted within %v", i, maxDowntime)
			}
			require.Empty(t, sim.violations)
		})
	}
}

// Guards against a large long-running task that gets no worker while leaders replace each other, because
// each of them waits anew before it reserves one.
func TestLargeLongRunningTaskRestartsWhileLeadersChange(t *testing.T) {
	const largeJob = "ffffffffffffffff"
	sim := newSimWorld(t, 1, 4, simFaults{inherit: true})
	sim.submit(Job{ID: largeJob, Queue: "check", Steps: []Step{{
		Tasks: 1, LongRunning: true, Estimate: time.Minute, Size: share.Resources{Processors: 16_000, Memory: 1 << 20},
	}}})
	sim.run(time.Second)
	sim.submitStream(8, 2000, sim.now.Add(20*time.Second))
	sim.run(3 * time.Second)
	drained := sim.now
	for _, w := range sim.workers {
		if sim.runsJob(w, largeJob) {
			w.info.Draining = true
			sim.core.SetWorker(w.info, sim.now)
		}
	}
	for range 5 {
		sim.run(1200 * time.Millisecond)
		sim.takeOver()
	}
	require.True(t, sim.startedAt[TaskName{Job: largeJob}].After(drained), "the task has not restarted within %v", sim.now.Sub(drained))
	require.Empty(t, sim.violations)
}

// Guards against reservations for tasks that have not run yet, tasks of other jobs on a reserved
// worker, and reservations that outlive the cancel of their job.
func TestReservationsAreReleased(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	c := fourWorkerCore(t, now)
	processors := func(p share.MilliCores) share.Resources { return share.Resources{Processors: p} }
	submit := func(id string, s Step) {
		require.NoError(t, c.Submit(Job{ID: id, Queue: "check", Steps: []Step{s}}, now, nil))
		c.Plan(now)
		commitAndStart(t, c, now)
	}
	submit("0000000000000001", Step{Tasks: 4, Size: processors(3000)})
	submit("0000000000000002", Step{Tasks: 1, Size: processors(4000), LongRunning: true})
	now = now.Add(2 * reserveAfter)
	c.Plan(now)
	require.Empty(t, c.reserved, "a worker is reserved for a task that has not run yet")
	c.jobs["0000000000000002"].stages[0].tasks[0].lastRun = 1
	now = now.Add(reserveEvery)
	c.Plan(now)
	require.Len(t, c.reserved, 1, "no worker is reserved for the long-running task")
	require.Empty(t, commitAndStart(t, c, now))
	submit("0000000000000003", Step{Tasks: 4, Size: processors(1000)})
	require.Equal(t, 1, c.jobs["0000000000000003"].stages[0].queued, "a task was placed on the reserved worker")
	c.Cancel("0000000000000002", now, nil)
	c.Plan(now.Add(reserveEvery))
	require.Empty(t, c.reserved)
	commitAndStart(t, c, now)
	require.Zero(t, c.jobs["0000000000000003"].stages[0].queued)
}

// Guards against a lost long-running task that is not placed on the free worker that is reserved for
// it, because an earlier task of its step still waits.
func TestReservedWorkerIsUsedThoughEarlierTaskWaits(t *testing.T) {
	for _, c := range []struct {
		name string
		// lastRuns are the numbers of the last runs of the two tasks.
		lastRuns     [2]int64
		reservations int
	}{
		{"the earlier task has not run", [2]int64{0, 1}, 1},
		{"the earlier task waits for its own worker", [2]int64{1, 1}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			// Each of 16 workers is full, since reservations for two tasks need that many.
			const workers = 16
			core := NewCore(DefaultTiming(), now, now)
			core.SetQueueConfig(simQueueConfig())
			size := share.Resources{Processors: 4000, Memory: 1 << 30}
			for i := range workers {
				id := fmt.Sprintf("w-%02d", i)
				core.SetWorker(WorkerInfo{ID: id, Address: id, Service: "pool", Incarnation: 1, Capacity: size}, now)
				core.ApplyReport(id, Report{Incarnation: 1, Clock: time.Hour}, now, now)
			}
			require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{{
				Tasks: workers, Size: size, Estimate: time.Second,
			}}}, now, nil))
			core.Plan(now)
			commitAndStart(t, core, now)
			require.NoError(t, core.Submit(Job{ID: "0000000000000002", Queue: "check", Steps: []Step{{
				Tasks: 2, Size: size, LongRunning: true,
			}}}, now, nil))
			lost := core.jobs["0000000000000002"].stages[0].tasks
			for i := range lost {
				lost[i].lastRun = c.lastRuns[i]
			}
			now = now.Add(reserveAfter)
			core.Plan(now)
			require.Len(t, core.reserved, c.reservations)
			w := core.reserved[c.reservations-1]
			require.Same(t, lost[1], w.reservedFor)
			var ended []EndedRow
			for _, r := range sortedRuns(w.runs) {
				ended = append(ended, EndedRow{Number: 1, Task: r.task.name(), Run: r.number, How: EndDone})
			}
			now = now.Add(time.Millisecond)
			core.ApplyReport(w.ID, Report{Incarnation: 1, Clock: time.Hour, Ended: ended}, now, now)
			core.Plan(now)
			require.Equal(t, taskPlaced, lost[1].state)
		})
	}
}

// Guards against a task that lost its run in an earlier term, or in another cell, and waits anew for a
// reservation after a start that its worker refused.
func TestRefusedStartKeepsWaitOfEarlierTerm(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	c := fourWorkerCore(t, now)
	j := Job{ID: "0000000000000001", Queue: "check", Steps: []Step{{Tasks: 1, Size: share.Resources{Processors: 4000}, LongRunning: true}}}
	require.NoError(t, c.Submit(j, now, nil))
	lost := c.jobs[j.ID].stages[0].tasks[0]
	lost.lastRun, lost.waitedBefore = 1, reserveAfter
	c.Plan(now)
	changes, err := c.TakeChanges(20, now)
	require.NoError(t, err)
	commands := c.Committed(changes)
	require.Len(t, commands, 1)
	_, ok := c.PrepareCall(commands[0], now)
	require.True(t, ok)
	c.HandleAnswer(commands[0], Result{Answer: AnswerNoCapacity, Clock: time.Hour}, now, now)
	require.Equal(t, taskQueued, lost.state)
	require.True(t, lost.wantsReservation(now), "it waits anew")
}
