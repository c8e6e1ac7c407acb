package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// fourWorkerCore returns a core with four contacted workers in two racks.
func fourWorkerCore(t *testing.T, now time.Time) *Core {
	t.Helper()
	c := NewCore(DefaultTiming(), now, now)
	c.SetQueueConfig(simQueueConfig())
	for i, rack := range []string{"r-1", "r-1", "r-2", "r-2"} {
		id := string(rune('a' + i))
		c.SetWorker(WorkerInfo{
			ID: id, Address: id, Service: "pool", Incarnation: 1, Rack: rack, Labels: []string{"kind-" + id, rack},
			Capacity: share.Resources{Processors: 4000, Memory: 8 << 30},
		}, now)
		c.ApplyReport(id, Report{Incarnation: 1, Clock: time.Hour}, now, now)
	}
	return c
}

// commitAndStart commits all changes, lets all start commands succeed and returns the calls by
// task.
func commitAndStart(t *testing.T, c *Core, now time.Time) map[TaskName]Call {
	t.Helper()
	calls := map[TaskName]Call{}
	for c.HasChanges() {
		changes, err := c.TakeChanges(20, now)
		require.NoError(t, err)
		for _, command := range c.Committed(changes) {
			if call, ok := c.PrepareCall(command, now); ok {
				calls[call.Task] = call
				c.HandleAnswer(command, Result{Answer: AnswerDone, Clock: time.Hour}, now, now)
			}
		}
	}
	return calls
}

// startOne submits job "j" of one task, which requires a label unless it is empty, and starts the task.
func startOne(t *testing.T, c *Core, label string, now time.Time) Call {
	t.Helper()
	step := Step{Tasks: 1, Size: share.Resources{Processors: 1000}, RequiredLabel: label}
	require.NoError(t, c.Submit(Job{ID: "j", Queue: "check", Steps: []Step{step}}, now, nil))
	c.Plan(now)
	calls := commitAndStart(t, c, now)
	require.Len(t, calls, 1)
	return calls[TaskName{Job: "j"}]
}

// reportOf returns a report in which a worker lists all runs that it should have.
func reportOf(w *worker) Report {
	rep := Report{Incarnation: w.Incarnation, Clock: time.Hour}
	for _, r := range sortedRuns(w.runs) {
		rep.Running = append(rep.Running, RunningRow{Task: r.task.name(), Run: r.number})
	}
	return rep
}

func TestPlacementRespectsConstraintsOfSteps(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	size := share.Resources{Processors: 1000, Memory: 1 << 30}
	for _, c := range []struct {
		name  string
		step  Step
		check func(t *testing.T, calls map[TaskName]Call)
	}{
		{
			name: "required label", step: Step{Tasks: 3, Size: size, RequiredLabel: "kind-c"},
			check: func(t *testing.T, calls map[TaskName]Call) {
				require.Len(t, calls, 3)
				for _, call := range calls {
					require.Equal(t, "c", call.Worker)
				}
			},
		},
		{
			name: "label that no worker has", step: Step{Tasks: 1, Size: size, RequiredLabel: "none"},
			check: func(t *testing.T, calls map[TaskName]Call) { require.Empty(t, calls) },
		},
		{
			name: "preferred rack", step: Step{Tasks: 6, Size: size, PreferredRack: "r-2"},
			check: func(t *testing.T, calls map[TaskName]Call) {
				require.Len(t, calls, 6)
				for _, call := range calls {
					require.Contains(t, "cd", call.Worker)
				}
			},
		},
		{
			name: "at most one task per worker", step: Step{Tasks: 6, Size: size, MaxPerWorker: 1},
			check: func(t *testing.T, calls map[TaskName]Call) {
				require.Len(t, calls, 4)
				seen := map[string]bool{}
				for _, call := range calls {
					require.False(t, seen[call.Worker])
					seen[call.Worker] = true
				}
			},
		},
		{
			name: "gang in one rack", step: Step{Tasks: 6, Size: size, Gang: true, SameRack: true},
			check: func(t *testing.T, calls map[TaskName]Call) {
				require.Len(t, calls, 6)
				racks := map[bool]bool{}
				for _, call := range calls {
					racks[call.Worker == "a" || call.Worker == "b"] = true
					require.EqualValues(t, 1, call.Run)
				}
				require.Len(t, racks, 1)
			},
		},
		{
			name: "gang larger than the free capacity", step: Step{Tasks: 17, Size: size, Gang: true},
			check: func(t *testing.T, calls map[TaskName]Call) {
				require.Empty(t, calls, "only some tasks of the gang were started")
			},
		},
		{
			name: "larger than any worker", step: Step{Tasks: 1, Size: share.Resources{Processors: 9000}},
			check: func(t *testing.T, calls map[TaskName]Call) { require.Empty(t, calls) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := fourWorkerCore(t, now)
			require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{c.step}}, now, nil))
			core.Plan(now)
			c.check(t, commitAndStart(t, core, now))
			// A step that cannot run delays no other job.
			require.NoError(t, core.Submit(Job{ID: "0000000000000002", Queue: "review", Steps: []Step{{Tasks: 1, Size: share.Resources{Processors: 100}}}}, now, nil))
			core.Plan(now)
			require.Len(t, commitAndStart(t, core, now), 1)
		})
	}
}

// When one task of a gang fails, the others are stopped. Then all start again with the same run
// number and the same checkpoint.
func TestGangRestartsTogether(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	c := fourWorkerCore(t, now)
	job := "0000000000000001"
	require.NoError(t, c.Submit(Job{ID: job, Queue: "check", Steps: []Step{{
		Tasks: 2, Size: share.Resources{Processors: 3000}, Gang: true, Checkpoints: true,
	}}}, now, nil))
	c.Plan(now)
	calls := commitAndStart(t, c, now)
	require.Len(t, calls, 2)
	first := calls[TaskName{Job: job}]
	second := calls[TaskName{Job: job, Index: 1}]
	now = now.Add(time.Second)
	c.ApplyReport(first.Worker, Report{Incarnation: 1, Clock: time.Hour + time.Second, Ended: []EndedRow{
		{Number: 1, Task: first.Task, Run: 1, How: EndFailed, Checkpoint: "x"},
	}}, now, now)
	c.Plan(now)
	stops := c.TakeCommands()
	require.Len(t, stops, 1)
	require.Equal(t, second.Worker, stops[0].Worker())
	now = now.Add(time.Second)
	c.ApplyReport(second.Worker, Report{Incarnation: 1, Clock: time.Hour + 2*time.Second, Ended: []EndedRow{
		{Number: 1, Task: second.Task, Run: 1, How: EndGangBroken},
	}}, now, now)
	c.Plan(now)
	for _, call := range commitAndStart(t, c, now) {
		require.EqualValues(t, 2, call.Run)
		require.Equal(t, "x", call.Checkpoint)
	}
}

// A step of a queue with an adviser waits until the adviser admits it. It then runs only on the
// admitted worker, with the adviser's ticket.
func TestAdvisedStepRunsOnlyWithTickets(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	c := fourWorkerCore(t, now)
	config := simQueueConfig()
	q := config.Queues["check"]
	q.Advised = true
	config.Queues["check"] = q
	c.SetQueueConfig(config)
	require.NoError(t, c.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{{Tasks: 2, Size: share.Resources{Processors: 1000}}}}, now, nil))
	c.Plan(now)
	require.Empty(t, commitAndStart(t, c, now))
	queries := c.TakeQueries()
	require.Len(t, queries, 1)
	require.Equal(t, "0000000000000001.0.0", queries[0].Step)
	c.HandleAdvice(queries[0], []Admission{{Worker: "b", Ticket: "t"}}, 3*time.Second, nil, now, now)
	c.Plan(now)
	calls := commitAndStart(t, c, now)
	require.Len(t, calls, 2)
	for _, call := range calls {
		require.Equal(t, "b", call.Worker)
		require.Equal(t, "t", call.Ticket)
	}
}

// Guards against occurrences of a repeated job that start too early or more than once.
func TestRepeatedJobStartsAtItsTimes(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	c := fourWorkerCore(t, now)
	require.NoError(t, c.Submit(Job{
		ID: "0000000000000001", Queue: "check", Steps: []Step{{Tasks: 1, Size: share.Resources{Processors: 1000}}},
		Repeat: Repeat{Count: 2, First: now.Add(time.Second), Every: time.Second},
	}, now, nil))
	for _, want := range []int{0, 1, 1} {
		c.Plan(now)
		require.Len(t, commitAndStart(t, c, now), want)
		now = now.Add(time.Second)
	}
}

// Guards against losing accepted jobs when uncommitted submissions are dropped while the store is
// unavailable: a job in the inbox or in a commit is kept, even if it has just been cancelled.
func TestDropKeepsAcceptedJobs(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	for _, c := range []struct {
		name     string
		inInbox  bool
		inCommit bool
		want     State
	}{
		{name: "only in memory", want: Dropped},
		{name: "in the inbox", inInbox: true},
		{name: "in a commit", inCommit: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := fourWorkerCore(t, now)
			id := "0000000000000001"
			var submitted, cancelled State
			require.NoError(t, core.Submit(Job{ID: id, Queue: "check", Steps: []Step{{Tasks: 2, Size: share.Resources{Processors: 1000}}}},
				now, func(s State) { submitted = s }))
			core.Plan(now)
			if c.inInbox {
				core.MarkInInbox(id)
			}
			if c.inCommit {
				_, err := core.TakeChanges(20, now)
				require.NoError(t, err)
			}
			require.True(t, core.Cancel(id, now, func(s State) { cancelled = s }))
			core.DropUncommitted(now)
			require.Equal(t, c.want, cancelled)
			if c.want == Dropped {
				require.Equal(t, Dropped, submitted)
				require.False(t, core.HasJob(id))
				require.Empty(t, core.workers["a"].runs)
				return
			}
			require.True(t, core.HasJob(id))
			require.Equal(t, Cancelled, core.jobs[id].state)
		})
	}
}
